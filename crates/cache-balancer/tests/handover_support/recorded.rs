//! Recorded frames of the version before; `tests/data/handover_before.txt` says how they were recorded.

use serde_json::Value;
use std::net::SocketAddr;

/// Lines of `session sender header text`, and of `address name address`.
const RECORDING: &str = include_str!("../data/handover_before.txt");
/// The magic number and version (6 bytes), kind (2) and text length (4).
const HEADER_BYTES: usize = 12;
/// The offset of the text length in a header.
const LENGTH_OFFSET: usize = 8;

/// The recording, with addresses of the recording replaced by others.
pub struct Recording(Vec<(String, SocketAddr)>);

impl Recording {
    /// Loads the recording. `addresses` maps names of the recording to the addresses that replace them.
    pub fn with_addresses(addresses: &[(&str, SocketAddr)]) -> Self {
        let replace = |(name, address): &(&str, SocketAddr)| (recorded_address(name).to_owned(), *address);
        Self(addresses.iter().map(replace).collect())
    }

    /// The frames that `sender` sent in `session`, in order.
    pub fn frames(&self, session: &str, sender: &str) -> Vec<Vec<u8>> {
        let lines = RECORDING.lines().filter(|line| !line.starts_with('#'));
        let prefix = format!("{session} {sender} ");
        lines.filter_map(|line| line.strip_prefix(&prefix)).map(|line| self.frame(line)).collect()
    }

    /// The one frame of `sender` in `session`.
    pub fn frame_of(&self, session: &str, sender: &str) -> Vec<u8> {
        let frames = self.frames(session, sender);
        assert_eq!(frames.len(), 1, "{session} {sender}");
        frames.into_iter().next().unwrap()
    }

    /// The header stays as recorded, except for a length that changes with an address.
    fn frame(&self, line: &str) -> Vec<u8> {
        let (header, text) = line.split_once(' ').unwrap();
        let mut frame: Vec<u8> =
            (0..HEADER_BYTES).map(|i| u8::from_str_radix(&header[2 * i..2 * i + 2], 16).unwrap()).collect();
        let recorded_length = u32::from_be_bytes(frame[LENGTH_OFFSET..].try_into().unwrap());
        assert_eq!(recorded_length as usize, text.len(), "a frame of the recording is damaged");
        let mut text = text.to_owned();
        for (recorded, address) in &self.0 {
            text = text.replace(recorded, &address.to_string());
        }
        frame[LENGTH_OFFSET..].copy_from_slice(&(text.len() as u32).to_be_bytes());
        frame.extend(text.as_bytes());
        frame
    }
}

fn recorded_address(name: &str) -> &'static str {
    let prefix = format!("address {name} ");
    RECORDING.lines().find_map(|line| line.strip_prefix(&prefix)).expect("an address of the recording")
}

/// The kind of a frame.
pub fn kind(frame: &[u8]) -> u16 {
    u16::from_be_bytes([frame[6], frame[7]])
}

/// The text of a frame.
pub fn text(frame: &[u8]) -> Value {
    serde_json::from_slice(&frame[HEADER_BYTES..]).unwrap()
}

/// The form of a text: the path of each value with the JSON type that it has there. Elements of a list share a path. `null`
/// counts as an absent value, so that an optional value has one form.
pub fn form(text: &Value) -> Vec<String> {
    let mut form = Vec::new();
    collect_form(String::new(), text, &mut form);
    form.sort();
    form.dedup();
    form
}

fn collect_form(path: String, value: &Value, form: &mut Vec<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                collect_form(format!("{path}.{name}"), value, form);
            }
        }
        Value::Array(items) => {
            form.push(format!("{path}: list"));
            for item in items {
                collect_form(format!("{path}[]"), item, form);
            }
        }
        Value::Null => form.push(format!("{path}: optional")),
        Value::Bool(_) => form.push(format!("{path}: boolean")),
        Value::Number(_) => form.push(format!("{path}: number")),
        Value::String(_) => form.push(format!("{path}: text")),
    }
}
