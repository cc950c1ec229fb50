//! Describes the course of a request in one line of text, to show the cause of a violation.

use super::record::RequestRecord;
use super::Judge;
use balancer_core::Timestamp;
use std::fmt::Write;

impl Judge {
    /// Describes the course of a request: where and when it was accepted, sent and executed, and how it
    /// ended.
    pub(super) fn trace(&self, record: &RequestRecord) -> String {
        let node = record.node;
        let mut text = format!(
            "accepted by node {node} at {}, client waits until {}",
            seconds(record.accepted_at),
            seconds(record.expires_at)
        );
        // Writing to a string does not fail.
        for (server, at) in &record.sent {
            let _ = write!(text, "; sent to {} at {}", self.server_name(*server), seconds(*at));
        }
        for (server, at) in &record.executions {
            let _ = write!(text, "; executed at {} at {}", self.server_name(*server), seconds(*at));
        }
        if let Some((at, answer)) = record.answered {
            let _ = write!(text, "; answered at {}: {answer:?}", seconds(at));
        }
        if let Some((at, reason)) = &record.connection_lost {
            let _ = write!(text, "; connection lost at {}: {reason}", seconds(*at));
        }
        let last_kill = self.kills.iter().rfind(|(killed, at)| *killed == node && *at <= record.expires_at);
        if let Some((_, at)) = last_kill {
            let _ = write!(text, "; node {node} last killed at {}", seconds(*at));
        }
        text
    }
}

/// Formats a time of the run in seconds.
fn seconds(at: Timestamp) -> String {
    format!("{:.3} s", at.as_micros() as f64 / 1e6)
}
