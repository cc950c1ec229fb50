//! Calls to discovery: `GET /v1/servers` for the whole list, with `?after=41&wait_ms=20000` for a watch.

use std::time::Duration;

/// Path of all calls.
pub const PATH: &str = "/v1/servers";
/// A call continues the previous watch, and costs less, if it arrives within this time after the last answer.
pub const WATCH_CONTINUED_WITHIN: Duration = Duration::from_millis(200);
/// Maximum wait of a watch.
pub const MAX_WAIT: Duration = Duration::from_secs(60);

/// The parameters of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// The call asks for changes after this version; `None` asks for the whole list.
    pub after: Option<u64>,
    /// Maximum time that a watch waits for a change, capped at [`MAX_WAIT`].
    pub wait: Duration,
}

impl DiscoveryCall {
    /// Parses the query of a request target. Missing or malformed parameters take their defaults: the whole
    /// list, without a wait.
    pub fn parse(query: Option<&str>) -> Self {
        let query = query.unwrap_or("");
        let wait = Duration::from_millis(parameter(query, "wait_ms").unwrap_or(0));
        Self { after: parameter(query, "after"), wait: wait.min(MAX_WAIT) }
    }
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
        .and_then(|text| text.parse().ok())
}
