//! PostgreSQL's wire protocol, version 3, limited to simple queries: frames and their contents for clients
//! and servers. It opens no sockets, so that the router, the emulator and the load tool share this codec.
mod answer;
mod backend;
mod frame;
mod frontend;

pub use answer::{field, role, sqlstate, Answer, Stage};
pub use backend::{command_complete, empty_query, error, mode, parameter, ready, row, startup_response};
pub use frame::{
    check_plausible, frame, frame_end, startup, startup_end, write_frame, BadFrame, Startup, MAX_FRAME_BYTES,
    MAX_STARTUP_BYTES, TYPICAL_VALUE_BYTES,
};
pub use frontend::{query, startup_message, terminate, ClientMessage, MessageReader};
