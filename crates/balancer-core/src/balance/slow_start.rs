//! Slow start: a server that has just started has an empty cache, so its share of the requests is increased
//! gradually.
//!
//! A warming server is overloaded and does not recover if all nodes together send it more than a multiple of
//! its current capacity within a window. Nodes share no counters, so each node limits itself: the prompt
//! answers that it has received show what the fleet can serve, and it sends a warming server that server's
//! share of them.

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

/// Fraction of the overload factor that is used. The rest is a margin, since capacity is estimated from the
/// fleet's answers.
const OVERLOAD_FACTOR_FRACTION: f64 = 0.65;
/// Requests that all nodes together may send a warming server in a window before they have received a prompt
/// answer. While every server is warming up, there are no prompt answers at first. Any server can handle this
/// few requests.
const INITIAL_FLEET_ALLOWANCE: f64 = 4.0;
/// Fraction of the requests sent to warming servers in a window that is subtracted from the prompt answers.
/// Otherwise, while every server is warming up, each answer would allow more than one further request, and
/// the load would exceed the servers' capacity at once instead of growing from window to window.
const WARMING_SENDS_DISCOUNT: f64 = 0.4;
/// Minimum warm-up time used in the calculation, in seconds.
const MIN_WINDOW_SECONDS: f64 = 1e-6;
/// Maximum number of sends that are restored from a predecessor process.
const MAX_RESTORED_SENDS: u32 = 4096;

/// Returns the fraction of its full capacity that an endpoint has reached, from `slow_start_min_fraction` to
/// 1.
pub fn warm_up_fraction(endpoint: &Endpoint, settings: &Settings, now: Timestamp) -> f64 {
    let window = settings.slow_start_window.as_secs_f64().max(MIN_WINDOW_SECONDS);
    let age = endpoint.started_at.map_or(window, |started_at| now.since(started_at).as_secs_f64());
    let min_fraction = settings.slow_start_min_fraction;
    (min_fraction + (1.0 - min_fraction) * age / window).min(1.0)
}

/// Returns whether an endpoint has not yet reached its full capacity.
pub fn is_warming_up(endpoint: &Endpoint, settings: &Settings, now: Timestamp) -> bool {
    warm_up_fraction(endpoint, settings, now) < 1.0
}

/// Times at which requests were sent to a warming server, oldest first.
#[derive(Debug, Default)]
pub struct WarmUpSends(VecDeque<Timestamp>);

impl WarmUpSends {
    /// Records a request sent at `now` and removes those older than `window`. Removes all of them once the
    /// server is warm.
    pub fn on_send(&mut self, is_warming_up: bool, window: Duration, now: Timestamp) {
        self.0.retain(|sent_at| is_warming_up && now.since(*sent_at) < window);
        self.0.extend(is_warming_up.then_some(now));
    }

    /// Returns the number of requests sent within the last `window`.
    pub fn count(&self, window: Duration, now: Timestamp) -> usize {
        self.0.iter().filter(|sent_at| now.since(**sent_at) < window).count()
    }

    /// Restores the sends of a predecessor process, as if they were made at `now`.
    pub fn restore(&mut self, count: u32, now: Timestamp) {
        self.0 = std::iter::repeat_n(now, count.min(MAX_RESTORED_SENDS) as usize).collect();
    }
}

/// Limits requests to warming servers by the prompt answers that this node has received.
#[derive(Debug, Default)]
pub struct SlowStart {
    /// Count of answers that show no queue, decaying with [`RATE_TIME_CONSTANT`].
    prompt_answers: f64,
}

impl SlowStart {
    /// Multiplies the count of prompt answers by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.prompt_answers *= factor;
    }

    /// Counts an answer that shows no queue.
    pub fn on_prompt_answer(&mut self) {
        self.prompt_answers += 1.0;
    }

    /// Returns whether a request may be sent to the server at `index`: always if it is warm, otherwise within
    /// this node's allowance. The allowance limits the requests of a sliding window, and unused allowance
    /// does not accumulate, so that no burst is too large.
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
            .allowance_from_answers(servers, server, settings, now)
            .max(per_node(INITIAL_FLEET_ALLOWANCE, settings.nodes));
        let window = settings.slow_start_overload_window;
        let sent = server.warm_up_sends.count(window, now);
        (sent as f64) < (allowance + rounding_offset(seed ^ server.hash, window, now)).floor()
    }

    /// Returns the number of requests that the prompt answers allow this node to send the server in an
    /// overload window:
    ///
    /// ```text
    /// rate of discounted answers (1/s) * window (s) * server's share of the fleet's capacity
    ///     * overload factor * OVERLOAD_FACTOR_FRACTION
    /// ```
    ///
    /// The rate is the discounted count of prompt answers divided by its time constant.
    fn allowance_from_answers(
        &self,
        servers: &ServerList,
        server: &Server,
        settings: &Settings,
        now: Timestamp,
    ) -> f64 {
        let window = settings.slow_start_overload_window;
        let windows_per_time_constant = window.as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64();
        let share = servers.capacity(server, settings, now) / servers.total_capacity(settings, now);
        self.discounted_answers(servers, window, now)
            * windows_per_time_constant
            * share
            * settings.slow_start_overload_factor
            * OVERLOAD_FACTOR_FRACTION
    }

    /// Returns the count of prompt answers, discounted by recent requests to warming servers. Their answers
    /// would otherwise raise the allowance for further requests.
    fn discounted_answers(&self, servers: &ServerList, window: Duration, now: Timestamp) -> f64 {
        let sent: usize = servers.iter().map(|server| server.warm_up_sends.count(window, now)).sum();
        self.prompt_answers - WARMING_SENDS_DISCOUNT * sent as f64
    }

    /// Returns the count of prompt answers, for a successor process.
    pub fn learned(&self) -> f64 {
        self.prompt_answers
    }

    /// Restores the count of prompt answers of a predecessor process.
    pub fn restored(prompt_answers: f64) -> Self {
        Self { prompt_answers: non_negative(prompt_answers, MAX_VALUE) }
    }
}

/// Returns a pseudo-random number between 0 and 1 that is added to an allowance before it is rounded down. It
/// is constant within a window. In a large fleet, a node may send less than one request per window, and this
/// number determines in which windows it sends one. The windows of different nodes end at different times, so
/// that the nodes do not send at the same time.
fn rounding_offset(node_and_server: u64, window: Duration, now: Timestamp) -> f64 {
    let random = mix(node_and_server);
    let offset = window.mul_f64(unit_interval(random));
    let period = (now + offset).as_micros() / (window.as_micros() as u64).max(1);
    unit_interval(mix(random ^ period))
}
