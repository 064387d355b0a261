//! The report of a rehearsal, as JSON and as Markdown. All figures come from the trace, except the lateness of the
//! test rig itself.
use hdrhistogram::Histogram;
use sandstile_audit::judge::RULES;
use sandstile_audit::{
    agreement, judge, own_reads, recovery, searches, service, state_convergence, Finding, Recovery, Service,
    Trace,
};
use sandstile_emulator::Summary as EmulatorSummary;
use sandstile_scenario::Script;
use serde_json::{json, Value};
use std::fmt::Write;
use std::path::Path;

pub struct RehearsalResult {
    pub script: Script,
    pub quick: bool,
    pub emulator: EmulatorSummary,
    pub clients_late_us: Histogram<u64>,
}

pub struct Summary {
    pub text: String,
    /// The number of findings that break a rule.
    pub broken: usize,
    /// The share of requests in time, weighted by importance.
    pub service: f64,
    /// Why the figures of the run are unreliable, if they are.
    pub unsound: Option<String>,
}

/// Reads the trace in a folder. The error names the file and what can't be read.
pub fn read(dir: &Path) -> Result<Trace, String> {
    let path = dir.join("trace.jsonl");
    let text = std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    Trace::read(&text).map_err(|e| format!("{}: {e}", path.display()))
}

pub fn write(dir: &Path, result: &RehearsalResult) -> Result<Summary, String> {
    let trace = read(dir)?;
    let findings = judge(&trace)?;
    let service = service(&trace).ok_or("the trace has no run line")?;
    let recovery_report = recovery(&trace);
    let mut json = as_json(result, &trace, &findings, &service, &recovery_report);
    let member_agreement = agreement(&trace);
    if !member_agreement.epochs.is_empty() {
        let measures = &mut json["returning"];
        if !measures.is_object() {
            *measures = json!({});
        }
        if let Some(slowest) = member_agreement.slowest() {
            measures["all agree after s"] = slowest.into();
        }
        measures["agreement not reached"] = member_agreement.not_agreed().into();
        measures["false deaths"] = member_agreement.false_deaths().into();
    }
    if let Some(us) = sandstile_audit::recovery::cpu_us_per_statement(&trace) {
        if !json["returning"].is_object() {
            json["returning"] = json!({});
        }
        json["returning"]["routers' processor us a statement"] = us.into();
    }
    let host_searches = searches(&trace);
    if !host_searches.is_empty() {
        let measures = &mut json["returning"];
        if !measures.is_object() {
            *measures = json!({});
        }
        let max_of = |value: fn(&sandstile_audit::probing::Search) -> f64| {
            host_searches.iter().map(value).fold(0.0, f64::max)
        };
        measures["probes a second at a host, no primary"] = max_of(|s| s.rate.0).into();
        measures["longest gap of probes s"] = max_of(|s| s.gap).into();
    }
    let convergence = state_convergence(&trace);
    if !convergence.is_empty() {
        let own_read_counts = own_reads(&trace);
        let measures = &mut json["returning"];
        if !measures.is_object() {
            *measures = json!({});
        }
        if let Some(slowest) = convergence.slowest() {
            measures["copies the same after s"] = slowest.into();
        }
        if let Some(slowest) = convergence.slowest_restart() {
            measures["in step after s"] = slowest.into();
        }
        measures["copies never the same"] = convergence.not_converged().into();
        measures["told bytes a second a router"] = convergence.bytes_per_s.0.into();
        measures["own reads checked"] = own_read_counts.checked.into();
        measures["own reads missed"] = own_read_counts.missed.into();
        measures["own reads soon after a restart"] = own_read_counts.after_restart.into();
        measures["of these by the primary"] =
            (own_read_counts.after_restart - own_read_counts.after_restart_by_replicas).into();
    }
    let text = as_markdown(result, &trace, &findings, &service, &recovery_report);
    let write_file =
        |name: &str, text: &str| std::fs::write(dir.join(name), text).map_err(|e| format!("{name}: {e}"));
    write_file("summary.json", &format!("{json:#}\n"))?;
    write_file("summary.md", &text)?;
    let broken = findings.iter().filter(|f| f.rule.is_violation()).count();
    Ok(Summary { text, broken, service: service.overall(), unsound: trace.unsound })
}

fn quantiles(delays_us: &Histogram<u64>) -> Value {
    let quantile = |q: f64| delays_us.value_at_quantile(q);
    json!({"count": delays_us.len(), "p50_us": quantile(0.5), "p99_us": quantile(0.99), "max_us": delays_us.max()})
}

fn counts(findings: &[Finding]) -> Value {
    let count_of = |rule| findings.iter().filter(|f| f.rule == rule).count();
    RULES
        .iter()
        .map(|rule| (rule.label().to_string(), Value::from(count_of(*rule))))
        .collect::<serde_json::Map<_, _>>()
        .into()
}

/// The measures by which recoveries are compared. A recovery that was not reached has no time; it is counted instead.
pub fn measures(recovery_report: &Recovery) -> Value {
    let mut out = serde_json::Map::new();
    if recovery_report.cues.is_empty() {
        return out.into();
    }
    let overall = || recovery_report.services.iter().filter(|f| f.workload.is_none());
    out.insert("not whole".to_string(), overall().filter(|f| f.after_s.is_none()).count().into());
    if let Some(after) = overall().filter_map(|f| f.after_s).reduce(f64::max) {
        out.insert("whole after s".to_string(), after.into());
    }
    if let Some(lowest) = overall().map(|f| f.lowest).reduce(f64::min) {
        out.insert("least second".to_string(), lowest.into());
    }
    for contact_kind in sandstile_audit::recovery::CONTACT_KINDS {
        if let Some(peak) = recovery_report.worst(contact_kind) {
            out.insert(format!("{contact_kind} at a host in 100 ms"), peak.max.into());
            out.insert(format!("{contact_kind}, times usual"), peak.ratio().into());
        }
    }
    out.insert("stale decisions".to_string(), recovery_report.stale_decisions.len().into());
    out.into()
}

fn as_json(
    result: &RehearsalResult,
    trace: &Trace,
    findings: &[Finding],
    service: &Service,
    recovery_report: &Recovery,
) -> Value {
    let workloads: Vec<Value> = service
        .workloads
        .iter()
        .map(|w| {
            let quantile_ms = |q: f64| w.latency.value_at_quantile(q) as f64 / 1e3;
            let seconds: Vec<Value> = w.seconds.iter().map(|counts| json!([counts.requests, counts.in_time])).collect();
            json!({"name": w.name, "wishes": w.tally.requests, "service": w.tally.service(), "late": w.tally.late,
                "rejected": w.tally.rejected, "failed": w.tally.failed, "unanswered": w.tally.unanswered,
                "tries": w.tally.tries, "p50_ms": quantile_ms(0.5), "p99_ms": quantile_ms(0.99), "by_second": seconds})
        })
        .collect();
    let own_read_counts = own_reads(trace);
    json!({"title": result.script.title, "seed": result.script.plan.seed, "quick": result.quick,
        "seconds": result.script.seconds, "service": service.overall(), "workloads": workloads,
        "found": counts(findings), "emulator_late": quantiles(&result.emulator.late_us),
        "clients_late": quantiles(&result.clients_late_us), "most_connections": result.emulator.max_connections,
        "own_reads": {"checked": own_read_counts.checked, "missed": own_read_counts.missed, "by_replicas": own_read_counts.by_replicas},
        "returning": measures(recovery_report),
        "unsound": trace.unsound, "missed_cues": result.emulator.missed, "lost_commits": trace.lost_commits.len(),
        "version": env!("CARGO_PKG_VERSION"), "trace_lines": trace.lines})
}

fn as_markdown(
    result: &RehearsalResult,
    trace: &Trace,
    findings: &[Finding],
    service: &Service,
    recovery_report: &Recovery,
) -> String {
    let mut out = String::new();
    let script = &result.script;
    let mode = if result.quick { ", quick" } else { "" };
    let _ = writeln!(out, "# {} (seed {}, {:.0} s{mode})\n", script.title, script.plan.seed, script.seconds);
    if let Some(reason) = &trace.unsound {
        let _ = writeln!(
            out,
            "**Unsound: {reason}.** The figures of this run are unreliable; play it again on idle cores.\n"
        );
    }
    let _ = writeln!(
        out,
        "Service by importance: **{:.3}**. Sockets on loopback, emulated hosts.\n",
        service.overall()
    );
    out.push_str(
        "| workload | requests | in time | late | rejected | failed | unanswered | tries | p50 ms | p99 ms |\n",
    );
    out.push_str("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for w in &service.workloads {
        let (t, quantile_ms) = (&w.tally, |q: f64| w.latency.value_at_quantile(q) as f64 / 1e3);
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
            quantile_ms(0.5),
            quantile_ms(0.99)
        );
    }
    out.push_str("\n| found | times |\n| --- | --- |\n");
    for rule in RULES {
        let count = findings.iter().filter(|f| f.rule == rule).count();
        let kind = if rule.is_violation() { "rule" } else { "finding" };
        let _ = writeln!(out, "| {} ({kind}) | {count} |", rule.label());
    }
    let own_read_counts = own_reads(trace);
    let _ = writeln!(
        out,
        "\nOwn reads that had to see a write: {}, missed {}, served by replicas {}.",
        own_read_counts.checked, own_read_counts.missed, own_read_counts.by_replicas
    );
    let _ = writeln!(out, "\n{recovery_report}");
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
    out.push_str("\nShare in time by second (of the requests due in it):\n\n| s |");
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
    let timer_delays_us = &result.emulator.late_us;
    let _ = writeln!(
        out,
        "\nEmulator's timers late: p50 {} us, p99 {} us, max {} us ({} timers); clients' requests late: p99 {} us. \
         At most {} connections.",
        timer_delays_us.value_at_quantile(0.5), timer_delays_us.value_at_quantile(0.99), timer_delays_us.max(), timer_delays_us.len(),
        result.clients_late_us.value_at_quantile(0.99), result.emulator.max_connections
    );
    if !result.emulator.missed.is_empty() {
        let _ = writeln!(out, "\nCues whose event never occurred: {}.", result.emulator.missed.join(", "));
    }
    if let Some(first) = findings.iter().find(|f| f.rule.is_violation()) {
        let _ = writeln!(out, "\nThe first broken rule:\n\n```\n{first}```");
    }
    out
}
