//! PostgreSQL's wire protocol, version 3, as far as simple queries go: frames and what they hold, for the asking
//! side and the serving one. No sockets: router, emulator and load tool share this one codec.
mod answer;
mod backend;
mod frame;
mod frontend;

pub use answer::{field, role, sqlstate, Answer, Stage};
pub use backend::{command_complete, empty_query, error, mode, parameter, ready, row, startup_response};
pub use frame::{
    check_plausible, frame, frame_end, startup, write_frame, BadFrame, Startup, MAX_FRAME_BYTES,
    MAX_STARTUP_BYTES, TYPICAL_VALUE_BYTES,
};
pub use frontend::{query, startup_message, terminate, ClientMessage, MessageReader};
