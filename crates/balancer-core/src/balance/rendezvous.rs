//! Weighted rendezvous hashing: each key has an order of the servers of its own, in which a server comes
//! first with a probability that is proportional to its capacity. When a server leaves, only its keys move;
//! when it returns, they come back.

use crate::hashing::{mix, unit_interval};

/// A server that takes part in the order.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index by which the caller knows it.
    pub index: usize,
    /// Hash of its identity.
    pub hash: u64,
    /// Capacity relative to the others; above 0.
    pub capacity: f64,
}

/// Indices of the candidates, in the order of the key.
pub fn rendezvous_order(key: u64, candidates: impl Iterator<Item = Candidate>) -> Vec<usize> {
    let rank = |candidate: Candidate| {
        let distance = -unit_interval(mix(key ^ candidate.hash)).ln() / candidate.capacity;
        // The bits of positive numbers sort as the numbers do.
        (distance.to_bits(), candidate.index)
    };
    let mut ranked: Vec<_> = candidates.map(rank).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, index)| index).collect()
}
