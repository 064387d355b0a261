//! The verdict on several measures at once, corrected for multiple testing (Holm, A simple sequentially rejective
//! multiple test procedure, 1979).
use crate::interval::{interval, Interval};
use crate::sign_flip_test::{p_value, Side};

/// A quantity measured in both arms, pair by pair.
#[derive(Clone, Debug)]
pub struct Measure {
    pub name: String,
    /// The second arm minus the first; positive is better.
    pub differences: Vec<f64>,
    /// Smaller differences are irrelevant.
    pub min_relevant_difference: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Better,
    Worse,
    /// Any difference there may be is smaller than the smallest relevant one.
    NoDifference,
    NotEnough,
}

impl Verdict {
    pub fn label(self) -> &'static str {
        match self {
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::NoDifference => "no difference that matters",
            Verdict::NotEnough => "not enough runs",
        }
    }
}

#[derive(Clone, Debug)]
pub struct MeasureResult {
    pub name: String,
    pub verdict: Verdict,
    pub interval: Interval,
    pub p: f64,
}

/// Judges all measures together: if none truly differs, the share of experiments in which any is called better or worse
/// is at most `level`.
pub fn judge(measures: &[Measure], level: f64, seed: u64) -> Vec<MeasureResult> {
    let p_values: Vec<f64> = measures.iter().map(|m| p_value(&m.differences, Side::Both, seed)).collect();
    let mut order: Vec<usize> = (0..measures.len()).collect();
    order.sort_by(|a, b| p_values[*a].total_cmp(&p_values[*b]));
    let mut claimed = vec![false; measures.len()];
    for (rank, measure) in order.iter().enumerate() {
        if p_values[*measure] > level / (measures.len() - rank) as f64 {
            break;
        }
        claimed[*measure] = true;
    }
    let miss_rate = level / measures.len().max(1) as f64;
    let judge_one = |(n, m): (usize, &Measure)| {
        let interval = interval(&m.differences, miss_rate, seed);
        let verdict = match (claimed[n], interval.mean > 0.0) {
            (true, true) => Verdict::Better,
            (true, false) => Verdict::Worse,
            (false, _)
                if interval.low > -m.min_relevant_difference && interval.high < m.min_relevant_difference =>
            {
                Verdict::NoDifference
            }
            _ => Verdict::NotEnough,
        };
        MeasureResult { name: m.name.clone(), verdict, interval, p: p_values[n] }
    };
    measures.iter().enumerate().map(judge_one).collect()
}
