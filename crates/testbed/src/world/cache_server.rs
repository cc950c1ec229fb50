//! A cache server: cores, slots, a bounded queue, a memory of entries, warm-up, and a fall when it is pushed over.
//!
//! A request that is taken waits for a slot, then, if its entry is not held, for the origin, then for a core. Misses
//! for one key do not share a fetch. Nothing that a client or a node does stops work that was taken.

use super::initial::InitialEntries;
use crate::draw::Draw;
use crate::script::{Kind, Reports, Rules};
use balancer_core::Timestamp;
use lru::LruCache;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::num::NonZeroUsize;
use std::time::Duration;

/// A request at a cache server, by the number that the player gave it.
pub type JobId = u64;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its number; never used twice.
    pub id: JobId,
    /// The entry.
    pub key: u64,
    /// The entry's rank, if it is this server that held it at the start where any did.
    pub initial_rank: Option<u32>,
    /// Work of a standard core.
    pub work: Duration,
    /// It changes its entry: the origin is always asked.
    pub write: bool,
    /// It comes on a new connection, which costs this much more.
    pub handshake: Duration,
    /// The source of what is drawn for it.
    pub draw: Draw,
}

/// What comes of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It will be done.
    Taken,
    /// Turned away unseen: it never runs.
    Declined,
    /// The server has fallen over, and everything in it is gone.
    Fell,
}

/// What a server did since it was last looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Did {
    /// It wants the entry of this job from the origin.
    Fetch(JobId),
    /// It has done the job.
    Done {
        /// Which.
        id: JobId,
        /// It failed; it may have run all the same.
        failed: bool,
        /// It held the entry.
        hit: bool,
    },
}

/// What it says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Recent service time, without waiting.
    pub service_time: Duration,
    /// Requests that wait for a core.
    pub waiting: usize,
}

#[derive(Debug)]
struct InWork {
    job: Job,
    hit: bool,
    fetch_failed: bool,
}

/// See the module's page.
#[derive(Debug)]
pub struct CacheServer {
    kind: Kind,
    rules: Rules,
    reports: Reports,
    born: Timestamp,
    /// Warm from the start.
    seasoned: bool,
    /// Work done since the start, in seconds of a standard core.
    done: f64,
    /// Entries that something has asked for, or that were listed one by one at the start.
    entries: LruCache<u64, ()>,
    /// Others, older than all of these.
    initial: InitialEntries,
    draining: bool,
    errors: f64,
    paused_until: Timestamp,
    /// Waits for a slot.
    queue: VecDeque<Job>,
    /// Has a slot.
    in_work: BTreeMap<JobId, InWork>,
    /// Has its entry and waits for a core.
    ready: VecDeque<JobId>,
    /// Has a core, until then.
    running: BTreeSet<(Timestamp, JobId)>,
    did: Vec<Did>,
    /// Work sent to it of late while it was cold, in seconds of a standard core.
    sent: VecDeque<(Timestamp, f64)>,
    sent_sum: f64,
    service_time: Duration,
    next_report: Timestamp,
    /// Snapshots that are not out yet, and the one that is.
    snapshots: VecDeque<(Timestamp, Report)>,
    told: Report,
}

impl CacheServer {
    /// One that starts now. A seasoned one is warm; a fresh one is cold and holds nothing.
    pub fn new(kind: Kind, rules: Rules, reports: Reports, now: Timestamp, seasoned: bool) -> Self {
        let memory = NonZeroUsize::new(kind.memory as usize).unwrap_or(NonZeroUsize::MIN);
        Self {
            kind,
            rules,
            next_report: now,
            reports,
            born: now,
            seasoned,
            done: 0.0,
            entries: LruCache::unbounded(),
            initial: InitialEntries::none(),
            draining: false,
            errors: 0.0,
            paused_until: now,
            queue: VecDeque::new(),
            in_work: BTreeMap::new(),
            ready: VecDeque::new(),
            running: BTreeSet::new(),
            did: Vec::new(),
            sent: VecDeque::new(),
            sent_sum: 0.0,
            service_time: Duration::ZERO,
            snapshots: VecDeque::new(),
            told: Report::default(),
        }
        .with_memory(memory)
    }

    fn with_memory(mut self, memory: NonZeroUsize) -> Self {
        self.entries.resize(memory);
        self
    }

    /// Holds an entry from the start.
    pub fn hold(&mut self, key: u64) {
        self.entries.put(key, ());
    }

    /// Holds this many entries from the start that are not listed.
    pub fn hold_initially(&mut self, initial: InitialEntries) {
        self.initial = initial;
    }

    /// Whether it depends on the place of this entry whether it is held.
    pub fn may_hold_initially(&self, key: u64, rank: u32) -> bool {
        self.initial.reaches(rank) && !self.entries.contains(&key)
    }

    /// How many entries it holds.
    pub fn entries(&self) -> usize {
        self.entries.len() + self.initial.count()
    }

    /// Whether the entry of a job is held; it is then the one used last.
    fn finds(&mut self, job: &Job) -> bool {
        if self.entries.get(&job.key).is_some() {
            return true;
        }
        let held = self.takes_initial(job);
        if held {
            self.entries.put(job.key, ());
        }
        held
    }

    /// Keeps the entry of a job.
    fn store(&mut self, job: &Job) {
        let known = self.entries.contains(&job.key) || self.takes_initial(job);
        if !known && self.entries() >= self.entries.cap().get() {
            self.initial.evict();
        }
        self.entries.put(job.key, ());
    }

    fn takes_initial(&mut self, job: &Job) -> bool {
        job.initial_rank.is_some_and(|rank| self.initial.take(rank))
    }

    /// From now on it takes nothing new.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether it does.
    pub fn drains(&self) -> bool {
        self.draining
    }

    /// This part of its requests fails, beside the ordinary part.
    pub fn set_errors(&mut self, rate: f64) {
        self.errors = rate;
    }

    /// Stands still for this long; what runs takes so much longer.
    pub fn pause(&mut self, now: Timestamp, length: Duration) {
        let until = self.paused_until.max(now + length);
        let more = until.since(self.paused_until.max(now));
        self.paused_until = until;
        self.running =
            std::mem::take(&mut self.running).into_iter().map(|(at, id)| (at + more, id)).collect();
    }

    /// The part of its capacity that it has now.
    pub fn warmth(&self, now: Timestamp) -> f64 {
        if self.seasoned {
            return 1.0;
        }
        let by_work = self.done / self.kind.warm_work.as_secs_f64();
        let by_time = now.since(self.born).as_secs_f64() / self.kind.warm_within.as_secs_f64();
        (self.kind.cold + (1.0 - self.kind.cold) * by_work.max(by_time)).min(1.0)
    }

    /// Work of a standard core that it can do in a second.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        f64::from(self.kind.cores) * self.kind.speed * self.warmth(now)
    }

    /// What it tells of its load: as of some time ago.
    pub fn report(&mut self, now: Timestamp) -> Report {
        self.refresh(now);
        self.told
    }

    /// Takes the snapshots that were due. Nothing changes between two looks, so a late one is no other.
    fn refresh(&mut self, now: Timestamp) {
        if self.next_report <= now {
            let report =
                Report { service_time: self.service_time, waiting: self.queue.len() + self.ready.len() };
            // Those in between would say the same; the last is what counts.
            let spans = now.since(self.next_report).as_micros() / self.reports.every.as_micros().max(1);
            let last =
                self.next_report + Duration::from_micros((spans * self.reports.every.as_micros()) as u64);
            self.snapshots.push_back((self.next_report + self.reports.delay, report));
            if last > self.next_report {
                self.snapshots.push_back((last + self.reports.delay, report));
            }
            self.next_report = last + self.reports.every;
        }
        while self.snapshots.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, report)) = self.snapshots.pop_front() {
                self.told = report;
            }
        }
    }

    /// A request has come whole.
    pub fn offer(&mut self, now: Timestamp, job: Job) -> Verdict {
        self.refresh(now);
        if self.falls(now, job.work) {
            return Verdict::Fell;
        }
        let room = (self.kind.queue_per_core * self.kind.cores) as usize;
        if self.draining || self.queue.len() >= room {
            return Verdict::Declined;
        }
        self.queue.push_back(job);
        self.go_on(now);
        Verdict::Taken
    }

    /// Whether so much more work pushes it over: what is sent counts, taken or not.
    fn falls(&mut self, now: Timestamp, work: Duration) -> bool {
        if self.warmth(now) >= 1.0 {
            return false;
        }
        let span = self.rules.fall_span;
        self.sent.push_back((now, work.as_secs_f64()));
        self.sent_sum += work.as_secs_f64();
        while let Some(&(at, work)) = self.sent.front().filter(|(at, _)| now.since(*at) > span) {
            debug_assert!(at <= now);
            self.sent_sum -= work;
            self.sent.pop_front();
        }
        self.sent_sum > self.rules.fall_multiple * self.capacity(now) * span.as_secs_f64()
    }

    /// The origin has answered, or failed, the fetch of this job.
    pub fn fetched(&mut self, now: Timestamp, id: JobId, ok: bool) {
        self.refresh(now);
        if let Some(work) = self.in_work.get_mut(&id) {
            work.fetch_failed = !ok;
            self.ready.push_back(id);
            self.go_on(now);
        }
    }

    /// When it wants to be looked at again.
    pub fn next(&self) -> Option<Timestamp> {
        let start = (!self.ready.is_empty() && self.running.len() < self.kind.cores as usize)
            .then_some(self.paused_until);
        self.running.first().map(|(at, _)| *at).into_iter().chain(start).min()
    }

    /// Goes on up to now and appends what it did.
    pub fn advance(&mut self, now: Timestamp, did: &mut Vec<Did>) {
        self.refresh(now);
        while let Some(&(at, id)) = self.running.first().filter(|(at, _)| *at <= now) {
            self.running.pop_first();
            self.finish(id);
            self.go_on(at);
        }
        self.go_on(now);
        did.append(&mut self.did);
    }

    fn finish(&mut self, id: JobId) {
        let Some(work) = self.in_work.remove(&id) else { return };
        let errors = 1.0 - (1.0 - self.kind.errors) * (1.0 - self.errors);
        let failed = work.fetch_failed || work.job.draw.on(7).unit() < errors;
        if !failed {
            self.store(&work.job);
        }
        self.done += work.job.work.as_secs_f64();
        self.did.push(Did::Done { id, failed, hit: work.hit });
    }

    /// Gives free slots and cores to what waits.
    fn go_on(&mut self, now: Timestamp) {
        let slots = (self.kind.slots_per_core * self.kind.cores) as usize;
        while self.in_work.len() < slots {
            let Some(job) = self.queue.pop_front() else { break };
            let (id, hit) = (job.id, !job.write && self.finds(&job));
            self.in_work.insert(id, InWork { job, hit, fetch_failed: false });
            if hit {
                self.ready.push_back(id);
            } else {
                self.did.push(Did::Fetch(id));
            }
        }
        while self.running.len() < self.kind.cores as usize && now >= self.paused_until {
            let Some(id) = self.ready.pop_front() else { break };
            let Some(work) = self.in_work.get(&id) else { continue };
            // A fetch that failed leaves no work but saying so.
            let asked = if work.fetch_failed { Duration::ZERO } else { work.job.work };
            let takes = (asked + work.job.handshake).div_f64(self.kind.speed * self.warmth(now));
            let takes = takes.max(Duration::from_micros(1));
            self.service_time = (self.service_time * 19 + takes) / 20;
            self.running.insert((now + takes, id));
        }
    }

    /// Requests in it, waiting or in work.
    pub fn held(&self) -> usize {
        self.queue.len() + self.in_work.len()
    }

    /// Connections that it holds at the most.
    pub fn most_connections(&self) -> u32 {
        self.kind.connections
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::script::Script;

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
            draw: Draw::new(id),
        }
    }

    fn server(change: impl FnOnce(&mut Kind), seasoned: bool) -> CacheServer {
        let base = Script::default();
        let mut kind =
            Kind { cores: 1, slots_per_core: 2, queue_per_core: 2, errors: 0.0, ..Kind::default() };
        change(&mut kind);
        CacheServer::new(kind, base.rules, base.reports, at(0), seasoned)
    }

    fn did(server: &mut CacheServer, now: Timestamp) -> Vec<Did> {
        let mut did = Vec::new();
        server.advance(now, &mut did);
        did
    }

    fn hit(id: u64) -> Did {
        Did::Done { id, failed: false, hit: true }
    }

    #[test]
    fn what_it_holds_it_answers_and_what_it_lacks_it_fetches_once_for_each_request() {
        let mut server = server(|_| (), true);
        server.hold(1);
        assert_eq!(server.offer(at(0), job(10, 1, 20)), Verdict::Taken);
        assert_eq!(server.offer(at(0), job(11, 2, 20)), Verdict::Taken);
        assert_eq!(did(&mut server, at(19)), [Did::Fetch(11)]);
        assert_eq!(did(&mut server, at(20)), [hit(10)]);
        // Two misses for one key: two fetches.
        server.offer(at(20), job(12, 2, 20));
        assert_eq!(did(&mut server, at(20)), [Did::Fetch(12)]);
        server.fetched(at(50), 11, true);
        assert_eq!(did(&mut server, at(70)), [Did::Done { id: 11, failed: false, hit: false }]);
        server.fetched(at(70), 12, false);
        assert_eq!(did(&mut server, at(71)), [Did::Done { id: 12, failed: true, hit: false }]);
        server.offer(at(100), job(13, 2, 20));
        assert_eq!(did(&mut server, at(120)), [hit(13)]);
    }

    #[test]
    fn a_full_queue_and_a_drain_turn_away_what_is_new_and_finish_what_was_taken() {
        let mut server = server(|_| (), true);
        (1..=6).for_each(|key| server.hold(key));
        let verdicts: Vec<_> = (1..=5).map(|id| server.offer(at(0), job(id, id, 10))).collect();
        // Two slots and two places in the queue.
        assert_eq!(verdicts[..4], [Verdict::Taken; 4]);
        assert_eq!(verdicts[4], Verdict::Declined);
        server.drain();
        assert_eq!(server.offer(at(0), job(6, 6, 10)), Verdict::Declined);
        assert_eq!(did(&mut server, at(40)), [1, 2, 3, 4].map(hit));
        assert_eq!((server.held(), server.next()), (0, None));
    }

    #[test]
    fn a_cold_one_is_slow_and_warms_up_by_its_work_or_its_time() {
        let cold = |kind: &mut Kind| (kind.cold, kind.warm_work) = (0.5, Duration::from_secs(1));
        let mut by_work = server(cold, false);
        by_work.hold(1);
        by_work.offer(at(0), job(1, 1, 100));
        assert_eq!(by_work.next(), Some(at(200)), "half as fast");
        did(&mut by_work, at(200));
        assert!((by_work.warmth(at(200)) - 0.55).abs() < 0.01, "a tenth of the work");
        let by_time = server(cold, false);
        assert!((by_time.warmth(at(3_900)) - 0.75).abs() < 0.001, "half of the time");
        assert_eq!(by_time.warmth(at(7_800)), 1.0);
    }

    #[test]
    fn a_cold_one_falls_when_more_is_sent_than_its_multiple_and_a_warm_one_does_not() {
        let cold = |kind: &mut Kind| (kind.cold, kind.queue_per_core) = (0.5, 1_000);
        // Half a core, 1.5 s, three times that: 2.25 s of work.
        let offer = |server: &mut CacheServer, every: u64| {
            (0..30).map(|id| server.offer(at(id * every), job(id, id, 100))).position(|v| v == Verdict::Fell)
        };
        assert_eq!(offer(&mut server(cold, true), 1), None);
        let fell = offer(&mut server(cold, false), 1).expect("pushed over");
        assert!((22..=24).contains(&fell), "{fell}");
        assert_eq!(offer(&mut server(cold, false), 100), None, "the same work over a longer time");
    }

    #[test]
    fn a_pause_makes_what_runs_longer_and_begins_nothing() {
        let mut server = server(|_| (), true);
        (1..=2).for_each(|key| server.hold(key));
        server.offer(at(0), job(1, 1, 20));
        server.pause(at(10), Duration::from_millis(100));
        // A second one that ends within the first changes nothing.
        server.pause(at(20), Duration::from_millis(50));
        server.offer(at(30), job(2, 2, 20));
        assert_eq!(did(&mut server, at(119)), []);
        assert_eq!(did(&mut server, at(140)), [1, 2].map(hit));
    }

    #[test]
    fn a_report_is_as_old_as_its_refresh_and_its_delay_make_it() {
        let mut server = server(|kind| kind.queue_per_core = 10, true);
        (1..=8).for_each(|id| {
            server.hold(id);
            server.offer(at(1), job(id, id, 1_000));
        });
        // Snapshots are taken at 0 and 120 ms and told 60 ms later.
        assert_eq!(server.report(at(100)).waiting, 0);
        assert_eq!(server.report(at(179)).waiting, 0);
        assert_eq!(server.report(at(180)).waiting, 7);
    }

    #[test]
    fn the_entries_used_longest_ago_go_first() {
        let mut server = server(|kind| kind.memory = 2, true);
        [1, 2].into_iter().for_each(|key| server.hold(key));
        server.offer(at(0), job(1, 1, 1));
        did(&mut server, at(1));
        server.hold(3);
        server.offer(at(2), job(2, 1, 1));
        assert_eq!(did(&mut server, at(3)), [hit(2)]);
        server.offer(at(4), job(3, 2, 1));
        assert_eq!(did(&mut server, at(4)), [Did::Fetch(3)]);
    }
}
