//! The resources that a scale run needs, compared with the limits of the machine before anything starts.

use super::script::ScaleScript;
use std::fs;
use thiserror::Error;

/// The most descriptors of a process, whatever the system allows.
pub const MAX_DESCRIPTORS: u64 = 20_000;
/// The most processes of a run.
pub const MAX_PROCESSES: u64 = 300;

/// Descriptors of any process beside those of nodes: standard streams, runtime, listener, files of the system.
const OWN_DESCRIPTORS: u64 = 64;
/// Connections of a hollow node to discovery: one, and a second one while it changes to another replica.
const CONNECTIONS_PER_NODE: u64 = 2;
/// Pipes between the run and each process that it starts.
const PIPES_PER_PROCESS: u64 = 3;
/// The descriptors of the run beside those of the servers for real nodes: for clients, and a reserve.
const CLIENT_DESCRIPTORS: u64 = 2_000;
/// The most connections of such servers.
const MAX_SERVER_CONNECTIONS: u64 = 12_000;

/// Resident memory of a process without nodes, in bytes.
const PROCESS_BYTES: u64 = 16 << 20;
/// Resident memory of a hollow node without its list, in bytes.
const NODE_BYTES: u64 = 96 << 10;
/// Resident memory of a hollow node for each server on its list, in bytes.
const LISTED_BYTES: u64 = 1_100;
/// Resident memory of a replica for each connection, in bytes.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Resident memory of a real node with its share of the run, in bytes.
const REAL_NODE_BYTES: u64 = 64 << 20;

/// The resources that a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// The descriptors of the process that needs most.
    pub descriptors: u64,
    /// The resident memory of all processes, in bytes.
    pub memory_bytes: u64,
    /// The number of processes, with that of the run.
    pub processes: u64,
}

/// The limits of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The descriptors that a process may hold.
    pub descriptors: u64,
    /// Half of the machine's memory, in bytes.
    pub memory_bytes: u64,
    /// The number of processes.
    pub processes: u64,
}

/// A resource of which there is too little.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{what}: the run needs {needed} {unit}, {allowed} are allowed ({source_of_limit})")]
pub struct Shortage {
    /// The resource.
    pub what: &'static str,
    /// The unit.
    pub unit: &'static str,
    /// The amount that is needed.
    pub needed: u64,
    /// The amount that is allowed.
    pub allowed: u64,
    /// Where the limit comes from.
    pub source_of_limit: &'static str,
}

/// The limits of the machine could not be read.
#[derive(Debug, Error)]
pub enum LimitsError {
    /// `/proc/meminfo` could not be read.
    #[error("/proc/meminfo: {0}")]
    Read(#[from] std::io::Error),
    /// It has no line with the total memory.
    #[error("/proc/meminfo: expected a line such as \"MemTotal: 16384 kB\"")]
    Malformed,
}

impl Requirements {
    /// The requirements of a script.
    ///
    /// Memory is `processes * PROCESS + nodes * (NODE + servers * LISTED) + nodes * CONNECTIONS * CONNECTION + real *
    /// REAL_NODE`. Of the runs that the constants were taken from, that of 5,900 nodes and 1,100 servers had 1,192,574 bytes
    /// for each node at rest, those of 500 and 94 had 139,510, and those of 2,000 and 373 had 425,980.
    pub fn of(script: &ScaleScript) -> Self {
        let (nodes, servers) = (u64::from(script.nodes), u64::from(script.servers));
        let hollow = u64::from(script.hollow_processes.min(script.nodes));
        let (replicas, real) = (u64::from(script.running_replicas()), u64::from(script.real.nodes));
        let processes = 1 + hollow + replicas + real;
        let hollow_descriptors = nodes.div_ceil(hollow) * CONNECTIONS_PER_NODE;
        // All nodes may be connected to one replica while the others are away.
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

    /// Compares the requirements with the limits.
    ///
    /// # Errors
    /// All shortages.
    pub fn fit(&self, limits: &Limits) -> Result<(), Vec<Shortage>> {
        const MIB: u64 = 1 << 20;
        let mut shortages = Vec::new();
        let mut compare = |what, unit, needed, allowed, source_of_limit| {
            if needed > allowed {
                shortages.push(Shortage { what, unit, needed, allowed, source_of_limit });
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
    /// The limits of this process and machine.
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

/// The memory of the machine in bytes, from the text of `/proc/meminfo`.
fn memory_total(meminfo: &str) -> Result<u64, LimitsError> {
    let line =
        meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:")).ok_or(LimitsError::Malformed)?;
    let kib = line.trim().strip_suffix("kB").ok_or(LimitsError::Malformed)?;
    let kib: u64 = kib.trim().parse().map_err(|_| LimitsError::Malformed)?;
    Ok(kib.saturating_mul(1_024))
}
