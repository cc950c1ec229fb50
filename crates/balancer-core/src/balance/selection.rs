//! Which server an attempt goes to.

use super::*;

/// Servers of a key's order that may take it; for want of room at the first, up to this share of their limit.
const CANDIDATES: usize = 3;
const SPILLOVER_SHARE: f64 = 0.5;

impl Balancer {
    /// The server for a request's next attempt, by index. With `no_fetch` no likely miss may be sent.
    pub(super) fn select(&self, now: Timestamp, pending: &PendingRequest, no_fetch: bool) -> Option<usize> {
        if pending.attempts.len() >= pending.settings.max_attempts as usize {
            return None;
        }
        let usable = |i: &usize| self.usable(*i, now, pending, no_fetch);
        let aside = matches!(self.settings.mode, CacheMode::Aside { .. });
        let missed = pending.attempts.iter().any(|attempt| attempt.status == Some(AttemptStatus::Miss));
        if aside && (pending.request.write || missed) {
            let mut origins = (0..self.servers.len()).filter(|&i| self.is_origin(&self.servers[i].entry));
            return origins.find(usable).filter(|i| self.has_room(*i, 1.0, pending));
        }
        let order = self.replica_order(now, pending);
        let own = *order.first()?;
        // For want of room to the next few and no further: over a slow fleet, hits would turn to misses.
        let open: Vec<usize> = order.into_iter().filter(usable).take(CANDIDATES).collect();
        if !open.is_empty() {
            return self.with_room(now, &open, pending);
        }
        // Every server is blocked: the key's own server then, rather than none.
        let last_resort = !no_fetch && self.slow_start_admits(own, now) && pending.attempts.is_empty();
        (last_resort && self.has_room(own, 1.0, pending)).then_some(own)
    }

    fn usable(&self, i: usize, now: Timestamp, pending: &PendingRequest, no_fetch: bool) -> bool {
        let server = &self.servers[i];
        let entry = &server.entry;
        !(no_fetch && self.likely_miss(&pending.request, server))
            && entry.state == EndpointState::Ready
            && pending.may_go_to(entry, now)
            && server.breaker.admits(now)
            && server.by_class[pending.class_index].admits(now)
            && self.slow_start_admits(i, now)
            && !pending.attempts.iter().any(|attempt| attempt.entry.id == entry.id)
    }

    fn has_room(&self, i: usize, share: f64, pending: &PendingRequest) -> bool {
        f64::from(self.servers[i].in_flight) + pending.random < self.servers[i].limit * share
    }

    /// The first of these candidates that has room for the request.
    fn with_room(&self, now: Timestamp, open: &[usize], pending: &PendingRequest) -> Option<usize> {
        let share = |place| if place == 0 { 1.0 } else { SPILLOVER_SHARE };
        let found = open.iter().enumerate().find(|&(place, &i)| self.has_room(i, share(place), pending));
        // Limits steer away from servers that answer late, and all of them do where misses wait for a
        // slow origin. One that reports no queue takes what none of the others has room for, up to where
        // limits start: its cores may be shared by many although none of them waits.
        let spare = |i: &&usize| {
            let server = &self.servers[**i];
            self.is_unqueued(server, now) && f64::from(server.in_flight) < self.limit_start
        };
        found.map(|(_, &i)| i).or_else(|| open.iter().find(spare).copied())
    }

    /// The servers in the order of the request's key, that which this request goes to among the replicas of a
    /// hot key brought to the front.
    fn replica_order(&self, now: Timestamp, pending: &PendingRequest) -> Vec<usize> {
        let key = key_of(&pending.request);
        let mut order = self.rendezvous_order(key, now);
        let replicas = self.hot_keys.replication_factor(now, key, order.len());
        // Each of the replicas is the first for a part of the requests, a cold one for a smaller.
        let capacity = |i: &usize| self.capacity(&self.servers[*i], now);
        let random = unit_interval(mix(pending.random.to_bits()));
        let mut left = random * order[..replicas].iter().map(capacity).sum::<f64>();
        let first = order[..replicas].iter().position(|i| {
            left -= capacity(i);
            left < 0.0
        });
        order[..replicas].rotate_left(first.unwrap_or(0));
        order
    }

    /// The ready cache servers in the key's own order, by weighted rendezvous: a leaver moves only its keys.
    fn rendezvous_order(&self, key: u64, now: Timestamp) -> Vec<usize> {
        let rank = |(i, server): (usize, &Server)| {
            let distance = -unit_interval(mix(key ^ server.hash)).ln() / self.capacity(server, now);
            // The bits of positive numbers sort as the numbers do.
            (distance.to_bits(), i)
        };
        let in_use = self.servers.iter().enumerate().filter(|(_, server)| self.in_use(server));
        let mut ranked: Vec<_> = in_use.map(rank).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, i)| i).collect()
    }
}
