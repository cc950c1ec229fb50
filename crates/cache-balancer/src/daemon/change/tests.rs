use super::*;
use crate::config::operator;
use std::path::Path;

const POOL: &str = "[[pool]]\nname = \"p\"\ndiscovery = \"127.0.0.1:1\"\n";
const CLASS: &str = "[[class]]\nname = \"a\"\n";
const CAPACITY: &str = "discovery_lines_per_second = 200\ndiscovery_call_lines = 2.5\n";

fn config(text: &str) -> Config {
    let text = format!("version = 1\nname = \"n0\"\nnodes = 3\nseed = 1\n{text}");
    operator::read("cache-balancer.toml", &text, Path::new("/")).expect("a valid file")
}

fn listener(name: &str, port: u16) -> String {
    format!("[[listener]]\nname = \"{name}\"\naddress = \"127.0.0.1:{port}\"\n")
}

fn between(current: &str, new: &str) -> Change {
    Change::between(&config(current), &config(new))
}

#[test]
fn the_same_configuration_changes_nothing() {
    let text = format!("{}{POOL}{CLASS}", listener("l", 7070));
    let change = between(&text, &text);
    assert_eq!((change.listeners, change.pools), (vec![Some(0)], vec![Some(0)]));
    assert_eq!(between(&text, &text).to_string(), "nothing changed");
}

#[test]
fn listeners_are_matched_by_address_and_not_by_name_or_order() {
    let with = |listeners: &[(&str, u16)]| {
        let listeners: String = listeners.iter().map(|(name, port)| listener(name, *port)).collect();
        format!("{listeners}{POOL}{CLASS}")
    };
    let cases: [(&[_], &[_], &[_], _); 5] = [
        (&[("a", 1), ("b", 2)], &[("b", 2), ("a", 1)], &[Some(1), Some(0)], "nothing changed"),
        (&[("a", 1)], &[("z", 1)], &[Some(0)], "nothing changed"),
        (&[("a", 1)], &[("a", 2)], &[None], "listener a added, listener a removed"),
        (&[("a", 1)], &[("a", 1), ("b", 2)], &[Some(0), None], "listener b added"),
        // The system picks both ports, so the listeners differ only in their names.
        (&[("a", 0), ("b", 0)], &[("b", 0)], &[Some(1)], "listener a removed"),
    ];
    for (current, new, indices, expected) in cases {
        let change = between(&with(current), &with(new));
        assert_eq!((change.listeners.as_slice(), change.to_string().as_str()), (indices, expected));
    }
}

/// Checks, for each pair of configurations, that exactly these differences are logged.
fn assert_differences(cases: &[(String, String, &str)]) {
    for (current, new, expected) in cases {
        // Files without a number of descriptors get the system's limit, so their descriptors do not differ.
        assert_eq!(between(current, new).to_string(), *expected);
    }
}

/// A pool whose endpoint list is in the configuration file: one server with this name.
fn pool_with_server(name: &str) -> String {
    format!("[[pool]]\nname = \"p\"\n[[pool.server]]\nname = \"{name}\"\naddress = \"127.0.0.1:9\"\n{CLASS}")
}

/// A pool whose endpoint list comes from these discovery replicas.
fn pool_with_replicas(list: &str) -> String {
    format!("[[pool]]\nname = \"p\"\ndiscovery = [{list}]\n{CLASS}")
}

#[test]
fn exactly_the_differences_of_list_sources_are_logged() {
    let base = format!("{POOL}{CLASS}");
    assert_differences(&[
        (
            base.clone(),
            format!("{}{CLASS}", POOL.replace(":1\"", ":2\"")),
            "pool p: list from discovery at 127.0.0.1:2",
        ),
        (base.clone(), pool_with_replicas("\"127.0.0.1:1\""), "nothing changed"),
        (
            base.clone(),
            pool_with_replicas("\"127.0.0.1:2\", \"127.0.0.1:1\""),
            "pool p: list from discovery at 127.0.0.1:1, 127.0.0.1:2",
        ),
        (
            pool_with_replicas("\"127.0.0.1:2\", \"127.0.0.1:1\""),
            pool_with_replicas("\"127.0.0.1:1\", \"127.0.0.1:2\""),
            "nothing changed",
        ),
        (
            base.clone(),
            format!("{POOL}{CAPACITY}{CLASS}"),
            "pool p: discovery capacity 200 lines per second, 2.5 lines per call",
        ),
        (format!("{POOL}{CAPACITY}{CLASS}"), base.clone(), "pool p: discovery capacity unknown"),
        (
            pool_with_server("s"),
            format!("{POOL}{CAPACITY}{CLASS}"),
            "pool p: list from discovery at 127.0.0.1:1",
        ),
        (base.clone(), format!("[[pool]]\nname = \"p\"\nfile = \"/x\"\n{CLASS}"), "pool p: list from /x"),
        (base.clone(), pool_with_server("s"), "pool p: list from the configuration file"),
        (pool_with_server("s"), pool_with_server("t"), "pool p: server list changed"),
    ]);
}

#[test]
fn exactly_the_differences_of_classes_pools_and_limits_are_logged() {
    let base = format!("{POOL}{CLASS}");
    assert_differences(&[
        (base.clone(), format!("{base}[[class]]\nname = \"b\"\n"), "class b added"),
        (base.clone(), format!("{base}effect = \"safe\"\n"), "class a changed"),
        (
            base.clone(),
            format!("{POOL}{}", CLASS.replace("\"a\"", "\"b\"")),
            "class b added, class a removed",
        ),
        (base.clone(), format!("{base}[limits]\ndescriptors = 99\n"), "99 descriptors"),
        (base.clone(), format!("{base}[servers]\ncold_share = 0.9\n"), "limits or server settings changed"),
        (
            base.clone(),
            format!("{}{CLASS}", POOL.replace("\"p\"", "\"q\"")),
            "pool q added, pool p removed, class a changed",
        ),
    ]);
}
