//! Checks what was observed in a run against the rules, and reports which were broken and how. No I/O.
use crate::client::GRACE_S;
use crate::plan::{Event, Plan, COLD_INITIAL_SHARE, COLD_S, KILL_AFTER};
use crate::record::{Arrival, Effect, End, Observations, Request, RunEvent};
use std::collections::BTreeMap;
use std::fmt;

/// Seconds by which any observation may be off: a busy machine wakes threads late.
const SLACK_S: f64 = 0.1;
/// Seconds before and after a stall of this process in which observations may be as late as the stall was long.
const STALL_RANGE_S: f64 = 0.3;
/// Seconds for which a router may be delayed between reading its clock and a write.
const ROUTER_DELAY_S: f64 = 0.15;
/// Seconds. If an idle connection is closed this soon after a request was written, the router did not read the
/// request, and real clients would send it again on another connection.
const CLOSE_RACE_S: f64 = 0.1;
/// Seconds after its client has left in which an attempt may still begin.
const ABANDON_DELAY_S: f64 = 0.1;
/// Seconds by which the time sent with a statement may exceed what its client has left.
const DEADLINE_SLACK_S: f64 = 0.15;
/// Seconds within which routers are notified of a change where a watch was silent or reset.
const NOTIFICATION_S: f64 = 6.0;
/// Seconds after SIGTERM up to which requests have to be answered; later ones may be lost to the SIGKILL.
const ACCEPTED_AFTER_TERM_S: f64 = 0.7;
/// The resident memory that a router may use.
const MAX_RSS_KB: u64 = 64 * 1024;
/// Below this share of answered reads the fleet counts as down.
const MIN_SERVED_SHARE: f64 = 0.3;

/// The rules of a soak. Each variant says how the rule is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that the router received got no final answer in time.
    Lost,
    /// An attempt began although its client had left.
    AfterLeaving,
    /// A host was sent a longer deadline than the client's.
    Deadline,
    /// A statement was executed again, or rejected, although it may have run.
    Duplicate,
    /// A session's read returned a state from before the session's own write.
    Stale,
    /// A statement was sent to a draining host.
    Drain,
    /// A cold host got more statements than it tolerates.
    SlowStart,
    /// A process panicked, ended by itself or with an error, or did not end in time after SIGTERM.
    Crash,
    /// A router's memory exceeded its bound.
    Growth,
    /// Too few reads were served.
    Service,
    /// A request was rejected without an attempt after more than half of its time, although nothing was faulty.
    Unattempted,
}

/// One broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub rule: Rule,
    pub description: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.description)
    }
}

/// When a router process received SIGTERM, and when it was killed.
#[derive(Clone, Copy, Debug, Default)]
struct Shutdown {
    terminated_at: Option<f64>,
    killed_at: Option<f64>,
}

/// By router number and generation.
type Shutdowns = BTreeMap<(usize, usize), Shutdown>;

fn shutdowns(observed: &Observations) -> Shutdowns {
    let mut shutdowns = Shutdowns::new();
    for (at, event) in &observed.events {
        match event {
            RunEvent::Terminated { router, life } => {
                shutdowns.entry((*router, *life)).or_default().terminated_at = Some(*at)
            }
            RunEvent::Killed { router, life } => {
                shutdowns.entry((*router, *life)).or_default().killed_at = Some(*at);
            }
            _ => {}
        }
    }
    shutdowns
}

/// All broken rules of a run.
pub fn judge(plan: &Plan, observed: &Observations) -> Vec<Finding> {
    let shutdowns = shutdowns(observed);
    let mut arrivals: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &observed.arrivals {
        arrivals.entry(&arrival.id).or_default().push(arrival);
    }
    let mut findings = Vec::new();
    for request in &observed.requests {
        let attempts = arrivals.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        findings.extend(lost(request, attempts.len(), &shutdowns, observed));
        findings.extend(after_leaving(request, attempts, observed));
        findings.extend(deadline(request, attempts, observed));
        findings.extend(duplicate(request, attempts));
        findings.extend(stale(request));
        findings.extend(unattempted(plan, request, attempts.len(), observed));
    }
    findings.extend(drain(observed));
    findings.extend(slow_start(plan, observed));
    findings.extend(processes(observed, &shutdowns));
    findings.extend(service(observed));
    findings
}

fn finding(rule: Rule, description: String) -> Option<Finding> {
    Some(Finding { rule, description })
}

/// The tolerance for what was observed in a period: the general slack, and the longest stall of this process near it.
fn slack(observed: &Observations, from: f64, until: f64) -> f64 {
    let near =
        observed.stalls.iter().filter(|(at, _)| (from - STALL_RANGE_S..until + STALL_RANGE_S).contains(at));
    SLACK_S + near.map(|(_, late)| *late).fold(0.0, f64::max)
}

/// Whether the process was killed while it had the request; then the request need not be answered.
fn was_killed_during(request: &Request, end: f64, shutdowns: &Shutdowns) -> bool {
    let Some(shutdown) = shutdowns.get(&(request.router, request.life)) else { return false };
    let Some(killed) = shutdown.killed_at.filter(|killed| *killed <= end + SLACK_S) else { return false };
    // Requests received early enough after SIGTERM have to be answered, whenever SIGKILL comes.
    shutdown.terminated_at.is_none_or(|terminated| request.written_at > terminated + ACCEPTED_AFTER_TERM_S)
        && killed >= request.written_at - SLACK_S
}

fn was_crowded(request: &Request, observed: &Observations) -> bool {
    observed.events.iter().any(|(at, event)| match event {
        RunEvent::Applied(Event::Crowd { router, .. }) => {
            *router == request.router && (*at..at + 4.0).contains(&request.written_at)
        }
        _ => false,
    })
}

fn lost(
    request: &Request,
    attempts: usize,
    shutdowns: &Shutdowns,
    observed: &Observations,
) -> Option<Finding> {
    let due = request.written_at + request.wait + GRACE_S;
    let slack = slack(observed, request.written_at, due);
    let (ended_at, how) = match &request.end {
        End::Left { .. } => return None,
        End::Answered { at, .. } if *at <= due + slack => return None,
        End::Answered { at, .. } => (*at, "answered too late"),
        End::Closed { at } if !request.fresh && *at < request.written_at + CLOSE_RACE_S => return None,
        End::Closed { at } if request.fresh && was_crowded(request, observed) => {
            // New connections may be closed unread while a crowd uses up the descriptors.
            let _ = at;
            return None;
        }
        End::Closed { at } => (*at, "closed without an answer"),
        End::CutShort { at } => (*at, "answered in part"),
        End::Silent => (due, "never answered"),
    };
    if was_killed_during(request, ended_at, shutdowns) {
        return None;
    }
    finding(Rule::Lost, format!("{how} at {ended_at:.3}, {attempts} attempts: {request:?}"))
}

fn unattempted(plan: &Plan, request: &Request, attempts: usize, observed: &Observations) -> Option<Finding> {
    let End::Answered { code: Some(code), at } = &request.end else { return None };
    let stall = slack(observed, request.written_at, *at) - SLACK_S;
    let waited = at - request.written_at - stall;
    if !plan.is_healthy() || attempts > 0 || waited <= request.wait / 2.0 {
        return None;
    }
    finding(Rule::Unattempted, format!("{code} after {waited:.3} s with no attempt: {request:?}"))
}

fn after_leaving(request: &Request, attempts: &[&Arrival], observed: &Observations) -> Option<Finding> {
    let End::Left { at } = request.end else { return None };
    let late = attempts.iter().find(|a| a.at > at + ABANDON_DELAY_S + slack(observed, at, a.at))?;
    finding(
        Rule::AfterLeaving,
        format!("at host {} {:.3} s after its client left: {request:?}", late.host, late.at - at),
    )
}

fn deadline(request: &Request, attempts: &[&Arrival], observed: &Observations) -> Option<Finding> {
    let end = request.written_at + request.wait;
    let exceeded = attempts.iter().find_map(|a| {
        let sent = a.told?;
        let remaining = (end - a.at).max(0.0);
        let max = remaining + DEADLINE_SLACK_S + ROUTER_DELAY_S + slack(observed, request.written_at, a.at)
            - SLACK_S;
        (sent > max).then_some((sent, remaining))
    });
    let (sent, remaining) = exceeded?;
    finding(Rule::Deadline, format!("sent with {sent:.3} s where {remaining:.3} s were left: {request:?}"))
}

fn duplicate(request: &Request, attempts: &[&Arrival]) -> Option<Finding> {
    if request.effect == Effect::Idempotent {
        return None;
    }
    let executions = attempts.iter().filter(|a| a.ran).count();
    if executions > 1 {
        return finding(Rule::Duplicate, format!("executed {executions} times: {request:?}"));
    }
    let rejected =
        matches!(&request.end, End::Answered { code: Some(code), .. } if code == "53300" || code == "57P03");
    if rejected && executions > 0 && request.effect == Effect::NonIdempotent {
        return finding(Rule::Duplicate, format!("rejected though it ran: {request:?}"));
    }
    None
}

fn stale(request: &Request) -> Option<Finding> {
    let (position, wrote) = (request.position?, request.wrote_before?);
    if position >= wrote {
        return None;
    }
    finding(Rule::Stale, format!("read at {position}, wrote at {wrote}: {request:?}"))
}

/// From when on all routers have to respect a drain that discovery sent at `notified`.
fn respected_from(notified: f64, observed: &Observations) -> f64 {
    let may_be_late = observed.events.iter().any(|(at, event)| {
        let agent_fault = matches!(event, RunEvent::Applied(Event::AgentSilent { .. } | Event::AgentReset));
        let starts = matches!(event, RunEvent::Started { .. });
        (agent_fault || starts) && (at - notified).abs() < NOTIFICATION_S
    });
    notified
        + if may_be_late { NOTIFICATION_S } else { ROUTER_DELAY_S }
        + SLACK_S
        + slack(observed, notified, notified)
}

fn drain(observed: &Observations) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (notified, event) in &observed.events {
        let RunEvent::HostDrains { host } = event else { continue };
        let restart =
            observed.events.iter().find(|(at, e)| at > notified && *e == RunEvent::HostCold { host: *host });
        let until = restart.map_or(f64::INFINITY, |(at, _)| *at);
        let from = respected_from(*notified, observed);
        let sent = |a: &&Arrival| a.host == *host && a.at > from && a.at < until;
        if let Some(arrival) = observed.arrivals.iter().find(sent) {
            let description =
                format!("{:.3} s after host {host} was told to drain: {arrival:?}", arrival.at - notified);
            findings.push(Finding { rule: Rule::Drain, description });
        }
    }
    findings
}

fn slow_start(plan: &Plan, observed: &Observations) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (notified, event) in &observed.events {
        let RunEvent::HostCold { host } = event else { continue };
        let cold = *notified..notified + COLD_S;
        let arrivals = |h: usize| {
            observed.arrivals.iter().filter(|a| a.host == h && cold.contains(&a.at)).count() as f64
        };
        // A cold host collapses at twice its capacity. The capacity of a warm host is at least the load of the busiest
        // host, which is the primary if other replicas are unavailable.
        let busiest = (0..plan.hosts).filter(|h| h != host).map(arrivals).fold(0.0, f64::max);
        let share = (1.0 + COLD_INITIAL_SHARE) / 2.0;
        let expected = (2.0 * share * busiest).max(1.0);
        let max = expected
            + if expected < 30.0 { 3.0 * expected.sqrt() + 3.0 } else { 2.0 * expected.sqrt() + 2.0 };
        let received = arrivals(*host);
        if received > max {
            let description = format!(
                "host {host}, cold from {notified:.3}, got {received} statements; it tolerates {max:.0}"
            );
            findings.push(Finding { rule: Rule::SlowStart, description });
        }
    }
    findings
}

fn processes(observed: &Observations, shutdowns: &Shutdowns) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (at, event) in &observed.events {
        let broken = match event {
            RunEvent::Ended { router, life, code } => {
                let terminated = shutdowns.get(&(*router, *life)).and_then(|s| s.terminated_at);
                (terminated.is_none() || *code != Some(0)).then_some(Rule::Crash)
            }
            RunEvent::Killed { router, life } => {
                let terminated = shutdowns.get(&(*router, *life)).and_then(|s| s.terminated_at);
                terminated.is_some_and(|t| at - t < KILL_AFTER.as_secs_f64() - SLACK_S).then_some(Rule::Crash)
            }
            RunEvent::Panicked { .. } => Some(Rule::Crash),
            RunEvent::Memory { kilobytes, .. } => (*kilobytes > MAX_RSS_KB).then_some(Rule::Growth),
            _ => None,
        };
        findings.extend(broken.map(|rule| Finding { rule, description: format!("at {at:.3}: {event:?}") }));
    }
    findings
}

fn service(observed: &Observations) -> Option<Finding> {
    let reads = || observed.requests.iter().filter(|r| r.effect == Effect::Idempotent);
    let served = reads().filter(|r| matches!(r.end, End::Answered { code: None, .. })).count();
    let all = reads().count();
    if all > 0 && served as f64 >= MIN_SERVED_SHARE * all as f64 {
        return None;
    }
    finding(Rule::Service, format!("{served} of {all} reads were served"))
}
