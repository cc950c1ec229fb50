//! Checks the graceful restart with a model checker, through every order of messages, deaths, hangs, lost
//! links and stops. The model has up to three processes: a process, its successor, and the successor's own
//! successor.

mod system;

use balancer_core::graceful_restart::{PredecessorEvent, PredecessorState, SuccessorEvent, SuccessorState};
use stateright::{Checker, Model, Property};
use system::{Budget, Message, System};

const NO_TWO_ACCEPT: &str =
    "no two processes accept, except where a predecessor gave up on a hung or cut off successor";
const NO_TWO_ACCEPT_PERMANENTLY: &str = "no two processes accept permanently";
const ONE_ACCEPTS_EVENTUALLY: &str =
    "while a process is alive and none was told to stop, one eventually accepts";
const LEAVING_ACCEPTS_NONE: &str = "a leaving process does not accept";
const HANDED_OVER: &str = "a successor serves permanently and its predecessor has departed";
const ROLLED_BACK: &str = "a predecessor rolls back after a death";
const PREDECESSOR_DIED: &str = "a successor continues to serve after its predecessor died";
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
    /// Messages that were sent before still arrive, as on a stream socket.
    CutLink(usize),
}

impl Step {
    /// Returns whether the step needs no fault, new process or time limit.
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

/// The model, with its budget of faults.
struct GracefulRestart(Budget);

impl GracefulRestart {
    /// Returns whether no spontaneous step is left.
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
        for index in 0..state.processes.len() {
            process_steps(state, index, steps);
        }
        if state.budget.cuts > 0 {
            for (index, link) in state.links.iter().enumerate() {
                if link.predecessor_open && link.successor_open && !link.severed {
                    steps.push(Step::CutLink(index));
                }
            }
        }
    }

    fn next_state(&self, before: &System, step: Step) -> Option<System> {
        let mut state = before.clone();
        match step {
            Step::Request(index) => state.start_successor(index),
            Step::Prepare(index) => state.successor_event(index, SuccessorEvent::Prepared),
            Step::PredecessorReads(index) => predecessor_reads(&mut state, index)?,
            Step::SuccessorReads(index) => successor_reads(&mut state, index)?,
            Step::TimeOut(index) => state.predecessor_event(index, PredecessorEvent::TimedOut),
            Step::Stop(index) => {
                state.budget.stops -= 1;
                state.processes[index].signalled = true;
            }
            Step::DeliverSignal(index) => {
                state.processes[index].signalled = false;
                state.stop(index);
            }
            Step::Die(index) => {
                state.budget.deaths -= 1;
                state.end(index);
            }
            Step::Exit(index) => state.end(index),
            Step::Hang(index) => {
                state.budget.hangs -= 1;
                state.processes[index].hangs = true;
            }
            Step::Recover(index) => state.processes[index].hangs = false,
            Step::CutLink(index) => {
                state.budget.cuts -= 1;
                state.links[index].severed = true;
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn accepting(state: &System) -> usize {
            state.processes.iter().filter(|process| process.accepts).count()
        }
        vec![
            Property::always(NO_TWO_ACCEPT, |_, state: &System| {
                accepting(state) <= 1 || state.gave_up_on_accepting
            }),
            Property::always(NO_TWO_ACCEPT_PERMANENTLY, |model: &Self, state: &System| {
                !model.is_settled(state) || accepting(state) <= 1
            }),
            Property::always(ONE_ACCEPTS_EVENTUALLY, |model: &Self, state: &System| {
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

/// Adds the steps of the process at `index`, including faults.
fn process_steps(state: &System, index: usize, steps: &mut Vec<Step>) {
    let process = &state.processes[index];
    if !process.alive {
        return;
    }
    if state.budget.deaths > 0 {
        steps.push(Step::Die(index));
    }
    if process.hangs {
        steps.push(Step::Recover(index));
        return;
    }
    if state.budget.hangs > 0 {
        steps.push(Step::Hang(index));
    }
    if process.leaves {
        steps.push(Step::Exit(index));
        return;
    }
    // A pending signal is handled before anything else.
    if process.signalled {
        steps.push(Step::DeliverSignal(index));
        return;
    }
    if state.budget.stops > 0 {
        steps.push(Step::Stop(index));
    }
    let last = state.processes.len() - 1;
    let handing_over = state.predecessor_state(index) != PredecessorState::Serving;
    if index == last && state.budget.successors > 0 && process.serves() && !handing_over {
        steps.push(Step::Request(index));
    }
    if index < last && handing_over {
        if state.is_readable(index, true) {
            steps.push(Step::PredecessorReads(index));
        }
        if state.links[index].predecessor_open {
            steps.push(Step::TimeOut(index));
        }
    }
    if index > 0 {
        if state.is_readable(index - 1, false) {
            steps.push(Step::SuccessorReads(index));
        }
        if process.successor_state() == Some(SuccessorState::Preparing) {
            steps.push(Step::Prepare(index));
        }
    }
}

/// Returns `None` if the next message is not one that a successor sends.
fn predecessor_reads(state: &mut System, index: usize) -> Option<()> {
    let event = match state.read(index, true) {
        Some(Message::Ready) => PredecessorEvent::SuccessorReady,
        Some(Message::Accepting) => PredecessorEvent::SuccessorAccepting,
        Some(Message::Release) => PredecessorEvent::Released,
        Some(Message::Decline) => PredecessorEvent::Declined,
        Some(Message::Proceed | Message::Commit | Message::Departed | Message::Cancel) => return None,
        None if state.link_ended(index, true) => PredecessorEvent::SuccessorDied,
        None => PredecessorEvent::LinkLost,
    };
    // The successor sends nothing after these messages, so the link is closed.
    if matches!(event, PredecessorEvent::Released | PredecessorEvent::Declined) {
        state.links[index].predecessor_open = false;
    }
    let stood_by = state.predecessor_state(index) == PredecessorState::StandingBy;
    state.predecessor_event(index, event);
    let died = event == PredecessorEvent::SuccessorDied;
    state.rolled_back |= died && stood_by && state.processes[index].accepts;
    Some(())
}

/// Returns `None` if the next message is not one that a predecessor sends.
fn successor_reads(state: &mut System, index: usize) -> Option<()> {
    let event = match state.read(index - 1, false) {
        Some(Message::Proceed) => SuccessorEvent::Proceed,
        Some(Message::Commit) => SuccessorEvent::Committed,
        Some(Message::Departed) => SuccessorEvent::PredecessorDeparted,
        Some(Message::Cancel) => SuccessorEvent::Cancelled,
        Some(Message::Ready | Message::Accepting | Message::Release | Message::Decline) => return None,
        None if state.link_ended(index - 1, false) => SuccessorEvent::PredecessorDied,
        None => SuccessorEvent::LinkLost,
    };
    state.successor_event(index, event);
    Some(())
}

/// Guards against a fault during a hand-over that leaves no process, or two processes, accepting connections.
/// The checker visits every order of steps that the budgets allow.
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
                // Without the link, a process that shuts down gracefully looks as if it had died.
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
