//! The judge of returns on traces whose truth is known.
use sandstile_audit::returning::StaleReason;
use sandstile_audit::{judge, recovery, Trace};
use std::fmt::Write;

const RUN: &str = r#"{"t":100.0,"what":"run","title":"t","seed":1,"settle":1.0,"grace":1.0,"slack":0.05,"routers":2,"workloads":[{"name":"save","effect":"non-idempotent","consistency":"write","slo":0.2,"timeout":0.8,"importance":2.0},{"name":"look","effect":"idempotent","consistency":"any","slo":0.2,"timeout":0.8,"importance":1.0}]}"#;

/// Twenty wishes a second for 30 s; those that are meant for a time within `lost` have no answer.
fn trace(lost: (f64, f64), more: &str) -> Trace {
    let mut text = format!("{RUN}\n");
    for n in 0..600 {
        let t = 100.0 + f64::from(n) * 0.05;
        let _ = writeln!(
            text,
            r#"{{"t":{t},"what":"asked","id":"r{n}","first":"r{n}","intended":{t},"workload":"look","group":"1","session":"s","router":{},"wait":0.8}}"#,
            n % 2
        );
        let _ = writeln!(text, r#"{{"t":{t},"what":"taken","host":"h","id":"r{n}","workload":"look"}}"#);
        if (lost.0..lost.1).contains(&(t - 100.0)) {
            let _ = writeln!(text, r#"{{"t":{},"what":"unanswered","id":"r{n}","how":"silence"}}"#, t + 0.8);
        } else {
            let _ = writeln!(
                text,
                r#"{{"t":{},"what":"answered","id":"r{n}","how":"completed","made_for":"r{n}","by":"h","position":1.0}}"#,
                t + 0.01
            );
        }
    }
    text.push_str(more);
    text.push_str("{\"t\":131.0,\"what\":\"end\",\"unsound\":null}\n");
    Trace::read(&text).expect("a trace")
}

const CUE: &str = "{\"t\":110.0,\"what\":\"cue\",\"name\":\"most\",\"on\":[]}\n";

#[test]
fn time_to_full_service_is_from_the_cue_to_the_first_whole_second() {
    let back = recovery(&trace((10.0, 13.0), CUE));
    let all = &back.services[0];
    assert_eq!((all.baseline, all.lowest), (1.0, 0.0));
    // The second that begins 0.05 s before the end of the loss has one lost wish in it, which is chance.
    assert!((2.75..=3.0).contains(&all.after_s.unwrap()), "{all:?}");
    assert_eq!(back.service_recovery_s(), all.after_s);
    // A relapse within five seconds: it was not whole before that.
    let relapse = trace((10.0, 11.0), CUE);
    assert!(recovery(&relapse).service_recovery_s().unwrap() <= 1.0);
    let never = recovery(&trace((10.0, 99.0), CUE));
    assert_eq!(never.service_recovery_s(), Some(f64::INFINITY));
    assert!(recovery(&trace((10.0, 13.0), "")).services.is_empty(), "no cue, nothing to come back from");
}

#[test]
fn peaks_are_held_against_the_calm_before() {
    let mut more = CUE.to_string();
    for n in 0..2 {
        let _ = writeln!(more, r#"{{"t":{},"what":"dialled","host":"h"}}"#, 105.0 + f64::from(n) * 0.02);
    }
    for n in 0..30 {
        let _ = writeln!(more, r#"{{"t":{},"what":"dialled","host":"h"}}"#, 111.0 + f64::from(n) * 0.003);
    }
    let _ = writeln!(
        more,
        r#"{{"t":109.0,"what":"held","number":0,"rss_kb":2048,"descriptors":20,"cpu_ms":10}}"#
    );
    let _ = writeln!(
        more,
        r#"{{"t":129.5,"what":"held","number":0,"rss_kb":4096,"descriptors":30,"cpu_ms":90}}"#
    );
    let back = recovery(&trace((10.0, 13.0), &more));
    let dials = back.worst("dials").unwrap();
    assert_eq!((dials.baseline, dials.max, dials.ratio()), (2.0, 30.0, 15.0));
    assert_eq!(back.worst("statements").unwrap().ratio(), 1.0);
    assert_eq!((back.totals[0].rss_mb, back.totals[1].descriptors), (2.0, 30.0));
}

#[test]
fn stale_decisions_are_found_by_what_had_ceased_to_be_so() {
    let asked = |id: &str, workload: &str, t: f64| {
        format!(
            r#"{{"t":{t},"what":"asked","id":"{id}","first":"{id}","intended":{t},"workload":"{workload}","group":"1","session":"s","router":1,"wait":0.8}}"#
        )
    };
    let taken = |id: &str, host: &str, t: f64| {
        format!(r#"{{"t":{t},"what":"taken","host":"{host}","id":"{id}","workload":"x"}}"#)
    };
    let primary =
        |host: &str, t: f64| format!(r#"{{"t":{t},"what":"primary","group":"1","host":"{host}","term":1}}"#);
    let told = r#"{"t":112.5,"what":"told","router":1,"host":"new","readiness":"active","primary":true}"#;
    let lines = [
        CUE.trim().to_string(),
        primary("old", 99.0),
        primary("new", 112.0),
        told.to_string(),
        // Half a second after the change nobody can know; two seconds after it is stale.
        asked("w1", "save", 112.4),
        taken("w1", "old", 112.5),
        asked("w2", "save", 114.0),
        taken("w2", "old", 114.1),
        // A read that any host may answer is no matter.
        asked("r", "look", 114.0),
        taken("r", "old", 114.1),
        r#"{"t":115.0,"what":"listed","host":"gone","readiness":"left"}"#.to_string(),
        asked("g", "look", 117.0),
        taken("g", "gone", 117.1),
        asked("late", "look", 118.0),
        taken("late", "new", 121.0),
    ];
    let back = recovery(&trace((10.0, 10.1), &(lines.join("\n") + "\n")));
    let found: Vec<(StaleReason, &str)> =
        back.stale_decisions.iter().map(|s| (s.reason, s.id.as_str())).collect();
    assert_eq!(
        found,
        [(StaleReason::Primary, "w2"), (StaleReason::Gone, "g"), (StaleReason::TimeOver, "late")]
    );
    let told = back.stale_decisions[0].notified_before_s.expect("its agent had told it");
    assert!((told - 1.6).abs() < 1e-6 && (back.stale_decisions[0].age_s - 2.1).abs() < 1e-6);
    // What a link held back was decided before.
    let cut = r#"{"t":113.0,"what":"link_begins","name":"cut","on":["hosts"]}"#;
    let back = recovery(&trace((10.0, 10.1), &(lines.join("\n") + "\n" + cut + "\n")));
    assert!(back.stale_decisions.is_empty());
}

/// A reset of clients' links, a cut of agents and a stop excuse just what they can do.
#[test]
fn links_and_stops_excuse_no_more_than_they_can_do() {
    let closed = r#"{"t":120.0,"what":"asked","id":"x","first":"x","intended":120.0,"workload":"look","group":"1","session":"s","router":1,"wait":0.8}
{"t":120.1,"what":"unanswered","id":"x","how":"reset"}
"#;
    let answer = |more: &str| {
        judge(&trace((0.0, 0.0), more)).unwrap().iter().filter(|f| f.rule.is_violation()).count()
    };
    let ran = answer("");
    assert_eq!(answer(closed), ran + 1);
    let link = |on: &str| {
        format!("{{\"t\":119.5,\"what\":\"link_begins\",\"name\":\"l\",\"on\":[\"{on}\"]}}\n{{\"t\":120.5,\"what\":\"link_ends\",\"name\":\"l\"}}\n")
    };
    assert_eq!(answer(&(link("clients") + closed)), ran);
    assert_eq!(answer(&(link("hosts") + closed)), ran + 1);
    let late = r#"{"t":121.0,"what":"asked","id":"z","first":"z","intended":121.0,"workload":"look","group":"1","session":"s","router":1,"wait":0.8}
{"t":122.0,"what":"answered","id":"z","how":"rejected","code":"53300"}
"#;
    let still = "{\"t\":120.5,\"what\":\"router\",\"number\":1,\"state\":\"stopped\"}\n{\"t\":121.9,\"what\":\"router\",\"number\":1,\"state\":\"continued\"}\n";
    assert_eq!(answer(late), ran + 1);
    assert_eq!(answer(&(still.to_string() + late)), ran);
    assert_eq!(answer(&(still.replace("\"number\":1", "\"number\":0") + late)), ran + 1);
    let drained = r#"{"t":115.0,"what":"told","router":1,"host":"d","readiness":"leaving","primary":false}
{"t":118.0,"what":"asked","id":"y","first":"y","intended":118.0,"workload":"look","group":"1","session":"s","router":1,"wait":0.8}
{"t":118.1,"what":"taken","host":"d","id":"y","workload":"look"}
{"t":118.2,"what":"answered","id":"y","how":"rejected","code":"53300"}
"#;
    assert_eq!(answer(drained), ran + 1);
    let stop = "{\"t\":114.0,\"what\":\"router\",\"number\":1,\"state\":\"stopped\"}\n{\"t\":118.0,\"what\":\"router\",\"number\":1,\"state\":\"continued\"}\n";
    assert_eq!(answer(&(stop.to_string() + drained)), ran);
    let other = stop.replace("\"number\":1", "\"number\":0");
    assert_eq!(answer(&(other + drained)), ran + 1);
}
