//! How far a listener is in stopping: told by the daemon, heeded by the fronts.

/// How far a listener, with all connections that came by it, is in stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Serving,
    /// Nobody is accepted for now: whoever comes waits in the machine's queue. All else is as ever.
    Paused,
    /// Another process accepts, on probation: as in [`Stage::HandedOver`], but that this one may accept again.
    StandingBy,
    /// Another process accepts. What was taken is finished; every answer asks the client to use another connection, and
    /// connections that nobody uses end by their time.
    HandedOver,
    /// It serves as ever, and every answer asks the client to use another connection.
    Leaving,
    /// It accepts no more, idle connections close, and what was taken is finished.
    Closing,
}
