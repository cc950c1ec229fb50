//! Replicas of one discovery service: which of them a node asks.
//!
//! Each node orders the replicas by rendezvous hashing (D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
//! Hit Rates", 1998) of its own name and theirs. The first is its first choice, the rest its order of failover: the nodes of
//! a lost replica spread evenly over the others. [`Replicas`] holds the order, says after each call which replica the next
//! one goes to, and when the first choice is tried again.

use crate::time::Timestamp;
use std::time::Duration;

/// So many refusals in a row by a busy replica are taken before another one is asked. A neighbour has its own nodes to
/// answer: it is not flooded because a replica refused once, and is asked after the pause of a back-off only.
const REFUSALS: u32 = 2;
/// A hold-down doubles so often with returns that fail.
const MOST_DOUBLINGS: u32 = 4;

/// What one replica of discovery can send, as the operator states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Lines of lists that one replica sends in a second.
    pub lines_per_second: f64,
    /// Lines that each call costs a replica beside those of its answer.
    pub call_lines: f64,
}

/// What a call came to, as far as the choice of replica goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// A list came, and was taken.
    Answered,
    /// The replica has too much to do, and said so.
    Refused,
    /// Anything else: not reached, overdue, broken off, no list, or a list that is not taken.
    Failed,
}

/// Where the next call goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// To the same replica.
    Stay,
    /// To the next replica, without the pause of a back-off.
    MoveOn,
    /// To the next replica, after the pause of a back-off: all replicas have failed in a row, or one refused several times.
    BackOff,
    /// To the first choice again, which had failed; the replica that is asked now still works.
    Return,
}

/// What a change of the replicas leaves standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Changed {
    /// The replica that is asked now: its watch goes on.
    CurrentStays,
    /// Others of the replicas: versions of the list go on, the watch does not.
    OthersStay,
    /// None: versions of the list mean nothing to the new ones.
    NoneStays,
}

/// The replicas of one service, in a node's order of choice.
#[derive(Clone, Debug)]
pub struct Replicas {
    node: String,
    /// As they were given.
    names: Vec<String>,
    /// Places in `names`, the first choice first.
    order: Vec<usize>,
    /// The place in `order` of the replica that is asked.
    current: usize,
    /// For each place in `order`: the last call there failed, and was not just refused.
    lost: Vec<bool>,
    /// Replicas in a row that failed.
    failed: usize,
    /// Refusals in a row by the replica that is asked.
    refusals: u32,
    /// While a return is tried: the place in `order` that worked before it.
    fallback: Option<usize>,
    /// When the first choice is tried again.
    return_at: Option<Timestamp>,
    /// Until then a failure of the first choice counts as a return that failed.
    proven_at: Option<Timestamp>,
    /// Returns in a row that failed.
    failed_returns: u32,
}

impl Replicas {
    /// The order of the node of this name. The order of `names` does not matter to it. At least one name is expected; a node
    /// without any would have nobody to ask.
    pub fn new(node: &str, names: Vec<String>) -> Self {
        let order = order(node, &names);
        let lost = vec![false; order.len()];
        Self {
            node: node.to_owned(),
            names,
            order,
            current: 0,
            lost,
            failed: 0,
            refusals: 0,
            fallback: None,
            return_at: None,
            proven_at: None,
            failed_returns: 0,
        }
    }

    /// The place, among the names that were given, of the replica that is asked.
    pub fn current(&self) -> usize {
        self.order.get(self.current).copied().unwrap_or(0)
    }

    /// Places among the names that were given: the first choice, then those asked one after the other when it fails.
    pub fn order(&self) -> &[usize] {
        &self.order
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// How many are left to share the nodes, without those that failed when this node asked them last.
    pub fn serving(&self) -> usize {
        self.lost.iter().filter(|lost| !**lost).count().max(1)
    }

    /// The first choice is being tried again.
    pub fn is_returning(&self) -> bool {
        self.fallback.is_some()
    }

    /// Takes in what a call to the current replica came to. `hold_down` is the shortest time for which a first choice that
    /// failed is left alone; up to as much again is drawn. `jitter` is a random number from 0 to 1.
    pub fn ended(&mut self, now: Timestamp, outcome: CallOutcome, hold_down: Duration, jitter: f64) -> Step {
        if self.count() < 2 {
            return Step::Stay;
        }
        self.lost[self.current] = outcome == CallOutcome::Failed;
        match outcome {
            CallOutcome::Answered => self.answered(now, hold_down, jitter),
            CallOutcome::Refused => self.refused(now, hold_down, jitter),
            CallOutcome::Failed => self.failed(now, hold_down, jitter),
        }
    }

    /// Other replicas from here on.
    pub fn change(&mut self, names: Vec<String>) -> Changed {
        let current = self.names.get(self.current()).cloned();
        let any_stays = names.iter().any(|name| self.names.contains(name));
        let mut changed = Self::new(&self.node, names);
        let stays = changed.order.iter().position(|&place| Some(&changed.names[place]) == current.as_ref());
        changed.current = stays.unwrap_or(0);
        *self = changed;
        match stays {
            Some(_) => Changed::CurrentStays,
            None if any_stays => Changed::OthersStay,
            None => Changed::NoneStays,
        }
    }

    fn answered(&mut self, now: Timestamp, hold_down: Duration, jitter: f64) -> Step {
        (self.failed, self.refusals) = (0, 0);
        if self.fallback.take().is_some() {
            // A first choice that fails again soon has not come back.
            self.proven_at = Some(now + self.hold(hold_down, jitter));
        }
        if self.current == 0 {
            self.return_at = None;
            if self.proven_at.is_none_or(|at| now >= at) {
                (self.proven_at, self.failed_returns) = (None, 0);
            }
            return Step::Stay;
        }
        match self.return_at {
            None => self.return_at = Some(now + self.hold(hold_down, jitter)),
            Some(at) if now >= at => {
                self.fallback = Some(std::mem::replace(&mut self.current, 0));
                return Step::Return;
            }
            Some(_) => {}
        }
        Step::Stay
    }

    fn refused(&mut self, now: Timestamp, hold_down: Duration, jitter: f64) -> Step {
        if self.fallback.is_some() {
            return self.failed(now, hold_down, jitter);
        }
        self.refusals += 1;
        if self.refusals < REFUSALS {
            return Step::Stay;
        }
        self.advance(now, hold_down, jitter);
        Step::BackOff
    }

    fn failed(&mut self, now: Timestamp, hold_down: Duration, jitter: f64) -> Step {
        if let Some(worked) = self.fallback.take() {
            self.failed_returns += 1;
            self.current = worked;
            self.return_at = Some(now + self.hold(hold_down, jitter));
            return Step::MoveOn;
        }
        self.failed += 1;
        self.advance(now, hold_down, jitter);
        if self.failed < self.count() {
            return Step::MoveOn;
        }
        self.failed = 0;
        Step::BackOff
    }

    /// To the next replica in order.
    fn advance(&mut self, now: Timestamp, hold_down: Duration, jitter: f64) {
        self.refusals = 0;
        if self.current == 0 {
            self.failed_returns += u32::from(self.proven_at.take().is_some());
            self.return_at = Some(now + self.hold(hold_down, jitter));
        }
        self.current = (self.current + 1) % self.count();
    }

    fn hold(&self, hold_down: Duration, jitter: f64) -> Duration {
        let shortest = hold_down.saturating_mul(1 << self.failed_returns.min(MOST_DOUBLINGS));
        shortest + shortest.mul_f64(if jitter.is_nan() { 1.0 } else { jitter.clamp(0.0, 1.0) })
    }
}

/// Places in `names`, by falling score; equal scores go by name.
fn order(node: &str, names: &[String]) -> Vec<usize> {
    let mut order: Vec<_> = (0..names.len()).collect();
    order.sort_by(|&one, &other| {
        let scores = score(node, &names[other]).cmp(&score(node, &names[one]));
        scores.then_with(|| names[one].cmp(&names[other]))
    });
    order
}

/// The score of a replica for a node: 64-bit FNV-1a (offset 0xcbf29ce484222325, prime 0x100000001b3) of the node's name, a zero
/// byte and the replica's name, then the finaliser of splitmix64 (S. Vigna), since FNV-1a mixes its last bytes little. Nodes of
/// all versions have to agree on it, or replicas get uneven shares while a fleet is updated.
fn score(node: &str, replica: &str) -> u64 {
    let bytes = node.bytes().chain([0]).chain(replica.bytes());
    let mut hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
