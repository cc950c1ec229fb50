//! The link to one successor, and what its frames and its end mean.

use crate::handover::frame::{Frame, FrameError, FrameKind};
use crate::handover::link::LinkError;
use crate::handover::messages::Request;
use crate::handover::peer_link::{LinkEnd, PeerLink};
use crate::log::log;
use balancer_core::graceful_restart::PredecessorEvent;
use rustix::process::Signal;
use serde::Serialize;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::{timeout_at, Instant};

#[derive(Debug)]
pub(super) struct SuccessorLink {
    link: PeerLink,
    /// It has requested a hand-over.
    requested: bool,
    /// It accepts and does not support probation: it serves for good.
    released: bool,
    /// When it has to have taken the next step.
    deadline: Option<Instant>,
}

impl SuccessorLink {
    pub fn new(stream: UnixStream, step_timeout: Duration) -> Self {
        Self {
            link: PeerLink::new(stream),
            requested: false,
            released: false,
            deadline: Some(Instant::now() + step_timeout),
        }
    }

    /// Whether it has requested a hand-over. A connection that has not is no successor.
    pub fn has_requested(&self) -> bool {
        self.requested
    }

    pub fn supports_probation(&self) -> bool {
        self.link.supports_probation()
    }

    /// The process number of the successor, where the system reports it.
    pub fn pid(&self) -> Option<u32> {
        self.link.peer_pid()
    }

    /// The next event. Cancel safe.
    pub async fn next(&mut self) -> Result<PredecessorEvent, LinkError> {
        if self.released {
            return Ok(PredecessorEvent::Released);
        }
        let frame = match self.deadline {
            Some(deadline) => match timeout_at(deadline, self.link.next_frame()).await {
                Ok(frame) => frame?,
                Err(_) => return Ok(PredecessorEvent::TimedOut),
            },
            None => self.link.next_frame().await?,
        };
        match frame {
            Some(frame) => Ok(self.handle_frame(&frame)?),
            None => Ok(match self.link.classify_end().await {
                LinkEnd::Lost => PredecessorEvent::LinkLost,
                LinkEnd::PeerDied => PredecessorEvent::SuccessorDied,
            }),
        }
    }

    /// Queues a message and starts the time limit of the next step.
    pub fn send(
        &mut self,
        kind: FrameKind,
        message: &impl Serialize,
        sockets: Vec<OwnedFd>,
        step_timeout: Duration,
    ) {
        self.deadline = Some(Instant::now() + step_timeout);
        self.link.send(kind, message, sockets);
    }

    /// Tells a successor that supports probation that it serves, and lifts the time limit.
    pub fn send_commit(&mut self) {
        self.deadline = None;
        if self.supports_probation() {
            self.link.send(FrameKind::Commit, &(), Vec::new());
        }
    }

    /// Sends the last message, and ends the link.
    pub async fn send_last(&mut self, kind: FrameKind, message: &impl Serialize) {
        // A successor that does not take it learns from the end of the link.
        self.link.send_last(kind, message).await;
    }

    /// Sends the process a signal, past the link.
    pub fn signal(&self, signal: Signal) {
        // For versions without probation, the end of the link suffices.
        if self.supports_probation() {
            if let Err(error) = self.link.signal(signal) {
                log!("hand-over: the successor cannot be signalled: {error}");
            }
        }
    }

    fn handle_frame(&mut self, frame: &Frame) -> Result<PredecessorEvent, FrameError> {
        Ok(match frame.kind {
            FrameKind::Request => {
                let Request { version, probation } = frame.parse()?;
                log!("hand-over: requested by version {version}");
                self.requested = true;
                self.link.set_supports_probation(probation);
                PredecessorEvent::Requested
            }
            FrameKind::Ready => PredecessorEvent::SuccessorReady,
            FrameKind::Accepting => {
                self.released = !self.supports_probation();
                PredecessorEvent::SuccessorAccepting
            }
            FrameKind::Release => PredecessorEvent::Released,
            FrameKind::Decline => PredecessorEvent::Declined,
            // Only a predecessor sends these: the process at the other end is no successor.
            FrameKind::Offer
            | FrameKind::Proceed
            | FrameKind::Cancel
            | FrameKind::Commit
            | FrameKind::Departed => PredecessorEvent::Declined,
        })
    }
}
