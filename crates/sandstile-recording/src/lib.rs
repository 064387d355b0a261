//! Recorded arrivals as a file: who asked what kind of thing when, and nothing of what they said. Written and read as a
//! stream, in blocks with checksums of their own, so that ten million statements need no more memory than one block.
//!
//! A file is a head (magic, version, salt, names of workloads and groups, its hash) and blocks (length, count, hash,
//! arrivals). Times are whole microseconds since the one before, as variable-length numbers; workloads and groups
//! are indices; a session is 8 bytes of a hash keyed with the file's salt, so that no key can be told from it, and
//! those of two recordings can't be matched.
pub mod edit;

use std::io::{self, Read, Write};

const MAGIC: &[u8; 8] = b"sndsrec\0";
pub const VERSION: u16 = 1;
/// Arrivals in a block.
const BLOCK: usize = 4096;
/// No block and no head is longer.
const MOST: usize = 1 << 20;

/// One arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Microseconds since the recording began.
    pub at_us: u64,
    pub workload: u32,
    pub group: u32,
    /// A hash, 0 for none.
    pub session: u64,
    /// Milliseconds that the client waits.
    pub wait_ms: u32,
    pub is_retry: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct Header {
    pub salt: [u8; 16],
    pub workloads: Vec<String>,
    pub groups: Vec<String>,
}

impl Header {
    /// What stands for a session's name in this recording.
    pub fn session(&self, name: &str) -> u64 {
        let mut key = [0; 32];
        key[..16].copy_from_slice(&self.salt);
        let hash = blake3::keyed_hash(&key, name.as_bytes());
        // Never 0, which is nobody.
        u64::from_le_bytes(std::array::from_fn(|n| hash.as_bytes()[n])).max(1)
    }
}

#[derive(Debug)]
pub enum RecordingError {
    NotARecording,
    UnsupportedVersion(u16),
    /// What is told has been changed, or was never written like this.
    Corrupted,
    /// The end is missing: what stands before it was whole.
    Truncated,
    Io(io::Error),
}

impl From<io::Error> for RecordingError {
    fn from(e: io::Error) -> Self {
        RecordingError::Io(e)
    }
}

impl std::fmt::Display for RecordingError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            RecordingError::NotARecording => write!(f, "no recording"),
            RecordingError::UnsupportedVersion(v) => {
                write!(f, "a recording of version {v}; this program knows {VERSION}")
            }
            RecordingError::Corrupted => write!(f, "spoilt"),
            RecordingError::Truncated => write!(f, "cut off"),
            RecordingError::Io(e) => write!(f, "{e}"),
        }
    }
}

fn put(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn get(bytes: &[u8], at: &mut usize) -> Result<u64, RecordingError> {
    let mut n = 0u64;
    for shift in (0..64).step_by(7) {
        let byte = *bytes.get(*at).ok_or(RecordingError::Corrupted)?;
        *at += 1;
        n |= u64::from(byte & 0x7f).checked_shl(shift).ok_or(RecordingError::Corrupted)?;
        if byte < 0x80 {
            return Ok(n);
        }
    }
    Err(RecordingError::Corrupted)
}

fn hash(bytes: &[u8]) -> [u8; 8] {
    let hash = blake3::hash(bytes);
    std::array::from_fn(|n| hash.as_bytes()[n])
}

/// Writes a recording; arrivals come in the order of their times.
pub struct RecordingWriter<W: Write> {
    out: W,
    block: Vec<u8>,
    count: usize,
    last_us: u64,
    pub written: u64,
}

impl<W: Write> RecordingWriter<W> {
    pub fn begin(mut out: W, header: &Header) -> io::Result<Self> {
        let mut body = header.salt.to_vec();
        for names in [&header.workloads, &header.groups] {
            put(&mut body, names.len() as u64);
            for name in names {
                put(&mut body, name.len() as u64);
                body.extend_from_slice(name.as_bytes());
            }
        }
        out.write_all(MAGIC)?;
        out.write_all(&VERSION.to_le_bytes())?;
        frame(&mut out, &body)?;
        Ok(RecordingWriter { out, block: Vec::new(), count: 0, last_us: 0, written: 0 })
    }

    /// Adds one; what is earlier than the last counts as at the same time.
    pub fn add(&mut self, a: &Arrival) -> io::Result<()> {
        let at = a.at_us.max(self.last_us);
        put(&mut self.block, at - self.last_us);
        put(&mut self.block, u64::from(a.workload) << 1 | u64::from(a.is_retry));
        put(&mut self.block, u64::from(a.group));
        put(&mut self.block, u64::from(a.wait_ms));
        self.block.extend_from_slice(&a.session.to_le_bytes());
        (self.last_us, self.count, self.written) = (at, self.count + 1, self.written + 1);
        if self.count >= BLOCK {
            self.flush()
        } else {
            Ok(())
        }
    }

    /// Ends the block: all so far can be read though the rest never comes.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.count > 0 {
            let mut body = Vec::with_capacity(self.block.len() + 4);
            put(&mut body, self.count as u64);
            body.append(&mut self.block);
            self.count = 0;
            frame(&mut self.out, &body)?;
        }
        Ok(())
    }

    /// Ends the block and hands all of it to where it is written.
    pub fn sync(&mut self) -> io::Result<()> {
        self.flush()?;
        self.out.flush()
    }

    /// Where it is written.
    pub fn out(&self) -> &W {
        &self.out
    }

    /// The end, by which a reader knows that nothing is missing.
    pub fn end(mut self) -> io::Result<W> {
        self.flush()?;
        let mut body = Vec::new();
        put(&mut body, 0);
        put(&mut body, self.written);
        frame(&mut self.out, &body)?;
        self.out.flush()?;
        Ok(self.out)
    }
}

fn frame(out: &mut impl Write, body: &[u8]) -> io::Result<()> {
    out.write_all(&(body.len() as u32).to_le_bytes())?;
    out.write_all(&hash(body))?;
    out.write_all(body)
}

/// Reads a recording, block by block.
pub struct RecordingReader<R: Read> {
    from: R,
    pub header: Header,
    block: Vec<u8>,
    at: usize,
    left: u64,
    last_us: u64,
    read: u64,
    over: bool,
}

impl<R: Read> RecordingReader<R> {
    pub fn open(mut from: R) -> Result<Self, RecordingError> {
        let mut start = [0; 10];
        from.read_exact(&mut start).map_err(cut)?;
        if &start[..8] != MAGIC {
            return Err(RecordingError::NotARecording);
        }
        let version = u16::from_le_bytes([start[8], start[9]]);
        if version != VERSION {
            return Err(RecordingError::UnsupportedVersion(version));
        }
        let body = take(&mut from)?;
        let mut header = Header { salt: [0; 16], ..Header::default() };
        header.salt.copy_from_slice(body.get(..16).ok_or(RecordingError::Corrupted)?);
        let mut at = 16;
        for names in [&mut header.workloads, &mut header.groups] {
            for _ in 0..get(&body, &mut at)? {
                let length = get(&body, &mut at)? as usize;
                let name = at
                    .checked_add(length)
                    .and_then(|end| body.get(at..end))
                    .ok_or(RecordingError::Corrupted)?;
                names.push(String::from_utf8(name.to_vec()).map_err(|_| RecordingError::Corrupted)?);
                at += length;
            }
        }
        Ok(RecordingReader {
            from,
            header,
            block: Vec::new(),
            at: 0,
            left: 0,
            last_us: 0,
            read: 0,
            over: false,
        })
    }

    /// The next arrival; `None` once all that was written was read.
    pub fn next_arrival(&mut self) -> Result<Option<Arrival>, RecordingError> {
        while self.left == 0 {
            if self.over {
                return Ok(None);
            }
            self.block = take(&mut self.from)?;
            self.at = 0;
            self.left = get(&self.block, &mut self.at)?;
            if self.left == 0 {
                self.over = true;
                if get(&self.block, &mut self.at)? != self.read {
                    return Err(RecordingError::Corrupted);
                }
            }
        }
        self.left -= 1;
        let (block, at) = (&self.block, &mut self.at);
        let step = get(block, at)?;
        let kind = get(block, at)?;
        let group = get(block, at)?;
        let wait = get(block, at)?;
        let session = block.get(*at..*at + 8).ok_or(RecordingError::Corrupted)?;
        let session = u64::from_le_bytes(std::array::from_fn(|n| session[n]));
        *at += 8;
        self.last_us = self.last_us.checked_add(step).ok_or(RecordingError::Corrupted)?;
        self.read += 1;
        let narrow = |n: u64| u32::try_from(n).map_err(|_| RecordingError::Corrupted);
        let (workload, group, wait_ms) = (narrow(kind >> 1)?, narrow(group)?, narrow(wait)?);
        // Indices of names that the head has: whoever plays it looks them up.
        if workload as usize >= self.header.workloads.len() || group as usize >= self.header.groups.len() {
            return Err(RecordingError::Corrupted);
        }
        Ok(Some(Arrival { at_us: self.last_us, workload, group, session, wait_ms, is_retry: kind & 1 == 1 }))
    }
}

fn cut(e: io::Error) -> RecordingError {
    match e.kind() {
        io::ErrorKind::UnexpectedEof => RecordingError::Truncated,
        _ => RecordingError::Io(e),
    }
}

fn take(from: &mut impl Read) -> Result<Vec<u8>, RecordingError> {
    let mut front = [0; 12];
    from.read_exact(&mut front).map_err(cut)?;
    let length = u32::from_le_bytes(std::array::from_fn(|n| front[n])) as usize;
    if length > MOST {
        return Err(RecordingError::Corrupted);
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).map_err(cut)?;
    match hash(&body) == front[4..] {
        true => Ok(body),
        false => Err(RecordingError::Corrupted),
    }
}
