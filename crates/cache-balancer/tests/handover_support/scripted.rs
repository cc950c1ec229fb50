//! Scripted predecessors and successors, which send and expect frames as the test determines.

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

/// A request of a version without probation: kind and text.
pub const REQUEST: (u16, &str) = (1, "{\"program\":\"a test\"}");
/// A request of this version: kind and text.
pub const REQUEST_WITH_PROBATION: (u16, &str) = (1, "{\"program\":\"a test\",\"probation\":true}");
/// The kind of an offer, which carries the listening sockets and the state.
pub const OFFER: u16 = 2;
/// The message of a successor that has taken over the state: kind and text.
pub const READY: (u16, &str) = (3, "null");
/// The kind of the message by which the predecessor lets the successor accept connections.
pub const PROCEED: u16 = 4;
/// The message of a successor that accepts connections: kind and text.
pub const ACCEPTING: (u16, &str) = (5, "null");
/// The kind of a cancellation.
pub const CANCEL: u16 = 6;
/// The kind of the message that completes a hand-over.
pub const COMMIT: u16 = 7;

/// The magic number and version (6 bytes), kind (2) and text length (4).
const HEADER_BYTES: usize = 12;

/// A frame of this kind and text.
pub fn frame(kind: u16, text: &str) -> Vec<u8> {
    let mut frame = b"PHHO\0\x01".to_vec();
    frame.extend(kind.to_be_bytes());
    frame.extend((text.len() as u32).to_be_bytes());
    frame.extend(text.as_bytes());
    frame
}

/// A state to hand over, without learned state of any pool.
pub fn empty_state() -> Value {
    json!({"version": 1, "pools": []})
}

/// One end of a hand-over link.
pub struct Peer(pub UnixStream);

impl Peer {
    /// Sends a frame of this kind and text.
    pub fn send(&mut self, (kind, text): (u16, &str)) {
        self.0.write_all(&frame(kind, text)).unwrap();
    }

    /// The bytes of the next frame; `None` if the link has ended.
    pub fn receive_bytes(&mut self) -> Option<Vec<u8>> {
        let mut frame = vec![0; HEADER_BYTES];
        match self.0.read_exact(&mut frame) {
            Ok(()) => {}
            Err(error) if matches!(error.kind(), ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset) => {
                return None;
            }
            Err(error) => panic!("no frame: {error}"),
        }
        self.receive_text(&mut frame);
        Some(frame)
    }

    /// The kind and text of the next frame; `None` if the link has ended.
    pub fn receive(&mut self) -> Option<(u16, Value)> {
        let frame = self.receive_bytes()?;
        assert_eq!(&frame[..6], b"PHHO\0\x01");
        let text = serde_json::from_slice(&frame[HEADER_BYTES..]).unwrap();
        Some((u16::from_be_bytes([frame[6], frame[7]]), text))
    }

    /// The text of the next frame, which is to be of this kind.
    pub fn expect(&mut self, kind: u16) -> Value {
        let (found, text) =
            self.receive().unwrap_or_else(|| panic!("the link ended before a frame of kind {kind}"));
        assert_eq!(found, kind, "{text}");
        text
    }

    /// The bytes of the next frame, and the listening socket that comes with its first byte.
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
        self.receive_text(&mut frame);
        (frame, TcpListener::from(socket.expect("a socket")))
    }

    /// Sends a frame, and a socket with its first byte.
    pub fn send_with_socket(&self, frame: &[u8], socket: &TcpListener) {
        let sockets = [socket.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        assert!(ancillary.push(SendAncillaryMessage::ScmRights(&sockets)));
        let sent = sendmsg(&self.0, &[IoSlice::new(frame)], &mut ancillary, SendFlags::empty()).unwrap();
        assert_eq!(sent, frame.len());
    }

    /// Appends the text that the header in `frame` announces.
    fn receive_text(&mut self, frame: &mut Vec<u8>) {
        let length = u32::from_be_bytes([frame[8], frame[9], frame[10], frame[11]]) as usize;
        frame.resize(HEADER_BYTES + length, 0);
        self.0.read_exact(&mut frame[HEADER_BYTES..]).unwrap();
    }
}

/// A scripted predecessor: it listens for a successor and for clients.
pub struct ScriptedPredecessor {
    /// The listening socket of the clients, which it hands over.
    pub clients: TcpListener,
    socket: UnixListener,
}

impl ScriptedPredecessor {
    /// Listens at the addresses of this fixture.
    pub fn at(fixture: &Fixture) -> Self {
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

    /// Accepts a successor, and expects its request.
    pub fn accept_request(&self) -> Peer {
        let mut peer = self.accept();
        let text = peer.expect(REQUEST.0);
        assert_eq!(text["program"], env!("CARGO_PKG_VERSION"));
        peer
    }

    /// Sends an offer with this state and the listening socket.
    pub fn offer(&self, fixture: &Fixture, peer: &Peer, state: &Value) {
        let listener = json!({"name": "clients", "address": fixture.address});
        let offer = frame(OFFER, &json!({"listeners": [listener], "state": state}).to_string());
        peer.send_with_socket(&offer, &self.clients);
    }
}
