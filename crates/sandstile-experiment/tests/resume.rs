//! The order of runs, resuming from partly written rows, and the comparison of arms.
use sandstile_experiment::{compare_arms, Experiment, Row, Rows};
use sandstile_stats::Verdict;
use std::collections::BTreeMap;

const FILE: &str = r#"
title = "Two arms"
script = "rehearsals/calm.hcl"
pairs = 12
arm "now" {}
arm "fewer" { retries = 0 }
"#;

fn row(e: &Experiment, pair: usize, arm: &str, service: f64) -> Row {
    Row {
        version: 1,
        experiment: e.hash.clone(),
        pair,
        arm: arm.to_string(),
        seed: e.pair_seed(pair),
        quick: false,
        program: "p".to_string(),
        machine: "m".to_string(),
        service,
        workloads: BTreeMap::from([("a".to_string(), service), ("b".to_string(), 1.0)]),
        seconds: Vec::new(),
        broken: 0,
        returning: Default::default(),
        unsound: None,
    }
}

fn lines(rows: &[Row]) -> String {
    rows.iter().map(|r| serde_json::to_string(r).expect("json") + "\n").collect()
}

#[test]
fn an_experiment_file_is_read_and_mistakes_are_reported_with_their_line() {
    let e = Experiment::read("e.hcl", FILE).expect("a good file");
    assert_eq!((e.arms.len(), e.arms[1].retries, e.arms[0].retries), (2, Some(0), None));
    for (from, to, line) in
        [("retries", "retrys", 6), ("arm \"fewer\" { retries = 0 }", "", 1), ("pairs = 12", "pairs = 0", 4)]
    {
        let problems = Experiment::read("e.hcl", &FILE.replace(from, to)).expect_err(to);
        assert!(problems.iter().any(|p| p.line == line), "{to}: {problems:?}");
    }
}

#[test]
fn each_arm_comes_first_in_about_half_of_the_pairs_and_the_order_is_reproducible() {
    let e = Experiment::read("e.hcl", FILE).expect("a good file");
    let first = (0..1000).filter(|pair| e.arm_order(*pair) == [0, 1]).count();
    assert!((430..570).contains(&first), "{first}");
    assert!((0..50).all(|pair| e.arm_order(pair) == e.arm_order(pair)));
}

/// A kill leaves a partial line, which is skipped, as are rows of a newer version; an unsound run doesn't count.
#[test]
fn finished_runs_are_known_after_a_kill() {
    let e = Experiment::read("e.hcl", FILE).expect("a good file");
    let names = ["now".to_string(), "fewer".to_string()];
    let mut rows = vec![row(&e, 0, "now", 0.9), row(&e, 0, "fewer", 0.9), row(&e, 1, "fewer", 0.9)];
    let mut unsound = row(&e, 1, "now", 0.1);
    unsound.unsound = Some("late".to_string());
    rows.push(unsound);
    let text = lines(&rows);
    for cut in 0..=text.len() {
        let read = Rows::read(&text[..cut], &e.hash, false);
        assert!(read.rows.len() <= 4 && read.skipped <= 1, "{cut}");
    }
    let read = Rows::read(&text, &e.hash, false);
    assert_eq!((read.complete_pairs(&names), read.unsound_runs(1, "now")), (1, 1));
    assert!(read.sound_run(1, "now").is_none() && read.sound_run(1, "fewer").is_some());
    assert_eq!(Rows::read(&text, "another", false).rows.len(), 0);
    assert_eq!(Rows::read(&text, &e.hash, true).rows.len(), 0);
    let newer = text.replace("\"version\":1", "\"version\":2");
    assert_eq!(
        (Rows::read(&newer, &e.hash, false).rows.len(), Rows::read(&newer, &e.hash, false).skipped),
        (0, 4)
    );
}

#[test]
fn arms_are_compared_pair_by_pair_and_broken_rules_are_counted() {
    let e = Experiment::read("e.hcl", FILE).expect("a good file");
    let noise = |pair: usize| ((pair * 37) % 11) as f64 / 100.0;
    let mut rows = Vec::new();
    for pair in 0..12 {
        // Pairs differ from each other by more than the arms do, so only paired differences show the effect.
        rows.push(row(&e, pair, "now", 0.8 + noise(pair)));
        rows.push(row(&e, pair, "fewer", 0.79 + noise(pair) - 0.001 * (pair % 3) as f64));
    }
    rows[3].broken = 1;
    let results = compare_arms(&e, &Rows::read(&lines(&rows), &e.hash, false), 0.05);
    assert_eq!((results[0].broken, results[1].broken, results[0].results.len()), (0, 1, 0));
    let verdicts: Vec<(String, Verdict)> =
        results[1].results.iter().map(|r| (r.name.clone(), r.verdict)).collect();
    assert_eq!(verdicts[0], ("by importance".to_string(), Verdict::Worse));
    assert_eq!(verdicts[2], ("b".to_string(), Verdict::NoDifference));
    let interval = results[1].results[0].interval;
    assert!(interval.low <= -0.011 && interval.high >= -0.011 && interval.high < 0.0, "{interval:?}");
}
