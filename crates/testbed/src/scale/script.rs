//! The script of a scale run: the numbers of nodes, servers and replicas, the capacity of each replica, and
//! the events.

use super::messages::ReplicaCapacity;
use checked_toml::{time_text, Document, Fault, Table};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The version of the format that this program reads.
pub const VERSION: u64 = 1;
/// Allowed numbers of hollow nodes.
pub const NODES: RangeInclusive<u64> = 1..=20_000;
/// Allowed numbers of servers on the list at the start.
pub const SERVERS: RangeInclusive<u64> = 1..=4_000;
/// Allowed numbers of replicas of discovery, the same as in a node's configuration.
pub const REPLICAS: RangeInclusive<u64> = 1..=64;
/// Allowed numbers of processes of hollow nodes.
pub const HOLLOW_PROCESSES: RangeInclusive<u64> = 1..=200;
/// Allowed numbers of real nodes.
pub const REAL_NODES: RangeInclusive<u64> = 0..=20;

const ZONES: RangeInclusive<u64> = 1..=64;
const PER_DAY: RangeInclusive<f64> = 1.0..=10_000_000.0;
const LENGTH: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(3_600);
const STEP: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_secs(600);

/// The script of a scale run. `read_script` maps the keys of the file to the fields.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleScript {
    /// The name shown in lists and titles.
    pub name: String,
    /// A description of the purpose of the run.
    pub about: String,
    /// The seed of the random values.
    pub seed: u64,
    /// The time from the start of all nodes to the beginning of the measurement.
    pub settle: Duration,
    /// The duration of the measurement. Nodes are at rest until the first event.
    pub length: Duration,
    /// The time after `length` in which nodes with an outdated list may catch up.
    pub catch_up: Duration,
    /// The time within which every node is expected to apply a change.
    pub within: Option<Duration>,
    /// The number of hollow nodes.
    pub nodes: u32,
    /// The number of servers on the list at the start.
    pub servers: u32,
    /// The number of processes that the hollow nodes are split over evenly.
    pub hollow_processes: u32,
    /// The number of zones. Nodes and servers are assigned to them round-robin.
    pub zones: u32,
    /// The number of regions. Zones are assigned to them round-robin; the name of a zone begins with that of
    /// its region.
    pub regions: u32,
    /// The number of replicas of discovery.
    pub replicas: u32,
    /// Whether nodes are configured with all replicas and their capacity, or only with the address of the
    /// first replica.
    pub mechanism: bool,
    /// The capacity of a replica.
    pub capacity: ReplicaCapacity,
    /// The real nodes and their load.
    pub real: RealLoad,
    /// The events.
    pub events: Vec<Event>,
}

/// Real nodes and their load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RealLoad {
    /// The number of real nodes, each a process of the daemon.
    pub nodes: u32,
    /// Requests per second to all real nodes together.
    pub rate: f64,
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// The time from the beginning of the measurement to the beginning of the event.
    pub at: Duration,
    /// The duration of the event; `None` if it lasts until the end of the run.
    pub duration: Option<Duration>,
    /// The kind of event and its parameters.
    pub kind: EventKind,
}

/// A kind of event.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// Servers are replaced: one drains, is removed one `step` later, and its successor is ready after
    /// another `step`.
    Changes {
        /// Changes of the list per day. Each replacement causes three.
        per_day: f64,
        /// The time from draining to removal, and from removal to the start of the successor.
        step: Duration,
    },
    /// Nodes and servers restart, chosen at random in proportion to their numbers. A restarted node has no
    /// list.
    Restarts {
        /// Restarts per day.
        per_day: f64,
        /// The downtime of each restart.
        downtime: Duration,
        /// Whether only nodes restart.
        nodes_only: bool,
    },
    /// The nodes of a zone are killed and its servers removed; at the end of the event all of them return.
    Zone {
        /// The index of the zone; `None` for a random zone.
        zone: Option<u32>,
    },
    /// A replica resets its connections and refuses new ones.
    ReplicaLost {
        /// The index of the replica; `None` for a random one among those that nodes know.
        replica: Option<u32>,
    },
    /// A replica accepts connections and does not answer.
    ReplicaSilent {
        /// The index of the replica; `None` for a random one among those that nodes know.
        replica: Option<u32>,
    },
    /// A replica receives each change later than the others.
    ReplicaLagging {
        /// The index of the replica; `None` for a random one among those that nodes know.
        replica: Option<u32>,
        /// The lag.
        lag: Duration,
    },
    /// A replica loses its entries or its version until the end of the event.
    ReplicaReset {
        /// The index of the replica; `None` for a random one among those that nodes know.
        replica: Option<u32>,
        /// Whether the replica loses its version, which restarts at 1, instead of its entries.
        versions: bool,
    },
    /// All replicas reset their connections and refuse new ones.
    DiscoveryAway,
    /// Nodes are reconfigured to use only the first replicas. The end of the event does not undo this.
    ReplicaSet {
        /// The number of replicas.
        replicas: u32,
    },
}

impl ScaleScript {
    /// Parses the text of a script. `file` is the file name shown in faults.
    ///
    /// # Errors
    /// Returns all faults of the text, in the order of their lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        Document::read(file, text, read_script)
    }

    /// Returns the number of replicas that nodes know at the start.
    pub fn known_replicas(&self) -> u32 {
        if self.mechanism {
            self.replicas
        } else {
            1
        }
    }

    /// Returns the number of replicas that run: the maximum number that nodes know at any time.
    pub fn running_replicas(&self) -> u32 {
        if !self.mechanism {
            return 1;
        }
        let configured = self.events.iter().filter_map(|event| match event.kind {
            EventKind::ReplicaSet { replicas } => Some(replicas),
            _ => None,
        });
        configured.fold(self.replicas, u32::max)
    }

    /// Returns the name of a zone, which begins with the name of its region.
    pub fn zone_name(&self, zone: u32) -> String {
        format!("r{:02}-z{zone:02}", zone % self.regions)
    }

    /// Returns the time of the first event, or the end of the measurement if there are no events.
    pub fn first_event(&self) -> Duration {
        self.events.iter().map(|event| event.at).min().unwrap_or(self.length)
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 64
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b))
}

fn required_count(table: &Table, name: &'static str, range: RangeInclusive<u64>) -> u32 {
    table.need(name, table.count(name, range)) as u32
}

fn read_script(top: &Table) -> ScaleScript {
    top.need("version", top.count("version", VERSION..=VERSION));
    let length = top.need("length", top.time("length", LENGTH));
    let zones = top.count("zones", ZONES).unwrap_or(34) as u32;
    let replicas = required_count(top, "replicas", REPLICAS);
    let regions = top.count("regions", ZONES).unwrap_or(14.min(u64::from(zones))) as u32;
    if regions > zones {
        top.fault("regions", format!("expected no more regions than the {zones} zones, found {regions}"));
    }
    ScaleScript {
        name: top.need("name", top.text("name", "a name of up to 64 letters, digits, '-' and '_'", is_name)),
        about: top.text("about", "text", |_| true).unwrap_or_default(),
        seed: top.count("seed", 0..=u64::MAX).unwrap_or(1),
        settle: top.time("settle", Duration::ZERO..=*LENGTH.end()).unwrap_or(Duration::from_secs(5)),
        length,
        catch_up: top.time("catch_up", Duration::ZERO..=*STEP.end()).unwrap_or(Duration::from_secs(20)),
        within: top.time("within", STEP),
        nodes: required_count(top, "nodes", NODES),
        servers: required_count(top, "servers", SERVERS),
        hollow_processes: top.count("hollow_processes", HOLLOW_PROCESSES).unwrap_or(8) as u32,
        zones,
        regions,
        replicas,
        mechanism: top.flag("mechanism").unwrap_or(true),
        capacity: top
            .need("capacity", top.table("capacity", |table| Some(read_capacity(table))))
            .unwrap_or(NO_CAPACITY),
        real: top.table("real", read_real_load).unwrap_or(RealLoad { nodes: 0, rate: 50.0 }),
        events: read_events(top, length, zones, replicas),
    }
}

/// Placeholder for a script without a capacity, which is reported as a fault.
const NO_CAPACITY: ReplicaCapacity =
    ReplicaCapacity { lines_per_second: 0.0, call_lines: 0.0, continued_call_lines: 0.0, queue_limit_ms: 0 };

fn read_capacity(table: &Table) -> ReplicaCapacity {
    let lines = |name| table.need(name, table.number(name, 0.0..=1e6));
    let queue_limit = table.time("queue_limit", STEP);
    ReplicaCapacity {
        lines_per_second: table.need("lines_per_second", table.number("lines_per_second", 1.0..=1e9)),
        call_lines: lines("call_lines"),
        continued_call_lines: lines("continued_call_lines"),
        queue_limit_ms: table.need("queue_limit", queue_limit).as_millis() as u64,
    }
}

fn read_real_load(table: &Table) -> RealLoad {
    RealLoad {
        nodes: required_count(table, "nodes", REAL_NODES),
        rate: table.need("rate", table.number("rate", 0.0..=10_000.0)),
    }
}

const KINDS: [&str; 9] = [
    "changes",
    "restarts",
    "zone",
    "replica-lost",
    "replica-silent",
    "replica-lagging",
    "replica-reset",
    "discovery-away",
    "replica-set",
];

fn read_events(top: &Table, length: Duration, zones: u32, replicas: u32) -> Vec<Event> {
    let read = top.tables("event", |table| {
        let at = table.need("at", table.time("at", Duration::ZERO..=length));
        let duration = table.time("over", Duration::ZERO..=length);
        let kind = table.one_of("kind", &KINDS);
        table.need("kind", kind.map(|_| ()));
        let kind = KINDS[kind?];
        if !duration_is_optional(kind) {
            table.need("over", duration);
        }
        let end = at + duration.unwrap_or_default();
        if end > length {
            let found = time_text(end);
            let length = time_text(length);
            table
                .fault("over", format!("expected an end within the length, \"{length}\", found \"{found}\""));
        }
        Some(Event { at, duration, kind: read_event_kind(table, kind, zones, replicas) })
    });
    read.into_iter().flatten().collect()
}

/// Returns whether an event of this kind may omit its duration: faults of replicas may last until the end of
/// the run, and a set of replicas is never undone.
fn duration_is_optional(kind: &str) -> bool {
    kind.starts_with("replica-") || kind == "discovery-away"
}

fn read_event_kind(table: &Table, kind: &str, zones: u32, replicas: u32) -> EventKind {
    let per_day = || table.need("per_day", table.number("per_day", PER_DAY));
    let below = |name, count: u32| {
        let number = table.count(name, 0..=u64::from(count.saturating_sub(1)));
        number.map(|number| number as u32)
    };
    let replica = || below("replica", replicas);
    match kind {
        "changes" => EventKind::Changes {
            per_day: per_day(),
            step: table.time("step", STEP).unwrap_or(Duration::from_secs(2)),
        },
        "restarts" => EventKind::Restarts {
            per_day: per_day(),
            downtime: table.time("down", STEP).unwrap_or(Duration::from_secs(2)),
            nodes_only: table.flag("nodes_only").unwrap_or(false),
        },
        "zone" => EventKind::Zone { zone: below("zone", zones) },
        "replica-lost" => EventKind::ReplicaLost { replica: replica() },
        "replica-silent" => EventKind::ReplicaSilent { replica: replica() },
        "replica-lagging" => {
            EventKind::ReplicaLagging { replica: replica(), lag: table.need("lag", table.time("lag", STEP)) }
        }
        "replica-reset" => EventKind::ReplicaReset {
            replica: replica(),
            versions: table.one_of("loses", &["entries", "versions"]) == Some(1),
        },
        "discovery-away" => EventKind::DiscoveryAway,
        _ => EventKind::ReplicaSet { replicas: required_count(table, "replicas", REPLICAS) },
    }
}
