//! How far the node is in stopping: told by the daemon, heeded by the fronts.

/// How far the node is in stopping.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    Serving,
    /// It serves as ever, and every answer asks the client to use another connection.
    Leaving,
    /// It accepts no more, idle connections close, and what was taken is finished.
    Closing,
}
