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
fn a_listener_goes_on_by_its_address_whatever_its_name_and_place() {
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
    for (current, new, indices, expected) in cases {
        let change = between(&with(current), &with(new));
        assert_eq!((change.listeners.as_slice(), change.to_string().as_str()), (indices, expected));
    }
}

/// Checks for each pair of configurations that the log names exactly these differences.
fn assert_differences(cases: &[(String, String, &str)]) {
    for (current, new, expected) in cases {
        // The number of descriptors is the system's where the file has none.
        assert_eq!(between(current, new).to_string(), *expected);
    }
}

/// A pool whose list stands in the file, with one server of this name.
fn pool_of_server(name: &str) -> String {
    format!("[[pool]]\nname = \"p\"\n[[pool.server]]\nname = \"{name}\"\naddress = \"127.0.0.1:9\"\n{CLASS}")
}

/// A pool whose list comes from these replicas of discovery.
fn pool_of_replicas(list: &str) -> String {
    format!("[[pool]]\nname = \"p\"\ndiscovery = [{list}]\n{CLASS}")
}

#[test]
fn each_difference_of_a_list_source_is_named_and_nothing_else() {
    let good = format!("{POOL}{CLASS}");
    assert_differences(&[
        (
            good.clone(),
            format!("{}{CLASS}", POOL.replace(":1\"", ":2\"")),
            "pool p: list from discovery at 127.0.0.1:2",
        ),
        (good.clone(), pool_of_replicas("\"127.0.0.1:1\""), "nothing changed"),
        (
            good.clone(),
            pool_of_replicas("\"127.0.0.1:2\", \"127.0.0.1:1\""),
            "pool p: list from discovery at 127.0.0.1:1, 127.0.0.1:2",
        ),
        (
            pool_of_replicas("\"127.0.0.1:2\", \"127.0.0.1:1\""),
            pool_of_replicas("\"127.0.0.1:1\", \"127.0.0.1:2\""),
            "nothing changed",
        ),
        (
            good.clone(),
            format!("{POOL}{CAPACITY}{CLASS}"),
            "pool p: discovery of 200 lines a second and 2.5 a call",
        ),
        (format!("{POOL}{CAPACITY}{CLASS}"), good.clone(), "pool p: discovery of unknown capacity"),
        (
            pool_of_server("s"),
            format!("{POOL}{CAPACITY}{CLASS}"),
            "pool p: list from discovery at 127.0.0.1:1",
        ),
        (good.clone(), format!("[[pool]]\nname = \"p\"\nfile = \"/x\"\n{CLASS}"), "pool p: list from /x"),
        (good.clone(), pool_of_server("s"), "pool p: list from the file itself"),
        (pool_of_server("s"), pool_of_server("t"), "pool p: other servers"),
    ]);
}

#[test]
fn each_difference_of_classes_pools_and_limits_is_named_and_nothing_else() {
    let good = format!("{POOL}{CLASS}");
    assert_differences(&[
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
    ]);
}
