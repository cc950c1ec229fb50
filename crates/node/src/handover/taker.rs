//! The end of the process that is to serve: it asks whoever serves now, and carries what [`decide::handover::Taker`] says.

use super::link::{Frame, Kind, Link, LinkError};
use super::{Ask, Cancel, Go, Offer, State};
use crate::config::{HandOver, Listener};
use crate::log::log;
use std::io;
use std::net::TcpListener;
use thiserror::Error;
use tokio::net::UnixStream;
use tokio::time::timeout;

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
    link: Link,
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
    Cancelled(String),
    Broken,
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
        link.queue(Kind::Ask, &Ask { program: env!("CARGO_PKG_VERSION").to_owned() }, Vec::new());
        let frame = timeout(settings.within, link.next()).await.map_err(|_| TakeError::Overdue)??;
        let Some(frame) = frame else { return Err(TakeError::Gone) };
        let offered = offered(&frame, &mut link)?;
        Ok(Some((Self { link }, offered)))
    }

    /// The next word. Dropped before it is done, it loses nothing.
    pub async fn next(&mut self) -> Word {
        match self.link.next().await {
            Ok(Some(frame)) if frame.kind == Kind::Go => match frame.read::<Go>() {
                Ok(Go { state }) => Word::Go(state_of(state)),
                Err(error) => Word::Cancelled(error.to_string()),
            },
            Ok(Some(frame)) => Word::Cancelled(reason(&frame)),
            Ok(None) => Word::Broken,
            Err(error) => {
                log!("hand-over: {error}");
                Word::Broken
            }
        }
    }

    /// Tells that it could serve.
    pub fn say_ready(&mut self) {
        self.link.queue(Kind::Ready, &(), Vec::new());
    }

    /// Tells that it accepts.
    pub fn say_taken(&mut self) {
        self.link.queue(Kind::Taken, &(), Vec::new());
    }
}

fn offered(frame: &Frame, link: &mut Link) -> Result<Offered, TakeError> {
    if frame.kind != Kind::Offer {
        return Err(TakeError::Cancelled(reason(frame)));
    }
    let Offer { listeners, state } = frame.read()?;
    let sockets = listeners.into_iter().zip(link.descriptors()).map(|(offered, socket)| {
        let socket = TcpListener::from(socket);
        // One that does not listen is found out now, not at the first client.
        socket.local_addr().map_err(TakeError::Socket)?;
        Ok((Listener { name: offered.name, address: offered.address }, socket))
    });
    Ok(Offered { sockets: sockets.collect::<Result<_, TakeError>>()?, state: state_of(state) })
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
