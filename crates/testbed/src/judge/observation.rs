//! What an observer outside of the nodes sees.

use balancer_core::Timestamp;

/// The number of a client's request, never used twice.
pub type RequestNumber = u64;

/// A node's final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The response of a cache server to this request.
    Served,
    /// The request was rejected, and a retry is harmless.
    Rejected,
    /// The request failed, or its outcome is unknown.
    Failed,
    /// The response to another request: this request is lost.
    Mismatched,
}

/// Something that an observer outside of the nodes sees.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client starts an operation.
    OperationStarted {
        /// The number of the operation, from 0 without a gap.
        operation: u64,
        /// When its first request is sent.
        at: Timestamp,
        /// The index of its class in the script.
        class: usize,
    },
    /// A node has accepted a request: its last byte is on a connection that the node's machine accepted.
    RequestAccepted {
        /// The request.
        request: RequestNumber,
        /// The operation that it belongs to.
        operation: u64,
        /// The node.
        node: usize,
        /// When the node accepted it.
        at: Timestamp,
        /// When the client's timeout ends.
        expires_at: Timestamp,
    },
    /// A node has sent an attempt at a request to a cache server.
    AttemptSent {
        /// The request.
        request: RequestNumber,
        /// The number of the cache server, from [`Judge::add_server`](super::Judge::add_server).
        server: usize,
        /// When its first byte was sent.
        at: Timestamp,
    },
    /// A cache server has executed a request.
    Executed {
        /// The request.
        request: RequestNumber,
        /// The number of the cache server.
        server: usize,
        /// When.
        at: Timestamp,
    },
    /// A node has given a final answer.
    Answered {
        /// The request.
        request: RequestNumber,
        /// When the last byte was sent.
        at: Timestamp,
        /// The answer.
        answer: FinalAnswer,
    },
    /// The connection of a request ended without an answer. An answer is still owed.
    ConnectionLost {
        /// The request.
        request: RequestNumber,
        /// When the client saw it.
        at: Timestamp,
        /// What the client saw.
        reason: String,
    },
    /// The client disconnected before it had an answer: none is owed.
    ClientDisconnected {
        /// The request.
        request: RequestNumber,
    },
    /// A client has received a good answer to an operation within its timeout.
    OperationServed {
        /// The operation.
        operation: u64,
        /// When the answer arrived.
        at: Timestamp,
    },
    /// A node was killed, or exceeded the time that it has for a graceful shutdown.
    NodeKilled {
        /// The node.
        node: usize,
        /// When it was gone. Answers that were due before are still missing.
        at: Timestamp,
    },
    /// A node has started, and has not been notified of anything yet.
    NodeStarted {
        /// The node.
        node: usize,
    },
    /// A node was notified of the state of a cache server.
    EndpointNotified {
        /// The node.
        node: usize,
        /// The number of the cache server.
        server: usize,
        /// When the node was notified.
        at: Timestamp,
        /// Whether the cache server drains or is removed, and not ready.
        unavailable: bool,
    },
    /// A warming cache server was overloaded and crashed.
    ServerOverloaded {
        /// The number of the cache server.
        server: usize,
        /// When.
        at: Timestamp,
    },
}
