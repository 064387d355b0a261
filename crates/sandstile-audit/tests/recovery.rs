//! The evaluation of recovery on synthetic traces whose results are known.
use sandstile_audit::recovery::StaleReason;
use sandstile_audit::{judge, recovery, Trace};
use std::fmt::Write;

const RUN: &str = r#"{"t":100.0,"what":"run","title":"t","seed":1,"settle":1.0,"grace":1.0,"slack":0.05,"routers":2,"workloads":[{"name":"save","effect":"non-idempotent","consistency":"write","slo":0.2,"timeout":0.8,"importance":2.0},{"name":"look","effect":"idempotent","consistency":"any","slo":0.2,"timeout":0.8,"importance":1.0}]}"#;

/// Twenty requests a second for 30 s. Those due within `lost` get no answer.
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
    Trace::read(&text).expect("a valid trace")
}

const CUE: &str = "{\"t\":110.0,\"what\":\"cue\",\"name\":\"most\",\"on\":[]}\n";

#[test]
fn recovery_time_is_from_the_cue_to_the_first_recovered_second() {
    let recovered = recovery(&trace((10.0, 13.0), CUE));
    let all = &recovered.services[0];
    assert_eq!((all.baseline, all.lowest), (1.0, 0.0));
    // The window that begins 0.05 s before the end of the outage has one failed request in it, which counts as chance.
    assert!((2.75..=3.0).contains(&all.after_s.unwrap()), "{all:?}");
    assert_eq!(recovered.service_recovery_s(), all.after_s);
    // An outage of one second is over within a second.
    let short = trace((10.0, 11.0), CUE);
    assert!(recovery(&short).service_recovery_s().unwrap() <= 1.0);
    let never = recovery(&trace((10.0, 99.0), CUE));
    assert_eq!(never.service_recovery_s(), Some(f64::INFINITY));
    assert!(
        recovery(&trace((10.0, 13.0), "")).services.is_empty(),
        "without a cue there is nothing to recover from"
    );
}

#[test]
fn peaks_are_compared_with_the_time_before_the_first_cue() {
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
    let recovered = recovery(&trace((10.0, 13.0), &more));
    let dials = recovered.worst("dials").unwrap();
    assert_eq!((dials.baseline, dials.max, dials.ratio()), (2.0, 30.0, 15.0));
    assert_eq!(recovered.worst("statements").unwrap().ratio(), 1.0);
    assert_eq!((recovered.totals[0].rss_mb, recovered.totals[1].descriptors), (2.0, 30.0));
}

#[test]
fn decisions_on_outdated_information_are_found() {
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
    let notified_line =
        r#"{"t":112.5,"what":"told","router":1,"host":"new","readiness":"active","primary":true}"#;
    let lines = [
        CUE.trim().to_string(),
        primary("old", 99.0),
        primary("new", 112.0),
        notified_line.to_string(),
        // Half a second after the change a router need not know it yet; two seconds after it the decision is stale.
        asked("w1", "save", 112.4),
        taken("w1", "old", 112.5),
        asked("w2", "save", 114.0),
        taken("w2", "old", 114.1),
        // Any host may answer this read, so it is not stale.
        asked("r", "look", 114.0),
        taken("r", "old", 114.1),
        r#"{"t":115.0,"what":"listed","host":"gone","readiness":"left"}"#.to_string(),
        asked("g", "look", 117.0),
        taken("g", "gone", 117.1),
        asked("late", "look", 118.0),
        taken("late", "new", 121.0),
    ];
    let recovered = recovery(&trace((10.0, 10.1), &(lines.join("\n") + "\n")));
    let found: Vec<(StaleReason, &str)> =
        recovered.stale_decisions.iter().map(|s| (s.reason, s.id.as_str())).collect();
    assert_eq!(
        found,
        [(StaleReason::Primary, "w2"), (StaleReason::Gone, "g"), (StaleReason::TimeOver, "late")]
    );
    let notified = recovered.stale_decisions[0].notified_before_s.expect("its agent had notified it");
    assert!((notified - 1.6).abs() < 1e-6 && (recovered.stale_decisions[0].age_s - 2.1).abs() < 1e-6);
    // A statement that a link delayed was sent on an earlier decision.
    let cut = r#"{"t":113.0,"what":"link_begins","name":"cut","on":["hosts"]}"#;
    let recovered = recovery(&trace((10.0, 10.1), &(lines.join("\n") + "\n" + cut + "\n")));
    assert!(recovered.stale_decisions.is_empty());
}

/// A reset of client links, a cut of discovery agents and a stopped router each excuse only what they can cause.
#[test]
fn link_faults_and_stops_excuse_only_what_they_can_cause() {
    let closed = r#"{"t":120.0,"what":"asked","id":"x","first":"x","intended":120.0,"workload":"look","group":"1","session":"s","router":1,"wait":0.8}
{"t":120.1,"what":"unanswered","id":"x","how":"reset"}
"#;
    let violations = |more: &str| {
        judge(&trace((0.0, 0.0), more)).unwrap().iter().filter(|f| f.rule.is_violation()).count()
    };
    let base = violations("");
    assert_eq!(violations(closed), base + 1);
    let link = |on: &str| {
        format!("{{\"t\":119.5,\"what\":\"link_begins\",\"name\":\"l\",\"on\":[\"{on}\"]}}\n{{\"t\":120.5,\"what\":\"link_ends\",\"name\":\"l\"}}\n")
    };
    assert_eq!(violations(&(link("clients") + closed)), base);
    assert_eq!(violations(&(link("hosts") + closed)), base + 1);
    let late = r#"{"t":121.0,"what":"asked","id":"z","first":"z","intended":121.0,"workload":"look","group":"1","session":"s","router":1,"wait":0.8}
{"t":122.0,"what":"answered","id":"z","how":"rejected","code":"53300"}
"#;
    let stopped = "{\"t\":120.5,\"what\":\"router\",\"number\":1,\"state\":\"stopped\"}\n{\"t\":121.9,\"what\":\"router\",\"number\":1,\"state\":\"continued\"}\n";
    assert_eq!(violations(late), base + 1);
    assert_eq!(violations(&(stopped.to_string() + late)), base);
    assert_eq!(violations(&(stopped.replace("\"number\":1", "\"number\":0") + late)), base + 1);
    let drained = r#"{"t":115.0,"what":"told","router":1,"host":"d","readiness":"leaving","primary":false}
{"t":118.0,"what":"asked","id":"y","first":"y","intended":118.0,"workload":"look","group":"1","session":"s","router":1,"wait":0.8}
{"t":118.1,"what":"taken","host":"d","id":"y","workload":"look"}
{"t":118.2,"what":"answered","id":"y","how":"rejected","code":"53300"}
"#;
    assert_eq!(violations(drained), base + 1);
    let stop = "{\"t\":114.0,\"what\":\"router\",\"number\":1,\"state\":\"stopped\"}\n{\"t\":118.0,\"what\":\"router\",\"number\":1,\"state\":\"continued\"}\n";
    assert_eq!(violations(&(stop.to_string() + drained)), base);
    let other = stop.replace("\"number\":1", "\"number\":0");
    assert_eq!(violations(&(other + drained)), base + 1);
}
