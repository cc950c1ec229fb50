//! Recorded frames of the previous version. `tests/data/handover_before.txt` describes how they were
//! recorded.

use serde_json::Value;
use std::net::SocketAddr;

/// Lines of the form `SESSION SENDER HEADER PAYLOAD` or `address NAME ADDRESS`.
const RECORDING: &str = include_str!("../data/handover_before.txt");
/// Magic number and version (6 bytes), kind (2) and payload length (4).
const HEADER_BYTES: usize = 12;
/// Offset of the payload length in a header.
const LENGTH_OFFSET: usize = 8;

/// The recording, with a list of recorded addresses and their replacements.
pub struct Recording(Vec<(String, SocketAddr)>);

impl Recording {
    /// Loads the recording. `addresses` maps names in the recording to the addresses that replace the
    /// recorded ones.
    pub fn with_addresses(addresses: &[(&str, SocketAddr)]) -> Self {
        let replace = |(name, address): &(&str, SocketAddr)| (recorded_address(name).to_owned(), *address);
        Self(addresses.iter().map(replace).collect())
    }

    /// Returns the frames that `sender` sent in `session`, in order.
    pub fn frames(&self, session: &str, sender: &str) -> Vec<Vec<u8>> {
        let lines = RECORDING.lines().filter(|line| !line.starts_with('#'));
        let prefix = format!("{session} {sender} ");
        lines.filter_map(|line| line.strip_prefix(&prefix)).map(|line| self.parse_frame(line)).collect()
    }

    /// Returns the frame that `sender` sent in `session`, which must be the only one.
    pub fn only_frame(&self, session: &str, sender: &str) -> Vec<u8> {
        let frames = self.frames(session, sender);
        assert_eq!(frames.len(), 1, "{session} {sender}");
        frames.into_iter().next().unwrap()
    }

    /// Parses a line `HEADER PAYLOAD` and replaces the addresses. The header stays as recorded, except for
    /// the length if the new addresses change it.
    fn parse_frame(&self, line: &str) -> Vec<u8> {
        let (header, payload) = line.split_once(' ').unwrap();
        let mut frame: Vec<u8> =
            (0..HEADER_BYTES).map(|i| u8::from_str_radix(&header[2 * i..2 * i + 2], 16).unwrap()).collect();
        let recorded_length = u32::from_be_bytes(frame[LENGTH_OFFSET..].try_into().unwrap());
        assert_eq!(recorded_length as usize, payload.len(), "corrupt frame in the recording");
        let mut payload = payload.to_owned();
        for (recorded, address) in &self.0 {
            payload = payload.replace(recorded, &address.to_string());
        }
        frame[LENGTH_OFFSET..].copy_from_slice(&(payload.len() as u32).to_be_bytes());
        frame.extend(payload.as_bytes());
        frame
    }
}

fn recorded_address(name: &str) -> &'static str {
    let prefix = format!("address {name} ");
    RECORDING.lines().find_map(|line| line.strip_prefix(&prefix)).expect("a recorded address of this name")
}

/// Returns the kind of a frame.
pub fn frame_kind(frame: &[u8]) -> u16 {
    u16::from_be_bytes([frame[6], frame[7]])
}

/// Parses the payload of a frame.
pub fn frame_payload(frame: &[u8]) -> Value {
    serde_json::from_slice(&frame[HEADER_BYTES..]).unwrap()
}

/// Returns the schema of a payload: the path of each value with its JSON type. Elements of an array share a
/// path. `null` has a type of its own, `optional`.
pub fn schema(payload: &Value) -> Vec<String> {
    let mut schema = Vec::new();
    collect_schema(String::new(), payload, &mut schema);
    schema.sort();
    schema.dedup();
    schema
}

fn collect_schema(path: String, value: &Value, schema: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                collect_schema(format!("{path}.{name}"), value, schema);
            }
        }
        Value::Array(items) => {
            schema.push(format!("{path}: list"));
            for item in items {
                collect_schema(format!("{path}[]"), item, schema);
            }
        }
        Value::Null => schema.push(format!("{path}: optional")),
        Value::Bool(_) => schema.push(format!("{path}: boolean")),
        Value::Number(_) => schema.push(format!("{path}: number")),
        Value::String(_) => schema.push(format!("{path}: text")),
    }
}
