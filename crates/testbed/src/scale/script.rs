//! The script of a scale run: the numbers of nodes, servers and replicas, the capacity of a replica, and the events.

use super::messages::ReplicaCapacity;
use checked_toml::{time_text, Document, Fault, Table};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The version of the format that this program reads.
pub const VERSION: u64 = 1;
/// The range of the number of hollow nodes.
pub const NODES: RangeInclusive<u64> = 1..=20_000;
/// The range of the number of servers on the list at the start.
pub const SERVERS: RangeInclusive<u64> = 1..=4_000;
/// The range of the number of replicas of discovery, which is that of a node's configuration.
pub const REPLICAS: RangeInclusive<u64> = 1..=64;
/// The range of the number of processes of hollow nodes.
pub const HOLLOW_PROCESSES: RangeInclusive<u64> = 1..=200;
/// The range of the number of real nodes.
pub const REAL_NODES: RangeInclusive<u64> = 0..=20;

const ZONES: RangeInclusive<u64> = 1..=64;
const PER_DAY: RangeInclusive<f64> = 1.0..=10_000_000.0;
const LENGTH: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(3_600);
const STEP: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_secs(600);

/// A scale run. The fields are those of the file, in the same words.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleScript {
    /// The name, for lists and titles.
    pub name: String,
    /// What the run shows.
    pub about: String,
    /// The seed of all random values.
    pub seed: u64,
    /// The time from the start of all nodes to the beginning of the measurement.
    pub settle: Duration,
    /// The duration of the measurement. Before the first event, nodes are at rest.
    pub length: Duration,
    /// How long nodes that are behind have to catch up after `length`.
    pub catch_up: Duration,
    /// Every node is expected to apply a change within this time.
    pub within: Option<Duration>,
    /// The number of hollow nodes.
    pub nodes: u32,
    /// The number of servers on the list.
    pub servers: u32,
    /// The number of processes, which share the hollow nodes evenly.
    pub hollow_processes: u32,
    /// The number of zones. Nodes and servers are dealt out to them in turn.
    pub zones: u32,
    /// The number of regions. Zones are dealt out to them in turn, and have names that begin with theirs.
    pub regions: u32,
    /// The number of replicas of discovery.
    pub replicas: u32,
    /// Whether nodes know all replicas and their capacity; otherwise they know only the address of the first replica.
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
    /// Requests per second, over all of them.
    pub rate: f64,
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When it begins, from the beginning of the measurement.
    pub at: Duration,
    /// How long it lasts; `None` if nothing ends it.
    pub over: Option<Duration>,
    /// The event.
    pub what: EventKind,
}

/// A kind of event.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// Servers are replaced: one drains, is removed one `step` later, and its successor is ready after another `step`.
    Changes {
        /// Changes of the list per day; each replacement makes three.
        per_day: f64,
        /// See above.
        step: Duration,
    },
    /// Nodes and servers restart, chosen at random in proportion to their numbers. A node comes back without a list.
    Restarts {
        /// Restarts per day.
        per_day: f64,
        /// The downtime of each.
        down: Duration,
        /// Whether only nodes restart.
        nodes_only: bool,
    },
    /// The nodes of a zone are killed and its servers removed; at the end all are back.
    Zone {
        /// Its number from 0; `None` for a random one.
        zone: Option<u32>,
    },
    /// A replica resets its connections and refuses new ones.
    ReplicaLost {
        /// Its number from 0; `None` for a random one of those that nodes know.
        replica: Option<u32>,
    },
    /// A replica accepts connections and does not answer.
    ReplicaSilent {
        /// As above.
        replica: Option<u32>,
    },
    /// A replica learns of each change later than the others.
    ReplicaLagging {
        /// As above.
        replica: Option<u32>,
        /// The lag.
        lag: Duration,
    },
    /// A replica loses its entries or its version until the end.
    ReplicaReset {
        /// As above.
        replica: Option<u32>,
        /// Whether it loses its version, which starts again from 1, instead of its entries.
        versions: bool,
    },
    /// All replicas are lost.
    DiscoveryAway,
    /// Nodes are configured to use only the first replicas. Nothing changes at the end.
    ReplicaSet {
        /// The number of replicas.
        replicas: u32,
    },
}

impl ScaleScript {
    /// Reads a script's text. `file` is the name that faults give it.
    ///
    /// # Errors
    /// All faults of the text, in the order of their lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        Document::read(file, text, script)
    }

    /// The number of replicas that nodes know at the start.
    pub fn known_replicas(&self) -> u32 {
        if self.mechanism {
            self.replicas
        } else {
            1
        }
    }

    /// The number of replicas that run: the most that nodes know at any time.
    pub fn running_replicas(&self) -> u32 {
        if !self.mechanism {
            return 1;
        }
        let configured = self.events.iter().filter_map(|event| match event.what {
            EventKind::ReplicaSet { replicas } => Some(replicas),
            _ => None,
        });
        configured.fold(self.replicas, u32::max)
    }

    /// The name of a zone, which begins with that of its region.
    pub fn zone_name(&self, zone: u32) -> String {
        format!("r{:02}-z{zone:02}", zone % self.regions)
    }

    /// When the first event begins; the end of the measurement if there is none.
    pub fn first_event(&self) -> Duration {
        self.events.iter().map(|event| event.at).min().unwrap_or(self.length)
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 64
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b))
}

fn needed_count(table: &Table, name: &'static str, range: RangeInclusive<u64>) -> u32 {
    table.need(name, table.count(name, range)) as u32
}

fn script(top: &Table) -> ScaleScript {
    top.need("version", top.count("version", VERSION..=VERSION));
    let length = top.need("length", top.time("length", LENGTH));
    let zones = top.count("zones", ZONES).unwrap_or(34) as u32;
    let replicas = needed_count(top, "replicas", REPLICAS);
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
        nodes: needed_count(top, "nodes", NODES),
        servers: needed_count(top, "servers", SERVERS),
        hollow_processes: top.count("hollow_processes", HOLLOW_PROCESSES).unwrap_or(8) as u32,
        zones,
        regions,
        replicas,
        mechanism: top.flag("mechanism").unwrap_or(true),
        capacity: top
            .need("capacity", top.table("capacity", |table| Some(capacity(table))))
            .unwrap_or(NO_CAPACITY),
        real: top.table("real", real).unwrap_or(RealLoad { nodes: 0, rate: 50.0 }),
        events: events(top, length, zones, replicas),
    }
}

/// The capacity of a script that states none, which is a fault.
const NO_CAPACITY: ReplicaCapacity =
    ReplicaCapacity { lines_per_second: 0.0, call_lines: 0.0, continued_call_lines: 0.0, queue_limit_ms: 0 };

fn capacity(table: &Table) -> ReplicaCapacity {
    let lines = |name| table.need(name, table.number(name, 0.0..=1e6));
    let queue_limit = table.time("queue_limit", STEP);
    ReplicaCapacity {
        lines_per_second: table.need("lines_per_second", table.number("lines_per_second", 1.0..=1e9)),
        call_lines: lines("call_lines"),
        continued_call_lines: lines("continued_call_lines"),
        queue_limit_ms: table.need("queue_limit", queue_limit).as_millis() as u64,
    }
}

fn real(table: &Table) -> RealLoad {
    RealLoad {
        nodes: needed_count(table, "nodes", REAL_NODES),
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

fn events(top: &Table, length: Duration, zones: u32, replicas: u32) -> Vec<Event> {
    let read = top.tables("event", |table| {
        let at = table.need("at", table.time("at", Duration::ZERO..=length));
        let over = table.time("over", Duration::ZERO..=length);
        let kind = table.one_of("kind", &KINDS);
        table.need("kind", kind.map(|_| ()));
        let kind = KINDS[kind?];
        if !may_last(kind) {
            table.need("over", over);
        }
        let end = at + over.unwrap_or_default();
        if end > length {
            let found = time_text(end);
            let length = time_text(length);
            table
                .fault("over", format!("expected an end within the length, \"{length}\", found \"{found}\""));
        }
        Some(Event { at, over, what: event_kind(table, kind, zones, replicas) })
    });
    read.into_iter().flatten().collect()
}

/// Faults of replicas may last; a set of replicas always does.
fn may_last(kind: &str) -> bool {
    kind.starts_with("replica-") || kind == "discovery-away"
}

fn event_kind(table: &Table, kind: &str, zones: u32, replicas: u32) -> EventKind {
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
            down: table.time("down", STEP).unwrap_or(Duration::from_secs(2)),
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
        _ => EventKind::ReplicaSet { replicas: needed_count(table, "replicas", REPLICAS) },
    }
}
