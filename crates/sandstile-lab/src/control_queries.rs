//! Queries to the control sockets of a router: its view of the members, and its replicated state.
use crate::trace_writer::TraceLine;
use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// A suspended router does not answer in time; the caller asks again later.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

#[derive(Clone, Debug, PartialEq)]
pub struct MembershipView {
    view: String,
    present: Vec<usize>,
    sharing_routers: Option<f64>,
}

impl MembershipView {
    pub fn trace_line(&self, number: usize) -> TraceLine {
        TraceLine::Sight {
            number,
            view: self.view.clone(),
            there: self.present.clone(),
            sharers: self.sharing_routers,
        }
    }
}

/// Reads a router's view of the members; `None` without a complete answer in time.
pub fn query_members(socket: &Path) -> Option<MembershipView> {
    let mut stream = UnixStream::connect(socket).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let response: Value = serde_json::from_str(&text).ok()?;
    let is_present = |m: &&Value| matches!(m["state"].as_str(), Some("alive" | "suspect"));
    let number = |m: &Value| m["name"].as_str()?.strip_prefix('n')?.parse().ok();
    let present = response["members"].as_array()?.iter().filter(is_present).filter_map(number).collect();
    Some(MembershipView {
        view: response["view"].as_str()?.to_string(),
        present,
        sharing_routers: response["sharers"].as_f64(),
    })
}

/// Reads a summary of a router's replicated state, with the digest of the facts older than `as_of`.
pub fn query_state(socket: &Path, number: usize, as_of: f64) -> Option<TraceLine> {
    let mut stream = UnixStream::connect(socket).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    stream.write_all(format!("summary {as_of:.3}\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let response: Value = serde_json::from_str(&text).ok()?;
    Some(TraceLine::Kept {
        number,
        standing: response["standing"].as_str()?.to_string(),
        facts: response["facts"].as_u64()?,
        digest: response["digest_as_of"].as_str()?.to_string(),
        as_of,
        bytes_out: response["bytes_out"].as_u64()?,
        contradictions: response["contradictions"].as_u64()?,
        old_copy: response["old_copy"].as_bool()?,
    })
}
