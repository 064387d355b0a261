//! One client connection, by one thread: it takes frames off the socket, puts each statement before the desk and
//! writes what comes back. While a statement is out it looks at the socket now and then, so that the client's
//! end is seen; what is pipelined waits there.
use crate::budget::{Budget, Holder, Room, Slot};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::desk::{Answer, Asked, Mail, Reply};
use crate::mailbox::{slot, Post};
use crate::peer::STACK;
use crate::pg::{self, Startup};
use crate::statement::{self, Statement, Workload};
use crossbeam_channel::RecvTimeoutError;
use slog::{debug, Logger};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, ThreadId};
use std::time::Duration;

/// What all clients share.
pub struct Front {
    pub desk: Post<Mail>,
    pub workloads: Vec<Workload>,
    pub clock: Clock,
    pub budget: Arc<Budget>,
    pub counters: Arc<Counters>,
    pub log: Logger,
    pub next: AtomicU64,
    pub crew: Crew,
}

pub struct Socket {
    stream: TcpStream,
    /// The end that is read is this router's own doing, and no client has left.
    shut: AtomicBool,
    _slot: Slot,
}

/// A connection with no open request may be closed after 2 s; one that brings no whole request, a command
/// without an end, or takes in no answer has no longer either.
const REST: f64 = 2.0;
/// An answer decided in time can come to be written just after it. Up to half a second late it earns nothing but
/// counts as given, later or never it is lost; a tenth is left for the way to the client.
const LATE: f64 = 0.4;
/// Between looks at whether a client that waits has left: a crowd of them looks often all the same.
const LOOK: Duration = Duration::from_millis(100);
/// The parameter in which a session is handed its mark; it comes back in the comment's field `mark`.
pub const MARK: &str = "sandstile_mark";
/// Most commands come whole in one read.
const READ: usize = 4 * 1024;

pub fn serve(front: Arc<Front>, stream: TcpStream, slot: Slot) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = Arc::new(Socket { stream, shut: AtomicBool::new(false), _slot: slot });
    if let Some((_, post)) = front.crew.resting().pop() {
        post.send(socket);
        return Ok(());
    }
    let body = move || work(&front, socket);
    thread::Builder::new().name("client".to_string()).stack_size(STACK).spawn(body).map(drop)
}

/// Threads that have served a client and wait for the next, the latest last. In a crowd of connections that ask
/// once, making a thread for each costs more than all else that is done for it.
#[derive(Default)]
pub struct Crew(Mutex<Vec<(ThreadId, Post<Arc<Socket>>)>>);

impl Crew {
    fn resting(&self) -> MutexGuard<'_, Vec<(ThreadId, Post<Arc<Socket>>)>> {
        self.0.lock().expect("no thread panics under the lock")
    }

    /// Takes the thread off the list; `false` where it has been given a client already.
    fn leaves(&self, id: ThreadId) -> bool {
        let mut resting = self.resting();
        let at = resting.iter().position(|(other, _)| *other == id);
        at.map(|at| resting.remove(at)).is_some()
    }
}

/// The body of a client's thread: one connection after another, as long as they come.
fn work(front: &Front, first: Arc<Socket>) {
    let (post, mailbox) = slot();
    let (id, mut next) = (thread::current().id(), Some(first));
    while let Some(socket) = next.take() {
        let at = front.clock.now();
        let connection = Connection { front, socket: &socket, buf: Vec::new(), room: None, at, since: at };
        let _ = connection.run();
        let _ = socket.stream.shutdown(Shutdown::Both);
        drop(socket);
        front.crew.resting().push((id, post.clone()));
        next = mailbox.recv(Some(Duration::from_secs_f64(REST))).ok();
        if next.is_none() && !front.crew.leaves(id) {
            next = mailbox.recv(None).ok();
        }
    }
}

enum Input {
    Begin,
    Encrypt,
    Query(Vec<u8>),
    Bad { code: &'static str, what: &'static str },
    End,
}

type Next = Result<Option<(Input, usize)>, pg::BadFrame>;

fn greeting(buf: &[u8]) -> Next {
    Ok(pg::startup(buf)?.map(|(kind, length)| match kind {
        Startup::Begin => (Input::Begin, length),
        Startup::Encrypt => (Input::Encrypt, length),
        Startup::Cancel => (Input::End, length),
    }))
}

fn command(buf: &[u8]) -> Next {
    // A tag that nobody sends is told at once, before a length is believed.
    if buf.first().is_some_and(|tag| !b"QXPBEDCHSFfdcp".contains(tag)) {
        return Err(pg::BadFrame("unknown message"));
    }
    let Some((tag, body)) = pg::frame(buf)? else { return Ok(None) };
    let length = body.end;
    let input = match (tag, buf[body].split_last()) {
        (b'Q', Some((0, text))) if !text.contains(&0) => Input::Query(text.to_vec()),
        (b'Q', _) => return Err(pg::BadFrame("query without an end")),
        (b'X', _) => Input::End,
        _ => Input::Bad { code: "0A000", what: "simple queries only" },
    };
    Ok(Some((input, length)))
}

struct Connection<'a> {
    front: &'a Front,
    socket: &'a Arc<Socket>,
    buf: Vec<u8>,
    /// Held while the buffer is a long one.
    room: Option<Room>,
    /// When the last bytes came.
    at: f64,
    /// When it came up, or its last answer was given, or the command began that is not yet whole.
    since: f64,
}

impl Connection<'_> {
    fn run(mut self) -> io::Result<()> {
        let (mut begun, mut holder) = (false, Holder::Stranger);
        // A pipelined statement's time runs from when those before it were answered.
        let mut free_at = 0.0;
        loop {
            let mut out = Vec::new();
            let mut until = self.front.clock.now() + REST;
            match self.next(begun, holder) {
                Input::Begin => {
                    begun = true;
                    pg::welcome(&mut out);
                }
                Input::Encrypt => out.push(b'N'),
                Input::Query(text) if text.iter().all(|b| b.is_ascii_whitespace() || *b == b';') => {
                    self.front.counters.empty_queries.add();
                    pg::empty_query(&mut out);
                }
                Input::Query(text) => match statement::read(text, &self.front.workloads) {
                    Ok(statement) => {
                        let time = f64::max(self.at, free_at) + statement.wait;
                        until = time + LATE;
                        match self.ask(statement, time) {
                            Some(Answer::Unusable) => {
                                return self.bad("42710", "the id of an open statement")
                            }
                            Some(answer) => words(answer, &mut out),
                            None => return Ok(()),
                        }
                        holder = Holder::Client;
                    }
                    Err(wrong) => return self.bad("42601", wrong.text()),
                },
                Input::Bad { code, what } => return self.bad(code, what),
                Input::End => return Ok(()),
            }
            if let Err(e) = self.write(&out, until) {
                return self.forsake(&e);
            }
            free_at = self.front.clock.now();
            if holder == Holder::Client {
                self.since = free_at;
            }
        }
    }

    /// The next command; meanwhile the connection may be closed where a descriptor is wanted.
    fn next(&mut self, begun: bool, holder: Holder) -> Input {
        let mut idle = None;
        if self.buf.len() <= READ && self.room.take().is_some() {
            self.buf.shrink_to(READ);
        }
        loop {
            let left = self.front.clock.until(self.since + REST);
            if left.is_zero() && holder == Holder::Stranger && !self.buf.is_empty() {
                // Or one that sends empty queries without end would be served for ever.
                return Input::Bad { code: "08P01", what: "no statement in time" };
            }
            let next = if begun { command(&self.buf) } else { greeting(&self.buf) };
            match next {
                Ok(Some((input, length))) => {
                    self.buf.drain(..length);
                    return input;
                }
                Ok(None) => {}
                Err(pg::BadFrame(what)) => return Input::Bad { code: "08P01", what },
            }
            if self.buf.len() > READ && self.room.is_none() {
                self.room = self.front.budget.room(2 * pg::MOST_FRAME);
                if self.room.is_none() {
                    return Input::Bad { code: "53200", what: "too many long commands at once" };
                }
            }
            let _idle = idle.get_or_insert_with(|| {
                let socket = Arc::downgrade(self.socket);
                self.front.budget.idle(holder, move || {
                    if let Some(socket) = socket.upgrade() {
                        socket.shut.store(true, SeqCst);
                        let _ = socket.stream.shutdown(Shutdown::Read);
                    }
                })
            });
            if left.is_zero() && self.buf.is_empty() {
                self.front.counters.rested.add();
                return Input::End;
            }
            if left.is_zero() {
                return Input::Bad { code: "08P01", what: "a command without an end" };
            }
            let fresh = self.buf.is_empty();
            let got = self.socket.stream.set_read_timeout(Some(left)).and_then(|()| self.read());
            match got {
                Ok(n) if n > 0 => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                _ => return Input::End,
            }
            if fresh && holder == Holder::Client {
                self.since = self.at;
            }
        }
    }

    fn read(&mut self) -> io::Result<usize> {
        let whole = self.buf.len();
        self.buf.resize(whole + READ, 0);
        let got = loop {
            // A process that is stopped to keep it to its share of a core wakes with this, all threads at once:
            // nothing but the time is worth a look then.
            match (&self.socket.stream).read(&mut self.buf[whole..]) {
                Err(e)
                    if e.kind() == ErrorKind::Interrupted && self.front.clock.now() < self.since + REST => {}
                got => break got,
            }
        };
        self.at = self.front.clock.now();
        self.buf.truncate(whole + *got.as_ref().unwrap_or(&0));
        got
    }

    /// Puts a statement before the desk and waits for its one answer; `None` once the client has left.
    fn ask(&mut self, statement: Statement, until: f64) -> Option<Answer> {
        let (reply, answers) = slot();
        let stmt = self.front.next.fetch_add(1, Relaxed);
        let asked = Asked {
            stmt,
            id: statement.id.clone(),
            workload: statement.workload,
            group: statement.group.clone(),
            session: statement.session.clone(),
            writes: statement.writes,
            until,
            after: statement.after,
            retry: statement.retry,
            mark: statement.mark.clone(),
            parcel: Arc::new(statement),
            reply: Reply(reply),
        };
        self.front.desk.send(Mail::Asked(asked));
        loop {
            match answers.recv(Some(LOOK)) {
                Ok(answer) => return Some(answer),
                Err(RecvTimeoutError::Disconnected) => return None,
                Err(RecvTimeoutError::Timeout) if self.left() => {
                    self.front.desk.send(Mail::ClientGone(stmt));
                    return None;
                }
                Err(RecvTimeoutError::Timeout) => {}
            }
        }
    }

    /// Takes in the little that has come; with more before it, an end can't be seen yet.
    fn left(&mut self) -> bool {
        if self.buf.len() >= READ || self.socket.shut.load(SeqCst) {
            return false;
        }
        let at = self.at;
        let got = self.socket.stream.set_nonblocking(true).and_then(|()| self.read());
        let back = self.socket.stream.set_nonblocking(false);
        match got {
            Ok(0) => true,
            Ok(_) => back.is_err(),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                self.at = at;
                back.is_err()
            }
            Err(_) => true,
        }
    }

    /// An answer that came too late, or that the client took in too slowly, is not sent any more. The end of the
    /// connection is the client's to make: clocks differ a little, and it may count on an answer for a while.
    fn forsake(&mut self, why: &io::Error) -> io::Result<()> {
        if !matches!(why.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) {
            return Ok(());
        }
        self.front.counters.forsaken.add();
        let until = self.front.clock.now() + REST;
        loop {
            let left = self.front.clock.until(until);
            self.buf.clear();
            if left.is_zero() || self.socket.stream.set_read_timeout(Some(left)).is_err() || self.read()? == 0
            {
                return Ok(());
            }
        }
    }

    /// Says what is wrong and ends the connection, for what follows can't be trusted.
    fn bad(&self, code: &str, what: &str) -> io::Result<()> {
        self.front.counters.bad_input.add();
        debug!(self.front.log, "bad input: {what}");
        let mut out = Vec::new();
        pg::error(&mut out, true, code, what, None);
        self.write(&out, self.front.clock.now() + REST)
    }

    /// Nothing goes out after `until`, nor is a client that takes nothing in waited for any longer.
    fn write(&self, mut out: &[u8], until: f64) -> io::Result<()> {
        let mut stream = &self.socket.stream;
        while !out.is_empty() {
            let left = self.front.clock.until(until);
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            stream.set_write_timeout(Some(left))?;
            match stream.write(out) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => out = &out[n..],
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

fn words(answer: Answer, out: &mut Vec<u8>) {
    match answer {
        Answer::Completed(rows, mark) => {
            *out = rows;
            if let Some(mark) = mark {
                pg::parameter(out, MARK, &mark);
            }
        }
        Answer::Rejected(after) => {
            let ms = format!("{:.0}", (after * 1000.0).floor());
            let detail = Some(ms.as_str()).filter(|_| after > 0.0);
            pg::error(out, false, "53300", "rejected: trying again is harmless", detail);
        }
        Answer::Aborted | Answer::Unusable => {
            pg::error(out, false, "57014", "aborted: it may have run", None);
        }
    }
    pg::ready(out);
}
