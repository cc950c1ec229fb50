//! The fleet of a script: who sits where, and what nodes are told of it.

use crate::script::{Kind, Script};
use balancer_core::{Endpoint, EndpointState, RequestClass, ServerId, Settings, Timestamp};

/// Cache servers that share their memory of keyed repeats.
const CELL: usize = 8;

/// How many seats there are, each with one cache server or none.
pub fn seats(script: &Script) -> usize {
    script.boxes.iter().map(|kind| kind.count as usize).sum()
}

/// The kind of cache server that sits here.
pub fn kind(script: &Script, seat: usize) -> &Kind {
    let mut before = 0;
    let found = script.boxes.iter().find(|kind| {
        before += kind.count as usize;
        seat < before
    });
    // A script has at least one kind, and a seat beyond them all is none of its.
    found.unwrap_or(&script.boxes[0])
}

/// The zone of a seat.
pub fn zone(script: &Script, seat: usize) -> usize {
    seat % script.zones.len()
}

/// The cell of a seat.
pub fn cell(seat: usize) -> u64 {
    (seat / CELL) as u64
}

/// The id of a seat's cache server, after so many others that sat there.
pub fn name(script: &Script, seat: usize, before: usize) -> String {
    let kind = kind(script, seat).name.replace(' ', "_");
    match before {
        0 => format!("{kind}-{seat}"),
        _ => format!("{kind}-{seat}.{before}"),
    }
}

/// A cache server as discovery lists it.
pub fn entry(
    script: &Script,
    id: ServerId,
    seat: usize,
    availability: EndpointState,
    started: Option<Timestamp>,
) -> Endpoint {
    let kind = kind(script, seat);
    Endpoint {
        id,
        zone: Some(script.zones[zone(script, seat)].as_str().into()),
        kind: Some(kind.name.as_str().into()),
        cell: cell(seat),
        state: availability,
        weight: f64::from(kind.cores) * kind.speed,
        started_at: started,
    }
}

/// What a node in this zone is told at its start.
pub fn settings(script: &Script, zone: usize) -> Settings {
    let boxes = &script.boxes;
    let classes = script.classes.iter().map(|class| RequestClass {
        name: class.name.as_str().into(),
        idempotency: class.effect,
        latency_objective: class.aim,
        deadline: class.deadline,
        priority_weight: class.worth,
        late_weight_fraction: class.late_worth,
    });
    Settings {
        zone: Some(script.zones[zone].as_str().into()),
        nodes: script.nodes,
        classes: classes.collect(),
        discovery_is_polled: true,
        max_attempts: script.rules.max_attempts,
        hedging_allowed: true,
        cancellation_allowed: true,
        max_retry_after: script.clients.max_retry_after,
        connect_timeout: script.network.connect_timeout,
        server_idle_timeout: script.network.idle,
        slow_start_min_fraction: boxes.iter().map(|kind| kind.cold).fold(1.0, f64::min),
        slow_start_window: boxes.iter().map(|kind| kind.warm_within).max().unwrap_or_default(),
        slow_start_overload_factor: script.rules.fall_multiple,
        slow_start_overload_window: script.rules.fall_span,
        ..Settings::default()
    }
}
