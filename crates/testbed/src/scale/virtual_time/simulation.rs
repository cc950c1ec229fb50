//! Plays a scene: nodes, the ways between them and replicas, and what happens.

use super::client::{listed, CallEnd, ClientDecisions, ClientStart, Listing, Next, NextCall};
use super::event_queue::{CallId, EventQueue, SimulationEvent};
use super::measure::{Outcome, ReplicaOutcome, Sent};
use super::nodes::{Call, Came, Link, Node};
use super::replica::{Answer, Replica};
use super::scene::{Occurrence, Scene};
use super::versions::{Versions, FIRST_VERSION};
use crate::random::RandomSource;
use crate::scale::messages::{Answering, ListedServer};
use crate::scale::steps::{servers_at_start, Step};
use std::collections::BTreeSet;
use std::time::Duration;

/// A message's way between a node and a replica.
const WAY: Duration = Duration::from_millis(5);
/// A watch goes on if the next call comes within this time of the last answer. Of the protocol.
const CONTINUED_WITHIN: Duration = Duration::from_millis(200);
/// Nodes that run from the beginning make their first calls spread over this time, as a fleet does that has run for long.
const FIRST_CALLS: Duration = Duration::from_secs(20);

/// Plays a scene with the real decisions.
pub fn run(scene: &Scene) -> Outcome {
    run_with(scene, &mut |start| start.client())
}

/// Plays a scene with the real decisions and tells all lines that replicas worked through.
pub fn run_traced(scene: &Scene) -> (Outcome, Vec<Sent>) {
    let mut make = |start: ClientStart| start.client();
    let simulation = Simulation { traced: true, ..Simulation::new(scene, &mut make) };
    simulation.run()
}

/// Plays a scene with decisions of `make`'s.
pub fn run_with(scene: &Scene, make: &mut dyn FnMut(ClientStart) -> Box<dyn ClientDecisions>) -> Outcome {
    Simulation::new(scene, make).run().0
}

struct Simulation<'a> {
    scene: &'a Scene,
    make: &'a mut dyn FnMut(ClientStart) -> Box<dyn ClientDecisions>,
    now: Duration,
    events: EventQueue,
    versions: Versions,
    names_at_start: Vec<String>,
    nodes: Vec<Node>,
    replicas: Vec<Replica>,
    counts: Vec<ReplicaOutcome>,
    counts_before: Vec<ReplicaOutcome>,
    cut_off: BTreeSet<u32>,
    outcome: Outcome,
    traced: bool,
    sent: Vec<Sent>,
}

impl<'a> Simulation<'a> {
    fn new(scene: &'a Scene, make: &'a mut dyn FnMut(ClientStart) -> Box<dyn ClientDecisions>) -> Self {
        let script = &scene.script;
        let servers = servers_at_start(script);
        let random = RandomSource::new(script.seed).derive(0x7669_7274);
        let replicas = script.known_replicas();
        Self {
            scene,
            make,
            now: Duration::ZERO,
            events: EventQueue::default(),
            versions: Versions::new(&servers),
            names_at_start: servers.into_iter().map(|server| server.host).collect(),
            nodes: (0..script.nodes).map(|node| Node::new(random.derive(u64::from(node)))).collect(),
            replicas: (0..replicas).map(|_| Replica::new(&script.capacity, script.servers)).collect(),
            counts: vec![ReplicaOutcome::default(); replicas as usize],
            counts_before: vec![ReplicaOutcome::default(); replicas as usize],
            cut_off: BTreeSet::new(),
            outcome: Outcome { nodes: script.nodes, ..Outcome::default() },
            traced: false,
            sent: Vec::new(),
        }
    }

    fn run(mut self) -> (Outcome, Vec<Sent>) {
        let script = &self.scene.script;
        let end = script.settle + script.length + script.catch_up;
        self.events.put(script.settle, SimulationEvent::Measure);
        for (place, (at, _)) in self.scene.occurrences.iter().enumerate() {
            self.events.put(script.settle + *at, SimulationEvent::Occurrence(place));
        }
        if self.scene.nodes_run {
            (0..script.nodes).for_each(|node| self.begin(node));
        }
        while let Some((at, due)) = self.events.pop().filter(|(at, _)| *at <= end) {
            self.now = at;
            self.step(due);
        }
        self.finish(end)
    }

    /// A node runs from the beginning.
    fn begin(&mut self, node: u32) {
        let list = Some((FIRST_VERSION, self.names_at_start.as_slice()));
        let decisions = (self.make)(ClientStart { scene: self.scene, node, list });
        let first = FIRST_CALLS.min(self.scene.script.settle);
        let state = &mut self.nodes[node as usize];
        (state.up, state.held, state.decisions) = (true, Some(FIRST_VERSION), Some(decisions));
        let at = first.mul_f64(state.first_random());
        self.events.put(at, SimulationEvent::Operation { node, life: 0 });
    }

    fn finish(mut self, end: Duration) -> (Outcome, Vec<Sent>) {
        let script = &self.scene.script;
        let latest = self.versions.latest();
        for node in self.nodes.iter().filter(|node| node.up) {
            self.outcome.never += latest - node.held.unwrap_or(0).max(node.counts_after).min(latest);
            self.outcome.without_list += u64::from(node.held.is_none());
        }
        let capacity = &script.capacity;
        let lines = self.outcome.launches as f64 * (capacity.call_lines + f64::from(script.servers));
        let rate = capacity.lines_per_second * f64::from(script.known_replicas());
        self.outcome.sending_takes = Duration::from_secs_f64(lines / rate);
        self.outcome.measured = end.saturating_sub(script.settle);
        self.outcome.changes = latest - FIRST_VERSION;
        self.outcome.replicas = self.now_counted();
        for (replica, before) in self.outcome.replicas.iter_mut().zip(&self.counts_before) {
            *replica = replica.since(before);
        }
        (self.outcome, self.sent)
    }

    fn now_counted(&self) -> Vec<ReplicaOutcome> {
        let both = self.counts.iter().zip(&self.replicas);
        let counted = both.map(|(counts, replica)| ReplicaOutcome {
            lines: replica.queue.lines(),
            longest_queue: replica.queue.longest_wait(),
            ..*counts
        });
        counted.collect()
    }

    fn step(&mut self, due: SimulationEvent) {
        match due {
            SimulationEvent::Occurrence(place) => self.occur(place),
            SimulationEvent::Measure => self.counts_before = self.now_counted(),
            SimulationEvent::Operation { node, life } => self.ask(node, life),
            SimulationEvent::Arrive(call) => self.arrive(call),
            SimulationEvent::Handled(call) => self.handled(call),
            SimulationEvent::WaitOver(call) => self.wait_over(call),
            SimulationEvent::Written(call) => self.written(call),
            SimulationEvent::Back(call) => self.back(call),
            SimulationEvent::GiveUp(call) => self.give_up(call),
            SimulationEvent::Learn { replica, version } => self.learn(replica, version),
        }
    }

    fn occur(&mut self, place: usize) {
        let scene = self.scene;
        match &scene.occurrences[place].1 {
            Occurrence::Step(step) => self.scripted(step),
            Occurrence::CutOff { region } => self.cut_off(*region),
            Occurrence::Reconnect { region } => self.reconnect(*region),
        }
    }

    fn scripted(&mut self, step: &Step) {
        match step {
            Step::Change { server, .. } => self.change(server),
            Step::Kill(nodes) => nodes.iter().for_each(|node| self.kill(*node)),
            Step::Launch(nodes) => nodes.iter().for_each(|node| self.launch(*node)),
            Step::Answer { replicas, answering } => {
                replicas.iter().for_each(|replica| self.answer_like(*replica, *answering));
            }
            Step::Lag { replica, by } => {
                if let Some(state) = self.replicas.get_mut(*replica as usize) {
                    state.lag = *by;
                    if by.is_zero() {
                        self.learn(*replica, self.versions.latest());
                    }
                }
            }
            // Scenes with these are not made.
            Step::Lose { .. } | Step::Restore { .. } | Step::ReplicaSet(_) => {}
        }
    }

    fn change(&mut self, server: &ListedServer) {
        let version = self.versions.change(server, self.now);
        for replica in 0..self.replicas.len() as u32 {
            let lag = self.replicas[replica as usize].lag;
            self.events.put(self.now + lag, SimulationEvent::Learn { replica, version });
        }
    }

    /// A replica learns of changes, unless it is cut off: they are made elsewhere.
    fn learn(&mut self, replica: u32, version: u64) {
        if self.cut_off.contains(&self.scene.region_of_replica(replica)) {
            return;
        }
        let state = &mut self.replicas[replica as usize];
        state.learn(&self.versions, version);
        self.tell_watches(replica);
    }

    fn tell_watches(&mut self, replica: u32) {
        let state = &mut self.replicas[replica as usize];
        if state.answering == Answering::Up {
            for call in state.take_watches_with_news() {
                self.send(call);
            }
        }
    }

    fn kill(&mut self, node: u32) {
        self.drop_call(node);
        let state = &mut self.nodes[node as usize];
        state.life += 1;
        (state.up, state.held, state.launched) = (false, None, None);
        (state.link, state.decisions) = (None, None);
    }

    fn launch(&mut self, node: u32) {
        let decisions = (self.make)(ClientStart { scene: self.scene, node, list: None });
        let state = &mut self.nodes[node as usize];
        (state.up, state.decisions, state.launched) = (true, Some(decisions), Some(self.now));
        state.counts_after = self.versions.latest();
        self.outcome.launches += 1;
        self.events.put(self.now, SimulationEvent::Operation { node, life: state.life });
    }

    fn answer_like(&mut self, replica: u32, answering: Answering) {
        let Some(state) = self.replicas.get_mut(replica as usize) else { return };
        state.answering = answering;
        match answering {
            Answering::Up => self.speak_again(replica),
            Answering::Away => self.reset_all(replica),
            Answering::Silent => {}
        }
    }

    /// Goes on with what was held back while a replica said nothing.
    fn speak_again(&mut self, replica: u32) {
        let state = &mut self.replicas[replica as usize];
        let (calls, answers) =
            (std::mem::take(&mut state.held_calls), std::mem::take(&mut state.held_answers));
        calls.into_iter().for_each(|call| self.serve(call));
        answers.into_iter().for_each(|call| self.written(call));
        self.tell_watches(replica);
    }

    /// All connections to a replica are reset.
    fn reset_all(&mut self, replica: u32) {
        self.replicas[replica as usize].drop_calls();
        for node in 0..self.nodes.len() as u32 {
            if self.nodes[node as usize].link.is_some_and(|link| link.replica == replica) {
                self.nodes[node as usize].link = None;
                self.end_with(node, Came::Failed, WAY);
            }
        }
    }

    fn cut_off(&mut self, region: u32) {
        self.cut_off.insert(region);
        for node in 0..self.nodes.len() as u32 {
            let replica = self.nodes[node as usize].call.as_ref().map(|call| call.asked.replica);
            let passes = replica.is_none_or(|replica| self.passes(node, replica));
            if let Some(call) = self.nodes[node as usize].call.as_mut() {
                call.lost |= !passes;
            }
        }
    }

    fn reconnect(&mut self, region: u32) {
        self.cut_off.remove(&region);
        for replica in 0..self.replicas.len() as u32 {
            if self.scene.region_of_replica(replica) == region {
                self.learn(replica, self.versions.latest());
            }
        }
    }

    /// Whether messages pass between a node and a replica.
    fn passes(&self, node: u32, replica: u32) -> bool {
        let (from, to) = (self.scene.region_of_node(node), self.scene.region_of_replica(replica));
        from == to || !self.cut_off.contains(&from) && !self.cut_off.contains(&to)
    }

    /// A node makes its next call.
    fn ask(&mut self, node: u32, life: u32) {
        let now = self.now;
        let state = &mut self.nodes[node as usize];
        if !state.up || state.life != life {
            return;
        }
        let Some(asked) = state.decide(|decisions, random| decisions.next_call(now, random)) else { return };
        state.calls += 1;
        let id = CallId { node, number: state.calls };
        state.call =
            Some(Call { number: id.number, asked, began: now, lost: false, answer: None, came: None });
        let linked =
            state.link.take_if(|link| link.replica != asked.replica).is_none() && state.link.is_some();
        self.events.put(now + asked.limit, SimulationEvent::GiveUp(id));
        self.set_out(id, asked, linked);
    }

    /// Sends a call out, on the connection that there is or on a new one.
    fn set_out(&mut self, id: CallId, asked: NextCall, linked: bool) {
        let replica = asked.replica;
        let passes = self.passes(id.node, replica);
        let away = self.replicas[replica as usize].answering == Answering::Away;
        match (linked, passes) {
            (true, true) => self.events.put(self.now + WAY, SimulationEvent::Arrive(id)),
            // The connection seems to be there, and nothing passes.
            (true, false) => {}
            (false, false) => self.end_with(id.node, Came::Unreached, asked.connect),
            (false, true) if away => self.end_with(id.node, Came::Unreached, WAY * 2),
            (false, true) => {
                self.nodes[id.node as usize].link = Some(Link { replica, watch_answered: None });
                self.events.put(self.now + WAY * 3, SimulationEvent::Arrive(id));
            }
        }
    }

    /// The replica of a call that is still out and gets through.
    fn replica_of(&self, id: CallId) -> Option<u32> {
        let call = self.nodes[id.node as usize].call.as_ref()?;
        (call.number == id.number && !call.lost && call.came.is_none()).then_some(call.asked.replica)
    }

    fn arrive(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        match self.replicas[replica as usize].answering {
            Answering::Away => self.end_with(id.node, Came::Failed, WAY),
            Answering::Silent => self.replicas[replica as usize].held_calls.push(id),
            Answering::Up => self.serve(id),
        }
    }

    /// A replica takes a call on.
    fn serve(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        self.counts[replica as usize].calls += 1;
        let (now, capacity) = (self.now, self.scene.script.capacity);
        let state = &mut self.nodes[id.node as usize];
        let answered = state.link.as_mut().and_then(|link| link.watch_answered.take());
        let after = state.call.as_ref().and_then(|call| call.asked.after);
        let continued =
            after.is_some() && answered.is_some_and(|answered| now - answered <= CONTINUED_WITHIN);
        let cost = if continued { capacity.continued_call_lines } else { capacity.call_lines };
        let news = after.is_none_or(|after| self.replicas[replica as usize].has_news(after));
        if news {
            self.send_in_turn(id, replica, after, cost);
        } else {
            self.charge(id, replica, cost, SimulationEvent::Handled(id));
        }
    }

    /// Charges lines, after which something is due; else the call is refused.
    fn charge(&mut self, id: CallId, replica: u32, lines: f64, due: SimulationEvent) {
        match self.replicas[replica as usize].queue.charge(self.now, lines) {
            Ok(at) => {
                if self.traced {
                    self.sent.push(Sent { replica, at, lines });
                }
                self.events.put(at, due);
            }
            Err(_) => {
                self.counts[replica as usize].refused += 1;
                self.end_with(id.node, Came::Refused, WAY);
            }
        }
    }

    fn handled(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        let Some(asked) = self.nodes[id.node as usize].call.as_ref().map(|call| call.asked) else { return };
        let after = asked.after.unwrap_or_default();
        let state = &mut self.replicas[replica as usize];
        if state.has_news(after) && state.answering == Answering::Up {
            return self.send(id);
        }
        state.watch(id, after);
        self.events.put(self.now + asked.wait, SimulationEvent::WaitOver(id));
    }

    fn wait_over(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        if self.replicas[replica as usize].unwatch(id) {
            self.send(id);
        }
    }

    /// Sends what a call asked for, as it is by now.
    fn send(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        let after = self.nodes[id.node as usize].call.as_ref().and_then(|call| call.asked.after);
        self.send_in_turn(id, replica, after, 0.0);
    }

    fn send_in_turn(&mut self, id: CallId, replica: u32, after: Option<u64>, more: f64) {
        let answer = self.replicas[replica as usize].answer(&self.versions, after);
        let lines = answer.entries.len() as f64 + more;
        if let Some(call) = self.nodes[id.node as usize].call.as_mut() {
            call.answer = Some(answer);
        }
        self.charge(id, replica, lines, SimulationEvent::Written(id));
    }

    /// A replica has written an answer, unless it says nothing.
    fn written(&mut self, id: CallId) {
        let Some(replica) = self.replica_of(id) else { return };
        if self.replicas[replica as usize].answering == Answering::Silent {
            return self.replicas[replica as usize].held_answers.push(id);
        }
        let state = &mut self.nodes[id.node as usize];
        let Some(call) = state.call.as_mut() else { return };
        let Some(answer) = call.answer.take() else { return };
        if let Some(link) = state.link.as_mut() {
            link.watch_answered = call.asked.after.map(|_| self.now);
        }
        let counts = &mut self.counts[replica as usize];
        counts.answers += 1;
        counts.whole_lists += u64::from(answer.whole);
        let bytes = answer.entries.iter().map(|(server, _)| self.versions.entry_bytes(*server));
        counts.entry_bytes += bytes.sum::<usize>() as u64;
        self.end_with(id.node, Came::Answer(answer), WAY);
    }

    /// What came of the call that a node has out reaches it after this time.
    fn end_with(&mut self, node: u32, came: Came, after: Duration) {
        if let Some(call) = self.nodes[node as usize].call.as_mut().filter(|call| call.came.is_none()) {
            let id = CallId { node, number: call.number };
            call.came = Some(came);
            self.events.put(self.now + after, SimulationEvent::Back(id));
        }
    }

    fn back(&mut self, id: CallId) {
        let state = &mut self.nodes[id.node as usize];
        let current = state.call.as_ref().is_some_and(|call| call.number == id.number && !call.lost);
        let Some(call) = state.call.take_if(|_| current) else { return };
        let took = self.now - call.began;
        match call.came {
            Some(Came::Answer(answer)) => self.answered(id.node, took, &answer),
            Some(Came::Unreached) => {
                self.outcome.unreached += 1;
                self.failed(id.node, CallEnd::Unreached { took });
            }
            Some(Came::Refused) => self.failed(id.node, CallEnd::Refused { took }),
            Some(Came::Failed) | None => self.failed(id.node, CallEnd::Failed),
        }
    }

    fn give_up(&mut self, id: CallId) {
        if self.nodes[id.node as usize].call.as_ref().is_some_and(|call| call.number == id.number) {
            self.drop_call(id.node);
            self.outcome.overdue += 1;
            self.failed(id.node, CallEnd::Overdue);
        }
    }

    /// Forgets the call that a node has out, if there is one, at both ends.
    fn drop_call(&mut self, node: u32) {
        if let Some(call) = self.nodes[node as usize].call.take() {
            let id = CallId { node, number: call.number };
            self.replicas[call.asked.replica as usize].unwatch(id);
        }
    }

    fn answered(&mut self, node: u32, took: Duration, answer: &Answer) {
        let (now, versions) = (self.now, &self.versions);
        let entries = answer.entries.iter().map(|(server, state)| listed(versions.name(*server), *state));
        let listing = Listing { version: answer.version, whole: answer.whole, entries: entries.collect() };
        let end = CallEnd::Answered { took, listing };
        let next = self.nodes[node as usize].decide(|decisions, random| decisions.ended(now, end, random));
        let Some(next) = next else { return };
        match next.applied {
            Some(version) => self.applied(node, version),
            // A list that is not taken ends its connection.
            None => self.nodes[node as usize].link = None,
        }
        self.go_on(node, next);
    }

    fn failed(&mut self, node: u32, end: CallEnd) {
        let now = self.now;
        let state = &mut self.nodes[node as usize];
        state.link = None;
        if let Some(next) = state.decide(|decisions, random| decisions.ended(now, end, random)) {
            self.go_on(node, next);
        }
    }

    fn go_on(&mut self, node: u32, next: Next) {
        let life = self.nodes[node as usize].life;
        self.events.put(self.now + next.pause, SimulationEvent::Operation { node, life });
    }

    /// A node acts on a list of this version.
    fn applied(&mut self, node: u32, version: u64) {
        let state = &mut self.nodes[node as usize];
        let before = state.held.replace(version);
        self.outcome.went_back += u64::from(before.is_some_and(|before| version < before));
        if let Some(launched) = state.launched.take() {
            self.outcome.lists.add(self.now - launched);
        }
        let from = before.unwrap_or(0).max(state.counts_after);
        for version in from + 1..=version {
            if let Some(change) = self.versions.made(version) {
                self.outcome.latencies.add(self.now - change.at);
            }
        }
    }
}
