//! One connection to a database host: a thread that dials, then writes a statement and reads its answer, one
//! at a time. Its socket is shared with the peer's actor, which can close it under a statement.
use crate::budget::{Budget, Holder, Room, Slot};
use crate::clock::Clock;
use crate::ending::{Ending, Outcome};
use crate::mailbox::Mailbox;
use crate::peer::{Common, Errand, Job};
use crate::pg::{self, Stage};
use sandstile_policy::terms::{Note, Verdict};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

pub struct Socket {
    stream: TcpStream,
    withdrawn: AtomicBool,
    _slot: Slot,
}

impl Socket {
    /// Closes it under whatever runs on it; the thread that reads finds out at once.
    pub fn withdraw(&self) {
        self.withdrawn.store(true, SeqCst);
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// A look before reuse: bytes or an end on an idle connection mean that it is of no use any more.
    pub fn quiet(&self) -> bool {
        let look = |stream: &TcpStream| -> io::Result<bool> {
            stream.set_nonblocking(true)?;
            let seen = stream.peek(&mut [0]);
            stream.set_nonblocking(false)?;
            Ok(matches!(seen, Err(e) if e.kind() == ErrorKind::WouldBlock))
        };
        look(&self.stream).unwrap_or(false)
    }
}

/// Bytes that came and are not yet taken, frame by frame.
struct Inbox {
    buf: Vec<u8>,
    at: usize,
    /// Seconds for which what has begun may pause, and when that is over.
    limit: f64,
    more_by: f64,
    budget: Arc<Budget>,
    room: Option<Room>,
}

/// The reads of one answer of the usual size fit in one.
const READ: usize = 8 * 1024;

enum Heard {
    Frame,
    Ended,
    TimedOut,
    Nonsense,
}

impl Inbox {
    fn new(limit: f64, budget: &Arc<Budget>) -> Self {
        let (buf, more_by, budget) = (Vec::new(), f64::INFINITY, budget.clone());
        Inbox { buf, at: 0, limit, more_by, budget, room: None }
    }

    /// Where the frame that has begun ends, once that is known: never where no host can have begun one, nor where
    /// it is longer than there is room for.
    fn end(&mut self) -> Result<Option<usize>, pg::BadFrame> {
        let begun = &self.buf[self.at..];
        pg::plausible(begun, self.budget.longest_value())?;
        let end = pg::end(begun, usize::MAX)?;
        if let Some(long) = end.filter(|end| *end > 2 * pg::USUAL_VALUE && self.room.is_none()) {
            self.room = self.budget.room(2 * long);
            self.room.as_ref().ok_or(pg::BadFrame("no room"))?;
        }
        Ok(end)
    }

    /// Reads until one frame is whole or `until` has come, then hands it to `take`.
    fn frame(
        &mut self,
        socket: &TcpStream,
        clock: &Clock,
        until: f64,
        take: impl FnOnce(u8, &[u8]) -> Result<(), pg::BadFrame>,
    ) -> Heard {
        loop {
            let end = match self.end() {
                Err(_) => return Heard::Nonsense,
                Ok(end) => end.unwrap_or(0),
            };
            let begun = &self.buf[self.at..];
            if end > 0 && begun.len() >= end {
                let taken = take(begun[0], &begun[5..end]);
                self.at += end;
                return if taken.is_ok() { Heard::Frame } else { Heard::Nonsense };
            }
            self.buf.drain(..std::mem::take(&mut self.at));
            // What is known to come is read in few pieces, and takes no more than its room.
            let missing = end.saturating_sub(self.buf.len());
            let more = missing.clamp(READ, pg::USUAL_VALUE);
            self.buf.reserve_exact(more.max(missing));
            let stop = until.min(self.more_by);
            // A last look once the time is over: what came while this thread had to wait for its core counts.
            let last = clock.until(stop).is_zero();
            let left = clock.until(stop).max(Duration::from_millis(1));
            let whole = self.buf.len();
            self.buf.resize(whole + more, 0);
            let got =
                socket.set_read_timeout(Some(left)).and_then(|()| (&*socket).read(&mut self.buf[whole..]));
            self.buf.truncate(whole + *got.as_ref().unwrap_or(&0));
            match got {
                Ok(0) => return Heard::Ended,
                Ok(_) => self.more_by = clock.now() + self.limit,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Heard::Ended;
                }
                Err(_) if last && until > stop => return Heard::Nonsense,
                Err(_) if last => return Heard::TimedOut,
                Err(_) => {}
            }
            if last && until <= stop {
                return Heard::TimedOut;
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.at == self.buf.len()
    }
}

/// ENOMEM, ENFILE, EMFILE and ENOBUFS on the platform: no socket is to be had here.
const OUT_OF: [i32; 4] = [12, 23, 24, 105];

/// Opens a connection and waits until the host is ready for a first statement, all within `limit` seconds.
pub fn dial(address: SocketAddr, limit: f64, clock: &Clock, budget: &Arc<Budget>) -> Result<Socket, Ending> {
    let until = clock.now() + limit;
    let slot = budget.take(Holder::Link, Duration::from_secs_f64(limit)).ok_or(Ending::NoRoom)?;
    let left = clock.until(until).max(Duration::from_millis(1));
    let stream = TcpStream::connect_timeout(&address, left).map_err(|e| match e.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => Ending::DialTimedOut,
        // This machine's want is not the host's fault.
        _ if e.raw_os_error().is_some_and(|n| OUT_OF.contains(&n)) => Ending::NoRoom,
        _ => Ending::DialRefused,
    })?;
    let ready = stream.set_nodelay(true).and_then(|()| (&stream).write_all(&pg::hello()));
    ready.map_err(|_| Ending::DialBroken)?;
    let mut inbox = Inbox::new(f64::INFINITY, budget);
    let mut seen = None;
    loop {
        let heard = inbox.frame(&stream, clock, until, |tag, body| {
            seen = match tag {
                b'Z' => Some(Ok(())),
                b'E' => Some(Err(match pg::sqlstate(body) {
                    Some("53300" | "57P03") => Ending::DialTurnedAway,
                    _ => Ending::DialBroken,
                })),
                b'R' if body != [0; 4] => Some(Err(Ending::DialBroken)),
                b'R' | b'S' | b'K' | b'N' => None,
                _ => return Err(pg::BadFrame("greeting")),
            };
            Ok(())
        });
        match (heard, seen) {
            (Heard::Frame, Some(Ok(()))) if inbox.is_empty() => {
                return Ok(Socket { stream, withdrawn: AtomicBool::new(false), _slot: slot });
            }
            (Heard::Frame, None) => {}
            (Heard::Frame, Some(Err(ending))) => return Err(ending),
            (Heard::TimedOut, _) => return Err(Ending::DialTimedOut),
            _ => return Err(Ending::DialBroken),
        }
    }
}

/// Does the jobs of one connection until it ends or nobody can hand it a job any more. `done` is told of each
/// outcome and whether the connection can go on.
pub fn work(socket: &Socket, common: &Common, jobs: &Mailbox<Job>, mut done: impl FnMut(Job, Outcome, bool)) {
    let mut used = false;
    while let Ok(job) = jobs.recv(None) {
        let (outcome, goes_on) = exchange(socket, common, &job, used);
        used = true;
        if !goes_on {
            // Before anybody hears of it: on an open connection this execution would still be out beside the
            // next.
            let _ = socket.stream.shutdown(Shutdown::Both);
        }
        done(job, outcome, goes_on);
        if !goes_on {
            return;
        }
    }
}

/// Writes one statement and reads its answer; nothing is ever written twice. An answer that has begun may come
/// slowly, but not pause for the dial limit; `used` says that the connection has answered before.
fn exchange(socket: &Socket, common: &Common, job: &Job, used: bool) -> (Outcome, bool) {
    let clock = &common.clock;
    let withdrawn = || socket.withdrawn.load(SeqCst);
    let left = clock.until(job.until);
    if withdrawn() || left.is_zero() {
        return (Ending::WithdrawnUnsent.into(), !withdrawn());
    }
    if !socket.quiet() {
        // What came behind the last answer would be taken for this one's.
        return (Ending::IdleEnded.into(), false);
    }
    let message = match &job.errand {
        Errand::Statement { parcel, .. } => parcel.message(left.as_secs_f64()),
        Errand::Probe => {
            let mut out = Vec::new();
            pg::put(&mut out, b'Q', &[b"SHOW stats\0"]);
            out
        }
    };
    let stream = &socket.stream;
    let written = stream.set_write_timeout(Some(left)).and_then(|()| (&*stream).write_all(&message));
    // A long one is not kept for as long as its answer takes.
    drop(message);
    if written.is_err() {
        let ending = if withdrawn() { Ending::WithdrawnUnsent } else { Ending::BrokenUnwritten };
        return (ending.into(), false);
    }
    let mut inbox = Inbox::new(common.dial_limit, &common.budget);
    let mut answer = pg::Answer::default();
    let mut ready = false;
    let heard = loop {
        let heard = inbox.frame(stream, clock, job.until, |tag, body| {
            ready = answer.take(tag, body)?;
            Ok(())
        });
        if ready || !matches!(heard, Heard::Frame) {
            break heard;
        }
    };
    // An answer that came whole counts, even where the connection ends right behind it; not where nonsense
    // stands in its midst, for then nothing of it is sure.
    let ending = match (&answer.stage, heard) {
        _ if withdrawn() && !ready => Ending::Withdrawn,
        (_, Heard::Nonsense) => Ending::Garbled,
        (Stage::Whole, _) => Ending::Completed,
        (Stage::Failed(code), _) => Ending::of_sqlstate(code),
        (_, Heard::Ended) if inbox.more_by.is_finite() => Ending::CutShort,
        (_, Heard::Ended) if used => Ending::Crossed,
        (_, Heard::Ended) => Ending::Broken,
        (_, Heard::TimedOut) => Ending::TimedOut,
        (_, Heard::Frame) => Ending::Garbled,
    };
    let mut note = match ending.verdict() {
        Verdict::Spoilt => Note::default(),
        _ => Note { position: answer.position, primary: answer.primary },
    };
    if matches!(job.errand, Errand::Probe) && ending == Ending::Completed {
        report(answer.text(), &mut note);
    }
    let goes_on = ready && inbox.is_empty() && !withdrawn() && ending != Ending::Garbled;
    let term = answer.timeline.filter(|_| ending.verdict() != Verdict::Spoilt);
    (Outcome { ending, note, term, rows: answer.rows }, goes_on)
}

/// A load report's position, in Unix seconds there, and role.
fn report(text: &str, note: &mut Note) {
    for (key, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        match (key.trim(), value.trim().parse::<f64>()) {
            ("x0", Ok(position)) if position.is_finite() => note.position = Some(position),
            ("x1", Ok(primary)) => note.primary = Some(primary > 0.5),
            _ => {}
        }
    }
}
