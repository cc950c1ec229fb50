//! The placement of entries on cache servers at the start. Each popular entry is cached on the server to
//! which the balancer sends requests for it.
//!
//! Finding the server of a key takes one balancer decision, whose time is proportional to the number of cache
//! servers. So the simulation in virtual time looks up only the keys that are requested. The number of other
//! entries of a cache server is random (see [`crate::models::initial_entries`]).

use crate::fleet::node_settings;
use crate::script::Script;
use crate::workload::key_of_rank;
use balancer_core::{
    Action, AttemptOutcome, AttemptStatus, Balancer, Endpoint, Event, LoadReport, Request, RequestId,
    ServerId, Settings, Timestamp,
};
use std::collections::HashMap;
use std::time::Duration;

/// The cache servers of the initial entries, looked up on first use.
pub struct Placement {
    balancer: Balancer,
    ranks: u32,
    total_weight: f64,
    /// The cache servers by rank. The map is never iterated over, so its random order does not affect a run.
    servers: HashMap<u32, Option<ServerId>>,
}

impl Placement {
    /// Creates a placement on the cache servers of this list.
    pub fn new(script: &Script, list: Vec<Endpoint>) -> Self {
        let total_weight = list.iter().map(|endpoint| endpoint.weight).sum();
        let settings = Settings { discovery_is_polled: false, nodes: 1, ..node_settings(script, 0) };
        let mut balancer = Balancer::new(settings, 0);
        balancer.handle(Timestamp::default(), Event::EndpointsRestored(list.into()), &mut Vec::new());
        let ranks = (f64::from(script.load.keys) * script.origin.initially_cached_fraction) as u32;
        Self { balancer, ranks, total_weight, servers: HashMap::new() }
    }

    /// Returns the exclusive upper bound of the ranks whose entries are cached at the start, if they fit into
    /// the caches.
    pub fn ranks(&self) -> u32 {
        self.ranks
    }

    /// Returns the fraction of all entries that rendezvous hashing assigns to a cache server of this weight.
    pub fn share(&self, weight: f64) -> f64 {
        if self.total_weight > 0.0 {
            weight / self.total_weight
        } else {
            0.0
        }
    }

    /// Returns the cache server of the entry of this rank, or `None` if the entry is not cached at the start.
    pub fn server(&mut self, rank: u32) -> Option<ServerId> {
        if rank >= self.ranks {
            return None;
        }
        if let Some(server) = self.servers.get(&rank) {
            return server.clone();
        }
        let server = self.look_up(rank);
        self.servers.insert(rank, server.clone());
        server
    }

    /// Returns the number of entries that were looked up.
    pub fn lookups(&self) -> usize {
        self.servers.len()
    }

    fn look_up(&mut self, rank: u32) -> Option<ServerId> {
        let now = Timestamp::default();
        let (id, key) = (RequestId::from("warm-up"), key_of_rank(rank));
        let request = Request { key: Some(key), ..Request::new(id.as_str(), now + Duration::from_secs(1)) };
        let mut actions = Vec::new();
        self.balancer.handle(now, Event::Request(request), &mut actions);
        let Some(Action::StartAttempt { server, .. }) = actions.first().cloned() else { return None };
        let outcome = AttemptOutcome {
            id,
            attempt: 0,
            server: server.clone(),
            status: AttemptStatus::Ok,
            cache_result: None,
            elapsed: Duration::from_millis(1),
            request_finished: true,
            load: LoadReport::default(),
        };
        self.balancer.handle(now, Event::AttemptEnded(outcome), &mut actions);
        Some(server)
    }
}

/// Returns all initial entries with their cache servers. The least popular come first, so that a full cache
/// evicts the most popular ones last. The run time is proportional to keys times servers. On sockets, this
/// runs before the scenario begins.
pub fn initial_entries(script: &Script, list: Vec<Endpoint>) -> Vec<(ServerId, u64)> {
    let mut placement = Placement::new(script, list);
    let ranks = (0..placement.ranks()).rev();
    ranks.filter_map(|rank| Some((placement.server(rank)?, key_of_rank(rank)))).collect()
}
