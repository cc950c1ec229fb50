//! The replicas of discovery in an operator's file: one address or a list of them, and what each can send.

use crate::config::DiscoveryReplicas;
use balancer_core::discovery::ReplicaCapacity;
use checked_toml::Table;
use std::fmt::Write;
use std::ops::RangeInclusive;

const ADDRESSES: &str = "discovery";
const LINES_PER_SECOND: &str = "discovery_lines_per_second";
const CALL_LINES: &str = "discovery_call_lines";
/// One that sends fewer lines than a list has servers is none; more than the upper end no machine sends.
const LINES_PER_SECOND_RANGE: RangeInclusive<f64> = 1.0..=1e8;
/// A call is never free: nodes would take a replica for one that can be asked without end.
const CALL_LINES_RANGE: RangeInclusive<f64> = 0.01..=1e6;

/// Reads them from a `[[pool]]`; `None` where it names none, or none of use.
pub(super) fn read(pool: &Table) -> Option<DiscoveryReplicas> {
    let expected = "an address and port, such as \"127.0.0.1:7100\"";
    let addresses = pool.parse_set(ADDRESSES, expected, DiscoveryReplicas::MOST);
    let capacity = capacity(pool);
    Some(DiscoveryReplicas::new(addresses?, capacity))
}

fn capacity(pool: &Table) -> Option<ReplicaCapacity> {
    let lines_per_second = pool.number(LINES_PER_SECOND, LINES_PER_SECOND_RANGE);
    let call_lines = pool.number(CALL_LINES, CALL_LINES_RANGE);
    for (key, other) in [(LINES_PER_SECOND, CALL_LINES), (CALL_LINES, LINES_PER_SECOND)] {
        if pool.has(key) && !pool.has(other) {
            pool.fault(key, format!("expected {other} beside it"));
        }
        if pool.has(key) && !pool.has(ADDRESSES) {
            pool.fault(key, format!("expected {ADDRESSES} beside it"));
        }
    }
    Some(ReplicaCapacity { lines_per_second: lines_per_second?, call_lines: call_lines? })
}

/// Writes what [`read`] reads as the same.
pub(super) fn write(text: &mut String, replicas: &DiscoveryReplicas) -> std::fmt::Result {
    match &replicas.addresses[..] {
        [only] => writeln!(text, "{ADDRESSES} = \"{only}\"")?,
        several => {
            writeln!(text, "{ADDRESSES} = [")?;
            for address in several {
                writeln!(text, "    \"{address}\",")?;
            }
            writeln!(text, "]")?;
        }
    }
    if let Some(ReplicaCapacity { lines_per_second, call_lines }) = replicas.capacity {
        writeln!(text, "{LINES_PER_SECOND} = {lines_per_second:?}\n{CALL_LINES} = {call_lines:?}")?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
