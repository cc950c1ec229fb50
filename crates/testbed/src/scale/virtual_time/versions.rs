//! The versions of the list in a simulation, with the change and the time of each.

use crate::scale::messages::ListedServer;
use balancer_core::EndpointState;
use std::collections::HashMap;
use std::time::Duration;

/// Version of the list at the start of a scene.
pub(super) const FIRST_VERSION: u64 = 1;

/// Index of a server, in the order in which servers were first listed.
pub(super) type ServerNumber = u32;

/// The change that a version consists of.
#[derive(Clone, Copy, Debug)]
pub(super) struct VersionedChange {
    pub(super) server: ServerNumber,
    pub(super) state: EndpointState,
    /// The time of the change at discovery.
    pub(super) at: Duration,
}

/// The history of the list.
#[derive(Debug, Default)]
pub(super) struct Versions {
    names: Vec<String>,
    /// The size of the entry of each server in an answer, in bytes.
    bytes: Vec<usize>,
    numbers: HashMap<String, ServerNumber>,
    changes: Vec<VersionedChange>,
}

impl Versions {
    /// Creates a history whose first version lists these servers.
    pub(super) fn new(servers: &[ListedServer]) -> Self {
        let mut versions = Self::default();
        servers.iter().for_each(|server| {
            versions.number(server);
        });
        versions
    }

    /// Returns the latest version.
    pub(super) fn latest(&self) -> u64 {
        FIRST_VERSION + self.changes.len() as u64
    }

    /// Records a change as a new version and returns that version.
    pub(super) fn record_change(&mut self, server: &ListedServer, at: Duration) -> u64 {
        let number = self.number(server);
        let state = state(server);
        self.changes.push(VersionedChange { server: number, state, at });
        self.latest()
    }

    /// Returns the change of a version, or `None` for the first version and for versions that do not exist.
    pub(super) fn change_at(&self, version: u64) -> Option<VersionedChange> {
        let index = version.checked_sub(FIRST_VERSION + 1)?;
        self.changes.get(index as usize).copied()
    }

    pub(super) fn name(&self, server: ServerNumber) -> &str {
        self.names.get(server as usize).map_or("", String::as_str)
    }

    pub(super) fn entry_bytes(&self, server: ServerNumber) -> usize {
        self.bytes.get(server as usize).copied().unwrap_or_default()
    }

    /// Returns the index of a server, which is added if it is not known yet.
    fn number(&mut self, server: &ListedServer) -> ServerNumber {
        if let Some(number) = self.numbers.get(&server.host) {
            return *number;
        }
        let number = self.names.len() as ServerNumber;
        self.names.push(server.host.clone());
        // Each entry is followed by a comma or a bracket. Serialization only fails for maps whose keys are
        // not strings.
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
