//! The end of the process that is to serve: it asks whoever serves now, and carries what [`balancer_core::handover::Taker`] says.

use super::link::{Frame, Kind, Link, LinkError};
use super::other::Other;
use super::{Ask, Cancel, Go, Offer, State};
use crate::config::{HandOver, Listener};
use crate::log::log;
use rustix::process::Signal;
use std::io;
use std::net::TcpListener;
use std::time::Duration;
use thiserror::Error;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// The giver hears a last word within this, or just sees the link's end.
const LAST_WORD: Duration = Duration::from_millis(200);

/// Why nothing was taken over from a process that serves.
#[derive(Debug, Error)]
pub enum TakeError {
    #[error("the process that serves cannot be asked for a hand-over: {0}")]
    Unreachable(io::Error),
    #[error("the process that serves did not hand over: {0}")]
    Link(#[from] LinkError),
    #[error("the process that serves did not hand over: {0}")]
    Cancelled(String),
    #[error("the process that serves went away before it handed over")]
    Gone,
    #[error("the process that serves did not hand over in time")]
    Overdue,
    #[error("a socket that was handed over is no listening TCP socket: {0}")]
    Socket(io::Error),
}

/// A link to the process that serves, once it has sent what it has.
#[derive(Debug)]
pub struct Taking {
    /// `None` once it has ended.
    link: Option<Link>,
    giver: Other,
    /// The giver knows of probation.
    probation: bool,
    /// That the link was cut was said.
    cut: bool,
}

/// What it has sent.
#[derive(Debug)]
pub struct Offered {
    pub sockets: Vec<(Listener, TcpListener)>,
    pub state: Option<State>,
}

/// What it says next.
#[derive(Debug)]
pub enum Word {
    Go(Option<State>),
    Yours,
    Left,
    Cancelled(String),
    /// It has died, or had left before it knew of probation.
    Died,
    /// The link has ended, and it lives.
    Cut,
}

impl Taking {
    /// Asks whoever serves; `None` where nobody does.
    pub async fn ask(settings: &HandOver) -> Result<Option<(Self, Offered)>, TakeError> {
        let stream = match UnixStream::connect(&settings.socket).await {
            Ok(stream) => stream,
            // Nobody was there yet, or whoever was has died.
            Err(error)
                if matches!(error.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) =>
            {
                return Ok(None);
            }
            Err(error) => return Err(TakeError::Unreachable(error)),
        };
        let mut link = Link::new(stream);
        let giver = Other::new(link.process());
        let ask = Ask { program: env!("CARGO_PKG_VERSION").to_owned(), probation: true };
        link.queue(Kind::Ask, &ask, Vec::new());
        let frame = timeout(settings.within, link.next()).await.map_err(|_| TakeError::Overdue)??;
        let Some(frame) = frame else { return Err(TakeError::Gone) };
        let (offered, probation) = offered(&frame, &mut link)?;
        Ok(Some((Self { link: Some(link), giver, probation, cut: false }, offered)))
    }

    /// The next word. Dropped before it is done, it loses nothing.
    pub async fn next(&mut self) -> Word {
        if let Some(link) = &mut self.link {
            match link.next().await {
                Ok(Some(frame)) => return word(&frame),
                Ok(None) => self.link = None,
                Err(error) => {
                    log!("hand-over: {error}");
                    self.link = None;
                }
            }
        }
        if self.probation && !self.cut && !self.giver.has_died().await {
            self.cut = true;
            return Word::Cut;
        }
        if self.probation {
            self.giver.ended().await;
        }
        Word::Died
    }

    /// Tells that it could serve.
    pub fn say_ready(&mut self) {
        self.say(Kind::Ready);
    }

    /// Tells that it accepts.
    pub fn say_taken(&mut self) {
        self.say(Kind::Taken);
    }

    /// Tells that it gives up.
    pub async fn say_declined(&mut self) {
        self.say_last(Kind::Declined).await;
    }

    /// Tells that it needs nobody behind it.
    pub async fn say_free(&mut self) {
        if !self.say_last(Kind::Free).await {
            self.dismiss();
        }
    }

    /// Tells the process that stands by to stop, past the link.
    pub fn dismiss(&self) {
        if let Err(error) = self.giver.signal(Signal::TERM) {
            log!("hand-over: the process before this one is not told: {error}");
        }
    }

    fn say(&mut self, kind: Kind) {
        if let Some(link) = &mut self.link {
            link.queue(kind, &(), Vec::new());
        }
    }

    /// Whether it could be said. The link has ended in any case.
    async fn say_last(&mut self, kind: Kind) -> bool {
        let Some(mut link) = self.link.take().filter(|_| self.probation) else { return false };
        link.queue(kind, &(), Vec::new());
        matches!(timeout(LAST_WORD, link.flush()).await, Ok(Ok(())))
    }
}

fn word(frame: &Frame) -> Word {
    match frame.kind {
        Kind::Go => match frame.read::<Go>() {
            Ok(Go { state }) => Word::Go(state_of(state)),
            Err(error) => Word::Cancelled(error.to_string()),
        },
        Kind::Yours => Word::Yours,
        Kind::Left => Word::Left,
        _ => Word::Cancelled(reason(frame)),
    }
}

/// What is offered, and whether by one that knows of probation.
fn offered(frame: &Frame, link: &mut Link) -> Result<(Offered, bool), TakeError> {
    if frame.kind != Kind::Offer {
        return Err(TakeError::Cancelled(reason(frame)));
    }
    let Offer { listeners, state, probation } = frame.read()?;
    let sockets = listeners.into_iter().zip(link.descriptors()).map(|(offered, socket)| {
        let socket = TcpListener::from(socket);
        // One that does not listen is found out now, not at the first client.
        socket.local_addr().map_err(TakeError::Socket)?;
        Ok((Listener { name: offered.name, address: offered.address }, socket))
    });
    let sockets = sockets.collect::<Result<_, TakeError>>()?;
    Ok((Offered { sockets, state: state_of(state) }, probation))
}

fn state_of(value: serde_json::Value) -> Option<State> {
    State::read(value)
        .inspect_err(|error| log!("hand-over: starting without what the other process knew: {error}"))
        .ok()
}

fn reason(frame: &Frame) -> String {
    match frame.read::<Cancel>() {
        Ok(Cancel { why }) if frame.kind == Kind::Cancel => why,
        _ => format!("a word out of its order ({:?})", frame.kind),
    }
}
