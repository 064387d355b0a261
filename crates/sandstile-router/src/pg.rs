//! PostgreSQL's wire protocol, version 3, as far as simple queries go: frames and what they hold, no sockets.
use std::ops::Range;

/// A value of 64 KiB as hexadecimal digits in a query, its statement and comment beside it.
pub const MOST_FRAME: usize = 2 * 64 * 1024 + 16 * 1024;
/// Values as the protocol's page has them; longer ones come all the same, and pass while there is room.
pub const USUAL_VALUE: usize = 64 * 1024;
/// Names, texts and codes beside the values.
const MOST_WORDS: usize = 8 * 1024;
/// A startup message holds a few short names; PostgreSQL itself takes no longer ones.
pub const MOST_STARTUP: usize = 10_000;

const PROTOCOL_3: i32 = 3 << 16;
const CANCEL: i32 = 80_877_102;
const SSL: i32 = 80_877_103;
const GSS: i32 = 80_877_104;

/// Nothing that could be a frame of the protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct BadFrame(pub &'static str);

#[derive(Debug, PartialEq, Eq)]
pub enum Startup {
    Begin,
    /// A wish for encryption, declined with one byte.
    Encrypt,
    Cancel,
}

fn be32(bytes: &[u8]) -> i32 {
    i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// The first message of a connection and its length; `None` until it is whole.
pub fn startup(buf: &[u8]) -> Result<Option<(Startup, usize)>, BadFrame> {
    if buf.len() < 4 {
        return Ok(None);
    }
    let length = usize::try_from(be32(buf)).ok().filter(|n| (8..=MOST_STARTUP).contains(n));
    let length = length.ok_or(BadFrame("startup length"))?;
    if buf.len() < length {
        return Ok(None);
    }
    let kind = match be32(&buf[4..]) {
        SSL | GSS if length == 8 => Startup::Encrypt,
        CANCEL if length == 16 => Startup::Cancel,
        // Any minor version: what it asks for beyond ours is left out of our answers.
        code if code >> 16 == PROTOCOL_3 >> 16 => Startup::Begin,
        _ => return Err(BadFrame("startup code")),
    };
    Ok(Some((kind, length)))
}

/// The next frame's tag and the place of its body; `None` until it is whole.
pub fn frame(buf: &[u8]) -> Result<Option<(u8, Range<usize>)>, BadFrame> {
    let head = end(buf, MOST_FRAME)?;
    Ok(head.filter(|end| buf.len() >= *end).map(|end| (buf[0], 5..end)))
}

/// Where the frame that begins here ends; `None` until its length has come.
pub fn end(buf: &[u8], most: usize) -> Result<Option<usize>, BadFrame> {
    let Some(length) = buf.get(1..5).map(be32) else { return Ok(None) };
    let length = usize::try_from(length).ok().filter(|n| (4..=most).contains(n));
    Ok(Some(1 + length.ok_or(BadFrame("frame length"))?))
}

/// Whether a database host can have begun a frame like this. Guards against waiting for the rest of what never
/// was a frame: noise whose length happens to be small, or a row longer or shorter than its value.
pub fn plausible(buf: &[u8], longest_value: usize) -> Result<(), BadFrame> {
    let Some(tag) = buf.first() else { return Ok(()) };
    let most = match tag {
        b'D' => 4 + 6 + longest_value.max(USUAL_VALUE),
        b'T' | b'C' | b'S' | b'E' | b'N' | b'A' | b'R' => MOST_WORDS,
        b'K' => 12,
        b'Z' => 5,
        _ => return Err(BadFrame("unknown message")),
    };
    let fits = |n: &usize| (4..=most).contains(n);
    let Some(length) = buf.get(1..5).map(be32) else { return Ok(()) };
    let length = usize::try_from(length).ok().filter(fits).ok_or(BadFrame("frame length"))?;
    let row = buf.get(5..11).filter(|_| *tag == b'D');
    if row.is_some_and(|r| r[..2] != [0, 1] || usize::try_from(be32(&r[2..])) != Ok(length.wrapping_sub(10)))
    {
        return Err(BadFrame("row"));
    }
    Ok(())
}

/// A frame of one tag round its body.
pub fn put(out: &mut Vec<u8>, tag: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|p| p.len()).sum::<usize>();
    out.push(tag);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
}

/// The greeting to a client: admitted, and ready.
pub fn welcome(out: &mut Vec<u8>) {
    put(out, b'R', &[&0i32.to_be_bytes()]);
    for (name, value) in [("server_encoding", "UTF8"), ("client_encoding", "UTF8"), ("DateStyle", "ISO")] {
        put(out, b'S', &[name.as_bytes(), b"\0", value.as_bytes(), b"\0"]);
    }
    // No statement is cancelled by key, so the key says nothing.
    put(out, b'K', &[&[0; 8]]);
    ready(out);
}

pub fn ready(out: &mut Vec<u8>) {
    put(out, b'Z', &[b"I"]);
}

pub fn empty_query(out: &mut Vec<u8>) {
    put(out, b'I', &[]);
    ready(out);
}

/// `fatal` ends the connection; else the caller adds what follows.
pub fn error(out: &mut Vec<u8>, fatal: bool, code: &str, message: &str, detail: Option<&str>) {
    let severity: &[u8] = if fatal { b"FATAL" } else { b"ERROR" };
    let mut body = Vec::with_capacity(64);
    let fields = [(b'S', severity), (b'V', severity), (b'C', code.as_bytes()), (b'M', message.as_bytes())];
    for (key, value) in fields.into_iter().chain(detail.map(|d| (b'D', d.as_bytes()))) {
        body.push(key);
        body.extend_from_slice(value);
        body.push(0);
    }
    put(out, b'E', &[&body, b"\0"]);
}

/// What a router says first to a database host, which admits anybody.
pub fn hello() -> Vec<u8> {
    let names = b"user\0web\0database\0orders\0\0";
    let mut out = (8 + names.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&PROTOCOL_3.to_be_bytes());
    out.extend_from_slice(names);
    out
}

/// The SQLSTATE of an ErrorResponse's body.
pub fn sqlstate(body: &[u8]) -> Option<&str> {
    body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C')).and_then(|f| std::str::from_utf8(&f[1..]).ok())
}

/// How far an answer of a database host has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    #[default]
    Nothing,
    Described,
    Row,
    /// The row and its CommandComplete.
    Whole,
    Failed(String),
}

/// Folds the frames that answer one query.
#[derive(Debug, Default)]
pub struct Answer {
    pub stage: Stage,
    /// RowDescription, DataRow and CommandComplete, as they came.
    pub rows: Vec<u8>,
    /// Where in `rows` the one value stands.
    pub value: Range<usize>,
    pub position: Option<f64>,
    pub primary: Option<bool>,
}

impl Answer {
    /// Takes one frame; `true` once it was ReadyForQuery.
    pub fn take(&mut self, tag: u8, body: &[u8]) -> Result<bool, BadFrame> {
        let next = match (tag, &self.stage) {
            (b'Z', _) => return Ok(true),
            (b'S', _) => {
                self.parameter(body);
                return Ok(false);
            }
            (b'N' | b'A', _) => return Ok(false),
            (b'E', Stage::Nothing | Stage::Described | Stage::Row) => {
                let code = sqlstate(body).ok_or(BadFrame("error without a code"))?;
                self.stage = Stage::Failed(code.to_string());
                return Ok(false);
            }
            (b'T', Stage::Nothing) if body.starts_with(&[0, 1]) => Stage::Described,
            (b'D', Stage::Described) => {
                let length = body.get(2..6).map(be32).and_then(|n| usize::try_from(n).ok());
                let whole = body.starts_with(&[0, 1]) && length.is_some_and(|n| body.len() == 6 + n);
                if !whole {
                    return Err(BadFrame("row"));
                }
                let start = self.rows.len() + 5 + 6;
                self.value = start..start + body.len() - 6;
                Stage::Row
            }
            (b'C', Stage::Row) => Stage::Whole,
            _ => return Err(BadFrame("answer out of order")),
        };
        self.stage = next;
        put(&mut self.rows, tag, &[body]);
        Ok(false)
    }

    fn parameter(&mut self, body: &[u8]) {
        let mut words = body.split(|b| *b == 0).map(|w| std::str::from_utf8(w).unwrap_or(""));
        match (words.next().unwrap_or(""), words.next().unwrap_or("")) {
            ("wal_time", ms) => {
                self.position = ms.parse::<f64>().ok().filter(|p| p.is_finite()).map(|p| p / 1e3)
            }
            ("mode", mode) => self.primary = role(mode),
            _ => {}
        }
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.rows[self.value.clone()]).unwrap_or("")
    }
}

/// The word that answers and lists use for a role: is it the primary's?
pub fn role(mode: &str) -> Option<bool> {
    match mode {
        "read-write" => Some(true),
        "read-only" => Some(false),
        _ => None,
    }
}
