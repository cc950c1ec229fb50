//! A cache server: cores, slots, a bounded queue, a cache, slow start, and a crash when it is overloaded in slow start.
//!
//! An accepted request waits for a slot; then, on a miss, for the origin; then for a core. Misses of the same key do not
//! share a fetch. Nothing that a client or a node does stops work that was accepted.

mod entries;
mod load_reports;
mod slow_start_load;

pub use load_reports::ServerLoad;

use super::initial_entries::InitialEntries;
use crate::random::RandomSource;
use crate::script::{LoadReports, Rules, ServerKind};
use balancer_core::Timestamp;
use entries::CachedEntries;
use load_reports::LoadReporter;
use slow_start_load::SlowStartLoad;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The shortest time that a job takes on a core.
const SHORTEST_RUN: Duration = Duration::from_micros(1);

/// The number of a request at a cache server, given by the runner and never used twice.
pub type JobId = u64;

/// A request at a cache server.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Its number.
    pub id: JobId,
    /// The key of its entry.
    pub key: u64,
    /// The popularity rank of its key, if this is the server that has the entry at the start where any has.
    pub initial_rank: Option<u32>,
    /// The work of a standard core.
    pub work: Duration,
    /// Whether it changes its entry: the origin is always asked.
    pub write: bool,
    /// The additional work of a new connection; zero if it arrived on an existing one.
    pub handshake: Duration,
    /// The source of everything random about it.
    pub random: RandomSource,
}

/// The result of [`CacheServer::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The request will be executed.
    Accepted,
    /// The queue is full or the server drains: the request is never executed.
    Declined,
    /// The server was overloaded in slow start and has crashed; everything in it is lost.
    Overloaded,
}

/// What a cache server wants done, or has done, since the last call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutput {
    /// It fetches the entry of this job from the origin.
    Fetch(JobId),
    /// It has finished a job.
    Finished {
        /// The job.
        id: JobId,
        /// Whether it failed. It may have been executed all the same.
        failed: bool,
        /// Whether it was a cache hit.
        hit: bool,
    },
}

/// A job that has a slot.
#[derive(Debug)]
struct JobInProgress {
    job: Job,
    hit: bool,
    fetch_failed: bool,
}

/// The state machine of a cache server. See the module's documentation.
#[derive(Debug)]
pub struct CacheServer {
    kind: ServerKind,
    started_at: Timestamp,
    /// It did not start cold.
    started_warm: bool,
    /// Work done since the start, in seconds of a standard core.
    work_done: f64,
    entries: CachedEntries,
    draining: bool,
    /// The fraction of requests that fails, in addition to the kind's own.
    extra_error_rate: f64,
    paused_until: Timestamp,
    /// Jobs that wait for a slot.
    queue: VecDeque<Job>,
    in_progress: BTreeMap<JobId, JobInProgress>,
    /// Jobs in progress that have their entry and wait for a core.
    ready: VecDeque<JobId>,
    /// Jobs in progress that have a core, by the time at which they finish.
    running: BTreeSet<(Timestamp, JobId)>,
    outputs: Vec<ServerOutput>,
    slow_start_load: SlowStartLoad,
    /// Moving average of the time that a job takes on a core.
    service_time: Duration,
    load_reporter: LoadReporter,
}

impl CacheServer {
    /// Starts a cache server: warm, or cold and with an empty cache.
    pub fn new(
        kind: ServerKind,
        rules: Rules,
        load_reports: LoadReports,
        now: Timestamp,
        warm: bool,
    ) -> Self {
        Self {
            started_at: now,
            started_warm: warm,
            work_done: 0.0,
            entries: CachedEntries::new(kind.cache_entries),
            draining: false,
            extra_error_rate: 0.0,
            paused_until: now,
            queue: VecDeque::new(),
            in_progress: BTreeMap::new(),
            ready: VecDeque::new(),
            running: BTreeSet::new(),
            outputs: Vec::new(),
            slow_start_load: SlowStartLoad::new(rules),
            service_time: Duration::ZERO,
            load_reporter: LoadReporter::new(load_reports, now),
            kind,
        }
    }

    /// Puts an entry into the cache.
    pub fn insert_entry(&mut self, key: u64) {
        self.entries.insert(key);
    }

    /// Sets the entries that are cached at the start without being listed one by one.
    pub fn set_initial_entries(&mut self, initial: InitialEntries) {
        self.entries.set_initial(initial);
    }

    /// Whether it depends on [`Job::initial_rank`] whether this entry is cached.
    pub fn depends_on_initial_entries(&self, key: u64, rank: u32) -> bool {
        self.entries.depends_on_initial(key, rank)
    }

    /// The number of cached entries.
    pub fn cached_entries(&self) -> usize {
        self.entries.len()
    }

    /// Declines new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether it drains.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Sets the fraction of requests that fails, in addition to the ordinary error rate of its kind.
    pub fn set_extra_error_rate(&mut self, rate: f64) {
        self.extra_error_rate = rate;
    }

    /// Makes no progress for this long.
    pub fn pause(&mut self, now: Timestamp, duration: Duration) {
        let until = self.paused_until.max(now + duration);
        let additional = until.since(self.paused_until.max(now));
        self.paused_until = until;
        let running = std::mem::take(&mut self.running);
        self.running = running.into_iter().map(|(at, id)| (at + additional, id)).collect();
    }

    /// The fraction of its full capacity that it has now: below 1 in slow start.
    pub fn capacity_fraction(&self, now: Timestamp) -> f64 {
        if self.started_warm {
            return 1.0;
        }
        let min_fraction = self.kind.slow_start_min_fraction;
        let by_work = self.work_done / self.kind.slow_start_work.as_secs_f64();
        let by_time = now.since(self.started_at).as_secs_f64() / self.kind.slow_start_window.as_secs_f64();
        (min_fraction + (1.0 - min_fraction) * by_work.max(by_time)).min(1.0)
    }

    /// Whether it is in slow start.
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        self.capacity_fraction(now) < 1.0
    }

    /// Its present capacity: seconds of work of a standard core per second.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        f64::from(self.kind.cores) * self.kind.speed * self.capacity_fraction(now)
    }

    /// The load that it reports with an answer: a snapshot of some time ago.
    pub fn load_report(&mut self, now: Timestamp) -> ServerLoad {
        self.update_load_reports(now);
        self.load_reporter.reported()
    }

    fn update_load_reports(&mut self, now: Timestamp) {
        let queued = self.queue.len() + self.ready.len();
        self.load_reporter.update(now, ServerLoad { service_time: self.service_time, queued });
    }

    /// Takes in a request that has arrived.
    pub fn offer(&mut self, now: Timestamp, job: Job) -> OfferResult {
        self.update_load_reports(now);
        if self.is_warming_up(now) && self.slow_start_load.add(now, job.work, self.capacity(now)) {
            return OfferResult::Overloaded;
        }
        let queue_capacity = (self.kind.queue_per_core * self.kind.cores) as usize;
        if self.draining || self.queue.len() >= queue_capacity {
            return OfferResult::Declined;
        }
        self.queue.push_back(job);
        self.start_jobs(now);
        OfferResult::Accepted
    }

    /// Takes in the end of the fetch for a job.
    pub fn fetch_ended(&mut self, now: Timestamp, id: JobId, ok: bool) {
        self.update_load_reports(now);
        if let Some(in_progress) = self.in_progress.get_mut(&id) {
            in_progress.fetch_failed = !ok;
            self.ready.push_back(id);
            self.start_jobs(now);
        }
    }

    /// When [`CacheServer::advance`] is due next.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let can_start = !self.ready.is_empty() && self.running.len() < self.kind.cores as usize;
        let start = can_start.then_some(self.paused_until);
        self.running.first().map(|(at, _)| *at).into_iter().chain(start).min()
    }

    /// Advances up to now and appends its outputs.
    pub fn advance(&mut self, now: Timestamp, outputs: &mut Vec<ServerOutput>) {
        self.update_load_reports(now);
        while let Some(&(at, id)) = self.running.first().filter(|(at, _)| *at <= now) {
            self.running.pop_first();
            self.finish(id);
            self.start_jobs(at);
        }
        self.start_jobs(now);
        outputs.append(&mut self.outputs);
    }

    fn finish(&mut self, id: JobId) {
        let Some(JobInProgress { job, hit, fetch_failed }) = self.in_progress.remove(&id) else { return };
        let error_rate = 1.0 - (1.0 - self.kind.error_rate) * (1.0 - self.extra_error_rate);
        let failed = fetch_failed || job.random.derive(7).uniform() < error_rate;
        if !failed {
            self.entries.store(job.key, job.initial_rank);
        }
        self.work_done += job.work.as_secs_f64();
        self.outputs.push(ServerOutput::Finished { id, failed, hit });
    }

    /// Gives free slots and cores to jobs that wait for them.
    fn start_jobs(&mut self, now: Timestamp) {
        self.fill_slots();
        self.fill_cores(now);
    }

    fn fill_slots(&mut self) {
        let slots = (self.kind.slots_per_core * self.kind.cores) as usize;
        while self.in_progress.len() < slots {
            let Some(job) = self.queue.pop_front() else { break };
            let id = job.id;
            let hit = !job.write && self.entries.look_up(job.key, job.initial_rank);
            self.in_progress.insert(id, JobInProgress { job, hit, fetch_failed: false });
            if hit {
                self.ready.push_back(id);
            } else {
                self.outputs.push(ServerOutput::Fetch(id));
            }
        }
    }

    fn fill_cores(&mut self, now: Timestamp) {
        while self.running.len() < self.kind.cores as usize && now >= self.paused_until {
            let Some(id) = self.ready.pop_front() else { break };
            let Some(in_progress) = self.in_progress.get(&id) else { continue };
            let run_time = self.run_time(in_progress, now);
            self.service_time = (self.service_time * 19 + run_time) / 20;
            self.running.insert((now + run_time, id));
        }
    }

    /// How long a job takes on a core that starts it now, at the speed that the core has at this time.
    fn run_time(&self, in_progress: &JobInProgress, now: Timestamp) -> Duration {
        let JobInProgress { job, fetch_failed, .. } = in_progress;
        // After a failed fetch, the only work is to say so.
        let work = if *fetch_failed { Duration::ZERO } else { job.work };
        let run_time = (work + job.handshake).div_f64(self.kind.speed * self.capacity_fraction(now));
        run_time.max(SHORTEST_RUN)
    }

    /// The number of requests in it, queued or in progress.
    pub fn requests(&self) -> usize {
        self.queue.len() + self.in_progress.len()
    }

    /// The maximum number of open connections.
    pub fn max_connections(&self) -> u32 {
        self.kind.max_connections
    }
}
