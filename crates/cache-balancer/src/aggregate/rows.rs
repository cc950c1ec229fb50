//! Aggregates the tally lines of all nodes into the rows of a table.

use super::logs::TallyLogs;
use crate::tally::{AttemptCounts, NotifiedState, TallyLine};
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::Table;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Fraction of failed attempts in a second from which a server counts as an outlier.
const OUTLIER_FAILURE_FRACTION: f64 = 0.4;
/// Minimum number of attempts in a second for a server to count as an outlier.
const MIN_OUTLIER_ATTEMPTS: u64 = 4;

/// Counts of all nodes in one time span. The last five counts are attempts by the state of their server.
///
/// Scripts read the JSON, so the serialized field names must not change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct Row {
    pub(super) nodes: usize,
    pub(super) served: u64,
    #[serde(rename = "refused")]
    pub(super) rejected: u64,
    pub(super) failed: u64,
    #[serde(rename = "repeats")]
    pub(super) retries: u64,
    pub(super) trips: u64,
    pub(super) lists: u64,
    pub(super) lists_failed: u64,
    #[serde(rename = "connect")]
    pub(super) connect_errors: u64,
    #[serde(rename = "timeout")]
    pub(super) timeouts: u64,
    #[serde(rename = "full")]
    pub(super) queue_full: u64,
    #[serde(rename = "error")]
    pub(super) errors: u64,
    #[serde(rename = "well")]
    pub(super) healthy: u64,
    #[serde(rename = "cold")]
    pub(super) warming_up: u64,
    #[serde(rename = "bad")]
    pub(super) outlier: u64,
    pub(super) draining: u64,
    #[serde(rename = "gone")]
    pub(super) removed: u64,
}

impl Row {
    /// Adds the counts of a line that are not broken down by server.
    fn add_line(&mut self, line: &TallyLine) {
        for (sum, count) in [
            (&mut self.served, line.served),
            (&mut self.rejected, line.rejected),
            (&mut self.failed, line.failed),
            (&mut self.retries, line.retries),
            (&mut self.trips, line.trips),
            (&mut self.lists, line.lists),
            (&mut self.lists_failed, line.lists_failed),
        ] {
            *sum += u64::from(count);
        }
    }

    /// Adds the attempts of one second at one server with this known state.
    fn add_attempts(&mut self, counts: &AttemptCounts, known: KnownServer, second: u64, warm_within_s: u64) {
        self.connect_errors += u64::from(counts.connect_errors);
        self.timeouts += u64::from(counts.timeouts);
        self.queue_full += u64::from(counts.queue_full);
        self.errors += u64::from(counts.errors);
        *match known.end {
            Some(NotifiedState::Removed) => &mut self.removed,
            Some(NotifiedState::Draining) => &mut self.draining,
            _ if is_outlier(counts) => &mut self.outlier,
            _ if second.saturating_sub(known.started_at_s) < warm_within_s => &mut self.warming_up,
            _ => &mut self.healthy,
        } += counts.total();
    }

    fn cells(&self, second: u64) -> [u64; 18] {
        [
            second,
            self.nodes as u64,
            self.served,
            self.rejected,
            self.failed,
            self.retries,
            self.trips,
            self.lists,
            self.lists_failed,
            self.connect_errors,
            self.timeouts,
            self.queue_full,
            self.errors,
            self.healthy,
            self.warming_up,
            self.outlier,
            self.draining,
            self.removed,
        ]
    }
}

fn is_outlier(counts: &AttemptCounts) -> bool {
    let total = counts.total();
    let failed = total - u64::from(counts.ok);
    total >= MIN_OUTLIER_ATTEMPTS && failed as f64 >= OUTLIER_FAILURE_FRACTION * total as f64
}

/// Latest state of a server, combined from the notifications of all nodes.
///
/// Notifications reach nodes at different times. A late `Ready` does not revive a server that is draining or
/// removed, unless its start time is later, which means a new incarnation. A drain that is revoked within one
/// incarnation cannot be distinguished from a late notification.
#[derive(Clone, Copy, Debug, Default)]
struct KnownServer {
    /// Start of the server's incarnation, in seconds of Unix time; 0 if unknown.
    started_at_s: u64,
    /// `Draining` or `Removed` after such a notification for this incarnation.
    end: Option<NotifiedState>,
}

impl KnownServer {
    fn update(&mut self, state: NotifiedState) {
        match (state, self.end) {
            (NotifiedState::Ready(started_at_s), _) if started_at_s > self.started_at_s => {
                *self = Self { started_at_s, end: None };
            }
            (NotifiedState::Ready(_), _) | (NotifiedState::Draining, Some(NotifiedState::Removed)) => {}
            (NotifiedState::Draining | NotifiedState::Removed, _) => self.end = Some(state),
        }
    }
}

/// Aggregates the counts of all nodes by time spans of `span_s` seconds. A server counts as warming up for
/// `warm_within_s` seconds after its start.
pub(super) fn rows(logs: &TallyLogs, span_s: u64, warm_within_s: u64) -> BTreeMap<u64, Row> {
    let mut rows: BTreeMap<u64, Row> = BTreeMap::new();
    let mut nodes: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    let mut known: BTreeMap<&str, KnownServer> = BTreeMap::new();
    for (second, lines) in &logs.seconds {
        let span = second / span_s * span_s;
        let row = rows.entry(span).or_default();
        let mut attempts: BTreeMap<&str, AttemptCounts> = BTreeMap::new();
        for line in lines {
            nodes.entry(span).or_default().insert(&line.node);
            row.add_line(line);
            for (server, state) in &line.notified {
                known.entry(server).or_default().update(*state);
            }
            for (server, counts) in &line.servers {
                attempts.entry(server).or_default().add(counts);
            }
        }
        for (server, counts) in attempts {
            let known = known.get(server).copied().unwrap_or_default();
            row.add_attempts(&counts, known, *second, warm_within_s);
        }
    }
    for (span, names) in nodes {
        rows.entry(span).or_default().nodes = names.len();
    }
    rows
}

/// Renders the rows as a table. Seconds are relative to the first row.
pub(super) fn table(rows: &BTreeMap<u64, Row>) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header([
        "second",
        "nodes",
        "served",
        "refused",
        "failed",
        "repeats",
        "trips",
        "lists",
        "lists failed",
        "no connection",
        "time-out",
        "full",
        "error",
        "at well",
        "cold",
        "bad",
        "draining",
        "gone",
    ]);
    let start = rows.keys().next().copied().unwrap_or(0);
    for (second, row) in rows {
        table.add_row(row.cells(second - start).map(|count| count.to_string()));
    }
    table
}
