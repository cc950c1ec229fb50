//! The client of discovery: the whole list, the watch on changes, backoff.

use crate::input::Input;
use crate::listing::{Listing, Malformed};
use crate::log::log;
use bytes::Bytes;
use decide::asking;
use decide::membership::{Doubt, Membership};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{watch, Notify};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

/// How long a watch asks discovery to wait. Each call costs the one discovery of all nodes as much as dozens
/// of entries, and a change ends the wait at once, so long waits lose nothing.
const WATCH: Duration = Duration::from_secs(20);
/// A watch that says nothing for this long after its wait is over is dead: the network swallowed it.
/// At 2 s past the wait what it would have told counts as told.
const OVERDUE: Duration = Duration::from_millis(1500);
/// The same for a call that has nothing to wait for but its turn.
const LIST: Duration = Duration::from_millis(3500);
const CONNECT: Duration = Duration::from_secs(2);
/// What is odd in a list is logged so often for each.
const REMARKS: usize = 3;
/// A list longer than this is no list.
const LARGEST: usize = 8 << 20;

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
    #[error("{0}")]
    Malformed(#[from] Malformed),
    #[error("list not taken: {0}")]
    Doubt(#[from] Doubt),
    #[error("no answer in time")]
    Overdue,
}

/// An open connection; its driving task ends with it.
struct Link {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The client of discovery.
pub struct Discovery {
    /// Where it answers. A new address ends what was going on at the old one.
    pub address: watch::Receiver<SocketAddr>,
    /// Judges what it tells.
    pub membership: Membership,
    /// How many nodes ask it, as the settings have it by now.
    pub nodes: Rc<Cell<u32>>,
    pub random: fastrand::Rng,
    pub events: UnboundedSender<Input>,
}

impl Discovery {
    /// Watches whenever it is told to, until a call fails: then the module is told and says when to try again.
    /// A new address starts anew at once, from the whole list: versions of the old one mean nothing there, and
    /// the node serves from the list it holds until that has come.
    pub async fn run(mut self, follow: Rc<Notify>) {
        let mut address = self.address.clone();
        let mut told = false;
        loop {
            let at = *address.borrow_and_update();
            tokio::select! {
                // All that belongs to the old address goes with this future: its link, watch and backoff.
                () = self.watch_at(at, &follow, told) => return,
                moved = address.changed() => if moved.is_err() { return },
            }
            self.membership.moved();
            told = true;
        }
    }

    /// Watches at one address, until the driver has gone. `told`: the module's word to watch holds already.
    async fn watch_at(&mut self, address: SocketAddr, follow: &Notify, mut told: bool) {
        let mut failures = 0_u32;
        loop {
            if !std::mem::take(&mut told) {
                follow.notified().await;
            }
            if failures > 0 {
                // Nodes that lost the same discovery together must not come back together.
                let draw = self.random.f64();
                sleep(asking::wait(self.nodes.get(), failures, self.asks_for_changes(), draw)).await;
            }
            let mut link = None;
            loop {
                let limit = if self.asks_for_changes() { WATCH + OVERDUE } else { LIST };
                let called = timeout(limit, self.call(address, &mut link)).await;
                match called.unwrap_or(Err(CallError::Overdue)).and_then(|listing| self.judged(listing)) {
                    Ok(listing) => {
                        failures = 0;
                        if self.events.send(Input::Listing(listing)).is_err() {
                            return;
                        }
                    }
                    Err(error) => {
                        log!("discovery: {error}");
                        failures = failures.saturating_add(1);
                        if self.events.send(Input::ListingFailed).is_err() {
                            return;
                        }
                        break;
                    }
                }
            }
        }
    }

    fn asks_for_changes(&self) -> bool {
        self.membership.asks_after().is_some()
    }

    /// The list, if it is one to be taken.
    fn judged(&mut self, listing: Listing) -> Result<Listing, CallError> {
        let remarks = self.membership.judge(listing.seq, listing.whole, &listing.listed())?;
        for remark in remarks.iter().take(REMARKS) {
            log!("discovery: {remark}");
        }
        if let Some(more) = remarks.len().checked_sub(REMARKS).filter(|more| *more > 0) {
            log!("discovery: {more} more like these");
        }
        Ok(listing)
    }

    async fn call(&self, address: SocketAddr, link: &mut Option<Link>) -> Result<Listing, CallError> {
        // A kept connection that discovery has closed meanwhile is no failure of the call.
        let usable = match link {
            Some(link) => link.sender.ready().await.is_ok(),
            None => false,
        };
        if !usable {
            *link = None;
        }
        let link = match link {
            Some(link) => link,
            None => link.insert(connect(address).await?),
        };
        let path = match self.membership.asks_after() {
            Some(seq) => format!("/v1/servers?after={seq}&wait_ms={}", WATCH.as_millis()),
            None => "/v1/servers".to_owned(),
        };
        let request = Request::get(path).header(HOST, address.to_string()).body(Empty::new())?;
        let response = link.sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), LARGEST).collect().await?.to_bytes();
        Ok(Listing::read(&body)?)
    }
}

async fn connect(address: SocketAddr) -> Result<Link, CallError> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = stream.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()))?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::task::spawn_local(async move {
        // How it ends shows at the call that is out, or at the next one.
        let _ = connection.await;
    });
    Ok(Link { sender, task: task.abort_handle() })
}
