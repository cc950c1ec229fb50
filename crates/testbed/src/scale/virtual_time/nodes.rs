//! The state of simulated nodes: incarnation, connection, call in flight, and the decision logic of the
//! discovery client.

use super::client::{ClientDecisionLogic, NextCall};
use super::replica::Answer;
use super::versions::FIRST_VERSION;
use crate::random::RandomSource;
use std::rc::Rc;
use std::time::Duration;

/// An open connection to a replica.
#[derive(Clone, Copy, Debug)]
pub(super) struct Connection {
    pub(super) replica: u32,
    /// The time at which the last call on this connection was answered, if that call was a watch.
    pub(super) watch_answered_at: Option<Duration>,
}

/// The result of a call that is on its way to the node.
#[derive(Debug)]
pub(super) enum CallResult {
    Answer(Rc<Answer>),
    Unreachable,
    Rejected,
    Failed,
}

/// A call in flight.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) number: u64,
    pub(super) parameters: NextCall,
    pub(super) began_at: Duration,
    /// Whether a network partition cut off the call, so that none of its messages arrive any more.
    pub(super) lost: bool,
    /// The answer that the replica is sending.
    pub(super) answer: Option<Rc<Answer>>,
    pub(super) result: Option<CallResult>,
}

pub(super) struct Node {
    /// The number of times that the node was killed.
    pub(super) incarnation: u32,
    pub(super) up: bool,
    pub(super) decision_logic: Option<Box<dyn ClientDecisionLogic>>,
    pub(super) call: Option<Call>,
    /// The number of calls that all incarnations made.
    pub(super) calls: u64,
    pub(super) connection: Option<Connection>,
    /// The version of the node's list.
    pub(super) version: Option<u64>,
    /// The last version before the node was launched. Changes up to this version do not count.
    pub(super) counted_after: u64,
    /// The time of the launch; `None` once the node has a list.
    pub(super) launched_at: Option<Duration>,
    random: RandomSource,
    random_values: u64,
}

impl Node {
    pub(super) fn new(random: RandomSource) -> Self {
        Self {
            incarnation: 0,
            up: false,
            decision_logic: None,
            call: None,
            calls: 0,
            connection: None,
            version: None,
            counted_after: FIRST_VERSION,
            launched_at: None,
            random,
            random_values: 0,
        }
    }

    /// Returns the time of the first call as a fraction of the period over which first calls are spread.
    pub(super) fn first_call_fraction(&self) -> f64 {
        self.random.derive(0).uniform()
    }

    /// Calls the node's decision logic with a source of uniform random values. Returns `None` if the node is
    /// not running.
    pub(super) fn decide<T>(
        &mut self,
        decide: impl FnOnce(&mut dyn ClientDecisionLogic, &mut dyn FnMut() -> f64) -> T,
    ) -> Option<T> {
        let Self { decision_logic, random, random_values, .. } = self;
        let mut next_random = || {
            *random_values += 1;
            random.derive(*random_values).uniform()
        };
        decision_logic.as_deref_mut().map(|decision_logic| decide(decision_logic, &mut next_random))
    }
}
