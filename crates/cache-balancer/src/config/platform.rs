//! The platform's configuration: the file that `LB_CONFIG` names, and environment variables that override its
//! values.

use super::{Config, DiscoveryReplicas, Listener, Pool, Source, MEGABYTE, MIN_DESCRIPTORS};
use crate::endpoint_list::EndpointList;
use crate::memory::default_limit;
use balancer_core::platform::{read_settings, PlatformError};
use serde::Deserialize;
use serde_json::Value;
use std::path::PathBuf;
use thiserror::Error;

/// An error in the platform's configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("LB_CONFIG is not set")]
    NoPath,
    #[error("cannot read {0}: {1}")]
    Unreadable(PathBuf, std::io::Error),
    #[error("{0} is not a configuration: {1}")]
    Malformed(PathBuf, serde_json::Error),
    #[error("settings.{0}")]
    Settings(#[from] PlatformError),
    #[error("settings.lanes: expected a list of one class or more, found none")]
    NoClass,
    #[error("{0} is not an address and port: {1}")]
    Address(&'static str, String),
    #[error("the configuration's seed is not a hexadecimal number: {0}")]
    Seed(String),
    #[error("limits.sockets: expected at least {MIN_DESCRIPTORS}, found {0}")]
    Sockets(usize),
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: Option<usize>,
}

/// The variable that overrides the file's `discovery` at the start. A reload uses the file's value, because a
/// process keeps the environment that it was started with, and the variable may be out of date.
pub const DISCOVERY: &str = "LB_DISCOVERY";

/// Reads the file that `LB_CONFIG` names. Other variables override its values.
pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let path = PathBuf::from(variable("LB_CONFIG").ok_or(ConfigError::NoPath)?);
    let text = std::fs::read(&path).map_err(|error| ConfigError::Unreadable(path.clone(), error))?;
    let file: File =
        serde_json::from_slice(&text).map_err(|error| ConfigError::Malformed(path.clone(), error))?;
    let address = |name: &'static str, file_value: String| {
        let text = variable(name).unwrap_or(file_value);
        text.parse().map_err(|_| ConfigError::Address(name, text))
    };
    let sockets = file.limits.sockets;
    if sockets < MIN_DESCRIPTORS {
        return Err(ConfigError::Sockets(sockets));
    }
    let mut pairs = Vec::new();
    flatten(String::new(), &file.settings, &mut pairs);
    let settings = read_settings(&pairs)?;
    if settings.classes.is_empty() {
        return Err(ConfigError::NoClass);
    }
    let pool = Pool {
        name: "pool".into(),
        source: Source::Discovery(DiscoveryReplicas::single(address(DISCOVERY, file.discovery)?)),
        configured_list: file.known,
        settings,
    };
    Ok(Config {
        name: variable("LB_NAME").unwrap_or(file.name),
        listeners: vec![Listener { name: "clients".into(), address: address("LB_LISTEN", file.listen)? }],
        seed: u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?,
        descriptors: sockets,
        memory: file.limits.memory_mb.map_or_else(default_limit, |mb| mb.saturating_mul(MEGABYTE)),
        pools: vec![pool],
        handover: None,
        // The `aggregate` command adds up these lines over the whole fleet.
        tally: true,
    })
}

/// Flattens nested JSON into pairs of path and value, the form in which the simulator sends settings.
fn flatten(path: String, value: &Value, pairs: &mut Vec<(String, String)>) {
    let join = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Null => {}
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(join(name), value, pairs);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((join("count"), items.len().to_string()));
            for (i, item) in items.iter().enumerate() {
                flatten(join(&i.to_string()), item, pairs);
            }
        }
        Value::Array(items) => {
            let items: Vec<_> = items.iter().map(scalar_text).collect();
            pairs.push((path, items.join(",")));
        }
        _ => pairs.push((path, scalar_text(value))),
    }
}

fn scalar_text(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
