//! The fleet's supervisor, event by event, and in random worlds.

use balancer_core::supervise::{Action, Event, Limits, ProcessId, State, Supervisor};
use balancer_core::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn limits() -> Limits {
    Limits {
        backoff: ms(100),
        backoff_most: ms(800),
        settled: ms(10_000),
        ready_within: ms(5_000),
        ends_within: ms(3_000),
        alive_within: ms(2_000),
    }
}

/// A supervisor, what runs, and what it did.
struct World {
    supervisor: Supervisor,
    now: Timestamp,
    wake: Option<Timestamp>,
    /// What runs, and in which instance.
    running: BTreeMap<ProcessId, usize>,
    /// Those that serve, which say so again and again.
    ready: Vec<ProcessId>,
    did: Vec<Action>,
}

impl World {
    fn new(instances: usize) -> Self {
        let supervisor = Supervisor::new(instances, limits());
        let now = Timestamp::from_micros(1_000_000);
        let mut world = Self {
            supervisor,
            now,
            wake: None,
            running: BTreeMap::new(),
            ready: Vec::new(),
            did: Vec::new(),
        };
        world.feed(Event::Timer);
        world
    }

    /// One in which all instances serve.
    fn serving(instances: usize) -> Self {
        let mut world = Self::new(instances);
        let started: Vec<_> = world.running.keys().copied().collect();
        started.into_iter().for_each(|process| world.becomes_ready(process));
        world
    }

    fn feed(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.wake = None;
        self.supervisor.handle(self.now, event, &mut actions);
        for action in &actions {
            match action {
                Action::Start { instance, process } => {
                    assert!(self.running.insert(*process, *instance).is_none(), "a number used twice");
                }
                Action::Wake(at) => self.wake = Some(*at),
                _ => {}
            }
        }
        actions.retain(|action| !matches!(action, Action::Wake(_) | Action::Log(_)));
        self.did.extend(actions.iter().cloned());
        actions
    }

    fn becomes_ready(&mut self, process: ProcessId) {
        self.ready.push(process);
        self.feed(Event::Ready(process));
    }

    fn ends(&mut self, process: ProcessId) -> Vec<Action> {
        assert!(self.running.remove(&process).is_some());
        self.ready.retain(|other| *other != process);
        self.feed(Event::Ended(process))
    }

    /// Lets time pass; those that are ready say each second that they live, but for these.
    fn pass(&mut self, time: Duration, silent: &[ProcessId]) {
        let end = self.now + time;
        while self.now < end {
            let next = (self.now + ms(1_000)).min(end);
            match self.wake.filter(|at| *at <= next) {
                Some(at) => {
                    self.now = self.now.max(at);
                    self.feed(Event::Timer);
                }
                None => {
                    self.now = next;
                    for process in self.ready.clone() {
                        if !silent.contains(&process) {
                            self.feed(Event::Alive(process));
                        }
                    }
                }
            }
        }
    }

    fn states(&self) -> Vec<State> {
        self.supervisor.shown().map(|shown| shown.state).collect()
    }
}

fn start(instance: usize, process: ProcessId) -> Action {
    Action::Start { instance, process }
}

#[test]
fn all_start_at_once_and_serve_when_they_say_so() {
    let mut world = World::new(3);
    assert_eq!(world.did, [start(0, 0), start(1, 1), start(2, 2)]);
    world.becomes_ready(1);
    assert_eq!(world.states(), [State::Starting, State::Serving, State::Starting]);
}

#[test]
fn one_that_ends_by_itself_is_followed_later_and_later_until_it_has_settled() {
    let mut world = World::new(1);
    let mut waits = Vec::new();
    for process in 0..6 {
        let ended = world.now;
        assert_eq!(world.ends(process), []);
        assert_eq!(world.states(), [State::Waiting]);
        world.pass(world.wake.unwrap().since(ended), &[]);
        assert_eq!(world.did.last(), Some(&start(0, process + 1)));
        waits.push(world.now.since(ended).as_millis());
    }
    assert_eq!(waits, [100, 200, 400, 800, 800, 800]);
    // Serving for less than it takes to settle changes nothing; for as long, all.
    for (served, wait) in [(9_000, 800), (10_000, 100)] {
        let process = *world.running.keys().last().unwrap();
        world.becomes_ready(process);
        world.pass(ms(served), &[]);
        let ended = world.now;
        world.ends(process);
        assert_eq!(world.wake.unwrap().since(ended), ms(wait));
        world.pass(ms(wait), &[]);
    }
    assert_eq!(world.supervisor.shown().next().unwrap().failures, 8);
}

#[test]
fn instances_are_replaced_one_after_the_other_each_once_its_successor_serves() {
    let mut world = World::serving(3);
    assert_eq!(world.feed(Event::Roll), [start(0, 3)]);
    assert_eq!(world.states(), [State::Rolling, State::Serving, State::Serving]);
    // While the one before stands by, what has taken over is on probation, and nobody else is replaced.
    world.becomes_ready(3);
    assert_eq!(world.did.last(), Some(&start(0, 3)));
    // The one before ends when it likes: that is no failure.
    assert_eq!(world.ends(0), [start(1, 4)]);
    world.becomes_ready(4);
    assert_eq!(world.ends(1), [start(2, 5)]);
    world.becomes_ready(5);
    assert_eq!(world.states(), [State::Serving; 3]);
    world.ends(2);
    let shown: Vec<_> =
        world.supervisor.shown().map(|shown| (shown.process, shown.failures, shown.upgrades)).collect();
    assert_eq!(shown, [(Some(3), 0, 1), (Some(4), 0, 1), (Some(5), 0, 1)]);
    // Nothing is left to be done.
    let before = world.did.len();
    world.pass(ms(30_000), &[]);
    assert_eq!(world.did.len(), before);
}

#[test]
fn a_version_that_does_not_come_up_replaces_nobody() {
    let mut world = World::serving(3);
    world.feed(Event::Roll);
    assert_eq!(world.ends(3), []);
    assert_eq!(world.states(), [State::Serving; 3]);
    // One that hangs is killed first.
    world.feed(Event::Roll);
    let silent = [4];
    world.pass(ms(5_000), &silent);
    assert_eq!(world.did.last(), Some(&Action::Kill(4)));
    assert_eq!(world.ends(4), []);
    assert_eq!(world.states(), [State::Serving; 3]);
    assert!(world.supervisor.shown().all(|shown| shown.upgrades == 0));
}

// Guards against a bad version that takes one instance after the other, and against a third process beside the one that
// serves again.
#[test]
fn a_process_that_takes_its_clients_back_is_the_instances_again_and_the_roll_ends() {
    for ended_first in [true, false] {
        let mut world = World::serving(2);
        world.feed(Event::Roll);
        world.becomes_ready(2);
        if ended_first {
            world.ends(2);
        }
        world.becomes_ready(0);
        let shown = world.supervisor.shown().next().unwrap();
        assert_eq!((shown.state, shown.process), (State::Serving, Some(0)));
        if !ended_first {
            assert_eq!(world.did.last(), Some(&Action::Terminate(2)));
            world.ends(2);
        }
        let before = world.did.len();
        world.pass(ms(30_000), &[]);
        assert_eq!(world.did.len(), before, "{:?}", &world.did[before..]);
        assert_eq!(world.states(), [State::Serving; 2]);
        // A stop ends the one that serves again.
        world.feed(Event::Stop);
        assert!(world.did.contains(&Action::Terminate(0)));
    }
}

#[test]
fn a_process_that_ends_before_its_successor_says_that_it_serves_has_handed_over() {
    let mut world = World::serving(2);
    world.feed(Event::Roll);
    assert_eq!(world.ends(0), []);
    assert_eq!(world.states(), [State::Rolling, State::Serving]);
    world.becomes_ready(2);
    assert_eq!(world.did.last(), Some(&start(1, 3)));
    let shown = world.supervisor.shown().next().unwrap();
    assert_eq!((shown.state, shown.failures, shown.upgrades), (State::Serving, 0, 1));
    // Or it has died, and the successor as well: then the instance starts anew, and nobody else is replaced.
    assert_eq!(world.ends(1), []);
    assert_eq!(world.ends(3), []);
    world.pass(ms(100), &[]);
    assert_eq!(world.did.last(), Some(&start(1, 4)));
    assert_eq!(world.supervisor.shown().nth(1).unwrap().failures, 1);
}

#[test]
fn one_that_is_stuck_is_killed_and_followed() {
    let mut world = World::serving(2);
    world.pass(ms(1_900), &[1]);
    assert_eq!(world.did.len(), 2);
    world.pass(ms(200), &[1]);
    assert_eq!(world.did.last(), Some(&Action::Kill(1)));
    // Once is enough.
    world.pass(ms(5_000), &[1]);
    assert_eq!(world.did.iter().filter(|action| matches!(action, Action::Kill(_))).count(), 1);
    world.ends(1);
    world.pass(ms(100), &[]);
    assert_eq!(world.did.last(), Some(&start(1, 2)));
}

#[test]
fn one_that_is_drained_stays_so_until_it_is_asked_for() {
    let mut world = World::serving(2);
    assert_eq!(world.feed(Event::Drain(0)), [Action::Terminate(0)]);
    assert_eq!(world.feed(Event::Drain(0)), []);
    assert_eq!(world.states(), [State::Draining, State::Serving]);
    assert_eq!(world.feed(Event::Start(1)), []);
    // Asked for before it has ended: it still has the address.
    assert_eq!(world.feed(Event::Start(0)), []);
    assert_eq!(world.ends(0), [start(0, 2)]);
    assert_eq!(world.supervisor.shown().next().unwrap().failures, 0);
    world.becomes_ready(2);
    // One that does not end is killed.
    world.feed(Event::Drain(0));
    world.pass(ms(3_000), &[]);
    assert_eq!(world.did.last(), Some(&Action::Kill(2)));
    assert_eq!(world.ends(2), []);
    world.pass(ms(60_000), &[]);
    assert_eq!(world.states(), [State::Stopped, State::Serving]);
    assert_eq!(world.feed(Event::Start(0)), [start(0, 3)]);
    assert_eq!(world.feed(Event::Drain(7)), []);
}

#[test]
fn all_are_drained_one_after_the_other() {
    let mut world = World::serving(3);
    assert_eq!(world.feed(Event::DrainAll), [Action::Terminate(0)]);
    assert_eq!(world.ends(0), [Action::Terminate(1)]);
    assert_eq!(world.ends(1), [Action::Terminate(2)]);
    assert!(!world.supervisor.is_over());
    world.ends(2);
    assert!(world.supervisor.is_over());
}

#[test]
fn a_stop_ends_successors_too_and_is_over_when_all_have_ended() {
    let mut world = World::serving(2);
    world.feed(Event::Roll);
    let told = world.feed(Event::Stop);
    assert_eq!(told, [Action::Terminate(2), Action::Terminate(0), Action::Terminate(1)]);
    for process in [0, 1, 2] {
        assert!(!world.supervisor.is_over());
        world.ends(process);
    }
    assert!(world.supervisor.is_over());
}

#[test]
fn a_reload_goes_to_those_that_serve_and_not_to_those_that_leave() {
    let mut world = World::serving(2);
    world.feed(Event::Roll);
    world.becomes_ready(2);
    assert_eq!(world.feed(Event::Reload), [Action::Reload(2), Action::Reload(1)]);
}

// Guards against orders of events that nobody thought of.
#[test]
fn whatever_happens_no_instance_runs_twice_and_a_stop_comes_to_its_end() {
    for seed in 0..400 {
        let mut random = fastrand::Rng::with_seed(seed);
        let instances = random.usize(1..5);
        let mut world = World::new(instances);
        for _ in 0..300 {
            let running: Vec<_> = world.running.keys().copied().collect();
            let any = (!running.is_empty()).then(|| running[random.usize(..running.len())]);
            match (random.u32(..12), any) {
                (0, Some(process)) => drop(world.ends(process)),
                (1..=3, Some(process)) => world.becomes_ready(process),
                (4, _) => drop(world.feed(Event::Roll)),
                (5, _) => drop(world.feed(Event::Drain(random.usize(..instances)))),
                (6 | 7, _) => drop(world.feed(Event::Start(random.usize(..instances)))),
                (8, _) => drop(world.feed(Event::Reload)),
                (9, _) => {
                    drop(world.feed(if random.u32(..20) == 0 { Event::DrainAll } else { Event::Timer }))
                }
                _ => world.pass(ms(random.u64(1..1_500)), &[]),
            }
            // What was killed ends, and so does most of what was told to stop.
            let ending: Vec<_> = world
                .did
                .drain(..)
                .filter_map(|action| match action {
                    Action::Kill(process) => Some(process),
                    Action::Terminate(process) => random.bool().then_some(process),
                    _ => None,
                })
                .collect();
            for process in ending {
                if world.running.contains_key(&process) {
                    world.ends(process);
                }
            }
            let rolling = world.states().iter().filter(|state| **state == State::Rolling).count();
            assert!(rolling <= 1, "seed {seed}: {rolling} are replaced at once");
            let held: Vec<_> = world.supervisor.shown().filter_map(|shown| shown.process).collect();
            let lost = held.iter().filter(|process| !world.running.contains_key(process)).count();
            assert_eq!(lost, 0, "seed {seed}: one that has ended is taken for running");
        }
        world.feed(Event::Stop);
        for _ in 0..100 {
            let running: Vec<_> = world.running.keys().copied().collect();
            let Some(process) = running.first() else { break };
            world.ends(*process);
        }
        assert!(world.supervisor.is_over(), "seed {seed}: {:?}", world.states());
        world.pass(ms(60_000), &[]);
        assert!(world.running.is_empty(), "seed {seed}: something was started after the stop");
    }
}
