//! The judge of a scale run's real nodes: when a node counts as told of a change, and what the [`Judge`] says then.
//!
//! Facts are kept and judged at the end, in the order of time. So an outage of discovery may be reported when it is over.

use crate::judge::{Judge, Observation, Verdict};
use crate::script::{Class, Script};
use balancer_core::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// A node counts as told of a change so long after discovery had it and could be reached throughout: the operators' term.
pub const TOLD_AFTER: Duration = Duration::from_secs(6);
/// A node that was told that a cache server stops may send to it for so long; the ledger adds the protocol's tolerance.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// What the list says of a cache server from some time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// It is ready.
    Requests,
    /// It drains or is gone.
    Nothing,
}

#[derive(Debug)]
struct Place {
    name: String,
    zone: usize,
    cell: u64,
    /// Spans in which it wanted nothing, in the order of time.
    stops: Vec<Stop>,
}

/// A span in which a cache server wanted nothing.
#[derive(Clone, Copy, Debug)]
struct Stop {
    since: Timestamp,
    until: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Timestamp,
    to: Timestamp,
}

/// See the module's page. Nodes are numbered from 0.
#[derive(Debug)]
pub struct NotificationJudge {
    nodes: usize,
    servers: Vec<Place>,
    by_name: BTreeMap<String, usize>,
    facts: Vec<(Timestamp, Observation)>,
    outages: Vec<Outage>,
}

impl NotificationJudge {
    /// For so many nodes.
    pub fn new(nodes: usize) -> Self {
        Self { nodes, servers: Vec::new(), by_name: BTreeMap::new(), facts: Vec::new(), outages: Vec::new() }
    }

    /// So many nodes there are; set before a fact names one of them.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// The number of the cache server of this name. `zone` and `cell` hold from its first mention on.
    pub fn server(&mut self, name: &str, zone: usize, cell: u64) -> usize {
        if let Some(number) = self.by_name.get(name) {
            return *number;
        }
        let number = self.servers.len();
        self.servers.push(Place { name: name.to_owned(), zone, cell, stops: Vec::new() });
        self.by_name.insert(name.to_owned(), number);
        number
    }

    /// Discovery has this of a cache server from then on. Changes of one server come in the order of time.
    pub fn changed(&mut self, server: usize, at: Timestamp, wanted: Wanted) {
        let stops = &mut self.servers[server].stops;
        let open = stops.last_mut().filter(|stop| stop.until.is_none());
        match (open, wanted) {
            (Some(stop), Wanted::Requests) => stop.until = Some(at),
            (None, Wanted::Nothing) => stops.push(Stop { since: at, until: None }),
            // What drains and is then gone has been told of at its drain.
            (Some(_), Wanted::Nothing) | (None, Wanted::Requests) => {}
        }
    }

    /// No node could reach discovery in this span.
    pub fn discovery_away(&mut self, from: Timestamp, to: Timestamp) {
        self.outages.push(Outage { from, to });
    }

    /// Takes in a fact of this time. The judge makes [`Observation::EndpointNotified`] by itself.
    pub fn record(&mut self, at: Timestamp, fact: Observation) {
        self.facts.push((at, fact));
    }

    /// Judges all that was noted, for requests of these classes.
    pub fn verdict(mut self, classes: Vec<Class>) -> Verdict {
        self.outages.sort_by_key(|outage| outage.from);
        let mut facts = self.told();
        facts.append(&mut self.facts);
        // Stable: what was noted first stays first.
        facts.sort_by_key(|(at, _)| *at);
        let mut script = Script { classes, ..Script::default() };
        script.rules.drain_grace = DRAIN_GRACE;
        let last = facts.last().map_or(Timestamp::default(), |(at, _)| *at);
        script.length = last.since(Timestamp::default());
        let mut judge = Judge::new(&script);
        for place in &self.servers {
            judge.add_server(&place.name, place.zone, place.cell);
        }
        facts.into_iter().for_each(|(_, fact)| judge.record(fact));
        judge.verdict()
    }

    /// When which node counts as told of what.
    fn told(&self) -> Vec<(Timestamp, Observation)> {
        let mut told = Vec::new();
        for node in 0..self.nodes {
            let lives = self.lives(node);
            for (number, &(begun, ended)) in lives.iter().enumerate() {
                debug_assert!(number + 1 == lives.len() || ended.is_some());
                for (server, place) in self.servers.iter().enumerate() {
                    for stop in &place.stops {
                        self.told_in_life(node, server, stop, begun, ended, &mut told);
                    }
                }
            }
        }
        told
    }

    /// What a node that ran from `begun` to `ended` was told of one stop.
    fn told_in_life(
        &self,
        node: usize,
        server: usize,
        stop: &Stop,
        begun: Timestamp,
        ended: Option<Timestamp>,
        told: &mut Vec<(Timestamp, Observation)>,
    ) {
        let at = self.told_at(stop.since.max(begun));
        // A server that is back before a node is told may be sent to all the time, and so may one that is back at once:
        // the node may have heard of it before its term was over.
        if stop.until.is_some_and(|until| until <= at) || ended.is_some_and(|ended| ended <= at) {
            return;
        }
        told.push((at, Observation::EndpointNotified { node, server, at, unavailable: true }));
        if let Some(until) = stop.until {
            told.push((until, Observation::EndpointNotified { node, server, at: until, unavailable: false }));
        }
    }

    /// When the node's processes began and ended, in order. Nodes that say nothing of it run from the beginning.
    fn lives(&self, node: usize) -> Vec<(Timestamp, Option<Timestamp>)> {
        let starts = self.facts.iter().filter_map(|(at, fact)| match fact {
            Observation::NodeStarted { node: started } if *started == node => Some(*at),
            _ => None,
        });
        let mut starts: Vec<_> = std::iter::once(Timestamp::default()).chain(starts).collect();
        starts.sort();
        let ends = starts.iter().skip(1).map(|at| Some(*at)).chain([None]);
        starts.iter().copied().zip(ends).collect()
    }

    /// When nodes count as told of what discovery had at this time. The term counts anew from the end of an outage.
    fn told_at(&self, had: Timestamp) -> Timestamp {
        let since = self.outages.iter().fold(had, |since, outage| {
            let overlaps = outage.from < since + TOLD_AFTER && since < outage.to;
            if overlaps {
                outage.to
            } else {
                since
            }
        });
        since + TOLD_AFTER
    }
}
