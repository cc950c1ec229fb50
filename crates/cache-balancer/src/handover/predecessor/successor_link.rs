//! Link to one successor. Converts its frames and its end to events.

use crate::handover::frame::{Frame, FrameError, FrameKind};
use crate::handover::link::LinkError;
use crate::handover::messages::Request;
use crate::handover::peer_link::{LinkEnd, PeerLink};
use crate::log::log;
use crate::memory::MemoryAccount;
use balancer_core::graceful_restart::PredecessorEvent;
use rustix::process::Signal;
use serde::Serialize;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::{timeout_at, Instant};

/// Link to a process that has connected, with the progress of its hand-over.
#[derive(Debug)]
pub(super) struct SuccessorLink {
    link: PeerLink,
    /// Whether the process has requested a hand-over.
    requested: bool,
    /// Whether the successor serves for good because it accepts connections and does not support probation.
    released: bool,
    /// Deadline of the successor's next step; `None` once the hand-over is committed.
    deadline: Option<Instant>,
}

impl SuccessorLink {
    pub fn new(stream: UnixStream, account: &MemoryAccount, step_timeout: Duration) -> Self {
        Self {
            link: PeerLink::new(stream, account),
            requested: false,
            released: false,
            deadline: Some(Instant::now() + step_timeout),
        }
    }

    /// Returns whether the process has requested a hand-over. Until then it does not count as a successor.
    pub fn has_requested(&self) -> bool {
        self.requested
    }

    pub fn supports_probation(&self) -> bool {
        self.link.supports_probation()
    }

    /// Returns the PID of the successor; `None` if the system does not report it.
    pub fn pid(&self) -> Option<u32> {
        self.link.peer_pid()
    }

    /// Waits for the next event. Cancel safe.
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

    /// Queues a message and sets the deadline of the successor's next step.
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

    /// Tells the successor that it serves, if it supports probation, and removes the deadline.
    pub fn send_commit(&mut self) {
        self.deadline = None;
        if self.supports_probation() {
            self.link.send(FrameKind::Commit, &(), Vec::new());
        }
    }

    /// Sends the last message and ends the link.
    pub async fn send_last(&mut self, kind: FrameKind, message: &impl Serialize) {
        // A successor that does not receive the message detects the end of the link.
        self.link.send_last(kind, message).await;
    }

    /// Sends the successor a signal, independently of the link, if it supports probation.
    pub fn signal(&self, signal: Signal) {
        // A version without probation needs no signal: it reacts to the end of the link.
        if self.supports_probation() {
            if let Err(error) = self.link.signal(signal) {
                log!("hand-over: signalling the successor failed: {error}");
            }
        }
    }

    /// Updates the progress of the hand-over and returns the event that the frame stands for.
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
            // Only a predecessor sends these frames, so the peer is not a successor.
            FrameKind::Offer
            | FrameKind::Proceed
            | FrameKind::Cancel
            | FrameKind::Commit
            | FrameKind::Departed => PredecessorEvent::Declined,
        })
    }
}
