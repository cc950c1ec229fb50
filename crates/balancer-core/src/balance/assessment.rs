//! Assesses what the result of an attempt indicates about its server, its class at that server, and the load
//! of the fleet.

use super::circuit_breaker::CallResult;
use crate::admission::LoadSignal;
use crate::requests::AttemptStatus;

/// Information about an attempt that has ended, in addition to its status.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// Whether the latency of the answer is within `RequestCosts::in_time_limit`, which is at most the
    /// latency objective.
    pub in_time: bool,
    /// Whether the server reported idle cores with the answer.
    pub spare_cpu: bool,
    /// Whether the server's last report before this answer showed an empty queue.
    pub queue_was_empty: bool,
    /// Whether the server reported an empty queue with the answer; `None` without a report.
    pub queue_is_empty: Option<bool>,
    /// Whether this node sends requests to a server often enough for the server's queue reports to explain
    /// its latency.
    pub queue_explains_latency: bool,
    /// Whether a failure is attributed to the origin: the server fetched the value from the origin, or the
    /// origin is overloaded.
    pub origin_at_fault: bool,
}

/// Classification of the result of an attempt. Each result has exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// Served in time.
    InTime,
    /// Served late by a server with idle cores. The work itself takes long, and no request waits.
    LateWithSpareCpu,
    /// Served late by a server with an empty queue and busy cores. Most likely the work itself takes long.
    LateWithEmptyQueue,
    /// Served late by an overloaded server.
    LateUnderLoad,
    /// Rejected because the server's queue is full.
    QueueFull,
    /// Rejected although the server's queue is empty. The server rejects this class, and sending it fewer
    /// requests does not change that.
    ClassRejected,
    /// Not answered in time, most likely because of the server's load.
    TimedOut,
    /// Not answered in time by a server whose queue was empty. The server's load is not the cause (a miss may
    /// wait for the origin). Ejecting the server would not help, and its keys would be misses at other
    /// servers.
    TimedOutWithEmptyQueue,
    /// Fetch from the origin that was not answered in time.
    FetchTimedOut,
    /// Fetch from the origin that failed. Any other server would fetch from the same origin.
    FetchFailed,
    /// Failed at the server or on the connection to it.
    Failed,
    /// Cancelled by this node, or never sent.
    NotCompleted,
}

impl Assessment {
    /// Classifies the result of an attempt by its status and the evidence.
    pub fn of(status: AttemptStatus, evidence: &Evidence) -> Self {
        match status {
            AttemptStatus::Ok | AttemptStatus::Miss => Self::of_answer(evidence),
            AttemptStatus::Canceled | AttemptStatus::NotSent => Self::NotCompleted,
            AttemptStatus::QueueFull
                if evidence.queue_was_empty && evidence.queue_is_empty != Some(false) =>
            {
                Self::ClassRejected
            }
            AttemptStatus::TimedOut if evidence.queue_was_empty => Self::TimedOutWithEmptyQueue,
            AttemptStatus::TimedOut if evidence.origin_at_fault => Self::FetchTimedOut,
            _ if evidence.origin_at_fault => Self::FetchFailed,
            AttemptStatus::QueueFull => Self::QueueFull,
            AttemptStatus::TimedOut => Self::TimedOut,
            AttemptStatus::Failed | AttemptStatus::ConnectError | AttemptStatus::Reset => Self::Failed,
        }
    }

    fn of_answer(evidence: &Evidence) -> Self {
        if evidence.in_time {
            Self::InTime
        } else if evidence.spare_cpu {
            Self::LateWithSpareCpu
        } else if evidence.queue_explains_latency && evidence.queue_is_empty == Some(true) {
            Self::LateWithEmptyQueue
        } else {
            Self::LateUnderLoad
        }
    }

    /// Returns whether the server answered, in time or late.
    pub fn is_answer(self) -> bool {
        matches!(self, Self::InTime | Self::LateWithSpareCpu | Self::LateWithEmptyQueue | Self::LateUnderLoad)
    }

    /// Returns whether the server answered and the answer does not indicate a queue.
    pub fn shows_no_queue(self) -> bool {
        self.is_answer() && self != Self::LateUnderLoad
    }

    /// Returns the result for the circuit breaker of the server.
    pub fn server_result(self) -> CallResult {
        match self {
            Self::InTime | Self::LateWithSpareCpu | Self::LateWithEmptyQueue | Self::LateUnderLoad => {
                CallResult::Success
            }
            Self::QueueFull | Self::TimedOut | Self::Failed => CallResult::Failure,
            Self::ClassRejected
            | Self::TimedOutWithEmptyQueue
            | Self::FetchTimedOut
            | Self::FetchFailed
            | Self::NotCompleted => CallResult::Inconclusive,
        }
    }

    /// Returns the result for the circuit breaker of the class at the server. Failures other than a rejection
    /// of the class are inconclusive, since they may be failures of the origin or of the server as a whole.
    pub fn class_result(self) -> CallResult {
        match self {
            _ if self.is_answer() => CallResult::Success,
            Self::ClassRejected => CallResult::Failure,
            _ => CallResult::Inconclusive,
        }
    }

    /// Returns the result for the circuit breaker of the origin, for an attempt that fetched from the origin.
    pub fn origin_result(self) -> CallResult {
        if self.is_answer() {
            CallResult::Success
        } else {
            CallResult::Failure
        }
    }

    /// Returns whether a value that the server reported as a hit still counts as cached there after this
    /// result.
    pub fn confirms_hit(self) -> bool {
        !matches!(
            self,
            Self::TimedOutWithEmptyQueue | Self::FetchTimedOut | Self::FetchFailed | Self::NotCompleted
        )
    }

    /// Returns the signal for admission control, if the result is one.
    pub fn load_signal(self) -> Option<LoadSignal> {
        match self {
            Self::InTime | Self::LateWithSpareCpu | Self::LateWithEmptyQueue => Some(LoadSignal::Answered),
            Self::LateUnderLoad => Some(LoadSignal::Late),
            Self::QueueFull => Some(LoadSignal::QueueFull),
            Self::TimedOut | Self::FetchTimedOut => Some(LoadSignal::TimedOut),
            Self::ClassRejected
            | Self::TimedOutWithEmptyQueue
            | Self::FetchFailed
            | Self::Failed
            | Self::NotCompleted => None,
        }
    }
}
