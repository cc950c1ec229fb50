//! The end of the process that serves: it listens for a successor, and carries the messages of
//! [`balancer_core::graceful_restart::Predecessor`].

mod socket;
mod successor_link;

use super::frame::FrameKind;
use super::link::MAX_DESCRIPTORS;
use super::messages::{Cancel, CancelReason, Offer, OfferedListener, Proceed};
use super::State;
use crate::config::{HandoverConfig, Listener};
use crate::log::log;
use balancer_core::graceful_restart::PredecessorEvent;
use rustix::process::Signal;
use serde::Serialize;
use socket::{accept, is_same_user, listen};
use std::future::pending;
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;
use successor_link::SuccessorLink;
use tokio::net::UnixListener;
use tokio::time::{sleep, sleep_until, Instant};

/// The wait after a failed accept: tried again at once, it would fail and spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The predecessor's end of a hand-over, with at most one successor at a time.
///
/// The successor's probation ends when its time is over and every connection that this process accepted has ended.
#[derive(Debug)]
pub struct PredecessorEndpoint {
    /// `None` while the successor listens at the same path.
    listener: Option<UnixListener>,
    pub config: HandoverConfig,
    successor: Option<SuccessorLink>,
    /// Successors are rejected until then.
    backoff_until: Option<Instant>,
}

impl PredecessorEndpoint {
    /// Listens for a successor, in place of any process that does.
    pub fn bind(config: HandoverConfig) -> io::Result<Self> {
        let listener = Some(listen(&config.socket)?);
        Ok(Self { listener, config, successor: None, backoff_until: None })
    }

    /// The next event. Cancel safe.
    pub async fn next(&mut self) -> PredecessorEvent {
        loop {
            let event = match &mut self.successor {
                Some(_) => self.next_from_successor().await,
                None => self.next_without_successor().await,
            };
            if let Some(event) = event {
                return event;
            }
        }
    }

    /// The process number of the successor, where there is one and the system reports it.
    pub fn successor_process(&self) -> Option<u32> {
        self.successor.as_ref()?.pid()
    }

    /// Sends sockets, each beside its listener, and the learned state.
    pub fn send_offer(&mut self, listeners: Vec<(Listener, OwnedFd)>, state: &State) {
        let excess = listeners.len().saturating_sub(MAX_DESCRIPTORS);
        if excess > 0 {
            log!("hand-over: {excess} listeners are too many to pass; the successor opens them itself");
        }
        let (listeners, sockets): (Vec<_>, Vec<_>) = listeners
            .into_iter()
            .take(MAX_DESCRIPTORS)
            .map(|(Listener { name, address }, socket)| (OfferedListener { name, address }, socket))
            .unzip();
        let offer = Offer { listeners, state: to_json(state), probation: true };
        self.send(FrameKind::Offer, &offer, sockets);
    }

    /// Tells the successor to proceed, with the latest learned state.
    pub fn send_proceed(&mut self, state: &State) {
        self.send(FrameKind::Proceed, &Proceed { state: to_json(state) }, Vec::new());
    }

    /// Tells the successor that it serves. From here on it listens at the path itself.
    pub fn send_commit(&mut self) {
        self.listener = None;
        if let Some(successor) = &mut self.successor {
            successor.send_commit();
        }
    }

    /// Listens at the path again, in place of the successor that died.
    pub fn roll_back(&mut self) {
        self.disconnect();
        match listen(&self.config.socket) {
            Ok(listener) => self.listener = Some(listener),
            // Serving matters more than the next hand-over.
            Err(error) => log!("hand-over: no successor can connect: {error}"),
        }
    }

    /// Starts the backoff, and rejects successors until it has expired.
    pub fn back_off(&mut self) {
        self.backoff_until = Some(Instant::now() + self.config.backoff);
        log!(
            "hand-over: two successors died while they served; further ones are rejected for {:?}",
            self.config.backoff
        );
    }

    /// The time left of the backoff.
    pub fn backoff_remaining(&self) -> Option<Duration> {
        self.backoff_until.map(|until| until.saturating_duration_since(Instant::now()))
    }

    /// Tells the successor that the hand-over is cancelled, and ends the link.
    pub async fn cancel(&mut self, reason: CancelReason) {
        log!("hand-over: {reason}; this process goes on");
        if let Some(successor) = &mut self.successor {
            successor.send_last(FrameKind::Cancel, &Cancel { reason: reason.to_string() }).await;
        }
    }

    /// Tells the successor that this process departs, and ends the link.
    pub async fn depart(&mut self) {
        match self.successor.as_mut().filter(|successor| successor.supports_probation()) {
            Some(successor) => successor.send_last(FrameKind::Departed, &()).await,
            // A version without probation learns it from the end of the link.
            None => self.disconnect(),
        }
    }

    /// Sends the successor a signal, past the link.
    pub fn signal(&self, signal: Signal) {
        if let Some(successor) = &self.successor {
            successor.signal(signal);
        }
    }

    /// Ends the link without a message.
    pub fn disconnect(&mut self) {
        self.successor = None;
    }

    /// The next event of the connected successor; `None` if there is none to report.
    async fn next_from_successor(&mut self) -> Option<PredecessorEvent> {
        let successor = self.successor.as_mut()?;
        match successor.next().await {
            Ok(event) if successor.has_requested() => return Some(event),
            // It connected and requested nothing.
            Ok(_) => self.successor = None,
            Err(error) => {
                log!("hand-over: no message from the successor: {error}");
                if !successor.has_requested() {
                    self.successor = None;
                }
            }
        }
        None
    }

    /// Accepts a successor, or reports the end of the backoff.
    async fn next_without_successor(&mut self) -> Option<PredecessorEvent> {
        let accepted = tokio::select! {
            accepted = accept(self.listener.as_ref()) => accepted,
            () = wait_until(self.backoff_until) => {
                self.backoff_until = None;
                return Some(PredecessorEvent::BackoffExpired);
            }
        };
        match accepted {
            Ok(stream) if is_same_user(&stream) => {
                self.successor = Some(SuccessorLink::new(stream, self.config.step_timeout));
            }
            Ok(_) => log!("hand-over: rejected a process of another user"),
            Err(error) => {
                log!("hand-over: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
        None
    }

    fn send(&mut self, kind: FrameKind, message: &impl Serialize, sockets: Vec<OwnedFd>) {
        if let Some(successor) = &mut self.successor {
            successor.send(kind, message, sockets, self.config.step_timeout);
        }
    }
}

/// Waits until this time; forever without one.
async fn wait_until(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => pending().await,
    }
}

fn to_json(state: &State) -> serde_json::Value {
    // A state consists of texts and numbers: it can be written.
    serde_json::to_value(state).unwrap_or_default()
}
