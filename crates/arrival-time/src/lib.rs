//! Reads from a TCP socket and reports how long the bytes have waited in the kernel.
//!
//! A process that is starting or is not scheduled reads bytes some time after they arrived. A time
//! limit that counts from the read is then too long by that wait. Linux can record the arrival time of each
//! packet (`SO_TIMESTAMPNS`, see socket(7)), and `recvmsg` returns that of the last bytes read.

use nix::cmsg_space;
use nix::sys::socket::{recvmsg, setsockopt, sockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;
use std::io::{self, IoSliceMut};
use std::os::fd::{AsFd, AsRawFd};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Maximum plausible wait. A longer one is more likely a step of the system clock, and is reported as zero.
pub const MAX_WAIT: Duration = Duration::from_secs(30);

/// Enables arrival timestamps on this socket, and on the connections that it accepts if it is a listener.
/// Returns `false` if the kernel does not support them. The kernel may start to record them some milliseconds
/// after the first such socket of the machine has enabled them.
pub fn enable_arrival_timestamps(socket: &impl AsFd) -> bool {
    setsockopt(socket, sockopt::ReceiveTimestampns, &true).is_ok()
}

/// Reads bytes and their arrival timestamps from one socket.
#[derive(Debug)]
pub struct ArrivalReader {
    /// Buffer for the timestamp of a read, or `None` if the socket does not support timestamps.
    control: Option<Vec<u8>>,
}

/// The result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Received {
    /// The number of bytes read, or 0 at the end of the stream.
    pub bytes: usize,
    /// How long the last of the bytes have waited in the kernel, or zero if that is unknown.
    pub waited: Duration,
}

impl ArrivalReader {
    /// Creates a reader of this socket and enables arrival timestamps on it. If they are not supported, reads
    /// report a wait of zero.
    pub fn new(socket: &TcpStream) -> Self {
        Self { control: enable_arrival_timestamps(socket).then(|| cmsg_space!(TimeSpec)) }
    }

    /// Reads the available bytes without blocking.
    ///
    /// # Errors
    ///
    /// Same as [`TcpStream::try_read`]: [`io::ErrorKind::WouldBlock`] if no bytes are available.
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
            // The bytes have been read, so a missing or unreadable timestamp is not an error.
            Ok(Received { bytes: message.bytes, waited: arrived_at.map(time_since).unwrap_or_default() })
        })
    }
}

/// Returns the time since an arrival by the system clock, or zero if it is implausible.
fn time_since(arrived_at: TimeSpec) -> Duration {
    let arrived_at = UNIX_EPOCH.checked_add(Duration::from(arrived_at));
    let elapsed = arrived_at.and_then(|at| SystemTime::now().duration_since(at).ok());
    elapsed.filter(|elapsed| *elapsed <= MAX_WAIT).unwrap_or_default()
}
