//! Learned state of a node, in the form in which one process sends it to another.

use crate::config::{DiscoveryReplicas, Source};
use crate::endpoint_list::EndpointList;
use balancer_core::LearnedState;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Version of [`State`] that this program writes, and the only one that it reads.
const STATE_VERSION: u64 = 1;

/// Learned state of a node, by pool. Processes of other versions read and write it, so the serialized names
/// must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    version: u64,
    pub pools: Vec<PoolState>,
}

/// Endpoint list and learned state of one pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PoolState {
    pub name: String,
    /// Address of the discovery service that sent the endpoint list, if it has a single replica. Versions
    /// that don't support several replicas write only this field.
    discovery: Option<SocketAddr>,
    /// Addresses of that discovery service, if it has several replicas.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    replicas: Vec<SocketAddr>,
    #[serde(rename = "listing")]
    pub endpoint_list: EndpointList,
    #[serde(rename = "knowledge")]
    pub learned_state: LearnedState,
}

impl PoolState {
    /// Creates the state of the pool `name`, whose endpoint list comes from `source`.
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

    /// Returns whether the endpoint list comes from the discovery service of `source`. The list's version is
    /// meaningless to any other service. Replicas of a service share their versions, so one common replica
    /// suffices.
    pub fn shares_versions_with(&self, source: &Source) -> bool {
        let Source::Discovery(DiscoveryReplicas { addresses, .. }) = source else { return false };
        self.discovery.iter().chain(&self.replicas).any(|address| addresses.contains(address))
    }
}

/// Error while a state is read. The node then starts without it.
#[derive(Debug, Error)]
pub enum StateError {
    #[error("expected a state of version {STATE_VERSION}, found {0}")]
    Version(u64),
    #[error("expected a state of version {STATE_VERSION}: {0}")]
    Unreadable(#[from] serde_json::Error),
}

impl State {
    /// Creates a state of the current version.
    pub fn new(pools: Vec<PoolState>) -> Self {
        Self { version: STATE_VERSION, pools }
    }

    /// Parses a state. The version is checked first because other versions may have a different form.
    pub(super) fn read(value: serde_json::Value) -> Result<Self, StateError> {
        match value.get("version").and_then(serde_json::Value::as_u64) {
            Some(STATE_VERSION) | None => Ok(serde_json::from_value(value)?),
            Some(other) => Err(StateError::Version(other)),
        }
    }
}

#[cfg(test)]
mod tests;
