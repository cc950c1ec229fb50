//! The versions of the list in a scene: what each changed, and when.

use crate::scale::messages::ListedServer;
use balancer_core::EndpointState;
use std::collections::HashMap;
use std::time::Duration;

/// The version of the list at the start of a scene.
pub(super) const FIRST_VERSION: u64 = 1;

/// The index of a server in the order in which servers were first listed.
pub(super) type ServerNumber = u32;

/// One change.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionedChange {
    pub(super) server: ServerNumber,
    pub(super) state: EndpointState,
    /// When discovery had it.
    pub(super) at: Duration,
}

/// All versions of the list.
#[derive(Debug, Default)]
pub(super) struct Versions {
    names: Vec<String>,
    /// The bytes of the entry of each server in an answer.
    bytes: Vec<usize>,
    numbers: HashMap<String, ServerNumber>,
    changes: Vec<VersionedChange>,
}

impl Versions {
    /// Creates the first version.
    pub(super) fn new(servers: &[ListedServer]) -> Self {
        let mut versions = Self::default();
        servers.iter().for_each(|server| {
            versions.number(server);
        });
        versions
    }

    /// The latest version.
    pub(super) fn latest(&self) -> u64 {
        FIRST_VERSION + self.changes.len() as u64
    }

    /// Adds a version.
    pub(super) fn change(&mut self, server: &ListedServer, at: Duration) -> u64 {
        let number = self.number(server);
        let state = state(server);
        self.changes.push(VersionedChange { server: number, state, at });
        self.latest()
    }

    /// The change that made a version; `None` for the first one and for those that do not exist.
    pub(super) fn made(&self, version: u64) -> Option<VersionedChange> {
        let place = version.checked_sub(FIRST_VERSION + 1)?;
        self.changes.get(place as usize).copied()
    }

    pub(super) fn name(&self, server: ServerNumber) -> &str {
        self.names.get(server as usize).map_or("", String::as_str)
    }

    pub(super) fn entry_bytes(&self, server: ServerNumber) -> usize {
        self.bytes.get(server as usize).copied().unwrap_or_default()
    }

    fn number(&mut self, server: &ListedServer) -> ServerNumber {
        if let Some(number) = self.numbers.get(&server.host) {
            return *number;
        }
        let number = self.names.len() as ServerNumber;
        self.names.push(server.host.clone());
        // An entry is followed by a comma or a bracket. Serialization fails only for maps whose keys are not strings.
        self.bytes.push(serde_json::to_vec(server).map_or(0, |text| text.len() + 1));
        self.numbers.insert(server.host.clone(), number);
        number
    }
}

fn state(server: &ListedServer) -> EndpointState {
    match server.health.as_str() {
        "ready" => EndpointState::Ready,
        "draining" => EndpointState::Draining,
        _ => EndpointState::Removed,
    }
}
