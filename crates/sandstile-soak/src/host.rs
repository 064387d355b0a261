//! A stand-in for a database host: one thread per connection, with faults that events activate for a while.
//! `acceptor` listens for all hosts of a run and hands over their connections.
use crate::plan::Plan;
use crate::record::{Arrival, Recorder};
use crate::workers;
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
/// How far replicas lag behind their primary, in milliseconds.
const LAG_MS: u64 = 250;
/// How often a thread checks for faults and for the end of the run while it waits.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The end of each fault, in seconds since the run began.
#[derive(Debug, Default)]
struct ActiveFaults {
    hangs_until: f64,
    down_until: f64,
    resets_until: f64,
    rejects_until: f64,
}

/// When each deduplicated statement was executed; shared by all members of a group.
pub type ExecutedStatements = Arc<Mutex<BTreeMap<String, f64>>>;

struct Inner {
    number: usize,
    address: SocketAddr,
    primary: AtomicBool,
    /// Its log position at its last change of role; the position never goes back.
    position_at_switch: AtomicU64,
    work: Duration,
    in_pieces: bool,
    faults: Mutex<ActiveFaults>,
    executed: ExecutedStatements,
    recorder: Recorder,
}

/// Handle to a running host.
#[derive(Clone)]
pub struct Host(Arc<Inner>);

impl Host {
    /// A host with this address; it serves the connections that it is given.
    pub fn new(
        number: usize,
        address: SocketAddr,
        plan: &Plan,
        executed: ExecutedStatements,
        recorder: Recorder,
    ) -> Host {
        Host(Arc::new(Inner {
            number,
            address,
            primary: AtomicBool::new(number < plan.groups),
            position_at_switch: AtomicU64::new(0),
            work: Duration::from_millis(plan.work_ms),
            in_pieces: plan.pieces,
            faults: Mutex::default(),
            executed,
            recorder,
        }))
    }

    pub fn is_primary(&self) -> bool {
        self.0.primary.load(SeqCst)
    }

    /// Makes the host primary or replica of its group.
    pub fn set_primary(&self, primary: bool) {
        self.0.position_at_switch.store(self.position(), SeqCst);
        self.0.primary.store(primary, SeqCst);
    }

    /// Serves an accepted connection on a thread of its own.
    pub fn serve_connection(&self, stream: TcpStream) {
        let host = self.clone();
        workers::run(move || {
            let _ = host.serve(&stream);
            let _ = stream.shutdown(Shutdown::Both);
        });
    }

    pub fn address(&self) -> SocketAddr {
        self.0.address
    }

    fn set_fault(&self, ms: u64, fault: impl FnOnce(&mut ActiveFaults, f64)) {
        let until = self.0.recorder.now() + ms as f64 / 1e3;
        fault(&mut self.0.faults.lock().expect("the lock of the faults is not poisoned"), until);
    }

    pub fn hang(&self, ms: u64) {
        self.set_fault(ms, |faults, until| faults.hangs_until = until);
    }

    pub fn go_down(&self, ms: u64) {
        self.set_fault(ms, |faults, until| faults.down_until = until);
    }

    pub fn reset(&self, ms: u64) {
        self.set_fault(ms, |faults, until| faults.resets_until = until);
    }

    pub fn reject_statements(&self, ms: u64) {
        self.set_fault(ms, |faults, until| faults.rejects_until = until);
    }

    fn is_active(&self, fault: impl Fn(&ActiveFaults) -> f64) -> bool {
        self.0.recorder.now() < fault(&self.0.faults.lock().expect("the lock of the faults is not poisoned"))
    }

    pub fn is_down(&self) -> bool {
        self.is_active(|faults| faults.down_until)
    }

    fn serve(&self, mut stream: &TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
        let (mut buf, mut bytes, mut greeted) = (Vec::new(), [0; 8192], false);
        loop {
            if self.is_down() || self.0.recorder.is_over() {
                return Ok(());
            }
            match stream.read(&mut bytes) {
                Ok(0) => return Ok(()),
                Ok(n) => buf.extend_from_slice(&bytes[..n]),
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => continue,
                Err(e) => return Err(e),
            }
            let to_io_error = |e: pg::BadFrame| io::Error::other(e.0);
            if !greeted {
                let Some((_, length)) = pg::startup(&buf).map_err(to_io_error)? else { continue };
                buf.drain(..length);
                greeted = true;
                let mut out = Vec::new();
                pg::startup_response(&mut out);
                self.send(stream, &out)?;
            }
            while let Some((tag, body)) = pg::frame(&buf).map_err(to_io_error)? {
                let text = String::from_utf8_lossy(&buf[body.clone()]).into_owned();
                buf.drain(..body.end);
                if tag != b'Q' || !self.answer(stream, &text)? {
                    return Ok(());
                }
            }
        }
    }

    /// Answers a statement; `false` where the connection is to be closed.
    fn answer(&self, stream: &TcpStream, text: &str) -> io::Result<bool> {
        let mut out = Vec::new();
        if text.starts_with("SHOW") {
            self.write_row(&mut out);
            return self.send(stream, &out).map(|()| true);
        }
        let is_rejecting = self.is_active(|faults| faults.rejects_until);
        let is_misrouted = !self.is_primary() && text.contains("INSERT");
        let ran = !is_rejecting && !is_misrouted && !self.is_repeat(text);
        self.0.recorder.record_arrival(Arrival {
            id: field(text, "id").unwrap_or_default().to_string(),
            host: self.0.number,
            at: self.0.recorder.now(),
            told: field(text, "d").and_then(|d| d.parse::<f64>().ok()).map(|ms| ms / 1e3),
            ran,
        });
        if is_rejecting {
            pg::error(&mut out, false, "53300", "turned away", None);
            self.finish_answer(&mut out);
            return self.send(stream, &out).map(|()| true);
        }
        if is_misrouted {
            pg::error(&mut out, false, "25006", "this is a replica", None);
            self.finish_answer(&mut out);
            return self.send(stream, &out).map(|()| true);
        }
        thread::sleep(self.0.work);
        while self.is_active(|faults| faults.hangs_until) && !self.is_down() && !self.0.recorder.is_over() {
            thread::sleep(POLL_INTERVAL);
        }
        self.write_row(&mut out);
        if self.is_active(|faults| faults.resets_until) {
            self.send(stream, &out[..out.len() / 2])?;
            return Ok(false);
        }
        if self.is_down() {
            return Ok(false);
        }
        self.send(stream, &out).map(|()| true)
    }

    /// Whether this is a repeat that the group drops; otherwise records the execution.
    fn is_repeat(&self, text: &str) -> bool {
        if field(text, "c") != Some("once") {
            return false;
        }
        let now = self.0.recorder.now();
        let mut executed = self.0.executed.lock().expect("the lock of the repeats is not poisoned");
        let id = field(text, "id").unwrap_or_default().to_string();
        let dropped = executed.get(&id).is_some_and(|executed_at| now < executed_at + DEDUP_WINDOW_S);
        if !dropped {
            executed.insert(id, now);
        }
        dropped
    }

    /// Its log position in Unix milliseconds; answers return it as their value and as their position.
    fn position(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let position = now - if self.is_primary() { 0 } else { LAG_MS };
        position.max(self.0.position_at_switch.load(SeqCst))
    }

    fn write_row(&self, out: &mut Vec<u8>) {
        let position = self.position().to_string();
        let value = position.as_bytes();
        pg::write_frame(out, b'T', &[b"\0\x01payload\0", &[0; 18]]);
        pg::write_frame(out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes(), value]);
        pg::write_frame(out, b'C', &[b"SELECT 1\0"]);
        self.finish_answer(out);
    }

    fn finish_answer(&self, out: &mut Vec<u8>) {
        let mode: &[u8] = if self.is_primary() { b"read-write" } else { b"read-only" };
        pg::write_frame(out, b'S', &[b"mode\0", mode, b"\0"]);
        pg::write_frame(out, b'S', &[b"timeline\0", b"1\0"]);
        pg::write_frame(out, b'S', &[b"wal_time\0", self.position().to_string().as_bytes(), b"\0"]);
        pg::ready(out);
    }

    fn send(&self, mut stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
        if !self.0.in_pieces {
            return stream.write_all(bytes);
        }
        for piece in bytes.chunks(23) {
            stream.write_all(piece)?;
            thread::yield_now();
        }
        Ok(())
    }
}

/// A field of the comment that precedes a statement.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.split_once("/*")?.1.split_once("*/")?.0;
    let pairs = comment.split(',').filter_map(|pair| pair.trim().split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
}

/// The names of all hosts, as in lists.
pub fn names(hosts: usize) -> BTreeSet<String> {
    (0..hosts).map(name).collect()
}

/// The name of a host.
pub fn name(number: usize) -> String {
    format!("s-{number}")
}
