//! The clients' listening socket. A connection in the listen queue counts as accepted by the router, so accepting
//! goes on until the queue is empty: no error of `accept` ends it. An empty queue is checked again after a bounded
//! time, as readiness is edge-triggered and a failed call may have consumed the event.
use crate::errno::{accept_failure, retry_transient, AcceptFailure};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use rustix::net::{accept_with, listen, SocketFlags};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};

/// Seconds between checks of the queue without an event.
const LOOK_EVERY: f64 = 0.05;
/// Seconds to pause after a failure caused by the machine: the first pause, and the longest. Each is twice the
/// previous one.
const FIRST_PAUSE: f64 = 0.001;
const LONGEST_PAUSE: f64 = 0.02;
/// Consecutive transient failures after which the listener pauses as well, or a persistent one would make it spin.
const MOST_TRANSIENT: u32 = 8;
/// Connections that may wait in the queue. A client that finds it full is not accepted and tries again.
const BACKLOG: u16 = 128;
/// The platform admits one more than the backlog, and another one while a call is in progress.
const MOST_QUEUED: u64 = BACKLOG as u64 + 2;
/// Accepts between two recorded timestamps.
const MARK_EVERY: u64 = 16;
/// Seconds for which the queue may wait for room before connections are accepted beyond the clients' share, and
/// seconds after which the oldest waiting one is refused.
const LONGEST_HOLD: f64 = 0.05;
const LONGEST_WAIT: f64 = 0.2;

/// Accepts a connection without asking for its peer address: the standard call drops a connection whose peer
/// address can no longer be determined, and returns ECONNABORTED.
fn accept_unnamed(socket: &TcpListener) -> io::Result<TcpStream> {
    let descriptor = accept_with(socket, SocketFlags::CLOEXEC | SocketFlags::NONBLOCK)?;
    Ok(TcpStream::from_std(descriptor.into()))
}

/// Result of one call of `accept`.
#[derive(Debug)]
pub enum Accepted {
    /// A connection, and the earliest time, in seconds, since which it may have waited.
    Connection(TcpStream, f64),
    /// The queue is empty.
    Empty,
    Failed(AcceptFailure, io::Error),
}

/// The listening socket and the state of its queue.
#[derive(Debug)]
pub struct Listener {
    /// `None` once it is closed.
    socket: Option<TcpListener>,
    token: Token,
    /// The queue may contain connections.
    ready: bool,
    paused_until: f64,
    pause: f64,
    failures: u32,
    /// When the queue was last found empty.
    empty_at: f64,
    /// While the queue may contain connections: the earliest time at which one of them may have arrived.
    waiting_since: f64,
    /// Connections accepted, and timestamps of some of these counts; `None` where the queue has no known limit.
    taken: u64,
    marks: Option<VecDeque<(u64, f64)>>,
    /// Since when there has been no room for the connections that may be waiting.
    held_since: Option<f64>,
}

impl Listener {
    /// Registers the socket. The queue is checked right away for connections that are already waiting.
    pub fn new(
        registry: &Registry,
        token: Token,
        socket: std::net::TcpListener,
        now: f64,
    ) -> io::Result<Listener> {
        socket.set_nonblocking(true)?;
        let bounded = listen(&socket, i32::from(BACKLOG)).is_ok();
        let socket = retry_transient(|| {
            // Wrapped anew for each try: mio treats a socket whose registration failed as registered.
            let mut socket = TcpListener::from_std(socket.try_clone()?);
            registry.register(&mut socket, token, Interest::READABLE)?;
            Ok(socket)
        })?;
        Ok(Listener {
            socket: Some(socket),
            token,
            ready: true,
            paused_until: f64::NEG_INFINITY,
            pause: FIRST_PAUSE,
            failures: 0,
            empty_at: now,
            waiting_since: now,
            taken: 0,
            marks: bounded.then(VecDeque::new),
            held_since: None,
        })
    }

    /// Handles a readiness event for connections that arrived no earlier than `since`.
    pub fn told(&mut self, since: f64) {
        if !self.ready {
            (self.ready, self.waiting_since) = (true, since.max(self.empty_at));
        }
    }

    /// Connections may have arrived without an event since the queue was last empty.
    fn suspect(&mut self) {
        let empty_at = self.empty_at;
        self.told(empty_at);
    }

    /// Has the next turn call `accept` without an event.
    pub fn look(&mut self) {
        self.suspect();
    }

    /// Whether `accept` is to be called at `now`.
    pub fn wants(&self, now: f64) -> bool {
        self.socket.is_some() && now >= self.paused_until && (self.ready || now >= self.empty_at + LOOK_EVERY)
    }

    /// When `accept` is due without an event; infinite for never.
    pub fn due(&self) -> f64 {
        match (&self.socket, self.ready) {
            (None, _) => f64::INFINITY,
            (Some(_), true) => self.paused_until,
            (Some(_), false) => self.empty_at + LOOK_EVERY,
        }
    }

    /// Records that there is no room for the connections that may be waiting; their waiting time counts from now.
    pub fn hold_up(&mut self, now: f64) {
        if self.ready {
            self.held_since.get_or_insert(now);
        }
    }

    /// When the queue has waited too long for room; infinite where nothing waits.
    pub fn overdue_at(&self) -> f64 {
        self.held_since.map_or(f64::INFINITY, |since| since + LONGEST_HOLD)
    }

    /// When the oldest waiting connection can no longer be served in time; infinite where nothing waits for room.
    pub fn refused_at(&self) -> f64 {
        self.held_since.map_or(f64::INFINITY, |_| self.waiting_since + LONGEST_WAIT)
    }

    /// Counts an accepted connection. The queue is first in, first out and bounded: this connection entered it
    /// after the one that was accepted a queue's length earlier had left it.
    fn count(&mut self, now: f64) {
        self.taken += 1;
        let Some(marks) = &mut self.marks else { return };
        if self.taken.is_multiple_of(MARK_EVERY) {
            marks.push_back((self.taken, now));
        }
        while marks.front().is_some_and(|(taken, _)| taken + MOST_QUEUED < self.taken) {
            self.waiting_since =
                marks.pop_front().map_or(self.waiting_since, |(_, at)| at.max(self.waiting_since));
        }
    }

    /// Accepts the next connection of the queue.
    pub fn accept(&mut self, registry: &Registry, now: f64) -> Accepted {
        let Some(socket) = &mut self.socket else { return Accepted::Empty };
        match accept_unnamed(socket) {
            Ok(stream) => {
                self.recover();
                // Without an event, it may have arrived at any time since the queue was last empty.
                self.suspect();
                self.count(now);
                Accepted::Connection(stream, self.waiting_since)
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                self.recover();
                (self.ready, self.held_since, self.empty_at) = (false, None, now);
                Accepted::Empty
            }
            Err(e) => {
                // The failed call may have consumed the event: registering again reports waiting connections anew.
                let _ = registry.reregister(socket, self.token, Interest::READABLE);
                let failure = accept_failure(&e);
                self.fail(now, failure);
                Accepted::Failed(failure, e)
            }
        }
    }

    fn recover(&mut self) {
        (self.pause, self.failures) = (FIRST_PAUSE, 0);
    }

    /// After a failure the queue is assumed to contain connections, whether or not there was an event.
    fn fail(&mut self, now: f64, failure: AcceptFailure) {
        self.suspect();
        self.failures += 1;
        if failure != AcceptFailure::Transient || self.failures > MOST_TRANSIENT {
            self.paused_until = now + self.pause;
            self.pause = (2.0 * self.pause).min(LONGEST_PAUSE);
        }
    }

    /// Pauses before the next try: the last connection could not be set up.
    pub fn pause(&mut self, now: f64) {
        self.fail(now, AcceptFailure::MachineShort);
    }

    /// Failures since the last successful call.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    pub fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// Stops accepting connections.
    pub fn close(&mut self) {
        self.socket = None;
    }
}
