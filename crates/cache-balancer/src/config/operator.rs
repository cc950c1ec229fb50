//! An operator's file: TOML to [`Config`]; and a list of cache servers in a file of its own.
//!
//! All faults are found in one reading, each with its line and what was expected: serde would stop at the first one.

mod discovery;
mod effective;

pub use effective::effective;

use super::{Config, HandoverConfig, Listener, Pool, Source, MIN_DESCRIPTORS};
use crate::endpoint_list::{EndpointList, EndpointRecord};
use balancer_core::{DeduplicationScope, Idempotency, RequestClass, Settings};
use checked_toml::{Document, Fault, Table};
use rustix::process::{getrlimit, Resource};
use std::collections::BTreeSet;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// The version of the format.
const VERSION: u64 = 1;
/// More descriptors than this are of no use to one thread. Two of them serve one client connection, which may hold a header
/// of 16 KiB and a body of 64 KiB: 2.5 GiB in all.
const MAX_DESCRIPTORS: u64 = 1 << 16;
/// The longest file with a list of cache servers.
const MAX_LIST_BYTES: u64 = 8 << 20;
/// The longest absolute path of a Unix socket. unix(7) allows 108 bytes; the number of a process is appended to the path.
const MAX_SOCKET_PATH_BYTES: usize = 80;
const MAX_NODES: u64 = 10_000;
const TIME: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(3_600);
const FRACTION: RangeInclusive<f64> = 0.0..=1.0;
/// The late weight fraction of a class that states none: a response past the latency objective is still of some use.
const DEFAULT_LATE_WEIGHT_FRACTION: f64 = 0.4;
/// The name of a node whose file has none.
const DEFAULT_NAME: &str = "cache-balancer";
/// The port of the listener that a file without one gets.
const DEFAULT_PORT: u16 = 7070;
const NAME: &str = "a name of up to 64 letters, digits, '-', '_' and '.'";

/// Why a file cannot be used.
#[derive(Debug, Error)]
pub enum FileError {
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Unreadable(PathBuf, std::io::Error),
    #[error("{}", .0.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
    Faults(Vec<Fault>),
}

/// Reads the file at `path`.
pub fn load(path: &Path) -> Result<Config, FileError> {
    let unreadable = |error| FileError::Unreadable(path.to_owned(), error);
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    // Relative paths start from the file, also where the effective configuration is written to another place.
    let absolute = std::path::absolute(path).map_err(unreadable)?;
    let folder = absolute.parent().unwrap_or(Path::new(""));
    read(&path.display().to_string(), &text, folder)
}

/// Reads the text of a file. `name` is the file's name in faults; relative paths in it start from `folder`.
pub fn read(name: &str, text: &str, folder: &Path) -> Result<Config, FileError> {
    Document::read(name, text, |top| config(top, folder)).map_err(FileError::Faults)
}

/// Reads the text of a file with a list of cache servers.
pub fn list_text(path: &Path) -> Result<String, FileError> {
    let unreadable = |error| FileError::Unreadable(path.to_owned(), error);
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(unreadable)?;
    file.take(MAX_LIST_BYTES + 1).read_to_string(&mut text).map_err(unreadable)?;
    if text.len() as u64 > MAX_LIST_BYTES {
        let problem = format!("expected a list of {MAX_LIST_BYTES} bytes at the most");
        return Err(unreadable(std::io::Error::new(std::io::ErrorKind::FileTooLarge, problem)));
    }
    Ok(text)
}

/// Parses a list of cache servers, as version `seq`. `path` is the file's name in faults.
pub fn read_list(path: &Path, text: &str, seq: u64) -> Result<EndpointList, FileError> {
    let read = |top: &Table| {
        version(top);
        EndpointList { version: seq, is_snapshot: true, endpoints: servers(top) }
    };
    Document::read(&path.display().to_string(), text, read).map_err(FileError::Faults)
}

fn version(top: &Table) {
    // A file of another version is a fault.
    let _ = top.need("version", top.count("version", VERSION..=VERSION));
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 64
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// The name of a table; a fault if it has none, or if `taken` has it already.
fn name(t: &Table, taken: &mut BTreeSet<String>) -> String {
    let name = t.need("name", t.text("name", NAME, is_name));
    if !name.is_empty() && !taken.insert(name.clone()) {
        t.fault("name", format!("expected a name of its own, found \"{name}\" again"));
    }
    name
}

fn config(top: &Table, folder: &Path) -> Config {
    version(top);
    let name = top.text("name", NAME, is_name).unwrap_or_else(|| DEFAULT_NAME.into());
    let (descriptors, settings) = general_settings(top);
    let listeners = listeners(top);
    let mut pools = pools(top, &settings, folder);
    classes(top, &mut pools);
    let seed = top.count("seed", 0..=u64::MAX).unwrap_or_else(|| fastrand::u64(..));
    let handover = top.table("hand_over", |t| handover(t, folder));
    let tally = top.table("log", |t| t.flag("tally").unwrap_or(false)).unwrap_or(false);
    Config { name, listeners, seed, descriptors, pools, handover, tally }
}

/// The number of descriptors, and the settings that hold for all pools.
fn general_settings(top: &Table) -> (usize, Settings) {
    let base = Settings {
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: Duration::from_secs(2),
        ..Settings::default()
    };
    let limits = top.table("limits", |t| limits(t, &base));
    let (descriptors, base) = limits.unwrap_or_else(|| (descriptor_limit(), base));
    let base = top.table("servers", |t| server_settings(t, &base)).unwrap_or(base);
    let settings = Settings {
        zone: top.text("zone", NAME, is_name).map(|zone| zone.as_str().into()),
        nodes: top.count("nodes", 1..=MAX_NODES).map_or(base.nodes, |n| n as u32),
        ..base
    };
    (descriptors, settings)
}

fn listeners(top: &Table) -> Vec<Listener> {
    let mut taken = BTreeSet::new();
    let listeners = top.tables("listener", |t| Listener {
        name: name(t, &mut taken),
        address: address(t).unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
    });
    if !listeners.is_empty() {
        return listeners;
    }
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_PORT));
    vec![Listener { name: "clients".into(), address }]
}

/// The pools, without their classes.
fn pools(top: &Table, settings: &Settings, folder: &Path) -> Vec<Pool> {
    let mut taken = BTreeSet::new();
    let pools = top.tables("pool", |t| pool(t, name(t, &mut taken), settings, folder));
    if pools.is_empty() {
        top.fault("pool", "expected at least one [[pool]]");
    }
    // Nodes of one name would all poll the same replica.
    if pools.iter().any(|pool| pool.source.has_replicas()) && !top.has("name") {
        top.fault("name", "is missing: nodes spread over replicas of discovery by their names");
    }
    pools
}

/// Adds each class to its pool.
fn classes(top: &Table, pools: &mut [Pool]) {
    let mut taken = BTreeSet::new();
    let classes = top.tables("class", |t| {
        let class = class(t, name(t, &mut taken));
        (pool_of_class(t, pools), class)
    });
    if classes.is_empty() {
        top.fault("class", "expected at least one [[class]]: requests of others are turned away");
    }
    for (pool, class) in classes {
        if let Some(pool) = pools.iter_mut().find(|other| other.name == pool) {
            pool.settings.classes.push(class);
        }
    }
}

/// The name of the pool that serves a class.
fn pool_of_class(t: &Table, pools: &[Pool]) -> String {
    let pool = t.text("pool", "the name of a [[pool]]", |name| pools.iter().any(|pool| pool.name == name));
    match pools {
        // The lack of a pool is a fault of its own.
        [] => String::new(),
        [only] => pool.unwrap_or_else(|| only.name.clone()),
        _ => t.need("pool", pool),
    }
}

/// The system's limit on the descriptors of this process.
pub fn descriptor_limit() -> usize {
    getrlimit(Resource::Nofile).current.unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS) as usize
}

fn handover(t: &Table, folder: &Path) -> HandoverConfig {
    let socket = t.text("socket", "the path of a Unix socket, of up to 80 bytes", |path| {
        (1..=MAX_SOCKET_PATH_BYTES).contains(&folder.join(path).as_os_str().len())
    });
    let time = |key, default| t.time(key, TIME).unwrap_or(default);
    HandoverConfig {
        socket: folder.join(t.need("socket", socket)),
        step_timeout: time("within", HandoverConfig::DEFAULT_STEP_TIMEOUT),
        probation: time("probation", HandoverConfig::DEFAULT_PROBATION),
        backoff: time("bar", HandoverConfig::DEFAULT_BACKOFF),
    }
}

fn limits(t: &Table, base: &Settings) -> (usize, Settings) {
    let descriptors = t.count("descriptors", MIN_DESCRIPTORS as u64..=MAX_DESCRIPTORS);
    let settings = Settings {
        max_attempts: t.count("max_attempts", 1..=20).map_or(base.max_attempts, |n| n as u32),
        hedging_allowed: t.flag("second_copies").unwrap_or(base.hedging_allowed),
        max_retry_after: t
            .time("max_retry_after", Duration::ZERO..=*TIME.end())
            .unwrap_or(base.max_retry_after),
        ..base.clone()
    };
    (descriptors.map_or_else(descriptor_limit, |n| n as usize), settings)
}

/// How cache servers behave, in all pools.
fn server_settings(t: &Table, base: &Settings) -> Settings {
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
    let endpoints = servers(t);
    let sources = usize::from(t.has("discovery")) + usize::from(t.has("file")) + usize::from(t.has("server"));
    if sources != 1 {
        t.fault("name", "expected exactly one of discovery, file and [[pool.server]] in this pool");
    }
    let source = match (discovery, file) {
        (Some(discovery), _) => Source::Discovery(discovery),
        (None, Some(file)) => Source::File(folder.join(file)),
        (None, None) => Source::Fixed,
    };
    // Only discovery is polled, and only discovery reports when servers started.
    let discovered = matches!(source, Source::Discovery(_));
    let settings =
        Settings { discovery_is_polled: discovered, start_times_reported: discovered, ..base.clone() };
    Pool { name, source, known: EndpointList { version: 0, is_snapshot: true, endpoints }, settings }
}

fn servers(t: &Table) -> Vec<EndpointRecord> {
    let mut taken = BTreeSet::new();
    t.tables("server", |t| EndpointRecord {
        id: name(t, &mut taken),
        address: address(t),
        zone: t.text("zone", NAME, is_name),
        kind: t.text("kind", NAME, is_name),
        cell: t.count("cell", 0..=u64::MAX),
        state: t
            .one_of("health", &["ready", "draining"])
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
    let scope = t.one_of("scope", &["all", "zone", "cell"]);
    let window = t.time("window", TIME);
    let effect = match t.one_of("effect", &["safe", "keyed", "unsafe"]) {
        Some(0) => Idempotency::Idempotent,
        Some(1) => {
            Idempotency::WithKey { scope: scopes[t.need("scope", scope)], window: t.need("window", window) }
        }
        // Without a statement, requests are never retried.
        _ => Idempotency::NotIdempotent,
    };
    let class = RequestClass {
        name: name.as_str().into(),
        idempotency: effect,
        latency_objective: t.time("aim", TIME).unwrap_or(base.latency_objective),
        deadline: t.time("deadline", TIME).unwrap_or(base.deadline),
        priority_weight: t.number("worth", 0.0..=1e6).unwrap_or(base.priority_weight),
        late_weight_fraction: t.number("late_worth", FRACTION).unwrap_or(DEFAULT_LATE_WEIGHT_FRACTION),
    };
    if class.deadline < class.latency_objective {
        t.fault("deadline", "expected a time no shorter than the aim");
    }
    class
}
