//! The phases of a graceful shutdown. Whatever the clients do, the last one ends before the platform kills the
//! router.

/// Seconds after the request to end for which the router serves on: new connections arrive for 0.4 s at most,
/// and clients learn of the end only through their connections.
const SERVING_WINDOW_S: f64 = 0.5;
/// The platform waits for the longest deadline of the settings, at most this many seconds, and
/// `KILL_MARGIN_S` beyond it.
const MAX_KILL_DEADLINE_S: f64 = 3.0;
const KILL_MARGIN_S: f64 = 0.7;
/// Seconds before the kill at which the last statement is refused, the last connection is closed, and the
/// process ends.
const REFUSE_BEFORE_KILL_S: f64 = 0.4;
const CLOSE_BEFORE_KILL_S: f64 = 0.3;
const END_BEFORE_KILL_S: f64 = 0.2;
/// Seconds that the decisions have for refusing the statements whose time is up.
const DECISION_MARGIN_S: f64 = 0.05;

/// What is to be done when a phase ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShutdownStep {
    /// The serving window is over: what has arrived is read once more, and nothing after it.
    StopReading,
    /// Every command that was read and has no answer yet is refused.
    RefuseUnanswered,
    /// Every connection that is still open is closed.
    CloseAll,
}

/// The schedule of one shutdown. Times are Unix seconds.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    window_ends_at: f64,
    refuse_at: f64,
    close_at: f64,
    end_at: f64,
    last_step: Option<ShutdownStep>,
}

impl Shutdown {
    /// A shutdown requested at `now`; `longest_deadline` is the longest deadline of the settings in seconds.
    pub fn begin(now: f64, longest_deadline: f64) -> Shutdown {
        let killed_at = now + longest_deadline.min(MAX_KILL_DEADLINE_S) + KILL_MARGIN_S;
        let refuse_at = killed_at - REFUSE_BEFORE_KILL_S;
        Shutdown {
            window_ends_at: (now + SERVING_WINDOW_S).min(refuse_at),
            refuse_at,
            close_at: killed_at - CLOSE_BEFORE_KILL_S,
            end_at: killed_at - END_BEFORE_KILL_S,
            last_step: None,
        }
    }

    fn next(&self) -> Option<(f64, ShutdownStep)> {
        match self.last_step {
            None => Some((self.window_ends_at, ShutdownStep::StopReading)),
            Some(ShutdownStep::StopReading) => Some((self.refuse_at, ShutdownStep::RefuseUnanswered)),
            Some(ShutdownStep::RefuseUnanswered) => Some((self.close_at, ShutdownStep::CloseAll)),
            Some(ShutdownStep::CloseAll) => None,
        }
    }

    /// When `take_step` is due next; infinite after the last step.
    pub fn due(&self) -> f64 {
        self.next().map_or(f64::INFINITY, |(at, _)| at)
    }

    /// The next step, if it is due at `now`.
    pub fn take_step(&mut self, now: f64) -> Option<ShutdownStep> {
        let (_, step) = self.next().filter(|(at, _)| *at <= now)?;
        self.last_step = Some(step);
        Some(step)
    }

    /// Whether the serving window is over.
    pub fn window_closed(&self) -> bool {
        self.last_step.is_some()
    }

    /// No statement is waited for beyond this time: the decisions refuse it before everything else is refused,
    /// as they know whether it has run.
    pub fn latest_deadline(&self) -> f64 {
        self.refuse_at - DECISION_MARGIN_S
    }

    /// When the process has to end.
    pub fn end_at(&self) -> f64 {
        self.end_at
    }
}
