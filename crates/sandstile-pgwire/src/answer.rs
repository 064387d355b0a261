//! Collects the frames that answer one query.
use crate::frame::{read_be_i32, write_frame, BadFrame};
use std::ops::Range;

/// The SQLSTATE in the body of an ErrorResponse.
pub fn sqlstate(body: &[u8]) -> Option<&str> {
    field(body, b'C')
}

/// One field in the body of an ErrorResponse: `C` is the SQLSTATE, `D` the detail, `M` the message.
pub fn field(body: &[u8], key: u8) -> Option<&str> {
    body.split(|b| *b == 0).find(|f| f.first() == Some(&key)).and_then(|f| std::str::from_utf8(&f[1..]).ok())
}

/// How much of a database host's answer has arrived.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    #[default]
    Nothing,
    Described,
    Row,
    /// The row and its CommandComplete.
    Complete,
    Failed(String),
}

/// The answer to one query, built frame by frame.
#[derive(Debug, Default)]
pub struct Answer {
    pub stage: Stage,
    /// RowDescription, DataRow and CommandComplete, as received.
    pub rows: Vec<u8>,
    /// Where the single value is in `rows`.
    pub value: Range<usize>,
    pub position: Option<f64>,
    pub primary: Option<bool>,
    /// The number of the primary's term that the host follows, if the host reports it.
    pub timeline: Option<u64>,
}

impl Answer {
    /// Takes one frame; returns `true` for ReadyForQuery.
    pub fn take(&mut self, tag: u8, body: &[u8]) -> Result<bool, BadFrame> {
        let next = match (tag, &self.stage) {
            (b'Z', _) => return Ok(true),
            (b'S', _) => {
                self.parameter(body);
                return Ok(false);
            }
            (b'N' | b'A', _) => return Ok(false),
            (b'E', Stage::Nothing | Stage::Described | Stage::Row) => {
                let code = sqlstate(body).ok_or(BadFrame("error without a code"))?;
                self.stage = Stage::Failed(code.to_string());
                return Ok(false);
            }
            (b'T', Stage::Nothing) if body.starts_with(&[0, 1]) => Stage::Described,
            (b'D', Stage::Described) => {
                let length = body.get(2..6).map(read_be_i32).and_then(|n| usize::try_from(n).ok());
                let is_complete = body.starts_with(&[0, 1]) && length.is_some_and(|n| body.len() == 6 + n);
                if !is_complete {
                    return Err(BadFrame("malformed row"));
                }
                let start = self.rows.len() + 5 + 6;
                self.value = start..start + body.len() - 6;
                Stage::Row
            }
            (b'C', Stage::Row) => Stage::Complete,
            _ => return Err(BadFrame("answer out of order")),
        };
        self.stage = next;
        write_frame(&mut self.rows, tag, &[body]);
        Ok(false)
    }

    fn parameter(&mut self, body: &[u8]) {
        let mut strings = body.split(|b| *b == 0).map(|w| std::str::from_utf8(w).unwrap_or(""));
        match (strings.next().unwrap_or(""), strings.next().unwrap_or("")) {
            ("wal_time", ms) => {
                self.position = ms.parse::<f64>().ok().filter(|p| p.is_finite()).map(|p| p / 1e3)
            }
            ("mode", mode) => self.primary = role(mode),
            ("timeline", number) => self.timeline = number.parse().ok(),
            _ => {}
        }
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.rows[self.value.clone()]).unwrap_or("")
    }
}

/// Whether a role, as answers and host lists spell it, is the primary's; `None` if unknown.
pub fn role(mode: &str) -> Option<bool> {
    match mode {
        "read-write" => Some(true),
        "read-only" => Some(false),
        _ => None,
    }
}
