//! Looking at an experiment while it runs without cheating: the share of false claims that is allowed is spent over
//! the looks (Lan and DeMets, Discrete sequential boundaries for clinical trials, 1983), here evenly over the pairs
//! between them. The sum over all looks bounds the share of experiments that ever claim falsely, whatever
//! the looks have in common.

/// When an experiment is looked at, and what each look may spend.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The share of experiments without a true difference that may claim one.
    pub level: f64,
    /// Pairs at the first look, between looks, and at the last.
    pub first_at: usize,
    pub step: usize,
    pub max_pairs: usize,
}

impl Plan {
    /// The pairs at which there are looks, in order; the last always among them.
    pub fn looks(&self) -> Vec<usize> {
        let mut looks: Vec<usize> =
            (self.first_at.max(1)..self.max_pairs).step_by(self.step.max(1)).collect();
        looks.push(self.max_pairs.max(1));
        looks
    }
}

/// Keeps count of what has been spent.
pub struct InterimAnalyses {
    plan: Plan,
    seen: usize,
}

impl InterimAnalyses {
    pub fn new(plan: Plan) -> InterimAnalyses {
        InterimAnalyses { plan, seen: 0 }
    }

    /// With so many pairs there: the level for a look now, or `None` where none is due. Each look is given out once,
    /// and what was not looked at is not lost: it goes to the next.
    pub fn level_at(&mut self, pairs: usize) -> Option<f64> {
        let due = self.plan.looks().into_iter().filter(|at| *at <= pairs && *at > self.seen).max()?;
        let part = (due - self.seen) as f64 / self.plan.max_pairs.max(1) as f64;
        self.seen = due;
        Some(self.plan.level * part)
    }

    pub fn is_over(&self) -> bool {
        self.seen >= self.plan.max_pairs
    }

    /// Where an experiment that was broken off goes on: looks up to here were taken.
    pub fn resume(&mut self, pairs: usize) {
        self.seen = self.plan.looks().into_iter().filter(|at| *at <= pairs).max().unwrap_or(0);
    }
}
