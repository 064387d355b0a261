//! The list's actor: follows discovery by a watch and hands each change to the desk. Whatever breaks, the
//! list stands and the watch is opened again from where it was.
use crate::counters::Counters;
use crate::known_hosts::KnownList;
use crate::list_stream::{Heard, ListStream};
use crate::lists;
use crate::mailbox::MailboxSender;
use oorandom::Rand32;
use sandstile_dispatcher::HostListUpdate;
use sandstile_restart_pacing::ListBackoff;
use serde_json::Value;
use slog::{debug, info, warn, Logger};
use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Where discovery answers, and the watch that is open there. A new configuration can name another address.
pub struct DiscoveryAgent(Mutex<(SocketAddr, Option<TcpStream>)>);

impl DiscoveryAgent {
    pub fn at(address: SocketAddr) -> Arc<DiscoveryAgent> {
        Arc::new(DiscoveryAgent(Mutex::new((address, None))))
    }

    fn held(&self) -> MutexGuard<'_, (SocketAddr, Option<TcpStream>)> {
        self.0.lock().expect("no thread panics under the lock")
    }

    fn address(&self) -> SocketAddr {
        self.held().0
    }

    /// Ends a watch of the former address, which would stay open and tell nothing new for a while yet.
    pub fn moved(&self, address: SocketAddr) {
        let mut held = self.held();
        if held.0 != address {
            held.0 = address;
            if let Some(watch) = held.1.take() {
                let _ = watch.shutdown(Shutdown::Both);
            }
        }
    }

    /// `false` where the address has changed since `stream` was dialled.
    fn watched(&self, address: SocketAddr, stream: &TcpStream) -> bool {
        let mut held = self.held();
        held.1 = stream.try_clone().ok();
        held.0 == address
    }
}

pub struct Watcher {
    pub agent: Arc<DiscoveryAgent>,
    pub index: u64,
    pub known: KnownList,
    pub dispatcher: MailboxSender<HostListUpdate>,
    pub counters: Arc<Counters>,
    pub log: Logger,
    pub told: BTreeSet<String>,
    /// The spread of pauses between watches, where our own file turns that on.
    pub returning: Option<ListBackoff>,
    /// Seconds between calls that are refused, at the most.
    pub longest_pause: Duration,
    pub chance: Rand32,
    /// Dropped once discovery has told a list, or the first call to it has come to nothing.
    pub first: Option<MailboxSender<()>>,
}

/// How the ending of a call begins that discovery answered with a status of its own.
const REFUSED: &str = "refused with status ";

/// Discovery says something, if only an empty line, every 2 s, and what it has to tell counts as told after 6
/// s: one line that is late by half is no delay any more, and leaves time to ask again.
const SILENCE: Duration = Duration::from_secs(3);
/// The agent is on this machine, where a connection comes up at once or not at all; what a new one has to tell
/// counts as told 4 s after the new configuration.
const DIAL: Duration = Duration::from_secs(1);
/// A new address is seen by then, though the watch of the former one goes on.
const MOVED_LOOK: Duration = Duration::from_millis(500);
/// About so long between calls: the agent is on this machine and answers for free, but a loop must not spin.
pub const PAUSE: Duration = Duration::from_millis(200);
/// Bytes of one list that count as a word from discovery: a long one may take longer to come than a silence.
const PROGRESS: usize = 64 * 1024;
const MOST_CAUSES: usize = 256;
/// A list of thousands of hosts, indented; what is longer is no list, and read it would take ten times as much memory.
const MOST_LIST: usize = 4 * 1024 * 1024;

impl Watcher {
    pub fn run(mut self) {
        let mut refused = 0;
        loop {
            let address = self.agent.address();
            let why = match self.watch(address) {
                Ok(()) => "the watch ended".to_string(),
                Err(why) => why,
            };
            // What refuses one call refuses the next ones the more: pauses grow, as far as asking may wait.
            refused = if why.starts_with(REFUSED) { refused + 1 } else { 0 };
            self.first = None;
            if self.agent.address() == address {
                self.complain(why, "the list is kept");
                self.pause(address, self.longest_pause.min(PAUSE * 2u32.pow(refused.min(8))));
            }
        }
    }

    /// Waits for about so long: hundreds of routers are refused alike, and would come back alike. A new address
    /// ends it.
    fn pause(&mut self, address: SocketAddr, pause: Duration) {
        let spread = pause.mul_f64(0.5 + f64::from(self.chance.rand_float()));
        let again = self.returning.as_mut().map_or(spread, |l| Duration::from_secs_f64(l.next_delay()));
        let until = Instant::now() + again;
        while Instant::now() < until && self.agent.address() == address {
            thread::sleep(PAUSE.min(until.saturating_duration_since(Instant::now())));
        }
    }

    /// Once per cause, or an agent that stays away would fill the log; and not for ever, or causes would the
    /// memory.
    fn complain(&mut self, why: String, so: &str) {
        debug!(self.log, "discovery: {why}");
        if self.told.len() >= MOST_CAUSES {
            self.told.clear();
        }
        if !self.told.contains(&why) {
            warn!(self.log, "discovery: {why}; {so}"; "index" => self.index);
            self.told.insert(why);
        }
    }

    fn watch(&mut self, address: SocketAddr) -> Result<(), String> {
        self.counters.watches.add();
        let mut stream = TcpStream::connect_timeout(&address, DIAL).map_err(|e| format!("connect: {e}"))?;
        if !self.agent.watched(address, &stream) {
            return Ok(());
        }
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let ask = format!(
            "GET /catalog/members?follow=1&since={} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n",
            self.index
        );
        stream.write_all(ask.as_bytes()).map_err(|e| format!("ask: {e}"))?;
        let mut buf = Vec::new();
        let mut chunks = None;
        let mut lists = ListStream::default();
        let mut bytes = [0; 16 * 1024];
        // Only what is whole counts as heard, and what is long: bytes that drip would hide a silence.
        let (mut heard, mut long_from) = (Instant::now(), PROGRESS);
        loop {
            if self.agent.address() != address {
                // The watch could not be ended from outside: its copy may not have been to be had.
                return Ok(());
            }
            let left = SILENCE.saturating_sub(heard.elapsed());
            if left.is_zero() {
                return Err(format!("silent for {} s", SILENCE.as_secs()));
            }
            stream.set_read_timeout(Some(left.min(MOVED_LOOK))).map_err(|e| e.to_string())?;
            let got = match stream.read(&mut bytes) {
                Ok(0) => return Ok(()),
                Ok(got) => got,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(e) => return Err(format!("read: {e}")),
            };
            buf.extend_from_slice(&bytes[..got]);
            if chunks.is_none() {
                let head = head(&buf).inspect_err(|_| self.counters.bad_lists.add())?;
                let Some((length, chunked)) = head else { continue };
                buf.drain(..length);
                chunks = Some(Chunks::new(chunked));
            }
            let chunks = chunks.as_mut().expect("set above");
            chunks.take(&mut buf, lists.content()).inspect_err(|_| self.counters.bad_lists.add())?;
            if self.take_lists(&mut lists)? {
                (heard, long_from) = (Instant::now(), PROGRESS);
            } else if lists.held() >= long_from {
                (heard, long_from) = (Instant::now(), lists.held() + PROGRESS);
            }
            if lists.held() > MOST_LIST {
                return Err("a list without an end".to_string());
            }
            if chunks.end {
                return Ok(());
            }
        }
    }

    /// Takes each whole list and each empty line of what has come; `false` where there was neither.
    fn take_lists(&mut self, lists: &mut ListStream) -> Result<bool, String> {
        let mut any = false;
        loop {
            let heard = lists.take().map_err(|e| {
                self.counters.bad_lists.add();
                e.to_string()
            })?;
            match heard {
                Some(Heard::EmptyLine) => {}
                Some(Heard::List(json)) => self.list(&json)?,
                None => break,
            }
            any = true;
        }
        if let Some(lists) = self.returning.as_mut().filter(|_| any) {
            lists.reset();
        }
        Ok(any)
    }

    fn list(&mut self, json: &Value) -> Result<(), String> {
        let (update, wrong) = lists::read(json).inspect_err(|_| self.counters.bad_lists.add())?;
        if let Some(what) = wrong {
            self.counters.bad_lists.add();
            self.complain(what, "the rest is taken");
        }
        self.counters.lists.add();
        let entries = update.entries.len();
        info!(self.log, "list"; "index" => update.index, "whole" => update.is_snapshot, "entries" => entries);
        self.index = update.index;
        let is_snapshot = update.is_snapshot;
        for piece in self.known.changes(update) {
            for entry in piece.entries.iter().filter(|_| !is_snapshot) {
                info!(self.log, "listed as {:?}", entry.readiness; "host" => &entry.host, "since" => entry.since);
            }
            self.dispatcher.send(piece);
        }
        // Told: whoever waits for a first word from discovery need not wait on.
        self.first = None;
        Ok(())
    }
}

/// The length of an answer's head and whether chunks follow; `None` until it is whole.
fn head(buf: &[u8]) -> Result<Option<(usize, bool)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buf).map_err(|e| format!("answer: {e}"))? {
        httparse::Status::Partial if buf.len() > 16 * 1024 => Err("a head without an end".to_string()),
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(_) if response.code != Some(200) => {
            Err(format!("{REFUSED}{}", response.code.unwrap_or(0)))
        }
        httparse::Status::Complete(length) => {
            let coding = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case("transfer-encoding"));
            Ok(Some((length, coding.is_some_and(|h| h.value.eq_ignore_ascii_case(b"chunked")))))
        }
    }
}

/// The body's coding: bytes that are left of the present chunk, its closing line among them.
pub struct Chunks {
    chunked: bool,
    left: usize,
    pub end: bool,
}

impl Chunks {
    pub fn new(chunked: bool) -> Self {
        Chunks { chunked, left: 0, end: false }
    }

    /// Moves what `buf` holds of the content to `content`, and keeps the rest for later.
    pub fn take(&mut self, buf: &mut Vec<u8>, content: &mut Vec<u8>) -> Result<(), String> {
        if !self.chunked {
            content.append(buf);
            return Ok(());
        }
        while !self.end && !buf.is_empty() {
            if self.left == 0 {
                match httparse::parse_chunk_size(buf).map_err(|_| "chunk size".to_string())? {
                    httparse::Status::Partial if buf.len() > 64 => return Err("chunk size".to_string()),
                    httparse::Status::Partial => return Ok(()),
                    httparse::Status::Complete((length, size)) => {
                        buf.drain(..length);
                        self.end = size == 0;
                        self.left =
                            usize::try_from(size).ok().and_then(|n| n.checked_add(2)).ok_or("chunk size")?;
                    }
                }
                continue;
            }
            let got = self.left.min(buf.len());
            let of_content = self.left.saturating_sub(2).min(got);
            content.extend_from_slice(&buf[..of_content]);
            buf.drain(..got);
            self.left -= got;
        }
        Ok(())
    }
}
