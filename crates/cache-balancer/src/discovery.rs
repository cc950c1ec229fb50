//! The client of discovery: which replica is asked, the full list, the watch on changes, back-off.

mod exchange;

use crate::config::DiscoveryReplicas;
use crate::input::Input;
use crate::listing::{Listing, Malformed};
use crate::log::log;
use balancer_core::discovery::{
    DiscoveryClient, Jitter, ListError, ListSource, ListValidator, Poll, PollKind, PollOutcome, PollPacing,
    PollSettings, ReceivedList, ReplicaSelection, ReplicaSetChange, ReplicaTransition,
};
use balancer_core::Timestamp;
use exchange::{Exchange, Limits, Link};
use hyper::StatusCode;
use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::{sleep, Instant};

/// What is odd in a list is logged so often for each.
const REMARKS: usize = 3;
/// An error is logged up to so many characters: an answer may hold anything.
const LONGEST_ERROR: usize = 240;
/// Of an answer that is no list so many bytes are logged.
const SHOWN: usize = 40;

#[derive(Debug, Error)]
enum CallError {
    #[error("{0}")]
    Connect(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Uri(#[from] hyper::http::Error),
    #[error("{0}")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("{error}; it begins with \"{begin}\"")]
    Malformed { error: Malformed, begin: String },
    #[error("list not taken: {0}")]
    Rejected(#[from] ListError),
    #[error("no answer in time")]
    Overdue,
}

impl CallError {
    /// How the call ended, which was made so long ago.
    fn end(&self, took: Duration) -> PollOutcome {
        match self {
            Self::Status(StatusCode::SERVICE_UNAVAILABLE) => PollOutcome::Overloaded { took },
            Self::Overdue => PollOutcome::TimedOut,
            Self::Connect(_) => PollOutcome::Unreachable { took },
            _ => PollOutcome::Failed,
        }
    }
}

/// What lines of the log begin with: a replica is named where there are several.
#[derive(Clone, Debug)]
struct Wording(Option<SocketAddr>);

impl fmt::Display for Wording {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self.0 {
            Some(address) => write!(f, "discovery at {address}"),
            None => f.write_str("discovery"),
        }
    }
}

/// The client of discovery.
pub struct Discovery {
    /// The node that asks: the order in which it asks replicas goes by its name.
    pub node: String,
    /// Where it answers. The watch at a replica that stays goes on.
    pub replicas: watch::Receiver<DiscoveryReplicas>,
    /// Judges what it tells.
    pub membership: ListValidator,
    /// What the settings say of asking by now.
    pub terms: Rc<Cell<PollSettings>>,
    pub random: fastrand::Rng,
    pub events: UnboundedSender<Input>,
}

/// What a call came to.
enum Called {
    /// It ended, and the bytes of its answer were these.
    Ended(Result<(), CallError>, Vec<u8>),
    /// The replica that was called is none any more.
    Moved,
    /// The driver has gone.
    Over,
}

/// The client at work.
struct Running {
    discovery: Discovery,
    client: DiscoveryClient,
    addresses: Vec<SocketAddr>,
    /// Open to the current replica.
    link: Option<Link>,
    began: Instant,
}

impl Discovery {
    /// Asks for as long as the driver lives, whether the list has to be asked for or an agent is sent it: neither tells
    /// anything to a node that does not call. Where no replica stays, it starts anew at once, from the full list: versions
    /// of the old ones mean nothing there, and the node serves from the list it holds until that has come.
    pub async fn run(mut self) {
        let addresses = self.replicas.borrow_and_update().addresses.clone();
        if addresses.is_empty() {
            return;
        }
        let client = DiscoveryClient::new(ReplicaSelection::new(&self.node, names(&addresses)));
        let running = Running { discovery: self, client, addresses, link: None, began: Instant::now() };
        running.run().await;
    }
}

impl Running {
    async fn run(mut self) {
        loop {
            let kind = self.kind();
            let call = self.client.next_poll(self.pace(), kind, self.discovery.random.f64());
            let at = Instant::now();
            let pause = match self.call(call).await {
                Called::Ended(result, read) => match self.take_in(call, result, &read, at.elapsed()) {
                    Some(pause) => pause,
                    None => return,
                },
                Called::Moved => continue,
                Called::Over => return,
            };
            if !pause.is_zero() && !self.pause(pause).await {
                return;
            }
        }
    }

    /// Makes a call to the current replica. Other replicas may be named meanwhile; the call goes on if this one stays.
    async fn call(&mut self, call: Poll) -> Called {
        let exchange = self.exchange(call);
        let (mut link, mut read) = (self.link.take(), Vec::new());
        let ended = {
            let running = exchange.run(&mut link, &mut read);
            tokio::pin!(running);
            loop {
                tokio::select! {
                    ended = &mut running => break ended,
                    changed = self.discovery.replicas.changed() => match changed {
                        Err(_) => return Called::Over,
                        Ok(()) if self.change() != ReplicaSetChange::CurrentRemains => return Called::Moved,
                        Ok(()) => {}
                    },
                }
            }
        };
        // What may still come on the connection of a call that failed belongs to that call.
        self.link = link.filter(|_| ended.is_ok());
        Called::Ended(ended, read)
    }

    /// Waits before the next call; whether the driver is still there. Where the replica that would be called is none any
    /// more, there is nothing to wait for.
    async fn pause(&mut self, pause: Duration) -> bool {
        let pause = sleep(pause);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return true,
                changed = self.discovery.replicas.changed() => match changed {
                    Err(_) => return false,
                    Ok(()) if self.change() != ReplicaSetChange::CurrentRemains => return true,
                    Ok(()) => {}
                },
            }
        }
    }

    /// Takes in how a call ended and gives the pause before the next one; `None` once the driver has gone.
    fn take_in(
        &mut self,
        call: Poll,
        result: Result<(), CallError>,
        read: &[u8],
        took: Duration,
    ) -> Option<Duration> {
        let (input, end) = match result.and_then(|()| self.judged(read)) {
            Ok(listing) => {
                let end = PollOutcome::Answered { took, has_changes: !listing.hosts.is_empty() };
                (Input::Listing(listing), end)
            }
            Err(error) => {
                self.link = None;
                log!("{}: {}", self.wording(), bounded(&error.to_string()));
                self.heed(read);
                (Input::ListingFailed, error.end(took))
            }
        };
        self.discovery.events.send(input).ok()?;
        let random = &mut self.discovery.random;
        // One replica leaves no choice, and draws nothing for it.
        let hold_down = if self.addresses.len() > 1 { random.f64() } else { 0.0 };
        let jitter = Jitter { pause: random.f64(), hold_down };
        let now = Timestamp::from_micros(self.began.elapsed().as_micros() as u64);
        let (pace, kind) = (self.pace(), self.kind());
        let next = self.client.poll_ended(now, pace, call, end, kind, jitter);
        if next.transition != ReplicaTransition::Stay {
            self.link = None;
            log!("{}: asked from here on", self.wording());
        }
        Some(next.pause)
    }

    /// The list, if it is one to be taken.
    fn judged(&mut self, read: &[u8]) -> Result<Listing, CallError> {
        let malformed = |error| CallError::Malformed { error, begin: begin(read) };
        let mut listing = Listing::read(read).map_err(malformed)?;
        let address = self.address().to_string();
        let source = ListSource { replica: &address, replicas: self.addresses.len() };
        let entries = listing.listed();
        let received = ReceivedList { version: listing.seq, is_snapshot: listing.whole, entries: &entries };
        let membership = &mut self.discovery.membership;
        let remarks = membership.validate(source, &received)?;
        listing.withhold(membership.suppressed());
        let wording = self.wording();
        for remark in remarks.iter().take(REMARKS) {
            log!("{wording}: {remark}");
        }
        if let Some(more) = remarks.len().checked_sub(REMARKS).filter(|more| *more > 0) {
            log!("{wording}: {more} more like these");
        }
        Ok(listing)
    }

    /// Heeds what an answer that is not taken says of servers that are leaving.
    fn heed(&mut self, read: &[u8]) {
        let mut leaving = Listing::leaving(read);
        let membership = &mut self.discovery.membership;
        if self.addresses.len() > 1 && membership.has_list() {
            // Of the others a replica that lags tells nothing that would have to be asked for.
            leaving.names.retain(|name| membership.is_ready(name));
        }
        if leaving.names.is_empty() {
            return;
        }
        exchange::heed(&self.wording(), &self.discovery.events, leaving.names.clone());
        let address = self.address().to_string();
        let source = ListSource { replica: &address, replicas: self.addresses.len() };
        self.discovery.membership.leaving_reported(source, leaving.version, leaving.names);
    }

    /// Takes on the replicas that are named now.
    fn change(&mut self) -> ReplicaSetChange {
        let addresses = self.discovery.replicas.borrow_and_update().addresses.clone();
        if addresses.is_empty() || addresses == self.addresses {
            return ReplicaSetChange::CurrentRemains;
        }
        let changed = self.client.replace_replicas(names(&addresses));
        self.addresses = addresses;
        match changed {
            ReplicaSetChange::CurrentRemains | ReplicaSetChange::OthersRemain => {
                self.discovery.membership.replicas_replaced()
            }
            ReplicaSetChange::NoneRemains => self.discovery.membership.service_replaced(),
        }
        if changed != ReplicaSetChange::CurrentRemains {
            self.link = None;
        }
        changed
    }

    fn exchange(&self, call: Poll) -> Exchange {
        let limits = Limits { call: call.timeout, sending: self.client.answer_allowance(self.pace()) };
        Exchange {
            address: self.address(),
            has_neighbours: self.addresses.len() > 1,
            after: self.discovery.membership.watch_from().map(|seq| (seq, call.wait)),
            limits,
            look: self.discovery.terms.get().partial_read_interval(),
            wording: self.wording(),
            events: self.discovery.events.clone(),
        }
    }

    fn pace(&self) -> PollPacing {
        let capacity = self.discovery.replicas.borrow().capacity;
        let held = u32::try_from(self.discovery.membership.ready_count()).unwrap_or(u32::MAX);
        let list_lines = Some(held).filter(|lines| *lines > 0);
        PollPacing::new(self.discovery.terms.get(), self.client.replicas().available(), capacity, list_lines)
    }

    fn kind(&self) -> PollKind {
        self.discovery.membership.next_poll_kind()
    }

    /// Of the replica that is asked.
    fn address(&self) -> SocketAddr {
        self.addresses[self.client.replicas().current()]
    }

    fn wording(&self) -> Wording {
        Wording((self.addresses.len() > 1).then(|| self.address()))
    }
}

/// Replicas go by their addresses.
fn names(addresses: &[SocketAddr]) -> Vec<String> {
    addresses.iter().map(ToString::to_string).collect()
}

/// The first bytes of an answer, fit for a line of the log.
fn begin(read: &[u8]) -> String {
    read[..read.len().min(SHOWN)].escape_ascii().to_string()
}

/// Words for a line of the log: they may hold what an answer holds.
fn bounded(words: &str) -> String {
    let mut bounded: String = words.chars().take(LONGEST_ERROR).flat_map(printable).collect();
    if words.chars().nth(LONGEST_ERROR).is_some() {
        bounded.push_str("...");
    }
    bounded
}

fn printable(letter: char) -> impl Iterator<Item = char> {
    let (plain, escaped) =
        if letter.is_control() { (None, Some(letter.escape_default())) } else { (Some(letter), None) };
    plain.into_iter().chain(escaped.into_iter().flatten())
}
