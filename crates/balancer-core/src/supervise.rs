//! Keeping a fleet of instances going: when each is started, started again, replaced and stopped. No I/O and no clock: a
//! program starts the processes, hears of them and carries signals.
//!
//! An instance is a place (a configuration, an address); processes come and go in it. A process that was told to stop or
//! has handed over is left alone until it ends, or until its time is up.

use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// A process, by a number that is never used twice.
pub type ProcessId = u64;

/// What holds for all instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Wait before a process that ended by itself is followed by another: the first step, doubled with each end.
    pub backoff: Duration,
    /// And no longer than this.
    pub backoff_most: Duration,
    /// One that has served for so long begins with the first step again.
    pub settled: Duration,
    /// A process that is not ready after this does not get there.
    pub ready_within: Duration,
    /// One that was told to stop, or has handed over, ends within this: the time that it stands by is part of it.
    pub ends_within: Duration,
    /// One that serves and has said nothing for so long is stuck.
    pub alive_within: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            backoff: Duration::from_millis(200),
            backoff_most: Duration::from_secs(10),
            settled: Duration::from_secs(10),
            ready_within: Duration::from_secs(40),
            ends_within: Duration::from_secs(20),
            alive_within: Duration::from_secs(10),
        }
    }
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// A process could serve.
    Ready(ProcessId),
    /// A process lives.
    Alive(ProcessId),
    /// A process has ended. One that could not be started has ended too.
    Ended(ProcessId),
    /// All instances are to be replaced by hand-over, one after the other.
    Roll,
    /// This instance is to stop, and to stay so.
    Drain(usize),
    /// All instances are to stop one after the other, and to stay so.
    DrainAll,
    /// This instance is to run again.
    Start(usize),
    /// All are to read their configuration again.
    Reload,
    /// All are to stop at once.
    Stop,
    /// Time has passed.
    Timer,
}

/// What must be done, in the order given.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a process in this instance.
    Start {
        /// Where.
        instance: usize,
        /// What it goes by.
        process: ProcessId,
    },
    /// Tell a process to stop.
    Terminate(ProcessId),
    /// End a process outright.
    Kill(ProcessId),
    /// Tell a process to read its configuration again.
    Reload(ProcessId),
    /// Deliver [`Event::Timer`] at this time.
    Wake(Timestamp),
    /// A line for whoever watches.
    Log(String),
}

/// What an instance is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// A process gets ready.
    Starting,
    /// A process serves.
    Serving,
    /// A process serves, and its successor gets ready.
    Rolling,
    /// Its process has ended by itself, and another one follows.
    Waiting,
    /// Its process was told to stop.
    Draining,
    /// It is to stay stopped.
    Stopped,
}

impl State {
    /// The word for it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Serving => "serving",
            Self::Rolling => "rolling",
            Self::Waiting => "waiting",
            Self::Draining => "draining",
            Self::Stopped => "stopped",
        }
    }
}

/// An instance, as shown to whoever asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shown {
    /// What it is at.
    pub state: State,
    /// The process that serves or is to.
    pub process: Option<ProcessId>,
    /// Times that a process has ended by itself.
    pub failures: u64,
    /// Times that another process has taken over.
    pub upgrades: u64,
}

#[derive(Clone, Debug, Default)]
struct Instance {
    /// The one that serves or is to.
    current: Option<Process>,
    /// The one that is to take its place.
    successor: Option<Process>,
    /// When the next one is started.
    start_at: Option<Timestamp>,
    /// It is to stay stopped.
    stopped: bool,
    /// Ends by itself since it last settled.
    streak: u32,
    failures: u64,
    upgrades: u64,
}

#[derive(Clone, Copy, Debug)]
struct Process {
    id: ProcessId,
    ready: Option<Timestamp>,
    /// When it has to have said something, whatever its next step is.
    until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// When it has to have ended.
    until: Timestamp,
    /// Where it has handed over and may stand by: it serves again should its successor die.
    handed_over: Option<usize>,
}

/// See the module's page.
#[derive(Debug)]
pub struct Supervisor {
    limits: Limits,
    instances: Vec<Instance>,
    /// Processes that were told to stop or have handed over.
    leaving: BTreeMap<ProcessId, Leaving>,
    /// Of these, those that were killed.
    killed: BTreeSet<ProcessId>,
    next: ProcessId,
    /// Instances that are still to be replaced, the present one first.
    rolling: VecDeque<usize>,
    /// Instances that are still to be stopped, the present one first.
    draining: VecDeque<usize>,
}

impl Supervisor {
    /// One of so many instances, none of which runs yet: the first [`Event::Timer`] starts them.
    pub fn new(instances: usize, limits: Limits) -> Self {
        let waiting = Instance { start_at: Some(Timestamp::default()), ..Instance::default() };
        Self {
            limits,
            instances: vec![waiting; instances],
            leaving: BTreeMap::new(),
            killed: BTreeSet::new(),
            next: 0,
            rolling: VecDeque::new(),
            draining: VecDeque::new(),
        }
    }

    /// Takes in what happened at `now` and appends what must be done.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Ready(process) => self.ready(now, process, actions),
            Event::Alive(process) => self.alive(now, process),
            Event::Ended(process) => self.ended(now, process, actions),
            Event::Roll if !self.rolling.is_empty() => {
                actions.push(Action::Log("a roll is under way already".into()));
            }
            Event::Roll => self.rolling = (0..self.instances.len()).collect(),
            Event::Drain(instance) => self.stop(now, instance, actions),
            Event::DrainAll => self.draining = (0..self.instances.len()).collect(),
            Event::Start(place) => {
                if let Some(instance) = self.instances.get_mut(place).filter(|instance| instance.stopped) {
                    (instance.stopped, instance.streak, instance.start_at) = (false, 0, Some(now));
                    self.draining.retain(|other| *other != place);
                }
            }
            Event::Reload => {
                let running = self.instances.iter().filter_map(|instance| instance.current);
                actions.extend(running.map(|process| Action::Reload(process.id)));
            }
            Event::Stop => {
                self.rolling.clear();
                self.draining.clear();
                (0..self.instances.len()).for_each(|instance| self.stop(now, instance, actions));
            }
            Event::Timer => {}
        }
        self.overdue(now, actions);
        self.start_due(now, actions);
        self.drain_next(now, actions);
        self.roll_next(now, actions);
        actions.extend(self.next_due().map(Action::Wake));
    }

    /// Each instance, in order.
    pub fn shown(&self) -> impl Iterator<Item = Shown> + '_ {
        self.instances.iter().map(|instance| Shown {
            state: match instance {
                Instance { stopped: true, current: None, .. } => State::Stopped,
                Instance { stopped: true, .. } => State::Draining,
                Instance { successor: Some(_), .. } => State::Rolling,
                Instance { current: None, .. } => State::Waiting,
                Instance { current: Some(Process { ready: Some(_), .. }), .. } => State::Serving,
                Instance { .. } => State::Starting,
            },
            process: instance.current.or(instance.successor).map(|process| process.id),
            failures: instance.failures,
            upgrades: instance.upgrades,
        })
    }

    /// Whether nothing runs, and nothing will by itself.
    pub fn is_over(&self) -> bool {
        self.leaving.is_empty()
            && self.instances.iter().all(|instance| instance.stopped && instance.current.is_none())
    }

    fn of(&self, process: ProcessId) -> Option<usize> {
        let has = |held: &Option<Process>| held.is_some_and(|held| held.id == process);
        self.instances.iter().position(|instance| has(&instance.current) || has(&instance.successor))
    }

    /// A process that had handed over serves again: its successor has died, or is about to be known to have.
    fn taken_back(&mut self, now: Timestamp, process: ProcessId, actions: &mut Vec<Action>) {
        let Some(place) = self.leaving.get(&process).and_then(|leaving| leaving.handed_over) else { return };
        self.leaving.remove(&process);
        let ready = Some(now);
        let back = Process { id: process, ready, until: now + self.limits.alive_within };
        let instance = &mut self.instances[place];
        instance.start_at = None;
        let others = instance.successor.take().into_iter().chain(instance.current.replace(back));
        for other in others {
            self.leaving
                .insert(other.id, Leaving { until: now + self.limits.ends_within, handed_over: None });
            actions.push(Action::Terminate(other.id));
        }
        // What has failed here would elsewhere.
        self.rolling.clear();
        actions.push(Action::Log(format!(
            "instance {place}: process {process} serves again, since its successor has died; no more instances are replaced"
        )));
        if self.instances[place].stopped {
            self.instances[place].stopped = false;
            self.stop(now, place, actions);
        }
    }

    fn ready(&mut self, now: Timestamp, process: ProcessId, actions: &mut Vec<Action>) {
        let Some(place) = self.of(process) else { return self.taken_back(now, process, actions) };
        let until = now + self.limits.alive_within;
        let instance = &mut self.instances[place];
        if let Some(successor) = instance.successor.filter(|successor| successor.id == process) {
            instance.upgrades += 1;
            let before = instance.current.replace(Process { ready: Some(now), until, ..successor });
            instance.successor = None;
            if let Some(before) = before {
                let until = now + self.limits.ends_within;
                self.leaving.insert(before.id, Leaving { until, handed_over: Some(place) });
            }
            actions.push(Action::Log(format!("instance {place}: process {process} has taken over")));
        } else if let Some(current) = &mut instance.current {
            if current.ready.is_none() {
                actions.push(Action::Log(format!("instance {place}: process {process} serves")));
            }
            // It says so again after each reload.
            (current.ready, current.until) = (current.ready.or(Some(now)), until);
        }
    }

    fn alive(&mut self, now: Timestamp, process: ProcessId) {
        let Some(place) = self.of(process) else { return };
        let until = now + self.limits.alive_within;
        if let Some(current) = &mut self.instances[place].current {
            if current.id == process && current.ready.is_some() {
                current.until = until;
            }
        }
    }

    fn ended(&mut self, now: Timestamp, process: ProcessId, actions: &mut Vec<Action>) {
        let told = self.leaving.remove(&process).is_some();
        self.killed.remove(&process);
        let Some(place) = self.of(process) else { return };
        let limits = self.limits.clone();
        let instance = &mut self.instances[place];
        if instance.successor.is_some_and(|successor| successor.id == process) {
            instance.successor = None;
            // What it could not do the next one could not either: the others are left as they are.
            self.rolling.clear();
            actions.push(Action::Log(format!(
                "instance {place}: process {process} ended before it took over; no more instances are replaced"
            )));
            if instance.current.is_none() && !instance.stopped {
                instance.failures += 1;
                instance.start_at = Some(now + limits.backoff);
            }
            return;
        }
        let served = instance.current.and_then(|current| current.ready);
        instance.current = None;
        if told {
            // It may have been asked for again meanwhile.
            instance.start_at = (!instance.stopped).then_some(now);
            return;
        }
        if instance.stopped {
            return;
        }
        // It may have handed over: that is known once the successor says that it serves, and its end is heard first where it
        // had nothing left to finish.
        if instance.successor.is_some() {
            return;
        }
        instance.failures += 1;
        if served.is_some_and(|ready| now.since(ready) >= limits.settled) {
            instance.streak = 0;
        }
        let wait = limits.backoff.saturating_mul(1 << instance.streak.min(16)).min(limits.backoff_most);
        instance.streak += 1;
        instance.start_at = Some(now + wait);
        actions.push(Action::Log(format!(
            "instance {place}: process {process} ended by itself; another one follows in {wait:?}"
        )));
    }

    fn stop(&mut self, now: Timestamp, place: usize, actions: &mut Vec<Action>) {
        let until = now + self.limits.ends_within;
        let Some(instance) = self.instances.get_mut(place).filter(|instance| !instance.stopped) else {
            return;
        };
        (instance.stopped, instance.start_at) = (true, None);
        self.rolling.retain(|other| *other != place);
        for process in instance.successor.take().into_iter().chain(instance.current) {
            self.leaving.insert(process.id, Leaving { until, handed_over: None });
            actions.push(Action::Terminate(process.id));
        }
    }

    /// Ends those whose time is up.
    fn overdue(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let late =
            self.leaving.iter().filter(|(_, leaving)| leaving.until <= now).map(|(process, _)| *process);
        let running = self.instances.iter().filter(|instance| !instance.stopped);
        let held = running.flat_map(|instance| instance.current.into_iter().chain(instance.successor));
        let stuck = held.filter(|process| process.until <= now).map(|process| process.id);
        let late: Vec<_> = late.chain(stuck).filter(|process| !self.killed.contains(process)).collect();
        for process in late {
            self.killed.insert(process);
            actions.push(Action::Log(format!("process {process} has had its time, and is killed")));
            actions.push(Action::Kill(process));
        }
    }

    fn start_due(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for place in 0..self.instances.len() {
            let due = self.instances[place].start_at.is_some_and(|at| at <= now);
            // One that drains still has the address.
            if due && self.instances[place].current.is_none() {
                self.instances[place].start_at = None;
                self.instances[place].current = Some(self.begin(now, place, actions));
            }
        }
    }

    fn begin(&mut self, now: Timestamp, instance: usize, actions: &mut Vec<Action>) -> Process {
        let process = self.next;
        self.next += 1;
        actions.push(Action::Start { instance, process });
        Process { id: process, ready: None, until: now + self.limits.ready_within }
    }

    fn drain_next(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some(&place) = self.draining.front() {
            self.stop(now, place, actions);
            if self.instances[place].current.is_some() {
                return;
            }
            self.draining.pop_front();
        }
    }

    /// Replaces the next instance once the one before is: one at a time, so that what is wrong with a new version shows at
    /// the first.
    fn roll_next(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let mut replaced = self.instances.iter().map(|instance| instance.successor.is_some());
        // One whose predecessor stands by is still on probation.
        let mut tried = self.leaving.values().map(|leaving| leaving.handed_over.is_some());
        if replaced.any(|under_way| under_way) || tried.any(|on_probation| on_probation) {
            return;
        }
        while let Some(place) = self.rolling.pop_front() {
            // One that is not up starts as the new version by itself.
            if self.instances[place].current.is_some_and(|current| current.ready.is_some()) {
                self.instances[place].successor = Some(self.begin(now, place, actions));
                return;
            }
        }
    }

    fn next_due(&self) -> Option<Timestamp> {
        let running = self.instances.iter().filter(|instance| !instance.stopped);
        let held = running.flat_map(|instance| instance.current.into_iter().chain(instance.successor));
        let limits = held.filter(|process| !self.killed.contains(&process.id)).map(|process| process.until);
        let leaving = self.leaving.iter().filter(|(process, _)| !self.killed.contains(process));
        // One that drains is started with its end, which is told.
        let free = self.instances.iter().filter(|instance| instance.current.is_none());
        let starts = free.filter_map(|instance| instance.start_at);
        limits.chain(leaving.map(|(_, leaving)| leaving.until)).chain(starts).min()
    }
}
