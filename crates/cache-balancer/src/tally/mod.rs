//! Logs the activity of a pool's driver as one line per second: a prefix followed by JSON. The line has a
//! bounded length, so its cost on a busy node is too small to measure. `cache-balancer aggregate` combines
//! the lines of all nodes, which shows problems that no single node sees.

use crate::log::log;
use balancer_core::{AttemptStatus, EndpointState, ServerId, Timestamp};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Prefix of a tally line.
pub const LINE_PREFIX: &str = "tally ";
/// Maximum number of servers listed in a line; attempts at other servers are summed. Nodes are not designed
/// for larger fleets, and a line with this many servers is far shorter than the longest that `aggregate`
/// reads.
const MAX_SERVERS: usize = 1024;
/// Key of the sum over servers that are not listed. No server has this name, since names from discovery are
/// not empty.
pub const OTHER_SERVERS: &str = "";
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A tally line: the counts of one second. Zero counts are omitted from the JSON.
///
/// The JSON is stored in logs and read by later versions, so the serialized field names must not change.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TallyLine {
    /// Unix time in seconds.
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
    /// Attempts after the first one of a request.
    #[serde(rename = "repeats", default, skip_serializing_if = "is_zero")]
    pub retries: u32,
    /// Circuit breakers that tripped.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub trips: u32,
    /// Endpoint lists that were applied.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lists: u32,
    /// Polls of discovery that failed.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub lists_failed: u32,
    /// The most attempts that were in flight at a time, at the times at which something was counted.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub in_flight: u32,
    /// The longest time after which a server declined an attempt because its queue was full, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub full_after_ms: u32,
    /// Servers whose state changed in an endpoint list, with the new state.
    #[serde(rename = "told", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub notified: BTreeMap<String, NotifiedState>,
    /// Finished attempts by server.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub servers: BTreeMap<String, AttemptCounts>,
}

/// State of a server, as reported by an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotifiedState {
    /// The server accepts requests. It started at this Unix time in seconds; 0 if unknown.
    Ready(u64),
    /// The server accepts no new requests.
    Draining,
    /// The server has left the fleet.
    #[serde(rename = "gone")]
    Removed,
}

/// Number of attempts at a server by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// The server responded with a value or a miss.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub ok: u32,
    /// No connection could be established.
    #[serde(rename = "connect", default, skip_serializing_if = "is_zero")]
    pub connect_errors: u32,
    /// No response arrived in time.
    #[serde(rename = "timeout", default, skip_serializing_if = "is_zero")]
    pub timeouts: u32,
    /// The server rejected the attempt because its queue was full.
    #[serde(rename = "full", default, skip_serializing_if = "is_zero")]
    pub queue_full: u32,
    /// The server responded with an error or reset the connection.
    #[serde(rename = "error", default, skip_serializing_if = "is_zero")]
    pub errors: u32,
}

impl AttemptCounts {
    /// Counts an attempt. Attempts that the node cancelled or never sent are not counted.
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

    /// Adds other counts, saturating at the maximum value.
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

    /// Returns the total number of attempts.
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

    /// Returns whether nothing was counted.
    fn is_empty(&self) -> bool {
        *self == Self { in_flight: self.in_flight, ..Self::empty(self.second, &self.node, &self.pool) }
    }

    /// Counts a finished attempt at this server, which took this time.
    pub fn record_attempt(&mut self, server: &ServerId, status: AttemptStatus, elapsed: Duration) {
        if status == AttemptStatus::QueueFull {
            let elapsed_ms = u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX);
            self.full_after_ms = self.full_after_ms.max(elapsed_ms);
        }
        let is_listed = self.servers.len() < MAX_SERVERS || self.servers.contains_key(server.as_str());
        let name = if is_listed { server.as_str() } else { OTHER_SERVERS };
        match self.servers.get_mut(name) {
            Some(counts) => counts.record(status),
            None => self.servers.entry(name.to_owned()).or_default().record(status),
        }
    }

    /// Records the new state of a server from an endpoint list. At most [`MAX_SERVERS`] servers are kept per
    /// second.
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

/// Collects the counts of the current second. A line is written when the first event of a later second is
/// counted; the last line is written on drop.
pub struct Tally {
    enabled: Rc<Cell<bool>>,
    line: TallyLine,
}

impl Tally {
    /// Creates the tally of a pool's driver. Lines are written only while `enabled` is set.
    pub fn new(node: &str, pool: &str, enabled: Rc<Cell<bool>>) -> Self {
        Self { enabled, line: TallyLine::empty(0, node, pool) }
    }

    /// Returns the line that counts events at this time. Writes the previous line if its second has passed.
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
        // Serialization fails only for maps whose keys are not strings, and there are none.
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
