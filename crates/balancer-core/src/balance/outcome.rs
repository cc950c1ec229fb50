//! What the end of an attempt tells of its server, of its class there, of the origin and of the fleet's load.

use super::*;
use crate::admission::AttemptEnd;

/// An answer is late past this share of its aim, from a server at least this busy.
const AIM_SHARE: f64 = 0.7;
const BUSY: f64 = 0.8;
/// Up to so many nodes, each meets a server often enough for the queue that it reports to be worth heeding.
const FEW_NODES: u32 = 100;
/// Steps of the in-flight limit for answers in time and late, and for those late with no queue.
const LIMIT_UP: f64 = 0.1;
const LIMIT_DOWN: f64 = 1.0;
const LIMIT_DOWN_UNQUEUED: f64 = 0.3;
/// Answers over which the pace of a kind of server is averaged.
pub const PACE_SPAN: f64 = 200.0;
/// Over how many requests the mean work is averaged, and over how many answers of a class their mean latency.
const MEAN_WORK_SPAN: f64 = 100.0;
const MEAN_LATENCY_SPAN: f64 = 20.0;

/// The end of an attempt, and what it is taken for.
struct Assessed<'a> {
    outcome: &'a AttemptOutcome,
    epochs: Epochs,
    class: usize,
    /// In seconds: the forecast work, or the class's aim where there is no forecast.
    expected: f64,
    /// Whether the server reported that it fetched the value from the origin.
    fetched: bool,
    /// Whether the server did its part; `None` where that can't be told.
    ok: Option<bool>,
    /// A time-out that was not that server's load.
    excused: bool,
    /// Turned away where nobody waits: how much is sent there changes nothing.
    class_refused: bool,
    in_time: bool,
    spare_cores: bool,
    /// Whether the server reported an empty queue; `None` without a report.
    reported_unqueued: Option<bool>,
    /// Whether it is most likely the work itself that takes long, since nobody waits.
    unqueued: bool,
}

impl Balancer {
    pub(super) fn on_outcome(&mut self, now: Timestamp, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(mut pending) = self.pending.remove(&outcome.id) else { return };
        let place = outcome.attempt as usize;
        let Some(attempt) = pending.attempts.get_mut(place) else { return self.store(pending) };
        attempt.status = Some(outcome.status);
        let epochs = attempt.epochs;
        let origin_failed = self.fetch_limit.on_outcome(now, attempt, outcome.status, self.settings.nodes);
        let server = self.position(&outcome.server).ok();
        if let (Some(i), Some(key), AttemptStatus::Ok) = (server, pending.request.key, outcome.status) {
            self.cache_marks.insert(mark(key, &self.servers[i]));
        }
        let was_unqueued = server.is_some_and(|i| self.is_unqueued(&self.servers[i], now));
        let in_time = self.in_time(&pending, outcome);
        let fetched =
            outcome.cache_result == Some(CacheResult::Miss) && self.settings.mode == CacheMode::Through;
        // A time-out brings no report. Where answers of late met no queue it was not that server's load (a
        // miss waits for the origin, say): less work and a breaker for that server help nobody, and its keys
        // would be missed elsewhere.
        let excused = was_unqueued && outcome.status == AttemptStatus::TimedOut;
        let reported_unqueued = outcome.load.queue_length.map(|waiting| waiting < 1.0);
        let refused = was_unqueued && outcome.status == AttemptStatus::QueueFull;
        let expected = pending.request.expected_work.unwrap_or(pending.class().latency_objective);
        let assessed = Assessed {
            outcome,
            epochs,
            class: pending.class_index,
            expected: expected.as_secs_f64().max(1e-6),
            fetched,
            ok: server_ok(outcome.status, excused, fetched || origin_failed),
            excused,
            class_refused: refused && reported_unqueued != Some(false),
            in_time,
            spare_cores: outcome.load.cpu_utilization.is_some_and(|busy| busy < BUSY),
            reported_unqueued,
            unqueued: excused || self.settings.nodes <= FEW_NODES && reported_unqueued == Some(true),
        };
        self.record_origin(now, key_of(&pending.request), &assessed, actions);
        if outcome.status == AttemptStatus::Ok {
            let mean = &mut self.mean_latency[assessed.class];
            *mean += (outcome.elapsed.as_secs_f64() - *mean) / MEAN_LATENCY_SPAN;
        }
        if let Some(i) = server {
            self.record_pace(now, i, &assessed);
            self.record_load(now, i, &assessed);
            self.record_class(now, i, &assessed, actions);
            self.record_server(now, i, &assessed, actions);
        }
        pending.done |= outcome.request_finished;
        self.decide(now, pending, actions);
    }

    /// Whether an answer came within a part of its aim, a larger one for a request of more than mean work.
    /// Counts the request's work towards the mean.
    fn in_time(&mut self, pending: &PendingRequest, outcome: &AttemptOutcome) -> bool {
        let work = pending.request.expected_work.map_or(0.0, |work| work.as_secs_f64());
        let share = (AIM_SHARE * work / self.mean_work.max(1e-9)).clamp(AIM_SHARE, 1.0);
        self.mean_work += (work - self.mean_work) / MEAN_WORK_SPAN;
        outcome.elapsed <= pending.class().latency_objective.mul_f64(share)
    }

    /// Which keys are cached, and the breaker of the origin, where servers tell of misses.
    fn record_origin(&mut self, now: Timestamp, key: u64, end: &Assessed, actions: &mut Vec<Action>) {
        let served = end.ok.is_some();
        if end.fetched || end.outcome.cache_result == Some(CacheResult::Hit) {
            if self.cached_keys.len() > KEYS_MAX {
                self.cached_keys.clear();
            }
            self.cached_keys.insert(key, served);
        }
        if self.origin.on_outcome(end.epochs.origin, end.fetched.then_some(served), MIN_CALLS, now) {
            let jitter = unit_interval(mix(self.seed ^ now.as_micros())) / 2.0;
            let until = now + COOLDOWN.mul_f64(0.75 + jitter);
            self.origin.enter(BreakerState::Open { until }, now);
            actions.push(Action::Log("breaker of the origin tripped".into()));
        }
    }

    /// The pace of the server's kind, by those of its answers that show it.
    fn record_pace(&mut self, now: Timestamp, i: usize, end: &Assessed) {
        let server = &self.servers[i];
        let timed = matches!(end.outcome.status, AttemptStatus::Ok | AttemptStatus::TimedOut) && !end.fetched;
        if !timed || self.slow_start_factor(&server.entry, now) < 1.0 {
            return;
        }
        let kind = &mut self.kinds[server.kind];
        kind.answers = (kind.answers + 1.0).min(PACE_SPAN);
        let pace = (end.outcome.elapsed.as_secs_f64() / end.expected).max(1e-3).ln();
        kind.pace += (pace - kind.pace) / kind.answers;
    }

    /// The fleet's load, and the limit of requests in flight at the server.
    fn record_load(&mut self, now: Timestamp, i: usize, end: &Assessed) {
        let (answered, failed) = (end.ok == Some(true), end.ok == Some(false));
        let load = matches!(end.outcome.status, AttemptStatus::QueueFull | AttemptStatus::TimedOut);
        let overloaded = end.excused || failed && !end.class_refused && load;
        let prompt = answered && (end.in_time || end.spare_cores || end.unqueued);
        self.prompt_answers += f64::from(u8::from(prompt));
        let attempt_end = match end.outcome.status {
            AttemptStatus::Ok if prompt => Some(AttemptEnd::Answered),
            AttemptStatus::Ok => Some(AttemptEnd::Late),
            AttemptStatus::QueueFull if overloaded => Some(AttemptEnd::QueueFull),
            AttemptStatus::TimedOut if !end.excused => Some(AttemptEnd::TimedOut),
            _ => None,
        };
        attempt_end.into_iter().for_each(|attempt_end| self.admission.record(now, attempt_end));
        let server = &mut self.servers[i];
        if let Some(unqueued) = end.reported_unqueued {
            server.unqueued = unqueued.then_some(now);
        }
        let late = answered && !end.in_time && !end.spare_cores;
        if answered && end.in_time && f64::from(server.in_flight) * 2.0 >= server.limit {
            server.limit += LIMIT_UP;
        } else if late && end.unqueued {
            server.limit = (server.limit - LIMIT_DOWN_UNQUEUED).max(LIMIT_MIN);
        } else if late || overloaded {
            server.limit = (server.limit - LIMIT_DOWN).max(LIMIT_MIN);
        }
        server.in_flight = server.in_flight.saturating_sub(1);
    }

    /// The breaker of the class at this server.
    fn record_class(&mut self, now: Timestamp, i: usize, end: &Assessed, actions: &mut Vec<Action>) {
        let class = end.class;
        // Other failures may be the origin's or the whole server's.
        let answered = end.ok == Some(true);
        let ok = (answered || end.class_refused).then_some(answered);
        let breaker = &mut self.servers[i].by_class[class];
        if breaker.on_outcome(end.epochs.class, ok, MIN_CALLS, now) && self.is_class_outlier(i, class, now) {
            self.servers[i].by_class[class].enter(BreakerState::Open { until: now + COOLDOWN }, now);
            let server = &end.outcome.server;
            actions.push(Action::Log(format!("breaker of {server} tripped for class {class}")));
        }
    }

    /// The breaker of the server as a whole.
    fn record_server(&mut self, now: Timestamp, i: usize, end: &Assessed, actions: &mut Vec<Action>) {
        let server = &mut self.servers[i];
        // One of many nodes seldom makes so many calls in a window: as many as it makes are enough, for
        // a part of the cooldown. Not of time-outs and full queues: with too much to do all have them.
        let load = matches!(end.outcome.status, AttemptStatus::TimedOut | AttemptStatus::QueueFull);
        let min_calls = if load { MIN_CALLS } else { calls_in_window(server.send_interval) };
        let ok = end.ok.filter(|_| !end.class_refused);
        let trips = server.breaker.on_outcome(end.epochs.server, ok, min_calls, now);
        if trips && self.is_outlier(i, now) {
            let breaker = &mut self.servers[i].breaker;
            let part = match breaker.state {
                BreakerState::Closed => breaker.calls.min(MIN_CALLS),
                _ => MIN_CALLS,
            };
            breaker.enter(BreakerState::Open { until: now + COOLDOWN * part / MIN_CALLS }, now);
            actions.push(Action::Log(format!("breaker of {} tripped", end.outcome.server)));
        }
    }
}

/// Whether a server did its part in an attempt that ended so; `None` where that can't be told.
fn server_ok(status: AttemptStatus, excused: bool, origin_failed: bool) -> Option<bool> {
    match status {
        AttemptStatus::Ok | AttemptStatus::Miss => Some(true),
        AttemptStatus::Canceled | AttemptStatus::NotSent => None,
        // A failed fetch is the origin's failure, not the server's: another would ask the same origin.
        _ if excused || origin_failed => None,
        _ => Some(false),
    }
}
