//! One thread, one readiness loop, thousands of connections. Each connection has one statement at a time; what is
//! meant to be asked while all are busy waits here, and its time runs.
use crate::arrivals::Arrivals;
use hdrhistogram::Histogram;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use sandstile_pgwire as pg;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The text of the n-th statement, for a client that waits so many milliseconds from now.
pub type StatementText<'a> = dyn FnMut(u64, u64) -> String + 'a;

pub struct Load {
    /// Connections are spread over these evenly.
    pub targets: Vec<SocketAddr>,
    pub connections: usize,
    /// Seconds that a client waits for an answer.
    pub timeout_s: f64,
    /// Seconds at the start whose statements are not counted.
    pub warm_up_s: f64,
    /// Each connection asks again as soon as it is answered, and arrivals say nothing.
    pub closed_loop: bool,
    pub seconds: f64,
}

pub struct Report {
    /// Microseconds from when statements were meant to be asked to their last byte.
    pub latency_from_due_us: Histogram<u64>,
    /// From when they were written.
    pub latency_from_send_us: Histogram<u64>,
    /// By which this tool was itself late in noticing that one was due.
    pub scheduling_delay_us: Histogram<u64>,
    pub asked: u64,
    pub completed: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Not answered in their time, those that never found a connection among them.
    pub unanswered: u64,
    /// Connections that ended or could not be made.
    pub broken_connections: u64,
    pub seconds: f64,
    /// The share of the time in which this tool's thread had something to do.
    pub busy_share: f64,
}

impl Report {
    /// Why these figures are the tool's and not its target's, if they are.
    pub fn unsound(&self) -> Option<String> {
        let late = self.scheduling_delay_us.value_at_quantile(0.99);
        if late > 5_000 {
            return Some(format!("the load tool noticed what was due {late} us late at p99"));
        }
        (self.busy_share > 0.9)
            .then(|| format!("the load tool was busy {:.0}% of the time", 100.0 * self.busy_share))
    }

    /// Completed a second of the counted time.
    pub fn rate(&self) -> f64 {
        self.completed as f64 / self.seconds.max(1e-9)
    }
}

struct Open {
    meant: f64,
    written: f64,
    until: f64,
    counted: bool,
}

struct Conn {
    stream: TcpStream,
    target: usize,
    buf: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    greeted: bool,
    answer: pg::Answer,
    open: Option<Open>,
}

enum End {
    Completed,
    Rejected,
    Failed,
}

struct Engine<'a, 'b> {
    load: &'a Load,
    wording: &'a mut StatementText<'b>,
    poll: Poll,
    begun: Instant,
    conns: Vec<Option<Conn>>,
    /// Connections with nothing to do, the latest used last.
    idle: Vec<usize>,
    /// Meant to be asked, and waiting for a connection.
    waiting: VecDeque<f64>,
    asked: u64,
    report: Report,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("usable bounds")
}

/// Plays a load until its time is up and all that was asked is answered or out of time.
pub fn run(load: &Load, arrivals: Arrivals, wording: &mut StatementText) -> io::Result<Report> {
    let report = Report {
        latency_from_due_us: histogram(),
        latency_from_send_us: histogram(),
        scheduling_delay_us: histogram(),
        asked: 0,
        completed: 0,
        rejected: 0,
        failed: 0,
        unanswered: 0,
        broken_connections: 0,
        seconds: (load.seconds - load.warm_up_s).max(0.0),
        busy_share: 0.0,
    };
    let mut engine = Engine {
        load,
        wording,
        poll: Poll::new()?,
        begun: Instant::now(),
        conns: Vec::new(),
        idle: Vec::new(),
        waiting: VecDeque::new(),
        asked: 0,
        report,
    };
    for n in 0..load.connections {
        engine.conns.push(None);
        engine.dial(n, n % load.targets.len());
    }
    engine.play(arrivals)?;
    Ok(engine.report)
}

impl Engine<'_, '_> {
    fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    fn dial(&mut self, at: usize, target: usize) {
        let made = TcpStream::connect(self.load.targets[target]).and_then(|mut stream| {
            let _ = stream.set_nodelay(true);
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(at), interest)?;
            Ok(stream)
        });
        match made {
            Ok(stream) => {
                let (out, answer) = (pg::startup_message(), pg::Answer::default());
                let buf = Vec::new();
                self.conns[at] =
                    Some(Conn { stream, target, buf, out, sent: 0, greeted: false, answer, open: None });
            }
            Err(_) => self.report.broken_connections += 1,
        }
    }

    fn play(&mut self, arrivals: Arrivals) -> io::Result<()> {
        let mut arrivals = arrivals.peekable();
        let mut events = Events::with_capacity(4096);
        // Connections come up before the first statement.
        let ready_by = self.now() + 2.0;
        while self.idle.len() < self.load.connections && self.now() < ready_by {
            self.poll.poll(&mut events, Some(Duration::from_millis(10)))?;
            self.handle(&events);
        }
        self.begun = Instant::now();
        let mut idle_time = Duration::ZERO;
        let mut swept = 0.0;
        loop {
            let now = self.now();
            while let Some(due) = arrivals.next_if(|at| !self.load.closed_loop && *at <= now) {
                let late = ((now - due) * 1e6) as u64;
                self.report.scheduling_delay_us.saturating_record(late);
                self.waiting.push_back(due);
            }
            if self.load.closed_loop && now < self.load.seconds {
                self.waiting.extend(std::iter::repeat_n(now, self.idle.len()));
            }
            self.hand_out(now);
            if now - swept > 0.02 {
                swept = now;
                self.give_up(now);
            }
            let over = now >= self.load.seconds;
            let open = self.conns.iter().flatten().any(|c| c.open.is_some());
            if over
                && !open
                && self.waiting.is_empty()
                && (self.load.closed_loop || arrivals.peek().is_none())
            {
                self.report.busy_share = 1.0 - idle_time.as_secs_f64() / now;
                return Ok(());
            }
            let next = if self.load.closed_loop { None } else { arrivals.peek().copied() };
            let sleep = next.map_or(0.02, |at| (at - self.now()).clamp(0.0, 0.02));
            let slept = Instant::now();
            match self.poll.poll(&mut events, Some(Duration::from_secs_f64(sleep))) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            idle_time += slept.elapsed();
            self.handle(&events);
        }
    }

    fn hand_out(&mut self, now: f64) {
        while let Some(&meant) = self.waiting.front() {
            let Some(at) = self.idle.pop() else { return };
            let Some(conn) = self.conns[at].as_mut() else { continue };
            self.waiting.pop_front();
            let until = meant + self.load.timeout_s;
            let counted = meant >= self.load.warm_up_s;
            self.report.asked += u64::from(counted);
            if until <= now {
                self.report.unanswered += u64::from(counted);
                self.idle.push(at);
                continue;
            }
            let ms = ((until - now) * 1000.0).floor().max(1.0) as u64;
            let text = (self.wording)(self.asked, ms);
            self.asked += 1;
            pg::query(&mut conn.out, text.as_bytes());
            conn.answer = pg::Answer::default();
            conn.open = Some(Open { meant, written: now, until, counted });
            self.flush(at);
        }
    }

    /// Statements whose time is over: their connections are of no use any more.
    fn give_up(&mut self, now: f64) {
        for at in 0..self.conns.len() {
            let over = self.conns[at].as_ref().and_then(|c| c.open.as_ref()).filter(|o| o.until <= now);
            if let Some(counted) = over.map(|o| o.counted) {
                self.report.unanswered += u64::from(counted);
                self.again(at);
            }
        }
        while self.waiting.front().is_some_and(|meant| meant + self.load.timeout_s <= now) {
            let counted = self.waiting.pop_front().is_some_and(|meant| meant >= self.load.warm_up_s);
            self.report.asked += u64::from(counted);
            self.report.unanswered += u64::from(counted);
        }
    }

    /// A new connection in place of this one.
    fn again(&mut self, at: usize) {
        let target = self.conns[at].take().map_or(0, |c| c.target);
        self.idle.retain(|n| *n != at);
        self.dial(at, target);
    }

    fn lost(&mut self, at: usize) {
        self.report.broken_connections += 1;
        if let Some(c) = self.conns[at].as_mut() {
            // Closed while it rested, and the statement crossed that: asked once more, as clients do. Its time runs on.
            let crossed = c.greeted && c.buf.is_empty() && c.answer.stage == pg::Stage::Nothing;
            match c.open.take() {
                Some(open) if crossed => {
                    self.report.asked -= u64::from(open.counted);
                    self.waiting.push_front(open.meant);
                }
                Some(open) => self.report.unanswered += u64::from(open.counted),
                None => {}
            }
        }
        if self.now() < self.load.seconds {
            self.again(at);
        } else {
            self.conns[at] = None;
            self.idle.retain(|n| *n != at);
        }
    }

    fn handle(&mut self, events: &Events) {
        for event in events {
            let at = event.token().0;
            if event.is_writable() {
                self.flush(at);
            }
            if event.is_readable() || event.is_error() {
                self.read(at);
            }
        }
    }

    fn flush(&mut self, at: usize) {
        let Some(c) = self.conns.get_mut(at).and_then(Option::as_mut) else { return };
        while c.sent < c.out.len() {
            match c.stream.write(&c.out[c.sent..]) {
                Ok(0) => return self.lost(at),
                Ok(n) => c.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock || e.kind() == ErrorKind::NotConnected => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.lost(at),
            }
        }
        c.out.clear();
        c.sent = 0;
    }

    fn read(&mut self, at: usize) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let Some(c) = self.conns.get_mut(at).and_then(Option::as_mut) else { return };
            match c.stream.read(&mut bytes) {
                Ok(0) => return self.lost(at),
                Ok(n) => c.buf.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock || e.kind() == ErrorKind::NotConnected => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return self.lost(at),
            }
            if self.frames(at).is_err() {
                return self.lost(at);
            }
        }
    }

    /// What has come whole.
    fn frames(&mut self, at: usize) -> Result<(), pg::BadFrame> {
        let now = self.now();
        let Some(c) = self.conns[at].as_mut() else { return Ok(()) };
        let mut from = 0;
        while let Some((tag, body)) = pg::frame(&c.buf[from..])? {
            let end = body.end;
            let body = &c.buf[from..][body];
            from += end;
            match tag {
                b'R' | b'K' => {}
                b'Z' if !c.greeted => {
                    c.greeted = true;
                    self.idle.push(at);
                }
                _ if c.open.is_none() => {}
                _ => {
                    if !c.answer.take(tag, body)? {
                        continue;
                    }
                    let Some(open) = c.open.take() else { continue };
                    let end = match &c.answer.stage {
                        pg::Stage::Complete => End::Completed,
                        pg::Stage::Failed(code) if matches!(code.as_str(), "53300" | "57P03") => {
                            End::Rejected
                        }
                        _ => End::Failed,
                    };
                    self.idle.push(at);
                    if !open.counted {
                        continue;
                    }
                    match end {
                        End::Completed => {
                            self.report.completed += 1;
                            let us = |since: f64| ((now - since).max(0.0) * 1e6) as u64;
                            self.report.latency_from_due_us.saturating_record(us(open.meant));
                            self.report.latency_from_send_us.saturating_record(us(open.written));
                        }
                        End::Rejected => self.report.rejected += 1,
                        End::Failed => self.report.failed += 1,
                    }
                }
            }
        }
        c.buf.drain(..from);
        Ok(())
    }
}
