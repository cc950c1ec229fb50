//! An operator's file: TOML to [`Config`], and a list of cache servers of its own.
//!
//! All faults are found in one reading, each with its line and what was expected: serde would stop at the first one.

mod discovery;

use super::{Config, HandOver, Listener, Pool, Source, LEAST_DESCRIPTORS};
use crate::endpoint_list::{EndpointList, EndpointRecord};
use balancer_core::{DeduplicationScope, Idempotency, RequestClass, Settings};
use checked_toml::{time_text, Document, Fault, Table};
use rustix::process::{getrlimit, Resource};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::io::Read;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// The version of the format that this program reads.
const VERSION: u64 = 1;
/// More descriptors than this are of no use to one thread. Each two are a client's connection, which may hold a head of
/// 16 KiB and a body of 64 KiB: 2.5 GiB at the most.
const MOST_DESCRIPTORS: u64 = 1 << 16;
/// A list that is longer is none.
const LARGEST_LIST: u64 = 8 << 20;
/// Of the path of a Unix socket, whole, with room for the number of a process behind it (unix(7) has 108 bytes).
const LONGEST_SOCKET: usize = 80;
const MOST_NODES: u64 = 10_000;
const TIME: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(3_600);
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
/// A node goes by this where its file has no name.
const DEFAULT_NAME: &str = "cache-balancer";
const NAME: &str = "a name of up to 64 letters, digits, '-', '_' and '.'";

/// Why a file is of no use.
#[derive(Debug, Error)]
pub enum FileError {
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Unreadable(PathBuf, std::io::Error),
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Faults(Vec<Fault>),
}

/// Reads the file of this path.
pub fn load(path: &Path) -> Result<Config, FileError> {
    let unreadable = |error| FileError::Unreadable(path.to_owned(), error);
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    // What is named beside the file stays there, wherever what holds is written down.
    let whole = std::path::absolute(path).map_err(unreadable)?;
    let folder = whole.parent().unwrap_or(Path::new(""));
    read(&path.display().to_string(), &text, folder)
}

/// Reads a text. Faults call it `called`, and the paths in it start from `folder`.
pub fn read(called: &str, text: &str, folder: &Path) -> Result<Config, FileError> {
    Document::read(called, text, |top| config(top, folder)).map_err(FileError::Faults)
}

/// The text of a list of cache servers.
pub fn list_text(path: &Path) -> Result<String, FileError> {
    let unreadable = |error| FileError::Unreadable(path.to_owned(), error);
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(unreadable)?;
    file.take(LARGEST_LIST + 1).read_to_string(&mut text).map_err(unreadable)?;
    if text.len() as u64 > LARGEST_LIST {
        let problem = format!("expected a list of {LARGEST_LIST} bytes at the most");
        return Err(unreadable(std::io::Error::new(std::io::ErrorKind::FileTooLarge, problem)));
    }
    Ok(text)
}

/// Reads a list of cache servers, as version `seq`. `path` is what faults call it.
pub fn read_list(path: &Path, text: &str, seq: u64) -> Result<EndpointList, FileError> {
    let read = |top: &Table| {
        version(top);
        EndpointList { version: seq, is_snapshot: true, endpoints: servers(top) }
    };
    Document::read(&path.display().to_string(), text, read).map_err(FileError::Faults)
}

fn version(top: &Table) {
    // A file of another version is a fault; there is only one yet.
    let _ = top.need("version", top.count("version", VERSION..=VERSION));
}

fn named(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 64
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// The name of a table; a fault where it has none, or where `taken` has it already.
fn name(t: &Table, taken: &mut BTreeSet<String>) -> String {
    let name = t.need("name", t.text("name", NAME, named));
    if !name.is_empty() && !taken.insert(name.clone()) {
        t.fault("name", format!("expected a name of its own, found \"{name}\" again"));
    }
    name
}

fn config(top: &Table, folder: &Path) -> Config {
    version(top);
    let name_of_node = top.text("name", NAME, named).unwrap_or_else(|| DEFAULT_NAME.into());
    let base = Settings {
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: Duration::from_secs(2),
        ..Settings::default()
    };
    let limits = top.table("limits", |t| limits(t, &base));
    let (descriptors, base) = limits.unwrap_or_else(|| (own_descriptors(), base));
    let base = top.table("servers", |t| behaviour(t, &base)).unwrap_or(base);
    let base = Settings {
        zone: top.text("zone", NAME, named).map(|zone| zone.as_str().into()),
        nodes: top.count("nodes", 1..=MOST_NODES).map_or(base.nodes, |n| n as u32),
        ..base
    };
    let mut taken = BTreeSet::new();
    let mut listeners = top.tables("listener", |t| Listener {
        name: name(t, &mut taken),
        address: address(t).unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))),
    });
    if listeners.is_empty() {
        let address = SocketAddr::from(([127, 0, 0, 1], 7070));
        listeners.push(Listener { name: "clients".into(), address });
    }
    let mut taken = BTreeSet::new();
    let mut pools = top.tables("pool", |t| pool(t, name(t, &mut taken), &base, folder));
    if pools.is_empty() {
        top.fault("pool", "expected at least one [[pool]]");
    }
    // Nodes of one name would all ask the same replica.
    if pools.iter().any(|pool| pool.source.has_replicas()) && !top.has("name") {
        top.fault("name", "is missing: nodes spread over replicas of discovery by their names");
    }
    let mut taken = BTreeSet::new();
    let classes = top.tables("class", |t| {
        let class = class(t, name(t, &mut taken));
        let wanted = t.text("pool", "the name of a [[pool]]", |name| pools.iter().any(|p| p.name == name));
        let pool = match &pools[..] {
            // That there is none is a fault of its own.
            [] => String::new(),
            [only] => wanted.unwrap_or_else(|| only.name.clone()),
            _ => t.need("pool", wanted),
        };
        (pool, class)
    });
    if classes.is_empty() {
        top.fault("class", "expected at least one [[class]]: requests of others are turned away");
    }
    for (pool, class) in classes {
        if let Some(pool) = pools.iter_mut().find(|other| other.name == pool) {
            pool.settings.classes.push(class);
        }
    }
    let seed = top.count("seed", 0..=u64::MAX).unwrap_or_else(|| fastrand::u64(..));
    let hand_over = top.table("hand_over", |t| hand_over(t, folder));
    let tally = top.table("log", |t| t.flag("tally").unwrap_or(false)).unwrap_or(false);
    Config { name: name_of_node, listeners, seed, descriptors, pools, hand_over, tally }
}

/// The descriptors that this process may hold.
pub fn own_descriptors() -> usize {
    getrlimit(Resource::Nofile).current.unwrap_or(MOST_DESCRIPTORS).min(MOST_DESCRIPTORS) as usize
}

fn hand_over(t: &Table, folder: &Path) -> HandOver {
    let socket = t.text("socket", "the path of a Unix socket, of up to 80 bytes", |path| {
        (1..=LONGEST_SOCKET).contains(&folder.join(path).as_os_str().len())
    });
    let time = |key, default| t.time(key, TIME).unwrap_or(default);
    HandOver {
        socket: folder.join(t.need("socket", socket)),
        within: time("within", HandOver::WITHIN),
        probation: time("probation", HandOver::PROBATION),
        bar: time("bar", HandOver::BAR),
    }
}

fn limits(t: &Table, base: &Settings) -> (usize, Settings) {
    let descriptors = t.count("descriptors", LEAST_DESCRIPTORS as u64..=MOST_DESCRIPTORS);
    let settings = Settings {
        max_attempts: t.count("max_attempts", 1..=20).map_or(base.max_attempts, |n| n as u32),
        hedging_allowed: t.flag("second_copies").unwrap_or(base.hedging_allowed),
        max_retry_after: t
            .time("max_retry_after", Duration::ZERO..=*TIME.end())
            .unwrap_or(base.max_retry_after),
        ..base.clone()
    };
    (descriptors.map_or_else(own_descriptors, |n| n as usize), settings)
}

/// What is known of how all cache servers behave.
fn behaviour(t: &Table, base: &Settings) -> Settings {
    Settings {
        connect_timeout: t.time("connect_timeout", TIME).unwrap_or(base.connect_timeout),
        server_idle_timeout: t.time("idle", TIME).unwrap_or(base.server_idle_timeout),
        weights_reflect_speed: t.flag("weights_tell_speed").unwrap_or(base.weights_reflect_speed),
        slow_start_min_fraction: t.number("cold_share", 0.01..=1.0).unwrap_or(base.slow_start_min_fraction),
        slow_start_window: t.time("warm_within", TIME).unwrap_or(base.slow_start_window),
        slow_start_overload_factor: t
            .number("fall_multiple", 1.0..=100.0)
            .unwrap_or(base.slow_start_overload_factor),
        slow_start_overload_window: t.time("fall_span", TIME).unwrap_or(base.slow_start_overload_window),
        ..base.clone()
    }
}

fn address(t: &Table) -> Option<SocketAddr> {
    t.need("address", t.parse("address", "an address and port, such as \"127.0.0.1:7070\"").map(Some))
}

fn pool(t: &Table, name: String, base: &Settings, folder: &Path) -> Pool {
    let discovery = discovery::read(t);
    let file = t.text("file", "the path of a file", |path| !path.is_empty());
    let hosts = servers(t);
    let told = usize::from(t.has("discovery")) + usize::from(t.has("file")) + usize::from(t.has("server"));
    if told != 1 {
        t.fault("name", "expected exactly one of discovery, file and [[pool.server]] in this pool");
    }
    let source = match (discovery, file) {
        (Some(discovery), _) => Source::Discovery(discovery),
        (None, Some(file)) => Source::File(folder.join(file)),
        (None, None) => Source::Fixed,
    };
    // Only discovery is asked, and only discovery tells when servers started.
    let discovered = matches!(source, Source::Discovery(_));
    let settings =
        Settings { discovery_is_polled: discovered, start_times_reported: discovered, ..base.clone() };
    Pool { name, source, known: EndpointList { version: 0, is_snapshot: true, endpoints: hosts }, settings }
}

fn servers(t: &Table) -> Vec<EndpointRecord> {
    let mut taken = BTreeSet::new();
    t.tables("server", |t| EndpointRecord {
        id: name(t, &mut taken),
        address: address(t),
        zone: t.text("zone", NAME, named),
        kind: t.text("kind", NAME, named),
        cell: t.count("cell", 0..=u64::MAX),
        state: t
            .word("health", &["ready", "draining"])
            .map_or("ready", |i| ["ready", "draining"][i])
            .to_owned()
            .into(),
        weight: t.number("weight", 0.0..=1e6),
        started_at_ms: None,
    })
}

fn class(t: &Table, name: String) -> RequestClass {
    let base = RequestClass::default();
    let scopes = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
    let scope = t.word("scope", &["all", "zone", "cell"]);
    let window = t.time("window", TIME);
    let effect = match t.word("effect", &["safe", "keyed", "unsafe"]) {
        Some(0) => Idempotency::Idempotent,
        Some(1) => {
            Idempotency::WithKey { scope: scopes[t.need("scope", scope)], window: t.need("window", window) }
        }
        // What says nothing is never repeated.
        _ => Idempotency::NotIdempotent,
    };
    let class = RequestClass {
        name: name.as_str().into(),
        idempotency: effect,
        latency_objective: t.time("aim", TIME).unwrap_or(base.latency_objective),
        deadline: t.time("deadline", TIME).unwrap_or(base.deadline),
        priority_weight: t.number("worth", 0.0..=1e6).unwrap_or(base.priority_weight),
        late_weight_fraction: t.number("late_worth", SHARE).unwrap_or(0.4),
    };
    if class.deadline < class.latency_objective {
        t.fault("deadline", "expected a time no shorter than the aim");
    }
    class
}

/// What holds, defaults and all, as a file that says the same.
pub fn effective(config: &Config) -> String {
    let mut text = String::new();
    // Writing to a text does not fail.
    let _ = write_effective(&mut text, config);
    text
}

fn write_effective(text: &mut String, config: &Config) -> std::fmt::Result {
    let time = |time: Duration| format!("\"{}\"", time_text(time));
    writeln!(text, "version = {VERSION}\nname = \"{}\"", config.name)?;
    // They hold for all pools.
    let Some(settings) = config.pools.first().map(|pool| &pool.settings) else { return Ok(()) };
    if let Some(zone) = &settings.zone {
        writeln!(text, "zone = \"{zone}\"")?;
    }
    writeln!(text, "nodes = {}", settings.nodes)?;
    writeln!(text, "\n[limits]\ndescriptors = {}", config.descriptors)?;
    writeln!(text, "max_attempts = {}", settings.max_attempts)?;
    writeln!(text, "second_copies = {}", settings.hedging_allowed)?;
    writeln!(text, "max_retry_after = {}", time(settings.max_retry_after))?;
    writeln!(text, "\n[servers]\nconnect_timeout = {}", time(settings.connect_timeout))?;
    writeln!(
        text,
        "idle = {}\nweights_tell_speed = {}",
        time(settings.server_idle_timeout),
        settings.weights_reflect_speed
    )?;
    writeln!(
        text,
        "cold_share = {:?}\nwarm_within = {}",
        settings.slow_start_min_fraction,
        time(settings.slow_start_window)
    )?;
    writeln!(
        text,
        "fall_multiple = {:?}\nfall_span = {}",
        settings.slow_start_overload_factor,
        time(settings.slow_start_overload_window)
    )?;
    writeln!(text, "\n[log]\ntally = {}", config.tally)?;
    if let Some(HandOver { socket, within, probation, bar }) = &config.hand_over {
        let socket = socket.display().to_string();
        writeln!(text, "\n[hand_over]\nsocket = {socket:?}\nwithin = {}", time(*within))?;
        writeln!(text, "probation = {}\nbar = {}", time(*probation), time(*bar))?;
    }
    for Listener { name, address } in &config.listeners {
        writeln!(text, "\n[[listener]]\nname = \"{name}\"\naddress = \"{address}\"")?;
    }
    for pool in &config.pools {
        writeln!(text, "\n[[pool]]\nname = \"{}\"", pool.name)?;
        match &pool.source {
            Source::Discovery(replicas) => discovery::write(text, replicas)?,
            Source::File(path) => writeln!(text, "file = {:?}", path.display().to_string())?,
            Source::Fixed => {}
        }
        for host in &pool.known.endpoints {
            writeln!(text, "[[pool.server]]\nname = \"{}\"", host.id)?;
            if let Some(dial) = host.address {
                writeln!(text, "address = \"{dial}\"")?;
            }
            for (key, value) in [("zone", &host.zone), ("kind", &host.kind)] {
                if let Some(value) = value {
                    writeln!(text, "{key} = \"{value}\"")?;
                }
            }
            if let Some(cell) = host.cell {
                writeln!(text, "cell = {cell}")?;
            }
            writeln!(text, "health = \"{}\"\nweight = {:?}", host.state, host.weight.unwrap_or(1.0))?;
        }
    }
    for pool in &config.pools {
        for class in &pool.settings.classes {
            writeln!(text, "\n[[class]]\nname = \"{}\"\npool = \"{}\"", class.name, pool.name)?;
            match class.idempotency {
                Idempotency::Idempotent => writeln!(text, "effect = \"safe\"")?,
                Idempotency::NotIdempotent => writeln!(text, "effect = \"unsafe\"")?,
                Idempotency::WithKey { scope, window } => {
                    let scope = match scope {
                        DeduplicationScope::All => "all",
                        DeduplicationScope::Zone => "zone",
                        DeduplicationScope::Cell => "cell",
                    };
                    writeln!(text, "effect = \"keyed\"\nscope = \"{scope}\"\nwindow = {}", time(window))?;
                }
            }
            writeln!(text, "aim = {}\ndeadline = {}", time(class.latency_objective), time(class.deadline))?;
            writeln!(
                text,
                "worth = {:?}\nlate_worth = {:?}",
                class.priority_weight, class.late_weight_fraction
            )?;
        }
    }
    Ok(())
}
