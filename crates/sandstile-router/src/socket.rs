//! A socket registered with the event loop, and its readiness. Readiness events are edge-triggered: readiness holds
//! until a call returns `WouldBlock`. The router doesn't depend on events alone: a waiting socket is also rechecked
//! at intervals that double each time, so that a missed event costs no more than the wait before it.
use crate::errno::is_short_of_memory;
use mio::event::Event;
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::Shutdown;

/// Seconds from the last transfer to the first recheck without an event.
const FIRST_RECHECK_S: f64 = 0.025;

pub struct Socket {
    stream: TcpStream,
    readable: bool,
    writable: bool,
    /// The peer has closed its sending side, or the connection broke: reads go on until they reach that end.
    read_closed: bool,
    /// A readiness event was reported since a read last returned `WouldBlock`.
    announced: bool,
    /// When the socket is rechecked next, and the current interval in seconds.
    recheck_at: f64,
    recheck_interval: f64,
}

/// Result of a read or a write.
#[derive(Debug, PartialEq, Eq)]
pub enum Transfer {
    Bytes(usize),
    NotReady,
    /// The call failed for lack of memory and transferred nothing; the connection is intact.
    OutOfMemory,
    /// The peer has closed its sending side, and everything it sent has been read.
    Ended,
    /// The connection broke, with this error number where the platform gave one.
    Broken(Option<i32>),
}

impl Socket {
    /// Registers the socket. A socket that can't be registered now is returned with the error.
    pub fn new(
        registry: &Registry,
        mut stream: TcpStream,
        token: Token,
        writable: bool,
    ) -> Result<Socket, (TcpStream, io::Error)> {
        match registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE) {
            Ok(()) => Ok(Socket {
                stream,
                readable: false,
                writable,
                read_closed: false,
                announced: true,
                recheck_at: f64::INFINITY,
                recheck_interval: FIRST_RECHECK_S,
            }),
            // Wrapped anew: mio treats a socket whose registration failed as registered.
            Err(e) => Err((TcpStream::from_std(stream.into()), e)),
        }
    }

    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    pub fn on_event(&mut self, event: &Event) {
        // A broken connection is reported by the next read or write, so both are allowed.
        let broken = event.is_error();
        self.announced = true;
        self.read_closed |= event.is_read_closed() || broken;
        self.readable |= event.is_readable() || self.read_closed;
        self.writable |= event.is_writable() || event.is_write_closed() || broken;
    }

    /// Has the next read try the socket without an event: when a deadline has passed, or before an action that
    /// depends on what has been received.
    pub fn force_read(&mut self) {
        self.readable = true;
    }

    /// Bytes were transferred at `now`: the recheck interval starts over.
    pub fn record_progress(&mut self, now: f64) {
        self.recheck_interval = FIRST_RECHECK_S;
        self.recheck_at = now + self.recheck_interval;
    }

    /// When the socket is rechecked without an event.
    pub fn recheck_due(&self) -> f64 {
        self.recheck_at
    }

    /// Lets the next read and write try the socket, if a recheck is due at `now`.
    pub fn recheck(&mut self, now: f64) {
        if now >= self.recheck_at {
            (self.readable, self.writable) = (true, true);
            self.recheck_interval *= 2.0;
            self.recheck_at = now + self.recheck_interval;
        }
    }

    /// Whether the bytes just read came without a readiness event.
    pub fn is_unannounced(&self) -> bool {
        !self.announced
    }

    pub fn readable(&self) -> bool {
        self.readable
    }

    /// Whether the peer has closed its sending side or the connection broke. Known even while there is no room to
    /// read what was sent before that.
    pub fn read_closed(&self) -> bool {
        self.read_closed
    }

    pub fn writable(&self) -> bool {
        self.writable
    }

    pub fn clear_writable(&mut self) {
        self.writable = false;
    }

    pub fn read(&mut self, bytes: &mut [u8]) -> Transfer {
        if !self.readable || bytes.is_empty() {
            return Transfer::NotReady;
        }
        loop {
            match self.stream.read(bytes) {
                Ok(0) => return Transfer::Ended,
                // A short read doesn't prove that nothing is left: readiness holds until a read returns
                // `WouldBlock`.
                Ok(received) => return Transfer::Bytes(received),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    (self.readable, self.announced) = (false, false);
                    return Transfer::NotReady;
                }
                Err(e) if is_short_of_memory(&e) => {
                    self.readable = false;
                    return Transfer::OutOfMemory;
                }
                Err(e) => return Transfer::Broken(e.raw_os_error()),
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> Transfer {
        if !self.writable || bytes.is_empty() {
            return Transfer::NotReady;
        }
        loop {
            match self.stream.write(bytes) {
                Ok(0) => return Transfer::Broken(None),
                Ok(written) => return Transfer::Bytes(written),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.writable = false;
                    return Transfer::NotReady;
                }
                Err(e) if is_short_of_memory(&e) => {
                    self.writable = false;
                    return Transfer::OutOfMemory;
                }
                Err(e) => return Transfer::Broken(e.raw_os_error()),
            }
        }
    }

    /// Whether nothing can be read: bytes or an end of stream on an idle connection make it unusable.
    pub fn is_silent(&self) -> bool {
        loop {
            match self.stream.peek(&mut [0]) {
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
                Ok(_) => return false,
            }
        }
    }

    /// Ends the sending side: the peer still gets everything that was written, and then learns of the end.
    pub fn end_writing(&self) -> io::Result<()> {
        self.stream.shutdown(Shutdown::Write)
    }

    pub fn close(self, registry: &Registry) {
        let Socket { mut stream, .. } = self;
        let _ = registry.deregister(&mut stream);
        let _ = stream.shutdown(Shutdown::Both);
    }
}
