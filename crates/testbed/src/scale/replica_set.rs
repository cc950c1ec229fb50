//! Replicates the list to the replicas of discovery: immediately, with a lag, or not at all while a replica
//! has lost its state.

use super::messages::{ListedServer, ReplicaCommand};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The version at which a replica restarts when it has lost its own.
const FIRST_VERSION: u64 = 1;

/// The list of discovery, and the state of its replication to each replica.
#[derive(Debug)]
pub struct ReplicaSet {
    version: u64,
    servers: BTreeMap<String, ListedServer>,
    replicas: Vec<Replication>,
}

#[derive(Debug, Default)]
struct Replication {
    lag: Duration,
    /// Whether the replica has lost its state. It receives no changes until it is restored.
    lost: bool,
    /// Changes that are delayed by the lag, in chronological order.
    pending: VecDeque<(Instant, ReplicaCommand)>,
}

/// A command, and the index of the replica that it is sent to.
pub type AddressedCommand = (usize, ReplicaCommand);

impl ReplicaSet {
    /// Creates a set of replicas that all have the same list.
    pub fn new(replicas: u32, version: u64, servers: &[ListedServer]) -> Self {
        let servers = servers.iter().map(|server| (server.host.clone(), server.clone())).collect();
        Self { version, servers, replicas: (0..replicas).map(|_| Replication::default()).collect() }
    }

    /// Returns the version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of servers on the list.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Changes the entry of a server, or removes it if its health is `gone`. Returns the commands that are
    /// due now.
    pub fn change(&mut self, server: ListedServer, now: Instant) -> Vec<AddressedCommand> {
        self.version += 1;
        if server.health == "gone" {
            self.servers.remove(&server.host);
        } else {
            self.servers.insert(server.host.clone(), server.clone());
        }
        let mut commands = Vec::new();
        for (number, replica) in self.replicas.iter_mut().enumerate().filter(|(_, replica)| !replica.lost) {
            let command = ReplicaCommand::Change { version: self.version, server: server.clone() };
            if replica.lag.is_zero() {
                commands.push((number, command));
            } else {
                replica.pending.push_back((now + replica.lag, command));
            }
        }
        commands
    }

    /// Sets the lag of a replica. Returns the pending commands if there is no lag any more.
    pub fn set_lag(&mut self, number: usize, by: Duration) -> Vec<AddressedCommand> {
        let Some(replica) = self.replicas.get_mut(number) else { return Vec::new() };
        replica.lag = by;
        if !by.is_zero() {
            return Vec::new();
        }
        replica.pending.drain(..).map(|(_, command)| (number, command)).collect()
    }

    /// Makes a replica lose its entries or its version. Returns the command for it.
    pub fn lose_state(&mut self, number: usize, versions: bool) -> Vec<AddressedCommand> {
        let Some(replica) = self.replicas.get_mut(number) else { return Vec::new() };
        replica.lost = true;
        replica.pending.clear();
        let command = if versions {
            ReplicaCommand::Reset {
                version: FIRST_VERSION,
                servers: self.servers.values().cloned().collect(),
            }
        } else {
            ReplicaCommand::Reset { version: self.version, servers: Vec::new() }
        };
        vec![(number, command)]
    }

    /// Restores the list of a replica. Returns the command for it.
    pub fn restore_state(&mut self, number: usize) -> Vec<AddressedCommand> {
        let Some(replica) = self.replicas.get_mut(number) else { return Vec::new() };
        replica.lost = false;
        let servers = self.servers.values().cloned().collect();
        vec![(number, ReplicaCommand::Reset { version: self.version, servers })]
    }

    /// Returns the time at which the next delayed command is due.
    pub fn next_due(&self) -> Option<Instant> {
        self.replicas.iter().filter_map(|replica| replica.pending.front()).map(|(due, _)| *due).min()
    }

    /// Removes and returns the delayed commands that are due.
    pub fn take_due(&mut self, now: Instant) -> Vec<AddressedCommand> {
        let mut commands = Vec::new();
        for (number, replica) in self.replicas.iter_mut().enumerate() {
            let due = replica.pending.partition_point(|(due, _)| *due <= now);
            commands.extend(replica.pending.drain(..due).map(|(_, command)| (number, command)));
        }
        commands
    }
}
