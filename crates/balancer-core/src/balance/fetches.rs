//! Reads that cache servers most likely fetch from the origin, where they do not report misses, and the limit
//! on how many of them are in flight.

use super::*;

/// A server most likely holds what it answered in the present or the last of such spans.
pub const MARK_SPAN: Duration = Duration::from_secs(5);
/// The origin is strained while this share of the likely misses fails, and at least twice that of the rest.
const STRAIN_RATE: f64 = 0.4;
/// Limit of likely misses in flight: its factor after a failure, its step up for each that is served. Its
/// least is one for all nodes together.
const LIMIT_FACTOR: f64 = 0.7;
const LIMIT_STEP: f64 = 0.1;

/// The limit of likely misses in flight.
#[derive(Debug, Default)]
pub struct FetchLimit {
    in_flight: u32,
    /// `None` until the origin is strained for the first time.
    pub limit: Option<f64>,
    reduced_at: Timestamp,
    pub likely_misses: OutcomeCount,
    pub others: OutcomeCount,
}

impl FetchLimit {
    pub fn decay(&mut self, factor: f64) {
        self.likely_misses.decay(factor);
        self.others.decay(factor);
    }

    pub fn on_send(&mut self, likely_miss: bool) {
        self.in_flight += u32::from(likely_miss);
    }

    /// Whether likely misses have had this share of their limit for now. Each that an overloaded origin fails
    /// is asked for again by its client and the node, and nothing is cached: without a limit the overload
    /// lasts, whatever began it (servers that come empty, keys that moved, an origin that slowed down). Hits
    /// go on. Harmful where likely misses fail for a cause of their own that more of them would
    /// not worsen.
    pub fn reached(&self, share: f64, random: f64) -> bool {
        self.limit.is_some_and(|limit| f64::from(self.in_flight) + random >= limit * share)
    }

    /// Takes in how an attempt ended; returns whether the origin is to blame.
    pub fn on_outcome(
        &mut self,
        now: Timestamp,
        attempt: &Attempt,
        status: AttemptStatus,
        nodes: u32,
    ) -> bool {
        let failed = matches!(status, AttemptStatus::Failed | AttemptStatus::TimedOut);
        if !attempt.likely_miss {
            self.others.record(failed);
            return false;
        }
        if attempt.sent >= self.reduced_at {
            self.likely_misses.record(failed);
        }
        let in_flight = f64::from(self.in_flight);
        self.in_flight -= 1;
        if status == AttemptStatus::Ok {
            self.limit = self.limit.map(|l| if in_flight * 4.0 >= l { l + LIMIT_STEP } else { l });
        } else if failed && self.origin_strained() && attempt.sent >= self.reduced_at {
            let most = self.limit.map_or(in_flight, |limit| limit.min(in_flight));
            self.limit = Some((most * LIMIT_FACTOR).max(1.0 / f64::from(nodes.max(1))));
            // What comes back from before says nothing of the new limit.
            (self.reduced_at, self.likely_misses) = (now, OutcomeCount::default());
        }
        failed && self.others.all >= f64::from(MIN_CALLS) && now.since(self.reduced_at) < RATE_SPAN
    }

    /// One of many nodes sees too few likely misses to judge by.
    fn origin_strained(&self) -> bool {
        let (others, fetches) = (self.others, self.likely_misses);
        fetches.failed >= f64::from(MIN_CALLS)
            && fetches.failed >= STRAIN_RATE * fetches.all
            && fetches.failed * others.all >= 2.0 * others.failed * fetches.all
    }
}

/// Stands for a key at one incarnation of a server: a restarted server has lost its cache.
pub fn mark(key: u64, server: &Server) -> u64 {
    mix(key ^ mix(server.hash ^ server.entry.started_at.map_or(0, Timestamp::as_micros)))
}

impl Balancer {
    /// Whether a read at this server will be fetched from the origin, as far as can be told from what that
    /// server answered here. Other nodes may have warmed the key: some of these are hits.
    pub(super) fn likely_miss(&self, request: &Request, server: &Server) -> bool {
        self.settings.mode == CacheMode::Through
            && !request.write
            && request.key.is_some_and(|key| !self.cache_marks.contains(mark(key, server)))
    }
}
