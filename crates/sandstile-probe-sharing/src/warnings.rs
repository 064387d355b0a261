//! Whose word on hosts that refuse is worth heeding. A warning costs a host a short rest here; one whose warnings are belied by what is
//! seen here again and again, for it lies, is ill itself or is refused alone, is not heeded for a while.
use std::collections::BTreeMap;

/// An answer within so many seconds of a warning belies it.
const BELIED: f64 = 1.5;
/// So many belied ones, with no more than this many seconds between, and it is not heeded for this long.
const WRONG: u32 = 3;
const FORGIVEN: f64 = 30.0;
const UNHEEDED: f64 = 60.0;
const MOST: usize = 4096;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    wrong: u32,
    last: f64,
    unheeded_until: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Warnings {
    /// By host: whose warning was heeded last, and when.
    heeded: BTreeMap<String, (String, f64)>,
    records: BTreeMap<String, Record>,
    pub unheeded: u64,
}

impl Warnings {
    /// This one says that the host refuses; whether that is to be heeded.
    pub fn accept(&mut self, now: f64, by: &str, host: &str) -> bool {
        if self.records.get(by).is_some_and(|r| now < r.unheeded_until) {
            self.unheeded += 1;
            return false;
        }
        if self.heeded.len() >= MOST {
            self.heeded.pop_first();
        }
        self.heeded.insert(host.to_string(), (by.to_string(), now));
        true
    }

    /// The host has answered here.
    pub fn answered(&mut self, now: f64, host: &str) {
        let Some((by, at)) = self.heeded.remove(host) else { return };
        if now > at + BELIED {
            return;
        }
        if self.records.len() >= MOST {
            self.records.pop_first();
        }
        let record = self.records.entry(by).or_default();
        record.wrong = if now > record.last + FORGIVEN { 1 } else { record.wrong + 1 };
        record.last = now;
        if record.wrong >= WRONG {
            (record.wrong, record.unheeded_until) = (0, now + UNHEEDED);
        }
    }
}
