//! The protocol by which one instance sends sessions' marks to another. Each connection carries data in one
//! direction: the sender dials, the receiver greets it with a nonce and its name, and the sender then sends
//! frames: an introduction with its name, a snapshot in several frames, updates, and a goodbye on a clean
//! shutdown. This crate has no sockets and reads no clock.
//!
//! Each frame is authenticated by a keyed hash over the connection's nonce, the frame's number and its
//! content, so that frames cannot be forged, dropped, modified or replayed on another connection. Marks merge
//! in any order, so the next snapshot makes up for a lost connection.
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::store::SessionKey;

const VERSION: u8 = 1;
const MAGIC: &[u8; 4] = b"sndx";
const NONCE_LEN: usize = 16;
const MAC_LEN: usize = 16;
/// Names of instances are short; longer ones are cut off.
const MAX_NAME_LEN: usize = 64;
/// The length of a mark: key, kind, term, position.
const MARK_LEN: usize = 25;
/// The largest number of marks in one frame.
pub const MAX_MARKS_PER_FRAME: usize = 2000;
const MAX_FRAME_LEN: usize = 1 + MAX_STATE_LEN + MAC_LEN;

const KIND_INTRODUCTION: u8 = 1;
const KIND_MARKS: u8 = 2;
const KIND_SNAPSHOT_COMPLETE: u8 = 3;
const KIND_GOODBYE: u8 = 4;
const KIND_STATE: u8 = 5;

/// The largest length of one message of the replicated state, in bytes.
pub const MAX_STATE_LEN: usize = 256 * 1024;
/// The suffix in the name of an instance that replicates state with others. Instances of the first version
/// take it for a part of the name and send their usual frames. Frames of the second version are sent only to
/// instances whose name has this suffix.
const STATE_SUFFIX: &str = "~2";

/// The name under which an instance that replicates state announces itself.
pub fn replicating_name(name: &str) -> String {
    format!("{name}{STATE_SUFFIX}")
}

/// Whether the instance of this name replicates state with others.
pub fn replicates_state(name: &str) -> bool {
    name.ends_with(STATE_SUFFIX)
}

/// Why received bytes are rejected. The connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// Not a valid greeting or frame.
    Form,
    /// The peer uses an unknown version. Both instances go on, but neither receives marks from the other.
    Version,
    /// The keyed hash does not match: the frame was made without the key, for another connection or out of
    /// order.
    Forged,
}

/// The receiver's first message on a connection.
pub fn greeting(nonce: [u8; NONCE_LEN], name: &str) -> Vec<u8> {
    let name = &name.as_bytes()[..name.len().min(MAX_NAME_LEN)];
    let mut out = MAGIC.to_vec();
    out.push(VERSION);
    out.extend_from_slice(&nonce);
    out.push(name.len() as u8);
    out.extend_from_slice(name);
    out
}

/// Parses the receiver's nonce, its name and the length of the greeting; `None` if the greeting is
/// incomplete.
pub fn read_greeting(buf: &[u8]) -> Result<Option<([u8; NONCE_LEN], String, usize)>, ExchangeError> {
    let prefix_len = MAGIC.len().min(buf.len());
    if buf[..prefix_len] != MAGIC[..prefix_len] {
        return Err(ExchangeError::Form);
    }
    if buf.get(4).is_some_and(|v| *v != VERSION) {
        return Err(ExchangeError::Version);
    }
    let header_len = 5 + NONCE_LEN + 1;
    if buf.len() < header_len {
        return Ok(None);
    }
    let length = usize::from(buf[header_len - 1]);
    if length > MAX_NAME_LEN {
        return Err(ExchangeError::Form);
    }
    let Some(name) = buf.get(header_len..header_len + length) else { return Ok(None) };
    let name = std::str::from_utf8(name).map_err(|_| ExchangeError::Form)?.to_string();
    Ok(Some((std::array::from_fn(|n| buf[5 + n]), name, header_len + length)))
}

/// Derives the key of one connection.
fn connection_key(secret: &[u8; 32], nonce: &[u8; NONCE_LEN]) -> [u8; 32] {
    let mut material = secret.to_vec();
    material.extend_from_slice(nonce);
    blake3::derive_key("sandstile exchange of sessions' marks, version 1", &material)
}

fn mac(key: &[u8; 32], frame_number: u64, content: &[u8]) -> [u8; MAC_LEN] {
    let mut hash = blake3::Hasher::new_keyed(key);
    hash.update(&frame_number.to_le_bytes());
    hash.update(content);
    let hash = hash.finalize();
    std::array::from_fn(|n| hash.as_bytes()[n])
}

/// The sender's side of one connection.
pub struct FrameEncoder {
    key: [u8; 32],
    frame_number: u64,
}

impl FrameEncoder {
    pub fn new(secret: &[u8; 32], nonce: &[u8; NONCE_LEN]) -> Self {
        FrameEncoder { key: connection_key(secret, nonce), frame_number: 0 }
    }

    fn frame(&mut self, kind: u8, content: &[u8]) -> Vec<u8> {
        let mut body = Vec::with_capacity(1 + content.len());
        body.push(kind);
        body.extend_from_slice(content);
        let mac = mac(&self.key, self.frame_number, &body);
        self.frame_number += 1;
        let mut out = ((body.len() + MAC_LEN) as u32).to_le_bytes().to_vec();
        out.extend_from_slice(&body);
        out.extend_from_slice(&mac);
        out
    }

    pub fn introduction(&mut self, name: &str) -> Vec<u8> {
        self.frame(KIND_INTRODUCTION, &name.as_bytes()[..name.len().min(MAX_NAME_LEN)])
    }

    /// Encodes marks into one frame; the caller passes at most `MAX_MARKS_PER_FRAME`.
    pub fn marks<'a>(&mut self, marks: impl Iterator<Item = (SessionKey, &'a SessionMarks)>) -> Vec<u8> {
        let mut content = Vec::new();
        let mut write_mark = |key: SessionKey, kind: u8, term: u64, position: f64| {
            content.extend_from_slice(&key.0.to_le_bytes());
            content.push(kind);
            content.extend_from_slice(&term.to_le_bytes());
            content.extend_from_slice(&position.to_le_bytes());
        };
        for (key, session_marks) in marks {
            match session_marks {
                SessionMarks::Lost(latest) => write_mark(key, 1, 0, *latest),
                terms => terms.marks().for_each(|m| write_mark(key, 0, m.term.0, m.position)),
            }
        }
        self.frame(KIND_MARKS, &content)
    }

    /// Ends the snapshot. `covers_receiver` says that the snapshot contains all that the receiver knew at its
    /// last clean shutdown.
    pub fn snapshot_complete(&mut self, covers_receiver: bool) -> Vec<u8> {
        self.frame(KIND_SNAPSHOT_COMPLETE, &[u8::from(covers_receiver)])
    }

    /// Encodes a message of the replicated state.
    pub fn state(&mut self, message: &[u8]) -> Vec<u8> {
        self.frame(KIND_STATE, message)
    }

    /// The sender shuts down cleanly and has sent all that it knew.
    pub fn goodbye(&mut self) -> Vec<u8> {
        self.frame(KIND_GOODBYE, &[])
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    Introduction(String),
    Marks(Vec<(SessionKey, SessionMarks)>),
    SnapshotComplete {
        covers_receiver: bool,
    },
    /// A message of the replicated state.
    State(Vec<u8>),
    Goodbye,
}

/// The receiver's side of one connection.
pub struct FrameDecoder {
    /// The keys that the sender may use; the first valid frame shows which one it is.
    keys: Vec<[u8; 32]>,
    frame_number: u64,
    buf: Vec<u8>,
    /// Whether the sender has introduced itself; other frames are rejected before that.
    introduced: bool,
}

impl FrameDecoder {
    /// During a key rotation, senders may use either key.
    pub fn new(secrets: &[[u8; 32]], nonce: &[u8; NONCE_LEN]) -> Self {
        let keys = secrets.iter().map(|secret| connection_key(secret, nonce)).collect();
        FrameDecoder { keys, frame_number: 0, buf: Vec::new(), introduced: false }
    }

    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete frame. After an error, no further bytes of this connection may be trusted.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, ExchangeError> {
        if self.buf.len() < 4 {
            return Ok(None);
        }
        let length = u32::from_le_bytes(std::array::from_fn(|n| self.buf[n])) as usize;
        if !(1 + MAC_LEN..=MAX_FRAME_LEN).contains(&length) {
            return Err(ExchangeError::Form);
        }
        if self.buf.len() < 4 + length {
            return Ok(None);
        }
        let (body, received_mac) = self.buf[4..4 + length].split_at(length - MAC_LEN);
        let frame_number = self.frame_number;
        let verifies = |key: &[u8; 32]| {
            let expected_mac = mac(key, frame_number, body);
            expected_mac.iter().zip(received_mac).fold(0, |all, (a, b)| all | (a ^ b)) == 0
        };
        let index = self.keys.iter().position(verifies).ok_or(ExchangeError::Forged)?;
        self.keys.swap(0, index);
        self.keys.truncate(1);
        let frame = decode_frame(body[0], &body[1..])?;
        if matches!(frame, Frame::Introduction(_)) == self.introduced {
            return Err(ExchangeError::Form);
        }
        self.introduced = true;
        self.frame_number += 1;
        self.buf.drain(..4 + length);
        Ok(Some(frame))
    }

    /// The number of buffered bytes: at most one frame and the bytes pushed last.
    pub fn buffered_bytes(&self) -> usize {
        self.buf.len()
    }
}

fn decode_frame(kind: u8, content: &[u8]) -> Result<Frame, ExchangeError> {
    match (kind, content) {
        (KIND_INTRODUCTION, name) if name.len() <= MAX_NAME_LEN => {
            Ok(Frame::Introduction(std::str::from_utf8(name).map_err(|_| ExchangeError::Form)?.to_string()))
        }
        (KIND_MARKS, marks) if marks.len().is_multiple_of(MARK_LEN) => {
            Ok(Frame::Marks(marks.chunks_exact(MARK_LEN).map(decode_mark).collect()))
        }
        (KIND_SNAPSHOT_COMPLETE, [flag]) => Ok(Frame::SnapshotComplete { covers_receiver: *flag == 1 }),
        (KIND_STATE, message) if message.len() <= MAX_STATE_LEN => Ok(Frame::State(message.to_vec())),
        (KIND_GOODBYE, []) => Ok(Frame::Goodbye),
        _ => Err(ExchangeError::Form),
    }
}

fn decode_mark(mark: &[u8]) -> (SessionKey, SessionMarks) {
    let read_u64 = |offset: usize| u64::from_le_bytes(std::array::from_fn(|n| mark[offset + n]));
    let position = f64::from_bits(read_u64(17));
    let session_marks = match mark[8] {
        0 => SessionMarks::of(Mark { term: Term(read_u64(9)), position }),
        _ if position.is_finite() => SessionMarks::Lost(position),
        _ => SessionMarks::Lost(f64::INFINITY),
    };
    (SessionKey(read_u64(0)), session_marks)
}
