//! Compares two configurations: which listeners and pools are kept, and which differences are logged.
//! Performs no I/O.

use crate::config::{Config, DiscoveryReplicas, Listener, Pool, Source, MEGABYTE};
use balancer_core::discovery::ReplicaCapacity;
use balancer_core::{RequestClass, Settings};
use std::fmt;
use std::net::SocketAddr;

/// The differences between the current configuration and a new one.
#[derive(Debug, PartialEq, Eq)]
pub struct Change {
    /// For each listener of the new configuration, the index of the current listener that it keeps, if any.
    pub listeners: Vec<Option<usize>>,
    /// For each pool of the new configuration, the index of the current pool that it keeps, if any.
    pub pools: Vec<Option<usize>>,
    differences: Vec<Difference>,
}

impl Change {
    /// Compares two configurations. Listeners are matched by [`Listener::is_same_socket`]. Pools are matched
    /// by name, so that a pool keeps the learned state of its servers when the source of its endpoint list
    /// changes.
    pub fn between(current: &Config, new: &Config) -> Self {
        let same_listener =
            |listener: &Listener| current.listeners.iter().position(|other| listener.is_same_socket(other));
        let same_pool = |pool: &Pool| current.pools.iter().position(|other| other.name == pool.name);
        let mut change = Self {
            listeners: new.listeners.iter().map(same_listener).collect(),
            pools: new.pools.iter().map(same_pool).collect(),
            differences: Vec::new(),
        };
        change.compare_listeners(current, new);
        change.compare_pools(current, new);
        change.compare_classes(current, new);
        change.compare_general(current, new);
        change
    }

    fn compare_listeners(&mut self, current: &Config, new: &Config) {
        let names = |config: &Config| config.listeners.iter().map(|listener| listener.name.clone()).collect();
        let differences = additions_and_removals(Item::Listener, &self.listeners, names(current), names(new));
        self.differences.extend(differences);
    }

    fn compare_pools(&mut self, current: &Config, new: &Config) {
        let names = |config: &Config| config.pools.iter().map(|pool| pool.name.clone()).collect();
        let differences = additions_and_removals(Item::Pool, &self.pools, names(current), names(new));
        self.differences.extend(differences);
        for (pool, index) in new.pools.iter().zip(&self.pools) {
            let Some(before) = index.map(|index| &current.pools[index]) else { continue };
            let changes = list_changes(before, pool);
            let in_pool = |change| Difference::PoolList { pool: pool.name.clone(), change };
            self.differences.extend(changes.into_iter().map(in_pool));
        }
    }

    fn compare_classes(&mut self, current: &Config, new: &Config) {
        let (before, after) = (classes(current), classes(new));
        for (pool, class) in &after {
            let name = class.name.to_string();
            match before.iter().find(|(_, other)| other.name == class.name) {
                None => self.differences.push(Difference::Added(Item::Class, name)),
                Some(other) if *other != (*pool, *class) => {
                    self.differences.push(Difference::ClassChanged(name));
                }
                Some(_) => {}
            }
        }
        for (_, class) in &before {
            if !after.iter().any(|(_, other)| other.name == class.name) {
                self.differences.push(Difference::Removed(Item::Class, class.name.to_string()));
            }
        }
    }

    fn compare_general(&mut self, current: &Config, new: &Config) {
        if current.handover != new.handover {
            self.differences.push(Difference::Handover);
        }
        if current.tally != new.tally {
            self.differences.push(Difference::Tally(new.tally));
        }
        if current.memory != new.memory {
            self.differences.push(Difference::Memory(new.memory));
        }
        if current.descriptors != new.descriptors {
            self.differences.push(Difference::Descriptors(new.descriptors));
        }
        let general = |config: &Config| config.pools.first().map(|pool| general_settings(&pool.settings));
        if general(current) != general(new) {
            self.differences.push(Difference::GeneralSettings);
        }
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.differences.is_empty() {
            return f.write_str("nothing changed");
        }
        let differences: Vec<_> = self.differences.iter().map(ToString::to_string).collect();
        f.write_str(&differences.join(", "))
    }
}

/// One difference between two configurations.
#[derive(Debug, PartialEq, Eq)]
enum Difference {
    Added(Item, String),
    Removed(Item, String),
    ClassChanged(String),
    PoolList {
        pool: String,
        change: String,
    },
    Handover,
    Tally(bool),
    Descriptors(usize),
    /// The memory limit in bytes.
    Memory(usize),
    /// Settings shared by all pools.
    GeneralSettings,
}

/// A kind of named item in a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Item {
    Listener,
    Pool,
    Class,
}

impl fmt::Display for Item {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Listener => "listener",
            Self::Pool => "pool",
            Self::Class => "class",
        })
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added(item, name) => write!(f, "{item} {name} added"),
            Self::Removed(item, name) => write!(f, "{item} {name} removed"),
            Self::ClassChanged(name) => write!(f, "class {name} changed"),
            Self::PoolList { pool, change } => write!(f, "pool {pool}: {change}"),
            Self::Handover => f.write_str("hand-over changed"),
            Self::Tally(on) => write!(f, "tally {}", if *on { "on" } else { "off" }),
            Self::Descriptors(descriptors) => write!(f, "{descriptors} descriptors"),
            Self::Memory(bytes) => write!(f, "{} MB of memory", bytes / MEGABYTE),
            Self::GeneralSettings => f.write_str("limits or server settings changed"),
        }
    }
}

/// Returns the differences for the items that were added or removed. `kept` has, for each item of the new
/// configuration, the index of the current item that it keeps, if any.
fn additions_and_removals(
    item: Item,
    kept: &[Option<usize>],
    current: Vec<String>,
    new: Vec<String>,
) -> impl Iterator<Item = Difference> {
    let kept_indices: Vec<_> = kept.to_vec();
    let added: Vec<_> =
        new.into_iter().zip(kept).filter(|(_, kept)| kept.is_none()).map(|(name, _)| name).collect();
    let removed =
        current.into_iter().enumerate().filter(move |(index, _)| !kept_indices.contains(&Some(*index)));
    let added = added.into_iter().map(move |name| Difference::Added(item, name));
    added.chain(removed.map(move |(_, name)| Difference::Removed(item, name)))
}

/// Describes the changes to the source of a pool's endpoint list, and to a list that the configuration itself
/// contains.
fn list_changes(before: &Pool, after: &Pool) -> Vec<String> {
    match (&before.source, &after.source) {
        (Source::Discovery(before), Source::Discovery(after)) => discovery_changes(before, after),
        (Source::Fixed, Source::Fixed)
            if before.configured_list.endpoints != after.configured_list.endpoints =>
        {
            vec!["server list changed".into()]
        }
        (before, after) if before != after => vec![format!("list from {}", describe_source(after))],
        _ => Vec::new(),
    }
}

fn discovery_changes(before: &DiscoveryReplicas, after: &DiscoveryReplicas) -> Vec<String> {
    let mut changes = Vec::new();
    if before.addresses != after.addresses {
        changes.push(format!("list from discovery at {}", join(&after.addresses)));
    }
    if before.capacity != after.capacity {
        changes.push(match after.capacity {
            Some(ReplicaCapacity { lines_per_second, call_lines }) => {
                format!("discovery capacity {lines_per_second} lines per second, {call_lines} lines per call")
            }
            None => "discovery capacity unknown".into(),
        });
    }
    changes
}

fn describe_source(source: &Source) -> String {
    match source {
        Source::Discovery(replicas) => format!("discovery at {}", join(&replicas.addresses)),
        Source::File(path) => path.display().to_string(),
        Source::Fixed => "the configuration file".into(),
    }
}

fn join(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    addresses.join(", ")
}

/// Returns all request classes, each with the name of its pool.
fn classes(config: &Config) -> Vec<(&str, &RequestClass)> {
    let pools = config.pools.iter();
    pools.flat_map(|pool| pool.settings.classes.iter().map(|class| (pool.name.as_str(), class))).collect()
}

/// Returns the settings shared by all pools: the classes, and the settings that follow from the source of the
/// endpoint list, are reset.
fn general_settings(settings: &Settings) -> Settings {
    Settings {
        classes: Vec::new(),
        discovery_is_polled: false,
        start_times_reported: true,
        ..settings.clone()
    }
}

#[cfg(test)]
mod tests;
