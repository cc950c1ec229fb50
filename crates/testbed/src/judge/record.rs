//! The judge's records of operations, requests and cache servers.

use super::FinalAnswer;
use balancer_core::{DeduplicationScope, Idempotency, Timestamp};

#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) operation: u64,
    pub(super) node: usize,
    pub(super) accepted_at: Timestamp,
    pub(super) expires_at: Timestamp,
    /// The cache server and the time of each send.
    pub(super) sent: Vec<(usize, Timestamp)>,
    /// The cache server and the end time of each execution.
    pub(super) executions: Vec<(usize, Timestamp)>,
    /// Time and kind of the final answer.
    pub(super) answered: Option<(Timestamp, FinalAnswer)>,
    /// When and why the connection ended without an answer.
    pub(super) connection_lost: Option<(Timestamp, String)>,
    /// Whether a missing or late answer is no violation, because the client disconnected or the node was
    /// killed.
    pub(super) excused: bool,
}

impl RequestRecord {
    pub(super) fn new(operation: u64, node: usize, accepted_at: Timestamp, expires_at: Timestamp) -> Self {
        Self {
            operation,
            node,
            accepted_at,
            expires_at,
            sent: Vec::new(),
            executions: Vec::new(),
            answered: None,
            connection_lost: None,
            excused: false,
        }
    }

    /// Returns whether this node still owes an answer to the request.
    pub(super) fn is_pending_at(&self, node: usize) -> bool {
        self.node == node && self.answered.is_none()
    }
}

#[derive(Debug)]
pub(super) struct OperationRecord {
    /// When the operation started.
    pub(super) at: Timestamp,
    pub(super) class: usize,
    /// Weight that the answer earned; less than the priority weight if it missed the latency objective.
    pub(super) served_weight: f64,
    pub(super) served: bool,
}

#[derive(Debug)]
pub(super) struct ServerRecord {
    pub(super) name: String,
    pub(super) zone: usize,
    pub(super) cell: u64,
}

/// Returns whether a request may be repeated at any server for as long as its client retries.
pub(super) fn is_always_repeatable(idempotency: Idempotency) -> bool {
    matches!(
        idempotency,
        Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
    )
}
