//! PostgreSQL's wire protocol, version 3, as far as simple queries go: frames and what they hold, for the asking
//! side and the serving one. No sockets: router, emulator and load tool share this one codec.
mod answer;
mod backend;
mod frame;
mod frontend;

pub use answer::{field, role, sqlstate, Answer, Stage};
pub use backend::{done, empty_query, error, mode, parameter, ready, row, welcome};
pub use frame::{
    end, frame, plausible, put, startup, BadFrame, Startup, MOST_FRAME, MOST_STARTUP, USUAL_VALUE,
};
pub use frontend::{hello, query, terminate, Ear, Heard};
