//! Round trips and truncation of every message, on random content from fixed seeds.
use quickcheck::{Gen, QuickCheck};
use sandstile_pgwire as pg;

fn check() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(64, 0x5a5a)).tests(300)
}

fn without_zeros(raw: &[u8]) -> Vec<u8> {
    raw.iter().copied().filter(|b| *b != 0).collect()
}

/// Everything that a client can send is decoded as it was encoded, in pieces of any size.
#[test]
fn client_messages_are_decoded_however_they_are_split() {
    fn holds(texts: Vec<Vec<u8>>, piece: u8) -> bool {
        let texts: Vec<Vec<u8>> = texts.iter().map(|t| without_zeros(t)).collect();
        let mut bytes = pg::startup_message();
        texts.iter().for_each(|t| pg::query(&mut bytes, t));
        pg::terminate(&mut bytes);
        let (mut reader, mut messages) = (pg::MessageReader::default(), Vec::new());
        for part in bytes.chunks(usize::from(piece) + 1) {
            reader.receive(part);
            while let Some(message) = reader.message().expect("valid frames") {
                messages.push(message);
            }
        }
        let mut expected = vec![pg::ClientMessage::Begin];
        expected.extend(texts.into_iter().map(pg::ClientMessage::Query));
        expected.push(pg::ClientMessage::Terminate);
        messages == expected && reader.buffered_bytes() == 0
    }
    check().quickcheck(holds as fn(Vec<Vec<u8>>, u8) -> bool);
}

/// An answer that is cut at any byte is not complete before its last byte, and no cut leads to a panic.
#[test]
fn an_answer_is_complete_at_its_last_byte_and_not_before() {
    fn fold(bytes: &[u8]) -> (pg::Answer, bool) {
        let (mut answer, mut position, mut ready) = (pg::Answer::default(), 0, false);
        while let Ok(Some((tag, body))) = pg::frame(&bytes[position..]) {
            ready = answer.take(tag, &bytes[position..][body.clone()]).expect("valid frames");
            position += body.end;
        }
        (answer, ready)
    }
    fn holds(value: Vec<u8>, ms: u32, primary: bool) -> bool {
        let mut bytes = Vec::new();
        pg::row(&mut bytes, &value);
        let rows = bytes.len();
        pg::parameter(&mut bytes, "mode", pg::mode(primary));
        pg::parameter(&mut bytes, "wal_time", &ms.to_string());
        pg::ready(&mut bytes);
        for cut in 0..bytes.len() {
            let (answer, ready) = fold(&bytes[..cut]);
            assert!(!ready);
            assert_eq!(answer.stage == pg::Stage::Complete, cut >= rows);
            pg::check_plausible(&bytes[..cut], usize::MAX).expect("a frame that a host can send");
        }
        let (answer, ready) = fold(&bytes);
        ready
            && answer.rows[answer.value.clone()] == value[..]
            && answer.primary == Some(primary)
            && answer.position == Some(f64::from(ms) / 1e3)
    }
    check().tests(60).quickcheck(holds as fn(Vec<u8>, u32, bool) -> bool);
}

/// Noise is refused or waited for. It never leads to a panic or to buffering more than the longest frame.
#[test]
fn noise_is_refused_without_a_panic() {
    fn holds(noise: Vec<u8>, after_startup: bool) -> bool {
        let mut reader = pg::MessageReader::default();
        if after_startup {
            reader.receive(&pg::startup_message());
            assert_eq!(reader.message(), Ok(Some(pg::ClientMessage::Begin)));
        }
        reader.receive(&noise);
        while let Ok(Some(_)) = reader.message() {}
        let _ = pg::check_plausible(&noise, 1 << 20);
        let _ = pg::sqlstate(&noise);
        reader.buffered_bytes() <= noise.len()
    }
    check().tests(2000).quickcheck(holds as fn(Vec<u8>, bool) -> bool);
    for length in [i32::MIN, -1, 0, 3, pg::MAX_FRAME_BYTES as i32 + 1, i32::MAX] {
        let frame = [&b"Q"[..], &length.to_be_bytes(), b"x"].concat();
        assert!(pg::frame(&frame).is_err(), "{length}");
    }
}

#[test]
fn error_fields_round_trip() {
    fn holds(message: Vec<u8>, ms: u16) -> bool {
        let message: String = String::from_utf8_lossy(&without_zeros(&message)).into_owned();
        let mut out = Vec::new();
        pg::error(&mut out, false, "53300", &message, Some(&ms.to_string()));
        let (tag, body) = pg::frame(&out).expect("a valid frame").expect("whole frame");
        let body = &out[body];
        tag == b'E'
            && pg::sqlstate(body) == Some("53300")
            && pg::field(body, b'M') == Some(&message)
            && pg::field(body, b'D').and_then(|d| d.parse().ok()) == Some(ms)
    }
    check().quickcheck(holds as fn(Vec<u8>, u16) -> bool);
}
