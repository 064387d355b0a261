//! The clients' listening socket. A connection that waits in its queue counts as taken, so nothing but an empty queue
//! ends the looking: no error of `accept` does, and an empty queue is looked at again in bounded time, for readiness is
//! told once and a failed call may have used that up.
use crate::errno::{accept_failure, retry_transient, AcceptFailure};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use rustix::net::{accept_with, listen, SocketFlags};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};

/// Seconds between looks that nothing but the time calls for.
const LOOK_EVERY: f64 = 0.05;
/// Seconds from a failure of the machine to the next try: the first, and the longest, each twice the one before.
const FIRST_PAUSE: f64 = 0.001;
const LONGEST_PAUSE: f64 = 0.02;
/// Transient failures in a row after which there is a pause as well, or a lasting one would spin.
const MOST_TRANSIENT: u32 = 8;
/// Connections that may wait in the queue. What finds none was not taken, and its client tries again.
const BACKLOG: u16 = 128;
/// The platform lets in one more than it is told, and what is let in while a call is under way.
const MOST_QUEUED: u64 = BACKLOG as u64 + 2;
/// Accepts between the times that are kept.
const MARK_EVERY: u64 = 16;
/// Seconds for which the queue may wait for room before it is taken in beyond the clients' share, and before what
/// waits longest is refused.
const LONGEST_HOLD: f64 = 0.05;
const LONGEST_WAIT: f64 = 0.2;

/// Takes a connection without asking who is at its other end: where the platform can't tell that any more, it would
/// throw the connection away and say ECONNABORTED.
fn accept_unnamed(socket: &TcpListener) -> io::Result<TcpStream> {
    let descriptor = accept_with(socket, SocketFlags::CLOEXEC | SocketFlags::NONBLOCK)?;
    Ok(TcpStream::from_std(descriptor.into()))
}

/// What one try came to.
#[derive(Debug)]
pub enum Accepted {
    /// A connection, and since when at the latest it may have waited, in seconds.
    Connection(TcpStream, f64),
    /// Nothing waits now.
    Empty,
    Failed(AcceptFailure, io::Error),
}

/// The listening socket and what is known of its queue.
#[derive(Debug)]
pub struct Listener {
    /// `None` once it is closed.
    socket: Option<TcpListener>,
    token: Token,
    /// The queue may hold something.
    ready: bool,
    paused_until: f64,
    pause: f64,
    failures: u32,
    /// When the queue was last found empty.
    empty_at: f64,
    /// The earliest time at which what waits may have come, while the queue may hold something.
    waiting_since: f64,
    /// Connections taken, and when there had been so many of them; `None` where the queue's length has no known bound.
    taken: u64,
    marks: Option<VecDeque<(u64, f64)>>,
    /// Since when there has been no room for what may wait.
    held_since: Option<f64>,
}

impl Listener {
    /// Registers the socket; what waits there is looked at first thing.
    pub fn new(
        registry: &Registry,
        token: Token,
        socket: std::net::TcpListener,
        now: f64,
    ) -> io::Result<Listener> {
        socket.set_nonblocking(true)?;
        let bounded = listen(&socket, i32::from(BACKLOG)).is_ok();
        let socket = retry_transient(|| {
            // Made anew each time: the library takes one whose registration failed for registered.
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

    /// Readiness was told of connections that came no earlier than at `since`.
    pub fn told(&mut self, since: f64) {
        if !self.ready {
            (self.ready, self.waiting_since) = (true, since.max(self.empty_at));
        }
    }

    /// Something may wait that nothing was told of since the queue was last empty.
    fn suspect(&mut self) {
        let empty_at = self.empty_at;
        self.told(empty_at);
    }

    /// Has the next try look, whatever was told.
    pub fn look(&mut self) {
        self.suspect();
    }

    /// Whether a try is due at `now`.
    pub fn wants(&self, now: f64) -> bool {
        self.socket.is_some() && now >= self.paused_until && (self.ready || now >= self.empty_at + LOOK_EVERY)
    }

    /// When a try is due that no readiness calls for; infinite where never.
    pub fn due(&self) -> f64 {
        match (&self.socket, self.ready) {
            (None, _) => f64::INFINITY,
            (Some(_), true) => self.paused_until,
            (Some(_), false) => self.empty_at + LOOK_EVERY,
        }
    }

    /// There is no room for what may wait: it waits on, and its time runs.
    pub fn hold_up(&mut self, now: f64) {
        if self.ready {
            self.held_since.get_or_insert(now);
        }
    }

    /// When what waits for room has waited for too long; infinite where nothing does.
    pub fn overdue_at(&self) -> f64 {
        self.held_since.map_or(f64::INFINITY, |since| since + LONGEST_HOLD)
    }

    /// When what waits longest can no longer be served in time; infinite where nothing waits for room.
    pub fn refused_at(&self) -> f64 {
        self.held_since.map_or(f64::INFINITY, |_| self.waiting_since + LONGEST_WAIT)
    }

    /// One more was taken. They come out as they came in, and the queue holds no more than its bound: what comes out now
    /// came in after that many before it had come out.
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

    /// Takes the next connection of the queue.
    pub fn accept(&mut self, registry: &Registry, now: f64) -> Accepted {
        let Some(socket) = &mut self.socket else { return Accepted::Empty };
        match accept_unnamed(socket) {
            Ok(stream) => {
                self.recover();
                // Found though nothing was told, it may have come at any time since the queue was empty.
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
                // The failed call may have used up what was told: whatever waits is to be told anew.
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

    /// After a failure the queue counts as holding something, whatever was told.
    fn fail(&mut self, now: f64, failure: AcceptFailure) {
        self.suspect();
        self.failures += 1;
        if failure != AcceptFailure::Transient || self.failures > MOST_TRANSIENT {
            self.paused_until = now + self.pause;
            self.pause = (2.0 * self.pause).min(LONGEST_PAUSE);
        }
    }

    /// Waits before the next try: what came last could not be set up.
    pub fn pause(&mut self, now: f64) {
        self.fail(now, AcceptFailure::MachineShort);
    }

    /// Failures since the last try that went well.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    pub fn is_open(&self) -> bool {
        self.socket.is_some()
    }

    /// Nobody is let in any more.
    pub fn close(&mut self) {
        self.socket = None;
    }
}
