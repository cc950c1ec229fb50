//! The learned state of a node, as one process sends it to another.

use crate::config::{DiscoveryReplicas, Source};
use crate::endpoint_list::EndpointList;
use balancer_core::LearnedState;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// The version of [`State`] that this program writes, and the only one that it reads.
const STATE_VERSION: u64 = 1;

/// What a node has learned, by pool. Processes of other versions read and write it, so serialised names stay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    version: u64,
    pub pools: Vec<PoolState>,
}

/// What a node has learned of one pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolState {
    pub name: String,
    /// The one address of the discovery service that the endpoint list is from. Versions without replicas have this alone.
    discovery: Option<SocketAddr>,
    /// The replicas of that discovery service, if there are several.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    replicas: Vec<SocketAddr>,
    #[serde(rename = "listing")]
    pub endpoint_list: EndpointList,
    #[serde(rename = "knowledge")]
    pub learned_state: LearnedState,
}

impl PoolState {
    /// The state of the pool of this name, whose endpoint list is from `source`.
    pub fn new(
        name: &str,
        source: &Source,
        endpoint_list: EndpointList,
        learned_state: LearnedState,
    ) -> Self {
        let (discovery, replicas) = match source {
            Source::Discovery(DiscoveryReplicas { addresses, .. }) => match addresses[..] {
                [only] => (Some(only), Vec::new()),
                _ => (None, addresses.clone()),
            },
            Source::File(_) | Source::Fixed => (None, Vec::new()),
        };
        Self { name: name.to_owned(), discovery, replicas, endpoint_list, learned_state }
    }

    /// Whether its endpoint list is from the discovery service of `source`: its version has no meaning at another one.
    /// Replicas share their versions, so one common replica suffices.
    pub fn shares_versions_with(&self, source: &Source) -> bool {
        let Source::Discovery(DiscoveryReplicas { addresses, .. }) = source else { return false };
        self.discovery.iter().chain(&self.replicas).any(|address| addresses.contains(address))
    }
}

/// Why a state cannot be used. The node starts without it.
#[derive(Debug, Error)]
pub enum StateError {
    #[error("expected a state of version {STATE_VERSION}, found {0}")]
    Version(u64),
    #[error("expected a state of version {STATE_VERSION}: {0}")]
    Unreadable(#[from] serde_json::Error),
}

impl State {
    /// The state of these pools.
    pub fn new(pools: Vec<PoolState>) -> Self {
        Self { version: STATE_VERSION, pools }
    }

    /// Reads a state. Its version is checked first, since the rest of another version may have any form.
    pub(super) fn read(value: serde_json::Value) -> Result<Self, StateError> {
        match value.get("version").and_then(serde_json::Value::as_u64) {
            Some(STATE_VERSION) | None => Ok(serde_json::from_value(value)?),
            Some(other) => Err(StateError::Version(other)),
        }
    }
}

#[cfg(test)]
mod tests;
