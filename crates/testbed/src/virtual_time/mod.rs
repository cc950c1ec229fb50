//! Runs a scenario in virtual time: a discrete-event simulation with the real decisions, one instance for each node. It uses
//! one thread, no wall clock and nothing from outside, so the same script gives the same bytes every time.
//!
//! What a node does beside deciding (its driver, its connections, its discovery client) is done here as the daemon does it,
//! as far as it shows from outside. The judge records what an observer would see.

mod attempts;
mod clients;
mod discovery;
mod event_queue;
mod faults;
mod nodes;
mod servers;
mod simulation;
mod state;

use crate::run_result::RunResult;
use crate::script::Script;
use balancer_core::{Action, Balancer, Event, LearnedState, Settings, Timestamp};
use simulation::Simulation;

/// The decisions of a node: the real ones, or those of a test that breaks a rule.
pub trait Decisions {
    /// Takes in an event and appends what the node must do.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);

    /// The learned state that is handed over to a successor; `None` if there is none.
    fn learned_state(&self, _now: Timestamp) -> Option<LearnedState> {
        None
    }
}

impl Decisions for Balancer {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn learned_state(&self, now: Timestamp) -> Option<LearnedState> {
        Some(Balancer::learned_state(self, now))
    }
}

/// Makes the decisions of a node from its settings and a seed.
pub type MakeDecisions<'a> = &'a mut dyn FnMut(Settings, u64) -> Box<dyn Decisions>;

/// What the driver of a node does, whatever its decisions say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// It fails a request that the decisions have left unanswered until shortly before its deadline.
    pub answers_in_time: bool,
    /// It sends nothing for a request that has its final answer, or to a server that is not ready.
    pub suppresses_late_sends: bool,
}

impl Safeguards {
    /// The safeguards of the daemon.
    pub const ALL: Self = Self { answers_in_time: true, suppresses_late_sends: true };
}

/// Runs a script with the real decisions.
pub fn run(script: &Script) -> RunResult {
    run_with(script, Safeguards::ALL, &mut |settings, seed| Box::new(Balancer::new(settings, seed)))
}

/// Runs a script with other decisions.
pub fn run_with(script: &Script, safeguards: Safeguards, make_decisions: MakeDecisions) -> RunResult {
    Simulation::new(script, safeguards, make_decisions).run()
}
