//! How many routers share the hosts. The file says how many there are to be; members as lived can say so better, both ways within
//! bounds: more of them count at once, for each then has less, fewer only after they have stood for long in an agreed view.
use crate::{may, About, View, Way};

/// Seconds for which fewer have to stand, agreed, before this router takes a larger part.
const STANDS: f64 = 30.0;
/// Of those that the file names, at least this part is reckoned with: the others may be there, behind a cut.
const LEAST: f64 = 0.5;
/// And at most so many times as many.
const MOST: f64 = 4.0;

#[derive(Clone, Debug)]
pub struct Sharers {
    configured: f64,
    counted: f64,
    /// The most that were seen since this router began to see fewer, and when that was.
    fewer: Option<(f64, f64)>,
}

impl Sharers {
    pub fn new(configured: usize) -> Sharers {
        let configured = configured.max(1) as f64;
        Sharers { configured, counted: configured, fewer: None }
    }

    /// How many to reckon with.
    pub fn count(&self) -> f64 {
        self.counted
    }

    /// So many are there, this router among them.
    pub fn look(&mut self, now: f64, view: View, there: usize) -> f64 {
        let there = (there.max(1) as f64).clamp((self.configured * LEAST).max(1.0), self.configured * MOST);
        if there >= self.counted {
            (self.counted, self.fewer) = (there, None);
            return self.counted;
        }
        // That they are gone is what its own eyes have seen: whom it holds for there is nobody else's word alone.
        if !may(view, About::Sharers, Way::LessCareful, true) {
            self.fewer = None;
            return self.counted;
        }
        match self.fewer {
            Some((most, since)) if now >= since + STANDS => {
                (self.counted, self.fewer) = (most.max(there), None);
            }
            Some((most, since)) => self.fewer = Some((most.max(there), since)),
            None => self.fewer = Some((there, now)),
        }
        self.counted
    }
}
