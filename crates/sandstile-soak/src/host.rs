//! A stand-in for a database host: one thread a connection, with faults that events turn on for a while. Connections
//! come from `acceptor`, which listens for all hosts of a run.
use crate::plan::Plan;
use crate::record::{Arrival, Recorder};
use sandstile_pgwire as pg;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Seconds for which hosts drop repeats of a deduplicated statement.
pub const DEDUP_WINDOW_S: f64 = 0.8;
/// Replicas stand so far behind their primary.
const LAG_MS: u64 = 250;
const READ_LOOK: Duration = Duration::from_millis(20);

/// Until when each fault lasts, in seconds of the run.
#[derive(Debug, Default)]
struct ActiveFaults {
    hangs_until: f64,
    down_until: f64,
    resets_until: f64,
    turns_away_until: f64,
}

/// What all members of a group share: which deduplicated statements ran when.
pub type ExecutedStatements = Arc<Mutex<BTreeMap<String, f64>>>;

struct Inner {
    number: usize,
    address: SocketAddr,
    primary: AtomicBool,
    /// How far its log had come when it last was primary: a log never goes back.
    came_to: AtomicU64,
    work: Duration,
    pieces: bool,
    faults: Mutex<ActiveFaults>,
    repeats: ExecutedStatements,
    recorder: Recorder,
}

/// Handle to a running host.
#[derive(Clone)]
pub struct Host(Arc<Inner>);

impl Host {
    /// A host of this address, which serves what it is handed.
    pub fn new(
        number: usize,
        address: SocketAddr,
        plan: &Plan,
        repeats: ExecutedStatements,
        recorder: Recorder,
    ) -> Host {
        Host(Arc::new(Inner {
            number,
            address,
            primary: AtomicBool::new(number < plan.groups),
            came_to: AtomicU64::new(0),
            work: Duration::from_millis(plan.work_ms),
            pieces: plan.pieces,
            faults: Mutex::default(),
            repeats,
            recorder,
        }))
    }

    pub fn is_primary(&self) -> bool {
        self.0.primary.load(SeqCst)
    }

    /// Takes this role.
    pub fn becomes(&self, primary: bool) {
        self.0.came_to.store(self.position(), SeqCst);
        self.0.primary.store(primary, SeqCst);
    }

    /// Serves a connection on a thread of its own.
    pub fn accepted(&self, stream: TcpStream) {
        let host = self.clone();
        thread::spawn(move || {
            let _ = host.serve(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        });
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    fn turn(&self, ms: u64, fault: impl FnOnce(&mut ActiveFaults, f64)) {
        let until = self.0.recorder.now() + ms as f64 / 1e3;
        fault(&mut self.0.faults.lock().expect("faults"), until);
    }

    pub fn hang(&self, ms: u64) {
        self.turn(ms, |faults, until| faults.hangs_until = until);
    }

    pub fn go_down(&self, ms: u64) {
        self.turn(ms, |faults, until| faults.down_until = until);
    }

    pub fn reset(&self, ms: u64) {
        self.turn(ms, |faults, until| faults.resets_until = until);
    }

    pub fn turn_away(&self, ms: u64) {
        self.turn(ms, |faults, until| faults.turns_away_until = until);
    }

    fn is(&self, fault: impl Fn(&ActiveFaults) -> f64) -> bool {
        self.0.recorder.now() < fault(&self.0.faults.lock().expect("faults"))
    }

    pub fn is_down(&self) -> bool {
        self.is(|faults| faults.down_until)
    }

    fn serve(&self, mut stream: &TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_LOOK))?;
        let (mut buf, mut bytes, mut greeted) = (Vec::new(), [0; 8192], false);
        loop {
            if self.is_down() || self.0.recorder.is_over() {
                return Ok(());
            }
            match stream.read(&mut bytes) {
                Ok(0) => return Ok(()),
                Ok(got) => buf.extend_from_slice(&bytes[..got]),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(e) => return Err(e),
            }
            let wrong = |e: pg::BadFrame| io::Error::other(e.0);
            if !greeted {
                let Some((_, length)) = pg::startup(&buf).map_err(wrong)? else { continue };
                buf.drain(..length);
                greeted = true;
                let mut out = Vec::new();
                pg::startup_response(&mut out);
                self.say(stream, &out)?;
            }
            while let Some((tag, body)) = pg::frame(&buf).map_err(wrong)? {
                let text = String::from_utf8_lossy(&buf[body.clone()]).into_owned();
                buf.drain(..body.end);
                if tag != b'Q' || !self.answer(stream, &text)? {
                    return Ok(());
                }
            }
        }
    }

    /// `false` where the connection is to end.
    fn answer(&self, stream: &TcpStream, text: &str) -> io::Result<bool> {
        let mut out = Vec::new();
        if text.starts_with("SHOW") {
            self.row(&mut out);
            return self.say(stream, &out).map(|()| true);
        }
        let turned_away = self.is(|faults| faults.turns_away_until);
        let misses = !self.is_primary() && text.contains("INSERT");
        let ran = !turned_away && !misses && !self.is_repeat(text);
        self.0.recorder.arrival(Arrival {
            id: field(text, "id").unwrap_or_default().to_string(),
            host: self.0.number,
            at: self.0.recorder.now(),
            told: field(text, "d").and_then(|d| d.parse::<f64>().ok()).map(|ms| ms / 1e3),
            ran,
        });
        if turned_away {
            pg::error(&mut out, false, "53300", "turned away", None);
            self.end(&mut out);
            return self.say(stream, &out).map(|()| true);
        }
        if misses {
            pg::error(&mut out, false, "25006", "this is a replica", None);
            self.end(&mut out);
            return self.say(stream, &out).map(|()| true);
        }
        thread::sleep(self.0.work);
        while self.is(|faults| faults.hangs_until) && !self.is_down() && !self.0.recorder.is_over() {
            thread::sleep(READ_LOOK);
        }
        self.row(&mut out);
        if self.is(|faults| faults.resets_until) {
            self.say(stream, &out[..out.len() / 2])?;
            return Ok(false);
        }
        if self.is_down() {
            return Ok(false);
        }
        self.say(stream, &out).map(|()| true)
    }

    /// Whether this is a repeat that the group drops; else it counts as run from now.
    fn is_repeat(&self, text: &str) -> bool {
        if field(text, "c") != Some("once") {
            return false;
        }
        let now = self.0.recorder.now();
        let mut repeats = self.0.repeats.lock().expect("repeats");
        let id = field(text, "id").unwrap_or_default().to_string();
        let dropped = repeats.get(&id).is_some_and(|ran| now < ran + DEDUP_WINDOW_S);
        if !dropped {
            repeats.insert(id, now);
        }
        dropped
    }

    /// How far its log has come, in Unix milliseconds: its answers' values and their positions.
    fn position(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let position = now - if self.is_primary() { 0 } else { LAG_MS };
        position.max(self.0.came_to.load(SeqCst))
    }

    fn row(&self, out: &mut Vec<u8>) {
        let position = self.position().to_string();
        let value = position.as_bytes();
        pg::write_frame(out, b'T', &[b"\0\x01payload\0", &[0; 18]]);
        pg::write_frame(out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes(), value]);
        pg::write_frame(out, b'C', &[b"SELECT 1\0"]);
        self.end(out);
    }

    fn end(&self, out: &mut Vec<u8>) {
        let mode: &[u8] = if self.is_primary() { b"read-write" } else { b"read-only" };
        pg::write_frame(out, b'S', &[b"mode\0", mode, b"\0"]);
        pg::write_frame(out, b'S', &[b"timeline\0", b"1\0"]);
        pg::write_frame(out, b'S', &[b"wal_time\0", self.position().to_string().as_bytes(), b"\0"]);
        pg::ready(out);
    }

    fn say(&self, mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
        if !self.0.pieces {
            return stream.write_all(bytes);
        }
        for piece in bytes.chunks(23) {
            stream.write_all(piece)?;
            thread::yield_now();
        }
        Ok(())
    }
}

/// A field of a statement's comment.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.split_once("/*")?.1.split_once("*/")?.0;
    let pairs = comment.split(',').filter_map(|pair| pair.trim().split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

/// The names of all hosts, for lists.
pub fn names(hosts: usize) -> BTreeSet<String> {
    (0..hosts).map(name).collect()
}

/// The name of one host.
pub fn name(number: usize) -> String {
    format!("s-{number}")
}
