//! Replicas of one discovery service: which of them a node asks, and what each can do for the nodes that ask it.

/// What one replica of discovery can send, as the operator states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Lines of lists that one replica sends in a second.
    pub lines_per_second: f64,
    /// Lines that each call costs a replica beside those of its answer.
    pub call_lines: f64,
}
