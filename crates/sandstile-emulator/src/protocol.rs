//! What a host reads in a query, and the bytes of what it answers.
use sandstile_fleet::{Answer, StatementRequest};
use sandstile_pgwire as pg;

/// What a host takes a query for.
#[derive(Debug, PartialEq)]
pub enum Query {
    Statement(StatementRequest),
    /// `SHOW stats`.
    Report,
    /// `SELECT 1`.
    One,
    Empty,
    /// `SET`, `RESET` and `DISCARD`, which have no effect.
    Ignored(&'static str),
    /// 08P01.
    Unreadable,
}

pub fn read(text: &[u8], workloads: &[String]) -> Query {
    let Ok(text) = std::str::from_utf8(text) else { return Query::Unreadable };
    let plain = text.trim().trim_end_matches(';').trim();
    if plain.is_empty() {
        return Query::Empty;
    }
    let first = plain.split_whitespace().next().unwrap_or("").to_ascii_uppercase();
    match first.as_str() {
        "SET" => return Query::Ignored("SET"),
        "RESET" => return Query::Ignored("RESET"),
        "DISCARD" => return Query::Ignored("DISCARD"),
        _ => {}
    }
    if plain.eq_ignore_ascii_case("SHOW stats") {
        return Query::Report;
    }
    if plain.eq_ignore_ascii_case("SELECT 1") {
        return Query::One;
    }
    statement(plain, workloads).map_or(Query::Unreadable, Query::Statement)
}

fn statement(text: &str, workloads: &[String]) -> Option<StatementRequest> {
    let (comment, rest) = text.strip_prefix("/*")?.split_once("*/")?;
    let field = |name: &str| {
        comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=').map(str::trim))
    };
    let id = field("id").filter(|id| !id.is_empty())?;
    let workload = workloads.iter().position(|w| Some(w.as_str()) == field("c"))?;
    let wait = field("d")?.parse::<u32>().ok()?;
    let after = field("after").and_then(|ms| ms.parse::<f64>().ok()).map(|ms| ms / 1000.0);
    // The first quoted text is the key, which names the session where there is one.
    let session = rest.split('\'').nth(1).map(str::to_string);
    Some(StatementRequest { id: id.to_string(), workload, wait: f64::from(wait) / 1000.0, after, session })
}

/// The workload that part of a query names, where that much of it has come.
pub fn workload_of_part(part: &[u8], workloads: &[String]) -> Option<usize> {
    let text = String::from_utf8_lossy(part);
    let (_, from) = text.split_once("c=")?;
    let (name, _) = from.split_once([',', ' ', '*'])?;
    workloads.iter().position(|w| w == name)
}

/// The value that a host makes for a statement; it names the statement, so that nobody can take it for another's.
pub fn value(id: &str, host: &str, position: f64, bytes: usize) -> Vec<u8> {
    let mut value = format!("{id}@{host}+{}", (position * 1000.0).round()).into_bytes();
    if value.len() < bytes {
        value.resize(bytes, b'.');
    }
    value
}

/// The statement and the host that a value was made for and by, and the position it tells.
pub fn parse_value(value: &[u8]) -> Option<(&str, &str, f64)> {
    let text = std::str::from_utf8(value).ok()?;
    let (id, rest) = text.split_once('@')?;
    let (host, position) = rest.split_once('+')?;
    Some((id, host, position.trim_end_matches('.').parse::<f64>().ok()? / 1000.0))
}

fn close(out: &mut Vec<u8>, primary: bool, position: f64, term: u64) {
    pg::parameter(out, "mode", pg::mode(primary));
    pg::parameter(out, "wal_time", &format!("{}", (position * 1000.0 + 1e-3).floor()));
    pg::parameter(out, "timeline", &term.to_string());
    pg::ready(out);
}

/// The bytes of an answer, and where its first half may end.
pub fn say(answer: &Answer, host: &str, out: &mut Vec<u8>) {
    match answer {
        Answer::Row { id, bytes, primary, position, term } => {
            pg::row(out, &value(id, host, *position, *bytes));
            close(out, *primary, *position, *term);
        }
        Answer::Error { code, primary, position, term } => {
            pg::error(out, false, code, "as the host's state has it", None);
            close(out, *primary, *position, *term);
        }
        Answer::Report { primary, position, term, jobs, share } => {
            let role = u8::from(*primary);
            let text = format!("inflight={jobs},util={share:.2},x0={position:.3},x1={role}");
            pg::row(out, text.as_bytes());
            close(out, *primary, *position, *term);
        }
        Answer::Spoilt { how } => spoil(*how, out),
    }
}

/// Four ways in which an answer can be of no use.
fn spoil(how: usize, out: &mut Vec<u8>) {
    match how % 4 {
        0 => out.extend_from_slice(b"\x9f\x02\xc1no frame of any protocol\0\0\xff"),
        // A row that is said to have 3 GB.
        1 => out.extend_from_slice(b"D\xb2\xd0\x5e\x0a\0\x01\xb2\xd0\x5e\0value"),
        // A row whose length does not fit its value.
        2 => {
            pg::write_frame(out, b'T', &[b"\0\x01payload\0", &[0; 18]]);
            out.extend_from_slice(b"D\0\0\x01\xf4\0\x01\0\0\0\x05value");
        }
        // A description, and then nothing more.
        _ => pg::write_frame(out, b'T', &[b"\0\x01payload\0", &[0; 18]]),
    }
}
