//! What the members of a group share: the log, the roles, and what is remembered of sessions and repeats.
use crate::plan;
use crate::roles::Roles;
use std::collections::{BTreeMap, VecDeque};

pub(crate) struct Record {
    pub position: f64,
    pub id: String,
}

pub(crate) struct Group {
    pub roles: Roles,
    pub hosts: Vec<usize>,
    /// The primary takes no writes while it hands over.
    pub closed: bool,
    records: VecDeque<Record>,
    /// How many commits came before the first that is kept.
    base: u64,
    last: f64,
    marks: BTreeMap<String, f64>,
    /// Ids of deduplicated statements, and when they ran first.
    seen: BTreeMap<String, (f64, f64)>,
    seen_order: VecDeque<(f64, String)>,
}

/// Commits kept for replicas; one that lies further behind is given a copy of the whole.
const MOST_RECORDS: usize = 200_000;
/// Sessions remembered; beyond them those that wrote longest ago are let go.
const MOST_MARKS: usize = 100_000;
/// One position on the wire: they are whole milliseconds there.
pub(crate) const STEP: f64 = 0.001;

impl Group {
    pub fn new(plan: &plan::Group, primary: usize, hosts: Vec<usize>) -> Self {
        Group {
            roles: Roles::new(primary, plan.detect_s, plan.elect_s),
            hosts,
            closed: false,
            records: VecDeque::new(),
            base: 0,
            last: 0.0,
            marks: BTreeMap::new(),
            seen: BTreeMap::new(),
            seen_order: VecDeque::new(),
        }
    }

    pub fn end(&self) -> u64 {
        self.base + self.records.len() as u64
    }

    pub fn base(&self) -> u64 {
        self.base
    }

    /// The position of the commit at this place of the log.
    pub fn position(&self, at: u64) -> Option<f64> {
        self.records.get(at.checked_sub(self.base)? as usize).map(|r| r.position)
    }

    /// Appends a commit. Its position is never before its time, so that whoever has come as far has it.
    pub fn commit(&mut self, now: f64, id: &str) -> f64 {
        let whole = (now / STEP - 1e-6).ceil() * STEP;
        let position = whole.max(self.last + STEP);
        // Whole milliseconds again, whatever adding has rounded.
        self.last = (position / STEP).round() * STEP;
        self.records.push_back(Record { position: self.last, id: id.to_string() });
        if self.records.len() > MOST_RECORDS {
            self.records.pop_front();
            self.base += 1;
        }
        self.last
    }

    /// Drops what all have applied.
    pub fn trim(&mut self, applied_by_all: u64) {
        while self.base < applied_by_all && self.records.len() > 1000 {
            self.records.pop_front();
            self.base += 1;
        }
    }

    /// Drops all commits from this place on, and yields them.
    pub fn cut(&mut self, at: u64) -> Vec<Record> {
        let keep = at.saturating_sub(self.base) as usize;
        let lost: Vec<Record> = self.records.drain(keep.min(self.records.len())..).collect();
        for record in &lost {
            // A repeat of what was lost is to have its effect.
            self.seen.remove(&record.id);
        }
        lost
    }

    pub fn mark(&mut self, session: &str, position: f64) {
        self.marks.insert(session.to_string(), position);
        if self.marks.len() > MOST_MARKS {
            let mut all: Vec<f64> = self.marks.values().copied().collect();
            let middle = all.len() / 2;
            let (_, median, _) = all.select_nth_unstable_by(middle, f64::total_cmp);
            let median = *median;
            self.marks.retain(|_, position| *position >= median);
        }
    }

    pub fn marked(&self, session: &str) -> f64 {
        self.marks.get(session).copied().unwrap_or(0.0)
    }

    /// The position that a deduplicated statement got when it ran first, if that is remembered.
    pub fn repeats(&mut self, now: f64, id: &str, window: f64) -> Option<f64> {
        while self.seen_order.front().is_some_and(|(at, _)| *at < now - window) {
            if let Some((at, id)) = self.seen_order.pop_front() {
                if self.seen.get(&id).is_some_and(|(first, _)| *first == at) {
                    self.seen.remove(&id);
                }
            }
        }
        self.seen.get(id).map(|(_, position)| *position)
    }

    pub fn remember(&mut self, now: f64, id: &str, position: f64) {
        self.seen.insert(id.to_string(), (now, position));
        self.seen_order.push_back((now, id.to_string()));
    }
}
