//! Events that a [`Balancer`](crate::Balancer) handles, and the actions that it answers them with.

use crate::endpoints::{Endpoint, EndpointUpdate};
use crate::learned_state::LearnedState;
use crate::names::{RequestId, ServerId};
use crate::requests::{AttemptOutcome, AttemptStatus, LoadReport, Request};
use crate::settings::Settings;
use std::sync::Arc;
use std::time::Duration;

/// Something that happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node starts with its last endpoint list, which may be stale.
    EndpointsRestored(Arc<[Endpoint]>),
    /// Discovery sent an update.
    EndpointsUpdated(EndpointUpdate),
    /// A client sent a request.
    Request(Request),
    /// The answer to an attempt began to stream to the client. No decision uses it yet.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// The client went away; it is owed no answer.
    RequestCancelled(RequestId),
    /// The state learned by the predecessor whose place this process takes. It precedes the first request, and may
    /// come again until there is one.
    StateRestored(Arc<LearnedState>),
    /// New settings are in force. Requests received before keep the settings they were received under, and the state
    /// learned of servers stays, as does that of classes, by their names. `mode` and `weights_reflect_speed` change
    /// for all requests.
    Reconfigured(Box<Settings>),
    /// A timer set by [`Action::SetTimer`] expired.
    TimerExpired,
    /// A health check ended. No decision uses it yet.
    HealthCheckEnded {
        /// The server.
        server: ServerId,
        /// How it ended.
        status: AttemptStatus,
        /// Time since it was sent.
        elapsed: Duration,
        /// The server's load.
        load: LoadReport,
    },
}

/// Something that the node must do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// Time after which the attempt has failed; the client's deadline bounds it as well.
        timeout: Duration,
        /// The attempt starts within this time or not at all: past its idempotency window a retry would run a second
        /// time. `None` if only `timeout` bounds it.
        start_within: Option<Duration>,
    },
    /// Stop waiting for an attempt. No decision sends it yet.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Answer the client, finally: the request was not run and may be sent again.
    Reject {
        /// The request.
        id: RequestId,
        /// Time that the client should wait before it tries again; zero for no advice.
        retry_after: Duration,
    },
    /// Answer the client, finally: the request failed and may have run.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Deliver [`Event::TimerExpired`] after this time.
    SetTimer {
        /// Time from now.
        after: Duration,
    },
    /// Send a server a health check. No decision sends it yet.
    CheckHealth {
        /// The server.
        server: ServerId,
    },
    /// Close the idle connections to a server. No decision sends it yet.
    CloseIdleConnections {
        /// The server.
        server: ServerId,
    },
    /// Begin to watch the endpoint list. Sent only where one discovery service is polled by all nodes
    /// ([`Settings::discovery_is_polled`]); the daemon polls that service, or else the agent on its machine, by itself.
    SubscribeToEndpoints,
    /// Write a line to the log.
    Log(String),
}
