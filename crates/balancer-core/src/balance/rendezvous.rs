//! Weighted rendezvous hashing. Each key has its own order of the servers, in which a server comes first with
//! a probability proportional to its capacity. When a server leaves, only its keys move; when it returns,
//! they move back.

use crate::hashing::{mix, unit_interval};

/// A server to be ordered.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Index of the server in the caller's list.
    pub index: usize,
    /// Hash of the server's id.
    pub hash: u64,
    /// Capacity relative to the others; greater than 0.
    pub capacity: f64,
}

/// Returns the indices of the candidates in the order of `key`.
pub fn rendezvous_order(key: u64, candidates: impl Iterator<Item = Candidate>) -> Vec<usize> {
    let rank = |candidate: Candidate| {
        let distance = -unit_interval(mix(key ^ candidate.hash)).ln() / candidate.capacity;
        // The bit patterns of positive floats sort in the same order as their values.
        (distance.to_bits(), candidate.index)
    };
    let mut ranked: Vec<_> = candidates.map(rank).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, index)| index).collect()
}
