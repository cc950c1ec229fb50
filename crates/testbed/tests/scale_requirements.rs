//! The resources that a scale run needs, compared with the limits of the machine.

use testbed::scale::requirements::{Limits, Requirements, MAX_DESCRIPTORS, MAX_PROCESSES};
use testbed::scale::script::RealLoad;
use testbed::scale::{scenarios, ScaleScript};

const GIB: u64 = 1 << 30;
const LARGE_MACHINE: Limits =
    Limits { descriptors: MAX_DESCRIPTORS, memory_bytes: 64 * GIB, processes: MAX_PROCESSES };

fn script() -> ScaleScript {
    let scenario = scenarios::named("quiet").unwrap();
    ScaleScript::parse(scenario.name, scenario.text).unwrap()
}

#[test]
fn a_run_of_5900_nodes_and_1100_servers_fits_into_a_machine_of_24_gib() {
    let script = ScaleScript { nodes: 5_900, servers: 1_100, ..script() };
    let limits = Limits { memory_bytes: 12 * GIB, ..LARGE_MACHINE };
    assert_eq!(Requirements::of(&script).fit(&limits), Ok(()));
}

#[test]
fn all_shortages_are_reported_with_their_figures() {
    let script =
        ScaleScript { nodes: 20_000, servers: 4_000, hollow_processes: 200, replicas: 64, ..script() };
    let script = ScaleScript { real: RealLoad { nodes: 20, rate: 1.0 }, ..script };
    let limits = Limits { descriptors: 20_000, memory_bytes: GIB, processes: 200 };
    let requirements = Requirements::of(&script);
    let shortages = requirements.fit(&limits).unwrap_err();
    let texts: Vec<_> = shortages.iter().map(ToString::to_string).collect();
    assert_eq!(shortages.len(), 3, "{texts:?}");
    assert_eq!(
        texts[0],
        "descriptors: the run needs 20084 in one process, 20000 are allowed (20,000, or the process's own limit)"
    );
    assert!(
        texts[1].starts_with("memory: the run needs ") && texts[1].contains(" MiB, 1024 are allowed"),
        "{texts:?}"
    );
    assert_eq!(texts[2], "processes: the run needs 285 in all, 200 are allowed (of a run)");
}

#[test]
fn more_processes_need_fewer_descriptors_each_until_replicas_need_more() {
    let descriptors = |hollow_processes| {
        let real = RealLoad { nodes: 0, rate: 1.0 };
        Requirements::of(&ScaleScript { nodes: 5_000, hollow_processes, real, ..script() }).descriptors
    };
    assert_eq!(descriptors(1), 5_000 * 2 + 64);
    assert_eq!(descriptors(2), 2_500 * 2 + 64);
    // All nodes may connect to the same replica.
    assert_eq!(descriptors(100), 5_000 + 64);
}

#[test]
fn servers_for_real_nodes_use_descriptors_of_the_run() {
    let descriptors = |real| {
        let real = RealLoad { nodes: real, rate: 1.0 };
        Requirements::of(&ScaleScript { nodes: 100, servers: 1_000, real, ..script() }).descriptors
    };
    assert_eq!(descriptors(0), 100 + 64);
    assert!(descriptors(1) >= 1_000 + 1_000);
    assert!(descriptors(10) >= descriptors(1) + 9 * 1_000);
}

#[test]
fn memory_grows_with_nodes_times_servers() {
    let memory = |nodes, servers| Requirements::of(&ScaleScript { nodes, servers, ..script() }).memory_bytes;
    let for_servers = |nodes| memory(nodes, 2_000) - memory(nodes, 1_000);
    assert_eq!(for_servers(2_000), 2 * for_servers(1_000));
    assert!(memory(2_000, 1_000) > memory(1_000, 1_000));
}

#[test]
fn the_limits_of_this_machine_can_be_read() {
    let limits = Limits::of_this_machine().unwrap();
    assert!(limits.descriptors > 0 && limits.descriptors <= MAX_DESCRIPTORS);
    assert!(limits.memory_bytes > 0);
}
