//! Computes the order in which a node prefers replicas, by rendezvous hashing (D. Thaler and C. Ravishankar,
//! "Using Name-Based Mappings to Increase Hit Rates", 1998) of the names of the node and the replicas. The
//! nodes of a lost replica spread evenly over the others.

use crate::hashing::hash_text;

/// Returns the indices of `replicas` by descending score. Equal scores are ordered by name.
pub(super) fn preference_order(node: &str, replicas: &[String]) -> Vec<usize> {
    let mut order: Vec<_> = (0..replicas.len()).collect();
    order.sort_by(|&one, &other| {
        let by_score = score(node, &replicas[other]).cmp(&score(node, &replicas[one]));
        by_score.then_with(|| replicas[one].cmp(&replicas[other]))
    });
    order
}

/// Returns the score of a replica for a node: 64-bit FNV-1a of the node's name, a zero byte and the replica's
/// name, then the finalizer of SplitMix64 (S. Vigna), since FNV-1a mixes its last bytes poorly. Nodes of all
/// versions must compute the same score, or replicas get uneven shares during an update of the fleet.
fn score(node: &str, replica: &str) -> u64 {
    let mut hash = hash_text(&format!("{node}\0{replica}"));
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
