//! Writes the effective configuration as an operator's file. Reading that file gives the same effective
//! configuration.

use super::{discovery, VERSION};
use crate::config::{Config, HandoverConfig, Listener, Pool, Source, MEGABYTE};
use crate::endpoint_list::EndpointRecord;
use balancer_core::{DeduplicationScope, Idempotency, RequestClass, Settings};
use checked_toml::time_text;
use std::fmt::{Result, Write};
use std::time::Duration;

/// Returns the text of the effective configuration, including all defaults.
pub fn effective(config: &Config) -> String {
    let mut text = String::new();
    // Writing to a string never fails.
    let _ = write_config(&mut text, config);
    text
}

fn write_config(text: &mut String, config: &Config) -> Result {
    writeln!(text, "version = {VERSION}\nname = \"{}\"", config.name)?;
    // The settings written here are the same in all pools, so those of the first pool are used.
    let Some(settings) = config.pools.first().map(|pool| &pool.settings) else { return Ok(()) };
    if let Some(zone) = &settings.zone {
        writeln!(text, "zone = \"{zone}\"")?;
    }
    writeln!(text, "nodes = {}", settings.nodes)?;
    write_limits(text, config, settings)?;
    write_server_settings(text, settings)?;
    writeln!(text, "\n[log]\ntally = {}", config.tally)?;
    if let Some(handover) = &config.handover {
        write_handover(text, handover)?;
    }
    for Listener { name, address } in &config.listeners {
        writeln!(text, "\n[[listener]]\nname = \"{name}\"\naddress = \"{address}\"")?;
    }
    for pool in &config.pools {
        write_pool(text, pool)?;
    }
    for pool in &config.pools {
        for class in &pool.settings.classes {
            write_class(text, &pool.name, class)?;
        }
    }
    Ok(())
}

fn write_limits(text: &mut String, config: &Config, settings: &Settings) -> Result {
    writeln!(text, "\n[limits]\ndescriptors = {}", config.descriptors)?;
    writeln!(text, "memory_mb = {}", config.memory / MEGABYTE)?;
    writeln!(text, "max_attempts = {}", settings.max_attempts)?;
    writeln!(text, "second_copies = {}", settings.hedging_allowed)?;
    writeln!(text, "max_retry_after = {}", time(settings.max_retry_after))
}

fn write_server_settings(text: &mut String, settings: &Settings) -> Result {
    writeln!(text, "\n[servers]\nconnect_timeout = {}", time(settings.connect_timeout))?;
    writeln!(text, "idle = {}", time(settings.server_idle_timeout))?;
    writeln!(text, "weights_tell_speed = {}", settings.weights_reflect_speed)?;
    writeln!(text, "cold_share = {:?}", settings.slow_start_min_fraction)?;
    writeln!(text, "warm_within = {}", time(settings.slow_start_window))?;
    writeln!(text, "fall_multiple = {:?}", settings.slow_start_overload_factor)?;
    writeln!(text, "fall_span = {}", time(settings.slow_start_overload_window))
}

fn write_handover(text: &mut String, handover: &HandoverConfig) -> Result {
    let HandoverConfig { socket, step_timeout, probation, backoff } = handover;
    let socket = socket.display().to_string();
    writeln!(text, "\n[hand_over]\nsocket = {socket:?}\nwithin = {}", time(*step_timeout))?;
    writeln!(text, "probation = {}\nbar = {}", time(*probation), time(*backoff))
}

fn write_pool(text: &mut String, pool: &Pool) -> Result {
    writeln!(text, "\n[[pool]]\nname = \"{}\"", pool.name)?;
    match &pool.source {
        Source::Discovery(replicas) => discovery::write(text, replicas)?,
        Source::File(path) => writeln!(text, "file = {:?}", path.display().to_string())?,
        Source::Fixed => {}
    }
    for server in &pool.configured_list.endpoints {
        write_server(text, server)?;
    }
    Ok(())
}

fn write_server(text: &mut String, server: &EndpointRecord) -> Result {
    writeln!(text, "[[pool.server]]\nname = \"{}\"", server.id)?;
    if let Some(address) = server.address {
        writeln!(text, "address = \"{address}\"")?;
    }
    for (key, value) in [("zone", &server.zone), ("kind", &server.kind)] {
        if let Some(value) = value {
            writeln!(text, "{key} = \"{value}\"")?;
        }
    }
    if let Some(cell) = server.cell {
        writeln!(text, "cell = {cell}")?;
    }
    writeln!(text, "health = \"{}\"\nweight = {:?}", server.state, server.weight.unwrap_or(1.0))
}

fn write_class(text: &mut String, pool: &str, class: &RequestClass) -> Result {
    writeln!(text, "\n[[class]]\nname = \"{}\"\npool = \"{pool}\"", class.name)?;
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
    writeln!(text, "aim = {}", time(class.latency_objective))?;
    writeln!(text, "deadline = {}", time(class.deadline))?;
    writeln!(text, "worth = {:?}", class.priority_weight)?;
    writeln!(text, "late_worth = {:?}", class.late_weight_fraction)
}

fn time(time: Duration) -> String {
    format!("\"{}\"", time_text(time))
}
