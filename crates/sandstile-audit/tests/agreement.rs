//! Traces written by hand: when all agree, and who was wrongly held for gone.
use sandstile_audit::{agreement, Trace};
use std::fmt::Write as _;

fn trace(lines: &str) -> Trace {
    let mut text = String::from(
        r#"{"t":100.0,"what":"run","title":"x","seed":1,"settle":0,"grace":1.0,"slack":0.05,"routers":3,"workloads":[]}"#,
    );
    for n in 0..3 {
        let _ = write!(text, "\n{}", router(99.0 + n as f64 * 0.1, n, "started"));
        let _ = write!(text, "\n{}", router(99.1 + n as f64 * 0.1, n, "ready"));
    }
    Trace::read(&format!("{text}{lines}\n{{\"t\":130.0,\"what\":\"end\",\"unsound\":null}}"))
        .expect("a trace")
}

fn router(t: f64, n: usize, state: &str) -> String {
    format!(r#"{{"t":{t},"what":"router","number":{n},"state":"{state}","code":null}}"#)
}

fn sight(t: f64, n: usize, view: &str, there: &[usize]) -> String {
    format!("\n{{\"t\":{t},\"what\":\"sight\",\"number\":{n},\"view\":\"{view}\",\"there\":{there:?},\"sharers\":3.0}}")
}

fn calm() -> String {
    (0..3).map(|n| sight(100.5, n, "agreed", &(0..3).filter(|m| *m != n).collect::<Vec<_>>())).collect()
}

const CUT: &str = r#"
{"t":110.0,"what":"link_begins","name":"split","on":["routers"],"severs":[[0,1],[1,0],[0,2],[2,0]]}
{"t":120.0,"what":"link_ends","name":"split"}"#;

#[test]
fn agreement_is_timed_from_each_change() {
    let lines = calm()
        + CUT
        + &sight(112.0, 1, "settling", &[2])
        + &sight(113.0, 2, "settling", &[1])
        + &sight(113.5, 0, "alone", &[1, 2])
        + &sight(120.5, 0, "settling", &[1, 2])
        + &sight(120.7, 1, "settling", &[0, 2])
        + &sight(121.0, 2, "settling", &[0, 1]);
    let found = agreement(&trace(&lines));
    let after: Vec<Option<f64>> =
        found.epochs.iter().map(|e| e.agreed_after.map(|s| (s * 10.0).round() / 10.0)).collect();
    assert_eq!(after[1..], [Some(3.5), Some(1.0)], "{found}");
    assert_eq!(found.epochs[1].sides.len(), 2);
    assert_eq!(found.false_deaths(), 0);
    // One that reaches nobody and does not say so has not agreed.
    let unaware = lines.replace("alone", "agreed");
    assert_eq!(agreement(&trace(&unaware)).epochs[1].agreed_after, None);
}

#[test]
fn whoever_is_there_and_reached_was_wrongly_held_for_gone() {
    let lines = calm() + &sight(115.0, 1, "settling", &[2]) + &sight(116.0, 1, "settling", &[0, 2]);
    let found = agreement(&trace(&lines));
    assert_eq!(found.false_deaths(), 1, "{found}");
    let (t, by, whom) = found.epochs[0].false_deaths[0];
    assert_eq!(((t * 10.0).round(), by, whom), (150.0, 1, 0));
    // By way of another nobody is out of reach, and a cut between two excuses no death.
    let bridge = r#"
{"t":110.0,"what":"link_begins","name":"bridge","on":["routers"],"severs":[[0,1],[1,0]]}"#;
    assert_eq!(agreement(&trace(&(lines + bridge))).false_deaths(), 1);
}

#[test]
fn the_dead_and_the_stopped_are_to_be_missed() {
    let lines = calm()
        + "\n"
        + &router(110.0, 2, "killed")
        + &sight(111.0, 0, "agreed", &[1])
        + &sight(111.4, 1, "agreed", &[0])
        + "\n"
        + &router(115.0, 2, "started")
        + "\n"
        + &router(115.1, 2, "ready")
        + &sight(115.3, 2, "agreed", &[0, 1])
        + &sight(115.4, 0, "agreed", &[1, 2])
        + &sight(115.5, 1, "agreed", &[0, 2])
        + "\n"
        + &router(120.0, 0, "stopped");
    let found = agreement(&trace(&lines));
    let after: Vec<Option<f64>> =
        found.epochs.iter().map(|e| e.agreed_after.map(|s| (s * 10.0).round() / 10.0)).collect();
    assert_eq!(after[1..], [Some(1.4), Some(0.4), None], "{found}");
    assert_eq!((found.never(), found.false_deaths()), (1, 0));
}

/// One that is back before anybody missed it knows nobody all the same, until it says otherwise.
#[test]
fn what_a_former_life_saw_is_gone_with_it() {
    let lines = calm()
        + "\n"
        + &router(110.0, 2, "killed")
        + "\n"
        + &router(110.3, 2, "started")
        + "\n"
        + &router(110.4, 2, "ready")
        + &sight(111.2, 2, "settling", &[0, 1]);
    let found = agreement(&trace(&lines));
    let last = found.epochs.last().expect("epochs");
    assert_eq!(last.agreed_after.map(|s| (s * 10.0).round() / 10.0), Some(0.8), "{found}");
    assert_eq!(found.false_deaths(), 0);
}
