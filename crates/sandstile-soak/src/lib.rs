//! Fault soak: runs several real router processes between stand-ins for clients, database hosts and discovery, under
//! faults drawn from a seed: failing system calls (`sandstile-shim`), bursts of signals, hosts that hang, refuse, reset
//! or drain, and a silent discovery. What clients and hosts observed is judged afterwards; a seed always gives the same
//! plan.
pub mod acceptor;
pub mod agent;
pub mod client;
pub mod host;
pub mod judge;
pub mod plan;
pub mod process;
pub mod record;
pub mod run;
pub mod workers;
