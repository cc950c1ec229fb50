//! HTTP/1.1 messages as text.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// An HTTP message as it was received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// Its first line.
    pub start: String,
    /// Its headers, by lower-case name.
    pub headers: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; `None` where the connection ends first. A body that breaks off is an error.
    pub fn read(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Self>> {
        let mut message = Self::default();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            match line.trim_end() {
                "" => break,
                line if message.start.is_empty() => message.start = line.to_owned(),
                line => {
                    let (name, value) = line.split_once(':').unwrap();
                    message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
                }
            }
        }
        let length = message.header("content-length").map_or(0, |length| length.parse().unwrap());
        message.body = vec![0; length];
        stream.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    /// A header, by lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// A response with this status, these header lines and this body.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A read of a key, with the key as the request's id.
pub fn read(class: &str, key: u64, deadline_ms: u64) -> String {
    format!(
        "GET /api/{key:016x} HTTP/1.1\r\nHost: s\r\nReq-Id: {key:x}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// A write of a key by class `keyed`, with an idempotency key.
pub fn put(key: u64, deadline_ms: u64) -> String {
    read("keyed", key, deadline_ms)
        .replace("GET", "PUT")
        .replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\r\nnew")
}
