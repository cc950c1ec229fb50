//! Replication of the list to the replicas of a scale run.

use std::time::Duration;
use testbed::scale::messages::{ListedServer, ReplicaCommand};
use testbed::scale::replica_set::{AddressedCommand, ReplicaSet};
use testbed::scale::steps::servers_at_start;
use testbed::scale::{scenarios, ScaleScript};
use tokio::time::Instant;

const LAG: Duration = Duration::from_secs(2);

fn servers() -> Vec<ListedServer> {
    let scenario = scenarios::named("quiet").unwrap();
    let script = ScaleScript::parse(scenario.name, scenario.text).unwrap();
    servers_at_start(&ScaleScript { servers: 3, ..script })
}

fn with_health(server: &ListedServer, health: &str) -> ListedServer {
    ListedServer { health: health.into(), ..server.clone() }
}

/// Returns the replica and the version of each command, all of which must be changes.
fn changes(commands: &[AddressedCommand]) -> Vec<(usize, u64)> {
    let change = |(replica, command): &AddressedCommand| match command {
        ReplicaCommand::Change { version, .. } => (*replica, *version),
        other => panic!("{other:?}"),
    };
    commands.iter().map(change).collect()
}

/// Returns the replica, the version and the number of entries of the only command, which must be a reset.
fn reset(commands: &[AddressedCommand]) -> (usize, u64, usize) {
    match commands {
        [(replica, ReplicaCommand::Reset { version, servers })] => (*replica, *version, servers.len()),
        other => panic!("{other:?}"),
    }
}

#[test]
fn each_change_has_its_own_version_and_is_sent_to_all_replicas() {
    let (servers, now) = (servers(), Instant::now());
    let mut set = ReplicaSet::new(2, 1, &servers);
    assert_eq!(changes(&set.change(with_health(&servers[0], "draining"), now)), [(0, 2), (1, 2)]);
    assert_eq!((set.version(), set.server_count()), (2, 3));
    assert_eq!(changes(&set.change(with_health(&servers[0], "gone"), now)), [(0, 3), (1, 3)]);
    assert_eq!((set.version(), set.server_count()), (3, 2));
    assert_eq!(set.next_due(), None);
}

#[test]
fn a_lagging_replica_receives_changes_later_and_in_order() {
    let (servers, now) = (servers(), Instant::now());
    let mut set = ReplicaSet::new(2, 1, &servers);
    assert!(set.set_lag(1, LAG).is_empty());
    let second = now + Duration::from_secs(1);
    assert_eq!(changes(&set.change(with_health(&servers[0], "draining"), now)), [(0, 2)]);
    assert_eq!(changes(&set.change(with_health(&servers[0], "gone"), second)), [(0, 3)]);
    assert_eq!(set.next_due(), Some(now + LAG));
    assert!(set.take_due(second).is_empty());
    assert_eq!(changes(&set.take_due(now + LAG)), [(1, 2)]);
    // When the lag ends, the replica receives pending changes at once, and later changes without delay.
    assert_eq!(changes(&set.set_lag(1, Duration::ZERO)), [(1, 3)]);
    assert_eq!(set.next_due(), None);
    assert_eq!(changes(&set.change(with_health(&servers[1], "gone"), second)), [(0, 4), (1, 4)]);
}

#[test]
fn a_replica_without_its_entries_receives_no_changes_until_it_is_restored() {
    let (servers, now) = (servers(), Instant::now());
    let mut set = ReplicaSet::new(2, 7, &servers);
    assert_eq!(reset(&set.lose_state(0, false)), (0, 7, 0));
    assert_eq!(changes(&set.change(with_health(&servers[0], "gone"), now)), [(1, 8)]);
    assert_eq!(reset(&set.restore_state(0)), (0, 8, 2));
    assert_eq!(changes(&set.change(with_health(&servers[1], "gone"), now)), [(0, 9), (1, 9)]);
}

#[test]
fn a_replica_that_lost_its_version_restarts_at_1_with_the_current_list() {
    let (servers, now) = (servers(), Instant::now());
    let mut set = ReplicaSet::new(2, 7, &servers);
    set.set_lag(0, LAG);
    set.change(with_health(&servers[0], "gone"), now);
    assert_eq!(reset(&set.lose_state(0, true)), (0, 1, 2));
    // Pending changes are lost as well.
    assert_eq!(set.next_due(), None);
    assert_eq!(reset(&set.restore_state(0)), (0, 8, 2));
}

#[test]
fn commands_for_unknown_replicas_are_ignored() {
    let mut set = ReplicaSet::new(2, 1, &servers());
    assert!(
        set.set_lag(2, LAG).is_empty()
            && set.lose_state(2, true).is_empty()
            && set.restore_state(2).is_empty()
    );
}
