//! A socket on the readiness loop, and what is known of it between events. Readiness is told once, at its edge: it
//! stands until the platform says that there is nothing more. Nothing rests on that word alone: a socket that waits is
//! looked at again, each time after twice as long, so that news that was never told costs no more than the wait before.
use crate::errno::is_short_of_memory;
use mio::event::Event;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;

/// Seconds from the last bytes to the first look that no readiness calls for.
const FIRST_LOOK: f64 = 0.025;

pub struct Wire {
    stream: TcpStream,
    readable: bool,
    writable: bool,
    /// The other side has ended its sending: reads go on until they have met that end.
    ending: bool,
    /// Readiness that was told has not been used up.
    announced: bool,
    /// When it is looked at next, and after how many seconds that is.
    look_at: f64,
    look_gap: f64,
}

/// What a read or a write came to.
#[derive(Debug, PartialEq, Eq)]
pub enum Moved {
    Bytes(usize),
    Nothing,
    /// The machine was short of memory for the call, and nothing was moved: the connection stands.
    Later,
    /// The other side has ended its sending, and all that it sent was read.
    Ended,
    /// The connection broke, with this error number where the platform gave one.
    Broken(Option<i32>),
}

impl Wire {
    /// Registers the socket; one that can't be registered now is handed back.
    pub fn new(
        registry: &Registry,
        mut stream: TcpStream,
        token: Token,
        writable: bool,
    ) -> Result<Wire, (TcpStream, io::Error)> {
        match registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE) {
            Ok(()) => Ok(Wire {
                stream,
                readable: false,
                writable,
                ending: false,
                announced: true,
                look_at: f64::INFINITY,
                look_gap: FIRST_LOOK,
            }),
            // Made anew: the library takes one whose registration failed for registered.
            Err(e) => Err((TcpStream::from_std(stream.into()), e)),
        }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub fn told(&mut self, event: &Event) {
        // A connection that broke is found out by whichever comes first.
        let broken = event.is_error();
        self.announced = true;
        self.ending |= event.is_read_closed() || broken;
        self.readable |= event.is_readable() || self.ending;
        self.writable |= event.is_writable() || event.is_write_closed() || broken;
    }

    /// Has the next read look, whatever was told: at the end of a time, or before something is said.
    pub fn look(&mut self) {
        self.readable = true;
    }

    /// Bytes went one way or the other at `now`: the next look is soon.
    pub fn moved(&mut self, now: f64) {
        self.look_gap = FIRST_LOOK;
        self.look_at = now + self.look_gap;
    }

    /// When it is to be looked at though nothing was told.
    pub fn look_due(&self) -> f64 {
        self.look_at
    }

    /// Has the next read and write try, where a look is due at `now`.
    pub fn look_again(&mut self, now: f64) {
        if now >= self.look_at {
            (self.readable, self.writable) = (true, true);
            self.look_gap *= 2.0;
            self.look_at = now + self.look_gap;
        }
    }

    /// Whether the bytes that were read just now came without a word of readiness.
    pub fn unannounced(&self) -> bool {
        !self.announced
    }

    pub fn readable(&self) -> bool {
        self.readable
    }

    /// Whether the other side has ended its sending, or the connection broke: known even while there was no room
    /// to read what came before that.
    pub fn ending(&self) -> bool {
        self.ending
    }

    pub fn writable(&self) -> bool {
        self.writable
    }

    pub fn unwritable(&mut self) {
        self.writable = false;
    }

    pub fn read(&mut self, bytes: &mut [u8]) -> Moved {
        if !self.readable || bytes.is_empty() {
            return Moved::Nothing;
        }
        loop {
            match self.stream.read(bytes) {
                Ok(0) => return Moved::Ended,
                // However little came, it proves nothing of what is left: readiness stands until a read would block.
                Ok(got) => return Moved::Bytes(got),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    (self.readable, self.announced) = (false, false);
                    return Moved::Nothing;
                }
                Err(e) if is_short_of_memory(&e) => {
                    self.readable = false;
                    return Moved::Later;
                }
                Err(e) => return Moved::Broken(e.raw_os_error()),
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> Moved {
        if !self.writable || bytes.is_empty() {
            return Moved::Nothing;
        }
        loop {
            match self.stream.write(bytes) {
                Ok(0) => return Moved::Broken(None),
                Ok(put) => return Moved::Bytes(put),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.writable = false;
                    return Moved::Nothing;
                }
                Err(e) if is_short_of_memory(&e) => {
                    self.writable = false;
                    return Moved::Later;
                }
                Err(e) => return Moved::Broken(e.raw_os_error()),
            }
        }
    }

    /// Whether nothing has come: bytes or an end on an idle connection mean that it is of no use any more.
    pub fn quiet(&self) -> bool {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
                Ok(_) => return false,
            }
        }
    }

    pub fn close(self, registry: &Registry) {
        let Wire { mut stream, .. } = self;
        let _ = registry.deregister(&mut stream);
        let _ = stream.shutdown(Shutdown::Both);
    }
}
