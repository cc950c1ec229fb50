//! What real nodes are, and what they are asked.

use super::RealError;
use crate::scale::messages::ReplicaCapacity;
use crate::script::Class;
use balancer_core::{DeduplicationScope, Idempotency};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// More real nodes than this are not started; each is a process.
pub const MOST_NODES: u32 = 64;
/// Requests a second over all nodes.
pub(super) const MOST_RATE: f64 = 10_000.0;

/// What real nodes are, and what they are asked.
#[derive(Clone, Debug)]
pub struct RealSettings {
    /// The program, `cache-balancer`.
    pub program: PathBuf,
    /// How many real nodes, from 1 to [`MOST_NODES`].
    pub count: u32,
    /// How many nodes the whole fleet has, the hollow ones too: what nodes are told.
    pub fleet: u32,
    /// Zones of the nodes, dealt in turn by their numbers.
    pub zones: Vec<String>,
    /// Addresses of discovery.
    pub replicas: Vec<SocketAddr>,
    /// What a replica can do, if nodes are told it.
    pub capacity: Option<ReplicaCapacity>,
    /// Requests a second over all real nodes; 0 for none.
    pub rate: f64,
    /// What they ask for; [`classes`] will do.
    pub classes: Vec<Class>,
    /// Decides every draw.
    pub seed: u64,
}

impl RealSettings {
    pub(super) fn check(&self) -> Result<(), RealError> {
        if !(1..=MOST_NODES).contains(&self.count) {
            return Err(RealError::Nodes { found: self.count });
        }
        if self.zones.is_empty() {
            return Err(RealError::Zones);
        }
        if self.replicas.is_empty() {
            return Err(RealError::Replicas);
        }
        if !(0.0..=MOST_RATE).contains(&self.rate) {
            return Err(RealError::Rate { found: self.rate });
        }
        if self.classes.is_empty()
            || self.classes.iter().any(|class| class.share.is_nan() || class.share <= 0.0)
        {
            return Err(RealError::Classes);
        }
        Ok(())
    }
}

/// Reads of a safe class, and writes of a keyed and of an unsafe one, with little work each. Their deadline is long:
/// a rig that is short of processor time must not be what loses a request.
pub fn classes() -> Vec<Class> {
    let class = |name: &str, share, idempotency, write| Class {
        name: name.into(),
        share,
        mean_work: Duration::from_millis(2),
        work_variation: 0.5,
        latency_objective: Duration::from_secs(1),
        deadline: Duration::from_secs(10),
        priority_weight: 1.0,
        late_weight_fraction: 0.4,
        idempotency,
        write,
    };
    let keyed = Idempotency::WithKey { scope: DeduplicationScope::All, window: Duration::from_secs(20) };
    vec![
        class("read", 0.6, Idempotency::Idempotent, false),
        class("keyed-write", 0.2, keyed, true),
        class("unsafe-write", 0.2, Idempotency::NotIdempotent, true),
    ]
}
