use super::*;
use crate::virtual_time::run;
use crate::Script;
use std::time::Duration;

fn report(seed: u64) -> Report {
    let script = Script { name: "short".into(), seed, length: Duration::from_secs(2), ..Script::default() };
    Report::new(&script, run(&script))
}

fn row(variance: Variance) -> Vec<String> {
    let text = table(&[variance]);
    let row = text.lines().last().unwrap_or_default();
    row.split('|').map(|cell| cell.trim().to_owned()).filter(|cell| !cell.is_empty()).collect()
}

#[test]
fn only_reports_of_the_scripts_own_seed_are_compared_byte_by_byte() {
    let mut variance = Variance::new("short");
    let (one, two) = (report(1), report(2));
    assert_ne!(one.json(), two.json());
    variance.add_same_seed(&one);
    variance.add_same_seed(&one);
    variance.add_other_seed(&one);
    variance.add_other_seed(&two);
    let cells = row(variance.clone());
    assert_eq!(cells[..3], ["short", "2", "2 of 2"]);
    assert_eq!(cells[4..6], ["0.00%", "2"]);
    variance.add_same_seed(&two);
    assert_eq!(row(variance)[..3], ["short", "3", "2 kinds"]);
}

#[test]
fn ranges_go_from_the_minimum_to_the_maximum() {
    let all = [0.8, 0.792, 0.796];
    assert_eq!((range(&all).as_str(), relative_range(&all).as_str()), ("0.792 to 0.800", "1.00%"));
    assert_eq!((range(&[]).as_str(), relative_range(&[]).as_str()), ("-", "-"));
}

#[test]
fn all_met_is_false_after_a_void_run_or_a_missed_expectation() {
    let mut variance = Variance::new("short");
    variance.add_other_seed(&report(1));
    assert!(variance.all_met());
    let mut void = variance.clone();
    void.add_void();
    assert!(!void.all_met());
    let mut missed = report(1);
    missed.checks[0].met = false;
    variance.add_other_seed(&missed);
    assert!(!variance.all_met());
}
