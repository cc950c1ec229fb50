//! Parses the TOML file of a script into a [`Script`] and checks the range of each value.

use super::{
    Class, Clients, Discovery, Expectations, Fault, Incident, Load, LoadReports, Network, Origin, Rules,
    Script, ServerKind, VERSION,
};
use balancer_core::DeduplicationScope;
use balancer_core::Idempotency;
use checked_toml::{time_text, Document, Fault as FileFault, Table};
use std::ops::RangeInclusive;
use std::time::Duration;

/// The range of times that may be zero.
const SHORT_TIME: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(60);
const POSITIVE_TIME: RangeInclusive<Duration> = Duration::from_micros(1)..=Duration::from_secs(3_600);
const FRACTION: RangeInclusive<f64> = 0.0..=1.0;
const FACTOR: RangeInclusive<f64> = 0.01..=100.0;
/// Maximum number of nodes in virtual time. The sockets runner has a lower limit of its own.
const MAX_NODES: u64 = 10_000;
/// Maximum number of cache servers, limited by the file descriptors of one machine.
const MAX_SERVERS: u64 = 4_000;
/// Maximum rate of operations per second.
const MAX_RATE: f64 = 20_000.0;

impl Script {
    /// Parses the text of a script. `file` is the file name in error messages.
    ///
    /// # Errors
    /// Returns all errors of the text in the order of their lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<FileFault>> {
        Document::read(file, text, script)
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 64
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_ +".contains(&b))
}

const NAME: &str = "a name of up to 64 letters, digits, spaces, '-', '_' and '+'";

fn script(top: &Table) -> Script {
    let base = Script::default();
    top.need("version", top.count("version", VERSION..=VERSION));
    let length =
        top.time("length", Duration::from_secs(1)..=Duration::from_secs(3_600)).unwrap_or(base.length);
    let zones = zones(top, base.zones);
    let kinds = top.tables("box", server_kind);
    let classes = top.tables("class", class);
    let script = Script {
        name: top.need("name", top.text("name", NAME, is_name)),
        about: top.text("about", "text", |_| true).unwrap_or_default(),
        seed: top.count("seed", 0..=u64::MAX).unwrap_or(base.seed),
        length,
        nodes: top.count("nodes", 1..=MAX_NODES).map_or(base.nodes, |n| n as u32),
        server_kinds: if kinds.is_empty() { base.server_kinds } else { kinds },
        classes: if classes.is_empty() { base.classes } else { classes },
        load: top.table("load", |t| load(t, &base.load)).unwrap_or(base.load),
        clients: top.table("clients", |t| clients(t, &base.clients)).unwrap_or(base.clients),
        network: top.table("network", |t| network(t, &base.network)).unwrap_or(base.network),
        origin: top.table("origin", |t| origin(t, &base.origin)).unwrap_or(base.origin),
        discovery: top.table("discovery", |t| discovery(t, &base.discovery)).unwrap_or(base.discovery),
        front_detection_delay: top.time("front_notice", SHORT_TIME).unwrap_or(base.front_detection_delay),
        load_reports: top
            .table("reports", |t| load_reports(t, &base.load_reports))
            .unwrap_or(base.load_reports),
        rules: top.table("rules", |t| rules(t, &base.rules)).unwrap_or(base.rules),
        incidents: incidents(top, length, &zones),
        expectations: top.table("expect", expectations).unwrap_or_default(),
        zones,
    };
    check_server_count(top, &script);
    script
}

fn zones(top: &Table, base: Vec<String>) -> Vec<String> {
    let zones = top.texts("zones", "a list of names", is_name).unwrap_or(base);
    if zones.is_empty() || zones.len() > 16 {
        top.fault("zones", format!("expected 1 to 16 names, found {}", zones.len()));
    }
    zones
}

fn check_server_count(top: &Table, script: &Script) {
    let total: u64 = script.server_kinds.iter().map(|kind| u64::from(kind.count)).sum();
    if total > MAX_SERVERS {
        top.fault("box", format!("expected at most {MAX_SERVERS} boxes in total, found {total}"));
    }
}

fn server_kind(t: &Table) -> ServerKind {
    let base = ServerKind::default();
    let count = |name, max, base| t.count(name, 1..=max).map_or(base, |n| n as u32);
    ServerKind {
        name: t.need("name", t.text("name", NAME, is_name)),
        count: count("count", MAX_SERVERS, base.count),
        cores: count("cores", 256, base.cores),
        speed: t.number("speed", FACTOR).unwrap_or(base.speed),
        slots_per_core: count("slots_per_core", 1_000, base.slots_per_core),
        queue_per_core: count("queue_per_core", 100_000, base.queue_per_core),
        cache_entries: count("memory", 100_000_000, base.cache_entries),
        max_connections: count("connections", 1_000_000, base.max_connections),
        slow_start_min_fraction: t.number("cold", 0.01..=1.0).unwrap_or(base.slow_start_min_fraction),
        slow_start_work: t.time("warm_work", POSITIVE_TIME).unwrap_or(base.slow_start_work),
        slow_start_window: t.time("warm_within", POSITIVE_TIME).unwrap_or(base.slow_start_window),
        error_rate: t.number("errors", FRACTION).unwrap_or(base.error_rate),
        idle_timeout: t.time("idle", POSITIVE_TIME),
    }
}

fn class(t: &Table) -> Class {
    let class = Class {
        name: t.need("name", t.text("name", NAME, is_name)),
        share: t.number("share", 0.0001..=1.0).unwrap_or(1.0),
        mean_work: t.need("work", t.time("work", POSITIVE_TIME)),
        work_variation: t.number("spread", 0.0..=10.0).unwrap_or(0.6),
        latency_objective: t.need("aim", t.time("aim", POSITIVE_TIME)),
        deadline: t.need("deadline", t.time("deadline", POSITIVE_TIME)),
        priority_weight: t.number("worth", 0.0..=1e6).unwrap_or(1.0),
        late_weight_fraction: t.number("late_worth", FRACTION).unwrap_or(0.4),
        idempotency: idempotency(t),
        write: t.flag("write").unwrap_or(false),
    };
    if class.deadline < class.latency_objective {
        t.fault("deadline", "expected a time no shorter than the aim");
    }
    class
}

fn idempotency(t: &Table) -> Idempotency {
    let scopes = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
    let scope = t.one_of("scope", &["all", "zone", "cell"]).map_or(DeduplicationScope::All, |i| scopes[i]);
    let window = t.time("window", POSITIVE_TIME).unwrap_or(Duration::from_secs(5));
    match t.one_of("effect", &["safe", "keyed", "unsafe"]).unwrap_or(0) {
        0 => Idempotency::Idempotent,
        1 => Idempotency::WithKey { scope, window },
        _ => Idempotency::NotIdempotent,
    }
}

fn load(t: &Table, base: &Load) -> Load {
    Load {
        rate: t.number("rate", 0.1..=MAX_RATE).unwrap_or(base.rate),
        swing: t.number("swing", 0.0..=0.9).unwrap_or(base.swing),
        swing_period: t
            .time("swing_every", Duration::from_secs(1)..=Duration::from_secs(3_600))
            .unwrap_or(base.swing_period),
        keys: t.count("keys", 1..=10_000_000).map_or(base.keys, |n| n as u32),
        zipf_exponent: t.number("zipf", 0.0..=4.0).unwrap_or(base.zipf_exponent),
        first_zone_share: t.number("first_zone", FRACTION).unwrap_or(base.first_zone_share),
    }
}

fn clients(t: &Table, base: &Clients) -> Clients {
    Clients {
        max_retries: t.count("retries", 0..=20).map_or(base.max_retries, |n| n as u32),
        request_timeout_fraction: t.number("try_share", 0.05..=1.0).unwrap_or(base.request_timeout_fraction),
        backoff: t.time("backoff", SHORT_TIME).unwrap_or(base.backoff),
        retry_after_fraction: t.number("honour", FRACTION).unwrap_or(base.retry_after_fraction),
        max_retry_after: t.time("max_retry_after", SHORT_TIME).unwrap_or(base.max_retry_after),
        disconnect_fraction: t.number("impatient", FRACTION).unwrap_or(base.disconnect_fraction),
    }
}

fn network(t: &Table, base: &Network) -> Network {
    Network {
        same_zone_latency: t.time("same_zone", SHORT_TIME).unwrap_or(base.same_zone_latency),
        cross_zone_latency: t.time("cross_zone", SHORT_TIME).unwrap_or(base.cross_zone_latency),
        client_latency: t.time("client", SHORT_TIME).unwrap_or(base.client_latency),
        jitter: t.number("jitter", 0.0..=10.0).unwrap_or(base.jitter),
        handshake_round_trips: t
            .count("handshake_rtts", 1..=10)
            .map_or(base.handshake_round_trips, |n| n as u32),
        handshake_work: t.time("handshake_work", SHORT_TIME).unwrap_or(base.handshake_work),
        idle_timeout: t.time("idle", POSITIVE_TIME).unwrap_or(base.idle_timeout),
        connect_timeout: t.time("connect_timeout", POSITIVE_TIME).unwrap_or(base.connect_timeout),
    }
}

fn origin(t: &Table, base: &Origin) -> Origin {
    Origin {
        slots: t.count("slots", 1..=1_000_000).map_or(base.slots, |n| n as u32),
        mean_fetch_time: t.time("fetch", POSITIVE_TIME).unwrap_or(base.mean_fetch_time),
        fetch_variation: t.number("spread", 0.0..=10.0).unwrap_or(base.fetch_variation),
        queue_capacity: t.count("queue", 0..=1_000_000).map_or(base.queue_capacity, |n| n as u32),
        initially_cached_fraction: t.number("warm", FRACTION).unwrap_or(base.initially_cached_fraction),
    }
}

fn discovery(t: &Table, base: &Discovery) -> Discovery {
    Discovery {
        detection_delay: t.time("notice", SHORT_TIME).unwrap_or(base.detection_delay),
        lines_per_second: t.number("lines_per_s", 1.0..=1e9).unwrap_or(base.lines_per_second),
        call_lines: t.number("call_lines", 0.0..=1e6).unwrap_or(base.call_lines),
        call_timeout: t.time("timeout", POSITIVE_TIME).unwrap_or(base.call_timeout),
    }
}

fn load_reports(t: &Table, base: &LoadReports) -> LoadReports {
    LoadReports {
        interval: t
            .time("every", Duration::from_millis(1)..=Duration::from_secs(60))
            .unwrap_or(base.interval),
        delay: t.time("delay", SHORT_TIME).unwrap_or(base.delay),
        include_cache_result: t.flag("tell_misses").unwrap_or(base.include_cache_result),
    }
}

fn rules(t: &Table, base: &Rules) -> Rules {
    Rules {
        drain_grace: t.time("drain_grace", SHORT_TIME).unwrap_or(base.drain_grace),
        slow_start_overload_factor: t
            .number("fall_multiple", 1.0..=100.0)
            .unwrap_or(base.slow_start_overload_factor),
        slow_start_overload_window: t
            .time("fall_span", Duration::from_millis(10)..=Duration::from_secs(60))
            .unwrap_or(base.slow_start_overload_window),
        max_attempts: t.count("max_attempts", 1..=20).map_or(base.max_attempts, |n| n as u32),
    }
}

fn expectations(t: &Table) -> Expectations {
    Expectations {
        service: t.number("service", FRACTION),
        worst_window: t.number("worst_window", FRACTION),
        worst_class: t.number("worst_class", FRACTION),
        lost_attempts: t.count("attempts_lost", 0..=u64::MAX),
        faulty_attempts: t.count("attempts_bad", 0..=u64::MAX),
        connects: t.count("connects", 0..=u64::MAX),
        failed_list_calls: t.count("list_calls_failed", 0..=u64::MAX),
    }
}

const FAULT_KINDS: [&str; 18] = [
    "shrink",
    "deploy",
    "restart-nodes",
    "upgrade",
    "reload",
    "crash",
    "vanish",
    "pause",
    "errors",
    "delay",
    "loss",
    "resets",
    "half-open",
    "hot-keys",
    "surge",
    "slow-origin",
    "discovery-away",
    "discovery-breaks",
];

/// Returns whether faults of this kind affect cache servers or nodes, so that they can be limited to one
/// zone.
fn has_zone(kind: &str) -> bool {
    !matches!(kind, "hot-keys" | "surge" | "slow-origin" | "discovery-away" | "discovery-breaks")
}

fn incidents(top: &Table, length: Duration, zones: &[String]) -> Vec<Incident> {
    let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
    let mut latest = Duration::ZERO;
    let read = top.tables("incident", |t| {
        let at = t.need("at", t.time("at", Duration::ZERO..=length));
        if at < latest {
            t.fault(
                "at",
                format!("expected a time no earlier than the previous incident, \"{}\"", time_text(latest)),
            );
        }
        latest = latest.max(at);
        let duration = t.need("over", t.time("over", Duration::ZERO..=length));
        let kind = t.one_of("kind", &FAULT_KINDS);
        t.need("kind", kind.map(|_| ()));
        let kind = FAULT_KINDS[kind?];
        let zone = if has_zone(kind) { t.one_of("zone", &zones) } else { None };
        Some(Incident { at, duration, zone, fault: fault(t, kind) })
    });
    read.into_iter().flatten().collect()
}

fn fault(t: &Table, kind: &str) -> Fault {
    let share = || t.need("share", t.number("share", FRACTION));
    let factor = || t.need("factor", t.number("factor", FACTOR));
    let rate = || t.need("rate", t.number("rate", FRACTION));
    let drain = || t.time("drain", SHORT_TIME).unwrap_or(Duration::from_secs(4));
    let batch = || t.need("batch", t.number("batch", 0.001..=1.0));
    match kind {
        "shrink" => Fault::Shrink { share: share(), drain: drain() },
        "deploy" => Fault::Deploy {
            share: share(),
            batch: batch(),
            drain: drain(),
            same_address: t.flag("same_address").unwrap_or(false),
        },
        "restart-nodes" => Fault::RestartNodes {
            share: share(),
            batch: batch(),
            downtime: t.time("down", SHORT_TIME).unwrap_or(Duration::from_secs(1)),
            killed: t.flag("killed").unwrap_or(false),
        },
        "upgrade" => Fault::Upgrade { share: share(), batch: batch() },
        "reload" => {
            Fault::Reload { share: share(), times: t.count("times", 1..=10_000).map_or(1, |n| n as u32) }
        }
        "crash" => Fault::Crash { share: share() },
        "vanish" => Fault::Unreachable { share: share() },
        "pause" => Fault::Pause { share: share() },
        "errors" => Fault::Errors { share: share(), rate: rate() },
        "delay" => Fault::Delay { share: share(), extra: t.need("extra", t.time("extra", SHORT_TIME)) },
        "loss" => Fault::Loss { share: share(), rate: rate() },
        "resets" => Fault::Resets { share: share(), rate: rate() },
        "half-open" => Fault::HalfOpen { share: share() },
        "hot-keys" => {
            Fault::HotKeys { keys: t.count("keys", 1..=1_000).map_or(1, |n| n as u32), share: share() }
        }
        "surge" => Fault::Surge { factor: factor() },
        "slow-origin" => Fault::SlowOrigin { factor: factor() },
        "discovery-breaks" => Fault::DiscoveryErrors { rate: rate() },
        _ => Fault::DiscoveryOutage,
    }
}
