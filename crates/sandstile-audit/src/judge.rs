//! The rules of a rehearsal, checked against its trace.
use crate::trace::{Effect, FinalAnswer, RouterState, Statement, Trace};
use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each request gets one final answer, in time, with the value that was made for it.
    Answer,
    /// No write takes effect twice, and no write that may have run is rejected.
    Effect,
    /// A leaving host gets no new statements once the grace is over.
    Drain,
    /// No cold host is offered more than the multiple of its capacity that it tolerates.
    Cold,
    /// No read returns a state older than its consistency allows.
    Stale,
    /// Routers end only when they are asked to.
    Crash,
    /// An acknowledged write that no host has any more. The fleet lost it, so this is no violation by the router.
    LostWrite,
    /// No answer at all by the timeout. This is lost service, but no violation.
    Silence,
}

impl Rule {
    /// Whether a finding of this kind is a violation by the router.
    pub fn is_violation(self) -> bool {
        !matches!(self, Rule::LostWrite | Rule::Silence)
    }

    pub fn label(self) -> &'static str {
        match self {
            Rule::Answer => "answer",
            Rule::Effect => "effect",
            Rule::Drain => "drain",
            Rule::Cold => "cold",
            Rule::Stale => "stale",
            Rule::Crash => "crash",
            Rule::LostWrite => "lost write",
            Rule::Silence => "silence",
        }
    }
}

pub const RULES: [Rule; 8] = [
    Rule::Answer,
    Rule::Effect,
    Rule::Drain,
    Rule::Cold,
    Rule::Stale,
    Rule::Crash,
    Rule::LostWrite,
    Rule::Silence,
];

/// One finding, with all lines of the trace about its statement.
#[derive(Clone, Debug)]
pub struct Finding {
    pub rule: Rule,
    pub t: f64,
    pub description: String,
    pub trace_lines: Vec<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        writeln!(f, "{} at {:.3}: {}", self.rule.label(), self.t, self.description)?;
        self.trace_lines.iter().try_for_each(|line| writeln!(f, "    {line}"))
    }
}

/// SQLSTATEs by which a host says that it has not executed a statement.
const NOT_EXECUTED_CODES: [&str; 3] = ["25006", "72000", "53300"];
/// Seconds after a pause in which the host's first reads may still be recorded.
const PAUSE_END_S: f64 = 0.005;
/// Seconds by which positions may be off: on the wire they are whole milliseconds.
const POSITION_ROUNDING_S: f64 = 0.0015;

/// All findings in the order of their times. An error says why the trace can't be judged.
pub fn judge(trace: &Trace) -> Result<Vec<Finding>, String> {
    let Some(settings) = &trace.settings else { return Err("the trace has no beginning (run)".to_string()) };
    if !trace.complete {
        return Err("the trace has no end: the run was cut off".to_string());
    }
    let mut findings = Vec::new();
    let session_writes = session_writes(trace);
    for (id, statement) in &trace.statements {
        let mut report = |rule: Rule, t: f64, description: String| {
            let trace_lines = statement.lines.iter().map(|(_, line)| line.clone()).collect();
            findings.push(Finding { rule, t, description, trace_lines });
        };
        let Some(attempt) = &statement.request else {
            if let Some(received) = statement.received.first() {
                report(
                    Rule::Effect,
                    received.t,
                    format!("{id}: a host received a statement that no client sent"),
                );
            }
            continue;
        };
        let Some(workload) = settings.workloads.get(&attempt.workload) else {
            return Err(format!("{id}: unknown workload {}", attempt.workload));
        };
        answers(trace, id, statement, &mut report);
        effects(id, statement, workload.effect, &mut report);
        drains(trace, id, statement, &mut report);
        // A stale read that the router did not pass on to the client is no violation.
        let was_passed_on = |host: &str| {
            statement.answers.iter().any(|(_, a)| match a {
                FinalAnswer::Completed { by, .. } => by.as_deref().is_none_or(|by| by == host),
                _ => false,
            })
        };
        for execution in statement.executions.iter().filter(|e| e.commit.is_none() && was_passed_on(&e.host))
        {
            let own_write = match workload.consistency.as_str() {
                "session" => last_own_write(&session_writes, &attempt.group, &attempt.session, attempt.t),
                _ => 0.0,
            };
            let required_position = own_write.max(execution.required_position);
            if execution.applied_position + POSITION_ROUNDING_S < required_position {
                let behind = required_position - execution.applied_position;
                report(
                    Rule::Stale,
                    execution.t,
                    format!("{id}: read on {} is {behind:.3} s behind", execution.host),
                );
            }
        }
    }
    for (t, host, multiple, max) in &trace.overloaded_hosts {
        let description =
            format!("{host} collapsed: offered {multiple:.1} times its capacity, tolerates {max:.1}");
        findings.push(Finding { rule: Rule::Cold, t: *t, description, trace_lines: Vec::new() });
    }
    crashes(trace, &mut findings);
    lost_writes(trace, &mut findings);
    findings.sort_by(|a, b| a.t.total_cmp(&b.t).then(a.rule.cmp(&b.rule)));
    Ok(findings)
}

fn answers(trace: &Trace, id: &str, statement: &Statement, report: &mut impl FnMut(Rule, f64, String)) {
    let (Some(settings), Some(attempt)) = (&trace.settings, &statement.request) else { return };
    for (t, _) in statement.answers.iter().skip(1) {
        report(Rule::Answer, *t, format!("{id}: answered {} times", statement.answers.len()));
    }
    let deadline = attempt.t + attempt.wait;
    // Delays by a faulty link or by a suspended process are not the router's fault.
    let is_excused = |t: f64| trace.client_links_faulty(attempt.t, t);
    let was_stopped = |t: f64| trace.was_stopped(attempt.router, attempt.t, t);
    let is_late = |t: f64| t > deadline + settings.slack && !is_excused(t) && !was_stopped(t);
    if let Some((t, _)) = statement.answers.iter().find(|(t, _)| is_late(*t)) {
        let late = (t - deadline) * 1000.0;
        report(Rule::Answer, *t, format!("{id}: answered {late:.0} ms after its time was over"));
    }
    for (t, answer) in &statement.answers {
        match answer {
            FinalAnswer::Completed { made_for: Some(other), .. } if other != id => {
                report(Rule::Answer, *t, format!("{id}: got the value that was made for {other}"));
            }
            FinalAnswer::Completed { made_for: None, .. } => {
                report(Rule::Answer, *t, format!("{id}: got a value that no host made"));
            }
            FinalAnswer::Completed { .. } if statement.executions.is_empty() => {
                let is_repeat = statement.lines.iter().any(|(_, line)| line.contains("\"repeated\""));
                if !is_repeat {
                    report(Rule::Answer, *t, format!("{id}: completed without an execution"));
                }
            }
            _ => {}
        }
    }
    let Some((t, how)) = &statement.unanswered else {
        if statement.answers.is_empty() {
            report(Rule::Silence, deadline, format!("{id}: the trace does not say how it ended"));
        }
        return;
    };
    if !statement.answers.is_empty() {
        return;
    }
    let was_closed = matches!(how.as_str(), "closed" | "reset");
    if was_closed && !is_excused(*t) && !trace.was_killed(attempt.router, attempt.t - 1.0, *t + 0.5) {
        report(
            Rule::Answer,
            *t,
            format!("{id}: its connection was {how} by router {} without an answer", attempt.router),
        );
    } else if how == "silence" {
        report(Rule::Silence, *t, format!("{id}: no answer before its timeout"));
    }
}

fn effects(id: &str, statement: &Statement, effect: Effect, report: &mut impl FnMut(Rule, f64, String)) {
    let commits: Vec<f64> = statement.executions.iter().filter(|e| e.commit.is_some()).map(|e| e.t).collect();
    if effect != Effect::Idempotent && commits.len() > 1 {
        report(Rule::Effect, commits[1], format!("{id}: ran {} times", commits.len()));
    }
    if effect != Effect::NonIdempotent {
        return;
    }
    let not_executed =
        statement.responses.iter().filter(|(_, _, code)| NOT_EXECUTED_CODES.contains(&code.as_str())).count();
    let possibly_run = statement.received.len().saturating_sub(not_executed);
    let last = statement.received.last().map_or(0.0, |r| r.t);
    if possibly_run > 1 && commits.len() <= 1 {
        report(Rule::Effect, last, format!("{id}: sent again though an earlier execution may have run"));
    }
    let rejected = statement.answers.iter().find(|(_, a)| *a == FinalAnswer::Rejected);
    if let (Some((t, _)), true) = (rejected, possibly_run > 0) {
        let ran = if commits.is_empty() { "may have run" } else { "has run" };
        report(Rule::Effect, *t, format!("{id}: rejected though it {ran}"));
    }
}

fn drains(trace: &Trace, id: &str, statement: &Statement, report: &mut impl FnMut(Rule, f64, String)) {
    let (Some(settings), Some(attempt)) = (&trace.settings, &statement.request) else { return };
    for received in &statement.received {
        let Some(notified) = trace.leaving.get(&(attempt.router, received.host.clone())) else { continue };
        // A host that was paused reads late what was sent before; the trace doesn't say when that was.
        let was_paused = trace.faults.iter().any(|(kind, host, begin, end)| {
            kind == "pause"
                && *host == received.host
                && *begin <= received.t
                && received.t <= end + PAUSE_END_S
        });
        let late = received.t - notified;
        let may_be_late = trace.notifications_may_be_late(attempt.router, *notified, received.t);
        if late > settings.grace + settings.slack && !was_paused && !may_be_late {
            let host = &received.host;
            report(
                Rule::Drain,
                received.t,
                format!("{id}: sent to {host} {late:.2} s after it was told to leave"),
            );
        }
    }
}

/// The acknowledged writes of each session by group: when they were answered, and their log positions.
type SessionWrites<'a> = BTreeMap<(&'a str, &'a str), Vec<(f64, f64)>>;

fn session_writes(trace: &Trace) -> SessionWrites<'_> {
    let mut session_writes: SessionWrites = BTreeMap::new();
    for (id, statement) in &trace.statements {
        let Some(attempt) = &statement.request else { continue };
        // A write that was lost with its primary can't be read any more; `Rule::LostWrite` reports it.
        if trace.lost_commits.iter().any(|(_, _, lost, _)| lost == id) {
            continue;
        }
        let commit = statement.executions.iter().find_map(|e| e.commit);
        let completed = statement.answers.iter().find(|(_, a)| matches!(a, FinalAnswer::Completed { .. }));
        if let (Some(commit), Some((t, _))) = (commit, completed) {
            session_writes.entry((&attempt.group, &attempt.session)).or_default().push((*t, commit));
        }
    }
    session_writes
}

/// The position of the session's last write that was answered before `sent_at`; 0 for none.
fn last_own_write(session_writes: &SessionWrites, group: &str, session: &str, sent_at: f64) -> f64 {
    let writes = session_writes.get(&(group, session)).into_iter().flatten();
    writes.filter(|(t, _)| *t < sent_at).map(|(_, position)| *position).fold(0.0, f64::max)
}

/// Counts of reads with session consistency whose session had written before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnReads {
    pub checked: usize,
    /// Those that did not see their session's last write.
    pub missed: usize,
    /// Those answered by hosts that were not primary at the time.
    pub by_replicas: usize,
    /// Those that a router received within 10 s of a restart, the first start excluded.
    pub after_restart: usize,
    /// Those of `after_restart` that replicas answered.
    pub after_restart_by_replicas: usize,
}

pub fn own_reads(trace: &Trace) -> OwnReads {
    let session_writes = session_writes(trace);
    let mut counts = OwnReads::default();
    let Some(settings) = &trace.settings else { return counts };
    for statement in trace.statements.values() {
        let Some(attempt) = &statement.request else { continue };
        if settings.workloads.get(&attempt.workload).is_none_or(|w| w.consistency != "session") {
            continue;
        }
        // The execution whose result was passed on: the last one before the answer.
        let Some((t, FinalAnswer::Completed { by, .. })) = statement.answers.first() else { continue };
        let served = statement.executions.iter().rev().find(|e| e.t <= *t && Some(&e.host) == by.as_ref());
        let required_position = last_own_write(&session_writes, &attempt.group, &attempt.session, attempt.t);
        let (Some(execution), true) = (served, required_position > 0.0) else { continue };
        counts.checked += 1;
        counts.missed += usize::from(execution.applied_position + POSITION_ROUNDING_S < required_position);
        let primary =
            trace.primaries.iter().rev().find(|(at, g, _)| *g == attempt.group && *at <= execution.t);
        let by_replica = primary.is_some_and(|(_, _, host)| *host != execution.host);
        let after_restart = trace.routers.iter().any(|(at, number, state)| {
            let is_restart = *state == RouterState::Started && *at > settings.begin;
            is_restart && *number == attempt.router && *at <= attempt.t && attempt.t < at + 10.0
        });
        counts.by_replicas += usize::from(by_replica);
        counts.after_restart += usize::from(after_restart);
        counts.after_restart_by_replicas += usize::from(after_restart && by_replica);
    }
    counts
}

fn crashes(trace: &Trace, findings: &mut Vec<Finding>) {
    for (t, number, state) in &trace.routers {
        let RouterState::Ended(code) = state else { continue };
        let is_signal_by_lab = |s: &RouterState| matches!(s, RouterState::Term | RouterState::Killed);
        // The last event before the end: a SIGTERM or SIGKILL by the lab, or any other if the process ended by itself.
        let before = trace.routers.iter().rev().find(|(at, n, s)| {
            // Suspending or resuming a process does not end it, so these events don't count.
            let is_suspension =
                matches!(s, RouterState::Stopped | RouterState::Slow | RouterState::Continued);
            n == number && at <= t && s != state && !is_suspension
        });
        let was_signalled = before.is_some_and(|(_, _, s)| is_signal_by_lab(s));
        let killed = before.is_some_and(|(_, _, s)| *s == RouterState::Killed);
        if !was_signalled || (!killed && *code != Some(0)) {
            let description = format!(
                "router {number} ended {}with {code:?}",
                if was_signalled { "" } else { "unexpectedly " }
            );
            findings.push(Finding { rule: Rule::Crash, t: *t, description, trace_lines: Vec::new() });
        }
    }
}

fn lost_writes(trace: &Trace, findings: &mut Vec<Finding>) {
    for (t, group, id, _) in &trace.lost_commits {
        let Some(statement) = trace.statements.get(id) else { continue };
        if statement.answers.iter().any(|(_, a)| matches!(a, FinalAnswer::Completed { .. })) {
            let description = format!("{id}: acknowledged, and lost with the primary of group {group}");
            let trace_lines = statement.lines.iter().map(|(_, line)| line.clone()).collect();
            findings.push(Finding { rule: Rule::LostWrite, t: *t, description, trace_lines });
        }
    }
}
