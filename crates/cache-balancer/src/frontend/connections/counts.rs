//! Counts of what happened to client connections, for the log.

use serde::Serialize;
use std::cell::Cell;

/// Counts since they were last taken.
#[derive(Debug, Default)]
pub(super) struct ConnectionCounters {
    pub(super) opened: Cell<u32>,
    pub(super) evicted: Cell<u32>,
    pub(super) rejected_incomplete: Cell<u32>,
    pub(super) rejected_for_memory: Cell<u32>,
    pub(super) timed_out: Cell<u32>,
}

/// What happened to client connections within a time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConnectionCounts {
    /// Connections that were accepted.
    pub opened: u32,
    /// Connections that were closed in favour of others.
    pub evicted: u32,
    /// Requests that were rejected because too many were incomplete.
    pub rejected_incomplete: u32,
    /// Requests that were rejected while they arrived, because no memory was left.
    pub rejected_for_memory: u32,
    /// Connections that were closed because their phase took too long.
    pub timed_out: u32,
}

impl ConnectionCounters {
    /// Adds one to a count.
    pub(super) fn count(counter: &Cell<u32>) {
        counter.set(counter.get().saturating_add(1));
    }

    /// Returns the counts and sets them to zero.
    pub(super) fn take(&self) -> ConnectionCounts {
        ConnectionCounts {
            opened: self.opened.take(),
            evicted: self.evicted.take(),
            rejected_incomplete: self.rejected_incomplete.take(),
            rejected_for_memory: self.rejected_for_memory.take(),
            timed_out: self.timed_out.take(),
        }
    }
}

impl ConnectionCounts {
    /// Returns whether a connection or a request ended otherwise than its client asked for.
    pub fn has_closed_any(&self) -> bool {
        *self != Self { opened: self.opened, ..Self::default() }
    }
}
