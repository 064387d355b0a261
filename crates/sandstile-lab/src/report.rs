//! What a rehearsal came to: JSON for machines, Markdown for people, both from the trace alone but for how late
//! the rig itself was.
use hdrhistogram::Histogram;
use sandstile_audit::judge::RULES;
use sandstile_audit::{
    agreement, judge, own_reads, recovery, searches, service, state_convergence, Finding, Recovery, Service,
    Trace,
};
use sandstile_emulator::Summary as Emulated;
use sandstile_scenario::Script;
use serde_json::{json, Value};
use std::fmt::Write;
use std::path::Path;

pub struct Played {
    pub script: Script,
    pub quick: bool,
    pub emulator: Emulated,
    pub clients_late_us: Histogram<u64>,
}

pub struct Summary {
    pub text: String,
    pub broken: usize,
    pub service: f64,
    pub unsound: Option<String>,
}

/// Reads a folder's trace. The message says what can't be read.
pub fn read(dir: &Path) -> Result<Trace, String> {
    let path = dir.join("trace.jsonl");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Trace::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

pub fn write(dir: &Path, played: &Played) -> Result<Summary, String> {
    let trace = read(dir)?;
    let findings = judge(&trace)?;
    let service = service(&trace).ok_or("no terms in the trace")?;
    let back = recovery(&trace);
    let mut json = as_json(played, &trace, &findings, &service, &back);
    let agreed = agreement(&trace);
    if !agreed.epochs.is_empty() {
        let measures = &mut json["returning"];
        if !measures.is_object() {
            *measures = json!({});
        }
        if let Some(slowest) = agreed.slowest() {
            measures["all agree after s"] = slowest.into();
        }
        measures["agreement not reached"] = agreed.not_agreed().into();
        measures["false deaths"] = agreed.false_deaths().into();
    }
    if let Some(us) = sandstile_audit::returning::cpu_us_per_statement(&trace) {
        if !json["returning"].is_object() {
            json["returning"] = json!({});
        }
        json["returning"]["routers' processor us a statement"] = us.into();
    }
    let found = searches(&trace);
    if !found.is_empty() {
        let measures = &mut json["returning"];
        if !measures.is_object() {
            *measures = json!({});
        }
        let most =
            |of: fn(&sandstile_audit::probing::Search) -> f64| found.iter().map(of).fold(0.0, f64::max);
        measures["probes a second at a host, no primary"] = most(|s| s.rate.0).into();
        measures["longest gap of probes s"] = most(|s| s.gap).into();
    }
    let kept = state_convergence(&trace);
    if !kept.is_empty() {
        let own = own_reads(&trace);
        let measures = &mut json["returning"];
        if !measures.is_object() {
            *measures = json!({});
        }
        if let Some(slowest) = kept.slowest() {
            measures["copies the same after s"] = slowest.into();
        }
        if let Some(slowest) = kept.slowest_start() {
            measures["in step after s"] = slowest.into();
        }
        measures["copies never the same"] = kept.not_converged().into();
        measures["told bytes a second a router"] = kept.bytes_per_s.0.into();
        measures["own reads checked"] = own.checked.into();
        measures["own reads missed"] = own.missed.into();
        measures["own reads soon after a restart"] = own.after_restart.into();
        measures["of these by the primary"] = (own.after_restart - own.after_restart_by_replicas).into();
    }
    let text = as_markdown(played, &trace, &findings, &service, &back);
    let put =
        |name: &str, text: &str| std::fs::write(dir.join(name), text).map_err(|e| format!("{name}: {e}"));
    put("summary.json", &format!("{json:#}\n"))?;
    put("summary.md", &text)?;
    let broken = findings.iter().filter(|f| f.rule.is_violation()).count();
    Ok(Summary { text, broken, service: service.overall(), unsound: trace.unsound })
}

fn quantiles(late: &Histogram<u64>) -> Value {
    let at = |q: f64| late.value_at_quantile(q);
    json!({"count": late.len(), "p50_us": at(0.5), "p99_us": at(0.99), "max_us": late.max()})
}

fn counts(findings: &[Finding]) -> Value {
    let of = |rule| findings.iter().filter(|f| f.rule == rule).count();
    RULES
        .iter()
        .map(|rule| (rule.label().to_string(), Value::from(of(*rule))))
        .collect::<serde_json::Map<_, _>>()
        .into()
}

/// What comparisons of returns are made of; times that were not reached are left out, and counted.
pub fn measures(back: &Recovery) -> Value {
    let mut out = serde_json::Map::new();
    if back.cues.is_empty() {
        return out.into();
    }
    let all = || back.services.iter().filter(|f| f.workload.is_none());
    out.insert("not whole".to_string(), all().filter(|f| f.after_s.is_none()).count().into());
    if let Some(after) = all().filter_map(|f| f.after_s).reduce(f64::max) {
        out.insert("whole after s".to_string(), after.into());
    }
    if let Some(least) = all().map(|f| f.lowest).reduce(f64::min) {
        out.insert("least second".to_string(), least.into());
    }
    for what in sandstile_audit::returning::CONTACT_KINDS {
        if let Some(peak) = back.worst(what) {
            out.insert(format!("{what} at a host in 100 ms"), peak.max.into());
            out.insert(format!("{what}, times usual"), peak.ratio().into());
        }
    }
    out.insert("stale decisions".to_string(), back.stale_decisions.len().into());
    out.into()
}

fn as_json(
    played: &Played,
    trace: &Trace,
    findings: &[Finding],
    service: &Service,
    back: &Recovery,
) -> Value {
    let workloads: Vec<Value> = service
        .workloads
        .iter()
        .map(|w| {
            let at = |q: f64| w.latency.value_at_quantile(q) as f64 / 1e3;
            let seconds: Vec<Value> = w.seconds.iter().map(|t| json!([t.requests, t.in_time])).collect();
            json!({"name": w.name, "wishes": w.tally.requests, "service": w.tally.service(), "late": w.tally.late,
                "rejected": w.tally.rejected, "failed": w.tally.failed, "unanswered": w.tally.unanswered,
                "tries": w.tally.tries, "p50_ms": at(0.5), "p99_ms": at(0.99), "by_second": seconds})
        })
        .collect();
    let own = own_reads(trace);
    json!({"title": played.script.title, "seed": played.script.plan.seed, "quick": played.quick,
        "seconds": played.script.seconds, "service": service.overall(), "workloads": workloads,
        "found": counts(findings), "emulator_late": quantiles(&played.emulator.late_us),
        "clients_late": quantiles(&played.clients_late_us), "most_connections": played.emulator.max_connections,
        "own_reads": {"checked": own.checked, "missed": own.missed, "by_replicas": own.by_replicas},
        "returning": measures(back),
        "unsound": trace.unsound, "missed_cues": played.emulator.missed, "lost_commits": trace.lost_commits.len(),
        "version": env!("CARGO_PKG_VERSION"), "trace_lines": trace.lines})
}

fn as_markdown(
    played: &Played,
    trace: &Trace,
    findings: &[Finding],
    service: &Service,
    back: &Recovery,
) -> String {
    let mut out = String::new();
    let script = &played.script;
    let mode = if played.quick { ", quick" } else { "" };
    let _ = writeln!(out, "# {} (seed {}, {:.0} s{mode})\n", script.title, script.plan.seed, script.seconds);
    if let Some(why) = &trace.unsound {
        let _ = writeln!(out, "**Unsound: {why}.** Figures of this run say little; play it on idle cores.\n");
    }
    let _ = writeln!(
        out,
        "Service by importance: **{:.3}**. Sockets on loopback, emulated hosts.\n",
        service.overall()
    );
    out.push_str(
        "| workload | wishes | in time | late | rejected | failed | unanswered | tries | p50 ms | p99 ms |\n",
    );
    out.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for w in &service.workloads {
        let (t, at) = (&w.tally, |q: f64| w.latency.value_at_quantile(q) as f64 / 1e3);
        let _ = writeln!(
            out,
            "| {} | {} | {:.3} | {} | {} | {} | {} | {} | {:.1} | {:.1} |",
            w.name,
            t.requests,
            t.service(),
            t.late,
            t.rejected,
            t.failed,
            t.unanswered,
            t.tries,
            at(0.5),
            at(0.99)
        );
    }
    out.push_str("\n| found | times |\n| --- | --- |\n");
    for rule in RULES {
        let n = findings.iter().filter(|f| f.rule == rule).count();
        let kind = if rule.is_violation() { "rule" } else { "finding" };
        let _ = writeln!(out, "| {} ({kind}) | {n} |", rule.label());
    }
    let own = own_reads(trace);
    let _ = writeln!(
        out,
        "\nOwn reads with a write to see: {}, missed {}, served by replicas {}.",
        own.checked, own.missed, own.by_replicas
    );
    let _ = writeln!(out, "\n{back}");
    let _ = write!(out, "{}", agreement(trace));
    let _ = write!(out, "{}", state_convergence(trace));
    let begin = trace.settings.as_ref().map_or(0.0, |t| t.begin);
    out.push_str("\n| fault | host | from s | to s |\n| --- | --- | --- | --- |\n");
    for (kind, host, from, to) in &trace.faults {
        let to = if to.is_finite() { format!("{:.2}", to - begin) } else { "the end".to_string() };
        let _ = writeln!(out, "| {kind} | {host} | {:.2} | {to} |", from - begin);
    }
    for (t, number, state) in &trace.routers {
        let _ = writeln!(out, "| router {number} | {state:?} | {:.2} | |", t - begin);
    }
    for (t, group, host) in trace.primaries.iter().filter(|p| p.0 > begin) {
        let _ = writeln!(out, "| primary of {group} | {host} | {:.2} | |", t - begin);
    }
    let seconds = service.workloads.iter().map(|w| w.seconds.len()).max().unwrap_or(0);
    out.push_str("\nShare in time by second (of the wishes meant for it):\n\n| s |");
    service.workloads.iter().for_each(|w| out.push_str(&format!(" {} |", w.name)));
    out.push_str("\n| --- |");
    service.workloads.iter().for_each(|_| out.push_str(" --- |"));
    out.push('\n');
    for second in 0..seconds {
        let _ = write!(out, "| {second} |");
        for w in &service.workloads {
            match w.seconds.get(second).filter(|t| t.requests > 0) {
                Some(t) => out.push_str(&format!(" {:.2} of {} |", t.service(), t.requests)),
                None => out.push_str(" |"),
            }
        }
        out.push('\n');
    }
    let e = &played.emulator.late_us;
    let _ = writeln!(
        out,
        "\nEmulator's timers late: p50 {} us, p99 {} us, most {} us ({} timers); clients' asking late: p99 {} us. \
         {} connections at the most.",
        e.value_at_quantile(0.5), e.value_at_quantile(0.99), e.max(), e.len(),
        played.clients_late_us.value_at_quantile(0.99), played.emulator.max_connections
    );
    if !played.emulator.missed.is_empty() {
        let _ = writeln!(out, "\nCues whose event never came: {}.", played.emulator.missed.join(", "));
    }
    if let Some(first) = findings.iter().find(|f| f.rule.is_violation()) {
        let _ = writeln!(out, "\nThe first broken rule:\n\n```\n{first}```");
    }
    out
}
