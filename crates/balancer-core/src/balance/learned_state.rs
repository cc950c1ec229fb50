//! Conversion between the balancer's state and [`LearnedState`], which its successor takes on.

use super::*;
use crate::learned_state::{ago, micros, sound, KnownBreaker, KnownKind, KnownServer, LearnedState};
use std::collections::HashSet;

/// More than this was never counted.
const MANY: u32 = 1 << 30;
const MANY_PARTS: f64 = MANY as f64;

impl KnownBreaker {
    fn of(breaker: &Breaker, now: Timestamp) -> Self {
        let open_left = match breaker.state {
            BreakerState::Closed => None,
            BreakerState::Open { until } => Some(micros(until.since(now))),
            BreakerState::HalfOpen { .. } => Some(0),
        };
        let window_left = micros(breaker.window_ends.since(now));
        let Breaker { calls, failures, last_window_calls, .. } = *breaker;
        Self { open_left, window_left, calls, failures, last_window_calls }
    }

    fn to_breaker(&self, window: Duration, now: Timestamp) -> Breaker {
        let mut breaker = Breaker::new(window, now);
        let left = |left: u64, most: Duration| now + Duration::from_micros(left).min(most);
        match self.open_left {
            // The longest cooldown there is, jitter and all.
            Some(open) => breaker.state = BreakerState::Open { until: left(open, COOLDOWN * 2) },
            None => {
                breaker.window_ends = left(self.window_left, window);
                breaker.calls = self.calls.min(MANY);
                breaker.failures = self.failures.min(breaker.calls);
            }
        }
        breaker.last_window_calls = self.last_window_calls.min(MANY);
        breaker
    }
}

impl Balancer {
    /// What it knows by now, for a successor.
    pub fn knowledge(&self, now: Timestamp) -> LearnedState {
        let class = |slot: usize| self.settings.classes[slot].name.to_string();
        let age = |at: Timestamp| micros(now.since(at));
        let span = self.settings.slow_start_overload_window;
        let by_class = |(i, breaker): (usize, &Breaker)| (class(i), KnownBreaker::of(breaker, now));
        let server = |server: &Server| KnownServer {
            id: server.entry.id.to_string(),
            started: server.entry.started_at.map(Timestamp::as_micros),
            breaker: KnownBreaker::of(&server.breaker, now),
            by_class: server.by_class.iter().enumerate().map(by_class).collect(),
            recent_sends: server.recent_sends.iter().filter(|sent| now.since(**sent) < span).count() as u32,
            limit: server.limit,
            unqueued_age: server.unqueued.map(age),
        };
        let kind = |kind: &ServerKind| KnownKind {
            name: kind.name.as_ref().map(Name::to_string),
            pace: kind.pace,
            answers: kind.answers,
        };
        // In order: equal knowledge is equal to the byte.
        let marks =
            |marks: &HashSet<u64>| marks.iter().copied().collect::<BTreeSet<_>>().into_iter().collect();
        let cached_keys: BTreeSet<_> = self.cached_keys.iter().map(|(key, cached)| (*key, *cached)).collect();
        LearnedState {
            servers: self.servers.iter().map(server).collect(),
            kinds: self.kinds.iter().map(kind).collect(),
            mean_latency: self.mean_latency.iter().enumerate().map(|(i, mean)| (class(i), *mean)).collect(),
            mean_work: self.mean_work,
            origin: KnownBreaker::of(&self.origin, now),
            cached_keys: cached_keys.into_iter().collect(),
            cache_marks: [marks(&self.cache_marks.current), marks(&self.cache_marks.previous)],
            cache_marks_age: age(self.cache_marks.since),
            fetch_limit: self.fetch_limit.limit,
            outcomes: [self.fetch_limit.others, self.fetch_limit.likely_misses]
                .map(|count| (count.all, count.failed)),
            prompt_answers: self.prompt_answers,
            admission_level: Some(self.admission.level()).filter(|level| *level < 1.0),
            retry_budget: self.retry_budget,
        }
    }

    /// Takes on what a predecessor knew of the servers on the list, of each if it has not restarted since.
    /// Numbers out of any range count as none.
    pub(super) fn recall(&mut self, now: Timestamp, known: &LearnedState) {
        let classes: Vec<_> = self.settings.classes.iter().map(|class| class.name.clone()).collect();
        for server in &mut self.servers {
            let started = server.entry.started_at.map(Timestamp::as_micros);
            let of = |other: &&KnownServer| other.id == server.entry.id.as_str() && other.started == started;
            let Some(known) = known.servers.iter().find(of) else { continue };
            server.breaker = known.breaker.to_breaker(WINDOW, now);
            for (name, breaker) in classes.iter().zip(&mut server.by_class) {
                if let Some((_, known)) = known.by_class.iter().find(|(other, _)| other == name.as_str()) {
                    *breaker = known.to_breaker(CLASS_WINDOW, now);
                }
            }
            server.recent_sends =
                std::iter::repeat_n(now, known.recent_sends.min(KEYS_MAX as u32) as usize).collect();
            server.limit = sound(known.limit, MANY_PARTS).max(LIMIT_MIN);
            server.unqueued = known.unqueued_age.map(|age| ago(now, age));
        }
        for kind in &mut self.kinds {
            let name = kind.name.as_ref().map(Name::as_str);
            if let Some(known) = known.kinds.iter().find(|known| known.name.as_deref() == name) {
                let pace = if known.pace.is_finite() { known.pace.clamp(-10.0, 10.0) } else { 0.0 };
                (kind.pace, kind.answers) = (pace, sound(known.answers, PACE_SPAN).max(PACE_PRIOR));
            }
        }
        for (name, mean) in classes.iter().zip(&mut self.mean_latency) {
            if let Some((_, known)) = known.mean_latency.iter().find(|(other, _)| other == name.as_str()) {
                *mean = sound(*known, MANY_PARTS);
            }
        }
        self.mean_work = sound(known.mean_work, MANY_PARTS);
        self.origin = known.origin.to_breaker(WINDOW, now);
        self.cached_keys = known.cached_keys.iter().take(KEYS_MAX).copied().collect();
        let [current, previous] =
            known.cache_marks.each_ref().map(|marks| marks.iter().take(KEYS_MAX).copied().collect());
        self.cache_marks = RecentSet { current, previous, since: ago(now, known.cache_marks_age) };
        self.fetch_limit.limit = known.fetch_limit.map(|limit| sound(limit, MANY_PARTS));
        let count =
            |(all, failed)| OutcomeCount { all: sound(all, MANY_PARTS), failed: sound(failed, MANY_PARTS) };
        [self.fetch_limit.others, self.fetch_limit.likely_misses] = known.outcomes.map(count);
        self.prompt_answers = sound(known.prompt_answers, MANY_PARTS);
        self.admission =
            known.admission_level.map_or_else(AdmissionController::default, AdmissionController::at_level);
        self.retry_budget = sound(known.retry_budget, BUDGET_MAX);
    }
}
