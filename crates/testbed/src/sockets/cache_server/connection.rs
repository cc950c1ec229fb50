//! The connections of a cache server. Their number is limited, and idle ones are closed after a timeout.

use super::respond::respond;
use crate::fleet;
use crate::sockets::context::{Context, Process};
use crate::sockets::faulty_stream::{ConnectionFaults, FaultyStream};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, Instant};

/// Minimum time between two checks of whether a connection is idle.
pub(super) const MIN_IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Accepts connections until the process ends.
pub(super) async fn accept(context: Rc<Context>, process: usize, listener: TcpListener, ended: Rc<Notify>) {
    // Dropping the set aborts its tasks, which closes their sockets.
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = ended.notified() => return,
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn_local(serve(context.clone(), process, stream));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Counts as a connection of a process until it is dropped.
struct ConnectionPermit {
    context: Rc<Context>,
    process: usize,
}

impl ConnectionPermit {
    /// Returns `None` if the process already has its maximum number of connections.
    fn acquire(context: &Rc<Context>, process: usize) -> Option<Self> {
        let mut state = context.state.borrow_mut();
        let Process { model, connections, .. } = &mut state.processes[process];
        if *connections >= model.max_connections() {
            return None;
        }
        *connections += 1;
        Some(Self { context: context.clone(), process })
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.context.state.borrow_mut().processes[self.process].connections -= 1;
    }
}

async fn serve(context: Rc<Context>, process: usize, stream: TcpStream) {
    let Some(_permit) = ConnectionPermit::acquire(&context, process) else { return };
    // This fails only if the node has already closed the connection.
    let _ = stream.set_nodelay(true);
    let (faults, idle_timeout) = {
        let state = context.state.borrow();
        let index = state.servers[state.processes[process].server].index;
        let kind = fleet::server_kind(&context.script, index);
        let idle_timeout = kind.idle_timeout.unwrap_or(context.script.network.idle_timeout);
        (ConnectionFaults::new(state.connection_state_lost_at[index].clone()), idle_timeout)
    };
    let stream = FaultyStream::new(stream, faults.clone());
    let last_arrival = stream.last_arrival();
    let new_connection = Cell::new(true);
    let usage = Rc::new(Usage::new());
    let service = service_fn(|request: Request<Incoming>| {
        let (new_connection, sent_at) = (new_connection.replace(false), last_arrival.get());
        let (context, faults, usage) = (context.clone(), faults.clone(), usage.clone());
        async move {
            usage.begin();
            let response = respond(&context, process, request, sent_at, new_connection, &faults).await;
            usage.end();
            Ok::<_, Infallible>(response)
        }
    });
    let mut serving = pin!(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // Connection errors are ignored here: the node sees them, and the judge sees their effect on
        // requests.
        _ = serving.as_mut() => return,
        () = usage.idle_for(idle_timeout) => {}
    }
    if faults.is_half_open() {
        // The node must not see a half-open connection close.
        return std::future::pending().await;
    }
    serving.as_mut().graceful_shutdown();
    // Errors are ignored for the same reason as above.
    let _ = serving.await;
}

/// Tracks when a connection was last used.
struct Usage {
    busy: Cell<bool>,
    last_used: Cell<Instant>,
}

impl Usage {
    fn new() -> Self {
        Self { busy: Cell::new(false), last_used: Cell::new(Instant::now()) }
    }

    fn begin(&self) {
        self.busy.set(true);
    }

    fn end(&self) {
        self.busy.set(false);
        self.last_used.set(Instant::now());
    }

    /// Waits until the connection has been idle for `idle_timeout`.
    async fn idle_for(&self, idle_timeout: Duration) {
        loop {
            let due = self.last_used.get() + idle_timeout;
            sleep_until(due.max(Instant::now() + MIN_IDLE_CHECK_INTERVAL)).await;
            if !self.busy.get() && self.last_used.get().elapsed() >= idle_timeout {
                return;
            }
        }
    }
}
