//! Tokens carry a session's mark through its client. They are short, versioned and authenticated: they cannot
//! be created or changed without a key.
//!
//! A token has 42 bytes in 56 characters: version and key number (1 byte each), the hash of session and group
//! (8), term (8), position in milliseconds (6), time of issue in seconds (4), and the first 14 bytes of a
//! keyed BLAKE3 hash over all of these.
use crate::mark::{Mark, Term};
use crate::store::SessionKey;

const VERSION: u8 = 1;
const BODY_LEN: usize = 28;
const MAC_LEN: usize = 14;
/// The number of characters of a token.
pub const TOKEN_LENGTH: usize = (BODY_LEN + MAC_LEN) / 3 * 4;

/// The content of a token.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Token {
    pub key: SessionKey,
    pub mark: Mark,
    /// Unix seconds.
    pub issued: f64,
}

/// Why a token is not accepted. A statement is never refused for it; the session's marks are merely unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenError {
    /// The text does not have the form of a token.
    Form,
    /// The version or the key number is unknown here.
    Stranger,
    /// The keyed hash does not match: the token was made without the key or was changed.
    Forged,
    /// The token belongs to another session or group.
    Foreign,
    Expired,
    /// The time of issue is further in the future than clocks may differ.
    Ahead,
}

struct RingKey {
    number: u8,
    secret: [u8; 32],
}

/// A set of numbered keys. The first key signs; tokens of all keys are accepted.
#[derive(Default)]
pub struct KeyRing {
    keys: Vec<RingKey>,
}

/// Prints the number of keys only, so that secrets never reach a log.
impl std::fmt::Debug for KeyRing {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "KeyRing({} keys)", self.keys.len())
    }
}

impl KeyRing {
    /// Parses a key file. Each line holds one key as `NUMBER HEX`, with 64 hexadecimal digits; the first key
    /// signs. Empty lines and lines that start with # are skipped. The error message names the line but never
    /// quotes it.
    pub fn read(text: &str) -> Result<KeyRing, String> {
        let mut keys: Vec<RingKey> = Vec::new();
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let line_error = |reason: &str| format!("line {}: {reason}", n + 1);
            let (number, hex) =
                line.split_once(char::is_whitespace).ok_or_else(|| line_error("not NUMBER HEX"))?;
            let number: u8 = number.parse().map_err(|_| line_error("the key number must be 0 to 255"))?;
            let secret = decode_hex_key(hex.trim())
                .ok_or_else(|| line_error("the key must be 64 hexadecimal digits"))?;
            if keys.iter().any(|k| k.number == number) {
                return Err(line_error("a second key with this number"));
            }
            if secret.iter().all(|b| *b == secret[0]) {
                return Err(line_error("a key that repeats a single byte is no secret"));
            }
            keys.push(RingKey { number, secret });
        }
        match keys.is_empty() {
            true => Err("the file contains no key".to_string()),
            false => Ok(KeyRing { keys }),
        }
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The key numbers, starting with the signing key.
    pub fn numbers(&self) -> Vec<u8> {
        self.keys.iter().map(|k| k.number).collect()
    }

    /// Derives one secret per key for another purpose, starting with the signing key's. A derived secret
    /// reveals nothing about its key.
    pub fn derive_secrets(&self, context: &str) -> Vec<[u8; 32]> {
        self.keys.iter().map(|k| blake3::derive_key(context, &k.secret)).collect()
    }

    /// Returns the text of a token, or `None` if there is no key.
    pub fn issue(&self, token: &Token) -> Option<String> {
        let key = self.keys.first()?;
        let body = body(key.number, token);
        let mac = mac(&key.secret, &body);
        let mut bytes = [0; BODY_LEN + MAC_LEN];
        bytes[..BODY_LEN].copy_from_slice(&body);
        bytes[BODY_LEN..].copy_from_slice(&mac);
        Some(to_text(&bytes))
    }

    /// Checks a token that a client sent for this session. `max_age` and `max_clock_skew` (in seconds) are the time for
    /// which tokens are valid and the largest difference between clocks.
    pub fn check(
        &self,
        text: &str,
        key: SessionKey,
        now: f64,
        max_age: f64,
        max_clock_skew: f64,
    ) -> Result<Token, TokenError> {
        let token = self.read_token(text)?;
        if token.key != key {
            return Err(TokenError::Foreign);
        }
        if token.issued > now + max_clock_skew {
            return Err(TokenError::Ahead);
        }
        if token.issued + max_age < now {
            return Err(TokenError::Expired);
        }
        Ok(token)
    }

    /// Reads a token of any session; also used by operators' tools.
    pub fn read_token(&self, text: &str) -> Result<Token, TokenError> {
        let bytes = from_text(text).ok_or(TokenError::Form)?;
        if bytes[0] != VERSION {
            return Err(TokenError::Stranger);
        }
        let signing_key = self.keys.iter().find(|k| k.number == bytes[1]).ok_or(TokenError::Stranger)?;
        let (body, received_mac) = bytes.split_at(BODY_LEN);
        let expected_mac = mac(&signing_key.secret, body);
        // Compares in constant time, so that the duration reveals nothing to a forger.
        let difference = expected_mac.iter().zip(received_mac).fold(0, |all, (a, b)| all | (a ^ b));
        if difference != 0 {
            return Err(TokenError::Forged);
        }
        let read_u64 = |offset: usize| u64::from_le_bytes(std::array::from_fn(|n| body[offset + n]));
        let mut position = [0; 8];
        position[..6].copy_from_slice(&body[18..24]);
        let issued = u32::from_le_bytes(std::array::from_fn(|n| body[24 + n]));
        let position = u64::from_le_bytes(position) as f64 / 1000.0;
        let mark = Mark { term: Term(read_u64(10)), position };
        Ok(Token { key: SessionKey(read_u64(2)), mark, issued: f64::from(issued) })
    }
}

fn body(number: u8, token: &Token) -> [u8; BODY_LEN] {
    let mut body = [0; BODY_LEN];
    body[0] = VERSION;
    body[1] = number;
    body[2..10].copy_from_slice(&token.key.0.to_le_bytes());
    body[10..18].copy_from_slice(&token.mark.term.0.to_le_bytes());
    // Rounds up to the next millisecond, so that the token's position is never below the mark's. The small
    // offset keeps whole milliseconds from being rounded up further.
    let ms = (token.mark.position * 1000.0 - 1e-3).ceil().clamp(0.0, 281_474_976_710_655.0) as u64;
    body[18..24].copy_from_slice(&ms.to_le_bytes()[..6]);
    body[24..28].copy_from_slice(&(token.issued.clamp(0.0, f64::from(u32::MAX)) as u32).to_le_bytes());
    body
}

fn mac(secret: &[u8; 32], body: &[u8]) -> [u8; MAC_LEN] {
    let hash = blake3::keyed_hash(secret, body);
    std::array::from_fn(|n| hash.as_bytes()[n])
}

/// 64 characters that need no escaping in a statement's comment: no comma, blank, quote or asterisk.
const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

fn to_text(bytes: &[u8; BODY_LEN + MAC_LEN]) -> String {
    let mut text = String::with_capacity(TOKEN_LENGTH);
    for chunk in bytes.chunks(3) {
        let bits = u32::from(chunk[0]) << 16 | u32::from(chunk[1]) << 8 | u32::from(chunk[2]);
        for shift in [18, 12, 6, 0] {
            text.push(ALPHABET[(bits >> shift) as usize & 63] as char);
        }
    }
    text
}

fn from_text(text: &str) -> Option<[u8; BODY_LEN + MAC_LEN]> {
    if text.len() != TOKEN_LENGTH {
        return None;
    }
    let mut bytes = [0; BODY_LEN + MAC_LEN];
    for (characters, chunk) in text.as_bytes().chunks(4).zip(bytes.chunks_mut(3)) {
        let mut bits = 0u32;
        for character in characters {
            let value = match character {
                b'A'..=b'Z' => character - b'A',
                b'a'..=b'z' => character - b'a' + 26,
                b'0'..=b'9' => character - b'0' + 52,
                b'-' => 62,
                b'_' => 63,
                _ => return None,
            };
            bits = bits << 6 | u32::from(value);
        }
        chunk.copy_from_slice(&bits.to_be_bytes()[1..]);
    }
    Some(bytes)
}

fn decode_hex_key(hex: &str) -> Option<[u8; 32]> {
    if hex.len() != 64 || !hex.is_ascii() {
        return None;
    }
    let mut bytes = [0; 32];
    for (n, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * n..2 * n + 2], 16).ok()?;
    }
    Some(bytes)
}
