//! Do we see the same as the others? Four answers, with hysteresis: worse news count at once, better ones once they have stood.

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum View {
    /// All that are there tell the view that we have.
    Agreed,
    /// Somebody is suspected, has just come or gone, or tells another view.
    Settling,
    /// Many of those that were there are gone without a farewell: they are lost, or we are.
    CutOff,
    /// Nobody is there, though somebody was or should be.
    Alone,
}

impl View {
    pub fn label(self) -> &'static str {
        match self {
            View::Agreed => "agreed",
            View::Settling => "settling",
            View::CutOff => "cut off from some",
            View::Alone => "alone",
        }
    }
}

/// What is seen at one time; counts leave this router out.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observation {
    pub live: usize,
    pub suspects: usize,
    /// Gone without a farewell and not forgotten yet.
    pub dead: usize,
    /// Of those that told a view of late, how many told another.
    pub differing: usize,
    /// Where others were to be found by the file.
    pub seeds: usize,
    /// Nobody was heard for so long that it is no chance: whom this router holds for there says nothing.
    pub silent: bool,
    /// Others say that this router is dead, though it is not: they do not hear it.
    pub declared_dead: bool,
}

/// This share of those that were there, gone at once, is a cut and no crash.
const CUT_OFF_FRACTION: f64 = 1.0 / 3.0;
/// Seconds for which a better view has to stand.
const IMPROVE_DELAY_S: f64 = 2.0;

#[derive(Clone, Debug)]
pub struct ViewTracker {
    view: View,
    since: f64,
    /// A better one that does not count yet, and since when it stands.
    better: Option<(View, f64)>,
    /// How often each has been entered, for the counters.
    pub entered: [u64; 4],
}

impl ViewTracker {
    pub fn new(now: f64) -> ViewTracker {
        ViewTracker { view: View::Alone, since: now, better: None, entered: [0; 4] }
    }

    pub fn view(&self) -> View {
        self.view
    }

    pub fn since(&self) -> f64 {
        self.since
    }

    fn classify(observation: &Observation) -> View {
        let total = observation.live + observation.dead;
        let others_expected = total > 0 || observation.seeds > 0;
        if others_expected && (observation.live == 0 || observation.silent) {
            View::Alone
        } else if observation.declared_dead
            || (observation.dead > 1 && observation.dead as f64 > CUT_OFF_FRACTION * total as f64)
        {
            View::CutOff
        } else if observation.suspects > 0 || observation.differing > 0 {
            View::Settling
        } else {
            View::Agreed
        }
    }

    /// A look; yields the view that holds from now on, where it is another.
    pub fn observe(&mut self, now: f64, observation: &Observation) -> Option<View> {
        let candidate = ViewTracker::classify(observation);
        if candidate >= self.view {
            self.better = None;
            return (candidate > self.view).then(|| self.enter(now, candidate));
        }
        match self.better {
            // The worst of what was seen meanwhile is what has stood.
            Some((pending, since)) => {
                let worst = pending.max(candidate);
                self.better = Some((worst, if worst > pending { now } else { since }));
                if now >= since + IMPROVE_DELAY_S && worst == pending {
                    return Some(self.enter(now, worst));
                }
            }
            None => self.better = Some((candidate, now)),
        }
        None
    }

    fn enter(&mut self, now: f64, view: View) -> View {
        (self.view, self.since, self.better) = (view, now, None);
        self.entered[view as usize] += 1;
        view
    }
}
