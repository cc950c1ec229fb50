//! The messages between the processes of a scale run: one JSON value per line, commands on standard input and events on
//! standard output. Times are microseconds of Unix time; all processes share one machine's clock.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The capacity of a replica of discovery, as the script states it and as nodes may be configured with it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaCapacity {
    /// Lines per second: one for each entry that is sent, and those that a call costs.
    pub lines_per_second: f64,
    /// Lines that a call costs that opens a watch or wants the whole list.
    pub call_lines: f64,
    /// Lines that a call costs that continues a watch: it comes within 200 ms of the last answer.
    pub continued_call_lines: f64,
    /// A call whose answer would begin later than this is rejected with status 503.
    pub queue_limit_ms: u64,
}

/// A cache server as discovery's protocol lists it: id, address, zone, kind, cell, state, weight and start time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedServer {
    /// Its name.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Its zone.
    pub site: String,
    /// Its kind of machine.
    pub class: String,
    /// Its cell.
    pub block: u64,
    /// `ready`, `draining` or `gone`.
    pub health: String,
    /// Its weight.
    pub share: f64,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub born_ms: u64,
}

/// How a replica answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Answering {
    /// It answers.
    Up,
    /// It resets its connections and refuses new ones.
    Away,
    /// It accepts connections and does not answer.
    Silent,
}

/// A command for a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum ReplicaCommand {
    /// Start with this list. This is the first command.
    Start {
        /// Where to listen; the system chooses the port if it is 0.
        listen: SocketAddr,
        /// The capacity.
        capacity: ReplicaCapacity,
        /// The version of the list.
        version: u64,
        /// The list.
        servers: Vec<ListedServer>,
    },
    /// The entry of a server changes.
    Change {
        /// The version of the list from now on.
        version: u64,
        /// The new entry.
        server: ListedServer,
    },
    /// Answer in this way from now on.
    Answer {
        /// How.
        answering: Answering,
    },
    /// Replace the list: a fault.
    Reset {
        /// The version of the list from now on.
        version: u64,
        /// The list from now on.
        servers: Vec<ListedServer>,
    },
    /// Send a [`ReplicaEvent::Report`].
    Report,
    /// End.
    Stop,
}

/// An event of a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum ReplicaEvent {
    /// The replica listens.
    Listening {
        /// Its address.
        address: SocketAddr,
    },
    /// What it has done since its start.
    Report(ReplicaReport),
}

/// What a replica has done since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Calls of all kinds.
    pub calls: u64,
    /// Calls that were rejected.
    pub refused: u64,
    /// Snapshots sent.
    pub whole_lists: u64,
    /// Lines charged: entries sent, and those of calls.
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
    /// Start the nodes. This is the first command.
    Start {
        /// The number of the first node here; its name is `h` and that number.
        first: u32,
        /// The number of nodes in this process.
        count: u32,
        /// The number of nodes of the whole fleet.
        fleet: u32,
        /// The replicas of discovery; one address is discovery without replicas.
        replicas: Vec<SocketAddr>,
        /// The capacity of a replica, if nodes are configured with it.
        capacity: Option<ReplicaCapacity>,
        /// The version of the list that nodes start with; `None` if they start without a list.
        version: Option<u64>,
        /// That list.
        servers: Vec<ListedServer>,
        /// The seed of random values.
        seed: u64,
        /// Zones of the nodes, dealt in turn by their numbers.
        zones: Vec<String>,
    },
    /// Kill these nodes: their connections are closed, and their state is lost.
    Kill {
        /// Their numbers.
        nodes: Vec<u32>,
    },
    /// Start these nodes again, without a list.
    Launch {
        /// Their numbers.
        nodes: Vec<u32>,
    },
    /// Use other replicas from now on, as after SIGHUP.
    Replicas {
        /// The addresses of the replicas.
        replicas: Vec<SocketAddr>,
    },
    /// Send a [`HollowEvent::Report`] of what has not been reported yet.
    Report,
    /// End.
    Stop,
}

/// An event of a process of hollow nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HollowEvent {
    /// All nodes of this process have started.
    Started,
    /// What the nodes have done since the last report.
    Report(HollowReport),
}

/// What the hollow nodes of one process have done since the last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HollowReport {
    /// Lists that nodes have applied.
    pub applied: Vec<Applied>,
    /// Calls that failed.
    pub failed_calls: u64,
}

/// A node has applied a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The node's number.
    pub node: u32,
    /// The version of the list.
    pub version: u64,
    /// When its decisions had it.
    pub at_us: u64,
    /// Whether it was a snapshot.
    pub whole: bool,
}
