//! How a call to discovery is worded: `GET /v1/servers` for the whole list, with `?after=41&wait_ms=20000` for a watch.

use std::time::Duration;

/// The path of all calls.
pub const PATH: &str = "/v1/servers";
/// The longest that a watch may wait.
pub const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// What is newer than this version; `None` for the whole list.
    pub after: Option<u64>,
    /// How long a watch waits for news; [`LONGEST_WAIT`] at most.
    pub wait: Duration,
}

impl DiscoveryCall {
    /// Reads the part of a target behind its `?`; `None` where there is none.
    pub fn read(query: Option<&str>) -> Self {
        let query = query.unwrap_or("");
        let wait = Duration::from_millis(number(query, "wait_ms").unwrap_or(0));
        Self { after: number(query, "after"), wait: wait.min(LONGEST_WAIT) }
    }
}

fn number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
        .and_then(|text| text.parse().ok())
}
