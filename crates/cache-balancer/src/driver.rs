//! Drives the module: the only owner of the `Balancer` and of what is open. Events come in by channel and the
//! module's actions are carried out in order; nothing is picked, repeated or refused here.

use crate::input::{Answer, Input, Taken};
use crate::listing::{Host, Listing};
use crate::log::log;
use crate::tally::Tally;
use crate::upstream::{Ended, Leave, Message, Upstream};
use balancer_core::{
    Action, AttemptOutcome, AttemptStatus, Balancer, Endpoint, EndpointState, EndpointUpdate, Event, Request,
    RequestId, ServerId, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender};
use tokio::sync::{oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

/// Taken off a client's time: it counts from when the client sent, and the answer has its way back to go.
const MARGIN: Duration = Duration::from_millis(5);
/// How long past a request's time, less the margin, the module has for its own answer.
const GUARD: Duration = Duration::from_millis(4);

/// The one clock: it runs evenly, from the system's time at the start, which discovery's times are told in.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix }
    }

    fn now(&self) -> Timestamp {
        self.at(Instant::now())
    }

    fn at(&self, instant: Instant) -> Timestamp {
        let time = self.unix + instant.saturating_duration_since(self.origin);
        Timestamp::from_micros(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
    }
}

struct Open {
    message: Rc<Message>,
    /// `None` once the final answer is given.
    answer: Option<oneshot::Sender<Answer>>,
    until: Instant,
    attempts: Vec<Sent>,
}

struct Sent {
    server: ServerId,
    at: Instant,
    /// `None` once its end is known.
    task: Option<AbortHandle>,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Wake,
    Guard(RequestId),
}

/// What came of a call to discovery, once the module has had it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A list was taken.
    List {
        /// Its version.
        version: u64,
        /// It was the whole list.
        whole: bool,
        /// Entries in it.
        entries: usize,
    },
    /// None was.
    CallFailed,
}

/// Is told what was heard.
pub type Observer = Box<dyn Fn(Heard)>;

/// See the module's page.
pub struct Driver {
    balancer: Balancer,
    clock: Clock,
    upstream: Rc<Upstream>,
    ready: watch::Sender<bool>,
    events: UnboundedSender<Input>,
    open: HashMap<RequestId, Open>,
    timers: BTreeSet<(Instant, Timer)>,
    due: VecDeque<Event>,
    /// The list as it is by now.
    listing: Listing,
    retired: bool,
    tally: Tally,
    observer: Option<Observer>,
}

impl Driver {
    /// `events` is where attempts report to: the sending end of what `run` reads.
    pub fn new(
        balancer: Balancer,
        upstream: Rc<Upstream>,
        ready: watch::Sender<bool>,
        events: UnboundedSender<Input>,
        tally: Tally,
    ) -> Self {
        Self {
            balancer,
            clock: Clock::start(),
            upstream,
            ready,
            events,
            open: HashMap::new(),
            timers: BTreeSet::new(),
            due: VecDeque::new(),
            listing: Listing::default(),
            retired: false,
            tally,
            observer: None,
        }
    }

    /// Has this observer told of each list and each call that failed, right after the module had it.
    pub fn observed(self, observer: Observer) -> Self {
        Self { observer: Some(observer), ..self }
    }

    /// Runs for as long as the node does, or until it is retired and all that was taken is finished.
    pub async fn run(mut self, known: Listing, mut inputs: UnboundedReceiver<Input>) {
        let entries = self.learn(&Listing { whole: true, ..known });
        self.due.push_back(Event::EndpointsRestored(entries));
        self.handle_due();
        while !(self.retired && self.open.is_empty()) {
            let next = self.timers.first().map(|(at, _)| *at);
            let timer = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                input = inputs.recv() => match input {
                    Some(input) => {
                        let heard = heard(&input);
                        self.take(input);
                        self.handle_due();
                        self.tell_observer(heard);
                    }
                    None => return,
                },
                () = timer => {
                    self.ring();
                    self.handle_due();
                }
            }
        }
    }

    fn tell_observer(&self, heard: Option<Heard>) {
        if let (Some(observer), Some(heard)) = (&self.observer, heard) {
            observer(heard);
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Taken(taken) => self.request(*taken),
            Input::Left(ticket) => {
                let id = request_id(ticket);
                if let Some(open) = self.open.get_mut(&id).filter(|open| open.answer.is_some()) {
                    open.answer = None;
                    open.message.owed.end();
                    self.due.push_back(Event::RequestCancelled(id.clone()));
                    self.tidy(&id);
                }
            }
            Input::Ended { id, attempt, ended } => self.ended(id, attempt, ended),
            Input::Listing(listing) => {
                self.tally.at(self.clock.now()).lists += 1;
                let entries = self.learn(&listing);
                let list = if listing.whole {
                    EndpointUpdate::Snapshot(entries)
                } else {
                    EndpointUpdate::Delta(entries)
                };
                self.due.push_back(Event::EndpointsUpdated(list));
            }
            Input::Reconfigured(settings) => {
                self.upstream.configure(settings.connect_timeout, settings.server_idle_timeout);
                self.due.push_back(Event::Reconfigured(settings));
            }
            Input::Recalled(recalled) => {
                let (listing, knowledge) = *recalled;
                let entries = self.learn(&Listing { whole: true, ..listing });
                self.due.push_back(Event::EndpointsRestored(entries));
                self.due.push_back(Event::StateRestored(Arc::new(knowledge)));
            }
            Input::Report(answer) => {
                let knowledge = self.balancer.learned_state(self.clock.at(Instant::now()));
                // Whoever asked may have given up.
                let _ = answer.send((self.listing.clone(), knowledge));
            }
            Input::Retired => self.retired = true,
            // Whoever asked may have given up.
            Input::Alive(answer) => drop(answer.send(())),
            Input::Leaving(names) => {
                let held = self.listing.hosts.iter().filter(|host| names.contains(&host.host));
                let hosts = held.filter_map(Host::leaving).collect();
                let entries = self.learn(&Listing { seq: self.listing.seq, whole: false, hosts });
                self.due.push_back(Event::EndpointsUpdated(EndpointUpdate::Delta(entries)));
            }
            // The list held goes on, and the client of discovery knows when to ask again.
            Input::ListingFailed => self.tally.at(self.clock.now()).lists_failed += 1,
        }
    }

    /// Hands a list to the connections and gives its entries back as the module's. It goes to both in one
    /// step, so that no attempt of the module's can overtake it.
    fn learn(&mut self, listing: &Listing) -> Arc<[Endpoint]> {
        self.note_news(listing);
        self.listing.merge(listing);
        let entries: Arc<[Endpoint]> = listing.hosts.iter().map(|host| host.entry()).collect();
        if listing.whole {
            self.upstream.retain(|id| entries.iter().any(|entry| entry.id == *id));
        }
        for (host, entry) in listing.hosts.iter().zip(entries.iter()) {
            match entry.state {
                EndpointState::Removed => self.upstream.forget(&entry.id),
                state => self.upstream.learn(&entry.id, host.dial, state == EndpointState::Ready),
            }
        }
        if entries.iter().any(|entry| entry.state == EndpointState::Ready) {
            self.ready.send_if_modified(|ready| !std::mem::replace(ready, true));
        }
        entries
    }

    /// Tallies what a list says that was not known. The one that a node starts with is no news.
    fn note_news(&mut self, listing: &Listing) {
        if self.listing.hosts.is_empty() {
            return;
        }
        let state = |entry: &Endpoint| (entry.state, entry.started_at);
        let known = self.listing.hosts.iter().map(|host| host.entry());
        let mut known: BTreeMap<_, _> = known.map(|entry| (entry.id.clone(), state(&entry))).collect();
        let line = self.tally.at(self.clock.now());
        for entry in listing.hosts.iter().map(|host| host.entry()) {
            if known.remove(&entry.id) != Some(state(&entry)) {
                line.told(&entry.id, entry.state, entry.started_at);
            }
        }
        if listing.whole {
            known.keys().for_each(|id| line.told(id, EndpointState::Removed, None));
        }
    }

    fn request(&mut self, taken: Taken) {
        let id = request_id(taken.ticket);
        let until = taken.at + taken.patience.saturating_sub(MARGIN);
        let open =
            Open { message: Rc::new(taken.message), answer: Some(taken.answer), until, attempts: Vec::new() };
        self.open.insert(id.clone(), open);
        self.timers.insert((until + GUARD, Timer::Guard(id.clone())));
        self.due.push_back(Event::Request(Request {
            id,
            class: Some(taken.class),
            tenant: taken.tenant,
            key: taken.key,
            deadline: self.clock.at(until),
            expected_work: taken.expected_work,
            write: taken.write,
            client_retry: taken.client_retry,
        }));
    }

    fn ended(&mut self, id: RequestId, attempt: u32, ended: Ended) {
        let Some(open) = self.open.get_mut(&id) else { return };
        // One that was cancelled meanwhile has ended already.
        let Some(sent) = open.attempts.get_mut(attempt as usize).filter(|sent| sent.task.is_some()) else {
            return;
        };
        sent.task = None;
        let (server, took) = (sent.server.clone(), sent.at.elapsed());
        let line = self.tally.at(self.clock.now());
        line.ended(&server, ended.status);
        if let Some(body) = ended.body {
            line.served += u32::from(open.answer.is_some());
            reply(open, Answer::Served(body));
        }
        let finished = open.answer.is_none();
        let Ended { status, note, load, .. } = ended;
        self.tidy(&id);
        self.due.push_back(Event::AttemptEnded(AttemptOutcome {
            id,
            attempt,
            server,
            status,
            cache_result: note,
            elapsed: took,
            request_finished: finished,
            load,
        }));
    }

    /// Drops a request that has its answer and no attempt out.
    fn tidy(&mut self, id: &RequestId) {
        let over =
            |open: &Open| open.answer.is_none() && open.attempts.iter().all(|sent| sent.task.is_none());
        if let Some(open) = self.open.get(id).filter(|open| over(open)) {
            // Left to fire, the timers of what is long done would outnumber what is open.
            self.timers.remove(&(open.until + GUARD, Timer::Guard(id.clone())));
            self.open.remove(id);
        }
    }

    fn ring(&mut self) {
        let now = Instant::now();
        while self.timers.first().is_some_and(|(at, _)| *at <= now) {
            match self.timers.pop_first() {
                Some((_, Timer::Wake)) => self.due.push_back(Event::TimerExpired),
                Some((_, Timer::Guard(id))) => self.guard(id),
                None => {}
            }
        }
    }

    /// A request that the module has left open until its time is all but over would be lost: it fails here,
    /// and the module learns that nothing is owed any more. What its attempts come to is still reported.
    fn guard(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.answer.is_some()) else { return };
        reply(open, Answer::Failed);
        self.tally.at(self.clock.now()).failed += 1;
        self.tidy(&id);
        self.due.push_back(Event::RequestCancelled(id));
    }

    fn handle_due(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.due.pop_front() {
            self.balancer.handle(self.clock.at(Instant::now()), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::StartAttempt { id, server, timeout, start_within } => {
                self.send(id, server, timeout, start_within);
            }
            Action::CancelAttempt { id, attempt } => {
                let Some(open) = self.open.get_mut(&id) else { return };
                let task = open.attempts.get_mut(attempt as usize).and_then(|sent| sent.task.as_ref());
                if let Some(task) = task {
                    // Its connection closes with it: a server's answer to it would meet the next request.
                    task.abort();
                    self.ended(id, attempt, Ended::without_answer(AttemptStatus::Canceled));
                }
            }
            Action::Reject { id, retry_after } => self.finish(&id, Answer::Refused { retry_after }),
            Action::Fail { id } => self.finish(&id, Answer::Failed),
            Action::SetTimer { after } => {
                self.timers.insert((Instant::now() + after, Timer::Wake));
            }
            Action::CloseIdleConnections { server } => self.upstream.close_idle(&server),
            // The client of discovery asks of itself, and judges by itself when to ask again.
            Action::SubscribeToEndpoints => {}
            Action::Log(text) => {
                // The module tells of its breakers in words only.
                let trip = text.starts_with("breaker of ") && text.contains(" tripped");
                self.tally.at(self.clock.now()).trips += u32::from(trip);
                log!("{text}");
            }
            // The module never probes where the settings forbid it, as they do wherever this node runs.
            Action::CheckHealth { server } => log!("no probe of {server}: this node sends none"),
        }
    }

    fn send(&mut self, id: RequestId, server: ServerId, timeout: Duration, begin_within: Option<Duration>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let (at, attempt) = (Instant::now(), open.attempts.len() as u32);
        let until = open.until.min(at + timeout);
        self.tally.at(self.clock.at(at)).repeats += u32::from(attempt > 0);
        let (upstream, events) = (self.upstream.clone(), self.events.clone());
        let (message, target) = (open.message.clone(), server.clone());
        let leave = Leave { owed: message.owed.clone(), begin_by: begin_within.map(|within| at + within) };
        let task = tokio::task::spawn_local(async move {
            let ended = upstream.attempt(&target, &message, leave, until).await;
            // The driver only goes when the node does.
            let _ = events.send(Input::Ended { id, attempt, ended });
        });
        open.attempts.push(Sent { server, at, task: Some(task.abort_handle()) });
    }

    fn finish(&mut self, id: &RequestId, answer: Answer) {
        if let Some(open) = self.open.get_mut(id) {
            let line = self.tally.at(self.clock.now());
            if open.answer.is_some() {
                *match answer {
                    Answer::Served(_) => &mut line.served,
                    Answer::Refused { .. } => &mut line.refused,
                    Answer::Failed => &mut line.failed,
                } += 1;
            }
            reply(open, answer);
            self.tidy(id);
        }
    }
}

/// What an input says of a call to discovery, if it comes of one.
fn heard(input: &Input) -> Option<Heard> {
    match input {
        Input::Listing(listing) => {
            Some(Heard::List { version: listing.seq, whole: listing.whole, entries: listing.hosts.len() })
        }
        Input::ListingFailed => Some(Heard::CallFailed),
        _ => None,
    }
}

fn reply(open: &mut Open, answer: Answer) {
    open.message.owed.end();
    if let Some(sender) = open.answer.take() {
        // A client that has gone meanwhile is owed nothing.
        let _ = sender.send(answer);
    }
}

fn request_id(ticket: u64) -> RequestId {
    RequestId::from(ticket.to_string().as_str())
}
