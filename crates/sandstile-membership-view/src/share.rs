//! How many routers share the hosts. The file says how many there are to be; members as lived can say so better, both ways within
//! bounds: more of them count at once, for each then has less, fewer only after they have stood for long in an agreed view.
use crate::{may_act, Direction, Topic, View};

/// Seconds for which fewer have to stand, agreed, before this router takes a larger part.
const SHRINK_DELAY_S: f64 = 30.0;
/// Of those that the file names, at least this part is reckoned with: the others may be there, behind a cut.
const MIN_FRACTION: f64 = 0.5;
/// And at most so many times as many.
const MAX_MULTIPLE: f64 = 4.0;

#[derive(Clone, Debug)]
pub struct SharingRouters {
    configured: f64,
    count: f64,
    /// The most that were seen since this router began to see fewer, and when that was.
    lower: Option<(f64, f64)>,
}

impl SharingRouters {
    pub fn new(configured: usize) -> SharingRouters {
        let configured = configured.max(1) as f64;
        SharingRouters { configured, count: configured, lower: None }
    }

    /// How many to reckon with.
    pub fn count(&self) -> f64 {
        self.count
    }

    /// So many are there, this router among them.
    pub fn observe(&mut self, now: f64, view: View, live: usize) -> f64 {
        let live = (live.max(1) as f64)
            .clamp((self.configured * MIN_FRACTION).max(1.0), self.configured * MAX_MULTIPLE);
        if live >= self.count {
            (self.count, self.lower) = (live, None);
            return self.count;
        }
        // That they are gone is what its own eyes have seen: whom it holds for there is nobody else's word alone.
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
