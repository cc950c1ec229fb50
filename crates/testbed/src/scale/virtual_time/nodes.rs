//! Nodes as the player sees them: a life, a connection, a call that is out, and the decisions of a client.

use super::client::{ClientDecisions, NextCall};
use super::replica::Answer;
use super::versions::FIRST_VERSION;
use crate::random::RandomSource;
use std::rc::Rc;
use std::time::Duration;

/// An open connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Link {
    pub(super) replica: u32,
    /// When the last watch on it was answered, if that was the last call.
    pub(super) watch_answered: Option<Duration>,
}

/// What came of a call.
#[derive(Debug)]
pub(super) enum Came {
    Answer(Rc<Answer>),
    Unreached,
    Refused,
    Failed,
}

/// A call that is out.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) number: u64,
    pub(super) asked: NextCall,
    pub(super) began: Duration,
    /// Nothing that belongs to it passes any more.
    pub(super) lost: bool,
    /// What the replica is about to send.
    pub(super) answer: Option<Rc<Answer>>,
    pub(super) came: Option<Came>,
}

pub(super) struct Node {
    pub(super) life: u32,
    pub(super) up: bool,
    pub(super) decisions: Option<Box<dyn ClientDecisions>>,
    pub(super) call: Option<Call>,
    pub(super) calls: u64,
    pub(super) link: Option<Link>,
    pub(super) held: Option<u64>,
    /// Changes after this version count: it runs since then.
    pub(super) counts_after: u64,
    /// When it was launched, until it holds a list.
    pub(super) launched: Option<Duration>,
    random: RandomSource,
    random_count: u64,
}

impl Node {
    pub(super) fn new(random: RandomSource) -> Self {
        Self {
            life: 0,
            up: false,
            decisions: None,
            call: None,
            calls: 0,
            link: None,
            held: None,
            counts_after: FIRST_VERSION,
            launched: None,
            random,
            random_count: 0,
        }
    }

    /// When it makes its first call, from 0 to 1 of the time that there is for that.
    pub(super) fn first_random(&self) -> f64 {
        self.random.derive(0).uniform()
    }

    /// Its decisions, with random numbers.
    pub(super) fn decide<T>(
        &mut self,
        decide: impl FnOnce(&mut dyn ClientDecisions, &mut dyn FnMut() -> f64) -> T,
    ) -> Option<T> {
        let Self { decisions, random, random_count, .. } = self;
        let mut random = || {
            *random_count += 1;
            random.derive(*random_count).uniform()
        };
        decisions.as_deref_mut().map(|decisions| decide(decisions, &mut random))
    }
}
