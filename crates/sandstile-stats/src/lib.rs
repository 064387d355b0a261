//! Whether one arm of an experiment differs from another, by how much and how surely. Pure: numbers and a seed go
//! in, a verdict comes out.
//!
//! Runs come in pairs: both arms under the same seed, next to each other in time, so that the difference of a pair is
//! free of what moves both. What is assumed is only that without a true difference either arm is as likely to be ahead
//! in a pair by as much (Fisher's randomisation test, The Design of Experiments, 1935).
pub mod interval;
pub mod sequential;
pub mod signs;
pub mod verdict;

pub use interval::{interval, Interval};
pub use sequential::{InterimAnalyses, Plan};
pub use signs::{p_value, Side};
pub use verdict::{judge, Measure, Verdict};

/// Mean and nothing else; 0 for none.
pub fn mean(values: &[f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.iter().sum::<f64>() / values.len() as f64
}

/// The value below which this share lies, between neighbours as far as the share says.
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    match sorted {
        [] => 0.0,
        [one] => *one,
        _ => {
            let at = share.clamp(0.0, 1.0) * (sorted.len() - 1) as f64;
            let (low, part) = (at.floor() as usize, at.fract());
            let high = (low + 1).min(sorted.len() - 1);
            sorted[low] + part * (sorted[high] - sorted[low])
        }
    }
}
