//! What the driver of a pool did in each second, as one line of the log: a word, and JSON behind it. One line
//! a second of bounded length costs a busy node nothing that can be measured, and the lines of all nodes
//! together show what none of them sees (`cache-balancer aggregate`).

use crate::log::log;
use balancer_core::{AttemptStatus, EndpointState, ServerId, Timestamp};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The first word of such a line.
pub const LINE_PREFIX: &str = "tally ";
/// The number of servers that a line names; the attempts at others are added up. No fleet that a node was
/// built for has more, and a line of this number is a small part of what `aggregate` reads as one.
const MAX_SERVERS: usize = 1024;
/// The name under which the others are added up: no server has it, since discovery's names are not empty.
pub const OTHER_SERVERS: &str = "";
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A line. Counts are of one second, and those of 0 are left out.
///
/// Its JSON is stored in logs and read by later versions: the names of its fields stay.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TallyLine {
    /// The second of Unix time.
    pub second: u64,
    /// The name of the node.
    pub node: String,
    /// The name of the pool.
    pub pool: String,
    /// Requests that were served.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub served: u32,
    /// Requests that were rejected.
    #[serde(rename = "refused", default, skip_serializing_if = "is_zero")]
    pub rejected: u32,
    /// Requests that failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub failed: u32,
    /// Attempts of a request after its first.
    #[serde(rename = "repeats", default, skip_serializing_if = "is_zero")]
    pub retries: u32,
    /// Circuit breakers that tripped.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub trips: u32,
    /// Endpoint lists that were applied.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lists: u32,
    /// Calls to discovery that failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lists_failed: u32,
    /// Servers of which a list notified a new state.
    #[serde(rename = "told", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub notified: BTreeMap<String, NotifiedState>,
    /// Attempts that ended, by server.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub servers: BTreeMap<String, AttemptCounts>,
}

/// The state of a server of which a list notified.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotifiedState {
    /// It takes requests, and started at this second of Unix time; 0 if that is unknown.
    Ready(u64),
    /// It takes no further requests.
    Draining,
    /// It has left the fleet.
    #[serde(rename = "gone")]
    Removed,
}

/// How many attempts at a server ended in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// With a response that was of use.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ok: u32,
    /// Without a connection.
    #[serde(rename = "connect", default, skip_serializing_if = "is_zero")]
    pub connect_errors: u32,
    /// Without a response in time.
    #[serde(rename = "timeout", default, skip_serializing_if = "is_zero")]
    pub timeouts: u32,
    /// Rejected by the server, whose queue was full.
    #[serde(rename = "full", default, skip_serializing_if = "is_zero")]
    pub queue_full: u32,
    /// With an error or a reset.
    #[serde(rename = "error", default, skip_serializing_if = "is_zero")]
    pub errors: u32,
}

impl AttemptCounts {
    /// Counts an attempt, unless its status is not the server's doing.
    fn record(&mut self, status: AttemptStatus) {
        *match status {
            AttemptStatus::Ok | AttemptStatus::Miss => &mut self.ok,
            AttemptStatus::ConnectError => &mut self.connect_errors,
            AttemptStatus::TimedOut => &mut self.timeouts,
            AttemptStatus::QueueFull => &mut self.queue_full,
            AttemptStatus::Failed | AttemptStatus::Reset => &mut self.errors,
            AttemptStatus::Canceled | AttemptStatus::NotSent => return,
        } += 1;
    }

    /// Adds those of another line; a sum stays at its largest value.
    pub fn add(&mut self, other: &Self) {
        for (sum, count) in [
            (&mut self.ok, other.ok),
            (&mut self.connect_errors, other.connect_errors),
            (&mut self.timeouts, other.timeouts),
            (&mut self.queue_full, other.queue_full),
            (&mut self.errors, other.errors),
        ] {
            *sum = sum.saturating_add(count);
        }
    }

    /// The number of attempts.
    pub fn total(&self) -> u64 {
        [self.ok, self.connect_errors, self.timeouts, self.queue_full, self.errors]
            .map(u64::from)
            .iter()
            .sum()
    }
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl TallyLine {
    fn empty(second: u64, node: &str, pool: &str) -> Self {
        Self { second, node: node.to_owned(), pool: pool.to_owned(), ..Self::default() }
    }

    /// Whether nothing was counted.
    fn is_empty(&self) -> bool {
        *self == Self::empty(self.second, &self.node, &self.pool)
    }

    /// Counts an attempt at this server that ended.
    pub fn record_attempt(&mut self, server: &ServerId, status: AttemptStatus) {
        let named = self.servers.len() < MAX_SERVERS || self.servers.contains_key(server.as_str());
        let name = if named { server.as_str() } else { OTHER_SERVERS };
        match self.servers.get_mut(name) {
            Some(counts) => counts.record(status),
            None => self.servers.entry(name.to_owned()).or_default().record(status),
        }
    }

    /// Records that a list notified a new state of a server. At most [`MAX_SERVERS`] of a second are kept.
    pub fn record_notification(
        &mut self,
        server: &ServerId,
        state: EndpointState,
        started_at: Option<Timestamp>,
    ) {
        if self.notified.len() < MAX_SERVERS || self.notified.contains_key(server.as_str()) {
            let state = match state {
                EndpointState::Ready => {
                    NotifiedState::Ready(started_at.map_or(0, |at| at.as_micros() / MICROS_PER_SECOND))
                }
                EndpointState::Draining => NotifiedState::Draining,
                EndpointState::Removed => NotifiedState::Removed,
            };
            self.notified.insert(server.to_string(), state);
        }
    }
}

/// Adds a second up, and writes its line once something is counted in a later one. The last line is written
/// when the driver ends.
pub struct Tally {
    enabled: Rc<Cell<bool>>,
    line: TallyLine,
}

impl Tally {
    /// The tally of a pool's driver. `enabled` follows the configuration.
    pub fn new(node: &str, pool: &str, enabled: Rc<Cell<bool>>) -> Self {
        Self { enabled, line: TallyLine::empty(0, node, pool) }
    }

    /// The line in which what happens at this time is counted.
    pub fn line_at(&mut self, now: Timestamp) -> &mut TallyLine {
        let second = now.as_micros() / MICROS_PER_SECOND;
        if second != self.line.second {
            self.write();
            self.line = TallyLine::empty(second, &self.line.node, &self.line.pool);
        }
        &mut self.line
    }

    fn write(&self) {
        if !self.enabled.get() || self.line.is_empty() {
            return;
        }
        // Only maps with keys that are no text can fail, and there are none.
        if let Ok(json) = serde_json::to_string(&self.line) {
            log!("{LINE_PREFIX}{json}");
        }
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        self.write();
    }
}

#[cfg(test)]
mod tests;
