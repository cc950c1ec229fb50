//! A model checker runs the graceful restart through every order of messages, deaths, hangs, lost links and stops: a
//! process, its successor, and the successor's own.

mod system;

use balancer_core::graceful_restart::{PredecessorEvent, PredecessorState, SuccessorEvent, SuccessorState};
use stateright::{Checker, Model, Property};
use system::{Budget, Message, System};

const ONE_ACCEPTS: &str =
    "two never accept, except where a predecessor gave up on a hung or cut off successor";
const ONE_ACCEPTS_FOR_GOOD: &str = "two never accept for good";
const SOMEBODY_ACCEPTS: &str = "while a process lives and none was told to stop, one accepts in the end";
const LEAVING_ACCEPTS_NONE: &str = "a process that leaves does not accept";
const HANDED_OVER: &str = "a successor serves for good and its predecessor has departed";
const ROLLED_BACK: &str = "a predecessor rolls back after a death";
const PREDECESSOR_DIED: &str = "a successor serves on after its predecessor died";
const FENCED: &str = "a successor that was cut off is fenced";
const HANDED_OVER_TWICE: &str = "a third process serves and the first has departed";

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Request(usize),
    Prepare(usize),
    PredecessorReads(usize),
    SuccessorReads(usize),
    TimeOut(usize),
    Stop(usize),
    DeliverSignal(usize),
    Die(usize),
    Exit(usize),
    Hang(usize),
    Recover(usize),
    /// What was written before arrives still, as on a stream socket.
    CutLink(usize),
}

impl Step {
    /// Whether it happens by itself, without a fault, a new process or a time limit.
    fn is_spontaneous(self) -> bool {
        matches!(
            self,
            Self::PredecessorReads(_)
                | Self::SuccessorReads(_)
                | Self::Prepare(_)
                | Self::Recover(_)
                | Self::DeliverSignal(_)
                | Self::Exit(_)
        )
    }
}

/// The model, with the faults of a run.
struct GracefulRestart(Budget);

impl GracefulRestart {
    /// Whether nothing more happens by itself.
    fn is_settled(&self, state: &System) -> bool {
        let mut steps = Vec::new();
        self.actions(state, &mut steps);
        !steps.into_iter().any(Step::is_spontaneous)
    }
}

impl Model for GracefulRestart {
    type State = System;
    type Action = Step;

    fn init_states(&self) -> Vec<System> {
        vec![System::new(self.0)]
    }

    fn actions(&self, state: &System, steps: &mut Vec<Step>) {
        for place in 0..state.processes.len() {
            process_steps(state, place, steps);
        }
        if state.budget.cuts > 0 {
            for (place, link) in state.links.iter().enumerate() {
                if link.upper_open && link.lower_open && !link.severed {
                    steps.push(Step::CutLink(place));
                }
            }
        }
    }

    fn next_state(&self, before: &System, step: Step) -> Option<System> {
        let mut state = before.clone();
        match step {
            Step::Request(place) => state.start_successor(place),
            Step::Prepare(place) => state.successor_event(place, SuccessorEvent::Prepared),
            Step::PredecessorReads(place) => predecessor_reads(&mut state, place)?,
            Step::SuccessorReads(place) => successor_reads(&mut state, place)?,
            Step::TimeOut(place) => state.predecessor_event(place, PredecessorEvent::TimedOut),
            Step::Stop(place) => {
                state.budget.stops -= 1;
                state.processes[place].signalled = true;
            }
            Step::DeliverSignal(place) => {
                state.processes[place].signalled = false;
                state.stop(place);
            }
            Step::Die(place) => {
                state.budget.deaths -= 1;
                state.end(place);
            }
            Step::Exit(place) => state.end(place),
            Step::Hang(place) => {
                state.budget.hangs -= 1;
                state.processes[place].hangs = true;
            }
            Step::Recover(place) => state.processes[place].hangs = false,
            Step::CutLink(place) => {
                state.budget.cuts -= 1;
                state.links[place].severed = true;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn accepting(state: &System) -> usize {
            state.processes.iter().filter(|process| process.accepts).count()
        }
        vec![
            Property::always(ONE_ACCEPTS, |_, state: &System| accepting(state) <= 1 || state.overtaken),
            Property::always(ONE_ACCEPTS_FOR_GOOD, |model: &Self, state: &System| {
                !model.is_settled(state) || accepting(state) <= 1
            }),
            Property::always(SOMEBODY_ACCEPTS, |model: &Self, state: &System| {
                let lives = state.processes.iter().any(|process| process.alive && !process.leaves);
                !model.is_settled(state) || state.stopped || !lives || accepting(state) == 1
            }),
            Property::always(LEAVING_ACCEPTS_NONE, |_, state: &System| {
                state.processes.iter().all(|process| !(process.accepts && process.leaves))
            }),
            Property::sometimes(HANDED_OVER, |_, state: &System| {
                let [_, second, ..] = &state.processes[..] else { return false };
                second.successor_state() == Some(SuccessorState::Serving)
                    && state.predecessor_state(0) == PredecessorState::Departed
                    && !state.stopped
            }),
            Property::sometimes(ROLLED_BACK, |_, state: &System| state.rolled_back),
            Property::sometimes(PREDECESSOR_DIED, |_, state: &System| {
                let [first, second, ..] = &state.processes[..] else { return false };
                !first.alive && !first.leaves && second.serves() && second.accepts
            }),
            Property::sometimes(FENCED, |_, state: &System| state.fenced && state.processes[1].leaves),
            Property::sometimes(HANDED_OVER_TWICE, |_, state: &System| {
                let [_, _, third] = &state.processes[..] else { return false };
                third.serves()
                    && third.accepts
                    && state.predecessor_state(0) == PredecessorState::Departed
                    && !state.stopped
            }),
        ]
    }
}

/// Adds what the process at `place` may do, or what may happen to it.
fn process_steps(state: &System, place: usize, steps: &mut Vec<Step>) {
    let process = &state.processes[place];
    if !process.alive {
        return;
    }
    if state.budget.deaths > 0 {
        steps.push(Step::Die(place));
    }
    if process.hangs {
        steps.push(Step::Recover(place));
        return;
    }
    if state.budget.hangs > 0 {
        steps.push(Step::Hang(place));
    }
    if process.leaves {
        steps.push(Step::Exit(place));
        return;
    }
    // A signal comes before all else.
    if process.signalled {
        steps.push(Step::DeliverSignal(place));
        return;
    }
    if state.budget.stops > 0 {
        steps.push(Step::Stop(place));
    }
    let last = state.processes.len() - 1;
    let handing_over = state.predecessor_state(place) != PredecessorState::Serving;
    if place == last && state.budget.successors > 0 && process.serves() && !handing_over {
        steps.push(Step::Request(place));
    }
    if place < last && handing_over {
        if state.is_readable(place, true) {
            steps.push(Step::PredecessorReads(place));
        }
        if state.links[place].upper_open {
            steps.push(Step::TimeOut(place));
        }
    }
    if place > 0 {
        if state.is_readable(place - 1, false) {
            steps.push(Step::SuccessorReads(place));
        }
        if process.successor_state() == Some(SuccessorState::Preparing) {
            steps.push(Step::Prepare(place));
        }
    }
}

/// `None` if the next message is no successor's.
fn predecessor_reads(state: &mut System, place: usize) -> Option<()> {
    let event = match state.read(place, true) {
        Some(Message::Ready) => PredecessorEvent::SuccessorReady,
        Some(Message::Accepting) => PredecessorEvent::SuccessorAccepting,
        Some(Message::Release) => PredecessorEvent::Released,
        Some(Message::Decline) => PredecessorEvent::Declined,
        Some(Message::Proceed | Message::Commit | Message::Departed | Message::Cancel) => return None,
        None if state.link_ended(place, true) => PredecessorEvent::SuccessorDied,
        None => PredecessorEvent::LinkLost,
    };
    // A message after which nothing more follows ends the link.
    if matches!(event, PredecessorEvent::Released | PredecessorEvent::Declined) {
        state.links[place].upper_open = false;
    }
    let stood_by = state.predecessor_state(place) == PredecessorState::StandingBy;
    state.predecessor_event(place, event);
    let died = event == PredecessorEvent::SuccessorDied;
    state.rolled_back |= died && stood_by && state.processes[place].accepts;
    Some(())
}

/// `None` if the next message is no predecessor's.
fn successor_reads(state: &mut System, place: usize) -> Option<()> {
    let event = match state.read(place - 1, false) {
        Some(Message::Proceed) => SuccessorEvent::Proceed,
        Some(Message::Commit) => SuccessorEvent::Committed,
        Some(Message::Departed) => SuccessorEvent::PredecessorDeparted,
        Some(Message::Cancel) => SuccessorEvent::Cancelled,
        Some(Message::Ready | Message::Accepting | Message::Release | Message::Decline) => return None,
        None if state.link_ended(place - 1, false) => SuccessorEvent::PredecessorDied,
        None => SuccessorEvent::LinkLost,
    };
    state.successor_event(place, event);
    Some(())
}

/// A fault at any point of a hand-over could leave the clients with no process that accepts, or with two that compete
/// for them. The checker visits every order that the budgets allow.
#[test]
fn every_order_of_messages_and_faults_leaves_one_living_process_accepting() {
    let quiet = Budget { successors: 2, deaths: 0, hangs: 0, cuts: 0, stops: 0 };
    let budgets = [
        quiet,
        Budget { deaths: 2, ..quiet },
        Budget { deaths: 1, hangs: 1, ..quiet },
        Budget { deaths: 1, cuts: 1, ..quiet },
        Budget { hangs: 1, cuts: 1, ..quiet },
        Budget { deaths: 1, stops: 1, ..quiet },
        Budget { deaths: 2, hangs: 1, cuts: 1, ..quiet },
        Budget { deaths: 1, hangs: 1, cuts: 1, stops: 1, ..quiet },
        Budget { hangs: 1, stops: 1, ..quiet },
        Budget { cuts: 1, stops: 1, ..quiet },
    ];
    for budget in budgets {
        let checker = GracefulRestart(budget).checker().spawn_bfs().join();
        for property in GracefulRestart(budget).properties() {
            let found = checker.discovery(property.name).map(stateright::Path::into_actions);
            let possible = match property.name {
                // Cut off, a process that stops in order looks as if it had died.
                ROLLED_BACK => budget.deaths > 0 || (budget.cuts > 0 && budget.stops > 0),
                PREDECESSOR_DIED => budget.deaths > 0,
                FENCED => budget.cuts > 0,
                _ => true,
            };
            let wanted = property.expectation == stateright::Expectation::Sometimes && possible;
            assert_eq!(found.is_some(), wanted, "{budget:?}, {}: {found:?}", property.name);
        }
        println!("{budget:?}: {} states", checker.unique_state_count());
    }
}
