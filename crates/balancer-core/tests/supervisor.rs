//! Checks the supervisor of a fleet, event by event and with random events.

use balancer_core::supervisor::{Action, Event, InstanceState, Limits, ProcessId, Supervisor};
use balancer_core::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn limits() -> Limits {
    Limits {
        restart_backoff: ms(100),
        max_restart_backoff: ms(800),
        stable_after: ms(10_000),
        readiness_timeout: ms(5_000),
        termination_timeout: ms(3_000),
        watchdog_timeout: ms(2_000),
    }
}

/// A supervisor, its running processes, and the actions it returned.
struct Fleet {
    supervisor: Supervisor,
    now: Timestamp,
    timer: Option<Timestamp>,
    /// The running processes, each with its instance.
    running: BTreeMap<ProcessId, usize>,
    /// The processes that serve and send heartbeats.
    ready: Vec<ProcessId>,
    actions: Vec<Action>,
}

impl Fleet {
    fn new(instances: usize) -> Self {
        let supervisor = Supervisor::new(instances, limits());
        let now = Timestamp::from_micros(1_000_000);
        let mut fleet = Self {
            supervisor,
            now,
            timer: None,
            running: BTreeMap::new(),
            ready: Vec::new(),
            actions: Vec::new(),
        };
        fleet.handle(Event::TimerExpired);
        fleet
    }

    /// Creates a fleet in which all instances serve.
    fn serving(instances: usize) -> Self {
        let mut fleet = Self::new(instances);
        let started: Vec<_> = fleet.running.keys().copied().collect();
        started.into_iter().for_each(|process| fleet.process_ready(process));
        fleet
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.timer = None;
        self.supervisor.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Start { instance, process } => {
                    assert!(
                        self.running.insert(*process, *instance).is_none(),
                        "process {process} was started twice"
                    );
                }
                Action::SetTimer(at) => self.timer = Some(*at),
                _ => {}
            }
        }
        actions.retain(|action| !matches!(action, Action::SetTimer(_) | Action::Log(_)));
        self.actions.extend(actions.iter().cloned());
        actions
    }

    fn process_ready(&mut self, process: ProcessId) {
        self.ready.push(process);
        self.handle(Event::Ready(process));
    }

    fn process_exits(&mut self, process: ProcessId) -> Vec<Action> {
        assert!(self.running.remove(&process).is_some());
        self.ready.retain(|other| *other != process);
        self.handle(Event::Exited(process))
    }

    /// Advances the time. Ready processes send a heartbeat every second, except those in `silent`.
    fn advance(&mut self, time: Duration, silent: &[ProcessId]) {
        let end = self.now + time;
        while self.now < end {
            let next = (self.now + ms(1_000)).min(end);
            match self.timer.filter(|at| *at <= next) {
                Some(at) => {
                    self.now = self.now.max(at);
                    self.handle(Event::TimerExpired);
                }
                None => {
                    self.now = next;
                    for process in self.ready.clone() {
                        if !silent.contains(&process) {
                            self.handle(Event::Heartbeat(process));
                        }
                    }
                }
            }
        }
    }

    fn states(&self) -> Vec<InstanceState> {
        self.supervisor.statuses().map(|status| status.state).collect()
    }
}

fn start(instance: usize, process: ProcessId) -> Action {
    Action::Start { instance, process }
}

#[test]
fn all_instances_start_at_once_and_serve_once_ready() {
    let mut fleet = Fleet::new(3);
    assert_eq!(fleet.actions, [start(0, 0), start(1, 1), start(2, 2)]);
    fleet.process_ready(1);
    assert_eq!(fleet.states(), [InstanceState::Starting, InstanceState::Serving, InstanceState::Starting]);
}

#[test]
fn restart_backoff_doubles_until_a_process_was_stable() {
    let mut fleet = Fleet::new(1);
    let mut waits = Vec::new();
    for process in 0..6 {
        let ended = fleet.now;
        assert_eq!(fleet.process_exits(process), []);
        assert_eq!(fleet.states(), [InstanceState::BackingOff]);
        fleet.advance(fleet.timer.unwrap().since(ended), &[]);
        assert_eq!(fleet.actions.last(), Some(&start(0, process + 1)));
        waits.push(fleet.now.since(ended).as_millis());
    }
    assert_eq!(waits, [100, 200, 400, 800, 800, 800]);
    // Serving for less than the stable time keeps the backoff. Serving for the stable time resets it.
    for (served, wait) in [(9_000, 800), (10_000, 100)] {
        let process = *fleet.running.keys().last().unwrap();
        fleet.process_ready(process);
        fleet.advance(ms(served), &[]);
        let ended = fleet.now;
        fleet.process_exits(process);
        assert_eq!(fleet.timer.unwrap().since(ended), ms(wait));
        fleet.advance(ms(wait), &[]);
    }
    assert_eq!(fleet.supervisor.statuses().next().unwrap().failures, 8);
}

#[test]
fn an_upgrade_replaces_one_instance_at_a_time_after_its_probation() {
    let mut fleet = Fleet::serving(3);
    assert_eq!(fleet.handle(Event::Upgrade), [start(0, 3)]);
    assert_eq!(fleet.states(), [InstanceState::Upgrading, InstanceState::Serving, InstanceState::Serving]);
    // While the predecessor stands by, its successor is on probation, and no other instance is replaced.
    fleet.process_ready(3);
    assert_eq!(fleet.actions.last(), Some(&start(0, 3)));
    // The predecessor exits when it is done, which is not a failure.
    assert_eq!(fleet.process_exits(0), [start(1, 4)]);
    fleet.process_ready(4);
    assert_eq!(fleet.process_exits(1), [start(2, 5)]);
    fleet.process_ready(5);
    assert_eq!(fleet.states(), [InstanceState::Serving; 3]);
    fleet.process_exits(2);
    let status: Vec<_> = fleet
        .supervisor
        .statuses()
        .map(|status| (status.process, status.failures, status.upgrades))
        .collect();
    assert_eq!(status, [(Some(3), 0, 1), (Some(4), 0, 1), (Some(5), 0, 1)]);
    // No action is left.
    let before = fleet.actions.len();
    fleet.advance(ms(30_000), &[]);
    assert_eq!(fleet.actions.len(), before);
}

#[test]
fn a_version_that_does_not_become_ready_replaces_no_instance() {
    let mut fleet = Fleet::serving(3);
    fleet.handle(Event::Upgrade);
    assert_eq!(fleet.process_exits(3), []);
    assert_eq!(fleet.states(), [InstanceState::Serving; 3]);
    // A successor that hangs is killed first.
    fleet.handle(Event::Upgrade);
    let silent = [4];
    fleet.advance(ms(5_000), &silent);
    assert_eq!(fleet.actions.last(), Some(&Action::Kill(4)));
    assert_eq!(fleet.process_exits(4), []);
    assert_eq!(fleet.states(), [InstanceState::Serving; 3]);
    assert!(fleet.supervisor.statuses().all(|status| status.upgrades == 0));
}

/// Guards against a faulty version that takes down one instance after the other, and against a third process
/// in the instance that rolled back.
#[test]
fn a_rollback_restores_the_process_and_ends_the_upgrade() {
    for exits_first in [true, false] {
        let mut fleet = Fleet::serving(2);
        fleet.handle(Event::Upgrade);
        fleet.process_ready(2);
        if exits_first {
            fleet.process_exits(2);
        }
        fleet.process_ready(0);
        let status = fleet.supervisor.statuses().next().unwrap();
        assert_eq!((status.state, status.process), (InstanceState::Serving, Some(0)));
        if !exits_first {
            assert_eq!(fleet.actions.last(), Some(&Action::Terminate(2)));
            fleet.process_exits(2);
        }
        let before = fleet.actions.len();
        fleet.advance(ms(30_000), &[]);
        assert_eq!(fleet.actions.len(), before, "{:?}", &fleet.actions[before..]);
        assert_eq!(fleet.states(), [InstanceState::Serving; 2]);
        // A stop terminates the process that serves again.
        fleet.handle(Event::Stop);
        assert!(fleet.actions.contains(&Action::Terminate(0)));
    }
}

#[test]
fn a_process_that_exits_before_its_successor_is_ready_has_handed_over() {
    let mut fleet = Fleet::serving(2);
    fleet.handle(Event::Upgrade);
    assert_eq!(fleet.process_exits(0), []);
    assert_eq!(fleet.states(), [InstanceState::Upgrading, InstanceState::Serving]);
    fleet.process_ready(2);
    assert_eq!(fleet.actions.last(), Some(&start(1, 3)));
    let status = fleet.supervisor.statuses().next().unwrap();
    assert_eq!((status.state, status.failures, status.upgrades), (InstanceState::Serving, 0, 1));
    // If both processes have died, the instance is started again, and no other instance is replaced.
    assert_eq!(fleet.process_exits(1), []);
    assert_eq!(fleet.process_exits(3), []);
    fleet.advance(ms(100), &[]);
    assert_eq!(fleet.actions.last(), Some(&start(1, 4)));
    assert_eq!(fleet.supervisor.statuses().nth(1).unwrap().failures, 1);
}

#[test]
fn a_process_without_heartbeats_is_killed_once_and_restarted() {
    let mut fleet = Fleet::serving(2);
    fleet.advance(ms(1_900), &[1]);
    assert_eq!(fleet.actions.len(), 2);
    fleet.advance(ms(200), &[1]);
    assert_eq!(fleet.actions.last(), Some(&Action::Kill(1)));
    // The process is killed only once.
    fleet.advance(ms(5_000), &[1]);
    assert_eq!(fleet.actions.iter().filter(|action| matches!(action, Action::Kill(_))).count(), 1);
    fleet.process_exits(1);
    fleet.advance(ms(100), &[]);
    assert_eq!(fleet.actions.last(), Some(&start(1, 2)));
}

#[test]
fn a_drained_instance_stays_stopped_until_it_is_started() {
    let mut fleet = Fleet::serving(2);
    assert_eq!(fleet.handle(Event::Drain(0)), [Action::Terminate(0)]);
    assert_eq!(fleet.handle(Event::Drain(0)), []);
    assert_eq!(fleet.states(), [InstanceState::Draining, InstanceState::Serving]);
    assert_eq!(fleet.handle(Event::Start(1)), []);
    // A start before the process has exited has to wait, since the process still holds the address.
    assert_eq!(fleet.handle(Event::Start(0)), []);
    assert_eq!(fleet.process_exits(0), [start(0, 2)]);
    assert_eq!(fleet.supervisor.statuses().next().unwrap().failures, 0);
    fleet.process_ready(2);
    // A process that does not stop is killed.
    fleet.handle(Event::Drain(0));
    fleet.advance(ms(3_000), &[]);
    assert_eq!(fleet.actions.last(), Some(&Action::Kill(2)));
    assert_eq!(fleet.process_exits(2), []);
    fleet.advance(ms(60_000), &[]);
    assert_eq!(fleet.states(), [InstanceState::Stopped, InstanceState::Serving]);
    assert_eq!(fleet.handle(Event::Start(0)), [start(0, 3)]);
    assert_eq!(fleet.handle(Event::Drain(7)), []);
}

#[test]
fn drain_all_stops_one_instance_at_a_time() {
    let mut fleet = Fleet::serving(3);
    assert_eq!(fleet.handle(Event::DrainAll), [Action::Terminate(0)]);
    assert_eq!(fleet.process_exits(0), [Action::Terminate(1)]);
    assert_eq!(fleet.process_exits(1), [Action::Terminate(2)]);
    assert!(!fleet.supervisor.is_finished());
    fleet.process_exits(2);
    assert!(fleet.supervisor.is_finished());
}

#[test]
fn a_stop_terminates_successors_too_and_ends_with_the_last_process() {
    let mut fleet = Fleet::serving(2);
    fleet.handle(Event::Upgrade);
    let actions = fleet.handle(Event::Stop);
    assert_eq!(actions, [Action::Terminate(2), Action::Terminate(0), Action::Terminate(1)]);
    for process in [0, 1, 2] {
        assert!(!fleet.supervisor.is_finished());
        fleet.process_exits(process);
    }
    assert!(fleet.supervisor.is_finished());
}

#[test]
fn a_reload_reaches_serving_processes_and_not_those_that_leave() {
    let mut fleet = Fleet::serving(2);
    fleet.handle(Event::Upgrade);
    fleet.process_ready(2);
    assert_eq!(fleet.handle(Event::Reload), [Action::Reload(2), Action::Reload(1)]);
}

/// Guards against orders of events that no other test covers, which could start a second process for an
/// instance, lose track of a process, or keep a stop from completing.
#[test]
fn random_events_run_no_instance_twice_and_a_stop_ends_all() {
    for seed in 0..400 {
        let mut random = fastrand::Rng::with_seed(seed);
        let instances = random.usize(1..5);
        let mut fleet = Fleet::new(instances);
        for _ in 0..300 {
            let running: Vec<_> = fleet.running.keys().copied().collect();
            let any = (!running.is_empty()).then(|| running[random.usize(..running.len())]);
            match (random.u32(..12), any) {
                (0, Some(process)) => drop(fleet.process_exits(process)),
                (1..=3, Some(process)) => fleet.process_ready(process),
                (4, _) => drop(fleet.handle(Event::Upgrade)),
                (5, _) => drop(fleet.handle(Event::Drain(random.usize(..instances)))),
                (6 | 7, _) => drop(fleet.handle(Event::Start(random.usize(..instances)))),
                (8, _) => drop(fleet.handle(Event::Reload)),
                (9, _) => drop(fleet.handle(if random.u32(..20) == 0 {
                    Event::DrainAll
                } else {
                    Event::TimerExpired
                })),
                _ => fleet.advance(ms(random.u64(1..1_500)), &[]),
            }
            // Killed processes exit, and so do most of those told to stop.
            let ending: Vec<_> = fleet
                .actions
                .drain(..)
                .filter_map(|action| match action {
                    Action::Kill(process) => Some(process),
                    Action::Terminate(process) => random.bool().then_some(process),
                    _ => None,
                })
                .collect();
            for process in ending {
                if fleet.running.contains_key(&process) {
                    fleet.process_exits(process);
                }
            }
            let upgrading = fleet.states().iter().filter(|state| **state == InstanceState::Upgrading).count();
            assert!(upgrading <= 1, "seed {seed}: {upgrading} instances are upgraded at once");
            let processes: Vec<_> = fleet.supervisor.statuses().filter_map(|status| status.process).collect();
            let lost = processes.iter().filter(|process| !fleet.running.contains_key(process)).count();
            assert_eq!(lost, 0, "seed {seed}: a process that has exited is reported as running");
        }
        fleet.handle(Event::Stop);
        for _ in 0..100 {
            let running: Vec<_> = fleet.running.keys().copied().collect();
            let Some(process) = running.first() else { break };
            fleet.process_exits(*process);
        }
        assert!(fleet.supervisor.is_finished(), "seed {seed}: {:?}", fleet.states());
        fleet.advance(ms(60_000), &[]);
        assert!(fleet.running.is_empty(), "seed {seed}: a process was started after the stop");
    }
}
