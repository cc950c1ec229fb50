//! The endpoint list, as discovery sends it and as a process hands it over to its successor.
//!
//! The JSON names of the discovery protocol are defined only in this module. Hand-over frames use them too,
//! and other versions of the program read those frames, so the names must not change.

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

/// Memory that is reserved for each byte of the text of a list, which is parsed while the text is kept.
pub const RESERVED_PER_BYTE: usize = 4;

/// An error in the text of an endpoint list.
#[derive(Debug, Error)]
pub enum EndpointListError {
    /// The text is not a valid list. The error has the path of the invalid value and what was expected there.
    #[error("invalid endpoint list: {0}")]
    Invalid(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The list is followed by more text.
    #[error("invalid endpoint list: {0}")]
    TrailingText(#[from] serde_json::Error),
}

/// A snapshot of all endpoints, or a delta with those that changed.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct EndpointList {
    /// The version of the list, which increases with each change.
    #[serde(rename = "seq")]
    pub version: u64,
    /// Whether the list is a snapshot rather than a delta.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// The endpoints, in the order in which they were sent.
    #[serde(rename = "hosts", default)]
    pub endpoints: Vec<EndpointRecord>,
}

/// One cache server in a list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct EndpointRecord {
    /// The server's name.
    #[serde(rename = "host")]
    pub id: String,
    /// The address on which the server listens. A removed server may have none.
    #[serde(rename = "dial")]
    pub address: Option<SocketAddr>,
    /// The server's zone.
    #[serde(rename = "site")]
    pub zone: Option<String>,
    /// The server's kind of machine.
    #[serde(rename = "class")]
    pub kind: Option<String>,
    /// The server's cell; 0 if not reported.
    #[serde(rename = "block")]
    pub cell: Option<u64>,
    /// The server's state, as reported.
    #[serde(rename = "health")]
    pub state: ReportedState,
    /// The server's share of the requests relative to other servers; 1 if not reported.
    #[serde(rename = "share")]
    pub weight: Option<f64>,
    /// The start time of the server's process in milliseconds of Unix time; 0 if unknown.
    #[serde(rename = "born_ms")]
    pub started_at_ms: Option<u64>,
}

/// The state of an endpoint, as discovery reports it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(from = "String", into = "String")]
pub enum ReportedState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its current requests and accepts no new ones.
    Draining,
    /// The endpoint has left the fleet.
    Removed,
    /// A state unknown to this version. It is handed over as it was received.
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
            // An endpoint in an unknown state gets no new requests.
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

/// The endpoints that an incomplete or rejected response reports as draining or removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeavingEndpoints {
    /// The version of the list; `None` if it could not be read.
    pub version: Option<u64>,
    /// The ids of these endpoints.
    pub ids: BTreeSet<String>,
}

impl EndpointList {
    /// Parses a response of discovery.
    ///
    /// # Errors
    ///
    /// Returns [`EndpointListError`] if the text is not exactly one list.
    pub fn read(text: &[u8]) -> Result<Self, EndpointListError> {
        let mut json = serde_json::Deserializer::from_slice(text);
        let list = serde_path_to_error::deserialize(&mut json)?;
        json.end()?;
        Ok(list)
    }

    /// Returns the endpoints that a response reports as draining or removed, as far as it can be parsed. The
    /// response may be truncated anywhere, and its entries may lack required fields. If an endpoint has
    /// several entries, the last one counts.
    pub fn read_leaving(text: &[u8]) -> LeavingEndpoints {
        let partial = partial::read(text);
        let leaving = partial.states.into_iter().filter(|(_, state)| *state != ReportedState::Ready);
        LeavingEndpoints { version: partial.version, ids: leaving.map(|(id, _)| id).collect() }
    }

    /// Applies an update: a snapshot replaces this list, and the entries of a delta are applied in order.
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

    /// Marks the ready endpoints with these ids as draining.
    pub fn suppress(&mut self, ids: &BTreeSet<String>) {
        for endpoint in self.endpoints.iter_mut().filter(|endpoint| ids.contains(&endpoint.id)) {
            if let Some(draining) = endpoint.to_draining() {
                *endpoint = draining;
            }
        }
    }

    /// Returns the fields of the entries that the validation of the list needs.
    pub fn entries(&self) -> Vec<ListEntry<'_>> {
        self.endpoints.iter().map(EndpointRecord::list_entry).collect()
    }

    /// Returns the ids of the endpoints that accept requests.
    pub fn ready_ids(&self) -> impl Iterator<Item = String> + '_ {
        let ready = self.endpoints.iter().filter(|endpoint| endpoint.state() == EndpointState::Ready);
        ready.map(|endpoint| endpoint.id.clone())
    }
}

impl EndpointRecord {
    /// Returns the effective state: an endpoint reported as ready without an address counts as draining.
    fn state(&self) -> EndpointState {
        match self.state.endpoint_state() {
            EndpointState::Ready if self.address.is_none() => EndpointState::Draining,
            state => state,
        }
    }

    /// Returns a copy of the endpoint in state draining, or `None` if it accepts no new requests already.
    pub fn to_draining(&self) -> Option<Self> {
        let is_ready = self.state() == EndpointState::Ready;
        is_ready.then(|| Self { state: ReportedState::Draining, ..self.clone() })
    }

    fn list_entry(&self) -> ListEntry<'_> {
        ListEntry { id: &self.id, state: self.state.endpoint_state(), has_address: self.address.is_some() }
    }

    /// Converts the record to the balancer's representation of an endpoint.
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
