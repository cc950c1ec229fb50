use super::*;
use crate::handover::messages::Cancel;

fn header(magic: &[u8; 4], version: u16, kind: u16, length: u32) -> Vec<u8> {
    let mut header = magic.to_vec();
    header.extend(version.to_be_bytes());
    header.extend(kind.to_be_bytes());
    header.extend(length.to_be_bytes());
    header
}

fn decode_all(received: &mut Vec<u8>) -> Vec<FrameKind> {
    std::iter::from_fn(|| Frame::decode(received).unwrap()).map(|frame| frame.kind).collect()
}

#[test]
fn invalid_frames_are_rejected_with_offset_and_expected_value() {
    let cases = [
        (
            header(b"PHHO", 1, 1, 0).split_off(1),
            "byte 0 of a frame: expected \"PHHO\", found [72, 72, 79, 0]",
        ),
        (b"GET ".to_vec(), "byte 0 of a frame: expected \"PHHO\", found [71, 69, 84, 32]"),
        (header(b"PHHO", 2, 1, 0), "byte 4 of a frame: expected version 1, found 2"),
        (header(b"PHHO", 1, 0, 0), "byte 6 of a frame: expected a kind from 1 to 10, found 0"),
        (header(b"PHHO", 1, 11, 0), "byte 6 of a frame: expected a kind from 1 to 10, found 11"),
        (
            header(b"PHHO", 1, 2, u32::MAX),
            "byte 8 of a frame: expected a length of at most 33554432, found 4294967295",
        ),
    ];
    for (mut bytes, expected) in cases {
        assert_eq!(Frame::decode(&mut bytes).unwrap_err().to_string(), expected);
    }
    let mut invalid_json = header(b"PHHO", 1, 6, 1);
    invalid_json.push(b'{');
    let frame = Frame::decode(&mut invalid_json).unwrap().unwrap();
    assert!(frame.parse::<Cancel>().is_err());
}

#[test]
fn a_frame_split_at_any_byte_is_decoded_once_complete() {
    let mut frames = header(b"PHHO", 1, 3, 2);
    frames.extend(b"{}");
    frames.extend(header(b"PHHO", 1, 5, 4));
    frames.extend(b"null");
    for cut in 0..frames.len() {
        let mut received = frames[..cut].to_vec();
        let mut kinds = decode_all(&mut received);
        received.extend(&frames[cut..]);
        kinds.extend(decode_all(&mut received));
        assert_eq!(kinds, [FrameKind::Ready, FrameKind::Accepting], "cut at {cut}");
        assert!(received.is_empty());
    }
}
