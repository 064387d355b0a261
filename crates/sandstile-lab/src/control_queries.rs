//! Whom a router sees, as it says over its control socket.
use crate::trace_writer::Line;
use serde_json::Value;
use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// One that stands still says nothing, and is asked again.
const PATIENCE: Duration = Duration::from_millis(250);

#[derive(Clone, Debug, PartialEq)]
pub struct Sight {
    view: String,
    there: Vec<usize>,
    sharers: Option<f64>,
}

impl Sight {
    pub fn line(&self, number: usize) -> Line {
        Line::Sight { number, view: self.view.clone(), there: self.there.clone(), sharers: self.sharers }
    }
}

/// `None` where nobody says anything whole in time.
pub fn of(socket: &Path) -> Option<Sight> {
    let mut stream = UnixStream::connect(socket).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let said: Value = serde_json::from_str(&text).ok()?;
    let there = |m: &&Value| matches!(m["state"].as_str(), Some("alive" | "suspect"));
    let number = |m: &Value| m["name"].as_str()?.strip_prefix('n')?.parse().ok();
    let there = said["members"].as_array()?.iter().filter(there).filter_map(number).collect();
    Some(Sight { view: said["view"].as_str()?.to_string(), there, sharers: said["sharers"].as_f64() })
}

/// How the state stands that a router keeps with others, with the sum of what is older than `as_of`.
pub fn copy(socket: &Path, number: usize, as_of: f64) -> Option<Line> {
    let mut stream = UnixStream::connect(socket).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(format!("summary {as_of:.3}\n").as_bytes()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let said: Value = serde_json::from_str(&text).ok()?;
    Some(Line::Kept {
        number,
        standing: said["standing"].as_str()?.to_string(),
        facts: said["facts"].as_u64()?,
        digest: said["digest_as_of"].as_str()?.to_string(),
        as_of,
        bytes_out: said["bytes_out"].as_u64()?,
        contradictions: said["contradictions"].as_u64()?,
        old_copy: said["old_copy"].as_bool()?,
    })
}
