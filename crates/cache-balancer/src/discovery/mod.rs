//! The discovery client: polls a replica in a loop and sends the accepted lists to the driver.
//!
//! [`balancer_core::discovery`] decides which replica is polled, how long a poll and the pause after it last,
//! and whether a list is accepted. This module handles connections, timing and logging.

mod error;
mod log_text;
mod request;

use crate::config::DiscoveryReplicas;
use crate::endpoint_list::EndpointList;
use crate::input::DriverInput;
use crate::log::log;
use crate::memory::MemoryAccount;
use balancer_core::discovery::{
    DiscoveryClient, Jitter, ListSource, ListValidator, ListWarning, Poll, PollKind, PollOutcome, PollPacing,
    PollSettings, ReceivedList, ReplicaSelection, ReplicaSetChange, ReplicaTransition,
};
use balancer_core::Timestamp;
use error::PollError;
use log_text::{excerpt, single_line, ReplicaLabel};
use request::{Connection, PollRequest, ReceivedResponse, ResponseDeadlines, WatchRange};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// Maximum number of warnings that are logged for one list.
const MAX_LOGGED_WARNINGS: usize = 3;

/// The configuration and dependencies of the discovery client.
pub struct DiscoveryPoller {
    /// The name of this node, which determines its order of preference among the replicas.
    pub node: String,
    /// The configured replicas. When they change, a watch at a replica that remains configured continues.
    pub replicas: watch::Receiver<DiscoveryReplicas>,
    /// Decides which lists are accepted.
    pub validator: ListValidator,
    /// The current settings that polls depend on.
    pub poll_settings: Rc<Cell<PollSettings>>,
    /// The source of jitter.
    pub random: fastrand::Rng,
    /// The driver's queue, to which lists and failures are sent.
    pub driver_inputs: UnboundedSender<DriverInput>,
    /// The account in which responses are reserved.
    pub memory: MemoryAccount,
}

impl DiscoveryPoller {
    /// Polls until the driver stops. A discovery agent on the local machine is polled as well, because agents
    /// never push lists. When all replicas are replaced, a snapshot is requested from the new ones at once,
    /// and the node serves from its current list until the snapshot arrives.
    pub async fn run(mut self) {
        let addresses = self.replicas.borrow_and_update().addresses.clone();
        if addresses.is_empty() {
            return;
        }
        let client = DiscoveryClient::new(ReplicaSelection::new(&self.node, replica_names(&addresses)));
        let poll_loop =
            PollLoop { poller: self, client, addresses, connection: None, started_at: Instant::now() };
        poll_loop.run().await;
    }
}

/// The outcome of [`PollLoop::poll`].
enum PollEnd {
    /// The poll succeeded or failed. After an error, `body` holds the part of the response that has arrived.
    Completed { result: Result<(), PollError>, body: ReceivedResponse },
    /// The replica was removed from the configuration.
    ReplicaRemoved,
    /// The driver has stopped.
    DriverStopped,
}

/// The state of the running client.
struct PollLoop {
    poller: DiscoveryPoller,
    client: DiscoveryClient,
    addresses: Vec<SocketAddr>,
    /// The connection to the current replica.
    connection: Option<Connection>,
    started_at: Instant,
}

impl PollLoop {
    async fn run(mut self) {
        loop {
            let kind = self.next_kind();
            let poll = self.client.next_poll(self.pacing(), kind, self.poller.random.f64());
            let sent_at = Instant::now();
            let pause = match self.poll(poll).await {
                PollEnd::Completed { result, body } => {
                    match self.poll_ended(poll, result, body.bytes(), sent_at.elapsed()) {
                        Some(pause) => pause,
                        None => return,
                    }
                }
                PollEnd::ReplicaRemoved => continue,
                PollEnd::DriverStopped => return,
            };
            if !pause.is_zero() && !self.pause(pause).await {
                return;
            }
        }
    }

    /// Polls the current replica. The poll continues if the replicas change but the current one remains.
    async fn poll(&mut self, poll: Poll) -> PollEnd {
        let request = self.request(poll);
        let (mut connection, mut body) = (self.connection.take(), ReceivedResponse::new(&self.poller.memory));
        let result = {
            let sending = request.send(&mut connection, &mut body);
            tokio::pin!(sending);
            loop {
                tokio::select! {
                    result = &mut sending => break result,
                    changed = self.poller.replicas.changed() => match changed {
                        Err(_) => return PollEnd::DriverStopped,
                        Ok(()) if self.update_replicas() != ReplicaSetChange::CurrentRemains => {
                            return PollEnd::ReplicaRemoved;
                        }
                        Ok(()) => {}
                    },
                }
            }
        };
        // After a failed poll, late bytes on its connection would be taken for the response to the next poll.
        self.connection = connection.filter(|_| result.is_ok());
        PollEnd::Completed { result, body }
    }

    /// Waits before the next poll. Ends early if the current replica is removed. Returns whether the driver
    /// is still running.
    async fn pause(&mut self, pause: Duration) -> bool {
        let pause = sleep(pause);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return true,
                changed = self.poller.replicas.changed() => match changed {
                    Err(_) => return false,
                    Ok(()) if self.update_replicas() != ReplicaSetChange::CurrentRemains => return true,
                    Ok(()) => {}
                },
            }
        }
    }

    /// Reports the list or the failure of a poll to the driver. Returns the pause before the next poll, or
    /// `None` if the driver has stopped.
    fn poll_ended(
        &mut self,
        poll: Poll,
        result: Result<(), PollError>,
        body: &[u8],
        took: Duration,
    ) -> Option<Duration> {
        let (input, outcome) = match result.and_then(|()| self.accept(body)) {
            Ok(list) => {
                let has_changes = !list.endpoints.is_empty();
                (DriverInput::EndpointList(list), PollOutcome::Answered { took, has_changes })
            }
            Err(error) => {
                self.connection = None;
                log!("{}: {}", self.label(), single_line(&error.to_string()));
                self.report_leaving(body);
                (DriverInput::PollFailed, error.outcome(took))
            }
        };
        self.poller.driver_inputs.send(input).ok()?;
        let jitter = self.draw_jitter();
        let now = Timestamp::from_micros(self.started_at.elapsed().as_micros() as u64);
        let (pacing, next_kind) = (self.pacing(), self.next_kind());
        let next = self.client.poll_ended(now, pacing, poll, outcome, next_kind, jitter);
        if next.transition != ReplicaTransition::Stay {
            self.connection = None;
            log!("{}: now polling this replica", self.label());
        }
        Some(next.pause)
    }

    fn draw_jitter(&mut self) -> Jitter {
        let random = &mut self.poller.random;
        // A single replica has no hold-down and consumes no random number for it.
        let hold_down = if self.addresses.len() > 1 { random.f64() } else { 0.0 };
        Jitter { pause: random.f64(), hold_down }
    }

    /// Parses and validates a response. Returns the list if it is accepted.
    fn accept(&mut self, body: &[u8]) -> Result<EndpointList, PollError> {
        let malformed = |error| PollError::Malformed { error, excerpt: excerpt(body) };
        let mut list = EndpointList::read(body).map_err(malformed)?;
        let address = self.address().to_string();
        let source = ListSource { replica: &address, replicas: self.addresses.len() };
        let entries = list.entries();
        let received =
            ReceivedList { version: list.version, is_snapshot: list.is_snapshot, entries: &entries };
        let validator = &mut self.poller.validator;
        let warnings = validator.validate(source, &received)?;
        list.suppress(validator.suppressed());
        self.log_warnings(&warnings);
        Ok(list)
    }

    fn log_warnings(&self, warnings: &[ListWarning]) {
        let label = self.label();
        for warning in warnings.iter().take(MAX_LOGGED_WARNINGS) {
            log!("{label}: {warning}");
        }
        if warnings.len() > MAX_LOGGED_WARNINGS {
            log!("{label}: {} more warnings about this list", warnings.len() - MAX_LOGGED_WARNINGS);
        }
    }

    /// Reports the endpoints that an incomplete or rejected response lists as draining or removed to the
    /// driver.
    fn report_leaving(&mut self, body: &[u8]) {
        let mut leaving = EndpointList::read_leaving(body);
        let validator = &self.poller.validator;
        if self.addresses.len() > 1 && validator.has_list() {
            // A lagging replica also lists servers that this node does not use any more. Only servers that
            // are ready in the current list matter.
            leaving.ids.retain(|id| validator.is_ready(id));
        }
        if leaving.ids.is_empty() {
            return;
        }
        request::report_leaving(&self.label(), &self.poller.driver_inputs, leaving.ids.clone());
        let address = self.address().to_string();
        let source = ListSource { replica: &address, replicas: self.addresses.len() };
        self.poller.validator.leaving_reported(source, leaving.version, leaving.ids);
    }

    /// Switches to the currently configured replicas. Returns which of the previous replicas remain.
    fn update_replicas(&mut self) -> ReplicaSetChange {
        let addresses = self.poller.replicas.borrow_and_update().addresses.clone();
        if addresses.is_empty() || addresses == self.addresses {
            return ReplicaSetChange::CurrentRemains;
        }
        let change = self.client.replace_replicas(replica_names(&addresses));
        self.addresses = addresses;
        match change {
            ReplicaSetChange::CurrentRemains | ReplicaSetChange::OthersRemain => {
                self.poller.validator.replicas_replaced();
            }
            ReplicaSetChange::NoneRemains => self.poller.validator.service_replaced(),
        }
        if change != ReplicaSetChange::CurrentRemains {
            self.connection = None;
        }
        change
    }

    fn request(&self, poll: Poll) -> PollRequest {
        let deadlines = ResponseDeadlines {
            timeout: poll.timeout,
            allowance: self.client.answer_allowance(self.pacing()),
        };
        let after = self.poller.validator.watch_from();
        PollRequest {
            address: self.address(),
            has_other_replicas: self.addresses.len() > 1,
            watch: after.map(|after| WatchRange { after, wait: poll.wait }),
            deadlines,
            partial_read_interval: self.poller.poll_settings.get().partial_read_interval(),
            label: self.label(),
            driver_inputs: self.poller.driver_inputs.clone(),
        }
    }

    fn pacing(&self) -> PollPacing {
        let capacity = self.poller.replicas.borrow().capacity;
        let ready = u32::try_from(self.poller.validator.ready_count()).unwrap_or(u32::MAX);
        let list_lines = Some(ready).filter(|lines| *lines > 0);
        let available = self.client.replicas().available();
        PollPacing::new(self.poller.poll_settings.get(), available, capacity, list_lines)
    }

    fn next_kind(&self) -> PollKind {
        self.poller.validator.next_poll_kind()
    }

    /// Returns the address of the current replica.
    fn address(&self) -> SocketAddr {
        self.addresses[self.client.replicas().current()]
    }

    fn label(&self) -> ReplicaLabel {
        ReplicaLabel((self.addresses.len() > 1).then(|| self.address()))
    }
}

/// Returns the names of replicas, which are their addresses.
fn replica_names(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(ToString::to_string).collect()
}
