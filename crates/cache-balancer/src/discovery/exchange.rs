//! One call to a replica of discovery, on a connection that is kept.

use super::{CallError, Wording};
use crate::input::DriverInput;
use crate::listing::Listing;
use crate::log::log;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

/// An answer that has begun is whole within this time, where nobody states how fast discovery sends.
const ANSWER: Duration = Duration::from_secs(3);
/// An answer to a watch that is still coming once its wait is over goes on for as long as it does not stop for this time.
const STALLED: Duration = Duration::from_secs(1);
/// An answer that goes on coming is given up after so many times the time that sending it should take.
const MOST_SENDING: u32 = 8;
const CONNECT: Duration = Duration::from_secs(2);
/// The same where there are other replicas: a round of all of them must not take long.
const CONNECT_TO_REPLICA: Duration = Duration::from_secs(1);
/// A list longer than this is no list.
const LARGEST: usize = 8 << 20;

/// An open connection; its driving task ends with it.
pub struct Link {
    sender: SendRequest<Empty<Bytes>>,
    task: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// When an answer is given up.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The answer to the call has begun within this time; where `sending` is not known, it has ended.
    pub call: Duration,
    /// How long sending may take, where discovery's capacity is stated.
    pub sending: Option<Duration>,
}

impl Limits {
    /// The next part of an answer has come by then.
    fn part_by(self, watch: bool, called: Instant, last_part: Instant) -> Instant {
        match (self.sending, watch) {
            (None, _) => called + self.call,
            // What a watch missed counts as told before long, and a neighbour may tell it.
            (Some(_), true) => (last_part + ANSWER).min((called + self.call).max(last_part + STALLED)),
            (Some(sending), false) => last_part + ANSWER + sending,
        }
    }

    /// An answer that has begun is whole within this time.
    fn whole(self) -> Duration {
        self.sending.map_or(ANSWER, |sending| ANSWER + sending * MOST_SENDING)
    }
}

/// One call.
pub struct Exchange {
    /// Where the replica listens.
    pub address: SocketAddr,
    /// It is one of several.
    pub has_neighbours: bool,
    /// Changes after this version are asked for, after such a wait; `None` for the full list.
    pub after: Option<(u64, Duration)>,
    pub limits: Limits,
    /// How often an answer that is still coming is looked into.
    pub look: Duration,
    pub wording: Wording,
    pub events: UnboundedSender<DriverInput>,
}

impl Exchange {
    /// Makes the call. What its answer says is in `read`, as far as it came: what was written counts as told, although the
    /// rest may never come, or late.
    pub async fn run(&self, link: &mut Option<Link>, read: &mut Vec<u8>) -> Result<(), CallError> {
        let called = Instant::now();
        if self.limits.sending.is_none() {
            let answered = timeout(self.limits.call, async {
                let response = self.answer_begins(link).await?;
                self.read(response, called, read).await
            });
            return answered.await.unwrap_or(Err(CallError::Overdue));
        }
        let response = timeout(self.limits.call, self.answer_begins(link)).await;
        self.read(response.unwrap_or(Err(CallError::Overdue))?, called, read).await
    }

    async fn answer_begins(&self, link: &mut Option<Link>) -> Result<Response<Incoming>, CallError> {
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
            None => link.insert(self.connect().await?),
        };
        let path = match self.after {
            Some((seq, wait)) => format!("/v1/servers?after={seq}&wait_ms={}", wait.as_millis()),
            None => "/v1/servers".to_owned(),
        };
        let request = Request::get(path).header(HOST, self.address.to_string()).body(Empty::new())?;
        let response = link.sender.send_request(request).await?;
        match response.status() {
            StatusCode::OK => Ok(response),
            status => Err(CallError::Status(status)),
        }
    }

    async fn read(
        &self,
        response: Response<Incoming>,
        called: Instant,
        read: &mut Vec<u8>,
    ) -> Result<(), CallError> {
        let mut body = Limited::new(response.into_body(), LARGEST);
        let mut last_part = Instant::now();
        let (whole_by, mut next, mut looked) = (last_part + self.limits.whole(), last_part + self.look, 0);
        loop {
            match timeout_at(next, body.frame()).await {
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        read.extend_from_slice(&data);
                    }
                    last_part = Instant::now();
                }
                Ok(None) => return Ok(()),
                Err(_) => {
                    let part_by = self.limits.part_by(self.after.is_some(), called, last_part);
                    if Instant::now() >= whole_by.min(part_by) {
                        return Err(CallError::Overdue);
                    }
                    next = Instant::now() + self.look;
                    if read.len() > looked {
                        self.tell_leaving(read);
                        looked = read.len();
                    }
                }
            }
        }
    }

    /// Tells the driver of servers that are leaving by what has been read of an answer that is still coming.
    fn tell_leaving(&self, read: &[u8]) {
        let leaving = Listing::leaving(read);
        if !leaving.names.is_empty() {
            heed(&self.wording, &self.events, leaving.names);
        }
    }

    async fn connect(&self) -> Result<Link, CallError> {
        let limit = if self.has_neighbours { CONNECT_TO_REPLICA } else { CONNECT };
        let stream = timeout(limit, TcpStream::connect(self.address)).await;
        let stream = stream.unwrap_or(Err(std::io::ErrorKind::TimedOut.into()))?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::task::spawn_local(async move {
            // How it ends shows at the call that is out, or at the next one.
            let _ = connection.await;
        });
        Ok(Link { sender, task: task.abort_handle() })
    }
}

/// Tells the driver of servers that are leaving.
pub fn heed(
    wording: &Wording,
    events: &UnboundedSender<DriverInput>,
    names: std::collections::BTreeSet<String>,
) {
    log!("{wording}: {} servers told to be leaving in an answer that is no list, heeded", names.len());
    // The driver only goes when the node does.
    let _ = events.send(DriverInput::ServersDraining(names));
}
