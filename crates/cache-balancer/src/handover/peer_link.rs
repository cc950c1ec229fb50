//! A link and the process at its other end. Both sides of a hand-over are built on this.

use super::frame::{Frame, FrameKind};
use super::link::{Link, LinkError};
use super::peer::Peer;
use crate::memory::MemoryAccount;
use rustix::process::Signal;
use serde::Serialize;
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// Time limit for sending the last message on a link. A peer that does not receive it detects the end of the
/// link.
const LAST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(200);

/// Reason why a link has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// The peer is alive. Reported only once.
    Lost,
    /// The peer has died, or it has departed and does not support probation.
    PeerDied,
}

/// A link and the process at its other end.
#[derive(Debug)]
pub(super) struct PeerLink {
    /// `None` once the link has ended.
    link: Option<Link>,
    peer: Peer,
    supports_probation: bool,
    loss_reported: bool,
}

impl PeerLink {
    /// Creates a link on `stream`. The peer is assumed not to support probation until
    /// [`Self::set_supports_probation`] is called. The memory of long frames is reserved in `account`.
    pub fn new(stream: UnixStream, account: &MemoryAccount) -> Self {
        let link = Link::new(stream, account);
        let peer = Peer::new(link.peer_pid());
        Self { link: Some(link), peer, supports_probation: false, loss_reported: false }
    }

    /// Returns whether the peer supports probation. A peer that does not treats the end of the link as the
    /// departure or the death of this process.
    pub fn supports_probation(&self) -> bool {
        self.supports_probation
    }

    pub fn set_supports_probation(&mut self, supports_probation: bool) {
        self.supports_probation = supports_probation;
    }

    /// Returns the PID of the peer; `None` if the system does not report it.
    pub fn peer_pid(&self) -> Option<u32> {
        self.peer.pid
    }

    /// Waits for the next frame. Returns `None` if the link has ended; [`Self::classify_end`] then determines
    /// the cause. Ends the link on an error. Cancel safe.
    pub async fn next_frame(&mut self) -> Result<Option<Frame>, LinkError> {
        let Some(link) = &mut self.link else { return Ok(None) };
        let frame = link.next().await;
        if !matches!(frame, Ok(Some(_))) {
            self.link = None;
        }
        frame
    }

    /// Determines whether the peer has died. Called after the link has ended; once it has returned
    /// [`LinkEnd::Lost`], the next call waits for the death of the peer. Cancel safe.
    pub async fn classify_end(&mut self) -> LinkEnd {
        if !self.supports_probation {
            return LinkEnd::PeerDied;
        }
        if !self.loss_reported && !self.peer.has_died().await {
            self.loss_reported = true;
            return LinkEnd::Lost;
        }
        self.peer.died().await;
        LinkEnd::PeerDied
    }

    /// Takes the descriptors that have arrived so far.
    pub fn take_descriptors(&mut self) -> Vec<OwnedFd> {
        self.link.as_mut().map_or(Vec::new(), Link::take_descriptors)
    }

    /// Queues a message, which [`Self::next_frame`] sends.
    pub fn send(&mut self, kind: FrameKind, message: &impl Serialize, descriptors: Vec<OwnedFd>) {
        if let Some(link) = &mut self.link {
            link.queue(kind, message, descriptors);
        }
    }

    /// Sends the last message and ends the link. Returns whether the message was sent.
    pub async fn send_last(&mut self, kind: FrameKind, message: &impl Serialize) -> bool {
        let Some(mut link) = self.link.take() else { return false };
        link.queue(kind, message, Vec::new());
        matches!(timeout(LAST_MESSAGE_TIMEOUT, link.flush()).await, Ok(Ok(())))
    }

    /// Ends the link without a message.
    pub fn disconnect(&mut self) {
        self.link = None;
    }

    /// Sends the peer a signal, independently of the link. Fails if the peer is not alive.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        self.peer.signal(signal)
    }
}
