//! Who holds what at the start: each of the entries that are asked for most lies where the decisions look for it.
//!
//! To find an entry's place costs one decision, and that costs a time in proportion to the number of cache servers. So
//! the player in virtual time looks up only what is asked for, at the first request for it; how many entries a cache
//! server holds beside those is drawn ([`crate::world::initial`]).

use crate::demand::key_number;
use crate::fleet::settings;
use crate::script::Script;
use balancer_core::{
    Action, AttemptOutcome, AttemptStatus, Balancer, Endpoint, Event, LoadReport, Request, RequestId,
    ServerId, Settings, Timestamp,
};
use std::collections::HashMap;
use std::time::Duration;

/// Places of entries, looked up when they are first wanted.
pub struct Placement {
    balancer: Balancer,
    ranks: u32,
    total_weight: f64,
    /// Places found so far, by rank; never walked.
    found: HashMap<u32, Option<ServerId>>,
}

impl Placement {
    /// Of the cache servers on this list, which are there at the start.
    pub fn new(script: &Script, list: Vec<Endpoint>) -> Self {
        let total_weight = list.iter().map(|entry| entry.weight).sum();
        let settings = Settings { discovery_is_polled: false, nodes: 1, ..settings(script, 0) };
        let mut balancer = Balancer::new(settings, 0);
        balancer.handle(Timestamp::default(), Event::EndpointsRestored(list.into()), &mut Vec::new());
        let ranks = (f64::from(script.load.keys) * script.origin.warm) as u32;
        Self { balancer, ranks, total_weight, found: HashMap::new() }
    }

    /// Entries of ranks below this are held at the start, if there is memory for them.
    pub fn ranks(&self) -> u32 {
        self.ranks
    }

    /// The part of all entries that lies at a cache server of this weight: rendezvous hashing is in proportion to weights.
    pub fn share(&self, weight: f64) -> f64 {
        if self.total_weight > 0.0 {
            weight / self.total_weight
        } else {
            0.0
        }
    }

    /// Where the entry of this rank lies; `None` for those that no cache server holds at the start.
    pub fn server(&mut self, rank: u32) -> Option<ServerId> {
        if rank >= self.ranks {
            return None;
        }
        if let Some(server) = self.found.get(&rank) {
            return server.clone();
        }
        let server = self.look_up(rank);
        self.found.insert(rank, server.clone());
        server
    }

    /// How many decisions have been made to find places: each costs a time in proportion to the number of servers.
    pub fn lookups(&self) -> usize {
        self.found.len()
    }

    fn look_up(&mut self, rank: u32) -> Option<ServerId> {
        let now = Timestamp::default();
        let (id, key) = (RequestId::from("warm-up"), key_number(rank));
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

/// Who holds what at the start, one by one, the least asked for first, so that what is asked for most is the last to go
/// from a full memory. This costs keys times servers; the player on sockets does it before the play begins.
pub fn held_at_start(script: &Script, list: Vec<Endpoint>) -> Vec<(ServerId, u64)> {
    let mut placement = Placement::new(script, list);
    let ranks = (0..placement.ranks()).rev();
    ranks.filter_map(|rank| Some((placement.server(rank)?, key_number(rank)))).collect()
}
