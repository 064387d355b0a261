//! Follows the host list by a watch on discovery and sends each change to the dispatcher. After any error the list
//! is kept and the watch is reopened from the last index.
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

/// The address of discovery's agent and the watch that is open there. A new configuration can name another address.
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

    /// Sets a new address and ends a watch of the previous one, which would stay open without news for a while.
    pub fn moved(&self, address: SocketAddr) {
        let mut held = self.held();
        if held.0 != address {
            held.0 = address;
            if let Some(watch) = held.1.take() {
                let _ = watch.shutdown(Shutdown::Both);
            }
        }
    }

    /// Records the open watch; `false` where the address has changed since `stream` was dialled.
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
    /// Random pauses between watches, where the local configuration file turns them on.
    pub returning: Option<ListBackoff>,
    /// The longest pause after refused requests.
    pub longest_pause: Duration,
    pub chance: Rand32,
    /// Dropped once the first list has arrived or the first request has failed.
    pub first: Option<MailboxSender<()>>,
}

/// Prefix of the error message of a request that discovery answered with a status other than 200.
const REFUSED: &str = "refused with status ";

/// Discovery sends something, if only an empty line, every 2 s, and a change counts as received 6 s after it was
/// announced: a line that is late by half a period is no longer a delay, and this leaves time to reconnect.
const SILENCE: Duration = Duration::from_secs(3);
/// Connect timeout. The agent is on this machine, where a connection is established at once or not at all; the list
/// of a new agent counts as received 4 s after the new configuration.
const DIAL: Duration = Duration::from_secs(1);
/// How soon a new address is noticed while the watch of the previous one goes on.
const MOVED_LOOK: Duration = Duration::from_millis(500);
/// Approximate pause between requests: the agent is on this machine and requests are cheap, but a loop must not
/// spin.
pub const PAUSE: Duration = Duration::from_millis(200);
/// Bytes of an incomplete list that count as a sign of life from discovery: a long list may take longer to arrive
/// than the silence limit.
const PROGRESS: usize = 64 * 1024;
const MOST_CAUSES: usize = 256;
/// Enough for an indented list of thousands of hosts. Longer input is not a list, and parsing it would take ten
/// times as much memory.
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
            // Pauses grow with each refusal, as a discovery that refuses is overloaded, up to the longest time that
            // a request may wait.
            refused = if why.starts_with(REFUSED) { refused + 1 } else { 0 };
            self.first = None;
            if self.agent.address() == address {
                self.complain(why, "the list is kept");
                self.pause(address, self.longest_pause.min(PAUSE * 2u32.pow(refused.min(8))));
            }
        }
    }

    /// Waits for about `pause`, randomised: hundreds of routers are refused at the same time, and would return at
    /// the same time. A new address ends the wait.
    fn pause(&mut self, address: SocketAddr, pause: Duration) {
        let spread = pause.mul_f64(0.5 + f64::from(self.chance.rand_float()));
        let again = self.returning.as_mut().map_or(spread, |l| Duration::from_secs_f64(l.next_delay()));
        let until = Instant::now() + again;
        while Instant::now() < until && self.agent.address() == address {
            thread::sleep(PAUSE.min(until.saturating_duration_since(Instant::now())));
        }
    }

    /// Warns once per cause, or an agent that stays away would fill the log. The set of causes is cleared when it
    /// is full, to bound its memory.
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
        // Only complete items and long stretches of bytes count as a sign of life: a trickle of bytes would hide a
        // silence.
        let (mut heard, mut long_from) = (Instant::now(), PROGRESS);
        loop {
            if self.agent.address() != address {
                // The stream could not be cloned, so the change of address could not end the watch.
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

    /// Takes all complete lists and empty lines that have arrived; `false` where there was neither.
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
        // Whoever waits for the first list need not wait any longer.
        self.first = None;
        Ok(())
    }
}

/// The length of a response's head and whether its body is chunked; `None` until the head is complete.
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

/// Decodes the body: tracks the bytes left of the current chunk, its closing line included.
pub struct Chunks {
    chunked: bool,
    left: usize,
    pub end: bool,
}

impl Chunks {
    pub fn new(chunked: bool) -> Self {
        Chunks { chunked, left: 0, end: false }
    }

    /// Moves the content in `buf` to `content`, and keeps incomplete framing for later.
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
