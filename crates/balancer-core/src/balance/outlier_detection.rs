//! Outlier detection: a circuit breaker ejects a server, or one class of requests at a server, that fails
//! while the other servers do not.

use super::assessment::Assessment;
use super::circuit_breaker::{BreakerState, CircuitBreaker, COOLDOWN, FAILURE_THRESHOLD, MIN_CALLS};
use super::servers::Server;
use crate::learned_state::LearnedBreaker;
use crate::names::Name;
use crate::time::Timestamp;
use std::time::Duration;

/// Window over which a server's calls are counted.
pub const SERVER_WINDOW: Duration = Duration::from_secs(5);
/// Window over which the calls of one class at a server are counted. A server with an empty queue does not
/// reject a class by chance, and in a long window the calls served earlier would hide the rejections.
const CLASS_WINDOW: Duration = Duration::from_secs(1);
/// If at least this fraction of the recent calls to the other servers failed, a server is not ejected, since
/// the failures have a common cause. Fewer than [`MIN_CALLS`] recent calls are no evidence of one.
const COMMON_FAILURE_RATE: f64 = FAILURE_THRESHOLD / 2.0;

/// The circuit breakers of one server.
///
/// A server may reject one class and serve the others, for example because its release does not know the
/// class or because the class has a separate quota. Ejecting the whole server would move the keys of all
/// classes to servers that have not cached them, so each class has a separate breaker. The cost is that a
/// class that is rejected only briefly has misses at other servers until the end of the cooldown.
///
/// The breakers of classes open only if a node knows that the server's queue is empty. In a fleet of 16 or
/// more nodes no node knows that: see `Selector::empty_queue_is_known`.
#[derive(Debug)]
pub struct OutlierDetection {
    server: CircuitBreaker,
    /// Breakers by class index.
    classes: Vec<CircuitBreaker>,
    last_sent_at: Timestamp,
    /// Time between the last two sends.
    send_interval: Duration,
}

/// Epochs of a server's circuit breakers at the time an attempt was sent to it.
#[derive(Clone, Copy, Debug)]
pub struct Epochs {
    /// Epoch of the server's breaker.
    pub server: u32,
    /// Epoch of the breaker of the attempt's class.
    pub class: u32,
}

impl OutlierDetection {
    /// Returns closed breakers for a server and this many classes.
    pub fn new(classes: usize, now: Timestamp) -> Self {
        Self {
            server: CircuitBreaker::new(SERVER_WINDOW, now),
            classes: (0..classes).map(|_| CircuitBreaker::new(CLASS_WINDOW, now)).collect(),
            last_sent_at: now,
            send_interval: Duration::MAX,
        }
    }

    /// Returns whether a request of this class may be sent to the server.
    pub fn admits(&self, class: usize, now: Timestamp) -> bool {
        self.server.admits(now) && self.classes[class].admits(now)
    }

    /// Returns the state of the breaker of the server as a whole.
    pub fn server_state(&self) -> BreakerState {
        self.server.state()
    }

    /// Closes the breakers of a server that has restarted.
    pub fn reset(&mut self, now: Timestamp) {
        self.server.close(now);
        self.classes.iter_mut().for_each(|breaker| breaker.close(now));
    }

    /// Counts an attempt that is sent and returns the epochs in which its result counts.
    pub fn on_send(&mut self, class: usize, now: Timestamp) -> Epochs {
        self.send_interval = now.since(self.last_sent_at);
        self.last_sent_at = now;
        self.server.on_send(now);
        self.classes[class].on_send(now);
        Epochs { server: self.server.epoch(), class: self.classes[class].epoch() }
    }

    /// Counts the result of an attempt for the server as a whole. Returns whether its breaker should open.
    pub fn on_server_result(&mut self, epochs: Epochs, assessment: Assessment, now: Timestamp) -> bool {
        // In a large fleet a node may make fewer than `MIN_CALLS` calls to a server in a window. For errors,
        // the calls that it makes suffice, and the server is ejected for a part of the cooldown. This does
        // not apply to timeouts and full queues, which occur at all servers under overload.
        let min_calls = match assessment {
            Assessment::TimedOut | Assessment::QueueFull => MIN_CALLS,
            _ => self.min_calls_at_last_interval(),
        };
        self.server.on_result(epochs.server, assessment.server_result(), min_calls, now)
    }

    /// Counts the result of an attempt for its class. Returns whether the breaker of the class should open.
    pub fn on_class_result(
        &mut self,
        class: usize,
        epochs: Epochs,
        assessment: Assessment,
        now: Timestamp,
    ) -> bool {
        self.classes[class].on_result(epochs.class, assessment.class_result(), MIN_CALLS, now)
    }

    /// Ejects the server. After a failed trial the ejection lasts the whole cooldown. Otherwise it lasts the
    /// cooldown times the calls of the window divided by [`MIN_CALLS`], but at most the whole cooldown.
    pub fn eject_server(&mut self, now: Timestamp) {
        let counted_calls = match self.server.state() {
            BreakerState::Closed => self.server.calls().min(MIN_CALLS),
            BreakerState::Open { .. } | BreakerState::HalfOpen { .. } => MIN_CALLS,
        };
        self.server.open(now + COOLDOWN * counted_calls / MIN_CALLS, now);
    }

    /// Ejects one class.
    pub fn eject_class(&mut self, class: usize, now: Timestamp) {
        self.classes[class].open(now + COOLDOWN, now);
    }

    /// Maps the breakers to the classes of new settings. `previous_indices` holds the previous index of each
    /// class, or `None` if the class was added.
    pub fn reassign_classes(&mut self, previous_indices: &[Option<usize>], now: Timestamp) {
        let mut breakers: Vec<_> = std::mem::take(&mut self.classes).into_iter().map(Some).collect();
        let breaker = |previous: &Option<usize>| {
            previous
                .and_then(|index| breakers[index].take())
                .unwrap_or_else(|| CircuitBreaker::new(CLASS_WINDOW, now))
        };
        self.classes = previous_indices.iter().map(breaker).collect();
    }

    /// Returns the minimum number of calls for errors to open the server's breaker: the calls that fit into a
    /// window at the interval of the last two sends, from 1 to [`MIN_CALLS`].
    fn min_calls_at_last_interval(&self) -> u32 {
        let calls = SERVER_WINDOW.as_secs_f64() / self.send_interval.as_secs_f64();
        calls.clamp(1.0, f64::from(MIN_CALLS)) as u32
    }

    /// Returns the state of the server's breaker, for a successor process.
    pub fn learned_server(&self, now: Timestamp) -> LearnedBreaker {
        self.server.learned(now)
    }

    /// Returns the state of the breakers of these classes, for a successor process.
    pub fn learned_classes(&self, names: &[Name], now: Timestamp) -> Vec<(String, LearnedBreaker)> {
        let classes = names.iter().zip(&self.classes);
        classes.map(|(name, breaker)| (name.to_string(), breaker.learned(now))).collect()
    }

    /// Restores the state of a predecessor process. Classes that it did not know keep their breaker.
    pub fn restore(
        &mut self,
        server: &LearnedBreaker,
        classes: &[(String, LearnedBreaker)],
        names: &[Name],
        now: Timestamp,
    ) {
        self.server = CircuitBreaker::restored(server, SERVER_WINDOW, now);
        for (name, breaker) in names.iter().zip(&mut self.classes) {
            if let Some((_, learned)) = classes.iter().find(|(other, _)| other == name.as_str()) {
                *breaker = CircuitBreaker::restored(learned, CLASS_WINDOW, now);
            }
        }
    }
}

/// Returns whether a server fails while the others do not. If many servers fail together, the cause is
/// common, and ejecting them would move their keys to the remaining servers until the last ones had to serve
/// all keys. If the other servers had too few recent calls for a comparison, the server counts as an outlier.
pub fn is_server_outlier(servers: &[Server], index: usize, now: Timestamp) -> bool {
    let others = other_servers(servers, index).map(|other| &other.outlier_detection.server);
    let (calls, failures) = recent_calls(others, now);
    calls < MIN_CALLS || f64::from(failures) < COMMON_FAILURE_RATE * f64::from(calls)
}

/// Returns whether fewer than [`FAILURE_THRESHOLD`] of the recent calls of a class to the other servers
/// failed. Otherwise, or without recent calls, no other server is known to serve the class better than this
/// one.
pub fn is_class_outlier(servers: &[Server], index: usize, class: usize, now: Timestamp) -> bool {
    let others = other_servers(servers, index).map(|other| &other.outlier_detection.classes[class]);
    let (calls, failures) = recent_calls(others, now);
    f64::from(failures) < FAILURE_THRESHOLD * f64::from(calls)
}

fn other_servers(servers: &[Server], index: usize) -> impl Iterator<Item = &Server> {
    let hash = servers[index].hash;
    servers.iter().filter(move |other| other.hash != hash)
}

/// Returns the total numbers of calls and failures in the windows that have not ended.
fn recent_calls<'a>(breakers: impl Iterator<Item = &'a CircuitBreaker>, now: Timestamp) -> (u32, u32) {
    let recent = breakers.filter_map(|breaker| breaker.recent_calls(now));
    recent.fold((0, 0), |total, (calls, failures)| (total.0 + calls, total.1 + failures))
}
