//! The driver of a pool owns the pool's [`Balancer`] and the requests in flight.
//!
//! It converts inputs into events for the balancer and executes the returned actions in order. All decisions
//! are made by the balancer.

mod actions;
mod clock;
mod endpoints;
mod in_flight;
mod timers;

use crate::endpoint_list::EndpointList;
use crate::input::{AcceptedRequest, DriverInput, FinalResponse, RequestNumber};
use crate::tally::{Tally, TallyLine};
use crate::upstream::{AttemptResult, Upstream};
use balancer_core::{AttemptOutcome, Balancer, EndpointUpdate, Event, Request, RequestId, Settings};
use clock::Clock;
use endpoints::EndpointTable;
use in_flight::InFlightRequest;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use timers::{Timer, Timers};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// The outcome of a poll, reported after the balancer has handled it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryEvent {
    /// An endpoint list was applied.
    ListApplied {
        /// The version of the list.
        version: u64,
        /// Whether the list is a snapshot.
        snapshot: bool,
        /// The number of entries in the list.
        entries: usize,
    },
    /// The poll failed.
    PollFailed,
}

impl DiscoveryEvent {
    /// Returns the event for an input, or `None` if the input is not the outcome of a poll.
    fn from_input(input: &DriverInput) -> Option<Self> {
        match input {
            DriverInput::EndpointList(list) => {
                let (version, snapshot, entries) = (list.version, list.is_snapshot, list.endpoints.len());
                Some(Self::ListApplied { version, snapshot, entries })
            }
            DriverInput::PollFailed => Some(Self::PollFailed),
            _ => None,
        }
    }
}

/// A callback that receives each [`DiscoveryEvent`].
pub type DiscoveryObserver = Box<dyn Fn(DiscoveryEvent)>;

/// The driver of a pool. [`Driver::run`] is its event loop.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    upstream: Rc<Upstream>,
    /// The sender of the driver's own queue, which receives the results of attempts.
    inputs: UnboundedSender<DriverInput>,
    requests: HashMap<RequestId, InFlightRequest>,
    timers: Timers,
    /// Events that the balancer has not handled yet.
    events: VecDeque<Event>,
    endpoints: EndpointTable,
    pool_removed: bool,
    attempts_in_flight: u32,
    tally: Tally,
    observer: Option<DiscoveryObserver>,
}

impl Driver {
    /// Creates a driver that is not running yet. `ready` is set when the first server is ready; `inputs` is
    /// the sender of the queue that [`Self::run`] reads.
    pub fn new(
        balancer: Balancer,
        upstream: Rc<Upstream>,
        ready: watch::Sender<bool>,
        inputs: UnboundedSender<DriverInput>,
        tally: Tally,
    ) -> Self {
        Self {
            balancer,
            clock: Clock::start(),
            endpoints: EndpointTable::new(upstream.clone(), ready),
            upstream,
            inputs,
            requests: HashMap::new(),
            timers: Timers::default(),
            events: VecDeque::new(),
            pool_removed: false,
            attempts_in_flight: 0,
            tally,
            observer: None,
        }
    }

    /// Sets the observer of discovery events. There is none by default.
    pub fn with_observer(self, observer: DiscoveryObserver) -> Self {
        Self { observer: Some(observer), ..self }
    }

    /// Runs until all senders of the queue are dropped, or until the pool has been removed and its last
    /// request is complete. It starts from the endpoint list `initial_list`, which may be empty.
    pub async fn run(mut self, initial_list: EndpointList, mut queue: UnboundedReceiver<DriverInput>) {
        self.restore_endpoints(initial_list);
        self.handle_events();
        while !(self.pool_removed && self.requests.is_empty()) {
            let next_expiry = self.timers.next_expiry();
            let timer = async {
                match next_expiry {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                input = queue.recv() => match input {
                    Some(input) => {
                        let discovery_event = DiscoveryEvent::from_input(&input);
                        self.handle_input(input);
                        self.handle_events();
                        self.notify_observer(discovery_event);
                    }
                    None => return,
                },
                () = timer => {
                    self.fire_timers();
                    self.handle_events();
                }
            }
        }
    }

    fn notify_observer(&self, event: Option<DiscoveryEvent>) {
        if let (Some(observer), Some(event)) = (&self.observer, event) {
            observer(event);
        }
    }

    fn handle_input(&mut self, input: DriverInput) {
        match input {
            DriverInput::RequestAccepted(accepted) => self.accept_request(*accepted),
            DriverInput::ClientDisconnected(number) => self.cancel_request(number),
            DriverInput::AttemptEnded { id, attempt, result } => self.end_attempt(id, attempt, result),
            DriverInput::EndpointList(list) => {
                self.tally_line().lists += 1;
                self.apply_endpoint_list(&list);
            }
            // The current list stays in use, and the discovery client decides when to poll again.
            DriverInput::PollFailed => self.tally_line().lists_failed += 1,
            DriverInput::EndpointsLeaving(ids) => {
                let delta = self.endpoints.draining_delta(&ids);
                self.apply_endpoint_list(&delta);
            }
            DriverInput::Reconfigured(settings) => self.reconfigure(settings),
            DriverInput::StateRestored(restored) => {
                let (list, learned_state) = *restored;
                self.restore_endpoints(list);
                self.events.push_back(Event::StateRestored(Arc::new(learned_state)));
            }
            DriverInput::StateRequested(reply) => {
                let learned_state = self.balancer.learned_state(self.clock.now());
                // The receiver has been dropped if the caller stopped waiting.
                let _ = reply.send((self.endpoints.list().clone(), learned_state));
            }
            DriverInput::PoolRemoved => self.pool_removed = true,
            // The receiver has been dropped if the caller stopped waiting.
            DriverInput::LivenessCheck(reply) => drop(reply.send(())),
        }
    }

    fn accept_request(&mut self, accepted: AcceptedRequest) {
        let id = RequestId::from(accepted.number);
        let deadline = in_flight::deadline(accepted.received_at, accepted.client_timeout);
        let request = InFlightRequest::new(accepted.message, accepted.response, deadline);
        self.timers.set(request.deadline_timer(), Timer::Deadline(id.clone()));
        self.requests.insert(id.clone(), request);
        self.events.push_back(Event::Request(Request {
            id,
            class: Some(accepted.class),
            tenant: accepted.tenant,
            key: accepted.key,
            deadline: self.clock.timestamp(deadline),
            expected_work: accepted.expected_work,
            write: accepted.write,
            client_retry: accepted.client_retry,
        }));
    }

    /// Cancels a request whose client has disconnected. A request with a final response is not affected.
    fn cancel_request(&mut self, number: RequestNumber) {
        let id = RequestId::from(number);
        let waiting = self.requests.get_mut(&id).filter(|request| request.awaits_response());
        if let Some(request) = waiting {
            request.cancel();
            self.events.push_back(Event::RequestCancelled(id.clone()));
            self.remove_if_complete(&id);
        }
    }

    fn end_attempt(&mut self, id: RequestId, attempt: u32, result: AttemptResult) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(ended) = request.end_attempt(attempt) else { return };
        let line = self.tally.line_at(self.clock.now());
        line.in_flight = line.in_flight.max(self.attempts_in_flight);
        self.attempts_in_flight -= 1;
        line.record_attempt(&ended.server, result.status, ended.elapsed);
        if let Some(body) = result.body {
            line.served += u32::from(request.awaits_response());
            request.respond(FinalResponse::Served(body));
        }
        let request_finished = !request.awaits_response();
        self.remove_if_complete(&id);
        self.events.push_back(Event::AttemptEnded(AttemptOutcome {
            id,
            attempt,
            server: ended.server,
            status: result.status,
            cache_result: result.cache_result,
            elapsed: ended.elapsed,
            request_finished,
            load: result.load,
        }));
    }

    /// Removes a request if no response is due any more and no attempt is in flight.
    fn remove_if_complete(&mut self, id: &RequestId) {
        if let Some(request) = self.requests.get(id).filter(|request| request.is_complete()) {
            // Without this, the timers of completed requests would outnumber the requests in flight.
            self.timers.cancel(request.deadline_timer(), Timer::Deadline(id.clone()));
            self.requests.remove(id);
        }
    }

    fn restore_endpoints(&mut self, list: EndpointList) {
        let snapshot = EndpointList { is_snapshot: true, ..list };
        let entries = self.endpoints.apply(&snapshot, self.tally.line_at(self.clock.now()));
        self.events.push_back(Event::EndpointsRestored(entries));
    }

    fn apply_endpoint_list(&mut self, list: &EndpointList) {
        let entries = self.endpoints.apply(list, self.tally.line_at(self.clock.now()));
        let update =
            if list.is_snapshot { EndpointUpdate::Snapshot(entries) } else { EndpointUpdate::Delta(entries) };
        self.events.push_back(Event::EndpointsUpdated(update));
    }

    fn reconfigure(&mut self, settings: Box<Settings>) {
        self.upstream.configure(settings.connect_timeout, settings.server_idle_timeout);
        self.events.push_back(Event::Reconfigured(settings));
    }

    fn fire_timers(&mut self) {
        let now = Instant::now();
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::Balancer => self.events.push_back(Event::TimerExpired),
                Timer::Deadline(id) => self.expire_request(id),
            }
        }
    }

    /// Fails a request whose deadline has passed without a final response.
    ///
    /// This bounds the client's wait if the balancer never ends a request, through a bug or because a server
    /// never responds. The timer is set when the request is accepted and does not depend on the balancer. The
    /// balancer is notified that no response is due any more, and still gets the results of the attempts.
    fn expire_request(&mut self, id: RequestId) {
        let waiting = self.requests.get_mut(&id).filter(|request| request.awaits_response());
        let Some(request) = waiting else { return };
        request.respond(FinalResponse::Failed);
        self.tally_line().failed += 1;
        self.remove_if_complete(&id);
        self.events.push_back(Event::RequestCancelled(id));
    }

    /// Lets the balancer handle all queued events, including those that its own actions cause.
    fn handle_events(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
        }
    }

    /// Returns the tally line of the current second.
    fn tally_line(&mut self) -> &mut TallyLine {
        self.tally.line_at(self.clock.now())
    }
}

#[cfg(test)]
mod tests;
