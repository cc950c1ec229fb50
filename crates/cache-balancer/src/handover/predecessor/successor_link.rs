//! The link to one successor, and what its frames and its end mean.

use crate::handover::frame::{Frame, FrameError, Kind};
use crate::handover::link::{Link, LinkError};
use crate::handover::messages::Request;
use crate::handover::peer::Peer;
use crate::log::log;
use balancer_core::graceful_restart::PredecessorEvent;
use rustix::process::Signal;
use serde::Serialize;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::net::UnixStream;
use tokio::time::{timeout, timeout_at, Instant};

/// The time limit for the last message on a link. A successor that does not take it learns from the end of the link.
const LAST_MESSAGE_TIMEOUT: Duration = Duration::from_millis(200);

#[derive(Debug)]
pub(super) struct SuccessorLink {
    /// `None` once it has ended.
    link: Option<Link>,
    peer: Peer,
    /// It has requested a hand-over.
    requested: bool,
    /// It supports probation.
    probation: bool,
    /// It accepts and does not support probation: it serves for good.
    released: bool,
    /// The loss of the link was reported.
    loss_reported: bool,
    /// When it has to have taken the next step.
    deadline: Option<Instant>,
}

impl SuccessorLink {
    pub fn new(stream: UnixStream, step_timeout: Duration) -> Self {
        let link = Link::new(stream);
        Self {
            peer: Peer::new(link.peer_id()),
            link: Some(link),
            requested: false,
            probation: false,
            released: false,
            loss_reported: false,
            deadline: Some(Instant::now() + step_timeout),
        }
    }

    /// Whether it has requested a hand-over. A connection that has not is no successor.
    pub fn has_requested(&self) -> bool {
        self.requested
    }

    pub fn supports_probation(&self) -> bool {
        self.probation
    }

    /// The process number of the successor, where the system reports it.
    pub fn process(&self) -> Option<u32> {
        self.peer.id
    }

    /// The next event. Cancel safe.
    pub async fn next(&mut self) -> Result<PredecessorEvent, LinkError> {
        if self.released {
            return Ok(PredecessorEvent::Released);
        }
        if let Some(link) = &mut self.link {
            let frame = match self.deadline {
                Some(deadline) => match timeout_at(deadline, link.next()).await {
                    Ok(frame) => frame,
                    Err(_) => return Ok(PredecessorEvent::TimedOut),
                },
                None => link.next().await,
            };
            match frame {
                Ok(Some(frame)) => return Ok(self.event(&frame)?),
                // What the end means is determined below, also if this future is dropped meanwhile.
                Ok(None) => self.link = None,
                Err(error) => {
                    self.link = None;
                    return Err(error);
                }
            }
        }
        Ok(self.ended().await)
    }

    /// Queues a message and starts the time limit of the next step.
    pub fn send(
        &mut self,
        kind: Kind,
        message: &impl Serialize,
        sockets: Vec<OwnedFd>,
        step_timeout: Duration,
    ) {
        self.deadline = Some(Instant::now() + step_timeout);
        if let Some(link) = &mut self.link {
            link.queue(kind, message, sockets);
        }
    }

    /// Tells a successor that supports probation that it serves, and lifts the time limit.
    pub fn send_commit(&mut self) {
        self.deadline = None;
        if let Some(link) = self.link.as_mut().filter(|_| self.probation) {
            link.queue(Kind::Commit, &(), Vec::new());
        }
    }

    /// Sends the last message, and ends the link.
    pub async fn send_last(&mut self, kind: Kind, message: &impl Serialize) {
        if let Some(mut link) = self.link.take() {
            link.queue(kind, message, Vec::new());
            let _ = timeout(LAST_MESSAGE_TIMEOUT, link.flush()).await;
        }
    }

    /// Sends the process a signal, past the link.
    pub fn signal(&self, signal: Signal) {
        // For versions without probation, the end of the link suffices.
        if self.probation {
            if let Err(error) = self.peer.signal(signal) {
                log!("hand-over: the successor cannot be signalled: {error}");
            }
        }
    }

    /// What the end of the link means.
    async fn ended(&mut self) -> PredecessorEvent {
        if !self.probation {
            return PredecessorEvent::SuccessorDied;
        }
        if !self.loss_reported && !self.peer.has_died().await {
            self.loss_reported = true;
            return PredecessorEvent::LinkLost;
        }
        self.peer.died().await;
        PredecessorEvent::SuccessorDied
    }

    fn event(&mut self, frame: &Frame) -> Result<PredecessorEvent, FrameError> {
        Ok(match frame.kind {
            Kind::Request => {
                let Request { version, probation } = frame.parse()?;
                log!("hand-over: requested by version {version}");
                (self.requested, self.probation) = (true, probation);
                PredecessorEvent::Requested
            }
            Kind::Ready => PredecessorEvent::SuccessorReady,
            Kind::Accepting => {
                self.released = !self.probation;
                PredecessorEvent::SuccessorAccepting
            }
            Kind::Release => PredecessorEvent::Released,
            // Messages of a predecessor: the other end is no successor.
            Kind::Decline | Kind::Offer | Kind::Proceed | Kind::Cancel | Kind::Commit | Kind::Departed => {
                PredecessorEvent::Declined
            }
        })
    }
}
