//! Parses queries as a host does and encodes its answers.
use sandstile_fleet::{Answer, StatementRequest};
use sandstile_pgwire as pg;

/// A query as the host understands it.
#[derive(Debug, PartialEq)]
pub enum Query {
    Statement(StatementRequest),
    /// `SHOW stats`.
    Report,
    /// `SELECT 1`.
    SelectOne,
    Empty,
    /// `SET`, `RESET` and `DISCARD`, which have no effect.
    Ignored(&'static str),
    /// Answered with the error 08P01.
    Unreadable,
}

pub fn parse_query(text: &[u8], workloads: &[String]) -> Query {
    let Ok(text) = std::str::from_utf8(text) else { return Query::Unreadable };
    let query_text = text.trim().trim_end_matches(';').trim();
    if query_text.is_empty() {
        return Query::Empty;
    }
    let first_word = query_text.split_whitespace().next().unwrap_or("").to_ascii_uppercase();
    match first_word.as_str() {
        "SET" => return Query::Ignored("SET"),
        "RESET" => return Query::Ignored("RESET"),
        "DISCARD" => return Query::Ignored("DISCARD"),
        _ => {}
    }
    if query_text.eq_ignore_ascii_case("SHOW stats") {
        return Query::Report;
    }
    if query_text.eq_ignore_ascii_case("SELECT 1") {
        return Query::SelectOne;
    }
    parse_statement(query_text, workloads).map_or(Query::Unreadable, Query::Statement)
}

fn parse_statement(text: &str, workloads: &[String]) -> Option<StatementRequest> {
    let (comment, rest) = text.strip_prefix("/*")?.split_once("*/")?;
    let field = |name: &str| {
        comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('=').map(str::trim))
    };
    let id = field("id").filter(|id| !id.is_empty())?;
    let workload = workloads.iter().position(|w| Some(w.as_str()) == field("c"))?;
    let timeout_ms = field("d")?.parse::<u32>().ok()?;
    let required_position = field("after").and_then(|ms| ms.parse::<f64>().ok()).map(|ms| ms / 1000.0);
    // The first quoted string is the key, which identifies the session if there is one.
    let session = rest.split('\'').nth(1).map(str::to_string);
    Some(StatementRequest {
        id: id.to_string(),
        workload,
        timeout_s: f64::from(timeout_ms) / 1000.0,
        required_position,
        session,
    })
}

/// The workload named in an incomplete query, if that part has arrived.
pub fn workload_of_partial_query(part: &[u8], workloads: &[String]) -> Option<usize> {
    let text = String::from_utf8_lossy(part);
    let (_, from) = text.split_once("c=")?;
    let (name, _) = from.split_once([',', ' ', '*'])?;
    workloads.iter().position(|w| w == name)
}

/// The value that a host returns for a statement. It contains the statement's id, so that an answer to another
/// statement is recognised.
pub fn make_value(id: &str, host: &str, position: f64, bytes: usize) -> Vec<u8> {
    let mut value = format!("{id}@{host}+{}", (position * 1000.0).round()).into_bytes();
    if value.len() < bytes {
        value.resize(bytes, b'.');
    }
    value
}

/// The statement id, the host and the position in a value made by `make_value`.
pub fn parse_value(value: &[u8]) -> Option<(&str, &str, f64)> {
    let text = std::str::from_utf8(value).ok()?;
    let (id, rest) = text.split_once('@')?;
    let (host, position) = rest.split_once('+')?;
    Some((id, host, position.trim_end_matches('.').parse::<f64>().ok()? / 1000.0))
}

fn write_status(out: &mut Vec<u8>, primary: bool, position: f64, term: u64) {
    pg::parameter(out, "mode", pg::mode(primary));
    pg::parameter(out, "wal_time", &format!("{}", (position * 1000.0 + 1e-3).floor()));
    pg::parameter(out, "timeline", &term.to_string());
    pg::ready(out);
}

/// Appends the bytes of an answer.
pub fn write_answer(answer: &Answer, host: &str, out: &mut Vec<u8>) {
    match answer {
        Answer::Row { id, bytes, primary, position, term } => {
            pg::row(out, &make_value(id, host, *position, *bytes));
            write_status(out, *primary, *position, *term);
        }
        Answer::Error { code, primary, position, term } => {
            pg::error(out, false, code, "as the host's state has it", None);
            write_status(out, *primary, *position, *term);
        }
        Answer::Report { primary, position, term, jobs, share } => {
            let role = u8::from(*primary);
            let text = format!("inflight={jobs},util={share:.2},x0={position:.3},x1={role}");
            pg::row(out, text.as_bytes());
            write_status(out, *primary, *position, *term);
        }
        Answer::Unusable { form } => write_unusable(*form, out),
    }
}

/// Appends one of four unusable answers: garbage, or a malformed or incomplete row.
fn write_unusable(form: usize, out: &mut Vec<u8>) {
    match form % 4 {
        0 => out.extend_from_slice(b"\x9f\x02\xc1no frame of any protocol\0\0\xff"),
        // A row with a declared length of 3 GB.
        1 => out.extend_from_slice(b"D\xb2\xd0\x5e\x0a\0\x01\xb2\xd0\x5e\0value"),
        // A row whose declared length does not match its value.
        2 => {
            pg::write_frame(out, b'T', &[b"\0\x01payload\0", &[0; 18]]);
            out.extend_from_slice(b"D\0\0\x01\xf4\0\x01\0\0\0\x05value");
        }
        // A row description and nothing after it.
        _ => pg::write_frame(out, b'T', &[b"\0\x01payload\0", &[0; 18]]),
    }
}
