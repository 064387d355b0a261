//! Input handling shared by all programs that embed the routing decisions, independent of the protocol: the
//! settings of a deployment, interning of ids as small indices, the slots of sessions, and the current list of
//! database hosts. It makes no decisions.
pub mod host_list;
pub mod interner;
pub mod session_slots;
pub mod settings;
