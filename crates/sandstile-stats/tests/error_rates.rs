//! Error rates, measured by simulation: false claims, true effects that are found, and coverage of intervals.
use oorandom::Rand64;
use sandstile_stats::{interval, judge, p_value, quantile, InterimAnalyses, Measure, Plan, Side, Verdict};

/// The difference of a pair. Its noise is skewed, as service is on bad days; a difference of two makes it symmetric.
fn pair(rng: &mut Rand64, effect: f64) -> f64 {
    let mut service = || {
        let noise = rng.rand_float();
        0.95 - 0.02 * noise - if rng.rand_float() < 0.1 { 0.05 * rng.rand_float() } else { 0.0 }
    };
    let (a, b) = (service(), service());
    b + effect - a
}

#[test]
fn p_values_of_few_pairs_are_exact() {
    assert_eq!(p_value(&[], Side::Both, 1), 1.0);
    assert_eq!(p_value(&[0.0, 0.0], Side::Both, 1), 1.0);
    assert_eq!(p_value(&[1.0; 5], Side::Both, 1), 2.0 / 32.0);
    assert_eq!(p_value(&[1.0; 5], Side::Above, 1), 1.0 / 32.0);
    assert_eq!(p_value(&[1.0; 5], Side::Below, 1), 1.0);
    assert_eq!(p_value(&[1.0, -1.0], Side::Both, 1), 1.0);
    // Drawn assignments come close to the exact value.
    let few: Vec<f64> = (0..14).map(|n| 0.3 + f64::from(n % 5) - 2.0).collect();
    let mut many = few.clone();
    many.push(0.0);
    assert!((p_value(&few, Side::Both, 3) - p_value(&many, Side::Both, 3)).abs() < 0.02);
}

/// 1,000 experiments without a difference, each with up to seven looks: at most the stated share ever claims one.
#[test]
fn interim_looks_keep_the_stated_level() {
    let plan = Plan { level: 0.05, first_at: 6, step: 3, max_pairs: 24 };
    assert_eq!(plan.looks(), [6, 9, 12, 15, 18, 21, 24]);
    let mut rng = Rand64::new(77);
    let (mut with_spending, mut without_spending) = (0, 0);
    for _ in 0..1000 {
        let (mut looks, mut differences) = (InterimAnalyses::new(plan.clone()), Vec::new());
        let (mut claimed, mut claimed_naively) = (false, false);
        while !looks.is_over() {
            differences.push(pair(&mut rng, 0.0));
            if let Some(level) = looks.level_at(differences.len()) {
                let p = p_value(&differences[..], Side::Both, 5);
                claimed |= p <= level;
                claimed_naively |= p <= plan.level;
            }
        }
        with_spending += usize::from(claimed);
        without_spending += usize::from(claimed_naively);
    }
    println!("false claims in 1000 experiments: {with_spending}, without spending {without_spending}");
    assert!(with_spending <= 50, "{with_spending}");
    assert!(without_spending > 75, "{without_spending}: spending would not be needed");
}

/// A true effect as large as one usual difference is found in nine of ten experiments.
#[test]
fn a_true_effect_is_found() {
    let plan = Plan { level: 0.05, first_at: 6, step: 3, max_pairs: 24 };
    let mut rng = Rand64::new(5);
    let (mut found, mut pairs, rounds) = (0, 0, 300);
    for _ in 0..rounds {
        let (mut looks, mut differences) = (InterimAnalyses::new(plan.clone()), Vec::new());
        while !looks.is_over() {
            differences.push(pair(&mut rng, 0.02));
            let Some(level) = looks.level_at(differences.len()) else { continue };
            if p_value(&differences, Side::Both, 5) <= level {
                found += 1;
                break;
            }
        }
        pairs += differences.len();
    }
    println!(
        "found in {found} of {rounds}, after {:.1} pairs of 24 on average",
        pairs as f64 / f64::from(rounds)
    );
    assert!(found * 10 >= rounds * 9, "{found}");
}

#[test]
fn intervals_contain_the_true_value_as_often_as_stated() {
    let mut rng = Rand64::new(9);
    for (n, effect) in [(8, 0.0), (12, 0.01), (20, -0.02)] {
        let rounds = 1000;
        let covered = (0..rounds)
            .filter(|_| {
                let differences: Vec<f64> = (0..n).map(|_| pair(&mut rng, effect)).collect();
                interval(&differences, 0.1, 4).contains(effect)
            })
            .count();
        println!("{n} pairs: {covered} of {rounds} intervals contain the true value, 0.9 stated");
        assert!(covered * 100 >= rounds * 87, "{n} pairs: {covered} of {rounds}");
    }
    let few = interval(&[0.1, 0.2], 0.05, 1);
    assert!(few.low.is_infinite() && few.high.is_infinite(), "two pairs are too few for this level");
    assert!(interval(&[], 0.05, 1).high.is_infinite());
}

/// With none of many measures truly different, the share of experiments that claim any difference stays within the level.
#[test]
fn verdicts_are_corrected_for_many_measures() {
    let mut rng = Rand64::new(21);
    let measures = |rng: &mut Rand64, effects: &[f64]| -> Vec<Measure> {
        let measure = |(n, effect): (usize, &f64)| Measure {
            name: format!("w{n}"),
            differences: (0..16).map(|_| pair(rng, *effect)).collect(),
            min_relevant_difference: 0.02,
        };
        effects.iter().enumerate().map(measure).collect()
    };
    let (rounds, mut false_claims) = (150, 0);
    for _ in 0..rounds {
        let results = judge(&measures(&mut rng, &[0.0; 6]), 0.05, 3);
        false_claims +=
            usize::from(results.iter().any(|j| matches!(j.verdict, Verdict::Better | Verdict::Worse)));
    }
    assert!(false_claims <= 15, "{false_claims} of {rounds}");
    let results = judge(&measures(&mut rng, &[0.05, -0.05, 0.0]), 0.05, 3);
    let verdicts: Vec<Verdict> = results.iter().map(|r| r.verdict).collect();
    assert_eq!(verdicts[..2], [Verdict::Better, Verdict::Worse], "{results:?}");
    // With hardly any noise, the remaining difference is smaller than the smallest relevant one.
    let tiny = Measure {
        name: "t".to_string(),
        differences: vec![0.001, -0.001, 0.0005, -0.0004, 0.0, 0.0002, -0.0006, 0.0003, 0.0001, -0.0002],
        min_relevant_difference: 0.01,
    };
    assert_eq!(judge(&[tiny], 0.05, 3)[0].verdict, Verdict::NoDifference);
    let short =
        Measure { name: "s".to_string(), differences: vec![0.1, 0.2, 0.1], min_relevant_difference: 0.01 };
    assert_eq!(judge(&[short], 0.05, 3)[0].verdict, Verdict::NotEnough);
}

#[test]
fn an_interrupted_experiment_resumes_with_the_remaining_looks() {
    let plan = Plan { level: 0.05, first_at: 4, step: 4, max_pairs: 12 };
    let mut complete = InterimAnalyses::new(plan.clone());
    let spent: f64 = (1..=12).filter_map(|n| complete.level_at(n)).sum();
    assert!((spent - 0.05).abs() < 1e-12 && complete.is_over());
    let mut resumed = InterimAnalyses::new(plan.clone());
    resumed.resume(9);
    assert_eq!((resumed.level_at(9), resumed.level_at(11)), (None, None));
    assert!(resumed.level_at(12).is_some());
    // What skipped looks could have spent is added to the next.
    let mut late = InterimAnalyses::new(plan);
    assert!((late.level_at(12).expect("the last look") - 0.05).abs() < 1e-12);
    assert_eq!(quantile(&[1.0, 2.0, 3.0, 4.0], 0.5), 2.5);
}
