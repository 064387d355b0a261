//! Orders, rows that were cut off, and verdicts.
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
fn a_file_reads_and_its_mistakes_are_placed() {
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
fn both_arms_come_first_about_as_often_and_always_alike() {
    let e = Experiment::read("e.hcl", FILE).expect("a good file");
    let first = (0..1000).filter(|pair| e.arm_order(*pair) == [0, 1]).count();
    assert!((430..570).contains(&first), "{first}");
    assert!((0..50).all(|pair| e.arm_order(pair) == e.arm_order(pair)));
}

/// A kill leaves half a line; a later version's lines are left alone; an unsound run is not a run.
#[test]
fn what_was_run_is_known_after_a_kill() {
    let e = Experiment::read("e.hcl", FILE).expect("a good file");
    let names = ["now".to_string(), "fewer".to_string()];
    let mut rows = vec![row(&e, 0, "now", 0.9), row(&e, 0, "fewer", 0.9), row(&e, 1, "fewer", 0.9)];
    let mut unsound = row(&e, 1, "now", 0.1);
    unsound.unsound = Some("late".to_string());
    rows.push(unsound);
    let whole = lines(&rows);
    for cut in 0..=whole.len() {
        let read = Rows::read(&whole[..cut], &e.hash, false);
        assert!(read.rows.len() <= 4 && read.skipped <= 1, "{cut}");
    }
    let read = Rows::read(&whole, &e.hash, false);
    assert_eq!((read.complete_pairs(&names), read.unsound_runs(1, "now")), (1, 1));
    assert!(read.sound_run(1, "now").is_none() && read.sound_run(1, "fewer").is_some());
    assert_eq!(Rows::read(&whole, "another", false).rows.len(), 0);
    assert_eq!(Rows::read(&whole, &e.hash, true).rows.len(), 0);
    let later = whole.replace("\"version\":1", "\"version\":2");
    assert_eq!(
        (Rows::read(&later, &e.hash, false).rows.len(), Rows::read(&later, &e.hash, false).skipped),
        (0, 4)
    );
}

#[test]
fn an_arm_is_judged_pair_by_pair_and_a_broken_rule_is_told() {
    let e = Experiment::read("e.hcl", FILE).expect("a good file");
    let noise = |pair: usize| ((pair * 37) % 11) as f64 / 100.0;
    let mut rows = Vec::new();
    for pair in 0..12 {
        // Evenings differ by more than arms do: only pairs show it.
        rows.push(row(&e, pair, "now", 0.8 + noise(pair)));
        rows.push(row(&e, pair, "fewer", 0.79 + noise(pair) - 0.001 * (pair % 3) as f64));
    }
    rows[3].broken = 1;
    let weighed = compare_arms(&e, &Rows::read(&lines(&rows), &e.hash, false), 0.05);
    assert_eq!((weighed[0].broken, weighed[1].broken, weighed[0].results.len()), (0, 1, 0));
    let words: Vec<(String, Verdict)> =
        weighed[1].results.iter().map(|j| (j.name.clone(), j.verdict)).collect();
    assert_eq!(words[0], ("by importance".to_string(), Verdict::Worse));
    assert_eq!(words[2], ("b".to_string(), Verdict::NoDifference));
    let interval = weighed[1].results[0].interval;
    assert!(interval.low <= -0.011 && interval.high >= -0.011 && interval.high < 0.0, "{interval:?}");
}
