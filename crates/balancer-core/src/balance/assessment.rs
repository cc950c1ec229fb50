//! What the result of an attempt shows: of its server, of its class at that server, and of the fleet's load.

use super::circuit_breaker::CallResult;
use crate::admission::LoadSignal;
use crate::requests::AttemptStatus;

/// What is known about an attempt that has ended, besides its status.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// Whether the answer came within its objective, or the part of it that counts as in time.
    pub in_time: bool,
    /// Whether the server reported idle cores with the answer.
    pub spare_cpu: bool,
    /// Whether the server's queue was empty by its last report before this answer.
    pub queue_was_empty: bool,
    /// Whether the server reported an empty queue with the answer; `None` without a report.
    pub queue_is_empty: Option<bool>,
    /// Whether this node sends a server requests often enough for its reports of queues to explain its
    /// latency.
    pub queue_explains_latency: bool,
    /// Whether a failure is the origin's: the server fetched the value from it, or the origin is overloaded.
    pub origin_at_fault: bool,
}

/// What the result of an attempt shows. Each result is exactly one of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// Served in time.
    InTime,
    /// Served late by a server with idle cores: the work takes long, and no request waits.
    LateWithSpareCpu,
    /// Served late by a server with an empty queue and busy cores: most likely the work takes long.
    LateWithEmptyQueue,
    /// Served late by a server that has too much to do.
    LateUnderLoad,
    /// Rejected because the server's queue is full.
    QueueFull,
    /// Rejected although the server's queue is empty: this class is rejected there, and how much is sent to
    /// the server changes nothing.
    ClassRejected,
    /// Not answered in time, most likely for the server's load.
    TimedOut,
    /// Not answered in time by a server whose queue was empty: not for its load (a miss may wait for the
    /// origin). Ejecting the server would not help, and its keys would be missed elsewhere.
    TimedOutWithEmptyQueue,
    /// A fetch from the origin that was not answered in time.
    FetchTimedOut,
    /// A fetch from the origin that failed: another server would fetch from the same origin.
    FetchFailed,
    /// Failed at the server, or on the way to it.
    Failed,
    /// Cancelled by this node, or never sent.
    NotCompleted,
}

impl Assessment {
    /// What a status shows, given this evidence.
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

    /// Whether the server answered, in time or late.
    pub fn is_answer(self) -> bool {
        matches!(self, Self::InTime | Self::LateWithSpareCpu | Self::LateWithEmptyQueue | Self::LateUnderLoad)
    }

    /// Whether the server answered, and the answer shows no queue.
    pub fn shows_no_queue(self) -> bool {
        self.is_answer() && self != Self::LateUnderLoad
    }

    /// The result for the breaker of the server.
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

    /// The result for the breaker of the class at the server. Failures other than a rejection of the class
    /// may be the origin's, or the server's as a whole.
    pub fn class_result(self) -> CallResult {
        match self {
            _ if self.is_answer() => CallResult::Success,
            Self::ClassRejected => CallResult::Failure,
            _ => CallResult::Inconclusive,
        }
    }

    /// The result for the breaker of the origin, of an attempt that fetched from it.
    pub fn origin_result(self) -> CallResult {
        if self.is_answer() {
            CallResult::Success
        } else {
            CallResult::Failure
        }
    }

    /// Whether a value that the server reported as a hit is still cached there, as far as the result shows.
    pub fn confirms_hit(self) -> bool {
        !matches!(
            self,
            Self::TimedOutWithEmptyQueue | Self::FetchTimedOut | Self::FetchFailed | Self::NotCompleted
        )
    }

    /// What admission control is to count, if anything.
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
