//! What stand-ins and clients write down together: facts for the judge, by one clock.

use super::notification_judge::NotificationJudge;
use crate::judge::{Observation, RequestNumber, Verdict};
use crate::script::Class;
use balancer_core::Timestamp;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Locks what no panic leaves half-changed.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Time since the first cache server was started. It goes on evenly, whatever happens to the system's time.
#[derive(Clone, Copy, Debug)]
struct Clock {
    begun: Instant,
    begun_unix: Duration,
}

/// A request that a client has sent, as cache servers need it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// What one attempt costs.
    pub work: Duration,
    /// Attempts that have reached cache servers.
    pub attempts: u32,
}

#[derive(Debug)]
struct State {
    judge: NotificationJudge,
    /// A run has begun.
    begun: bool,
    /// By number.
    requests: Vec<Sent>,
}

/// See the module's page.
#[derive(Debug)]
pub struct Recorder {
    clock: Clock,
    state: Mutex<State>,
}

impl Recorder {
    /// Its clock begins now.
    pub fn new() -> Self {
        let begun_unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            clock: Clock { begun: Instant::now(), begun_unix },
            state: Mutex::new(State { judge: NotificationJudge::new(0), begun: false, requests: Vec::new() }),
        }
    }

    /// The time that facts are given.
    pub fn now(&self) -> Timestamp {
        Timestamp::default() + self.clock.begun.elapsed()
    }

    /// The time of microseconds of Unix time; the beginning for what was before it.
    pub fn time(&self, unix_us: u64) -> Timestamp {
        Timestamp::default() + Duration::from_micros(unix_us).saturating_sub(self.clock.begun_unix)
    }

    /// That time for timers.
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.clock.begun + at.since(Timestamp::default())
    }

    /// Changes the judge's books.
    pub fn judge<T>(&self, change: impl FnOnce(&mut NotificationJudge) -> T) -> T {
        change(&mut lock(&self.state).judge)
    }

    /// A run of so many nodes begins; `false` where one has begun before: requests are numbered from 0 once.
    pub fn begin(&self, nodes: usize) -> bool {
        let mut state = lock(&self.state);
        let first = !std::mem::replace(&mut state.begun, true);
        if first {
            state.judge.set_nodes(nodes);
        }
        first
    }

    /// Writes down what happens now.
    pub fn record(&self, fact: impl FnOnce(Timestamp) -> Observation) {
        let mut state = lock(&self.state);
        let at = self.now();
        state.judge.record(at, fact(at));
    }

    /// Takes in a new request of this class, which costs a cache server so much; its number.
    pub fn ask(&self, class: usize, work: Duration) -> RequestNumber {
        let mut state = lock(&self.state);
        let (at, ask) = (self.now(), state.requests.len() as u64);
        state.requests.push(Sent { work, attempts: 0 });
        state.judge.record(at, Observation::OperationStarted { operation: ask, at, class });
        ask
    }

    /// How many requests there have been.
    pub fn asked(&self) -> u64 {
        lock(&self.state).requests.len() as u64
    }

    /// Takes in an attempt at this request: what there was before it; `None` where no client has sent this number.
    pub fn attempt(&self, request: RequestNumber) -> Option<Sent> {
        let mut state = lock(&self.state);
        let sent = state.requests.get_mut(usize::try_from(request).ok()?)?;
        let before = *sent;
        sent.attempts += 1;
        Some(before)
    }

    /// Judges what was noted up to now.
    pub fn verdict(&self, classes: Vec<Class>) -> Verdict {
        let judge = std::mem::replace(&mut lock(&self.state).judge, NotificationJudge::new(0));
        judge.verdict(classes)
    }
}
