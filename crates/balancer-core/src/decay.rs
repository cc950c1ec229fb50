//! Exponential decay of counts, so that they describe the recent past.

use crate::time::Timestamp;
use std::time::Duration;

/// Computes the factor by which counts have decayed since they were last scaled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ExponentialDecay {
    decayed_at: Timestamp,
}

impl ExponentialDecay {
    /// Returns the factor, from 0 to 1, for counts that were last scaled at the previous call. After
    /// `time_constant` a count has decayed to 1/e.
    pub fn factor(&mut self, now: Timestamp, time_constant: Duration) -> f64 {
        let elapsed = now.since(self.decayed_at);
        self.decayed_at = now;
        (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp()
    }
}
