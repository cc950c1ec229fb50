//! Scripted predecessors and successors, which send and expect the frames that a test specifies.

use super::Fixture;
use crate::common::TIMEOUT;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde_json::{json, Value};
use std::io::{ErrorKind, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};

/// Request of a version without probation: kind and payload.
pub const REQUEST: (u16, &str) = (1, "{\"program\":\"a test\"}");
/// Request of this version: kind and payload.
pub const REQUEST_WITH_PROBATION: (u16, &str) = (1, "{\"program\":\"a test\",\"probation\":true}");
/// Kind of an offer, which carries the listening sockets and the state.
pub const OFFER: u16 = 2;
/// Message of a successor that has taken over the state: kind and payload.
pub const READY: (u16, &str) = (3, "null");
/// Kind of the message that lets the successor accept connections.
pub const PROCEED: u16 = 4;
/// Message of a successor that accepts connections: kind and payload.
pub const ACCEPTING: (u16, &str) = (5, "null");
/// Kind of a cancellation by the predecessor.
pub const CANCEL: u16 = 6;
/// Kind of the message that commits a hand-over.
pub const COMMIT: u16 = 7;

/// Magic number and version (6 bytes), kind (2) and payload length (4).
const HEADER_BYTES: usize = 12;

/// Encodes a frame.
pub fn frame(kind: u16, payload: &str) -> Vec<u8> {
    let mut frame = b"PHHO\0\x01".to_vec();
    frame.extend(kind.to_be_bytes());
    frame.extend((payload.len() as u32).to_be_bytes());
    frame.extend(payload.as_bytes());
    frame
}

/// Returns a state to hand over that has no pools.
pub fn empty_state() -> Value {
    json!({"version": 1, "pools": []})
}

/// One end of a hand-over link.
pub struct Peer(pub UnixStream);

impl Peer {
    /// Sends a frame.
    pub fn send(&mut self, (kind, payload): (u16, &str)) {
        self.0.write_all(&frame(kind, payload)).unwrap();
    }

    /// Receives the next frame and returns its bytes; `None` if the link has ended.
    pub fn receive_bytes(&mut self) -> Option<Vec<u8>> {
        let mut frame = vec![0; HEADER_BYTES];
        match self.0.read_exact(&mut frame) {
            Ok(()) => {}
            Err(error) if matches!(error.kind(), ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset) => {
                return None;
            }
            Err(error) => panic!("receiving a frame failed: {error}"),
        }
        self.receive_payload(&mut frame);
        Some(frame)
    }

    /// Receives the next frame and returns its kind and payload; `None` if the link has ended.
    pub fn receive(&mut self) -> Option<(u16, Value)> {
        let frame = self.receive_bytes()?;
        assert_eq!(&frame[..6], b"PHHO\0\x01");
        let payload = serde_json::from_slice(&frame[HEADER_BYTES..]).unwrap();
        Some((u16::from_be_bytes([frame[6], frame[7]]), payload))
    }

    /// Receives the next frame, which must be of this kind, and returns its payload.
    pub fn expect(&mut self, kind: u16) -> Value {
        let (found, payload) =
            self.receive().unwrap_or_else(|| panic!("the link ended before a frame of kind {kind}"));
        assert_eq!(found, kind, "{payload}");
        payload
    }

    /// Receives the next frame and the listening socket that is passed with its first byte. Returns the
    /// frame's bytes and the socket.
    pub fn receive_with_socket(&mut self) -> (Vec<u8>, TcpListener) {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut frame = vec![0];
        recvmsg(&self.0, &mut [IoSliceMut::new(&mut frame)], &mut ancillary, RecvFlags::empty()).unwrap();
        assert_eq!(&frame, b"P");
        let socket = ancillary.drain().find_map(|message| match message {
            RecvAncillaryMessage::ScmRights(mut passed) => passed.next(),
            _ => None,
        });
        frame.resize(HEADER_BYTES, 0);
        self.0.read_exact(&mut frame[1..]).unwrap();
        self.receive_payload(&mut frame);
        (frame, TcpListener::from(socket.expect("a socket")))
    }

    /// Sends a frame and passes a socket with its first byte.
    pub fn send_with_socket(&self, frame: &[u8], socket: &TcpListener) {
        let sockets = [socket.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        assert!(ancillary.push(SendAncillaryMessage::ScmRights(&sockets)));
        let sent = sendmsg(&self.0, &[IoSlice::new(frame)], &mut ancillary, SendFlags::empty()).unwrap();
        assert_eq!(sent, frame.len());
    }

    /// Receives the payload whose length the header in `frame` states, and appends it to `frame`.
    fn receive_payload(&mut self, frame: &mut Vec<u8>) {
        let length = u32::from_be_bytes([frame[8], frame[9], frame[10], frame[11]]) as usize;
        frame.resize(HEADER_BYTES + length, 0);
        self.0.read_exact(&mut frame[HEADER_BYTES..]).unwrap();
    }
}

/// Scripted predecessor, which listens for a successor and for clients.
pub struct ScriptedPredecessor {
    /// Listening socket for clients, which is handed over.
    pub clients: TcpListener,
    socket: UnixListener,
}

impl ScriptedPredecessor {
    /// Listens at the addresses of `fixture`.
    pub fn listen(fixture: &Fixture) -> Self {
        Self {
            clients: TcpListener::bind(fixture.address).unwrap(),
            socket: UnixListener::bind(fixture.socket()).unwrap(),
        }
    }

    /// Accepts the connection of a successor.
    pub fn accept(&self) -> Peer {
        let (stream, _) = self.socket.accept().unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Peer(stream)
    }

    /// Accepts the connection of a successor and expects its request.
    pub fn accept_request(&self) -> Peer {
        let mut peer = self.accept();
        let payload = peer.expect(REQUEST.0);
        assert_eq!(payload["program"], env!("CARGO_PKG_VERSION"));
        peer
    }

    /// Sends an offer with `state` and the listening socket.
    pub fn offer(&self, fixture: &Fixture, peer: &Peer, state: &Value) {
        let listener = json!({"name": "clients", "address": fixture.address});
        let offer = frame(OFFER, &json!({"listeners": [listener], "state": state}).to_string());
        peer.send_with_socket(&offer, &self.clients);
    }
}
