//! Follows the host list by a watch on discovery and sends each change to the dispatcher. After any error the list
//! is kept and the watch is reopened from the last index.
use crate::counters::Counters;
use crate::known_hosts::KnownHosts;
use crate::list_stream::{ListStream, WatchItem};
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

    fn lock(&self) -> MutexGuard<'_, (SocketAddr, Option<TcpStream>)> {
        self.0.lock().expect("no thread panics under the lock")
    }

    fn address(&self) -> SocketAddr {
        self.lock().0
    }

    /// Sets a new address and ends a watch of the previous one, which would stay open without changes for a
    /// while.
    pub fn set_address(&self, address: SocketAddr) {
        let mut state = self.lock();
        if state.0 != address {
            state.0 = address;
            if let Some(watch) = state.1.take() {
                let _ = watch.shutdown(Shutdown::Both);
            }
        }
    }

    /// Records the open watch; `false` where the address has changed since `stream` was dialled.
    fn set_watch(&self, address: SocketAddr, stream: &TcpStream) -> bool {
        let mut state = self.lock();
        state.1 = stream.try_clone().ok();
        state.0 == address
    }
}

pub struct Watcher {
    pub agent: Arc<DiscoveryAgent>,
    pub index: u64,
    pub known_hosts: KnownHosts,
    pub dispatcher_sender: MailboxSender<HostListUpdate>,
    pub counters: Arc<Counters>,
    pub log: Logger,
    pub reported: BTreeSet<String>,
    /// Random pauses between watches, where the local configuration file turns them on.
    pub backoff: Option<ListBackoff>,
    /// The longest pause after refused requests.
    pub max_pause: Duration,
    pub rng: Rand32,
    /// Dropped once the first list has arrived or the first request has failed.
    pub first_list: Option<MailboxSender<()>>,
}

/// Prefix of the error message of a request that discovery answered with a status other than 200.
const REFUSED_PREFIX: &str = "refused with status ";

/// Discovery sends something, if only an empty line, every 2 s, and a change counts as received 6 s after it was
/// announced: a line that is late by half a period is no longer a delay, and this leaves time to reconnect.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);
/// Connect timeout. The agent is on this machine, where a connection is established at once or not at all; the list
/// of a new agent counts as received 4 s after the new configuration.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// How soon a new address is noticed while the watch of the previous one goes on.
const ADDRESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Approximate pause between requests: the agent is on this machine and requests are cheap, but a loop must not
/// spin.
pub const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Bytes of an incomplete list that count as a sign of life from discovery: a long list may take longer to arrive
/// than the silence limit.
const PROGRESS_BYTES: usize = 64 * 1024;
const MAX_REPORTED_CAUSES: usize = 256;
/// Enough for an indented list of thousands of hosts. Longer input is not a list, and parsing it would take ten
/// times as much memory.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

impl Watcher {
    pub fn run(mut self) {
        let mut refusals = 0;
        loop {
            let address = self.agent.address();
            let cause = match self.watch(address) {
                Ok(()) => "the watch ended".to_string(),
                Err(cause) => cause,
            };
            // Pauses grow with each refusal, as a discovery that refuses is overloaded, up to the longest time that
            // a request may wait.
            refusals = if cause.starts_with(REFUSED_PREFIX) { refusals + 1 } else { 0 };
            self.first_list = None;
            if self.agent.address() == address {
                self.warn_once(cause, "the list is kept");
                self.pause(address, self.max_pause.min(RETRY_PAUSE * 2u32.pow(refusals.min(8))));
            }
        }
    }

    /// Waits for about `pause`, randomised: hundreds of routers are refused at the same time, and would return at
    /// the same time. A new address ends the wait.
    fn pause(&mut self, address: SocketAddr, pause: Duration) {
        let randomised = pause.mul_f64(0.5 + f64::from(self.rng.rand_float()));
        let wait =
            self.backoff.as_mut().map_or(randomised, |backoff| Duration::from_secs_f64(backoff.next_delay()));
        let until = Instant::now() + wait;
        while Instant::now() < until && self.agent.address() == address {
            thread::sleep(RETRY_PAUSE.min(until.saturating_duration_since(Instant::now())));
        }
    }

    /// Warns once per cause; otherwise an unreachable agent would fill the log. The set of causes is cleared when
    /// it is full, to bound its memory.
    fn warn_once(&mut self, cause: String, consequence: &str) {
        debug!(self.log, "discovery: {cause}");
        if self.reported.len() >= MAX_REPORTED_CAUSES {
            self.reported.clear();
        }
        if !self.reported.contains(&cause) {
            warn!(self.log, "discovery: {cause}; {consequence}"; "index" => self.index);
            self.reported.insert(cause);
        }
    }

    fn watch(&mut self, address: SocketAddr) -> Result<(), String> {
        self.counters.watches.add();
        let mut stream =
            TcpStream::connect_timeout(&address, DIAL_TIMEOUT).map_err(|e| format!("connect: {e}"))?;
        if !self.agent.set_watch(address, &stream) {
            return Ok(());
        }
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let request = format!(
            "GET /catalog/members?follow=1&since={} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n",
            self.index
        );
        stream.write_all(request.as_bytes()).map_err(|e| format!("send request: {e}"))?;
        let mut buffer = Vec::new();
        let mut chunks = None;
        let mut lists = ListStream::default();
        let mut bytes = [0; 16 * 1024];
        // Only complete items and long stretches of bytes count as a sign of life: a trickle of bytes would hide a
        // silence.
        let (mut last_progress, mut next_progress_at) = (Instant::now(), PROGRESS_BYTES);
        loop {
            if self.agent.address() != address {
                // The stream could not be cloned, so the change of address could not end the watch.
                return Ok(());
            }
            let silence_left = SILENCE_LIMIT.saturating_sub(last_progress.elapsed());
            if silence_left.is_zero() {
                return Err(format!("silent for {} s", SILENCE_LIMIT.as_secs()));
            }
            stream
                .set_read_timeout(Some(silence_left.min(ADDRESS_CHECK_INTERVAL)))
                .map_err(|e| e.to_string())?;
            let received = match stream.read(&mut bytes) {
                Ok(0) => return Ok(()),
                Ok(received) => received,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
                Err(e) => return Err(format!("read: {e}")),
            };
            buffer.extend_from_slice(&bytes[..received]);
            if chunks.is_none() {
                let response_head =
                    read_response_head(&buffer).inspect_err(|_| self.counters.bad_lists.add())?;
                let Some((length, chunked)) = response_head else { continue };
                buffer.drain(..length);
                chunks = Some(ChunkDecoder::new(chunked));
            }
            let chunks = chunks.as_mut().expect("set above");
            chunks.decode(&mut buffer, lists.buffer()).inspect_err(|_| self.counters.bad_lists.add())?;
            if self.take_lists(&mut lists)? {
                (last_progress, next_progress_at) = (Instant::now(), PROGRESS_BYTES);
            } else if lists.buffered_bytes() >= next_progress_at {
                (last_progress, next_progress_at) = (Instant::now(), lists.buffered_bytes() + PROGRESS_BYTES);
            }
            if lists.buffered_bytes() > MAX_LIST_BYTES {
                return Err("the list is too long".to_string());
            }
            if chunks.end {
                return Ok(());
            }
        }
    }

    /// Takes all complete lists and empty lines that have arrived; `false` where there was neither.
    fn take_lists(&mut self, lists: &mut ListStream) -> Result<bool, String> {
        let mut any_item = false;
        loop {
            let item = lists.next_item().map_err(|e| {
                self.counters.bad_lists.add();
                e.to_string()
            })?;
            match item {
                Some(WatchItem::EmptyLine) => {}
                Some(WatchItem::List(json)) => self.handle_list(&json)?,
                None => break,
            }
            any_item = true;
        }
        if let Some(backoff) = self.backoff.as_mut().filter(|_| any_item) {
            backoff.reset();
        }
        Ok(any_item)
    }

    fn handle_list(&mut self, json: &Value) -> Result<(), String> {
        let (update, problem) = lists::parse(json).inspect_err(|_| self.counters.bad_lists.add())?;
        if let Some(message) = problem {
            self.counters.bad_lists.add();
            self.warn_once(message, "the other entries are taken");
        }
        self.counters.lists.add();
        let entries = update.entries.len();
        info!(self.log, "list"; "index" => update.index, "whole" => update.is_snapshot, "entries" => entries);
        self.index = update.index;
        let is_snapshot = update.is_snapshot;
        for chunk in self.known_hosts.changes(update) {
            for entry in chunk.entries.iter().filter(|_| !is_snapshot) {
                info!(self.log, "listed as {:?}", entry.readiness; "host" => &entry.host, "since" => entry.since);
            }
            self.dispatcher_sender.send(chunk);
        }
        // Dropping the sender ends the wait for the first list.
        self.first_list = None;
        Ok(())
    }
}

/// The length of a response's head and whether its body is chunked; `None` until the head is complete.
fn read_response_head(buffer: &[u8]) -> Result<Option<(usize, bool)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    match response.parse(buffer).map_err(|e| format!("invalid answer: {e}"))? {
        httparse::Status::Partial if buffer.len() > 16 * 1024 => {
            Err("the response head is too long".to_string())
        }
        httparse::Status::Partial => Ok(None),
        httparse::Status::Complete(_) if response.code != Some(200) => {
            Err(format!("{REFUSED_PREFIX}{}", response.code.unwrap_or(0)))
        }
        httparse::Status::Complete(length) => {
            let coding = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case("transfer-encoding"));
            Ok(Some((length, coding.is_some_and(|h| h.value.eq_ignore_ascii_case(b"chunked")))))
        }
    }
}

/// Decodes the body: tracks the bytes left of the current chunk, its closing line included.
pub struct ChunkDecoder {
    chunked: bool,
    remaining: usize,
    pub end: bool,
}

impl ChunkDecoder {
    pub fn new(chunked: bool) -> Self {
        ChunkDecoder { chunked, remaining: 0, end: false }
    }

    /// Moves the content in `buf` to `content`, and keeps incomplete framing for later.
    pub fn decode(&mut self, buffer: &mut Vec<u8>, content: &mut Vec<u8>) -> Result<(), String> {
        if !self.chunked {
            content.append(buffer);
            return Ok(());
        }
        while !self.end && !buffer.is_empty() {
            if self.remaining == 0 {
                match httparse::parse_chunk_size(buffer).map_err(|_| "invalid chunk size".to_string())? {
                    httparse::Status::Partial if buffer.len() > 64 => {
                        return Err("invalid chunk size".to_string())
                    }
                    httparse::Status::Partial => return Ok(()),
                    httparse::Status::Complete((length, size)) => {
                        buffer.drain(..length);
                        self.end = size == 0;
                        self.remaining = usize::try_from(size)
                            .ok()
                            .and_then(|n| n.checked_add(2))
                            .ok_or("invalid chunk size")?;
                    }
                }
                continue;
            }
            let received = self.remaining.min(buffer.len());
            let content_length = self.remaining.saturating_sub(2).min(received);
            content.extend_from_slice(&buffer[..content_length]);
            buffer.drain(..received);
            self.remaining -= received;
        }
        Ok(())
    }
}
