//! The endpoint list, as discovery sends it and as a process hands it over to its successor.
//!
//! The JSON names of discovery's protocol stand in this module alone. Both the answers of discovery and the frames of a
//! hand-over hold them, so processes of other versions read what is written here: the names must not change.

mod partial;
#[cfg(test)]
mod tests;

use balancer_core::discovery::ListEntry;
use balancer_core::{Endpoint, EndpointState, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a text is not an endpoint list.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// Names the place, and what was expected there.
    #[error("not a list: {0}")]
    Invalid(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// More text follows the list.
    #[error("not a list: {0}")]
    TrailingText(#[from] serde_json::Error),
}

/// A list of endpoints: all of them, or those that changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EndpointList {
    /// Grows with each change.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether the list has all endpoints, rather than those that changed.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// In the order in which they were sent.
    #[serde(rename = "hosts", default)]
    pub endpoints: Vec<EndpointRecord>,
}

/// One cache server of a list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EndpointRecord {
    /// Its name.
    #[serde(rename = "host")]
    pub id: String,
    /// Where it listens; a removed one may have no address.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// The zone that it is in.
    #[serde(rename = "site")]
    pub zone: Option<String>,
    /// Its kind of machine.
    #[serde(rename = "class")]
    pub kind: Option<String>,
    /// The cell that it is in; 0 where none is reported.
    #[serde(rename = "block")]
    pub cell: Option<u64>,
    /// Its state, as reported.
    #[serde(rename = "health")]
    pub state: ReportedState,
    /// Its share of the requests relative to others; 1 where none is reported.
    #[serde(rename = "share")]
    pub weight: Option<f64>,
    /// When its process started, in milliseconds of Unix time; 0 where that is not known.
    #[serde(rename = "born_ms")]
    pub started_at_ms: Option<u64>,
}

/// The state of an endpoint, as discovery reports it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(from = "String", into = "String")]
pub enum ReportedState {
    /// It takes requests.
    Ready,
    /// It finishes its requests and takes no new ones.
    Draining,
    /// It has left the fleet.
    Removed,
    /// A state that this version does not know. It is handed over as it was received.
    Other(String),
}

impl ReportedState {
    fn as_str(&self) -> &str {
        match self {
            Self::Ready => "ready",
            Self::Draining => "draining",
            Self::Removed => "gone",
            Self::Other(text) => text,
        }
    }

    fn endpoint_state(&self) -> EndpointState {
        match self {
            Self::Ready => EndpointState::Ready,
            Self::Removed => EndpointState::Removed,
            // An unknown state is no reason to send requests there.
            Self::Draining | Self::Other(_) => EndpointState::Draining,
        }
    }
}

impl From<String> for ReportedState {
    fn from(text: String) -> Self {
        match text.as_str() {
            "ready" => Self::Ready,
            "draining" => Self::Draining,
            "gone" => Self::Removed,
            _ => Self::Other(text),
        }
    }
}

impl From<ReportedState> for String {
    fn from(state: ReportedState) -> Self {
        match state {
            ReportedState::Other(text) => text,
            known => known.as_str().to_owned(),
        }
    }
}

impl fmt::Display for ReportedState {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The endpoints that an incomplete or rejected answer reports as draining or removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeavingEndpoints {
    /// The version of the answer; `None` if it could not be read.
    pub version: Option<u64>,
    /// Their ids.
    pub ids: BTreeSet<String>,
}

impl EndpointList {
    /// Reads an answer of discovery.
    ///
    /// # Errors
    ///
    /// Returns [`EndpointListError`] if the text is anything but one list.
    pub fn read(text: &[u8]) -> Result<Self, EndpointListError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let list = serde_path_to_error::deserialize(&mut json)?;
        json.end()?;
        Ok(list)
    }

    /// Reads from an answer which endpoints are leaving, as far as it can be read: it may break off anywhere, and entries may
    /// lack what a list needs. Of several entries for one endpoint the last counts.
    pub fn read_leaving(text: &[u8]) -> LeavingEndpoints {
        let partial = partial::read(text);
        let leaving = partial.states.into_iter().filter(|(_, state)| *state != ReportedState::Ready);
        LeavingEndpoints { version: partial.version, ids: leaving.map(|(id, _)| id).collect() }
    }

    /// Applies a later list: a snapshot replaces this one, changes are applied in their order.
    pub fn apply(&mut self, update: &Self) {
        if update.is_snapshot {
            *self = update.clone();
            return;
        }
        self.version = update.version;
        for changed in &update.endpoints {
            self.endpoints.retain(|endpoint| endpoint.id != changed.id);
            if changed.state != ReportedState::Removed {
                self.endpoints.push(changed.clone());
            }
        }
    }

    /// Makes the ready endpoints of these ids draining.
    pub fn suppress(&mut self, ids: &BTreeSet<String>) {
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| ids.contains(&endpoint.id)) {
            if let Some(draining) = endpoint.drained() {
                *endpoint = draining;
            }
        }
    }

    /// The entries, as far as the validation of the list depends on them.
    pub fn entries(&self) -> Vec<ListEntry<'_>> {
        self.endpoints.iter().map(EndpointRecord::list_entry).collect()
    }

    /// The ids of the endpoints that take requests.
    pub fn ready_ids(&self) -> impl Iterator<Item = String> + '_ {
        let ready = self.endpoints.iter().filter(|endpoint| endpoint.state() == EndpointState::Ready);
        ready.map(|endpoint| endpoint.id.clone())
    }
}

impl EndpointRecord {
    /// The state that counts: one that is reported ready and has no address takes no requests.
    fn state(&self) -> EndpointState {
        match self.state.endpoint_state() {
            EndpointState::Ready if self.address.is_none() => EndpointState::Draining,
            state => state,
        }
    }

    /// The same endpoint in state draining; `None` for one that takes no new requests as it is.
    pub fn drained(&self) -> Option<Self> {
        let is_ready = self.state() == EndpointState::Ready;
        is_ready.then(|| Self { state: ReportedState::Draining, ..self.clone() })
    }

    fn list_entry(&self) -> ListEntry<'_> {
        ListEntry { id: &self.id, state: self.state.endpoint_state(), has_address: self.address.is_some() }
    }

    /// The endpoint as the decisions know it.
    pub fn endpoint(&self) -> Endpoint {
        let started_at_ms = self.started_at_ms.filter(|&at| at > 0);
        Endpoint {
            id: self.id.as_str().into(),
            zone: self.zone.as_deref().map(Into::into),
            kind: self.kind.as_deref().map(Into::into),
            cell: self.cell.unwrap_or(0),
            state: self.state(),
            weight: self.weight.filter(|weight| weight.is_finite() && *weight >= 0.0).unwrap_or(1.0),
            started_at: started_at_ms.map(|ms| Timestamp::from_micros(ms.saturating_mul(1000))),
        }
    }
}
