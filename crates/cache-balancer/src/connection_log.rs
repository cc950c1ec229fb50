//! Logs why client connections were closed and requests rejected while they arrived, as one line for each
//! second in which there were any: a prefix followed by JSON.

use crate::frontend::connections::{ConnectionCounts, ConnectionTable};
use crate::log::log;
use crate::memory::{resident_bytes, MemoryAccount};
use serde::Serialize;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::interval;

/// Prefix of a line.
const LINE_PREFIX: &str = "connections ";
const INTERVAL: Duration = Duration::from_secs(1);
const KIB: usize = 1 << 10;

/// A line. The JSON is read by other programs, so the field names must not change.
#[derive(Serialize)]
struct Line<'a> {
    /// Unix time in seconds at the end of the counted second.
    second: u64,
    node: &'a str,
    open: usize,
    #[serde(flatten)]
    counts: ConnectionCounts,
    /// Memory that is reserved for long messages and lists, and its budget.
    reserved_kib: usize,
    budget_kib: usize,
    resident_kib: Option<usize>,
}

/// Logs lines while `enabled` is set, for as long as the node runs.
pub async fn run(node: String, table: Rc<ConnectionTable>, memory: MemoryAccount, enabled: Rc<Cell<bool>>) {
    let mut seconds = interval(INTERVAL);
    loop {
        seconds.tick().await;
        let counts = table.take_counts();
        if !enabled.get() || !counts.has_closed_any() {
            continue;
        }
        let (reserved, budget) = memory.usage();
        let line = Line {
            second: SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs()),
            node: &node,
            open: table.len(),
            counts,
            reserved_kib: reserved / KIB,
            budget_kib: budget / KIB,
            resident_kib: resident_bytes().map(|bytes| bytes / KIB),
        };
        // Serialization fails only for maps whose keys are not strings, and there are none.
        if let Ok(json) = serde_json::to_string(&line) {
            log!("{LINE_PREFIX}{json}");
        }
    }
}
