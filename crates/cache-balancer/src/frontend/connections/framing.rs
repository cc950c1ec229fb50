//! Where a request ends in the bytes of its connection.

use std::cell::Cell;

/// Where in a head the last byte stood, to find the empty line that ends it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum HeadPosition {
    /// Before the first line: empty lines there are skipped (RFC 9112, section 2.2).
    #[default]
    BeforeFirstLine,
    /// In a line that is not empty.
    InLine,
    /// At the start of a line that may be the empty one.
    LineStart,
}

/// Splits the bytes of a connection into the current request's and the next one's.
///
/// Guarded against: hyper buffers all that it is given, and a next request in its buffer would be lost,
/// unseen, with a connection that closes after the current response. It would show as a client whose
/// pipelined request is never answered. hyper is given no byte beyond the current request.
#[derive(Debug, Default)]
pub(super) struct RequestFraming {
    /// Bytes of the body that have not come yet; `None` while the head is read.
    body_remaining: Cell<Option<usize>>,
    head: Cell<HeadPosition>,
}

impl RequestFraming {
    /// The head has been read; a body of this many bytes follows.
    pub(super) fn head_read(&self, body_bytes: usize) {
        self.body_remaining.set(Some(body_bytes));
    }

    /// The response is written: the next byte begins a head.
    pub(super) fn next_request(&self) {
        self.body_remaining.set(None);
    }

    /// Whether the current request has come whole.
    pub(super) fn is_complete(&self) -> bool {
        self.body_remaining.get() == Some(0)
    }

    /// How many of these bytes, which follow those before, belong to the current request.
    pub(super) fn measure(&self, bytes: &[u8]) -> usize {
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
