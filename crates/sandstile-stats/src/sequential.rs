//! Interim looks at a running experiment without more false claims (alpha spending): the allowed share of false claims
//! is divided among the looks (Lan and DeMets, Discrete sequential boundaries for clinical trials, 1983), here in
//! proportion to the pairs between them. The sum over all looks bounds the share of experiments that ever make a false
//! claim, however the looks are correlated.

/// The numbers of pairs after which an experiment is analysed, and its significance level.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The share of experiments without a true difference that may claim one.
    pub level: f64,
    /// Numbers of pairs: at the first look, between looks, and at the last look.
    pub first_at: usize,
    pub step: usize,
    pub max_pairs: usize,
}

impl Plan {
    /// The numbers of pairs at which there are looks, sorted; the last look is always included.
    pub fn looks(&self) -> Vec<usize> {
        let mut looks: Vec<usize> =
            (self.first_at.max(1)..self.max_pairs).step_by(self.step.max(1)).collect();
        looks.push(self.max_pairs.max(1));
        looks
    }
}

/// Tracks which looks were taken.
pub struct InterimAnalyses {
    plan: Plan,
    /// The number of pairs at the last look; 0 for none.
    last_look: usize,
}

impl InterimAnalyses {
    pub fn new(plan: Plan) -> InterimAnalyses {
        InterimAnalyses { plan, last_look: 0 }
    }

    /// The significance level for a look after this many pairs, or `None` if none is due. Each look is due once. What
    /// skipped looks could have spent is added to the next.
    pub fn level_at(&mut self, pairs: usize) -> Option<f64> {
        let due = self.plan.looks().into_iter().filter(|at| *at <= pairs && *at > self.last_look).max()?;
        let share = (due - self.last_look) as f64 / self.plan.max_pairs.max(1) as f64;
        self.last_look = due;
        Some(self.plan.level * share)
    }

    pub fn is_over(&self) -> bool {
        self.last_look >= self.plan.max_pairs
    }

    /// Resumes an interrupted experiment after this many pairs; all looks up to there count as taken.
    pub fn resume(&mut self, pairs: usize) {
        self.last_look = self.plan.looks().into_iter().filter(|at| *at <= pairs).max().unwrap_or(0);
    }
}
