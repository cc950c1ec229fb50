//! What one process knows, in the words in which it tells another.

use crate::config::{DiscoveryReplicas, Source};
use crate::endpoint_list::EndpointList;
use balancer_core::LearnedState;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// The version of [`State`] that this program writes, and the only one that it reads.
const STATE_VERSION: u64 = 1;

/// What a node knows, pool by pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    version: u64,
    pub pools: Vec<PoolState>,
}

/// What is known of one pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolState {
    pub name: String,
    /// The one address of the discovery whose list it is. Programs that know of no replicas have this alone.
    discovery: Option<SocketAddr>,
    /// The replicas of that discovery, where there are several.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    replicas: Vec<SocketAddr>,
    pub listing: EndpointList,
    pub knowledge: LearnedState,
}

impl PoolState {
    /// What is known of the pool of this name, whose list comes from `source`.
    pub fn new(name: &str, source: &Source, listing: EndpointList, knowledge: LearnedState) -> Self {
        let (discovery, replicas) = match source {
            Source::Discovery(DiscoveryReplicas { addresses, .. }) => match addresses[..] {
                [only] => (Some(only), Vec::new()),
                _ => (None, addresses.clone()),
            },
            Source::File(_) | Source::Fixed => (None, Vec::new()),
        };
        Self { name: name.to_owned(), discovery, replicas, listing, knowledge }
    }

    /// Whether its list is of the discovery that `source` names: versions of it mean nothing at another one. Replicas
    /// share their versions, so one that both name is enough.
    pub fn shares_versions_with(&self, source: &Source) -> bool {
        let Source::Discovery(DiscoveryReplicas { addresses, .. }) = source else { return false };
        self.discovery.iter().chain(&self.replicas).any(|address| addresses.contains(address))
    }
}

/// Why a state is of no use. The node starts without.
#[derive(Debug, Error)]
pub enum StateError {
    #[error("expected a state of version {STATE_VERSION}, found {0}")]
    Version(u64),
    #[error("expected a state of version {STATE_VERSION}: {0}")]
    Unreadable(#[from] serde_json::Error),
}

impl State {
    /// Of these pools.
    pub fn new(pools: Vec<PoolState>) -> Self {
        Self { version: STATE_VERSION, pools }
    }

    /// Reads one. The version is looked at first: what else another version holds may be anything.
    pub(super) fn read(value: serde_json::Value) -> Result<Self, StateError> {
        match value.get("version").and_then(serde_json::Value::as_u64) {
            Some(STATE_VERSION) | None => Ok(serde_json::from_value(value)?),
            Some(other) => Err(StateError::Version(other)),
        }
    }
}

#[cfg(test)]
mod tests;
