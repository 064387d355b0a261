//! What has been run: lines of JSON that are only ever added to, each of its own version.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

pub const VERSION: u32 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub version: u32,
    /// The experiment's hash.
    pub experiment: String,
    pub pair: usize,
    pub arm: String,
    pub seed: u64,
    pub quick: bool,
    /// The hash of the router's program.
    pub program: String,
    /// Cores and memory of the machine, as far as they are known.
    pub machine: String,
    /// By importance.
    pub service: f64,
    pub workloads: BTreeMap<String, f64>,
    /// Shares in time of each second, all workloads together.
    pub seconds: Vec<f64>,
    pub broken: usize,
    /// How the deployment came back from its faults, by name; rows of earlier versions have none.
    #[serde(default)]
    pub returning: BTreeMap<String, f64>,
    pub unsound: Option<String>,
}

#[derive(Clone, Debug, Default)]
pub struct Rows {
    pub rows: Vec<Row>,
    /// Lines that can't be read: one cut off by a kill, or of a later version.
    pub skipped: usize,
}

impl Rows {
    /// Reads all lines that are this experiment's, in this mode.
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

    /// The run of this pair and arm; one that was not sound does not count, and is run again.
    pub fn sound_run(&self, pair: usize, arm: &str) -> Option<&Row> {
        self.rows.iter().rev().find(|r| r.pair == pair && r.arm == arm && r.unsound.is_none())
    }

    /// How often a pair's arm was tried without a sound run.
    pub fn unsound_runs(&self, pair: usize, arm: &str) -> usize {
        self.rows.iter().filter(|r| r.pair == pair && r.arm == arm && r.unsound.is_some()).count()
    }

    /// Pairs whole in all arms, from the first on.
    pub fn complete_pairs(&self, arms: &[String]) -> usize {
        (0..).take_while(|pair| arms.iter().all(|arm| self.sound_run(*pair, arm).is_some())).count()
    }
}
