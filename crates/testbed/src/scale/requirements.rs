//! Compares the resources that a scale run needs with the limits of the machine, before anything starts.

use super::script::ScaleScript;
use std::fs;
use thiserror::Error;

/// Maximum number of file descriptors of a process, even if the system allows more.
pub const MAX_DESCRIPTORS: u64 = 20_000;
/// Maximum number of processes of a run.
pub const MAX_PROCESSES: u64 = 300;

/// Descriptors that every process uses in addition to those of its nodes: standard streams, runtime,
/// listener, system files.
const OWN_DESCRIPTORS: u64 = 64;
/// Connections of a hollow node to discovery: one, and a second one while the node switches to another
/// replica.
const CONNECTIONS_PER_NODE: u64 = 2;
/// Pipes between the run and each process that it starts.
const PIPES_PER_PROCESS: u64 = 3;
/// Descriptors that the run uses for the clients of real nodes, with a reserve. Those for the servers are
/// counted separately.
const CLIENT_DESCRIPTORS: u64 = 2_000;
/// Maximum number of connections between real nodes and the run's servers.
const MAX_SERVER_CONNECTIONS: u64 = 12_000;

/// Resident memory of a process, not counting its nodes, in bytes.
const PROCESS_BYTES: u64 = 16 << 20;
/// Resident memory of a hollow node, not counting its list, in bytes.
const NODE_BYTES: u64 = 96 << 10;
/// Resident memory of a hollow node for each server on its list, in bytes.
const LISTED_BYTES: u64 = 1_100;
/// Resident memory of a replica for each connection, in bytes.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Resident memory of a real node, including its share of the run's memory, in bytes.
const REAL_NODE_BYTES: u64 = 64 << 20;

/// The resources that a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// The number of file descriptors in the process that needs the most.
    pub descriptors: u64,
    /// The resident memory of all processes, in bytes.
    pub memory_bytes: u64,
    /// The number of processes, including the run itself.
    pub processes: u64,
}

/// The limits of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of file descriptors of a process.
    pub descriptors: u64,
    /// Memory that the run may use, in bytes: half of the machine's.
    pub memory_bytes: u64,
    /// Maximum number of processes.
    pub processes: u64,
}

/// A resource of which the run needs more than is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{resource}: the run needs {needed} {unit}, {allowed} are allowed ({source_of_limit})")]
pub struct Shortage {
    /// The name of the resource.
    pub resource: &'static str,
    /// The unit of the amounts.
    pub unit: &'static str,
    /// The needed amount.
    pub needed: u64,
    /// The allowed amount.
    pub allowed: u64,
    /// The origin of the limit.
    pub source_of_limit: &'static str,
}

/// An error while reading the limits of the machine.
#[derive(Debug, Error)]
pub enum LimitsError {
    /// `/proc/meminfo` could not be read.
    #[error("/proc/meminfo: {0}")]
    Read(#[from] std::io::Error),
    /// `/proc/meminfo` has no valid line with the total memory.
    #[error("/proc/meminfo: expected a line such as \"MemTotal: 16384 kB\"")]
    Malformed,
}

impl Requirements {
    /// Estimates the requirements of a script.
    ///
    /// The memory is the sum of `processes * PROCESS`, `nodes * (NODE + servers * LISTED)`, `nodes *
    /// CONNECTIONS * CONNECTION` and `real * REAL_NODE`. The constants come from runs that used, per node at
    /// rest, 1,192,574 bytes with 5,900 nodes and 1,100 servers, 139,510 bytes with 500 nodes and 94 servers,
    /// and 425,980 bytes with 2,000 nodes and 373 servers.
    pub fn of(script: &ScaleScript) -> Self {
        let (nodes, servers) = (u64::from(script.nodes), u64::from(script.servers));
        let hollow = u64::from(script.hollow_processes.min(script.nodes));
        let (replicas, real) = (u64::from(script.running_replicas()), u64::from(script.real.nodes));
        let processes = 1 + hollow + replicas + real;
        let hollow_descriptors = nodes.div_ceil(hollow) * CONNECTIONS_PER_NODE;
        // All nodes may be connected to a single replica while the others are down.
        let replica_descriptors = nodes + real;
        let connections = (real * servers).min(MAX_SERVER_CONNECTIONS);
        let for_real = if real > 0 { CLIENT_DESCRIPTORS + servers + connections } else { 0 };
        let run_descriptors = processes * PIPES_PER_PROCESS + for_real;
        let descriptors = hollow_descriptors.max(replica_descriptors).max(run_descriptors) + OWN_DESCRIPTORS;
        let memory_bytes = processes * PROCESS_BYTES
            + nodes * (NODE_BYTES + servers * LISTED_BYTES)
            + nodes * CONNECTIONS_PER_NODE * CONNECTION_BYTES
            + real * REAL_NODE_BYTES;
        Self { descriptors, memory_bytes, processes }
    }

    /// Checks the requirements against the limits.
    ///
    /// # Errors
    /// Returns all shortages.
    pub fn fit(&self, limits: &Limits) -> Result<(), Vec<Shortage>> {
        const MIB: u64 = 1 << 20;
        let mut shortages = Vec::new();
        let mut compare = |resource, unit, needed, allowed, source_of_limit| {
            if needed > allowed {
                shortages.push(Shortage { resource, unit, needed, allowed, source_of_limit });
            }
        };
        let (needed, allowed) = (self.descriptors, limits.descriptors);
        compare("descriptors", "in one process", needed, allowed, "20,000, or the process's own limit");
        let (needed, allowed) = (self.memory_bytes.div_ceil(MIB), limits.memory_bytes / MIB);
        compare("memory", "MiB", needed, allowed, "half of the machine's");
        compare("processes", "in all", self.processes, limits.processes, "of a run");
        if shortages.is_empty() {
            Ok(())
        } else {
            Err(shortages)
        }
    }
}

impl Limits {
    /// Returns the limits of this process and machine.
    ///
    /// # Errors
    /// If the memory of the machine cannot be read.
    pub fn of_this_machine() -> Result<Self, LimitsError> {
        let own = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        Ok(Self {
            descriptors: own.unwrap_or(u64::MAX).min(MAX_DESCRIPTORS),
            memory_bytes: memory_total(&fs::read_to_string("/proc/meminfo")?)? / 2,
            processes: MAX_PROCESSES,
        })
    }
}

/// Parses the total memory of the machine, in bytes, from the text of `/proc/meminfo`.
fn memory_total(meminfo: &str) -> Result<u64, LimitsError> {
    let line =
        meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:")).ok_or(LimitsError::Malformed)?;
    let kib = line.trim().strip_suffix("kB").ok_or(LimitsError::Malformed)?;
    let kib: u64 = kib.trim().parse().map_err(|_| LimitsError::Malformed)?;
    Ok(kib.saturating_mul(1_024))
}
