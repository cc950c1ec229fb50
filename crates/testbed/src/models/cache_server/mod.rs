//! The model of a cache server: cores, slots, a bounded queue, a cache, slow start, and a crash if overloaded
//! in slow start.
//!
//! An accepted request waits for a slot, then, on a miss, for the origin, and then for a core. Misses of the
//! same key do not share a fetch. Clients and nodes cannot cancel work that was accepted.

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

/// Minimum time that a job takes on a core.
const MIN_RUN_TIME: Duration = Duration::from_micros(1);

/// The number of a request at a cache server. The runner assigns it and never uses a number twice.
pub type JobId = u64;

/// A request at a cache server.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The number of the job.
    pub id: JobId,
    /// The key of the requested entry.
    pub key: u64,
    /// The popularity rank of the key, if its entry belongs to this server at the start. `None` otherwise, or
    /// if the rank makes no difference.
    pub initial_rank: Option<u32>,
    /// The work of the job, in time on a standard core.
    pub work: Duration,
    /// Whether the job modifies its entry. A write always fetches from the origin.
    pub write: bool,
    /// The additional work of a new connection. Zero if the request arrived on an existing one.
    pub handshake: Duration,
    /// The source of all random values of the job.
    pub random: RandomSource,
}

/// The result of [`CacheServer::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The request will be executed.
    Accepted,
    /// The queue is full or the server is draining. The request is never executed.
    Declined,
    /// The server was overloaded in slow start and has crashed. All its requests and entries are lost.
    Overloaded,
}

/// An output of a cache server since the last call of [`CacheServer::advance`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutput {
    /// The server fetches the entry of this job from the origin.
    Fetch(JobId),
    /// The server has finished a job.
    Finished {
        /// The number of the job.
        id: JobId,
        /// Whether the job failed. A failed job may still have been executed.
        failed: bool,
        /// Whether the job was a cache hit.
        hit: bool,
    },
}

/// A job that occupies a slot.
#[derive(Debug)]
struct JobInProgress {
    job: Job,
    hit: bool,
    fetch_failed: bool,
}

/// The state machine of a cache server. See the module documentation.
#[derive(Debug)]
pub struct CacheServer {
    kind: ServerKind,
    started_at: Timestamp,
    /// Whether the server started warm, without slow start.
    started_warm: bool,
    /// Work done since the start, in seconds on a standard core.
    work_done: f64,
    entries: CachedEntries,
    draining: bool,
    /// The fraction of requests that fail, in addition to the error rate of the server kind.
    extra_error_rate: f64,
    paused_until: Timestamp,
    /// Jobs that wait for a slot.
    queue: VecDeque<Job>,
    in_progress: BTreeMap<JobId, JobInProgress>,
    /// Jobs in progress that wait for a core. They had a hit, or their fetch has ended.
    ready: VecDeque<JobId>,
    /// Jobs in progress that run on a core, ordered by the time at which they finish.
    running: BTreeSet<(Timestamp, JobId)>,
    outputs: Vec<ServerOutput>,
    slow_start_load: SlowStartLoad,
    /// The moving average of the time that a job takes on a core.
    service_time: Duration,
    load_reporter: LoadReporter,
}

impl CacheServer {
    /// Creates a cache server with an empty cache. A warm one has no slow start.
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

    /// Inserts an entry into the cache.
    pub fn insert_entry(&mut self, key: u64) {
        self.entries.insert(key);
    }

    /// Sets the entries that are cached at the start without being stored one by one.
    pub fn set_initial_entries(&mut self, initial: InitialEntries) {
        self.entries.set_initial(initial);
    }

    /// Returns whether the cache result of a request for this entry depends on [`Job::initial_rank`].
    pub fn depends_on_initial_entries(&self, key: u64, rank: u32) -> bool {
        self.entries.depends_on_initial(key, rank)
    }

    /// Returns the number of cached entries.
    pub fn cached_entries(&self) -> usize {
        self.entries.len()
    }

    /// Makes the server decline new requests from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether the server is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Sets the fraction of requests that fail, in addition to the error rate of the server kind.
    pub fn set_extra_error_rate(&mut self, rate: f64) {
        self.extra_error_rate = rate;
    }

    /// Stops the progress of all jobs for this duration.
    pub fn pause(&mut self, now: Timestamp, duration: Duration) {
        let until = self.paused_until.max(now + duration);
        let additional = until.since(self.paused_until.max(now));
        self.paused_until = until;
        let running = std::mem::take(&mut self.running);
        self.running = running.into_iter().map(|(at, id)| (at + additional, id)).collect();
    }

    /// Returns the current capacity as a fraction of the full capacity. It is below 1 in slow start.
    pub fn capacity_fraction(&self, now: Timestamp) -> f64 {
        if self.started_warm {
            return 1.0;
        }
        let min_fraction = self.kind.slow_start_min_fraction;
        let by_work = self.work_done / self.kind.slow_start_work.as_secs_f64();
        let by_time = now.since(self.started_at).as_secs_f64() / self.kind.slow_start_window.as_secs_f64();
        (min_fraction + (1.0 - min_fraction) * by_work.max(by_time)).min(1.0)
    }

    /// Returns whether the server is in slow start.
    pub fn is_warming_up(&self, now: Timestamp) -> bool {
        self.capacity_fraction(now) < 1.0
    }

    /// Returns the current capacity, in standard cores.
    pub fn capacity(&self, now: Timestamp) -> f64 {
        f64::from(self.kind.cores) * self.kind.speed * self.capacity_fraction(now)
    }

    /// Returns the load that the server reports with an answer. It is a past snapshot.
    pub fn load_report(&mut self, now: Timestamp) -> ServerLoad {
        self.update_load_reports(now);
        self.load_reporter.reported()
    }

    fn update_load_reports(&mut self, now: Timestamp) {
        let queued = self.queue.len() + self.ready.len();
        self.load_reporter.update(now, ServerLoad { service_time: self.service_time, queued });
    }

    /// Handles the arrival of a request.
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

    /// Handles the end of the fetch for a job.
    pub fn fetch_ended(&mut self, now: Timestamp, id: JobId, ok: bool) {
        self.update_load_reports(now);
        if let Some(in_progress) = self.in_progress.get_mut(&id) {
            in_progress.fetch_failed = !ok;
            self.ready.push_back(id);
            self.start_jobs(now);
        }
    }

    /// Returns the time at which [`CacheServer::advance`] is due next.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let can_start = !self.ready.is_empty() && self.running.len() < self.kind.cores as usize;
        let start = can_start.then_some(self.paused_until);
        self.running.first().map(|(at, _)| *at).into_iter().chain(start).min()
    }

    /// Advances the server up to `now` and appends its outputs.
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

    /// Assigns free slots and cores to waiting jobs.
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

    /// Returns the time on a core of a job that starts now. The current speed applies to the whole job.
    fn run_time(&self, in_progress: &JobInProgress, now: Timestamp) -> Duration {
        let JobInProgress { job, fetch_failed, .. } = in_progress;
        // After a failed fetch, the job only returns an error.
        let work = if *fetch_failed { Duration::ZERO } else { job.work };
        let run_time = (work + job.handshake).div_f64(self.kind.speed * self.capacity_fraction(now));
        run_time.max(MIN_RUN_TIME)
    }

    /// Returns the number of requests that are queued or in progress.
    pub fn requests(&self) -> usize {
        self.queue.len() + self.in_progress.len()
    }

    /// Returns the maximum number of open connections.
    pub fn max_connections(&self) -> u32 {
        self.kind.max_connections
    }
}
