//! The result of a dial: whether the connection is established, and what an error says about the host.
use crate::errno::{is_local_error, is_unreachable};
use crate::outcome::Ending;
use mio::net::TcpStream;
use std::io::ErrorKind;

/// Whether a dial has succeeded. The platform reports the end of a dial by making the socket writable; only then is
/// it known whether it succeeded.
pub fn is_up(stream: &TcpStream) -> Result<bool, Ending> {
    if let Some(error) = stream.take_error().map_err(|error| dial_ending(&error))? {
        return Err(dial_ending(&error));
    }
    match stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(error) if error.kind() == ErrorKind::NotConnected => Ok(false),
        Err(error) => Err(dial_ending(&error)),
    }
}

/// The outcome of a dial that failed with this error.
pub fn dial_ending(error: &std::io::Error) -> Ending {
    match error.kind() {
        ErrorKind::TimedOut => Ending::DialTimedOut,
        _ if is_unreachable(error) => Ending::DialUnreachable,
        _ if is_local_error(error) => Ending::NoRoom,
        _ => Ending::DialRefused,
    }
}
