//! Runs in virtual time: the same bytes every time, and figures that follow from the script alone.

use std::time::Duration;
use testbed::report::Report;
use testbed::script::{Fault, Incident};
use testbed::virtual_time::run;
use testbed::{scenarios, Script};

fn shipped(name: &str) -> Script {
    let scenario = scenarios::named(name).expect("a scenario");
    Script::parse(name, scenario.text).expect("a script")
}

fn json(script: &Script) -> String {
    Report::new(script, run(script)).json()
}

#[test]
fn every_scenario_replays_to_the_same_bytes_and_differs_with_another_seed() {
    for scenario in scenarios::ALL {
        let mut script = shipped(scenario.name);
        let first = json(&script);
        assert_eq!(first, json(&script), "{}", scenario.name);
        script.seed += 1;
        assert_ne!(first, json(&script), "{}", scenario.name);
    }
}

#[test]
fn every_scenario_keeps_the_rules_and_meets_its_expectations() {
    for scenario in scenarios::ALL {
        let script = shipped(scenario.name);
        let report = Report::new(&script, run(&script));
        assert!(report.all_met(), "{}", report.text());
    }
}

/// With one random sequence for everything, a request would get other work and other latencies because of events elsewhere.
/// Two runs that differ in one late incident would then differ from the beginning.
#[test]
fn an_incident_changes_nothing_that_came_before_it() {
    let calm = shipped("calm");
    let fault = Fault::Crash { share: 0.25 };
    let late = Incident { at: Duration::from_secs(30), duration: Duration::from_secs(10), zone: None, fault };
    let crash = Script { incidents: vec![late], ..calm.clone() };
    let (calm, crash) = (run(&calm).verdict, run(&crash).verdict);
    assert_eq!(calm.seconds[..29], crash.seconds[..29]);
    assert_ne!(calm.seconds[30..], crash.seconds[30..]);
    let operations = |seconds: &[testbed::judge::SecondFigures]| {
        seconds.iter().map(|second| second.operations).collect::<Vec<_>>()
    };
    assert_eq!(
        operations(&calm.seconds),
        operations(&crash.seconds),
        "the workload depends on no fault but surges and hot keys"
    );
}

#[test]
fn a_report_says_which_expectation_a_run_missed() {
    let mut script = shipped("slow-origin");
    script.length = Duration::from_secs(31);
    script.expectations.service = Some(0.999);
    let report = Report::new(&script, run(&script));
    assert!(!report.all_met());
    assert!(report.text().contains("MISSED: service 0.999 expected"), "{}", report.text());
}
