//! Holds what was seen against the rules. Pure: it reads records and says which rule was broken by what.
use crate::client::GRACE_S;
use crate::plan::{Event, Plan, COLD_INITIAL_SHARE, COLD_S, KILL_AFTER};
use crate::record::{Arrival, Effect, End, Happened, Observations, Request};
use std::collections::BTreeMap;
use std::fmt;

/// For what this machine holds up by itself: a busy machine wakes threads late.
const SLACK_S: f64 = 0.1;
/// A stall counts for what was seen so long before or after it.
const NEAR_S: f64 = 0.3;
/// A router may be held up for so long between its clock and a write.
const HOLD_UP_S: f64 = 0.15;
/// A request that is written as a resting connection is closed was not read: its client asks again elsewhere.
const CROSSING_S: f64 = 0.1;
/// An attempt may begin so long after its client has left.
const AFTER_LEAVING_S: f64 = 0.1;
/// What a statement is told may exceed what its client has left by so much.
const DEADLINE_SLACK_S: f64 = 0.15;
/// A change counts as told by then, where a watch was silent or reset.
const TOLD_S: f64 = 6.0;
/// What arrives later than this after SIGTERM may go down with SIGKILL.
const TAKEN_AFTER_TERM_S: f64 = 0.7;
const MOST_KILOBYTES: u64 = 64 * 1024;
/// Below this share of answered reads the fleet counts as down.
const LEAST_SERVED: f64 = 0.3;

/// The rules of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request that was taken got no final answer in its time.
    Lost,
    /// An attempt began after its client had left.
    AfterLeaving,
    /// A host was told more time than the client had left.
    Deadline,
    /// Executed again, or rejected, though it may have run.
    Duplicate,
    /// A session's read answered from before its own write.
    Stale,
    /// Sent to a host that is told to drain.
    Drain,
    /// A cold host got more than it bears.
    SlowStart,
    /// A process panicked, ended by itself or with an error, or outlived its time.
    Crash,
    /// Memory grew beyond bounds.
    Growth,
    /// Too little was served.
    Service,
    /// Refused only after more than half of its time, with no attempt, though nothing was in trouble.
    Unattempted,
}

/// One breach.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub rule: Rule,
    pub what: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:?}: {}", self.rule, self.what)
    }
}

/// When a life of a router was told to end and was killed.
#[derive(Clone, Copy, Debug, Default)]
struct Life {
    terminated_at: Option<f64>,
    killed_at: Option<f64>,
}

type Lives = BTreeMap<(usize, usize), Life>;

fn lives(observations: &Observations) -> Lives {
    let mut lives = Lives::new();
    for (at, what) in &observations.happened {
        match what {
            Happened::Terminated { router, life } => {
                lives.entry((*router, *life)).or_default().terminated_at = Some(*at)
            }
            Happened::Killed { router, life } => {
                lives.entry((*router, *life)).or_default().killed_at = Some(*at);
            }
            _ => {}
        }
    }
    lives
}

/// All breaches of a run.
pub fn judge(plan: &Plan, observations: &Observations) -> Vec<Finding> {
    let lives = lives(observations);
    let mut arrivals: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &observations.arrivals {
        arrivals.entry(&arrival.id).or_default().push(arrival);
    }
    let mut found = Vec::new();
    for request in &observations.requests {
        let attempts = arrivals.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        found.extend(lost(request, attempts.len(), &lives, observations));
        found.extend(after_leaving(request, attempts, observations));
        found.extend(deadline(request, attempts, observations));
        found.extend(duplicate(request, attempts));
        found.extend(stale(request));
        found.extend(unattempted(plan, request, attempts.len(), observations));
    }
    found.extend(drain(observations));
    found.extend(slow_start(plan, observations));
    found.extend(processes(observations, &lives));
    found.extend(service(observations));
    found
}

fn finding(rule: Rule, what: String) -> Option<Finding> {
    Some(Finding { rule, what })
}

/// The slack of what went on between two times: where this process itself woke late, so much more.
fn slack(observations: &Observations, from: f64, until: f64) -> f64 {
    let near = observations.stalls.iter().filter(|(at, _)| (from - NEAR_S..until + NEAR_S).contains(at));
    SLACK_S + near.map(|(_, late)| *late).fold(0.0, f64::max)
}

/// Whether the process was killed while the request was out, which frees it of its answer.
fn died_under(request: &Request, end: f64, lives: &Lives) -> bool {
    let Some(life) = lives.get(&(request.router, request.life)) else { return false };
    let Some(killed) = life.killed_at.filter(|killed| *killed <= end + SLACK_S) else { return false };
    // After SIGTERM, all that came in time is owed, whenever SIGKILL comes.
    life.terminated_at.is_none_or(|told| request.written_at > told + TAKEN_AFTER_TERM_S)
        && killed >= request.written_at - SLACK_S
}

fn crowded(request: &Request, observations: &Observations) -> bool {
    observations.happened.iter().any(|(at, what)| match what {
        Happened::Applied(Event::Crowd { router, .. }) => {
            *router == request.router && (*at..at + 4.0).contains(&request.written_at)
        }
        _ => false,
    })
}

fn lost(request: &Request, attempts: usize, lives: &Lives, observations: &Observations) -> Option<Finding> {
    let due = request.written_at + request.wait + GRACE_S;
    let slack = slack(observations, request.written_at, due);
    let (ended_at, how) = match &request.end {
        End::Left { .. } => return None,
        End::Answered { at, .. } if *at <= due + slack => return None,
        End::Answered { at, .. } => (*at, "answered too late"),
        End::Closed { at } if !request.fresh && *at < request.written_at + CROSSING_S => return None,
        End::Closed { at } if request.fresh && crowded(request, observations) => {
            // New connections may be shut unread while a crowd fills the descriptors.
            let _ = at;
            return None;
        }
        End::Closed { at } => (*at, "closed without an answer"),
        End::CutShort { at } => (*at, "answered in part"),
        End::Silent => (due, "never answered"),
    };
    if died_under(request, ended_at, lives) {
        return None;
    }
    finding(Rule::Lost, format!("{how} at {ended_at:.3}, {attempts} attempts: {request:?}"))
}

fn unattempted(
    plan: &Plan,
    request: &Request,
    attempts: usize,
    observations: &Observations,
) -> Option<Finding> {
    let End::Answered { code: Some(code), at } = &request.end else { return None };
    let woke_late = slack(observations, request.written_at, *at) - SLACK_S;
    let waited = at - request.written_at - woke_late;
    if !plan.is_healthy() || attempts > 0 || waited <= request.wait / 2.0 {
        return None;
    }
    finding(Rule::Unattempted, format!("{code} after {waited:.3} s with no attempt: {request:?}"))
}

fn after_leaving(request: &Request, attempts: &[&Arrival], observations: &Observations) -> Option<Finding> {
    let End::Left { at } = request.end else { return None };
    let late = attempts.iter().find(|a| a.at > at + AFTER_LEAVING_S + slack(observations, at, a.at))?;
    finding(
        Rule::AfterLeaving,
        format!("at host {} {:.3} s after its client left: {request:?}", late.host, late.at - at),
    )
}

fn deadline(request: &Request, attempts: &[&Arrival], observations: &Observations) -> Option<Finding> {
    let end = request.written_at + request.wait;
    let over = attempts.iter().find_map(|a| {
        let told = a.told?;
        let left = (end - a.at).max(0.0);
        let most =
            left + DEADLINE_SLACK_S + HOLD_UP_S + slack(observations, request.written_at, a.at) - SLACK_S;
        (told > most).then_some((told, left))
    });
    let (told, left) = over?;
    finding(Rule::Deadline, format!("told {told:.3} s where {left:.3} were left: {request:?}"))
}

fn duplicate(request: &Request, attempts: &[&Arrival]) -> Option<Finding> {
    if request.effect == Effect::Idempotent {
        return None;
    }
    let ran = attempts.iter().filter(|a| a.ran).count();
    if ran > 1 {
        return finding(Rule::Duplicate, format!("executed {ran} times: {request:?}"));
    }
    let rejected =
        matches!(&request.end, End::Answered { code: Some(code), .. } if code == "53300" || code == "57P03");
    if rejected && ran > 0 && request.effect == Effect::NonIdempotent {
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

/// From when a drain has to be heeded by all.
fn heeded_at(told: f64, observations: &Observations) -> f64 {
    let troubled = observations.happened.iter().any(|(at, what)| {
        let trouble = matches!(what, Happened::Applied(Event::AgentSilent { .. } | Event::AgentReset));
        let starts = matches!(what, Happened::Started { .. });
        (trouble || starts) && (at - told).abs() < TOLD_S
    });
    told + if troubled { TOLD_S } else { HOLD_UP_S } + SLACK_S + slack(observations, told, told)
}

fn drain(observations: &Observations) -> Vec<Finding> {
    let mut found = Vec::new();
    for (told, what) in &observations.happened {
        let Happened::HostDrains { host } = what else { continue };
        let back = observations
            .happened
            .iter()
            .find(|(at, w)| at > told && *w == Happened::HostCold { host: *host });
        let until = back.map_or(f64::INFINITY, |(at, _)| *at);
        let from = heeded_at(*told, observations);
        let sent = |a: &&Arrival| a.host == *host && a.at > from && a.at < until;
        if let Some(arrival) = observations.arrivals.iter().find(sent) {
            let what = format!("{:.3} s after host {host} was told to drain: {arrival:?}", arrival.at - told);
            found.push(Finding { rule: Rule::Drain, what });
        }
    }
    found
}

fn slow_start(plan: &Plan, observations: &Observations) -> Vec<Finding> {
    let mut found = Vec::new();
    for (told, what) in &observations.happened {
        let Happened::HostCold { host } = what else { continue };
        let span = *told..told + COLD_S;
        let arrived = |h: usize| {
            observations.arrivals.iter().filter(|a| a.host == h && span.contains(&a.at)).count() as f64
        };
        // A cold host falls at twice what it can do; a warm one can do at least what the busiest was sent, which is
        // the primary where other replicas are out.
        let busiest = (0..plan.hosts).filter(|h| h != host).map(arrived).fold(0.0, f64::max);
        let share = (1.0 + COLD_INITIAL_SHARE) / 2.0;
        let n = (2.0 * share * busiest).max(1.0);
        let most = n + if n < 30.0 { 3.0 * n.sqrt() + 3.0 } else { 2.0 * n.sqrt() + 2.0 };
        let got = arrived(*host);
        if got > most {
            let what = format!("host {host} cold from {told:.3} got {got} where {most:.0} are borne");
            found.push(Finding { rule: Rule::SlowStart, what });
        }
    }
    found
}

fn processes(observations: &Observations, lives: &Lives) -> Vec<Finding> {
    let mut found = Vec::new();
    for (at, what) in &observations.happened {
        let broken = match what {
            Happened::Ended { router, life, code } => {
                let told = lives.get(&(*router, *life)).and_then(|l| l.terminated_at);
                (told.is_none() || *code != Some(0)).then_some(Rule::Crash)
            }
            Happened::Killed { router, life } => {
                let told = lives.get(&(*router, *life)).and_then(|l| l.terminated_at);
                told.is_some_and(|t| at - t < KILL_AFTER.as_secs_f64() - SLACK_S).then_some(Rule::Crash)
            }
            Happened::Panicked { .. } => Some(Rule::Crash),
            Happened::Memory { kilobytes, .. } => (*kilobytes > MOST_KILOBYTES).then_some(Rule::Growth),
            _ => None,
        };
        found.extend(broken.map(|rule| Finding { rule, what: format!("at {at:.3}: {what:?}") }));
    }
    found
}

fn service(observations: &Observations) -> Option<Finding> {
    let reads = || observations.requests.iter().filter(|r| r.effect == Effect::Idempotent);
    let served = reads().filter(|r| matches!(r.end, End::Answered { code: None, .. })).count();
    let all = reads().count();
    if all > 0 && served as f64 >= LEAST_SERVED * all as f64 {
        return None;
    }
    finding(Rule::Service, format!("{served} of {all} reads were served"))
}
