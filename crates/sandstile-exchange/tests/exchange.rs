//! What is told is heard, however it is cut; what was changed, left out or played again is not.
use quickcheck::{Gen, QuickCheck};
use sandstile_exchange::{greeting, read_greeting, Heard, Listener, Teller, Wrong};
use sandstile_sessions::mark::{Mark, Seen, Term};
use sandstile_sessions::store::Key;

const SECRET: [u8; 32] = [7; 32];
const NONCE: [u8; 16] = [9; 16];

fn mark(n: u64) -> (Key, Seen) {
    let seen = match n % 3 {
        0 => Seen::Lost(n as f64),
        _ => Seen::of(Mark { term: Term(n % 2), position: n as f64 / 8.0 }),
    };
    (Key(n), seen)
}

fn talk(marks: &[(Key, Seen)]) -> Vec<Vec<u8>> {
    let mut teller = Teller::new(&SECRET, &NONCE);
    vec![
        teller.who("n1"),
        teller.marks(marks.iter().map(|(k, s)| (*k, s))),
        teller.whole(true),
        teller.marks(marks.iter().take(1).map(|(k, s)| (*k, s))),
        teller.farewell(),
    ]
}

fn all(listener: &mut Listener) -> Result<Vec<Heard>, Wrong> {
    let mut heard = Vec::new();
    while let Some(one) = listener.next_heard()? {
        heard.push(one);
    }
    Ok(heard)
}

#[test]
fn what_is_told_is_heard_however_it_is_cut() {
    fn holds(numbers: Vec<u16>, piece: u8) -> bool {
        let marks: Vec<_> = numbers.iter().map(|n| mark(u64::from(*n))).collect();
        let bytes = talk(&marks).concat();
        let mut listener = Listener::new(&[SECRET], &NONCE);
        let mut heard = Vec::new();
        for part in bytes.chunks(usize::from(piece) + 1) {
            listener.hear(part);
            heard.extend(all(&mut listener).expect("our own"));
        }
        heard
            == [
                Heard::Who("n1".to_string()),
                Heard::Marks(marks.clone()),
                Heard::Whole { of_yours: true },
                Heard::Marks(marks.into_iter().take(1).collect()),
                Heard::Farewell,
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
        let mut listener = Listener::new(&[[0; 32], *secret], nonce);
        frames.iter().for_each(|f| listener.hear(f));
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
    let mut teller = Teller::new(&SECRET, &NONCE);
    let mut listener = Listener::new(&[SECRET], &NONCE);
    listener.hear(&teller.whole(false));
    assert_eq!(listener.next_heard(), Err(Wrong::Form));
    fn holds(noise: Vec<u8>) -> bool {
        let mut listener = Listener::new(&[SECRET], &NONCE);
        listener.hear(&noise);
        while let Ok(Some(_)) = listener.next_heard() {}
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
