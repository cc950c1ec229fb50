//! What a rehearsal plays: the world, what goes wrong in it, and the service that is expected.
//!
//! A script leaves out what it does not care about: [`Script::default`] is an ordinary fleet of 20 cache servers and 12
//! nodes in two zones, without incidents.

mod file;

use balancer_core::Idempotency;
use std::time::Duration;

/// The version of the format that this program reads.
pub const VERSION: u64 = 1;

/// A rehearsal. The fields are those of the file, in the same words.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// A word or a few, for lists and titles.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// Decides every draw.
    pub seed: u64,
    /// How long clients keep asking.
    pub length: Duration,
    /// The zones; nodes, cache servers and clients are dealt out over them.
    pub zones: Vec<String>,
    /// How many nodes.
    pub nodes: u32,
    /// The cache servers, by kind.
    pub boxes: Vec<Kind>,
    /// What is asked for.
    pub classes: Vec<Class>,
    /// How much, and for what.
    pub load: Load,
    /// How clients behave.
    pub clients: Clients,
    /// How messages travel.
    pub network: Network,
    /// Where cache servers fetch what they lack.
    pub origin: Origin,
    /// Where nodes learn of cache servers.
    pub discovery: Discovery,
    /// How soon the layer that deals clients out to nodes notices that one has died.
    pub front_notice: Duration,
    /// What cache servers tell of their load with each answer.
    pub reports: Reports,
    /// The rules' own figures.
    pub rules: Rules,
    /// What goes wrong, in the order of time.
    pub incidents: Vec<Incident>,
    /// What the play must come to.
    pub expect: Expect,
}

/// Cache servers of one kind.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// How many there are.
    pub count: u32,
    /// Cores of each.
    pub cores: u32,
    /// How many standard cores one of its cores is.
    pub speed: f64,
    /// Requests that it works on at a time, for each core: one that waits for the origin holds no core.
    pub slots_per_core: u32,
    /// Requests that may wait, for each core; more are turned away.
    pub queue_per_core: u32,
    /// Entries that it keeps.
    pub memory: u32,
    /// Connections that it holds at the most.
    pub connections: u32,
    /// The part of its capacity that a fresh one has.
    pub cold: f64,
    /// A fresh one is warm after this much work of standard cores, or after `warm_within`, whichever comes first.
    pub warm_work: Duration,
    /// See `warm_work`.
    pub warm_within: Duration,
    /// The part of its requests that fails on an ordinary day.
    pub errors: f64,
    /// It closes a connection that has stood idle for so long; where it says nothing, the network's `idle` holds.
    pub idle: Option<Duration>,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of the requests, beside the other classes' parts.
    pub share: f64,
    /// Its mean work, on a standard core.
    pub work: Duration,
    /// Coefficient of variation of the work.
    pub spread: f64,
    /// Answers within this time are worth most.
    pub aim: Duration,
    /// Clients give up for good after this time.
    pub deadline: Duration,
    /// What an answer within the aim is worth.
    pub worth: f64,
    /// The part of it that a later one is worth.
    pub late_worth: f64,
    /// What a repeat does.
    pub effect: Idempotency,
    /// Whether it changes its entry.
    pub write: bool,
}

/// How much is asked.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// First tries a second, over all nodes.
    pub rate: f64,
    /// It swings by this part of itself, up and down.
    pub swing: f64,
    /// Over this time.
    pub swing_every: Duration,
    /// Entries that are asked for.
    pub keys: u32,
    /// How unevenly (the exponent of a Zipf law).
    pub zipf: f64,
    /// The part that is asked for in the first zone; the others share the rest.
    pub first_zone: f64,
}

/// How clients behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Clients {
    /// Tries after the first one.
    pub retries: u32,
    /// A try is given up after this part of the class's deadline.
    pub try_share: f64,
    /// Wait before a further try; zero for at once.
    pub backoff: Duration,
    /// The part of the clients that stays away for as long as a refusal says.
    pub honour: f64,
    /// The longest time that they stay away.
    pub max_retry_after: Duration,
    /// The part that leaves before its answer comes.
    pub impatient: f64,
}

/// How messages travel, one way.
#[derive(Clone, Debug, PartialEq)]
pub struct Network {
    /// Within a zone.
    pub same_zone: Duration,
    /// Between two.
    pub cross_zone: Duration,
    /// Between a client and its node.
    pub client: Duration,
    /// Each takes up to this part more.
    pub jitter: f64,
    /// Round trips that a new connection to a cache server takes before its first request.
    pub handshake_rtts: u32,
    /// Work of a standard core that it costs the cache server.
    pub handshake_work: Duration,
    /// Cache servers close a connection that has stood idle for so long, and nodes are told so.
    pub idle: Duration,
    /// A connection that is not up after this time has failed.
    pub connect_timeout: Duration,
}

/// Where cache servers fetch what they lack.
#[derive(Clone, Debug, PartialEq)]
pub struct Origin {
    /// Fetches that it works on at a time.
    pub slots: u32,
    /// What one takes, on average.
    pub fetch: Duration,
    /// Coefficient of variation of that.
    pub spread: f64,
    /// Fetches that may wait; more fail at once.
    pub queue: u32,
    /// The part of the entries that the fleet holds at the start, most asked for first.
    pub warm: f64,
}

/// Where nodes learn of cache servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Discovery {
    /// It learns that a process has ended or begun after this time.
    pub notice: Duration,
    /// Lines that it can send a second, to all nodes together.
    pub lines_per_s: f64,
    /// Lines that a call costs beside the entries it brings.
    pub call_lines: f64,
    /// A call that has waited for so long fails.
    pub timeout: Duration,
}

/// What cache servers tell of their load with each answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reports {
    /// Refreshed so often.
    pub every: Duration,
    /// And this old then.
    pub delay: Duration,
    /// Whether answers also say how a read went: hit, miss or a miss under way.
    pub tell_misses: bool,
}

/// The rules' own figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// Nothing new to a cache server later than this after the node was told that it drains or is gone.
    pub drain_grace: Duration,
    /// A cold cache server that is sent more than this multiple of what it can do just then falls over.
    pub fall_multiple: f64,
    /// The span over which that is counted.
    pub fall_span: Duration,
    /// Attempts that a request may have.
    pub max_attempts: u32,
}

/// Something that goes wrong.
#[derive(Clone, Debug, PartialEq)]
pub struct Incident {
    /// When it begins.
    pub at: Duration,
    /// How long it lasts.
    pub over: Duration,
    /// Where: a place in [`Script::zones`], whose cache servers or nodes its share is a part of. `None` for all.
    pub zone: Option<usize>,
    /// What happens.
    pub what: Trouble,
}

/// What goes wrong. A `share` is a part of the cache servers, or of the nodes where these are named.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// A share of the fleet is drained over the time, never to come back.
    Shrink {
        /// How much goes.
        share: f64,
        /// From a drain to the process's end.
        drain: Duration,
    },
    /// A share is replaced, batch by batch, by successors that start cold under new ids.
    Deploy {
        /// How much in all.
        share: f64,
        /// How much at a time.
        batch: f64,
        /// From a drain to the process's end, when the successor starts.
        drain: Duration,
        /// Successors take the addresses of those that they replace.
        same_address: bool,
    },
    /// A share of the nodes restarts, batch by batch, and comes back with nothing but its last list.
    RestartNodes {
        /// How much in all.
        share: f64,
        /// How much at a time.
        batch: f64,
        /// From the end to the start.
        down: Duration,
        /// Killed outright rather than told to stop.
        killed: bool,
    },
    /// A share of the nodes hands over to new processes, batch by batch.
    Upgrade {
        /// How much in all.
        share: f64,
        /// How much at a time.
        batch: f64,
    },
    /// A share of the nodes is told again and again, evenly over the time, to read a configuration that has changed.
    Reload {
        /// How much.
        share: f64,
        /// How often each.
        times: u32,
    },
    /// A share dies at once and comes back cold when the time is over.
    Crash {
        /// How much.
        share: f64,
    },
    /// A share vanishes from the network, says nothing, and is back when the time is over.
    Vanish {
        /// How much.
        share: f64,
    },
    /// A share stands still for the time.
    Pause {
        /// How much.
        share: f64,
    },
    /// A share answers a part of its requests with errors.
    Errors {
        /// How much.
        share: f64,
        /// Which part of its requests.
        rate: f64,
    },
    /// Messages to and from a share take longer, each way.
    Delay {
        /// How much.
        share: f64,
        /// By how long.
        extra: Duration,
    },
    /// Packets to and from a share are lost now and then, and sent again.
    Loss {
        /// How much.
        share: f64,
        /// Which part of the packets.
        rate: f64,
    },
    /// A part of a share's answers breaks off half-way.
    Resets {
        /// How much.
        share: f64,
        /// Which part of the answers.
        rate: f64,
    },
    /// What lies before a share forgets its connections, one box after the other over the time: nothing passes on them
    /// any more, and neither end is told.
    HalfOpen {
        /// How much.
        share: f64,
    },
    /// A few keys draw a part of all requests.
    HotKeys {
        /// How many.
        keys: u32,
        /// How much of all requests.
        share: f64,
    },
    /// More is asked by this factor.
    Surge {
        /// The factor.
        factor: f64,
    },
    /// The origin takes longer by this factor.
    SlowOrigin {
        /// The factor.
        factor: f64,
    },
    /// Discovery answers nobody.
    DiscoveryAway,
    /// Discovery breaks a part of its answers off, or sends what can't be read; they cost it as much as good ones.
    DiscoveryBreaks {
        /// Which part.
        rate: f64,
    },
}

/// What the play must come to; parts from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expect {
    /// Least service over the whole run.
    pub service: Option<f64>,
    /// Least service in any 10 s.
    pub worst_window: Option<f64>,
    /// Least service of any class.
    pub worst_class: Option<f64>,
    /// Most attempts at servers that are gone or cut off, by all nodes in the whole run. In virtual time.
    pub attempts_lost: Option<u64>,
    /// Most attempts at bad servers, likewise.
    pub attempts_bad: Option<u64>,
    /// Most connections opened to cache servers, likewise.
    pub connects: Option<u64>,
    /// Most calls to discovery that failed, of all nodes in the whole run. In virtual time.
    pub list_calls_failed: Option<u64>,
}

impl Script {
    /// Whether something in it is done by an operator: nodes then run from an operator's file, and not the platform's.
    pub fn operated(&self) -> bool {
        let of_operators = |what: &Trouble| matches!(what, Trouble::Upgrade { .. } | Trouble::Reload { .. });
        self.incidents.iter().any(|incident| of_operators(&incident.what))
    }
}

const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

impl Default for Kind {
    fn default() -> Self {
        Self {
            name: "box".into(),
            count: 1,
            cores: 3,
            speed: 1.0,
            slots_per_core: 4,
            queue_per_core: 16,
            memory: 2_000,
            connections: 2_000,
            cold: 0.4,
            warm_work: Duration::from_secs(12),
            warm_within: ms(7_800),
            errors: 0.001,
            idle: None,
        }
    }
}

impl Default for Script {
    fn default() -> Self {
        let kind = |name: &str, count, speed| Kind { name: name.into(), count, speed, ..Kind::default() };
        let class = |name: &str, share, work, aim, deadline, worth| Class {
            name: name.into(),
            share,
            work: ms(work),
            spread: 0.6,
            aim: ms(aim),
            deadline: ms(deadline),
            worth,
            late_worth: 0.4,
            effect: Idempotency::Idempotent,
            write: false,
        };
        Self {
            name: "unnamed".into(),
            about: String::new(),
            seed: 1,
            length: Duration::from_secs(50),
            zones: vec!["duke-street".into(), "spanish-town".into()],
            nodes: 12,
            boxes: vec![kind("fast-box", 14, 1.5), kind("std-box", 6, 0.95)],
            classes: vec![
                class("entry-view", 0.35, 40, 300, 600, 5.0),
                class("name-check", 0.34, 42, 150, 500, 2.0),
                class("cert-build", 0.31, 190, 1_200, 4_000, 5.0),
            ],
            load: Load {
                rate: 410.0,
                swing: 0.1,
                swing_every: Duration::from_secs(20),
                keys: 40_000,
                zipf: 0.9,
                first_zone: 0.55,
            },
            clients: Clients {
                retries: 3,
                try_share: 0.55,
                backoff: ms(30),
                honour: 0.2,
                max_retry_after: Duration::from_secs(2),
                impatient: 0.01,
            },
            network: Network {
                same_zone: Duration::from_micros(150),
                cross_zone: ms(6),
                client: Duration::from_micros(800),
                jitter: 0.15,
                handshake_rtts: 2,
                handshake_work: ms(2),
                idle: Duration::from_secs(60),
                connect_timeout: ms(75),
            },
            origin: Origin { slots: 20, fetch: ms(120), spread: 0.5, queue: 200, warm: 0.6 },
            discovery: Discovery {
                notice: ms(1_500),
                lines_per_s: 210.0,
                call_lines: 10.0,
                timeout: Duration::from_secs(3),
            },
            front_notice: ms(1_200),
            reports: Reports { every: ms(120), delay: ms(60), tell_misses: false },
            rules: Rules { drain_grace: ms(500), fall_multiple: 3.0, fall_span: ms(1_500), max_attempts: 3 },
            incidents: Vec::new(),
            expect: Expect::default(),
        }
    }
}
