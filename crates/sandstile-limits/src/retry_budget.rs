//! Retry budgets: each completed first try of a workload and group earns a fraction of a retry. Without
//! completions there are no retries, and after an outage retries grow in proportion to what the group serves.
use std::collections::BTreeMap;

/// The largest number of saved tokens, so that a long period without retries does not allow a burst.
const MAX_TOKENS: f64 = 10.0;
/// The number of pairs of workload and group that are tracked; the least recently used one is dropped.
const MAX_PAIRS: usize = 1024;

pub struct RetryBudgets {
    ratio: f64,
    pairs: BTreeMap<(usize, usize), (f64, u64)>,
    use_count: u64,
}

impl RetryBudgets {
    /// `ratio` is the number of retries for each completed first try.
    pub fn new(ratio: f64) -> Self {
        RetryBudgets { ratio, pairs: BTreeMap::new(), use_count: 0 }
    }

    fn tokens_mut(&mut self, workload: usize, group: usize) -> &mut f64 {
        self.use_count += 1;
        let key = (workload, group);
        if self.pairs.len() >= MAX_PAIRS && !self.pairs.contains_key(&key) {
            let oldest = self.pairs.iter().min_by_key(|(_, (_, last_use))| *last_use).map(|(key, _)| *key);
            oldest.map(|key| self.pairs.remove(&key));
        }
        // Starts with one token: the first retry finds out whether the group is back.
        let (tokens, last_use) = self.pairs.entry(key).or_insert((1.0, 0));
        *last_use = self.use_count;
        tokens
    }

    pub fn earn(&mut self, workload: usize, group: usize) {
        let ratio = self.ratio;
        let tokens = self.tokens_mut(workload, group);
        *tokens = (*tokens + ratio).min(MAX_TOKENS);
    }

    /// Takes a token if there is one.
    pub fn spend(&mut self, workload: usize, group: usize) -> bool {
        let tokens = self.tokens_mut(workload, group);
        let allowed = *tokens >= 1.0;
        if allowed {
            *tokens -= 1.0;
        }
        allowed
    }

    pub fn entry_count(&self) -> usize {
        self.pairs.len()
    }
}
