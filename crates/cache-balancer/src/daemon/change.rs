//! What a new configuration changes: which listeners and pools go on as they are, and the words for it.

use crate::config::{Config, DiscoveryReplicas, Pool, Source};
use balancer_core::discovery::ReplicaCapacity;
use balancer_core::{RequestClass, Settings};
use std::fmt;
use std::net::SocketAddr;

/// What lies between the configuration held and the one wanted.
#[derive(Debug, PartialEq, Eq)]
pub struct Change {
    /// For each listener wanted, the place of the one held that goes on as it.
    pub listeners: Vec<Option<usize>>,
    /// The same for pools.
    pub pools: Vec<Option<usize>>,
    words: Vec<String>,
}

impl Change {
    /// Compares the two. Listeners go by [`is`](crate::config::Listener::is), and a pool by its name: what is known of its servers lives on,
    /// wherever their list comes from.
    pub fn between(held: &Config, wanted: &Config) -> Self {
        let listeners: Vec<_> = wanted
            .listeners
            .iter()
            .map(|listener| held.listeners.iter().position(|other| listener.is(other)))
            .collect();
        let pools: Vec<_> = wanted
            .pools
            .iter()
            .map(|pool| held.pools.iter().position(|other| other.name == pool.name))
            .collect();
        let mut change = Self { listeners, pools, words: Vec::new() };
        change.describe(held, wanted);
        change
    }

    fn describe(&mut self, held: &Config, wanted: &Config) {
        let mut words = Vec::new();
        let listeners = |config: &Config| config.listeners.iter().map(|one| one.name.clone()).collect();
        let pools = |config: &Config| config.pools.iter().map(|one| one.name.clone()).collect();
        came_and_went(&mut words, "listener", &self.listeners, listeners(held), listeners(wanted));
        came_and_went(&mut words, "pool", &self.pools, pools(held), pools(wanted));
        for (pool, place) in wanted.pools.iter().zip(&self.pools) {
            let Some(before) = place.map(|place| &held.pools[place]) else { continue };
            let changes = list_changes(before, pool);
            words.extend(changes.into_iter().map(|change| format!("pool {}: {change}", pool.name)));
        }
        let (before, after) = (classes(held), classes(wanted));
        for (pool, class) in &after {
            match before.iter().find(|(_, other)| other.name == class.name) {
                None => words.push(format!("class {} added", class.name)),
                Some(other) if *other != (*pool, *class) => {
                    words.push(format!("class {} changed", class.name))
                }
                Some(_) => {}
            }
        }
        for (_, class) in &before {
            if !after.iter().any(|(_, other)| other.name == class.name) {
                words.push(format!("class {} removed", class.name));
            }
        }
        if held.hand_over != wanted.hand_over {
            words.push("hand-over changed".into());
        }
        if held.tally != wanted.tally {
            words.push(format!("tally {}", if wanted.tally { "on" } else { "off" }));
        }
        if held.descriptors != wanted.descriptors {
            words.push(format!("{} descriptors", wanted.descriptors));
        }
        let general = |config: &Config| config.pools.first().map(|pool| without_classes(&pool.settings));
        if general(held) != general(wanted) {
            words.push("limits or what is known of servers changed".into());
        }
        self.words = words;
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.words.is_empty() {
            return f.write_str("nothing changed");
        }
        f.write_str(&self.words.join(", "))
    }
}

fn came_and_went(
    words: &mut Vec<String>,
    what: &str,
    places: &[Option<usize>],
    before: Vec<String>,
    after: Vec<String>,
) {
    let came = after.iter().zip(places).filter(|(_, place)| place.is_none());
    words.extend(came.map(|(name, _)| format!("{what} {name} added")));
    let went = before.iter().enumerate().filter(|(place, _)| !places.contains(&Some(*place)));
    words.extend(went.map(|(_, name)| format!("{what} {name} removed")));
}

/// What changed about where a pool's list comes from, and about the list itself where the file has it.
fn list_changes(before: &Pool, after: &Pool) -> Vec<String> {
    match (&before.source, &after.source) {
        (Source::Discovery(before), Source::Discovery(after)) => discovery_changes(before, after),
        (Source::Fixed, Source::Fixed) if before.known.endpoints != after.known.endpoints => {
            vec!["other servers".into()]
        }
        (before, after) if before != after => vec![format!("list from {}", source(after))],
        _ => Vec::new(),
    }
}

fn discovery_changes(before: &DiscoveryReplicas, after: &DiscoveryReplicas) -> Vec<String> {
    let mut changes = Vec::new();
    if before.addresses != after.addresses {
        changes.push(format!("list from discovery at {}", listed(&after.addresses)));
    }
    if before.capacity != after.capacity {
        changes.push(match after.capacity {
            Some(ReplicaCapacity { lines_per_second, call_lines }) => {
                format!("discovery of {lines_per_second} lines a second and {call_lines} a call")
            }
            None => "discovery of unknown capacity".into(),
        });
    }
    changes
}

fn source(source: &Source) -> String {
    match source {
        Source::Discovery(replicas) => format!("discovery at {}", listed(&replicas.addresses)),
        Source::File(path) => path.display().to_string(),
        Source::Fixed => "the file itself".into(),
    }
}

fn listed(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<_> = addresses.iter().map(ToString::to_string).collect();
    addresses.join(", ")
}

/// All classes, each with the name of its pool.
fn classes(config: &Config) -> Vec<(&str, &RequestClass)> {
    let all = config.pools.iter();
    all.flat_map(|pool| pool.settings.classes.iter().map(|class| (pool.name.as_str(), class))).collect()
}

/// What holds for all pools alike: where a pool's list comes from tells whether it has to be followed.
fn without_classes(settings: &Settings) -> Settings {
    Settings {
        classes: Vec::new(),
        discovery_is_polled: false,
        start_times_reported: true,
        ..settings.clone()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::operator;
    use std::path::Path;

    const POOL: &str = "[[pool]]\nname = \"p\"\ndiscovery = \"127.0.0.1:1\"\n";
    const CLASS: &str = "[[class]]\nname = \"a\"\n";
    const CAPACITY: &str = "discovery_lines_per_second = 200\ndiscovery_call_lines = 2.5\n";

    fn config(text: &str) -> Config {
        let text = format!("version = 1\nname = \"n0\"\nnodes = 3\nseed = 1\n{text}");
        operator::read("cache-balancer.toml", &text, Path::new("/")).expect("a file without fault")
    }

    fn listener(name: &str, port: u16) -> String {
        format!("[[listener]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\n")
    }

    fn between(held: &str, wanted: &str) -> Change {
        Change::between(&config(held), &config(wanted))
    }

    #[test]
    fn the_same_configuration_changes_nothing() {
        let text = format!("{}{POOL}{CLASS}", listener("l", 7070));
        let change = between(&text, &text);
        assert_eq!((change.listeners, change.pools), (vec![Some(0)], vec![Some(0)]));
        assert_eq!(between(&text, &text).to_string(), "nothing changed");
    }

    #[test]
    fn a_listener_goes_on_by_its_address_whatever_it_is_called_and_wherever_it_stands() {
        let with = |listeners: &[(&str, u16)]| {
            let listeners: String = listeners.iter().map(|(name, port)| listener(name, *port)).collect();
            format!("{listeners}{POOL}{CLASS}")
        };
        let cases: [(&[_], &[_], &[_], _); 5] = [
            (&[("a", 1), ("b", 2)], &[("b", 2), ("a", 1)], &[Some(1), Some(0)], "nothing changed"),
            (&[("a", 1)], &[("z", 1)], &[Some(0)], "nothing changed"),
            (&[("a", 1)], &[("a", 2)], &[None], "listener a added, listener a removed"),
            (&[("a", 1)], &[("a", 1), ("b", 2)], &[Some(0), None], "listener b added"),
            // The system picks the port of each: only the name tells which is which.
            (&[("a", 0), ("b", 0)], &[("b", 0)], &[Some(1)], "listener a removed"),
        ];
        for (held, wanted, places, words) in cases {
            let change = between(&with(held), &with(wanted));
            assert_eq!((change.listeners.as_slice(), change.to_string().as_str()), (places, words));
        }
    }

    #[test]
    fn each_thing_that_changed_is_said_and_nothing_else() {
        let server = |name: &str| {
            format!("[[pool]]\nname = \"p\"\n[[pool.server]]\nname = \"{name}\"\naddress = \"127.0.0.1:9\"\n")
        };
        let replicas = |list: &str| format!("[[pool]]\nname = \"p\"\ndiscovery = [{list}]\n");
        let good = format!("{POOL}{CLASS}");
        let cases = [
            (
                good.clone(),
                format!("{}{CLASS}", POOL.replace(":1\"", ":2\"")),
                "pool p: list from discovery at 127.0.0.1:2",
            ),
            (good.clone(), format!("{}{CLASS}", replicas("\"127.0.0.1:1\"")), "nothing changed"),
            (
                good.clone(),
                format!("{}{CLASS}", replicas("\"127.0.0.1:2\", \"127.0.0.1:1\"")),
                "pool p: list from discovery at 127.0.0.1:1, 127.0.0.1:2",
            ),
            (
                format!("{}{CLASS}", replicas("\"127.0.0.1:2\", \"127.0.0.1:1\"")),
                format!("{}{CLASS}", replicas("\"127.0.0.1:1\", \"127.0.0.1:2\"")),
                "nothing changed",
            ),
            (
                good.clone(),
                format!("{POOL}{CAPACITY}{CLASS}"),
                "pool p: discovery of 200 lines a second and 2.5 a call",
            ),
            (format!("{POOL}{CAPACITY}{CLASS}"), good.clone(), "pool p: discovery of unknown capacity"),
            (
                format!("{}{CLASS}", server("s")),
                format!("{POOL}{CAPACITY}{CLASS}"),
                "pool p: list from discovery at 127.0.0.1:1",
            ),
            (good.clone(), format!("[[pool]]\nname = \"p\"\nfile = \"/x\"\n{CLASS}"), "pool p: list from /x"),
            (good.clone(), format!("{}{CLASS}", server("s")), "pool p: list from the file itself"),
            (format!("{}{CLASS}", server("s")), format!("{}{CLASS}", server("t")), "pool p: other servers"),
            (good.clone(), format!("{good}[[class]]\nname = \"b\"\n"), "class b added"),
            (good.clone(), format!("{good}effect = \"safe\"\n"), "class a changed"),
            (
                good.clone(),
                format!("{POOL}{}", CLASS.replace("\"a\"", "\"b\"")),
                "class b added, class a removed",
            ),
            (good.clone(), format!("{good}[limits]\ndescriptors = 99\n"), "99 descriptors"),
            (
                good.clone(),
                format!("{good}[servers]\ncold_share = 0.9\n"),
                "limits or what is known of servers changed",
            ),
            (
                good.clone(),
                format!("{}{CLASS}", POOL.replace("\"p\"", "\"q\"")),
                "pool q added, pool p removed, class a changed",
            ),
        ];
        for (held, wanted, words) in cases {
            let change = between(&held, &wanted).to_string();
            // Descriptors are the system's where the file does not tell them.
            assert_eq!(change, words);
        }
    }
}
