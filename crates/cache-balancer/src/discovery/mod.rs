//! The client of discovery: it polls a replica, passes on the lists that are accepted, and polls again.
//!
//! [`balancer_core::discovery`] decides which replica is polled, for how long, how soon again, and whether a list is accepted.
//! Here are the connections, the time and the log.

mod error;
mod log_text;
mod request;

use crate::config::DiscoveryReplicas;
use crate::endpoint_list::EndpointList;
use crate::input::DriverInput;
use crate::log::log;
use balancer_core::discovery::{
    DiscoveryClient, Jitter, ListSource, ListValidator, ListWarning, Poll, PollKind, PollOutcome, PollPacing,
    PollSettings, ReceivedList, ReplicaSelection, ReplicaSetChange, ReplicaTransition,
};
use balancer_core::Timestamp;
use error::PollError;
use log_text::{excerpt, single_line, ReplicaLabel};
use request::{AnswerDeadlines, Connection, PollRequest, WatchRange};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// The number of warnings of one list that are logged.
const MAX_LOGGED_WARNINGS: usize = 3;

/// What the client of discovery needs to run.
pub struct DiscoveryPoller {
    /// The name of this node, which decides the order in which it prefers replicas.
    pub node: String,
    /// The replicas. A watch at a replica that remains goes on when they change.
    pub replicas: watch::Receiver<DiscoveryReplicas>,
    /// Decides which lists are accepted.
    pub validator: ListValidator,
    /// The current settings that polls depend on.
    pub poll_settings: Rc<Cell<PollSettings>>,
    /// The source of jitter.
    pub random: fastrand::Rng,
    /// Where lists and failures are reported.
    pub driver_inputs: UnboundedSender<DriverInput>,
}

impl DiscoveryPoller {
    /// Polls for as long as the driver lives. A discovery agent on this machine only answers polls, too; it never sends
    /// unasked. When none of the replicas remains, it requests a snapshot from the new ones at once; the node
    /// serves from the list it holds until that has come.
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

/// How a poll ended.
enum PollEnd {
    /// With an answer, or an error and what had arrived of the answer.
    Completed { result: Result<(), PollError>, body: Vec<u8> },
    /// The replica was removed from the configuration.
    ReplicaRemoved,
    /// The driver has stopped.
    DriverStopped,
}

/// The client while it runs.
struct PollLoop {
    poller: DiscoveryPoller,
    client: DiscoveryClient,
    addresses: Vec<SocketAddr>,
    /// To the current replica.
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
                    match self.poll_ended(poll, result, &body, sent_at.elapsed()) {
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

    /// Polls the current replica. The poll goes on if the replicas change meanwhile and this one remains.
    async fn poll(&mut self, poll: Poll) -> PollEnd {
        let request = self.request(poll);
        let (mut connection, mut body) = (self.connection.take(), Vec::new());
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
        // Bytes that arrive late on the connection of a failed poll would be taken for the answer to the next one.
        self.connection = connection.filter(|_| result.is_ok());
        PollEnd::Completed { result, body }
    }

    /// Waits before the next poll, which is sent at once if its replica is removed. Returns whether the driver still runs.
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

    /// Reports the list or the failure of a poll to the driver and returns the pause before the next poll; `None` once the
    /// driver has stopped.
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
            log!("{}: polled from now on", self.label());
        }
        Some(next.pause)
    }

    fn draw_jitter(&mut self) -> Jitter {
        let random = &mut self.poller.random;
        // A single replica has no hold-down, and draws nothing for it.
        let hold_down = if self.addresses.len() > 1 { random.f64() } else { 0.0 };
        Jitter { pause: random.f64(), hold_down }
    }

    /// Reads and validates an answer. Returns the list if it is accepted.
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
            log!("{label}: {} more like these", warnings.len() - MAX_LOGGED_WARNINGS);
        }
    }

    /// Reports to the driver which endpoints are leaving, according to an answer that was incomplete or rejected.
    fn report_leaving(&mut self, body: &[u8]) {
        let mut leaving = EndpointList::read_leaving(body);
        let validator = &self.poller.validator;
        if self.addresses.len() > 1 && validator.has_list() {
            // A replica that lags lists servers that are not ready here anyway: they need no further request.
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

    /// Takes on the replicas that are configured now.
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
        let deadlines =
            AnswerDeadlines { timeout: poll.timeout, allowance: self.client.answer_allowance(self.pacing()) };
        let after = self.poller.validator.watch_from();
        PollRequest {
            address: self.address(),
            has_neighbours: self.addresses.len() > 1,
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

    /// The address of the current replica.
    fn address(&self) -> SocketAddr {
        self.addresses[self.client.replicas().current()]
    }

    fn label(&self) -> ReplicaLabel {
        ReplicaLabel((self.addresses.len() > 1).then(|| self.address()))
    }
}

/// Replicas are named by their addresses.
fn replica_names(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(ToString::to_string).collect()
}
