//! Reads and writes HTTP/1.1 messages for tests.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// An HTTP message as it was received.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// The request line or status line.
    pub start_line: String,
    /// The header values by lower-case name.
    pub headers: HashMap<String, String>,
    /// The body, of the length in `Content-Length`.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message, or returns `None` if the connection ends before its head is complete. An incomplete
    /// body is an error.
    pub fn read(stream: &mut BufReader<TcpStream>) -> std::io::Result<Option<Self>> {
        let mut message = Self::default();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Ok(None);
            }
            match line.trim_end() {
                "" => break,
                line if message.start_line.is_empty() => message.start_line = line.to_owned(),
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

    /// Returns the value of a header by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the status code of a response.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).unwrap().parse().unwrap()
    }
}

/// Accepts connections in the background and passes each request to `respond`, which writes the response and
/// returns whether the connection stays open. The listener stays open until the test process ends.
pub fn serve_requests(
    listener: TcpListener,
    respond: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let respond = Arc::new(respond);
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let respond = respond.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Ok(Some(request)) = Message::read(&mut reader) {
                    if !respond(&request, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// Formats a response with this status, these header lines (each terminated by CRLF) and this body.
pub fn response(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// Formats a read of `key` in a request class, with the key as request id and a deadline in milliseconds.
pub fn read_request(class: &str, key: u64, deadline_ms: u64) -> String {
    format!(
        "GET /api/{key:016x} HTTP/1.1\r\nHost: s\r\nReq-Id: {key:x}\r\nReq-Kind: {class}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
}

/// Formats a write of `key` in class `keyed`, with an idempotency key and a deadline in milliseconds.
pub fn write_request(key: u64, deadline_ms: u64) -> String {
    read_request("keyed", key, deadline_ms)
        .replace("GET", "PUT")
        .replace("\r\n\r\n", "\r\nIdempotency-Key: k\r\nContent-Length: 3\r\n\r\nnew")
}
