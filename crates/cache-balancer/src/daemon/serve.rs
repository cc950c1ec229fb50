//! The loop of a node that serves: signals, reloads and the graceful restart.

use super::graceful_restart::{GracefulRestart, RestartEvent, Transition};
use super::node::Node;
use super::ConfigSource;
use crate::handover::SpawnedSuccessor;
use crate::log::log;
use crate::service_manager::ServiceManager;
use crate::signals::Signals;
use rustix::process::Signal as SignalNumber;
use std::ops::ControlFlow;
use tokio::signal::unix::Signal;
use tokio::task::{spawn_local, JoinHandle};

/// A node that serves.
pub(super) struct Daemon {
    node: Node,
    restart: GracefulRestart,
    manager: ServiceManager,
    source: ConfigSource,
    spawned: SpawnedSuccessor,
    watchdog: JoinHandle<()>,
}

/// What the loop reacts to.
enum Wake {
    Terminate,
    Restart(RestartEvent),
    Reload,
    Upgrade,
    SpawnedSuccessorExited,
}

impl Daemon {
    pub fn new(node: Node, restart: GracefulRestart, manager: ServiceManager, source: ConfigSource) -> Self {
        let watchdog = start_watchdog(&node, &manager);
        Self { node, restart, manager, source, spawned: SpawnedSuccessor::default(), watchdog }
    }

    /// Serves until the process is told to stop, or another one has taken over for good.
    pub async fn serve(mut self, mut signals: Signals) {
        loop {
            match self.next(&mut signals).await {
                Wake::Terminate => return self.stop().await,
                Wake::Restart(event) => {
                    if self.handle_restart(event).await == Transition::Departed {
                        return self.depart(&mut signals.terminate).await;
                    }
                }
                Wake::Reload => {
                    if self.handle_reload(&mut signals.terminate).await.is_break() {
                        return self.stop().await;
                    }
                }
                Wake::Upgrade => self.start_successor(),
                Wake::SpawnedSuccessorExited => {}
            }
        }
    }

    async fn next(&mut self, signals: &mut Signals) -> Wake {
        // A reload waits for the end of a hand-over: what was offered stays valid.
        let handing_over = self.restart.is_handing_over();
        tokio::select! {
            biased;
            _ = signals.terminate.recv() => Wake::Terminate,
            event = self.restart.next(&self.node) => Wake::Restart(event),
            _ = signals.reload.recv(), if !handing_over => Wake::Reload,
            _ = signals.upgrade.recv() => Wake::Upgrade,
            () = self.spawned.exited() => Wake::SpawnedSuccessorExited,
        }
    }

    async fn handle_restart(&mut self, event: RestartEvent) -> Transition {
        let transition = self.restart.handle(event, &self.node, &self.manager).await;
        let name = &self.node.config.name;
        match transition {
            Transition::None => {}
            Transition::StandingBy => {
                // The process that serves feeds the watchdog.
                self.watchdog.abort();
                log!("node {name} stands by: its successor serves, on probation");
            }
            Transition::RolledBack => {
                self.watchdog = start_watchdog(&self.node, &self.manager);
                log!("node {name} has rolled back and serves again");
                self.manager.notify_rolled_back();
            }
            Transition::Departed => log!("node {name} has handed over"),
        }
        transition
    }

    /// Reads the configuration again and applies it. Breaks if the process is told to stop meanwhile.
    async fn handle_reload(&mut self, terminate: &mut Signal) -> ControlFlow<()> {
        if self.restart.is_standing_by() {
            self.restart.forward_signal(SignalNumber::HUP);
            return ControlFlow::Continue(());
        }
        let notifies = self.node.readiness.reached();
        if notifies {
            self.manager.notify_reloading();
        }
        // Signals that arrive meanwhile count as one more: the configuration is read again afterwards.
        let prepared = tokio::select! {
            biased;
            _ = terminate.recv() => return ControlFlow::Break(()),
            prepared = self.node.prepare_reload(&self.source) => prepared,
        };
        let applied = prepared.map(|prepared| {
            let endpoint = self.node.apply(prepared);
            self.restart.reconfigure(endpoint, &self.node.config);
        });
        if let Err(error) = &applied {
            log!("configuration not taken: {error}");
        }
        if self.node.readiness.reached() {
            match applied {
                Ok(()) => self.manager.notify_ready(),
                Err(error) => self.manager.notify_reload_failed(&error.to_string()),
            }
        }
        ControlFlow::Continue(())
    }

    fn start_successor(&mut self) {
        if self.restart.is_standing_by() {
            self.restart.forward_signal(SignalNumber::USR2);
        } else if self.node.config.handover.is_none() {
            log!("hand-over: the configuration has no [hand_over]");
        } else if let Some(remaining) = self.restart.backoff_remaining() {
            log!(
                "hand-over: no successor is started: two died while they served; retry in {:.0} s",
                remaining.as_secs_f64()
            );
        } else {
            self.spawned.start();
        }
    }

    /// The process is told to stop. A successor that was told to proceed goes on in its place.
    async fn stop(mut self) {
        let name = &self.node.config.name;
        if self.restart.stop(&self.manager).await {
            log!("node {name} is told to stop, and has handed over");
            self.node.listeners.hand_over();
            self.node.listeners.close().await;
            self.manager.flush().await;
        } else {
            log!("node {name} is told to stop");
            self.manager.notify_stopping();
            self.node.listeners.close().await;
        }
    }

    /// Another process serves for good.
    async fn depart(self, terminate: &mut Signal) {
        finish(self.node, terminate).await;
        self.manager.flush().await;
    }
}

fn start_watchdog(node: &Node, manager: &ServiceManager) -> JoinHandle<()> {
    spawn_local(manager.clone().feed_watchdog(node.drivers.subscribe()))
}

/// Finishes the requests in flight while another process accepts. A termination signal also closes idle connections.
pub(super) async fn finish(mut node: Node, terminate: &mut Signal) {
    node.listeners.hand_over();
    tokio::select! {
        () = node.listeners.ended() => {}
        _ = terminate.recv() => node.listeners.close().await,
    }
}
