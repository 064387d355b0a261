//! By simulation: no more false claims than stated, true effects found, intervals that hold the truth.
use oorandom::Rand64;
use sandstile_stats::{interval, judge, p_value, quantile, InterimAnalyses, Measure, Plan, Side, Verdict};

/// Differences of pairs: skewed noise, as service on bad days has, made symmetric by being a difference.
fn pair(chance: &mut Rand64, effect: f64) -> f64 {
    let mut service = || {
        let luck = chance.rand_float();
        0.95 - 0.02 * luck - if chance.rand_float() < 0.1 { 0.05 * chance.rand_float() } else { 0.0 }
    };
    let (a, b) = (service(), service());
    b + effect - a
}

#[test]
fn the_test_is_exact_where_it_can_be() {
    assert_eq!(p_value(&[], Side::Both, 1), 1.0);
    assert_eq!(p_value(&[0.0, 0.0], Side::Both, 1), 1.0);
    assert_eq!(p_value(&[1.0; 5], Side::Both, 1), 2.0 / 32.0);
    assert_eq!(p_value(&[1.0; 5], Side::Above, 1), 1.0 / 32.0);
    assert_eq!(p_value(&[1.0; 5], Side::Below, 1), 1.0);
    assert_eq!(p_value(&[1.0, -1.0], Side::Both, 1), 1.0);
    // Drawn throws come near what all throws say.
    let few: Vec<f64> = (0..14).map(|n| 0.3 + f64::from(n % 5) - 2.0).collect();
    let mut many = few.clone();
    many.push(0.0);
    assert!((p_value(&few, Side::Both, 3) - p_value(&many, Side::Both, 3)).abs() < 0.02);
}

/// 1,000 experiments without a difference, each looked at up to seven times: at most the stated share ever claims one.
#[test]
fn looking_early_does_not_cheat() {
    let plan = Plan { level: 0.05, first_at: 6, step: 3, max_pairs: 24 };
    assert_eq!(plan.looks(), [6, 9, 12, 15, 18, 21, 24]);
    let mut chance = Rand64::new(77);
    let (mut honest, mut naive) = (0, 0);
    for _ in 0..1000 {
        let (mut looks, mut differences) = (InterimAnalyses::new(plan.clone()), Vec::new());
        let (mut claimed, mut fooled) = (false, false);
        while !looks.is_over() {
            differences.push(pair(&mut chance, 0.0));
            if let Some(level) = looks.level_at(differences.len()) {
                let p = p_value(&differences[..], Side::Both, 5);
                claimed |= p <= level;
                fooled |= p <= plan.level;
            }
        }
        honest += usize::from(claimed);
        naive += usize::from(fooled);
    }
    println!("of 1000 experiments without a difference {honest} claim one; without spending {naive} would");
    assert!(honest <= 50, "{honest}");
    assert!(naive > 75, "{naive}: or spending would not be needed");
}

/// A true effect of one usual difference is found in nine of ten experiments.
#[test]
fn a_true_effect_is_found() {
    let plan = Plan { level: 0.05, first_at: 6, step: 3, max_pairs: 24 };
    let mut chance = Rand64::new(5);
    let (mut found, mut pairs, rounds) = (0, 0, 300);
    for _ in 0..rounds {
        let (mut looks, mut differences) = (InterimAnalyses::new(plan.clone()), Vec::new());
        while !looks.is_over() {
            differences.push(pair(&mut chance, 0.02));
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
fn intervals_hold_the_truth_as_often_as_stated() {
    let mut chance = Rand64::new(9);
    for (n, effect) in [(8, 0.0), (12, 0.01), (20, -0.02)] {
        let rounds = 1000;
        let held = (0..rounds)
            .filter(|_| {
                let differences: Vec<f64> = (0..n).map(|_| pair(&mut chance, effect)).collect();
                interval(&differences, 0.1, 4).contains(effect)
            })
            .count();
        println!("{n} pairs: {held} of {rounds} hold the truth, 0.9 stated");
        assert!(held * 100 >= rounds * 87, "{n} pairs: {held} of {rounds}");
    }
    let few = interval(&[0.1, 0.2], 0.05, 1);
    assert!(few.low.is_infinite() && few.high.is_infinite(), "two pairs say nothing at this level");
    assert!(interval(&[], 0.05, 1).high.is_infinite());
}

/// Many measures: with none truly different, experiments in which any is claimed stay within the level.
#[test]
fn many_workloads_are_corrected_for() {
    let mut chance = Rand64::new(21);
    let measures = |chance: &mut Rand64, effects: &[f64]| -> Vec<Measure> {
        let of = |(n, effect): (usize, &f64)| Measure {
            name: format!("w{n}"),
            differences: (0..16).map(|_| pair(chance, *effect)).collect(),
            min_relevant_difference: 0.02,
        };
        effects.iter().enumerate().map(of).collect()
    };
    let (rounds, mut false_claims) = (150, 0);
    for _ in 0..rounds {
        let judged = judge(&measures(&mut chance, &[0.0; 6]), 0.05, 3);
        false_claims +=
            usize::from(judged.iter().any(|j| matches!(j.verdict, Verdict::Better | Verdict::Worse)));
    }
    assert!(false_claims <= 15, "{false_claims} of {rounds}");
    let judged = judge(&measures(&mut chance, &[0.05, -0.05, 0.0]), 0.05, 3);
    let words: Vec<Verdict> = judged.iter().map(|j| j.verdict).collect();
    assert_eq!(words[..2], [Verdict::Better, Verdict::Worse], "{judged:?}");
    // Hardly any noise: what is left is smaller than what matters.
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
fn an_experiment_goes_on_where_it_was_broken_off() {
    let plan = Plan { level: 0.05, first_at: 4, step: 4, max_pairs: 12 };
    let mut whole = InterimAnalyses::new(plan.clone());
    let spent: f64 = (1..=12).filter_map(|n| whole.level_at(n)).sum();
    assert!((spent - 0.05).abs() < 1e-12 && whole.is_over());
    let mut broken = InterimAnalyses::new(plan.clone());
    broken.resume(9);
    assert_eq!((broken.level_at(9), broken.level_at(11)), (None, None));
    assert!(broken.level_at(12).is_some());
    // Looks that were missed give what they had to the next.
    let mut late = InterimAnalyses::new(plan);
    assert!((late.level_at(12).expect("the last") - 0.05).abs() < 1e-12);
    assert_eq!(quantile(&[1.0, 2.0, 3.0, 4.0], 0.5), 2.5);
}
