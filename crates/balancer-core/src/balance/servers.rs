//! What is known of each server, and how discovery's lists change it.

use super::*;
use std::collections::VecDeque;

/// For so long what a server said of its queue tells of its present state: reports are this old at most.
const REPORT_FRESH: Duration = Duration::from_millis(500);
/// Answers at par that the pace of a kind of server starts with.
pub const PACE_PRIOR: f64 = 10.0;

#[derive(Debug)]
pub struct Server {
    pub entry: Endpoint,
    /// Index in [`Balancer::kinds`].
    pub kind: usize,
    pub hash: u64,
    pub breaker: Breaker,
    /// By class: a server may turn one class away and serve the others (a release that does not know it, a
    /// quota of that class's own). Blocked as a whole, it would lose the keys of all classes to servers that
    /// lack them. Harmful if turned away for a moment only: that class's keys are missed elsewhere meanwhile.
    pub by_class: Vec<Breaker>,
    /// During its slow start: when it was sent to in the span that counts, oldest first.
    pub recent_sends: VecDeque<Timestamp>,
    pub in_flight: u32,
    /// Most requests in flight; a fraction stands for the chance of one more.
    pub limit: f64,
    /// When it was last sent to, and how long after the send before.
    pub last_sent: Timestamp,
    pub send_interval: Duration,
    /// When it last reported an empty queue, unless it has reported a longer one since.
    pub unqueued: Option<Timestamp>,
}

/// What answers of a kind of server take against their forecast work: a logarithm, so that no few decide.
#[derive(Debug)]
pub struct ServerKind {
    pub name: Option<Name>,
    pub pace: f64,
    pub answers: f64,
}

impl Balancer {
    pub(super) fn apply_list(&mut self, now: Timestamp, entries: &[Endpoint], full: bool) {
        if full {
            self.servers.retain(|server| entries.iter().any(|entry| entry.id == server.entry.id));
        }
        let first = !std::mem::replace(&mut self.list_received, true);
        for entry in entries {
            let gone = entry.state == EndpointState::Removed;
            match self.position(&entry.id) {
                Ok(i) if gone => drop(self.servers.remove(i)),
                Ok(i) => self.update(i, entry, now),
                Err(_) if gone => {}
                Err(i) => {
                    let entry = if first { entry.clone() } else { self.with_start(entry, None, now) };
                    let server = self.new_server(entry, now);
                    self.servers.insert(i, server);
                }
            }
        }
    }

    /// Where a server stands, or where it would have to be inserted.
    pub(super) fn position(&self, id: &ServerId) -> Result<usize, usize> {
        self.servers.binary_search_by(|server| server.entry.id.cmp(id))
    }

    fn update(&mut self, i: usize, entry: &Endpoint, now: Timestamp) {
        let entry = self.with_start(entry, Some(&self.servers[i].entry), now);
        let server = &mut self.servers[i];
        if entry.started_at != server.entry.started_at {
            server.breaker.enter(BreakerState::Closed, now);
            server.by_class.iter_mut().for_each(|breaker| breaker.enter(BreakerState::Closed, now));
        }
        server.entry = entry;
    }

    fn new_server(&mut self, entry: Endpoint, now: Timestamp) -> Server {
        let known = self.kinds.iter().position(|kind| kind.name == entry.kind);
        let kind = known.unwrap_or_else(|| {
            self.kinds.push(ServerKind { name: entry.kind.clone(), pace: 0.0, answers: PACE_PRIOR });
            self.kinds.len() - 1
        });
        Server {
            kind,
            hash: mix(hash_text(entry.id.as_str())),
            breaker: Breaker::new(WINDOW, now),
            by_class: self.settings.classes.iter().map(|_| Breaker::new(CLASS_WINDOW, now)).collect(),
            recent_sends: VecDeque::new(),
            in_flight: 0,
            limit: self.limit_start,
            last_sent: now,
            send_interval: Duration::MAX,
            unqueued: None,
            entry,
        }
    }

    /// An entry with the time of its server's start, where lists do not tell that: one that was not there
    /// before, or was to be sent no more, has most likely just started.
    fn with_start(&self, entry: &Endpoint, before: Option<&Endpoint>, now: Timestamp) -> Endpoint {
        if self.settings.start_times_reported || entry.started_at.is_some() {
            return entry.clone();
        }
        let known = before.filter(|before| before.state == EndpointState::Ready);
        let back = entry.state == EndpointState::Ready;
        let started = known.map_or(back.then_some(now), |before| before.started_at);
        Endpoint { started_at: started, ..entry.clone() }
    }

    pub(super) fn is_origin(&self, entry: &Endpoint) -> bool {
        let CacheMode::Aside { origin_kind } = &self.settings.mode else { return false };
        entry.kind.as_ref() == Some(origin_kind)
    }

    /// Whether it is a cache server that takes work.
    pub(super) fn in_use(&self, server: &Server) -> bool {
        server.entry.state == EndpointState::Ready && !self.is_origin(&server.entry)
    }

    /// What it can do at present, for comparison with other servers.
    pub(super) fn capacity(&self, server: &Server, now: Timestamp) -> f64 {
        let speed =
            if self.settings.weights_reflect_speed { 1.0 } else { (-self.kinds[server.kind].pace).exp() };
        (server.entry.weight * speed * self.slow_start_factor(&server.entry, now)).max(1e-9)
    }

    /// Whether it reported an empty queue of late. Only a node that has a real part of a server's work can
    /// tell: for one of more the report is older than the bursts of the others.
    pub(super) fn is_unqueued(&self, server: &Server, now: Timestamp) -> bool {
        self.limit_start > 1.0 && server.unqueued.is_some_and(|at| now.since(at) < REPORT_FRESH)
    }
}
