//! Rehearsal scripts. `script` parses HCL into a checked script or a list of problems with their positions,
//! `cue_scheduler` schedules the script's cues as events occur, and `traffic` generates the arrivals of client
//! statements. This crate opens no file and reads no clock.
pub mod cue_scheduler;
pub mod script;
pub mod traffic;

pub use cue_scheduler::{CueScheduler, ScenarioEvent};
pub use sandstile_hcl::Problem;
pub use script::Script;
