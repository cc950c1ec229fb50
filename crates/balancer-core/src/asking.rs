//! When a node asks discovery for news, how long a wait it asks for, when it takes a watch for dead, and how soon it asks
//! again. Discovery is one service of fixed capacity for all nodes; they share nothing, and each call that fails costs it a
//! part of what the others could have had.
//!
//! A watch that the network has swallowed looks like one with nothing to tell. What it would have told counts as told
//! [`COUNTED`] after the wait that was asked for is over, and servers may be sent to for [`Terms::grace`] longer: by then the
//! answer to another call has to be here. So the watch is given up soon after its wait, and the next call goes out at once.
//! Watches that fell silent together were most often opened together, when one change ended all of them: each wait is drawn
//! anew, so that the nodes do not come back together to a discovery that can serve them one after the other only.
//!
//! After calls that failed: exponential back-off with full jitter (M. Brooker, "Exponential Backoff And Jitter", AWS
//! Architecture Blog, 2015), with an upper end that grows with the number of nodes: all together then ask about as often as
//! discovery can answer, however many they are. But whatever came of a call, what discovery has counts as told [`TOLD`] after
//! it could be reached. So a node that asks for changes, and one that did not reach it at all, asks again early enough for its
//! turn to come within that time, and its next watch is a short one: it may be swallowed as the last call was.
//!
//! Where the operator states what a replica of discovery can send, [`Pace`] carries that, and [`Share`] gives the times.

use crate::api::Settings;
use crate::replicas::Capacity;
use crate::share::Share;
use std::time::Duration;

/// The longest wait that a watch asks for. Each call costs discovery as much as dozens of entries, and a change ends the
/// wait at once.
const LONGEST_WATCH: Duration = Duration::from_secs(20);
/// And the shortest. Between the two lies more than the time in which discovery can answer all nodes once: stated for the
/// fleets that this node is run for is up to 8 s.
const SHORTEST_WATCH: Duration = Duration::from_secs(10);
/// The bounds of both where they are stretched: the protocol lets no call wait longer than 60 s.
const STRETCHED_LONGEST: Duration = Duration::from_secs(60);
const STRETCHED_SHORTEST: Duration = Duration::from_secs(30);
/// So long after a wait is over what a watch would have told counts as told. Of the protocol.
pub const COUNTED: Duration = Duration::from_secs(2);
/// So long after discovery had it and could be reached a change counts as told to a node whose last call failed, was refused
/// or was given up. Of the operators' acceptance.
pub const TOLD: Duration = Duration::from_secs(6);
/// And of that so much is left for the call that is to hear of it: discovery lets none wait longer for its turn.
const TURN: Duration = Duration::from_secs(3);
/// A watch that says nothing for this long after its wait is dead. The rest of [`COUNTED`], and the grace, are there for the
/// next call: its connection, and its turn among those of other nodes.
const OVERDUE: Duration = Duration::from_millis(500);
/// The same where the capacity of a replica is stated: one that works through a queue ends a wait so much later. A second of
/// [`COUNTED`] is left for the next call.
const OVERDUE_IN_QUEUE: Duration = Duration::from_secs(1);
/// A call that has nothing to wait for but its turn is given up after this time: discovery gives it up sooner.
const LIST: Duration = Duration::from_millis(3500);
/// Of an agent on the node's own machine, which answers at once and at no cost: what it learns counts as told in the same
/// moment, also where it has been silent and is not any more. So the wait, its end and the pause before the next call are
/// parts of the grace, and lie within it together.
const AGENT_WATCH: u32 = 5;
const AGENT_OVERDUE: u32 = 5;
const AGENT_PAUSE: u32 = 10;
/// No part of a grace is taken to be shorter: a grace of nothing would have the node ask without end.
const LEAST_PART: Duration = Duration::from_millis(5);
/// An answer with no news that comes before this part of its wait is over has not waited.
const WAITED: f64 = 0.5;
/// After a dead watch so many calls that fail are followed as soon as those of a few nodes: what it missed counts before long,
/// and the nodes are apart by their drawn waits. Then discovery is spared as ever.
const URGENT: u32 = 2;
/// So often in a row a whole list is asked for as soon as changes are. By then a discovery that can answer all nodes once in its
/// stated time, up to 8 s, has answered: the pauses come to 1.5 s each in the mean. One that has not has more to do than that.
const PATIENT: u32 = 5;
/// Of an answer that is still coming, what can be read is heeded so many times within the grace.
const LOOKS: u32 = 4;

/// The first step of the back-off; it doubles with each failure.
const STEP: Duration = Duration::from_millis(200);
/// The longest step of a few nodes.
const LONGEST: Duration = Duration::from_secs(3);
/// At any number of nodes the first step is no less than such a part of the longest: steps that begin as short as those of
/// a few have hundreds of nodes fail again and again within the first second.
const STEPS: u32 = 16;
/// And for each node, where a whole list is asked for: about what it takes discovery to send one, of 40 servers at 200
/// lines a second.
const WHOLE: Duration = Duration::from_millis(250);
/// The same where only changes are asked for: what a call costs without any.
const CHANGES: Duration = Duration::from_millis(50);

/// What the settings say of asking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// How many nodes ask.
    pub nodes: u32,
    /// [`Settings::max_poll_interval`].
    pub within: Duration,
    /// [`Settings::drain_grace`].
    pub grace: Duration,
    /// One service is asked by all nodes; else an agent on the node's own machine has what it was sent.
    pub asked: bool,
}

impl Terms {
    /// Of these settings.
    pub fn of(settings: &Settings) -> Self {
        Self {
            nodes: settings.nodes,
            within: settings.max_poll_interval,
            grace: settings.drain_grace,
            asked: settings.discovery_is_polled,
        }
    }

    /// How often an answer that is still coming is looked into: what discovery has written counts as told.
    pub fn look(self) -> Duration {
        self.part(LOOKS)
    }

    fn part(self, of: u32) -> Duration {
        (self.grace / of).max(LEAST_PART)
    }
}

/// What a node paces its calls by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// What the settings say; `nodes` are those that ask one replica.
    pub terms: Terms,
    /// What one replica can do for them, where the operator states it.
    pub share: Option<Share>,
}

impl From<Terms> for Pace {
    fn from(terms: Terms) -> Self {
        Self { terms, share: None }
    }
}

impl Pace {
    /// Of one of so many replicas that share the nodes. `list_lines` are those of the list that the node holds.
    pub fn of(terms: Terms, replicas: usize, capacity: Option<Capacity>, list_lines: Option<u32>) -> Self {
        let replicas = u32::try_from(replicas.max(1)).unwrap_or(u32::MAX);
        let nodes = terms.nodes.div_ceil(replicas);
        // An agent on the node's own machine has no capacity that nodes could share.
        let capacity = capacity.filter(|_| terms.asked);
        let share = capacity.map(|capacity| Share { nodes, capacity, list_lines });
        Self { terms: Terms { nodes, ..terms }, share }
    }

    /// For so long at the least a replica that failed is left alone by the nodes whose first choice it is.
    pub fn hold_down(self) -> Duration {
        let capacity = Capacity { lines_per_second: 1.0, call_lines: CHANGES.as_secs_f64() };
        let assumed = Share { nodes: self.terms.nodes, capacity, list_lines: None };
        self.share.unwrap_or(assumed).hold_down()
    }

    /// How long the rest of an answer that has begun may take; `None` where that is no matter of its length.
    pub fn sending(self, given_up: u32) -> Option<Duration> {
        self.share.map(|share| share.list_allowance(given_up))
    }

    /// The shortest and the longest wait of a watch.
    fn watches(self) -> (Duration, Duration) {
        let Some(share) = self.share else { return (SHORTEST_WATCH, LONGEST_WATCH) };
        let stretch = share.stretch((SHORTEST_WATCH + LONGEST_WATCH) / 2);
        let stretched = |time: Duration, most: Duration| time.mul_f64(stretch.min(10.0)).min(most);
        (stretched(SHORTEST_WATCH, STRETCHED_SHORTEST), stretched(LONGEST_WATCH, STRETCHED_LONGEST))
    }

    /// In this time discovery has answered the first calls of all nodes, if it has nothing to tell them.
    fn first_calls(self) -> Duration {
        match self.share {
            Some(share) => LONGEST.max(share.all_calls()),
            None => longest(CHANGES, self.terms.nodes),
        }
    }
}

/// A call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// How long discovery is asked to wait for news.
    pub wait: Duration,
    /// The call is given up when it has no answer after this time.
    pub limit: Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With a list that was taken.
    Answered {
        /// How long after the call.
        took: Duration,
        /// Whether it says anything new.
        news: bool,
    },
    /// It was given up: no answer, or no end of one, in [`Call::limit`].
    Overdue,
    /// Discovery was not reached: no connection to it has come up.
    Unreached {
        /// For so long it was tried.
        took: Duration,
    },
    /// In any other way: refused, broken off, or with a list that is not taken.
    Failed,
}

/// A call that failed, as far as the next pause goes by it.
#[derive(Clone, Copy, Debug)]
struct Failure {
    /// Discovery was reached.
    reached: bool,
    /// It said that it has too much to do.
    refused: bool,
    /// The call was given up.
    given_up: bool,
    /// So long after the call.
    took: Duration,
}

impl Failure {
    /// `None` for a call that was answered.
    fn of(call: Call, end: End) -> Option<Self> {
        let failure = Self { reached: true, refused: false, given_up: false, took: Duration::ZERO };
        match end {
            End::Answered { .. } => None,
            End::Overdue => Some(Self { given_up: true, took: call.limit, ..failure }),
            End::Unreached { took } => Some(Self { reached: false, took, ..failure }),
            End::Failed => Some(failure),
        }
    }
}

/// What is known of the calls so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asking {
    /// In a row.
    failures: u32,
    /// Answers in a row that did not wait and had no news.
    unwaited: u32,
    /// A watch was dead, and nothing has been heard since.
    dead: bool,
    /// Another replica is asked than the last that answered, and has not answered yet.
    elsewhere: bool,
    /// Calls for the full list that were given up, in a row.
    given_up: u32,
    /// For so long discovery was reached and gave no list.
    refused_for: Duration,
}

impl Asking {
    /// The next call, for changes or for the whole list. `draw` is a random number from 0 to 1.
    pub fn call(&self, pace: impl Into<Pace>, for_changes: bool, draw: f64) -> Call {
        let pace = pace.into();
        let terms = pace.terms;
        if !terms.asked {
            let wait = if for_changes { terms.part(AGENT_WATCH) } else { Duration::ZERO };
            return Call { wait, limit: wait + terms.part(AGENT_OVERDUE) };
        }
        if !for_changes {
            return Call { wait: Duration::ZERO, limit: LIST + self.sending(pace).unwrap_or_default() };
        }
        let (shortest, longest) = pace.watches();
        let drawn = shortest + (longest - shortest).mul_f64(part(draw));
        // Not sooner again than all nodes have had their turn: their first calls after a failure go before second ones.
        let doubtful = self.dead || self.elsewhere || self.failures > 0;
        let wait = if doubtful { drawn.min(pace.first_calls()) } else { drawn };
        Call { wait, limit: wait + pace.share.map_or(OVERDUE, |_| OVERDUE_IN_QUEUE) }
    }

    /// How long the rest of an answer that has begun may take; `None` where no capacity is stated.
    pub fn sending(&self, pace: impl Into<Pace>) -> Option<Duration> {
        pace.into().sending(self.given_up)
    }

    /// The next call goes to another replica than the last that answered: what was swallowed here may be swallowed there.
    pub fn goes_elsewhere(&mut self) {
        self.elsewhere = true;
    }

    /// Takes in how this call ended where another replica is asked at once, without the pause of a back-off.
    pub fn moved_on(&mut self, call: Call, end: End) {
        if let Some(failure) = Failure::of(call, end).filter(|_| call.wait.is_zero()) {
            self.note(failure);
        }
        self.goes_elsewhere();
    }

    /// Takes in that a call was answered with 503, so long after it was made, and gives the pause before the next one.
    pub fn refused(
        &mut self,
        pace: impl Into<Pace>,
        took: Duration,
        for_changes: bool,
        draw: f64,
    ) -> Duration {
        let failure = Failure { reached: true, refused: true, given_up: false, took };
        self.failed(pace.into(), failure, for_changes, draw)
    }

    /// Takes in how this call ended and gives the pause before the next one. `for_changes` is of the next.
    pub fn ended(
        &mut self,
        pace: impl Into<Pace>,
        call: Call,
        end: End,
        for_changes: bool,
        draw: f64,
    ) -> Duration {
        let pace = pace.into();
        let terms = pace.terms;
        // A call that waits for nothing but its turn was given up because discovery has too much to do.
        let watch = !call.wait.is_zero();
        match end {
            End::Answered { took, news } => {
                let early = watch && !news && took < call.wait.mul_f64(WAITED);
                let unwaited = if early { self.unwaited.saturating_add(1) } else { 0 };
                *self = Self { unwaited, ..Self::default() };
                // The watch goes on after one such answer. A discovery that never waits is asked now and then, well within the
                // time for which its last answer is good.
                self.pause(terms, unwaited.saturating_sub(1), terms.nodes, true, draw, terms.within / 2)
            }
            // Discovery refused nothing: what keeps the nodes apart is that their waits were drawn.
            End::Overdue if watch => {
                *self = Self { dead: true, ..Self::default() };
                Duration::ZERO
            }
            End::Overdue | End::Unreached { .. } | End::Failed => match Failure::of(call, end) {
                Some(failure) => self.failed(pace, failure, for_changes, draw),
                None => Duration::ZERO,
            },
        }
    }

    /// The pause after a call that failed.
    fn failed(&mut self, pace: Pace, failure: Failure, for_changes: bool, draw: f64) -> Duration {
        (self.failures, self.unwaited) = (self.failures.saturating_add(1), 0);
        self.note(failure);
        let paced = self.paced(pace, failure, for_changes).map(|most| most.mul_f64(part(draw)));
        let pause = paced.unwrap_or_else(|| self.back_off(pace.terms, failure, for_changes, draw));
        if failure.reached {
            self.refused_for = self.refused_for.saturating_add(pause);
        }
        pause
    }

    /// Counts what a call that failed tells of a busy discovery.
    fn note(&mut self, failure: Failure) {
        self.given_up = self.given_up.saturating_add(u32::from(failure.given_up));
        // A discovery that is away has nothing to do yet when it comes back.
        let before = if failure.reached { self.refused_for } else { Duration::ZERO };
        self.refused_for = before.saturating_add(if failure.reached { failure.took } else { Duration::ZERO });
    }

    /// The upper end of the pause after a call that failed, where it goes by the capacity of a replica.
    fn paced(&self, pace: Pace, failure: Failure, for_changes: bool) -> Option<Duration> {
        let share = pace.share.filter(|_| failure.reached)?;
        if !for_changes {
            return Some(share.list_pause(self.refused_for));
        }
        let pause = share.changes_pause(self.refused_for, TOLD - TURN);
        pause.filter(|_| failure.refused && !self.is_urgent())
    }

    /// The pause after a call that failed, where it goes by the number of nodes.
    fn back_off(&self, terms: Terms, failure: Failure, for_changes: bool, draw: f64) -> Duration {
        let nodes = if self.is_urgent() { 1 } else { terms.nodes };
        let lost = if failure.refused { Duration::ZERO } else { failure.took };
        // It may have come back right after this call set out. Whole lists are not asked for sooner than a discovery
        // that refuses again and again may be able to send them: calls that fail would take what it has. One that is
        // not reached loses nothing by being asked.
        let soon = (TOLD - TURN).saturating_sub(lost).max(STEP).min(terms.within * 2);
        let bounded = for_changes || !failure.reached || self.failures <= PATIENT;
        let most = if bounded { soon } else { Duration::MAX };
        self.pause(terms, self.failures, nodes, for_changes, draw, most)
    }

    /// What a dead watch missed counts before long.
    fn is_urgent(&self) -> bool {
        self.dead && self.failures <= URGENT
    }

    /// An agent is nobody else's, and is asked again soon. `most` bounds the step, not what is drawn of it: the nodes whose
    /// steps are longer would all come together at that bound.
    fn pause(
        self,
        terms: Terms,
        times: u32,
        nodes: u32,
        for_changes: bool,
        draw: f64,
        most: Duration,
    ) -> Duration {
        match (terms.asked, times) {
            (_, 0) => Duration::ZERO,
            (false, _) => terms.part(AGENT_PAUSE),
            (true, _) => wait(nodes, times, for_changes, 1.0).min(most).mul_f64(part(draw)),
        }
    }
}

/// The wait before a call that follows so many failed ones, for one of so many nodes. `holds_list`: it asks for changes of
/// the list that it has. `draw` is a random number from 0 to 1.
pub fn wait(nodes: u32, failures: u32, holds_list: bool, draw: f64) -> Duration {
    if failures == 0 {
        return Duration::ZERO;
    }
    let longest = longest(if holds_list { CHANGES } else { WHOLE }, nodes);
    let step = STEP.max(longest / STEPS).saturating_mul(1 << failures.min(16)).min(longest);
    step.mul_f64(part(draw))
}

/// The longest step of so many nodes, of which each costs discovery this much.
fn longest(share: Duration, nodes: u32) -> Duration {
    LONGEST.max(share.saturating_mul(nodes))
}

fn part(draw: f64) -> f64 {
    if draw.is_nan() {
        1.0
    } else {
        draw.clamp(0.0, 1.0)
    }
}
