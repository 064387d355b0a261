//! The discovery agent without its sockets: the host catalog, the delay of its changes, and the HTTP requests and
//! responses. The agents of all routers share one catalog; each watch has its own position in it.
use sandstile_fleet::Readiness;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// One host in the discovery list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub machine: String,
    pub group: String,
    pub readiness: Readiness,
    /// Unix seconds; 0 for long ago.
    pub since: f64,
    pub primary: bool,
}

impl Entry {
    fn json(&self, address: SocketAddr) -> serde_json::Value {
        let status = match self.readiness {
            Readiness::Active => "active",
            Readiness::Leaving => "leaving",
            Readiness::Left => "left",
        };
        let group =
            self.group.parse::<u64>().map_or_else(|_| self.group.clone().into(), serde_json::Value::from);
        serde_json::json!({
            "name": self.name, "address": address.to_string(), "zone": self.zone, "type": self.machine,
            "group": group, "status": status, "weight": 1.0, "since_ms": (self.since * 1000.0).floor(),
            "mode": if self.primary { "read-write" } else { "read-only" },
        })
    }
}

/// The host list as known to the agents.
#[derive(Default)]
pub struct Catalog {
    index: u64,
    entries: BTreeMap<String, (u64, Entry)>,
    /// Changes that have not reached the agents yet, in the order in which they were made and will arrive.
    pending_changes: VecDeque<(f64, Entry)>,
}

impl Catalog {
    /// Schedules a change. It reaches the agents at `at`, but not before the changes scheduled earlier.
    pub fn schedule_change(&mut self, at: f64, entry: Entry) {
        let effective_at = self.pending_changes.back().map_or(at, |(before, _)| before.max(at));
        self.pending_changes.push_back((effective_at, entry));
    }

    pub fn next_change_at(&self) -> Option<f64> {
        self.pending_changes.front().map(|(at, _)| *at)
    }

    /// Applies the next change due by `now` and returns it with its index.
    pub fn apply_next(&mut self, now: f64) -> Option<(u64, Entry)> {
        self.pending_changes.front().filter(|(at, _)| *at <= now)?;
        let (_, entry) = self.pending_changes.pop_front()?;
        self.index += 1;
        self.entries.insert(entry.name.clone(), (self.index, entry.clone()));
        Some((self.index, entry))
    }

    pub fn index(&self) -> u64 {
        self.index
    }

    /// The full list without hosts that have left; `address_of` gives the address at which the requester finds a host.
    pub fn full_list(&self, address_of: &dyn Fn(&Entry) -> SocketAddr) -> String {
        let listed = self.entries.values().filter(|(_, e)| e.readiness != Readiness::Left);
        list_json(self.index, true, listed.map(|(_, e)| e), address_of)
    }

    /// The changes after this index; `None` if there are none.
    pub fn changes_since(
        &self,
        index: u64,
        address_of: &dyn Fn(&Entry) -> SocketAddr,
    ) -> Option<(String, Vec<Entry>)> {
        let changed: Vec<&Entry> =
            self.entries.values().filter(|(at, _)| *at > index).map(|(_, e)| e).collect();
        let text = list_json(self.index, false, changed.iter().copied(), address_of);
        (!changed.is_empty()).then(|| (text, changed.into_iter().cloned().collect()))
    }

    /// An empty list of changes.
    pub fn unchanged_list(&self) -> String {
        list_json(self.index, false, std::iter::empty(), &|e| e.address)
    }

    /// All entries, including those of hosts that have left.
    pub fn all_entries(&self) -> Vec<Entry> {
        self.entries.values().map(|(_, e)| e.clone()).collect()
    }
}

fn list_json<'a>(
    index: u64,
    snapshot: bool,
    entries: impl Iterator<Item = &'a Entry>,
    address_of: &dyn Fn(&Entry) -> SocketAddr,
) -> String {
    let endpoints: Vec<serde_json::Value> = entries.map(|e| e.json(address_of(e))).collect();
    serde_json::json!({"index": index, "snapshot": snapshot, "endpoints": endpoints}).to_string()
}

/// A request of a router to its agent.
#[derive(Debug, PartialEq, Eq)]
pub enum AgentRequest {
    FullList,
    /// Watch changes from this index on.
    Watch(u64),
    Unknown,
}

/// Parses a request; returns it with its length, or `None` until its head is complete.
pub fn parse_request(buf: &[u8]) -> Result<Option<(AgentRequest, usize)>, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut request = httparse::Request::new(&mut headers);
    let length = match request.parse(buf) {
        Err(_) => return Err("malformed HTTP request"),
        Ok(httparse::Status::Partial) if buf.len() > 8192 => {
            return Err("HTTP request head exceeds 8192 bytes")
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Ok(httparse::Status::Complete(length)) => length,
    };
    let path = request.path.unwrap_or("");
    let (path, query) = path.split_once('?').unwrap_or((path, ""));
    let value = |name: &str| query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
    let parsed = match (request.method, path, value("follow")) {
        (Some("GET"), "/catalog/members", Some("1")) => {
            AgentRequest::Watch(value("since").and_then(|n| n.parse().ok()).unwrap_or(0))
        }
        (Some("GET"), "/catalog/members", _) => AgentRequest::FullList,
        _ => AgentRequest::Unknown,
    };
    Ok(Some((parsed, length)))
}

pub fn http_response(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len())
        .into_bytes()
}

pub const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
pub const WATCH_HEADERS: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One line of a watch as an HTTP chunk; an empty line is a keepalive.
pub fn watch_chunk(line: &str) -> Vec<u8> {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1).into_bytes()
}
