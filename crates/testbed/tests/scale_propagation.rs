//! The time from a change of the list until nodes apply it.

use testbed::scale::messages::Applied;
use testbed::scale::propagation::Propagation;

fn applied(node: u32, version: u64, at_us: u64) -> Applied {
    Applied { node, version, at_us, is_snapshot: false }
}

#[test]
fn a_change_counts_as_applied_with_the_first_list_that_contains_it() {
    let mut propagation = Propagation::new(2, 0, 1);
    propagation.record_change(2, 1_000);
    propagation.record_change(3, 2_000);
    // Node 0 applies both changes with one list, node 1 with two.
    propagation.record_applied(applied(0, 3, 5_000));
    propagation.record_applied(applied(1, 2, 1_500));
    assert_eq!(propagation.nodes_behind(3), 1);
    propagation.record_applied(applied(1, 3, 2_500));
    assert_eq!(propagation.nodes_behind(3), 0);
    let figures = propagation.propagation_figures(Some(3.5));
    assert_eq!((figures.changes, figures.times.count, figures.never), (2, 4, 0));
    assert_eq!(figures.late, 1);
    assert!((figures.times.last_ms - 4.0).abs() < 0.01, "{figures:?}");
    assert!(figures.distribution.is_sorted_by(|a, b| a.0 <= b.0 && a.1 <= b.1));
}

#[test]
fn a_change_that_a_running_node_never_applied_is_counted() {
    let mut propagation = Propagation::new(3, 0, 1);
    propagation.record_change(2, 1_000);
    propagation.record_change(3, 2_000);
    propagation.record_applied(applied(0, 3, 2_500));
    // A list of version 2 does not contain the change of version 3.
    propagation.record_applied(applied(1, 2, 2_500));
    let figures = propagation.propagation_figures(None);
    assert_eq!((figures.times.count, figures.never, figures.nodes_never), (3, 3, 2));
    assert_eq!((propagation.nodes_behind(2), propagation.nodes_behind(3)), (1, 2));
}

#[test]
fn changes_are_not_expected_of_a_killed_node() {
    let mut propagation = Propagation::new(1, 0, 1);
    propagation.record_change(2, 1_000);
    propagation.record_kill(&[0], 1_500);
    propagation.record_change(3, 2_000);
    let figures = propagation.propagation_figures(None);
    assert_eq!((figures.times.count, figures.never, figures.killed_before), (0, 0, 1));
    assert_eq!(propagation.nodes_behind(3), 0);
}

#[test]
fn a_launched_node_is_ready_with_its_first_list() {
    let mut propagation = Propagation::new(2, 0, 1);
    propagation.record_kill(&[0, 1], 1_000);
    propagation.record_launch(&[0, 1], 2_000, 4.0);
    propagation.record_change(2, 3_000);
    assert_eq!(propagation.nodes_behind(2), 2);
    propagation.record_applied(Applied { node: 0, version: 2, at_us: 10_000, is_snapshot: true });
    propagation.record_change(3, 12_000);
    propagation.record_applied(applied(0, 3, 13_000));
    let (figures, ready) = (propagation.propagation_figures(None), propagation.readiness_figures());
    // The other node is never ready, which is counted in the readiness figures only.
    assert_eq!((figures.times.count, figures.never), (1, 0));
    assert_eq!((ready.launched, ready.times.count, ready.never, ready.largest_group), (2, 1, 1, 2));
    assert!((ready.largest_group_ms - 8.0).abs() < 1e-9 && (ready.largest_group_multiple - 2.0).abs() < 1e-9);
    assert_eq!(propagation.lists_applied_since(0), (1, 1));
}
