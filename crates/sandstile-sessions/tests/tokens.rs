//! Tokens: what was issued is read back, and nothing else is ever believed.
use quickcheck::{Gen, QuickCheck};
use sandstile_sessions::mark::{Mark, Term};
use sandstile_sessions::store::SessionKey;
use sandstile_sessions::token::{KeyRing, Token, Told, LENGTH};

const OLD: &str = "7 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";
const NEW: &str = "8 ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100\n";

fn ring(text: &str) -> KeyRing {
    KeyRing::read(text).expect("a good key file")
}

fn token(position: f64) -> Token {
    Token {
        key: SessionKey::of("1", "ann"),
        mark: Mark { term: Term::of("1", "s-1-a", 0.0), position },
        issued: 1000.0,
    }
}

#[test]
fn tokens_come_back_as_they_were_issued() {
    fn holds(key: u64, term: u64, ms: u32, issued: u32) -> bool {
        let ring = ring(NEW);
        let mark = Mark { term: Term(term), position: f64::from(ms) / 1000.0 };
        let token = Token { key: SessionKey(key), mark, issued: f64::from(issued) };
        let text = ring.issue(&token).expect("a key");
        let fits =
            text.len() == LENGTH && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
        fits && ring.check(&text, SessionKey(key), f64::from(issued), 60.0, 1.0) == Ok(token)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(64, 3)).tests(2000);
    check.quickcheck(holds as fn(u64, u64, u32, u32) -> bool);
    // Rounded up, never down.
    let text = ring(NEW).issue(&token(990.00042)).expect("a key");
    assert_eq!(ring(NEW).read_token(&text).expect("ours").mark.position, 990.001);
}

#[test]
fn nothing_that_was_changed_cut_or_made_by_others_is_believed() {
    let (ours, now) = (ring(NEW), 1010.0);
    let text = ours.issue(&token(990.0)).expect("a key");
    let check = |text: &str| ours.check(text, SessionKey::of("1", "ann"), now, 60.0, 1.0);
    assert!(check(&text).is_ok());
    for at in 0..text.len() {
        for letter in [b'A', b'z', b'_', b'*', b','] {
            let mut bytes = text.clone().into_bytes();
            if std::mem::replace(&mut bytes[at], letter) != letter {
                let changed = String::from_utf8(bytes).expect("ascii");
                assert!(check(&changed).is_err(), "{at} {changed}");
            }
        }
        assert_eq!(check(&text[..at]), Err(Told::Form));
    }
    for odd in ["", "é", &"é".repeat(28), &format!("{text}A"), &"A".repeat(LENGTH), &" ".repeat(LENGTH)] {
        assert!(check(odd).is_err(), "{odd}");
    }
    assert_eq!(ours.check(&text, SessionKey::of("2", "ann"), now, 60.0, 1.0), Err(Told::Foreign));
    assert_eq!(ours.check(&text, SessionKey::of("1", "bob"), now, 60.0, 1.0), Err(Told::Foreign));
    assert_eq!(ours.check(&text, SessionKey::of("1", "ann"), 1070.0, 60.0, 1.0), Err(Told::Expired));
    assert_eq!(ours.check(&text, SessionKey::of("1", "ann"), 900.0, 60.0, 1.0), Err(Told::Ahead));
    let forger = ring("8 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef");
    assert_eq!(check(&forger.issue(&token(1.0)).expect("a key")), Err(Told::Forged));
    assert_eq!(check(&ring(OLD).issue(&token(990.0)).expect("a key")), Err(Told::Stranger));
}

/// Rotation halfway: routers with either order of the two keys believe each other; once the old key is gone, what
/// it signed is not believed any more.
#[test]
fn keys_rotate_with_an_overlap() {
    let before = ring(&format!("{OLD}{NEW}"));
    let after = ring(&format!("{NEW}{OLD}"));
    let key = SessionKey::of("1", "ann");
    for (issuer, reader) in [(&before, &after), (&after, &before), (&ring(OLD), &after), (&after, &ring(NEW))]
    {
        let text = issuer.issue(&token(990.0)).expect("a key");
        assert!(reader.check(&text, key, 1010.0, 60.0, 1.0).is_ok());
    }
    let text = before.issue(&token(990.0)).expect("a key");
    assert_eq!(ring(NEW).check(&text, key, 1010.0, 60.0, 1.0), Err(Told::Stranger));
    assert_eq!(after.numbers(), [8, 7]);
}

/// What is wrong with a key file is told by its line, and nothing of a key is ever said.
#[test]
fn key_files_are_read_strictly_and_never_printed() {
    let secret = NEW.trim().split(' ').nth(1).expect("digits");
    for (text, says) in [
        ("", "no key"),
        ("# nothing\n\n", "no key"),
        ("x 00", "line 1"),
        ("256 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff", "0 to 255"),
        ("7 0011", "64 hexadecimal"),
        ("7 zz112233445566778899aabbccddeeff00112233445566778899aabbccddeeff", "64 hexadecimal"),
        (&format!("{NEW}{NEW}"), "line 2: a second"),
        (&format!("7 {}", "0".repeat(64)), "no secret"),
        (&format!("\n{secret}"), "line 2: not NUMBER"),
        (&format!("7 {}é", "0".repeat(62)), "64 hexadecimal"),
    ] {
        let wrong = KeyRing::read(text).expect_err(says);
        assert!(wrong.contains(says) && !wrong.contains(secret), "{wrong}");
    }
    assert_eq!(format!("{:?}", ring(NEW)), "KeyRing(1 keys)");
}
