//! The verdict on several measures at once, corrected for their number (Holm, A simple sequentially rejective multiple
//! test procedure, 1979).
use crate::interval::{interval, Interval};
use crate::signs::{p_value, Side};

/// One thing measured in both arms, pair by pair.
#[derive(Clone, Debug)]
pub struct Measure {
    pub name: String,
    /// The second arm less the first; more is better.
    pub differences: Vec<f64>,
    /// A difference smaller than this is of no interest.
    pub min_relevant_difference: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Better,
    Worse,
    /// Whatever the difference is, it is smaller than what matters.
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

/// Judges all measures together: with none truly different, the share of experiments in which any is called better or
/// worse stays within `level`.
pub fn judge(measures: &[Measure], level: f64, seed: u64) -> Vec<MeasureResult> {
    let p: Vec<f64> = measures.iter().map(|m| p_value(&m.differences, Side::Both, seed)).collect();
    let mut order: Vec<usize> = (0..measures.len()).collect();
    order.sort_by(|a, b| p[*a].total_cmp(&p[*b]));
    let mut claimed = vec![false; measures.len()];
    for (rank, at) in order.iter().enumerate() {
        if p[*at] > level / (measures.len() - rank) as f64 {
            break;
        }
        claimed[*at] = true;
    }
    let share = level / measures.len().max(1) as f64;
    let one = |(n, m): (usize, &Measure)| {
        let interval = interval(&m.differences, share, seed);
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
        MeasureResult { name: m.name.clone(), verdict, interval, p: p[n] }
    };
    measures.iter().enumerate().map(one).collect()
}
