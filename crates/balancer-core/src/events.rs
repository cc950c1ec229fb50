//! Events that a [`Balancer`](crate::Balancer) handles and the actions that it returns.

use crate::endpoints::{Endpoint, EndpointUpdate};
use crate::learned_state::LearnedState;
use crate::names::{RequestId, ServerId};
use crate::requests::{AttemptOutcome, AttemptStatus, LoadReport, Request};
use crate::settings::Settings;
use std::sync::Arc;
use std::time::Duration;

/// An event for the balancer to handle.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node restored its last endpoint list at startup; the list may be stale.
    EndpointsRestored(Arc<[Endpoint]>),
    /// Discovery sent an update.
    EndpointsUpdated(EndpointUpdate),
    /// A client sent a request.
    Request(Request),
    /// The answer to an attempt began to stream to the client. No decision uses it yet.
    ResponseStarted {
        /// Request that the answer belongs to.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// The client cancelled its request or disconnected; no answer is sent.
    RequestCancelled(RequestId),
    /// The predecessor of this process handed over its learned state. This event precedes the first request
    /// and may be repeated until then.
    StateRestored(Arc<LearnedState>),
    /// The settings changed. Requests that arrived earlier keep the settings under which they arrived, except
    /// for `mode` and `weights_reflect_speed`, which change for all requests. The state learned about servers
    /// is kept, and so is the state learned about classes, which are matched by name.
    Reconfigured(Box<Settings>),
    /// A timer set by [`Action::SetTimer`] expired.
    TimerExpired,
    /// A health check ended. No decision uses it yet.
    HealthCheckEnded {
        /// Server that was checked.
        server: ServerId,
        /// How the health check ended.
        status: AttemptStatus,
        /// Time since the health check was sent.
        elapsed: Duration,
        /// Load that the server reported.
        load: LoadReport,
    },
}

/// An action for the node to carry out. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// Request to send.
        id: RequestId,
        /// Server to send the request to.
        server: ServerId,
        /// Time after which the attempt has failed. The client's deadline limits the attempt as well.
        timeout: Duration,
        /// Time within which the attempt must start; later it must not be sent, because a retry after the end
        /// of its idempotency window would run a second time. `None` if only `timeout` limits the attempt.
        start_within: Option<Duration>,
    },
    /// Stop waiting for an attempt. No decision returns this action yet.
    CancelAttempt {
        /// Request that the attempt belongs to.
        id: RequestId,
        /// Number of the attempt within the request.
        attempt: u32,
    },
    /// Send the client the final answer that its request is rejected. The client may retry the request
    /// without its effect happening twice.
    Reject {
        /// Request to answer.
        id: RequestId,
        /// Time that the client should wait before it retries; zero for no advice.
        retry_after: Duration,
    },
    /// Send the client the final answer that the request failed and may have run.
    Fail {
        /// Request to answer.
        id: RequestId,
    },
    /// Deliver [`Event::TimerExpired`] after this time.
    SetTimer {
        /// Time from now.
        after: Duration,
    },
    /// Send a server a health check. No decision returns this action yet.
    CheckHealth {
        /// Server to check.
        server: ServerId,
    },
    /// Close the idle connections to a server. No decision returns this action yet.
    CloseIdleConnections {
        /// Server to which connections are closed.
        server: ServerId,
    },
    /// Subscribe to the endpoint list. Returned only where all nodes poll one discovery service
    /// ([`Settings::discovery_is_polled`]). The daemon does not depend on this action: it polls that service,
    /// or the agent on its machine, by itself.
    SubscribeToEndpoints,
    /// Write a line to the log.
    Log(String),
}
