//! The routing decisions of sandstile: `policy` decides, `terms` holds the plain types of its interface,
//! `state` the records that it keeps.
pub mod policy;
mod state;
pub mod terms;
