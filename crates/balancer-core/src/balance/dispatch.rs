//! What becomes of a request that waits for no attempt: it is sent, queued, refused or failed.

use super::*;

/// Retry budget: each request pays in this much, a retry costs one, and no more than so many are saved up.
const BUDGET_PER_REQUEST: f64 = 0.2;
pub const BUDGET_MAX: f64 = 10.0;
/// A request that is queued for want of room tries again at such steps of its aim.
const QUEUE_STEP: f64 = 0.1;
/// A refused client is advised to come back after such a part of its aim.
const RETRY_AFTER_SHARE: f64 = 0.02;
/// For so long a key has the same random number at all nodes for its admission: clients try again sooner.
const ADMISSION_PERIOD: Duration = Duration::from_secs(1);
/// Share of the limit of likely misses up to which one follows a failed fetch of the same request.
const REFETCH_SHARE: f64 = 0.5;

impl Balancer {
    /// Sends, queues, refuses or fails a request, unless an attempt of it is in flight.
    pub(super) fn decide(&mut self, now: Timestamp, pending: PendingRequest, actions: &mut Vec<Action>) {
        if pending.outstanding() > 0 {
            return self.store(pending);
        }
        if pending.done {
            return;
        }
        // Asking the origin after a miss is the ordinary way on, any other attempt a retry on a budget.
        // One after an attempt that reached nobody cost no server anything: it is free, and pays nothing in.
        let (retry, budget_change) = match pending.attempts.last().and_then(|attempt| attempt.status) {
            None | Some(AttemptStatus::Miss) => (false, BUDGET_PER_REQUEST),
            Some(AttemptStatus::ConnectError) => (false, 0.0),
            Some(_) => (true, -1.0),
        };
        let over_budget = retry && self.retry_budget < 1.0;
        if let Some(retry_after) = self.refused_by_admission(now, &pending) {
            return actions.push(Action::Reject { id: pending.request.id, retry_after });
        }
        // An origin with a queue longer than anyone waits serves nobody until likely misses leave it alone.
        let origin_admits = self.is_cached(&pending.request) || self.origin.admits(now);
        if over_budget || now >= pending.request.deadline || !origin_admits {
            return self.give_up(now, pending, actions);
        }
        // After a failed fetch another is made only if the origin has plenty of room.
        let share = if pending.fetch_failed() { REFETCH_SHARE } else { 1.0 };
        let no_fetch = self.fetch_limit.reached(share, pending.random);
        match self.select(now, &pending, no_fetch) {
            Some(i) => {
                self.retry_budget = (self.retry_budget + budget_change).min(BUDGET_MAX);
                self.send(now, i, pending, actions);
            }
            None if no_fetch => self.give_up(now, pending, actions),
            None => self.queue(now, pending, actions),
        }
    }

    /// Whether the last answer to a read of this key came from the server's cache.
    fn is_cached(&self, request: &Request) -> bool {
        !request.write && self.cached_keys.get(&key_of(request)) == Some(&true)
    }

    pub(super) fn store(&mut self, pending: PendingRequest) {
        self.pending.insert(pending.request.id.clone(), pending);
    }

    /// Asks admission control about a new request; where it refuses, how long the client is to stay away.
    /// A fleet that is overloaded as a whole recovers only if enough is refused before it is sent,
    /// and the same keys at all nodes: a client that comes again to another node at once would undo it.
    fn refused_by_admission(&mut self, now: Timestamp, pending: &PendingRequest) -> Option<Duration> {
        let is_new = pending.attempts.is_empty() && pending.arrived == now;
        if !is_new || now >= pending.request.deadline {
            return None;
        }
        let length = ADMISSION_PERIOD.as_micros() as u64;
        let (period, elapsed) = (now.as_micros() / length, now.as_micros() % length);
        let class = pending.class_index;
        let random = unit_interval(mix(key_of(&pending.request) ^ mix(period) ^ class as u64));
        if self.admission.admits(now, class, &self.settings.classes, &self.mean_latency, random) {
            return None;
        }
        // No other node takes it in this period either, unless its level rises.
        Some(Duration::from_micros(length - elapsed).min(pending.settings.max_retry_after))
    }

    /// A burst passes: without room a request waits, while thrice a usual answer would be in time.
    fn queue(&mut self, now: Timestamp, pending: PendingRequest, actions: &mut Vec<Action>) {
        let aim = pending.class().latency_objective;
        let latency = Duration::from_secs_f64(self.mean_latency[pending.class_index]);
        let again = now + aim.mul_f64(QUEUE_STEP);
        if pending.attempts.is_empty()
            && again + latency * 3 <= (pending.arrived + aim).min(pending.request.deadline)
            && self.servers.iter().any(|server| self.in_use(server))
        {
            self.queued.insert((again, pending.request.id.clone()));
            return self.store(pending);
        }
        self.give_up(now, pending, actions);
    }

    fn send(&mut self, now: Timestamp, i: usize, mut pending: PendingRequest, actions: &mut Vec<Action>) {
        let cached = self.is_cached(&pending.request);
        let class = pending.class_index;
        let likely_miss = self.likely_miss(&pending.request, &self.servers[i]);
        self.fetch_limit.on_send(likely_miss);
        let slow_start = self.slow_start_factor(&self.servers[i].entry, now) < 1.0;
        let server = &mut self.servers[i];
        server
            .recent_sends
            .retain(|sent| slow_start && now.since(*sent) < self.settings.slow_start_overload_window);
        server.recent_sends.extend(slow_start.then_some(now));
        server.in_flight += 1;
        (server.last_sent, server.send_interval) = (now, now.since(server.last_sent));
        server.breaker.on_send(now);
        server.by_class[class].on_send(now);
        if !cached {
            self.origin.on_send(now);
        }
        // A cached key is no trial of the origin: its outcome counts for an earlier epoch, that is for none.
        let skipped = u32::from(cached && self.origin.state != BreakerState::Closed);
        let epochs = Epochs {
            server: server.breaker.epoch,
            class: server.by_class[class].epoch,
            origin: self.origin.epoch.wrapping_sub(skipped),
        };
        // The connection may be established long after this.
        let begin_within = pending.repeat_ends().map(|at| at.since(now));
        let entry = server.entry.clone();
        let (id, server) = (pending.request.id.clone(), entry.id.clone());
        pending.attempts.push(Attempt { entry, sent: now, epochs, likely_miss, status: None });
        let timeout = pending.request.deadline.since(now);
        actions.push(Action::StartAttempt { id, server, timeout, start_within: begin_within });
        self.store(pending);
    }

    /// How long refused clients should stay away: until the origin's breaker lets its first trial through,
    /// or shortly: the front deals a client that comes again to another node, which may have room.
    fn retry_after(&self, now: Timestamp, pending: &PendingRequest) -> Duration {
        let origin = self.servers.iter().find(|server| self.is_origin(&server.entry));
        let advice = match origin.map_or(self.origin.state, |server| server.breaker.state) {
            BreakerState::Open { until } => until.since(now),
            _ => pending.class().latency_objective.mul_f64(RETRY_AFTER_SHARE),
        };
        advice.min(pending.settings.max_retry_after)
    }

    /// Refuses the request where it is safe to try again, and fails it otherwise.
    fn give_up(&mut self, now: Timestamp, pending: PendingRequest, actions: &mut Vec<Action>) {
        let effect = pending.class().idempotency;
        let safe_again = matches!(
            effect,
            Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
        ) || pending.may_have_run().next().is_none();
        if safe_again && now < pending.request.deadline {
            let retry_after = self.retry_after(now, &pending);
            actions.push(Action::Reject { id: pending.request.id, retry_after });
        } else {
            actions.push(Action::Fail { id: pending.request.id });
        }
    }
}
