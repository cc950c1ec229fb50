//! The fleet of a script: the kind, zone and cell of each cache server, and the settings of each node.
//!
//! Each cache server has an index, starting at 0. A successor has the index of the server that it replaces.

use crate::script::{Script, ServerKind};
use balancer_core::{Endpoint, EndpointState, RequestClass, ServerId, Settings, Timestamp};

/// The number of cache servers in a cell. The servers of a cell share their record of idempotency keys.
const SERVERS_PER_CELL: usize = 8;

/// Returns the number of cache servers at the start.
pub fn server_count(script: &Script) -> usize {
    script.server_kinds.iter().map(|kind| kind.count as usize).sum()
}

/// Returns the kind of the cache server with this index.
pub fn server_kind(script: &Script, index: usize) -> &ServerKind {
    let mut end = 0;
    let found = script.server_kinds.iter().find(|kind| {
        end += kind.count as usize;
        index < end
    });
    // A script has at least one kind, and every index belongs to one.
    found.unwrap_or(&script.server_kinds[0])
}

/// Returns the zone of the cache server with this index.
pub fn server_zone(script: &Script, index: usize) -> usize {
    index % script.zones.len()
}

/// Returns the zone of a node.
pub fn node_zone(script: &Script, node: usize) -> usize {
    node % script.zones.len()
}

/// Returns the cell of the cache server with this index.
pub fn server_cell(index: usize) -> u64 {
    (index / SERVERS_PER_CELL) as u64
}

/// Returns the id of the cache server with this index and this number of predecessors.
pub fn server_name(script: &Script, index: usize, predecessors: usize) -> String {
    let kind = server_kind(script, index).name.replace(' ', "_");
    match predecessors {
        0 => format!("{kind}-{index}"),
        _ => format!("{kind}-{index}.{predecessors}"),
    }
}

/// Returns the entry of a cache server in the endpoint list of discovery.
pub fn endpoint(
    script: &Script,
    id: ServerId,
    index: usize,
    state: EndpointState,
    started_at: Option<Timestamp>,
) -> Endpoint {
    let kind = server_kind(script, index);
    Endpoint {
        id,
        zone: Some(script.zones[server_zone(script, index)].as_str().into()),
        kind: Some(kind.name.as_str().into()),
        cell: server_cell(index),
        state,
        weight: server_weight(kind),
        started_at,
    }
}

/// Returns the weight of a cache server of this kind, which is its capacity in standard cores.
pub fn server_weight(kind: &ServerKind) -> f64 {
    f64::from(kind.cores) * kind.speed
}

/// Returns the settings of a node in this zone.
pub fn node_settings(script: &Script, zone: usize) -> Settings {
    let kinds = &script.server_kinds;
    let classes = script.classes.iter().map(|class| RequestClass {
        name: class.name.as_str().into(),
        idempotency: class.idempotency,
        latency_objective: class.latency_objective,
        deadline: class.deadline,
        priority_weight: class.priority_weight,
        late_weight_fraction: class.late_weight_fraction,
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
        server_idle_timeout: script.network.idle_timeout,
        slow_start_min_fraction: kinds.iter().map(|kind| kind.slow_start_min_fraction).fold(1.0, f64::min),
        slow_start_window: kinds.iter().map(|kind| kind.slow_start_window).max().unwrap_or_default(),
        slow_start_overload_factor: script.rules.slow_start_overload_factor,
        slow_start_overload_window: script.rules.slow_start_overload_window,
        ..Settings::default()
    }
}
