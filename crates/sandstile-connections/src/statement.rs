//! One statement as a client worded it: the few fields that decisions need, and the bytes that go on.
use crate::task::StatementPayload;
use sandstile_pgwire as pg;
use std::ops::Range;

/// What is read out of a query. Everything else passes on as it came.
#[derive(Debug, PartialEq)]
pub struct Statement {
    query: Vec<u8>,
    /// Where the digits of `d` stand in `query`.
    wait_at: Range<usize>,
    pub id: String,
    pub workload: usize,
    pub group: String,
    /// The session's name, where the workload has sessions.
    pub session: Option<String>,
    pub writes: bool,
    /// Seconds that the client waits, from its sending.
    pub wait: f64,
    /// Unix seconds of the session's last write, where the client carries it.
    pub after: Option<f64>,
    pub retry: bool,
    /// The mark that the session carries, as this or another router handed it out.
    pub mark: Option<String>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum StatementError {
    NoComment,
    Comment,
    Id,
    Workload,
    Wait,
    Group,
    After,
}

impl StatementError {
    pub fn text(&self) -> &'static str {
        match self {
            StatementError::NoComment => "the statement begins with no comment",
            StatementError::Comment => "unreadable comment",
            StatementError::Id => "missing or unusable id",
            StatementError::Workload => "unknown workload in c",
            StatementError::Wait => "missing or unreadable d",
            StatementError::Group => "missing cluster",
            StatementError::After => "unreadable after",
        }
    }
}

/// A workload's name and whether its statements name a session.
pub struct Workload {
    pub name: String,
    pub sessions: bool,
    pub writes: bool,
}

/// A day: no client waits so long, and more would overflow the platform's timers.
const LONGEST_MS: u64 = 86_400_000;
/// Clients name statements in 16 digits; ids are kept while their statements are open.
const LONGEST_ID: usize = 64;
/// Longer than any mark that a router hands out.
const LONGEST_MARK: usize = 128;

/// `query` is the text of a Query message without its closing zero.
pub fn read(query: Vec<u8>, workloads: &[Workload]) -> Result<Statement, StatementError> {
    let start = query.iter().position(|b| !b.is_ascii_whitespace()).ok_or(StatementError::NoComment)?;
    if !query[start..].starts_with(b"/*") {
        return Err(StatementError::NoComment);
    }
    let (pairs, rest) = fields(&query, start + 2)?;
    let find = |name: &str| pairs.iter().find(|(n, _)| n == name).map(|(_, at)| at.clone());
    let text = |at: Range<usize>| std::str::from_utf8(&query[at]).unwrap_or("");
    let id =
        find("id").map(text).filter(|id| (1..=LONGEST_ID).contains(&id.len())).ok_or(StatementError::Id)?;
    let class = find("c").map(text).ok_or(StatementError::Workload)?;
    let workload = workloads.iter().position(|w| w.name == class).ok_or(StatementError::Workload)?;
    let wait_at = find("d").ok_or(StatementError::Wait)?;
    // Of a last try nothing may be left: it is told so like any other whose time is up.
    let wait = whole_ms(text(wait_at.clone())).filter(|ms| *ms <= LONGEST_MS);
    let group = find("cluster").map(text).filter(|g| !g.is_empty()).ok_or(StatementError::Group)?;
    let after = match find("after").map(text) {
        None => None,
        Some(ms) => Some(whole_ms(ms).ok_or(StatementError::After)?),
    };
    let session = workloads[workload].sessions.then(|| quoted(&query[rest..])).flatten();
    let session = session.map(|name| String::from_utf8_lossy(name).into_owned());
    let retry = find("r").is_some_and(|at| text(at) == "1");
    // Whatever it holds: a mark that is none says that nothing is known, and refuses no statement.
    let mark = find("mark").map(text).filter(|m| m.len() <= LONGEST_MARK).map(str::to_string);
    let (id, group) = (id.to_string(), group.to_string());
    Ok(Statement {
        id,
        workload,
        group,
        session,
        writes: workloads[workload].writes,
        wait: wait.ok_or(StatementError::Wait)? as f64 / 1000.0,
        after: after.filter(|ms| *ms > 0).map(|ms| ms as f64 / 1000.0),
        retry,
        mark,
        query,
        wait_at,
    })
}

/// Times are written in digits alone; a host would not read another number the way this router might.
fn whole_ms(text: &str) -> Option<u64> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

type Pairs = Vec<(String, Range<usize>)>;

/// Names and the places of their values up to the comment's end, and the place behind it.
fn fields(query: &[u8], mut at: usize) -> Result<(Pairs, usize), StatementError> {
    let mut pairs = Vec::new();
    let until = |from: usize, stop: &dyn Fn(u8) -> bool| {
        query[from..].iter().position(|b| stop(*b)).map(|n| from + n).ok_or(StatementError::Comment)
    };
    loop {
        at = until(at, &|b| !b.is_ascii_whitespace() && b != b',')?;
        if query[at..].starts_with(b"*/") {
            return Ok((pairs, at + 2));
        }
        let equals = until(at, &|b| b == b'=' || b == b'*' || b == b',')?;
        if query[equals] != b'=' {
            return Err(StatementError::Comment);
        }
        let name = std::str::from_utf8(&query[at..equals]).map_err(|_| StatementError::Comment)?.trim();
        let value = match query.get(equals + 1) {
            Some(quote @ (b'\'' | b'"')) => {
                let end = until(equals + 2, &|b| b == *quote)?;
                at = end + 1;
                equals + 2..end
            }
            _ => {
                at = until(equals + 1, &|b| b == b',' || b == b'*' || b.is_ascii_whitespace())?;
                equals + 1..at
            }
        };
        pairs.push((name.to_string(), value));
    }
}

/// The first quoted text of the statement proper.
fn quoted(text: &[u8]) -> Option<&[u8]> {
    let start = text.iter().position(|b| *b == b'\'')? + 1;
    let end = text[start..].iter().position(|b| *b == b'\'')?;
    Some(&text[start..start + end])
}

impl StatementPayload for Statement {
    /// The Query message for a database host: only `d` says something else, what this router will wait.
    fn message(&self, wait: f64) -> Vec<u8> {
        let ms = ((wait * 1000.0).floor().max(1.0) as u64).to_string();
        let (before, after) = (&self.query[..self.wait_at.start], &self.query[self.wait_at.end..]);
        let mut out = Vec::with_capacity(self.query.len() + 16);
        pg::write_frame(&mut out, b'Q', &[before, ms.as_bytes(), after, b"\0"]);
        out
    }
}
