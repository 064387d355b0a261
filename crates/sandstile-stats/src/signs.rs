//! The sign-flip test: without a true difference, each pair's difference could as well have had the other sign. How
//! often would signs thrown by chance give a mean so far off?
use oorandom::Rand64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Off in either direction.
    Both,
    /// Above.
    Above,
    /// Below.
    Below,
}

/// Up to so many pairs all throws are gone through, and the answer is exact.
const EXACT: usize = 14;
/// Else so many are drawn.
const DRAWN: u32 = 4_000;

/// The share of throws whose sum is at least as far off as the one seen; 1 for no pairs. Valid as it stands: the
/// throw that was seen counts among them.
pub fn p_value(differences: &[f64], side: Side, seed: u64) -> f64 {
    let seen: f64 = differences.iter().sum();
    let size = differences.iter().map(|d| d.abs()).fold(0.0, f64::max);
    if size == 0.0 {
        return 1.0;
    }
    // Sums in another order round otherwise: what is equal but for that counts as equal.
    let slack = size * differences.len() as f64 * 1e-12;
    let as_far = |sum: f64| match side {
        Side::Both => sum.abs() >= seen.abs() - slack,
        Side::Above => sum >= seen - slack,
        Side::Below => sum <= seen + slack,
    };
    let n = differences.len();
    if n <= EXACT {
        let throws = 1u32 << n;
        let flipped = |throw: u32| -> f64 {
            differences.iter().enumerate().map(|(k, d)| if throw >> k & 1 == 1 { -d } else { *d }).sum()
        };
        let far = (0..throws).filter(|throw| as_far(flipped(*throw))).count();
        return far as f64 / f64::from(throws);
    }
    let mut chance = Rand64::new(u128::from(seed));
    let mut far = 1u32;
    for _ in 0..DRAWN {
        let (mut sum, mut bits) = (0.0, 0u64);
        for (k, d) in differences.iter().enumerate() {
            if k % 64 == 0 {
                bits = chance.rand_u64();
            }
            sum += if bits >> (k % 64) & 1 == 1 { -d } else { *d };
        }
        far += u32::from(as_far(sum));
    }
    f64::from(far) / f64::from(DRAWN + 1)
}
