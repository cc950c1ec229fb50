//! Runs a scenario in virtual time: a discrete-event simulation with the production balancer, one instance
//! for each node. It uses one thread, no wall clock and no external input, so the same script always gives
//! the same bytes.
//!
//! The simulation replaces the parts of a node around the balancer: its driver, its connections and its
//! discovery client. They behave like those of the daemon, as far as this is visible from outside. The judge
//! records only what an outside observer would see.

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

/// The decision logic of a node: the production balancer, or a test's variant that breaks a rule.
pub trait DecisionLogic {
    /// Handles an event and appends the resulting actions of the node.
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>);

    /// Returns the learned state to hand over to a successor, if there is one.
    fn learned_state(&self, _now: Timestamp) -> Option<LearnedState> {
        None
    }
}

impl DecisionLogic for Balancer {
    fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn learned_state(&self, now: Timestamp) -> Option<LearnedState> {
        Some(Balancer::learned_state(self, now))
    }
}

/// Creates the decision logic of a node from its settings and a seed.
pub type MakeDecisionLogic<'a> = &'a mut dyn FnMut(Settings, u64) -> Box<dyn DecisionLogic>;

/// The safeguards that the driver of a node applies independently of its decision logic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DriverSafeguards {
    /// The driver fails a request that the decision logic has not answered shortly before its deadline.
    pub fails_overdue_requests: bool,
    /// The driver sends nothing for a request that has its final answer, and nothing to a server that is not
    /// ready.
    pub suppresses_late_sends: bool,
}

impl DriverSafeguards {
    /// All safeguards, as in the daemon.
    pub const ALL: Self = Self { fails_overdue_requests: true, suppresses_late_sends: true };
}

/// Runs a script with the production balancer.
pub fn run(script: &Script) -> RunResult {
    run_with(script, DriverSafeguards::ALL, &mut |settings, seed| Box::new(Balancer::new(settings, seed)))
}

/// Runs a script with other decision logic and safeguards.
pub fn run_with(
    script: &Script,
    safeguards: DriverSafeguards,
    make_decision_logic: MakeDecisionLogic,
) -> RunResult {
    Simulation::new(script, safeguards, make_decision_logic).run()
}
