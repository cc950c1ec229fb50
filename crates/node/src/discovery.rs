//! The client of discovery: the whole list, the watch on changes, backoff.

use crate::config::DiscoveryReplicas;
use crate::input::Input;
use crate::listing::{Listing, Malformed};
use crate::log::log;
use bytes::Bytes;
use decide::asking::{Asking, End, Terms};
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
use tokio::sync::watch;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout, timeout_at, Instant};

/// An answer that has begun is whole within this time.
const ANSWER: Duration = Duration::from_secs(3);
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
    /// The node that asks.
    #[expect(dead_code, reason = "the order of replicas goes by it")]
    pub node: String,
    /// Where it answers. A new address ends what was going on at the old one.
    pub replicas: watch::Receiver<DiscoveryReplicas>,
    /// Judges what it tells.
    pub membership: Membership,
    /// What the settings say of asking by now.
    pub terms: Rc<Cell<Terms>>,
    pub random: fastrand::Rng,
    pub events: UnboundedSender<Input>,
}

impl Discovery {
    /// Asks for as long as the driver lives, whether the list has to be asked for or an agent is sent it: neither tells
    /// anything to a node that does not call. A new address starts anew at once, from the whole list: versions of the old
    /// one mean nothing there, and the node serves from the list it holds until that has come.
    pub async fn run(mut self) {
        let mut replicas = self.replicas.clone();
        loop {
            let Some(at) = replicas.borrow_and_update().addresses.first().copied() else { return };
            tokio::select! {
                // All that belongs to the old address goes with this future: its link, watch and backoff.
                () = self.watch_at(at) => return,
                moved = replicas.changed() => if moved.is_err() { return },
            }
            self.membership.moved();
        }
    }

    /// Asks at one address, until the driver has gone.
    async fn watch_at(&mut self, address: SocketAddr) {
        let mut asking = Asking::default();
        let mut link = None;
        loop {
            let call = asking.call(self.terms.get(), self.asks_for_changes(), self.random.f64());
            let (began, mut read) = (Instant::now(), Vec::new());
            let called = timeout(call.limit, self.call(address, call.wait, &mut link, &mut read)).await;
            let judged = called.unwrap_or(Err(CallError::Overdue)).and_then(|()| self.judged(&read));
            let (input, end) = match judged {
                Ok(listing) => {
                    let end = End::Answered { took: began.elapsed(), news: !listing.hosts.is_empty() };
                    (Input::Listing(listing), end)
                }
                Err(error) => {
                    // What may still come on it belongs to a call that was given up.
                    link = None;
                    log!("discovery: {error}");
                    if self.heed(&read) {
                        self.membership.heeded();
                    }
                    let end = match error {
                        CallError::Overdue => End::Overdue,
                        CallError::Connect(_) => End::Unreached { took: began.elapsed() },
                        _ => End::Failed,
                    };
                    (Input::ListingFailed, end)
                }
            };
            if self.events.send(input).is_err() {
                return;
            }
            let draw = self.random.f64();
            let pause = asking.ended(self.terms.get(), call, end, self.asks_for_changes(), draw);
            if !pause.is_zero() {
                sleep(pause).await;
            }
        }
    }

    /// Tells the driver of servers that are leaving by what has been read of an answer; whether there are any.
    fn heed(&self, read: &[u8]) -> bool {
        let names = Listing::leaving(read);
        let any = !names.is_empty();
        if any {
            log!(
                "discovery: {} servers told to be leaving in an answer that is no list, heeded",
                names.len()
            );
            // The driver only goes when the node does.
            let _ = self.events.send(Input::Leaving(names));
        }
        any
    }

    fn asks_for_changes(&self) -> bool {
        self.membership.asks_after().is_some()
    }

    /// The list, if it is one to be taken.
    fn judged(&mut self, read: &[u8]) -> Result<Listing, CallError> {
        let listing = Listing::read(read)?;
        let remarks = self.membership.judge(listing.seq, listing.whole, &listing.listed())?;
        for remark in remarks.iter().take(REMARKS) {
            log!("discovery: {remark}");
        }
        if let Some(more) = remarks.len().checked_sub(REMARKS).filter(|more| *more > 0) {
            log!("discovery: {more} more like these");
        }
        Ok(listing)
    }

    /// One call. What its answer says is in `read`, as far as it came: what was written counts as told, although the rest may
    /// never come, or late.
    async fn call(
        &self,
        address: SocketAddr,
        wait: Duration,
        link: &mut Option<Link>,
        read: &mut Vec<u8>,
    ) -> Result<(), CallError> {
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
            Some(seq) => format!("/v1/servers?after={seq}&wait_ms={}", wait.as_millis()),
            None => "/v1/servers".to_owned(),
        };
        let request = Request::get(path).header(HOST, address.to_string()).body(Empty::new())?;
        let response = link.sender.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(CallError::Status(response.status()));
        }
        let mut body = Limited::new(response.into_body(), LARGEST);
        let (until, look) = (Instant::now() + ANSWER, self.terms.get().look());
        let (mut next, mut looked) = (Instant::now() + look, 0);
        loop {
            match timeout_at(next, body.frame()).await {
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        read.extend_from_slice(&data);
                    }
                }
                Ok(None) => return Ok(()),
                Err(_) if Instant::now() >= until => return Err(CallError::Overdue),
                Err(_) => {
                    next = Instant::now() + look;
                    if read.len() > looked {
                        self.heed(read);
                        looked = read.len();
                    }
                }
            }
        }
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
