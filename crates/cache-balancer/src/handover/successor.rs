//! Successor side of a hand-over: connects to the predecessor, the process that serves, and exchanges the
//! messages of [`balancer_core::graceful_restart::Successor`].

use super::frame::{Frame, FrameError, FrameKind};
use super::link::LinkError;
use super::messages::{Cancel, Offer, Proceed, Request};
use super::peer_link::{LinkEnd, PeerLink};
use super::State;
use crate::config::{HandoverConfig, Listener};
use crate::log::log;
use crate::memory::MemoryAccount;
use rustix::process::Signal;
use std::fmt;
use std::io;
use std::net::TcpListener;
use thiserror::Error;
use tokio::net::UnixStream;
use tokio::time::timeout;

/// Error while a hand-over is requested from the predecessor.
#[derive(Debug, Error)]
pub enum HandoverError {
    #[error("connecting to the predecessor failed: {0}")]
    Unreachable(io::Error),
    #[error("the predecessor did not hand over: {0}")]
    Link(#[from] LinkError),
    #[error("the predecessor did not hand over: {0}")]
    Cancelled(CancelCause),
    #[error("the predecessor disconnected before it handed over")]
    Disconnected,
    #[error("the predecessor did not hand over in time")]
    TimedOut,
    #[error("a socket that was handed over is not a listening TCP socket: {0}")]
    Socket(io::Error),
}

/// Why a hand-over was cancelled, as seen by the successor. The predecessor keeps serving.
#[derive(Debug)]
pub enum CancelCause {
    /// The predecessor cancelled the hand-over and stated this reason.
    Stated(String),
    /// The predecessor sent a frame of this kind out of order.
    OutOfOrder(FrameKind),
    /// A message of the predecessor could not be parsed.
    Unreadable(FrameError),
}

impl fmt::Display for CancelCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stated(reason) => f.write_str(reason),
            Self::OutOfOrder(kind) => write!(f, "a message out of order ({kind:?})"),
            Self::Unreadable(error) => write!(f, "{error}"),
        }
    }
}

/// Successor side of a hand-over whose offer has been received.
#[derive(Debug)]
pub struct SuccessorEndpoint {
    link: PeerLink,
}

/// Sockets and state that the predecessor offers.
#[derive(Debug)]
pub struct Offered {
    pub sockets: Vec<(Listener, TcpListener)>,
    /// Learned state; `None` if this version cannot read it.
    pub state: Option<State>,
}

/// A message of the predecessor, or the end of the link.
#[derive(Debug)]
pub enum Message {
    /// The predecessor has paused accepting and sent its latest state; `None` if this version cannot read it.
    Proceed(Option<State>),
    Committed,
    Departed,
    Cancelled(CancelCause),
    /// The predecessor has died, or has departed and does not support probation.
    Died,
    /// The link has ended, but the predecessor is still running.
    LinkLost,
}

impl SuccessorEndpoint {
    /// Requests a hand-over from the process that serves and waits for its offer. Returns `None` if no
    /// process serves. The memory of the predecessor's state is reserved in `account`.
    pub async fn request(
        config: &HandoverConfig,
        account: &MemoryAccount,
    ) -> Result<Option<(Self, Offered)>, HandoverError> {
        let Some(stream) = connect(config).await? else { return Ok(None) };
        let mut link = PeerLink::new(stream, account);
        let request = Request { version: env!("CARGO_PKG_VERSION").to_owned(), probation: true };
        link.send(FrameKind::Request, &request, Vec::new());
        let frame = timeout(config.step_timeout, link.next_frame()).await;
        let frame = frame.map_err(|_| HandoverError::TimedOut)??.ok_or(HandoverError::Disconnected)?;
        let offered = read_offer(&frame, &mut link)?;
        Ok(Some((Self { link }, offered)))
    }

    /// Waits for the next message or the end of the link. Cancel safe.
    pub async fn next(&mut self) -> Message {
        match self.link.next_frame().await {
            Ok(Some(frame)) => return to_message(&frame),
            Ok(None) => {}
            Err(error) => log!("hand-over: receiving from the predecessor failed: {error}"),
        }
        match self.link.classify_end().await {
            LinkEnd::Lost => Message::LinkLost,
            LinkEnd::PeerDied => Message::Died,
        }
    }

    /// Tells the predecessor that this process is prepared to serve.
    pub fn send_ready(&mut self) {
        self.link.send(FrameKind::Ready, &(), Vec::new());
    }

    /// Tells the predecessor that this process accepts connections.
    pub fn send_accepting(&mut self) {
        self.link.send(FrameKind::Accepting, &(), Vec::new());
    }

    /// Tells the predecessor that this process declines the hand-over, and ends the link.
    pub async fn decline(&mut self) {
        self.send_last(FrameKind::Decline).await;
    }

    /// Tells the predecessor that it no longer needs to stand by, and ends the link. If the message cannot be
    /// sent, the predecessor is sent a termination signal instead.
    pub async fn release(&mut self) {
        if !self.send_last(FrameKind::Release).await {
            self.terminate_predecessor();
        }
    }

    /// Sends the predecessor a termination signal, independently of the link.
    pub fn terminate_predecessor(&self) {
        if let Err(error) = self.link.signal(Signal::TERM) {
            log!("hand-over: signalling the predecessor failed: {error}");
        }
    }

    /// Sends the last message if the predecessor supports probation, and ends the link in any case. Returns
    /// whether the message was sent.
    async fn send_last(&mut self, kind: FrameKind) -> bool {
        if !self.link.supports_probation() {
            self.link.disconnect();
            return false;
        }
        self.link.send_last(kind, &()).await
    }
}

/// Connects to the process that serves. Returns `None` if there is none or it has died.
async fn connect(config: &HandoverConfig) -> Result<Option<UnixStream>, HandoverError> {
    match UnixStream::connect(&config.socket).await {
        Ok(stream) => Ok(Some(stream)),
        Err(error) => match error.kind() {
            io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused => Ok(None),
            _ => Err(HandoverError::Unreachable(error)),
        },
    }
}

fn to_message(frame: &Frame) -> Message {
    match frame.kind {
        FrameKind::Proceed => match frame.parse::<Proceed>() {
            Ok(Proceed { state }) => Message::Proceed(read_state(state)),
            Err(error) => Message::Cancelled(CancelCause::Unreadable(error)),
        },
        FrameKind::Commit => Message::Committed,
        FrameKind::Departed => Message::Departed,
        _ => Message::Cancelled(cancel_cause(frame)),
    }
}

/// Parses an offer and takes the sockets that were passed with it.
fn read_offer(frame: &Frame, link: &mut PeerLink) -> Result<Offered, HandoverError> {
    if frame.kind != FrameKind::Offer {
        return Err(HandoverError::Cancelled(cancel_cause(frame)));
    }
    let Offer { listeners, state, probation } = frame.parse().map_err(LinkError::from)?;
    link.set_supports_probation(probation);
    let sockets = listeners.into_iter().zip(link.take_descriptors()).map(|(offered, socket)| {
        let socket = TcpListener::from(socket);
        // Detects an unusable socket now instead of when the first client connects.
        socket.local_addr().map_err(HandoverError::Socket)?;
        Ok((Listener { name: offered.name, address: offered.address }, socket))
    });
    let sockets = sockets.collect::<Result<_, HandoverError>>()?;
    Ok(Offered { sockets, state: read_state(state) })
}

fn read_state(value: serde_json::Value) -> Option<State> {
    State::read(value)
        .inspect_err(|error| log!("hand-over: starting without the predecessor's state: {error}"))
        .ok()
}

fn cancel_cause(frame: &Frame) -> CancelCause {
    match frame.parse::<Cancel>() {
        Ok(Cancel { reason }) if frame.kind == FrameKind::Cancel => CancelCause::Stated(reason),
        _ => CancelCause::OutOfOrder(frame.kind),
    }
}
