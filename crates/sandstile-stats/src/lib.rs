//! Whether one arm of an experiment differs from another, by how much and with what certainty. No I/O: input is numbers
//! and a seed, output is a verdict.
//!
//! Runs come in pairs: both arms with the same seed, one right after the other, so that what affects both cancels out in
//! the difference of a pair. The only assumption is that, without a true difference, a pair's difference is as likely to
//! have one sign as the other (Fisher's randomisation test, The Design of Experiments, 1935).
pub mod interval;
pub mod sequential;
pub mod sign_flip_test;
pub mod verdict;

pub use interval::{interval, Interval};
pub use sequential::{InterimAnalyses, Plan};
pub use sign_flip_test::{p_value, Side};
pub use verdict::{judge, Measure, Verdict};

/// The arithmetic mean; 0 for no values.
pub fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.iter().sum::<f64>() / values.len() as f64
}

/// A quantile of sorted values, by linear interpolation.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    match sorted {
        [] => 0.0,
        [one] => *one,
        _ => {
            let position = share.clamp(0.0, 1.0) * (sorted.len() - 1) as f64;
            let (low, fraction) = (position.floor() as usize, position.fract());
            let high = (low + 1).min(sorted.len() - 1);
            sorted[low] + fraction * (sorted[high] - sorted[low])
        }
    }
}
