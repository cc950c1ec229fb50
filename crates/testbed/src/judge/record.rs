//! What the judge remembers of operations, requests and cache servers.

use super::FinalAnswer;
use balancer_core::{DeduplicationScope, Idempotency, Timestamp};

#[derive(Debug)]
pub(super) struct RequestRecord {
    pub(super) operation: u64,
    pub(super) node: usize,
    pub(super) accepted_at: Timestamp,
    pub(super) expires_at: Timestamp,
    /// The cache servers that it was sent to, and when.
    pub(super) sent: Vec<(usize, Timestamp)>,
    /// The cache servers that executed it, and when they finished.
    pub(super) executions: Vec<(usize, Timestamp)>,
    pub(super) answered: Option<(Timestamp, FinalAnswer)>,
    /// When the connection ended without an answer, and why.
    pub(super) connection_lost: Option<(Timestamp, String)>,
    /// No answer is owed any more.
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

    /// Whether this node still owes the answer.
    pub(super) fn is_pending_at(&self, node: usize) -> bool {
        self.node == node && self.answered.is_none()
    }
}

#[derive(Debug)]
pub(super) struct OperationRecord {
    pub(super) at: Timestamp,
    pub(super) class: usize,
    /// The weight of its answer.
    pub(super) served_weight: f64,
    pub(super) served: bool,
}

#[derive(Debug)]
pub(super) struct ServerRecord {
    pub(super) name: String,
    pub(super) zone: usize,
    pub(super) cell: u64,
}

/// Whether a request may be repeated at any server, at any time within the retries of a client.
pub(super) fn is_always_repeatable(idempotency: Idempotency) -> bool {
    matches!(
        idempotency,
        Idempotency::Idempotent | Idempotency::WithKey { scope: DeduplicationScope::All, .. }
    )
}
