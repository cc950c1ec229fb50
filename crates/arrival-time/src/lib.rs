//! Reads from a TCP socket, and how long the bytes have waited in the system before they were read.
//!
//! A process that is held up (it is starting, or has no processor time) reads late what came in time. A time limit that
//! counts from the read is then too long by the wait. Linux notes when each packet arrives (`SO_TIMESTAMPNS`, see socket(7))
//! and tells with `recvmsg` when the last of the bytes read did.

use nix::cmsg_space;
use nix::sys::socket::{recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// The longest wait that is believed. A longer one is more likely a step of the system's clock.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// Asks the system to note arrivals on this socket from now on, and on the connections that a listening one accepts.
/// Returns `false` if it cannot. With the first such socket of a machine, the system may begin some milliseconds later.
pub fn enable_arrival_timestamps(socket: &impl AsFd) -> bool {
    setsockopt(socket, sockopt::ReceiveTimestampns, &true).is_ok()
}

/// Reads from one socket.
#[derive(Debug)]
pub struct ArrivalReader {
    /// Holds the timestamp of a read; `None` if the system notes none for this socket.
    control: Option<Vec<u8>>,
}

/// What a read returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received {
    /// The number of bytes; 0 at the end of the stream.
    pub bytes: usize,
    /// How long the last of them have waited in the system; zero if it does not tell.
    pub waited: Duration,
}

impl ArrivalReader {
    /// A reader of this socket, whose arrivals are noted from now on. Where the system cannot, reads tell no wait.
    pub fn new(socket: &TcpStream) -> Self {
        Self { control: enable_arrival_timestamps(socket).then(|| cmsg_space!(TimeSpec)) }
    }

    /// Reads what is there.
    ///
    /// # Errors
    /// As [`TcpStream::try_read`], [`io::ErrorKind::WouldBlock`] if nothing is.
    pub fn try_read(&mut self, socket: &TcpStream, buffer: &mut [u8]) -> io::Result<Received> {
        let Some(control) = &mut self.control else {
            return Ok(Received { bytes: socket.try_read(buffer)?, waited: Duration::ZERO });
        };
        socket.try_io(Interest::READABLE, || {
            let mut parts = [IoSliceMut::new(buffer)];
            let message = recvmsg::<()>(socket.as_raw_fd(), &mut parts, Some(control), MsgFlags::empty())?;
            let arrived_at = message.cmsgs().ok().and_then(|mut control_messages| {
                control_messages.find_map(|control_message| match control_message {
                    ControlMessageOwned::ScmTimestampns(time) => Some(time),
                    _ => None,
                })
            });
            // The bytes are read, whatever came beside them.
            Ok(Received { bytes: message.bytes, waited: arrived_at.map(waited).unwrap_or_default() })
        })
    }
}

/// The time since an arrival, by the system's clock; zero if that is implausible.
fn waited(arrived_at: TimeSpec) -> Duration {
    let arrived_at = UNIX_EPOCH.checked_add(Duration::from(arrived_at));
    let elapsed = arrived_at.and_then(|at| SystemTime::now().duration_since(at).ok());
    elapsed.filter(|elapsed| *elapsed <= MAX_WAIT).unwrap_or_default()
}
