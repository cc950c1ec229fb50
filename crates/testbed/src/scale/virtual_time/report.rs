//! Formats outcomes as a table.

use super::measure::{Latencies, Outcome};
use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};
use std::time::Duration;

const HEADER: [&str; 14] = [
    "scene",
    "changes",
    "p50",
    "p99",
    "last",
    "never",
    "last list",
    "over sending",
    "no list",
    "calls",
    "refused",
    "lines, largest over mean",
    "longest queue",
    "bytes a node a second",
];

/// Returns a Markdown table with a row for each outcome. The columns `p50`, `p99` and `last` show the times
/// from a change at discovery until a node applies it. `last list` is the longest time from a launch until
/// the node has a list, and `over sending` is that time divided by the time that replicas need to send all
/// these lists.
pub fn table<'a>(rows: impl IntoIterator<Item = (&'a str, &'a Outcome)>) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    table.set_header(HEADER);
    for (name, outcome) in rows {
        table.add_row(cells(name, outcome));
    }
    for number in 1..HEADER.len() {
        if let Some(column) = table.column_mut(number) {
            column.set_cell_alignment(CellAlignment::Right);
        }
    }
    table.to_string()
}

fn cells(name: &str, outcome: &Outcome) -> [String; 14] {
    let latency = |fraction| time(outcome.latencies.quantile(fraction));
    let last_list = outcome.lists.quantile(1.0);
    let bytes = outcome.total(|replica| replica.bytes() as f64);
    let node_seconds = f64::from(outcome.nodes) * outcome.measured.as_secs_f64();
    let longest = outcome.replicas.iter().map(|replica| replica.longest_queue).max();
    [
        name.to_owned(),
        outcome.changes.to_string(),
        latency(0.5),
        latency(0.99),
        latency(1.0),
        count_with_percentage(outcome.never, &outcome.latencies),
        time(last_list),
        relative_to_sending(last_list, outcome.sending_takes),
        outcome.without_list.to_string(),
        outcome.total(|replica| replica.calls as f64).to_string(),
        outcome.total(|replica| replica.rejected as f64).to_string(),
        format!("{:.2}", outcome.largest_over_mean(|replica| replica.lines)),
        time(longest),
        format!("{:.0}", bytes / node_seconds),
    ]
}

fn time(time: Option<Duration>) -> String {
    time.map_or("-".into(), |time| format!("{:.2} s", time.as_secs_f64()))
}

fn count_with_percentage(never: u64, latencies: &Latencies) -> String {
    let all = never + latencies.count();
    if never == 0 {
        "0".into()
    } else {
        format!("{never} ({:.1}%)", 100.0 * never as f64 / all as f64)
    }
}

fn relative_to_sending(last_list: Option<Duration>, sending: Duration) -> String {
    match last_list {
        Some(last) if !sending.is_zero() => format!("{:.2}", last.as_secs_f64() / sending.as_secs_f64()),
        _ => "-".into(),
    }
}
