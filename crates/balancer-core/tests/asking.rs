//! Fleets that ask one discovery at once, in virtual time: it sends so many lines a second, a call costs some of them
//! whether it comes to anything or not, and one that has waited too long fails.

use balancer_core::asking::{wait, Asking, Call, End, Terms, COUNTED, TOLD};
use proptest::prelude::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

const LINES_PER_S: f64 = 200.0;
const CALL_LINES: f64 = 10.0;
const TIMEOUT: f64 = 3.0;
const TIMEOUT_OF_CALL: Duration = Duration::from_secs(3);
/// In so many seconds discovery answers all nodes once, however many they are.
const ALL: f64 = 8.0;

/// What held before: a wait that knows nothing of the number of nodes.
fn today(_: u32, failures: u32, _: bool, draw: f64) -> Duration {
    let step =
        Duration::from_millis(200).saturating_mul(1 << (failures - 1).min(8)).min(Duration::from_secs(3));
    step.mul_f64(0.5 + draw)
}

/// The pause after so many refusals in a row, as the decision has it.
fn pause(nodes: u32, failures: u32, holds_list: bool, draw: f64) -> Duration {
    let (mut asking, mut last) = (Asking::default(), Duration::ZERO);
    for _ in 0..failures {
        let call = asking.call(terms(nodes), holds_list, draw);
        last = asking.ended(terms(nodes), call, End::Failed, holds_list, draw);
    }
    last
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
        let (before, now) = (worst(today, nodes, lines, false), worst(pause, nodes, lines, false));
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
        let (at, _) = worst(pause, nodes, 0.0, true).expect("all of them in an hour");
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

/// How many of so many nodes have no answer at the last moment at which it still counts as told in time, after their watches,
/// which were opened together, fell silent together. Discovery works through calls in turn and answers all nodes once in `ALL`
/// seconds; a call that would wait longer than its time-out fails at once, and so does `refused` of the others.
fn late(nodes: u32, refused: f64, seed: u64, waits: impl Fn(f64) -> Call) -> usize {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut agenda: BinaryHeap<Reverse<(u64, u32)>> = BinaryHeap::new();
    let mut nodes_at: Vec<(Asking, f64)> = Vec::new();
    for node in 0..nodes {
        let mut asking = Asking::default();
        let call = waits(random.f64());
        let pause = asking.ended(terms(nodes), call, End::Overdue, true, random.f64());
        let last = call.wait + COUNTED + terms(nodes).grace;
        nodes_at.push((asking, last.as_secs_f64()));
        agenda.push(Reverse(((call.limit + pause).as_micros() as u64, node)));
    }
    // A few nodes are answered no slower than this, one after the other.
    let (mut free, each) = (0.0_f64, (ALL / f64::from(nodes)).min(0.25));
    let mut late = 0;
    while let Some(Reverse((at, node))) = agenda.pop() {
        let now = at as f64 / 1e6;
        let (asking, last) = &mut nodes_at[node as usize];
        let turn = free.max(now) + each;
        if turn - now > TIMEOUT || random.f64() < refused {
            let call = asking.call(terms(nodes), true, random.f64());
            let pause = asking.ended(terms(nodes), call, End::Failed, true, random.f64());
            agenda.push(Reverse((at + pause.as_micros() as u64, node)));
        } else {
            free = turn;
            late += usize::from(turn > *last);
        }
    }
    late
}

#[test]
fn nodes_whose_watches_fell_silent_together_all_hear_in_time_however_many_they_are() {
    println!("| nodes | late, none refused | of 10 seeds, one call in ten refused |");
    println!("| --- | --- | --- |");
    for nodes in [1, 8, 60, 350, 1_024, 5_000] {
        let asked = |draw: f64| Asking::default().call(terms(nodes), true, draw);
        let all = |refused| (0..10).map(|seed| late(nodes, refused, seed, asked)).sum::<usize>();
        let (none, some) = (all(0.0), all(0.1));
        println!("| {nodes} | {none} | {some} |");
        assert_eq!(none, 0, "{nodes} nodes");
        // Three refusals in a row are one call in a thousand.
        assert!(some as f64 <= 0.003 * 10.0 * f64::from(nodes) + 1.0, "{nodes} nodes: {some}");
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
        let late = late(nodes, 0.0, 1, waits);
        assert!(late as f64 > 0.5 * f64::from(nodes), "{late} of {nodes}");
    }
}

// Two calls after a dead watch are urgent and no more: a discovery that is away is not asked more often for it.
#[test]
fn a_discovery_that_refuses_after_a_dead_watch_is_soon_spared_as_ever() {
    let terms = terms(350);
    let mut asking = Asking::default();
    let call = asking.call(terms, true, 0.5);
    let mut pause = |end| asking.ended(terms, call, end, true, 1.0);
    assert_eq!(pause(End::Overdue), Duration::ZERO);
    let urgent = [pause(End::Failed), pause(End::Failed)];
    assert_eq!(urgent, [wait(1, 1, true, 1.0), wait(1, 2, true, 1.0)]);
    assert!(urgent.iter().sum::<Duration>() <= COUNTED);
    // What it has is still to be told in time: a step of hundreds of nodes would be longer than that.
    assert_eq!(pause(End::Failed), wait(350, 3, true, 1.0).min(TOLD / 2));
    // Once heard, it refuses like any other.
    pause(End::Answered { took: Duration::ZERO, news: true });
    assert_eq!(pause(End::Failed), wait(350, 1, true, 1.0));
}

/// How many of so many nodes are told too late after an outage, in percent, the longest time from the end of it until one is
/// told, and the calls a node from then on. Discovery is away for eight seconds, refusing at once or swallowing what connects,
/// and has all to tell when it comes back. It answers all nodes once in `all` seconds, in turn, and turns away at once what it
/// would let wait for longer than its time-out.
fn outage(
    nodes: u32,
    all: f64,
    swallows: bool,
    seed: u64,
    pauses: impl Fn(&mut Asking, u32, End, f64) -> f64,
) -> [f64; 3] {
    const BACK: f64 = 8.0;
    const CONNECT: f64 = 2.0;
    let mut random = fastrand::Rng::with_seed(seed);
    let mut agenda: BinaryHeap<Reverse<(u64, u32)>> = (0..nodes).map(|node| Reverse((0, node))).collect();
    let mut asking = vec![Asking::default(); nodes as usize];
    let mut told = vec![None; nodes as usize];
    let mut failures = vec![0; nodes as usize];
    // A few nodes are answered no slower than this, one after the other.
    let (mut free, each, mut calls) = (0.0_f64, (all / f64::from(nodes)).min(0.25), 0);
    while let Some(Reverse((at, node))) = agenda.pop() {
        let now = at as f64 / 1e6;
        let asks = &mut asking[node as usize];
        let call = asks.call(terms(nodes), true, random.f64());
        let mut failed = |asks: &mut Asking, end, took| {
            failures[node as usize] += 1;
            let next = now + took + pauses(asks, failures[node as usize], end, random.f64());
            agenda.push(Reverse(((next * 1e6) as u64, node)));
        };
        if now < BACK {
            let took = if swallows { CONNECT } else { 0.0 };
            failed(asks, End::Unreached { took: Duration::from_secs_f64(took) }, took);
            continue;
        }
        calls += 1;
        let turn = free.max(now) + each;
        if turn - now > TIMEOUT {
            failed(asks, End::Failed, 0.0);
            continue;
        }
        free = turn;
        if told[node as usize].is_none() {
            told[node as usize] = Some(turn - BACK);
            // The next one has nothing new to hear, and takes a turn all the same.
            let ended =
                asks.ended(terms(nodes), call, End::Answered { took: Duration::ZERO, news: true }, true, 0.5);
            let next = asks.call(terms(nodes), true, random.f64()).wait + ended;
            agenda.push(Reverse((((turn + next.as_secs_f64()) * 1e6) as u64, node)));
        }
    }
    let told: Vec<f64> = told.into_iter().map(|at| at.expect("told at last")).collect();
    let last = (TOLD + terms(nodes).grace).as_secs_f64();
    let late = told.iter().filter(|at| **at > last).count() as f64 / f64::from(nodes);
    [100.0 * late, told.iter().fold(0.0, |most, at| most.max(*at)), f64::from(calls) / f64::from(nodes)]
}

// Guards against a back-off that grows with the nodes past the time in which what a discovery has counts as told once it can be
// reached again. What discovery itself cannot do in that time no node can hear.
#[test]
fn nodes_whose_calls_failed_are_told_in_time_once_discovery_can_be_reached() {
    println!("| nodes | discovery answers all in | it was away by | late, before | now | last told, before | now | calls a node, before | now |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (all, swallows) in [(5.0, false), (5.0, true), (8.0, false), (8.0, true)] {
        for nodes in [1, 8, 20, 60, 100, 300, 350] {
            let call = Asking::default().call(terms(nodes), true, 0.5);
            let over = |pauses: &dyn Fn(&mut Asking, u32, End, f64) -> f64| {
                let seeds = (0..10).map(|seed| outage(nodes, all, swallows, seed, pauses));
                seeds.reduce(|a, b| [a[0].max(b[0]), a[1].max(b[1]), a[2].max(b[2])]).expect("ten")
            };
            let now =
                over(&|asks, _, end, draw| asks.ended(terms(nodes), call, end, true, draw).as_secs_f64());
            // What held before: the same steps without a bound for the time of telling.
            let before = over(&|asks, failures, end, draw| {
                asks.ended(terms(nodes), call, end, true, 0.0);
                let most = (terms(nodes).within * 2).as_secs_f64();
                wait(nodes, failures, true, draw).as_secs_f64().min(most)
            });
            println!(
                "| {nodes} | {all:.0} s | {} | {:.0}% | {:.0}% | {:.1} s | {:.1} s | {:.1} | {:.1} |",
                if swallows { "swallowing" } else { "refusing" },
                before[0],
                now[0],
                before[1],
                now[1],
                before[2],
                now[2]
            );
            // So many it cannot answer in time, however they ask.
            let beyond = (1.0 - (TOLD + terms(nodes).grace).as_secs_f64() / all).max(0.0) * 100.0;
            if nodes >= 60 {
                assert!(now[0] <= beyond * 1.6, "{nodes} nodes, {all} s: {now:?}");
                assert!(now[1] <= all + 2.5, "{nodes} nodes, {all} s: {now:?}");
            } else {
                assert_eq!(now[0], 0.0, "{nodes} nodes, {all} s: {now:?}");
            }
        }
    }
}

// Processes that are restarted together and know no list, each asking for the whole of it: nine in ten have it within ten
// seconds, also where discovery needs eight to answer all.
#[test]
fn nodes_that_start_together_with_no_list_have_one_in_time() {
    let trials = [1, 20, 60, 100, 300, 350].into_iter().flat_map(|nodes| [(nodes, 5.0), (nodes, ALL)]);
    for (nodes, all) in trials {
        for seed in 0..10 {
            let mut random = fastrand::Rng::with_seed(seed);
            let mut agenda: BinaryHeap<Reverse<(u64, u32)>> =
                (0..nodes).map(|node| Reverse((0, node))).collect();
            let mut asking = vec![Asking::default(); nodes as usize];
            let (mut free, each, mut in_time, mut last) =
                (0.0_f64, (all / f64::from(nodes)).min(0.25), 0, 0.0);
            while let Some(Reverse((at, node))) = agenda.pop() {
                let (now, asks) = (at as f64 / 1e6, &mut asking[node as usize]);
                let turn = free.max(now) + each;
                if turn - now > TIMEOUT {
                    let call = asks.call(terms(nodes), false, random.f64());
                    let pause = asks.ended(terms(nodes), call, End::Failed, false, random.f64());
                    agenda.push(Reverse((at + pause.as_micros() as u64, node)));
                } else {
                    free = turn;
                    (in_time, last) = (in_time + u32::from(turn <= 10.0), turn);
                }
            }
            assert!(in_time * 10 >= nodes * 9, "{in_time} of {nodes} nodes, {all} s, seed {seed}");
            // And what it tells is heard in time, where it can be.
            let told = (TOLD + terms(nodes).grace).as_secs_f64();
            assert!(all > told || last <= told, "the last of {nodes} nodes at {last:.1} s, seed {seed}");
        }
    }
}

// A watch that follows a call that failed may be swallowed as that one was: it is given up in time, and a usual one is not.
#[test]
fn the_watch_after_a_call_that_failed_is_a_short_one_where_discovery_has_room_for_a_second() {
    for nodes in [1, 20, 60, 350] {
        let terms = terms(nodes);
        for end in [End::Failed, End::Unreached { took: Duration::ZERO }, End::Overdue] {
            let mut asking = Asking::default();
            let usual = asking.call(terms, true, 0.0);
            asking.ended(terms, usual, end, true, 0.5);
            let next = asking.call(terms, true, 1.0);
            // In fifty milliseconds a node discovery is through with all first calls.
            let room = Duration::from_millis(50) * nodes;
            assert_eq!(
                next.wait,
                Duration::from_secs(3).max(room).min(Duration::from_secs(20)),
                "{nodes} nodes, {end:?}"
            );
            asking.ended(terms, next, End::Answered { took: next.wait, news: false }, true, 0.5);
            assert_eq!(asking.call(terms, true, 0.0), usual);
        }
    }
}

// Guards against a loop without a pause where a discovery does not wait as it is asked to, at each of hundreds of nodes.
#[test]
fn a_discovery_that_never_waits_is_asked_a_bounded_number_of_times_by_all_nodes_together() {
    const SPAN: Duration = Duration::from_secs(600);
    for nodes in [1, 60, 350, 1_024] {
        let mut random = fastrand::Rng::with_seed(u64::from(nodes));
        let mut calls = 0_u64;
        for _ in 0..nodes {
            let (mut asking, mut now) = (Asking::default(), Duration::ZERO);
            while now < SPAN {
                let call = asking.call(terms(nodes), true, random.f64());
                let took = Duration::from_millis(1);
                let end = End::Answered { took, news: false };
                let pause = asking.ended(terms(nodes), call, end, true, random.f64());
                // What it has is good for longer than that.
                assert!(pause <= terms(nodes).within / 2);
                now += took + pause;
                calls += 1;
            }
        }
        // Once in a second and a half each, of hundreds once in two and a half; and some at first.
        let most = SPAN.as_secs_f64() / if nodes < 100 { 1.3 } else { 2.3 };
        assert!(calls as f64 <= most * f64::from(nodes), "{nodes} nodes: {calls} calls");
    }
}

// What the bound on waits for changes would do to whole lists: calls that fail take what discovery has.
#[test]
fn waits_bounded_for_whole_lists_too_would_keep_a_slow_discovery_from_serving_large_fleets() {
    let bounded = |nodes: u32, failures: u32, holds_list: bool, draw: f64| {
        wait(nodes, failures, holds_list, draw).min(Duration::from_secs(20))
    };
    let lines = 83.0;
    let (without, with) = (worst(wait, 450, lines, false), worst(bounded, 450, lines, false));
    println!("450 nodes: {without:?} without, {with:?} with the bound");
    assert!(with.expect("an end").0 > 1.2 * without.expect("an end").0);
    let terms = terms(450);
    let (mut asking, whole) = (Asking::default(), Call { wait: Duration::ZERO, limit: TIMEOUT_OF_CALL });
    let mut longest = Duration::ZERO;
    for _ in 0..20 {
        longest = asking.ended(terms, whole, End::Failed, false, 1.0);
    }
    assert!(longest > terms.within * 2, "{longest:?}");
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
    // there are two calls at the least in the time for which one that failed is good; and nothing is asked again and again
    // without a pause but after a watch that waited, or news.
    #[test]
    fn the_next_call_is_in_time_however_calls_end(
        nodes in 1..5_000_u32,
        within in 500..60_000_u64,
        ends in prop::collection::vec((0..6_u8, 0.01..1.0_f64, any::<bool>()), 1..60),
    ) {
        let terms = Terms { nodes, within: Duration::from_millis(within), ..terms(nodes) };
        let (mut asking, mut unwaited) = (Asking::default(), 0);
        for (end, draw, for_changes) in ends {
            let call = asking.call(terms, for_changes, draw);
            prop_assert!(call.limit > call.wait);
            let end = match end {
                0 => End::Answered { took: call.wait, news: false },
                1 => End::Answered { took: Duration::ZERO, news: true },
                2 => End::Answered { took: Duration::ZERO, news: false },
                3 => End::Overdue,
                4 => End::Unreached { took: TIMEOUT_OF_CALL.mul_f64(draw) },
                _ => End::Failed,
            };
            let early = end == End::Answered { took: Duration::ZERO, news: false } && for_changes;
            unwaited = if early { unwaited + 1 } else { 0 };
            let pause = asking.ended(terms, call, end, for_changes, draw);
            match end {
                End::Overdue if for_changes => {
                    prop_assert!(call.limit + pause + Duration::from_secs(1) <= call.wait + COUNTED);
                }
                End::Overdue | End::Failed => {
                    prop_assert!(!pause.is_zero() && (!for_changes || pause <= (terms.within * 2).min(TOLD / 2)));
                }
                // Tried for a while, it is asked again so much sooner, for changes or not.
                End::Unreached { took } => {
                    prop_assert!(!pause.is_zero() && pause <= terms.within * 2);
                    prop_assert!(pause <= Duration::from_millis(200) || took + pause <= TOLD / 2);
                }
                End::Answered { .. } => {
                    prop_assert_eq!(pause.is_zero(), unwaited < 2);
                    prop_assert!(pause < terms.within);
                }
            }
        }
    }
}
