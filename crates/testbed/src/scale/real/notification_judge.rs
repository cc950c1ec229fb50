//! Determines when a real node counts as notified of a change; the [`Judge`] checks the rules.
//!
//! Observations are stored and judged at the end in chronological order, so that an outage of discovery can
//! be recorded after it has ended.

use crate::judge::{Judge, Observation, Verdict};
use crate::script::{Class, Script};
use balancer_core::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a node counts as notified of a change that discovery has, if the node could reach
/// discovery throughout. The operators define it.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// Time for which a node may still send requests to a cache server after it was notified that the server is
/// unavailable. The judge adds its tolerance.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Whether discovery lists a cache server as ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// The server is listed as ready.
    Available,
    /// The server drains or is removed.
    Unavailable,
}

#[derive(Debug)]
struct ServerRecord {
    name: String,
    zone: usize,
    cell: u64,
    /// The periods in which the server was unavailable, in chronological order.
    unavailable: Vec<UnavailableSpan>,
}

#[derive(Clone, Copy, Debug)]
struct UnavailableSpan {
    from: Timestamp,
    /// `None` if the period has not ended.
    to: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Timestamp,
    to: Timestamp,
}

/// The lifetime of one process of a node.
#[derive(Clone, Copy, Debug)]
struct Incarnation {
    from: Timestamp,
    /// `None` if the period has not ended.
    to: Option<Timestamp>,
}

/// Records observations of clients, cache servers and discovery, and judges them at the end. Nodes are
/// numbered from 0.
#[derive(Debug)]
pub struct NotificationJudge {
    nodes: usize,
    servers: Vec<ServerRecord>,
    server_by_name: BTreeMap<String, usize>,
    observations: Vec<(Timestamp, Observation)>,
    outages: Vec<Outage>,
}

impl NotificationJudge {
    /// Creates a judge for this number of nodes.
    pub fn new(nodes: usize) -> Self {
        Self {
            nodes,
            servers: Vec::new(),
            server_by_name: BTreeMap::new(),
            observations: Vec::new(),
            outages: Vec::new(),
        }
    }

    /// Sets the number of nodes. Call it before the first observation of a node.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// Returns the number of the cache server with this name, and adds it if it is new. `zone` and `cell` are
    /// ignored if it is known.
    pub fn server(&mut self, name: &str, zone: usize, cell: u64) -> usize {
        if let Some(number) = self.server_by_name.get(name) {
            return *number;
        }
        let number = self.servers.len();
        self.servers.push(ServerRecord { name: name.to_owned(), zone, cell, unavailable: Vec::new() });
        self.server_by_name.insert(name.to_owned(), number);
        number
    }

    /// Records how discovery lists a cache server from a time on. Changes of one server must be recorded in
    /// chronological order.
    pub fn record_change(&mut self, server: usize, at: Timestamp, availability: Availability) {
        let spans = &mut self.servers[server].unavailable;
        let current = spans.last_mut().filter(|span| span.to.is_none());
        match (current, availability) {
            (Some(span), Availability::Available) => span.to = Some(at),
            (None, Availability::Unavailable) => spans.push(UnavailableSpan { from: at, to: None }),
            // A server that drains and is then removed counts as unavailable from its drain on.
            (Some(_), Availability::Unavailable) | (None, Availability::Available) => {}
        }
    }

    /// Records a period in which no node could reach discovery.
    pub fn record_outage(&mut self, from: Timestamp, to: Timestamp) {
        self.outages.push(Outage { from, to });
    }

    /// Records an observation, other than [`Observation::EndpointNotified`], which the judge derives itself.
    pub fn record(&mut self, at: Timestamp, observation: Observation) {
        self.observations.push((at, observation));
    }

    /// Returns the verdict on all recorded observations, for requests of these classes.
    pub fn verdict(mut self, classes: Vec<Class>) -> Verdict {
        self.outages.sort_by_key(|outage| outage.from);
        let mut observations = self.notifications();
        observations.append(&mut self.observations);
        // The sort is stable, so observations at the same time stay in the order of recording.
        observations.sort_by_key(|(at, _)| *at);
        let mut script = Script { classes, ..Script::default() };
        script.rules.drain_grace = DRAIN_GRACE;
        let last = observations.last().map_or(Timestamp::default(), |(at, _)| *at);
        script.length = last.since(Timestamp::default());
        let mut judge = Judge::new(&script);
        for server in &self.servers {
            judge.add_server(&server.name, server.zone, server.cell);
        }
        observations.into_iter().for_each(|(_, observation)| judge.record(observation));
        judge.verdict()
    }

    /// Returns the derived notifications of all nodes.
    fn notifications(&self) -> Vec<(Timestamp, Observation)> {
        let mut notifications = Vec::new();
        for node in 0..self.nodes {
            let incarnations = self.incarnations(node);
            debug_assert!(incarnations.iter().rev().skip(1).all(|incarnation| incarnation.to.is_some()));
            for incarnation in incarnations {
                for (server, record) in self.servers.iter().enumerate() {
                    for span in &record.unavailable {
                        notifications.extend(self.notifications_of(node, incarnation, server, span));
                    }
                }
            }
        }
        notifications
    }

    /// Returns the notifications of one incarnation of a node for the beginning and the end of one span.
    fn notifications_of(
        &self,
        node: usize,
        incarnation: Incarnation,
        server: usize,
        span: &UnavailableSpan,
    ) -> Vec<(Timestamp, Observation)> {
        let at = self.notified_at(span.from.max(incarnation.from));
        // A node that does not count as notified before the server is available again may send requests to it
        // throughout. The same holds if both happen at the same time, since the node may have been notified
        // earlier.
        if span.to.is_some_and(|to| to <= at) || incarnation.to.is_some_and(|to| to <= at) {
            return Vec::new();
        }
        let notified =
            |at, unavailable| (at, Observation::EndpointNotified { node, server, at, unavailable });
        let mut notifications = vec![notified(at, true)];
        notifications.extend(span.to.map(|to| notified(to, false)));
        notifications
    }

    /// Returns the incarnations of a node in chronological order. A node without recorded starts runs from
    /// the beginning.
    fn incarnations(&self, node: usize) -> Vec<Incarnation> {
        let starts = self.observations.iter().filter_map(|(at, observation)| match observation {
            Observation::NodeStarted { node: started } if *started == node => Some(*at),
            _ => None,
        });
        let mut starts: Vec<_> = std::iter::once(Timestamp::default()).chain(starts).collect();
        starts.sort();
        let ends = starts.iter().skip(1).map(|at| Some(*at)).chain([None]);
        starts.iter().copied().zip(ends).map(|(from, to)| Incarnation { from, to }).collect()
    }

    /// Returns when a node counts as notified of a change that discovery had at `changed_at`. The time starts
    /// again at the end of an outage that begins before it has passed.
    fn notified_at(&self, changed_at: Timestamp) -> Timestamp {
        let start = self.outages.iter().fold(changed_at, |start, outage| {
            let overlaps = outage.from < start + NOTIFIED_AFTER && start < outage.to;
            if overlaps {
                outage.to
            } else {
                start
            }
        });
        start + NOTIFIED_AFTER
    }
}
