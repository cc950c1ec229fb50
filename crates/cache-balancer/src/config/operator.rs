//! Reads an operator's file (TOML) into a [`Config`], and an endpoint list from a separate file.
//!
//! All faults of a file are reported at once, each with its line and what was expected. Serde would stop at
//! the first fault.

mod discovery;
mod effective;

pub use effective::effective;

use super::{Config, HandoverConfig, Listener, Pool, Source, MEGABYTE, MIN_DESCRIPTORS};
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::memory::default_limit;
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
/// Maximum number of descriptors. A single thread cannot use more. Each is a connection that may hold a head
/// of 16 KiB and a body of 64 KiB: at this maximum, all connections together hold 5 GiB.
const MAX_DESCRIPTORS: u64 = 1 << 16;
/// The range of memory limits: what a node without connections needs, and more than any has.
const MEMORY_MB_RANGE: RangeInclusive<u64> = 16..=1 << 20;
/// Maximum size of a file with an endpoint list.
pub const MAX_LIST_BYTES: u64 = 8 << 20;
/// Maximum length of the absolute path of a Unix socket. unix(7) allows 108 bytes, and a PID is
/// appended to the path.
const MAX_SOCKET_PATH_BYTES: usize = 80;
const MAX_NODES: u64 = 10_000;
const TIME_RANGE: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_secs(3_600);
const FRACTION_RANGE: RangeInclusive<f64> = 0.0..=1.0;
/// Default late weight fraction of a class. It is above 0, because a response after the latency objective
/// is still of some use.
const DEFAULT_LATE_WEIGHT_FRACTION: f64 = 0.4;
/// Default name of a node.
const DEFAULT_NAME: &str = "cache-balancer";
/// The port of the default listener, which is used if the file has no listener.
const DEFAULT_PORT: u16 = 7070;
const NAME_FORMAT: &str = "a name of up to 64 letters, digits, '-', '_' and '.'";

/// An error in an operator's file or in a file with an endpoint list.
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
    // Relative paths are resolved against the file's directory and made absolute, so that the effective
    // configuration is still correct when it is written to another directory.
    let absolute = std::path::absolute(path).map_err(unreadable)?;
    let folder = absolute.parent().unwrap_or(Path::new(""));
    read(&path.display().to_string(), &text, folder)
}

/// Parses the text of an operator's file. `name` is the file's name in faults, and relative paths are
/// resolved against `folder`.
pub fn read(name: &str, text: &str, folder: &Path) -> Result<Config, FileError> {
    Document::read(name, text, |top| config(top, folder)).map_err(FileError::Faults)
}

/// Reads the text of a file with an endpoint list.
pub fn list_text(path: &Path) -> Result<String, FileError> {
    let unreadable = |error| FileError::Unreadable(path.to_owned(), error);
    let mut text = String::new();
    let file = std::fs::File::open(path).map_err(unreadable)?;
    file.take(MAX_LIST_BYTES + 1).read_to_string(&mut text).map_err(unreadable)?;
    if text.len() as u64 > MAX_LIST_BYTES {
        let problem = format!("expected a list of at most {MAX_LIST_BYTES} bytes");
        return Err(unreadable(std::io::Error::new(std::io::ErrorKind::FileTooLarge, problem)));
    }
    Ok(text)
}

/// Parses an endpoint list, which gets the version `list_version`. `path` is the file's name in faults.
pub fn read_list(path: &Path, text: &str, list_version: u64) -> Result<EndpointList, FileError> {
    let read = |top: &Table| {
        version(top);
        EndpointList { version: list_version, is_snapshot: true, endpoints: servers(top) }
    };
    Document::read(&path.display().to_string(), text, read).map_err(FileError::Faults)
}

fn version(top: &Table) {
    // Another version is recorded as a fault; the value itself is not needed.
    let _ = top.need("version", top.count("version", VERSION..=VERSION));
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 64
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b))
}

/// Reads the name of a table and adds it to `used_names`. A missing name and a name in `used_names` are
/// faults.
fn name(t: &Table, used_names: &mut BTreeSet<String>) -> String {
    let name = t.need("name", t.text("name", NAME_FORMAT, is_name));
    if !name.is_empty() && !used_names.insert(name.clone()) {
        t.fault("name", format!("expected a unique name, found \"{name}\" again"));
    }
    name
}

fn config(top: &Table, folder: &Path) -> Config {
    version(top);
    let name = top.text("name", NAME_FORMAT, is_name).unwrap_or_else(|| DEFAULT_NAME.into());
    let (limits, settings) = general_settings(top);
    let listeners = listeners(top);
    let mut pools = pools(top, &settings, folder);
    classes(top, &mut pools);
    let seed = top.count("seed", 0..=u64::MAX).unwrap_or_else(|| fastrand::u64(..));
    let handover = top.table("hand_over", |t| handover(t, folder));
    let tally = top.table("log", |t| t.flag("tally").unwrap_or(false)).unwrap_or(false);
    let ProcessLimits { descriptors, memory } = limits;
    Config { name, listeners, seed, descriptors, memory, pools, handover, tally }
}

/// What the process may use.
#[derive(Clone, Copy, Debug)]
struct ProcessLimits {
    descriptors: usize,
    /// In bytes.
    memory: usize,
}

impl ProcessLimits {
    /// Returns the system's limits, with the memory in whole megabytes.
    fn of_system() -> Self {
        let (min_mb, max_mb) = (*MEMORY_MB_RANGE.start() as usize, *MEMORY_MB_RANGE.end() as usize);
        let memory_mb = (default_limit() / MEGABYTE).clamp(min_mb, max_mb);
        Self { descriptors: descriptor_limit(), memory: memory_mb * MEGABYTE }
    }
}

/// Reads the limits of the process, and the settings shared by all pools.
fn general_settings(top: &Table) -> (ProcessLimits, Settings) {
    let base = Settings {
        cancellation_allowed: true,
        hedging_allowed: true,
        max_retry_after: Duration::from_secs(2),
        ..Settings::default()
    };
    let limits = top.table("limits", |t| limits(t, &base));
    let (limits, base) = limits.unwrap_or_else(|| (ProcessLimits::of_system(), base));
    let base = top.table("servers", |t| server_settings(t, &base)).unwrap_or(base);
    let settings = Settings {
        zone: top.text("zone", NAME_FORMAT, is_name).map(|zone| zone.as_str().into()),
        nodes: top.count("nodes", 1..=MAX_NODES).map_or(base.nodes, |n| n as u32),
        ..base
    };
    (limits, settings)
}

fn listeners(top: &Table) -> Vec<Listener> {
    let mut used_names = BTreeSet::new();
    let listeners = top.tables("listener", |t| Listener {
        name: name(t, &mut used_names),
        address: address(t).unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
    });
    if !listeners.is_empty() {
        return listeners;
    }
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, DEFAULT_PORT));
    vec![Listener { name: "clients".into(), address }]
}

/// Reads the pools without their classes.
fn pools(top: &Table, settings: &Settings, folder: &Path) -> Vec<Pool> {
    let mut used_names = BTreeSet::new();
    let pools = top.tables("pool", |t| pool(t, name(t, &mut used_names), settings, folder));
    if pools.is_empty() {
        top.fault("pool", "expected at least one [[pool]]");
    }
    // The name decides which replica a node polls: nodes of the same name would all poll the same one.
    if pools.iter().any(|pool| pool.source.has_replicas()) && !top.has("name") {
        top.fault("name", "is missing: each node selects a discovery replica by its name");
    }
    pools
}

/// Reads the classes and adds each to its pool.
fn classes(top: &Table, pools: &mut [Pool]) {
    let mut used_names = BTreeSet::new();
    let classes = top.tables("class", |t| {
        let class = class(t, name(t, &mut used_names));
        (pool_of_class(t, pools), class)
    });
    if classes.is_empty() {
        top.fault("class", "expected at least one [[class]]: requests of other classes are rejected");
    }
    for (pool, class) in classes {
        if let Some(pool) = pools.iter_mut().find(|other| other.name == pool) {
            pool.settings.classes.push(class);
        }
    }
}

/// Reads the name of the pool that serves a class.
fn pool_of_class(t: &Table, pools: &[Pool]) -> String {
    let pool = t.text("pool", "the name of a [[pool]]", |name| pools.iter().any(|pool| pool.name == name));
    match pools {
        // The missing pool is reported as a separate fault.
        [] => String::new(),
        [only] => pool.unwrap_or_else(|| only.name.clone()),
        _ => t.need("pool", pool),
    }
}

/// Returns the system's limit on the descriptors of this process, at most [`MAX_DESCRIPTORS`].
pub fn descriptor_limit() -> usize {
    getrlimit(Resource::Nofile).current.unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS) as usize
}

fn handover(t: &Table, folder: &Path) -> HandoverConfig {
    let socket = t.text("socket", "the path of a Unix socket, of up to 80 bytes", |path| {
        (1..=MAX_SOCKET_PATH_BYTES).contains(&folder.join(path).as_os_str().len())
    });
    let time = |key, default| t.time(key, TIME_RANGE).unwrap_or(default);
    HandoverConfig {
        socket: folder.join(t.need("socket", socket)),
        step_timeout: time("within", HandoverConfig::DEFAULT_STEP_TIMEOUT),
        probation: time("probation", HandoverConfig::DEFAULT_PROBATION),
        backoff: time("bar", HandoverConfig::DEFAULT_BACKOFF),
    }
}

fn limits(t: &Table, base: &Settings) -> (ProcessLimits, Settings) {
    let descriptors = t.count("descriptors", MIN_DESCRIPTORS as u64..=MAX_DESCRIPTORS);
    let memory = t.count("memory_mb", MEMORY_MB_RANGE);
    let system = ProcessLimits::of_system();
    let limits = ProcessLimits {
        descriptors: descriptors.map_or(system.descriptors, |n| n as usize),
        memory: memory.map_or(system.memory, |mb| mb as usize * MEGABYTE),
    };
    let settings = Settings {
        max_attempts: t.count("max_attempts", 1..=20).map_or(base.max_attempts, |n| n as u32),
        hedging_allowed: t.flag("second_copies").unwrap_or(base.hedging_allowed),
        max_retry_after: t
            .time("max_retry_after", Duration::ZERO..=*TIME_RANGE.end())
            .unwrap_or(base.max_retry_after),
        ..base.clone()
    };
    (limits, settings)
}

/// Reads the settings for cache servers, which are shared by all pools.
fn server_settings(t: &Table, base: &Settings) -> Settings {
    Settings {
        connect_timeout: t.time("connect_timeout", TIME_RANGE).unwrap_or(base.connect_timeout),
        server_idle_timeout: t.time("idle", TIME_RANGE).unwrap_or(base.server_idle_timeout),
        weights_reflect_speed: t.flag("weights_tell_speed").unwrap_or(base.weights_reflect_speed),
        slow_start_min_fraction: t.number("cold_share", 0.01..=1.0).unwrap_or(base.slow_start_min_fraction),
        slow_start_window: t.time("warm_within", TIME_RANGE).unwrap_or(base.slow_start_window),
        slow_start_overload_factor: t
            .number("fall_multiple", 1.0..=100.0)
            .unwrap_or(base.slow_start_overload_factor),
        slow_start_overload_window: t
            .time("fall_span", TIME_RANGE)
            .unwrap_or(base.slow_start_overload_window),
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
    // Only discovery is polled, and only discovery reports the start times of servers.
    let from_discovery = matches!(source, Source::Discovery(_));
    let settings = Settings {
        discovery_is_polled: from_discovery,
        start_times_reported: from_discovery,
        ..base.clone()
    };
    Pool {
        name,
        source,
        configured_list: EndpointList { version: 0, is_snapshot: true, endpoints },
        settings,
    }
}

fn servers(t: &Table) -> Vec<EndpointRecord> {
    let mut used_names = BTreeSet::new();
    t.tables("server", |t| EndpointRecord {
        id: name(t, &mut used_names),
        address: address(t),
        zone: t.text("zone", NAME_FORMAT, is_name),
        kind: t.text("kind", NAME_FORMAT, is_name),
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
    let window = t.time("window", TIME_RANGE);
    let idempotency = match t.one_of("effect", &["safe", "keyed", "unsafe"]) {
        Some(0) => Idempotency::Idempotent,
        Some(1) => {
            Idempotency::WithKey { scope: scopes[t.need("scope", scope)], window: t.need("window", window) }
        }
        // By default, requests are never retried.
        _ => Idempotency::NotIdempotent,
    };
    let class = RequestClass {
        name: name.as_str().into(),
        idempotency,
        latency_objective: t.time("aim", TIME_RANGE).unwrap_or(base.latency_objective),
        deadline: t.time("deadline", TIME_RANGE).unwrap_or(base.deadline),
        priority_weight: t.number("worth", 0.0..=1e6).unwrap_or(base.priority_weight),
        late_weight_fraction: t.number("late_worth", FRACTION_RANGE).unwrap_or(DEFAULT_LATE_WEIGHT_FRACTION),
    };
    if class.deadline < class.latency_objective {
        t.fault("deadline", "expected a time no shorter than the aim");
    }
    class
}
