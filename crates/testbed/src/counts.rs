//! What all nodes together do to the fleet, second by second. What one node does is seldom worth a look: a hundred that
//! each meet a dead server once are a hundred lost attempts and time-outs in a second.
//!
//! An attempt is counted by the state in which it met its cache server, as a bystander sees that: the node may not have
//! been told.

use serde::Serialize;
use std::ops::AddAssign;

/// The state in which an attempt met its cache server. Where several hold, the first of them counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Met {
    /// Cut off: nothing passes.
    Silent,
    /// No process runs there.
    Gone,
    /// It drains.
    Draining,
    /// It fails a part of its requests on purpose of an incident.
    Bad,
    /// It has started of late.
    Cold,
    /// None of these.
    Well,
}

/// What happened in a second, or in all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Attempts that met a cut-off server.
    pub silent: u64,
    /// Attempts that met one that was gone.
    pub gone: u64,
    /// Attempts that met one that drained.
    pub draining: u64,
    /// Attempts that met a bad one.
    pub bad: u64,
    /// Attempts that met a cold one.
    pub cold: u64,
    /// All other attempts.
    pub well: u64,
    /// Connections that nodes tried to open to cache servers.
    pub connects: u64,
    /// Those that did not come up.
    pub connects_failed: u64,
    /// Calls to discovery.
    pub list_calls: u64,
    /// Those that failed.
    pub list_calls_failed: u64,
    /// Lines that calls cost discovery, whatever came of them; rounded down call by call.
    pub list_lines: u64,
}

impl Counts {
    /// Takes in an attempt.
    pub fn attempt(&mut self, met: Met) {
        *match met {
            Met::Silent => &mut self.silent,
            Met::Gone => &mut self.gone,
            Met::Draining => &mut self.draining,
            Met::Bad => &mut self.bad,
            Met::Cold => &mut self.cold,
            Met::Well => &mut self.well,
        } += 1;
    }

    /// Attempts that no answer could come of.
    pub fn lost(&self) -> u64 {
        self.silent + self.gone
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.silent += other.silent;
        self.gone += other.gone;
        self.draining += other.draining;
        self.bad += other.bad;
        self.cold += other.cold;
        self.well += other.well;
        self.connects += other.connects;
        self.connects_failed += other.connects_failed;
        self.list_calls += other.list_calls;
        self.list_calls_failed += other.list_calls_failed;
        self.list_lines += other.list_lines;
    }
}

impl std::iter::Sum for Counts {
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), |mut sum, counts| {
            sum += counts;
            sum
        })
    }
}
