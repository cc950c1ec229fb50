//! Tracks the processes of a node and of its successors.

use crate::common::Node;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

/// All processes of one node that were discovered so far.
pub struct Processes {
    program: PathBuf,
    /// Time of the first SIGTERM by process id.
    terminated_at: BTreeMap<u32, Option<Instant>>,
}

impl Processes {
    /// Tracks the process of a node that has just been started.
    pub fn of(node: &Node) -> Self {
        let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_cache-balancer")).expect("the program");
        Self { program, terminated_at: BTreeMap::from([(node.child.id(), None)]) }
    }

    /// Adds successors that were started since the last call.
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

    /// Returns the ids of running processes in ascending order.
    pub fn running(&self) -> Vec<u32> {
        self.terminated_at.keys().copied().filter(|id| self.is_running(*id)).collect()
    }

    /// Sends a signal to a process if it runs. `name` is the option of `kill`, such as `-TERM`.
    pub fn signal(&mut self, id: u32, name: &str) {
        if self.is_running(id) {
            // The process may have exited since the check.
            let _ = Command::new("kill")
                .args([name, &id.to_string()])
                .stderr(std::process::Stdio::null())
                .status();
            if name == "-TERM" {
                self.terminated_at.insert(id, self.terminated_at[&id].or(Some(Instant::now())));
            }
        }
    }

    /// Kills processes whose first SIGTERM was at least this long ago. Returns their number.
    pub fn kill_overdue(&mut self, grace: Duration) -> usize {
        let overdue = |at: &Option<Instant>| at.is_some_and(|at| at.elapsed() >= grace);
        let ids = self.terminated_at.iter().filter(|(id, at)| overdue(at) && self.is_running(**id));
        let ids: Vec<u32> = ids.map(|(id, _)| *id).collect();
        ids.iter().for_each(|id| self.signal(*id, "-KILL"));
        ids.len()
    }

    /// Returns whether the process runs. Checks the executable, since process ids are reused.
    fn is_running(&self, id: u32) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        let program = std::fs::read_link(format!("/proc/{id}/exe"));
        !stat.contains(") Z ") && program.is_ok_and(|program| program == self.program)
    }
}
