//! Accepts connections.

use super::connection::serve_connection;
use super::Frontend;
use crate::frontend::connections::{ConnectionTable, TrackedConnection};
use crate::log::log;
use crate::shutdown_phase::ShutdownPhase;
use socket2::SockRef;
use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};
use tokio::time::{sleep, timeout};

/// The pause after a failed accept (no descriptor left, say): tried again at once, it would fail and spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The largest number of connections that the system holds unaccepted: the backlog that tokio asks for. It is
/// also used for inherited sockets, whose own backlog may differ.
const LISTEN_BACKLOG: usize = 1024;
/// The pause before a full table, in which no connection can be evicted yet, is tried again.
const FULL_TABLE_RETRY_DELAY: Duration = Duration::from_millis(10);
/// A connection that was asked to make room has done so by then, or a request has arrived on it.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(100);

/// Accepts and serves connections until `shutdown_phase` is [`ShutdownPhase::Closing`] or
/// [`ShutdownPhase::HandedOver`]. All listeners together hold the frontend's connection permits; further connections
/// wait unaccepted.
pub async fn serve(
    listener: Rc<TcpListener>,
    shutdown_phase: watch::Receiver<ShutdownPhase>,
    frontend: Rc<Frontend>,
) {
    let mut watched = shutdown_phase.clone();
    loop {
        let now = *watched.borrow_and_update();
        match now {
            ShutdownPhase::Serving | ShutdownPhase::Draining => {}
            ShutdownPhase::Paused | ShutdownPhase::StandingBy => {
                // The sender goes only when the node stops.
                let _ = watched.changed().await;
                continue;
            }
            ShutdownPhase::HandedOver => return,
            ShutdownPhase::Closing => break,
        }
        let accepted = tokio::select! {
            // A connection that has been accepted by then is served: it comes before the change of the phase.
            biased;
            accepted = accept(&listener, &frontend.connection_permits, &frontend.table) => accepted,
            _ = watched.changed() => continue,
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

/// Serves the connections that wait in the system's queue as the node closes, as permits become free.
///
/// Guarded against: the system has completed their handshake, so their clients may have sent a request, and
/// would see a reset when the listener closes. The number of accepts is bounded by the length of the queue.
async fn serve_backlog(
    listener: &TcpListener,
    shutdown_phase: &watch::Receiver<ShutdownPhase>,
    frontend: &Rc<Frontend>,
) {
    for _ in 0..LISTEN_BACKLOG {
        let Ok(permit) = frontend.connection_permits.clone().acquire_owned().await else { break };
        match accept_queued(listener) {
            Ok(stream) => spawn_connection(stream, permit, shutdown_phase, frontend),
            Err(error) if error.kind() == ErrorKind::WouldBlock => break,
            Err(_) => {}
        }
    }
}

/// Accepts from the system and not by the runtime, which does not know of what came since it was last polled.
fn accept_queued(listener: &TcpListener) -> io::Result<TcpStream> {
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
    // It enters the table at once: an eviction before its task is first polled must see it.
    let connection = TrackedConnection::new(frontend.table.clone(), stream);
    tokio::task::spawn_local(async move {
        serve_connection(connection, shutdown_phase, frontend).await;
        drop(permit);
    });
}

/// Waits for a permit, then for a connection.
///
/// The permit comes first, and idle connections are evicted for it before a client is seen to wait: the
/// system completes handshakes and takes requests on connections that the node has not accepted, so a client
/// in the queue of a full table would wait in vain while others keep connections that they do not use.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    table: &ConnectionTable,
) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = loop {
        while permits.available_permits() == 0 && !table.evict_one() {
            sleep(FULL_TABLE_RETRY_DELAY).await;
        }
        // The connection that was asked to close stays open if a request arrives on it just then: another has
        // to.
        if let Ok(permit) = timeout(EVICTION_TIMEOUT, permits.clone().acquire_owned()).await {
            break permit.map_err(io::Error::other)?;
        }
    };
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}
