//! A script's file: TOML to [`Script`], with the ranges that make sense.

use super::*;
use balancer_core::DeduplicationScope;
use checked_toml::{time_text, Document, Fault, Table};
use std::ops::RangeInclusive;

const INSTANT: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_secs(60);
const SOME_TIME: RangeInclusive<Duration> = Duration::from_micros(1)..=Duration::from_secs(3_600);
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
const FACTOR: RangeInclusive<f64> = 0.01..=100.0;
/// Nodes that the player in virtual time takes; [`crate::live::MOST_NODES`] is that of the player on sockets.
const MOST_NODES: u64 = 10_000;
/// More than one machine can stand in for.
const MOST_BOXES: u64 = 4_000;
const MOST_RATE: f64 = 20_000.0;

impl Script {
    /// Reads a script's text. `file` is what faults call it; all of them come, in the order of their lines.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        Document::read(file, text, script)
    }
}

fn named(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= 64
        && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_ +".contains(&b))
}

const NAME: &str = "a name of up to 64 letters, digits, spaces, '-', '_' and '+'";

fn script(top: &Table) -> Script {
    let base = Script::default();
    let version = top.need("version", top.count("version", VERSION..=VERSION));
    let _ = version;
    let length =
        top.time("length", Duration::from_secs(1)..=Duration::from_secs(3_600)).unwrap_or(base.length);
    let zones = top.texts("zones", "a list of names", named).unwrap_or(base.zones.clone());
    if zones.is_empty() || zones.len() > 16 {
        top.fault("zones", format!("expected 1 to 16 names, found {}", zones.len()));
    }
    let boxes = top.tables("box", kind);
    let classes = top.tables("class", class);
    let script = Script {
        name: top.need("name", top.text("name", NAME, named)),
        about: top.text("about", "text", |_| true).unwrap_or_default(),
        seed: top.count("seed", 0..=u64::MAX).unwrap_or(base.seed),
        length,
        zones: zones.clone(),
        nodes: top.count("nodes", 1..=MOST_NODES).map_or(base.nodes, |n| n as u32),
        boxes: if boxes.is_empty() { base.boxes } else { boxes },
        classes: if classes.is_empty() { base.classes } else { classes },
        load: top.table("load", |t| load(t, &base.load)).unwrap_or(base.load),
        clients: top.table("clients", |t| clients(t, &base.clients)).unwrap_or(base.clients),
        network: top.table("network", |t| network(t, &base.network)).unwrap_or(base.network),
        origin: top.table("origin", |t| origin(t, &base.origin)).unwrap_or(base.origin),
        discovery: top.table("discovery", |t| discovery(t, &base.discovery)).unwrap_or(base.discovery),
        front_notice: top.time("front_notice", INSTANT).unwrap_or(base.front_notice),
        reports: top.table("reports", |t| reports(t, &base.reports)).unwrap_or(base.reports),
        rules: top.table("rules", |t| rules(t, &base.rules)).unwrap_or(base.rules),
        incidents: incidents(top, length, &zones),
        expect: top.table("expect", expect).unwrap_or_default(),
    };
    let total: u64 = script.boxes.iter().map(|kind| u64::from(kind.count)).sum();
    if total > MOST_BOXES {
        top.fault("box", format!("expected {MOST_BOXES} boxes at the most, found {total}"));
    }
    script
}

fn kind(t: &Table) -> Kind {
    let base = Kind::default();
    let count = |name, most, base| t.count(name, 1..=most).map_or(base, |n| n as u32);
    Kind {
        name: t.need("name", t.text("name", NAME, named)),
        count: count("count", MOST_BOXES, base.count),
        cores: count("cores", 256, base.cores),
        speed: t.number("speed", FACTOR).unwrap_or(base.speed),
        slots_per_core: count("slots_per_core", 1_000, base.slots_per_core),
        queue_per_core: count("queue_per_core", 100_000, base.queue_per_core),
        memory: count("memory", 100_000_000, base.memory),
        connections: count("connections", 1_000_000, base.connections),
        cold: t.number("cold", 0.01..=1.0).unwrap_or(base.cold),
        warm_work: t.time("warm_work", SOME_TIME).unwrap_or(base.warm_work),
        warm_within: t.time("warm_within", SOME_TIME).unwrap_or(base.warm_within),
        errors: t.number("errors", SHARE).unwrap_or(base.errors),
        idle: t.time("idle", SOME_TIME),
    }
}

fn class(t: &Table) -> Class {
    let effects = ["safe", "keyed", "unsafe"];
    let scopes = [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];
    let scope = t.word("scope", &["all", "zone", "cell"]).map_or(DeduplicationScope::All, |i| scopes[i]);
    let window = t.time("window", SOME_TIME).unwrap_or(Duration::from_secs(5));
    let class = Class {
        name: t.need("name", t.text("name", NAME, named)),
        share: t.number("share", 0.0001..=1.0).unwrap_or(1.0),
        work: t.need("work", t.time("work", SOME_TIME)),
        spread: t.number("spread", 0.0..=10.0).unwrap_or(0.6),
        aim: t.need("aim", t.time("aim", SOME_TIME)),
        deadline: t.need("deadline", t.time("deadline", SOME_TIME)),
        worth: t.number("worth", 0.0..=1e6).unwrap_or(1.0),
        late_worth: t.number("late_worth", SHARE).unwrap_or(0.4),
        effect: match t.word("effect", &effects).unwrap_or(0) {
            0 => Idempotency::Idempotent,
            1 => Idempotency::WithKey { scope, window },
            _ => Idempotency::NotIdempotent,
        },
        write: t.flag("write").unwrap_or(false),
    };
    if class.deadline < class.aim {
        t.fault("deadline", "expected a time no shorter than the aim");
    }
    class
}

fn load(t: &Table, base: &Load) -> Load {
    Load {
        rate: t.number("rate", 0.1..=MOST_RATE).unwrap_or(base.rate),
        swing: t.number("swing", 0.0..=0.9).unwrap_or(base.swing),
        swing_every: t
            .time("swing_every", Duration::from_secs(1)..=Duration::from_secs(3_600))
            .unwrap_or(base.swing_every),
        keys: t.count("keys", 1..=10_000_000).map_or(base.keys, |n| n as u32),
        zipf: t.number("zipf", 0.0..=4.0).unwrap_or(base.zipf),
        first_zone: t.number("first_zone", SHARE).unwrap_or(base.first_zone),
    }
}

fn clients(t: &Table, base: &Clients) -> Clients {
    Clients {
        retries: t.count("retries", 0..=20).map_or(base.retries, |n| n as u32),
        try_share: t.number("try_share", 0.05..=1.0).unwrap_or(base.try_share),
        backoff: t.time("backoff", INSTANT).unwrap_or(base.backoff),
        honour: t.number("honour", SHARE).unwrap_or(base.honour),
        max_retry_after: t.time("max_retry_after", INSTANT).unwrap_or(base.max_retry_after),
        impatient: t.number("impatient", SHARE).unwrap_or(base.impatient),
    }
}

fn network(t: &Table, base: &Network) -> Network {
    Network {
        same_zone: t.time("same_zone", INSTANT).unwrap_or(base.same_zone),
        cross_zone: t.time("cross_zone", INSTANT).unwrap_or(base.cross_zone),
        client: t.time("client", INSTANT).unwrap_or(base.client),
        jitter: t.number("jitter", 0.0..=10.0).unwrap_or(base.jitter),
        handshake_rtts: t.count("handshake_rtts", 1..=10).map_or(base.handshake_rtts, |n| n as u32),
        handshake_work: t.time("handshake_work", INSTANT).unwrap_or(base.handshake_work),
        idle: t.time("idle", SOME_TIME).unwrap_or(base.idle),
        connect_timeout: t.time("connect_timeout", SOME_TIME).unwrap_or(base.connect_timeout),
    }
}

fn origin(t: &Table, base: &Origin) -> Origin {
    Origin {
        slots: t.count("slots", 1..=1_000_000).map_or(base.slots, |n| n as u32),
        fetch: t.time("fetch", SOME_TIME).unwrap_or(base.fetch),
        spread: t.number("spread", 0.0..=10.0).unwrap_or(base.spread),
        queue: t.count("queue", 0..=1_000_000).map_or(base.queue, |n| n as u32),
        warm: t.number("warm", SHARE).unwrap_or(base.warm),
    }
}

fn discovery(t: &Table, base: &Discovery) -> Discovery {
    Discovery {
        notice: t.time("notice", INSTANT).unwrap_or(base.notice),
        lines_per_s: t.number("lines_per_s", 1.0..=1e9).unwrap_or(base.lines_per_s),
        call_lines: t.number("call_lines", 0.0..=1e6).unwrap_or(base.call_lines),
        timeout: t.time("timeout", SOME_TIME).unwrap_or(base.timeout),
    }
}

fn reports(t: &Table, base: &Reports) -> Reports {
    Reports {
        every: t.time("every", Duration::from_millis(1)..=Duration::from_secs(60)).unwrap_or(base.every),
        delay: t.time("delay", INSTANT).unwrap_or(base.delay),
        tell_misses: t.flag("tell_misses").unwrap_or(base.tell_misses),
    }
}

fn rules(t: &Table, base: &Rules) -> Rules {
    Rules {
        drain_grace: t.time("drain_grace", INSTANT).unwrap_or(base.drain_grace),
        fall_multiple: t.number("fall_multiple", 1.0..=100.0).unwrap_or(base.fall_multiple),
        fall_span: t
            .time("fall_span", Duration::from_millis(10)..=Duration::from_secs(60))
            .unwrap_or(base.fall_span),
        max_attempts: t.count("max_attempts", 1..=20).map_or(base.max_attempts, |n| n as u32),
    }
}

fn expect(t: &Table) -> Expect {
    Expect {
        service: t.number("service", SHARE),
        worst_window: t.number("worst_window", SHARE),
        worst_class: t.number("worst_class", SHARE),
        attempts_lost: t.count("attempts_lost", 0..=u64::MAX),
        attempts_bad: t.count("attempts_bad", 0..=u64::MAX),
        connects: t.count("connects", 0..=u64::MAX),
        list_calls_failed: t.count("list_calls_failed", 0..=u64::MAX),
    }
}

const KINDS: [&str; 18] = [
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

/// Those that strike a share of the cache servers or nodes, and may be told to strike one zone's.
fn has_place(kind: &str) -> bool {
    !matches!(kind, "hot-keys" | "surge" | "slow-origin" | "discovery-away" | "discovery-breaks")
}

fn incidents(top: &Table, length: Duration, zones: &[String]) -> Vec<Incident> {
    let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
    let mut before = Duration::ZERO;
    let read = top.tables("incident", |t| {
        let at = t.need("at", t.time("at", Duration::ZERO..=length));
        if at < before {
            t.fault(
                "at",
                format!("expected a time no earlier than the incident before, \"{}\"", time_text(before)),
            );
        }
        before = before.max(at);
        let over = t.need("over", t.time("over", Duration::ZERO..=length));
        let kind = t.word("kind", &KINDS);
        t.need("kind", kind.map(|_| ()));
        let kind = kind?;
        let zone = if has_place(KINDS[kind]) { t.word("zone", &zones) } else { None };
        Some(Incident { at, over, zone, what: trouble(t, kind) })
    });
    read.into_iter().flatten().collect()
}

fn trouble(t: &Table, kind: usize) -> Trouble {
    let share = || t.need("share", t.number("share", SHARE));
    let factor = || t.need("factor", t.number("factor", FACTOR));
    let rate = || t.need("rate", t.number("rate", SHARE));
    let drain = || t.time("drain", INSTANT).unwrap_or(Duration::from_secs(4));
    let batch = || t.need("batch", t.number("batch", 0.001..=1.0));
    match KINDS[kind] {
        "shrink" => Trouble::Shrink { share: share(), drain: drain() },
        "deploy" => Trouble::Deploy {
            share: share(),
            batch: batch(),
            drain: drain(),
            same_address: t.flag("same_address").unwrap_or(false),
        },
        "restart-nodes" => Trouble::RestartNodes {
            share: share(),
            batch: batch(),
            down: t.time("down", INSTANT).unwrap_or(Duration::from_secs(1)),
            killed: t.flag("killed").unwrap_or(false),
        },
        "upgrade" => Trouble::Upgrade { share: share(), batch: batch() },
        "reload" => {
            Trouble::Reload { share: share(), times: t.count("times", 1..=10_000).map_or(1, |n| n as u32) }
        }
        "crash" => Trouble::Crash { share: share() },
        "vanish" => Trouble::Vanish { share: share() },
        "pause" => Trouble::Pause { share: share() },
        "errors" => Trouble::Errors { share: share(), rate: rate() },
        "delay" => Trouble::Delay { share: share(), extra: t.need("extra", t.time("extra", INSTANT)) },
        "loss" => Trouble::Loss { share: share(), rate: rate() },
        "resets" => Trouble::Resets { share: share(), rate: rate() },
        "half-open" => Trouble::HalfOpen { share: share() },
        "hot-keys" => {
            Trouble::HotKeys { keys: t.count("keys", 1..=1_000).map_or(1, |n| n as u32), share: share() }
        }
        "surge" => Trouble::Surge { factor: factor() },
        "slow-origin" => Trouble::SlowOrigin { factor: factor() },
        "discovery-breaks" => Trouble::DiscoveryBreaks { rate: rate() },
        _ => Trouble::DiscoveryAway,
    }
}
