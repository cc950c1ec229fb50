//! Plays in virtual time: the same bytes every time, and figures that follow from the script alone.

use std::time::Duration;
use testbed::report::Report;
use testbed::script::{Incident, Trouble};
use testbed::simulate::play;
use testbed::{scenarios, Script};

fn shipped(name: &str) -> Script {
    let scenario = scenarios::named(name).expect("a scenario");
    Script::parse(name, scenario.text).expect("a script")
}

fn json(script: &Script) -> String {
    Report::new(script, play(script)).json()
}

#[test]
fn every_scenario_plays_to_the_same_bytes_again_and_to_others_from_another_seed() {
    for scenario in scenarios::ALL {
        let mut script = shipped(scenario.name);
        let first = json(&script);
        assert_eq!(first, json(&script), "{}", scenario.name);
        script.seed += 1;
        assert_ne!(first, json(&script), "{}", scenario.name);
    }
}

#[test]
fn every_scenario_keeps_the_rules_and_comes_to_what_it_expects() {
    for scenario in scenarios::ALL {
        let script = shipped(scenario.name);
        let report = Report::new(&script, play(&script));
        assert!(report.held(), "{}", report.text());
    }
}

// Guards against work drawn from a sequence that everything shares: a request would get other work, and other luck, for
// what happens elsewhere.
#[test]
fn an_incident_changes_nothing_that_came_before_it() {
    let calm = shipped("calm");
    let what = Trouble::Crash { share: 0.25 };
    let late = Incident { at: Duration::from_secs(30), over: Duration::from_secs(10), zone: None, what };
    let crash = Script { incidents: vec![late], ..calm.clone() };
    let (calm, crash) = (play(&calm).verdict, play(&crash).verdict);
    assert_eq!(calm.seconds[..29], crash.seconds[..29]);
    assert_ne!(calm.seconds[30..], crash.seconds[30..]);
    let asked =
        |seconds: &[testbed::ledger::Second]| seconds.iter().map(|second| second.asked).collect::<Vec<_>>();
    assert_eq!(asked(&calm.seconds), asked(&crash.seconds), "what clients wish depends on nothing");
}

#[test]
fn a_report_misses_what_the_play_does_not_reach() {
    let mut script = shipped("slow-origin");
    script.length = Duration::from_secs(31);
    script.expect.service = Some(0.999);
    let report = Report::new(&script, play(&script));
    assert!(!report.held());
    assert!(report.text().contains("MISSED: service 0.999 expected"), "{}", report.text());
}
