//! Runs in virtual time are reproducible: the same script and seed give the same bytes.

use std::time::Duration;
use testbed::report::Report;
use testbed::script::{Fault, Incident};
use testbed::virtual_time::run;
use testbed::{scenarios, Script};

fn parsed_scenario(name: &str) -> Script {
    let scenario = scenarios::named(name).expect("a scenario");
    Script::parse(name, scenario.text).expect("a script")
}

fn report_json(script: &Script) -> String {
    Report::new(script, run(script)).json()
}

#[test]
fn every_scenario_replays_to_the_same_bytes_and_differs_with_another_seed() {
    for scenario in scenarios::ALL {
        let mut script = parsed_scenario(scenario.name);
        let first = report_json(&script);
        assert_eq!(first, report_json(&script), "{}", scenario.name);
        script.seed += 1;
        assert_ne!(first, report_json(&script), "{}", scenario.name);
    }
}

#[test]
fn every_scenario_keeps_the_rules_and_meets_its_expectations() {
    for scenario in scenarios::ALL {
        let script = parsed_scenario(scenario.name);
        let report = Report::new(&script, run(&script));
        assert!(report.all_met(), "{}", report.text());
    }
}

/// Guards against a random sequence that requests share with other events. Each request would then get other
/// work and latencies whenever an event is added, and two runs that differ in one late incident would differ
/// from the start.
#[test]
fn an_incident_does_not_change_the_seconds_before_it() {
    let calm = parsed_scenario("calm");
    let fault = Fault::Crash { share: 0.25 };
    let late_crash =
        Incident { at: Duration::from_secs(30), duration: Duration::from_secs(10), zone: None, fault };
    let crash = Script { incidents: vec![late_crash], ..calm.clone() };
    let (calm, crash) = (run(&calm).verdict, run(&crash).verdict);
    assert_eq!(calm.seconds[..29], crash.seconds[..29]);
    assert_ne!(calm.seconds[30..], crash.seconds[30..]);
    let operations = |seconds: &[testbed::judge::SecondFigures]| {
        seconds.iter().map(|second| second.operations).collect::<Vec<_>>()
    };
    assert_eq!(
        operations(&calm.seconds),
        operations(&crash.seconds),
        "only surges and hot keys may change the workload"
    );
}

#[test]
fn a_report_names_the_missed_expectation() {
    let mut script = parsed_scenario("slow-origin");
    script.length = Duration::from_secs(31);
    script.expectations.service = Some(0.999);
    let report = Report::new(&script, run(&script));
    assert!(!report.all_met());
    assert!(report.text().contains("MISSED: service 0.999 expected"), "{}", report.text());
}
