//! Tracks the endpoint list of a pool and applies it to the connections and to the readiness of the node.

use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::memory::Reservation;
use crate::tally::TallyLine;
use crate::upstream::Upstream;
use balancer_core::memory_budget::MemoryUse;
use balancer_core::{Endpoint, EndpointState};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

/// Memory of a server in the list, with what is known of it.
const SERVER_BYTES: usize = 1536;

/// Holds the endpoint list that results from all applied updates.
pub struct EndpointTable {
    list: EndpointList,
    /// The memory of the list, and of what is known of its servers.
    memory: Reservation,
    upstream: Rc<Upstream>,
    /// Set to true when the first update with a ready server is applied.
    ready: watch::Sender<bool>,
}

impl EndpointTable {
    /// Creates an empty table that applies its updates to `upstream` and sets `ready` once a server is ready.
    pub fn new(upstream: Rc<Upstream>, ready: watch::Sender<bool>) -> Self {
        let memory = upstream.memory().start(MemoryUse::List);
        Self { list: EndpointList::default(), memory, upstream, ready }
    }

    /// Returns the current list.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// Returns a delta that marks the endpoints with these ids as draining. Endpoints that are not ready in
    /// the current list are left out.
    pub fn draining_delta(&self, ids: &BTreeSet<String>) -> EndpointList {
        let leaving = self.list.endpoints.iter().filter(|endpoint| ids.contains(&endpoint.id));
        let endpoints = leaving.filter_map(EndpointRecord::to_draining).collect();
        EndpointList { version: self.list.version, is_snapshot: false, endpoints }
    }

    /// Applies a snapshot or a delta to the connections and returns its endpoints for the balancer.
    ///
    /// The connections and the balancer must be updated in the same step. If the balancer had the list first,
    /// it could start an attempt at a server whose address the connections do not have yet.
    pub fn apply(&mut self, update: &EndpointList, tally: &mut TallyLine) -> Arc<[Endpoint]> {
        self.count_changes(update, tally);
        self.list.apply(update);
        // A list is applied in any case, since the node must not use servers that have left.
        self.memory.charge(self.list.endpoints.len() * SERVER_BYTES);
        let endpoints: Arc<[Endpoint]> = update.endpoints.iter().map(|record| record.endpoint()).collect();
        if update.is_snapshot {
            self.upstream.retain_servers(|id| endpoints.iter().any(|endpoint| endpoint.id == *id));
        }
        for (record, endpoint) in update.endpoints.iter().zip(endpoints.iter()) {
            match endpoint.state {
                EndpointState::Removed => self.upstream.remove_server(&endpoint.id),
                state => {
                    self.upstream.update_server(&endpoint.id, record.address, state == EndpointState::Ready);
                }
            }
        }
        if endpoints.iter().any(|endpoint| endpoint.state == EndpointState::Ready) {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
        endpoints
    }

    /// Records each server whose state the update changes in the tally. The first list is not counted as a
    /// change.
    fn count_changes(&self, update: &EndpointList, tally: &mut TallyLine) {
        if self.list.endpoints.is_empty() {
            return;
        }
        let state = |endpoint: &Endpoint| (endpoint.state, endpoint.started_at);
        let known_endpoints = self.list.endpoints.iter().map(|record| record.endpoint());
        let mut known: BTreeMap<_, _> =
            known_endpoints.map(|endpoint| (endpoint.id.clone(), state(&endpoint))).collect();
        for endpoint in update.endpoints.iter().map(|record| record.endpoint()) {
            if known.remove(&endpoint.id) != Some(state(&endpoint)) {
                tally.record_notification(&endpoint.id, endpoint.state, endpoint.started_at);
            }
        }
        if update.is_snapshot {
            known.keys().for_each(|id| tally.record_notification(id, EndpointState::Removed, None));
        }
    }
}
