//! The fleet of a script: who sits where, and what nodes are told of it.

use crate::script::{Kind, Script};
use decide::{Availability, Class, ServerEntry, ServerId, Settings, Timestamp};

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
    availability: Availability,
    started: Option<Timestamp>,
) -> ServerEntry {
    let kind = kind(script, seat);
    ServerEntry {
        id,
        zone: Some(script.zones[zone(script, seat)].as_str().into()),
        kind: Some(kind.name.as_str().into()),
        cell: cell(seat),
        availability,
        weight: f64::from(kind.cores) * kind.speed,
        started,
    }
}

/// What a node in this zone is told at its start.
pub fn settings(script: &Script, zone: usize) -> Settings {
    let boxes = &script.boxes;
    let classes = script.classes.iter().map(|class| Class {
        name: class.name.as_str().into(),
        effect: class.effect,
        aim: class.aim,
        deadline: class.deadline,
        worth: class.worth,
        late_worth: class.late_worth,
    });
    Settings {
        zone: Some(script.zones[zone].as_str().into()),
        nodes: script.nodes,
        classes: classes.collect(),
        must_follow: true,
        max_attempts: script.rules.max_attempts,
        second_copies: true,
        cancelling: true,
        max_retry_after: script.clients.max_retry_after,
        connect_timeout: script.network.connect_timeout,
        keepalive: script.network.idle,
        cold_share: boxes.iter().map(|kind| kind.cold).fold(1.0, f64::min),
        warm_within: boxes.iter().map(|kind| kind.warm_within).max().unwrap_or_default(),
        fall_multiple: script.rules.fall_multiple,
        fall_span: script.rules.fall_span,
        ..Settings::default()
    }
}
