//! Measures the run time of a simulation of 50 s, for the current fleet and for the planned one.

use criterion::Criterion;
use std::time::Duration;
use testbed::script::ServerKind;
use testbed::virtual_time::run;
use testbed::Script;

fn fleet(nodes: u32, servers: u32, rate: f64) -> Script {
    let mut script = Script { nodes, ..Script::default() };
    (script.load.rate, script.load.keys) = (rate, (rate * 100.0) as u32);
    script.origin.slots = (rate / 20.0) as u32;
    let kind_with_share = |share: f64, kind: &ServerKind| ServerKind {
        count: (f64::from(servers) * share).round() as u32,
        ..kind.clone()
    };
    script.server_kinds =
        vec![kind_with_share(0.7, &script.server_kinds[0]), kind_with_share(0.3, &script.server_kinds[1])];
    script
}

fn benchmark_runs(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("50 s in virtual time");
    group.sample_size(10).measurement_time(Duration::from_secs(10));
    for (nodes, servers, rate) in [(60, 20, 410.0), (450, 83, 2_000.0)] {
        let script = fleet(nodes, servers, rate);
        group.bench_function(format!("{nodes} nodes, {servers} boxes, {rate}/s"), |bencher| {
            bencher.iter(|| run(&script))
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    benchmark_runs(&mut criterion);
    criterion.final_summary();
}
