//! Encoding and decoding of frames, the messages on a link.
//!
//! A frame is a 12-byte header, with integers in network byte order, and a JSON payload:
//!
//! | bytes | content |
//! | --- | --- |
//! | 0 to 3 | `PHHO` |
//! | 4, 5 | version of the format, 1 |
//! | 6, 7 | kind, see [`FrameKind`] |
//! | 8 to 11 | length of the payload in bytes |

use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

const MAGIC: &[u8; 4] = b"PHHO";
const VERSION: u16 = 1;
const HEADER_BYTES: usize = 12;
/// Maximum length of a payload. It has room for an endpoint list of 8 MiB, the longest that discovery may
/// send, and the learned state of its servers.
const MAX_PAYLOAD_BYTES: usize = 32 << 20;

/// Type of a message. The values are the numbers in the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    Request = 1,
    Offer = 2,
    Ready = 3,
    Proceed = 4,
    Accepting = 5,
    Cancel = 6,
    // The following kinds are sent only to a peer that supports probation.
    Commit = 7,
    Departed = 8,
    Release = 9,
    Decline = 10,
}

impl FrameKind {
    const ALL: [Self; 10] = [
        Self::Request,
        Self::Offer,
        Self::Ready,
        Self::Proceed,
        Self::Accepting,
        Self::Cancel,
        Self::Commit,
        Self::Departed,
        Self::Release,
        Self::Decline,
    ];

    fn from_number(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| *kind as u16 == number)
    }
}

/// Error while a frame is decoded or its payload is parsed.
#[derive(Debug, Error)]
pub enum FrameError {
    #[error("byte 0 of a frame: expected \"PHHO\", found {0:?}")]
    Magic([u8; 4]),
    #[error("byte 4 of a frame: expected version {VERSION}, found {0}")]
    Version(u16),
    #[error("byte 6 of a frame: expected a kind from 1 to 10, found {0}")]
    Kind(u16),
    #[error("byte 8 of a frame: expected a length of at most {MAX_PAYLOAD_BYTES}, found {0}")]
    Length(u32),
    #[error("payload of a frame: {0}")]
    Payload(#[from] serde_json::Error),
}

/// A complete frame.
#[derive(Debug)]
pub(super) struct Frame {
    pub kind: FrameKind,
    payload: Vec<u8>,
}

impl Frame {
    /// Parses the payload.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, FrameError> {
        Ok(serde_json::from_slice(&self.payload)?)
    }

    /// Decodes the first frame of `received` and removes it from there. Returns `None` if it is not complete
    /// yet.
    pub fn decode(received: &mut Vec<u8>) -> Result<Option<Self>, FrameError> {
        // Checks each part as early as possible, since a peer that does not send frames may never send the
        // rest.
        if let Some(magic) = received.first_chunk::<4>().filter(|magic| *magic != MAGIC) {
            return Err(FrameError::Magic(*magic));
        }
        let Some(header) = received.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let [_, _, _, _, version @ .., k1, k2, l1, l2, l3, l4] = *header;
        let version = u16::from_be_bytes(version);
        if version != VERSION {
            return Err(FrameError::Version(version));
        }
        let number = u16::from_be_bytes([k1, k2]);
        let kind = FrameKind::from_number(number).ok_or(FrameError::Kind(number))?;
        let length = u32::from_be_bytes([l1, l2, l3, l4]);
        if length as usize > MAX_PAYLOAD_BYTES {
            return Err(FrameError::Length(length));
        }
        let end = HEADER_BYTES + length as usize;
        if received.len() < end {
            return Ok(None);
        }
        let payload = received[HEADER_BYTES..end].to_vec();
        received.drain(..end);
        Ok(Some(Self { kind, payload }))
    }
}

/// Encodes a frame with `message` as its payload.
pub(super) fn encode(kind: FrameKind, message: &impl Serialize) -> Vec<u8> {
    // Serialization cannot fail: messages consist only of structures, strings and numbers.
    let payload = serde_json::to_vec(message).unwrap_or_default();
    let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
    frame.extend_from_slice(MAGIC);
    frame.extend_from_slice(&VERSION.to_be_bytes());
    frame.extend_from_slice(&(kind as u16).to_be_bytes());
    frame.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    frame.extend_from_slice(&payload);
    frame
}

#[cfg(test)]
mod tests;
