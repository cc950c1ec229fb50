//! `cache-balancer scale-hollow`: runs hundreds of hollow nodes in one process on one thread.
//!
//! The term comes from Kubemark. Each hollow node consists of the real discovery client with its own
//! connection, the real balancing logic and the real driver, without a data path.

mod node;
mod record;

use crate::config::DiscoveryReplicas;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use balancer_core::discovery;
use node::{HollowNode, SharedSetup};
use record::ActivityRecord;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use testbed::scale::messages::{HollowCommand, HollowEvent, ListedServer, ReplicaCapacity};
use testbed::scale::process::{commands, raise_descriptors, Events, ProcessError};
use tokio::runtime;
use tokio::sync::mpsc::Receiver;
use tokio::sync::watch;
use tokio::task::LocalSet;

type Commands = Receiver<Result<HollowCommand, ProcessError>>;

/// Reads [`HollowCommand`]s from standard input and writes [`HollowEvent`]s to standard output, until the
/// stop command or the end of the input.
///
/// # Errors
///
/// Returns [`ProcessError`] for a command that cannot be read or carried out, and for system errors.
pub fn run() -> Result<(), ProcessError> {
    raise_descriptors()?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ProcessError::system("the runtime"))?;
    let events = Events::start();
    let result = LocalSet::new().block_on(&runtime, serve(commands(), &events));
    events.finish().and(result)
}

async fn serve(mut commands: Commands, events: &Events<HollowEvent>) -> Result<(), ProcessError> {
    let mut nodes = match commands.recv().await.transpose()? {
        Some(HollowCommand::Start {
            first,
            count,
            fleet,
            replicas,
            capacity,
            version,
            servers,
            seed,
            zones,
        }) => {
            let (replicas, watched_replicas) = watch::channel(discovery_replicas(replicas, capacity)?);
            let setup = SharedSetup { fleet, seed, zones, replicas: watched_replicas, record: Rc::default() };
            let mut nodes =
                HollowNodes { first, count, setup, replicas, running: BTreeMap::new(), launches: 0 };
            let initial_list = version.map(|version| endpoint_list(version, servers)).unwrap_or_default();
            nodes.launch((0..count).map(|index| first.saturating_add(index)), &initial_list).await?;
            nodes
        }
        Some(HollowCommand::Stop) | None => return Ok(()),
        Some(_) => return Err(ProcessError::NotStarted),
    };
    events.send(HollowEvent::Started);
    while let Some(command) = commands.recv().await.transpose()? {
        match command {
            HollowCommand::Start { .. } => return Err(ProcessError::StartedTwice),
            HollowCommand::Kill { nodes: killed } => nodes.kill(&killed)?,
            HollowCommand::Launch { nodes: launched } => {
                nodes.launch(launched.into_iter(), &EndpointList::default()).await?;
            }
            HollowCommand::Replicas { replicas } => nodes.replace_replicas(replicas)?,
            HollowCommand::Report => events.send(HollowEvent::Report(nodes.setup.record.take())),
            HollowCommand::Stop => return Ok(()),
        }
    }
    Ok(())
}

/// The hollow nodes of this process.
struct HollowNodes {
    first: u32,
    count: u32,
    setup: SharedSetup,
    replicas: watch::Sender<DiscoveryReplicas>,
    /// Running nodes by number.
    running: BTreeMap<u32, HollowNode>,
    /// Number of launches so far, which is part of the seed of the next launch.
    launches: u64,
}

impl HollowNodes {
    /// Starts the nodes with these numbers and this initial list, and waits until they have applied it. A
    /// node that is already running is replaced.
    async fn launch(
        &mut self,
        numbers: impl Iterator<Item = u32>,
        initial_list: &EndpointList,
    ) -> Result<(), ProcessError> {
        let mut launched = Vec::new();
        for number in numbers {
            self.check_number(number)?;
            self.launches += 1;
            let node = HollowNode::launch(number, &self.setup, self.launches, initial_list.clone());
            launched.push(node.started());
            self.running.insert(number, node);
        }
        for started in launched {
            // Fails for a node that a later launch has replaced.
            let _ = started.await;
        }
        Ok(())
    }

    fn kill(&mut self, numbers: &[u32]) -> Result<(), ProcessError> {
        for number in numbers {
            self.check_number(*number)?;
            self.running.remove(number);
        }
        Ok(())
    }

    /// Makes all nodes poll these replicas from now on. The capacity per replica stays the same.
    fn replace_replicas(&self, replicas: Vec<SocketAddr>) -> Result<(), ProcessError> {
        if replicas.is_empty() {
            return Err(ProcessError::NoReplica);
        }
        self.replicas.send_if_modified(|current| {
            let new = DiscoveryReplicas::new(replicas, current.capacity);
            std::mem::replace(current, new.clone()) != new
        });
        Ok(())
    }

    /// Returns an error if the node with this number does not belong to this process.
    fn check_number(&self, node: u32) -> Result<(), ProcessError> {
        let (first, count) = (self.first, self.count);
        if node.checked_sub(first).is_some_and(|index| index < count) {
            return Ok(());
        }
        Err(ProcessError::ForeignNode { node, first, last: first.saturating_add(count).saturating_sub(1) })
    }
}

/// Returns the discovery service with these replicas, each of this capacity.
fn discovery_replicas(
    replicas: Vec<SocketAddr>,
    capacity: Option<ReplicaCapacity>,
) -> Result<DiscoveryReplicas, ProcessError> {
    if replicas.is_empty() {
        return Err(ProcessError::NoReplica);
    }
    let capacity = capacity.map(|capacity| discovery::ReplicaCapacity {
        lines_per_second: capacity.lines_per_second,
        call_lines: capacity.call_lines,
    });
    Ok(DiscoveryReplicas::new(replicas, capacity))
}

fn endpoint_list(version: u64, servers: Vec<ListedServer>) -> EndpointList {
    let endpoints = servers.into_iter().map(endpoint_record).collect();
    EndpointList { version, is_snapshot: true, endpoints }
}

fn endpoint_record(server: ListedServer) -> EndpointRecord {
    EndpointRecord {
        id: server.host,
        address: Some(server.dial),
        zone: Some(server.site),
        kind: Some(server.class),
        cell: Some(server.block),
        state: server.health.into(),
        weight: Some(server.share),
        started_at_ms: Some(server.born_ms),
    }
}
