//! `cache-balancer scale-hollow`: hollow nodes, hundreds in one process on one thread. Each is the real client of discovery with a
//! connection of its own, the real decisions and the real driver, and has no clients.

mod node;
mod record;

use crate::config::DiscoveryReplicas;
use crate::listing::{Host, Listing};
use balancer_core::discovery;
use node::{Common, HollowNode};
use record::Record;
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

/// Reads [`HollowCommand`]s from standard input and writes [`HollowEvent`]s to standard output. It ends with the command to
/// stop, or with its input.
pub fn run() -> Result<(), ProcessError> {
    raise_descriptors()?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ProcessError::system("the runtime"))?;
    let events = Events::start();
    let served = LocalSet::new().block_on(&runtime, serve(commands(), &events));
    events.finish().and(served)
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
            let (replicas, asked) = watch::channel(service(replicas, capacity)?);
            let common = Common { fleet, seed, zones, replicas: asked, record: Rc::default() };
            let mut nodes =
                HollowNodes { first, count, common, replicas, running: BTreeMap::new(), launches: 0 };
            let known = version.map(|version| listing(version, servers)).unwrap_or_default();
            nodes.launch((0..count).map(|place| first.saturating_add(place)), &known).await?;
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
                nodes.launch(launched.into_iter(), &Listing::default()).await?;
            }
            HollowCommand::Replicas { replicas } => nodes.ask(replicas)?,
            HollowCommand::Report => events.send(HollowEvent::Report(nodes.common.record.take())),
            HollowCommand::Stop => return Ok(()),
        }
    }
    Ok(())
}

/// The hollow nodes of this process.
struct HollowNodes {
    first: u32,
    count: u32,
    common: Common,
    replicas: watch::Sender<DiscoveryReplicas>,
    /// Those that are up, by number.
    running: BTreeMap<u32, HollowNode>,
    /// How many were launched, so that each draws numbers of its own.
    launches: u64,
}

impl HollowNodes {
    /// Starts these with that list, in place of those that are up, and waits until they have begun.
    async fn launch(
        &mut self,
        numbers: impl Iterator<Item = u32>,
        known: &Listing,
    ) -> Result<(), ProcessError> {
        let mut launched = Vec::new();
        for number in numbers {
            self.own(number)?;
            self.launches += 1;
            let node = HollowNode::launch(number, &self.common, self.launches, known.clone());
            launched.push(node.begun());
            self.running.insert(number, node);
        }
        for begun in launched {
            // One that is up again already has begun too.
            let _ = begun.await;
        }
        Ok(())
    }

    fn kill(&mut self, numbers: &[u32]) -> Result<(), ProcessError> {
        for number in numbers {
            self.own(*number)?;
            self.running.remove(number);
        }
        Ok(())
    }

    /// Has all nodes ask these from here on, of whom each can do as much as those before.
    fn ask(&self, replicas: Vec<SocketAddr>) -> Result<(), ProcessError> {
        if replicas.is_empty() {
            return Err(ProcessError::NoReplica);
        }
        self.replicas.send_if_modified(|held| {
            let wanted = DiscoveryReplicas::new(replicas, held.capacity);
            std::mem::replace(held, wanted.clone()) != wanted
        });
        Ok(())
    }

    /// Whether this is a number of this process's.
    fn own(&self, node: u32) -> Result<(), ProcessError> {
        let (first, count) = (self.first, self.count);
        if node.checked_sub(first).is_some_and(|place| place < count) {
            return Ok(());
        }
        Err(ProcessError::ForeignNode { node, first, last: first.saturating_add(count).saturating_sub(1) })
    }
}

/// The service that these replicas are, each of that capacity.
fn service(
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

fn listing(version: u64, servers: Vec<ListedServer>) -> Listing {
    Listing { seq: version, whole: true, hosts: servers.into_iter().map(host).collect() }
}

fn host(server: ListedServer) -> Host {
    Host {
        host: server.host,
        dial: Some(server.dial),
        site: Some(server.site),
        class: Some(server.class),
        block: Some(server.block),
        health: server.health,
        share: Some(server.share),
        born_ms: Some(server.born_ms),
    }
}
