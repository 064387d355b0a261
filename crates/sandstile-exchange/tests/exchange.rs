//! Frames are decoded however the stream is split, and modified, missing or replayed frames are rejected.
use quickcheck::{Gen, QuickCheck};
use sandstile_exchange::{greeting, read_greeting, ExchangeError, Frame, FrameDecoder, FrameEncoder};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::store::SessionKey;

const SECRET: [u8; 32] = [7; 32];
const NONCE: [u8; 16] = [9; 16];

fn mark(n: u64) -> (SessionKey, SessionMarks) {
    let session_marks = match n % 3 {
        0 => SessionMarks::Lost(n as f64),
        _ => SessionMarks::of(Mark { term: Term(n % 2), position: n as f64 / 8.0 }),
    };
    (SessionKey(n), session_marks)
}

fn encoded_frames(marks: &[(SessionKey, SessionMarks)]) -> Vec<Vec<u8>> {
    let mut encoder = FrameEncoder::new(&SECRET, &NONCE);
    vec![
        encoder.introduction("n1"),
        encoder.marks(marks.iter().map(|(k, s)| (*k, s))),
        encoder.snapshot_complete(true),
        encoder.marks(marks.iter().take(1).map(|(k, s)| (*k, s))),
        encoder.goodbye(),
    ]
}

fn decode_all(decoder: &mut FrameDecoder) -> Result<Vec<Frame>, ExchangeError> {
    let mut received = Vec::new();
    while let Some(frame) = decoder.next_frame()? {
        received.push(frame);
    }
    Ok(received)
}

#[test]
fn frames_are_decoded_at_any_chunk_size() {
    fn property(numbers: Vec<u16>, chunk_length: u8) -> bool {
        let marks: Vec<_> = numbers.iter().map(|n| mark(u64::from(*n))).collect();
        let bytes = encoded_frames(&marks).concat();
        let mut decoder = FrameDecoder::new(&[SECRET], &NONCE);
        let mut received = Vec::new();
        for chunk in bytes.chunks(usize::from(chunk_length) + 1) {
            decoder.push_bytes(chunk);
            received.extend(decode_all(&mut decoder).expect("our own frames are valid"));
        }
        received
            == [
                Frame::Introduction("n1".to_string()),
                Frame::Marks(marks.clone()),
                Frame::SnapshotComplete { covers_receiver: true },
                Frame::Marks(marks.into_iter().take(1).collect()),
                Frame::Goodbye,
            ]
            && decoder.buffered_bytes() == 0
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(50, 8)).tests(300);
    check.quickcheck(property as fn(Vec<u16>, u8) -> bool);
}

#[test]
fn modified_missing_reordered_or_replayed_frames_are_rejected() {
    let frames = encoded_frames(&[mark(1), mark(2)]);
    let decode = |frames: &[&Vec<u8>], secret: &[u8; 32], nonce: &[u8; 16]| {
        let mut decoder = FrameDecoder::new(&[[0; 32], *secret], nonce);
        frames.iter().for_each(|f| decoder.push_bytes(f));
        decode_all(&mut decoder)
    };
    let in_order: Vec<&Vec<u8>> = frames.iter().collect();
    assert_eq!(decode(&in_order, &SECRET, &NONCE).expect("our own frames are valid").len(), 5);
    assert_eq!(decode(&in_order, &[8; 32], &NONCE), Err(ExchangeError::Forged));
    // Replayed on another connection.
    assert_eq!(decode(&in_order, &SECRET, &[1; 16]), Err(ExchangeError::Forged));
    assert_eq!(decode(&[&frames[0], &frames[2]], &SECRET, &NONCE), Err(ExchangeError::Forged));
    assert_eq!(decode(&[&frames[1]], &SECRET, &NONCE), Err(ExchangeError::Forged));
    assert_eq!(decode(&[&frames[0], &frames[0]], &SECRET, &NONCE), Err(ExchangeError::Forged));
    for bit in 0..frames[1].len() * 8 {
        let mut changed = frames[1].clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        match decode(&[&frames[0], &changed], &SECRET, &NONCE) {
            Err(_) => {}
            // The changed length announces more bytes, so the frame stays incomplete.
            Ok(received) => assert!(received.len() == 1 && bit < 32, "{bit}: {received:?}"),
        }
    }
}

#[test]
fn noise_and_frames_before_the_introduction_are_rejected() {
    let mut encoder = FrameEncoder::new(&SECRET, &NONCE);
    let mut decoder = FrameDecoder::new(&[SECRET], &NONCE);
    decoder.push_bytes(&encoder.snapshot_complete(false));
    assert_eq!(decoder.next_frame(), Err(ExchangeError::Form));
    fn property(noise: Vec<u8>) -> bool {
        let mut decoder = FrameDecoder::new(&[SECRET], &NONCE);
        decoder.push_bytes(&noise);
        while let Ok(Some(_)) = decoder.next_frame() {}
        let _ = read_greeting(&noise);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 4))
        .tests(3000)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

#[test]
fn greeting_carries_nonce_name_and_version() {
    let bytes = greeting(NONCE, "router-7");
    for cut in 0..bytes.len() {
        assert_eq!(read_greeting(&bytes[..cut]), Ok(None), "{cut}");
    }
    let length = bytes.len();
    assert_eq!(read_greeting(&bytes), Ok(Some((NONCE, "router-7".to_string(), length))));
    let mut newer = bytes.clone();
    newer[4] = 2;
    assert_eq!(read_greeting(&newer), Err(ExchangeError::Version));
    assert_eq!(read_greeting(b"HTTP/1.1 200"), Err(ExchangeError::Form));
}
