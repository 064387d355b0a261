//! An interval for the mean difference: all shifts that the sign-flip test would not refuse. A throw of signs is as far
//! off as what was seen just where the mean of the pairs that it flips lies on the other side of the shift, so that
//! the ends are quantiles of means of subsets (Hartigan, Using subsample values as typical values, 1969). It has the
//! test's own validity, and the two can't disagree.
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

/// Up to so many pairs all subsets are gone through.
const EXACT: usize = 14;
/// Else so many are drawn.
const DRAWN: usize = 20_000;

/// Of the mean difference, to miss the truth in no more than this share of experiments. Infinite on a side where there
/// are too few pairs to say anything.
pub fn interval(differences: &[f64], miss: f64, seed: u64) -> Interval {
    let mut means = subset_means(differences, seed);
    means.sort_by(f64::total_cmp);
    // The throw that was seen flips nothing, and counts as one of them.
    let all = means.len() + 1;
    let outside = (all as f64 * miss / 2.0).floor() as usize;
    let (mut low, mut high) = (f64::NEG_INFINITY, f64::INFINITY);
    if outside > 0 && outside <= means.len() {
        (low, high) = (means[outside - 1], means[means.len() - outside]);
    }
    Interval { low, mean: mean(differences), high }
}

/// The means of all subsets but the empty one, or of as many drawn ones.
fn subset_means(differences: &[f64], seed: u64) -> Vec<f64> {
    let n = differences.len();
    let of = |chosen: &dyn Fn(usize) -> bool| -> Option<f64> {
        let (sum, count) = differences
            .iter()
            .enumerate()
            .filter(|(k, _)| chosen(*k))
            .fold((0.0, 0), |(sum, count), (_, d)| (sum + d, count + 1));
        (count > 0).then(|| sum / f64::from(count))
    };
    if n <= EXACT {
        return (1..1u32 << n).filter_map(|subset| of(&|k| subset >> k & 1 == 1)).collect();
    }
    let mut chance = Rand64::new(u128::from(seed));
    let mut bits = vec![0u64; n.div_ceil(64)];
    (0..DRAWN)
        .filter_map(|_| {
            bits.iter_mut().for_each(|word| *word = chance.rand_u64());
            of(&|k| bits[k / 64] >> (k % 64) & 1 == 1)
        })
        .collect()
}
