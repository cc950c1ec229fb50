//! Entries that a cache server has held since before the start and that nothing has asked for yet. They are not listed:
//! how many there are, and from which rank on there are none, is all that shows from outside.
//!
//! Each rank lies at this server with the same probability, its share, independently of the others (rendezvous hashing of
//! hashed keys). So their number is binomial, drawn here by its normal approximation; of a memory too small for all, the
//! place of the last that is held is an order statistic; and the ranks from one such entry to the next are geometric.

use crate::draw::Draw;

/// See the module's page. The least asked for, of the highest rank, is the first to be evicted.
#[derive(Clone, Debug)]
pub struct InitialEntries {
    count: u32,
    /// No entry of this rank or a higher one is held.
    end: u32,
    share: f64,
    draw: Draw,
    evicted: u64,
}

impl InitialEntries {
    /// None at all.
    pub fn none() -> Self {
        Self { count: 0, end: 0, share: 0.0, draw: Draw::new(0), evicted: 0 }
    }

    /// Of so many ranks, this share lies at a server that has room for `memory` of them.
    pub fn new(ranks: u32, share: f64, memory: u32, draw: Draw) -> Self {
        let share = share.clamp(0.0, 1.0);
        let all = f64::from(ranks);
        let deviation = (all * share * (1.0 - share)).sqrt();
        let here = (all * share + deviation * draw.on(0).normal()).round().clamp(0.0, all);
        let room = f64::from(memory);
        let end = if here <= room { all } else { all * order_statistic(room, here, draw.on(1)) };
        Self { count: here.min(room) as u32, end: end as u32, share, draw: draw.on(2), evicted: 0 }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.count as usize
    }

    /// Whether an entry of this rank is among them if it lies at this server.
    pub fn reaches(&self, rank: u32) -> bool {
        self.count > 0 && rank < self.end
    }

    /// Takes out an entry that lies at this server, because it is asked for; `false` if it is not among them.
    pub fn take(&mut self, rank: u32) -> bool {
        let held = self.reaches(rank);
        self.count -= u32::from(held);
        held
    }

    /// Takes out the least asked for, if there is any. Those that were taken are few at such ranks, and are not left out
    /// when the rank of the next one is drawn.
    pub fn evict(&mut self) {
        if self.count == 0 {
            return;
        }
        self.count -= 1;
        self.evicted += 1;
        let unit = self.draw.on(self.evicted).unit();
        let beyond = if self.share < 1.0 { unit.ln() / (-self.share).ln_1p() } else { 0.0 };
        self.end = self.end.saturating_sub(1u32.saturating_add(beyond as u32));
    }
}

/// The `place`-th least of so many even draws from 0 to 1: of a beta distribution, by its mean and variance.
fn order_statistic(place: f64, of: f64, draw: Draw) -> f64 {
    let mean = place / (of + 1.0);
    let variance = mean * (1.0 - mean) / (of + 2.0);
    (mean + variance.sqrt() * draw.normal()).clamp(0.0, 1.0)
}
