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

/// Bytes read after which a connection's turn ends, whatever steps it has left.
pub const MAX_BYTES_PER_TURN: usize = 64 * 1024;

/// Seconds ahead for which a timer is set at most; it is set again when it fires. Entries of connections that have
/// closed stay until they fire, and clients choose how far ahead their deadlines are.
const MAX_TIMER_S: f64 = 10.0;

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

impl LoopContext {
    /// Sets a timer for `due`, or for an earlier time at which the owner sets it again. Returns that time.
    pub fn set_timer(&mut self, due: f64, token: Token) -> f64 {
        let due = due.min(self.clock.now() + MAX_TIMER_S);
        self.timers.push(due, token);
        due
    }
}
