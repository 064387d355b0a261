//! Classifies how well this router's view of the members agrees with that of the others. A worse view takes effect at once, a
//! better one only after it has lasted (hysteresis).

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum View {
    /// All live members report the view that this router has.
    Agreed,
    /// A member is suspected, has just joined or gone, or reports another view.
    Settling,
    /// Many members died without leaving, or this router is reported dead: a part of the network is unreachable.
    CutOff,
    /// No other member is live or heard from, although some were or are configured.
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

/// The member list at one time. The counts exclude this router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observation {
    pub live: usize,
    pub suspects: usize,
    /// Members that died without leaving and are not forgotten yet.
    pub dead: usize,
    /// Members whose recent digest differs from the own one.
    pub differing: usize,
    /// Configured addresses of other members.
    pub seeds: usize,
    /// No datagram arrived for longer than packet loss explains; the number of live members is then meaningless.
    pub silent: bool,
    /// Others report this router dead, so they do not receive its datagrams.
    pub declared_dead: bool,
}

/// If more than this fraction of the members are dead, a network partition is assumed rather than crashes.
const CUT_OFF_FRACTION: f64 = 1.0 / 3.0;
/// How long a better view has to last before it counts.
const IMPROVE_DELAY_S: f64 = 2.0;

#[derive(Clone, Debug)]
pub struct ViewTracker {
    view: View,
    since: f64,
    /// A better view that does not count yet, and since when it has lasted.
    better: Option<(View, f64)>,
    /// How often each view has been entered.
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

    /// Processes an observation. Returns the new view if it changes.
    pub fn observe(&mut self, now: f64, observation: &Observation) -> Option<View> {
        let candidate = ViewTracker::classify(observation);
        if candidate >= self.view {
            self.better = None;
            return (candidate > self.view).then(|| self.enter(now, candidate));
        }
        match self.better {
            // Only the worst view seen during the delay can be entered.
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
