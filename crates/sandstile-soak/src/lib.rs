//! Fault soak: several real router processes between stand-ins for clients, database hosts and discovery, with faults
//! drawn by a seed: system calls that fail (`sandstile-shim`), signals in series, hosts that hang, refuse, reset or
//! drain, discovery that is silent. What clients and hosts saw is judged afterwards; the seed repeats the plan.
pub mod acceptor;
pub mod agent;
pub mod client;
pub mod host;
pub mod judge;
pub mod plan;
pub mod process;
pub mod record;
pub mod run;
