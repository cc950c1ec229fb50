//! Slow start: a server that has just started has an empty cache, and is sent its share of the requests step
//! by step.
//!
//! A warming server that is sent more than a multiple of its present capacity, by all nodes together within a
//! window, is overloaded and does not recover. Nodes share no counts, so each keeps to its part: of the
//! prompt answers that it has seen, which show what the fleet can do, it sends a warming server that server's
//! share.

use super::per_node;
use super::servers::{Server, ServerList};
use super::RATE_TIME_CONSTANT;
use crate::endpoints::Endpoint;
use crate::hashing::{mix, unit_interval};
use crate::learned_state::{non_negative, MAX_VALUE};
use crate::settings::Settings;
use crate::time::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// The fraction of the overload factor that is used: capacity is estimated from the fleet's answers.
const OVERLOAD_FACTOR_FRACTION: f64 = 0.65;
/// Requests that all nodes together may send a warming server in a window before they have seen a prompt
/// answer. There are none where every server is warming up, and any server can take so few.
const INITIAL_ALLOWANCE_OF_ALL_NODES: f64 = 4.0;
/// The fraction of the requests sent to warming servers in a window that is taken off the prompt answers.
/// Where every server is warming up, each answer would otherwise allow more than one further request, and the
/// load would grow at once past what the servers bear, rather than from window to window.
const UNPROVEN_FRACTION: f64 = 0.4;
/// Shortest warm-up that is reckoned with, in seconds.
const WINDOW_MIN_SECONDS: f64 = 1e-6;
/// Most sends that are taken over from a predecessor.
const MAX_RESTORED_SENDS: u32 = 4096;

/// The fraction of its full capacity that an endpoint has reached, from `slow_start_min_fraction` to 1.
pub fn warm_up_fraction(endpoint: &Endpoint, settings: &Settings, now: Timestamp) -> f64 {
    let window = settings.slow_start_window.as_secs_f64().max(WINDOW_MIN_SECONDS);
    let age = endpoint.started_at.map_or(window, |started_at| now.since(started_at).as_secs_f64());
    let min_fraction = settings.slow_start_min_fraction;
    (min_fraction + (1.0 - min_fraction) * age / window).min(1.0)
}

/// Whether an endpoint has not reached its full capacity.
pub fn is_warming_up(endpoint: &Endpoint, settings: &Settings, now: Timestamp) -> bool {
    warm_up_fraction(endpoint, settings, now) < 1.0
}

/// When requests were sent to a server that warms up, oldest first.
#[derive(Debug, Default)]
pub struct WarmUpSends(VecDeque<Timestamp>);

impl WarmUpSends {
    /// Counts a request to a server, and forgets those that are older than `window`, or all once it is warm.
    pub fn on_send(&mut self, is_warming_up: bool, window: Duration, now: Timestamp) {
        self.0.retain(|sent_at| is_warming_up && now.since(*sent_at) < window);
        self.0.extend(is_warming_up.then_some(now));
    }

    /// Number of requests sent within the last `window`.
    pub fn count(&self, window: Duration, now: Timestamp) -> usize {
        self.0.iter().filter(|sent_at| now.since(**sent_at) < window).count()
    }

    /// Restores the sends of a predecessor, as if they were made now.
    pub fn restore(&mut self, count: u32, now: Timestamp) {
        self.0 = std::iter::repeat_n(now, count.min(MAX_RESTORED_SENDS) as usize).collect();
    }
}

/// The prompt answers that a node has seen, which allow it to send requests to warming servers.
#[derive(Debug, Default)]
pub struct SlowStart {
    /// Answers that show no queue, decaying over [`RATE_TIME_CONSTANT`].
    prompt_answers: f64,
}

impl SlowStart {
    /// Scales the count of prompt answers.
    pub fn decay(&mut self, factor: f64) {
        self.prompt_answers *= factor;
    }

    /// Counts an answer that shows no queue.
    pub fn on_prompt_answer(&mut self) {
        self.prompt_answers += 1.0;
    }

    /// Whether a request may be sent to the server of this index: always to a warm one, and to a warming one
    /// within this node's allowance. Counted over any window of time, with nothing saved up, so that no burst
    /// is too large.
    pub fn admits(
        &self,
        servers: &ServerList,
        index: usize,
        settings: &Settings,
        seed: u64,
        now: Timestamp,
    ) -> bool {
        let server = &servers[index];
        if server.is_origin(settings) || !is_warming_up(&server.endpoint, settings, now) {
            return true;
        }
        let allowance = self
            .earned_allowance(servers, server, settings, now)
            .max(per_node(INITIAL_ALLOWANCE_OF_ALL_NODES, settings.nodes));
        let window = settings.slow_start_overload_window;
        let sent = server.warm_up_sends.count(window, now);
        (sent as f64) < (allowance + rounding(seed ^ server.hash, window, now)).floor()
    }

    /// Requests that the prompt answers allow this node to send the server in an overload window:
    ///
    /// ```text
    /// rate of proven answers (1/s) * window (s) * server's share of the fleet's capacity
    ///     * overload factor * OVERLOAD_FACTOR_FRACTION
    /// ```
    ///
    /// The rate is the decaying count of proven answers divided by its time constant.
    fn earned_allowance(
        &self,
        servers: &ServerList,
        server: &Server,
        settings: &Settings,
        now: Timestamp,
    ) -> f64 {
        let window = settings.slow_start_overload_window;
        let windows_per_time_constant = window.as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64();
        let share = servers.capacity(server, settings, now) / servers.total_capacity(settings, now);
        self.proven_answers(servers, window, now)
            * windows_per_time_constant
            * share
            * settings.slow_start_overload_factor
            * OVERLOAD_FACTOR_FRACTION
    }

    /// Prompt answers less those that may come of the requests that are to be allowed.
    fn proven_answers(&self, servers: &ServerList, window: Duration, now: Timestamp) -> f64 {
        let sent: usize = servers.iter().map(|server| server.warm_up_sends.count(window, now)).sum();
        self.prompt_answers - UNPROVEN_FRACTION * sent as f64
    }

    /// The count of prompt answers, for a successor.
    pub fn learned(&self) -> f64 {
        self.prompt_answers
    }

    /// Restores the count of prompt answers of a predecessor.
    pub fn restored(prompt_answers: f64) -> Self {
        Self { prompt_answers: non_negative(prompt_answers, MAX_VALUE) }
    }
}

/// A random number between 0 and 1 by which an allowance is rounded up or down, the same for a whole window.
/// One of many nodes may send less than one request in a window: the number decides in which. The windows of
/// each node end at another time, so that the nodes do not send together.
fn rounding(node_and_server: u64, window: Duration, now: Timestamp) -> f64 {
    let random = mix(node_and_server);
    let offset = window.mul_f64(unit_interval(random));
    let period = (now + offset).as_micros() / (window.as_micros() as u64).max(1);
    unit_interval(mix(random ^ period))
}
