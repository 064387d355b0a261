//! What comes of a dial: whether a connection is up, and what an error of it says of the host.
use crate::errno::{is_local, is_unreachable};
use crate::outcome::Ending;
use mio::net::TcpStream;
use std::io::ErrorKind;

/// Whether a dial is up; the platform says so by letting it be written to, and then whether it came to anything.
pub fn is_up(stream: &TcpStream) -> Result<bool, Ending> {
    if let Some(e) = stream.take_error().map_err(|e| dial_ending(&e))? {
        return Err(dial_ending(&e));
    }
    match stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(e) if e.kind() == ErrorKind::NotConnected => Ok(false),
        Err(e) => Err(dial_ending(&e)),
    }
}

/// How a dial ended that failed with this error.
pub fn dial_ending(e: &std::io::Error) -> Ending {
    match e.kind() {
        ErrorKind::TimedOut => Ending::DialTimedOut,
        _ if is_unreachable(e) => Ending::DialUnreachable,
        _ if is_local(e) => Ending::NoRoom,
        _ => Ending::DialRefused,
    }
}
