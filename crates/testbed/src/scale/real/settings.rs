//! The settings of the real nodes and their load.

use super::RealError;
use crate::scale::messages::ReplicaCapacity;
use crate::script::Class;
use balancer_core::{DeduplicationScope, Idempotency};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Maximum number of real nodes; each is a process.
pub const MAX_NODES: u32 = 64;
/// Maximum number of requests per second, over all nodes.
pub(super) const MAX_RATE: f64 = 10_000.0;

/// The settings of the real nodes and their load.
#[derive(Clone, Debug)]
pub struct RealSettings {
    /// The path of the program `cache-balancer`.
    pub program: PathBuf,
    /// The number of real nodes, from 1 to [`MAX_NODES`].
    pub count: u32,
    /// The number of nodes of the whole fleet, including hollow ones; nodes are configured with it.
    pub fleet_size: u32,
    /// The zones of the nodes, which are assigned to them round-robin by node number.
    pub zones: Vec<String>,
    /// The addresses of the replicas of discovery.
    pub replicas: Vec<SocketAddr>,
    /// The capacity of a replica, if nodes are configured with it.
    pub capacity: Option<ReplicaCapacity>,
    /// Requests per second over all real nodes; 0 disables the load.
    pub rate: f64,
    /// The classes of requests, such as [`classes`].
    pub classes: Vec<Class>,
    /// The seed of all random values.
    pub seed: u64,
}

impl RealSettings {
    pub(super) fn check(&self) -> Result<(), RealError> {
        if !(1..=MAX_NODES).contains(&self.count) {
            return Err(RealError::NodeCount { found: self.count });
        }
        if self.zones.is_empty() {
            return Err(RealError::NoZones);
        }
        if self.replicas.is_empty() {
            return Err(RealError::NoReplicas);
        }
        if !(0.0..=MAX_RATE).contains(&self.rate) {
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

/// Returns three classes with little work per request: reads that are idempotent, writes with idempotency
/// keys, and writes that are not idempotent. Their deadline is long, so that no request is lost on a test
/// machine that is short of processor time.
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
