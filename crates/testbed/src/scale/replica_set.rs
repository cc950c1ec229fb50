//! What each replica of discovery is told: changes at once, late, or not at all while it has lost what it knew.

use super::messages::{ListedServer, ReplicaCommand};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::time::Instant;

/// The version of a list whose count has begun anew.
const FIRST_VERSION: u64 = 1;

/// The list that discovery has, and what each replica knows of it.
#[derive(Debug)]
pub struct ReplicaSet {
    version: u64,
    servers: BTreeMap<String, ListedServer>,
    replicas: Vec<Knowledge>,
}

#[derive(Debug, Default)]
struct Knowledge {
    lag: Duration,
    /// It learns nothing until it is restored.
    lost: bool,
    /// Changes that it learns later, in the order of time.
    later: VecDeque<(Instant, ReplicaCommand)>,
}

/// A command for a replica.
pub type Told = (usize, ReplicaCommand);

impl ReplicaSet {
    /// So many replicas that know the same list.
    pub fn new(replicas: u32, version: u64, servers: &[ListedServer]) -> Self {
        let servers = servers.iter().map(|server| (server.host.clone(), server.clone())).collect();
        Self { version, servers, replicas: (0..replicas).map(|_| Knowledge::default()).collect() }
    }

    /// The list's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How many entries the list has.
    pub fn listed(&self) -> usize {
        self.servers.len()
    }

    /// A server's entry is new: what to tell which replica now.
    pub fn change(&mut self, server: ListedServer, now: Instant) -> Vec<Told> {
        self.version += 1;
        if server.health == "gone" {
            self.servers.remove(&server.host);
        } else {
            self.servers.insert(server.host.clone(), server.clone());
        }
        let mut told = Vec::new();
        for (number, replica) in self.replicas.iter_mut().enumerate().filter(|(_, replica)| !replica.lost) {
            let command = ReplicaCommand::Change { version: self.version, server: server.clone() };
            if replica.lag.is_zero() {
                told.push((number, command));
            } else {
                replica.later.push_back((now + replica.lag, command));
            }
        }
        told
    }

    /// A replica learns of changes later by this from now on: what to tell it now.
    pub fn lag(&mut self, number: usize, by: Duration) -> Vec<Told> {
        let Some(replica) = self.replicas.get_mut(number) else { return Vec::new() };
        replica.lag = by;
        if !by.is_zero() {
            return Vec::new();
        }
        replica.later.drain(..).map(|(_, command)| (number, command)).collect()
    }

    /// A replica loses all entries, or its count of versions: what to tell it.
    pub fn lose(&mut self, number: usize, versions: bool) -> Vec<Told> {
        let Some(replica) = self.replicas.get_mut(number) else { return Vec::new() };
        replica.lost = true;
        replica.later.clear();
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

    /// A replica has the list again: what to tell it.
    pub fn restore(&mut self, number: usize) -> Vec<Told> {
        let Some(replica) = self.replicas.get_mut(number) else { return Vec::new() };
        replica.lost = false;
        let servers = self.servers.values().cloned().collect();
        vec![(number, ReplicaCommand::Reset { version: self.version, servers })]
    }

    /// When the next replica that lags learns of a change.
    pub fn next_due(&self) -> Option<Instant> {
        self.replicas.iter().filter_map(|replica| replica.later.front()).map(|(due, _)| *due).min()
    }

    /// What replicas that lag learn by now.
    pub fn due(&mut self, now: Instant) -> Vec<Told> {
        let mut told = Vec::new();
        for (number, replica) in self.replicas.iter_mut().enumerate() {
            let ripe = replica.later.partition_point(|(due, _)| *due <= now);
            told.extend(replica.later.drain(..ripe).map(|(_, command)| (number, command)));
        }
        told
    }
}
