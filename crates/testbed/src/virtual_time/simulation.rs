//! The simulation: its initial state and the dispatch of its events.

use super::event_queue::{EventQueue, SimulationEvent};
use super::state::{ClientRequest, ListedState, Node, Process, Server, StartedOperation};
use super::{DriverSafeguards, MakeDecisionLogic};
use crate::counts::Counts;
use crate::fault_schedule::{changes, Change, ServerCondition};
use crate::fleet;
use crate::judge::Judge;
use crate::models::Origin;
use crate::placement::Placement;
use crate::random::{RandomSource, RUN_PURPOSE};
use crate::run_result::{hit_rate, RunResult, Sample};
use crate::script::Script;
use crate::workload::{Operation, Workload};
use balancer_core::{EndpointState, ServerId, Timestamp};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// The time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// The version of the endpoint list at the start.
const FIRST_LIST_VERSION: u64 = 1;

pub(super) struct Simulation<'a> {
    pub(super) script: &'a Script,
    pub(super) safeguards: DriverSafeguards,
    pub(super) make_decision_logic: MakeDecisionLogic<'a>,
    pub(super) now: Timestamp,
    pub(super) events: EventQueue,
    pub(super) judge: Judge,
    pub(super) random: RandomSource,
    pub(super) workload: Workload<'a>,
    pub(super) next_operation: Option<Operation>,
    pub(super) operations: Vec<StartedOperation>,
    pub(super) requests: Vec<ClientRequest>,
    pub(super) changes: Vec<Change>,
    pub(super) servers: Vec<Server>,
    pub(super) server_by_id: HashMap<ServerId, usize>,
    pub(super) placement: Option<Placement>,
    /// The present server by index in the fleet.
    pub(super) server_at: Vec<usize>,
    /// The condition of the server by index in the fleet.
    pub(super) conditions: Vec<ServerCondition>,
    /// The time at which the connection state was last lost, by index in the fleet. Connections that were
    /// established up to this time are half-open.
    pub(super) connection_state_lost_at: Vec<Option<Timestamp>>,
    pub(super) processes: Vec<Process>,
    pub(super) nodes: Vec<Node>,
    /// The nodes to which the front sends requests, by zone.
    pub(super) nodes_in_rotation: Vec<Vec<usize>>,
    pub(super) origin: Origin,
    /// The time of the next valid [`SimulationEvent::OriginWakeup`]. Others are ignored.
    pub(super) origin_wakeup: Option<Timestamp>,
    pub(super) discovery: DiscoveryState,
    pub(super) longest_deadline: Duration,
    pub(super) statistics: Statistics,
}

/// The state of the discovery service.
pub(super) struct DiscoveryState {
    pub(super) available: bool,
    pub(super) list_version: u64,
    /// The time at which all lines in the send queue are sent.
    pub(super) free_at: Timestamp,
    /// The fraction of answers that are truncated or malformed.
    pub(super) error_rate: f64,
    /// The number of answers so far.
    pub(super) answers: u64,
}

/// The statistics of a run. Together with the verdict, they make up the result.
#[derive(Default)]
pub(super) struct Statistics {
    pub(super) hits: u64,
    pub(super) misses: u64,
    pub(super) fetches_accepted: u64,
    pub(super) fetches_rejected: u64,
    pub(super) longest_origin_queue: usize,
    pub(super) log_lines: u64,
    pub(super) samples: Vec<Sample>,
    /// The number of misses up to the last sample.
    pub(super) sampled_misses: u64,
    /// The counts by second.
    pub(super) counts: Vec<Counts>,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(
        script: &'a Script,
        safeguards: DriverSafeguards,
        make_decision_logic: MakeDecisionLogic<'a>,
    ) -> Self {
        let mut simulation = Self::empty(script, safeguards, make_decision_logic);
        simulation.start_servers();
        simulation.start_nodes();
        simulation.schedule_changes();
        simulation.events.schedule(simulation.now + SAMPLE_INTERVAL, SimulationEvent::Sample);
        simulation.schedule_next_operation();
        simulation
    }

    /// Creates a simulation without servers, nodes and events.
    fn empty(
        script: &'a Script,
        safeguards: DriverSafeguards,
        make_decision_logic: MakeDecisionLogic<'a>,
    ) -> Self {
        let seconds = script.length.as_secs_f64().ceil() as usize;
        Self {
            script,
            safeguards,
            make_decision_logic,
            now: Timestamp::default(),
            events: EventQueue::default(),
            judge: Judge::new(script),
            random: RandomSource::new(script.seed).derive(RUN_PURPOSE),
            workload: Workload::new(script),
            next_operation: None,
            operations: Vec::new(),
            requests: Vec::new(),
            changes: Vec::new(),
            servers: Vec::new(),
            server_by_id: HashMap::new(),
            placement: None,
            server_at: Vec::new(),
            conditions: vec![ServerCondition::default(); fleet::server_count(script)],
            connection_state_lost_at: vec![None; fleet::server_count(script)],
            processes: Vec::new(),
            nodes: Vec::new(),
            nodes_in_rotation: vec![Vec::new(); script.zones.len()],
            origin: Origin::new(script.origin.clone()),
            origin_wakeup: None,
            discovery: DiscoveryState {
                available: true,
                list_version: FIRST_LIST_VERSION,
                free_at: Timestamp::default(),
                error_rate: 0.0,
                answers: 0,
            },
            longest_deadline: script.longest_deadline(),
            statistics: Statistics { counts: vec![Counts::default(); seconds], ..Statistics::default() },
        }
    }

    fn start_servers(&mut self) {
        for index in 0..fleet::server_count(self.script) {
            self.server_at.push(index);
            let listed = ListedState { state: EndpointState::Ready, started_at: None, version: 0 };
            self.start_server(index, listed, true);
        }
        self.fill_caches();
    }

    fn start_nodes(&mut self) {
        for node in 0..self.script.nodes as usize {
            let zone = fleet::node_zone(self.script, node);
            let settings = fleet::node_settings(self.script, zone);
            let decision_logic = (self.make_decision_logic)(settings, self.random.derive(node as u64).bits());
            self.nodes.push(Node {
                zone,
                decision_logic,
                reloads: 0,
                incarnation: 0,
                up: false,
                shutting_down: false,
                in_rotation: false,
                in_flight: BTreeSet::new(),
                endpoints: (0..self.servers.len()).map(|server| (server, self.endpoint(server))).collect(),
                idle_connections: BTreeMap::new(),
                // The node starts with the current list.
                list_version: Some(self.discovery.list_version),
                calling: false,
                watching: false,
                failed_calls: 0,
            });
            self.start_node(node);
        }
    }

    fn schedule_changes(&mut self) {
        for (at, change) in changes(self.script) {
            let event = SimulationEvent::ChangeDue { change: self.changes.len() };
            self.changes.push(change);
            self.events.schedule(self.now + at, event);
        }
    }

    /// Runs until no events are left.
    pub(super) fn run(mut self) -> RunResult {
        while let Some(scheduled) = self.events.pop() {
            self.now = scheduled.at;
            self.handle(scheduled.event);
        }
        let Statistics { hits, misses, .. } = self.statistics;
        RunResult {
            verdict: self.judge.verdict(),
            hit_rate: hit_rate(hits, misses),
            fetches: (self.statistics.fetches_accepted, self.statistics.fetches_rejected),
            origin_queue: self.statistics.longest_origin_queue,
            log_lines: self.statistics.log_lines,
            samples: self.statistics.samples,
            counts: self.statistics.counts,
            placement_lookups: self.placement.map_or(0, |placement| placement.lookups()),
        }
    }

    fn handle(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::OperationStarts => self.start_operation(),
            SimulationEvent::SendRequest { operation, ordinal } => self.send_request(operation, ordinal),
            SimulationEvent::RequestArrives { request } => self.request_arrives(request),
            SimulationEvent::AnswerArrives { request, answer, retry_after } => {
                self.answer_arrives(request, answer, retry_after);
            }
            SimulationEvent::ClientTimesOut { request } => self.client_times_out(request),
            SimulationEvent::ClientDisconnects { request } => self.client_disconnects(request),
            SimulationEvent::DisconnectArrives { request } => self.disconnect_arrives(request),
            SimulationEvent::DeadlineTimer { request } => self.deadline_timer(request),
            SimulationEvent::NodeTimer { node, incarnation } => self.node_timer(node, incarnation),
            SimulationEvent::SendAttempt { request, attempt } => self.send_attempt(request, attempt),
            SimulationEvent::AttemptArrives { request, attempt } => self.attempt_arrives(request, attempt),
            SimulationEvent::AttemptEnds { request, attempt, end } => {
                self.attempt_ends(request, attempt, end);
            }
            SimulationEvent::AttemptTimesOut { request, attempt } => self.attempt_times_out(request, attempt),
            SimulationEvent::ServerWakeup { process } => self.server_wakeup(process),
            SimulationEvent::OriginWakeup => self.origin_wakeup(),
            SimulationEvent::ChangeDue { change } => self.apply_change(change),
            SimulationEvent::StateDetected { server, state, started_at } => {
                self.state_detected(server, state, started_at);
            }
            SimulationEvent::ListCallDue { node, incarnation } => {
                if self.is_up(node, incarnation) {
                    self.call_discovery(node);
                }
            }
            SimulationEvent::ListCallEnds { node, incarnation, ok } => {
                self.list_call_ends(node, incarnation, ok);
            }
            SimulationEvent::FrontNotified { node, incarnation, in_rotation } => {
                if self.nodes[node].incarnation == incarnation {
                    self.set_in_rotation(node, in_rotation);
                }
            }
            SimulationEvent::NodeStops { node, incarnation, forced, downtime } => {
                self.node_stops(node, incarnation, forced, downtime);
            }
            SimulationEvent::NodeStarts { node } => self.start_node(node),
            SimulationEvent::Sample => self.sample(),
        }
    }

    /// Returns the time since the start of the run.
    pub(super) fn elapsed(&self) -> Duration {
        self.now.since(Timestamp::default())
    }

    /// Returns the counts of the current second. Events after the length of the script count in its last
    /// second.
    pub(super) fn counts(&mut self) -> &mut Counts {
        let second = self.elapsed().as_secs() as usize;
        let last = self.statistics.counts.len() - 1;
        &mut self.statistics.counts[second.min(last)]
    }

    fn sample(&mut self) {
        let alive = self.processes.iter().filter(|process| process.alive).map(|process| &process.model);
        let misses = self.statistics.misses - self.statistics.sampled_misses;
        self.statistics.samples.push(Sample::of(alive, &self.origin, self.now, misses));
        self.statistics.sampled_misses = self.statistics.misses;
        let next = self.now + SAMPLE_INTERVAL;
        if next.since(Timestamp::default()) <= self.script.length {
            self.events.schedule(next, SimulationEvent::Sample);
        }
    }
}
