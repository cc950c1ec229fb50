//! A scene: the world of a scale run's script, and what happens in it.

use crate::scale::script::ScaleScript;
use crate::scale::steps::{plan, servers_at_start, Step};
use std::time::Duration;
use thiserror::Error;

/// What happens at one time.
#[derive(Clone, Debug, PartialEq)]
pub enum Occurrence {
    /// What happens on sockets, too.
    Step(Step),
    /// Nothing passes between this region and the others.
    CutOff {
        /// Its number from 0.
        region: u32,
    },
    /// It passes again.
    Reconnect {
        /// Its number from 0.
        region: u32,
    },
}

/// Why a script can't be played in virtual time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SceneError {
    /// There is none of this name.
    #[error("{name}: expected the name of a scene or a script's file")]
    Unknown {
        /// What was asked for.
        name: String,
    },
    /// Its script is faulty.
    #[error("{faults}")]
    Script {
        /// All faults.
        faults: String,
    },
    /// It has an event that the player doesn't know.
    #[error("event {kind}: expected one that can be played in virtual time: any but replica-reset and replica-set")]
    NotPlayed {
        /// The event's kind, as the script calls it.
        kind: &'static str,
    },
}

/// See the module's page.
#[derive(Clone, Debug, PartialEq)]
pub struct Scene {
    /// Sizes, capacity, lengths and seed; its events are in `occurrences` already.
    pub script: ScaleScript,
    /// What happens, from the beginning of the measurement, in the order of time.
    pub occurrences: Vec<(Duration, Occurrence)>,
    /// Nodes run, and hold the list, from the beginning; else each waits until it is launched.
    pub nodes_run: bool,
}

impl Scene {
    /// Of a script.
    ///
    /// # Errors
    /// Names the first event that can't be played.
    pub fn of_script(script: ScaleScript) -> Result<Self, SceneError> {
        let planned =
            plan(&script, &servers_at_start(&script)).into_iter().map(|planned| match &planned.step {
                Step::Lose { .. } | Step::Restore { .. } => {
                    Err(SceneError::NotPlayed { kind: "replica-reset" })
                }
                Step::ReplicaSet(_) => Err(SceneError::NotPlayed { kind: "replica-set" }),
                _ => Ok((planned.at, Occurrence::Step(planned.step))),
            });
        let occurrences = planned.collect::<Result<_, _>>()?;
        Ok(Self { script, occurrences, nodes_run: true })
    }

    /// Adds what happens besides.
    pub fn with(mut self, more: impl IntoIterator<Item = (Duration, Occurrence)>) -> Self {
        self.occurrences.extend(more);
        self.occurrences.sort_by_key(|(at, _)| *at);
        self
    }

    /// The region of a node.
    pub fn region_of_node(&self, node: u32) -> u32 {
        node % self.script.zones % self.script.regions
    }

    /// The region of a replica: they are dealt out in turn.
    pub fn region_of_replica(&self, replica: u32) -> u32 {
        replica % self.script.regions
    }
}
