//! The result of a dial: whether the connection is established, and what an error says about the host.
use crate::errno::{is_local, is_unreachable};
use crate::outcome::Ending;
use mio::net::TcpStream;
use std::io::ErrorKind;

/// Whether a dial has succeeded. The platform reports the end of a dial by making the socket writable; only then is
/// it known whether it succeeded.
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

/// The outcome of a dial that failed with this error.
pub fn dial_ending(e: &std::io::Error) -> Ending {
    match e.kind() {
        ErrorKind::TimedOut => Ending::DialTimedOut,
        _ if is_unreachable(e) => Ending::DialUnreachable,
        _ if is_local(e) => Ending::NoRoom,
        _ => Ending::DialRefused,
    }
}
