//! What the event loop shares with everything that runs on its thread.
use crate::budget::Budget;
use crate::clock::Clock;
use crate::counters::Counters;
use mio::{Registry, Token};
use sandstile_timers::TimerWheel;
use slog::Logger;
use std::collections::VecDeque;
use std::sync::Arc;

/// Reads or commands that one connection may handle before the other connections get their turn.
pub const MAX_STEPS_PER_TURN: usize = 8;

/// State shared by all connections of the event loop.
pub struct LoopContext {
    pub registry: Registry,
    pub clock: Clock,
    /// The events of this iteration occurred no earlier than this time.
    pub events_since: f64,
    pub budget: Budget,
    pub counters: Arc<Counters>,
    pub log: Logger,
    pub timers: TimerWheel<Token>,
    /// Connections with work to do, in the order in which they are served.
    pub queue: VecDeque<Token>,
    pub scratch: Vec<u8>,
}
