//! Issued tokens are read back unchanged, and any other text is rejected.
use quickcheck::{Gen, QuickCheck};
use sandstile_sessions::mark::{Mark, Term};
use sandstile_sessions::store::SessionKey;
use sandstile_sessions::token::{KeyRing, Token, TokenError, TOKEN_LENGTH};

const OLD: &str = "7 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";
const NEW: &str = "8 ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100\n";

fn ring(text: &str) -> KeyRing {
    KeyRing::read(text).expect("the key file is valid")
}

fn token(position: f64) -> Token {
    Token {
        key: SessionKey::of("1", "ann"),
        mark: Mark { term: Term::of("1", "s-1-a", 0.0), position },
        issued: 1000.0,
    }
}

#[test]
fn issued_tokens_round_trip() {
    fn property(key: u64, term: u64, ms: u32, issued: u32) -> bool {
        let ring = ring(NEW);
        let mark = Mark { term: Term(term), position: f64::from(ms) / 1000.0 };
        let token = Token { key: SessionKey(key), mark, issued: f64::from(issued) };
        let text = ring.issue(&token).expect("there is a key");
        let well_formed = text.len() == TOKEN_LENGTH
            && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
        well_formed && ring.check(&text, SessionKey(key), f64::from(issued), 60.0, 1.0) == Ok(token)
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(64, 3)).tests(2000);
    check.quickcheck(property as fn(u64, u64, u32, u32) -> bool);
    // Positions are rounded up, never down.
    let text = ring(NEW).issue(&token(990.00042)).expect("there is a key");
    assert_eq!(ring(NEW).read_token(&text).expect("our own token is valid").mark.position, 990.001);
}

#[test]
fn modified_truncated_or_forged_tokens_are_rejected() {
    let (own_ring, now) = (ring(NEW), 1010.0);
    let text = own_ring.issue(&token(990.0)).expect("there is a key");
    let check = |text: &str| own_ring.check(text, SessionKey::of("1", "ann"), now, 60.0, 1.0);
    assert!(check(&text).is_ok());
    for index in 0..text.len() {
        for character in [b'A', b'z', b'_', b'*', b','] {
            let mut bytes = text.clone().into_bytes();
            if std::mem::replace(&mut bytes[index], character) != character {
                let changed = String::from_utf8(bytes).expect("ascii");
                assert!(check(&changed).is_err(), "{index} {changed}");
            }
        }
        assert_eq!(check(&text[..index]), Err(TokenError::Form));
    }
    for malformed in
        ["", "é", &"é".repeat(28), &format!("{text}A"), &"A".repeat(TOKEN_LENGTH), &" ".repeat(TOKEN_LENGTH)]
    {
        assert!(check(malformed).is_err(), "{malformed}");
    }
    assert_eq!(own_ring.check(&text, SessionKey::of("2", "ann"), now, 60.0, 1.0), Err(TokenError::Foreign));
    assert_eq!(own_ring.check(&text, SessionKey::of("1", "bob"), now, 60.0, 1.0), Err(TokenError::Foreign));
    assert_eq!(
        own_ring.check(&text, SessionKey::of("1", "ann"), 1070.0, 60.0, 1.0),
        Err(TokenError::Expired)
    );
    assert_eq!(own_ring.check(&text, SessionKey::of("1", "ann"), 900.0, 60.0, 1.0), Err(TokenError::Ahead));
    let forger = ring("8 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef");
    assert_eq!(check(&forger.issue(&token(1.0)).expect("there is a key")), Err(TokenError::Forged));
    assert_eq!(check(&ring(OLD).issue(&token(990.0)).expect("there is a key")), Err(TokenError::Stranger));
}

/// During a key rotation, routers with either order of the two keys accept each other's tokens. Once the old
/// key is removed, tokens signed with it are rejected.
#[test]
fn key_rotation_accepts_both_keys_during_the_overlap() {
    let before = ring(&format!("{OLD}{NEW}"));
    let after = ring(&format!("{NEW}{OLD}"));
    let key = SessionKey::of("1", "ann");
    for (issuer, reader) in [(&before, &after), (&after, &before), (&ring(OLD), &after), (&after, &ring(NEW))]
    {
        let text = issuer.issue(&token(990.0)).expect("there is a key");
        assert!(reader.check(&text, key, 1010.0, 60.0, 1.0).is_ok());
    }
    let text = before.issue(&token(990.0)).expect("there is a key");
    assert_eq!(ring(NEW).check(&text, key, 1010.0, 60.0, 1.0), Err(TokenError::Stranger));
    assert_eq!(after.numbers(), [8, 7]);
}

/// Errors in a key file name the line and never quote any part of a key.
#[test]
fn key_files_are_parsed_strictly_and_never_printed() {
    let secret = NEW.trim().split(' ').nth(1).expect("digits");
    for (text, expected) in [
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
        let error = KeyRing::read(text).expect_err(expected);
        assert!(error.contains(expected) && !error.contains(secret), "{error}");
    }
    assert_eq!(format!("{:?}", ring(NEW)), "KeyRing(1 keys)");
}
