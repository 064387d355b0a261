//! Finds the boundaries of frames and rejects those that no peer of this protocol sends.
use std::ops::Range;

/// Fits a value of 64 KiB as hexadecimal digits in a query, with its statement and comment.
pub const MAX_FRAME_BYTES: usize = 2 * 64 * 1024 + 16 * 1024;
/// The largest value that the specification of the protocol states. Longer ones occur and are accepted while memory
/// allows.
pub const TYPICAL_VALUE_BYTES: usize = 64 * 1024;
/// For frames that hold only names, texts and codes.
const MAX_TEXT_FRAME_BYTES: usize = 8 * 1024;
/// A startup message holds a few short names; PostgreSQL itself accepts none longer than this.
pub const MAX_STARTUP_BYTES: usize = 10_000;

pub(crate) const PROTOCOL_3: i32 = 3 << 16;
const CANCEL: i32 = 80_877_102;
const SSL: i32 = 80_877_103;
const GSS: i32 = 80_877_104;

/// The bytes are not a valid frame of the protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct BadFrame(pub &'static str);

#[derive(Debug, PartialEq, Eq)]
pub enum Startup {
    Begin,
    /// A request for encryption, declined with one byte.
    Encrypt,
    Cancel,
}

pub(crate) fn read_be_i32(bytes: &[u8]) -> i32 {
    i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

/// Where the first message of a connection ends; `None` until its length has arrived.
pub fn startup_end(buf: &[u8]) -> Result<Option<usize>, BadFrame> {
    let Some(length) = buf.get(..4).map(read_be_i32) else { return Ok(None) };
    let length = usize::try_from(length).ok().filter(|n| (8..=MAX_STARTUP_BYTES).contains(n));
    Ok(Some(length.ok_or(BadFrame("startup length"))?))
}

/// The first message of a connection and its length; `None` until it is complete.
pub fn startup(buf: &[u8]) -> Result<Option<(Startup, usize)>, BadFrame> {
    let Some(length) = startup_end(buf)?.filter(|length| buf.len() >= *length) else { return Ok(None) };
    let kind = match read_be_i32(&buf[4..]) {
        SSL | GSS if length == 8 => Startup::Encrypt,
        CANCEL if length == 16 => Startup::Cancel,
        // Any minor version is accepted: the server's answers omit what newer ones ask for.
        code if code >> 16 == PROTOCOL_3 >> 16 => Startup::Begin,
        _ => return Err(BadFrame("startup code")),
    };
    Ok(Some((kind, length)))
}

/// The next frame's tag and the position of its body; `None` until it is complete.
pub fn frame(buf: &[u8]) -> Result<Option<(u8, Range<usize>)>, BadFrame> {
    let end = frame_end(buf, MAX_FRAME_BYTES)?;
    Ok(end.filter(|end| buf.len() >= *end).map(|end| (buf[0], 5..end)))
}

/// Where the frame at the start of `buf` ends; `None` until its length has arrived.
pub fn frame_end(buf: &[u8], max_length: usize) -> Result<Option<usize>, BadFrame> {
    let Some(length) = buf.get(1..5).map(read_be_i32) else { return Ok(None) };
    let length = usize::try_from(length).ok().filter(|n| (4..=max_length).contains(n));
    Ok(Some(1 + length.ok_or(BadFrame("frame length"))?))
}

/// Fails if a database host cannot have sent a frame that begins like this. Without this check a
/// reader could wait for the rest of bytes that are not a frame: noise that happens to have a small length, or a row
/// that is longer or shorter than its value.
pub fn check_plausible(buf: &[u8], max_value_bytes: usize) -> Result<(), BadFrame> {
    let Some(tag) = buf.first() else { return Ok(()) };
    let max_length = match tag {
        b'D' => 4 + 6 + max_value_bytes.max(TYPICAL_VALUE_BYTES),
        b'T' | b'C' | b'S' | b'E' | b'N' | b'A' | b'R' => MAX_TEXT_FRAME_BYTES,
        b'K' => 12,
        b'Z' => 5,
        _ => return Err(BadFrame("unknown message")),
    };
    let fits = |n: &usize| (4..=max_length).contains(n);
    let Some(length) = buf.get(1..5).map(read_be_i32) else { return Ok(()) };
    let length = usize::try_from(length).ok().filter(fits).ok_or(BadFrame("frame length"))?;
    let row = buf.get(5..11).filter(|_| *tag == b'D');
    if row.is_some_and(|r| {
        r[..2] != [0, 1] || usize::try_from(read_be_i32(&r[2..])) != Ok(length.wrapping_sub(10))
    }) {
        return Err(BadFrame("malformed row"));
    }
    Ok(())
}

/// Appends a frame with this tag and body.
pub fn write_frame(out: &mut Vec<u8>, tag: u8, parts: &[&[u8]]) {
    let length = 4 + parts.iter().map(|p| p.len()).sum::<usize>();
    out.push(tag);
    out.extend_from_slice(&(length as u32).to_be_bytes());
    parts.iter().for_each(|part| out.extend_from_slice(part));
}
