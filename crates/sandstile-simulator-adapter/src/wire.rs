//! Parses the lines of the wire protocol field by field; each error says what was expected.
use crate::instance::EPOCH;
use sandstile_deployment::host_list::{readiness, HostEntry};
use std::collections::BTreeMap;
use std::str::FromStr;

pub struct Fields<'a> {
    remaining: Option<&'a str>,
    line_number: usize,
    last_field: &'a str,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str, line_number: usize) -> Self {
        Fields { remaining: Some(line), line_number, last_field: "" }
    }

    pub fn error(&self, expected: &str) -> String {
        format!("line {}: expected {expected}, found '{}'", self.line_number, self.last_field)
    }

    /// The next field; `None` if it is `-` (absent).
    pub fn optional(&mut self, expected: &str) -> Result<Option<&'a str>, String> {
        let Some(remaining) = self.remaining else {
            self.last_field = "the end of the line";
            return Err(self.error(expected));
        };
        let (field, remaining) = match remaining.split_once(' ') {
            Some((field, remaining)) => (field, Some(remaining)),
            None => (remaining, None),
        };
        (self.remaining, self.last_field) = (remaining, field);
        Ok((field != "-").then_some(field))
    }

    pub fn at_end(&self) -> bool {
        self.remaining.is_none()
    }

    pub fn required(&mut self, expected: &str) -> Result<&'a str, String> {
        self.optional(expected)?.ok_or_else(|| self.error(expected))
    }

    fn parsed<T: FromStr>(&mut self, expected: &str) -> Result<Option<T>, String> {
        match self.optional(expected)? {
            None => Ok(None),
            Some(field) => field.parse().map(Some).map_err(|_| self.error(expected)),
        }
    }

    pub fn integer(&mut self, expected: &str) -> Result<u64, String> {
        self.parsed(expected)?.ok_or_else(|| self.error(expected))
    }

    pub fn optional_integer(&mut self, expected: &str) -> Result<Option<u64>, String> {
        self.parsed(expected)
    }

    /// Converts milliseconds on the wire to seconds; `None` if absent.
    pub fn optional_seconds(&mut self, expected: &str) -> Result<Option<f64>, String> {
        match self.parsed::<f64>(expected)? {
            Some(ms) if !ms.is_finite() => Err(self.error(expected)),
            ms => Ok(ms.map(|ms| ms / 1000.0)),
        }
    }

    pub fn seconds(&mut self, expected: &str) -> Result<f64, String> {
        self.optional_seconds(expected)?.ok_or_else(|| self.error(expected))
    }

    pub fn flag(&mut self, expected: &str) -> Result<bool, String> {
        match self.optional(expected)? {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(_) => Err(self.error(expected)),
        }
    }

    /// The rest of the line, as path=value pairs.
    pub fn pairs(&mut self) -> BTreeMap<String, String> {
        let pairs = self.remaining.take().unwrap_or("").split(' ').filter_map(|p| p.split_once('='));
        pairs.map(|(path, value)| (path.to_string(), value.to_string())).collect()
    }
}

/// Parses one entry of a host list.
pub fn host_entry(fields: &mut Fields) -> Result<HostEntry, String> {
    if fields.required("HOST")? != "HOST" {
        return Err(fields.error("HOST"));
    }
    let primary = fields.optional_seconds("a role")?.is_some_and(|n| n > 0.0);
    fields.optional("a share")?;
    let since = fields.optional_seconds("a start time")?.filter(|since| *since > 0.0);
    let zone = fields.optional("a zone")?.unwrap_or("").to_string();
    let group = fields.integer("a group")?.to_string();
    let host = fields.required("a database host")?.to_string();
    let status = fields.required("a readiness")?;
    let readiness = readiness(status).ok_or_else(|| fields.error("active, leaving or left"))?;
    Ok(HostEntry { primary, since: since.map_or(0.0, |since| EPOCH + since), zone, group, host, readiness })
}
