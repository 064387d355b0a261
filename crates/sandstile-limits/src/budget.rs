//! Retry budgets: each completed first try of a workload and group earns a fraction of a retry. Without
//! completions there are no retries, and after an outage retries grow in proportion to what the group serves.
use std::collections::BTreeMap;

/// Limits the tokens saved, so that a long calm period does not allow a burst.
const MOST: f64 = 10.0;
/// The number of pairs of workload and group that are tracked; the least recently used one is dropped.
const MOST_PAIRS: usize = 1024;

pub struct Budgets {
    share: f64,
    pairs: BTreeMap<(usize, usize), (f64, u64)>,
    uses: u64,
}

impl Budgets {
    /// `ratio` is the number of retries for each completed first try.
    pub fn new(share: f64) -> Self {
        Budgets { share, pairs: BTreeMap::new(), uses: 0 }
    }

    fn pair(&mut self, workload: usize, group: usize) -> &mut f64 {
        self.uses += 1;
        let key = (workload, group);
        if self.pairs.len() >= MOST_PAIRS && !self.pairs.contains_key(&key) {
            let oldest = self.pairs.iter().min_by_key(|(_, (_, used))| *used).map(|(key, _)| *key);
            oldest.map(|key| self.pairs.remove(&key));
        }
        // Starts with one token: the first retry finds out whether the group is back.
        let (tokens, used) = self.pairs.entry(key).or_insert((1.0, 0));
        *used = self.uses;
        tokens
    }

    pub fn earn(&mut self, workload: usize, group: usize) {
        let share = self.share;
        let tokens = self.pair(workload, group);
        *tokens = (*tokens + share).min(MOST);
    }

    /// Takes a token if there is one.
    pub fn spend(&mut self, workload: usize, group: usize) -> bool {
        let tokens = self.pair(workload, group);
        let has = *tokens >= 1.0;
        if has {
            *tokens -= 1.0;
        }
        has
    }

    pub fn held(&self) -> usize {
        self.pairs.len()
    }
}
