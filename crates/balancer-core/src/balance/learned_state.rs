//! Converts between the balancer's state and [`LearnedState`], which a successor process restores.

use super::cached_keys::{CacheMarks, CachedKeys};
use super::origin_breaker::OriginBreaker;
use super::retry_budget::RetryBudget;
use super::slow_start::SlowStart;
use super::Balancer;
use crate::admission::AdmissionController;
use crate::learned_state::{micros, LearnedState};
use crate::names::Name;
use crate::time::Timestamp;

impl Balancer {
    /// Returns the state learned so far, for a successor process. Equal states give byte-identical results.
    pub fn learned_state(&self, now: Timestamp) -> LearnedState {
        let class_names = self.class_names();
        let (servers, kinds) = self.servers.learned(&class_names, &self.settings, now);
        LearnedState {
            servers,
            kinds,
            mean_latency: self.request_costs.learned_latencies(&class_names),
            mean_work: self.request_costs.learned_work(),
            origin: self.origin_breaker.learned(now),
            cached_keys: self.cached_keys.learned(),
            cache_marks: self.cache_marks.learned(),
            cache_marks_age: micros(self.cache_marks.age(now)),
            fetch_limit: self.fetch_limit.learned_limit(),
            attempt_counts: self.fetch_limit.learned_counts(),
            prompt_answers: self.slow_start.learned(),
            admission_level: Some(self.admission.level()).filter(|level| *level < 1.0),
            retry_budget: self.retry_budget.learned(),
        }
    }

    /// Restores the state that a predecessor process learned. Numbers out of range are clamped or replaced by
    /// a default.
    pub(super) fn restore(&mut self, now: Timestamp, learned: &LearnedState) {
        let class_names = self.class_names();
        self.servers.restore(&learned.servers, &learned.kinds, &class_names, now);
        self.request_costs.restore(&learned.mean_latency, learned.mean_work, &class_names);
        self.origin_breaker = OriginBreaker::restored(&learned.origin, now);
        self.cached_keys = CachedKeys::restored(&learned.cached_keys);
        self.cache_marks = CacheMarks::restored(&learned.cache_marks, learned.cache_marks_age, now);
        self.fetch_limit.restore(learned.fetch_limit, learned.attempt_counts);
        self.slow_start = SlowStart::restored(learned.prompt_answers);
        self.admission =
            learned.admission_level.map_or_else(AdmissionController::default, AdmissionController::at_level);
        self.retry_budget = RetryBudget::restored(learned.retry_budget);
    }

    fn class_names(&self) -> Vec<Name> {
        self.settings.classes.iter().map(|class| class.name.clone()).collect()
    }
}
