//! Tests the workload of a script: rates, shares, hot keys and surges.

use std::collections::BTreeMap;
use std::time::Duration;
use testbed::script::{Fault, Incident, Load};
use testbed::workload::{Operation, Workload};
use testbed::Script;

#[test]
fn operations_have_the_rate_and_the_shares_of_the_script() {
    let script = Script::default();
    let operations: Vec<_> = Workload::new(&script).collect();
    let count = operations.len() as f64;
    assert!((count / (410.0 * 50.0) - 1.0).abs() < 0.05, "{count}");
    let fraction = |matches: &dyn Fn(&Operation) -> bool| {
        operations.iter().filter(|operation| matches(operation)).count() as f64 / count
    };
    assert!((fraction(&|operation| operation.class == 0) - 0.35).abs() < 0.02);
    assert!((fraction(&|operation| operation.zone == 0) - 0.55).abs() < 0.02);
    assert!(operations.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn hot_keys_and_surges_apply_only_during_their_incident() {
    let hot = Incident {
        at: Duration::from_secs(10),
        duration: Duration::from_secs(10),
        zone: None,
        fault: Fault::HotKeys { keys: 1, share: 0.24 },
    };
    let surge = Incident {
        at: Duration::from_secs(30),
        duration: Duration::from_secs(10),
        zone: None,
        fault: Fault::Surge { factor: 2.0 },
    };
    let base = Script::default();
    let load = Load { swing: 0.0, ..base.load.clone() };
    let script = Script { incidents: vec![hot, surge], load, ..base };
    let count_in_10_s = |from: u64, key: Option<u32>| {
        let span = Duration::from_secs(from)..Duration::from_secs(from + 10);
        Workload::new(&script)
            .filter(|operation| {
                span.contains(&operation.at) && key.is_none_or(|key| operation.key_rank == key)
            })
            .count()
    };
    let mut counts = BTreeMap::new();
    Workload::new(&script).for_each(|operation| {
        *counts.entry(operation.key_rank).or_insert(0) += u32::from(operation.at.as_secs() / 10 == 1)
    });
    let key = *counts.iter().max_by_key(|(_, count)| **count).unwrap().0;
    let share = count_in_10_s(10, Some(key)) as f64 / count_in_10_s(10, None) as f64;
    assert!((share - 0.24).abs() < 0.03, "{share}");
    assert!(count_in_10_s(20, Some(key)) < count_in_10_s(10, Some(key)) / 20);
    let factor = count_in_10_s(30, None) as f64 / count_in_10_s(0, None) as f64;
    assert!((factor - 2.0).abs() < 0.2, "{factor}");
}
