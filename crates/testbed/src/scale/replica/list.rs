//! The list of a replica with its versions, and how answers are worded.

use crate::scale::messages::ListedServer;
use bytes::Bytes;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};
use std::ops::Bound::{Excluded, Unbounded};

/// Servers whose last change is remembered. Whoever holds a list from before is told the whole one.
pub const CHANGES_KEPT: usize = 4_096;
/// Worded answers that are kept: most nodes ask for what is newer than the same few versions.
const ANSWERS_KEPT: usize = 64;
/// What discovery says of a server that was removed.
const GONE: &str = "gone";

/// One answer, worded.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What is sent.
    pub body: Bytes,
    /// Entries in it.
    pub entries: usize,
    /// The whole list.
    pub whole: bool,
}

/// As discovery words it.
#[derive(Serialize)]
struct Body<'a> {
    seq: u64,
    whole: bool,
    hosts: Vec<&'a ListedServer>,
}

/// A list whose every change has a version.
#[derive(Debug, Default)]
pub struct VersionedList {
    version: u64,
    servers: BTreeMap<String, ListedServer>,
    /// The last change of each server, by version.
    changes: BTreeMap<u64, ListedServer>,
    changed_at: HashMap<String, u64>,
    /// All changes after this version are known.
    known_after: u64,
    answers: HashMap<Option<u64>, Answer>,
}

impl VersionedList {
    /// A list of this version. Nothing is known of earlier ones.
    pub fn new(version: u64, servers: Vec<ListedServer>) -> Self {
        let present = servers.into_iter().filter(|server| server.health != GONE);
        let servers = present.map(|server| (server.host.clone(), server)).collect();
        Self { version, known_after: version, servers, ..Self::default() }
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in a server's new entry, whose version must be above the last one's.
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
            self.forget_oldest();
        }
    }

    /// What somebody is told who holds the list of that version; the whole list where nothing is held.
    pub fn answer(&mut self, after: Option<u64>) -> Answer {
        if let Some(answer) = self.answers.get(&after) {
            return answer.clone();
        }
        let answer = self.worded(after);
        if self.answers.len() >= ANSWERS_KEPT {
            self.answers.clear();
        }
        self.answers.insert(after, answer.clone());
        answer
    }

    fn forget_oldest(&mut self) {
        if let Some((version, server)) = self.changes.pop_first() {
            self.known_after = version;
            self.changed_at.remove(&server.host);
        }
    }

    fn worded(&self, after: Option<u64>) -> Answer {
        let known = after.filter(|after| *after >= self.known_after);
        let hosts: Vec<_> = match known {
            Some(after) => {
                self.changes.range((Excluded(after), Unbounded)).map(|(_, server)| server).collect()
            }
            None => self.servers.values().collect(),
        };
        let (entries, whole) = (hosts.len(), known.is_none());
        let body = Body { seq: self.version, whole, hosts };
        // Only maps with keys that are no text can fail, and there are none.
        let body = serde_json::to_vec(&body).unwrap_or_default();
        Answer { body: body.into(), entries, whole }
    }
}
