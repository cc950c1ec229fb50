//! The processes of a node and of the successors that it starts, by their ids.

use crate::common::Node;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

/// All processes of one node that were ever seen.
pub struct Processes {
    program: PathBuf,
    /// When each was first told to stop.
    terminated_at: BTreeMap<u32, Option<Instant>>,
}

impl Processes {
    /// The process of a node that has just been started.
    pub fn of(node: &Node) -> Self {
        let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_cache-balancer")).expect("the program");
        Self { program, terminated_at: BTreeMap::from([(node.child.id(), None)]) }
    }

    /// Adds the successors that were started since.
    pub fn discover(&mut self) {
        let known: Vec<u32> = self.terminated_at.keys().copied().collect();
        for id in known {
            let children =
                std::fs::read_to_string(format!("/proc/{id}/task/{id}/children")).unwrap_or_default();
            for child in children.split_whitespace().filter_map(|child| child.parse().ok()) {
                self.terminated_at.entry(child).or_insert(None);
            }
        }
    }

    /// Those that run, the oldest first.
    pub fn running(&self) -> Vec<u32> {
        self.terminated_at.keys().copied().filter(|id| self.is_running(*id)).collect()
    }

    /// Sends a signal, given as the option of `kill`, to one that runs.
    pub fn signal(&mut self, id: u32, name: &str) {
        if self.is_running(id) {
            // It may end in this moment.
            let _ = Command::new("kill")
                .args([name, &id.to_string()])
                .stderr(std::process::Stdio::null())
                .status();
            if name == "-TERM" {
                self.terminated_at.insert(id, self.terminated_at[&id].or(Some(Instant::now())));
            }
        }
    }

    /// Kills those that were told to stop this long ago. Returns how many.
    pub fn kill_overdue(&mut self, grace: Duration) -> usize {
        let overdue = |at: &Option<Instant>| at.is_some_and(|at| at.elapsed() >= grace);
        let ids = self.terminated_at.iter().filter(|(id, at)| overdue(at) && self.is_running(**id));
        let ids: Vec<u32> = ids.map(|(id, _)| *id).collect();
        ids.iter().for_each(|id| self.signal(*id, "-KILL"));
        ids.len()
    }

    /// Whether this id is still a process of the program: ids come again.
    fn is_running(&self, id: u32) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let program = std::fs::read_link(format!("/proc/{id}/exe"));
        !stat.contains(") Z ") && program.is_ok_and(|program| program == self.program)
    }
}
