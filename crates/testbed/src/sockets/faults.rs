//! Applies the fault schedule on sockets.

use super::context::Context;
use super::{cache_server, discovery, node};
use crate::fault_schedule::{changes, Change, ServerCondition};
use balancer_core::EndpointState;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

/// Applies each change of the fault schedule at its time.
pub(super) async fn apply_all(context: Rc<Context>) {
    for (at, change) in changes(&context.script) {
        sleep_until(context.started_at.get() + at).await;
        apply(&context, change).await;
    }
}

async fn apply(context: &Rc<Context>, change: Change) {
    match change {
        Change::Drain { index } => drain(context, index),
        Change::Stop { index } => {
            if let Some(process) = context.process_at(index) {
                cache_server::stop(context, process);
            }
        }
        Change::Start { index, same_id, same_address } => {
            cache_server::restart(context, index, same_id, same_address).await;
        }
        Change::Pause { index, duration } => pause(context, index, duration),
        Change::SetCondition { index, condition } => set_condition(context, index, condition),
        Change::LoseConnectionState { index } => {
            context.state.borrow().connection_state_lost_at[index].set(Some(Instant::now()));
        }
        Change::UpgradeNode { node } => drop(spawn_local(node::upgrade(context.clone(), node))),
        Change::ReloadNode { node } => node::reload(context, node),
        Change::RestartNode { node, killed, downtime } => {
            spawn_local(node::restart(context.clone(), node, killed, downtime));
        }
        Change::SetOriginSlowdown { factor } => context.state.borrow_mut().origin.set_slowdown(factor),
        Change::SetDiscoveryAvailable { available } => {
            context.discovery.available.send_replace(available);
        }
        Change::SetDiscoveryErrors { rate } => context.discovery.error_rate.set(rate),
    }
}

fn drain(context: &Rc<Context>, index: usize) {
    let Some(process) = context.process_at(index) else { return };
    let server = {
        let mut state = context.state.borrow_mut();
        state.processes[process].model.drain();
        state.server_at[index]
    };
    discovery::detect_state_later(context, server, EndpointState::Draining, None);
}

fn pause(context: &Context, index: usize, duration: Duration) {
    let Some(process) = context.process_at(index) else { return };
    let now = context.now();
    let mut state = context.state.borrow_mut();
    state.processes[process].model.pause(now, duration);
    state.processes[process].changed.notify_one();
}

fn set_condition(context: &Context, index: usize, condition: ServerCondition) {
    let process = context.process_at(index);
    let mut state = context.state.borrow_mut();
    state.conditions[index].send_replace(condition);
    if let Some(process) = process {
        state.processes[process].model.set_extra_error_rate(condition.error_rate);
    }
}
