//! Queries a running router over its control socket and formats the answer.
use sandstile_replicated_state::stored::{self, FileContents};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// A report on a thousand members takes a quarter of this.
const MAX_REPORT_BYTES: u64 = 4 << 20;

/// The report of the router behind this socket. The error message is one line.
pub fn members(socket: &Path) -> Result<Value, String> {
    let to_message = |e: std::io::Error| format!("{}: {e}", socket.display());
    let stream = UnixStream::connect(socket).map_err(to_message)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT)).map_err(to_message)?;
    let mut text = String::new();
    stream.take(MAX_REPORT_BYTES).read_to_string(&mut text).map_err(to_message)?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", socket.display()))
}

/// Formats the report as a table; `now` is in Unix seconds.
pub fn table(report: &Value, now: f64) -> String {
    let text = |v: &Value| v.as_str().unwrap_or("-").to_string();
    let number = |v: &Value| v.as_f64().map_or("-".to_string(), |n| format!("{n:.0}"));
    let mut out = format!(
        "{} sees {} others: {} for {:.1} s, view {}, {} suspects, {} dead, {} see another, {} share the hosts\n",
        text(&report["name"]),
        number(&report["there"]),
        text(&report["view"]),
        report["holds_for_s"].as_f64().unwrap_or(0.0),
        text(&report["digest"]),
        number(&report["suspects"]),
        number(&report["dead"]),
        number(&report["differing"]),
        report["sharers"].as_f64().map_or("as configured".to_string(), |n| format!("{n:.0}")),
    );
    let headings =
        ["member", "state", "for s", "life", "address", "round trip ms", "version", "zone", "view"];
    let mut rows = vec![headings.map(str::to_string)];
    for member in report["members"].as_array().into_iter().flatten() {
        let view = match member["agrees"].as_bool() {
            Some(true) => "ours",
            Some(false) => "another",
            None => "-",
        };
        rows.push([
            text(&member["name"]),
            text(&member["state"]),
            member["since"].as_f64().map_or("-".to_string(), |at| format!("{:.1}", now - at)),
            number(&member["life"]),
            text(&member["address"]),
            member["round_trip_ms"].as_f64().map_or("-".to_string(), |ms| format!("{ms:.2}")),
            number(&member["version"]),
            text(&member["zone"]),
            view.to_string(),
        ]);
    }
    let widths: Vec<usize> =
        (0..headings.len()).map(|n| rows.iter().map(|r| r[n].len()).max().unwrap_or(0)).collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    out
}

/// The maximum length of a copy of the replicated state.
const MAX_STATE_BYTES: u64 = 1 << 30;

fn request(socket: &Path, command: &str) -> Result<Vec<u8>, String> {
    let to_message = |e: std::io::Error| format!("{}: {e}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(to_message)?;
    stream.set_read_timeout(Some(REQUEST_TIMEOUT)).map_err(to_message)?;
    stream.write_all(format!("{command}\n").as_bytes()).map_err(to_message)?;
    let mut bytes = Vec::new();
    stream.take(MAX_STATE_BYTES).read_to_end(&mut bytes).map_err(to_message)?;
    if bytes.is_empty() {
        return Err(format!("{}: nobody answers", socket.display()));
    }
    Ok(bytes)
}

fn is_socket(path: &Path) -> Result<bool, String> {
    let found = std::fs::metadata(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(found.file_type().is_socket())
}

/// The facts of a running router, by its socket, or of a file. The error message is one line.
pub fn facts(path: &Path) -> Result<FileContents, String> {
    let bytes = match is_socket(path)? {
        true => request(path, "facts")?,
        false => std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?,
    };
    let found = stored::read(&bytes);
    match found.generation {
        Some(_) => Ok(found),
        None => Err(format!("{}: not a copy of replicated state", path.display())),
    }
}

/// The status of a router's replicated state at `now`, as it reports it, or a summary of a file.
pub fn state(path: &Path, now: f64) -> Result<String, String> {
    if is_socket(path)? {
        // A fact that is two seconds old has reached all routers by now, unless something is wrong.
        let bytes = request(path, &format!("summary {:.3}", now - 2.0))?;
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    let found = facts(path)?;
    let mut kinds = std::collections::BTreeMap::<&str, usize>::new();
    let facts = sandstile_replicated_state::compare::merge_by_key(&found.facts);
    facts.keys().for_each(|key| *kinds.entry(key.kind.name()).or_default() += 1);
    let kinds: Vec<String> = kinds.iter().map(|(kind, n)| format!("{kind} {n}")).collect();
    Ok(format!(
        "{} bytes, life {}, number {}, ended in order: {}, places that can't be read: {}\n{} facts: {}\n",
        found.bytes,
        found.generation.unwrap_or(0),
        found.version,
        found.ended_cleanly,
        found.corrupt,
        facts.len(),
        kinds.join(", "),
    ))
}
