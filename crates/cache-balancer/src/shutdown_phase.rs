//! The shutdown phase of a listener: set by the daemon, obeyed by the fronts.

/// The shutdown phase of a listener and of all connections accepted on it. In the order of progress; only the first three
/// can be left for [`ShutdownPhase::Serving`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    Serving,
    /// No connection is accepted for now; new ones wait in the kernel's queue. Otherwise as [`Self::Serving`].
    Paused,
    /// The successor accepts, on probation. As [`Self::HandedOver`], except that this process may accept again.
    StandingBy,
    /// Another process accepts. Requests in flight are finished; every answer asks the client to use another connection,
    /// and idle connections end by their time limit.
    HandedOver,
    /// Connections are accepted and served, and every answer asks the client to use another connection.
    Draining,
    /// No connection is accepted, idle connections close, and requests in flight are finished.
    Closing,
}
