//! When a node asked discovery before replicas were known, as it stood then: what it is compared with.

use std::time::Duration;

/// The longest wait that a watch asks for. Each call costs discovery as much as dozens of entries, and a change ends the
/// wait at once.
const LONGEST_WATCH: Duration = Duration::from_secs(20);
/// And the shortest. Between the two lies more than the time in which discovery can answer all nodes once: stated for the
/// fleets that this node is run for is up to 8 s.
const SHORTEST_WATCH: Duration = Duration::from_secs(10);
/// So long after discovery had it and could be reached a change counts as told to a node whose last call failed, was refused
/// or was given up. Of the operators' acceptance.
pub const TOLD: Duration = Duration::from_secs(6);
/// And of that so much is left for the call that is to hear of it: discovery lets none wait longer for its turn.
const TURN: Duration = Duration::from_secs(3);
/// A watch that says nothing for this long after its wait is dead. The rest of the 2 s in which it counts, and the grace, are there for the
/// next call: its connection, and its turn among those of other nodes.
const OVERDUE: Duration = Duration::from_millis(500);
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
    /// For so long a list is good.
    pub within: Duration,
    /// So long sending may go on after a server was told to be leaving.
    pub grace: Duration,
    /// One service is asked by all nodes; else an agent on the node's own machine has what it was sent.
    pub asked: bool,
}

impl Terms {
    fn part(self, of: u32) -> Duration {
        (self.grace / of).max(LEAST_PART)
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

/// What is known of the calls so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Asking {
    /// In a row.
    failures: u32,
    /// Answers in a row that did not wait and had no news.
    unwaited: u32,
    /// A watch was dead, and nothing has been heard since.
    dead: bool,
}

impl Asking {
    /// The next call, for changes or for the whole list. `draw` is a random number from 0 to 1.
    pub fn call(&self, terms: Terms, for_changes: bool, draw: f64) -> Call {
        if !terms.asked {
            let wait = if for_changes { terms.part(AGENT_WATCH) } else { Duration::ZERO };
            return Call { wait, limit: wait + terms.part(AGENT_OVERDUE) };
        }
        if !for_changes {
            return Call { wait: Duration::ZERO, limit: LIST };
        }
        let drawn = SHORTEST_WATCH + (LONGEST_WATCH - SHORTEST_WATCH).mul_f64(part(draw));
        // Not sooner again than all nodes have had their turn: their first calls after a failure go before second ones.
        let doubtful = self.dead || self.failures > 0;
        let wait = if doubtful { drawn.min(longest(CHANGES, terms.nodes)) } else { drawn };
        Call { wait, limit: wait + OVERDUE }
    }

    /// Takes in how this call ended and gives the pause before the next one. `for_changes` is of the next.
    pub fn ended(&mut self, terms: Terms, call: Call, end: End, for_changes: bool, draw: f64) -> Duration {
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
            End::Overdue | End::Unreached { .. } | End::Failed => {
                (self.failures, self.unwaited) = (self.failures.saturating_add(1), 0);
                let nodes = if self.dead && self.failures <= URGENT { 1 } else { terms.nodes };
                let (reached, took) = match end {
                    End::Unreached { took } => (false, took),
                    End::Overdue => (true, call.limit),
                    _ => (true, Duration::ZERO),
                };
                // It may have come back right after this call set out. Whole lists are not asked for sooner than a discovery
                // that refuses again and again may be able to send them: calls that fail would take what it has. One that is
                // not reached loses nothing by being asked.
                let soon = (TOLD - TURN).saturating_sub(took).max(STEP).min(terms.within * 2);
                let bounded = for_changes || !reached || self.failures <= PATIENT;
                let most = if bounded { soon } else { Duration::MAX };
                self.pause(terms, self.failures, nodes, for_changes, draw, most)
            }
        }
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
