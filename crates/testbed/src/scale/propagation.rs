//! Measures the propagation of the endpoint list from its changes, the incarnations of the nodes, and the
//! lists that nodes applied.

use super::messages::Applied;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Maximum value of a histogram: an hour, in microseconds.
const MAX_US: u64 = 3_600_000_000;
/// Number of intervals between the points of a distribution.
const DISTRIBUTION_POINTS: u32 = 200;
/// Significant decimal digits of recorded times.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A change of the list.
#[derive(Clone, Copy, Debug)]
struct Change {
    version: u64,
    at_us: u64,
}

/// One lifetime of a node, from its start until it is killed.
#[derive(Clone, Copy, Debug)]
struct Incarnation {
    from_us: u64,
    to_us: Option<u64>,
    /// Whether the node started with a list.
    with_list: bool,
}

#[derive(Clone, Debug)]
struct Node {
    incarnations: Vec<Incarnation>,
    applied: Vec<Applied>,
    /// The version of the list that the current incarnation has, if any.
    list_version: Option<u64>,
}

/// Nodes that were started together without a list.
#[derive(Clone, Debug)]
struct Launch {
    at_us: u64,
    nodes: Vec<u32>,
    /// The time that discovery needs to send the whole list to all of these nodes, from its capacity.
    sending_ms: f64,
}

/// Tracks which node applied which version of the list, and when.
#[derive(Clone, Debug)]
pub struct Propagation {
    changes: Vec<Change>,
    nodes: Vec<Node>,
    launches: Vec<Launch>,
}

/// A latency distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencyFigures {
    /// The number of recorded times.
    pub count: u64,
    /// The median, in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// The maximum, in milliseconds.
    pub last_ms: f64,
}

/// The propagation of changes from discovery to the nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PropagationFigures {
    /// The number of changes of the list.
    pub changes: u64,
    /// The times from a change until a node applied it, over all changes and nodes.
    pub times: LatencyFigures,
    /// The number of times that exceed the limit that the script expects.
    pub late: u64,
    /// The number of pairs of a change and a node that kept running and never applied it.
    pub never: u64,
    /// The number of nodes in such pairs.
    pub nodes_never: u64,
    /// The number of pairs of a change and a node that was killed before it applied the change. These count
    /// neither as late nor as missed.
    pub killed_before: u64,
    /// The cumulative distribution: a fraction of all times, and the quantile of that fraction in
    /// milliseconds.
    pub distribution: Vec<(f64, f64)>,
}

/// The time from the start of nodes without a list until they have one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadinessFigures {
    /// The number of nodes that were started without a list.
    pub launched: u64,
    /// The times from a start to the first list.
    pub times: LatencyFigures,
    /// The number of nodes that kept running and never had a list.
    pub never: u64,
    /// The size of the largest group of nodes started together.
    pub largest_group: u64,
    /// The time until all nodes of that group had a list, in milliseconds.
    pub largest_group_ms: f64,
    /// The time that discovery needs to send the list to that group, from its capacity, in milliseconds.
    pub largest_group_sending_ms: f64,
    /// The ratio of `largest_group_ms` to `largest_group_sending_ms`.
    pub largest_group_multiple: f64,
}

impl Propagation {
    /// Creates a record of nodes that all start at `from_us` with a list of this version.
    pub fn new(nodes: u32, from_us: u64, version: u64) -> Self {
        let incarnation = Incarnation { from_us, to_us: None, with_list: true };
        let node = Node { incarnations: vec![incarnation], applied: Vec::new(), list_version: Some(version) };
        Self { changes: Vec::new(), nodes: vec![node; nodes as usize], launches: Vec::new() }
    }

    /// Records a new version of the list at discovery.
    pub fn record_change(&mut self, version: u64, at_us: u64) {
        self.changes.push(Change { version, at_us });
    }

    /// Records that nodes were killed.
    pub fn record_kill(&mut self, nodes: &[u32], at_us: u64) {
        for &number in nodes {
            if let Some(node) = self.nodes.get_mut(number as usize) {
                node.list_version = None;
                if let Some(incarnation) = node.incarnations.last_mut() {
                    incarnation.to_us.get_or_insert(at_us);
                }
            }
        }
    }

    /// Records that nodes were started without a list. `sending_ms` is the time that discovery needs to send
    /// the list to all of them, from its capacity.
    pub fn record_launch(&mut self, nodes: &[u32], at_us: u64, sending_ms: f64) {
        for &number in nodes {
            if let Some(node) = self.nodes.get_mut(number as usize) {
                node.list_version = None;
                node.incarnations.push(Incarnation { from_us: at_us, to_us: None, with_list: false });
            }
        }
        self.launches.push(Launch { at_us, nodes: nodes.to_vec(), sending_ms });
    }

    /// Records that a node applied a list. Calls for the same node must be in chronological order.
    pub fn record_applied(&mut self, applied: Applied) {
        let Some(node) = self.nodes.get_mut(applied.node as usize) else { return };
        node.applied.push(applied);
        let in_this_incarnation = node
            .incarnations
            .last()
            .is_some_and(|incarnation| incarnation.to_us.is_none() && applied.at_us >= incarnation.from_us);
        if in_this_incarnation {
            node.list_version = Some(applied.version);
        }
    }

    /// Returns the number of recorded changes.
    pub fn change_count(&self) -> usize {
        self.changes.len()
    }

    /// Returns the number of running nodes that have neither this version of the list nor a later one.
    pub fn nodes_behind(&self, version: u64) -> usize {
        let is_running =
            |node: &&Node| node.incarnations.last().is_some_and(|incarnation| incarnation.to_us.is_none());
        self.nodes
            .iter()
            .filter(is_running)
            .filter(|node| node.list_version.is_none_or(|list_version| list_version < version))
            .count()
    }

    /// Returns the numbers of deltas and of snapshots that were applied since a time.
    pub fn lists_applied_since(&self, from_us: u64) -> (u64, u64) {
        let applied =
            self.nodes.iter().flat_map(|node| &node.applied).filter(|applied| applied.at_us >= from_us);
        applied.fold((0, 0), |(deltas, snapshots), applied| match applied.is_snapshot {
            true => (deltas, snapshots + 1),
            false => (deltas + 1, snapshots),
        })
    }

    /// Returns the figures of the times from changes until nodes applied them. Times above `within_ms` count
    /// as late.
    pub fn propagation_figures(&self, within_ms: Option<f64>) -> PropagationFigures {
        let mut figures =
            PropagationFigures { changes: self.changes.len() as u64, ..PropagationFigures::default() };
        let mut times = LatencyRecorder::default();
        for node in &self.nodes {
            let never_before = figures.never;
            for incarnation in &node.incarnations {
                self.add_incarnation(node, incarnation, &mut figures, &mut times);
            }
            figures.nodes_never += u64::from(figures.never > never_before);
        }
        figures.late = within_ms.map_or(0, |within_ms| times.count_later_than(within_ms));
        figures.times = times.figures();
        figures.distribution = times.distribution();
        figures
    }

    /// Adds the changes during one incarnation of a node to the figures.
    fn add_incarnation(
        &self,
        node: &Node,
        incarnation: &Incarnation,
        figures: &mut PropagationFigures,
        times: &mut LatencyRecorder,
    ) {
        let until = incarnation.to_us.unwrap_or(u64::MAX);
        // Changes before the first list of a node do not count: the node is not ready yet, and its first list
        // contains them.
        let from = if incarnation.with_list {
            Some(incarnation.from_us)
        } else {
            first_list_time(node, incarnation)
        };
        let Some(from) = from else { return };
        let first = self.changes.partition_point(|change| change.at_us < from);
        for change in self.changes[first..].iter().take_while(|change| change.at_us < until) {
            let later = node.applied.partition_point(|applied| applied.at_us < change.at_us);
            let applied = node.applied[later..].iter().find(|applied| applied.version >= change.version);
            match applied.filter(|applied| applied.at_us < until) {
                Some(applied) => times.record(applied.at_us - change.at_us),
                None if incarnation.to_us.is_some() => figures.killed_before += 1,
                None => figures.never += 1,
            }
        }
    }

    /// Returns the figures of the times from starts without a list to the first list.
    pub fn readiness_figures(&self) -> ReadinessFigures {
        let mut figures = ReadinessFigures::default();
        let mut times = LatencyRecorder::default();
        for node in &self.nodes {
            for incarnation in node.incarnations.iter().filter(|incarnation| !incarnation.with_list) {
                figures.launched += 1;
                match first_list_time(node, incarnation) {
                    Some(at_us) => times.record(at_us - incarnation.from_us),
                    None if incarnation.to_us.is_none() => figures.never += 1,
                    None => {}
                }
            }
        }
        figures.times = times.figures();
        let largest = self.launches.iter().max_by_key(|launch| launch.nodes.len());
        if let Some(launch) = largest {
            figures.largest_group = launch.nodes.len() as u64;
            figures.largest_group_ms = self.last_ready(launch).saturating_sub(launch.at_us) as f64 / 1e3;
            figures.largest_group_sending_ms = launch.sending_ms;
            figures.largest_group_multiple = figures.largest_group_ms / launch.sending_ms;
        }
        figures
    }

    /// Returns the time at which the last node of a group had its first list.
    fn last_ready(&self, launch: &Launch) -> u64 {
        let nodes = launch.nodes.iter().filter_map(|&number| self.nodes.get(number as usize));
        let ready = nodes.filter_map(|node| {
            let incarnation =
                node.incarnations.iter().find(|incarnation| incarnation.from_us == launch.at_us)?;
            first_list_time(node, incarnation)
        });
        ready.max().unwrap_or(launch.at_us)
    }
}

/// Returns the time at which an incarnation that started without a list applied its first list.
fn first_list_time(node: &Node, incarnation: &Incarnation) -> Option<u64> {
    let until = incarnation.to_us.unwrap_or(u64::MAX);
    let in_incarnation = |applied: &&Applied| (incarnation.from_us..until).contains(&applied.at_us);
    node.applied.iter().find(in_incarnation).map(|applied| applied.at_us)
}

/// A histogram of times in microseconds.
#[derive(Debug)]
struct LatencyRecorder(Option<Histogram<u64>>);

impl Default for LatencyRecorder {
    fn default() -> Self {
        // The bounds are valid. If they were not, there would be no figures.
        Self(Histogram::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS).ok())
    }
}

impl LatencyRecorder {
    fn record(&mut self, micros: u64) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(micros);
        }
    }

    fn count_later_than(&self, millis: f64) -> u64 {
        let Some(histogram) = &self.0 else { return 0 };
        let limit = ((millis * 1e3) as u64).clamp(1, MAX_US - 1);
        histogram.count_between(limit + 1, MAX_US)
    }

    fn figures(&self) -> LatencyFigures {
        let Some(histogram) = self.0.as_ref().filter(|histogram| !histogram.is_empty()) else {
            return LatencyFigures::default();
        };
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        let last_ms = histogram.max() as f64 / 1e3;
        LatencyFigures { count: histogram.len(), p50_ms: millis(0.5), p99_ms: millis(0.99), last_ms }
    }

    fn distribution(&self) -> Vec<(f64, f64)> {
        let Some(histogram) = self.0.as_ref().filter(|histogram| !histogram.is_empty()) else {
            return Vec::new();
        };
        let fractions =
            (0..=DISTRIBUTION_POINTS).map(|point| f64::from(point) / f64::from(DISTRIBUTION_POINTS));
        fractions.map(|fraction| (fraction, histogram.value_at_quantile(fraction) as f64 / 1e3)).collect()
    }
}
