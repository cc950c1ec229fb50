//! A read buffer for tests that reports whether it is still allocated.

use bytes::Bytes;
use std::sync::Arc;

/// Counts the read buffers that it has created and that are still allocated.
#[derive(Default)]
pub struct ReadBufferProbe(Arc<()>);

struct ReadBuffer {
    bytes: Vec<u8>,
    _allocated: Arc<()>,
}

impl AsRef<[u8]> for ReadBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ReadBufferProbe {
    /// Creates a read buffer with these bytes. It is allocated until the last slice of it is dropped, as those
    /// that hyper reads into.
    pub fn buffer(&self, bytes: Vec<u8>) -> Bytes {
        Bytes::from_owner(ReadBuffer { bytes, _allocated: self.0.clone() })
    }

    /// Returns the number of read buffers that are still allocated.
    pub fn allocated(&self) -> usize {
        Arc::strong_count(&self.0) - 1
    }
}
