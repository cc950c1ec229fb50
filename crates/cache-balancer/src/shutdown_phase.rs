//! The shutdown phase of a listener. The daemon sets it, and the frontends act on it.

/// The shutdown phase of a listener and of all connections accepted on it. The variants are in the order of
/// progress. Only the first three allow a return to [`ShutdownPhase::Serving`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Connections are accepted and served.
    Serving,
    /// No connection is accepted for now; new connections wait in the kernel's queue. Otherwise the same as
    /// [`Self::Serving`].
    Paused,
    /// The successor accepts connections, on probation. The same as [`Self::HandedOver`], except that this
    /// process may accept again.
    StandingBy,
    /// Another process accepts connections. Requests in flight are finished, every response asks the client
    /// to use another connection, and idle connections end when they time out.
    HandedOver,
    /// Connections are accepted and served, and every response asks the client to use another connection.
    Draining,
    /// No connection is accepted, idle connections close, and requests in flight are finished.
    Closing,
}
