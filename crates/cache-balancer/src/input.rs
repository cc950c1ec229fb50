//! The inputs that the parts of a node send to the driver, and the driver's final responses to requests.

use crate::endpoint_list::EndpointList;
use crate::message_body::MessageBody;
use crate::upstream::{AttemptResult, ForwardedRequest};
use balancer_core::{ClassId, LearnedState, RequestId, Settings, TenantId};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The number of a request, unique within the process. Request ids chosen by clients can repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestNumber(pub u64);

impl From<RequestNumber> for RequestId {
    fn from(number: RequestNumber) -> Self {
        Self::from(number.0.to_string().as_str())
    }
}

/// A client's request that was completely read and is valid.
#[derive(Debug)]
pub struct AcceptedRequest {
    /// The number that identifies the request to the driver.
    pub number: RequestNumber,
    /// When the head of the request arrived.
    pub received_at: Instant,
    /// The time that the client waits for the response, from `received_at`.
    pub client_timeout: Duration,
    /// The request class.
    pub class: ClassId,
    /// The tenant, if tenants are configured.
    pub tenant: Option<TenantId>,
    /// The key that the request reads or writes.
    pub key: Option<u64>,
    /// The service time that the client expects.
    pub expected_work: Option<Duration>,
    /// Whether the request is a write.
    pub write: bool,
    /// Whether the request is a retry by the client.
    pub client_retry: bool,
    /// The message that is forwarded to a cache server.
    pub message: ForwardedRequest,
    /// The channel for the final response.
    pub response: oneshot::Sender<FinalResponse>,
}

/// The final response to a request.
#[derive(Debug)]
pub enum FinalResponse {
    /// The body of the cache server's response.
    Served(MessageBody),
    /// The request was not executed, and the client may safely send it again.
    Rejected {
        /// The time that the client should wait before it sends the request again.
        retry_after: Duration,
    },
    /// The request was not executed, or it is unknown whether it was.
    Failed,
}

/// An input to the driver of a pool from the other parts of the node.
#[derive(Debug)]
pub enum DriverInput {
    /// A client's request has been accepted.
    RequestAccepted(Box<AcceptedRequest>),
    /// The client of this request has disconnected before the final response.
    ClientDisconnected(RequestNumber),
    /// An attempt has ended.
    AttemptEnded {
        /// The id of the request.
        id: RequestId,
        /// The number of the attempt, starting at 0.
        attempt: u32,
        /// The result of the attempt.
        result: AttemptResult,
    },
    /// An endpoint list, either a snapshot or a delta, has been accepted.
    EndpointList(EndpointList),
    /// A poll failed, or its list was rejected.
    PollFailed,
    /// The ids of endpoints that a discovery response lists as draining or removed, although the list itself
    /// has not been applied yet or will not be.
    EndpointsLeaving(BTreeSet<String>),
    /// New settings, which apply to requests accepted from now on.
    Reconfigured(Box<Settings>),
    /// The endpoint list and learned state of the predecessor process. Sent before the first request.
    StateRestored(Box<(EndpointList, LearnedState)>),
    /// A request for the current endpoint list and learned state.
    StateRequested(oneshot::Sender<(EndpointList, LearnedState)>),
    /// The pool has been removed. No more requests follow, and the driver stops once all requests in flight
    /// are complete.
    PoolRemoved,
    /// A liveness check, which the driver answers from its event loop.
    LivenessCheck(oneshot::Sender<()>),
}
