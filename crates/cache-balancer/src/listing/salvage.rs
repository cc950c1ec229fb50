//! Reads what an answer of discovery's says of servers, one entry after the other, up to where it cannot be read: what was
//! written to the node counts as told, whatever comes behind it.

use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::{Formatter, Result as Written};

/// What is said of each server, by name.
pub type Told = BTreeMap<String, String>;

/// What can be read of an answer.
#[derive(Debug, Default)]
pub struct Salvaged {
    /// Its version, if that stands before what cannot be read.
    pub version: Option<u64>,
    /// What it says of servers.
    pub told: Told,
}

/// The whole answer.
pub struct Answer<'a>(pub &'a mut Salvaged);

/// Its entries.
struct Hosts<'a>(&'a mut Told);

impl<'de> DeserializeSeed<'de> for Answer<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Answer<'_> {
    type Value = ();
    fn expecting(&self, f: &mut Formatter) -> Written {
        f.write_str("a list")
    }
    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "hosts" => map.next_value_seed(Hosts(&mut self.0.told))?,
                "seq" => self.0.version = map.next_value::<Value>()?.as_u64(),
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(())
    }
}

impl<'de> DeserializeSeed<'de> for Hosts<'_> {
    type Value = ();
    fn deserialize<D: Deserializer<'de>>(self, from: D) -> Result<(), D::Error> {
        from.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for Hosts<'_> {
    type Value = ();
    fn expecting(&self, f: &mut Formatter) -> Written {
        f.write_str("entries")
    }
    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<(), A::Error> {
        while let Some(entry) = entries.next_element::<Value>()? {
            let text = |name: &str| entry.get(name).and_then(Value::as_str).map(str::to_owned);
            if let (Some(host), Some(health)) = (text("host"), text("health")) {
                self.0.insert(host, health);
            }
        }
        Ok(())
    }
}
