//! Who acted on what, and when: the changes of the list, the lives of the nodes, and the lists that they took.

use super::messages::Applied;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The longest time that is told apart from longer ones: an hour, in microseconds.
const LONGEST_US: u64 = 3_600_000_000;
/// Points of a distribution that are kept for a plot.
const POINTS: u32 = 200;
/// Significant decimal digits of times.
const DIGITS: u8 = 3;

/// A change of the list.
#[derive(Clone, Copy, Debug)]
struct Change {
    version: u64,
    at_us: u64,
}

/// From a node's start to its end.
#[derive(Clone, Copy, Debug)]
struct Life {
    from_us: u64,
    to_us: Option<u64>,
    /// It began with the list, and not without one.
    with_list: bool,
}

#[derive(Clone, Debug)]
struct Node {
    lives: Vec<Life>,
    applied: Vec<Applied>,
    /// In its present life; none before it has a list.
    holds: Option<u64>,
}

/// Nodes that were started together without a list.
#[derive(Clone, Debug)]
struct Launch {
    at_us: u64,
    nodes: Vec<u32>,
    /// How long discovery takes to send them the whole list, by its capacity.
    sending_ms: f64,
}

/// All that is known of the acts of a run.
#[derive(Clone, Debug)]
pub struct Propagation {
    changes: Vec<Change>,
    nodes: Vec<Node>,
    launches: Vec<Launch>,
}

/// How long something took, over all times that it did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// How often.
    pub count: u64,
    /// Half took no longer than this.
    pub p50_ms: f64,
    /// And 99 of 100 no longer than this.
    pub p99_ms: f64,
    /// The longest.
    pub last_ms: f64,
}

/// From a change at discovery to the nodes that act on it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PropagationFigures {
    /// Changes of the list.
    pub changes: u64,
    /// From each change to each node that acted on it.
    pub times: Times,
    /// Acts that came later than the script expects.
    pub late: u64,
    /// A node that lived on and never acted on a change, for each such change.
    pub never: u64,
    /// Nodes that never acted on some change, though they lived on.
    pub nodes_never: u64,
    /// A node that was killed before it acted on a change, for each such change. Nothing is expected of it.
    pub killed_before: u64,
    /// Parts of all acts, and the milliseconds within which so many came.
    pub distribution: Vec<(f64, f64)>,
}

/// From the start of nodes without a list until they hold one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReadyFigures {
    /// Nodes that were started.
    pub launched: u64,
    /// From each start to the whole list.
    pub times: Times,
    /// Those that lived on and never held a list.
    pub never: u64,
    /// The most that were started together.
    pub largest_group: u64,
    /// Until all of these were ready.
    pub largest_group_ms: f64,
    /// How long discovery takes to send them the list, by its capacity.
    pub largest_group_sending_ms: f64,
    /// The one in multiples of the other.
    pub largest_group_multiple: f64,
}

impl Propagation {
    /// Of so many nodes that have a list from the beginning.
    pub fn new(nodes: u32, from_us: u64, version: u64) -> Self {
        let life = Life { from_us, to_us: None, with_list: true };
        let node = Node { lives: vec![life], applied: Vec::new(), holds: Some(version) };
        Self { changes: Vec::new(), nodes: vec![node; nodes as usize], launches: Vec::new() }
    }

    /// Discovery has a new version of the list.
    pub fn changed(&mut self, version: u64, at_us: u64) {
        self.changes.push(Change { version, at_us });
    }

    /// Nodes are killed.
    pub fn killed(&mut self, nodes: &[u32], at_us: u64) {
        for &number in nodes {
            if let Some(node) = self.nodes.get_mut(number as usize) {
                node.holds = None;
                if let Some(life) = node.lives.last_mut() {
                    life.to_us.get_or_insert(at_us);
                }
            }
        }
    }

    /// Nodes start without a list; discovery takes so long to send it to all of them, by its capacity.
    pub fn launched(&mut self, nodes: &[u32], at_us: u64, sending_ms: f64) {
        for &number in nodes {
            if let Some(node) = self.nodes.get_mut(number as usize) {
                node.holds = None;
                node.lives.push(Life { from_us: at_us, to_us: None, with_list: false });
            }
        }
        self.launches.push(Launch { at_us, nodes: nodes.to_vec(), sending_ms });
    }

    /// A node acted on a list. Those of one node come in the order of time.
    pub fn applied(&mut self, applied: Applied) {
        let Some(node) = self.nodes.get_mut(applied.node as usize) else { return };
        node.applied.push(applied);
        let in_this_life =
            node.lives.last().is_some_and(|life| life.to_us.is_none() && applied.at_us >= life.from_us);
        if in_this_life {
            node.holds = Some(applied.version);
        }
    }

    /// How many changes there were.
    pub fn changes(&self) -> usize {
        self.changes.len()
    }

    /// How many nodes that live do not hold this version of the list, or a later one.
    pub fn behind(&self, version: u64) -> usize {
        let lives = |node: &&Node| node.lives.last().is_some_and(|life| life.to_us.is_none());
        self.nodes.iter().filter(lives).filter(|node| node.holds.is_none_or(|holds| holds < version)).count()
    }

    /// How many lists were taken from a time on: changes, and whole ones.
    pub fn taken_since(&self, from_us: u64) -> (u64, u64) {
        let applied =
            self.nodes.iter().flat_map(|node| &node.applied).filter(|applied| applied.at_us >= from_us);
        applied.fold((0, 0), |(changes, whole), applied| match applied.whole {
            true => (changes, whole + 1),
            false => (changes + 1, whole),
        })
    }

    /// From each change to the nodes that act on it. `within_ms` is what the script expects.
    pub fn propagation_figures(&self, within_ms: Option<f64>) -> PropagationFigures {
        let mut figures =
            PropagationFigures { changes: self.changes.len() as u64, ..PropagationFigures::default() };
        let mut times = Recorder::default();
        for node in &self.nodes {
            let never_before = figures.never;
            for life in &node.lives {
                self.acts_of(node, life, &mut figures, &mut times);
            }
            figures.nodes_never += u64::from(figures.never > never_before);
        }
        figures.late = within_ms.map_or(0, |within_ms| times.later_than(within_ms));
        figures.times = times.times();
        figures.distribution = times.distribution();
        figures
    }

    fn acts_of(&self, node: &Node, life: &Life, figures: &mut PropagationFigures, times: &mut Recorder) {
        let until = life.to_us.unwrap_or(u64::MAX);
        // A node without a list is not ready yet; what changes until then comes with its list.
        let from = if life.with_list { Some(life.from_us) } else { first_list(node, life) };
        let Some(from) = from else { return };
        let first = self.changes.partition_point(|change| change.at_us < from);
        for change in self.changes[first..].iter().take_while(|change| change.at_us < until) {
            let later = node.applied.partition_point(|applied| applied.at_us < change.at_us);
            let acted = node.applied[later..].iter().find(|applied| applied.version >= change.version);
            match acted.filter(|applied| applied.at_us < until) {
                Some(applied) => times.record(applied.at_us - change.at_us),
                None if life.to_us.is_some() => figures.killed_before += 1,
                None => figures.never += 1,
            }
        }
    }

    /// From each start without a list to the list.
    pub fn ready_figures(&self) -> ReadyFigures {
        let mut figures = ReadyFigures::default();
        let mut times = Recorder::default();
        for node in &self.nodes {
            for life in node.lives.iter().filter(|life| !life.with_list) {
                figures.launched += 1;
                match first_list(node, life) {
                    Some(at_us) => times.record(at_us - life.from_us),
                    None if life.to_us.is_none() => figures.never += 1,
                    None => {}
                }
            }
        }
        figures.times = times.times();
        let largest = self.launches.iter().max_by_key(|launch| launch.nodes.len());
        if let Some(launch) = largest {
            figures.largest_group = launch.nodes.len() as u64;
            figures.largest_group_ms = self.last_ready(launch).saturating_sub(launch.at_us) as f64 / 1e3;
            figures.largest_group_sending_ms = launch.sending_ms;
            figures.largest_group_multiple = figures.largest_group_ms / launch.sending_ms;
        }
        figures
    }

    fn last_ready(&self, launch: &Launch) -> u64 {
        let nodes = launch.nodes.iter().filter_map(|&number| self.nodes.get(number as usize));
        let ready = nodes.filter_map(|node| {
            let life = node.lives.iter().find(|life| life.from_us == launch.at_us)?;
            first_list(node, life)
        });
        ready.max().unwrap_or(launch.at_us)
    }
}

/// When a node that started without a list had one.
fn first_list(node: &Node, life: &Life) -> Option<u64> {
    let until = life.to_us.unwrap_or(u64::MAX);
    let in_life = |applied: &&Applied| (life.from_us..until).contains(&applied.at_us);
    node.applied.iter().find(in_life).map(|applied| applied.at_us)
}

/// Takes times in microseconds.
#[derive(Debug)]
struct Recorder(Option<Histogram<u64>>);

impl Default for Recorder {
    fn default() -> Self {
        // These bounds are valid ones; were they not, there would be no figures rather than false ones.
        Self(Histogram::new_with_bounds(1, LONGEST_US, DIGITS).ok())
    }
}

impl Recorder {
    fn record(&mut self, micros: u64) {
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(micros);
        }
    }

    fn later_than(&self, millis: f64) -> u64 {
        let Some(histogram) = &self.0 else { return 0 };
        let limit = ((millis * 1e3) as u64).clamp(1, LONGEST_US - 1);
        histogram.count_between(limit + 1, LONGEST_US)
    }

    fn times(&self) -> Times {
        let Some(histogram) = self.0.as_ref().filter(|histogram| !histogram.is_empty()) else {
            return Times::default();
        };
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        let last_ms = histogram.max() as f64 / 1e3;
        Times { count: histogram.len(), p50_ms: millis(0.5), p99_ms: millis(0.99), last_ms }
    }

    fn distribution(&self) -> Vec<(f64, f64)> {
        let Some(histogram) = self.0.as_ref().filter(|histogram| !histogram.is_empty()) else {
            return Vec::new();
        };
        let parts = (0..=POINTS).map(|point| f64::from(point) / f64::from(POINTS));
        parts.map(|part| (part, histogram.value_at_quantile(part) as f64 / 1e3)).collect()
    }
}
