//! The judge: a row for each request, written from outside the nodes, that decides the four rules and the service.
//!
//! It knows fronts, nodes and cache servers by number only, and takes facts that somebody beside the node has seen: what
//! was written to its socket and what came back, what reached a cache server and what ran there, what discovery told.
//! Whoever plays a script, in whatever protocol, writes the same facts.

use crate::script::{Class, Script};
use balancer_core::{DeduplicationScope, Idempotency, Timestamp};
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// A try of a client's, by a number that is never used twice.
pub type TryId = u64;

/// Each time limit is this much longer, since it is measured at the far end of a connection.
pub const TOLERANCE: Duration = Duration::from_millis(50);
/// The span of the worst window.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Breaches that are kept with their words; the rest is counted.
const KEPT: usize = 20;

/// A final answer of a node's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// With what a cache server made for this request.
    Served,
    /// Not done, and harmless to ask again.
    Refused,
    /// Not done, or not known.
    Failed,
    /// With what was not made for this request: it is lost.
    Foreign,
}

/// A fact.
#[derive(Clone, Debug, PartialEq)]
pub enum Fact {
    /// A client wishes something for the first time.
    Asked {
        /// The wish's number, from 0 without a gap.
        ask: u64,
        /// When its first try is sent.
        at: Timestamp,
        /// Its class's place in the script.
        class: usize,
    },
    /// A node has taken a try: its last byte is on a connection that the node's machine accepted.
    Taken {
        /// The try.
        request: TryId,
        /// The wish that it is for.
        ask: u64,
        /// The node.
        node: usize,
        /// When.
        at: Timestamp,
        /// When the client gives it up.
        until: Timestamp,
    },
    /// The node has sent a try to a cache server.
    Sent {
        /// The try.
        request: TryId,
        /// The cache server, as [`Ledger::server`] numbered it.
        server: usize,
        /// When its first byte came out.
        at: Timestamp,
    },
    /// A cache server has begun to run a try.
    Ran {
        /// The try.
        request: TryId,
        /// Where.
        server: usize,
        /// When.
        at: Timestamp,
    },
    /// The node has given a final answer.
    Answered {
        /// To which try.
        request: TryId,
        /// When its last byte came out.
        at: Timestamp,
        /// What.
        answer: Answer,
    },
    /// The client closed before it had an answer: nothing is owed.
    Left {
        /// The try.
        request: TryId,
    },
    /// A good answer reached the client in its time.
    Served {
        /// The wish.
        ask: u64,
        /// When.
        at: Timestamp,
    },
    /// The node was killed, or had more time than it is due after it was told to stop.
    Killed {
        /// Which.
        node: usize,
        /// When it was gone. What it should have answered before is lost all the same.
        at: Timestamp,
    },
    /// A node has started, and has been told of nothing yet.
    Started {
        /// Which.
        node: usize,
    },
    /// A node was told of a cache server.
    Told {
        /// Which node.
        node: usize,
        /// Of which cache server.
        server: usize,
        /// When.
        at: Timestamp,
        /// It drains or is gone, rather than ready.
        stops: bool,
    },
    /// A cold cache server was pushed over.
    Fell {
        /// Which.
        server: usize,
        /// When.
        at: Timestamp,
    },
}

/// A rule that was broken, and how.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// 1: one final answer in time. 2: a repeat only where it is safe. 3: nothing new after a drain. 4: no cold server
    /// pushed over.
    pub rule: u8,
    /// Seconds from the start.
    pub at_s: f64,
    /// What happened.
    pub what: String,
}

#[derive(Debug)]
struct Row {
    ask: u64,
    node: usize,
    until: Timestamp,
    /// Where it was sent, and when.
    sent: Vec<(usize, Timestamp)>,
    /// Where it ran, and when that was done.
    runs: Vec<(usize, Timestamp)>,
    answered: Option<(Timestamp, Answer)>,
    excused: bool,
}

#[derive(Debug)]
struct Wish {
    at: Timestamp,
    class: usize,
    /// Worth that it brought.
    got: f64,
    served: bool,
}

#[derive(Debug)]
struct Place {
    name: String,
    zone: usize,
    cell: u64,
}

/// See the module's page.
#[derive(Debug)]
pub struct Ledger {
    classes: Vec<Class>,
    length: Duration,
    drain_grace: Duration,
    servers: Vec<Place>,
    wishes: Vec<Wish>,
    rows: BTreeMap<TryId, Row>,
    /// By node and cache server: since when it has been told to keep away.
    stops: BTreeMap<(usize, usize), Timestamp>,
    seconds: Vec<Second>,
    breaches: Vec<Breach>,
    broken: [u64; 4],
}

/// What happened in one second of a play.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// First tries.
    pub asked: u32,
    /// Worth of these.
    pub worth: f64,
    /// Worth that they brought.
    pub got: f64,
    /// Tries that nodes took.
    pub taken: u32,
    /// Refusals.
    pub refused: u32,
    /// Failures.
    pub failed: u32,
    /// Attempts.
    pub attempts: u32,
}

/// The figure of service and what it is made of; parts from 0 to 1.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Service {
    /// Worth in time over worth asked.
    pub whole: f64,
    /// The least of any ten seconds, and where these begin, in seconds.
    pub worst_window: (f64, u64),
    /// By class, in the script's order.
    pub classes: Vec<(String, f64)>,
    /// The least of any class.
    pub worst_class: f64,
}

/// What a play came to.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// Breaches by rule, from the first.
    pub broken: [u64; 4],
    /// The first of them in words.
    pub breaches: Vec<Breach>,
    /// The service.
    pub service: Service,
    /// Wishes.
    pub asked: u64,
    /// Tries that nodes took.
    pub taken: u64,
    /// Final answers: served, refused, failed, and with what belongs to another request.
    pub answers: [u64; 4],
    /// Attempts.
    pub attempts: u64,
    /// Runs beyond a try's first: of safe, keyed and unsafe classes.
    pub repeats: [u64; 3],
    /// By second.
    pub seconds: Vec<Second>,
}

impl Ledger {
    /// For a play of this script.
    pub fn new(script: &Script) -> Self {
        let seconds = script.length.as_secs_f64().ceil() as usize;
        Self {
            classes: script.classes.clone(),
            length: script.length,
            drain_grace: script.rules.drain_grace,
            servers: Vec::new(),
            wishes: Vec::new(),
            rows: BTreeMap::new(),
            stops: BTreeMap::new(),
            seconds: vec![Second::default(); seconds.max(1)],
            breaches: Vec::new(),
            broken: [0; 4],
        }
    }

    /// Takes in a cache server; its number from now on. `zone` and `cell` tell where repeats of keyed requests are safe.
    pub fn server(&mut self, name: &str, zone: usize, cell: u64) -> usize {
        self.servers.push(Place { name: name.to_owned(), zone, cell });
        self.servers.len() - 1
    }

    fn breach(&mut self, rule: u8, at: Timestamp, what: String) {
        self.broken[usize::from(rule) - 1] += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { rule, at_s: at.as_micros() as f64 / 1e6, what });
        }
    }

    fn second(&mut self, at: Timestamp) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((at.as_micros() / 1_000_000) as usize).min(last)]
    }

    fn name(&self, server: usize) -> &str {
        self.servers.get(server).map_or("an unknown server", |place| place.name.as_str())
    }

    /// Takes a fact in. Facts of one try come in the order of time.
    pub fn note(&mut self, fact: Fact) {
        match fact {
            Fact::Asked { ask, at, class } => {
                debug_assert_eq!(ask, self.wishes.len() as u64);
                let worth = self.classes[class].worth;
                let second = self.second(at);
                second.asked += 1;
                second.worth += worth;
                self.wishes.push(Wish { at, class, got: 0.0, served: false });
            }
            Fact::Taken { request, ask, node, at, until } => {
                self.second(at).taken += 1;
                let row = Row {
                    ask,
                    node,
                    until,
                    sent: Vec::new(),
                    runs: Vec::new(),
                    answered: None,
                    excused: false,
                };
                self.rows.insert(request, row);
            }
            Fact::Sent { request, server, at } => self.sent(request, server, at),
            Fact::Ran { request, server, at } => self.ran(request, server, at),
            Fact::Answered { request, at, answer } => self.answered(request, at, answer),
            Fact::Left { request } => {
                if let Some(row) = self.rows.get_mut(&request) {
                    row.excused = true;
                }
            }
            Fact::Served { ask, at } => self.served(ask, at),
            Fact::Killed { node, at } => {
                let held = self.rows.values_mut().filter(|row| row.node == node && row.answered.is_none());
                held.filter(|row| at <= row.until + TOLERANCE).for_each(|row| row.excused = true);
            }
            Fact::Started { node } => self.stops.retain(|(of, _), _| *of != node),
            Fact::Told { node, server, at, stops } => {
                if stops {
                    self.stops.entry((node, server)).or_insert(at);
                } else {
                    self.stops.remove(&(node, server));
                }
            }
            Fact::Fell { server, at } => {
                let what = format!("{} was cold and pushed over", self.name(server));
                self.breach(4, at, what);
            }
        }
    }

    fn sent(&mut self, request: TryId, server: usize, at: Timestamp) {
        self.second(at).attempts += 1;
        let Some(row) = self.rows.get_mut(&request) else {
            return self.breach(2, at, format!("request {request:x} was sent on, and no node had taken it"));
        };
        row.sent.push((server, at));
        let (node, answered) = (row.node, row.answered);
        if answered.is_some_and(|(when, _)| at > when) {
            self.breach(1, at, format!("request {request:x} was sent on after its final answer"));
        }
        let told = self.stops.get(&(node, server)).copied();
        if let Some(told) = told.filter(|told| at > *told + self.drain_grace + TOLERANCE) {
            let late = at.since(told).as_millis();
            let what =
                format!("node {node} sent to {} {late} ms after it was told to stop", self.name(server));
            self.breach(3, at, what);
        }
    }

    fn ran(&mut self, request: TryId, server: usize, at: Timestamp) {
        let Some(row) = self.rows.get_mut(&request) else {
            return self.breach(2, at, format!("request {request:x} ran, and no node had taken it"));
        };
        row.runs.push((server, at));
        let (first, again) = (row.runs[0], row.runs.len() > 1);
        // How long a server keeps what it took is not the node's doing: what counts is when it sent it.
        let sent = row.sent.iter().rfind(|(to, _)| *to == server).map_or(at, |(_, sent)| *sent);
        let class = &self.classes[self.wishes[row.ask as usize].class];
        let harm = match class.effect {
            _ if !again => None,
            Idempotency::Idempotent => None,
            Idempotency::NotIdempotent => Some("it is unsafe to repeat"),
            Idempotency::WithKey { window, .. } if sent.since(first.1) > window + TOLERANCE => {
                Some("its first run is forgotten")
            }
            Idempotency::WithKey { scope, .. } => {
                let (one, other) = (&self.servers[first.0], &self.servers[server]);
                let within = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => one.zone == other.zone,
                    DeduplicationScope::Cell => one.cell == other.cell,
                };
                (!within).then_some("that server does not know of the first run")
            }
        };
        if let Some(why) = harm {
            let what = format!("request {request:x} ran again at {}: {why}", self.name(server));
            self.breach(2, at, what);
        }
    }

    fn answered(&mut self, request: TryId, at: Timestamp, answer: Answer) {
        let second = self.second(at);
        second.refused += u32::from(answer == Answer::Refused);
        second.failed += u32::from(answer == Answer::Failed);
        let Some(row) = self.rows.get_mut(&request) else {
            return self.breach(1, at, format!("request {request:x} was answered, and no node had taken it"));
        };
        let (until, excused) = (row.until, row.excused);
        if answer == Answer::Foreign {
            self.breach(1, at, format!("request {request:x} was served with what was made for another"));
        } else if row.answered.replace((at, answer)).is_some() {
            self.breach(1, at, format!("request {request:x} was answered twice"));
        } else if !excused && at > until + TOLERANCE {
            let late = at.since(until).as_millis();
            self.breach(
                1,
                at,
                format!("request {request:x} was answered {late} ms after its client gave up"),
            );
        }
    }

    fn served(&mut self, ask: u64, at: Timestamp) {
        let wish = &mut self.wishes[ask as usize];
        let class = &self.classes[wish.class];
        let took = at.since(wish.at);
        if wish.served || took > class.deadline {
            return;
        }
        wish.served = true;
        wish.got = if took <= class.aim { class.worth } else { class.worth * class.late_worth };
        let (got, asked) = (wish.got, wish.at);
        self.second(asked).got += got;
    }

    /// Closes the books: what is open now is lost.
    pub fn verdict(mut self) -> Verdict {
        let mut late = Vec::new();
        for (request, row) in &self.rows {
            let effect = self.classes[self.wishes[row.ask as usize].class].effect;
            match row.answered {
                None if !row.excused => {
                    late.push((1, row.until, format!("request {request:x} was never answered")))
                }
                // A refusal says that asking again is harmless: so it must be, whatever ran before or after it.
                Some((at, Answer::Refused)) if !row.runs.is_empty() => match effect {
                    Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. } => {
                    }
                    _ => late.push((2, at, format!("request {request:x} was refused, and it ran"))),
                },
                Some((at, Answer::Served)) if row.runs.is_empty() => {
                    late.push((1, at, format!("request {request:x} was served, and it ran nowhere")));
                }
                _ => {}
            }
        }
        late.into_iter().for_each(|(rule, at, what)| self.breach(rule, at, what));
        let mut answers = [0; 4];
        let mut repeats = [0; 3];
        for row in self.rows.values() {
            if let Some((_, answer)) = row.answered {
                answers[answer as usize] += 1;
            }
            let effect = match self.classes[self.wishes[row.ask as usize].class].effect {
                Idempotency::Idempotent => 0,
                Idempotency::WithKey { .. } => 1,
                Idempotency::NotIdempotent => 2,
            };
            repeats[effect] += row.runs.len().saturating_sub(1) as u64;
        }
        Verdict {
            broken: self.broken,
            service: self.service(),
            asked: self.wishes.len() as u64,
            taken: self.rows.len() as u64,
            answers,
            attempts: self.rows.values().map(|row| row.sent.len() as u64).sum(),
            repeats,
            seconds: self.seconds,
            breaches: self.breaches,
        }
    }

    fn service(&self) -> Service {
        let part = |got: f64, worth: f64| if worth > 0.0 { got / worth } else { 1.0 };
        let class_part = |i: usize| {
            let wishes = self.wishes.iter().filter(|wish| wish.class == i);
            let (got, worth) =
                wishes.fold((0.0, 0.0), |(got, worth), wish| (got + wish.got, worth + self.classes[i].worth));
            part(got, worth)
        };
        let classes: Vec<_> =
            self.classes.iter().enumerate().map(|(i, class)| (class.name.clone(), class_part(i))).collect();
        let sum = |seconds: &[Second]| {
            let (got, worth) =
                seconds.iter().fold((0.0, 0.0), |(g, w), second| (g + second.got, w + second.worth));
            part(got, worth)
        };
        let span =
            (WINDOW.as_secs() as usize).min(self.length.as_secs() as usize).clamp(1, self.seconds.len());
        let windows =
            self.seconds.windows(span).enumerate().map(|(start, seconds)| (sum(seconds), start as u64));
        Service {
            whole: sum(&self.seconds),
            worst_window: windows.min_by(|one, other| one.0.total_cmp(&other.0)).unwrap_or((1.0, 0)),
            worst_class: classes.iter().map(|(_, part)| *part).fold(1.0, f64::min),
            classes,
        }
    }
}
