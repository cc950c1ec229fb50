//! The events of a run that an observer outside of the nodes sees.

use balancer_core::Timestamp;

/// The number of a client's request, unique within a run.
pub type RequestNumber = u64;

/// A node's final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// A cache server's response to this request.
    Served,
    /// The request was rejected, and a retry is harmless.
    Rejected,
    /// The request failed, or its outcome is unknown.
    Failed,
    /// The response to another request. This request is lost.
    Mismatched,
}

/// An event that an observer outside of the nodes sees.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A client starts an operation.
    OperationStarted {
        /// The number of the operation, starting at 0 without gaps.
        operation: u64,
        /// When the first request of the operation is sent.
        at: Timestamp,
        /// The index of the operation's class in the script.
        class: usize,
    },
    /// A node has accepted a request: the last byte was sent on a connection that the node's machine
    /// accepted.
    RequestAccepted {
        /// The request.
        request: RequestNumber,
        /// The operation that the request belongs to.
        operation: u64,
        /// The node.
        node: usize,
        /// When the node accepted the request.
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
        /// When the first byte of the attempt was sent.
        at: Timestamp,
    },
    /// A cache server has executed a request.
    Executed {
        /// The request.
        request: RequestNumber,
        /// The number of the cache server.
        server: usize,
        /// When the execution ended.
        at: Timestamp,
    },
    /// A node has given a final answer.
    Answered {
        /// The request.
        request: RequestNumber,
        /// When the last byte of the answer was sent.
        at: Timestamp,
        /// The answer.
        answer: FinalAnswer,
    },
    /// The connection of a request ended without an answer. The node still owes one.
    ConnectionLost {
        /// The request.
        request: RequestNumber,
        /// When the client saw the end of the connection.
        at: Timestamp,
        /// The error that the client saw.
        reason: String,
    },
    /// The client disconnected before it got an answer. The node no longer owes one.
    ClientDisconnected {
        /// The request.
        request: RequestNumber,
    },
    /// A client has received an answer that serves an operation, within the client's timeout.
    OperationServed {
        /// The operation.
        operation: u64,
        /// When the answer arrived.
        at: Timestamp,
    },
    /// A node was killed, also because it exceeded the time limit of a graceful shutdown.
    NodeKilled {
        /// The node.
        node: usize,
        /// When the process had ended. Answers that were due before are not excused.
        at: Timestamp,
    },
    /// A node has started, and has not yet been notified of any cache server.
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
        /// Whether the cache server is draining or removed.
        unavailable: bool,
    },
    /// A cache server in slow start was overloaded and crashed.
    ServerOverloaded {
        /// The number of the cache server.
        server: usize,
        /// When the cache server crashed.
        at: Timestamp,
    },
}
