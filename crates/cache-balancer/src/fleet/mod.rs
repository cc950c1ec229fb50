//! `cache-balancer fleet`: many instances of one file on one machine, kept going, rolled and drained, for trials. What is done
//! when is decided in [`balancer_core::supervise`].

mod files;
mod process;

use crate::config::Config;
use crate::log::log;
use balancer_core::supervise::{Action, Event, Limits, ProcessId, Supervisor};
use balancer_core::Timestamp;
use comfy_table::Table;
use process::Process;
use rustix::process::Signal as Kill;
use std::collections::BTreeMap;
use std::error::Error;
use std::io::BufRead;
use std::path::PathBuf;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;
use tokio::runtime;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::LocalSet;
use tokio::time::{sleep_until, Instant};

/// What can be said while it runs.
const COMMANDS: &str = "state, roll, reload, drain N, drain all, start N and stop";

/// Keeps many instances of one file going. Instance 0 listens where the file says, each further one a port higher; `nodes`
/// is the number of instances. Reads commands, a line each: state, roll, reload, drain N, drain all, start N, stop.
#[derive(clap::Args, Debug)]
pub struct Arguments {
    /// How many
    #[arg(long, value_parser = clap::value_parser!(u16).range(1..=500))]
    instances: u16,
    /// The file, as for `cache-balancer run`
    #[arg(long)]
    config: PathBuf,
    /// Where the instances' files and sockets are; by default a folder of its own that goes with it
    #[arg(long)]
    folder: Option<PathBuf>,
}

/// A command that was said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Said {
    State,
    Reload,
    Do(Event),
}

#[derive(Debug, Error)]
#[error("expected one of {COMMANDS}, found \"{0}\"")]
struct Unknown(String);

impl FromStr for Said {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        let words: Vec<_> = text.split_whitespace().collect();
        let unknown = |_| Unknown(text.chars().take(80).collect());
        Ok(match words[..] {
            ["state"] => Self::State,
            ["reload"] => Self::Reload,
            ["roll"] => Self::Do(Event::Roll),
            ["stop"] => Self::Do(Event::Stop),
            ["drain", "all"] => Self::Do(Event::DrainAll),
            ["drain", number] => Self::Do(Event::Drain(number.parse().map_err(unknown)?)),
            ["start", number] => Self::Do(Event::Start(number.parse().map_err(unknown)?)),
            _ => return Err(Unknown(text.chars().take(80).collect())),
        })
    }
}

/// Runs until all instances are told to stop and have ended.
pub fn run(arguments: Arguments) -> ExitCode {
    let made = arguments.folder.is_none();
    let own = || std::env::temp_dir().join(format!("cache-balancer-fleet-{}", std::process::id()));
    let folder = arguments.folder.clone().unwrap_or_else(own);
    let ended = std::fs::create_dir_all(&folder)
        .map_err(|error| format!("{}: {error}", folder.display()).into())
        .and_then(|()| Fleet::new(arguments, folder.clone()))
        .and_then(|fleet| {
            let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
            LocalSet::new().block_on(&runtime, fleet.serve())
        });
    if made {
        // What is left in it is of no use to anyone.
        let _ = std::fs::remove_dir_all(&folder);
    }
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log!("{error}");
            ExitCode::from(crate::UNUSABLE)
        }
    }
}

struct Fleet {
    config: PathBuf,
    folder: PathBuf,
    configurations: Vec<Config>,
    limits: Limits,
    supervisor: Supervisor,
    processes: BTreeMap<ProcessId, Process>,
    begun: Instant,
    wake: Option<Timestamp>,
    events: UnboundedSender<Event>,
    heard: Option<UnboundedReceiver<Event>>,
}

impl Fleet {
    fn new(arguments: Arguments, folder: PathBuf) -> Result<Self, Box<dyn Error>> {
        let instances = usize::from(arguments.instances);
        let folder = std::path::absolute(folder)?;
        let configurations = files::configurations(&arguments.config, &folder, instances)?;
        files::write(&folder, &configurations)?;
        let stand_by =
            configurations.iter().filter_map(|config| Some(config.hand_over.as_ref()?.probation)).max();
        let limits = Limits::default();
        let limits = Limits { ends_within: limits.ends_within + stand_by.unwrap_or_default(), ..limits };
        let (events, heard) = unbounded_channel();
        Ok(Self {
            config: arguments.config,
            folder,
            configurations,
            supervisor: Supervisor::new(instances, limits.clone()),
            limits,
            processes: BTreeMap::new(),
            begun: Instant::now(),
            wake: None,
            events,
            heard: Some(heard),
        })
    }

    async fn serve(mut self) -> Result<(), Box<dyn Error>> {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let mut roll = signal(SignalKind::user_defined2())?;
        let mut said = commands();
        let Some(mut heard) = self.heard.take() else { return Ok(()) };
        self.handle(Event::Timer);
        while !self.supervisor.is_over() {
            let wake = self.wake;
            let begun = self.begun;
            let timer = async {
                match wake {
                    Some(at) => sleep_until(begun + Duration::from_micros(at.as_micros())).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                // The sending end is held here.
                Some(event) = heard.recv() => self.handle(event),
                () = timer => self.handle(Event::Timer),
                _ = terminate.recv() => self.handle(Event::Stop),
                _ = interrupt.recv() => self.handle(Event::Stop),
                _ = hangup.recv() => self.reload(),
                _ = roll.recv() => self.handle(Event::Roll),
                Some(line) = said.recv() => match line.parse() {
                    Ok(Said::State) => self.show(),
                    Ok(Said::Reload) => self.reload(),
                    Ok(Said::Do(event)) => self.handle(event),
                    Err(unknown) => log!("{unknown}"),
                },
            }
        }
        log!("all instances have ended");
        Ok(())
    }

    fn handle(&mut self, event: Event) {
        if let Event::Ended(process) = event {
            self.processes.remove(&process);
        }
        let now = Timestamp::default() + self.begun.elapsed();
        let mut actions = Vec::new();
        self.wake = None;
        self.supervisor.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Start { instance, process } => self.start(instance, process),
                Action::Terminate(process) => self.signal(process, Kill::TERM),
                Action::Kill(process) => self.signal(process, Kill::KILL),
                Action::Reload(process) => self.signal(process, Kill::HUP),
                Action::Wake(at) => self.wake = Some(at),
                Action::Log(text) => log!("{text}"),
            }
        }
    }

    fn start(&mut self, instance: usize, id: ProcessId) {
        let file = files::path(&self.folder, instance);
        match Process::start(id, &file, self.limits.alive_within, self.events.clone()) {
            Ok(process) => {
                log!("instance {instance}: process {id} started as {}", process.pid);
                self.processes.insert(id, process);
            }
            Err(error) => {
                log!("instance {instance}: process {id} cannot be started: {error}");
                // The receiving end is read by this very program.
                let _ = self.events.send(Event::Ended(id));
            }
        }
    }

    fn signal(&self, process: ProcessId, signal: Kill) {
        if let Some(process) = self.processes.get(&process) {
            process.signal(signal);
        }
    }

    /// Takes the file anew: the instances' files are made from it, and these read.
    fn reload(&mut self) {
        let taken = files::configurations(&self.config, &self.folder, self.configurations.len())
            .and_then(|taken| files::write(&self.folder, &taken).map(|()| taken));
        match taken {
            Ok(configurations) => {
                self.configurations = configurations;
                self.handle(Event::Reload);
            }
            Err(error) => log!("configuration not taken: {error}"),
        }
    }

    fn show(&self) {
        let mut table = Table::new();
        table.load_preset(comfy_table::presets::ASCII_MARKDOWN);
        table.set_header(["instance", "state", "process", "listens on", "ended by itself", "upgrades"]);
        for (shown, config) in self.supervisor.shown().zip(&self.configurations) {
            let process = shown.process.and_then(|process| self.processes.get(&process));
            let addresses: Vec<_> =
                config.listeners.iter().map(|listener| listener.address.to_string()).collect();
            table.add_row([
                config.name.clone(),
                shown.state.as_str().to_owned(),
                process.map_or("-".to_owned(), |process| process.pid.to_string()),
                addresses.join(", "),
                shown.failures.to_string(),
                shown.upgrades.to_string(),
            ]);
        }
        println!("{table}");
    }
}

/// Lines of standard input, from a thread that ends with it.
fn commands() -> UnboundedReceiver<String> {
    let (lines, said) = unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if lines.send(line).is_err() {
                return;
            }
        }
    });
    said
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_no_command_is_named_with_what_was_expected() {
        for line in ["", "drain", "drain -1", "start x", "stop 3", "rol"] {
            let error = line.parse::<Said>().unwrap_err().to_string();
            assert_eq!(error, format!("expected one of {COMMANDS}, found \"{line}\""));
        }
        assert_eq!(" drain  7 ".parse::<Said>().unwrap(), Said::Do(Event::Drain(7)));
    }
}
