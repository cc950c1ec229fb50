//! What a scale run needs of its machine, compared with what there is before anything starts.

use super::script::ScaleScript;
use std::fs;
use thiserror::Error;

/// A process may not hold more descriptors than this, whatever the system allows.
pub const MOST_DESCRIPTORS: u64 = 20_000;
/// All processes of a run together.
pub const MOST_PROCESSES: u64 = 300;

/// Descriptors of any process apart from those of nodes: standard streams, the runtime's, its listener, files of the system.
const OWN_DESCRIPTORS: u64 = 64;
/// Connections of a hollow node to discovery: one, and a second while it moves on to another replica.
const CONNECTIONS_A_NODE: u64 = 2;
/// Pipes between the run and each process that it starts.
const PIPES_A_PROCESS: u64 = 3;
/// The run's own descriptors beside servers for real nodes: for clients, and to spare.
const BESIDE_SERVERS: u64 = 2_000;
/// Connections that such servers take at the most.
const MOST_SERVER_CONNECTIONS: u64 = 12_000;

/// Resident memory of any process of the run before it holds a node.
const PROCESS_BYTES: u64 = 16 << 20;
/// Of a hollow node, its list apart.
const NODE_BYTES: u64 = 96 << 10;
/// Of a hollow node for each server on its list.
const LISTED_BYTES: u64 = 1_100;
/// Of a replica for each connection.
const CONNECTION_BYTES: u64 = 64 << 10;
/// Of a real node and what stands round it.
const REAL_NODE_BYTES: u64 = 64 << 20;

/// What a run needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirements {
    /// Descriptors of the process that needs most.
    pub descriptors: u64,
    /// Resident memory of all processes, in bytes.
    pub memory_bytes: u64,
    /// Processes, the run's own included.
    pub processes: u64,
}

/// What there is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Descriptors that a process may hold.
    pub descriptors: u64,
    /// Half of the machine's memory, in bytes.
    pub memory_bytes: u64,
    /// Processes.
    pub processes: u64,
}

/// Something that does not fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{what}: the run needs {needed} {unit}, {allowed} are allowed ({source_of_limit})")]
pub struct Shortage {
    /// Of what there is too little.
    pub what: &'static str,
    /// In what it is counted.
    pub unit: &'static str,
    /// How much is needed.
    pub needed: u64,
    /// How much is allowed.
    pub allowed: u64,
    /// Where the limit comes from.
    pub source_of_limit: &'static str,
}

/// The machine's limits could not be read.
#[derive(Debug, Error)]
pub enum LimitsError {
    /// The file with the machine's memory.
    #[error("/proc/meminfo: {0}")]
    Read(#[from] std::io::Error),
    /// It says nothing of use.
    #[error("/proc/meminfo: expected a line such as \"MemTotal: 16384 kB\"")]
    Malformed,
}

impl Requirements {
    /// Of a script.
    ///
    /// Memory is `processes * PROCESS + nodes * (NODE + servers * LISTED) + nodes * CONNECTIONS * CONNECTION + real *
    /// REAL_NODE`. Of the runs that the constants were taken from, that of 5,900 nodes and 1,100 servers had 1,192,574 bytes
    /// for each node at rest, those of 500 and 94 had 139,510, and those of 2,000 and 373 had 425,980.
    pub fn of(script: &ScaleScript) -> Self {
        let (nodes, servers) = (u64::from(script.nodes), u64::from(script.servers));
        let hollow = u64::from(script.hollow_processes.min(script.nodes));
        let (replicas, real) = (u64::from(script.running_replicas()), u64::from(script.real.nodes));
        let processes = 1 + hollow + replicas + real;
        let hollow_descriptors = nodes.div_ceil(hollow) * CONNECTIONS_A_NODE;
        // All nodes may end at one replica, when the others are away.
        let replica_descriptors = nodes + real;
        let connections = (real * servers).min(MOST_SERVER_CONNECTIONS);
        let for_real = if real > 0 { BESIDE_SERVERS + servers + connections } else { 0 };
        let run_descriptors = processes * PIPES_A_PROCESS + for_real;
        let descriptors = hollow_descriptors.max(replica_descriptors).max(run_descriptors) + OWN_DESCRIPTORS;
        let memory_bytes = processes * PROCESS_BYTES
            + nodes * (NODE_BYTES + servers * LISTED_BYTES)
            + nodes * CONNECTIONS_A_NODE * CONNECTION_BYTES
            + real * REAL_NODE_BYTES;
        Self { descriptors, memory_bytes, processes }
    }

    /// Compares them with the limits.
    ///
    /// # Errors
    /// All that does not fit.
    pub fn fit(&self, limits: &Limits) -> Result<(), Vec<Shortage>> {
        const MIB: u64 = 1 << 20;
        let mut faults = Vec::new();
        let mut compare = |what, unit, needed, allowed, source_of_limit| {
            if needed > allowed {
                faults.push(Shortage { what, unit, needed, allowed, source_of_limit });
            }
        };
        let (needed, allowed) = (self.descriptors, limits.descriptors);
        compare("descriptors", "in one process", needed, allowed, "20,000, or the process's own limit");
        let (needed, allowed) = (self.memory_bytes.div_ceil(MIB), limits.memory_bytes / MIB);
        compare("memory", "MiB", needed, allowed, "half of the machine's");
        compare("processes", "in all", self.processes, limits.processes, "of a run");
        if faults.is_empty() {
            Ok(())
        } else {
            Err(faults)
        }
    }
}

impl Limits {
    /// Those of this process and machine.
    ///
    /// # Errors
    /// When the machine does not tell its memory.
    pub fn of_this_machine() -> Result<Self, LimitsError> {
        let own = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
        Ok(Self {
            descriptors: own.unwrap_or(u64::MAX).min(MOST_DESCRIPTORS),
            memory_bytes: memory_total(&fs::read_to_string("/proc/meminfo")?)? / 2,
            processes: MOST_PROCESSES,
        })
    }
}

/// The machine's memory in bytes, by the text of `/proc/meminfo`.
fn memory_total(meminfo: &str) -> Result<u64, LimitsError> {
    let line =
        meminfo.lines().find_map(|line| line.strip_prefix("MemTotal:")).ok_or(LimitsError::Malformed)?;
    let kib = line.trim().strip_suffix("kB").ok_or(LimitsError::Malformed)?;
    let kib: u64 = kib.trim().parse().map_err(|_| LimitsError::Malformed)?;
    Ok(kib.saturating_mul(1_024))
}
