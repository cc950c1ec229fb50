//! Performs the actions that [`balancer_core::graceful_restart`] decides on: [`successor`] in the process
//! that takes over, [`predecessor`] in the process that is replaced.

mod predecessor;
mod successor;

pub(super) use successor::{take_over, StandbyPredecessor, Takeover, TakeoverError};

use super::node::Node;
use crate::config::Config;
use crate::handover::PredecessorEndpoint;
use crate::service_manager::ServiceManager;
use balancer_core::graceful_restart::{PredecessorAction, PredecessorEvent, SuccessorEvent};
use predecessor::OutgoingHandover;
use rustix::process::Signal;
use std::future::pending;
use std::time::Duration;

/// The change to the node's role that a step of a hand-over causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Transition {
    None,
    /// The successor serves on probation, and this process stands by.
    StandingBy,
    /// The successor has failed, and this process serves again.
    RolledBack,
    /// The successor has taken over permanently.
    Departed,
}

/// An event of a graceful restart in a serving process.
#[derive(Debug)]
pub(super) enum RestartEvent {
    /// The predecessor no longer stands by.
    PredecessorGone,
    /// An event of the successor or of the socket to which it connects.
    Successor(PredecessorEvent),
}

/// The other processes of this node: the predecessor, as long as it stands by, and the successor that takes
/// over.
#[derive(Debug, Default)]
pub(super) struct GracefulRestart {
    predecessor: Option<StandbyPredecessor>,
    /// `None` without `[hand_over]`, or if this process took over and could not bind the hand-over socket.
    outgoing: Option<OutgoingHandover>,
}

impl GracefulRestart {
    pub fn new(predecessor: Option<StandbyPredecessor>, endpoint: Option<PredecessorEndpoint>) -> Self {
        Self {
            predecessor: predecessor.filter(StandbyPredecessor::is_standing_by),
            outgoing: endpoint.map(OutgoingHandover::new),
        }
    }

    /// Returns whether the predecessor stands by in case this process dies. While it stands by, the
    /// predecessor is the service's main process.
    pub fn on_probation(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Returns whether a hand-over to a successor is in progress and not committed yet.
    pub fn is_handing_over(&self) -> bool {
        self.outgoing.as_ref().is_some_and(OutgoingHandover::is_handing_over)
    }

    /// Returns whether the successor serves on probation and this process stands by.
    pub fn is_standing_by(&self) -> bool {
        self.outgoing.as_ref().is_some_and(OutgoingHandover::is_standing_by)
    }

    /// Returns the remaining time for which successors are rejected, if any.
    pub fn backoff_remaining(&self) -> Option<Duration> {
        self.outgoing.as_ref()?.backoff_remaining()
    }

    /// Forwards a signal to the successor.
    pub fn forward_signal(&self, signal: Signal) {
        if let Some(outgoing) = &self.outgoing {
            outgoing.forward_signal(signal);
        }
    }

    /// Waits for the next event. Cancel safe.
    pub async fn next(&mut self, node: &Node) -> RestartEvent {
        let Self { predecessor, outgoing } = self;
        let predecessor_gone = async {
            match predecessor {
                Some(predecessor) => predecessor.gone().await,
                None => pending().await,
            }
        };
        let successor_event = async {
            match outgoing {
                Some(outgoing) => outgoing.next(node).await,
                None => pending().await,
            }
        };
        tokio::select! {
            biased;
            () = predecessor_gone => RestartEvent::PredecessorGone,
            event = successor_event => RestartEvent::Successor(event),
        }
    }

    /// Handles an event and returns the transition that it causes.
    pub async fn handle(&mut self, event: RestartEvent, node: &Node, manager: &ServiceManager) -> Transition {
        match event {
            RestartEvent::PredecessorGone => {
                self.predecessor = None;
                manager.notify_main_process(std::process::id());
                Transition::None
            }
            RestartEvent::Successor(event) => self.handle_successor(event, node, manager).await,
        }
    }

    async fn handle_successor(
        &mut self,
        event: PredecessorEvent,
        node: &Node,
        manager: &ServiceManager,
    ) -> Transition {
        let Some(outgoing) = &mut self.outgoing else { return Transition::None };
        let mut transition = Transition::None;
        for action in outgoing.handle(event) {
            if *action == PredecessorAction::Offer {
                release_predecessor(&mut self.predecessor, manager).await;
            }
            let next = outgoing.perform(*action, event, node, manager).await;
            if next != Transition::None {
                transition = next;
            }
        }
        outgoing.disconnect_if_serving();
        transition
    }

    /// Handles a request to stop. Returns whether a successor serves in place of this process.
    pub async fn stop(&mut self, manager: &ServiceManager) -> bool {
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.handle(SuccessorEvent::StopRequested).await;
        }
        match &mut self.outgoing {
            Some(outgoing) => outgoing.stop(manager).await,
            None => false,
        }
    }

    /// Applies a new configuration. `endpoint` is the new hand-over endpoint if the path of its socket has
    /// changed.
    pub fn reconfigure(&mut self, endpoint: Option<PredecessorEndpoint>, config: &Config) {
        match (&config.handover, endpoint, &mut self.outgoing) {
            (None, ..) => self.outgoing = None,
            (Some(_), Some(endpoint), _) => self.outgoing = Some(OutgoingHandover::new(endpoint)),
            (Some(config), None, Some(outgoing)) => outgoing.reconfigure(config.clone()),
            (Some(_), None, None) => {}
        }
    }
}

/// Ends the standby of the predecessor before this process hands over itself. Otherwise, if this process
/// died, both the predecessor and the successor would accept connections.
async fn release_predecessor(predecessor: &mut Option<StandbyPredecessor>, manager: &ServiceManager) {
    if let Some(mut predecessor) = predecessor.take() {
        predecessor.handle(SuccessorEvent::HandoverStarted).await;
        manager.notify_main_process(std::process::id());
    }
}
