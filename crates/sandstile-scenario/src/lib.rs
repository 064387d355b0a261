//! Rehearsal scripts. `script` turns HCL into a whole script or a list of problems
//! with their places, `director` says which of its cues are due as things happen, `traffic` what clients ask when.
//! Nothing here opens a file or reads a clock.
pub mod director;
pub mod script;
pub mod traffic;

pub use director::{CueScheduler, ScenarioEvent};
pub use sandstile_hcl::Problem;
pub use script::Script;
