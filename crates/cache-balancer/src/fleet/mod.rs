//! `cache-balancer fleet`: runs, upgrades and drains many instances of one configuration file on one machine,
//! for trials. [`balancer_core::supervisor`] decides on the actions; this module starts the processes and
//! sends the signals.

mod command;
mod files;
mod process;

use crate::config::Config;
use crate::log::log;
use crate::signals::Signals;
use balancer_core::supervisor::{Action, Event, InstanceId, InstanceStatus, Limits, ProcessId, Supervisor};
use balancer_core::Timestamp;
use comfy_table::Table;
use command::Command;
use files::FilesError;
use process::Process;
use rustix::process::Signal as SignalNumber;
use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use thiserror::Error;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::LocalSet;
use tokio::time::{sleep_until, Instant};

/// Runs many instances of one configuration file. Instance 0 uses the ports in the file, and each further
/// instance the next higher ones. `nodes` is set to the number of instances. Reads commands from standard
/// input, one per line: state, roll, reload, drain N, drain all, start N, stop.
#[derive(clap::Args, Debug)]
pub struct Arguments {
    /// Number of instances
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=500))]
    instances: u16,
    /// Path of the configuration file, as for `cache-balancer run`
    #[arg(long)]
    config: PathBuf,
    /// Folder for the files and sockets of the instances; by default a temporary one that is removed at the
    /// end
    #[arg(long)]
    folder: Option<PathBuf>,
}

/// An error that prevents the fleet from starting.
#[derive(Debug, Error)]
enum FleetError {
    #[error("{folder}: {error}", folder = folder.display())]
    Folder { folder: PathBuf, error: io::Error },
    #[error("{0}")]
    Files(#[from] FilesError),
    /// An error from the runtime or from installing a signal handler.
    #[error("{0}")]
    System(#[from] io::Error),
}

/// Runs the fleet until it is stopped and all instances have exited.
pub fn run(arguments: Arguments) -> ExitCode {
    let temporary = arguments.folder.is_none();
    let default_folder = || std::env::temp_dir().join(format!("cache-balancer-fleet-{}", std::process::id()));
    let folder = arguments.folder.clone().unwrap_or_else(default_folder);
    let result = run_in(&folder, &arguments);
    if temporary {
        // A temporary folder that cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(&folder);
    }
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("{error}");
            ExitCode::from(crate::cli::UNUSABLE)
        }
    }
}

fn run_in(folder: &Path, arguments: &Arguments) -> Result<(), FleetError> {
    std::fs::create_dir_all(folder)
        .map_err(|error| FleetError::Folder { folder: folder.to_owned(), error })?;
    let (events, received) = unbounded_channel();
    let fleet = Fleet::new(arguments, folder, events)?;
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, fleet.run(received))
}

struct Fleet {
    config_path: PathBuf,
    folder: PathBuf,
    configs: Vec<Config>,
    limits: Limits,
    supervisor: Supervisor,
    processes: BTreeMap<ProcessId, Process>,
    started_at: Instant,
    timer: Option<Timestamp>,
    events: UnboundedSender<Event>,
}

impl Fleet {
    fn new(arguments: &Arguments, folder: &Path, events: UnboundedSender<Event>) -> Result<Self, FleetError> {
        let instances = usize::from(arguments.instances);
        let folder = std::path::absolute(folder)?;
        let configs = files::configs(&arguments.config, &folder, instances)?;
        files::write(&folder, &configs)?;
        let limits = limits(&configs);
        Ok(Self {
            config_path: arguments.config.clone(),
            folder,
            configs,
            supervisor: Supervisor::new(instances, limits.clone()),
            limits,
            processes: BTreeMap::new(),
            started_at: Instant::now(),
            timer: None,
            events,
        })
    }

    async fn run(mut self, mut events: UnboundedReceiver<Event>) -> Result<(), FleetError> {
        let mut signals = Signals::install()?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut lines = command::lines();
        self.handle(Event::TimerExpired);
        while !self.supervisor.is_finished() {
            let timer = sleep_until_or_forever(self.timer.map(|at| self.instant(at)));
            tokio::select! {
                // `self.events` keeps the channel open.
                Some(event) = events.recv() => self.handle(event),
                () = timer => self.handle(Event::TimerExpired),
                _ = signals.terminate.recv() => self.handle(Event::Stop),
                _ = interrupt.recv() => self.handle(Event::Stop),
                _ = signals.reload.recv() => self.reload(),
                _ = signals.upgrade.recv() => self.handle(Event::Upgrade),
                Some(line) = lines.recv() => self.execute_command(&line),
            }
        }
        log!("all instances have exited");
        Ok(())
    }

    fn execute_command(&mut self, line: &str) {
        match line.parse() {
            Ok(Command::State) => self.print_state(),
            Ok(Command::Reload) => self.reload(),
            Ok(Command::Supervise(event)) => self.handle(event),
            Err(unknown) => log!("{unknown}"),
        }
    }

    fn handle(&mut self, event: Event) {
        if let Event::Exited(process) = event {
            self.processes.remove(&process);
        }
        let now = Timestamp::default() + self.started_at.elapsed();
        let mut actions = Vec::new();
        self.timer = None;
        self.supervisor.handle(now, event, &mut actions);
        for action in actions {
            self.execute_action(action);
        }
    }

    fn execute_action(&mut self, action: Action) {
        match action {
            Action::Start { instance, process } => self.start(instance, process),
            Action::Terminate(process) => self.signal(process, SignalNumber::TERM),
            Action::Kill(process) => self.signal(process, SignalNumber::KILL),
            Action::Reload(process) => self.signal(process, SignalNumber::HUP),
            Action::SetTimer(at) => self.timer = Some(at),
            Action::Log(notice) => log!("{notice}"),
        }
    }

    fn start(&mut self, instance: InstanceId, id: ProcessId) {
        let file = files::path(&self.folder, instance);
        match Process::start(id, &file, self.limits.watchdog_timeout, self.events.clone()) {
            Ok(process) => {
                log!("instance {instance}: process {id} started as {}", process.pid);
                self.processes.insert(id, process);
            }
            Err(error) => {
                log!("instance {instance}: process {id} cannot be started: {error}");
                // Sending cannot fail: the receiving loop runs as long as the fleet.
                let _ = self.events.send(Event::Exited(id));
            }
        }
    }

    fn signal(&self, process: ProcessId, signal: SignalNumber) {
        if let Some(process) = self.processes.get(&process) {
            process.signal(signal);
        }
    }

    /// Reloads the configuration file, rewrites the instances' files, and makes the instances reload them.
    fn reload(&mut self) {
        let written_configs = files::configs(&self.config_path, &self.folder, self.configs.len())
            .and_then(|configs| files::write(&self.folder, &configs).map(|()| configs));
        match written_configs {
            Ok(configs) => {
                self.configs = configs;
                self.handle(Event::Reload);
            }
            Err(error) => log!("configuration rejected: {error}"),
        }
    }

    fn print_state(&self) {
        let mut table = Table::new();
        table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
        table.set_header(["instance", "state", "process", "listens on", "ended by itself", "upgrades"]);
        for (status, config) in self.supervisor.statuses().zip(&self.configs) {
            table.add_row(self.row(status, config));
        }
        println!("{table}");
    }

    fn row(&self, status: InstanceStatus, config: &Config) -> [String; 6] {
        let process = status.process.and_then(|process| self.processes.get(&process));
        let addresses: Vec<_> =
            config.listeners.iter().map(|listener| listener.address.to_string()).collect();
        [
            config.name.clone(),
            status.state.as_str().to_owned(),
            process.map_or("-".to_owned(), |process| process.pid.to_string()),
            addresses.join(", "),
            status.failures.to_string(),
            status.upgrades.to_string(),
        ]
    }

    fn instant(&self, at: Timestamp) -> Instant {
        self.started_at + Duration::from_micros(at.as_micros())
    }
}

/// Returns the limits of the supervisor. The termination timeout includes the probation, during which a
/// process that has handed over stands by for its successor.
fn limits(configs: &[Config]) -> Limits {
    let probations = configs.iter().filter_map(|config| Some(config.handover.as_ref()?.probation));
    let mut limits = Limits::default();
    limits.termination_timeout += probations.max().unwrap_or_default();
    limits
}

async fn sleep_until_or_forever(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => pending().await,
    }
}
