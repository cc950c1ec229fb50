//! Finds the end of a request in the byte stream of its connection.

use std::cell::Cell;

/// Position of the last byte within a request head. It is used to find the empty line that ends the head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum HeadPosition {
    /// Before the first line. Empty lines here are skipped (RFC 9112, section 2.2).
    #[default]
    BeforeFirstLine,
    /// In a line that is not empty.
    InLine,
    /// At the start of a line, which may be the empty one that ends the head.
    LineStart,
}

/// Separates the bytes of the current request from those of the next one.
///
/// hyper must not get a byte beyond the current request. It buffers everything it is given, and if the
/// connection closes after the current response, a next request in that buffer is lost without notice: the
/// client's pipelined request is never answered.
#[derive(Debug, Default)]
pub(super) struct RequestFraming {
    /// Number of body bytes that have not arrived yet, or `None` while the head is read.
    body_remaining: Cell<Option<usize>>,
    head: Cell<HeadPosition>,
}

impl RequestFraming {
    /// Records that the head has been read and that a body of `body_bytes` bytes follows.
    pub(super) fn on_head_read(&self, body_bytes: usize) {
        self.body_remaining.set(Some(body_bytes));
    }

    /// Starts the next request after the current response has been written. The next byte belongs to a head.
    pub(super) fn start_next_request(&self) {
        self.body_remaining.set(None);
    }

    /// Returns whether the head of the current request has been read.
    pub(super) fn is_head_read(&self) -> bool {
        self.body_remaining.get().is_some()
    }

    /// Returns whether the current request has arrived completely.
    pub(super) fn is_complete(&self) -> bool {
        self.body_remaining.get() == Some(0)
    }

    /// Advances over the next bytes of the connection and returns how many of them belong to the current
    /// request.
    pub(super) fn consume(&self, bytes: &[u8]) -> usize {
        if let Some(remaining) = self.body_remaining.get() {
            let taken = remaining.min(bytes.len());
            self.body_remaining.set(Some(remaining - taken));
            return taken;
        }
        for (i, byte) in bytes.iter().enumerate() {
            self.head.set(match (byte, self.head.get()) {
                (b'\n', HeadPosition::LineStart) => {
                    self.head.set(HeadPosition::BeforeFirstLine);
                    return i + 1;
                }
                (b'\n', HeadPosition::InLine) => HeadPosition::LineStart,
                (b'\r' | b'\n', position) => position,
                _ => HeadPosition::InLine,
            });
        }
        bytes.len()
    }
}
