//! Tests the initial entries of cache servers. A random number of entries must have the same effect as
//! entries listed one by one, and its cost must not depend on the number of keys.

use std::collections::BTreeMap;
use std::time::Duration;
use testbed::models::{CacheServer, InitialEntries, Job};
use testbed::placement::{initial_entries, Placement};
use testbed::random::RandomSource;
use testbed::script::ServerKind;
use testbed::virtual_time::run;
use testbed::workload::Workload;
use testbed::{fleet, Script};

use balancer_core::{Endpoint, EndpointState, ServerId, Timestamp};

const START: Timestamp = Timestamp::from_micros(0);

fn list(script: &Script) -> Vec<Endpoint> {
    let endpoint = |index| {
        let id = ServerId::from(fleet::server_name(script, index, 0).as_str());
        fleet::endpoint(script, id, index, EndpointState::Ready, None)
    };
    (0..fleet::server_count(script)).map(endpoint).collect()
}

fn counts(entries: &[(ServerId, u64)]) -> BTreeMap<ServerId, f64> {
    let mut counts = BTreeMap::new();
    entries.iter().for_each(|(server, _)| *counts.entry(server.clone()).or_default() += 1.0);
    counts
}

#[test]
fn servers_have_as_many_entries_as_when_they_are_listed_one_by_one() {
    let script = Script::default();
    let list = list(&script);
    let placement = Placement::new(&script, list.clone());
    let listed = counts(&initial_entries(&script, list.clone()));
    for (number, entry) in list.iter().enumerate() {
        let (ranks, share) = (placement.ranks(), placement.share(entry.weight));
        let mean = f64::from(ranks) * share;
        let deviation = (mean * (1.0 - share)).sqrt();
        let listed = listed[&entry.id];
        assert!((listed - mean).abs() < 5.0 * deviation, "{}: {listed} listed, {mean} expected", entry.id);
        let random: Vec<_> = (0..400)
            .map(|seed| {
                InitialEntries::new(ranks, share, u32::MAX, RandomSource::new(seed).derive(number as u64))
            })
            .map(|initial| initial.count() as f64)
            .collect();
        let random_mean = random.iter().sum::<f64>() / random.len() as f64;
        let squares = random.iter().map(|random| (random - random_mean).powi(2)).sum::<f64>();
        let random_deviation = (squares / random.len() as f64).sqrt();
        assert!(
            (random_mean - mean).abs() < 5.0 * deviation / 20.0,
            "{random_mean} at random, {mean} expected"
        );
        assert!((random_deviation / deviation - 1.0).abs() < 0.2, "{random_deviation}, {deviation} expected");
    }
}

#[test]
fn the_server_of_an_entry_does_not_depend_on_the_order_of_lookups() {
    let script = Script::default();
    let list = list(&script);
    let (mut ascending, mut descending) =
        (Placement::new(&script, list.clone()), Placement::new(&script, list));
    let found_ascending: Vec<_> = (0..5_000).map(|rank| ascending.server(rank)).collect();
    let mut found_descending: Vec<_> = (0..5_000).rev().map(|rank| descending.server(rank)).collect();
    found_descending.reverse();
    assert!(found_ascending.iter().all(Option::is_some));
    assert_eq!(found_ascending, found_descending);
    assert_eq!(ascending.server(ascending.ranks()), None, "not cached at the start");
}

/// Returns the number of hits and of requests of a workload at one server that has a share of the ranks.
fn hits(script: &Script, cache_entries: u32, listed: bool) -> (usize, usize) {
    let list = list(script);
    let (server, weight) = (list[0].id.clone(), list[0].weight);
    let mut placement = Placement::new(script, list.clone());
    let kind = ServerKind { cache_entries, error_rate: 0.0, ..ServerKind::default() };
    let mut cache = CacheServer::new(kind, script.rules.clone(), script.load_reports.clone(), START, true);
    if listed {
        let entries = initial_entries(script, list);
        entries.iter().filter(|(owner, _)| *owner == server).for_each(|(_, key)| cache.insert_entry(*key));
    } else {
        let share = placement.share(weight);
        let random = RandomSource::new(script.seed);
        cache.set_initial_entries(InitialEntries::new(placement.ranks(), share, cache_entries, random));
    }
    let (mut hits, mut requests) = (0, 0);
    for operation in Workload::new(script) {
        // Of the requests for entries that are not cached at the start, this server receives its share.
        let in_share = placement.share(weight) >= operation.random.derive(99).uniform();
        let for_this_server = placement.server(operation.key_rank).map_or(in_share, |owner| owner == server);
        if !for_this_server {
            continue;
        }
        let at = START + operation.at;
        let job = Job {
            id: operation.number,
            key: operation.key(),
            initial_rank: (!listed).then_some(operation.key_rank),
            work: Duration::from_micros(1),
            write: false,
            handshake: Duration::ZERO,
            random: operation.random,
        };
        cache.offer(at, job);
        let mut outputs = Vec::new();
        cache.advance(at, &mut outputs);
        requests += 1;
        if outputs.is_empty() {
            hits += 1;
        } else {
            cache.fetch_ended(at, operation.number, true);
        }
        cache.advance(at + Duration::from_micros(10), &mut outputs);
        assert!(cache.cached_entries() <= cache_entries as usize, "{} entries", cache.cached_entries());
    }
    (hits, requests)
}

#[test]
fn hit_rates_equal_those_of_listed_entries_for_any_cache_size() {
    for seed in 1..=3 {
        let script = Script { seed, length: Duration::from_secs(200), ..Script::default() };
        for capacity in [20_000, 1_000, 300] {
            let ((listed, requests), (random, _)) =
                (hits(&script, capacity, true), hits(&script, capacity, false));
            let hit_rate = |hits: usize| hits as f64 / requests as f64;
            assert!(requests > 3_000 && listed < requests, "{listed} of {requests}");
            let difference = (hit_rate(listed) - hit_rate(random)).abs();
            assert!(
                difference < 0.01,
                "seed {seed}, capacity {capacity}: {listed} and {random} of {requests}"
            );
        }
    }
}

#[test]
fn in_a_large_cache_the_same_requests_are_hits() {
    let script = Script::default();
    assert_eq!(hits(&script, 20_000, true), hits(&script, 20_000, false));
}

#[test]
fn evictions_remove_the_least_popular_entries_until_none_is_left() {
    let mut initial = InitialEntries::new(100_000, 0.01, 500, RandomSource::new(1));
    assert_eq!(initial.count(), 500);
    assert!(
        initial.contains_rank(40_000) && !initial.contains_rank(60_000),
        "half of a thousand entries are in half of the ranks"
    );
    (0..250).for_each(|_| initial.evict());
    assert_eq!(initial.count(), 250);
    assert!(initial.contains_rank(15_000) && !initial.contains_rank(35_000));
    assert!(initial.remove(3) && !initial.remove(60_000));
    (0..1_000).for_each(|_| initial.evict());
    assert_eq!((initial.count(), initial.contains_rank(0)), (0, false));
}

/// If the server of every key were looked up at the start, four million keys would take four million
/// decisions over 1,100 servers before the first event. The number of lookups must be bounded by the number
/// of operations instead.
#[test]
fn only_requested_keys_are_looked_up() {
    let mut script = Script { nodes: 2, length: Duration::from_secs(2), ..Script::default() };
    script.server_kinds[0].count = 700;
    script.server_kinds[1].count = 400;
    script.load.rate = 100.0;
    let mut lookups = Vec::new();
    for keys in [40_000, 400_000, 4_000_000] {
        script.load.keys = keys;
        let operations = Workload::new(&script).count();
        let result = run(&script);
        assert!(result.placement_lookups <= operations, "{} of {operations}", result.placement_lookups);
        lookups.push(result.placement_lookups);
    }
    assert!(lookups.iter().all(|&count| count > 0), "{lookups:?}");
}
