//! Recorded arrivals in a file: who sent which workload to which group at what time, without the text of
//! statements. The format is written and read as a stream of blocks, each with its own checksum, so that a
//! recording of ten million statements needs only one block of memory.
//!
//! A file consists of a header (magic, version, length, hash, salt, names of workloads and groups) and blocks
//! (length, hash, count, arrivals). Times are whole microseconds since the previous arrival, as
//! variable-length integers; workloads and groups are indices into the header. A session is 8 bytes of a hash
//! keyed with the file's salt, so the session key can't be recovered from it, and sessions of two recordings
//! can't be matched.
pub mod edit;

use std::io::{self, Read, Write};

const MAGIC: &[u8; 8] = b"sndsrec\0";
pub const VERSION: u16 = 1;
/// Arrivals per block.
const ARRIVALS_PER_BLOCK: usize = 4096;
/// Upper limit for the length of a block or header; a longer one counts as corrupted.
const MAX_FRAME_BYTES: usize = 1 << 20;

/// One arrival.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Microseconds since the start of the recording.
    pub at_us: u64,
    pub workload: u32,
    pub group: u32,
    /// A hash of the session's name; 0 if there is none.
    pub session: u64,
    /// Milliseconds that the client waits for the answer.
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
    /// The hash that represents a session's name in this recording.
    pub fn session(&self, name: &str) -> u64 {
        let mut key = [0; 32];
        key[..16].copy_from_slice(&self.salt);
        let hash = blake3::keyed_hash(&key, name.as_bytes());
        // 0 is reserved for arrivals without a session.
        u64::from_le_bytes(std::array::from_fn(|n| hash.as_bytes()[n])).max(1)
    }
}

#[derive(Debug)]
pub enum RecordingError {
    NotARecording,
    UnsupportedVersion(u16),
    /// A checksum or a value does not fit the format.
    Corrupted,
    /// The end is missing; all blocks before it were read intact.
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
            RecordingError::NotARecording => write!(f, "not a recording"),
            RecordingError::UnsupportedVersion(v) => {
                write!(f, "a recording of version {v} is not supported; this program knows version {VERSION}")
            }
            RecordingError::Corrupted => write!(f, "corrupted: a checksum or value is wrong"),
            RecordingError::Truncated => write!(f, "cut off before its end marker"),
            RecordingError::Io(e) => write!(f, "{e}"),
        }
    }
}

fn write_varint(out: &mut Vec<u8>, mut n: u64) {
    while n >= 0x80 {
        out.push(n as u8 | 0x80);
        n >>= 7;
    }
    out.push(n as u8);
}

fn read_varint(bytes: &[u8], position: &mut usize) -> Result<u64, RecordingError> {
    let mut n = 0u64;
    for shift in (0..64).step_by(7) {
        let byte = *bytes.get(*position).ok_or(RecordingError::Corrupted)?;
        *position += 1;
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

/// Writes a recording. Arrivals have to be added in order of time.
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
            write_varint(&mut body, names.len() as u64);
            for name in names {
                write_varint(&mut body, name.len() as u64);
                body.extend_from_slice(name.as_bytes());
            }
        }
        out.write_all(MAGIC)?;
        out.write_all(&VERSION.to_le_bytes())?;
        write_frame(&mut out, &body)?;
        Ok(RecordingWriter { out, block: Vec::new(), count: 0, last_us: 0, written: 0 })
    }

    /// Adds an arrival; one that is earlier than its predecessor is recorded at the predecessor's time.
    pub fn add(&mut self, arrival: &Arrival) -> io::Result<()> {
        let at_us = arrival.at_us.max(self.last_us);
        write_varint(&mut self.block, at_us - self.last_us);
        write_varint(&mut self.block, u64::from(arrival.workload) << 1 | u64::from(arrival.is_retry));
        write_varint(&mut self.block, u64::from(arrival.group));
        write_varint(&mut self.block, u64::from(arrival.wait_ms));
        self.block.extend_from_slice(&arrival.session.to_le_bytes());
        (self.last_us, self.count, self.written) = (at_us, self.count + 1, self.written + 1);
        if self.count >= ARRIVALS_PER_BLOCK {
            self.flush()
        } else {
            Ok(())
        }
    }

    /// Writes the current block, so that all arrivals so far can be read even if the rest is never written.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.count > 0 {
            let mut body = Vec::with_capacity(self.block.len() + 4);
            write_varint(&mut body, self.count as u64);
            body.append(&mut self.block);
            self.count = 0;
            write_frame(&mut self.out, &body)?;
        }
        Ok(())
    }

    /// Writes the current block and flushes the underlying writer.
    pub fn sync(&mut self) -> io::Result<()> {
        self.flush()?;
        self.out.flush()
    }

    /// The underlying writer.
    pub fn out(&self) -> &W {
        &self.out
    }

    /// Writes the end marker, which tells a reader that nothing is missing.
    pub fn end(mut self) -> io::Result<W> {
        self.flush()?;
        let mut body = Vec::new();
        write_varint(&mut body, 0);
        write_varint(&mut body, self.written);
        write_frame(&mut self.out, &body)?;
        self.out.flush()?;
        Ok(self.out)
    }
}

fn write_frame(out: &mut impl Write, body: &[u8]) -> io::Result<()> {
    out.write_all(&(body.len() as u32).to_le_bytes())?;
    out.write_all(&hash(body))?;
    out.write_all(body)
}

/// Reads a recording block by block.
pub struct RecordingReader<R: Read> {
    input: R,
    pub header: Header,
    block: Vec<u8>,
    position: usize,
    remaining: u64,
    last_us: u64,
    arrivals_read: u64,
    ended: bool,
}

impl<R: Read> RecordingReader<R> {
    pub fn open(mut input: R) -> Result<Self, RecordingError> {
        let mut prefix = [0; 10];
        input.read_exact(&mut prefix).map_err(read_error)?;
        if &prefix[..8] != MAGIC {
            return Err(RecordingError::NotARecording);
        }
        let version = u16::from_le_bytes([prefix[8], prefix[9]]);
        if version != VERSION {
            return Err(RecordingError::UnsupportedVersion(version));
        }
        let body = read_frame(&mut input)?;
        let mut header = Header { salt: [0; 16], ..Header::default() };
        header.salt.copy_from_slice(body.get(..16).ok_or(RecordingError::Corrupted)?);
        let mut position = 16;
        for names in [&mut header.workloads, &mut header.groups] {
            for _ in 0..read_varint(&body, &mut position)? {
                let length = read_varint(&body, &mut position)? as usize;
                let name = position
                    .checked_add(length)
                    .and_then(|end| body.get(position..end))
                    .ok_or(RecordingError::Corrupted)?;
                names.push(String::from_utf8(name.to_vec()).map_err(|_| RecordingError::Corrupted)?);
                position += length;
            }
        }
        Ok(RecordingReader {
            input,
            header,
            block: Vec::new(),
            position: 0,
            remaining: 0,
            last_us: 0,
            arrivals_read: 0,
            ended: false,
        })
    }

    /// The next arrival; `None` after the end marker.
    pub fn next_arrival(&mut self) -> Result<Option<Arrival>, RecordingError> {
        while self.remaining == 0 {
            if self.ended {
                return Ok(None);
            }
            self.block = read_frame(&mut self.input)?;
            self.position = 0;
            self.remaining = read_varint(&self.block, &mut self.position)?;
            if self.remaining == 0 {
                self.ended = true;
                if read_varint(&self.block, &mut self.position)? != self.arrivals_read {
                    return Err(RecordingError::Corrupted);
                }
            }
        }
        self.remaining -= 1;
        let (block, position) = (&self.block, &mut self.position);
        let delta_us = read_varint(block, position)?;
        let workload_and_retry = read_varint(block, position)?;
        let group = read_varint(block, position)?;
        let wait = read_varint(block, position)?;
        let session = block.get(*position..*position + 8).ok_or(RecordingError::Corrupted)?;
        let session = u64::from_le_bytes(std::array::from_fn(|n| session[n]));
        *position += 8;
        self.last_us = self.last_us.checked_add(delta_us).ok_or(RecordingError::Corrupted)?;
        self.arrivals_read += 1;
        let to_u32 = |n: u64| u32::try_from(n).map_err(|_| RecordingError::Corrupted);
        let (workload, group, wait_ms) = (to_u32(workload_and_retry >> 1)?, to_u32(group)?, to_u32(wait)?);
        // Callers index the header's names with these values without a further check.
        if workload as usize >= self.header.workloads.len() || group as usize >= self.header.groups.len() {
            return Err(RecordingError::Corrupted);
        }
        Ok(Some(Arrival {
            at_us: self.last_us,
            workload,
            group,
            session,
            wait_ms,
            is_retry: workload_and_retry & 1 == 1,
        }))
    }
}

fn read_error(e: io::Error) -> RecordingError {
    match e.kind() {
        io::ErrorKind::UnexpectedEof => RecordingError::Truncated,
        _ => RecordingError::Io(e),
    }
}

fn read_frame(input: &mut impl Read) -> Result<Vec<u8>, RecordingError> {
    let mut frame_header = [0; 12];
    input.read_exact(&mut frame_header).map_err(read_error)?;
    let length = u32::from_le_bytes(std::array::from_fn(|n| frame_header[n])) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(RecordingError::Corrupted);
    }
    let mut body = vec![0; length];
    input.read_exact(&mut body).map_err(read_error)?;
    match hash(&body) == frame_header[4..] {
        true => Ok(body),
        false => Err(RecordingError::Corrupted),
    }
}
