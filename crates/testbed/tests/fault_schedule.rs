//! Tests the fault schedule: which servers and nodes are affected, and how overlapping faults are combined.

use std::time::Duration;
use testbed::fault_schedule::{changes, Change, ServerCondition};
use testbed::script::{Fault, Incident};
use testbed::{fleet, Script};

fn script(incidents: Vec<Incident>) -> Script {
    Script { incidents, ..Script::default() }
}

fn incident(at_s: u64, duration_s: u64, fault: Fault) -> Incident {
    Incident { at: Duration::from_secs(at_s), duration: Duration::from_secs(duration_s), zone: None, fault }
}

#[test]
fn a_deploy_replaces_its_share_in_batches_of_bounded_size() {
    let drain = Duration::from_secs(2);
    let deploy = Fault::Deploy { share: 0.99, batch: 0.19, drain, same_address: true };
    let all = changes(&script(vec![incident(5, 30, deploy)]));
    let drains: Vec<_> = all.iter().filter(|(_, change)| matches!(change, Change::Drain { .. })).collect();
    assert_eq!(drains.len(), 20, "99% of 20, rounded up");
    for (at, _) in &drains {
        assert!(drains.iter().filter(|(other, _)| other == at).count() <= 3, "19% of 20 at a time");
    }
    let starts = all.iter().filter(|(_, change)| matches!(change, Change::Start { same_id: false, .. }));
    assert_eq!(starts.count(), 20);
    assert!(all.windows(2).all(|pair| pair[0].0 <= pair[1].0));
}

/// If incidents shared one random sequence, an additional incident in a script would change the servers of
/// the others, and two runs could not be compared.
#[test]
fn an_incident_affects_the_same_servers_independent_of_later_incidents() {
    let crash = || incident(5, 10, Fault::Crash { share: 0.25 });
    let alone = changes(&script(vec![crash()]));
    let both = changes(&script(vec![crash(), incident(5, 3, Fault::Pause { share: 0.5 })]));
    let stops = |all: &[(Duration, Change)]| -> Vec<_> {
        all.iter().filter(|(_, change)| matches!(change, Change::Stop { .. })).cloned().collect()
    };
    assert_eq!(stops(&alone).len(), 5);
    assert_eq!(stops(&alone), stops(&both));
}

/// Returns the changes to one cache server under incidents that affect every cache server, as seconds and
/// descriptions.
fn changes_of_server_0(incidents: Vec<Incident>) -> Vec<(u64, String)> {
    let all = changes(&script(incidents));
    let described = all.into_iter().filter_map(|(at, change)| {
        let description = match change {
            Change::Drain { index: 0 } => "drain".into(),
            Change::Stop { index: 0 } => "stop".into(),
            Change::Start { index: 0, same_id, .. } => if same_id { "restart" } else { "successor" }.into(),
            Change::SetCondition { index: 0, condition } => {
                let ServerCondition { reachable, error_rate, extra_latency, packet_loss_rate, reset_rate } =
                    condition;
                format!(
                    "{reachable} {error_rate:.2} {} {packet_loss_rate:.2} {reset_rate:.2}",
                    extra_latency.as_millis()
                )
            }
            _ => return None,
        };
        Some((at.as_secs(), description))
    });
    described.collect()
}

fn described(all: &[(u64, &str)]) -> Vec<(u64, String)> {
    all.iter().map(|(at, description)| (*at, (*description).to_owned())).collect()
}

/// The end of an incident must not restore the normal condition of a server while another incident still
/// affects it: otherwise, a server that is cut off by two faults would be reachable again at the end of the
/// first.
#[test]
fn the_end_of_one_incident_does_not_end_another_on_the_same_server() {
    let errors = |rate| Fault::Errors { share: 1.0, rate };
    let extra = Duration::from_millis(10);
    let found = changes_of_server_0(vec![
        incident(1, 6, errors(0.5)),
        incident(2, 2, errors(0.5)),
        incident(3, 2, Fault::Unreachable { share: 1.0 }),
        incident(4, 4, Fault::Unreachable { share: 1.0 }),
        incident(10, 3, Fault::Delay { share: 1.0, extra }),
        incident(11, 1, Fault::Delay { share: 1.0, extra }),
        incident(15, 3, Fault::Unreachable { share: 1.0 }),
        incident(16, 1, errors(0.5)),
        incident(20, 3, Fault::Loss { share: 1.0, rate: 0.1 }),
        incident(21, 1, Fault::Resets { share: 1.0, rate: 0.2 }),
    ]);
    let expected = [
        (1, "true 0.50 0 0.00 0.00"),
        (2, "true 0.75 0 0.00 0.00"),
        (3, "false 0.75 0 0.00 0.00"),
        (4, "false 0.50 0 0.00 0.00"),
        (4, "false 0.50 0 0.00 0.00"),
        (5, "false 0.50 0 0.00 0.00"),
        (7, "false 0.00 0 0.00 0.00"),
        (8, "true 0.00 0 0.00 0.00"),
        (10, "true 0.00 10 0.00 0.00"),
        (11, "true 0.00 20 0.00 0.00"),
        (12, "true 0.00 10 0.00 0.00"),
        (13, "true 0.00 0 0.00 0.00"),
        (15, "false 0.00 0 0.00 0.00"),
        (16, "false 0.50 0 0.00 0.00"),
        (17, "false 0.00 0 0.00 0.00"),
        (18, "true 0.00 0 0.00 0.00"),
        (20, "true 0.00 0 0.10 0.00"),
        (21, "true 0.00 0 0.10 0.20"),
        (22, "true 0.00 0 0.10 0.00"),
        (23, "true 0.00 0 0.00 0.00"),
    ];
    assert_eq!(found, described(&expected));
}

#[test]
fn a_server_with_overlapping_crashes_restarts_at_the_end_of_the_last() {
    let crash = || Fault::Crash { share: 1.0 };
    let found = changes_of_server_0(vec![incident(1, 5, crash()), incident(3, 8, crash())]);
    assert_eq!(found, described(&[(1, "stop"), (3, "stop"), (11, "restart")]));
}

#[test]
fn a_permanently_removed_server_is_not_restarted_by_a_crash_or_a_deploy() {
    let drain = Duration::from_secs(4);
    let shrink = || Fault::Shrink { share: 1.0, drain };
    let deploy = || Fault::Deploy { share: 1.0, batch: 1.0, drain, same_address: false };
    let crash = || Fault::Crash { share: 1.0 };
    let crashed_first = changes_of_server_0(vec![incident(1, 5, crash()), incident(3, 0, shrink())]);
    assert_eq!(crashed_first, described(&[(1, "stop"), (3, "drain"), (7, "stop")]));
    let replaced = changes_of_server_0(vec![incident(1, 0, deploy()), incident(3, 0, shrink())]);
    assert_eq!(replaced, described(&[(1, "drain"), (5, "stop")]), "no successor");
    let crashed_last = changes_of_server_0(vec![
        incident(1, 0, deploy()),
        incident(3, 0, shrink()),
        incident(6, 2, crash()),
    ]);
    assert_eq!(crashed_last, described(&[(1, "drain"), (5, "stop"), (6, "stop")]), "no restart");
}

/// A second deploy that overlaps the first must not end the successor that the first one started. That
/// successor was not drained, so its requests in flight would be lost.
#[test]
fn a_server_that_is_being_replaced_is_neither_replaced_again_nor_restarted() {
    let drain = Duration::from_secs(4);
    let deploy = || Fault::Deploy { share: 1.0, batch: 1.0, drain, same_address: false };
    let twice = changes_of_server_0(vec![
        incident(1, 0, deploy()),
        incident(3, 0, deploy()),
        incident(9, 0, deploy()),
    ]);
    let replacement = |at| [(at, "drain"), (at + 4, "stop"), (at + 4, "successor")];
    assert_eq!(twice, described(&[replacement(1), replacement(9)].concat()));
    let crashed =
        changes_of_server_0(vec![incident(1, 6, Fault::Crash { share: 1.0 }), incident(2, 0, deploy())]);
    assert_eq!(crashed, described(&[(1, "stop"), (2, "drain"), (6, "stop"), (6, "successor")]));
}

#[test]
fn faults_of_origin_and_discovery_are_combined() {
    let slow = |factor| Fault::SlowOrigin { factor };
    let all = changes(&script(vec![
        incident(1, 6, slow(2.0)),
        incident(2, 2, slow(3.0)),
        incident(10, 6, Fault::DiscoveryOutage),
        incident(11, 8, Fault::DiscoveryOutage),
    ]));
    let all: Vec<_> = all.into_iter().map(|(at, change)| (at.as_secs(), change)).collect();
    let factor = |factor| Change::SetOriginSlowdown { factor };
    let expected = [
        (1, factor(2.0)),
        (2, factor(6.0)),
        (4, factor(2.0)),
        (7, factor(1.0)),
        (10, Change::SetDiscoveryAvailable { available: false }),
        (19, Change::SetDiscoveryAvailable { available: true }),
    ];
    assert_eq!(all, expected);
}

#[test]
fn an_incident_of_one_zone_affects_only_that_zone() {
    let crash = Incident { zone: Some(1), ..incident(5, 5, Fault::Crash { share: 1.0 }) };
    let killed = Fault::RestartNodes { share: 1.0, batch: 1.0, downtime: Duration::ZERO, killed: true };
    let nodes = Incident { zone: Some(1), ..incident(6, 0, killed) };
    let script = script(vec![crash, nodes]);
    let (mut servers, mut restarted_nodes) = (Vec::new(), Vec::new());
    for (_, change) in changes(&script) {
        match change {
            Change::Stop { index } => servers.push(index),
            Change::RestartNode { node, .. } => restarted_nodes.push(node),
            _ => {}
        }
    }
    servers.sort_unstable();
    restarted_nodes.sort_unstable();
    assert_eq!(servers, (0..20).filter(|index| fleet::server_zone(&script, *index) == 1).collect::<Vec<_>>());
    assert_eq!(restarted_nodes, vec![1, 3, 5, 7, 9, 11]);
}

#[test]
fn discovery_error_rates_combine_and_end_one_by_one() {
    let errors = |rate| Fault::DiscoveryErrors { rate };
    let all = changes(&script(vec![incident(1, 6, errors(0.5)), incident(2, 2, errors(0.5))]));
    let all: Vec<_> = all.into_iter().map(|(at, change)| (at.as_secs(), change)).collect();
    let rate = |rate| Change::SetDiscoveryErrors { rate };
    assert_eq!(all, [(1, rate(0.5)), (2, rate(0.75)), (4, rate(0.5)), (7, rate(0.0))]);
}

#[test]
fn half_open_affects_the_connections_of_one_server_after_another() {
    let all = changes(&script(vec![incident(5, 10, Fault::HalfOpen { share: 0.5 })]));
    let times: Vec<_> = all.iter().map(|(at, _)| at.as_secs()).collect();
    assert_eq!(times, (5..15).collect::<Vec<_>>());
    assert!(all.iter().all(|(_, change)| matches!(change, Change::LoseConnectionState { .. })));
}
