//! The decisions of sandstile: `policy` decides, `terms` holds the plain types of its interface, `state` the
//! records it keeps.
pub mod policy;
mod state;
pub mod terms;
