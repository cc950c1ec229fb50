//! Reads an answer of discovery entry by entry, up to where it cannot be read.
//!
//! What discovery has written to the connection counts as notified, whatever follows it. An answer that breaks off, or has one
//! malformed entry, is no list; without this a node would go on sending to a server that the answer reports as draining.

use super::ReportedState;
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// What could be read of an answer.
#[derive(Debug, Default)]
pub(super) struct PartialList {
    /// `None` unless the version stands before what cannot be read.
    pub(super) version: Option<u64>,
    /// The reported states by id.
    pub(super) states: BTreeMap<String, ReportedState>,
}

/// Reads as much as possible of `text`.
pub(super) fn read(text: &[u8]) -> PartialList {
    let mut partial = PartialList::default();
    let mut json = serde_json::Deserializer::from_slice(text);
    // An error only ends the reading: what was read before it counts.
    let _ = AnswerSeed(&mut partial).deserialize(&mut json);
    partial
}

/// Reads an answer into the partial list.
struct AnswerSeed<'a>(&'a mut PartialList);

/// Reads entries into the states by id.
struct EntriesSeed<'a>(&'a mut BTreeMap<String, ReportedState>);

impl<'de> DeserializeSeed<'de> for AnswerSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for AnswerSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a list")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "hosts" => map.next_value_seed(EntriesSeed(&mut self.0.states))?,
                "seq" => self.0.version = map.next_value::<Value>()?.as_u64(),
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
        f.write_str("entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        while let Some(entry) = entries.next_element::<Value>()? {
            let text = |name: &str| entry.get(name).and_then(Value::as_str).map(str::to_owned);
            if let (Some(id), Some(state)) = (text("host"), text("health")) {
                self.0.insert(id, state.into());
            }
        }
        Ok(())
    }
}
