//! One end of the link between predecessor and successor: frames and file descriptors over a Unix socket.
//!
//! The descriptors of a frame are passed with its first byte (`SCM_RIGHTS`, unix(7)).

use super::frame::{encode, Frame, FrameError, FrameKind};
use crate::memory::{MemoryAccount, Reservation};
use balancer_core::memory_budget::{MemoryExhausted, MemoryUse};
use rustix::io::Errno;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::Serialize;
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::UnixStream;

/// Maximum number of descriptors that Linux passes in one message (`SCM_MAX_FD`).
pub(super) const MAX_PASSED_DESCRIPTORS: usize = 253;
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Memory that is reserved for each byte of a long frame: it is parsed into a tree while its bytes are kept.
const RESERVED_PER_BYTE: usize = 8;

/// Error after which a link can no longer be used.
#[derive(Debug, Error)]
pub enum LinkError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("the state does not fit: {0}")]
    NoMemory(#[from] MemoryExhausted),
    #[error("the link ended within a frame")]
    Truncated,
}

/// A frame that has not been sent completely yet.
#[derive(Debug)]
struct OutgoingFrame {
    bytes: Vec<u8>,
    sent: usize,
    /// Descriptors to pass with the first byte; empty once that has been sent.
    descriptors: Vec<OwnedFd>,
}

/// One end of the link.
#[derive(Debug)]
pub(super) struct Link {
    stream: UnixStream,
    outgoing: VecDeque<OutgoingFrame>,
    received: Vec<u8>,
    /// The memory of the frame that is being received, and then of the one that was received last.
    memory: Reservation,
    received_descriptors: Vec<OwnedFd>,
}

impl Link {
    /// Creates an end of the link. The memory of long frames is reserved in `account`.
    pub fn new(stream: UnixStream, account: &MemoryAccount) -> Self {
        Self {
            stream,
            outgoing: VecDeque::new(),
            received: Vec::new(),
            memory: account.start(MemoryUse::List),
            received_descriptors: Vec::new(),
        }
    }

    /// Returns the PID of the process at the other end; `None` if the system does not report it.
    pub fn peer_pid(&self) -> Option<u32> {
        self.stream.peer_cred().ok()?.pid()?.try_into().ok()
    }

    /// Queues a frame, which [`Link::next`] and [`Link::flush`] send.
    pub fn queue(&mut self, kind: FrameKind, message: &impl Serialize, descriptors: Vec<OwnedFd>) {
        self.outgoing.push_back(OutgoingFrame { bytes: encode(kind, message), sent: 0, descriptors });
    }

    /// Waits for the next frame and sends queued frames meanwhile. Returns `None` if the link has ended
    /// between two frames. Cancel safe.
    pub async fn next(&mut self) -> Result<Option<Frame>, LinkError> {
        if self.received.is_empty() {
            self.memory.clear();
        }
        loop {
            if let Some(frame) = Frame::decode(&mut self.received)? {
                return Ok(Some(frame));
            }
            let interest = match self.outgoing.is_empty() {
                true => Interest::READABLE,
                false => Interest::READABLE | Interest::WRITABLE,
            };
            let ready = self.stream.ready(interest).await?;
            if ready.is_writable() {
                self.send_available()?;
            }
            if ready.is_readable() && self.receive_available()? == Some(0) {
                return if self.received.is_empty() { Ok(None) } else { Err(LinkError::Truncated) };
            }
        }
    }

    /// Sends all queued frames.
    pub async fn flush(&mut self) -> Result<(), LinkError> {
        while !self.outgoing.is_empty() {
            self.stream.ready(Interest::WRITABLE).await?;
            self.send_available()?;
        }
        Ok(())
    }

    /// Takes the descriptors that have arrived so far.
    pub fn take_descriptors(&mut self) -> Vec<OwnedFd> {
        std::mem::take(&mut self.received_descriptors)
    }

    /// Sends as much as the socket accepts without blocking.
    fn send_available(&mut self) -> Result<(), LinkError> {
        while let Some(frame) = self.outgoing.front_mut() {
            let result = self.stream.try_io(Interest::WRITABLE, || send(&self.stream, frame));
            match result {
                Ok(written) => {
                    frame.descriptors.clear();
                    frame.sent += written;
                    if frame.sent == frame.bytes.len() {
                        self.outgoing.pop_front();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    /// Reserves the memory for a frame of which this many bytes have arrived.
    fn reserve(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        match bytes > READ_BUFFER_BYTES {
            true => self.memory.grow_to(bytes * RESERVED_PER_BYTE),
            false => Ok(()),
        }
    }

    /// Reads once and returns the number of bytes; `None` if the read would block.
    fn receive_available(&mut self) -> Result<Option<usize>, LinkError> {
        let mut bytes = vec![0; READ_BUFFER_BYTES];
        let descriptors = &mut self.received_descriptors;
        let result =
            self.stream.try_io(Interest::READABLE, || receive(&self.stream, &mut bytes, descriptors));
        match result {
            Ok(length) => {
                self.reserve(self.received.len() + length)?;
                self.received.extend_from_slice(&bytes[..length]);
                Ok(Some(length))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

fn send(stream: &UnixStream, frame: &OutgoingFrame) -> io::Result<usize> {
    let descriptors: Vec<_> = frame.descriptors.iter().map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_DESCRIPTORS))];
    let mut ancillary = SendAncillaryBuffer::new(&mut space);
    if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)) {
        return Err(io::Error::from(Errno::TOOBIG));
    }
    let bytes = [IoSlice::new(&frame.bytes[frame.sent..])];
    Ok(sendmsg(stream, &bytes, &mut ancillary, SendFlags::NOSIGNAL)?)
}

fn receive(stream: &UnixStream, bytes: &mut [u8], descriptors: &mut Vec<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_PASSED_DESCRIPTORS))];
    let mut ancillary = RecvAncillaryBuffer::new(&mut space);
    let received = recvmsg(stream, &mut [IoSliceMut::new(bytes)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
    for message in ancillary.drain() {
        if let RecvAncillaryMessage::ScmRights(passed) = message {
            // Descriptors beyond the maximum of a hand-over are closed.
            descriptors.extend(passed);
            descriptors.truncate(MAX_PASSED_DESCRIPTORS);
        }
    }
    Ok(received.bytes)
}

#[cfg(test)]
mod tests;
