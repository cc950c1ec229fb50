//! What cache servers hold at the start: drawn as a number, it comes to the same as listed one by one, and costs nothing
//! in proportion to the keys.

use std::collections::BTreeMap;
use std::time::Duration;
use testbed::demand::Demand;
use testbed::draw::Draw;
use testbed::placement::{held_at_start, Placement};
use testbed::script::Kind;
use testbed::simulate::play;
use testbed::world::{CacheServer, InitialEntries, Job};
use testbed::{fleet, Script};

use balancer_core::{Endpoint, EndpointState, ServerId, Timestamp};

const START: Timestamp = Timestamp::from_micros(0);

fn list(script: &Script) -> Vec<Endpoint> {
    let entry = |seat| {
        let id = ServerId::from(fleet::name(script, seat, 0).as_str());
        fleet::entry(script, id, seat, EndpointState::Ready, None)
    };
    (0..fleet::seats(script)).map(entry).collect()
}

fn counts(held: &[(ServerId, u64)]) -> BTreeMap<ServerId, f64> {
    let mut counts = BTreeMap::new();
    held.iter().for_each(|(server, _)| *counts.entry(server.clone()).or_default() += 1.0);
    counts
}

#[test]
fn servers_hold_as_many_entries_as_when_they_are_listed_one_by_one() {
    let script = Script::default();
    let list = list(&script);
    let placement = Placement::new(&script, list.clone());
    let listed = counts(&held_at_start(&script, list.clone()));
    for (number, entry) in list.iter().enumerate() {
        let (ranks, share) = (placement.ranks(), placement.share(entry.weight));
        let mean = f64::from(ranks) * share;
        let deviation = (mean * (1.0 - share)).sqrt();
        let listed = listed[&entry.id];
        assert!((listed - mean).abs() < 5.0 * deviation, "{}: {listed} listed, {mean} expected", entry.id);
        let drawn: Vec<_> = (0..400)
            .map(|seed| InitialEntries::new(ranks, share, u32::MAX, Draw::new(seed).on(number as u64)))
            .map(|initial| initial.count() as f64)
            .collect();
        let drawn_mean = drawn.iter().sum::<f64>() / drawn.len() as f64;
        let squares = drawn.iter().map(|drawn| (drawn - drawn_mean).powi(2)).sum::<f64>();
        let drawn_deviation = (squares / drawn.len() as f64).sqrt();
        assert!((drawn_mean - mean).abs() < 5.0 * deviation / 20.0, "{drawn_mean} drawn, {mean} expected");
        assert!((drawn_deviation / deviation - 1.0).abs() < 0.2, "{drawn_deviation}, {deviation} expected");
    }
}

#[test]
fn an_entry_lies_where_it_lies_in_whatever_order_places_are_looked_up() {
    let script = Script::default();
    let list = list(&script);
    let (mut up, mut down) = (Placement::new(&script, list.clone()), Placement::new(&script, list));
    let upwards: Vec<_> = (0..5_000).map(|rank| up.server(rank)).collect();
    let mut downwards: Vec<_> = (0..5_000).rev().map(|rank| down.server(rank)).collect();
    downwards.reverse();
    assert!(upwards.iter().all(Option::is_some));
    assert_eq!(upwards, downwards);
    assert_eq!(up.server(up.ranks()), None, "no cache server holds it");
}

/// The hits of a row of requests at one server that holds a share of the ranks.
fn hits(script: &Script, memory: u32, listed: bool) -> (usize, usize) {
    let list = list(script);
    let (server, weight) = (list[0].id.clone(), list[0].weight);
    let mut placement = Placement::new(script, list.clone());
    let kind = Kind { memory, errors: 0.0, ..Kind::default() };
    let mut cache = CacheServer::new(kind, script.rules.clone(), script.reports.clone(), START, true);
    if listed {
        let held = held_at_start(script, list);
        held.iter().filter(|(holder, _)| *holder == server).for_each(|(_, key)| cache.hold(*key));
    } else {
        let share = placement.share(weight);
        let draw = Draw::new(script.seed);
        cache.hold_initially(InitialEntries::new(placement.ranks(), share, memory, draw));
    }
    let (mut hits, mut asked) = (0, 0);
    for ask in Demand::new(script) {
        // Beyond the ranks held at the start, this server gets its share of what is asked for.
        let elsewhere = placement.share(weight) < ask.draw.on(99).unit();
        let here = placement.server(ask.key).map_or(!elsewhere, |holder| holder == server);
        if !here {
            continue;
        }
        let at = START + ask.at;
        let job = Job {
            id: ask.number,
            key: ask.key_number(),
            initial_rank: (!listed).then_some(ask.key),
            work: Duration::from_micros(1),
            write: false,
            handshake: Duration::ZERO,
            draw: ask.draw,
        };
        cache.offer(at, job);
        let mut did = Vec::new();
        cache.advance(at, &mut did);
        asked += 1;
        if did.is_empty() {
            hits += 1;
        } else {
            cache.fetched(at, ask.number, true);
        }
        cache.advance(at + Duration::from_micros(10), &mut did);
        assert!(cache.entries() <= memory as usize, "{} entries", cache.entries());
    }
    (hits, asked)
}

#[test]
fn as_many_requests_find_their_entry_whether_memory_is_short_or_not() {
    for seed in 1..=3 {
        let script = Script { seed, length: Duration::from_secs(200), ..Script::default() };
        for memory in [20_000, 1_000, 300] {
            let ((listed, asked), (drawn, _)) = (hits(&script, memory, true), hits(&script, memory, false));
            let part = |hits: usize| hits as f64 / asked as f64;
            assert!(asked > 3_000 && listed < asked, "{listed} of {asked}");
            let apart = (part(listed) - part(drawn)).abs();
            assert!(apart < 0.01, "seed {seed}, memory {memory}: {listed} and {drawn} of {asked}");
        }
    }
}

#[test]
fn where_memory_holds_all_of_them_the_same_requests_find_their_entry() {
    let script = Script::default();
    assert_eq!(hits(&script, 20_000, true), hits(&script, 20_000, false));
}

#[test]
fn evictions_take_the_least_asked_for_and_leave_none_in_the_end() {
    let mut initial = InitialEntries::new(100_000, 0.01, 500, Draw::new(1));
    assert_eq!(initial.count(), 500);
    assert!(
        initial.reaches(40_000) && !initial.reaches(60_000),
        "half of a thousand lie in half of the ranks"
    );
    (0..250).for_each(|_| initial.evict());
    assert_eq!(initial.count(), 250);
    assert!(initial.reaches(15_000) && !initial.reaches(35_000));
    assert!(initial.take(3) && !initial.take(60_000));
    (0..1_000).for_each(|_| initial.evict());
    assert_eq!((initial.count(), initial.reaches(0)), (0, false));
}

// Guards against a start that finds the place of every key: four million decisions before 1,100 servers.
#[test]
fn places_are_looked_up_for_what_is_asked_for_and_for_nothing_else() {
    let mut script = Script { nodes: 2, length: Duration::from_secs(2), ..Script::default() };
    script.boxes[0].count = 700;
    script.boxes[1].count = 400;
    script.load.rate = 100.0;
    let mut looked_up = Vec::new();
    for keys in [40_000, 400_000, 4_000_000] {
        script.load.keys = keys;
        let asked = Demand::new(&script).count();
        let played = play(&script);
        assert!(played.placements_looked_up <= asked, "{} of {asked}", played.placements_looked_up);
        looked_up.push(played.placements_looked_up);
    }
    assert!(looked_up.iter().all(|&count| count > 0), "{looked_up:?}");
}
