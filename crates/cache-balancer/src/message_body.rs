//! Reads the body of an HTTP message into memory whose size follows the bytes received, and which is reserved
//! in the process's account.

use crate::memory::{MemoryAccount, Reservation};
use balancer_core::memory_budget::{MemoryExhausted, MemoryUse};
use bytes::{Buf, Bytes};
use bytes_utils::SegmentedBuf;
use http_body_util::BodyExt;
use hyper::body::Body;
use std::pin::pin;
use thiserror::Error;
use tokio::task::yield_now;

/// The bytes of a whole body, in blocks.
pub type MessageBody = SegmentedBuf<Bytes>;

/// Size of the blocks in which a body is kept. The first block is part of the memory that is planned for its
/// connection, and the others are reserved.
const BLOCK_BYTES: usize = 4 << 10;
/// Reserved for each block: its bytes, and the allocations that hold them.
const RESERVED_BLOCK_BYTES: usize = BLOCK_BYTES + 256;

/// The memory for a body.
pub struct BodyMemory<'a, R> {
    /// The account in which it is reserved.
    pub account: &'a MemoryAccount,
    /// What it is reserved for.
    pub purpose: MemoryUse,
    /// Called if no memory is left. Returns whether others release some.
    pub make_room: R,
}

/// Reason why a body could not be read. `E` is the error of its connection.
#[derive(Debug, Error)]
pub enum BodyError<E> {
    /// The body is longer than the limit, or is declared to be.
    #[error("body: expected at most {limit} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit: usize,
    },
    /// No memory is left for the body.
    #[error("body: {0}")]
    NoMemory(#[from] MemoryExhausted),
    /// The connection failed before the end of the body.
    #[error("body: {0}")]
    Incomplete(E),
}

/// Reads a whole body of at most `limit` bytes. A body whose declared length is over the limit is not read.
///
/// Each piece is copied and released before the next one is read. hyper returns a piece as a slice of its
/// read buffer, and a slice of a few bytes keeps the whole buffer of 8 KiB or more allocated.
pub async fn read_body<B, R>(
    body: B,
    limit: usize,
    memory: BodyMemory<'_, R>,
) -> Result<MessageBody, BodyError<B::Error>>
where
    B: Body<Data = Bytes>,
    R: Fn() -> bool,
{
    let mut body = pin!(body);
    let declared = body.size_hint();
    if declared.lower() > limit as u64 {
        return Err(BodyError::TooLarge { limit });
    }
    let longest = declared.upper().and_then(|upper| usize::try_from(upper).ok());
    let mut buffer = BodyBuffer::new(longest.map_or(limit, |longest| longest.min(limit)));
    while let Some(frame) = body.frame().await {
        // Trailers are discarded.
        let Ok(piece) = frame.map_err(BodyError::Incomplete)?.into_data() else { continue };
        let mut rest = &piece[..];
        if rest.len() > buffer.free() {
            return Err(BodyError::TooLarge { limit });
        }
        while let Err(exhausted) = buffer.append(&mut rest, &memory) {
            if !(memory.make_room)() {
                return Err(exhausted.into());
            }
            // The others release their memory when they run.
            yield_now().await;
        }
    }
    Ok(buffer.into_body())
}

/// The received part of a body. It takes at most [`BLOCK_BYTES`] more than the bytes received.
///
/// It grows by blocks of one size. If it grew as one piece of memory instead, the pieces that bodies have
/// outgrown would lie between others, too small for any larger body, and stay unused.
#[derive(Debug)]
struct BodyBuffer {
    full_blocks: MessageBody,
    block: Vec<u8>,
    /// The reservation of `block`; `None` for the first block.
    reservation: Option<Reservation>,
    max_bytes: usize,
}

/// A full block, whose reservation ends with its last reference.
struct FullBlock {
    bytes: Box<[u8]>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for FullBlock {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBuffer {
    /// Creates an empty buffer for up to `max_bytes`. It allocates nothing, since a sender may declare a
    /// length and send nothing.
    fn new(max_bytes: usize) -> Self {
        Self { full_blocks: MessageBody::new(), block: Vec::new(), reservation: None, max_bytes }
    }

    /// Returns the number of bytes received.
    fn len(&self) -> usize {
        self.full_blocks.remaining() + self.block.len()
    }

    /// Returns the number of bytes for which there is room.
    fn free(&self) -> usize {
        self.max_bytes - self.len()
    }

    /// Appends the bytes of a piece, and removes from it those that are appended. `piece` is at most as long
    /// as there is room.
    fn append<R>(&mut self, piece: &mut &[u8], memory: &BodyMemory<R>) -> Result<(), MemoryExhausted> {
        while !piece.is_empty() {
            if self.block.len() == self.block.capacity() {
                self.start_block(memory)?;
            }
            let free = self.block.capacity() - self.block.len();
            let (fitting, rest) = piece.split_at(free.min(piece.len()));
            self.block.extend_from_slice(fitting);
            *piece = rest;
        }
        Ok(())
    }

    fn start_block<R>(&mut self, memory: &BodyMemory<R>) -> Result<(), MemoryExhausted> {
        let is_first = self.block.is_empty();
        let reservation = match is_first {
            true => None,
            false => Some(memory.account.reserve(memory.purpose, RESERVED_BLOCK_BYTES)?),
        };
        let block_bytes = BLOCK_BYTES.min(self.free());
        self.finish_block();
        self.block = Vec::with_capacity(block_bytes);
        self.reservation = reservation;
        Ok(())
    }

    /// Adds the current block to the full ones, without spare capacity.
    fn finish_block(&mut self) {
        let bytes = std::mem::take(&mut self.block).into_boxed_slice();
        self.full_blocks.push(match self.reservation.take() {
            Some(reservation) => Bytes::from_owner(FullBlock { bytes, _reservation: reservation }),
            None => Bytes::from(bytes),
        });
    }

    /// Returns the bytes received.
    fn into_body(mut self) -> MessageBody {
        self.finish_block();
        self.full_blocks
    }
}

#[cfg(test)]
mod tests;
