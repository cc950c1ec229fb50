//! A hand-over to a process whose file names other replicas of discovery.

mod common;
mod handover_support;

use common::{wait_for, CacheServer, Discovery, Node};
use handover_support::Fixture;

/// The source of a pool's list in the file: these replicas.
fn list_from(replicas: &[&Discovery]) -> String {
    let addresses: Vec<_> = replicas.iter().map(|replica| format!("\"{}\"", replica.address)).collect();
    format!("discovery = [{}]\n", addresses.join(", "))
}

/// Nodes whose file names these replicas. Nodes need a name of their own if there are several.
fn fixture(replicas: &[&Discovery]) -> Fixture {
    let mut fixture = Fixture::new(&list_from(replicas), "30s");
    fixture.text = fixture.text.replacen("version = 1\n", "version = 1\nname = \"n0\"\n", 1);
    fixture
}

/// Starts a successor whose file names `after` in place of `before`. Returns once the predecessor stands by.
fn take_over(
    mut fixture: Fixture,
    old: &Node,
    before: &[&Discovery],
    after: &[&Discovery],
) -> (Fixture, Node) {
    fixture.text = fixture.text.replace(&list_from(before), &list_from(after));
    let new = fixture.start();
    wait_for("the hand-over", || old.said("stands by: its successor serves, on probation") == 1);
    (fixture, new)
}

fn asked_for(replicas: &[&Discovery], path: impl Fn(&str) -> bool) -> usize {
    let asked = |replica: &&Discovery| {
        replica.asked.lock().unwrap().iter().filter(|asked| path(asked.as_str())).count()
    };
    replicas.iter().map(asked).sum()
}

fn whole_lists(replicas: &[&Discovery]) -> usize {
    asked_for(replicas, |path| path == "/v1/servers")
}

fn watches(replicas: &[&Discovery]) -> usize {
    asked_for(replicas, |path| path.starts_with("/v1/servers?after=1&"))
}

/// Two replicas of one service.
fn service(server: &CacheServer) -> [Discovery; 2] {
    [(); 2].map(|()| Discovery::start(&[server.entry("a", "ready")]))
}

/// An upgrade that adds replicas could have every node of the fleet request a snapshot.
#[test]
fn the_watch_goes_on_from_the_known_version_if_one_replica_is_common() {
    let server = CacheServer::serving("a");
    let [one, other] = service(&server);
    let fixture = fixture(&[&one]);
    let old = fixture.ready();
    one.wait_until_told(1);
    let (_fixture, new) = take_over(fixture, &old, &[&one], &[&one, &other]);
    wait_for("the new process's watch", || watches(&[&one, &other]) == 2);
    assert_eq!(whole_lists(&[&one, &other]), 1);
    assert_eq!(new.read("read", 1).body, b"a");
}

#[test]
fn a_snapshot_is_requested_if_no_replica_stays() {
    let server = CacheServer::serving("a");
    let ([one, other], [elsewhere, beside]) = (service(&server), service(&server));
    let fixture = fixture(&[&one, &other]);
    let old = fixture.ready();
    wait_for("the old process's watch", || watches(&[&one, &other]) == 1);
    let (_fixture, new) = take_over(fixture, &old, &[&one, &other], &[&elsewhere, &beside]);
    wait_for("the new process's watch", || watches(&[&elsewhere, &beside]) == 1);
    assert_eq!(whole_lists(&[&elsewhere, &beside]), 1);
    assert_eq!(whole_lists(&[&one, &other]), 1);
    assert_eq!(new.read("read", 1).body, b"a");
}
