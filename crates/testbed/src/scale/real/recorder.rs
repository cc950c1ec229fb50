//! Records the observations of cache servers and clients for the judge, on a common clock.

use super::notification_judge::NotificationJudge;
use crate::judge::{Observation, RequestNumber, Verdict};
use crate::script::Class;
use balancer_core::Timestamp;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Locks a mutex and ignores poisoning, since a panic does not leave the data inconsistent.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A monotonic clock with the Unix time of its start.
#[derive(Clone, Copy, Debug)]
struct Clock {
    started_at: Instant,
    started_at_unix: Duration,
}

/// The properties of a sent request that cache servers need.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest {
    /// The work of one attempt.
    pub(super) work: Duration,
    /// The number of attempts that have reached cache servers.
    pub(super) attempts: u32,
}

#[derive(Debug)]
struct State {
    judge: NotificationJudge,
    run_started: bool,
    /// The requests that clients have sent, by number.
    requests: Vec<SentRequest>,
}

/// Records observations in the order in which they are made.
#[derive(Debug)]
pub(super) struct Recorder {
    clock: Clock,
    state: Mutex<State>,
}

impl Recorder {
    /// Starts the clock.
    pub(super) fn new() -> Self {
        let started_at_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = State { judge: NotificationJudge::new(0), run_started: false, requests: Vec::new() };
        Self { clock: Clock { started_at: Instant::now(), started_at_unix }, state: Mutex::new(state) }
    }

    /// Returns the current time.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp::default() + self.clock.started_at.elapsed()
    }

    /// Converts microseconds of Unix time to a timestamp. A time before the start of the clock becomes the
    /// start.
    pub(super) fn time(&self, unix_us: u64) -> Timestamp {
        Timestamp::default() + Duration::from_micros(unix_us).saturating_sub(self.clock.started_at_unix)
    }

    /// Converts a timestamp to an instant for timers.
    pub(super) fn instant(&self, at: Timestamp) -> Instant {
        self.clock.started_at + at.since(Timestamp::default())
    }

    /// Calls a function with the judge.
    pub(super) fn with_judge<T>(&self, function: impl FnOnce(&mut NotificationJudge) -> T) -> T {
        function(&mut lock(&self.state).judge)
    }

    /// Starts a run with this number of nodes. Returns `false` if a run was started before, since request
    /// numbers start from 0 only once.
    pub(super) fn start_run(&self, nodes: usize) -> bool {
        let mut state = lock(&self.state);
        let first = !std::mem::replace(&mut state.run_started, true);
        if first {
            state.judge.set_nodes(nodes);
        }
        first
    }

    /// Records an observation at the current time.
    pub(super) fn record(&self, observation: impl FnOnce(Timestamp) -> Observation) {
        let mut state = lock(&self.state);
        let at = self.now();
        state.judge.record(at, observation(at));
    }

    /// Records a new request and returns its number. `work` is the work of one attempt.
    pub(super) fn start_request(&self, class: usize, work: Duration) -> RequestNumber {
        let mut state = lock(&self.state);
        let (at, request) = (self.now(), state.requests.len() as RequestNumber);
        state.requests.push(SentRequest { work, attempts: 0 });
        // Each operation has one request.
        state.judge.record(at, Observation::OperationStarted { operation: request, at, class });
        request
    }

    /// Returns the number of requests so far.
    pub(super) fn requests(&self) -> u64 {
        lock(&self.state).requests.len() as u64
    }

    /// Counts an attempt at a request and returns the request as it was before. Returns `None` if no client
    /// has sent it.
    pub(super) fn start_attempt(&self, request: RequestNumber) -> Option<SentRequest> {
        let mut state = lock(&self.state);
        let request = state.requests.get_mut(usize::try_from(request).ok()?)?;
        let before = *request;
        request.attempts += 1;
        Some(before)
    }

    /// Returns the verdict on all observations so far and resets the judge.
    pub(super) fn verdict(&self, classes: Vec<Class>) -> Verdict {
        let judge = std::mem::replace(&mut lock(&self.state).judge, NotificationJudge::new(0));
        judge.verdict(classes)
    }
}
