//! Asks a running router over its control socket, and lays out what it says.
use sandstile_replicated_state::stored::{self, FileContents};
use serde_json::Value;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::os::unix::fs::FileTypeExt;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(3);
/// A thousand members take a quarter of this.
const MOST: u64 = 4 << 20;

/// What the router behind this socket says. The message is one line.
pub fn members(socket: &Path) -> Result<Value, String> {
    let told = |e: std::io::Error| format!("{}: {e}", socket.display());
    let stream = UnixStream::connect(socket).map_err(told)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    let mut text = String::new();
    stream.take(MOST).read_to_string(&mut text).map_err(told)?;
    serde_json::from_str(&text).map_err(|e| format!("{}: {e}", socket.display()))
}

/// `now` in Unix seconds.
pub fn table(said: &Value, now: f64) -> String {
    let text = |v: &Value| v.as_str().unwrap_or("-").to_string();
    let version = |v: &Value| v.as_f64().map_or("-".to_string(), |n| format!("{n:.0}"));
    let mut out = format!(
        "{} sees {} others: {} for {:.1} s, view {}, {} suspects, {} dead, {} see another, {} share the hosts\n",
        text(&said["name"]),
        version(&said["there"]),
        text(&said["view"]),
        said["holds_for_s"].as_f64().unwrap_or(0.0),
        text(&said["digest"]),
        version(&said["suspects"]),
        version(&said["dead"]),
        version(&said["differing"]),
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
            version(&m["life"]),
            text(&m["address"]),
            m["round_trip_ms"].as_f64().map_or("-".to_string(), |ms| format!("{ms:.2}")),
            version(&m["version"]),
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

/// Copies are no longer than this.
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

/// The facts of a running router, by its socket, or of a file. The message is one line.
pub fn facts(path: &Path) -> Result<FileContents, String> {
    let bytes = match is_socket(path)? {
        true => asked(path, "facts")?,
        false => std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?,
    };
    let found = stored::read(&bytes);
    match found.generation {
        Some(_) => Ok(found),
        None => Err(format!("{}: no copy of kept state", path.display())),
    }
}

/// How a router's kept state stands at `now`, as it says itself, or what a file holds.
pub fn state(path: &Path, now: f64) -> Result<String, String> {
    if is_socket(path)? {
        // What is two seconds old has come to all by now, or something is wrong.
        let bytes = asked(path, &format!("summary {:.3}", now - 2.0))?;
        return Ok(String::from_utf8_lossy(&bytes).into_owned());
    }
    let found = facts(path)?;
    let mut kinds = std::collections::BTreeMap::<&str, usize>::new();
    let facts = sandstile_replicated_state::differ::merge_by_key(&found.facts);
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
