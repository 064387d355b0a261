//! What the rows say of each arm against the first.
use crate::plan::Experiment;
use crate::rows::Rows;
use sandstile_stats::verdict::MeasureResult;
use sandstile_stats::{judge, mean, Measure, Verdict};

pub struct ArmResult {
    pub arm: String,
    pub pairs: usize,
    pub service: f64,
    /// Runs in which a rule was broken: an arm with any has failed, whatever its service.
    pub broken: usize,
    /// The whole first, then each workload. Empty for the first arm.
    pub results: Vec<MeasureResult>,
}

/// The whole is asked first and with most of what may be spent; what it has spent well is passed on to the workloads
/// (Wiens, A fixed sequence Bonferroni procedure, 2003). All together claim falsely no more often than the level.
const WHOLE: f64 = 0.8;

fn judged(whole: &[Measure], workloads: &[Measure], level: f64, seed: u64) -> Vec<MeasureResult> {
    let mut all = judge(whole, WHOLE * level, seed);
    let claimed = all.iter().any(|j| matches!(j.verdict, Verdict::Better | Verdict::Worse));
    let left = if claimed { level } else { (1.0 - WHOLE) * level };
    all.extend(judge(workloads, left, seed));
    all
}

/// Weighs all arms over the pairs that are whole. `level` is what this look may spend.
pub fn compare_arms(experiment: &Experiment, rows: &Rows, level: f64) -> Vec<ArmResult> {
    let names: Vec<String> = experiment.arms.iter().map(|a| a.name.clone()).collect();
    let pairs = rows.complete_pairs(&names);
    let first = &names[0];
    let against = names.len().saturating_sub(1).max(1) as f64;
    names
        .iter()
        .map(|arm| {
            let runs: Vec<_> = (0..pairs).filter_map(|p| rows.sound_run(p, arm)).collect();
            let bases: Vec<_> = (0..pairs).filter_map(|p| rows.sound_run(p, first)).collect();
            let services: Vec<f64> = runs.iter().map(|r| r.service).collect();
            let whole = [Measure {
                name: "by importance".to_string(),
                differences: runs.iter().zip(&bases).map(|(r, b)| r.service - b.service).collect(),
                min_relevant_difference: experiment.min_relevant_difference,
            }];
            let mut measures = Vec::new();
            for name in bases.first().map_or(Vec::new(), |b| b.workloads.keys().cloned().collect()) {
                let of = |r: &crate::rows::Row| r.workloads.get(&name).copied().unwrap_or(0.0);
                let differences = runs.iter().zip(&bases).map(|(r, b)| of(r) - of(b)).collect();
                measures.push(Measure {
                    name,
                    differences,
                    min_relevant_difference: experiment.min_relevant_difference,
                });
            }
            // Several arms are several chances to claim something.
            let results = if arm == first {
                Vec::new()
            } else {
                judged(&whole, &measures, level / against, experiment.seed)
            };
            let broken = runs.iter().filter(|r| r.broken > 0).count();
            ArmResult { arm: arm.clone(), pairs, service: mean(&services), broken, results }
        })
        .collect()
}
