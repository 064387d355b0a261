//! Finished runs: an append-only file of JSON lines, each with its format version.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The current format version; older rows can be read, newer ones are skipped.
pub const VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub version: u32,
    /// The hash of the experiment's file.
    pub experiment: String,
    pub pair: usize,
    pub arm: String,
    pub seed: u64,
    pub quick: bool,
    /// The hash of the router program.
    pub program: String,
    /// Cores and memory of the machine, as far as known.
    pub machine: String,
    /// The share of requests served in time, weighted by importance.
    pub service: f64,
    pub workloads: BTreeMap<String, f64>,
    /// The share of requests served in time by second, all workloads together.
    pub seconds: Vec<f64>,
    /// Findings of broken rules.
    pub broken: usize,
    /// Figures of the recovery from faults, by name; rows of earlier versions have none.
    #[serde(default)]
    pub returning: BTreeMap<String, f64>,
    pub unsound: Option<String>,
}

#[derive(Clone, Debug, Default)]
pub struct Rows {
    pub rows: Vec<Row>,
    /// Lines that could not be read: cut off by a kill, or of a newer version.
    pub skipped: usize,
}

impl Rows {
    /// Reads all rows of this experiment in this mode.
    pub fn read(text: &str, experiment: &str, quick: bool) -> Rows {
        let mut rows = Rows::default();
        for line in text.lines().filter(|l| !l.trim().is_empty()) {
            match serde_json::from_str::<Row>(line) {
                Ok(row) if row.version <= VERSION => {
                    if row.experiment == experiment && row.quick == quick {
                        rows.rows.push(row);
                    }
                }
                _ => rows.skipped += 1,
            }
        }
        rows
    }

    /// The sound run of this pair and arm, if any. An unsound run doesn't count and is repeated.
    pub fn sound_run(&self, pair: usize, arm: &str) -> Option<&Row> {
        self.rows.iter().rev().find(|r| r.pair == pair && r.arm == arm && r.unsound.is_none())
    }

    /// The number of unsound runs of this pair and arm.
    pub fn unsound_runs(&self, pair: usize, arm: &str) -> usize {
        self.rows.iter().filter(|r| r.pair == pair && r.arm == arm && r.unsound.is_some()).count()
    }

    /// The number of leading pairs that have a sound run of every arm.
    pub fn complete_pairs(&self, arms: &[String]) -> usize {
        (0..).take_while(|pair| arms.iter().all(|arm| self.sound_run(*pair, arm).is_some())).count()
    }
}
