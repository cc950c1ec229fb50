//! Slow start: a server that has just started is sent its share of work step by step.

use super::*;

/// Share of a cold server's stated multiple that is used: its size is guessed, from the fleet's use.
const MULTIPLE_SHARE: f64 = 0.65;
/// So much of what a cold server is sent, by all nodes together in a span, needs no good answers before: none
/// come where all servers are cold. It is little beside what any server can do.
const UNPROVEN_SENDS: f64 = 4.0;
/// Of what cold servers were sent within a span, this part proves nothing in it: all cold, each answer would
/// allow more than one more, and work would not grow from span to span but at once, past what they can bear.
const UNPROVEN_SHARE: f64 = 0.4;

impl Balancer {
    /// Share of its full capacity that a server has reached, up to 1.
    pub(super) fn slow_start_factor(&self, entry: &Endpoint, now: Timestamp) -> f64 {
        let warm = self.settings.slow_start_window.as_secs_f64().max(1e-6);
        let age = entry.started_at.map_or(warm, |at| now.since(at).as_secs_f64());
        let cold = self.settings.slow_start_min_fraction;
        (cold + (1.0 - cold) * age / warm).min(1.0)
    }

    /// Pushed over by all nodes, a cold server never comes back: each sends its part of what its size
    /// should get of the good answers seen here, within any span of time, with nothing saved up. Of many
    /// nodes each may send now and then: a random number decides whether it may for a span, which ends at
    /// another time on each. A node that has just started has seen no answers, and begins with its part of
    /// `UNPROVEN_SENDS`.
    pub(super) fn slow_start_admits(&self, i: usize, now: Timestamp) -> bool {
        let server = &self.servers[i];
        if self.is_origin(&server.entry) || self.slow_start_factor(&server.entry, now) >= 1.0 {
            return true;
        }
        let caches = self.servers.iter().filter(|server| self.in_use(server));
        let fleet: f64 = caches.map(|server| self.capacity(server, now)).sum();
        let share = self.capacity(server, now) / fleet;
        let span = self.settings.slow_start_overload_window;
        let spans = span.as_secs_f64() / RATE_SPAN.as_secs_f64();
        let sent =
            |server: &Server| server.recent_sends.iter().filter(|sent| now.since(**sent) < span).count();
        let proven =
            self.prompt_answers - UNPROVEN_SHARE * self.servers.iter().map(sent).sum::<usize>() as f64;
        let allowed = proven * spans * share * self.settings.slow_start_overload_factor * MULTIPLE_SHARE;
        let allowed = allowed.max(UNPROVEN_SENDS / f64::from(self.settings.nodes.max(1)));
        let random = mix(self.seed ^ server.hash);
        let period =
            (now + span.mul_f64(unit_interval(random))).as_micros() / (span.as_micros() as u64).max(1);
        (sent(server) as f64) < (allowed + unit_interval(mix(random ^ period))).floor()
    }
}
