//! Hands over to a successor.

use super::Transition;
use crate::config::HandoverConfig;
use crate::daemon::node::Node;
use crate::handover::{CancelReason, PredecessorEndpoint};
use crate::log::log;
use crate::service_manager::ServiceManager;
use balancer_core::graceful_restart::{Predecessor, PredecessorAction, PredecessorEvent, PredecessorState};
use rustix::process::Signal;
use std::future::pending;
use std::time::Duration;
use tokio::time::{sleep_until, Instant};

/// The predecessor's side of a hand-over, created when this process starts to serve or its hand-over socket
/// changes.
#[derive(Debug)]
pub(super) struct OutgoingHandover {
    machine: Predecessor,
    endpoint: PredecessorEndpoint,
    /// The earliest end of the successor's probation. The probation also lasts until every connection that
    /// this process accepted has ended.
    probation_until: Option<Instant>,
}

impl OutgoingHandover {
    pub fn new(endpoint: PredecessorEndpoint) -> Self {
        Self { machine: Predecessor::default(), endpoint, probation_until: None }
    }

    pub fn is_handing_over(&self) -> bool {
        self.machine.is_handing_over()
    }

    pub fn is_standing_by(&self) -> bool {
        self.machine.state() == PredecessorState::StandingBy
    }

    pub fn backoff_remaining(&self) -> Option<Duration> {
        self.endpoint.backoff_remaining()
    }

    pub fn forward_signal(&self, signal: Signal) {
        self.endpoint.signal(signal);
    }

    pub fn reconfigure(&mut self, config: HandoverConfig) {
        self.endpoint.config = config;
    }

    /// Waits for the next event. Cancel safe.
    pub async fn next(&mut self, node: &Node) -> PredecessorEvent {
        let probation_over = probation_over(self.probation_until, node);
        tokio::select! {
            biased;
            event = self.endpoint.next() => event,
            () = probation_over => PredecessorEvent::TimedOut,
        }
    }

    /// Handles an event and returns the actions for [`Self::perform`].
    pub fn handle(&mut self, event: PredecessorEvent) -> &'static [PredecessorAction] {
        self.log_event(event);
        self.machine.handle(event)
    }

    /// Performs an action that `event` led to, and returns the transition that it causes.
    pub async fn perform(
        &mut self,
        action: PredecessorAction,
        event: PredecessorEvent,
        node: &Node,
        manager: &ServiceManager,
    ) -> Transition {
        match action {
            PredecessorAction::Offer => self.offer(node).await,
            PredecessorAction::Pause => {
                node.listeners.pause();
                self.endpoint.send_proceed(&node.learned_state().await);
            }
            PredecessorAction::Resume => node.listeners.resume(),
            PredecessorAction::Cancel => self.endpoint.cancel(self.cancel_reason(event)).await,
            PredecessorAction::Fence => self.endpoint.signal(Signal::TERM),
            PredecessorAction::Commit => {
                self.commit(node);
                return Transition::StandingBy;
            }
            PredecessorAction::Rollback => {
                self.roll_back(node);
                return Transition::RolledBack;
            }
            PredecessorAction::BackOff => self.endpoint.back_off(),
            PredecessorAction::Depart => {
                self.depart(manager).await;
                return Transition::Departed;
            }
        }
        Transition::None
    }

    /// Disconnects from the successor if no hand-over is in progress.
    pub fn disconnect_if_serving(&mut self) {
        if self.machine.state() == PredecessorState::Serving {
            self.endpoint.disconnect();
        }
    }

    /// Handles a request to stop. Returns whether the successor serves in place of this process.
    pub async fn stop(&mut self, manager: &ServiceManager) -> bool {
        let mut departed = false;
        for action in self.machine.stop() {
            match action {
                PredecessorAction::Cancel => self.endpoint.cancel(CancelReason::Stopping).await,
                PredecessorAction::Depart => {
                    self.depart(manager).await;
                    departed = true;
                }
                // A stop causes no other actions.
                _ => {}
            }
        }
        self.endpoint.disconnect();
        departed
    }

    async fn offer(&mut self, node: &Node) {
        let listener = |index: usize| node.config.listeners[index].clone();
        let sockets = node.listeners.sockets();
        let sockets = sockets.into_iter().map(|(index, socket)| (listener(index), socket)).collect();
        self.endpoint.send_offer(sockets, &node.learned_state().await);
    }

    fn commit(&mut self, node: &Node) {
        node.listeners.stand_by();
        self.endpoint.send_commit();
        self.probation_until = Some(Instant::now() + self.endpoint.config.probation);
    }

    fn roll_back(&mut self, node: &Node) {
        node.listeners.resume();
        self.endpoint.roll_back();
        self.probation_until = None;
    }

    async fn depart(&mut self, manager: &ServiceManager) {
        // The service manager has to know the successor before this process exits. Otherwise it would
        // consider the service stopped.
        if let Some(pid) = self.endpoint.successor_pid() {
            manager.notify_main_process(pid);
        }
        self.endpoint.depart().await;
    }

    fn cancel_reason(&self, event: PredecessorEvent) -> CancelReason {
        match event {
            PredecessorEvent::Requested if self.machine.is_backing_off() => {
                CancelReason::BackingOff(self.endpoint.backoff_remaining().unwrap_or_default())
            }
            PredecessorEvent::TimedOut => CancelReason::TimedOut,
            _ => CancelReason::OutOfOrder,
        }
    }

    fn log_event(&self, event: PredecessorEvent) {
        let description = match event {
            PredecessorEvent::SuccessorDied => "has died",
            PredecessorEvent::LinkLost => "has lost its link but is still running",
            PredecessorEvent::Declined => "has declined the hand-over",
            _ => return,
        };
        let pid = self.endpoint.successor_pid().unwrap_or_default();
        log!("hand-over: the successor {pid} {description}");
    }
}

/// Waits until the probation time has passed and every connection of this process has ended. Without a
/// probation, waits forever.
async fn probation_over(until: Option<Instant>, node: &Node) {
    match until {
        Some(until) => sleep_until(until).await,
        None => pending().await,
    }
    node.listeners.drained().await;
}
