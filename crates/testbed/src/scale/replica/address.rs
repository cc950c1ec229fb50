//! The address of a replica, which stays reserved while nothing listens there.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// The backlog of the listening socket; the system may have a lower limit.
const BACKLOG: u32 = 16_384;

/// An address that is reserved by a socket that is bound and does not listen: connections are refused, and the system does not
/// give the port to another socket, which it would soon do on a machine with thousands of connections.
#[derive(Debug)]
pub struct HeldAddress {
    address: SocketAddr,
    _holder: TcpSocket,
}

impl HeldAddress {
    /// Reserves an address; the system chooses the port if it is 0.
    pub fn hold(wanted: SocketAddr) -> io::Result<Self> {
        let holder = bind(wanted)?;
        Ok(Self { address: holder.local_addr()?, _holder: holder })
    }

    /// The address, with its port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens there, until the listener is dropped.
    pub fn listen(&self) -> io::Result<TcpListener> {
        bind(self.address)?.listen(BACKLOG)
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
