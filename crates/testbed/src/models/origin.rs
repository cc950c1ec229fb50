//! The origin that all cache servers share. It has a bounded number of fetches in progress and a bounded
//! queue. Further fetches fail immediately.

use crate::random::RandomSource;
use crate::script;
use balancer_core::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Minimum duration of a fetch.
const MIN_FETCH_TIME: Duration = Duration::from_micros(1);

/// The number of a fetch, assigned by the runner.
pub type FetchId = u64;

/// The state machine of the origin.
#[derive(Debug)]
pub struct Origin {
    settings: script::Origin,
    slowdown: f64,
    /// The fetches in progress with their end times, unordered. Their number is bounded by the number of
    /// slots.
    in_progress: Vec<(Timestamp, FetchId)>,
    queue: VecDeque<(FetchId, RandomSource)>,
}

impl Origin {
    /// Creates an origin that has its normal speed and no fetches.
    pub fn new(settings: script::Origin) -> Self {
        Self { settings, slowdown: 1.0, in_progress: Vec::new(), queue: VecDeque::new() }
    }

    /// Sets the factor by which the fetches that start from now on take longer.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Returns the number of fetches in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Starts or queues a fetch. Returns `false` if the queue is full and the fetch fails.
    pub fn fetch(&mut self, now: Timestamp, id: FetchId, random: RandomSource) -> bool {
        if self.in_progress.len() < self.settings.slots as usize {
            self.start(now, id, random);
        } else if self.queue.len() < self.settings.queue_capacity as usize {
            self.queue.push_back((id, random));
        } else {
            return false;
        }
        true
    }

    fn start(&mut self, now: Timestamp, id: FetchId, random: RandomSource) {
        let factor = random.log_normal(self.settings.fetch_variation) * self.slowdown;
        let fetch_time = self.settings.mean_fetch_time.mul_f64(factor);
        self.in_progress.push((now + fetch_time.max(MIN_FETCH_TIME), id));
    }

    /// Returns the time at which the next fetch ends.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.in_progress.iter().map(|(at, _)| *at).min()
    }

    /// Appends the fetches that have ended by now, in the order of their end times, and starts queued fetches
    /// in the freed slots.
    pub fn advance(&mut self, now: Timestamp, ended: &mut Vec<FetchId>) {
        while let Some(i) = self.next_to_end().filter(|&i| self.in_progress[i].0 <= now) {
            let (at, id) = self.in_progress.swap_remove(i);
            ended.push(id);
            if let Some((next, random)) = self.queue.pop_front() {
                self.start(at, next, random);
            }
        }
    }

    fn next_to_end(&self) -> Option<usize> {
        (0..self.in_progress.len()).min_by_key(|&i| self.in_progress[i])
    }
}
