//! State that the members of a group share: the log, the roles, the session marks and the statements known for
//! deduplication.
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
    /// The primary rejects writes during a hand-over.
    pub writes_closed: bool,
    records: VecDeque<Record>,
    /// Log index of the first record that is kept.
    first_index: u64,
    last_position: f64,
    marks: BTreeMap<String, f64>,
    /// Ids of deduplicated statements, with the time and the position of their first run.
    first_runs: BTreeMap<String, (f64, f64)>,
    first_run_order: VecDeque<(f64, String)>,
}

/// Records kept for replicas; a replica further behind gets a full copy instead.
const MAX_RECORDS: usize = 200_000;
/// Upper bound on session marks; above it the half with the oldest writes is dropped.
const MAX_MARKS: usize = 100_000;
/// Resolution of positions: on the wire they are whole milliseconds.
pub(crate) const POSITION_STEP_S: f64 = 0.001;

impl Group {
    pub fn new(plan: &plan::Group, primary: usize, hosts: Vec<usize>) -> Self {
        Group {
            roles: Roles::new(primary, plan.detect_s, plan.elect_s),
            hosts,
            writes_closed: false,
            records: VecDeque::new(),
            first_index: 0,
            last_position: 0.0,
            marks: BTreeMap::new(),
            first_runs: BTreeMap::new(),
            first_run_order: VecDeque::new(),
        }
    }

    pub fn end_index(&self) -> u64 {
        self.first_index + self.records.len() as u64
    }

    pub fn first_index(&self) -> u64 {
        self.first_index
    }

    /// The position of the commit at this log index.
    pub fn position_at(&self, index: u64) -> Option<f64> {
        self.records.get(index.checked_sub(self.first_index)? as usize).map(|r| r.position)
    }

    /// Appends a commit and returns its position. The position is never earlier than `now`, so that every replica that
    /// reports the position has applied the commit.
    pub fn commit(&mut self, now: f64, id: &str) -> f64 {
        let rounded_up = (now / POSITION_STEP_S - 1e-6).ceil() * POSITION_STEP_S;
        let position = rounded_up.max(self.last_position + POSITION_STEP_S);
        // Removes the rounding error of the addition: positions stay whole milliseconds.
        self.last_position = (position / POSITION_STEP_S).round() * POSITION_STEP_S;
        self.records.push_back(Record { position: self.last_position, id: id.to_string() });
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
            self.first_index += 1;
        }
        self.last_position
    }

    /// Drops records that all members have applied, but keeps the latest 1000.
    pub fn trim(&mut self, applied_by_all: u64) {
        while self.first_index < applied_by_all && self.records.len() > 1000 {
            self.records.pop_front();
            self.first_index += 1;
        }
    }

    /// Removes and returns all commits from this log index on.
    pub fn truncate(&mut self, index: u64) -> Vec<Record> {
        let keep = index.saturating_sub(self.first_index) as usize;
        let lost: Vec<Record> = self.records.drain(keep.min(self.records.len())..).collect();
        for record in &lost {
            // A repeat of a lost statement must take effect again.
            self.first_runs.remove(&record.id);
        }
        lost
    }

    pub fn set_session_mark(&mut self, session: &str, position: f64) {
        self.marks.insert(session.to_string(), position);
        if self.marks.len() > MAX_MARKS {
            let mut all: Vec<f64> = self.marks.values().copied().collect();
            let middle = all.len() / 2;
            let (_, median, _) = all.select_nth_unstable_by(middle, f64::total_cmp);
            let median = *median;
            self.marks.retain(|_, position| *position >= median);
        }
    }

    pub fn session_mark(&self, session: &str) -> f64 {
        self.marks.get(session).copied().unwrap_or(0.0)
    }

    /// The position of the first run of a deduplicated statement, if it ran within the window.
    pub fn first_run_position(&mut self, now: f64, id: &str, window_s: f64) -> Option<f64> {
        while self.first_run_order.front().is_some_and(|(at, _)| *at < now - window_s) {
            if let Some((at, id)) = self.first_run_order.pop_front() {
                if self.first_runs.get(&id).is_some_and(|(first, _)| *first == at) {
                    self.first_runs.remove(&id);
                }
            }
        }
        self.first_runs.get(id).map(|(_, position)| *position)
    }

    pub fn remember_run(&mut self, now: f64, id: &str, position: f64) {
        self.first_runs.insert(id.to_string(), (now, position));
        self.first_run_order.push_back((now, id.to_string()));
    }
}
