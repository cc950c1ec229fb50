//! Fleets that ask one discovery at once, in virtual time: it sends so many lines a second, a call costs some of them
//! whether it comes to anything or not, and one that has waited too long fails.

use decide::asking::{wait, Asking, Call, End, Terms, COUNTED};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const LINES_PER_S: f64 = 200.0;
const CALL_LINES: f64 = 10.0;
const TIMEOUT: f64 = 3.0;

/// What held before: a wait that knows nothing of the number of nodes.
fn today(_: u32, failures: u32, _: bool, draw: f64) -> Duration {
    let step =
        Duration::from_millis(200).saturating_mul(1 << (failures - 1).min(8)).min(Duration::from_secs(3));
    step.mul_f64(0.5 + draw)
}

/// When the last of so many nodes has its list, in seconds, and how many calls it took; `None` if that takes over an hour.
/// A whole list has `lines`; nodes that hold one have nothing new to hear.
fn all_have_it(
    wait: impl Fn(u32, u32, bool, f64) -> Duration,
    nodes: u32,
    lines: f64,
    holds_list: bool,
    seed: u64,
) -> Option<(f64, u32)> {
    let mut random = fastrand::Rng::with_seed(seed);
    // In microseconds, so that they have an order. With a stage: the call, and what it brings once its turn has come.
    let micros = |seconds: f64| (seconds * 1e6) as u64;
    let mut agenda: BinaryHeap<_> = (0..nodes).map(|node| Reverse((0, node, false))).collect();
    let (mut free, mut calls, mut last) = (0.0_f64, 0, 0.0);
    let mut failures = vec![0; nodes as usize];
    while let Some(Reverse((at, node, called))) = agenda.pop() {
        let now = at as f64 / 1e6;
        if now > 3_600.0 {
            return None;
        }
        calls += u32::from(!called);
        let brings = if holds_list { 0.0 } else { lines };
        let turn = free.max(now) + if called { brings } else { CALL_LINES } / LINES_PER_S;
        if turn - now > TIMEOUT {
            failures[node as usize] += 1;
            let pause = wait(nodes, failures[node as usize], holds_list, random.f64());
            agenda.push(Reverse((micros(now + TIMEOUT + pause.as_secs_f64()), node, false)));
        } else {
            free = turn;
            if called {
                last = turn;
            } else {
                agenda.push(Reverse((micros(turn), node, true)));
            }
        }
    }
    Some((last, calls))
}

/// Over ten seeds: the longest time and the most calls.
fn worst(
    wait: impl Fn(u32, u32, bool, f64) -> Duration + Copy,
    nodes: u32,
    lines: f64,
    holds_list: bool,
) -> Option<(f64, u32)> {
    let all = (0..10).map(|seed| all_have_it(wait, nodes, lines, holds_list, seed));
    all.reduce(|one, other| {
        let ((at, calls), (other_at, other_calls)) = (one?, other?);
        Some((at.max(other_at), calls.max(other_calls)))
    })?
}

#[test]
fn hundreds_of_nodes_that_hold_no_list_all_have_it_within_twice_what_sending_takes_and_one_longest_wait() {
    println!("| nodes | servers | sending takes | all have it, before | now | calls a node, before | now |");
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (nodes, servers) in
        [(1, 8), (8, 20), (20, 20), (60, 20), (60, 83), (200, 83), (450, 83), (450, 20), (1_000, 83)]
    {
        let lines = f64::from(servers);
        let least = f64::from(nodes) * (CALL_LINES + lines) / LINES_PER_S;
        let (before, now) = (worst(today, nodes, lines, false), worst(wait, nodes, lines, false));
        let time =
            |all: Option<(f64, u32)>| all.map_or("over an hour".into(), |(at, _)| format!("{at:.1} s"));
        let calls = |all: Option<(f64, u32)>| {
            all.map_or("-".into(), |(_, calls)| format!("{:.1}", f64::from(calls) / f64::from(nodes)))
        };
        println!(
            "| {nodes} | {servers} | {least:.1} s | {} | {} | {} | {} |",
            time(before),
            time(now),
            calls(before),
            calls(now)
        );
        let (at, _) = now.expect("all of them in an hour");
        let longest = wait(nodes, 30, false, 1.0).as_secs_f64();
        assert!(at <= 2.0 * least + longest + TIMEOUT, "{nodes} nodes, {servers} servers: {at:.1} s");
    }
}

#[test]
fn nodes_that_hold_a_list_go_on_asking_and_are_not_made_to_wait_for_a_whole_one() {
    for nodes in [1, 20, 60, 450, 1_000] {
        let least = f64::from(nodes) * CALL_LINES / LINES_PER_S;
        let (at, _) = worst(wait, nodes, 0.0, true).expect("all of them in an hour");
        assert!(at <= 3.0 * least + 12.0, "{nodes} nodes: {at:.1} s");
        // However often it fails.
        assert!(wait(nodes, 40, true, 1.0) <= Duration::from_secs(3).max(Duration::from_millis(50) * nodes));
    }
}

#[test]
fn the_wait_is_drawn_from_nothing_up_to_a_step_that_doubles_with_failures() {
    assert_eq!(wait(450, 0, false, 1.0), Duration::ZERO);
    let steps: Vec<_> = (1..=6).map(|failures| wait(20, failures, true, 1.0).as_millis()).collect();
    assert_eq!(steps, [400, 800, 1_600, 3_000, 3_000, 3_000]);
    assert_eq!(wait(20, 2, true, 0.25), Duration::from_millis(200));
    assert_eq!(wait(450, 30, false, 1.0), Duration::from_millis(112_500));
    // Whatever a draw is, and however many nodes there are said to be.
    for draw in [f64::NAN, f64::INFINITY, -1.0, 2.0] {
        assert!(wait(10_000, u32::MAX, false, draw) <= Duration::from_secs(5_000));
    }
}

fn terms(nodes: u32) -> Terms {
    Terms { nodes, within: Duration::from_secs(10), grace: Duration::from_millis(500), asked: true }
}

/// When each of so many nodes has an answer after their watches, which were opened together, fell silent together: seconds
/// after that, beside the last moment at which it still counts as told in time. Discovery works through calls in turn and
/// answers all nodes once in `all` seconds; a call that would wait longer than its time-out fails at once.
fn after_silence(nodes: u32, all: f64, seed: u64, waits: impl Fn(f64) -> Call) -> Vec<(f64, f64)> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut agenda: BinaryHeap<Reverse<(u64, u32)>> = BinaryHeap::new();
    let mut nodes_at: Vec<(Asking, f64)> = Vec::new();
    for node in 0..nodes {
        let mut asking = Asking::default();
        let call = waits(random.f64());
        let pause = asking.ended(terms(nodes), call, End::Silent, true, random.f64());
        let last = call.wait + COUNTED + terms(nodes).grace;
        nodes_at.push((asking, last.as_secs_f64()));
        agenda.push(Reverse(((call.limit + pause).as_micros() as u64, node)));
    }
    // A few nodes are answered no slower than this, one after the other.
    let (mut free, each) = (0.0_f64, (all / f64::from(nodes)).min(0.25));
    let mut answered = Vec::new();
    while let Some(Reverse((at, node))) = agenda.pop() {
        let now = at as f64 / 1e6;
        let (asking, last) = &mut nodes_at[node as usize];
        let turn = free.max(now) + each;
        if turn - now > TIMEOUT {
            let call = asking.call(terms(nodes), true, random.f64());
            let pause = asking.ended(terms(nodes), call, End::Failed, true, random.f64());
            agenda.push(Reverse((at + pause.as_micros() as u64, node)));
        } else {
            free = turn;
            answered.push((turn, *last));
        }
    }
    answered
}

#[test]
fn nodes_whose_watches_fell_silent_together_all_hear_in_time_however_many_they_are() {
    for nodes in [1, 8, 60, 350, 1_024, 5_000] {
        for seed in 0..10 {
            let answered =
                after_silence(nodes, 8.0, seed, |draw| Asking::default().call(terms(nodes), true, draw));
            assert_eq!(answered.len(), nodes as usize);
            let late = answered.iter().filter(|(at, last)| at > last).count();
            assert_eq!(late, 0, "{nodes} nodes, seed {seed}");
        }
    }
}

// The same judge on what was done before: one wait for all, and the next call a second and a drawn pause later.
#[test]
fn one_wait_for_all_nodes_leaves_most_of_them_unheard() {
    let before = |draw: f64| Call {
        wait: Duration::from_secs(20),
        limit: Duration::from_millis(22_500) + Duration::from_millis(400).mul_f64(draw),
    };
    let same = |_: f64| Call { wait: Duration::from_secs(20), limit: Duration::from_millis(20_500) };
    let cases: [(u32, &dyn Fn(f64) -> Call); 5] =
        [(8, &before), (60, &before), (350, &before), (60, &same), (350, &same)];
    for (nodes, waits) in cases {
        let late = after_silence(nodes, 8.0, 1, waits).iter().filter(|(at, last)| at > last).count();
        assert!(late as f64 > 0.5 * f64::from(nodes), "{late} of {nodes}");
    }
}

#[test]
fn an_agent_is_asked_again_within_the_grace_whatever_it_is() {
    for grace in [50, 150, 500, 3_000] {
        let grace = Duration::from_millis(grace);
        let terms = Terms { asked: false, grace, ..terms(350) };
        let mut asking = Asking::default();
        for failures in 0..40 {
            let call = asking.call(terms, failures % 3 > 0, 0.7);
            let pause = asking.ended(terms, call, End::Failed, true, 1.0);
            assert!(call.limit + pause <= grace && !pause.is_zero(), "{grace:?}: {call:?}, {pause:?}");
        }
    }
    // A grace of nothing asks for what cannot be; it must not ask without end.
    let none = Terms { asked: false, grace: Duration::ZERO, ..terms(1) };
    let call = Asking::default().call(none, true, 0.0);
    assert!(call.wait >= Duration::from_millis(5) && call.limit > call.wait);
}

proptest! {
    // However calls end: a watch is given up, and the next call out, before what it missed counts as told; after failures
    // there are two calls at the least in the time for which one that failed is good; and nothing is asked without a pause
    // but after a watch that waited, news, or silence.
    #[test]
    fn the_next_call_is_in_time_however_calls_end(
        nodes in 1..5_000_u32,
        within in 500..60_000_u64,
        ends in prop::collection::vec((0..4_u8, 0.0..1.0_f64, any::<bool>()), 1..60),
    ) {
        let terms = Terms { nodes, within: Duration::from_millis(within), ..terms(nodes) };
        let mut asking = Asking::default();
        for (end, draw, for_changes) in ends {
            let call = asking.call(terms, for_changes, draw);
            prop_assert!(call.limit > call.wait);
            let waited = Duration::from_millis(if end == 0 { 20_000 } else { 3 });
            let end = match end {
                0 | 1 => End::Answered { took: waited, news: draw > 0.5 },
                2 if for_changes => End::Silent,
                _ => End::Failed,
            };
            let pause = asking.ended(terms, call, end, for_changes, draw);
            match end {
                End::Silent => prop_assert!(call.limit + pause + Duration::from_secs(1) <= call.wait + COUNTED),
                End::Failed => prop_assert!(!for_changes || pause <= terms.within * 2),
                End::Answered { news, took } => {
                    prop_assert_eq!(pause.is_zero(), news || took >= call.wait / 2);
                }
            }
        }
    }
}
