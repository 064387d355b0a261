//! One client connection: a reader that takes frames off the socket and a writer that puts each statement
//! before the desk and writes what comes back. The reader reads on while a statement is out, so that the
//! client's end is seen at once; what is pipelined waits with it.
use crate::budget::{Budget, Holder, Slot};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::desk::{Answer, Asked, Mail, Reply};
use crate::peer::STACK;
use crate::pg::{self, Startup};
use crate::statement::{self, Workload};
use crossbeam_channel::{bounded, never, select, Receiver, Sender};
use slog::{debug, Logger};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What all clients share.
pub struct Front {
    pub desk: Sender<Mail>,
    pub workloads: Vec<Workload>,
    pub clock: Clock,
    pub budget: Arc<Budget>,
    pub counters: Arc<Counters>,
    pub log: Logger,
    pub next: AtomicU64,
    /// Disconnected once idle clients are to go.
    pub quit: Receiver<()>,
    /// The longest that any client waits for an answer: one that takes in nothing for so long has vanished.
    pub write_limit: Duration,
}

struct Socket {
    stream: TcpStream,
    /// The end that the reader sees is this router's own doing, and no client has left.
    shut: AtomicBool,
    _slot: Slot,
}

impl Socket {
    fn read_no_more(&self) {
        self.shut.store(true, SeqCst);
        let _ = self.stream.shutdown(Shutdown::Read);
    }
}

enum Input {
    Begin,
    Encrypt,
    Query { text: Vec<u8>, at: f64 },
    Bad { code: &'static str, what: &'static str },
    End,
}

pub fn serve(front: Arc<Front>, stream: TcpStream, slot: Slot) -> io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(front.write_limit))?;
    let socket = Arc::new(Socket { stream, shut: AtomicBool::new(false), _slot: slot });
    // No room: the reader keeps what the writer has not asked for, so a client fills one buffer and no more.
    let (hand, inputs) = bounded(0);
    let (clock, reads) = (front.clock, socket.clone());
    let reader = move || read(&reads.stream, &clock, &hand);
    thread::Builder::new().name("reader".to_string()).stack_size(STACK).spawn(reader)?;
    let writes = socket.clone();
    let writer = move || {
        let _ = (Writer { front: &front, socket: &writes, inputs: &inputs, held: None }).run();
        let _ = writes.stream.shutdown(Shutdown::Both);
    };
    match thread::Builder::new().name("writer".to_string()).stack_size(STACK).spawn(writer) {
        Ok(_) => Ok(()),
        Err(e) => {
            // Or the reader would wait for ever.
            let _ = socket.stream.shutdown(Shutdown::Both);
            Err(e)
        }
    }
}

const READ: usize = 4 * 1024;

/// Hands over one input after another until the connection ends or the writer has gone.
fn read(mut stream: &TcpStream, clock: &Clock, hand: &Sender<Input>) {
    let mut buf = Vec::new();
    let mut begun = false;
    let mut at = clock.now();
    loop {
        let next = if begun { command(&buf, at) } else { greeting(&buf) };
        let input = match next {
            Ok(Some((input, length))) => {
                buf.drain(..length);
                input
            }
            Ok(None) => {
                let whole = buf.len();
                buf.resize(whole + READ, 0);
                let got = stream.read(&mut buf[whole..]);
                at = clock.now();
                buf.truncate(whole + *got.as_ref().unwrap_or(&0));
                match got {
                    Ok(n) if n > 0 => continue,
                    Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                    _ => Input::End,
                }
            }
            Err(pg::BadFrame(what)) => Input::Bad { code: "08P01", what },
        };
        begun |= matches!(input, Input::Begin);
        let last = matches!(input, Input::Bad { .. } | Input::End);
        if hand.send(input).is_err() || last {
            return;
        }
    }
}

type Next = Result<Option<(Input, usize)>, pg::BadFrame>;

fn greeting(buf: &[u8]) -> Next {
    Ok(pg::startup(buf)?.map(|(kind, length)| match kind {
        Startup::Begin => (Input::Begin, length),
        Startup::Encrypt => (Input::Encrypt, length),
        Startup::Cancel => (Input::End, length),
    }))
}

fn command(buf: &[u8], at: f64) -> Next {
    // A tag that nobody sends is told at once, before a length is believed.
    if buf.first().is_some_and(|tag| !b"QXPBEDCHSFfdcp".contains(tag)) {
        return Err(pg::BadFrame("unknown message"));
    }
    let Some((tag, body)) = pg::frame(buf)? else { return Ok(None) };
    let length = body.end;
    let input = match (tag, buf[body].split_last()) {
        (b'Q', Some((0, text))) if !text.contains(&0) => Input::Query { text: text.to_vec(), at },
        (b'Q', _) => return Err(pg::BadFrame("query without an end")),
        (b'X', _) => Input::End,
        _ => Input::Bad { code: "0A000", what: "simple queries only" },
    };
    Ok(Some((input, length)))
}

struct Writer<'a> {
    front: &'a Front,
    socket: &'a Arc<Socket>,
    inputs: &'a Receiver<Input>,
    /// Came while a statement was out.
    held: Option<Input>,
}

impl Writer<'_> {
    fn run(mut self) -> io::Result<()> {
        // A pipelined statement's time runs from when those before it were answered.
        let mut free_at = 0.0;
        loop {
            let mut out = Vec::new();
            match self.held.take().unwrap_or_else(|| self.idle()) {
                Input::Begin => pg::welcome(&mut out),
                Input::Encrypt => out.push(b'N'),
                Input::Query { text, at } => {
                    if text.iter().all(|b| b.is_ascii_whitespace() || *b == b';') {
                        self.front.counters.empty_queries.add();
                        pg::empty_query(&mut out);
                    } else {
                        match statement::read(text, &self.front.workloads) {
                            Ok(statement) => {
                                let Some(answer) = self.ask(statement, f64::max(at, free_at)) else {
                                    return Ok(());
                                };
                                words(answer, &mut out);
                            }
                            Err(wrong) => return self.bad("42601", wrong.text()),
                        }
                    }
                }
                Input::Bad { code, what } => return self.bad(code, what),
                Input::End => return Ok(()),
            }
            self.write(&out)?;
            free_at = self.front.clock.now();
        }
    }

    fn write(&self, out: &[u8]) -> io::Result<()> {
        (&self.socket.stream).write_all(out)
    }

    /// The next input; meanwhile the connection may be closed where a descriptor is wanted.
    fn idle(&self) -> Input {
        let socket = Arc::downgrade(self.socket);
        let _idle = self.front.budget.idle(Holder::Client, move || {
            if let Some(socket) = socket.upgrade() {
                socket.read_no_more();
            }
        });
        loop {
            let never = never();
            let shut = self.socket.shut.load(SeqCst);
            let quit = if shut { &never } else { &self.front.quit };
            select! {
                recv(self.inputs) -> input => return input.unwrap_or(Input::End),
                recv(quit) -> _ => self.socket.read_no_more(),
            }
        }
    }

    /// Puts a statement before the desk and waits for its one answer; `None` once the client has left.
    fn ask(&mut self, statement: statement::Statement, at: f64) -> Option<Answer> {
        let (reply, answers) = bounded(1);
        let stmt = self.front.next.fetch_add(1, Relaxed);
        let asked = Asked {
            stmt,
            workload: statement.workload,
            group: statement.group.clone(),
            session: statement.session.clone(),
            until: at + statement.wait,
            after: statement.after,
            retry: statement.retry,
            parcel: Arc::new(statement),
            reply: Reply(reply),
        };
        self.front.desk.send(Mail::Asked(asked)).ok()?;
        let silence = never();
        loop {
            let inputs = if self.held.is_none() { self.inputs } else { &silence };
            select! {
                recv(answers) -> answer => return answer.ok(),
                recv(inputs) -> input => match input.unwrap_or(Input::End) {
                    Input::End if !self.socket.shut.load(SeqCst) => {
                        let _ = self.front.desk.send(Mail::ClientGone(stmt));
                        return None;
                    }
                    input => self.held = Some(input),
                },
            }
        }
    }

    /// Says what is wrong and ends the connection, for what follows can't be trusted.
    fn bad(&self, code: &str, what: &str) -> io::Result<()> {
        self.front.counters.bad_input.add();
        debug!(self.front.log, "bad input: {what}");
        let mut out = Vec::new();
        pg::error(&mut out, true, code, what, None);
        self.write(&out)
    }
}

fn words(answer: Answer, out: &mut Vec<u8>) {
    match answer {
        Answer::Completed(rows) => *out = rows,
        Answer::Rejected(after) => {
            let ms = format!("{:.0}", (after * 1000.0).floor());
            let detail = Some(ms.as_str()).filter(|_| after > 0.0);
            pg::error(out, false, "53300", "rejected: trying again is harmless", detail);
        }
        Answer::Aborted => pg::error(out, false, "57014", "aborted: it may have run", None),
    }
    pg::ready(out);
}
