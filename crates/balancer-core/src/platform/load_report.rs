//! Parses load reports of servers.

use crate::requests::LoadReport;
use std::time::Duration;

/// Reads a load report: name-value pairs that are separated by commas, with `separator` between name and
/// value. Each value has one name on the simulator's wire and another in the header of a cache server. A
/// value that is not a finite number from 0 up is left out, since an invalid report of a server must not stop
/// the node.
pub fn read_load_report(text: &str, separator: char) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in text.split(',').filter_map(|part| part.split_once(separator)) {
        let value = value.trim().parse::<f64>().ok();
        let value = value.filter(|value| value.is_finite() && *value >= 0.0);
        match name.trim() {
            "avg_ms" | "latency_ms" => report.service_time = value.map(millis),
            "cpu" | "util" => report.cpu_utilization = value,
            "waiting" | "queue" => report.queue_length = value,
            _ => {}
        }
    }
    report
}

fn millis(value: f64) -> Duration {
    Duration::from_micros((value * 1000.0) as u64)
}
