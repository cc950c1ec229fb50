//! What a pool's driver did in each second, as one line of its log: a word, and JSON behind it. A line a second, of bounded
//! length, costs a busy node nothing that can be measured, and the lines of all nodes together tell what none of them sees
//! (`cache-balancer aggregate`).

use crate::log::log;
use balancer_core::{AttemptStatus, EndpointState, ServerId, Timestamp};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The first word of such a line.
pub const WORD: &str = "tally ";
/// Servers that a line tells of one by one; the others are added up. No fleet that a node was built for has more, and a line of
/// so many is a small part of what `count` reads as one.
const MOST_SERVERS: usize = 1024;
/// The name that these go by: no server has it, since discovery's names are not empty.
pub const OTHERS: &str = "";

/// A line. Counts are of one second, and what was nought is left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The second, of Unix time.
    pub second: u64,
    /// The node's name.
    pub node: String,
    /// The pool's.
    pub pool: String,
    /// Final answers.
    #[serde(default, skip_serializing_if = "is_none")]
    pub served: u32,
    #[serde(default, skip_serializing_if = "is_none")]
    pub refused: u32,
    #[serde(default, skip_serializing_if = "is_none")]
    pub failed: u32,
    /// Attempts of a request after its first.
    #[serde(default, skip_serializing_if = "is_none")]
    pub repeats: u32,
    /// Breakers that tripped.
    #[serde(default, skip_serializing_if = "is_none")]
    pub trips: u32,
    /// Lists that discovery told, and calls to it that failed.
    #[serde(default, skip_serializing_if = "is_none")]
    pub lists: u32,
    #[serde(default, skip_serializing_if = "is_none")]
    pub lists_failed: u32,
    /// Servers whose state was told anew.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub told: BTreeMap<String, Told>,
    /// Attempts that ended, by server.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub servers: BTreeMap<String, Ends>,
}

/// What was told of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Told {
    /// It takes work, and started at this time of Unix, in seconds; 0 for long ago.
    Ready(u64),
    Draining,
    Gone,
}

/// How attempts at a server ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ends {
    #[serde(default, skip_serializing_if = "is_none")]
    pub ok: u32,
    /// No connection came up.
    #[serde(default, skip_serializing_if = "is_none")]
    pub connect: u32,
    /// Time-outs.
    #[serde(default, skip_serializing_if = "is_none")]
    pub timeout: u32,
    /// Turned away unseen.
    #[serde(default, skip_serializing_if = "is_none")]
    pub full: u32,
    /// Errors and resets.
    #[serde(default, skip_serializing_if = "is_none")]
    pub error: u32,
}

impl Ends {
    /// Takes in an end; one that tells nothing of the server is not counted.
    fn count(&mut self, status: AttemptStatus) {
        *match status {
            AttemptStatus::Ok | AttemptStatus::Miss => &mut self.ok,
            AttemptStatus::ConnectError => &mut self.connect,
            AttemptStatus::TimedOut => &mut self.timeout,
            AttemptStatus::QueueFull => &mut self.full,
            AttemptStatus::Failed | AttemptStatus::Reset => &mut self.error,
            AttemptStatus::Canceled | AttemptStatus::NotSent => return,
        } += 1;
    }

    /// All of them.
    pub fn all(&self) -> u64 {
        [self.ok, self.connect, self.timeout, self.full, self.error].map(u64::from).iter().sum()
    }
}

// serde hands it a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_none(count: &u32) -> bool {
    *count == 0
}

/// Adds a second up, and writes its line when the next one has begun. The last one's comes when the driver ends.
pub struct Tally {
    on: Rc<Cell<bool>>,
    line: Line,
}

impl Tally {
    /// Of a pool's driver. `on` is as the configuration has it by now.
    pub fn new(node: &str, pool: &str, on: Rc<Cell<bool>>) -> Self {
        Self { on, line: Line { node: node.to_owned(), pool: pool.to_owned(), ..Line::default() } }
    }

    /// Something is about to be counted at this time: the line in which it goes.
    pub fn at(&mut self, now: Timestamp) -> &mut Line {
        let second = now.as_micros() / 1_000_000;
        if second != self.line.second {
            self.write();
            let Line { node, pool, .. } = std::mem::take(&mut self.line);
            self.line = Line { second, node, pool, ..Line::default() };
        }
        &mut self.line
    }

    fn write(&self) {
        let Line { node, pool, second, .. } = &self.line;
        let empty = Line { node: node.clone(), pool: pool.clone(), second: *second, ..Line::default() };
        if !self.on.get() || self.line == empty {
            return;
        }
        // Only maps with keys that are no text can fail, and there are none.
        if let Ok(json) = serde_json::to_string(&self.line) {
            log!("{WORD}{json}");
        }
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        self.write();
    }
}

impl Line {
    /// An attempt at this server ended.
    pub fn ended(&mut self, server: &ServerId, status: AttemptStatus) {
        let known = self.servers.len() < MOST_SERVERS || self.servers.contains_key(server.as_str());
        let name = if known { server.as_str() } else { OTHERS };
        match self.servers.get_mut(name) {
            Some(ends) => ends.count(status),
            None => self.servers.entry(name.to_owned()).or_default().count(status),
        }
    }

    /// A server's state was told anew. The first so many of a second are kept.
    pub fn told(&mut self, server: &ServerId, state: EndpointState, started: Option<Timestamp>) {
        if self.told.len() < MOST_SERVERS || self.told.contains_key(server.as_str()) {
            let told = match state {
                EndpointState::Ready => Told::Ready(started.map_or(0, |at| at.as_micros() / 1_000_000)),
                EndpointState::Draining => Told::Draining,
                EndpointState::Removed => Told::Gone,
            };
            self.told.insert(server.to_string(), told);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_bounded_whatever_servers_there_are_and_reads_back_as_it_was() {
        let mut tally = Tally::new("n1", "pool", Rc::new(Cell::new(false)));
        let line = tally.at(Timestamp::from_micros(7_500_000));
        for i in 0..3_000 {
            // A fleet of this size is told of one by one.
            if i == 1_024 {
                assert_eq!((line.servers.len(), line.told.len()), (1_024, 1_024));
                assert!(!line.servers.contains_key(OTHERS));
            }
            let server = ServerId::from(format!("s-{i}").as_str());
            line.ended(&server, AttemptStatus::ConnectError);
            line.ended(&server, AttemptStatus::Canceled);
            line.told(&server, EndpointState::Removed, None);
        }
        assert_eq!((line.second, line.servers.len(), line.told.len()), (7, MOST_SERVERS + 1, MOST_SERVERS));
        assert_eq!(line.servers[OTHERS].connect, 3_000 - MOST_SERVERS as u32);
        assert_eq!(line.servers.values().map(Ends::all).sum::<u64>(), 3_000);
        let json = serde_json::to_string(line).expect("text");
        assert_eq!(serde_json::from_str::<Line>(&json).expect("a line"), *line);
    }

    #[test]
    fn a_second_begins_with_nothing_of_the_one_before() {
        let mut tally = Tally::new("n1", "pool", Rc::new(Cell::new(false)));
        tally.at(Timestamp::from_micros(7_999_999)).served += 1;
        assert_eq!(tally.at(Timestamp::from_micros(7_999_999)).served, 1);
        let next = tally.at(Timestamp::from_micros(8_000_000)).clone();
        assert_eq!(next, Line { second: 8, node: "n1".into(), pool: "pool".into(), ..Line::default() });
    }
}
