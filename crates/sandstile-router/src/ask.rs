//! Asks a running router over its control socket, and lays out what it says.
use serde_json::Value;
use std::fmt::Write as _;
use std::io::Read;
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
