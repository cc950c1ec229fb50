//! A process that runs one replica of the stand-in discovery service. The replica answers calls for the whole
//! list and watches over HTTP/1.1 with a fixed capacity, and executes [`ReplicaCommand`]s.

mod address;
mod connection;
mod list;
mod service;

pub use list::CHANGES_KEPT;

use super::messages::{Answering, ReplicaCommand, ReplicaEvent};
use super::process::{commands, raise_descriptors, Events, ProcessError};
use address::ReservedAddress;
use service::Service;
use std::rc::Rc;
use tokio::runtime;
use tokio::sync::mpsc::Receiver;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// The channel of commands for a replica. The replica ends when the channel is closed.
pub type Commands = Receiver<Result<ReplicaCommand, ProcessError>>;

/// Runs a replica that reads [`ReplicaCommand`]s from standard input and writes [`ReplicaEvent`]s to standard
/// output. Returns on the command to stop or at the end of the input.
///
/// # Errors
/// If a command cannot be read or executed, or a system call fails.
pub fn run() -> Result<(), ProcessError> {
    raise_descriptors()?;
    let events = Events::start();
    let served = serve(commands(), |event| events.send(event));
    events.finish().and(served)
}

/// Runs a replica on this thread. `emit` is called with each event of the replica.
///
/// # Errors
/// If a command cannot be executed, or a system call fails.
pub fn serve(commands: Commands, emit: impl Fn(ReplicaEvent)) -> Result<(), ProcessError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ProcessError::system("the runtime"))?;
    LocalSet::new().block_on(&runtime, execute(commands, emit))
}

async fn execute(mut commands: Commands, emit: impl Fn(ReplicaEvent)) -> Result<(), ProcessError> {
    let mut replica = match commands.recv().await.transpose()? {
        Some(ReplicaCommand::Start { listen, capacity, version, servers }) => {
            let address = ReservedAddress::reserve(listen).map_err(ProcessError::system("the address"))?;
            Replica::start(address, Service::new(capacity, version, servers))?
        }
        Some(ReplicaCommand::Stop) | None => return Ok(()),
        Some(_) => return Err(ProcessError::NotStarted),
    };
    emit(ReplicaEvent::Listening { address: replica.address.address() });
    while let Some(command) = commands.recv().await.transpose()? {
        match command {
            ReplicaCommand::Start { .. } => return Err(ProcessError::StartedTwice),
            ReplicaCommand::Change { version, server } => replica.service.change(version, server)?,
            ReplicaCommand::Answer { answering } => replica.set_answering(answering).await?,
            ReplicaCommand::Reset { version, servers } => replica.service.reset(version, servers),
            ReplicaCommand::Report => emit(ReplicaEvent::Report(replica.service.report())),
            ReplicaCommand::Stop => return Ok(()),
        }
    }
    Ok(())
}

/// A running replica.
struct Replica {
    address: ReservedAddress,
    service: Rc<Service>,
    /// The task that accepts connections; `None` while the replica does not listen.
    accepting: Option<JoinHandle<()>>,
}

impl Replica {
    fn start(address: ReservedAddress, service: Service) -> Result<Self, ProcessError> {
        let mut replica = Self { address, service: Rc::new(service), accepting: None };
        replica.listen()?;
        Ok(replica)
    }

    async fn set_answering(&mut self, answering: Answering) -> Result<(), ProcessError> {
        if answering == Answering::Away {
            self.stop_listening().await;
        } else {
            self.listen()?;
        }
        self.service.set_answering(answering);
        Ok(())
    }

    /// Starts to listen, unless the replica already does.
    fn listen(&mut self) -> Result<(), ProcessError> {
        if self.accepting.is_none() {
            let listener = self.address.listen().map_err(ProcessError::system("listening"))?;
            self.accepting = Some(spawn_local(self.service.clone().accept(listener)));
        }
        Ok(())
    }

    /// Closes the listening socket and waits until it is closed.
    async fn stop_listening(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
            // The only error is that the task was aborted.
            let _ = accepting.await;
        }
    }
}
