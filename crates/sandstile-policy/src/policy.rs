//! The decisions of one sandstile instance. A host of this module feeds it inputs (`members`, `arrived`,
//! `ended`, `probed`, `client_gone`, `passed`), which only update what is known, then calls `decide` until it
//! returns nothing, and `passed` again no later than `wake_at`. Interface types stand in `terms.rs`.
//!
//! The design (DBFarm's change numbers and round-robin, the host's own class check) decides the ordinary path.
//! Beside it stand six mechanisms:
//! 1. primary: found from answers, list and probes; writes held and members probed while none is usable;
//! 2. lag memory: replicas known too far behind for a read are skipped, the primary is spared;
//! 3. health: hosts that are mute, failing or slow against their peers rest, and return by trial traffic;
//! 4. in-flight bound: measured rate x time per host; when it is full, importance per work decides;
//! 5. further executions and second copies: under a waste budget, and only where the effect allows;
//! 6. cold guard: sends to a fresh host stay under the own traffic to a warm peer x its cold share.

use crate::terms::*;
use oorandom::Rand32;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// A replica that lags is taken to gain on the log at this many times the pace of the clock at best.
const CATCH_UP: f64 = 2.0;
/// Share of a workload's usual time beyond which an execution counts as stuck.
const STUCK: f64 = 3.0;
/// A host this many times slower than its peers rests.
const SLOW: f64 = 2.2;
/// Share of an SLO time that may pass before an answer, as the bound on what is in flight has it.
const QUEUE: f64 = 0.5;
/// Share of sends that second copies may add.
const COPIES: f64 = 0.06;

struct Execution {
    host: usize,
    sent: f64,
    ended: Option<f64>,
    may_have_run: bool,
    recalled: bool,
}

struct Statement {
    workload: usize,
    group: usize,
    /// Position that a session read must reach; for guards that are off, the design's change number.
    need: f64,
    slo_at: f64,
    end: f64,
    executions: Vec<Execution>,
    answered: bool,
    waiting: bool,
    retry: bool,
}

#[derive(Clone)]
struct Host {
    group: usize,
    zone: usize,
    listed: Readiness,
    seen_draining: bool,
    fresh_since: f64,
    credit: f64,
    /// Once named primary by list or answer and not denied by an answer since.
    maybe_primary: bool,
    denied_at: f64,
    claimed_at: f64,
    /// At `.1` the host stood at most at `.0`; and it has reached `reached`.
    stood: (f64, f64),
    reached: f64,
    open: Vec<(f64, u64)>,
    answered_at: f64,
    rate: f64,
    window: (f64, f64),
    pace: f64,
    crowd: f64,
    failing: f64,
    strikes: i32,
    rests_until: f64,
    mute: bool,
    full: bool,
    unreachable_since: Option<f64>,
}

#[derive(Clone, Default)]
struct Group {
    members: Vec<usize>,
    primary: Option<usize>,
    cursor: usize,
    change_number: f64,
    waiting: Vec<u64>,
    touched: bool,
    probe_at: f64,
}

/// What a workload's settings come down to.
struct Kind {
    consistency: Consistency,
    bound: f64,
    effect: Effect,
    scope: DedupScope,
    window: f64,
    slo: f64,
    timeout: f64,
    longest_try: f64,
    importance: f64,
    late_share: f64,
    /// Usual seconds from send to answer, and the least they have been: what the work takes without a crowd.
    usual: f64,
    base: f64,
}

#[derive(PartialEq, PartialOrd)]
struct Time(f64);
impl Eq for Time {}
impl Ord for Time {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

pub struct Instance {
    now: f64,
    chance: Rand32,
    kinds: Vec<Kind>,
    margin: f64,
    most: usize,
    copies: bool,
    may_recall: bool,
    may_probe: bool,
    max_return: f64,
    binds_alone: bool,
    cold_from: f64,
    cold_s: f64,
    checked: bool,
    stamped: bool,
    remembered: bool,
    marked: bool,
    ask_every: Option<f64>,
    ask_at: f64,
    hosts: Vec<Option<Host>>,
    groups: Vec<Group>,
    sessions: Vec<f64>,
    statements: BTreeMap<u64, Statement>,
    looks: BinaryHeap<Reverse<(Time, u64)>>,
    due: VecDeque<u64>,
    probes: VecDeque<usize>,
    logs: VecDeque<String>,
    logged: usize,
    copy_budget: f64,
}

impl Instance {
    pub fn new(terms: &Terms, seed: u64, now: f64) -> Self {
        let kinds: Vec<Kind> = terms
            .workloads
            .iter()
            .map(|w| Kind {
                consistency: w.consistency,
                bound: w.bound,
                effect: w.effect,
                scope: w.scope,
                window: w.window,
                slo: w.slo,
                timeout: w.timeout,
                longest_try: 0.0,
                importance: w.importance,
                late_share: w.late_share,
                usual: w.slo / 4.0,
                base: w.slo / 4.0,
            })
            .collect();
        Instance {
            now,
            chance: Rand32::new(seed),
            kinds,
            margin: 1.5 * terms.tick + 0.001,
            most: terms.most_executions.max(1),
            copies: terms.second_copies,
            may_recall: terms.may_recall,
            may_probe: terms.may_probe,
            max_return: terms.max_return,
            binds_alone: terms.drain_binds_alone,
            cold_from: terms.cold_from,
            cold_s: terms.cold_s,
            checked: terms.checked,
            stamped: terms.stamped,
            remembered: terms.tokens_remembered,
            marked: terms.marked_retries,
            ask_every: terms.on_request.then_some(terms.ask_within / 4.0),
            ask_at: now,
            hosts: Vec::new(),
            groups: Vec::new(),
            sessions: Vec::new(),
            statements: BTreeMap::new(),
            looks: BinaryHeap::new(),
            due: VecDeque::new(),
            probes: VecDeque::new(),
            logs: VecDeque::new(),
            logged: 0,
            copy_budget: 1.0,
        }
    }

    /// The whole list as it now stands, sorted by id; hosts that left it are handed as gone.
    pub fn members(&mut self, now: f64, list: &[Member]) {
        self.now = now;
        self.ask_at = f64::INFINITY;
        for group in &mut self.groups {
            group.members.clear();
        }
        for m in list {
            if self.hosts.len() <= m.host {
                self.hosts.resize(m.host + 1, None);
            }
            while self.groups.len() <= m.group {
                self.groups.push(Group::default());
            }
            let host = self.hosts[m.host].get_or_insert_with(|| Host {
                group: m.group,
                zone: m.zone,
                listed: m.readiness,
                seen_draining: false,
                fresh_since: f64::NEG_INFINITY,
                credit: 0.0,
                maybe_primary: false,
                denied_at: f64::NEG_INFINITY,
                claimed_at: f64::NEG_INFINITY,
                stood: (f64::INFINITY, now),
                reached: f64::NEG_INFINITY,
                open: Vec::new(),
                answered_at: f64::NEG_INFINITY,
                rate: 0.0,
                window: (now, 0.0),
                pace: 1.0,
                crowd: 1.0,
                failing: 0.0,
                strikes: 0,
                rests_until: f64::NEG_INFINITY,
                mute: false,
                full: false,
                unreachable_since: None,
            });
            if m.since > host.fresh_since && m.since > 0.0 {
                // A machine that replaces another is behind by seconds and cold, whatever it answers first.
                host.fresh_since = m.since;
                host.credit = 0.0;
                host.seen_draining = false;
                host.mute = false;
            }
            host.seen_draining |= m.readiness == Readiness::Draining;
            host.listed = m.readiness;
            let group = &mut self.groups[m.group];
            group.members.push(m.host);
            group.touched = true;
            if m.primary && !host.maybe_primary && host.denied_at == f64::NEG_INFINITY {
                host.maybe_primary = true;
                host.claimed_at = now;
            }
            // The list speaks late: it fills a gap, and never overrules what an answer has said.
            let lost = group.primary.is_none_or(|p| self.hosts[p].as_ref().is_none_or(|h| h.mute));
            if m.primary && lost && self.hosts[m.host].as_ref().is_some_and(|h| h.denied_at < now - 5.0) {
                group.primary = Some(m.host);
            }
        }
    }

    /// A call to the list service failed or its subscription dropped.
    pub fn list_failed(&mut self, now: f64) {
        self.now = now;
        self.ask_at = now + 0.2 + 0.3 * self.chance.rand_float() as f64;
    }

    pub fn arrived(&mut self, now: f64, stmt: u64, a: &Arrival) {
        self.now = now;
        while self.groups.len() <= a.group {
            self.groups.push(Group::default());
        }
        let k = &mut self.kinds[a.workload];
        k.longest_try = k.longest_try.max(a.time_left);
        // A try shorter than the longest seen is a later one: its client has waited since the first already.
        let later = (a.retry || !self.marked) && a.time_left < k.longest_try - 0.01;
        let elapsed = if later { (k.timeout - a.time_left).max(0.0) } else { 0.0 };
        let mut need = f64::NEG_INFINITY;
        if self.kinds[a.workload].consistency == Consistency::Session {
            if !self.remembered {
                need = a.token_age.map_or(need, |age| now - age);
            } else if !self.checked {
                need = self.groups[a.group].change_number;
            } else if let Some(&own) = a.session.and_then(|s| self.sessions.get(s)) {
                // The host refuses by the session's own writes, so lag memory foretells with no more than those.
                need = own.min(self.groups[a.group].change_number);
            }
        }
        let s = Statement {
            workload: a.workload,
            group: a.group,
            need,
            slo_at: now + self.kinds[a.workload].slo - elapsed,
            end: now + a.time_left,
            executions: Vec::new(),
            answered: false,
            waiting: false,
            retry: a.retry,
        };
        self.statements.insert(stmt, s);
        self.due.push_back(stmt);
    }

    pub fn client_gone(&mut self, now: f64, stmt: u64) {
        self.now = now;
        if let Some(s) = self.statements.get_mut(&stmt) {
            s.answered = true;
            self.due.push_back(stmt);
        }
    }

    #[allow(clippy::too_many_arguments)]
    pub fn ended(
        &mut self,
        now: f64,
        stmt: u64,
        execution: usize,
        verdict: Verdict,
        over: bool,
        note: Note,
        session: Option<usize>,
    ) {
        self.now = now;
        let Some(s) = self.statements.get_mut(&stmt) else { return };
        s.answered |= over;
        self.due.push_back(stmt);
        let Some(e) = s.executions.get_mut(execution).filter(|e| e.ended.is_none()) else { return };
        use Verdict::*;
        e.ended = Some(now);
        e.may_have_run = !matches!(verdict, Full | ConnectFailed | Moot | Miss);
        let (index, sent, workload, group, need) = (e.host, e.sent, s.workload, s.group, s.need);
        self.groups[group].touched = true;
        let kind = &mut self.kinds[workload];
        let write = kind.consistency == Consistency::Write;
        let need = if kind.consistency == Consistency::Bounded { sent - kind.bound } else { need };
        let Some(host) = self.hosts[index].as_mut() else { return };
        if let Some(at) = host.open.iter().position(|o| *o == (sent, stmt)) {
            host.open.remove(at);
        }
        if matches!(verdict, Completed | Error | Full | Miss) {
            host.answered_at = now;
            host.mute = false;
            host.full = verdict == Full;
            if host.unreachable_since.take().is_some_and(|t| now - t > 1.0) {
                // Back after a spell of no connections: most likely a restart the list has yet to tell.
                host.fresh_since = host.fresh_since.max(now);
                host.credit = 0.0;
            }
        }
        match verdict {
            Completed => {
                let took = now - sent;
                if write {
                    if let Some(p) = note.position {
                        self.groups[group].change_number = self.groups[group].change_number.max(p);
                        if let Some(session) = session {
                            if self.sessions.len() <= session {
                                self.sessions.resize(session + 1, f64::NEG_INFINITY);
                            }
                            self.sessions[session] = self.sessions[session].max(p);
                        }
                    }
                }
                let ratio = took / kind.usual;
                kind.usual += 0.03 * (took.min(4.0 * kind.usual) - kind.usual);
                kind.base = kind.usual.min(kind.base + 0.0005 * (kind.usual - kind.base));
                host.crowd += 0.12 * ((took / kind.base).min(10.0) - host.crowd);
                let weight = if host.strikes > 0 { 0.5 } else { 0.12 };
                host.pace += weight * (ratio.min(8.0) - host.pace);
                host.failing *= 0.85;
                if host.pace < SLOW {
                    host.strikes = 0;
                }
                roll(host, now);
                host.window.1 += 1.0;
                if !write && need.is_finite() {
                    host.reached = host.reached.max(need);
                }
            }
            Error | Reset => host.failing += 0.15 * (1.0 - host.failing),
            Miss if !write && !self.stamped && need.is_finite() => host.stood = (need - 0.1, now),
            ConnectFailed => {
                host.unreachable_since.get_or_insert(now);
                host.mute = true;
            }
            _ => {}
        }
        let sick = host.pace > SLOW || host.failing > 0.35 || matches!(verdict, ConnectFailed | Reset | Full);
        if sick && host.rests_until < now {
            host.strikes += 1;
            host.rests_until = now + 0.25 * f64::powi(2.0, host.strikes.min(4));
        }
        if let Some(p) = note.position.filter(|_| !write) {
            host.stood = (p, now);
            host.reached = host.reached.max(p);
        }
        if let Some(primary) = note.primary {
            self.role(index, primary, true);
        }
    }

    pub fn probed(&mut self, now: f64, host: usize, ok: bool, note: Note) {
        self.now = now;
        let Some(h) = self.hosts.get_mut(host).and_then(|h| h.as_mut()) else { return };
        if !ok {
            return;
        }
        if let Some(p) = note.position {
            h.reached = h.reached.max(p);
            h.stood = (p.max(h.reached), now);
        }
        if let Some(primary) = note.primary {
            self.role(host, primary, false);
        }
    }

    pub fn passed(&mut self, now: f64) {
        self.now = now;
        while self.looks.peek().is_some_and(|Reverse((t, _))| t.0 <= now) {
            self.due.extend(self.looks.pop().map(|Reverse((_, stmt))| stmt));
        }
        for group in &mut self.groups {
            group.touched |= !group.waiting.is_empty();
        }
    }

    pub fn holds(&self, stmt: u64) -> bool {
        self.statements.contains_key(&stmt)
    }

    pub fn wake_at(&self) -> Option<f64> {
        let look = self.looks.peek().map_or(f64::INFINITY, |Reverse((t, _))| t.0);
        let waits = self.groups.iter().any(|g| !g.waiting.is_empty());
        let scan = if waits { self.now + 0.01 } else { f64::INFINITY };
        let at = look.min(scan).min(self.ask_at);
        at.is_finite().then_some(at)
    }

    pub fn decide(&mut self) -> Option<Decision> {
        if let Some(line) = self.logs.pop_front() {
            return Some(Decision::Log(line));
        }
        if let Some(every) = self.ask_every {
            if self.now >= self.ask_at {
                self.ask_at = self.now + every;
                return Some(Decision::Subscribe);
            }
        }
        while let Some(host) = self.probes.pop_front() {
            if self.may_probe && self.hosts[host].as_ref().is_some_and(|h| self.sendable(h)) {
                return Some(Decision::Probe { host });
            }
        }
        while let Some(&stmt) = self.due.front() {
            if let Some(decision) = self.consider(stmt) {
                return Some(decision);
            }
            self.due.pop_front();
        }
        for g in 0..self.groups.len() {
            if !std::mem::take(&mut self.groups[g].touched) || self.groups[g].waiting.is_empty() {
                continue;
            }
            let mut order = std::mem::take(&mut self.groups[g].waiting);
            order.retain(|id| self.statements.get(id).is_some_and(|s| s.waiting && !s.answered));
            order.sort_by(|a, b| self.density(*b).total_cmp(&self.density(*a)).then(a.cmp(b)));
            self.groups[g].waiting = order.clone();
            for stmt in order {
                if let Some(decision) = self.consider(stmt) {
                    self.groups[g].touched = true;
                    return Some(decision);
                }
            }
        }
        None
    }

    /// Importance per work, falling to the late share once the SLO time is over.
    fn density(&self, stmt: u64) -> f64 {
        let s = &self.statements[&stmt];
        let k = &self.kinds[s.workload];
        let late = if self.now > s.slo_at - 0.5 * k.usual { k.late_share } else { 1.0 };
        k.importance * late * if s.retry { 0.5 } else { 1.0 } / k.usual
    }

    fn consider(&mut self, id: u64) -> Option<Decision> {
        let s = self.statements.get(&id)?;
        let open = s.executions.iter().filter(|e| e.ended.is_none()).count();
        let now = self.now;
        if s.answered {
            if self.may_recall {
                if let Some(i) = s.executions.iter().position(|e| e.ended.is_none() && !e.recalled) {
                    self.statements.get_mut(&id)?.executions[i].recalled = true;
                    return Some(Decision::Recall { stmt: id, execution: i });
                }
            }
            if open == 0 {
                self.statements.remove(&id);
            }
            return None;
        }
        let k = &self.kinds[s.workload];
        let spent = k.late_share == 0.0 && now >= s.slo_at;
        let ran = s.executions.iter().any(|e| e.ended.is_some() && e.may_have_run);
        let stuck_write = k.effect == Effect::NonIdempotent && ran && open == 0;
        let worn = open == 0 && s.executions.len() >= self.most;
        // What cannot come in time any more would only take the place of what can.
        let spent = spent || (k.late_share == 0.0 && open == 0 && now > s.slo_at - 0.7 * k.usual);
        if now >= s.end - self.margin
            || (spent && open == 0 && k.effect == Effect::Idempotent)
            || stuck_write
            || worn
        {
            return self.answer(id);
        }
        let mut look = s.end - self.margin;
        if k.late_share == 0.0 && k.effect == Effect::Idempotent && open == 0 {
            look = look.min(s.slo_at - 0.7 * k.usual);
        }
        let mut wants_copy = false;
        for e in s.executions.iter().filter(|e| e.ended.is_none()) {
            let Some(h) = self.hosts[e.host].as_mut() else { continue };
            let oldest = h.open.first().map_or(now, |o| o.0);
            let heard = oldest.max(h.answered_at);
            let patience = (STUCK * k.usual).clamp(0.25, 1.0);
            if now - heard >= patience && !h.mute {
                // Guards against a host that takes statements and answers none, whatever the list says of it.
                h.mute = true;
                h.strikes += 1;
                h.rests_until = now + 0.25 * f64::powi(2.0, h.strikes.min(4));
                self.groups[h.group].touched = true;
            }
            let hedge = e.sent + STUCK * k.usual;
            wants_copy |= (now >= hedge && h.pace > 1.6) || h.mute;
            for at in [heard + patience, hedge] {
                if at > now {
                    look = look.min(at);
                }
            }
        }
        let allowed =
            self.copies && open == 1 && k.effect == Effect::Idempotent && now + 0.5 * k.usual < s.slo_at;
        let wanted = open == 0 || (wants_copy && allowed && self.copy_budget >= 1.0);
        self.looks.push(Reverse((Time(look.max(now + 0.002)), id)));
        if wanted && s.executions.len() < self.most {
            if let Some(host) = self.pick(id) {
                if open > 0 {
                    self.copy_budget -= 1.0;
                }
                return Some(self.send(id, host));
            }
            let s = self.statements.get_mut(&id)?;
            if open == 0 && !s.waiting {
                s.waiting = true;
                self.groups[s.group].waiting.push(id);
            }
        }
        None
    }

    /// The one place that gives a final answer; a rejection promises that trying again is harmless.
    fn answer(&mut self, id: u64) -> Option<Decision> {
        let s = self.statements.get_mut(&id)?;
        s.answered = true;
        let k = &self.kinds[s.workload];
        let may_have_run = s.executions.iter().any(|e| e.ended.is_none() || e.may_have_run);
        let harmless = match k.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => !may_have_run || k.scope == DedupScope::All,
            Effect::NonIdempotent => !may_have_run,
        };
        self.due.push_back(id);
        if harmless {
            let return_after = self.max_return;
            Some(Decision::Reject { stmt: id, return_after })
        } else {
            Some(Decision::Abort { stmt: id })
        }
    }

    /// The one place that sends.
    fn send(&mut self, id: u64, index: usize) -> Decision {
        let now = self.now;
        let s = self.statements.get_mut(&id).expect("a statement under consideration");
        s.waiting = false;
        let time_out = (s.end - now).max(0.0);
        s.executions.push(Execution {
            host: index,
            sent: now,
            ended: None,
            may_have_run: true,
            recalled: false,
        });
        self.copy_budget = (self.copy_budget + COPIES).min(4.0);
        let members = self.groups[s.group].members.clone();
        let warm = members.iter().filter(|&&m| self.share(m) >= 1.0).count().max(1) as f64;
        if self.share(index) >= 1.0 {
            for m in members {
                let share = self.share(m);
                if let Some(h) = self.hosts[m].as_mut().filter(|_| share < 1.0) {
                    h.credit = (h.credit + share / warm).min(2.0);
                }
            }
        }
        let h = self.hosts[index].as_mut().expect("a listed host");
        h.credit -= 1.0;
        h.open.push((now, id));
        if h.strikes > 0 {
            h.rests_until = now + 0.25 * f64::powi(2.0, h.strikes.min(4));
        }
        roll(h, now);
        Decision::Send { stmt: id, host: index, time_out }
    }

    /// The share of its capacity that a host may be taken to have; the list tells its start.
    fn share(&self, index: usize) -> f64 {
        let Some(h) = &self.hosts[index] else { return 1.0 };
        let age = (self.now - h.fresh_since) / self.cold_s.max(0.001);
        (self.cold_from + (1.0 - self.cold_from) * age).clamp(0.0, 1.0)
    }

    fn sendable(&self, h: &Host) -> bool {
        h.listed == Readiness::Active || (self.binds_alone && h.listed == Readiness::Gone && !h.seen_draining)
    }

    /// Guards the rules at the point of choice: list, cold share, and the effect of what may have run already.
    fn lawful(&self, s: &Statement, index: usize) -> bool {
        let Some(h) = &self.hosts[index] else { return false };
        let k = &self.kinds[s.workload];
        let mut fits = true;
        for e in s.executions.iter().filter(|e| e.ended.is_none() || e.may_have_run) {
            fits &= match k.effect {
                Effect::Idempotent => e.ended.is_some() || self.copies,
                Effect::NonIdempotent => false,
                Effect::Deduplicated => {
                    let zones = (self.hosts[e.host].as_ref().map(|o| o.zone), Some(h.zone));
                    (e.ended.is_some() || self.copies)
                        && self.now < e.sent + k.window - self.margin
                        && (k.scope != DedupScope::Zone || zones.0 == zones.1)
                }
            };
        }
        fits && h.group == s.group && self.sendable(h) && (self.share(index) >= 1.0 || h.credit >= 1.0)
    }

    /// Rate x time. The time is what the SLO leaves for a queue, of the tightest workload that is worth as much,
    /// but never under twice what the work takes alone, or a bound once small could not grow again.
    fn room(&self, h: &Host, workload: usize, share: f64) -> bool {
        let k = &self.kinds[workload];
        let denser =
            |o: &&Kind| o.importance * k.base >= k.importance * o.base && o.consistency != Consistency::Write;
        let slo = self.kinds.iter().filter(denser).map(|o| o.slo).fold(k.slo, f64::min);
        let slo = if k.consistency == Consistency::Write { k.slo } else { slo };
        let time = (QUEUE * slo).max(2.0 * k.base);
        (h.open.len() as f64) < (h.rate * time * share).max((4.0 / h.crowd).max(1.0))
    }

    fn pick(&mut self, id: u64) -> Option<usize> {
        let s = &self.statements[&id];
        let k = &self.kinds[s.workload];
        let g = &self.groups[s.group];
        let now = self.now;
        let primary = g.primary;
        if matches!(k.consistency, Consistency::Write | Consistency::Fresh) {
            if let Some(p) = primary {
                let h = self.hosts[p].as_ref()?;
                if self.sendable(h) && !((h.mute || h.full) && h.rests_until > now) {
                    return (self.room(h, s.workload, 1.0) && self.lawful(s, p)).then_some(p);
                }
            } else if s.executions.len() < (self.most / 2).max(1) {
                let fresh =
                    |m: &usize| self.hosts[*m].as_ref().is_some_and(|h| h.denied_at < now - 0.4 && !h.mute);
                let tried = |m: &usize| s.executions.iter().any(|e| e.host == *m);
                let next = g.members.iter().copied().find(|m| fresh(m) && !tried(m) && self.lawful(s, *m));
                if next.is_some() {
                    return next;
                }
            }
            self.seek(s.group);
            return None;
        }
        let least = match k.consistency {
            Consistency::Bounded => now - k.bound,
            Consistency::Session => s.need,
            _ => f64::NEG_INFINITY,
        };
        let n = g.members.len();
        let last = s.executions.len() + 1 >= self.most;
        let (mut behind, mut best) = (None, f64::NEG_INFINITY);
        let mut full = false;
        for step in 0..n {
            let at = (g.cursor + step) % n;
            let m = g.members[at];
            let Some(h) = &self.hosts[m] else { continue };
            let tried = s.executions.iter().any(|e| e.host == m && e.ended.is_none_or(|t| now - t < 0.1));
            if Some(m) == primary || tried || last || !self.lawful(s, m) || (h.mute && h.rests_until > now) {
                continue;
            }
            if !self.checked && h.reached < least {
                continue;
            }
            if h.rests_until > now {
                continue;
            }
            if !self.room(h, s.workload, 1.0) {
                full = true;
                continue;
            }
            let foretold = h.stood.0 + CATCH_UP * (now - h.stood.1);
            if foretold < least {
                if foretold > best {
                    (behind, best) = (Some(m), foretold);
                }
                continue;
            }
            self.groups[s.group].cursor = at + 1;
            return Some(m);
        }
        // Every replica is known to lag: the claim of the design still holds for a bounded read's first send.
        if k.consistency == Consistency::Bounded && s.executions.is_empty() && behind.is_some() {
            return behind;
        }
        if let Some(p) = primary {
            let h = self.hosts[p].as_ref()?;
            let tried = s.executions.iter().any(|e| e.host == p && e.ended.is_none());
            let usable = !h.mute && !tried && self.lawful(s, p) && (self.checked || h.maybe_primary);
            let spare = if full { 0.5 } else { 0.8 };
            if usable && self.room(h, s.workload, spare) {
                return Some(p);
            }
        } else {
            self.seek(s.group);
        }
        let s = &self.statements[&id];
        if !full && behind.is_none() && s.executions.is_empty() && self.checked {
            // All replicas rest: some host must still be asked, or a group of sick hosts would never be heard again.
            let g = &self.groups[s.group];
            let idle = |m: &usize| self.hosts[*m].as_ref().is_some_and(|h| h.open.len() < 2);
            let start = g.cursor;
            let found = (0..n).map(|i| g.members[(start + i) % n]).find(|m| idle(m) && self.lawful(s, *m));
            self.groups[s.group].cursor += 1;
            return found;
        }
        None
    }

    /// Probes a group's members for its primary, a few times a second while none is usable.
    fn seek(&mut self, group: usize) {
        let g = &mut self.groups[group];
        if self.now < g.probe_at {
            return;
        }
        g.probe_at = self.now + 0.2 + 0.2 * self.chance.rand_float() as f64;
        self.probes.extend(g.members.iter().copied());
        self.log(format!("group {group}: no usable primary, probing its members"));
    }

    /// Newest word on a host's role. An answer outranks a probe, whose report may be older than it.
    fn role(&mut self, index: usize, primary: bool, answer: bool) {
        let now = self.now;
        let Some(h) = self.hosts[index].as_mut() else { return };
        let group = h.group;
        let current = self.groups[group].primary;
        if primary {
            if answer || h.denied_at < now - 1.0 {
                h.claimed_at = now;
                h.maybe_primary = true;
                let mute = h.mute;
                let trusted = current.is_some_and(|c| {
                    c != index && self.hosts[c].as_ref().is_some_and(|c| !c.mute && self.sendable(c))
                });
                if answer || (!trusted && !mute) {
                    if current != Some(index) {
                        self.groups[group].touched = true;
                        self.log(format!("group {group}: primary is now host {index}"));
                    }
                    self.groups[group].primary = Some(index);
                }
            }
        } else if answer || h.claimed_at < now - 1.0 {
            if answer {
                h.denied_at = now;
                h.maybe_primary = false;
            }
            if current == Some(index) {
                self.groups[group].primary = None;
                self.groups[group].touched = true;
            }
        }
    }

    fn log(&mut self, line: String) {
        if self.logged < 40 {
            self.logged += 1;
            self.logs.push_back(line);
        }
    }
}

/// Completions a second, smoothed over about a second.
fn roll(h: &mut Host, now: f64) {
    let span = now - h.window.0;
    if span >= 0.5 {
        h.rate += (span / (span + 0.5)) * (h.window.1 / span - h.rate);
        h.window = (now, 0.0);
    }
}
