//! Supervises a fleet of instances: decides when the process of each is started, restarted, replaced and
//! stopped. This module has no I/O and no clock: the caller starts the processes, reports their events and
//! sends the signals.
//!
//! An instance is a configuration and an address, under which one process runs after another. Start with
//! [`Supervisor`], which follows these rules:
//!
//! * A process that exits unexpectedly is restarted after a backoff that doubles
//!   ([`Limits::restart_backoff`]).
//! * A process that is not ready in time, sends no heartbeat, or does not stop in time is killed.
//! * A rolling upgrade replaces the process of one instance at a time, each after the probation of the one
//!   before, so that a fault of the new version shows at the first instance. The upgrade ends with the first
//!   successor that fails.

mod instance;
mod messages;

pub use messages::{Action, Event, InstanceId, InstanceState, InstanceStatus, Limits, Notice, ProcessId};

use crate::time::Timestamp;
use instance::{Instance, Process};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A process that was told to stop or has handed over. It gets no further commands until it exits or its
/// deadline passes.
#[derive(Clone, Copy, Debug)]
struct LeavingProcess {
    /// When the process is killed.
    deadline: Timestamp,
    /// The instance that the process handed over and may stand by for: it serves again if its successor dies.
    standby_for: Option<InstanceId>,
}

/// Supervises a fleet, as a state machine.
#[derive(Debug)]
pub struct Supervisor {
    limits: Limits,
    instances: Vec<Instance>,
    leaving: BTreeMap<ProcessId, LeavingProcess>,
    /// Processes that were killed and have not exited yet.
    killed: BTreeSet<ProcessId>,
    next_process: ProcessId,
    /// The instances whose process the current upgrade still has to replace, in order.
    upgrade_queue: VecDeque<InstanceId>,
    /// The instances that are still to be drained. The first one is draining.
    drain_queue: VecDeque<InstanceId>,
}

impl Supervisor {
    /// Creates a supervisor of this number of instances. None of them runs yet: the first
    /// [`Event::TimerExpired`] starts them.
    pub fn new(instances: usize, limits: Limits) -> Self {
        Self {
            limits,
            instances: vec![Instance::due(); instances],
            leaving: BTreeMap::new(),
            killed: BTreeSet::new(),
            next_process: 0,
            upgrade_queue: VecDeque::new(),
            drain_queue: VecDeque::new(),
        }
    }

    /// Handles an event that happened at `now` and appends the actions to carry out.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Ready(process) => self.process_ready(now, process, actions),
            Event::Heartbeat(process) => self.heartbeat(now, process),
            Event::Exited(process) => self.process_exited(now, process, actions),
            Event::Upgrade => self.begin_upgrade(actions),
            Event::Drain(instance) => self.stop_instance(now, instance, actions),
            Event::DrainAll => self.drain_queue = (0..self.instances.len()).collect(),
            Event::Start(instance) => self.start_instance(now, instance),
            Event::Reload => self.reload(actions),
            Event::Stop => self.stop_all(now, actions),
            Event::TimerExpired => {}
        }
        self.kill_overdue(now, actions);
        self.start_due(now, actions);
        self.drain_next(now, actions);
        self.upgrade_next(now, actions);
        actions.extend(self.next_deadline().map(Action::SetTimer));
    }

    /// Returns the status of each instance, in order.
    pub fn statuses(&self) -> impl Iterator<Item = InstanceStatus> + '_ {
        self.instances.iter().map(Instance::status)
    }

    /// Returns whether no process runs and none is going to be started.
    pub fn is_finished(&self) -> bool {
        self.leaving.is_empty()
            && self.instances.iter().all(|instance| instance.stopped && instance.current.is_none())
    }

    fn instance_of(&self, process: ProcessId) -> Option<InstanceId> {
        self.instances.iter().position(|instance| instance.has_process(process))
    }

    fn process_ready(&mut self, now: Timestamp, process: ProcessId, actions: &mut Vec<Action>) {
        match self.instance_of(process) {
            None => self.roll_back(now, process, actions),
            Some(instance) if self.instances[instance].is_successor(process) => {
                self.take_over(now, instance, process, actions);
            }
            Some(instance) => self.serve(now, instance, process, actions),
        }
    }

    /// Records that the process of an instance is ready, for the first time or again.
    fn serve(&mut self, now: Timestamp, instance: InstanceId, process: ProcessId, actions: &mut Vec<Action>) {
        let deadline = now + self.limits.watchdog_timeout;
        let Some(current) = &mut self.instances[instance].current else { return };
        if current.ready_at.is_none() {
            actions.push(Action::Log(Notice::Serving { instance, process }));
        }
        current.ready_at = current.ready_at.or(Some(now));
        current.deadline = deadline;
    }

    /// Makes a successor that is ready the current process. The process that served stands by.
    fn take_over(
        &mut self,
        now: Timestamp,
        instance: InstanceId,
        process: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        let deadline = now + self.limits.watchdog_timeout;
        let state = &mut self.instances[instance];
        state.upgrades += 1;
        state.successor = None;
        let predecessor = state.current.replace(Process { id: process, ready_at: Some(now), deadline });
        if let Some(predecessor) = predecessor {
            self.leave(now, predecessor.id, Some(instance));
        }
        actions.push(Action::Log(Notice::TookOver { instance, process }));
    }

    /// Makes a process on standby the current process again. Its successor has died or is about to be
    /// reported dead.
    fn roll_back(&mut self, now: Timestamp, process: ProcessId, actions: &mut Vec<Action>) {
        let Some(instance) = self.leaving.get(&process).and_then(|leaving| leaving.standby_for) else {
            return;
        };
        self.leaving.remove(&process);
        let deadline = now + self.limits.watchdog_timeout;
        let state = &mut self.instances[instance];
        state.start_at = None;
        let successor = state.successor.take();
        let replaced = state.current.replace(Process { id: process, ready_at: Some(now), deadline });
        for other in successor.into_iter().chain(replaced) {
            self.terminate(now, other.id, actions);
        }
        // The new version would fail at the other instances as well.
        self.upgrade_queue.clear();
        actions.push(Action::Log(Notice::RolledBack { instance, process }));
        if self.instances[instance].stopped {
            // Only the successor was told to stop.
            self.instances[instance].stopped = false;
            self.stop_instance(now, instance, actions);
        }
    }

    fn heartbeat(&mut self, now: Timestamp, process: ProcessId) {
        let deadline = now + self.limits.watchdog_timeout;
        let processes = self.instances.iter_mut().filter_map(|instance| instance.current.as_mut());
        for current in processes {
            if current.id == process && current.ready_at.is_some() {
                current.deadline = deadline;
            }
        }
    }

    fn process_exited(&mut self, now: Timestamp, process: ProcessId, actions: &mut Vec<Action>) {
        let was_leaving = self.leaving.remove(&process).is_some();
        self.killed.remove(&process);
        let Some(instance) = self.instance_of(process) else { return };
        if self.instances[instance].is_successor(process) {
            return self.successor_failed(now, instance, process, actions);
        }
        let state = &mut self.instances[instance];
        let ready_at = state.current.take().and_then(|current| current.ready_at);
        if was_leaving {
            // A start may have been requested in the meantime.
            state.start_at = (!state.stopped).then_some(now);
            return;
        }
        // A process with a successor may have handed over. The successor reports ready once it serves, but
        // the exit is reported first if the process had no request left to finish.
        if state.stopped || state.successor.is_some() {
            return;
        }
        let backoff = state.record_failure(now, ready_at, &self.limits);
        actions.push(Action::Log(Notice::Restarting { instance, process, backoff }));
    }

    /// Handles the exit of a successor that did not serve yet. Ends the upgrade, since the next successor
    /// would fail as well.
    fn successor_failed(
        &mut self,
        now: Timestamp,
        instance: InstanceId,
        process: ProcessId,
        actions: &mut Vec<Action>,
    ) {
        self.upgrade_queue.clear();
        actions.push(Action::Log(Notice::UpgradeFailed { instance, process }));
        let state = &mut self.instances[instance];
        state.successor = None;
        if state.current.is_none() && !state.stopped {
            state.failures += 1;
            state.start_at = Some(now + self.limits.restart_backoff);
        }
    }

    fn start_instance(&mut self, now: Timestamp, instance: InstanceId) {
        let Some(state) = self.instances.get_mut(instance).filter(|state| state.stopped) else { return };
        state.stopped = false;
        state.consecutive_failures = 0;
        state.start_at = Some(now);
        self.drain_queue.retain(|other| *other != instance);
    }

    fn stop_instance(&mut self, now: Timestamp, instance: InstanceId, actions: &mut Vec<Action>) {
        let Some(state) = self.instances.get_mut(instance).filter(|state| !state.stopped) else { return };
        state.stopped = true;
        state.start_at = None;
        let successor = state.successor.take();
        let current = state.current;
        self.upgrade_queue.retain(|other| *other != instance);
        for process in successor.into_iter().chain(current) {
            self.terminate(now, process.id, actions);
        }
    }

    fn stop_all(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        self.upgrade_queue.clear();
        self.drain_queue.clear();
        for instance in 0..self.instances.len() {
            self.stop_instance(now, instance, actions);
        }
    }

    fn reload(&self, actions: &mut Vec<Action>) {
        let running = self.instances.iter().filter_map(|instance| instance.current);
        actions.extend(running.map(|process| Action::Reload(process.id)));
    }

    fn terminate(&mut self, now: Timestamp, process: ProcessId, actions: &mut Vec<Action>) {
        self.leave(now, process, None);
        actions.push(Action::Terminate(process));
    }

    fn leave(&mut self, now: Timestamp, process: ProcessId, standby_for: Option<InstanceId>) {
        let deadline = now + self.limits.termination_timeout;
        self.leaving.insert(process, LeavingProcess { deadline, standby_for });
    }

    /// Kills the processes that exceeded their time limit, each only once.
    fn kill_overdue(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        let leaving = self.leaving.iter().map(|(process, leaving)| (*process, leaving.deadline));
        let running = self.running_processes().map(|process| (process.id, process.deadline));
        let overdue: Vec<_> = leaving
            .chain(running)
            .filter(|(process, deadline)| *deadline <= now && !self.killed.contains(process))
            .map(|(process, _)| process)
            .collect();
        for process in overdue {
            self.killed.insert(process);
            actions.push(Action::Log(Notice::Killed(process)));
            actions.push(Action::Kill(process));
        }
    }

    /// Returns the processes of instances that are not stopped.
    fn running_processes(&self) -> impl Iterator<Item = Process> + '_ {
        self.instances.iter().filter(|instance| !instance.stopped).flat_map(Instance::processes)
    }

    /// Starts the processes that are due. An instance that is still draining holds its address, so its next
    /// process has to wait.
    fn start_due(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        for instance in 0..self.instances.len() {
            let state = &self.instances[instance];
            let due = state.start_at.is_some_and(|at| at <= now);
            if due && state.current.is_none() {
                let process = self.start_process(now, instance, actions);
                let state = &mut self.instances[instance];
                state.start_at = None;
                state.current = Some(process);
            }
        }
    }

    fn start_process(&mut self, now: Timestamp, instance: InstanceId, actions: &mut Vec<Action>) -> Process {
        let process = self.next_process;
        self.next_process += 1;
        actions.push(Action::Start { instance, process });
        Process { id: process, ready_at: None, deadline: now + self.limits.readiness_timeout }
    }

    /// Drains the next instance once the process of the previous one has exited.
    fn drain_next(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        while let Some(&instance) = self.drain_queue.front() {
            self.stop_instance(now, instance, actions);
            if self.instances[instance].current.is_some() {
                return;
            }
            self.drain_queue.pop_front();
        }
    }

    fn begin_upgrade(&mut self, actions: &mut Vec<Action>) {
        if self.upgrade_queue.is_empty() {
            self.upgrade_queue = (0..self.instances.len()).collect();
        } else {
            actions.push(Action::Log(Notice::UpgradeInProgress));
        }
    }

    /// Starts the successor in the next instance, once the previous instance has its new process and the
    /// probation is over: a fault of the new version shows at the first instance.
    fn upgrade_next(&mut self, now: Timestamp, actions: &mut Vec<Action>) {
        if self.is_replacing() {
            return;
        }
        while let Some(instance) = self.upgrade_queue.pop_front() {
            // An instance that does not serve starts with the new version anyway.
            if self.instances[instance].is_serving() {
                let successor = self.start_process(now, instance, actions);
                self.instances[instance].successor = Some(successor);
                return;
            }
        }
    }

    /// Returns whether a successor prepares or is on probation.
    fn is_replacing(&self) -> bool {
        self.instances.iter().any(|instance| instance.successor.is_some())
            || self.leaving.values().any(|leaving| leaving.standby_for.is_some())
    }

    /// Returns when the next process is overdue or due to start.
    fn next_deadline(&self) -> Option<Timestamp> {
        let running = self.running_processes().map(|process| (process.id, process.deadline));
        let leaving = self.leaving.iter().map(|(process, leaving)| (*process, leaving.deadline));
        let kills = running
            .chain(leaving)
            .filter(|(process, _)| !self.killed.contains(process))
            .map(|(_, deadline)| deadline);
        // A draining instance starts its next process when the exit of the current one is reported.
        let vacant = self.instances.iter().filter(|instance| instance.current.is_none());
        let starts = vacant.filter_map(|instance| instance.start_at);
        kills.chain(starts).min()
    }
}
