//! What the asking side says, and what a server reads from it.
use crate::frame::{frame, startup, write_frame, BadFrame, Startup, PROTOCOL_3};

/// What a router says first to a database host, which admits anybody.
pub fn startup_message() -> Vec<u8> {
    let names = b"user\0web\0database\0orders\0\0";
    let mut out = (8 + names.len() as u32).to_be_bytes().to_vec();
    out.extend_from_slice(&PROTOCOL_3.to_be_bytes());
    out.extend_from_slice(names);
    out
}

/// A simple query.
pub fn query(out: &mut Vec<u8>, text: &[u8]) {
    write_frame(out, b'Q', &[text, b"\0"]);
}

pub fn terminate(out: &mut Vec<u8>) {
    write_frame(out, b'X', &[]);
}

/// What a server hears from the asking side.
#[derive(Debug, PartialEq, Eq)]
pub enum ClientMessage {
    Begin,
    /// Wants encryption; the answer is one byte, `N`.
    Encrypt,
    Cancel,
    /// A simple query's text, without its closing zero.
    Query(Vec<u8>),
    Terminate,
    /// A frame of the protocol that is no simple query.
    Other(u8),
}

/// The server's ear: takes bytes as they come and yields what they say. It keeps no more than one frame of the
/// longest beyond what it was handed last.
#[derive(Debug, Default)]
pub struct MessageReader {
    buf: Vec<u8>,
    at: usize,
    greeted: bool,
}

impl MessageReader {
    pub fn receive(&mut self, bytes: &[u8]) {
        self.buf.drain(..std::mem::take(&mut self.at));
        self.buf.extend_from_slice(bytes);
    }

    /// The next whole message. After an error nothing more can be told from these bytes.
    pub fn message(&mut self) -> Result<Option<ClientMessage>, BadFrame> {
        let buf = &self.buf[self.at..];
        if !self.greeted {
            let Some((kind, length)) = startup(buf)? else { return Ok(None) };
            self.at += length;
            return Ok(Some(match kind {
                Startup::Begin => {
                    self.greeted = true;
                    ClientMessage::Begin
                }
                Startup::Encrypt => ClientMessage::Encrypt,
                Startup::Cancel => ClientMessage::Cancel,
            }));
        }
        let Some((tag, body)) = frame(buf)? else { return Ok(None) };
        let end = body.end;
        let heard = match (tag, buf[body].split_last()) {
            (b'Q', Some((0, text))) if !text.contains(&0) => ClientMessage::Query(text.to_vec()),
            (b'Q', _) => return Err(BadFrame("query without an end")),
            (b'X', _) => ClientMessage::Terminate,
            (tag, _) => ClientMessage::Other(tag),
        };
        self.at += end;
        Ok(Some(heard))
    }

    /// Bytes that came and belong to no message yet.
    pub fn buffered_bytes(&self) -> usize {
        self.incomplete_message().len()
    }

    /// What has come of a message that is not whole.
    pub fn incomplete_message(&self) -> &[u8] {
        &self.buf[self.at..]
    }
}
