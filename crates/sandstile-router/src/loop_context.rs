//! What all that the carrier's thread carries works with.
use crate::budget::Budget;
use crate::clock::Clock;
use crate::counters::Counters;
use mio::{Registry, Token};
use sandstile_timers::TimerWheel;
use slog::Logger;
use std::collections::VecDeque;
use std::sync::Arc;

/// Reads or commands for which one line may go on before the others have their turn.
pub const TURN: usize = 8;

/// What all lines work with.
pub struct LoopContext {
    pub registry: Registry,
    pub clock: Clock,
    /// What is told in this turn of the loop came no earlier than then.
    pub events_since: f64,
    pub budget: Budget,
    pub counters: Arc<Counters>,
    pub log: Logger,
    pub timers: TimerWheel<Token>,
    /// Lines with something to do, in the order of their turns.
    pub queue: VecDeque<Token>,
    pub scratch: Vec<u8>,
}
