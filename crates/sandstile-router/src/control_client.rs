//! Queries a running router over its control socket and formats the answer.
use sandstile_replicated_state::stored::{self, Found};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(3);
/// A report on a thousand members takes a quarter of this.
const MOST: u64 = 4 << 20;

/// The report of the router behind this socket. The error message is one line.
pub fn members(socket: &Path) -> Result<Value, String> {
    let told = |e: std::io::Error| format!("{}: {e}", socket.display());
    let stream = UnixStream::connect(socket).map_err(told)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    let mut text = String::new();
    stream.take(MOST).read_to_string(&mut text).map_err(told)?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", socket.display()))
}

/// Formats the report as a table; `now` is in Unix seconds.
pub fn table(said: &Value, now: f64) -> String {
    let text = |v: &Value| v.as_str().unwrap_or("-").to_string();
    let number = |v: &Value| v.as_f64().map_or("-".to_string(), |n| format!("{n:.0}"));
    let mut out = format!(
        "{} sees {} others: {} for {:.1} s, view {}, {} suspects, {} dead, {} see another, {} share the hosts\n",
        text(&said["name"]),
        number(&said["there"]),
        text(&said["view"]),
        said["holds_for_s"].as_f64().unwrap_or(0.0),
        text(&said["digest"]),
        number(&said["suspects"]),
        number(&said["dead"]),
        number(&said["differing"]),
        said["sharers"].as_f64().map_or("as the settings have it".to_string(), |n| format!("{n:.0}")),
    );
    let head = ["member", "state", "for s", "life", "address", "round trip ms", "version", "zone", "view"];
    let mut rows = vec![head.map(str::to_string)];
    for m in said["members"].as_array().into_iter().flatten() {
        let view = match m["agrees"].as_bool() {
            Some(true) => "ours",
            Some(false) => "another",
            None => "-",
        };
        rows.push([
            text(&m["name"]),
            text(&m["state"]),
            m["since"].as_f64().map_or("-".to_string(), |at| format!("{:.1}", now - at)),
            number(&m["life"]),
            text(&m["address"]),
            m["round_trip_ms"].as_f64().map_or("-".to_string(), |ms| format!("{ms:.2}")),
            number(&m["version"]),
            text(&m["zone"]),
            view.to_string(),
        ]);
    }
    let wide: Vec<usize> =
        (0..head.len()).map(|n| rows.iter().map(|r| r[n].len()).max().unwrap_or(0)).collect();
    for row in rows {
        let cells: Vec<String> = row.iter().zip(&wide).map(|(cell, wide)| format!("{cell:<wide$}")).collect();
        let _ = writeln!(out, "{}", cells.join("  ").trim_end());
    }
    out
}

/// The maximum length of a copy of the replicated state.
const MOST_STATE: u64 = 1 << 30;

fn asked(socket: &Path, what: &str) -> Result<Vec<u8>, String> {
    let told = |e: std::io::Error| format!("{}: {e}", socket.display());
    let mut stream = UnixStream::connect(socket).map_err(told)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    stream.write_all(format!("{what}\n").as_bytes()).map_err(told)?;
    let mut bytes = Vec::new();
    stream.take(MOST_STATE).read_to_end(&mut bytes).map_err(told)?;
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
pub fn facts(path: &Path) -> Result<Found, String> {
    let bytes = match is_socket(path)? {
        true => asked(path, "facts")?,
        false => std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?,
    };
    let found = stored::read(&bytes);
    match found.life {
        Some(_) => Ok(found),
        None => Err(format!("{}: no copy of kept state", path.display())),
    }
}

/// The status of a router's replicated state at `now`, as it reports it, or a summary of a file.
pub fn state(path: &Path, now: f64) -> Result<String, String> {
    if is_socket(path)? {
        // A fact that is two seconds old has reached all routers by now, unless something is wrong.
        let bytes = asked(path, &format!("summary {:.3}", now - 2.0))?;
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    let found = facts(path)?;
    let mut kinds = std::collections::BTreeMap::<&str, usize>::new();
    let facts = sandstile_replicated_state::differ::gather(&found.facts);
    facts.keys().for_each(|key| *kinds.entry(key.kind.word()).or_default() += 1);
    let kinds: Vec<String> = kinds.iter().map(|(kind, n)| format!("{kind} {n}")).collect();
    Ok(format!(
        "{} bytes, life {}, number {}, ended in order: {}, places that can't be read: {}\n{} facts: {}\n",
        found.bytes,
        found.life.unwrap_or(0),
        found.number,
        found.ended,
        found.spoilt,
        facts.len(),
        kinds.join(", "),
    ))
}
