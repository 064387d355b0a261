//! The number of routers that share the hosts. The configured number is adjusted, within bounds, to the live members. A higher number
//! counts at once, because each router's share then shrinks; a lower one counts only after it has lasted in an agreed view.
use crate::{may_act, Direction, Topic, View};

/// How long a lower number has to last in an agreed view before this router takes a larger share.
const SHRINK_DELAY_S: f64 = 30.0;
/// At least this fraction of the configured number is assumed, because missing routers may run behind a network partition.
const MIN_FRACTION: f64 = 0.5;
/// At most this multiple of the configured number is assumed.
const MAX_MULTIPLE: f64 = 4.0;

#[derive(Clone, Debug)]
pub struct SharingRouters {
    configured: f64,
    count: f64,
    /// The highest number observed since the observations fell below `count`, and when they did.
    lower: Option<(f64, f64)>,
}

impl SharingRouters {
    pub fn new(configured: usize) -> SharingRouters {
        let configured = configured.max(1) as f64;
        SharingRouters { configured, count: configured, lower: None }
    }

    /// The number of routers to assume.
    pub fn count(&self) -> f64 {
        self.count
    }

    /// Processes an observation of `live` routers, including this one, and returns the number to assume.
    pub fn observe(&mut self, now: f64, view: View, live: usize) -> f64 {
        let live = (live.max(1) as f64)
            .clamp((self.configured * MIN_FRACTION).max(1.0), self.configured * MAX_MULTIPLE);
        if live >= self.count {
            (self.count, self.lower) = (live, None);
            return self.count;
        }
        // `own` is true because this router's own member list shows that they are gone, not only a peer's report.
        if !may_act(view, Topic::SharingRouters, Direction::LessCareful, true) {
            self.lower = None;
            return self.count;
        }
        match self.lower {
            Some((highest, since)) if now >= since + SHRINK_DELAY_S => {
                (self.count, self.lower) = (highest.max(live), None);
            }
            Some((highest, since)) => self.lower = Some((highest.max(live), since)),
            None => self.lower = Some((live, now)),
        }
        self.count
    }
}
