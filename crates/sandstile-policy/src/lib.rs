//! The decisions of sandstile: `policy` decides, `terms` holds the plain types of its interface.
pub mod policy;
pub mod terms;
