//! Conversion between the balancer's state and [`Knowledge`], which a successor takes on.

use super::*;
use crate::knowledge::{KnownBreaker, KnownKind, KnownServer};

/// More than this was never counted.
const MANY: u32 = 1 << 30;
const MANY_PARTS: f64 = MANY as f64;

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// A number that a balancer can work with, whatever was written.
fn sound(number: f64, most: f64) -> f64 {
    if number.is_finite() {
        number.clamp(0.0, most)
    } else {
        0.0
    }
}

/// So long ago.
fn ago(now: Timestamp, age: u64) -> Timestamp {
    Timestamp::from_micros(now.as_micros().saturating_sub(age))
}

impl KnownBreaker {
    fn of(breaker: &Breaker, now: Timestamp) -> Self {
        let open_left = match breaker.state {
            State::Closed => None,
            State::Open { until } => Some(micros(until.since(now))),
            State::HalfOpen { .. } => Some(0),
        };
        let window_left = micros(breaker.window_ends.since(now));
        let Breaker { calls, failures, usual, .. } = *breaker;
        Self { open_left, window_left, calls, failures, usual }
    }

    fn to_breaker(&self, window: Duration, now: Timestamp) -> Breaker {
        let mut breaker = Breaker::new(window, now);
        let left = |left: u64, most: Duration| now + Duration::from_micros(left).min(most);
        match self.open_left {
            // The longest cooldown there is, jitter and all.
            Some(open) => breaker.state = State::Open { until: left(open, COOLDOWN * 2) },
            None => {
                breaker.window_ends = left(self.window_left, window);
                breaker.calls = self.calls.min(MANY);
                breaker.failures = self.failures.min(breaker.calls);
            }
        }
        breaker.usual = self.usual.min(MANY);
        breaker
    }
}

impl Balancer {
    /// What it knows by now.
    pub fn knowledge(&self, now: Timestamp) -> Knowledge {
        let class = |slot: usize| self.settings.classes[slot].name.to_string();
        let age = |at: Timestamp| micros(now.since(at));
        let span = self.settings.fall_span;
        let server = |server: &Server| KnownServer {
            id: server.entry.id.to_string(),
            started: server.entry.started.map(Timestamp::as_micros),
            breaker: KnownBreaker::of(&server.breaker, now),
            by_class: server
                .by_class
                .iter()
                .enumerate()
                .map(|(i, breaker)| (class(i), KnownBreaker::of(breaker, now)))
                .collect(),
            used: server.lately.iter().filter(|sent| now.since(**sent) < span).count() as u32,
            limit: server.limit,
            unqueued_age: server.unqueued.map(age),
        };
        let kind = |kind: &Kind| KnownKind {
            name: kind.name.as_ref().map(Name::to_string),
            pace: kind.pace,
            answers: kind.answers,
        };
        // In order: equal knowledge is equal to the byte.
        let marks =
            |marks: &HashSet<u64>| marks.iter().copied().collect::<BTreeSet<_>>().into_iter().collect();
        let kept: BTreeSet<_> = self.kept.iter().map(|(key, kept)| (*key, *kept)).collect();
        Knowledge {
            servers: self.servers.iter().map(server).collect(),
            kinds: self.kinds.iter().map(kind).collect(),
            usual: self.usual.iter().enumerate().map(|(i, usual)| (class(i), *usual)).collect(),
            usual_work: self.usual_work,
            origin: KnownBreaker::of(&self.origin, now),
            kept: kept.into_iter().collect(),
            warm: [marks(&self.warm.marks), marks(&self.warm.before)],
            warm_age: age(self.warm.since),
            fetch_limit: Some(self.fetch_limit).filter(|limit| limit.is_finite()),
            ends: self.ends,
            good: self.good,
            door: Some(self.door.level()).filter(|level| *level < 1.0),
            retry_budget: self.retry_budget,
        }
    }

    /// Takes on what another life knew of the servers that are on the list, each as long as it is the same life of the
    /// server's. Numbers out of any range count as none.
    pub(super) fn recall(&mut self, now: Timestamp, known: &Knowledge) {
        let classes: Vec<_> = self.settings.classes.iter().map(|class| class.name.clone()).collect();
        for server in &mut self.servers {
            let started = server.entry.started.map(Timestamp::as_micros);
            let of = |other: &&KnownServer| other.id == server.entry.id.as_str() && other.started == started;
            let Some(known) = known.servers.iter().find(of) else { continue };
            server.breaker = known.breaker.to_breaker(WINDOW, now);
            for (name, breaker) in classes.iter().zip(&mut server.by_class) {
                if let Some((_, known)) = known.by_class.iter().find(|(other, _)| other == name.as_str()) {
                    *breaker = known.to_breaker(CLASS_WINDOW, now);
                }
            }
            server.lately = std::iter::repeat_n(now, known.used.min(KEYS_KNOWN as u32) as usize).collect();
            server.limit = sound(known.limit, MANY_PARTS).max(LIMIT_LEAST);
            server.unqueued = known.unqueued_age.map(|age| ago(now, age));
        }
        for kind in &mut self.kinds {
            let name = kind.name.as_ref().map(Name::as_str);
            if let Some(known) = known.kinds.iter().find(|known| known.name.as_deref() == name) {
                let pace = if known.pace.is_finite() { known.pace.clamp(-10.0, 10.0) } else { 0.0 };
                (kind.pace, kind.answers) = (pace, sound(known.answers, PACE_SPAN).max(PACE_PRIOR));
            }
        }
        for (name, usual) in classes.iter().zip(&mut self.usual) {
            if let Some((_, known)) = known.usual.iter().find(|(other, _)| other == name.as_str()) {
                *usual = sound(*known, MANY_PARTS);
            }
        }
        self.usual_work = sound(known.usual_work, MANY_PARTS);
        self.origin = known.origin.to_breaker(WINDOW, now);
        self.kept = known.kept.iter().take(KEYS_KNOWN).copied().collect();
        let [marks, before] =
            known.warm.each_ref().map(|marks| marks.iter().take(KEYS_KNOWN).copied().collect());
        self.warm = Warm { marks, before, since: ago(now, known.warm_age) };
        self.fetch_limit = known.fetch_limit.map_or(f64::INFINITY, |limit| sound(limit, MANY_PARTS));
        self.ends = known.ends.map(|(all, failed)| (sound(all, MANY_PARTS), sound(failed, MANY_PARTS)));
        self.good = sound(known.good, MANY_PARTS);
        self.door = known.door.map_or_else(Door::default, Door::at_level);
        self.retry_budget = sound(known.retry_budget, RETRY_SAVED);
    }
}
