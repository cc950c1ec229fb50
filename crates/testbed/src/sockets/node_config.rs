//! Writes the configuration of a node, either in the platform's JSON format or as an operator's TOML file.

use super::context::Context;
use super::node::Node;
use crate::fleet;
use crate::script::Class;
use balancer_core::{DeduplicationScope, Idempotency};
use checked_toml::time_text;
use serde_json::{json, Value};
use std::time::Duration;

/// Maximum number of file descriptors of a node.
const MAX_DESCRIPTORS: u32 = 1024;

/// Returns the text of a node's current configuration file.
pub(super) fn text(context: &Context, node: usize) -> String {
    if context.script.uses_operator_file() {
        operator_file(context, node)
    } else {
        platform_config(context, node).to_string()
    }
}

/// Returns the seed of an incarnation of a node.
fn seed(context: &Context, node: usize, incarnation: u32) -> u64 {
    context.random.derive(node as u64).derive(u64::from(incarnation)).bits()
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}

fn platform_config(context: &Context, node: usize) -> Value {
    let script = &context.script;
    let nodes = context.nodes.borrow();
    let Node { discovery, listen, incarnation, start_list, .. } = &nodes[node];
    let zone = fleet::node_zone(script, node);
    let settings = fleet::node_settings(script, zone);
    let classes: Vec<_> = script.classes.iter().map(platform_class).collect();
    json!({
        "name": format!("n{node}"),
        "listen": listen.to_string(),
        "discovery": discovery.to_string(),
        "seed": format!("{:016x}", seed(context, node, *incarnation)),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": MAX_DESCRIPTORS},
        "known": start_list,
        "settings": {
            "az": script.zones[zone],
            "zones": script.zones,
            "balancers": script.nodes,
            "membership_mode": "subscribe",
            "orgs": [],
            "lanes": classes,
            "limits": {
                "connect_timeout_us": micros(settings.connect_timeout),
                "keepalive_us": micros(settings.server_idle_timeout),
                "most_tries": settings.max_attempts,
                "cancelling": true,
                "retry_after": true,
                "max_retry_after_us": micros(settings.max_retry_after),
                "second_copies": true,
                "probing": false,
            },
            "safety": {
                "cold_share": settings.slow_start_min_fraction,
                "warm_within_us": micros(settings.slow_start_window),
                "fall_multiple": settings.slow_start_overload_factor,
                "fall_us": micros(settings.slow_start_overload_window),
            },
        },
    })
}

fn platform_class(class: &Class) -> Value {
    let (effect, scope, window) = match class.idempotency {
        Idempotency::Idempotent => ("safe", DeduplicationScope::All, Duration::ZERO),
        Idempotency::WithKey { scope, window } => ("keyed", scope, window),
        Idempotency::NotIdempotent => ("unsafe", DeduplicationScope::All, Duration::ZERO),
    };
    json!({
        "name": class.name,
        "effect": effect,
        "dedup_scope": scope_name(scope),
        "repeat_window_us": micros(window),
        "promise_us": micros(class.latency_objective),
        "hard_limit_us": micros(class.deadline),
        "worth": class.priority_weight,
        "late_value": class.late_weight_fraction,
    })
}

fn scope_name(scope: DeduplicationScope) -> &'static str {
    match scope {
        DeduplicationScope::All => "all",
        DeduplicationScope::Zone => "zone",
        DeduplicationScope::Cell => "cell",
    }
}

/// Formats a time as a string of an operator's file, with its quotes.
fn quoted_time(time: Duration) -> String {
    format!("\"{}\"", time_text(time))
}

/// Returns the text of an operator's file. After an odd number of reloads the classes are in reverse order
/// and there is an additional listener, so that each reload changes the configuration.
fn operator_file(context: &Context, node: usize) -> String {
    let script = &context.script;
    let nodes = context.nodes.borrow();
    let Node { discovery, listen, incarnation, reloads, config_file, .. } = &nodes[node];
    let zone = fleet::node_zone(script, node);
    let settings = fleet::node_settings(script, zone);
    let changed = reloads % 2 == 1;
    let mut classes: Vec<_> = script.classes.iter().map(class_table).collect();
    if changed {
        classes.reverse();
    }
    let more_listeners =
        if changed { "[[listener]]\nname = \"further\"\naddress = \"127.0.0.1:0\"\n" } else { "" };
    format!(
        "version = 1\nname = \"n{node}\"\nzone = \"{zone}\"\nnodes = {count}\nseed = {seed}\n\
         [limits]\ndescriptors = {MAX_DESCRIPTORS}\nmax_attempts = {attempts}\nmax_retry_after = {retry_after}\n\
         [servers]\nconnect_timeout = {connect}\nidle = {idle}\ncold_share = {cold:?}\nwarm_within = {warm}\n\
         fall_multiple = {factor:?}\nfall_span = {window}\n\
         [hand_over]\nsocket = {socket:?}\nwithin = \"10s\"\nprobation = \"2s\"\n\
         [[listener]]\nname = \"clients\"\naddress = \"{listen}\"\n{more_listeners}\
         [[pool]]\nname = \"boxes\"\ndiscovery = \"{discovery}\"\n{classes}",
        zone = script.zones[zone],
        count = script.nodes,
        // TOML integers are signed, so the seed must fit into 63 bits.
        seed = seed(context, node, *incarnation) >> 1,
        attempts = settings.max_attempts,
        retry_after = quoted_time(settings.max_retry_after),
        connect = quoted_time(settings.connect_timeout),
        idle = quoted_time(settings.server_idle_timeout),
        cold = settings.slow_start_min_fraction,
        warm = quoted_time(settings.slow_start_window),
        factor = settings.slow_start_overload_factor,
        window = quoted_time(settings.slow_start_overload_window),
        socket = config_file.with_extension("sock").display().to_string(),
        classes = classes.concat(),
    )
}

/// Returns the `[[class]]` table of an operator's file.
pub(crate) fn class_table(class: &Class) -> String {
    let effect = match class.idempotency {
        Idempotency::Idempotent => "\"safe\"".to_owned(),
        Idempotency::NotIdempotent => "\"unsafe\"".to_owned(),
        Idempotency::WithKey { scope, window } => {
            let scope = scope_name(scope);
            format!("\"keyed\"\nscope = \"{scope}\"\nwindow = {}", quoted_time(window))
        }
    };
    format!(
        "[[class]]\nname = {name:?}\neffect = {effect}\naim = {objective}\ndeadline = {deadline}\n\
         worth = {weight:?}\nlate_worth = {late:?}\n",
        name = class.name,
        objective = quoted_time(class.latency_objective),
        deadline = quoted_time(class.deadline),
        weight = class.priority_weight,
        late = class.late_weight_fraction,
    )
}
