//! The event loop of a serving node: signals, reloads and graceful restarts.

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

/// A serving node with its connections to the service manager and to other processes of the node.
pub(super) struct Daemon {
    node: Node,
    restart: GracefulRestart,
    manager: ServiceManager,
    source: ConfigSource,
    spawned: SpawnedSuccessor,
    watchdog: JoinHandle<()>,
}

/// An event that the loop handles.
enum DaemonEvent {
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

    /// Serves until SIGTERM, or until a successor has taken over and its probation has ended.
    pub async fn serve(mut self, mut signals: Signals) {
        loop {
            match self.next(&mut signals).await {
                DaemonEvent::Terminate => return self.stop().await,
                DaemonEvent::Restart(event) => {
                    if self.handle_restart(event).await == Transition::Departed {
                        return self.depart(&mut signals.terminate).await;
                    }
                }
                DaemonEvent::Reload => {
                    if self.handle_reload(&mut signals.terminate).await.is_break() {
                        return self.stop().await;
                    }
                }
                DaemonEvent::Upgrade => self.start_successor(),
                DaemonEvent::SpawnedSuccessorExited => {}
            }
        }
    }

    async fn next(&mut self, signals: &mut Signals) -> DaemonEvent {
        // A reload waits for the end of a hand-over, so that the offered sockets and state stay valid.
        let handing_over = self.restart.is_handing_over();
        tokio::select! {
            biased;
            _ = signals.terminate.recv() => DaemonEvent::Terminate,
            event = self.restart.next(&self.node) => DaemonEvent::Restart(event),
            _ = signals.reload.recv(), if !handing_over => DaemonEvent::Reload,
            _ = signals.upgrade.recv() => DaemonEvent::Upgrade,
            () = self.spawned.exited() => DaemonEvent::SpawnedSuccessorExited,
        }
    }

    async fn handle_restart(&mut self, event: RestartEvent) -> Transition {
        let transition = self.restart.handle(event, &self.node, &self.manager).await;
        let name = &self.node.config.name;
        match transition {
            Transition::None => {}
            Transition::StandingBy => {
                // The successor feeds the watchdog from now on.
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

    /// Reads the configuration again and applies it. Returns `Break` if SIGTERM arrives meanwhile.
    async fn handle_reload(&mut self, terminate: &mut Signal) -> ControlFlow<()> {
        if self.restart.is_standing_by() {
            self.restart.forward_signal(SignalNumber::HUP);
            return ControlFlow::Continue(());
        }
        let notify_reloading = self.node.readiness.reached();
        if notify_reloading {
            self.manager.notify_reloading();
        }
        // Reload signals that arrive meanwhile are merged into one: the configuration is read once more
        // afterwards.
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
            log!("configuration rejected: {error}");
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

    /// Stops the process. If a successor has already received the message to proceed, it serves in place of
    /// this process.
    async fn stop(mut self) {
        let name = &self.node.config.name;
        if self.restart.stop(&self.manager).await {
            log!("node {name} is stopping and has handed over");
            self.node.listeners.hand_over();
            self.node.listeners.close().await;
            self.manager.flush().await;
        } else {
            log!("node {name} is stopping");
            self.manager.notify_stopping();
            self.node.listeners.close().await;
        }
    }

    /// Finishes the requests in flight after another process has taken over permanently.
    async fn depart(self, terminate: &mut Signal) {
        finish(self.node, terminate).await;
        self.manager.flush().await;
    }
}

fn start_watchdog(node: &Node, manager: &ServiceManager) -> JoinHandle<()> {
    spawn_local(manager.clone().feed_watchdog(node.driver_inputs.subscribe()))
}

/// Finishes the requests in flight while another process accepts connections. On SIGTERM, idle connections
/// are closed as well.
pub(super) async fn finish(mut node: Node, terminate: &mut Signal) {
    node.listeners.hand_over();
    tokio::select! {
        () = node.listeners.ended() => {}
        _ = terminate.recv() => node.listeners.close().await,
    }
}
