//! Encodes the messages of a client, and decodes them on the server's side.
use crate::frame::{frame, startup, write_frame, BadFrame, Startup, PROTOCOL_3};

/// The first message of a router to a database host. Hosts accept any user.
pub fn startup_message() -> Vec<u8> {
    let parameters = b"user\0web\0database\0orders\0\0";
    let mut out = (8 + parameters.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&PROTOCOL_3.to_be_bytes());
    out.extend_from_slice(parameters);
    out
}

/// A simple query.
pub fn query(out: &mut Vec<u8>, text: &[u8]) {
    write_frame(out, b'Q', &[text, b"\0"]);
}

pub fn terminate(out: &mut Vec<u8>) {
    write_frame(out, b'X', &[]);
}

/// A client's message, as a server reads it.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientMessage {
    Begin,
    /// Requests encryption; the answer is one byte, `N`.
    Encrypt,
    Cancel,
    /// The text of a simple query without its terminating zero.
    Query(Vec<u8>),
    Terminate,
    /// A valid frame that is no simple query.
    Other(u8),
}

/// Splits a client's byte stream into messages, on the server's side. It buffers no more than one frame of
/// the maximum length beyond the bytes received last.
#[derive(Debug, Default)]
pub struct MessageReader {
    buf: Vec<u8>,
    consumed: usize,
    startup_complete: bool,
}

impl MessageReader {
    pub fn receive(&mut self, bytes: &[u8]) {
        self.buf.drain(..std::mem::take(&mut self.consumed));
        self.buf.extend_from_slice(bytes);
    }

    /// The next complete message. After an error the remaining bytes can't be interpreted.
    pub fn message(&mut self) -> Result<Option<ClientMessage>, BadFrame> {
        let buf = &self.buf[self.consumed..];
        if !self.startup_complete {
            let Some((kind, length)) = startup(buf)? else { return Ok(None) };
            self.consumed += length;
            return Ok(Some(match kind {
                Startup::Begin => {
                    self.startup_complete = true;
                    ClientMessage::Begin
                }
                Startup::Encrypt => ClientMessage::Encrypt,
                Startup::Cancel => ClientMessage::Cancel,
            }));
        }
        let Some((tag, body)) = frame(buf)? else { return Ok(None) };
        let end = body.end;
        let message = match (tag, buf[body].split_last()) {
            (b'Q', Some((0, text))) if !text.contains(&0) => ClientMessage::Query(text.to_vec()),
            (b'Q', _) => return Err(BadFrame("query without an end")),
            (b'X', _) => ClientMessage::Terminate,
            (tag, _) => ClientMessage::Other(tag),
        };
        self.consumed += end;
        Ok(Some(message))
    }

    /// Number of received bytes that belong to no complete message yet.
    pub fn buffered_bytes(&self) -> usize {
        self.incomplete_message().len()
    }

    /// The received part of an incomplete message.
    pub fn incomplete_message(&self) -> &[u8] {
        &self.buf[self.consumed..]
    }
}
