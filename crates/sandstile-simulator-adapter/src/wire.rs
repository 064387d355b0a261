//! The wire's lines: fields in order, each read with a plain message on what was expected.
use crate::instance::EPOCH;
use sandstile_deployment::host_list::{readiness, HostEntry};
use std::collections::BTreeMap;
use std::str::FromStr;

pub struct Fields<'a> {
    rest: Option<&'a str>,
    number: usize,
    found: &'a str,
}

impl<'a> Fields<'a> {
    pub fn new(line: &'a str, number: usize) -> Self {
        Fields { rest: Some(line), number, found: "" }
    }

    pub fn wrong(&self, expected: &str) -> String {
        format!("line {}: expected {expected}, found '{}'", self.number, self.found)
    }

    /// The next field; `None` where it is absent.
    pub fn maybe(&mut self, what: &str) -> Result<Option<&'a str>, String> {
        let Some(rest) = self.rest else {
            self.found = "the end of the line";
            return Err(self.wrong(what));
        };
        let (field, rest) = match rest.split_once(' ') {
            Some((field, rest)) => (field, Some(rest)),
            None => (rest, None),
        };
        (self.rest, self.found) = (rest, field);
        Ok((field != "-").then_some(field))
    }

    pub fn at_end(&self) -> bool {
        self.rest.is_none()
    }

    pub fn text(&mut self, what: &str) -> Result<&'a str, String> {
        self.maybe(what)?.ok_or_else(|| self.wrong(what))
    }

    fn parsed<T: FromStr>(&mut self, what: &str) -> Result<Option<T>, String> {
        match self.maybe(what)? {
            None => Ok(None),
            Some(field) => field.parse().map(Some).map_err(|_| self.wrong(what)),
        }
    }

    pub fn whole(&mut self, what: &str) -> Result<u64, String> {
        self.parsed(what)?.ok_or_else(|| self.wrong(what))
    }

    pub fn maybe_whole(&mut self, what: &str) -> Result<Option<u64>, String> {
        self.parsed(what)
    }

    /// Milliseconds on the wire, seconds inside; `None` where absent.
    pub fn maybe_seconds(&mut self, what: &str) -> Result<Option<f64>, String> {
        match self.parsed::<f64>(what)? {
            Some(ms) if !ms.is_finite() => Err(self.wrong(what)),
            ms => Ok(ms.map(|ms| ms / 1000.0)),
        }
    }

    pub fn seconds(&mut self, what: &str) -> Result<f64, String> {
        self.maybe_seconds(what)?.ok_or_else(|| self.wrong(what))
    }

    pub fn flag(&mut self, what: &str) -> Result<bool, String> {
        match self.maybe(what)? {
            None | Some("0" | "false") => Ok(false),
            Some("1" | "true") => Ok(true),
            Some(_) => Err(self.wrong(what)),
        }
    }

    /// All that is left of the line, as path=value pairs.
    pub fn pairs(&mut self) -> BTreeMap<String, String> {
        let pairs = self.rest.take().unwrap_or("").split(' ').filter_map(|p| p.split_once('='));
        pairs.map(|(path, value)| (path.to_string(), value.to_string())).collect()
    }
}

/// One entry of a list, in the order of the wire.
pub fn entry(fields: &mut Fields) -> Result<HostEntry, String> {
    if fields.text("HOST")? != "HOST" {
        return Err(fields.wrong("HOST"));
    }
    let primary = fields.maybe_seconds("a role")?.is_some_and(|n| n > 0.0);
    fields.maybe("a share")?;
    let since = fields.maybe_seconds("a start time")?.filter(|since| *since > 0.0);
    let zone = fields.maybe("a zone")?.unwrap_or("").to_string();
    let group = fields.whole("a group")?.to_string();
    let host = fields.text("a database host")?.to_string();
    let word = fields.text("a readiness")?;
    let readiness = readiness(word).ok_or_else(|| fields.wrong("active, leaving or left"))?;
    Ok(HostEntry { primary, since: since.map_or(0.0, |since| EPOCH + since), zone, group, host, readiness })
}
