//! Parses a truncated or malformed response of discovery entry by entry, up to the first error.
//!
//! By the discovery protocol, a node counts as notified of everything that discovery has written to the
//! connection. A truncated response, or one with a malformed entry, is not a valid list. If it were ignored,
//! the node would keep sending requests to a server that the response reports as draining.
//!
//! Values that are not needed are skipped as text. Parsed, they would take many times their bytes.

use super::ReportedState;
use serde::de::{Deserialize, DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::value::RawValue;
use std::collections::BTreeMap;
use std::fmt;

/// The part of a response that could be parsed.
#[derive(Debug, Default)]
pub(super) struct PartialList {
    /// The version of the list; `None` unless it is valid and precedes the first error.
    pub(super) version: Option<u64>,
    /// The reported state of each endpoint, by id.
    pub(super) states: BTreeMap<String, ReportedState>,
}

/// Parses as much of `text` as possible.
pub(super) fn read(text: &[u8]) -> PartialList {
    let mut partial = PartialList::default();
    let mut json = serde_json::Deserializer::from_slice(text);
    // An error ends parsing. The entries parsed before it are kept.
    let _ = ResponseSeed(&mut partial).deserialize(&mut json);
    partial
}

/// Deserializes a response into the partial list.
struct ResponseSeed<'a>(&'a mut PartialList);

/// Deserializes entries into a map from endpoint id to state.
struct EntriesSeed<'a>(&'a mut BTreeMap<String, ReportedState>);

impl<'de> DeserializeSeed<'de> for ResponseSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for ResponseSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an endpoint list")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "hosts" => map.next_value_seed(EntriesSeed(&mut self.0.states))?,
                "seq" => self.0.version = parsed(map.next_value()?),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for EntriesSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for EntriesSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list of entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        while let Some(entry) = entries.next_element::<&RawValue>()? {
            let PartialEntry { id, state } = parsed(entry).unwrap_or_default();
            if let (Some(id), Some(state)) = (id, state) {
                self.0.insert(id, state.into());
            }
        }
        Ok(())
    }
}

/// Parses a value, or returns `None` if it has another type.
fn parsed<'de, T: Deserialize<'de>>(value: &'de RawValue) -> Option<T> {
    serde_json::from_str(value.get()).ok()
}

/// The used fields of an entry, each `None` if it is missing or no text. Of repeated fields, the last counts.
#[derive(Debug, Default)]
struct PartialEntry {
    id: Option<String>,
    state: Option<String>,
}

impl<'de> Deserialize<'de> for PartialEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(PartialEntryVisitor)
    }
}

struct PartialEntryVisitor;

impl<'de> Visitor<'de> for PartialEntryVisitor {
    type Value = PartialEntry;

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("an entry of an endpoint list")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<PartialEntry, A::Error> {
        let mut entry = PartialEntry::default();
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "host" => entry.id = parsed(map.next_value()?),
                "health" => entry.state = parsed(map.next_value()?),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(entry)
    }
}
