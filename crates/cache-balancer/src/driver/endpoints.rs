//! The endpoint list of a pool, and those who follow it: the connections and the node's readiness.

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
    /// Set once a list has named a server that takes requests.
    ready: watch::Sender<bool>,
}

impl EndpointTable {
    /// An empty table, whose lists go to these connections and this flag.
    pub fn new(upstream: Rc<Upstream>, ready: watch::Sender<bool>) -> Self {
        Self { list: EndpointList::default(), upstream, ready }
    }

    /// The list as it is now.
    pub fn list(&self) -> &EndpointList {
        &self.list
    }

    /// The delta that marks these endpoints as draining, as far as the list has them as ready.
    pub fn draining_delta(&self, ids: &BTreeSet<String>) -> EndpointList {
        let leaving = self.list.endpoints.iter().filter(|endpoint| ids.contains(&endpoint.id));
        let endpoints = leaving.filter_map(EndpointRecord::drained).collect();
        EndpointList { version: self.list.version, is_snapshot: false, endpoints }
    }

    /// Applies a snapshot or a delta to the connections and returns its entries for the decisions.
    ///
    /// Both must have it in one step: an attempt of the decisions that overtook its list would go to a server
    /// of which the connections know no address.
    pub fn apply(&mut self, update: &EndpointList, tally: &mut TallyLine) -> Arc<[Endpoint]> {
        self.count_changes(update, tally);
        self.list.apply(update);
        let entries: Arc<[Endpoint]> = update.endpoints.iter().map(|record| record.endpoint()).collect();
        if update.is_snapshot {
            self.upstream.retain_servers(|id| entries.iter().any(|entry| entry.id == *id));
        }
        for (record, entry) in update.endpoints.iter().zip(entries.iter()) {
            match entry.state {
                EndpointState::Removed => self.upstream.remove_server(&entry.id),
                state => {
                    self.upstream.update_server(&entry.id, record.address, state == EndpointState::Ready);
                }
            }
        }
        if entries.iter().any(|entry| entry.state == EndpointState::Ready) {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
        entries
    }

    /// Tallies the servers whose state a list changes. The first list of a node changes none.
    fn count_changes(&self, update: &EndpointList, tally: &mut TallyLine) {
        if self.list.endpoints.is_empty() {
            return;
        }
        let state = |entry: &Endpoint| (entry.state, entry.started_at);
        let known = self.list.endpoints.iter().map(|record| record.endpoint());
        let mut known: BTreeMap<_, _> = known.map(|entry| (entry.id.clone(), state(&entry))).collect();
        for entry in update.endpoints.iter().map(|record| record.endpoint()) {
            if known.remove(&entry.id) != Some(state(&entry)) {
                tally.record_notification(&entry.id, entry.state, entry.started_at);
            }
        }
        if update.is_snapshot {
            known.keys().for_each(|id| tally.record_notification(id, EndpointState::Removed, None));
        }
    }
}
