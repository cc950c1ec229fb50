//! Cache servers on sockets. Each process has a task that drives its [`CacheServer`] model in real time.

mod connection;
mod respond;
#[cfg(test)]
mod tests;

pub(super) use respond::response_body;

use super::context::{sleep_until_or_forever, unix_ms, Context, Process, Server, State};
use super::discovery;
use super::error::SocketRunError;
use crate::attempt_id::AttemptId;
use crate::fleet;
use crate::judge::Observation;
use crate::models::cache_server::{JobId, ServerOutput};
use crate::models::CacheServer;
use crate::placement;
use arrival_time::enable_arrival_timestamps;
use balancer_core::{Endpoint, EndpointState, Timestamp};
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// The result of a cache server's job.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobResult {
    failed: bool,
    hit: bool,
}

/// Starts the initial cache servers, warm and with their initial entries.
pub(super) async fn start_all(context: &Rc<Context>) -> Result<(), SocketRunError> {
    for index in 0..fleet::server_count(&context.script) {
        context.state.borrow_mut().server_at.push(index);
        let listener =
            listen(None).await.map_err(SocketRunError::system("binding a cache server's socket"))?;
        start_server(context, index, listener, true);
    }
    fill_caches(context);
    Ok(())
}

fn fill_caches(context: &Context) {
    let mut state = context.state.borrow_mut();
    let endpoint = |server: &Server| -> Endpoint {
        let id = server.name.as_str().into();
        fleet::endpoint(&context.script, id, server.index, server.state, None)
    };
    let list: Vec<_> = state.servers.iter().map(endpoint).collect();
    let process_of: HashMap<_, _> = list
        .iter()
        .zip(&state.servers)
        .filter_map(|(endpoint, server)| Some((endpoint.id.clone(), server.process?)))
        .collect();
    for (server, key) in placement::initial_entries(&context.script, list) {
        state.processes[process_of[&server]].model.insert_entry(key);
    }
}

async fn listen(address: Option<SocketAddr>) -> io::Result<TcpListener> {
    let listener =
        TcpListener::bind(address.unwrap_or_else(|| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))).await?;
    // Attempts on connections that are not yet accepted count from their time of arrival, too.
    enable_arrival_timestamps(&listener);
    Ok(listener)
}

/// Adds a server with a new name and starts its process.
fn start_server(context: &Rc<Context>, index: usize, listener: TcpListener, warm: bool) {
    // A bound listener always has an address.
    let Ok(address) = listener.local_addr() else { return };
    let server = {
        let mut state = context.state.borrow_mut();
        let predecessors = state.servers.iter().filter(|server| server.index == index).count();
        let name = fleet::server_name(&context.script, index, predecessors);
        let zone = fleet::server_zone(&context.script, index);
        let judge_number = context.judge.borrow_mut().add_server(&name, zone, fleet::server_cell(index));
        let server = state.servers.len();
        state.server_at[index] = server;
        state.servers.push(Server {
            name,
            index,
            judge_number,
            process: None,
            address,
            state: if warm { EndpointState::Ready } else { EndpointState::Removed },
            started_unix_ms: 0,
            version: 0,
        });
        server
    };
    start_process(context, server, listener, warm);
}

/// Starts a process of a server.
fn start_process(context: &Rc<Context>, server: usize, listener: TcpListener, warm: bool) {
    let script = &context.script;
    let mut state = context.state.borrow_mut();
    let index = state.servers[server].index;
    let kind = fleet::server_kind(script, index).clone();
    let mut model =
        CacheServer::new(kind, script.rules.clone(), script.load_reports.clone(), context.now(), warm);
    model.set_extra_error_rate(state.conditions[index].borrow().error_rate);
    let process = state.processes.len();
    let (changed, ended) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
    let accepting = spawn_local(connection::accept(context.clone(), process, listener, ended.clone()));
    state.processes.push(Process {
        server,
        model,
        alive: true,
        connections: 0,
        changed,
        ended,
        accepting: Some(accepting),
    });
    state.servers[server].process = Some(process);
    drop(state);
    spawn_local(drive(context.clone(), process));
}

/// Starts a cold process at an index where none runs.
pub(super) async fn restart(context: &Rc<Context>, index: usize, same_id: bool, same_address: bool) {
    let (server, address, previous) = {
        let mut state = context.state.borrow_mut();
        let server = state.server_at[index];
        if state.servers[server].process.is_some() {
            return;
        }
        let address = state.servers[server].address;
        let previous = state.processes.iter_mut().rfind(|process| process.server == server && !process.alive);
        (server, address, previous.and_then(|process| process.accepting.take()))
    };
    if let Some(previous) = previous {
        // The address is free as soon as the task has ended, even if it was aborted.
        let _ = previous.await;
    }
    let listener = match listen(same_address.then_some(address)).await {
        Ok(listener) => listener,
        Err(error) => {
            let operation = format!("a cache server does not start again at {address}");
            return context.abort(SocketRunError::System { context: operation, error });
        }
    };
    if same_id {
        start_process(context, server, listener, false);
    } else {
        start_server(context, index, listener, false);
    }
    let server = context.state.borrow().server_at[index];
    discovery::detect_state_later(context, server, EndpointState::Ready, Some(unix_ms()));
}

/// Ends a process: its connections are closed, and its jobs are lost.
pub(super) fn stop(context: &Rc<Context>, process: usize) {
    let server = {
        let mut state = context.state.borrow_mut();
        let process = &mut state.processes[process];
        if !std::mem::replace(&mut process.alive, false) {
            return;
        }
        process.ended.notify_waiters();
        process.ended.notify_one();
        process.changed.notify_one();
        let server = process.server;
        state.servers[server].process = None;
        server
    };
    discovery::detect_state_later(context, server, EndpointState::Removed, None);
}

/// Drives the model of a process until the process ends.
async fn drive(context: Rc<Context>, process: usize) {
    loop {
        let (next, changed) = {
            let state = context.state.borrow();
            let Process { model, alive, changed, .. } = &state.processes[process];
            if !alive {
                return;
            }
            (model.next_wakeup().map(|at| context.instant(at)), changed.clone())
        };
        tokio::select! {
            () = sleep_until_or_forever(next) => {}
            () = changed.notified() => {}
        }
        let now = context.now();
        let mut state = context.state.borrow_mut();
        if !state.processes[process].alive {
            return;
        }
        let mut outputs = Vec::new();
        state.processes[process].model.advance(now, &mut outputs);
        for output in outputs {
            match output {
                ServerOutput::Fetch(job) => fetch(&context, &mut state, process, job, now),
                ServerOutput::Finished { id, failed, hit } => {
                    finish(&context, &mut state, process, id, JobResult { failed, hit }, now);
                }
            }
        }
    }
}

fn fetch(context: &Context, state: &mut State, process: usize, job: JobId, now: Timestamp) {
    let AttemptId { request, attempt } = AttemptId::of_job(job);
    let request = &state.requests[request as usize];
    let random = state.operations[request.operation].request_random(request.ordinal);
    if state.origin.fetch(now, job, random.derive(12).derive(attempt)) {
        let queued = state.origin.queued();
        state.statistics.fetches_accepted += 1;
        state.statistics.longest_origin_queue = state.statistics.longest_origin_queue.max(queued);
        state.fetch_processes.insert(job, process);
        context.origin_changed.notify_one();
    } else {
        state.statistics.fetches_rejected += 1;
        state.processes[process].model.fetch_ended(now, job, false);
    }
}

fn finish(
    context: &Context,
    state: &mut State,
    process: usize,
    job: JobId,
    result: JobResult,
    now: Timestamp,
) {
    let request = AttemptId::of_job(job).request;
    let server = state.servers[state.processes[process].server].judge_number;
    context.record(Observation::Executed { request, server, at: now });
    state.statistics.hits += u64::from(result.hit);
    state.statistics.misses += u64::from(!result.hit);
    if let Some(waiter) = state.job_waiters.remove(&job) {
        // An error means that the node has closed the connection. The job still counts as executed.
        let _ = waiter.send(result);
    }
}
