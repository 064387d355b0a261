//! Membership, convergence and probing, judged on traces written by hand.
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
        .expect("a valid trace")
}

fn router(t: f64, n: usize, state: &str) -> String {
    format!(r#"{{"t":{t},"what":"router","number":{n},"state":"{state}","code":null}}"#)
}

fn sight(t: f64, n: usize, view: &str, there: &[usize]) -> String {
    format!("\n{{\"t\":{t},\"what\":\"sight\",\"number\":{n},\"view\":\"{view}\",\"there\":{there:?},\"sharers\":3.0}}")
}

fn all_agreed() -> String {
    (0..3).map(|n| sight(100.5, n, "agreed", &(0..3).filter(|m| *m != n).collect::<Vec<_>>())).collect()
}

const CUT: &str = r#"
{"t":110.0,"what":"link_begins","name":"split","on":["routers"],"severs":[[0,1],[1,0],[0,2],[2,0]]}
{"t":120.0,"what":"link_ends","name":"split"}"#;

#[test]
fn agreement_is_timed_from_each_change() {
    let lines = all_agreed()
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
    // A router that reaches no other and does not report that does not count as agreed.
    let unaware = lines.replace("alone", "agreed");
    assert_eq!(agreement(&trace(&unaware)).epochs[1].agreed_after, None);
}

#[test]
fn a_present_and_reachable_router_declared_gone_is_a_false_death() {
    let lines = all_agreed() + &sight(115.0, 1, "settling", &[2]) + &sight(116.0, 1, "settling", &[0, 2]);
    let found = agreement(&trace(&lines));
    assert_eq!(found.false_deaths(), 1, "{found}");
    let (t, by, whom) = found.epochs[0].false_deaths[0];
    assert_eq!(((t * 10.0).round(), by, whom), (150.0, 1, 0));
    // Routers that reach each other through a third one are not cut off, so a cut between two of them excuses nothing.
    let bridge = r#"
{"t":110.0,"what":"link_begins","name":"bridge","on":["routers"],"severs":[[0,1],[1,0]]}"#;
    assert_eq!(agreement(&trace(&(lines + bridge))).false_deaths(), 1);
}

/// Guards against counting as disagreement that the others see a restarted process before it reports that it is ready.
#[test]
fn a_restarted_router_seen_before_it_is_ready_does_not_break_agreement() {
    let lines = |seen_at: f64| {
        all_agreed()
            + "\n"
            + &router(110.0, 2, "killed")
            + &sight(111.0, 0, "agreed", &[1])
            + &sight(111.4, 1, "agreed", &[0])
            + "\n"
            + &router(115.0, 2, "started")
            + &sight(seen_at, 0, "settling", &[1, 2])
            + &sight(seen_at, 1, "settling", &[0, 2])
            + "\n"
            + &router(115.2, 2, "ready")
    };
    for seen_at in [115.1, 115.3] {
        let found = agreement(&trace(&lines(seen_at)));
        let after = found.epochs[1].agreed_after.map(|s| (s * 10.0).round() / 10.0);
        assert_eq!(after, Some(1.4), "seen at {seen_at}: {found}");
    }
}

#[test]
fn agreement_requires_that_dead_and_stopped_routers_are_missed() {
    let lines = all_agreed()
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
    assert_eq!((found.not_agreed(), found.false_deaths()), (1, 0));
}

/// A router that is back before the others noticed its end knows no other until it reports one.
#[test]
fn a_restarted_router_does_not_keep_what_its_predecessor_saw() {
    let lines = all_agreed()
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

fn kept(as_of: f64, n: usize, standing: &str, digest: &str) -> String {
    format!(
        "\n{{\"t\":{},\"what\":\"kept\",\"number\":{n},\"standing\":\"{standing}\",\"facts\":5,\"digest\":\"{digest}\",\"as_of\":{as_of},\"bytes_out\":{},\"contradictions\":0,\"old_copy\":false}}",
        as_of + 1.0,
        (as_of - 99.0) * 1000.0
    )
}

/// Copies are compared within each side of a split. A copy that stays behind is reported, a momentary difference is not.
#[test]
fn convergence_of_copies_is_timed_from_each_change() {
    let play = |behind: bool| {
        let mut lines = CUT.to_string();
        let mut at = 100.0_f64;
        while at < 129.0 {
            for n in 0..3 {
                let is_apart = (110.0..121.5).contains(&(at + 1.0));
                let is_momentary = n == 2 && (at - 104.0).abs() < 0.1;
                let digest = match n {
                    0 if is_apart => "alone",
                    1 if behind && at > 123.0 => "behind",
                    _ if is_momentary => "moment",
                    _ => "same",
                };
                lines += &kept(at, n, "in step", digest);
            }
            at += 0.25;
        }
        sandstile_audit::state_convergence(&trace(&lines))
    };
    let found = play(false);
    let after: Vec<Option<f64>> =
        found.epochs.iter().map(|e| e.after_s.map(|s| (s * 4.0).round() / 4.0)).collect();
    assert_eq!(after, [Some(1.75), Some(0.0), Some(1.5)], "{found}");
    assert!((900.0..1100.0).contains(&found.bytes_per_s.0), "{found}");
    let found = play(true);
    assert_eq!(found.epochs[2].after_s, None, "{found}");
}

/// The rate of probes at the members of a group without a primary, and the longest gap between probes.
#[test]
fn searches_for_a_primary_are_measured() {
    let mut lines = String::from(
        "\n{\"t\":99.5,\"what\":\"primary\",\"group\":\"1\",\"host\":\"s-1-a\"}\n{\"t\":110.0,\"what\":\"fault_begins\",\"fault\":\"crash\",\"host\":\"s-1-a\"}",
    );
    for n in 0..50 {
        let t = 110.5 + f64::from(n) * 0.2;
        // No probes for two seconds.
        if !(114.0..116.0).contains(&t) {
            lines += &format!("\n{{\"t\":{t},\"what\":\"probed\",\"host\":\"s-1-b\"}}");
        }
        lines += &format!("\n{{\"t\":{t},\"what\":\"probed\",\"host\":\"s-2-b\"}}");
    }
    lines += "\n{\"t\":120.5,\"what\":\"fault_ends\",\"fault\":\"crash\",\"host\":\"s-1-a\"}";
    let found = sandstile_audit::searches(&trace(&lines));
    assert_eq!(found.len(), 1);
    assert!((2.0..2.3).contains(&found[0].gap) && (3.9..4.1).contains(&found[0].rate.0), "{}", found[0]);
}
