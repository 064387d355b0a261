//! Decides whose warnings about refusing hosts are trusted. A warning ejects a host here for a short time. A router
//! whose warnings are repeatedly contradicted by local answers, because it lies, is faulty itself or is the only one
//! that is refused, is ignored for a while.
use std::collections::BTreeMap;

/// Seconds within which an answer of the host contradicts a warning.
const CONTRADICTION_WINDOW_SECONDS: f64 = 1.5;
/// False warnings after which a source is ignored; seconds after which an earlier false warning no longer counts;
/// seconds for which the source is ignored.
const MAX_FALSE_WARNINGS: u32 = 3;
const FALSE_WARNING_RESET_SECONDS: f64 = 30.0;
const IGNORE_SECONDS: f64 = 60.0;
const MAX_ENTRIES: usize = 4096;

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    false_warnings: u32,
    last_false_at: f64,
    ignored_until: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Warnings {
    /// By host: the source and time of the last accepted warning.
    accepted: BTreeMap<String, (String, f64)>,
    records: BTreeMap<String, Record>,
    pub ignored: u64,
}

impl Warnings {
    /// Whether to act on a warning from this source that the host refuses connections.
    pub fn accept(&mut self, now: f64, source: &str, host: &str) -> bool {
        if self.records.get(source).is_some_and(|r| now < r.ignored_until) {
            self.ignored += 1;
            return false;
        }
        if self.accepted.len() >= MAX_ENTRIES {
            self.accepted.pop_first();
        }
        self.accepted.insert(host.to_string(), (source.to_string(), now));
        true
    }

    /// The host has answered this router.
    pub fn answered(&mut self, now: f64, host: &str) {
        let Some((source, at)) = self.accepted.remove(host) else { return };
        if now > at + CONTRADICTION_WINDOW_SECONDS {
            return;
        }
        if self.records.len() >= MAX_ENTRIES {
            self.records.pop_first();
        }
        let record = self.records.entry(source).or_default();
        record.false_warnings = if now > record.last_false_at + FALSE_WARNING_RESET_SECONDS {
            1
        } else {
            record.false_warnings + 1
        };
        record.last_false_at = now;
        if record.false_warnings >= MAX_FALSE_WARNINGS {
            (record.false_warnings, record.ignored_until) = (0, now + IGNORE_SECONDS);
        }
    }
}
