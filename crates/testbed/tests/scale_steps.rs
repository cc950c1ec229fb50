//! Planning the steps of a script's events.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use testbed::scale::messages::Answering;
use testbed::scale::script::{Event, EventKind};
use testbed::scale::steps::{servers_at_start, PlannedStep, Step};
use testbed::scale::{scenarios, ScaleScript};

fn shipped(name: &str) -> ScaleScript {
    let scenario = scenarios::named(name).unwrap();
    ScaleScript::parse(scenario.name, scenario.text).unwrap()
}

fn with_event(kind: EventKind) -> ScaleScript {
    let event = Event { at: Duration::from_secs(5), duration: Some(Duration::from_secs(20)), kind };
    ScaleScript { events: vec![event], ..shipped("quiet") }
}

fn plan(script: &ScaleScript) -> Vec<PlannedStep> {
    testbed::scale::steps::plan(script, &servers_at_start(script))
}

fn changes(steps: &[PlannedStep]) -> usize {
    steps.iter().filter(|planned| matches!(planned.step, Step::Change { .. })).count()
}

#[test]
fn the_same_seed_gives_the_same_steps_and_another_seed_gives_different_ones() {
    for scenario in scenarios::ALL.iter().filter(|scenario| scenario.name != "quiet") {
        let script = shipped(scenario.name);
        assert_eq!(plan(&script), plan(&script), "{}", scenario.name);
        assert!(!plan(&script).is_empty(), "{}", scenario.name);
    }
    let script = shipped("changes-tenfold");
    assert_ne!(plan(&script), plan(&ScaleScript { seed: script.seed + 1, ..script.clone() }));
}

#[test]
fn steps_are_in_chronological_order_and_within_the_length() {
    for scenario in scenarios::ALL {
        let script = shipped(scenario.name);
        let times: Vec<_> = plan(&script).iter().map(|planned| planned.at).collect();
        assert!(times.is_sorted(), "{}", scenario.name);
        assert!(
            times.iter().all(|at| *at <= script.length && *at >= script.first_event()),
            "{}",
            scenario.name
        );
    }
}

#[test]
fn changes_happen_at_the_configured_rate() {
    // The event lasts 40 s, which is 1/2160 of a day.
    assert_eq!(changes(&plan(&shipped("changes"))), 6);
    assert_eq!(changes(&plan(&shipped("changes-tenfold"))), 57);
}

#[test]
fn a_replaced_server_drains_and_is_removed_and_its_successor_has_its_address() {
    let script = shipped("changes-tenfold");
    let mut entries: BTreeMap<_, _> =
        servers_at_start(&script).into_iter().map(|server| (server.host.clone(), server)).collect();
    assert_eq!(entries.len(), script.servers as usize);
    for PlannedStep { step, .. } in plan(&script) {
        let Step::Change { server, starts } = step else { panic!("{step:?}") };
        let before = entries.get(&server.host).map(|entry| entry.health.clone());
        match server.health.as_str() {
            "draining" => assert_eq!(before.as_deref(), Some("ready"), "{}", server.host),
            "gone" => assert_eq!(before.as_deref(), Some("draining"), "{}", server.host),
            "ready" => assert!(before.is_none() && starts, "{}", server.host),
            other => panic!("{other}"),
        }
        entries.insert(server.host.clone(), server);
    }
    let ready: Vec<_> = entries.values().filter(|server| server.health == "ready").collect();
    assert_eq!(ready.len(), script.servers as usize);
    // Each successor has the address of its predecessor, and no address is used twice.
    let dials: BTreeSet<_> = ready.iter().map(|server| server.dial).collect();
    assert_eq!(dials.len(), ready.len());
    let first: BTreeSet<_> = servers_at_start(&script).iter().map(|server| server.dial).collect();
    assert_eq!(dials, first);
}

#[test]
fn restarts_affect_nodes_and_servers_in_proportion_and_all_return() {
    let script = ScaleScript {
        nodes: 900,
        servers: 100,
        ..with_event(EventKind::Restarts {
            // This is 200 restarts in 20 s.
            per_day: 864_000.0,
            downtime: Duration::from_secs(1),
            nodes_only: false,
        })
    };
    let steps = plan(&script);
    let (mut killed, mut launched, mut gone, mut ready) = (0, 0, 0, 0);
    for PlannedStep { step, .. } in &steps {
        match step {
            Step::Kill(nodes) => killed += nodes.len(),
            Step::Launch(nodes) => launched += nodes.len(),
            Step::Change { server, .. } if server.health == "gone" => gone += 1,
            Step::Change { server, starts: true } if server.health == "ready" => ready += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((killed, gone), (launched, ready));
    assert_eq!(killed + gone, 200);
    assert!((10..=32).contains(&gone), "{gone} of 200 restarts were of servers, 20 expected");
}

#[test]
fn the_loss_of_a_zone_affects_all_its_nodes_and_servers_until_it_returns() {
    let lost = with_event(EventKind::Zone { zone: Some(12) });
    let script = ScaleScript { nodes: 5_900, servers: 1_100, ..lost };
    let steps = plan(&script);
    let killed = steps.iter().find_map(|planned| match &planned.step {
        Step::Kill(nodes) => Some((planned.at, nodes.clone())),
        _ => None,
    });
    let launched = steps.iter().find_map(|planned| match &planned.step {
        Step::Launch(nodes) => Some((planned.at, nodes.clone())),
        _ => None,
    });
    let (killed, launched) = (killed.unwrap(), launched.unwrap());
    assert_eq!(killed.1, launched.1);
    assert_eq!((killed.0.as_secs(), launched.0.as_secs(), killed.1.len()), (5, 25, 174));
    assert!(killed.1.iter().all(|node| node % 34 == 12));
    // 32 servers are removed and become ready again.
    assert_eq!(changes(&steps), 64);
    let zone = script.zone_name(12);
    let in_zone = |planned: &PlannedStep| match &planned.step {
        Step::Change { server, .. } => server.site == zone,
        _ => true,
    };
    assert!(steps.iter().all(in_zone));
}

#[test]
fn no_node_or_server_is_chosen_for_two_events_at_once() {
    let mut script = ScaleScript { servers: 40, nodes: 40, ..shipped("zone") };
    let duration = Some(Duration::from_secs(25));
    let at = Duration::from_secs(5);
    let step = Duration::from_secs(2);
    script.events.push(Event { at, duration, kind: EventKind::Changes { per_day: 100_000.0, step } });
    script.events.push(Event {
        at,
        duration,
        kind: EventKind::Restarts { per_day: 100_000.0, downtime: step, nodes_only: false },
    });
    let mut health: BTreeMap<String, String> = BTreeMap::new();
    let mut down = BTreeSet::new();
    for PlannedStep { step, .. } in plan(&script) {
        match step {
            Step::Kill(nodes) => {
                nodes.iter().for_each(|node| assert!(down.insert(*node), "{node} killed twice"))
            }
            Step::Launch(nodes) => {
                nodes.iter().for_each(|node| assert!(down.remove(node), "{node} launched while running"))
            }
            Step::Change { server, .. } => {
                let before = health.insert(server.host.clone(), server.health.clone());
                assert_ne!(before, Some(server.health), "{}", server.host);
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(down.is_empty());
}

#[test]
fn without_the_mechanism_the_only_known_replica_is_lost() {
    let script = ScaleScript { mechanism: false, ..with_event(EventKind::ReplicaLost { replica: Some(5) }) };
    let steps: Vec<_> = plan(&script).into_iter().map(|planned| planned.step).collect();
    let answers = |answering| Step::SetAnswering { replicas: vec![0], answering };
    assert_eq!(steps, [answers(Answering::Away), answers(Answering::Up)]);
}

#[test]
fn discovery_away_affects_all_replicas() {
    let script = ScaleScript { replicas: 4, ..with_event(EventKind::DiscoveryAway) };
    let steps: Vec<_> = plan(&script).into_iter().map(|planned| planned.step).collect();
    let answers = |answering| Step::SetAnswering { replicas: vec![0, 1, 2, 3], answering };
    assert_eq!(steps, [answers(Answering::Away), answers(Answering::Up)]);
}

#[test]
fn a_fault_without_a_duration_has_no_end_step() {
    let mut script = with_event(EventKind::ReplicaLost { replica: Some(5) });
    script.events[0].duration = None;
    let steps: Vec<_> = plan(&script).into_iter().map(|planned| planned.step).collect();
    assert_eq!(steps, [Step::SetAnswering { replicas: vec![5], answering: Answering::Away }]);
}

#[test]
fn restarts_of_nodes_only_do_not_change_the_list() {
    let steps = plan(&shipped("node-restarts"));
    assert_eq!(changes(&steps), 0);
    // The event lasts 40 s, which is 1/2160 of a day.
    let killed = steps.iter().filter(|planned| matches!(planned.step, Step::Kill(_))).count();
    assert_eq!((killed, steps.len()), (60, 120));
}
