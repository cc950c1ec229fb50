//! The messages between the processes of a scale run: one JSON value per line, commands on standard input and
//! events on standard output. Times are microseconds of Unix time; all processes run on one machine and share
//! its clock.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The capacity of a replica of discovery. The script states it, and nodes may be configured with it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaCapacity {
    /// Lines per second. Each entry sent counts as one line. The next two fields are the costs of calls.
    pub lines_per_second: f64,
    /// Cost in lines of a call that opens a watch or requests the whole list.
    pub call_lines: f64,
    /// Cost in lines of a call that continues a watch, which is one within 200 ms of the last answer.
    pub continued_call_lines: f64,
    /// Maximum wait in the queue, in milliseconds; a call that would wait longer is rejected with status 503.
    pub queue_limit_ms: u64,
}

/// An entry for a cache server as discovery's protocol lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    /// The id of the server.
    pub host: String,
    /// The address at which the server listens.
    pub dial: SocketAddr,
    /// The zone of the server.
    pub site: String,
    /// The kind of machine.
    pub class: String,
    /// The cell of the server.
    pub block: u64,
    /// The state of the server: `ready`, `draining` or `gone`.
    pub health: String,
    /// The weight of the server.
    pub share: f64,
    /// The time of the last start, in milliseconds of Unix time; 0 if it was long ago.
    pub born_ms: u64,
}

/// How a replica answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answering {
    /// The replica answers calls.
    Up,
    /// The replica resets its connections and refuses new ones.
    Away,
    /// The replica accepts connections and does not answer.
    Silent,
}

/// A command for a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum ReplicaCommand {
    /// Starts the replica with this list. This is the first command.
    Start {
        /// The address to listen at; the system chooses the port if it is 0.
        listen: SocketAddr,
        /// The capacity of the replica.
        capacity: ReplicaCapacity,
        /// The version of the list.
        version: u64,
        /// The list.
        servers: Vec<ListedServer>,
    },
    /// Changes the entry of a server.
    Change {
        /// The version of the list from now on.
        version: u64,
        /// The new entry.
        server: ListedServer,
    },
    /// Changes how the replica answers.
    Answer {
        /// How the replica answers from now on.
        answering: Answering,
    },
    /// Replaces the list, as a fault of the replica.
    Reset {
        /// The version of the list from now on.
        version: u64,
        /// The list from now on.
        servers: Vec<ListedServer>,
    },
    /// Requests a [`ReplicaEvent::Report`].
    Report,
    /// Ends the process.
    Stop,
}

/// An event of a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum ReplicaEvent {
    /// The replica listens.
    Listening {
        /// The address of the replica.
        address: SocketAddr,
    },
    /// The counts since the start of the replica.
    Report(ReplicaReport),
}

/// Counts of a replica since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Calls received, of all kinds.
    pub calls: u64,
    /// Calls that were rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Snapshots sent.
    #[serde(rename = "whole_lists")]
    pub snapshots: u64,
    /// Lines charged for entries sent and for calls.
    pub lines: f64,
    /// Bytes read from nodes.
    pub bytes_in: u64,
    /// Bytes written to nodes.
    pub bytes_out: u64,
    /// The longest time that a call waited for its turn, in milliseconds.
    pub longest_queue_ms: u64,
}

/// A command for a process of hollow nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum HollowCommand {
    /// Starts the nodes. This is the first command.
    Start {
        /// The number of the first node in this process; a node's name is `h` followed by its number.
        first: u32,
        /// The number of nodes in this process.
        count: u32,
        /// The number of nodes of the whole fleet.
        fleet: u32,
        /// The addresses of the replicas of discovery; a single address stands for a discovery without
        /// replicas.
        replicas: Vec<SocketAddr>,
        /// The capacity of a replica, if nodes are configured with it.
        capacity: Option<ReplicaCapacity>,
        /// The version of the list that the nodes start with; `None` if they start without a list.
        version: Option<u64>,
        /// The list that the nodes start with.
        servers: Vec<ListedServer>,
        /// The seed of random values.
        seed: u64,
        /// The zones of the nodes, which are assigned to them round-robin by node number.
        zones: Vec<String>,
    },
    /// Kills nodes: their connections are closed, and their state is lost.
    Kill {
        /// The numbers of the nodes.
        nodes: Vec<u32>,
    },
    /// Restarts killed nodes without a list.
    Launch {
        /// The numbers of the nodes.
        nodes: Vec<u32>,
    },
    /// Replaces the replicas that the nodes use, as a reload by SIGHUP does.
    Replicas {
        /// The addresses of the replicas.
        replicas: Vec<SocketAddr>,
    },
    /// Requests a [`HollowEvent::Report`] of everything since the previous report.
    Report,
    /// Ends the process.
    Stop,
}

/// An event of a process of hollow nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HollowEvent {
    /// All nodes of this process have started.
    Started,
    /// The activity of the nodes since the last report.
    Report(HollowReport),
}

/// The activity of the hollow nodes of one process since the last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HollowReport {
    /// Lists that nodes have applied.
    pub applied: Vec<Applied>,
    /// Calls that failed.
    pub failed_calls: u64,
}

/// Records that a node applied a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The number of the node.
    pub node: u32,
    /// The version of the list.
    pub version: u64,
    /// When the list took effect in the node's decision logic, in microseconds of Unix time.
    pub at_us: u64,
    /// Whether the list was a snapshot.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
}
