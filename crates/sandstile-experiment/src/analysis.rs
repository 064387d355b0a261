//! Compares each arm of an experiment with the first.
use crate::plan::Experiment;
use crate::rows::Rows;
use sandstile_stats::verdict::MeasureResult;
use sandstile_stats::{judge, mean, Measure, Verdict};

pub struct ArmResult {
    pub arm: String,
    pub pairs: usize,
    pub service: f64,
    /// Runs in which a rule was broken. An arm with any has failed, whatever its service.
    pub broken: usize,
    /// The overall service first, then each workload; empty for the first arm.
    pub results: Vec<MeasureResult>,
}

/// The share of the level that the test of the overall service may spend. It comes first; if it claims a difference, its
/// level is passed on to the workloads (Wiens, A fixed sequence Bonferroni procedure, 2003). All tests together make
/// false claims no more often than the level.
const OVERALL_LEVEL_SHARE: f64 = 0.8;

fn judge_all(overall: &[Measure], workloads: &[Measure], level: f64, seed: u64) -> Vec<MeasureResult> {
    let mut all = judge(overall, OVERALL_LEVEL_SHARE * level, seed);
    let claimed = all.iter().any(|r| matches!(r.verdict, Verdict::Better | Verdict::Worse));
    let workload_level = if claimed { level } else { (1.0 - OVERALL_LEVEL_SHARE) * level };
    all.extend(judge(workloads, workload_level, seed));
    all
}

/// Compares all arms over the complete pairs. `level` is the significance level of this interim analysis.
pub fn compare_arms(experiment: &Experiment, rows: &Rows, level: f64) -> Vec<ArmResult> {
    let names: Vec<String> = experiment.arms.iter().map(|a| a.name.clone()).collect();
    let pairs = rows.complete_pairs(&names);
    let baseline = &names[0];
    let comparisons = names.len().saturating_sub(1).max(1) as f64;
    names
        .iter()
        .map(|arm| {
            let runs: Vec<_> = (0..pairs).filter_map(|p| rows.sound_run(p, arm)).collect();
            let bases: Vec<_> = (0..pairs).filter_map(|p| rows.sound_run(p, baseline)).collect();
            let services: Vec<f64> = runs.iter().map(|r| r.service).collect();
            let overall = [Measure {
                name: "by importance".to_string(),
                differences: runs.iter().zip(&bases).map(|(r, b)| r.service - b.service).collect(),
                min_relevant_difference: experiment.min_relevant_difference,
            }];
            let mut measures = Vec::new();
            for name in bases.first().map_or(Vec::new(), |b| b.workloads.keys().cloned().collect()) {
                let service = |r: &crate::rows::Row| r.workloads.get(&name).copied().unwrap_or(0.0);
                let differences = runs.iter().zip(&bases).map(|(r, b)| service(r) - service(b)).collect();
                measures.push(Measure {
                    name,
                    differences,
                    min_relevant_difference: experiment.min_relevant_difference,
                });
            }
            // The level is divided among the comparisons of the other arms with the first.
            let results = if arm == baseline {
                Vec::new()
            } else {
                judge_all(&overall, &measures, level / comparisons, experiment.seed)
            };
            let broken = runs.iter().filter(|r| r.broken > 0).count();
            ArmResult { arm: arm.clone(), pairs, service: mean(&services), broken, results }
        })
        .collect()
}
