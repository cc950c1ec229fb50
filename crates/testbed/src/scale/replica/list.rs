//! The versioned list of a replica, and the answers built from it.

use crate::scale::messages::ListedServer;
use bytes::Bytes;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound::{Excluded, Unbounded};

/// Number of servers whose last change is kept. A node with an older list gets a snapshot.
pub const CHANGES_KEPT: usize = 4_096;
/// Maximum number of cached answers. A few suffice, since most nodes have one of the same few versions.
const MAX_CACHED_ANSWERS: usize = 64;
/// Health of a removed server.
const GONE: &str = "gone";

/// An answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The JSON body.
    pub body: Bytes,
    /// The number of entries in the body.
    pub entries: usize,
    /// Whether the answer is a snapshot instead of a delta.
    pub is_snapshot: bool,
}

/// The JSON body of an answer.
#[derive(Serialize)]
struct Body<'a> {
    seq: u64,
    whole: bool,
    hosts: Vec<&'a ListedServer>,
}

/// A list in which every change has a version.
#[derive(Debug, Default)]
pub struct VersionedList {
    version: u64,
    servers: BTreeMap<String, ListedServer>,
    /// The last change of each server, by version.
    changes: BTreeMap<u64, ListedServer>,
    changed_at: HashMap<String, u64>,
    /// No change after this version has been dropped, so a delta can be built for it and for later versions.
    changes_complete_after: u64,
    answers: HashMap<Option<u64>, Answer>,
}

impl VersionedList {
    /// Creates a list of this version without any recorded changes.
    pub fn new(version: u64, servers: Vec<ListedServer>) -> Self {
        let present = servers.into_iter().filter(|server| server.health != GONE);
        let servers = present.map(|server| (server.host.clone(), server)).collect();
        Self { version, changes_complete_after: version, servers, ..Self::default() }
    }

    /// Returns the version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Changes the entry of a server. The version must be above that of the last change.
    pub fn change(&mut self, version: u64, server: ListedServer) {
        self.version = version;
        self.answers.clear();
        let host = server.host.clone();
        if let Some(earlier) = self.changed_at.insert(host.clone(), version) {
            self.changes.remove(&earlier);
        }
        if server.health == GONE {
            self.servers.remove(&host);
        } else {
            self.servers.insert(host, server.clone());
        }
        self.changes.insert(version, server);
        if self.changes.len() > CHANGES_KEPT {
            self.drop_oldest_change();
        }
    }

    /// Returns the answer for a node with this version: a delta, or a snapshot if the node has no version or
    /// one that is too old.
    pub fn answer(&mut self, after: Option<u64>) -> Answer {
        if let Some(answer) = self.answers.get(&after) {
            return answer.clone();
        }
        let answer = self.build_answer(after);
        if self.answers.len() >= MAX_CACHED_ANSWERS {
            self.answers.clear();
        }
        self.answers.insert(after, answer.clone());
        answer
    }

    fn drop_oldest_change(&mut self) {
        if let Some((version, server)) = self.changes.pop_first() {
            self.changes_complete_after = version;
            self.changed_at.remove(&server.host);
        }
    }

    fn build_answer(&self, after: Option<u64>) -> Answer {
        let known = after.filter(|after| *after >= self.changes_complete_after);
        let hosts: Vec<_> = match known {
            Some(after) => {
                self.changes.range((Excluded(after), Unbounded)).map(|(_, server)| server).collect()
            }
            None => self.servers.values().collect(),
        };
        let (entries, is_snapshot) = (hosts.len(), known.is_none());
        let body = Body { seq: self.version, whole: is_snapshot, hosts };
        // Serialization only fails for maps whose keys are not strings, and the body contains no maps.
        let body = serde_json::to_vec(&body).unwrap_or_default();
        Answer { body: body.into(), entries, is_snapshot }
    }
}
