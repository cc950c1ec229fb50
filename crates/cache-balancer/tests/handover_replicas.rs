//! Hand-overs to a process whose configuration has other discovery replicas.

mod common;
mod handover_support;

use common::{wait_for, CacheServer, Discovery, Node};
use handover_support::Fixture;

/// Returns the line of the operator's file that sets the discovery replicas of a pool.
fn discovery_setting(replicas: &[&Discovery]) -> String {
    let addresses: Vec<_> = replicas.iter().map(|replica| format!("\"{}\"", replica.address)).collect();
    format!("discovery = [{}]\n", addresses.join(", "))
}

/// Creates a fixture whose nodes poll these replicas. With several replicas, the configuration must set the
/// node's name.
fn fixture(replicas: &[&Discovery]) -> Fixture {
    let mut fixture = Fixture::new(&discovery_setting(replicas), "30s");
    fixture.config = fixture.config.replacen("version = 1\n", "version = 1\nname = \"n0\"\n", 1);
    fixture
}

/// Starts a successor whose configuration has the replicas `after` instead of `before`. Returns once the
/// predecessor stands by.
fn take_over(
    mut fixture: Fixture,
    predecessor: &Node,
    before: &[&Discovery],
    after: &[&Discovery],
) -> (Fixture, Node) {
    fixture.config = fixture.config.replace(&discovery_setting(before), &discovery_setting(after));
    let successor = fixture.start();
    wait_for("the hand-over", || predecessor.logged("stands by: its successor serves, on probation") == 1);
    (fixture, successor)
}

/// Counts the polls that the replicas received on matching paths.
fn count_polls(replicas: &[&Discovery], matches: impl Fn(&str) -> bool) -> usize {
    let polls = |replica: &&Discovery| {
        replica.received.lock().unwrap().iter().filter(|path| matches(path.as_str())).count()
    };
    replicas.iter().map(polls).sum()
}

fn count_snapshots(replicas: &[&Discovery]) -> usize {
    count_polls(replicas, |path| path == "/v1/servers")
}

fn count_watches(replicas: &[&Discovery]) -> usize {
    count_polls(replicas, |path| path.starts_with("/v1/servers?after=1&"))
}

/// Starts two replicas of one discovery service.
fn start_replicas(server: &CacheServer) -> [Discovery; 2] {
    [(); 2].map(|()| Discovery::start(&[server.endpoint("a", "ready")]))
}

/// Guards against an overload of discovery while a fleet is upgraded and replicas are added: it would last as
/// long as the upgrade if each new process requested a snapshot.
#[test]
fn the_watch_continues_from_the_known_version_if_one_replica_remains() {
    let server = CacheServer::serving("a");
    let [one, other] = start_replicas(&server);
    let fixture = fixture(&[&one]);
    let predecessor = fixture.start_ready();
    one.wait_until_applied(1);
    let (_fixture, successor) = take_over(fixture, &predecessor, &[&one], &[&one, &other]);
    wait_for("the successor's watch", || count_watches(&[&one, &other]) == 2);
    assert_eq!(count_snapshots(&[&one, &other]), 1);
    assert_eq!(successor.read("read", 1).body, b"a");
}

#[test]
fn a_snapshot_is_requested_if_no_replica_remains() {
    let server = CacheServer::serving("a");
    let ([one, other], [new_one, new_other]) = (start_replicas(&server), start_replicas(&server));
    let fixture = fixture(&[&one, &other]);
    let predecessor = fixture.start_ready();
    wait_for("the predecessor's watch", || count_watches(&[&one, &other]) == 1);
    let (_fixture, successor) = take_over(fixture, &predecessor, &[&one, &other], &[&new_one, &new_other]);
    wait_for("the successor's watch", || count_watches(&[&new_one, &new_other]) == 1);
    assert_eq!(count_snapshots(&[&new_one, &new_other]), 1);
    assert_eq!(count_snapshots(&[&one, &other]), 1);
    assert_eq!(successor.read("read", 1).body, b"a");
}
