//! What the processes of a scale run say to each other: one JSON value a line, commands on standard input, events on
//! standard output. Times are microseconds of Unix time; all processes share one machine's clock.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What one replica of discovery can do, as the script states it and as nodes may be told it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReplicaCapacity {
    /// Lines a second: one for each entry that is sent, and those that a call costs.
    pub lines_per_second: f64,
    /// Lines that a call costs which opens a watch or asks for the whole list.
    pub call_lines: f64,
    /// Lines that a call costs which continues a watch: it comes within 200 ms of the last answer.
    pub continued_call_lines: f64,
    /// A call whose answer would begin later than this is refused with 503.
    pub queue_limit_ms: u64,
}

/// One cache server in the list, in the words of discovery's protocol.
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
    /// As it should.
    Up,
    /// Connections are reset, and new ones refused.
    Away,
    /// Connections are accepted, and nothing is said on them.
    Silent,
}

/// What a run tells a replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum ReplicaCommand {
    /// The first line: begin with this list.
    Start {
        /// Where to listen; the system picks the port where it is 0.
        listen: SocketAddr,
        /// What it can do.
        capacity: ReplicaCapacity,
        /// The version of the list.
        version: u64,
        /// The list.
        servers: Vec<ListedServer>,
    },
    /// A server's entry is new; the version is its own.
    Change {
        /// The list's version from here on.
        version: u64,
        /// The entry.
        server: ListedServer,
    },
    /// Answers like this from here on.
    Answer {
        /// How.
        answering: Answering,
    },
    /// Loses all entries, or its count of versions: for faults.
    Reset {
        /// The list's version from here on.
        version: u64,
        /// The list from here on.
        servers: Vec<ListedServer>,
    },
    /// A [`ReplicaEvent::Report`] is wanted.
    Report,
    /// Ends.
    Stop,
}

/// What a replica tells the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum ReplicaEvent {
    /// It listens.
    Listening {
        /// Where.
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
    /// Calls that were refused.
    pub refused: u64,
    /// Whole lists sent.
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

/// What a run tells a process of hollow nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum HollowCommand {
    /// The first line: begin.
    Start {
        /// The number of the first node here; its name is `h` and that number.
        first: u32,
        /// How many are here.
        count: u32,
        /// How many the whole fleet has.
        fleet: u32,
        /// The replicas of discovery; one address is discovery without replicas.
        replicas: Vec<SocketAddr>,
        /// What a replica can do, if nodes are told it.
        capacity: Option<ReplicaCapacity>,
        /// The version of the list that nodes start from; none where they start without a list.
        version: Option<u64>,
        /// That list.
        servers: Vec<ListedServer>,
        /// For random numbers.
        seed: u64,
        /// Zones of the nodes, dealt in turn by their numbers.
        zones: Vec<String>,
    },
    /// These nodes are killed: their connections close, and all that they know is lost.
    Kill {
        /// Their numbers.
        nodes: Vec<u32>,
    },
    /// These nodes start anew, without a list.
    Launch {
        /// Their numbers.
        nodes: Vec<u32>,
    },
    /// The replicas are others from here on, as after SIGHUP.
    Replicas {
        /// They.
        replicas: Vec<SocketAddr>,
    },
    /// A [`HollowEvent::Report`] is wanted; what was reported is not reported again.
    Report,
    /// Ends.
    Stop,
}

/// What a process of hollow nodes tells the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HollowEvent {
    /// All nodes of this process have begun.
    Started,
    /// What they have done since the last report.
    Report(HollowReport),
}

/// What the hollow nodes of one process have done since the last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HollowReport {
    /// Lists that nodes took and acted on.
    pub applied: Vec<Applied>,
    /// Calls that failed.
    pub failed_calls: u64,
}

/// A node acted on a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Applied {
    /// The node's number.
    pub node: u32,
    /// The version that it holds from then on.
    pub version: u64,
    /// When its decisions had it.
    pub at_us: u64,
    /// The whole list came.
    pub whole: bool,
}
