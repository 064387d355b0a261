//! A simulated client. It keeps a connection until the router closes it, sends one statement after the other, and
//! records how each ended.
use crate::record::{Effect, End, Recorder, Request};
use oorandom::Rand64;
use sandstile_pgwire as pg;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Seconds after a request's timeout within which the final answer has to come.
pub const GRACE_S: f64 = 0.5;
/// Seconds after that for which the client still listens, to tell a late answer from none.
const LATE_ANSWER_S: f64 = 0.4;

/// A router's address, and whether clients may connect to it.
#[derive(Debug)]
pub struct Endpoint {
    pub address: SocketAddr,
    /// Clients open new connections only while this is true.
    pub open: AtomicBool,
    pub generation: AtomicUsize,
}

/// The log position of a session's last write, by group.
type Writes = BTreeMap<u64, u64>;

struct Connection {
    stream: TcpStream,
    router: usize,
    generation: usize,
    fresh: bool,
    buf: Vec<u8>,
}

/// The settings of a client.
pub struct Client {
    pub number: usize,
    pub seed: u64,
    /// Writes its messages in small pieces.
    pub pieces: bool,
    /// Always connects to the same router, which keeps its session.
    pub stays: bool,
    /// Connects to this router only.
    pub router: Option<usize>,
    pub groups: usize,
    /// Closes its connection after this many statements.
    pub statements_per_connection: Option<u64>,
    /// The longest pause between two statements in milliseconds; the shortest is a ninth of it.
    pub pause_ms: u64,
    pub endpoints: Arc<Vec<Endpoint>>,
    pub over: Arc<AtomicBool>,
    pub recorder: Recorder,
}

impl Client {
    /// Sends statements until the run is over.
    pub fn run(self) {
        let mut rng = Rand64::new(u128::from(self.seed) << 32 | self.number as u128);
        let mut idle: Option<Connection> = None;
        let (mut sent, mut writes) = (0_u64, Writes::new());
        while !self.over.load(SeqCst) {
            thread::sleep(Duration::from_millis(rng.rand_range(self.pause_ms / 9..self.pause_ms.max(1))));
            if idle.is_none() {
                idle = self.connect(&mut rng);
            }
            let Some(mut connection) = idle.take() else { continue };
            sent += 1;
            let id = format!("{:x}{:04x}{sent:06x}", self.seed, self.number);
            let stays_open = self.run_statement(&mut connection, &id, &mut rng, &mut writes);
            if stays_open && self.statements_per_connection.is_none_or(|max| sent % max > 0) {
                idle = Some(connection);
            }
        }
    }

    fn connect(&self, rng: &mut Rand64) -> Option<Connection> {
        let drawn = rng.rand_range(0..self.endpoints.len() as u64) as usize;
        let preferred = if self.stays { self.number % self.endpoints.len() } else { drawn };
        let router = self.router.unwrap_or(preferred);
        let endpoint = &self.endpoints[router];
        if !endpoint.open.load(SeqCst) {
            return None;
        }
        let stream = TcpStream::connect_timeout(&endpoint.address, Duration::from_millis(500)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Connection {
            stream,
            router,
            generation: endpoint.generation.load(SeqCst),
            fresh: true,
            buf: Vec::new(),
        })
    }

    /// Sends one statement and awaits its answer; returns whether the connection stays open.
    fn run_statement(
        &self,
        connection: &mut Connection,
        id: &str,
        rng: &mut Rand64,
        writes: &mut Writes,
    ) -> bool {
        let (class, effect) = match rng.rand_range(0..10) {
            0 | 1 => ("book", Effect::NonIdempotent),
            2 => ("once", Effect::Deduplicated),
            3 | 4 if self.stays => ("own", Effect::Idempotent),
            _ => ("look", Effect::Idempotent),
        };
        let wait_ms = rng.rand_range(250..1001);
        let group = if self.groups > 1 { rng.rand_range(0..self.groups as u64) } else { 0 };
        let sql = match effect {
            Effect::Idempotent => format!("SELECT payload FROM entries WHERE ref = 's{}'", self.number),
            _ => format!(
                "INSERT INTO entries (ref, payload) VALUES ('s{}', '\\x9f') RETURNING payload",
                self.number
            ),
        };
        let text = format!("/* id={id},c={class},d={wait_ms},cluster={} */ {sql}", group + 1);
        let mut bytes = if connection.fresh { pg::startup_message() } else { Vec::new() };
        pg::query(&mut bytes, text.as_bytes());
        // The router did not receive a statement that was not written completely.
        if self.write(&mut connection.stream, &bytes).is_err() {
            return false;
        }
        let (written_at, wait) = (self.recorder.now(), wait_ms as f64 / 1e3);
        let leaves_at = (rng.rand_range(0..40) == 0).then(|| written_at + rng.rand_float() * 0.2);
        let mut position = None;
        let end =
            self.await_end(connection, written_at + wait + GRACE_S + LATE_ANSWER_S, leaves_at, &mut position);
        let wrote_before = writes.get(&group).copied().filter(|_| class == "own");
        if let Some(position) = position.filter(|_| effect != Effect::Idempotent) {
            let last = writes.entry(group).or_default();
            *last = position.max(*last);
        }
        let stays_open = matches!(&end, End::Answered { .. });
        let (router, life, fresh) = (connection.router, connection.generation, connection.fresh);
        connection.fresh = false;
        let id = id.to_string();
        self.recorder.record_request(Request {
            id,
            group: group as usize,
            router,
            life,
            effect,
            wait,
            written_at,
            fresh,
            end,
            position,
            wrote_before,
        });
        stays_open
    }

    fn write(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        if !self.pieces {
            return stream.write_all(bytes);
        }
        for piece in bytes.chunks(41) {
            stream.write_all(piece)?;
            thread::sleep(Duration::from_micros(300));
        }
        Ok(())
    }

    fn await_end(
        &self,
        connection: &mut Connection,
        until: f64,
        leaves_at: Option<f64>,
        position: &mut Option<u64>,
    ) -> End {
        let mut greeting = connection.fresh;
        let (mut code, mut any_byte, mut bytes) = (None, false, [0; 4096]);
        loop {
            while let Some(end) =
                pg::frame_end(&connection.buf, 1 << 20).ok().flatten().filter(|e| connection.buf.len() >= *e)
            {
                let tag = connection.buf[0];
                let error = (tag == b'E')
                    .then(|| pg::sqlstate(&connection.buf[5..end]).map(str::to_string))
                    .flatten();
                if tag == b'D' {
                    // The row has one column; the column count and the value's length come before it.
                    let value = connection.buf.get(11..end).map(String::from_utf8_lossy);
                    *position = value.and_then(|text| text.parse().ok());
                }
                connection.buf.drain(..end);
                any_byte |= !greeting;
                if let Some(error) = error {
                    any_byte = true;
                    code = Some(error);
                }
                if tag == b'Z' && !std::mem::take(&mut greeting) {
                    return End::Answered { code, at: self.recorder.now() };
                }
            }
            let now = self.recorder.now();
            if leaves_at.is_some_and(|at| now >= at) {
                return End::Left { at: now };
            }
            if now >= until {
                return End::Silent;
            }
            let next = leaves_at.map_or(until, |at| at.min(until));
            let wait = Duration::from_secs_f64((next - now).max(0.001));
            let _ = connection.stream.set_read_timeout(Some(wait));
            match connection.stream.read(&mut bytes) {
                Ok(0) => return self.end_of_closed(code, any_byte),
                Ok(n) => connection.buf.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.end_of_closed(code, any_byte),
            }
        }
    }

    /// How a request ended whose connection was closed. No ReadyForQuery is needed after an error that closes it.
    fn end_of_closed(&self, code: Option<String>, any_byte: bool) -> End {
        let at = self.recorder.now();
        match (code, any_byte) {
            (Some(code), _) => End::Answered { code: Some(code), at },
            (None, true) => End::CutShort { at },
            (None, false) => End::Closed { at },
        }
    }
}
