//! How one instance tells another what sessions have seen. One connection goes one way: the teller dials, the
//! listener greets with a nonce and its name, and the teller then sends frames: who it is, a snapshot in pieces,
//! deltas, and a farewell where it ends in order. No sockets here, and no clock.
//!
//! Each frame is proven by a keyed hash over the connection's nonce, the frame's number and its content: nothing can
//! be made up, left out, changed, or played again on another connection. Marks merge in any order, so a lost
//! connection loses nothing that the next snapshot does not bring.
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::store::SessionKey;

const VERSION: u8 = 1;
const MAGIC: &[u8; 4] = b"sndx";
const NONCE: usize = 16;
const PROOF: usize = 16;
/// Names of instances are short.
const MOST_NAME: usize = 64;
/// A mark: key, kind, term, position.
const MARK: usize = 25;
/// Marks in one frame at the most.
pub const MAX_MARKS_PER_FRAME: usize = 2000;
const MOST_FRAME: usize = 1 + MOST_STATE + PROOF;

const WHO: u8 = 1;
const MARKS: u8 = 2;
const WHOLE: u8 = 3;
const FAREWELL: u8 = 4;
const STATE: u8 = 5;

/// Bytes of one message on kept state at the most.
pub const MOST_STATE: usize = 256 * 1024;
/// How the name of an instance ends that keeps state with others. Those of the first version take it for part of a life's name and tell
/// it what they always told; nobody says anything of the second version to one whose name ends otherwise.
const KEEPS: &str = "~2";

/// The name under which an instance that keeps state is found by others.
pub fn replicating_name(name: &str) -> String {
    format!("{name}{KEEPS}")
}

/// Whether the instance of this name keeps state with others.
pub fn replicates_state(name: &str) -> bool {
    name.ends_with(KEEPS)
}

/// What is wrong with what came; the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wrong {
    Form,
    /// Of a version that is not known here: one beside the other, neither learns from the other.
    Version,
    /// Nobody who has a key made this, or not here, or not now.
    Forged,
}

/// What a listener says first.
pub fn greeting(nonce: [u8; NONCE], name: &str) -> Vec<u8> {
    let name = &name.as_bytes()[..name.len().min(MOST_NAME)];
    let mut out = MAGIC.to_vec();
    out.push(VERSION);
    out.extend_from_slice(&nonce);
    out.push(name.len() as u8);
    out.extend_from_slice(name);
    out
}

/// The listener's nonce, its name, and the greeting's length; `None` until it is whole.
pub fn read_greeting(buf: &[u8]) -> Result<Option<([u8; NONCE], String, usize)>, Wrong> {
    let known = MAGIC.len().min(buf.len());
    if buf[..known] != MAGIC[..known] {
        return Err(Wrong::Form);
    }
    if buf.get(4).is_some_and(|v| *v != VERSION) {
        return Err(Wrong::Version);
    }
    let head = 5 + NONCE + 1;
    if buf.len() < head {
        return Ok(None);
    }
    let length = usize::from(buf[head - 1]);
    if length > MOST_NAME {
        return Err(Wrong::Form);
    }
    let Some(name) = buf.get(head..head + length) else { return Ok(None) };
    let name = std::str::from_utf8(name).map_err(|_| Wrong::Form)?.to_string();
    Ok(Some((std::array::from_fn(|n| buf[5 + n]), name, head + length)))
}

/// The key of one connection.
fn key(secret: &[u8; 32], nonce: &[u8; NONCE]) -> [u8; 32] {
    let mut material = secret.to_vec();
    material.extend_from_slice(nonce);
    blake3::derive_key("sandstile exchange of sessions' marks, version 1", &material)
}

fn proof(key: &[u8; 32], number: u64, content: &[u8]) -> [u8; PROOF] {
    let mut hash = blake3::Hasher::new_keyed(key);
    hash.update(&number.to_le_bytes());
    hash.update(content);
    let hash = hash.finalize();
    std::array::from_fn(|n| hash.as_bytes()[n])
}

/// The telling side of one connection.
pub struct FrameEncoder {
    key: [u8; 32],
    number: u64,
}

impl FrameEncoder {
    pub fn new(secret: &[u8; 32], nonce: &[u8; NONCE]) -> Self {
        FrameEncoder { key: key(secret, nonce), number: 0 }
    }

    fn frame(&mut self, kind: u8, content: &[u8]) -> Vec<u8> {
        let mut body = Vec::with_capacity(1 + content.len());
        body.push(kind);
        body.extend_from_slice(content);
        let proof = proof(&self.key, self.number, &body);
        self.number += 1;
        let mut out = ((body.len() + PROOF) as u32).to_le_bytes().to_vec();
        out.extend_from_slice(&body);
        out.extend_from_slice(&proof);
        out
    }

    pub fn introduction(&mut self, name: &str) -> Vec<u8> {
        self.frame(WHO, &name.as_bytes()[..name.len().min(MOST_NAME)])
    }

    /// So many marks as fit into one frame; the caller brings no more.
    pub fn marks<'a>(&mut self, marks: impl Iterator<Item = (SessionKey, &'a SessionMarks)>) -> Vec<u8> {
        let mut content = Vec::new();
        let mut put = |key: SessionKey, kind: u8, term: u64, position: f64| {
            content.extend_from_slice(&key.0.to_le_bytes());
            content.push(kind);
            content.extend_from_slice(&term.to_le_bytes());
            content.extend_from_slice(&position.to_le_bytes());
        };
        for (key, seen) in marks {
            match seen {
                SessionMarks::Lost(latest) => put(key, 1, 0, *latest),
                terms => terms.marks().for_each(|m| put(key, 0, m.term.0, m.position)),
            }
        }
        self.frame(MARKS, &content)
    }

    /// The snapshot is over. `covers_receiver` says that all that the listener knew when it ended last is in it.
    pub fn snapshot_complete(&mut self, covers_receiver: bool) -> Vec<u8> {
        self.frame(WHOLE, &[u8::from(covers_receiver)])
    }

    /// A message on kept state.
    pub fn state(&mut self, message: &[u8]) -> Vec<u8> {
        self.frame(STATE, message)
    }

    /// The teller ends in order: all that it knew has been told.
    pub fn goodbye(&mut self) -> Vec<u8> {
        self.frame(FAREWELL, &[])
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    Introduction(String),
    Marks(Vec<(SessionKey, SessionMarks)>),
    SnapshotComplete {
        covers_receiver: bool,
    },
    /// A message on kept state.
    State(Vec<u8>),
    Goodbye,
}

/// The listening side of one connection.
pub struct FrameDecoder {
    /// Each key that may be the teller's; the first frame shows which one it is.
    keys: Vec<[u8; 32]>,
    number: u64,
    buf: Vec<u8>,
    /// Nothing counts before the teller has said who it is.
    named: bool,
}

impl FrameDecoder {
    /// While keys are rotated, tellers may have one or the other.
    pub fn new(secrets: &[[u8; 32]], nonce: &[u8; NONCE]) -> Self {
        let keys = secrets.iter().map(|secret| key(secret, nonce)).collect();
        FrameDecoder { keys, number: 0, buf: Vec::new(), named: false }
    }

    pub fn push_bytes(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// The next frame that has come whole. After an error nothing more of this connection is to be believed.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, Wrong> {
        if self.buf.len() < 4 {
            return Ok(None);
        }
        let length = u32::from_le_bytes(std::array::from_fn(|n| self.buf[n])) as usize;
        if !(1 + PROOF..=MOST_FRAME).contains(&length) {
            return Err(Wrong::Form);
        }
        if self.buf.len() < 4 + length {
            return Ok(None);
        }
        let (body, told) = self.buf[4..4 + length].split_at(length - PROOF);
        let number = self.number;
        let proves = |key: &[u8; 32]| {
            let made = proof(key, number, body);
            made.iter().zip(told).fold(0, |all, (a, b)| all | (a ^ b)) == 0
        };
        let at = self.keys.iter().position(proves).ok_or(Wrong::Forged)?;
        self.keys.swap(0, at);
        self.keys.truncate(1);
        let heard = read(body[0], &body[1..])?;
        if matches!(heard, Frame::Introduction(_)) == self.named {
            return Err(Wrong::Form);
        }
        self.named = true;
        self.number += 1;
        self.buf.drain(..4 + length);
        Ok(Some(heard))
    }

    /// Bytes that are kept; never more than one frame and what was handed last.
    pub fn waiting(&self) -> usize {
        self.buf.len()
    }
}

fn read(kind: u8, content: &[u8]) -> Result<Frame, Wrong> {
    match (kind, content) {
        (WHO, name) if name.len() <= MOST_NAME => {
            Ok(Frame::Introduction(std::str::from_utf8(name).map_err(|_| Wrong::Form)?.to_string()))
        }
        (MARKS, marks) if marks.len().is_multiple_of(MARK) => {
            Ok(Frame::Marks(marks.chunks_exact(MARK).map(one).collect()))
        }
        (WHOLE, [flag]) => Ok(Frame::SnapshotComplete { covers_receiver: *flag == 1 }),
        (STATE, message) if message.len() <= MOST_STATE => Ok(Frame::State(message.to_vec())),
        (FAREWELL, []) => Ok(Frame::Goodbye),
        _ => Err(Wrong::Form),
    }
}

fn one(mark: &[u8]) -> (SessionKey, SessionMarks) {
    let eight = |at: usize| u64::from_le_bytes(std::array::from_fn(|n| mark[at + n]));
    let position = f64::from_bits(eight(17));
    let seen = match mark[8] {
        0 => SessionMarks::of(Mark { term: Term(eight(9)), position }),
        _ if position.is_finite() => SessionMarks::Lost(position),
        _ => SessionMarks::Lost(f64::INFINITY),
    };
    (SessionKey(eight(0)), seen)
}
