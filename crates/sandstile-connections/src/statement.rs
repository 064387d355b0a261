//! A client's statement: the few fields of its comment that routing decisions need, and the query that is
//! forwarded.
use crate::budget::{Budget, Reservation};
use crate::task::StatementPayload;
use sandstile_pgwire as pg;
use std::ops::Range;

/// A query as it is forwarded. It is kept until the statement's last execution ends, which may be after its client
/// has left.
#[derive(Debug)]
pub struct ForwardedQuery {
    text: Vec<u8>,
    /// Where the digits of the field `d` are in `text`.
    timeout_range: Range<usize>,
    /// Memory for a long text and a copy of it that is being written.
    reservation: Option<Reservation>,
}

impl Statement {
    /// Reserves the memory of a statement whose text is longer than `unreserved_bytes`: the text, a copy of it that is
    /// being written, and the names in it. `false` if there is no room.
    pub fn reserve(&mut self, unreserved_bytes: usize, budget: &mut Budget) -> bool {
        let text_bytes = self.query.text.len();
        if text_bytes <= unreserved_bytes {
            return true;
        }
        let name_bytes = self.group.len() + self.session.as_ref().map_or(0, String::len);
        self.query.reservation = budget.reservation(2 * text_bytes + name_bytes);
        self.query.reservation.is_some()
    }
}

/// Reservations don't count: they say nothing about the query.
impl PartialEq for ForwardedQuery {
    fn eq(&self, other: &ForwardedQuery) -> bool {
        (&self.text, &self.timeout_range) == (&other.text, &other.timeout_range)
    }
}

/// The fields that are read out of a query. Everything else is forwarded unchanged.
#[derive(Debug, PartialEq)]
pub struct Statement {
    pub query: ForwardedQuery,
    pub id: String,
    pub workload: usize,
    pub group: String,
    /// The session's name, if the workload has sessions.
    pub session: Option<String>,
    pub writes: bool,
    /// Seconds for which the client waits, counted from when it sent the statement.
    pub timeout: f64,
    /// Unix seconds of the session's last write, if the client sends it.
    pub last_write_at: Option<f64>,
    pub retry: bool,
    /// The session's mark, as this or another router issued it.
    pub mark: Option<String>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum StatementError {
    NoComment,
    Comment,
    Id,
    Workload,
    Timeout,
    Group,
    LastWrite,
}

impl StatementError {
    pub fn text(&self) -> &'static str {
        match self {
            StatementError::NoComment => "the statement begins with no comment",
            StatementError::Comment => "unreadable comment",
            StatementError::Id => "missing or unusable id",
            StatementError::Workload => "unknown workload in c",
            StatementError::Timeout => "missing or unreadable d",
            StatementError::Group => "missing cluster",
            StatementError::LastWrite => "unreadable after",
        }
    }
}

/// A workload, and whether its statements name a session.
pub struct Workload {
    pub name: String,
    pub sessions: bool,
    pub writes: bool,
}

/// One day: no client waits that long, and larger values would overflow the platform's timers.
const MAX_TIMEOUT_MS: u64 = 86_400_000;
/// Clients use ids of 16 digits. The limit bounds the memory that the ids of open statements take.
const MAX_ID_BYTES: usize = 64;
/// Longer than any mark that a router issues.
const MAX_MARK_BYTES: usize = 128;

/// Parses a statement. `query` is the text of a Query message without the terminating zero.
pub fn read(query: Vec<u8>, workloads: &[Workload]) -> Result<Statement, StatementError> {
    let start = query.iter().position(|b| !b.is_ascii_whitespace()).ok_or(StatementError::NoComment)?;
    if !query[start..].starts_with(b"/*") {
        return Err(StatementError::NoComment);
    }
    let (fields, comment_end) = parse_fields(&query, start + 2)?;
    let find = |name: &str| fields.find(name);
    let text = |position: Range<usize>| std::str::from_utf8(&query[position]).unwrap_or("");
    let id =
        find("id").map(text).filter(|id| (1..=MAX_ID_BYTES).contains(&id.len())).ok_or(StatementError::Id)?;
    let workload_name = find("c").map(text).ok_or(StatementError::Workload)?;
    let workload = workloads.iter().position(|w| w.name == workload_name).ok_or(StatementError::Workload)?;
    let timeout_range = find("d").ok_or(StatementError::Timeout)?;
    // 0 is accepted: a last retry may have no time left, and it is answered like any other statement whose
    // deadline has passed.
    let timeout = parse_ms(text(timeout_range.clone())).filter(|ms| *ms <= MAX_TIMEOUT_MS);
    let group = find("cluster").map(text).filter(|g| !g.is_empty()).ok_or(StatementError::Group)?;
    let last_write_at = match find("after").map(text) {
        None => None,
        Some(ms) => Some(parse_ms(ms).ok_or(StatementError::LastWrite)?),
    };
    let session = workloads[workload].sessions.then(|| first_quoted(&query[comment_end..])).flatten();
    let session = session.map(|name| String::from_utf8_lossy(name).into_owned());
    let retry = find("r").is_some_and(|position| text(position) == "1");
    // The content of the mark is not checked here: an invalid one only means that nothing is known of the
    // session's writes, and is no reason to refuse the statement.
    let mark = find("mark").map(text).filter(|m| m.len() <= MAX_MARK_BYTES).map(str::to_string);
    let (id, group) = (id.to_string(), group.to_string());
    Ok(Statement {
        id,
        workload,
        group,
        session,
        writes: workloads[workload].writes,
        timeout: timeout.ok_or(StatementError::Timeout)? as f64 / 1000.0,
        last_write_at: last_write_at.filter(|ms| *ms > 0).map(|ms| ms as f64 / 1000.0),
        retry,
        mark,
        query: ForwardedQuery { text: query, timeout_range, reservation: None },
    })
}

/// Times consist of digits only, because a host might read any other notation differently than this router
/// does.
fn parse_ms(text: &str) -> Option<u64> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// The fields of a comment that are read; all others are skipped.
const FIELD_NAMES: [&str; 7] = ["id", "c", "d", "cluster", "after", "r", "mark"];

/// The positions of the values of the fields that are read, in the order of `FIELD_NAMES`. Its size doesn't depend on
/// how many fields a client sends.
#[derive(Default)]
struct Fields([Option<Range<usize>>; FIELD_NAMES.len()]);

impl Fields {
    /// Of several fields with the same name, the first one counts.
    fn add(&mut self, name: &str, position: Range<usize>) {
        if let Some(index) = FIELD_NAMES.iter().position(|known| *known == name) {
            self.0[index].get_or_insert(position);
        }
    }

    fn find(&self, name: &str) -> Option<Range<usize>> {
        let index = FIELD_NAMES.iter().position(|known| *known == name)?;
        self.0[index].clone()
    }
}

/// The fields up to the end of the comment, and the position behind the comment.
fn parse_fields(query: &[u8], mut position: usize) -> Result<(Fields, usize), StatementError> {
    let mut fields = Fields::default();
    let position_of = |from: usize, stop: &dyn Fn(u8) -> bool| {
        query[from..].iter().position(|b| stop(*b)).map(|n| from + n).ok_or(StatementError::Comment)
    };
    loop {
        position = position_of(position, &|b| !b.is_ascii_whitespace() && b != b',')?;
        if query[position..].starts_with(b"*/") {
            return Ok((fields, position + 2));
        }
        let equals = position_of(position, &|b| b == b'=' || b == b'*' || b == b',')?;
        if query[equals] != b'=' {
            return Err(StatementError::Comment);
        }
        let name = std::str::from_utf8(&query[position..equals]).map_err(|_| StatementError::Comment)?.trim();
        let value = match query.get(equals + 1) {
            Some(quote @ (b'\'' | b'"')) => {
                let end = position_of(equals + 2, &|b| b == *quote)?;
                position = end + 1;
                equals + 2..end
            }
            _ => {
                position = position_of(equals + 1, &|b| b == b',' || b == b'*' || b.is_ascii_whitespace())?;
                equals + 1..position
            }
        };
        fields.add(name, value);
    }
}

/// The first quoted text behind the comment.
fn first_quoted(text: &[u8]) -> Option<&[u8]> {
    let start = text.iter().position(|b| *b == b'\'')? + 1;
    let end = text[start..].iter().position(|b| *b == b'\'')?;
    Some(&text[start..start + end])
}

impl StatementPayload for ForwardedQuery {
    /// The Query message for a database host. Only the value of `d` is replaced, by the time for which this
    /// router will wait.
    fn message(&self, timeout: f64) -> Vec<u8> {
        let ms = ((timeout * 1000.0).floor().max(1.0) as u64).to_string();
        let (before, after) = (&self.text[..self.timeout_range.start], &self.text[self.timeout_range.end..]);
        let mut out = Vec::with_capacity(self.text.len() + 16);
        pg::write_frame(&mut out, b'Q', &[before, ms.as_bytes(), after, b"\0"]);
        out
    }
}
