//! Rehearsal scripts. `read` turns HCL into checked sections, `script` into a whole script or a list of problems
//! with their places, `director` says which of its cues are due as things happen, `traffic` what clients ask when.
//! Nothing here opens a file or reads a clock.
pub mod director;
pub mod read;
pub mod script;
pub mod traffic;

pub use director::{Director, Happening};
pub use read::Problem;
pub use script::Script;
