//! A hand-over to a process whose configuration names other replicas of discovery.

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
    wait_for("the hand-over", || old.logged("stands by: its successor serves, on probation") == 1);
    (fixture, new)
}

fn count_polls(replicas: &[&Discovery], path: impl Fn(&str) -> bool) -> usize {
    let polls = |replica: &&Discovery| {
        replica.received.lock().unwrap().iter().filter(|polled| path(polled.as_str())).count()
    };
    replicas.iter().map(polls).sum()
}

fn snapshots(replicas: &[&Discovery]) -> usize {
    count_polls(replicas, |path| path == "/v1/servers")
}

fn watches(replicas: &[&Discovery]) -> usize {
    count_polls(replicas, |path| path.starts_with("/v1/servers?after=1&"))
}

/// Two replicas of one service.
fn service(server: &CacheServer) -> [Discovery; 2] {
    [(); 2].map(|()| Discovery::start(&[server.entry("a", "ready")]))
}

/// A fleet is upgraded while replicas are added. If each new process requested a snapshot, discovery would be overloaded for
/// as long as the upgrade takes.
#[test]
fn the_watch_continues_from_the_held_version_if_one_replica_remains() {
    let server = CacheServer::serving("a");
    let [one, other] = service(&server);
    let fixture = fixture(&[&one]);
    let old = fixture.start_ready();
    one.wait_until_notified(1);
    let (_fixture, new) = take_over(fixture, &old, &[&one], &[&one, &other]);
    wait_for("the new process's watch", || watches(&[&one, &other]) == 2);
    assert_eq!(snapshots(&[&one, &other]), 1);
    assert_eq!(new.read("read", 1).body, b"a");
}

#[test]
fn a_snapshot_is_requested_if_no_replica_remains() {
    let server = CacheServer::serving("a");
    let ([one, other], [elsewhere, beside]) = (service(&server), service(&server));
    let fixture = fixture(&[&one, &other]);
    let old = fixture.start_ready();
    wait_for("the old process's watch", || watches(&[&one, &other]) == 1);
    let (_fixture, new) = take_over(fixture, &old, &[&one, &other], &[&elsewhere, &beside]);
    wait_for("the new process's watch", || watches(&[&elsewhere, &beside]) == 1);
    assert_eq!(snapshots(&[&elsewhere, &beside]), 1);
    assert_eq!(snapshots(&[&one, &other]), 1);
    assert_eq!(new.read("read", 1).body, b"a");
}
