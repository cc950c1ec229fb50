//! What the parts of a node send to the driver, and the responses that they get.

use crate::endpoint_list::EndpointList;
use crate::upstream::{AttemptResult, ForwardedRequest};
use balancer_core::{ClassId, LearnedState, RequestId, Settings, TenantId};
use bytes::Bytes;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The number of a request, unique in its process. A client's own id can come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestNumber(pub u64);

impl From<RequestNumber> for RequestId {
    fn from(number: RequestNumber) -> Self {
        Self::from(number.0.to_string().as_str())
    }
}

/// A client's request that has been read whole and found valid.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// Identifies it to the driver.
    pub number: RequestNumber,
    /// When its head came.
    pub received_at: Instant,
    /// How long the client waits, from `received_at`.
    pub client_timeout: Duration,
    /// Its request class.
    pub class: ClassId,
    /// Its tenant, where the configuration has tenants.
    pub tenant: Option<TenantId>,
    /// The key that it reads or writes.
    pub key: Option<u64>,
    /// The service time that the client expects.
    pub expected_work: Option<Duration>,
    /// Whether it writes.
    pub write: bool,
    /// Whether it is a client's retry.
    pub client_retry: bool,
    /// What is forwarded.
    pub message: ForwardedRequest,
    /// Takes the final response.
    pub response: oneshot::Sender<FinalResponse>,
}

/// The final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// The body of the cache server's response.
    Served(Bytes),
    /// Not carried out, and safe to send again.
    Rejected {
        /// The time that the client should wait before it does.
        retry_after: Duration,
    },
    /// Not carried out, or the outcome is unknown.
    Failed,
}

/// What the other parts of a node send to the driver of a pool.
#[derive(Debug)]
pub enum DriverInput {
    /// A client's request.
    RequestAccepted(Box<AcceptedRequest>),
    /// The client of this request has disconnected before its final response.
    ClientDisconnected(RequestNumber),
    /// The result of an attempt.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The number of the attempt, from 0.
        attempt: u32,
        /// How it ended.
        result: AttemptResult,
    },
    /// An endpoint list: a snapshot or a delta.
    EndpointList(EndpointList),
    /// A poll failed, or its list was rejected.
    PollFailed,
    /// Endpoints that an answer of discovery reports as draining or removed, while its list is not applied, or not
    /// yet.
    EndpointsLeaving(BTreeSet<String>),
    /// These settings hold for requests that are accepted from here on.
    Reconfigured(Box<Settings>),
    /// The learned state of the predecessor process. It comes before the first request.
    StateRestored(Box<(EndpointList, LearnedState)>),
    /// Asks for the current endpoint list and learned state.
    StateRequested(oneshot::Sender<(EndpointList, LearnedState)>),
    /// The pool is removed: no request follows, and the driver ends once all in flight are complete.
    PoolRemoved,
    /// A liveness check: the driver answers it from its loop.
    LivenessCheck(oneshot::Sender<()>),
}
