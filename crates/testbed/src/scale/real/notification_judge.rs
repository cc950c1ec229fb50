//! Decides when a real node counts as notified of a change; the [`Judge`] decides the rules.
//!
//! Observations are kept and judged at the end, in the order of time, so an outage of discovery may be recorded when it is
//! over.

use crate::judge::{Judge, Observation, Verdict};
use crate::script::{Class, Script};
use balancer_core::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// A node counts as notified of a change this long after discovery had it, if the node could reach discovery throughout. The
/// operators define this time.
pub const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// How long a node may send requests to a cache server after it was notified that the server is unavailable. The judge adds
/// its tolerance.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

/// Whether discovery lists a cache server as ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It is ready.
    Available,
    /// It drains or is removed.
    Unavailable,
}

#[derive(Debug)]
struct ServerRecord {
    name: String,
    zone: usize,
    cell: u64,
    /// The times in which it was unavailable, in order.
    unavailable: Vec<UnavailableSpan>,
}

#[derive(Clone, Copy, Debug)]
struct UnavailableSpan {
    from: Timestamp,
    /// `None` if it has not ended.
    to: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    from: Timestamp,
    to: Timestamp,
}

/// The run of a node's process.
#[derive(Clone, Copy, Debug)]
struct Incarnation {
    from: Timestamp,
    /// `None` if it has not ended.
    to: Option<Timestamp>,
}

/// Records what clients, cache servers and discovery do. Nodes are numbered from 0.
#[derive(Debug)]
pub struct NotificationJudge {
    nodes: usize,
    servers: Vec<ServerRecord>,
    server_by_name: BTreeMap<String, usize>,
    observations: Vec<(Timestamp, Observation)>,
    outages: Vec<Outage>,
}

impl NotificationJudge {
    /// Creates the judge of so many nodes.
    pub fn new(nodes: usize) -> Self {
        Self {
            nodes,
            servers: Vec::new(),
            server_by_name: BTreeMap::new(),
            observations: Vec::new(),
            outages: Vec::new(),
        }
    }

    /// Sets the number of nodes, before an observation names one of them.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes;
    }

    /// The number of the cache server with this name. `zone` and `cell` are those of the first call for it.
    pub fn server(&mut self, name: &str, zone: usize, cell: u64) -> usize {
        if let Some(number) = self.server_by_name.get(name) {
            return *number;
        }
        let number = self.servers.len();
        self.servers.push(ServerRecord { name: name.to_owned(), zone, cell, unavailable: Vec::new() });
        self.server_by_name.insert(name.to_owned(), number);
        number
    }

    /// Records how discovery lists a cache server from a time on. Changes of one server come in the order of time.
    pub fn record_change(&mut self, server: usize, at: Timestamp, availability: Availability) {
        let spans = &mut self.servers[server].unavailable;
        let open = spans.last_mut().filter(|span| span.to.is_none());
        match (open, availability) {
            (Some(span), Availability::Available) => span.to = Some(at),
            (None, Availability::Unavailable) => spans.push(UnavailableSpan { from: at, to: None }),
            // Nodes are notified of a server that drains and is then removed at its drain.
            (Some(_), Availability::Unavailable) | (None, Availability::Available) => {}
        }
    }

    /// Records that no node could reach discovery during a time.
    pub fn record_outage(&mut self, from: Timestamp, to: Timestamp) {
        self.outages.push(Outage { from, to });
    }

    /// Records an observation. The judge derives [`Observation::EndpointNotified`] by itself.
    pub fn record(&mut self, at: Timestamp, observation: Observation) {
        self.observations.push((at, observation));
    }

    /// Judges everything that was recorded, for requests of these classes.
    pub fn verdict(mut self, classes: Vec<Class>) -> Verdict {
        self.outages.sort_by_key(|outage| outage.from);
        let mut observations = self.notifications();
        observations.append(&mut self.observations);
        // The sort is stable: at the same time, the order of recording remains.
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

    /// When each node counts as notified of what.
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

    /// The notifications of one incarnation of a node about the beginning and the end of one span.
    fn notifications_of(
        &self,
        node: usize,
        incarnation: Incarnation,
        server: usize,
        span: &UnavailableSpan,
    ) -> Vec<(Timestamp, Observation)> {
        let at = self.notified_at(span.from.max(incarnation.from));
        // A server that is back before a node counts as notified may be sent requests all the time. So may one that is back at
        // that very time: the node may have been notified earlier.
        if span.to.is_some_and(|to| to <= at) || incarnation.to.is_some_and(|to| to <= at) {
            return Vec::new();
        }
        let notified =
            |at, unavailable| (at, Observation::EndpointNotified { node, server, at, unavailable });
        let mut notifications = vec![notified(at, true)];
        notifications.extend(span.to.map(|to| notified(to, false)));
        notifications
    }

    /// The incarnations of a node, in order. A node without recorded starts runs from the beginning.
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

    /// When a node counts as notified of what discovery had at this time. An outage in between starts the time anew at its
    /// end.
    fn notified_at(&self, had: Timestamp) -> Timestamp {
        let counts_from = self.outages.iter().fold(had, |counts_from, outage| {
            let overlaps = outage.from < counts_from + NOTIFIED_AFTER && counts_from < outage.to;
            if overlaps {
                outage.to
            } else {
                counts_from
            }
        });
        counts_from + NOTIFIED_AFTER
    }
}
