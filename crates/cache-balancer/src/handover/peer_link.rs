//! A link together with the process at its other end: what each end of a hand-over has in common.

use super::frame::{Frame, FrameKind};
use super::link::{Link, LinkError};
use super::peer::Peer;
use rustix::process::Signal;
use serde::Serialize;
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// The time limit for the last message on a link. A peer that does not take it learns from the end of the link.
const LAST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(200);

/// What the end of a link means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkEnd {
    /// The peer lives. Reported once.
    Lost,
    /// The peer has died, or does not support probation and has departed.
    PeerDied,
}

#[derive(Debug)]
pub(super) struct PeerLink {
    /// `None` once it has ended.
    link: Option<Link>,
    peer: Peer,
    supports_probation: bool,
    loss_reported: bool,
}

impl PeerLink {
    /// A link whose peer is taken not to support probation until [`Self::set_supports_probation`].
    pub fn new(stream: UnixStream) -> Self {
        let link = Link::new(stream);
        let peer = Peer::new(link.peer_pid());
        Self { link: Some(link), peer, supports_probation: false, loss_reported: false }
    }

    /// Whether the peer supports probation. One that does not takes the end of the link for the departure or the death of its peer.
    pub fn supports_probation(&self) -> bool {
        self.supports_probation
    }

    pub fn set_supports_probation(&mut self, supports_probation: bool) {
        self.supports_probation = supports_probation;
    }

    /// The process number of the peer, where the system reports it.
    pub fn peer_pid(&self) -> Option<u32> {
        self.peer.pid
    }

    /// The next frame; `None` if the link has ended, which [`Self::classify_end`] explains. Ends the link on an error. Cancel safe.
    pub async fn next_frame(&mut self) -> Result<Option<Frame>, LinkError> {
        let Some(link) = &mut self.link else { return Ok(None) };
        let frame = link.next().await;
        if !matches!(frame, Ok(Some(_))) {
            self.link = None;
        }
        frame
    }

    /// Waits until it is known what the end of the link means. Cancel safe.
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

    /// The descriptors that have arrived so far.
    pub fn take_descriptors(&mut self) -> Vec<OwnedFd> {
        self.link.as_mut().map_or(Vec::new(), Link::take_descriptors)
    }

    /// Queues a message. [`Self::next_frame`] sends it.
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

    /// Sends the peer a signal, past the link. An error if it is not alive.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        self.peer.signal(signal)
    }
}
