//! Each rule on a trace with one planted violation. The base trace `GOOD` breaks no rule.
use sandstile_audit::{judge, service, Rule, Trace};

const GOOD: &str = r#"
{"t":100.0,"what":"run","title":"t","seed":1,"settle":0.0,"grace":1.0,"slack":0.05,"routers":2,"workloads":[{"name":"save","effect":"non-idempotent","consistency":"write","slo":0.2,"timeout":0.8,"importance":2.0},{"name":"own","effect":"idempotent","consistency":"session","slo":0.2,"timeout":0.8,"importance":1.0}]}
{"t":100.0,"what":"router","number":0,"state":"started"}
{"t":100.0,"what":"router","number":1,"state":"started"}
{"t":100.1,"what":"asked","id":"w1","first":"w1","workload":"save","group":"1","session":"ann","router":0,"wait":0.8}
{"t":100.101,"what":"taken","host":"s-1-a","id":"w1","workload":"save"}
{"t":100.11,"what":"ran","host":"s-1-a","id":"w1","workload":"save","session":"ann","commit":100.11,"reached":100.11,"need":0.0}
{"t":100.11,"what":"said","host":"s-1-a","id":"w1","how":"row"}
{"t":100.12,"what":"answered","id":"w1","how":"completed","made_for":"w1","by":"s-1-a","position":100.11}
{"t":100.2,"what":"asked","id":"r1","first":"r1","workload":"own","group":"1","session":"ann","router":1,"wait":0.8}
{"t":100.201,"what":"taken","host":"s-1-b","id":"r1","workload":"own"}
{"t":100.21,"what":"said","host":"s-1-b","id":"r1","how":"72000"}
{"t":100.22,"what":"taken","host":"s-1-a","id":"r1","workload":"own"}
{"t":100.23,"what":"ran","host":"s-1-a","id":"r1","workload":"own","session":"ann","commit":null,"reached":100.22,"need":100.11}
{"t":100.24,"what":"answered","id":"r1","how":"completed","made_for":"r1","by":"s-1-a","position":100.22}
{"t":101.0,"what":"asked","id":"w2","first":"w2","workload":"save","group":"1","session":"bob","router":0,"wait":0.8}
{"t":101.01,"what":"taken","host":"s-1-b","id":"w2","workload":"save"}
{"t":101.01,"what":"said","host":"s-1-b","id":"w2","how":"25006"}
{"t":101.02,"what":"answered","id":"w2","how":"rejected","code":"53300"}
{"t":102.0,"what":"told","router":0,"host":"s-1-b","readiness":"leaving"}
{"t":103.0,"what":"pushed","host":"s-1-c","multiple":2.0,"most":4.0}
{"t":104.0,"what":"router","number":0,"state":"term"}
{"t":104.6,"what":"router","number":0,"state":"ended","code":0}
{"t":104.7,"what":"router","number":1,"state":"term"}
{"t":104.9,"what":"router","number":1,"state":"ended","code":0}
{"t":105.0,"what":"end","unsound":null}
"#;

fn found(trace: &str) -> Vec<(Rule, String)> {
    let trace = Trace::read(trace).expect("a valid trace");
    judge(&trace).expect("a complete trace").into_iter().map(|f| (f.rule, f.to_string())).collect()
}

/// The good trace with these lines appended.
fn with(lines: &str) -> String {
    format!("{GOOD}{lines}\n")
}

#[test]
fn a_good_trace_breaks_no_rule() {
    assert_eq!(found(GOOD), []);
}

#[test]
fn each_planted_violation_is_found_and_its_statement_shown() {
    let asked = |id: &str, workload: &str, router: u32, t: f64| {
        format!(
            r#"{{"t":{t},"what":"asked","id":"{id}","first":"{id}","workload":"{workload}","group":"1","session":"cid","router":{router},"wait":0.8}}"#
        )
    };
    let taken = |id: &str, host: &str, t: f64| {
        format!(r#"{{"t":{t},"what":"taken","host":"{host}","id":"{id}","workload":"save"}}"#)
    };
    let ran = |id: &str, host: &str, t: f64| {
        format!(
            r#"{{"t":{t},"what":"ran","host":"{host}","id":"{id}","workload":"save","session":"cid","commit":{t},"reached":{t},"need":0.0}}"#
        )
    };
    let answered = |id: &str, how: &str, t: f64| {
        format!(
            r#"{{"t":{t},"what":"answered","id":"{id}","how":"{how}","made_for":"{id}","by":"s-1-a","code":"XX000"}}"#
        )
    };
    let unanswered =
        |id: &str, how: &str, t: f64| format!(r#"{{"t":{t},"what":"unanswered","id":"{id}","how":"{how}"}}"#);
    let cases: Vec<(Rule, &str, Vec<String>)> = vec![
        (
            Rule::Effect,
            "ran 2 times",
            vec![
                asked("x", "save", 0, 103.0),
                taken("x", "s-1-a", 103.01),
                ran("x", "s-1-a", 103.02),
                taken("x", "s-1-b", 103.1),
                ran("x", "s-1-b", 103.2),
                answered("x", "completed", 103.3),
            ],
        ),
        (
            Rule::Effect,
            "may have run",
            vec![
                asked("x", "save", 0, 101.0),
                taken("x", "s-1-a", 101.01),
                taken("x", "s-1-b", 101.1),
                ran("x", "s-1-b", 101.2),
                answered("x", "completed", 101.3),
            ],
        ),
        (
            Rule::Effect,
            "rejected though it has run",
            vec![
                asked("x", "save", 0, 101.0),
                taken("x", "s-1-a", 101.01),
                ran("x", "s-1-a", 101.2),
                answered("x", "rejected", 101.3),
            ],
        ),
        (
            Rule::Effect,
            "rejected though it may have run",
            vec![asked("x", "save", 0, 101.0), taken("x", "s-1-a", 101.01), answered("x", "rejected", 101.3)],
        ),
        (Rule::Effect, "no client sent", vec![taken("x", "s-1-a", 103.01)]),
        (Rule::Answer, "answered 2 times", vec![answered("w1", "failed", 100.5)]),
        (Rule::Answer, "after its time", vec![asked("x", "own", 0, 103.0), answered("x", "failed", 103.9)]),
        (
            Rule::Answer,
            "made for y",
            vec![
                asked("x", "own", 0, 103.0),
                answered("x", "completed", 103.1).replace(r#""made_for":"x""#, r#""made_for":"y""#),
                ran("x", "s-1-a", 103.05).replace(r#""commit":103.05"#, r#""commit":null"#),
            ],
        ),
        (
            Rule::Answer,
            "no host made",
            vec![
                asked("x", "own", 0, 103.0),
                answered("x", "completed", 103.1).replace(r#""made_for":"x""#, r#""made_for":null"#),
            ],
        ),
        (
            Rule::Answer,
            "without an execution",
            vec![asked("x", "own", 0, 103.0), answered("x", "completed", 103.1)],
        ),
        (
            Rule::Answer,
            "closed by router 0",
            vec![asked("x", "own", 0, 103.0), unanswered("x", "closed", 103.1)],
        ),
        (
            Rule::Silence,
            "no answer before",
            vec![asked("x", "own", 0, 103.0), unanswered("x", "silence", 103.8)],
        ),
        (Rule::Silence, "does not say how it ended", vec![asked("x", "own", 0, 103.0)]),
        (
            Rule::Drain,
            "after it was told",
            vec![asked("x", "own", 0, 103.1), taken("x", "s-1-b", 103.2), answered("x", "failed", 103.3)],
        ),
        (
            Rule::Cold,
            "collapsed",
            vec![r#"{"t":103.0,"what":"tipped","host":"s-1-c","multiple":5.1,"most":4.0}"#.to_string()],
        ),
        (
            Rule::Stale,
            "behind",
            vec![
                asked("x", "own", 0, 103.0).replace("cid", "ann"),
                taken("x", "s-1-a", 103.01),
                ran("x", "s-1-a", 103.02)
                    .replace(r#""commit":103.02,"reached":103.02"#, r#""commit":null,"reached":100.05"#),
                answered("x", "completed", 103.03),
            ],
        ),
        (
            Rule::Stale,
            "behind",
            vec![
                asked("x", "own", 0, 103.0),
                taken("x", "s-1-a", 103.01),
                ran("x", "s-1-a", 103.02).replace(
                    r#""commit":103.02,"reached":103.02,"need":0.0"#,
                    r#""commit":null,"reached":102.0,"need":102.5"#,
                ),
                answered("x", "completed", 103.03),
            ],
        ),
        (
            Rule::Crash,
            "unexpectedly",
            vec![r#"{"t":103.0,"what":"router","number":0,"state":"ended","code":101}"#.to_string()],
        ),
        (
            Rule::LostWrite,
            "lost with the primary",
            vec![r#"{"t":103.0,"what":"lost_commit","group":"1","id":"w1","commit":100.11}"#.to_string()],
        ),
    ];
    for (rule, message, lines) in cases {
        let all = found(&with(&lines.join("\n")));
        assert!(
            all.iter().any(|(r, text)| *r == rule && text.contains(message)),
            "{rule:?} {message}: {all:?}"
        );
        if !matches!(rule, Rule::Cold | Rule::Crash) {
            assert!(all[0].1.lines().count() > 1, "{message}: no lines of the trace in {all:?}");
        }
    }
}

/// Traces that look like violations and are none.
#[test]
fn what_the_rules_allow_is_not_reported() {
    for lines in [
        // The router was killed while it had the statement.
        r#"{"t":103.0,"what":"asked","id":"x","first":"x","workload":"own","group":"1","session":"c","router":1,"wait":0.8}
{"t":103.05,"what":"router","number":1,"state":"killed"}
{"t":103.05,"what":"router","number":1,"state":"ended","code":null}
{"t":103.06,"what":"unanswered","id":"x","how":"reset"}
{"t":103.5,"what":"router","number":1,"state":"started"}"#,
        // Within the grace; or sent before the host was paused and read after it.
        r#"{"t":102.5,"what":"asked","id":"x","first":"x","workload":"own","group":"1","session":"c","router":0,"wait":0.8}
{"t":102.9,"what":"taken","host":"s-1-b","id":"x","workload":"own"}
{"t":103.0,"what":"answered","id":"x","how":"failed","code":"XX000"}
{"t":101.9,"what":"asked","id":"y","first":"y","workload":"own","group":"1","session":"c","router":0,"wait":0.8}
{"t":101.8,"what":"fault_begins","fault":"pause","host":"s-1-b"}
{"t":104.0,"what":"fault_ends","fault":"pause","host":"s-1-b"}
{"t":104.0,"what":"taken","host":"s-1-b","id":"y","workload":"own"}
{"t":102.5,"what":"answered","id":"y","how":"failed","code":"57014"}"#,
        // Reported as failed though it ran, as required of an execution that may have run.
        r#"{"t":103.0,"what":"asked","id":"x","first":"x","workload":"save","group":"1","session":"c","router":0,"wait":0.8}
{"t":103.01,"what":"taken","host":"s-1-a","id":"x","workload":"save"}
{"t":103.02,"what":"ran","host":"s-1-a","id":"x","workload":"save","session":"c","commit":103.02,"reached":103.02,"need":0.0}
{"t":103.4,"what":"answered","id":"x","how":"failed","code":"57014"}"#,
        // A write that was lost with its primary obliges no later read of its session.
        r#"{"t":103.0,"what":"asked","id":"x","first":"x","workload":"own","group":"1","session":"bob","router":1,"wait":0.8}
{"t":103.01,"what":"taken","host":"s-1-c","id":"x","workload":"own"}
{"t":103.02,"what":"ran","host":"s-1-c","id":"x","workload":"own","session":"bob","commit":null,"reached":99.0,"need":0.0}
{"t":103.03,"what":"answered","id":"x","how":"completed","made_for":"x"}"#,
    ] {
        assert_eq!(found(&with(lines)), [], "{lines}");
    }
}

#[test]
fn a_truncated_or_malformed_trace_is_not_judged() {
    let cut = &GOOD[..GOOD.len() - 60];
    let broken = Trace::read(cut);
    assert!(broken.is_err() || judge(&broken.unwrap()).is_err());
    let complete_lines = GOOD.trim_end().rsplit_once('\n').expect("several lines").0;
    assert!(judge(&Trace::read(complete_lines).expect("valid lines")).unwrap_err().contains("cut off"));
    assert!(judge(&Trace::read("").expect("an empty trace")).is_err());
    assert!(Trace::read("{\"t\":1.0}").unwrap_err().contains("line 1"));
}

#[test]
fn service_counts_a_request_once_over_all_its_attempts() {
    let retry = r#"{"t":101.3,"what":"asked","id":"w3","first":"w2","intended":101.0,"workload":"save","group":"1","session":"bob","router":0,"wait":0.5}
{"t":101.31,"what":"taken","host":"s-1-a","id":"w3","workload":"save"}
{"t":101.32,"what":"ran","host":"s-1-a","id":"w3","workload":"save","session":"bob","commit":101.32,"reached":101.32,"need":0.0}
{"t":101.33,"what":"answered","id":"w3","how":"completed","made_for":"w3"}"#;
    let trace = Trace::read(&with(retry)).expect("a valid trace");
    assert_eq!(judge(&trace).expect("a complete trace").len(), 0);
    let service = service(&trace).expect("settings in the trace");
    let save = service.workloads.iter().find(|w| w.name == "save").expect("a workload");
    assert_eq!((save.tally.requests, save.tally.in_time, save.tally.late, save.tally.tries), (2, 1, 1, 3));
    // In time are one request of importance 2 and one of importance 1, out of two of importance 2 and one of 1.
    assert!((service.overall() - 3.0 / 5.0).abs() < 1e-9);
    assert_eq!(save.seconds.len(), 2);
}
