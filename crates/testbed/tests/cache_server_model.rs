//! Tests the model of a cache server.

use balancer_core::Timestamp;
use std::time::Duration;
use testbed::models::cache_server::{CacheServer, Job, OfferResult, ServerOutput};
use testbed::random::RandomSource;
use testbed::script::ServerKind;
use testbed::Script;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(ms * 1_000)
}

fn job(id: u64, key: u64, work_ms: u64) -> Job {
    let work = Duration::from_millis(work_ms);
    Job {
        id,
        key,
        initial_rank: None,
        work,
        write: false,
        handshake: Duration::ZERO,
        random: RandomSource::new(id),
    }
}

fn server(change: impl FnOnce(&mut ServerKind), warm: bool) -> CacheServer {
    let base = Script::default();
    let mut kind = ServerKind {
        cores: 1,
        slots_per_core: 2,
        queue_per_core: 2,
        error_rate: 0.0,
        ..ServerKind::default()
    };
    change(&mut kind);
    CacheServer::new(kind, base.rules, base.load_reports, at(0), warm)
}

fn outputs(server: &mut CacheServer, now: Timestamp) -> Vec<ServerOutput> {
    let mut outputs = Vec::new();
    server.advance(now, &mut outputs);
    outputs
}

fn hit(id: u64) -> ServerOutput {
    ServerOutput::Finished { id, failed: false, hit: true }
}

#[test]
fn hits_are_served_and_each_miss_fetches_from_the_origin() {
    let mut server = server(|_| (), true);
    server.insert_entry(1);
    assert_eq!(server.offer(at(0), job(10, 1, 20)), OfferResult::Accepted);
    assert_eq!(server.offer(at(0), job(11, 2, 20)), OfferResult::Accepted);
    assert_eq!(outputs(&mut server, at(19)), [ServerOutput::Fetch(11)]);
    assert_eq!(outputs(&mut server, at(20)), [hit(10)]);
    // A second miss for the same key causes a second fetch.
    server.offer(at(20), job(12, 2, 20));
    assert_eq!(outputs(&mut server, at(20)), [ServerOutput::Fetch(12)]);
    server.fetch_ended(at(50), 11, true);
    assert_eq!(outputs(&mut server, at(70)), [ServerOutput::Finished { id: 11, failed: false, hit: false }]);
    server.fetch_ended(at(70), 12, false);
    assert_eq!(outputs(&mut server, at(71)), [ServerOutput::Finished { id: 12, failed: true, hit: false }]);
    server.offer(at(100), job(13, 2, 20));
    assert_eq!(outputs(&mut server, at(120)), [hit(13)]);
}

#[test]
fn a_full_or_draining_server_declines_new_requests_and_finishes_accepted_ones() {
    let mut server = server(|_| (), true);
    (1..=6).for_each(|key| server.insert_entry(key));
    let results: Vec<_> = (1..=5).map(|id| server.offer(at(0), job(id, id, 10))).collect();
    // The server has two slots and a queue for two requests.
    assert_eq!(results[..4], [OfferResult::Accepted; 4]);
    assert_eq!(results[4], OfferResult::Declined);
    server.drain();
    assert_eq!(server.offer(at(0), job(6, 6, 10)), OfferResult::Declined);
    assert_eq!(outputs(&mut server, at(40)), [1, 2, 3, 4].map(hit));
    assert_eq!((server.requests(), server.next_wakeup()), (0, None));
}

#[test]
fn a_cold_server_has_reduced_capacity_until_enough_work_or_time() {
    let cold = |kind: &mut ServerKind| {
        (kind.slow_start_min_fraction, kind.slow_start_work) = (0.5, Duration::from_secs(1))
    };
    let mut by_work = server(cold, false);
    by_work.insert_entry(1);
    by_work.offer(at(0), job(1, 1, 100));
    assert_eq!(by_work.next_wakeup(), Some(at(200)), "half of the full speed");
    outputs(&mut by_work, at(200));
    assert!((by_work.capacity_fraction(at(200)) - 0.55).abs() < 0.01, "a tenth of the work");
    let by_time = server(cold, false);
    assert!((by_time.capacity_fraction(at(3_900)) - 0.75).abs() < 0.001, "half of the time");
    assert_eq!(by_time.capacity_fraction(at(7_800)), 1.0);
}

#[test]
fn only_a_warming_server_crashes_under_overload() {
    let cold = |kind: &mut ServerKind| (kind.slow_start_min_fraction, kind.queue_per_core) = (0.5, 1_000);
    // The overload limit is three times the capacity of half a core over 1.5 s: 2.25 s of work.
    let first_overload = |server: &mut CacheServer, interval_ms: u64| {
        (0..30)
            .map(|id| server.offer(at(id * interval_ms), job(id, id, 100)))
            .position(|result| result == OfferResult::Overloaded)
    };
    assert_eq!(first_overload(&mut server(cold, true), 1), None);
    let crashed_at = first_overload(&mut server(cold, false), 1).expect("an overloaded server crashes");
    assert!((22..=24).contains(&crashed_at), "{crashed_at}");
    assert_eq!(first_overload(&mut server(cold, false), 100), None, "the same work over a longer time");
}

#[test]
fn a_pause_delays_running_jobs_and_starts_none() {
    let mut server = server(|_| (), true);
    (1..=2).for_each(|key| server.insert_entry(key));
    server.offer(at(0), job(1, 1, 20));
    server.pause(at(10), Duration::from_millis(100));
    // A second pause that ends during the first one has no effect.
    server.pause(at(20), Duration::from_millis(50));
    server.offer(at(30), job(2, 2, 20));
    assert_eq!(outputs(&mut server, at(119)), []);
    assert_eq!(outputs(&mut server, at(140)), [1, 2].map(hit));
}

#[test]
fn load_reports_are_periodic_snapshots_reported_after_a_delay() {
    let mut server = server(|kind| kind.queue_per_core = 10, true);
    (1..=8).for_each(|id| {
        server.insert_entry(id);
        server.offer(at(1), job(id, id, 1_000));
    });
    // Snapshots are taken at 0 and 120 ms and reported 60 ms later.
    assert_eq!(server.load_report(at(100)).queued, 0);
    assert_eq!(server.load_report(at(179)).queued, 0);
    assert_eq!(server.load_report(at(180)).queued, 7);
}

#[test]
fn the_least_recently_used_entry_is_evicted_first() {
    let mut server = server(|kind| kind.cache_entries = 2, true);
    [1, 2].into_iter().for_each(|key| server.insert_entry(key));
    server.offer(at(0), job(1, 1, 1));
    outputs(&mut server, at(1));
    server.insert_entry(3);
    server.offer(at(2), job(2, 1, 1));
    assert_eq!(outputs(&mut server, at(3)), [hit(2)]);
    server.offer(at(4), job(3, 2, 1));
    assert_eq!(outputs(&mut server, at(4)), [ServerOutput::Fetch(3)]);
}
