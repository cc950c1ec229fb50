//! A scene: the script of a scale run, and the events that happen in the simulation.

use crate::scale::script::ScaleScript;
use crate::scale::steps::{plan, servers_at_start, Step};
use std::time::Duration;
use thiserror::Error;

/// An event of a scene.
#[derive(Clone, Debug, PartialEq)]
pub enum SceneEvent {
    /// Executes a step of a script, as in a run on sockets.
    Step(Step),
    /// Cuts a region off: no messages pass between it and the other regions.
    CutOff {
        /// The index of the region.
        region: u32,
    },
    /// Reconnects a region that was cut off.
    Reconnect {
        /// The index of the region.
        region: u32,
    },
}

/// The reason why a script cannot run in virtual time.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SceneError {
    /// There is no scene of this name.
    #[error("{name}: expected the name of a scene or a script's file")]
    Unknown {
        /// The unknown name.
        name: String,
    },
    /// The script has faults.
    #[error("{faults}")]
    Script {
        /// The faults, joined.
        faults: String,
    },
    /// The script has an event that the simulation does not support.
    #[error(
        "event {kind}: expected a kind that virtual time supports: any but replica-reset and replica-set"
    )]
    UnsupportedEvent {
        /// The kind of the event in the script.
        kind: &'static str,
    },
}

/// A scene to simulate.
#[derive(Clone, Debug, PartialEq)]
pub struct Scene {
    /// Sizes, capacity, durations and seed. The script's own events are ignored; `events` contains their
    /// steps.
    pub script: ScaleScript,
    /// The events in chronological order, with their times since the beginning of the measurement.
    pub events: Vec<(Duration, SceneEvent)>,
    /// Whether nodes run and have the list from the beginning. Otherwise each node starts when it is
    /// launched.
    pub starts_running: bool,
}

impl Scene {
    /// Creates the scene of a script.
    ///
    /// # Errors
    /// If the script has an event that the simulation does not support.
    pub fn of_script(script: ScaleScript) -> Result<Self, SceneError> {
        let planned =
            plan(&script, &servers_at_start(&script)).into_iter().map(|planned| match &planned.step {
                Step::LoseState { .. } | Step::RestoreState { .. } => {
                    Err(SceneError::UnsupportedEvent { kind: "replica-reset" })
                }
                Step::SetReplicas(_) => Err(SceneError::UnsupportedEvent { kind: "replica-set" }),
                _ => Ok((planned.at, SceneEvent::Step(planned.step))),
            });
        let events = planned.collect::<Result<_, _>>()?;
        Ok(Self { script, events, starts_running: true })
    }

    /// Adds events to the scene.
    pub fn with(mut self, more: impl IntoIterator<Item = (Duration, SceneEvent)>) -> Self {
        self.events.extend(more);
        self.events.sort_by_key(|(at, _)| *at);
        self
    }

    /// Returns the region of a node.
    pub fn region_of_node(&self, node: u32) -> u32 {
        node % self.script.zones % self.script.regions
    }

    /// Returns the region of a replica. Replicas are assigned to regions round-robin.
    pub fn region_of_replica(&self, replica: u32) -> u32 {
        replica % self.script.regions
    }
}
