//! Frames on a Unix socket, and descriptors beside them.
//!
//! A frame is a head of 12 bytes, numbers in network order, and a text in JSON:
//!
//! | bytes | what |
//! | --- | --- |
//! | 0 to 3 | `PHHO` |
//! | 4, 5 | version of the frames, 1 |
//! | 6, 7 | kind, see [`Kind`] |
//! | 8 to 11 | length of the text |
//!
//! Descriptors go with a frame's first byte (`SCM_RIGHTS`, unix(7)).

use rustix::io::Errno;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use thiserror::Error;
use tokio::io::Interest;
use tokio::net::UnixStream;

const MAGIC: &[u8; 4] = b"PHHO";
const VERSION: u16 = 1;
const HEAD: usize = 12;
/// The longest text: a list of 8 MiB, which is the longest that discovery may send, and what is known of its servers.
const LONGEST: usize = 32 << 20;
/// The system passes no more at once (`SCM_MAX_FD` of Linux).
pub const MOST_DESCRIPTORS: usize = 253;
const READ: usize = 64 << 10;

/// What a frame says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ask = 1,
    Offer = 2,
    Ready = 3,
    Go = 4,
    Taken = 5,
    Cancel = 6,
    // Those that follow are said only to an end that knows of probation.
    Yours = 7,
    Left = 8,
    Free = 9,
    Declined = 10,
}

impl Kind {
    const ALL: [Self; 10] = [
        Self::Ask,
        Self::Offer,
        Self::Ready,
        Self::Go,
        Self::Taken,
        Self::Cancel,
        Self::Yours,
        Self::Left,
        Self::Free,
        Self::Declined,
    ];
}

/// Why a link is of no use any more.
#[derive(Debug, Error)]
pub enum LinkError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("byte 0 of a frame: expected \"PHHO\", found {0:?}")]
    Magic([u8; 4]),
    #[error("byte 4 of a frame: expected version {VERSION}, found {0}")]
    Version(u16),
    #[error("byte 6 of a frame: expected a kind from 1 to 10, found {0}")]
    Kind(u16),
    #[error("byte 8 of a frame: expected a length of {LONGEST} at the most, found {0}")]
    Length(u32),
    #[error("the text of a frame: {0}")]
    Text(#[from] serde_json::Error),
    #[error("the link broke off within a frame")]
    Cut,
}

/// A frame that has come whole.
#[derive(Debug)]
pub struct Frame {
    pub kind: Kind,
    text: Vec<u8>,
}

impl Frame {
    /// What its text says.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, LinkError> {
        Ok(serde_json::from_slice(&self.text)?)
    }
}

/// One end of the link.
#[derive(Debug)]
pub struct Link {
    stream: UnixStream,
    /// What waits to be sent: bytes, how many of them are out, and the descriptors that go with the first.
    out: VecDeque<(Vec<u8>, usize, Vec<OwnedFd>)>,
    read: Vec<u8>,
    descriptors: Vec<OwnedFd>,
}

impl Link {
    pub fn new(stream: UnixStream) -> Self {
        Self { stream, out: VecDeque::new(), read: Vec::new(), descriptors: Vec::new() }
    }

    /// The process at the other end, where the system tells it.
    pub fn process(&self) -> Option<u32> {
        self.stream.peer_cred().ok()?.pid()?.try_into().ok()
    }

    /// Sends a frame as [`Link::next`] and [`Link::flush`] get on.
    pub fn queue(&mut self, kind: Kind, text: &impl Serialize, descriptors: Vec<OwnedFd>) {
        // What is sent are structures of texts and numbers: each of them can be written.
        let text = serde_json::to_vec(text).unwrap_or_default();
        let mut frame = Vec::with_capacity(HEAD + text.len());
        frame.extend_from_slice(MAGIC);
        frame.extend_from_slice(&VERSION.to_be_bytes());
        frame.extend_from_slice(&(kind as u16).to_be_bytes());
        frame.extend_from_slice(&(text.len() as u32).to_be_bytes());
        frame.extend_from_slice(&text);
        self.out.push_back((frame, 0, descriptors));
    }

    /// The next frame; `None` where the link has ended between two. Sends what waits meanwhile. Dropped before it is done,
    /// it loses nothing.
    pub async fn next(&mut self) -> Result<Option<Frame>, LinkError> {
        loop {
            if let Some(frame) = take_frame(&mut self.read)? {
                return Ok(Some(frame));
            }
            let interest = match self.out.is_empty() {
                true => Interest::READABLE,
                false => Interest::READABLE | Interest::WRITABLE,
            };
            let ready = self.stream.ready(interest).await?;
            if ready.is_writable() {
                self.send_some()?;
            }
            if ready.is_readable() && self.read_some()? == Some(0) {
                return if self.read.is_empty() { Ok(None) } else { Err(LinkError::Cut) };
            }
        }
    }

    /// Sends all that waits.
    pub async fn flush(&mut self) -> Result<(), LinkError> {
        while !self.out.is_empty() {
            self.stream.ready(Interest::WRITABLE).await?;
            self.send_some()?;
        }
        Ok(())
    }

    /// The descriptors that have come.
    pub fn descriptors(&mut self) -> Vec<OwnedFd> {
        std::mem::take(&mut self.descriptors)
    }

    /// Sends as much as goes without waiting.
    fn send_some(&mut self) -> Result<(), LinkError> {
        while let Some((frame, sent, descriptors)) = self.out.front_mut() {
            let tried = self.stream.try_io(Interest::WRITABLE, || {
                let borrowed: Vec<_> = descriptors.iter().map(AsFd::as_fd).collect();
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_DESCRIPTORS))];
                let mut beside = SendAncillaryBuffer::new(&mut space);
                if !borrowed.is_empty() && !beside.push(SendAncillaryMessage::ScmRights(&borrowed)) {
                    return Err(io::Error::from(Errno::TOOBIG));
                }
                let bytes = [IoSlice::new(&frame[*sent..])];
                Ok(sendmsg(&self.stream, &bytes, &mut beside, SendFlags::NOSIGNAL)?)
            });
            match tried {
                Ok(written) => {
                    descriptors.clear();
                    *sent += written;
                    if *sent == frame.len() {
                        self.out.pop_front();
                    }
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }

    /// Reads what is there: how many bytes, and `None` where it turned out to be nothing.
    fn read_some(&mut self) -> Result<Option<usize>, LinkError> {
        let mut bytes = vec![0; READ];
        let descriptors = &mut self.descriptors;
        let tried = self.stream.try_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_DESCRIPTORS))];
            let mut beside = RecvAncillaryBuffer::new(&mut space);
            let mut into = [IoSliceMut::new(&mut bytes)];
            let read = recvmsg(&self.stream, &mut into, &mut beside, RecvFlags::CMSG_CLOEXEC)?;
            for message in beside.drain() {
                if let RecvAncillaryMessage::ScmRights(passed) = message {
                    // Whoever sends more than a hand-over can have gets them closed.
                    descriptors.extend(passed);
                    descriptors.truncate(MOST_DESCRIPTORS);
                }
            }
            Ok(read.bytes)
        });
        match tried {
            Ok(read) => {
                self.read.extend_from_slice(&bytes[..read]);
                Ok(Some(read))
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
            Err(error) => Err(error.into()),
        }
    }
}

/// Takes the first frame out of what was read, if it has come whole.
fn take_frame(read: &mut Vec<u8>) -> Result<Option<Frame>, LinkError> {
    // Each part is judged as soon as it is there: what is no frame need not be waited for.
    if let Some(magic) = read.first_chunk::<4>().filter(|magic| *magic != MAGIC) {
        return Err(LinkError::Magic(*magic));
    }
    let Some(head) = read.first_chunk::<HEAD>() else { return Ok(None) };
    let [_, _, _, _, version @ .., k1, k2, l1, l2, l3, l4] = *head;
    let version = u16::from_be_bytes(version);
    if version != VERSION {
        return Err(LinkError::Version(version));
    }
    let number = u16::from_be_bytes([k1, k2]);
    let kind = Kind::ALL.into_iter().find(|kind| *kind as u16 == number).ok_or(LinkError::Kind(number))?;
    let length = u32::from_be_bytes([l1, l2, l3, l4]);
    if length as usize > LONGEST {
        return Err(LinkError::Length(length));
    }
    let end = HEAD + length as usize;
    if read.len() < end {
        return Ok(None);
    }
    let text = read[HEAD..end].to_vec();
    read.drain(..end);
    Ok(Some(Frame { kind, text }))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::os::fd::AsRawFd;

    fn head(magic: &[u8; 4], version: u16, kind: u16, length: u32) -> Vec<u8> {
        let mut head = magic.to_vec();
        head.extend(version.to_be_bytes());
        head.extend(kind.to_be_bytes());
        head.extend(length.to_be_bytes());
        head
    }

    #[test]
    fn what_is_no_frame_is_named_by_its_byte_and_what_was_expected() {
        let cases = [
            (
                head(b"PHHO", 1, 1, 0).split_off(1),
                "byte 0 of a frame: expected \"PHHO\", found [72, 72, 79, 0]",
            ),
            (b"GET ".to_vec(), "byte 0 of a frame: expected \"PHHO\", found [71, 69, 84, 32]"),
            (head(b"PHHO", 2, 1, 0), "byte 4 of a frame: expected version 1, found 2"),
            (head(b"PHHO", 1, 0, 0), "byte 6 of a frame: expected a kind from 1 to 10, found 0"),
            (head(b"PHHO", 1, 11, 0), "byte 6 of a frame: expected a kind from 1 to 10, found 11"),
            (
                head(b"PHHO", 1, 2, u32::MAX),
                "byte 8 of a frame: expected a length of 33554432 at the most, found 4294967295",
            ),
        ];
        for (mut bytes, expected) in cases {
            assert_eq!(take_frame(&mut bytes).unwrap_err().to_string(), expected);
        }
        let mut unreadable = head(b"PHHO", 1, 6, 1);
        unreadable.push(b'{');
        let frame = take_frame(&mut unreadable).unwrap().unwrap();
        assert!(frame.read::<super::super::Cancel>().is_err());
    }

    #[test]
    fn a_frame_that_has_not_come_whole_is_waited_for_wherever_it_is_cut() {
        let mut two = head(b"PHHO", 1, 3, 2);
        two.extend(b"{}");
        two.extend(head(b"PHHO", 1, 5, 4));
        two.extend(b"null");
        for cut in 0..two.len() {
            let mut read = two[..cut].to_vec();
            let mut kinds = Vec::new();
            while let Some(frame) = take_frame(&mut read).unwrap() {
                kinds.push(frame.kind);
            }
            read.extend(&two[cut..]);
            while let Some(frame) = take_frame(&mut read).unwrap() {
                kinds.push(frame.kind);
            }
            assert_eq!(kinds, [Kind::Ready, Kind::Taken], "cut at {cut}");
            assert!(read.is_empty());
        }
    }

    // Guards against frames larger than a socket takes at once, and descriptors that come with the wrong ones.
    #[tokio::test]
    async fn frames_of_any_size_go_both_ways_at_once_with_their_descriptors() {
        let (one, other) = UnixStream::pair().unwrap();
        let (mut one, mut other) = (Link::new(one), Link::new(other));
        let file = std::fs::File::open("/dev/null").unwrap();
        let large = "x".repeat(3 << 20);
        let descriptors = (0..5).map(|_| file.try_clone().unwrap().into()).collect();
        one.queue(Kind::Offer, &large, descriptors);
        one.queue(Kind::Go, &1, Vec::new());
        other.queue(Kind::Ask, &large, Vec::new());
        let (to_other, to_one) = tokio::join!(other.next(), one.next());
        assert_eq!(to_one.unwrap().unwrap().read::<String>().unwrap(), large);
        assert_eq!(to_other.unwrap().unwrap().read::<String>().unwrap(), large);
        let passed = other.descriptors();
        assert_eq!(passed.len(), 5);
        assert!(passed.iter().all(|descriptor| descriptor.as_raw_fd() != file.as_raw_fd()));
        one.flush().await.unwrap();
        assert_eq!(other.next().await.unwrap().unwrap().kind, Kind::Go);
        drop(one);
        assert!(other.next().await.unwrap().is_none());
    }

    #[tokio::test]
    async fn a_link_that_ends_within_a_frame_is_no_ordinary_end() {
        let (one, other) = UnixStream::pair().unwrap();
        one.try_write(&head(b"PHHO", 1, 3, 9)).unwrap();
        drop(one);
        assert!(matches!(Link::new(other).next().await, Err(LinkError::Cut)));
    }
}
