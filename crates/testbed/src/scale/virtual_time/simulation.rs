//! Simulates a scene: the event loop, and the effects of events on nodes and replicas. `calls` simulates the
//! calls of nodes.

use super::client::{ClientDecisionLogic, ClientStart};
use super::event_queue::{EventQueue, SimulationEvent};
use super::measure::{Outcome, ReplicaOutcome, SentLines};
use super::nodes::{CallResult, Node};
use super::replica::Replica;
use super::scene::{Scene, SceneEvent};
use super::versions::{Versions, FIRST_VERSION};
use crate::random::RandomSource;
use crate::scale::messages::{Answering, ListedServer};
use crate::scale::steps::{servers_at_start, Step};
use std::collections::BTreeSet;
use std::time::Duration;

/// One-way latency between a node and a replica.
pub(super) const LATENCY: Duration = Duration::from_millis(5);
/// Period over which the first calls of nodes that run from the beginning are spread, as in a fleet that has
/// been running for long.
const FIRST_CALLS: Duration = Duration::from_secs(20);

/// Creates the decision logic of a node's discovery client.
pub type MakeClient<'a> = &'a mut dyn FnMut(ClientStart) -> Box<dyn ClientDecisionLogic>;

/// Runs a scene with the real decision logic.
pub fn run(scene: &Scene) -> Outcome {
    run_with(scene, &mut |start| start.client())
}

/// Runs a scene with the real decision logic. Also returns the lines that replicas processed.
pub fn run_traced(scene: &Scene) -> (Outcome, Vec<SentLines>) {
    let mut make_client = |start: ClientStart| start.client();
    let simulation = Simulation { traced: true, ..Simulation::new(scene, &mut make_client) };
    simulation.run()
}

/// Runs a scene with the decision logic that `make_client` creates.
pub fn run_with(scene: &Scene, make_client: MakeClient) -> Outcome {
    Simulation::new(scene, make_client).run().0
}

pub(super) struct Simulation<'a> {
    pub(super) scene: &'a Scene,
    make_client: MakeClient<'a>,
    pub(super) now: Duration,
    pub(super) events: EventQueue,
    pub(super) versions: Versions,
    /// The names of the servers on the list at the start.
    initial_servers: Vec<String>,
    pub(super) nodes: Vec<Node>,
    pub(super) replicas: Vec<Replica>,
    pub(super) counts: Vec<ReplicaOutcome>,
    /// The values of `counts` at the beginning of the measurement.
    counts_at_measurement_start: Vec<ReplicaOutcome>,
    /// The regions that are cut off from the others.
    cut_off: BTreeSet<u32>,
    pub(super) outcome: Outcome,
    pub(super) traced: bool,
    pub(super) sent: Vec<SentLines>,
}

impl<'a> Simulation<'a> {
    fn new(scene: &'a Scene, make_client: MakeClient<'a>) -> Self {
        let script = &scene.script;
        let servers = servers_at_start(script);
        let random = RandomSource::new(script.seed).derive(0x7669_7274);
        let replicas = script.known_replicas();
        Self {
            scene,
            make_client,
            now: Duration::ZERO,
            events: EventQueue::default(),
            versions: Versions::new(&servers),
            initial_servers: servers.into_iter().map(|server| server.host).collect(),
            nodes: (0..script.nodes).map(|node| Node::new(random.derive(u64::from(node)))).collect(),
            replicas: (0..replicas).map(|_| Replica::new(&script.capacity, script.servers)).collect(),
            counts: vec![ReplicaOutcome::default(); replicas as usize],
            counts_at_measurement_start: vec![ReplicaOutcome::default(); replicas as usize],
            cut_off: BTreeSet::new(),
            outcome: Outcome { nodes: script.nodes, ..Outcome::default() },
            traced: false,
            sent: Vec::new(),
        }
    }

    fn run(mut self) -> (Outcome, Vec<SentLines>) {
        let script = &self.scene.script;
        let end = script.settle + script.length + script.catch_up;
        self.events.schedule(script.settle, SimulationEvent::MeasurementBegins);
        for (index, (at, _)) in self.scene.events.iter().enumerate() {
            self.events.schedule(script.settle + *at, SimulationEvent::SceneEvent(index));
        }
        if self.scene.starts_running {
            (0..script.nodes).for_each(|node| self.start_with_list(node));
        }
        while let Some((at, event)) = self.events.pop().filter(|(at, _)| *at <= end) {
            self.now = at;
            self.handle(event);
        }
        self.finish(end)
    }

    /// Starts a node that runs and has the list from the beginning.
    fn start_with_list(&mut self, node: u32) {
        let list = Some((FIRST_VERSION, self.initial_servers.as_slice()));
        let decision_logic = (self.make_client)(ClientStart { scene: self.scene, node, list });
        let first_calls = FIRST_CALLS.min(self.scene.script.settle);
        let state = &mut self.nodes[node as usize];
        (state.up, state.version, state.decision_logic) = (true, Some(FIRST_VERSION), Some(decision_logic));
        let at = first_calls.mul_f64(state.first_call_fraction());
        self.events.schedule(at, SimulationEvent::CallBegins { node, incarnation: 0 });
    }

    fn finish(mut self, end: Duration) -> (Outcome, Vec<SentLines>) {
        let script = &self.scene.script;
        let latest = self.versions.latest();
        for node in self.nodes.iter().filter(|node| node.up) {
            self.outcome.never += latest - node.version.unwrap_or(0).max(node.counted_after).min(latest);
            self.outcome.without_list += u64::from(node.version.is_none());
        }
        let capacity = &script.capacity;
        let lines = self.outcome.launches as f64 * (capacity.call_lines + f64::from(script.servers));
        let rate = capacity.lines_per_second * f64::from(script.known_replicas());
        self.outcome.sending_takes = Duration::from_secs_f64(lines / rate);
        self.outcome.measured = end.saturating_sub(script.settle);
        self.outcome.changes = latest - FIRST_VERSION;
        self.outcome.replicas = self.current_counts();
        for (replica, before) in self.outcome.replicas.iter_mut().zip(&self.counts_at_measurement_start) {
            *replica = replica.since(before);
        }
        (self.outcome, self.sent)
    }

    fn current_counts(&self) -> Vec<ReplicaOutcome> {
        let pairs = self.counts.iter().zip(&self.replicas);
        let counts = pairs.map(|(counts, replica)| ReplicaOutcome {
            lines: replica.queue.lines(),
            longest_queue: replica.queue.longest_wait(),
            ..*counts
        });
        counts.collect()
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::SceneEvent(index) => self.handle_scene_event(index),
            SimulationEvent::MeasurementBegins => self.counts_at_measurement_start = self.current_counts(),
            SimulationEvent::CallBegins { node, incarnation } => self.begin_call(node, incarnation),
            SimulationEvent::CallArrives(call) => self.call_arrives(call),
            SimulationEvent::CallHandled(call) => self.call_handled(call),
            SimulationEvent::WatchTimesOut(call) => self.watch_times_out(call),
            SimulationEvent::AnswerSent(call) => self.answer_sent(call),
            SimulationEvent::CallEnds(call) => self.call_ends(call),
            SimulationEvent::CallTimesOut(call) => self.call_times_out(call),
            SimulationEvent::VersionReplicated { replica, version } => self.replicate(replica, version),
        }
    }

    fn handle_scene_event(&mut self, index: usize) {
        let scene = self.scene;
        match &scene.events[index].1 {
            SceneEvent::Step(step) => self.execute(step),
            SceneEvent::CutOff { region } => self.cut_off(*region),
            SceneEvent::Reconnect { region } => self.reconnect(*region),
        }
    }

    fn execute(&mut self, step: &Step) {
        match step {
            Step::Change { server, .. } => self.change(server),
            Step::Kill(nodes) => nodes.iter().for_each(|node| self.kill(*node)),
            Step::Launch(nodes) => nodes.iter().for_each(|node| self.launch(*node)),
            Step::SetAnswering { replicas, answering } => {
                replicas.iter().for_each(|replica| self.set_answering(*replica, *answering));
            }
            Step::SetLag { replica, by } => self.set_lag(*replica, *by),
            // `Scene::of_script` rejects scripts with these steps.
            Step::LoseState { .. } | Step::RestoreState { .. } | Step::SetReplicas(_) => {}
        }
    }

    fn change(&mut self, server: &ListedServer) {
        let version = self.versions.record_change(server, self.now);
        for replica in 0..self.replicas.len() as u32 {
            let lag = self.replicas[replica as usize].lag;
            let event = SimulationEvent::VersionReplicated { replica, version };
            self.events.schedule(self.now + lag, event);
        }
    }

    fn set_lag(&mut self, replica: u32, lag: Duration) {
        let Some(state) = self.replicas.get_mut(replica as usize) else { return };
        state.lag = lag;
        if lag.is_zero() {
            self.replicate(replica, self.versions.latest());
        }
    }

    /// Replicates changes to a replica, unless its region is cut off from the region in which changes
    /// originate.
    fn replicate(&mut self, replica: u32, version: u64) {
        if self.cut_off.contains(&self.scene.region_of_replica(replica)) {
            return;
        }
        let state = &mut self.replicas[replica as usize];
        state.apply_changes(&self.versions, version);
        self.answer_watches(replica);
    }

    /// Answers the watches that a replica has newer changes for.
    fn answer_watches(&mut self, replica: u32) {
        let state = &mut self.replicas[replica as usize];
        if state.answering == Answering::Up {
            for call in state.take_due_watches() {
                self.send_answer(call);
            }
        }
    }

    fn kill(&mut self, node: u32) {
        self.drop_call(node);
        let state = &mut self.nodes[node as usize];
        state.incarnation += 1;
        (state.up, state.version, state.launched_at) = (false, None, None);
        (state.connection, state.decision_logic) = (None, None);
    }

    fn launch(&mut self, node: u32) {
        let decision_logic = (self.make_client)(ClientStart { scene: self.scene, node, list: None });
        let state = &mut self.nodes[node as usize];
        (state.up, state.decision_logic, state.launched_at) = (true, Some(decision_logic), Some(self.now));
        state.counted_after = self.versions.latest();
        self.outcome.launches += 1;
        let event = SimulationEvent::CallBegins { node, incarnation: state.incarnation };
        self.events.schedule(self.now, event);
    }

    fn set_answering(&mut self, replica: u32, answering: Answering) {
        let Some(state) = self.replicas.get_mut(replica as usize) else { return };
        state.answering = answering;
        match answering {
            Answering::Up => self.resume(replica),
            Answering::Away => self.reset_connections(replica),
            Answering::Silent => {}
        }
    }

    /// Processes the calls and answers that were held back while a replica was silent.
    fn resume(&mut self, replica: u32) {
        let state = &mut self.replicas[replica as usize];
        let calls = std::mem::take(&mut state.held_calls);
        let answers = std::mem::take(&mut state.held_answers);
        calls.into_iter().for_each(|call| self.serve(call));
        answers.into_iter().for_each(|call| self.answer_sent(call));
        self.answer_watches(replica);
    }

    fn reset_connections(&mut self, replica: u32) {
        self.replicas[replica as usize].clear_calls();
        for node in 0..self.nodes.len() as u32 {
            let state = &mut self.nodes[node as usize];
            if state.connection.is_some_and(|connection| connection.replica == replica) {
                state.connection = None;
                self.end_call(node, CallResult::Failed, LATENCY);
            }
        }
    }

    fn cut_off(&mut self, region: u32) {
        self.cut_off.insert(region);
        for node in 0..self.nodes.len() as u32 {
            let call = self.nodes[node as usize].call.as_ref();
            let replica = call.map(|call| call.parameters.replica);
            let can_communicate = replica.is_none_or(|replica| self.can_communicate(node, replica));
            if let Some(call) = self.nodes[node as usize].call.as_mut() {
                call.lost |= !can_communicate;
            }
        }
    }

    fn reconnect(&mut self, region: u32) {
        self.cut_off.remove(&region);
        for replica in 0..self.replicas.len() as u32 {
            if self.scene.region_of_replica(replica) == region {
                self.replicate(replica, self.versions.latest());
            }
        }
    }

    /// Returns whether messages pass between a node and a replica.
    pub(super) fn can_communicate(&self, node: u32, replica: u32) -> bool {
        let (from, to) = (self.scene.region_of_node(node), self.scene.region_of_replica(replica));
        from == to || !self.cut_off.contains(&from) && !self.cut_off.contains(&to)
    }
}
