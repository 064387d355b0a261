//! What is told is heard, however it is cut; what was changed, left out or played again is not.
use quickcheck::{Gen, QuickCheck};
use sandstile_exchange::{greeting, read_greeting, Frame, FrameDecoder, FrameEncoder, Wrong};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::store::SessionKey;

const SECRET: [u8; 32] = [7; 32];
const NONCE: [u8; 16] = [9; 16];

fn mark(n: u64) -> (SessionKey, SessionMarks) {
    let seen = match n % 3 {
        0 => SessionMarks::Lost(n as f64),
        _ => SessionMarks::of(Mark { term: Term(n % 2), position: n as f64 / 8.0 }),
    };
    (SessionKey(n), seen)
}

fn talk(marks: &[(SessionKey, SessionMarks)]) -> Vec<Vec<u8>> {
    let mut encoder = FrameEncoder::new(&SECRET, &NONCE);
    vec![
        encoder.introduction("n1"),
        encoder.marks(marks.iter().map(|(k, s)| (*k, s))),
        encoder.snapshot_complete(true),
        encoder.marks(marks.iter().take(1).map(|(k, s)| (*k, s))),
        encoder.goodbye(),
    ]
}

fn all(listener: &mut FrameDecoder) -> Result<Vec<Frame>, Wrong> {
    let mut heard = Vec::new();
    while let Some(one) = listener.next_frame()? {
        heard.push(one);
    }
    Ok(heard)
}

#[test]
fn what_is_told_is_heard_however_it_is_cut() {
    fn holds(numbers: Vec<u16>, piece: u8) -> bool {
        let marks: Vec<_> = numbers.iter().map(|n| mark(u64::from(*n))).collect();
        let bytes = talk(&marks).concat();
        let mut listener = FrameDecoder::new(&[SECRET], &NONCE);
        let mut heard = Vec::new();
        for part in bytes.chunks(usize::from(piece) + 1) {
            listener.push_bytes(part);
            heard.extend(all(&mut listener).expect("our own"));
        }
        heard
            == [
                Frame::Introduction("n1".to_string()),
                Frame::Marks(marks.clone()),
                Frame::SnapshotComplete { covers_receiver: true },
                Frame::Marks(marks.into_iter().take(1).collect()),
                Frame::Goodbye,
            ]
            && listener.waiting() == 0
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(50, 8)).tests(300);
    check.quickcheck(holds as fn(Vec<u16>, u8) -> bool);
}

#[test]
fn nothing_changed_left_out_reordered_or_played_again_is_heard() {
    let frames = talk(&[mark(1), mark(2)]);
    let hear = |frames: &[&Vec<u8>], secret: &[u8; 32], nonce: &[u8; 16]| {
        let mut listener = FrameDecoder::new(&[[0; 32], *secret], nonce);
        frames.iter().for_each(|f| listener.push_bytes(f));
        all(&mut listener)
    };
    let in_order: Vec<&Vec<u8>> = frames.iter().collect();
    assert_eq!(hear(&in_order, &SECRET, &NONCE).expect("ours").len(), 5);
    assert_eq!(hear(&in_order, &[8; 32], &NONCE), Err(Wrong::Forged));
    // Played again on another connection.
    assert_eq!(hear(&in_order, &SECRET, &[1; 16]), Err(Wrong::Forged));
    assert_eq!(hear(&[&frames[0], &frames[2]], &SECRET, &NONCE), Err(Wrong::Forged));
    assert_eq!(hear(&[&frames[1]], &SECRET, &NONCE), Err(Wrong::Forged));
    assert_eq!(hear(&[&frames[0], &frames[0]], &SECRET, &NONCE), Err(Wrong::Forged));
    for bit in 0..frames[1].len() * 8 {
        let mut changed = frames[1].clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        match hear(&[&frames[0], &changed], &SECRET, &NONCE) {
            Err(_) => {}
            // Its length says that more is to come: nothing of it is heard.
            Ok(heard) => assert!(heard.len() == 1 && bit < 32, "{bit}: {heard:?}"),
        }
    }
}

#[test]
fn noise_and_marks_before_a_name_are_refused() {
    let mut encoder = FrameEncoder::new(&SECRET, &NONCE);
    let mut listener = FrameDecoder::new(&[SECRET], &NONCE);
    listener.push_bytes(&encoder.snapshot_complete(false));
    assert_eq!(listener.next_frame(), Err(Wrong::Form));
    fn holds(noise: Vec<u8>) -> bool {
        let mut listener = FrameDecoder::new(&[SECRET], &NONCE);
        listener.push_bytes(&noise);
        while let Ok(Some(_)) = listener.next_frame() {}
        let _ = read_greeting(&noise);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 4))
        .tests(3000)
        .quickcheck(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn greetings_tell_nonce_name_and_version() {
    let bytes = greeting(NONCE, "router-7");
    for cut in 0..bytes.len() {
        assert_eq!(read_greeting(&bytes[..cut]), Ok(None), "{cut}");
    }
    let length = bytes.len();
    assert_eq!(read_greeting(&bytes), Ok(Some((NONCE, "router-7".to_string(), length))));
    let mut newer = bytes.clone();
    newer[4] = 2;
    assert_eq!(read_greeting(&newer), Err(Wrong::Version));
    assert_eq!(read_greeting(b"HTTP/1.1 200"), Err(Wrong::Form));
}
