//! The sign-flip test: without a true difference, each pair's difference could as well have had the opposite sign. The
//! p-value is the share of random sign assignments whose mean is at least as extreme as the observed one.
use oorandom::Rand64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Two-sided.
    Both,
    /// The mean is greater than zero.
    Above,
    /// The mean is less than zero.
    Below,
}

/// Up to this many pairs, all sign assignments are evaluated and the p-value is exact.
const MAX_EXACT_PAIRS: usize = 14;
/// For more pairs, this many assignments are drawn.
const DRAWN_ASSIGNMENTS: u32 = 4_000;

/// The share of sign assignments whose sum is at least as extreme as the observed one; 1 for no pairs. The test is valid
/// also with drawn assignments, because the observed assignment counts as one of them.
pub fn p_value(differences: &[f64], side: Side, seed: u64) -> f64 {
    let observed: f64 = differences.iter().sum();
    let max_difference = differences.iter().map(|d| d.abs()).fold(0.0, f64::max);
    if max_difference == 0.0 {
        return 1.0;
    }
    // Sums in another order are rounded differently; sums that differ by no more than that count as equal.
    let slack = max_difference * differences.len() as f64 * 1e-12;
    let is_as_extreme = |sum: f64| match side {
        Side::Both => sum.abs() >= observed.abs() - slack,
        Side::Above => sum >= observed - slack,
        Side::Below => sum <= observed + slack,
    };
    let n = differences.len();
    if n <= MAX_EXACT_PAIRS {
        let assignments = 1u32 << n;
        let flipped = |assignment: u32| -> f64 {
            differences.iter().enumerate().map(|(k, d)| if assignment >> k & 1 == 1 { -d } else { *d }).sum()
        };
        let extreme = (0..assignments).filter(|assignment| is_as_extreme(flipped(*assignment))).count();
        return extreme as f64 / f64::from(assignments);
    }
    let mut rng = Rand64::new(u128::from(seed));
    let mut extreme = 1u32;
    for _ in 0..DRAWN_ASSIGNMENTS {
        let (mut sum, mut bits) = (0.0, 0u64);
        for (k, d) in differences.iter().enumerate() {
            if k % 64 == 0 {
                bits = rng.rand_u64();
            }
            sum += if bits >> (k % 64) & 1 == 1 { -d } else { *d };
        }
        extreme += u32::from(is_as_extreme(sum));
    }
    f64::from(extreme) / f64::from(DRAWN_ASSIGNMENTS + 1)
}
