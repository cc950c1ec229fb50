//! The service manager: told how far the node is, by the protocol of sd_notify(3), and asked for listeners that it opened
//! (sd_listen_fds(3)). Without one, nothing is told and nobody is asked.

use crate::input::DriverInput;
use crate::log::log;
use listenfd::ListenFd;
use sd_notify::NotifyState;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{oneshot, watch};
use tokio::time::{interval, timeout, MissedTickBehavior};

/// How long a process that ends waits until its last words are told.
const LAST_WORDS: Duration = Duration::from_secs(1);

/// A word for the manager.
#[derive(Debug)]
enum Word {
    Ready,
    /// This is the process to mind.
    Main(u32),
    /// All that came before is told: whoever asks hears of it.
    Told(oneshot::Sender<()>),
    Reloading,
    Stopping,
    Alive,
    Status(String),
}

/// Sockets that were passed and cannot be used.
#[derive(Debug, Error)]
pub enum PassedError {
    #[error("the service manager passed a socket \"{0}\", and there is no listener of this name")]
    Unknown(String),
    #[error("the service manager passed two sockets \"{0}\", and a listener has one address")]
    Twice(String),
    #[error("the socket \"{0}\" that the service manager passed is no listening TCP socket: {1}")]
    Unusable(String, std::io::Error),
}

/// The way to the manager.
#[derive(Clone, Debug)]
pub struct Manager(Option<Words>);

/// Words that wait to be told. None is lost, since a start that nobody hears of never ends; and they are few: some for
/// each pool at the start, two at the end, and one that the node lives.
#[derive(Clone, Debug)]
struct Words {
    sender: Sender<Word>,
    /// One that the node lives waits already.
    alive: Arc<AtomicBool>,
}

impl Manager {
    /// There is none.
    pub fn none() -> Self {
        Self(None)
    }

    /// As the environment names it.
    pub fn from_env() -> Self {
        if std::env::var_os("NOTIFY_SOCKET").is_none() {
            return Self::none();
        }
        let (sender, words) = channel();
        let alive = Arc::new(AtomicBool::new(false));
        let told_alive = alive.clone();
        // A thread of its own: a manager that takes nothing must not hold up requests.
        let telling = std::thread::Builder::new().name("manager".into()).spawn(move || {
            let mut failed = false;
            for word in words {
                if let Word::Told(answer) = word {
                    // Whoever asked may have waited long enough.
                    let _ = answer.send(());
                    continue;
                }
                let told = match &word {
                    Word::Told(_) => Ok(()),
                    Word::Ready => sd_notify::notify(&[NotifyState::Ready]),
                    Word::Main(process) => sd_notify::notify(&[NotifyState::MainPid(*process)]),
                    Word::Reloading => NotifyState::monotonic_usec_now()
                        .and_then(|now| sd_notify::notify(&[NotifyState::Reloading, now])),
                    Word::Stopping => sd_notify::notify(&[NotifyState::Stopping]),
                    Word::Alive => {
                        let told = sd_notify::notify(&[NotifyState::Watchdog]);
                        told_alive.store(false, Ordering::Relaxed);
                        told
                    }
                    Word::Status(text) => sd_notify::notify(&[NotifyState::Status(text)]),
                };
                // One line for each time that it goes away.
                if let Err(error) = &told {
                    if !failed {
                        log!("the service manager is not told: {error}");
                    }
                }
                failed = told.is_err();
            }
        });
        match telling {
            Ok(_) => Self(Some(Words { sender, alive })),
            Err(error) => {
                log!("the service manager is not told: {error}");
                Self(None)
            }
        }
    }

    fn tell(&self, word: Word) {
        if let Some(words) = &self.0 {
            if matches!(word, Word::Alive) && words.alive.swap(true, Ordering::Relaxed) {
                return;
            }
            // The thread ends with the process.
            let _ = words.sender.send(word);
        }
    }

    /// It can serve.
    pub fn ready(&self) {
        self.tell(Word::Status("serving".into()));
        self.tell(Word::Ready);
    }

    /// It takes its configuration anew; [`Manager::ready`] or [`Manager::kept`] tells that this is over.
    pub fn reloading(&self) {
        self.tell(Word::Status("reloading".into()));
        self.tell(Word::Reloading);
    }

    /// It serves on as before, since a new configuration is of no use.
    pub fn kept(&self, why: &str) {
        let first = why.lines().next().unwrap_or_default();
        self.tell(Word::Status(format!("serving as before: {first}")));
        self.tell(Word::Ready);
    }

    /// It serves again, since its successor has died.
    pub fn taken_back(&self) {
        self.main(std::process::id());
        self.tell(Word::Status("serving: the successor has died, and its clients were taken back".into()));
        self.tell(Word::Ready);
    }

    /// This process serves from here on, and is the one to mind.
    pub fn main(&self, process: u32) {
        self.tell(Word::Main(process));
    }

    /// Waits until all words are told, but not for long: a manager that takes nothing keeps no process.
    pub async fn told(&self) {
        let (answer, told) = oneshot::channel();
        if self.0.is_some() {
            self.tell(Word::Told(answer));
            // Where the time is up, or the thread has gone, there is nothing more to be done.
            let _ = timeout(LAST_WORDS, told).await;
        }
    }

    /// It was told to stop.
    pub fn stopping(&self) {
        self.tell(Word::Stopping);
        self.tell(Word::Status("stopping: finishing what was taken".into()));
    }

    /// For people who look.
    pub fn status(&self, text: impl Into<String>) {
        self.tell(Word::Status(text.into()));
    }

    /// Tells that the node lives, for as long as all drivers answer, if the manager wants to hear it.
    pub async fn keep_watchdog(self, drivers: watch::Receiver<Vec<UnboundedSender<DriverInput>>>) {
        let Some(limit) = sd_notify::watchdog_enabled() else { return };
        watch(limit, || drivers.borrow().clone(), || self.tell(Word::Alive)).await;
    }
}

/// Calls `alive` twice within each `limit`, as long as the loops that do the work answer.
async fn watch(limit: Duration, drivers: impl Fn() -> Vec<UnboundedSender<DriverInput>>, alive: impl Fn()) {
    let mut turns = interval(limit / 2);
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        turns.tick().await;
        if timeout(limit, answered(drivers())).await == Ok(true) {
            alive();
        }
    }
}

/// Whether every driver takes a question out of its queue and answers it.
async fn answered(drivers: Vec<UnboundedSender<DriverInput>>) -> bool {
    for driver in drivers {
        let (answer, asked) = oneshot::channel();
        // One that was retired ends when its work is done, also with a question before it.
        if driver.send(DriverInput::LivenessCheck(answer)).is_ok()
            && asked.await.is_err()
            && !driver.is_closed()
        {
            return false;
        }
    }
    true
}

/// Listeners that the manager has opened already, by name.
#[derive(Debug, Default)]
pub struct Passed(Vec<(String, TcpListener)>);

impl Passed {
    /// As the environment has them. `names` are those of the node's listeners: where there is one of each, the socket is
    /// that listener's whatever it is called.
    pub fn from_env(names: &[&str]) -> Result<Self, PassedError> {
        // Read before the other variables go.
        let called = std::env::var("LISTEN_FDNAMES").unwrap_or_default();
        let mut sockets = ListenFd::from_env();
        let mut called = called.split(':');
        let mut passed = Vec::new();
        for place in 0..sockets.len() {
            let name = called.next().filter(|name| !name.is_empty()).unwrap_or("unknown");
            let name = match names {
                [only] if sockets.len() == 1 => *only,
                _ => name,
            };
            if !names.contains(&name) {
                return Err(PassedError::Unknown(name.to_owned()));
            }
            if passed.iter().any(|(other, _)| other == name) {
                return Err(PassedError::Twice(name.to_owned()));
            }
            let socket = sockets.take_tcp_listener(place);
            let socket = socket.map_err(|error| PassedError::Unusable(name.to_owned(), error))?;
            passed.extend(socket.map(|socket| (name.to_owned(), socket)));
        }
        Ok(Self(passed))
    }

    /// The one of this name.
    pub fn take(&mut self, name: &str) -> Option<TcpListener> {
        let place = self.0.iter().position(|(other, _)| other == name)?;
        Some(self.0.swap_remove(place).1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use tokio::sync::mpsc::unbounded_channel;

    // Guards against a watchdog that is fed by a timer while the loop that does the work is stuck.
    #[tokio::test(start_paused = true)]
    async fn the_watchdog_is_fed_twice_in_its_time_while_all_drivers_answer_and_not_after() {
        let limit = Duration::from_secs(2);
        let ((one, mut one_asked), (other, mut other_asked)) = (unbounded_channel(), unbounded_channel());
        let drivers = [one, other];
        let fed = Cell::new(0);
        let answer = |input: Option<DriverInput>| match input {
            Some(DriverInput::LivenessCheck(answer)) => answer.send(()).is_ok(),
            _ => false,
        };
        let work = async {
            for _ in 0..4 {
                assert!(answer(one_asked.recv().await) && answer(other_asked.recv().await));
            }
            // The last answer may still be on its way.
            assert!((3..=4).contains(&fed.get()), "{}", fed.get());
            // From here on the second one is stuck: it takes nothing out of its queue.
            for _ in 0..3 {
                assert!(answer(one_asked.recv().await));
            }
            assert_eq!(fed.get(), 4);
        };
        tokio::select! {
            () = watch(limit, || drivers.to_vec(), || fed.set(fed.get() + 1)) => {}
            // Without an answer to a question it would wait for good.
            done = timeout(limit * 50, work) => done.expect("a question to every driver"),
        }
    }
}
