//! The clients' listening socket. A connection in the listen queue counts as accepted by the router, so accepting
//! goes on until the queue is empty: no error of `accept` ends it. An empty queue is checked again after a bounded
//! time, as readiness is edge-triggered and a failed call may have consumed the event.
use crate::errno::{classify_accept_error, retry_transient, AcceptFailure};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use rustix::net::{accept_with, listen, SocketFlags};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};

/// Seconds between checks of the queue without an event.
const CHECK_INTERVAL_S: f64 = 0.05;
/// Seconds to pause after a failure caused by the machine: the first pause, and the longest. Each is twice the
/// previous one.
const MIN_PAUSE_S: f64 = 0.001;
const MAX_PAUSE_S: f64 = 0.02;
/// Consecutive transient failures after which the listener pauses as well, or a persistent one would make it spin.
const MAX_TRANSIENT_FAILURES: u32 = 8;
/// Connections that may wait in the queue. A client that finds it full is not accepted and tries again.
const BACKLOG: u16 = 128;
/// The platform admits one more than the backlog, and another one while a call is in progress.
const MAX_QUEUED: u64 = BACKLOG as u64 + 2;
/// Accepts between two recorded timestamps.
const TIMESTAMP_INTERVAL: u64 = 16;
/// Seconds for which the queue may wait for room before connections are accepted beyond the clients' share, and
/// seconds after which the oldest waiting one is refused.
const MAX_HOLD_S: f64 = 0.05;
const MAX_WAIT_S: f64 = 0.2;

/// Accepts a connection without asking for its peer address: the standard call drops a connection whose peer
/// address can no longer be determined, and returns ECONNABORTED.
fn accept_without_peer_address(socket: &TcpListener) -> io::Result<TcpStream> {
    let descriptor = accept_with(socket, SocketFlags::CLOEXEC | SocketFlags::NONBLOCK)?;
    Ok(TcpStream::from_std(descriptor.into()))
}

/// Result of one call of `accept`.
#[derive(Debug)]
pub enum AcceptResult {
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
    accepted: u64,
    timestamps: Option<VecDeque<(u64, f64)>>,
    /// Since when there has been no room for the connections that may be waiting.
    no_room_since: Option<f64>,
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
        let has_bound = listen(&socket, i32::from(BACKLOG)).is_ok();
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
            pause: MIN_PAUSE_S,
            failures: 0,
            empty_at: now,
            waiting_since: now,
            accepted: 0,
            timestamps: has_bound.then(VecDeque::new),
            no_room_since: None,
        })
    }

    /// Handles a readiness event for connections that arrived no earlier than `since`.
    pub fn mark_ready(&mut self, since: f64) {
        if !self.ready {
            (self.ready, self.waiting_since) = (true, since.max(self.empty_at));
        }
    }

    /// Connections may have arrived without an event since the queue was last empty.
    fn assume_ready(&mut self) {
        let empty_at = self.empty_at;
        self.mark_ready(empty_at);
    }

    /// Has the next turn call `accept` without an event.
    pub fn force_accept(&mut self) {
        self.assume_ready();
    }

    /// Whether `accept` is to be called at `now`.
    pub fn is_due(&self, now: f64) -> bool {
        self.socket.is_some()
            && now >= self.paused_until
            && (self.ready || now >= self.empty_at + CHECK_INTERVAL_S)
    }

    /// When `accept` is due without an event; infinite for never.
    pub fn due(&self) -> f64 {
        match (&self.socket, self.ready) {
            (None, _) => f64::INFINITY,
            (Some(_), true) => self.paused_until,
            (Some(_), false) => self.empty_at + CHECK_INTERVAL_S,
        }
    }

    /// Records that there is no room for the connections that may be waiting; their waiting time counts from now.
    pub fn record_no_room(&mut self, now: f64) {
        if self.ready {
            self.no_room_since.get_or_insert(now);
        }
    }

    /// When the queue has waited too long for room; infinite where nothing waits.
    pub fn overdue_at(&self) -> f64 {
        self.no_room_since.map_or(f64::INFINITY, |since| since + MAX_HOLD_S)
    }

    /// When the oldest waiting connection can no longer be served in time; infinite where nothing waits for room.
    pub fn refuse_at(&self) -> f64 {
        self.no_room_since.map_or(f64::INFINITY, |_| self.waiting_since + MAX_WAIT_S)
    }

    /// Counts an accepted connection. The queue is first in, first out and bounded: this connection entered it
    /// after the one that was accepted a queue's length earlier had left it.
    fn count(&mut self, now: f64) {
        self.accepted += 1;
        let Some(timestamps) = &mut self.timestamps else { return };
        if self.accepted.is_multiple_of(TIMESTAMP_INTERVAL) {
            timestamps.push_back((self.accepted, now));
        }
        while timestamps.front().is_some_and(|(accepted, _)| accepted + MAX_QUEUED < self.accepted) {
            self.waiting_since =
                timestamps.pop_front().map_or(self.waiting_since, |(_, at)| at.max(self.waiting_since));
        }
    }

    /// Accepts the next connection of the queue.
    pub fn accept(&mut self, registry: &Registry, now: f64) -> AcceptResult {
        let Some(socket) = &mut self.socket else { return AcceptResult::Empty };
        match accept_without_peer_address(socket) {
            Ok(stream) => {
                self.reset_failures();
                // Without an event, it may have arrived at any time since the queue was last empty.
                self.assume_ready();
                self.count(now);
                AcceptResult::Connection(stream, self.waiting_since)
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                self.reset_failures();
                (self.ready, self.no_room_since, self.empty_at) = (false, None, now);
                AcceptResult::Empty
            }
            Err(e) => {
                // The failed call may have consumed the event: registering again reports waiting connections anew.
                let _ = registry.reregister(socket, self.token, Interest::READABLE);
                let failure = classify_accept_error(&e);
                self.record_failure(now, failure);
                AcceptResult::Failed(failure, e)
            }
        }
    }

    fn reset_failures(&mut self) {
        (self.pause, self.failures) = (MIN_PAUSE_S, 0);
    }

    /// After a failure the queue is assumed to contain connections, whether or not there was an event.
    fn record_failure(&mut self, now: f64, failure: AcceptFailure) {
        self.assume_ready();
        self.failures += 1;
        if failure != AcceptFailure::Transient || self.failures > MAX_TRANSIENT_FAILURES {
            self.paused_until = now + self.pause;
            self.pause = (2.0 * self.pause).min(MAX_PAUSE_S);
        }
    }

    /// Pauses before the next try: the last connection could not be set up.
    pub fn pause(&mut self, now: f64) {
        self.record_failure(now, AcceptFailure::MachineShort);
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
