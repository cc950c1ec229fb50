//! The endpoint list of a pool, and its effects on the connections and on the node's readiness.

use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::tally::TallyLine;
use crate::upstream::Upstream;
use balancer_core::{Endpoint, EndpointState};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

/// The endpoint list as it has been applied so far.
pub struct EndpointTable {
    list: EndpointList,
    upstream: Rc<Upstream>,
    /// Set once a list has had a ready server.
    ready: watch::Sender<bool>,
}

impl EndpointTable {
    /// An empty table, which applies its lists to `upstream` and sets `ready` once a server is ready.
    pub fn new(upstream: Rc<Upstream>, ready: watch::Sender<bool>) -> Self {
        Self { list: EndpointList::default(), upstream, ready }
    }

    /// The current list.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// The delta that marks these endpoints as draining, as far as the list has them as ready.
    pub fn draining_delta(&self, ids: &BTreeSet<String>) -> EndpointList {
        let leaving = self.list.endpoints.iter().filter(|endpoint| ids.contains(&endpoint.id));
        let endpoints = leaving.filter_map(EndpointRecord::drained).collect();
        EndpointList { version: self.list.version, is_snapshot: false, endpoints }
    }

    /// Applies a snapshot or a delta to the connections and returns its endpoints for the decisions.
    ///
    /// Both must apply it in one step: an attempt that the decisions start before the connections have the list would
    /// go to a server without an address.
    pub fn apply(&mut self, update: &EndpointList, tally: &mut TallyLine) -> Arc<[Endpoint]> {
        self.count_changes(update, tally);
        self.list.apply(update);
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

    /// Tallies the servers whose state a list changes. The first list of a node changes none.
    fn count_changes(&self, update: &EndpointList, tally: &mut TallyLine) {
        if self.list.endpoints.is_empty() {
            return;
        }
        let state = |endpoint: &Endpoint| (endpoint.state, endpoint.started_at);
        let known = self.list.endpoints.iter().map(|record| record.endpoint());
        let mut known: BTreeMap<_, _> =
            known.map(|endpoint| (endpoint.id.clone(), state(&endpoint))).collect();
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
