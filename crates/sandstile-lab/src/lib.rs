//! Rehearsals: the emulator, real router processes and clients on one machine, with a trace of all of them and the
//! audit of that trace. Also experiments, hunts, soaks, simulations and measurements, with their reports and charts.
pub mod capacity;
pub mod charts;
pub mod clients;
pub mod control_queries;
pub mod experiment;
pub mod hunt;
pub mod membership_scaling;
pub mod recordings;
pub mod rehearse;
pub mod replication_scaling;
pub mod report;
pub mod restart_scaling;
pub mod router_process;
pub mod scale_out;
pub mod soak;
pub mod trace_writer;
