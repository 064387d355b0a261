//! Rehearsals: the emulator, real router processes and clients on one machine, a trace of all of it, and what
//! the audit says of that.
pub mod capacity;
pub mod charts;
pub mod clients;
pub mod control_queries;
pub mod copies;
pub mod experiment;
pub mod hunt;
pub mod members;
pub mod processes;
pub mod recordings;
pub mod rehearse;
pub mod report;
pub mod returns;
pub mod scale_out;
pub mod soak;
pub mod trace_writer;
