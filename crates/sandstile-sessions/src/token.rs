//! Tokens: a session's mark as its client carries it. Short, versioned, and of no use to anybody who has no key.
//!
//! A token is 42 bytes in 56 characters: version and key number (a byte each), session and group hashed together (8),
//! term (8), position in whole milliseconds (6), time of issue in whole seconds (4), and 14 bytes of a keyed
//! BLAKE3 hash over all of it.
use crate::mark::{Mark, Term};
use crate::store::SessionKey;

const VERSION: u8 = 1;
const BODY: usize = 28;
const PROOF: usize = 14;
/// Characters of a token.
pub const LENGTH: usize = (BODY + PROOF) / 3 * 4;

/// What a token says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Token {
    pub key: SessionKey,
    pub mark: Mark,
    /// Unix seconds.
    pub issued: f64,
}

/// What is wrong with one; a statement is never refused for it, its session is only not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// No token's form.
    Form,
    /// A version or a key that is not known here.
    Stranger,
    /// Nobody who has the key made it, or not like this.
    Forged,
    /// For another session or group.
    Foreign,
    Expired,
    /// Issued further ahead of this clock than clocks may differ.
    Ahead,
}

struct RingKey {
    number: u8,
    secret: [u8; 32],
}

/// Keys by their numbers; the first signs, all of them are believed.
#[derive(Default)]
pub struct KeyRing {
    keys: Vec<RingKey>,
}

/// Nothing of a key is ever printed.
impl std::fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "KeyRing({} keys)", self.keys.len())
    }
}

impl KeyRing {
    /// Reads a key file: a line a key, `NUMBER HEX` with 64 hexadecimal digits, the one that signs first; empty lines
    /// and those that begin with # are passed over. The message names the line and nothing that stands in it.
    pub fn read(text: &str) -> Result<KeyRing, String> {
        let mut keys: Vec<RingKey> = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let wrong = |what: &str| format!("line {}: {what}", n + 1);
            let (number, hex) =
                line.split_once(char::is_whitespace).ok_or_else(|| wrong("not NUMBER HEX"))?;
            let number: u8 = number.parse().map_err(|_| wrong("the number is not 0 to 255"))?;
            let secret = digits(hex.trim()).ok_or_else(|| wrong("not 64 hexadecimal digits"))?;
            if keys.iter().any(|k| k.number == number) {
                return Err(wrong("a second key of this number"));
            }
            if secret.iter().all(|b| *b == secret[0]) {
                return Err(wrong("a key of one byte throughout is no secret"));
            }
            keys.push(RingKey { number, secret });
        }
        match keys.is_empty() {
            true => Err("no key".to_string()),
            false => Ok(KeyRing { keys }),
        }
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The numbers, the one that signs first.
    pub fn numbers(&self) -> Vec<u8> {
        self.keys.iter().map(|k| k.number).collect()
    }

    /// Secrets for another use, one of each key, the one that signs first. Whoever learns one of these learns
    /// nothing of the key.
    pub fn derive_secrets(&self, context: &str) -> Vec<[u8; 32]> {
        self.keys.iter().map(|k| blake3::derive_key(context, &k.secret)).collect()
    }

    /// A token in its characters; `None` without a key.
    pub fn issue(&self, token: &Token) -> Option<String> {
        let key = self.keys.first()?;
        let body = body(key.number, token);
        let proof = proof(&key.secret, &body);
        let mut bytes = [0; BODY + PROOF];
        bytes[..BODY].copy_from_slice(&body);
        bytes[BODY..].copy_from_slice(&proof);
        Some(to_text(&bytes))
    }

    /// Reads a token that a client brought for this session. `lasts` and `skew` are seconds: tokens are believed so
    /// long, and clocks differ so much at the most.
    pub fn check(&self, text: &str, key: SessionKey, now: f64, lasts: f64, skew: f64) -> Result<Token, Told> {
        let token = self.read_token(text)?;
        if token.key != key {
            return Err(Told::Foreign);
        }
        if token.issued > now + skew {
            return Err(Told::Ahead);
        }
        if token.issued + lasts < now {
            return Err(Told::Expired);
        }
        Ok(token)
    }

    /// What a token says, whoever it is for: for operators too.
    pub fn read_token(&self, text: &str) -> Result<Token, Told> {
        let bytes = from_text(text).ok_or(Told::Form)?;
        if bytes[0] != VERSION {
            return Err(Told::Stranger);
        }
        let signer = self.keys.iter().find(|k| k.number == bytes[1]).ok_or(Told::Stranger)?;
        let (body, told) = bytes.split_at(BODY);
        let made = proof(&signer.secret, body);
        // Every byte is looked at, whichever differs: time tells a forger nothing.
        let differs = made.iter().zip(told).fold(0, |all, (a, b)| all | (a ^ b));
        if differs != 0 {
            return Err(Told::Forged);
        }
        let eight = |at: usize| u64::from_le_bytes(std::array::from_fn(|n| body[at + n]));
        let mut position = [0; 8];
        position[..6].copy_from_slice(&body[18..24]);
        let issued = u32::from_le_bytes(std::array::from_fn(|n| body[24 + n]));
        let position = u64::from_le_bytes(position) as f64 / 1000.0;
        let mark = Mark { term: Term(eight(10)), position };
        Ok(Token { key: SessionKey(eight(2)), mark, issued: f64::from(issued) })
    }
}

fn body(number: u8, token: &Token) -> [u8; BODY] {
    let mut body = [0; BODY];
    body[0] = VERSION;
    body[1] = number;
    body[2..10].copy_from_slice(&token.key.0.to_le_bytes());
    body[10..18].copy_from_slice(&token.mark.term.0.to_le_bytes());
    // Rounded up to the next millisecond: never less than the mark. What is a whole one stays that.
    let ms = (token.mark.position * 1000.0 - 1e-3).ceil().clamp(0.0, 281_474_976_710_655.0) as u64;
    body[18..24].copy_from_slice(&ms.to_le_bytes()[..6]);
    body[24..28].copy_from_slice(&(token.issued.clamp(0.0, f64::from(u32::MAX)) as u32).to_le_bytes());
    body
}

fn proof(secret: &[u8; 32], body: &[u8]) -> [u8; PROOF] {
    let hash = blake3::keyed_hash(secret, body);
    std::array::from_fn(|n| hash.as_bytes()[n])
}

/// 64 characters that stand in a statement's comment as they are: no comma, no blank, no quote, no star.
const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

fn to_text(bytes: &[u8; BODY + PROOF]) -> String {
    let mut text = String::with_capacity(LENGTH);
    for three in bytes.chunks(3) {
        let bits = u32::from(three[0]) << 16 | u32::from(three[1]) << 8 | u32::from(three[2]);
        for shift in [18, 12, 6, 0] {
            text.push(LETTERS[(bits >> shift) as usize & 63] as char);
        }
    }
    text
}

fn from_text(text: &str) -> Option<[u8; BODY + PROOF]> {
    if text.len() != LENGTH {
        return None;
    }
    let mut bytes = [0; BODY + PROOF];
    for (four, three) in text.as_bytes().chunks(4).zip(bytes.chunks_mut(3)) {
        let mut bits = 0u32;
        for letter in four {
            let value = match letter {
                b'A'..=b'Z' => letter - b'A',
                b'a'..=b'z' => letter - b'a' + 26,
                b'0'..=b'9' => letter - b'0' + 52,
                b'-' => 62,
                b'_' => 63,
                _ => return None,
            };
            bits = bits << 6 | u32::from(value);
        }
        three.copy_from_slice(&bits.to_be_bytes()[1..]);
    }
    Some(bytes)
}

fn digits(hex: &str) -> Option<[u8; 32]> {
    if hex.len() != 64 || !hex.is_ascii() {
        return None;
    }
    let mut bytes = [0; 32];
    for (n, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).ok()?;
    }
    Some(bytes)
}
