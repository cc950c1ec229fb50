//! The address of a replica, which stays reserved while the replica does not listen.

use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Backlog of the listening socket. The system may impose a lower limit.
const BACKLOG: u32 = 16_384;

/// An address reserved by a socket that is bound but does not listen. Connections to it are refused. The
/// system does not assign the port to another socket, which would soon happen on a machine with thousands of
/// connections.
#[derive(Debug)]
pub struct ReservedAddress {
    address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedAddress {
    /// Reserves an address. The system chooses the port if it is 0.
    pub fn reserve(requested: SocketAddr) -> io::Result<Self> {
        let socket = bind(requested)?;
        Ok(Self { address: socket.local_addr()?, _socket: socket })
    }

    /// Returns the address with the port in use.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens on the address until the returned listener is dropped.
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
