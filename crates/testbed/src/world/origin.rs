//! The origin: one slow register that all cache servers share. It works on so many fetches at a time, lets so many
//! wait, and fails the rest at once.

use crate::draw::Draw;
use crate::script;
use balancer_core::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// A fetch by the number that the player gave it.
pub type FetchId = u64;

/// See the module's page.
#[derive(Debug)]
pub struct Origin {
    settings: script::Origin,
    factor: f64,
    /// When the running fetches end, in no order: there are only as many as slots.
    running: Vec<(Timestamp, FetchId)>,
    waiting: VecDeque<(FetchId, Draw)>,
}

impl Origin {
    /// At its usual speed.
    pub fn new(settings: script::Origin) -> Self {
        Self { settings, factor: 1.0, running: Vec::new(), waiting: VecDeque::new() }
    }

    /// Fetches that begin from now on take longer by this factor.
    pub fn slow_down(&mut self, factor: f64) {
        self.factor = factor;
    }

    /// Fetches that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes a fetch; `false` where it fails for want of room.
    pub fn fetch(&mut self, now: Timestamp, id: FetchId, draw: Draw) -> bool {
        if self.running.len() < self.settings.slots as usize {
            self.start(now, id, draw);
        } else if self.waiting.len() < self.settings.queue as usize {
            self.waiting.push_back((id, draw));
        } else {
            return false;
        }
        true
    }

    fn start(&mut self, now: Timestamp, id: FetchId, draw: Draw) {
        let takes = self.settings.fetch.mul_f64(draw.log_normal(self.settings.spread) * self.factor);
        self.running.push((now + takes.max(Duration::from_micros(1)), id));
    }

    /// When the next fetch ends.
    pub fn next(&self) -> Option<Timestamp> {
        self.running.iter().map(|(at, _)| *at).min()
    }

    /// Appends the fetches that have ended by now, in the order of their ends.
    pub fn ended(&mut self, now: Timestamp, ended: &mut Vec<FetchId>) {
        while let Some(i) =
            (0..self.running.len()).min_by_key(|&i| self.running[i]).filter(|&i| self.running[i].0 <= now)
        {
            let (at, id) = self.running.swap_remove(i);
            ended.push(id);
            if let Some((next, draw)) = self.waiting.pop_front() {
                self.start(at, next, draw);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_works_on_as_many_as_it_has_slots_for_lets_some_wait_and_fails_the_rest() {
        let settings =
            script::Origin { slots: 2, fetch: Duration::from_millis(100), spread: 0.0, queue: 1, warm: 0.0 };
        let mut origin = Origin::new(settings);
        let at = Timestamp::from_micros;
        let taken: Vec<_> = (0..4).map(|id| origin.fetch(at(0), id, Draw::new(id))).collect();
        assert_eq!(taken, [true, true, true, false]);
        let mut ended = Vec::new();
        origin.ended(at(99_999), &mut ended);
        assert!(ended.is_empty());
        assert_eq!(origin.next(), Some(at(100_000)));
        // The one that waited began when a slot was free, not when somebody looked.
        origin.ended(at(250_000), &mut ended);
        assert_eq!((ended, origin.next()), (vec![0, 1, 2], None));
    }
}
