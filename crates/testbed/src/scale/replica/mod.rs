//! One replica of the stand-in discovery, as a process: it answers whole lists and watches over HTTP/1.1 with a stated
//! capacity, and does what its [`ReplicaCommand`]s say.

mod address;
mod connection;
mod list;
mod queue;
mod service;

pub use list::CHANGES_KEPT;

use super::messages::{Answering, ReplicaCommand, ReplicaEvent};
use super::process::{commands, raise_descriptors, Events, ProcessError};
use address::HeldAddress;
use service::Service;
use std::rc::Rc;
use tokio::runtime;
use tokio::sync::mpsc::Receiver;
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// What a replica is told, in its order; it ends with the channel.
pub type Commands = Receiver<Result<ReplicaCommand, ProcessError>>;

/// Reads [`ReplicaCommand`]s from standard input and writes [`ReplicaEvent`]s to standard output. It ends with the command
/// to stop, or with its input.
///
/// # Errors
/// When a command cannot be read or carried out, or the system fails it.
pub fn run() -> Result<(), ProcessError> {
    raise_descriptors()?;
    let events = Events::start();
    let served = serve(commands(), |event| events.send(event));
    events.finish().and(served)
}

/// The same with these commands, on this thread.
///
/// # Errors
/// When a command cannot be carried out, or the system fails it.
pub fn serve(commands: Commands, say: impl Fn(ReplicaEvent)) -> Result<(), ProcessError> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(ProcessError::system("the runtime"))?;
    LocalSet::new().block_on(&runtime, carry_out(commands, say))
}

async fn carry_out(mut commands: Commands, say: impl Fn(ReplicaEvent)) -> Result<(), ProcessError> {
    let mut replica = match commands.recv().await.transpose()? {
        Some(ReplicaCommand::Start { listen, capacity, version, servers }) => {
            let address = HeldAddress::hold(listen).map_err(ProcessError::system("the address"))?;
            Replica::start(address, Service::new(capacity, version, servers))?
        }
        Some(ReplicaCommand::Stop) | None => return Ok(()),
        Some(_) => return Err(ProcessError::NotStarted),
    };
    say(ReplicaEvent::Listening { address: replica.address.address() });
    while let Some(command) = commands.recv().await.transpose()? {
        match command {
            ReplicaCommand::Start { .. } => return Err(ProcessError::StartedTwice),
            ReplicaCommand::Change { version, server } => replica.service.change(version, server)?,
            ReplicaCommand::Answer { answering } => replica.answer_like(answering).await?,
            ReplicaCommand::Reset { version, servers } => replica.service.reset(version, servers),
            ReplicaCommand::Report => say(ReplicaEvent::Report(replica.service.report())),
            ReplicaCommand::Stop => return Ok(()),
        }
    }
    Ok(())
}

/// A replica that has begun.
struct Replica {
    address: HeldAddress,
    service: Rc<Service>,
    /// What accepts connections; `None` while it is away.
    accepting: Option<JoinHandle<()>>,
}

impl Replica {
    fn start(address: HeldAddress, service: Service) -> Result<Self, ProcessError> {
        let mut replica = Self { address, service: Rc::new(service), accepting: None };
        replica.listen()?;
        Ok(replica)
    }

    async fn answer_like(&mut self, answering: Answering) -> Result<(), ProcessError> {
        if answering == Answering::Away {
            self.stop_listening().await;
        } else {
            self.listen()?;
        }
        self.service.answer_like(answering);
        Ok(())
    }

    /// Listens, unless it does already.
    fn listen(&mut self) -> Result<(), ProcessError> {
        if self.accepting.is_none() {
            let listener = self.address.listen().map_err(ProcessError::system("listening"))?;
            self.accepting = Some(spawn_local(self.service.clone().accept(listener)));
        }
        Ok(())
    }

    /// Gives the listening socket up; it is closed by the time that this ends.
    async fn stop_listening(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
            // It was aborted: there is nothing to be told.
            let _ = accepting.await;
        }
    }
}
