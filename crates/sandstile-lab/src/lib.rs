//! Rehearsals: the emulator, real router processes and clients on one machine, with a trace of all of them and the
//! audit of that trace. Also experiments, hunts, soaks, simulations and measurements, with their reports and charts.
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
