//! The script of a scale run: how many nodes, servers and replicas there are, what each replica can do, and what happens.

use super::messages::ReplicaCapacity;
use checked_toml::{time_text, Document, Fault, Table};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The version of the format that this program reads.
pub const VERSION: u64 = 1;
/// How many hollow nodes a run may have.
pub const NODES: RangeInclusive<u64> = 1..=20_000;
/// How many servers the list may begin with.
pub const SERVERS: RangeInclusive<u64> = 1..=4_000;
/// How many replicas of discovery there may be: as many as a node's configuration takes.
pub const REPLICAS: RangeInclusive<u64> = 1..=64;
/// How many processes may hold the hollow nodes.
pub const HOLLOW_PROCESSES: RangeInclusive<u64> = 1..=200;
/// How many real nodes may run beside the hollow ones.
pub const REAL_NODES: RangeInclusive<u64> = 0..=20;

const ZONES: RangeInclusive<u64> = 1..=64;
const A_DAY: RangeInclusive<f64> = 1.0..=10_000_000.0;
const LENGTH: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(3_600);
const STEP: RangeInclusive<Duration> = Duration::from_millis(10)..=Duration::from_secs(600);

/// A scale run. The fields are those of the file, in the same words.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleScript {
    /// A word or a few, for lists and titles.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// Decides every draw.
    pub seed: u64,
    /// From the start of all nodes until the measurement begins.
    pub settle: Duration,
    /// How long is measured. Before the first event, nodes are at rest.
    pub length: Duration,
    /// After `length`, nodes that are behind have so long to catch up.
    pub catch_up: Duration,
    /// A change is expected to be in force at every node within this time.
    pub within: Option<Duration>,
    /// Hollow nodes.
    pub nodes: u32,
    /// Servers on the list.
    pub servers: u32,
    /// Processes that share the hollow nodes evenly.
    pub hollow_processes: u32,
    /// Zones; nodes and servers are dealt out to them in turn.
    pub zones: u32,
    /// Regions; zones are dealt out to them in turn, and bear their names.
    pub regions: u32,
    /// Replicas of discovery.
    pub replicas: u32,
    /// Nodes know all replicas and what each can do; else all nodes know the first replica's address only.
    pub mechanism: bool,
    /// What one replica can do.
    pub capacity: ReplicaCapacity,
    /// Real nodes under load beside the hollow ones.
    pub real: RealLoad,
    /// What happens.
    pub events: Vec<Event>,
}

/// Real nodes beside the hollow ones, and what is asked of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RealLoad {
    /// How many processes of the real program.
    pub nodes: u32,
    /// Requests a second, over all of them.
    pub rate: f64,
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// When it begins, from the beginning of the measurement.
    pub at: Duration,
    /// How long it takes; none for what nothing ends.
    pub over: Option<Duration>,
    /// What it is.
    pub what: EventKind,
}

/// What can happen.
#[derive(Clone, Debug, PartialEq)]
pub enum EventKind {
    /// Servers are replaced: one drains, is gone one `step` later, and its successor is ready after another.
    Changes {
        /// Changes of the list a day; each replacement makes three.
        per_day: f64,
        /// See above.
        step: Duration,
    },
    /// Nodes and servers are restarted, drawn in proportion to their numbers. A node comes back without a list.
    Restarts {
        /// Restarts a day.
        per_day: f64,
        /// Each is down for so long.
        down: Duration,
        /// Nodes alone are restarted.
        nodes_only: bool,
    },
    /// A zone's nodes are killed and its servers gone; at the end all are back.
    Zone {
        /// Its number from 0; drawn where none is given.
        zone: Option<u32>,
    },
    /// A replica resets its connections and refuses new ones.
    ReplicaLost {
        /// Its number from 0; drawn among those that nodes know where none is given.
        replica: Option<u32>,
    },
    /// A replica accepts connections and says nothing.
    ReplicaSilent {
        /// As above.
        replica: Option<u32>,
    },
    /// A replica learns of each change later than the others.
    ReplicaLagging {
        /// As above.
        replica: Option<u32>,
        /// By so much.
        lag: Duration,
    },
    /// A replica loses what it knows, and learns it again at the end.
    ReplicaReset {
        /// As above.
        replica: Option<u32>,
        /// It loses its count of versions, which begins anew at 1; else all entries.
        versions: bool,
    },
    /// All replicas are lost.
    DiscoveryAway,
    /// Nodes are told to use the first so many replicas; nothing else happens at the end.
    ReplicaSet {
        /// So many.
        replicas: u32,
    },
}

impl ScaleScript {
    /// Reads a script's text. `file` is what faults call it.
    ///
    /// # Errors
    /// All faults, in the order of their lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        Document::read(file, text, script)
    }

    /// How many replicas nodes know at the start.
    pub fn known_replicas(&self) -> u32 {
        if self.mechanism {
            self.replicas
        } else {
            1
        }
    }

    /// How many replicas have to run: those that nodes know at any time.
    pub fn running_replicas(&self) -> u32 {
        if !self.mechanism {
            return 1;
        }
        let told = self.events.iter().filter_map(|event| match event.what {
            EventKind::ReplicaSet { replicas } => Some(replicas),
            _ => None,
        });
        told.fold(self.replicas, u32::max)
    }

    /// The name of a zone. It holds its region's.
    pub fn zone_name(&self, zone: u32) -> String {
        format!("r{:02}-z{zone:02}", zone % self.regions)
    }

    /// When the first event begins; the end of the measurement where there is none.
    pub fn first_event(&self) -> Duration {
        self.events.iter().map(|event| event.at).min().unwrap_or(self.length)
    }
}

fn named(text: &str) -> bool {
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
        name: top.need("name", top.text("name", "a name of up to 64 letters, digits, '-' and '_'", named)),
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
        capacity: top.need("capacity", top.table("capacity", |table| Some(capacity(table)))).unwrap_or(NONE),
        real: top.table("real", real).unwrap_or(RealLoad { nodes: 0, rate: 50.0 }),
        events: events(top, length, zones, replicas),
    }
}

/// Stands in for a capacity that is missing, which is a fault.
const NONE: ReplicaCapacity =
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
        let kind = table.word("kind", &KINDS);
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
    let per_day = || table.need("per_day", table.number("per_day", A_DAY));
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
            versions: table.word("loses", &["entries", "versions"]) == Some(1),
        },
        "discovery-away" => EventKind::DiscoveryAway,
        _ => EventKind::ReplicaSet { replicas: needed_count(table, "replicas", REPLICAS) },
    }
}
