//! Predecessor side of a hand-over: listens for a successor and exchanges the messages of
//! [`balancer_core::graceful_restart::Predecessor`].

mod socket;
mod successor_link;

use super::frame::FrameKind;
use super::link::MAX_PASSED_DESCRIPTORS;
use super::messages::{Cancel, CancelReason, Offer, OfferedListener, Proceed};
use super::State;
use crate::config::{HandoverConfig, Listener};
use crate::log::log;
use crate::memory::MemoryAccount;
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

/// Delay after a failed accept. An immediate retry would fail again, in a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Predecessor side of a hand-over, with at most one successor at a time.
///
/// The successor's probation ends once its duration has passed and every connection that this process
/// accepted has closed.
#[derive(Debug)]
pub struct PredecessorEndpoint {
    /// `None` while the successor listens at the same path or the path could not be bound.
    listener: Option<UnixListener>,
    pub config: HandoverConfig,
    /// The account in which messages of successors are reserved.
    memory: MemoryAccount,
    successor: Option<SuccessorLink>,
    /// End of the backoff, during which successors are rejected.
    backoff_until: Option<Instant>,
}

impl PredecessorEndpoint {
    /// Listens for a successor, replacing the socket of any process that already does.
    pub fn bind(config: HandoverConfig, memory: MemoryAccount) -> io::Result<Self> {
        let listener = Some(listen(&config.socket)?);
        Ok(Self { listener, config, memory, successor: None, backoff_until: None })
    }

    /// Waits for the next event. Cancel safe.
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

    /// Returns the PID of the successor; `None` if there is no successor or the system does not report its
    /// PID.
    pub fn successor_pid(&self) -> Option<u32> {
        self.successor.as_ref()?.pid()
    }

    /// Sends the listeners with their sockets, and the learned state. Listeners in excess of
    /// [`MAX_PASSED_DESCRIPTORS`] are left out; the successor binds them itself.
    pub fn send_offer(&mut self, listeners: Vec<(Listener, OwnedFd)>, state: &State) {
        let excess = listeners.len().saturating_sub(MAX_PASSED_DESCRIPTORS);
        if excess > 0 {
            log!(
                "hand-over: {excess} listeners exceed the limit of {MAX_PASSED_DESCRIPTORS} and are not \
                 passed; the successor binds them itself"
            );
        }
        let (listeners, sockets): (Vec<_>, Vec<_>) = listeners
            .into_iter()
            .take(MAX_PASSED_DESCRIPTORS)
            .map(|(Listener { name, address }, socket)| (OfferedListener { name, address }, socket))
            .unzip();
        let offer = Offer { listeners, state: to_json(state), probation: true };
        self.send(FrameKind::Offer, &offer, sockets);
    }

    /// Tells the successor to start accepting, and sends it the latest learned state.
    pub fn send_proceed(&mut self, state: &State) {
        self.send(FrameKind::Proceed, &Proceed { state: to_json(state) }, Vec::new());
    }

    /// Tells the successor that it serves, and stops listening: from now on the successor listens at the
    /// path.
    pub fn send_commit(&mut self) {
        self.listener = None;
        if let Some(successor) = &mut self.successor {
            successor.send_commit();
        }
    }

    /// Ends the link to the successor that died and listens at the path again.
    pub fn roll_back(&mut self) {
        self.disconnect();
        match listen(&self.config.socket) {
            Ok(listener) => self.listener = Some(listener),
            // Not fatal: serving clients matters more than the next hand-over.
            Err(error) => log!("hand-over: no successor can connect: {error}"),
        }
    }

    /// Starts the backoff, during which successors are rejected.
    pub fn back_off(&mut self) {
        self.backoff_until = Some(Instant::now() + self.config.backoff);
        log!(
            "hand-over: two successors died while they served; further ones are rejected for {:?}",
            self.config.backoff
        );
    }

    /// Returns the remaining time of the backoff.
    pub fn backoff_remaining(&self) -> Option<Duration> {
        self.backoff_until.map(|until| until.saturating_duration_since(Instant::now()))
    }

    /// Tells the successor that the hand-over is cancelled, and ends the link.
    pub async fn cancel(&mut self, reason: CancelReason) {
        log!("hand-over: cancelled: {reason}");
        if let Some(successor) = &mut self.successor {
            successor.send_last(FrameKind::Cancel, &Cancel { reason: reason.to_string() }).await;
        }
    }

    /// Tells the successor that this process departs, and ends the link.
    pub async fn depart(&mut self) {
        match self.successor.as_mut().filter(|successor| successor.supports_probation()) {
            Some(successor) => successor.send_last(FrameKind::Departed, &()).await,
            // A version without probation detects the departure by the end of the link.
            None => self.disconnect(),
        }
    }

    /// Sends the successor a signal, independently of the link.
    pub fn signal(&self, signal: Signal) {
        if let Some(successor) = &self.successor {
            successor.signal(signal);
        }
    }

    /// Ends the link without a message.
    pub fn disconnect(&mut self) {
        self.successor = None;
    }

    /// Waits for input from the connected successor; returns `None` if it leads to no event.
    async fn next_from_successor(&mut self) -> Option<PredecessorEvent> {
        let successor = self.successor.as_mut()?;
        match successor.next().await {
            Ok(event) if successor.has_requested() => return Some(event),
            // Drops a peer that has not requested a hand-over.
            Ok(_) => self.successor = None,
            Err(error) => {
                log!("hand-over: receiving from the successor failed: {error}");
                if !successor.has_requested() {
                    self.successor = None;
                }
            }
        }
        None
    }

    /// Accepts a successor or waits for the end of the backoff; returns an event only for the latter.
    async fn next_without_successor(&mut self) -> Option<PredecessorEvent> {
        let accepted = tokio::select! {
            accepted = accept(self.listener.as_ref()) => accepted,
            () = sleep_until_or_forever(self.backoff_until) => {
                self.backoff_until = None;
                return Some(PredecessorEvent::BackoffExpired);
            }
        };
        match accepted {
            Ok(stream) if is_same_user(&stream) => {
                self.successor = Some(SuccessorLink::new(stream, &self.memory, self.config.step_timeout));
            }
            Ok(_) => log!("hand-over: rejected a connection from another user's process"),
            Err(error) => {
                log!("hand-over: accepting a successor failed: {error}");
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

async fn sleep_until_or_forever(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => pending().await,
    }
}

fn to_json(state: &State) -> serde_json::Value {
    // Serialization cannot fail: a state consists only of strings and numbers.
    serde_json::to_value(state).unwrap_or_default()
}
