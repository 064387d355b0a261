//! A stand-in for the discovery agent. It serves lists of hosts to watches, and can fall silent or reset them.
use crate::host;
use crate::record::{Recorder, RunEvent};
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Seconds for which new watches get the whole list after a reset that asked for it.
const WHOLE_LIST_S: f64 = 1.0;
/// Seconds between empty lines to a watch while nothing changes.
const HEARTBEAT_S: f64 = 2.0;

#[derive(Clone, Debug)]
struct Entry {
    address: SocketAddr,
    group: usize,
    zone: &'static str,
    primary: bool,
    leaving: bool,
    since_ms: u128,
    /// The version of the list in which the entry last changed.
    index: u64,
}

#[derive(Debug, Default)]
struct State {
    entries: Vec<Entry>,
    index: u64,
    silent_until: f64,
    resets: u64,
    /// Watches that begin before this time get the whole list.
    whole_until: f64,
}

/// Handle to the running agent.
#[derive(Clone)]
pub struct Agent {
    state: Arc<Mutex<State>>,
    recorder: Recorder,
}

impl Agent {
    /// Host `n` belongs to group `n % groups`; the first host of each group is its primary.
    pub fn start(
        address: SocketAddr,
        hosts: &[SocketAddr],
        groups: usize,
        recorder: Recorder,
    ) -> io::Result<Agent> {
        let entry = |(n, address): (usize, &SocketAddr)| Entry {
            address: *address,
            group: n % groups,
            zone: "a",
            primary: n < groups,
            leaving: false,
            since_ms: 0,
            index: 1,
        };
        let entries = hosts.iter().enumerate().map(entry).collect();
        let state = Arc::new(Mutex::new(State { entries, index: 1, ..State::default() }));
        let agent = Agent { state, recorder };
        let listener = TcpListener::bind(address)?;
        let served = agent.clone();
        listener.set_nonblocking(true)?;
        thread::spawn(move || {
            while !served.recorder.is_over() {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(POLL_INTERVAL);
                    continue;
                };
                let agent = served.clone();
                thread::spawn(move || agent.serve(&stream));
            }
        });
        Ok(agent)
    }

    /// The whole list, in the form of the `known` setting of a router's configuration.
    pub fn known(&self) -> String {
        list(&self.state.lock().expect("the lock of the state is not poisoned"), 0)
    }

    fn change(&self, host: usize, event: RunEvent, change: impl FnOnce(&mut Entry)) {
        let mut state = self.state.lock().expect("the lock of the state is not poisoned");
        state.index += 1;
        let index = state.index;
        let entry = &mut state.entries[host];
        entry.index = index;
        change(entry);
        let notified_in = state.silent_until - self.recorder.now();
        let recorder = self.recorder.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs_f64(notified_in.max(0.0)));
            recorder.record_event(event);
        });
    }

    pub fn drain(&self, host: usize) {
        self.change(host, RunEvent::HostDrains { host }, |entry| entry.leaving = true);
    }

    /// The host has just restarted and takes statements.
    pub fn restarted(&self, host: usize) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
        self.change(host, RunEvent::HostCold { host }, |entry| {
            (entry.since_ms, entry.leaving) = (now, false);
        });
    }

    pub fn fall_silent(&self, ms: u64) {
        let until = self.recorder.now() + ms as f64 / 1e3;
        self.state.lock().expect("the lock of the state is not poisoned").silent_until = until;
    }

    pub fn reset_watches(&self) {
        self.state.lock().expect("the lock of the state is not poisoned").resets += 1;
    }

    /// Resets all watches; those that follow get the whole list.
    pub fn send_whole_list(&self) {
        let until = self.recorder.now() + WHOLE_LIST_S;
        let mut state = self.state.lock().expect("the lock of the state is not poisoned");
        (state.resets, state.whole_until) = (state.resets + 1, until);
    }

    /// Moves a host to another zone: a change of the list that doesn't affect where statements can go.
    pub fn change_zone(&self, host: usize) {
        let mut state = self.state.lock().expect("the lock of the state is not poisoned");
        state.index += 1;
        let index = state.index;
        let entry = &mut state.entries[host];
        entry.index = index;
        entry.zone = if entry.zone == "a" { "b" } else { "a" };
    }

    fn serve(&self, mut stream: &TcpStream) {
        let Some(mut sent_index) = self.requested_index(stream) else { return };
        let resets = {
            let state = self.state.lock().expect("the lock of the state is not poisoned");
            if self.recorder.now() < state.whole_until {
                sent_index = 0;
            }
            state.resets
        };
        let (mut greeted, mut sent_at) = (false, self.recorder.now());
        loop {
            thread::sleep(POLL_INTERVAL);
            let now = self.recorder.now();
            let text = {
                let state = self.state.lock().expect("the lock of the state is not poisoned");
                if state.resets != resets || self.recorder.is_over() {
                    return;
                }
                if now < state.silent_until {
                    continue;
                }
                let text = match state.index > sent_index || !greeted {
                    true => Some(list(&state, sent_index)),
                    false => (now >= sent_at + HEARTBEAT_S).then(|| "\n".to_string()),
                };
                sent_index = state.index;
                text
            };
            let Some(text) = text else { continue };
            let head = if greeted { "" } else { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" };
            let chunk = format!("{head}{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return;
            }
            (greeted, sent_at) = (true, now);
        }
    }

    /// The version that a watch starts from; `None` where the request is malformed.
    fn requested_index(&self, mut stream: &TcpStream) -> Option<u64> {
        stream.set_nonblocking(false).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let (mut head, mut byte) = (Vec::new(), [0]);
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        let text = String::from_utf8(head).ok()?;
        let since = text.split_once("since=").map_or("0", |(_, rest)| rest);
        since.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
    }
}

/// The entries that changed after version `since`; all of them for 0.
fn list(state: &State, since: u64) -> String {
    let mut entries = String::new();
    for (number, entry) in state.entries.iter().enumerate().filter(|(_, e)| e.index > since) {
        let comma = if entries.is_empty() { "" } else { "," };
        let (status, mode) = (
            if entry.leaving { "leaving" } else { "active" },
            if entry.primary { "read-write" } else { "read-only" },
        );
        let _ = write!(
            entries,
            r#"{comma}{{"name":"{}","address":"{}","zone":"{}","type":"m","group":{},"status":"{status}","weight":1.0,"since_ms":{},"mode":"{mode}"}}"#,
            host::name(number),
            entry.address,
            entry.zone,
            entry.group + 1,
            entry.since_ms,
        );
    }
    format!("{{\"index\":{},\"snapshot\":{},\"endpoints\":[{entries}]}}\n", state.index, since == 0)
}
