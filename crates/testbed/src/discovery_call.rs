//! Calls to discovery: `GET /v1/servers` for the whole list, with `?after=41&wait_ms=20000` for a watch.

use std::time::Duration;

/// The path of all calls.
pub const PATH: &str = "/v1/servers";
/// A call continues a watch, and costs less, if it comes within this time of the answer to the last one.
pub const WATCH_CONTINUED_WITHIN: Duration = Duration::from_millis(200);
/// The longest wait of a watch.
pub const MAX_WAIT: Duration = Duration::from_secs(60);

/// The parameters of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryCall {
    /// The caller wants what is newer than this version; `None` for the whole list.
    pub after: Option<u64>,
    /// How long a watch waits for a change, at most [`MAX_WAIT`].
    pub wait: Duration,
}

impl DiscoveryCall {
    /// Reads the query of a request target; `None` if it has none.
    pub fn read(query: Option<&str>) -> Self {
        let query = query.unwrap_or("");
        let wait = Duration::from_millis(number(query, "wait_ms").unwrap_or(0));
        Self { after: number(query, "after"), wait: wait.min(MAX_WAIT) }
    }
}

fn number(query: &str, name: &str) -> Option<u64> {
    query
        .split('&')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
        .and_then(|text| text.parse().ok())
}
