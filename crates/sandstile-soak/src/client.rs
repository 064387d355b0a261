//! One client: it keeps a connection for as long as that stays open, asks one statement after the other, and puts on
//! record how each ended.
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

/// A final answer may come so many seconds after a request's time; then the client counts it as silent.
pub const GRACE_S: f64 = 0.5;
/// Seconds beyond that for which the client still listens, to tell late from never.
const LISTENS_ON_S: f64 = 0.4;

/// A router as clients find it.
#[derive(Debug)]
pub struct Endpoint {
    pub address: SocketAddr,
    /// New connections come only while this holds.
    pub open: AtomicBool,
    pub generation: AtomicUsize,
}

/// Where a session's last write in each group stands in that group's log.
type Writes = BTreeMap<u64, u64>;

struct Connection {
    stream: TcpStream,
    router: usize,
    generation: usize,
    fresh: bool,
    buf: Vec<u8>,
}

/// What a client needs to know of its run.
pub struct Client {
    pub number: usize,
    pub seed: u64,
    pub pieces: bool,
    /// It keeps to one router, as its session does.
    pub stays: bool,
    /// It asks this router alone.
    pub router: Option<usize>,
    pub groups: usize,
    /// After so many statements it closes its connection.
    pub asks_each: Option<u64>,
    /// The longest pause between two statements, in milliseconds; the shortest is a ninth of it.
    pub pause_ms: u64,
    pub endpoints: Arc<Vec<Endpoint>>,
    pub over: Arc<AtomicBool>,
    pub recorder: Recorder,
}

impl Client {
    /// Asks until the run is over.
    pub fn run(self) {
        let mut draw = Rand64::new(u128::from(self.seed) << 32 | self.number as u128);
        let mut connection: Option<Connection> = None;
        let (mut asked, mut wrote) = (0_u64, Writes::new());
        while !self.over.load(SeqCst) {
            thread::sleep(Duration::from_millis(draw.rand_range(self.pause_ms / 9..self.pause_ms.max(1))));
            if connection.is_none() {
                connection = self.connect(&mut draw);
            }
            let Some(mut open) = connection.take() else { continue };
            asked += 1;
            let id = format!("{:x}{:04x}{asked:06x}", self.seed, self.number);
            let goes_on = self.ask(&mut open, &id, &mut draw, &mut wrote);
            if goes_on && self.asks_each.is_none_or(|most| asked % most > 0) {
                connection = Some(open);
            }
        }
    }

    fn connect(&self, draw: &mut Rand64) -> Option<Connection> {
        let drawn = draw.rand_range(0..self.endpoints.len() as u64) as usize;
        let own = if self.stays { self.number % self.endpoints.len() } else { drawn };
        let router = self.router.unwrap_or(own);
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

    /// One statement; `true` where the connection goes on.
    fn ask(&self, open: &mut Connection, id: &str, draw: &mut Rand64, wrote: &mut Writes) -> bool {
        let (class, effect) = match draw.rand_range(0..10) {
            0 | 1 => ("book", Effect::NonIdempotent),
            2 => ("once", Effect::Deduplicated),
            3 | 4 if self.stays => ("own", Effect::Idempotent),
            _ => ("look", Effect::Idempotent),
        };
        let wait_ms = draw.rand_range(250..1001);
        let group = if self.groups > 1 { draw.rand_range(0..self.groups as u64) } else { 0 };
        let verb = match effect {
            Effect::Idempotent => format!("SELECT payload FROM entries WHERE ref = 's{}'", self.number),
            _ => format!(
                "INSERT INTO entries (ref, payload) VALUES ('s{}', '\\x9f') RETURNING payload",
                self.number
            ),
        };
        let text = format!("/* id={id},c={class},d={wait_ms},cluster={} */ {verb}", group + 1);
        let mut bytes = if open.fresh { pg::startup_message() } else { Vec::new() };
        pg::query(&mut bytes, text.as_bytes());
        // A statement that was not written whole was not taken.
        if self.write(&mut open.stream, &bytes).is_err() {
            return false;
        }
        let (written_at, wait) = (self.recorder.now(), wait_ms as f64 / 1e3);
        let leaves = (draw.rand_range(0..40) == 0).then(|| written_at + draw.rand_float() * 0.2);
        let mut position = None;
        let end = self.await_end(open, written_at + wait + GRACE_S + LISTENS_ON_S, leaves, &mut position);
        let wrote_before = wrote.get(&group).copied().filter(|_| class == "own");
        if let Some(position) = position.filter(|_| effect != Effect::Idempotent) {
            let last = wrote.entry(group).or_default();
            *last = position.max(*last);
        }
        let goes_on = matches!(&end, End::Answered { .. });
        let (router, life, fresh) = (open.router, open.generation, open.fresh);
        open.fresh = false;
        let id = id.to_string();
        self.recorder.request(Request {
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
        goes_on
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
        open: &mut Connection,
        until: f64,
        leaves: Option<f64>,
        position: &mut Option<u64>,
    ) -> End {
        let mut greeting = open.fresh;
        let (mut code, mut any, mut bytes) = (None, false, [0; 4096]);
        loop {
            while let Some(end) =
                pg::frame_end(&open.buf, 1 << 20).ok().flatten().filter(|e| open.buf.len() >= *e)
            {
                let tag = open.buf[0];
                let error =
                    (tag == b'E').then(|| pg::sqlstate(&open.buf[5..end]).map(str::to_string)).flatten();
                if tag == b'D' {
                    // One column: its count and its length come first.
                    let value = open.buf.get(11..end).map(String::from_utf8_lossy);
                    *position = value.and_then(|text| text.parse().ok());
                }
                open.buf.drain(..end);
                any |= !greeting;
                if let Some(error) = error {
                    any = true;
                    code = Some(error);
                }
                if tag == b'Z' && !std::mem::take(&mut greeting) {
                    return End::Answered { code, at: self.recorder.now() };
                }
            }
            let now = self.recorder.now();
            if leaves.is_some_and(|at| now >= at) {
                return End::Left { at: now };
            }
            if now >= until {
                return End::Silent;
            }
            let next = leaves.map_or(until, |at| at.min(until));
            let wait = Duration::from_secs_f64((next - now).max(0.001));
            let _ = open.stream.set_read_timeout(Some(wait));
            match open.stream.read(&mut bytes) {
                Ok(0) => return self.closed(code, any),
                Ok(got) => open.buf.extend_from_slice(&bytes[..got]),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return self.closed(code, any),
            }
        }
    }

    /// ReadyForQuery is not required after an error that ends a connection.
    fn closed(&self, code: Option<String>, any: bool) -> End {
        let at = self.recorder.now();
        match (code, any) {
            (Some(code), _) => End::Answered { code: Some(code), at },
            (None, true) => End::CutShort { at },
            (None, false) => End::Closed { at },
        }
    }
}
