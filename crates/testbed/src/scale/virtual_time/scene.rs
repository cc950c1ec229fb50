//! A scene: the script of a scale run, and what happens in it.

use crate::scale::script::ScaleScript;
use crate::scale::steps::{plan, servers_at_start, Step};
use std::time::Duration;
use thiserror::Error;

/// Something that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Occurrence {
    /// A step that runs on sockets have, too.
    Step(Step),
    /// Nothing passes between a region and the others.
    CutOff {
        /// Its number from 0.
        region: u32,
    },
    /// Messages pass again.
    Reconnect {
        /// Its number from 0.
        region: u32,
    },
}

/// Why a script can't be run in virtual time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SceneError {
    /// There is no scene of this name.
    #[error("{name}: expected the name of a scene or a script's file")]
    Unknown {
        /// The name.
        name: String,
    },
    /// The script has faults.
    #[error("{faults}")]
    Script {
        /// All faults.
        faults: String,
    },
    /// The script has an event that the simulation does not support.
    #[error("event {kind}: expected one that can be played in virtual time: any but replica-reset and replica-set")]
    NotPlayed {
        /// The kind of the event in the script.
        kind: &'static str,
    },
}

/// A scene.
#[derive(Clone, Debug, PartialEq)]
pub struct Scene {
    /// Sizes, capacity, durations and seed. Its events are in `occurrences`.
    pub script: ScaleScript,
    /// What happens, from the beginning of the measurement, in the order of time.
    pub occurrences: Vec<(Duration, Occurrence)>,
    /// Whether nodes run, and have the list, from the beginning; otherwise each waits until it is launched.
    pub nodes_run: bool,
}

impl Scene {
    /// The scene of a script.
    ///
    /// # Errors
    /// If the script has an event that the simulation does not support.
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

    /// Adds occurrences.
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
