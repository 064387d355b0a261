//! The load loop: one thread and one poll for thousands of connections. Each connection has one statement in flight at a
//! time; statements that are due while all connections are busy wait in a queue, and their timeouts run.
use crate::arrivals::Arrivals;
use hdrhistogram::Histogram;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use sandstile_pgwire as pg;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The text of the n-th statement, for a client that waits this many milliseconds from now.
pub type StatementText<'a> = dyn FnMut(u64, u64) -> String + 'a;

pub struct Load {
    /// Connections are spread evenly over these.
    pub targets: Vec<SocketAddr>,
    pub connections: usize,
    /// Seconds that a client waits for an answer, counted from when its statement was due.
    pub timeout_s: f64,
    /// Seconds at the start whose statements are not counted.
    pub warm_up_s: f64,
    /// Each connection sends the next statement as soon as the last is answered; arrival times are ignored.
    pub closed_loop: bool,
    /// How long the load lasts, warm-up included.
    pub seconds: f64,
}

pub struct Report {
    /// Microseconds from when a statement was due to the last byte of its answer.
    pub latency_from_due_us: Histogram<u64>,
    /// Microseconds from when it was sent.
    pub latency_from_send_us: Histogram<u64>,
    /// Microseconds by which this tool noticed late that a statement was due.
    pub scheduling_delay_us: Histogram<u64>,
    /// Statements that were due after the warm-up.
    pub statements: u64,
    pub completed: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Not answered before the timeout, including those that never got a connection.
    pub unanswered: u64,
    /// Connections that were closed or could not be established.
    pub broken_connections: u64,
    /// Seconds of the counted time, without the warm-up.
    pub seconds: f64,
    /// The share of time in which the tool's thread was not waiting.
    pub busy_share: f64,
}

impl Report {
    /// Why these figures describe the tool rather than its target, if they do.
    pub fn unsound(&self) -> Option<String> {
        let late = self.scheduling_delay_us.value_at_quantile(0.99);
        if late > 5_000 {
            return Some(format!("the load tool noticed due statements {late} us late at p99"));
        }
        (self.busy_share > 0.9)
            .then(|| format!("the load tool was busy {:.0}% of the time", 100.0 * self.busy_share))
    }

    /// Completed statements a second of the counted time.
    pub fn rate(&self) -> f64 {
        self.completed as f64 / self.seconds.max(1e-9)
    }
}

/// The statement that a connection waits for; times in seconds since the start of the load.
struct InFlight {
    due: f64,
    sent_at: f64,
    expires_at: f64,
    counted: bool,
}

struct Connection {
    stream: TcpStream,
    target: usize,
    buf: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    greeted: bool,
    answer: pg::Answer,
    in_flight: Option<InFlight>,
}

enum Outcome {
    Completed,
    Rejected,
    Failed,
}

struct Engine<'a, 'b> {
    load: &'a Load,
    statement_text: &'a mut StatementText<'b>,
    poll: Poll,
    started: Instant,
    connections: Vec<Option<Connection>>,
    /// Idle connections; the most recently used is last.
    idle: Vec<usize>,
    /// Due times of statements that wait for a connection.
    waiting: VecDeque<f64>,
    /// Statements sent so far, the warm-up included; numbers the next one.
    sent_count: u64,
    report: Report,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("usable bounds")
}

/// Runs a load until its time is over and all statements are answered or have timed out.
pub fn run(load: &Load, arrivals: Arrivals, statement_text: &mut StatementText) -> io::Result<Report> {
    let report = Report {
        latency_from_due_us: histogram(),
        latency_from_send_us: histogram(),
        scheduling_delay_us: histogram(),
        statements: 0,
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
        statement_text,
        poll: Poll::new()?,
        started: Instant::now(),
        connections: Vec::new(),
        idle: Vec::new(),
        waiting: VecDeque::new(),
        sent_count: 0,
        report,
    };
    for n in 0..load.connections {
        engine.connections.push(None);
        engine.dial(n, n % load.targets.len());
    }
    engine.run(arrivals)?;
    Ok(engine.report)
}

impl Engine<'_, '_> {
    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    fn dial(&mut self, slot: usize, target: usize) {
        let connected = TcpStream::connect(self.load.targets[target]).and_then(|mut stream| {
            let _ = stream.set_nodelay(true);
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, Token(slot), interest)?;
            Ok(stream)
        });
        match connected {
            Ok(stream) => {
                let (out, answer) = (pg::startup_message(), pg::Answer::default());
                let buf = Vec::new();
                self.connections[slot] = Some(Connection {
                    stream,
                    target,
                    buf,
                    out,
                    sent: 0,
                    greeted: false,
                    answer,
                    in_flight: None,
                });
            }
            Err(_) => self.report.broken_connections += 1,
        }
    }

    fn run(&mut self, arrivals: Arrivals) -> io::Result<()> {
        let mut arrivals = arrivals.peekable();
        let mut events = Events::with_capacity(4096);
        // Connections are established before the first statement.
        let ready_by = self.now() + 2.0;
        while self.idle.len() < self.load.connections && self.now() < ready_by {
            self.poll.poll(&mut events, Some(Duration::from_millis(10)))?;
            self.handle(&events);
        }
        self.started = Instant::now();
        let mut idle_time = Duration::ZERO;
        let mut last_expiry = 0.0;
        loop {
            let now = self.now();
            while let Some(due) = arrivals.next_if(|due| !self.load.closed_loop && *due <= now) {
                let late = ((now - due) * 1e6) as u64;
                self.report.scheduling_delay_us.saturating_record(late);
                self.waiting.push_back(due);
            }
            if self.load.closed_loop && now < self.load.seconds {
                self.waiting.extend(std::iter::repeat_n(now, self.idle.len()));
            }
            self.send_due(now);
            if now - last_expiry > 0.02 {
                last_expiry = now;
                self.expire(now);
            }
            let is_over = now >= self.load.seconds;
            let any_in_flight = self.connections.iter().flatten().any(|c| c.in_flight.is_some());
            if is_over
                && !any_in_flight
                && self.waiting.is_empty()
                && (self.load.closed_loop || arrivals.peek().is_none())
            {
                self.report.busy_share = 1.0 - idle_time.as_secs_f64() / now;
                return Ok(());
            }
            let next = if self.load.closed_loop { None } else { arrivals.peek().copied() };
            let sleep = next.map_or(0.02, |due| (due - self.now()).clamp(0.0, 0.02));
            let poll_started = Instant::now();
            match self.poll.poll(&mut events, Some(Duration::from_secs_f64(sleep))) {
                Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            idle_time += poll_started.elapsed();
            self.handle(&events);
        }
    }

    fn send_due(&mut self, now: f64) {
        while let Some(&due) = self.waiting.front() {
            let Some(slot) = self.idle.pop() else { return };
            let Some(connection) = self.connections[slot].as_mut() else { continue };
            self.waiting.pop_front();
            let expires_at = due + self.load.timeout_s;
            let counted = due >= self.load.warm_up_s;
            self.report.statements += u64::from(counted);
            if expires_at <= now {
                self.report.unanswered += u64::from(counted);
                self.idle.push(slot);
                continue;
            }
            let ms = ((expires_at - now) * 1000.0).floor().max(1.0) as u64;
            let text = (self.statement_text)(self.sent_count, ms);
            self.sent_count += 1;
            pg::query(&mut connection.out, text.as_bytes());
            connection.answer = pg::Answer::default();
            connection.in_flight = Some(InFlight { due, sent_at: now, expires_at, counted });
            self.flush(slot);
        }
    }

    /// Drops statements that have timed out, and replaces the connections that waited for them.
    fn expire(&mut self, now: f64) {
        for slot in 0..self.connections.len() {
            let expired = self.connections[slot]
                .as_ref()
                .and_then(|c| c.in_flight.as_ref())
                .filter(|s| s.expires_at <= now);
            if let Some(counted) = expired.map(|s| s.counted) {
                self.report.unanswered += u64::from(counted);
                self.reconnect(slot);
            }
        }
        while self.waiting.front().is_some_and(|due| due + self.load.timeout_s <= now) {
            let counted = self.waiting.pop_front().is_some_and(|due| due >= self.load.warm_up_s);
            self.report.statements += u64::from(counted);
            self.report.unanswered += u64::from(counted);
        }
    }

    /// Replaces a connection by a new one to the same target.
    fn reconnect(&mut self, slot: usize) {
        let target = self.connections[slot].take().map_or(0, |c| c.target);
        self.idle.retain(|n| *n != slot);
        self.dial(slot, target);
    }

    fn connection_lost(&mut self, slot: usize) {
        self.report.broken_connections += 1;
        if let Some(connection) = self.connections[slot].as_mut() {
            // An idle connection was closed while the statement was sent. It is sent once more, as clients do, and its
            // timeout keeps running.
            let closed_idle = connection.greeted
                && connection.buf.is_empty()
                && connection.answer.stage == pg::Stage::Nothing;
            match connection.in_flight.take() {
                Some(statement) if closed_idle => {
                    self.report.statements -= u64::from(statement.counted);
                    self.waiting.push_front(statement.due);
                }
                Some(statement) => self.report.unanswered += u64::from(statement.counted),
                None => {}
            }
        }
        if self.now() < self.load.seconds {
            self.reconnect(slot);
        } else {
            self.connections[slot] = None;
            self.idle.retain(|n| *n != slot);
        }
    }

    fn handle(&mut self, events: &Events) {
        for event in events {
            let slot = event.token().0;
            if event.is_writable() {
                self.flush(slot);
            }
            if event.is_readable() || event.is_error() {
                self.read(slot);
            }
        }
    }

    fn flush(&mut self, slot: usize) {
        let Some(connection) = self.connections.get_mut(slot).and_then(Option::as_mut) else { return };
        while connection.sent < connection.out.len() {
            match connection.stream.write(&connection.out[connection.sent..]) {
                Ok(0) => return self.connection_lost(slot),
                Ok(n) => connection.sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock || e.kind() == ErrorKind::NotConnected => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.connection_lost(slot),
            }
        }
        connection.out.clear();
        connection.sent = 0;
    }

    fn read(&mut self, slot: usize) {
        let mut bytes = [0; 16 * 1024];
        loop {
            let Some(connection) = self.connections.get_mut(slot).and_then(Option::as_mut) else { return };
            match connection.stream.read(&mut bytes) {
                Ok(0) => return self.connection_lost(slot),
                Ok(n) => connection.buf.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock || e.kind() == ErrorKind::NotConnected => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return self.connection_lost(slot),
            }
            if self.process_messages(slot).is_err() {
                return self.connection_lost(slot);
            }
        }
    }

    /// Processes all complete messages in the connection's buffer.
    fn process_messages(&mut self, slot: usize) -> Result<(), pg::BadFrame> {
        let now = self.now();
        let Some(connection) = self.connections[slot].as_mut() else { return Ok(()) };
        let mut from = 0;
        while let Some((tag, body)) = pg::frame(&connection.buf[from..])? {
            let end = body.end;
            let body = &connection.buf[from..][body];
            from += end;
            match tag {
                b'R' | b'K' => {}
                b'Z' if !connection.greeted => {
                    connection.greeted = true;
                    self.idle.push(slot);
                }
                _ if connection.in_flight.is_none() => {}
                _ => {
                    if !connection.answer.take(tag, body)? {
                        continue;
                    }
                    let Some(statement) = connection.in_flight.take() else { continue };
                    let outcome = match &connection.answer.stage {
                        pg::Stage::Complete => Outcome::Completed,
                        pg::Stage::Failed(code) if matches!(code.as_str(), "53300" | "57P03") => {
                            Outcome::Rejected
                        }
                        _ => Outcome::Failed,
                    };
                    self.idle.push(slot);
                    if !statement.counted {
                        continue;
                    }
                    match outcome {
                        Outcome::Completed => {
                            self.report.completed += 1;
                            let us = |since: f64| ((now - since).max(0.0) * 1e6) as u64;
                            self.report.latency_from_due_us.saturating_record(us(statement.due));
                            self.report.latency_from_send_us.saturating_record(us(statement.sent_at));
                        }
                        Outcome::Rejected => self.report.rejected += 1,
                        Outcome::Failed => self.report.failed += 1,
                    }
                }
            }
        }
        connection.buf.drain(..from);
        Ok(())
    }
}
