//! What is due in a play, in the order of time.

use super::Ended;
use crate::ledger::Answer;
use balancer_core::{EndpointState, Timestamp};
use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
pub(super) enum What {
    Ask,
    /// A client sends a try.
    Try {
        ask: usize,
        number: u32,
    },
    /// It reaches its node.
    Arrive(usize),
    /// An answer, or the end of its connection (`None`), reaches the client.
    Heard {
        request: usize,
        answer: Option<Answer>,
        away: Duration,
    },
    GivesUp(usize),
    Leaves(usize),
    /// The node sees that the client has gone.
    Left(usize),
    Guard(usize),
    Wake {
        node: usize,
        life: u32,
    },
    /// The connection is up: the attempt's first byte goes out.
    Write {
        request: usize,
        attempt: usize,
    },
    /// Its last byte has come.
    Reach {
        request: usize,
        attempt: usize,
    },
    /// What came of it reaches the node.
    Back {
        request: usize,
        attempt: usize,
        came: Ended,
    },
    Timeout {
        request: usize,
        attempt: usize,
    },
    Look(usize),
    LookAtOrigin,
    Change(usize),
    /// Discovery notices a change.
    Notice {
        host: usize,
        state: EndpointState,
        started: Option<Timestamp>,
    },
    /// A call of a node's ends: with what discovery has, or not at all.
    Told {
        node: usize,
        life: u32,
        ok: bool,
    },
    /// A node asks discovery again.
    Call {
        node: usize,
        life: u32,
    },
    FrontHears {
        node: usize,
        life: u32,
        up: bool,
    },
    Ends {
        node: usize,
        life: u32,
        force: bool,
        down: Duration,
    },
    Start(usize),
    Sample,
}

#[derive(Debug)]
pub(super) struct Due {
    pub(super) at: Timestamp,
    number: u64,
    pub(super) what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The earliest is the greatest: the heap gives that first. At the same time, the one that was put in first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

#[derive(Default)]
pub(super) struct Agenda {
    heap: BinaryHeap<Due>,
    number: u64,
}

impl Agenda {
    pub(super) fn put(&mut self, at: Timestamp, what: What) {
        self.number += 1;
        self.heap.push(Due { at, number: self.number, what });
    }

    pub(super) fn pop(&mut self) -> Option<Due> {
        self.heap.pop()
    }
}
