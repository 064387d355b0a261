//! A confidence interval for the mean difference: all shifts that the sign-flip test does not reject. A sign assignment
//! is as extreme as the observed one exactly where the mean of the pairs that it flips lies on the other side of the
//! shift, so the ends of the interval are quantiles of means of subsets (Hartigan, Using subsample values as typical
//! values, 1969). The interval is as valid as the test and never contradicts it.
use crate::mean;
use oorandom::Rand64;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Interval {
    pub low: f64,
    pub mean: f64,
    pub high: f64,
}

impl Interval {
    pub fn contains(&self, value: f64) -> bool {
        (self.low..=self.high).contains(&value)
    }
}

/// Up to this many pairs, all subsets are evaluated.
const MAX_EXACT_PAIRS: usize = 14;
/// For more pairs, this many subsets are drawn.
const DRAWN_SUBSETS: usize = 20_000;

/// The confidence interval of the mean difference that misses the true value in at most the share `miss_rate` of
/// experiments. An end is infinite where there are too few pairs.
pub fn interval(differences: &[f64], miss_rate: f64, seed: u64) -> Interval {
    let mut means = subset_means(differences, seed);
    means.sort_by(f64::total_cmp);
    // The observed assignment flips nothing and counts as one of them.
    let all = means.len() + 1;
    let outside = (all as f64 * miss_rate / 2.0).floor() as usize;
    let (mut low, mut high) = (f64::NEG_INFINITY, f64::INFINITY);
    if outside > 0 && outside <= means.len() {
        (low, high) = (means[outside - 1], means[means.len() - outside]);
    }
    Interval { low, mean: mean(differences), high }
}

/// The means of all non-empty subsets, or of a random sample of them.
fn subset_means(differences: &[f64], seed: u64) -> Vec<f64> {
    let n = differences.len();
    let mean_of = |is_chosen: &dyn Fn(usize) -> bool| -> Option<f64> {
        let (sum, count) = differences
            .iter()
            .enumerate()
            .filter(|(k, _)| is_chosen(*k))
            .fold((0.0, 0), |(sum, count), (_, d)| (sum + d, count + 1));
        (count > 0).then(|| sum / f64::from(count))
    };
    if n <= MAX_EXACT_PAIRS {
        return (1..1u32 << n).filter_map(|subset| mean_of(&|k| subset >> k & 1 == 1)).collect();
    }
    let mut rng = Rand64::new(u128::from(seed));
    let mut bits = vec![0u64; n.div_ceil(64)];
    (0..DRAWN_SUBSETS)
        .filter_map(|_| {
            bits.iter_mut().for_each(|word| *word = rng.rand_u64());
            mean_of(&|k| bits[k / 64] >> (k % 64) & 1 == 1)
        })
        .collect()
}
