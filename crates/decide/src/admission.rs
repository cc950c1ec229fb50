//! One door before the balancer: how much of what is asked for a node takes in, and what it refuses first.
//!
//! One of hundreds of nodes cannot know how full a server is that it meets every ten seconds. What it can know is how the
//! fleet does: the ends of *all* its attempts, whatever their server, are a fair sample of all nodes' attempts. So the door
//! has one level for the whole fleet, and no server's own history closes it.
//!
//! The level falls by a part of itself with each attempt that was late or found no room, and rises by a step with each
//! answer in time (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance", 1989: nodes that
//! share a bottleneck come to fair parts without a word between them). Steps are taken by outcome and not by time, so the
//! level at which ups and downs balance is the same for a node that sees four of them a second and for one that sees four
//! hundred: N nodes let in, added up, what one that sees all would. Only its speed differs.
//!
//! What is not let in is what is worth least for its work, so that the most worth is served by what there is; a floor is
//! left to each class, since its answers are evidence too.

use crate::settings::Class;
use crate::time::Timestamp;
use std::time::Duration;

/// Evidence counts for about so long: servers that are too full are so for two to three seconds (docs/design/evidence.md).
const SPAN: Duration = Duration::from_secs(2);
/// The part that the level loses with an attempt that found no room.
const DOWN: f64 = 0.06;
/// The step up with an answer in time, where all of them are; it shrinks to `CRAWL` as `BORNE` of them are not, which is what
/// a few bad servers among many cost.
const UP: f64 = 0.04;
const CRAWL: f64 = 0.003;
const BORNE: f64 = 0.12;
/// What an end counts against the level. A late answer comes from a server that works and has too much to do, most often; a
/// time-out comes as well from one that is dark or cut off, and closing the door to that helps nobody.
const LATE: f64 = 0.7;
const TIMED_OUT: f64 = 0.15;
/// Answers that are taken for granted before there are any.
const PRIOR: f64 = 5.0;
/// The level's least, and the part of each class that is let in whatever the level.
const LEAST: f64 = 0.1;
const FLOOR: f64 = 0.15;

/// How an attempt ended, as far as it tells of what the fleet can bear. That no connection came up or that one broke tells
/// nothing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered in time.
    Answered,
    /// Answered late, or all but.
    Late,
    /// Not answered in time.
    TimedOut,
    /// Turned away for want of room.
    Full,
}

impl End {
    fn weight(self) -> f64 {
        match self {
            Self::Answered => 0.0,
            Self::Late => LATE,
            Self::TimedOut => TIMED_OUT,
            Self::Full => 1.0,
        }
    }
}

/// See the module's page.
#[derive(Clone, Debug, PartialEq)]
pub struct Door {
    /// The part of the work asked for that is let in.
    level: f64,
    /// Attempts that ended, and what they count against the level, over about `SPAN`.
    ends: f64,
    lost: f64,
    /// By class: the work asked for, over about `SPAN`, in the caller's unit.
    asked: Vec<f64>,
    at: Timestamp,
}

impl Default for Door {
    /// Wide open.
    fn default() -> Self {
        Self { level: 1.0, ends: 0.0, lost: 0.0, asked: Vec::new(), at: Timestamp::default() }
    }
}

impl Door {
    /// One that stands as another did; as far as its least where the level is no number within reach.
    pub fn at_level(level: f64) -> Self {
        let level = if level.is_finite() { level.clamp(LEAST, 1.0) } else { 1.0 };
        Self { level, ..Self::default() }
    }

    /// The part of the work asked for that is let in, from above 0 to 1.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// The classes are others from here on. For each that holds now, where it stood before, if it was there: what was asked
    /// for of it still counts.
    pub fn reclass(&mut self, stood: &[Option<usize>]) {
        let asked =
            |stood: &Option<usize>| stood.and_then(|before| self.asked.get(before).copied()).unwrap_or(0.0);
        self.asked = stood.iter().map(asked).collect();
    }

    /// An attempt has ended.
    pub fn note(&mut self, now: Timestamp, end: End) {
        self.fade(now);
        let weight = end.weight();
        self.ends += 1.0;
        self.lost += weight;
        let part = self.lost / (self.ends + PRIOR);
        let up = (UP * (1.0 - part / BORNE)).max(CRAWL);
        self.level = (self.level * (1.0 - DOWN * weight) + (1.0 - weight) * up).clamp(LEAST, 1.0);
    }

    /// Whether a request of this class is let in. `work` is by class what one of its requests takes, in any one unit; `draw`
    /// is the request's place between 0 and 1, evenly spread.
    pub fn admits(
        &mut self,
        now: Timestamp,
        class: usize,
        classes: &[Class],
        work: &[f64],
        draw: f64,
    ) -> bool {
        self.fade(now);
        self.asked.resize(classes.len(), 0.0);
        self.asked[class] += work[class];
        if self.level >= 1.0 {
            return true;
        }
        let price = |class: usize| classes[class].worth / work[class].max(f64::MIN_POSITIVE);
        // Those that are worth less for their work are refused first; equal ones in their order.
        let before = (0..classes.len()).filter(|&other| (price(other), other) < (price(class), class));
        let room = 1.0 - FLOOR.min(self.level);
        let refused = before.map(|other| self.asked[other] * room).sum::<f64>();
        let left = (1.0 - self.level) * self.asked.iter().sum::<f64>() - refused;
        draw * self.asked[class] >= left.clamp(0.0, self.asked[class] * room)
    }

    fn fade(&mut self, now: Timestamp) {
        let faded = (-now.since(self.at).as_secs_f64() / SPAN.as_secs_f64()).exp();
        self.at = now;
        self.asked.iter_mut().for_each(|asked| *asked *= faded);
        (self.ends, self.lost) = (self.ends * faded, self.lost * faded);
    }
}
