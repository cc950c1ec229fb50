//! Accepts client connections.

use super::connection::serve_connection;
use super::Frontend;
use crate::frontend::connections::{ConnectionTable, TrackedConnection};
use crate::log::log;
use crate::shutdown_phase::ShutdownPhase;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

/// Delay after a failed accept, for example when no file descriptor is left. An immediate retry would fail
/// again and spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of connections in the kernel's accept queue. The value is also assumed for inherited sockets,
/// whose backlog may differ.
const LISTEN_BACKLOG: u32 = 1024;
/// Delay before another eviction attempt when the table is full and no connection can be evicted yet.
const FULL_TABLE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum wait for an evicted connection to close. It stays open if a request has arrived on it.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(100);

/// Listens on this address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts and serves connections until `shutdown_phase` is [`ShutdownPhase::Closing`] or
/// [`ShutdownPhase::HandedOver`]. All listeners share the frontend's connection permits. When none is free,
/// further connections wait in the kernel's accept queue.
pub async fn serve(
    listener: Rc<TcpListener>,
    shutdown_phase: watch::Receiver<ShutdownPhase>,
    frontend: Rc<Frontend>,
) {
    let mut phase_changes = shutdown_phase.clone();
    loop {
        let phase = *phase_changes.borrow_and_update();
        match phase {
            ShutdownPhase::Serving | ShutdownPhase::Draining => {}
            ShutdownPhase::Paused | ShutdownPhase::StandingBy => {
                // The sender is dropped only when the node stops.
                let _ = phase_changes.changed().await;
                continue;
            }
            ShutdownPhase::HandedOver => return,
            ShutdownPhase::Closing => break,
        }
        let accepted = tokio::select! {
            // The accept is polled before the phase change, so that an accepted connection is served.
            biased;
            accepted = accept_with_permit(&listener, &frontend.connection_permits, &frontend.table) => {
                accepted
            }
            _ = phase_changes.changed() => continue,
        };
        match accepted {
            Ok((stream, permit)) => spawn_connection(stream, permit, &shutdown_phase, &frontend),
            Err(error) => {
                log!("accept: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    log!("no further clients are accepted");
    serve_backlog(&listener, &shutdown_phase, &frontend).await;
}

/// Serves the connections that are in the kernel's accept queue when the node closes, as permits become free.
///
/// The kernel has completed their handshakes, so their clients may have sent a request already, and would see
/// a reset when the listener closes. The number of accepts is bounded by the length of the queue.
async fn serve_backlog(
    listener: &TcpListener,
    shutdown_phase: &watch::Receiver<ShutdownPhase>,
    frontend: &Rc<Frontend>,
) {
    for _ in 0..LISTEN_BACKLOG {
        let Ok(permit) = frontend.connection_permits.clone().acquire_owned().await else { break };
        match accept_from_kernel(listener) {
            Ok(stream) => spawn_connection(stream, permit, shutdown_phase, frontend),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(_) => {}
        }
    }
}

/// Calls accept(2) directly. The runtime does not report connections that arrived since it last polled.
fn accept_from_kernel(listener: &TcpListener) -> io::Result<TcpStream> {
    let (socket, _) = SockRef::from(listener).accept()?;
    socket.set_nonblocking(true)?;
    TcpStream::from_std(socket.into())
}

fn spawn_connection(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    shutdown_phase: &watch::Receiver<ShutdownPhase>,
    frontend: &Rc<Frontend>,
) {
    let (shutdown_phase, frontend) = (shutdown_phase.clone(), frontend.clone());
    // The connection enters the table here and not in its task, so that an eviction before the task is first
    // polled sees it.
    let connection = TrackedConnection::new(frontend.table.clone(), stream);
    tokio::task::spawn_local(async move {
        serve_connection(connection, shutdown_phase, frontend).await;
        drop(permit);
    });
}

/// Waits for a permit, then for a connection.
///
/// The permit is acquired first, and connections are evicted for it even if no client waits yet. The kernel
/// completes handshakes and takes requests on connections that the node has not accepted. Without the
/// eviction, a client in the accept queue of a full table would wait in vain while others keep connections
/// that they do not use.
async fn accept_with_permit(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    table: &ConnectionTable,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = loop {
        while permits.available_permits() == 0 && !table.evict_one() {
            sleep(FULL_TABLE_RETRY_DELAY).await;
        }
        // An evicted connection stays open if a request arrives on it at that moment. After the timeout
        // another one is evicted.
        if let Ok(permit) = timeout(EVICTION_TIMEOUT, permits.clone().acquire_owned()).await {
            break permit.map_err(io::Error::other)?;
        }
    };
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}
