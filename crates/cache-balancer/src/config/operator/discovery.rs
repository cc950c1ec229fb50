//! The discovery settings of a pool in an operator's file: the address of each replica, and the capacity of a
//! replica.

use crate::config::DiscoveryReplicas;
use balancer_core::discovery::ReplicaCapacity;
use checked_toml::Table;
use std::fmt::Write;
use std::ops::RangeInclusive;

const ADDRESSES: &str = "discovery";
const LINES_PER_SECOND: &str = "discovery_lines_per_second";
const CALL_LINES: &str = "discovery_call_lines";
/// A replica that sends fewer lines per second than a list has servers is useless, and no machine sends more
/// than the upper bound.
const LINES_PER_SECOND_RANGE: RangeInclusive<f64> = 1.0..=1e8;
/// The cost of a call is never 0: nodes would assume that a replica can answer any number of calls.
const CALL_LINES_RANGE: RangeInclusive<f64> = 0.01..=1e6;

/// Reads the replicas from a `[[pool]]`. Returns `None` if there are none or their addresses are invalid.
pub(super) fn read(pool: &Table) -> Option<DiscoveryReplicas> {
    let expected = "an address and port, such as \"127.0.0.1:7100\"";
    let addresses = pool.parse_set(ADDRESSES, expected, DiscoveryReplicas::MAX);
    let capacity = capacity(pool);
    Some(DiscoveryReplicas::new(addresses?, capacity))
}

fn capacity(pool: &Table) -> Option<ReplicaCapacity> {
    let lines_per_second = pool.number(LINES_PER_SECOND, LINES_PER_SECOND_RANGE);
    let call_lines = pool.number(CALL_LINES, CALL_LINES_RANGE);
    for (key, other) in [(LINES_PER_SECOND, CALL_LINES), (CALL_LINES, LINES_PER_SECOND)] {
        if pool.has(key) && !pool.has(other) {
            pool.fault(key, format!("expected {other} to be set as well"));
        }
        if pool.has(key) && !pool.has(ADDRESSES) {
            pool.fault(key, format!("expected {ADDRESSES} to be set as well"));
        }
    }
    Some(ReplicaCapacity { lines_per_second: lines_per_second?, call_lines: call_lines? })
}

/// Writes the replicas so that [`read`] returns equal ones.
pub(super) fn write(text: &mut String, replicas: &DiscoveryReplicas) -> std::fmt::Result {
    match &replicas.addresses[..] {
        [address] => writeln!(text, "{ADDRESSES} = \"{address}\"")?,
        addresses => {
            writeln!(text, "{ADDRESSES} = [")?;
            for address in addresses {
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
