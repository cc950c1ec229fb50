//! A test client with one connection.

use super::http::Message;
use super::wait::TIMEOUT;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// A client with one connection to a node.
pub struct Client(pub BufReader<TcpStream>);

impl From<TcpStream> for Client {
    fn from(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Self(BufReader::new(stream))
    }
}

impl Client {
    /// Connects to this address.
    pub fn connect(address: SocketAddr) -> Self {
        TcpStream::connect(address).unwrap().into()
    }

    /// Sends a request or a part of one.
    pub fn send(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Shuts down the sending direction, which the node treats as a disconnection.
    pub fn close_sending_side(&self) {
        self.0.get_ref().shutdown(std::net::Shutdown::Write).unwrap();
    }

    /// Receives the next response, or `None` if the node closes the connection first.
    pub fn receive(&mut self) -> Option<Message> {
        match Message::read(&mut self.0) {
            Ok(message) => message,
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(error) => panic!("no response: {error}"),
        }
    }

    /// Returns whether the connection is open and has no unread bytes, as far as this end knows.
    pub fn is_open(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        peeked.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    }

    /// Sends a request and returns its response, or `None` if the node has closed the connection.
    pub fn try_request(&mut self, text: &str) -> Option<Message> {
        self.0.get_mut().write_all(text.as_bytes()).ok()?;
        self.receive()
    }

    /// Sends a request and returns its response. Panics if the node closes the connection first.
    pub fn request(&mut self, text: &str) -> Message {
        self.send(text);
        self.receive().expect("a response")
    }
}
