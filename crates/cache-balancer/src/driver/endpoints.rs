//! The endpoint list of a pool, and those who follow it: the connections and the node's readiness.

use crate::listing::Listing;
use crate::tally::TallyLine;
use crate::upstream::Upstream;
use balancer_core::{Endpoint, EndpointState};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

/// The endpoint list as it has been applied so far.
pub struct EndpointTable {
    list: Listing,
    upstream: Rc<Upstream>,
    /// Set once a list has named a server that takes requests.
    ready: watch::Sender<bool>,
}

impl EndpointTable {
    /// An empty table, whose lists go to these connections and this flag.
    pub fn new(upstream: Rc<Upstream>, ready: watch::Sender<bool>) -> Self {
        Self { list: Listing::default(), upstream, ready }
    }

    /// The list as it is now.
    pub fn list(&self) -> &Listing {
        &self.list
    }

    /// The delta that marks these servers as draining, as far as the list has them in another state.
    pub fn draining_delta(&self, names: &BTreeSet<String>) -> Listing {
        let named = self.list.hosts.iter().filter(|host| names.contains(&host.host));
        let hosts = named.filter_map(crate::listing::Host::leaving).collect();
        Listing { seq: self.list.seq, whole: false, hosts }
    }

    /// Applies a snapshot or a delta to the connections and returns its entries for the decisions.
    ///
    /// Both must have it in one step: an attempt of the decisions that overtook its list would go to a server
    /// of which the connections know no address.
    pub fn apply(&mut self, update: &Listing, tally: &mut TallyLine) -> Arc<[Endpoint]> {
        self.count_changes(update, tally);
        self.list.merge(update);
        let entries: Arc<[Endpoint]> = update.hosts.iter().map(|host| host.entry()).collect();
        if update.whole {
            self.upstream.retain_servers(|id| entries.iter().any(|entry| entry.id == *id));
        }
        for (host, entry) in update.hosts.iter().zip(entries.iter()) {
            match entry.state {
                EndpointState::Removed => self.upstream.remove_server(&entry.id),
                state => {
                    self.upstream.update_server(&entry.id, host.dial, state == EndpointState::Ready);
                }
            }
        }
        if entries.iter().any(|entry| entry.state == EndpointState::Ready) {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
        entries
    }

    /// Tallies the servers whose state a list changes. The first list of a node changes none.
    fn count_changes(&self, update: &Listing, tally: &mut TallyLine) {
        if self.list.hosts.is_empty() {
            return;
        }
        let state = |entry: &Endpoint| (entry.state, entry.started_at);
        let known = self.list.hosts.iter().map(|host| host.entry());
        let mut known: BTreeMap<_, _> = known.map(|entry| (entry.id.clone(), state(&entry))).collect();
        for entry in update.hosts.iter().map(|host| host.entry()) {
            if known.remove(&entry.id) != Some(state(&entry)) {
                tally.record_notification(&entry.id, entry.state, entry.started_at);
            }
        }
        if update.whole {
            known.keys().for_each(|id| tally.record_notification(id, EndpointState::Removed, None));
        }
    }
}
