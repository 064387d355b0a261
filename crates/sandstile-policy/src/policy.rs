//! The decisions of one sandstile instance. A host of this module feeds it inputs (`members`, `statement_arrived`,
//! `ended`, `probed`, `client_gone`, `advance_time`), which only update what is known, then calls `decide` until it
//! returns nothing, and `advance_time` again no later than `wake_at`. Interface types stand in `terms.rs`.
//! The design (DBFarm's change numbers and round-robin, the host's class check) decides the ordinary path.
//! Beside it stand six mechanisms:
//! 1. primary: found from answers, list and probes; writes held and members probed while none is usable;
//! 2. lag memory: replicas known too far behind for a read are skipped, the primary is spared;
//! 3. health: mute, unreachable, full or foreign hosts rest, in time and in turns, then get trial traffic;
//! 4. in-flight bound: rate x time per host and per pool of hosts; when full, importance per work decides (`pacing`);
//! 5. further executions: while the statement can be in time and its effect allows, never two at once;
//! 6. cold guard: sends to a fresh host stay under the own completions at a warm peer x its cold share (`slow_start`).
//!
//! No input and no decision works through all hosts or groups: what has to be looked at is kept on record.

mod listing;
mod pacing;
mod slow_start;

use crate::state::*;
use crate::terms::*;
use oorandom::Rand32;
use slow_start::ColdHosts;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// A replica that lags is taken to gain on the log at this many times the pace of the clock at best.
const CATCH_UP: f64 = 2.0;
/// An execution out for this many times its workload's usual time is stuck, if its host answers nothing else.
const STUCK: f64 = 3.0;
/// The first rest of a sick host; three, seven, at last fifteen times as long with further strikes.
const REST: f64 = 0.25;
/// A replica that refused a read as too far behind takes reads of any age for so long, or eight turns: for
/// a spell of lag. With a shorter memory routers disagree on which ones, and each takes up another log.
const LAGS: f64 = 20.0;
/// Failed connections in a row that tell a host that was gone from one that failed once.
const SPELL_FAILURES: u32 = 2;
/// A probe's claim to be primary spares the other members probes for so long: a failover takes longer.
const STANDS: f64 = 1.0;

impl Host {
    fn rest(&mut self, now: f64, turn: f64, strikes: i32) {
        self.strikes += strikes;
        self.rests_until = now + REST.max(turn.min(2.0)) * (f64::powi(2.0, self.strikes.min(4)) - 1.0);
    }
}

impl Meter {
    fn roll(&mut self, now: f64, completed: bool) {
        let span = now - self.since;
        if span >= 0.5 {
            self.rate += (span / (span + 0.5)) * (self.count / span - self.rate);
            (self.since, self.count) = (now, 0.0);
        }
        self.count += f64::from(u8::from(completed));
    }
}

impl Kind {
    fn writes(&self) -> bool {
        self.consistency == Consistency::Write
    }

    fn density(&self) -> f64 {
        self.importance / self.base
    }

    /// Until when a statement can still come in time, as such go.
    fn worth_until(&self, s: &Statement) -> f64 {
        s.slo_at - 1.1 * self.usual.min(0.8 * self.slo)
    }

    /// By when a further execution has to be there: repeats are dropped for a time counted from the first.
    fn repeat_by(&self, s: &Statement) -> f64 {
        let ran = s.executions.iter().filter(|e| e.may_have_run);
        match self.effect {
            Effect::Idempotent => f64::INFINITY,
            Effect::Deduplicated => ran.map(|e| e.sent + self.window).fold(f64::INFINITY, f64::min),
            Effect::NonIdempotent => ran.map(|_| f64::NEG_INFINITY).fold(f64::INFINITY, f64::min),
        }
    }
}

#[derive(Default)]
pub struct Instance {
    now: f64,
    began: f64,
    chance: Chance,
    terms: Terms,
    kinds: Vec<Kind>,
    margin: f64,
    share_all: f64,
    most: usize,
    cold_duration: f64,
    /// Half of the stated multiple: the other half is for sizes of work and for what only knocks.
    cold_ease: f64,
    ask_every: f64,
    ask_at: f64,
    refused_at: f64,
    /// Some host has told its role; some answer came without one.
    told: bool,
    lied: bool,
    cold: ColdHosts,
    hosts: Vec<Host>,
    /// Hosts on the list, those that left it and are still reckoned with among them; and how many may be sent to.
    listed: usize,
    sendable: usize,
    pools: [Pool; 2],
    groups: Vec<Group>,
    /// Groups to be looked at, those with statements that wait, and those that look for a primary or a position.
    touched: BTreeSet<usize>,
    waiting: BTreeSet<usize>,
    seeking: BTreeSet<usize>,
    sessions: Vec<Session>,
    statements: BTreeMap<u64, Statement>,
    /// Next look at each statement; the bits of a time above zero sort as the time does.
    looks: BinaryHeap<Reverse<(u64, u64)>>,
    due: VecDeque<u64>,
    probes: VecDeque<usize>,
    logs: VecDeque<String>,
    logged: usize,
}

impl Instance {
    pub fn new(terms: &Terms, seed: u64, now: f64) -> Self {
        let kind = |w: &Workload| Kind {
            consistency: w.consistency,
            bound: w.max_age,
            effect: w.effect,
            scope: w.scope,
            window: w.dedup_window,
            slo: w.slo,
            timeout: w.timeout,
            first_try: (0.0, 0),
            owed: 0.0,
            importance: w.importance,
            late_share: w.late_share,
            usual: w.slo / 4.0,
            base: w.slo / 4.0,
        };
        Instance {
            now,
            began: now,
            chance: Chance(Rand32::new(seed)),
            terms: terms.clone(),
            kinds: terms.workloads.iter().map(kind).collect(),
            // What a host may hold for an instance that has yet to measure: eight in all.
            share_all: 8.0 / terms.routers.max(1) as f64,
            margin: 1.5 * terms.tick + 0.001,
            most: terms.max_executions.max(1),
            cold_duration: terms.cold_duration.max(0.001),
            cold_ease: (terms.cold_overload_multiple / 2.0).max(1.0),
            ask_every: terms.subscribe_within / 4.0,
            ask_at: if terms.list_on_request { now } else { f64::INFINITY },
            ..Instance::default()
        }
    }

    /// So many routers share the hosts, as lived: what a host may hold unmeasured follows that.
    pub fn set_router_count(&mut self, routers: f64) {
        self.share_all = 8.0 / routers.max(1.0);
    }

    /// A call to the list service failed or its subscription dropped.
    pub fn list_failed(&mut self, now: f64) {
        self.now = now;
        self.ask_at = now + 0.2 + 0.3 * self.chance.0.rand_float() as f64;
    }

    pub fn statement_arrived(&mut self, now: f64, statement_id: u64, a: &Arrival) {
        self.now = now;
        let g = self.group(a.group);
        let since = if g.arrived_at > 0.0 { now - g.arrived_at } else { 0.0 };
        (g.interval, g.arrived_at) = (g.interval + 0.1 * (since - g.interval), now);
        let number = g.change_number;
        let k = &mut self.kinds[a.workload];
        let same = (a.wait - k.first_try.0).abs() < 0.01;
        k.first_try.1 = (k.first_try.1 + if same { 2 } else { -1 }).min(32);
        if k.first_try.1 < 0 {
            k.first_try = (a.wait, 2);
        }
        // A try shorter than most is a later one, if a first one failed: clients that take to naming more
        // time or less must not make later tries of all the others.
        let later =
            (a.retry || !self.terms.clients_mark_retries) && a.wait < k.first_try.0 - 0.01 && k.owed >= 1.0;
        k.owed -= if later { 1.0 } else { 0.0 };
        let elapsed = if later { (k.timeout - a.wait).max(0.0) } else { 0.0 };
        let own = a.session.and_then(|s| self.sessions.get(s)).copied().unwrap_or_default();
        let need = match k.consistency {
            Consistency::Session if a.read_requirement.is_some() => match a.read_requirement {
                Some(ReadRequirement::Position(position)) => position,
                _ => f64::INFINITY,
            },
            Consistency::Session if !self.terms.router_keeps_tokens => {
                a.token_age.map_or(0.0, |age| now - age)
            }
            Consistency::Session if !self.terms.hosts_check_reads => number,
            // Hosts refuse by the session's own writes, so lag memory foretells with no more than those.
            Consistency::Session => own.written.min(number),
            _ => 0.0,
        };
        let s = Statement {
            workload: a.workload,
            group: a.group,
            session: a.session,
            need,
            strict: k.consistency == Consistency::Session && a.read_requirement.is_some(),
            slo_at: now + k.slo - elapsed,
            half: now + 0.5 * a.time_left,
            end: now + a.time_left,
            waiting: true,
            retry: a.retry,
            later,
            ..Statement::default()
        };
        self.statements.insert(statement_id, s);
        // Through the waiting ones, or a fresh statement would take the place of one worth more.
        self.group(a.group).waiting.push(statement_id);
        self.waiting.insert(a.group);
        self.touched.insert(a.group);
    }

    pub fn client_gone(&mut self, now: f64, statement_id: u64) {
        self.now = now;
        if let Some(s) = self.statements.get_mut(&statement_id).filter(|s| !s.answered) {
            s.answered = true;
            self.kinds[s.workload].owed += if s.later { 0.0 } else { 3.0 };
        }
        self.due.push_back(statement_id);
    }

    pub fn ended(
        &mut self,
        now: f64,
        statement_id: u64,
        execution: usize,
        verdict: OutcomeClass,
        over: bool,
        note: HostReport,
    ) {
        use OutcomeClass::*;
        self.now = now;
        let Some(s) = self.statements.get_mut(&statement_id) else { return };
        self.due.push_back(statement_id);
        s.answered |= over;
        let Some(e) = s.executions.get_mut(execution).filter(|e| e.ended.is_none()) else { return };
        e.ended = Some(now);
        e.may_have_run = !matches!(verdict, Full | ConnectFailed | NotSent | WrongHost);
        let (index, sent, took, group, may_have_run) =
            (e.host, e.sent, now - e.sent, s.group, e.may_have_run);
        let kind = &mut self.kinds[s.workload];
        let usual = kind.usual;
        let write = kind.writes();
        let need = if kind.consistency == Consistency::Bounded { sent - kind.bound } else { s.need };
        let turn = self.groups[group].turn();
        let mut restarted = false;
        let host = &mut self.hosts[index];
        host.open.retain(|o| *o != (sent, statement_id));
        let heard = host.answered_at;
        let answered = matches!(verdict, Completed | Error | Full | WrongHost);
        if answered {
            (host.answered_at, host.mute) = (now, false);
            let failures = std::mem::take(&mut host.unreachable_times);
            let spell = host.unreachable_since.take().is_some_and(|t| now - t > 1.0);
            if spell && failures >= SPELL_FAILURES {
                // Back after a spell of no connections: most likely a restart that the list has yet to tell. One
                // failure is no spell, however long ago: thousands of hosts are met seldom.
                (host.fresh_since, host.credit) = (now, 0.0);
                restarted = true;
            }
        }
        // Only what is no member answers without a role: nothing it says of a statement is to be believed.
        let foreign = answered && self.told && note.primary.is_none();
        host.mute |= verdict == ConnectFailed || foreign;
        self.lied |= foreign;
        self.refused_at = if verdict == ConnectFailed { now } else { self.refused_at };
        let pool = &mut self.pools[e.pool];
        pool.held -= 1;
        pool.meter.roll(now, verdict == Completed);
        // Answers in good time widen a pool's window bit by bit, late ones cut it.
        let late = took > kind.slo && matches!(verdict, Completed | TimedOut | Cancelled);
        if late && now > pool.narrowed_at + kind.usual {
            (pool.window, pool.narrowed_at) = ((0.7 * pool.window).max(0.05), now);
        } else if verdict == Completed && took < 0.5 * kind.slo {
            pool.window = (pool.window + 0.2).min(pool.most);
        }
        match verdict {
            Completed => {
                kind.usual += 0.03 * (took.min(4.0 * kind.usual) - kind.usual);
                kind.base = kind.usual.min(kind.base + 0.0005 * (kind.usual - kind.base));
                // A host seldom met is judged by its last answer, for what was before is long past.
                let weight = (0.12f64).max(1.0 - (-(now - heard)).exp());
                host.crowd += weight * ((took / kind.base).min(10.0) - host.crowd);
                host.bare = host.crowd.min(host.bare + 0.002 * (host.crowd - host.bare));
                // A trial that completes ends the rest that it kept from others.
                (host.strikes, host.rests_until) = (0, host.rests_until.min(now));
                host.meter.roll(now, true);
                host.ghosts.retain(|until| *until > now);
                let told = self.terms.hosts_check_reads && !s.strict;
                host.reached = host.reached.max(if told { need } else { 0.0 });
            }
            // A withdrawal may stop nothing: a place freed at once would let leaving clients fill the hosts.
            TimedOut | Cancelled => {
                host.crowd = host.crowd.max((took / kind.base).min(10.0));
                host.ghosts.push(now + STUCK * kind.usual);
            }
            WrongHost if !write => {
                host.missed_at = now;
                host.stood = if self.terms.answers_carry_position { host.stood } else { (need - 0.1, now) };
            }
            ConnectFailed => {
                host.unreachable_since = host.unreachable_since.or(Some(now));
                host.unreachable_times += 1;
            }
            _ => {}
        }
        if (foreign || matches!(verdict, ConnectFailed | Reset | Full)) && host.rests_until <= now {
            host.rest(now, turn, 1);
        }
        if let Some(session) = s.session.filter(|_| write) {
            let own = &mut self.sessions[session];
            own.out -= 1;
            if may_have_run && verdict != Completed {
                // Queued or running there it can commit for a while yet.
                own.written = own.written.max(now + STUCK * usual);
            }
        }
        s.errors += i32::from(matches!(verdict, Error | UnusableAnswer) && !foreign);
        self.touched.insert(group);
        let group = &mut self.groups[group];
        if let Some(p) = note.position {
            if !write {
                host.stood = (p, now);
                host.reached = host.reached.max(p);
            } else if verdict == Completed {
                group.change_number = group.change_number.max(p);
                if let Some(session) = s.session {
                    self.sessions[session].written = self.sessions[session].written.max(p);
                }
            }
        }
        if let Some(primary) = note.primary {
            self.role(index, primary, true);
        }
        if restarted {
            self.becomes_cold(index);
        }
        if verdict == Completed {
            self.earn(index);
        }
    }

    pub fn probed(&mut self, now: f64, host: usize, ok: bool, note: HostReport) {
        self.now = now;
        let Some(h) = self.hosts.get_mut(host).filter(|_| ok) else { return };
        if h.unreachable_since.is_some() {
            // What no connection came up to is reached again: that is all that its rest was for.
            (h.mute, h.rests_until) = (false, now);
            self.touched.insert(h.group);
        }
        // Some hung hosts answer probes all the same, so each failure keeps it mute for longer.
        h.mute &= h.rests_until > now;
        if let Some(p) = note.position {
            h.reached = h.reached.max(p);
            h.stood = (h.reached, now);
        }
        if let Some(primary) = note.primary {
            self.role(host, primary, false);
        }
    }

    /// Another instance met this host refusing, so many seconds ago: it rests for a first time, unless it has
    /// answered here since. No more comes of another's word; only what is seen here has a host used again.
    pub fn failure_reported_by_peer(&mut self, now: f64, host: usize, age: f64) {
        self.now = now;
        let Some(h) = self.hosts.get_mut(host) else { return };
        if h.rests_until <= now && h.answered_at < now - age {
            h.rests_until = now + REST;
        }
    }

    /// Whether probes of this host look for a primary that its group lacks.
    pub fn group_lacks_primary(&self, host: usize) -> bool {
        let primary = self.hosts.get(host).and_then(|h| self.groups.get(h.group)).and_then(|g| g.primary);
        primary.is_none_or(|p| self.hosts[p].mute)
    }

    /// A host told which term of its group's primary it follows. Positions of different terms can't be
    /// compared: a new one voids all that was heard under the last; `false` where this host lags behind.
    pub fn record_term(&mut self, host: usize, term: u64) -> bool {
        let Some(group) = self.hosts.get(host).map(|h| h.group) else { return false };
        if term > self.group(group).term {
            self.groups[group].term = term;
            for m in self.groups[group].members.clone() {
                self.hosts[m].reached = 0.0;
            }
        }
        term == self.groups[group].term
    }

    /// The term that a group's members have told, 0 where none has.
    pub fn term(&self, group: usize) -> u64 {
        self.groups.get(group).map_or(0, |g| g.term)
    }

    pub fn advance_time(&mut self, now: f64) {
        self.now = now;
        while self.looks.peek().is_some_and(|Reverse((t, _))| f64::from_bits(*t) <= now) {
            self.due.extend(self.looks.pop().map(|Reverse((_, statement_id))| statement_id));
        }
        self.touched.extend(&self.waiting);
    }

    pub fn is_tracked(&self, statement_id: u64) -> bool {
        self.statements.contains_key(&statement_id)
    }

    /// What this statement waits for, where it has not been sent anywhere yet.
    pub fn wait_reason(&self, statement_id: u64) -> Option<WaitReason> {
        self.statements.get(&statement_id).filter(|s| s.executions.is_empty()).and_then(|s| s.wait_reason)
    }

    pub fn wake_at(&self) -> Option<f64> {
        let look = self.looks.peek().map_or(f64::INFINITY, |Reverse((t, _))| f64::from_bits(*t));
        let scan = if self.waiting.is_empty() { f64::INFINITY } else { self.now + 0.01 };
        Some(look.min(scan).min(self.ask_at)).filter(|at| at.is_finite())
    }

    pub fn decide(&mut self) -> Option<Decision> {
        if self.now >= self.ask_at {
            self.ask_at = self.now + self.ask_every;
            return Some(Decision::Subscribe);
        }
        while let Some(&statement_id) = self.due.front() {
            if let Some(decision) = self.consider(statement_id) {
                return Some(decision);
            }
            self.due.pop_front();
        }
        while let Some(g) = self.touched.pop_first() {
            let mut order = std::mem::take(&mut self.groups[g].waiting);
            order.retain(|id| self.statements.get(id).is_some_and(|s| s.waiting && !s.answered));
            if order.is_empty() {
                self.waiting.remove(&g);
                continue;
            }
            // The newest first among equals: in a crowd the oldest would be sent just too late to be in time.
            order.sort_by_cached_key(|id| Reverse((self.density(*id).to_bits(), *id)));
            self.groups[g].waiting = order.clone();
            if let Some(decision) = order.into_iter().find_map(|statement_id| self.consider(statement_id)) {
                self.touched.insert(g);
                return Some(decision);
            }
        }
        while let Some(g) = self.seeking.pop_first() {
            self.seek(g);
        }
        while let Some(host) = self.probes.pop_front() {
            // Hundreds of routers probe at once: a cold host's probes are paid from the same credit.
            let cold = self.share(&self.hosts[host]) < 1.0;
            let paid = !cold || self.hosts[host].credit >= 0.1;
            if self.terms.may_probe && paid && self.sendable(&self.hosts[host]) {
                self.hosts[host].credit -= if cold { 0.1 } else { 0.0 };
                return Some(Decision::Probe { host });
            }
        }
        self.logs.pop_front().map(Decision::Log)
    }

    fn group(&mut self, index: usize) -> &mut Group {
        while self.groups.len() <= index {
            // Each router starts its rotation elsewhere: in step, hundreds met at the same member of a group.
            self.groups.push(Group { cursor: self.chance.0.rand_u32() as usize % 997, ..Group::default() });
        }
        &mut self.groups[index]
    }

    /// Importance per work, falling to the late share once the SLO time is over.
    fn density(&self, statement_id: u64) -> f64 {
        let s = &self.statements[&statement_id];
        let k = &self.kinds[s.workload];
        let late = if self.now > s.slo_at - 0.5 * k.usual { k.late_share } else { 1.0 };
        k.importance * late * if s.retry { 0.5 } else { 1.0 } / k.usual
    }

    fn consider(&mut self, id: u64) -> Option<Decision> {
        let now = self.now;
        let s = self.statements.get_mut(&id)?;
        let open = s.executions.last().is_some_and(|e| e.ended.is_none());
        if s.answered {
            if !open {
                let over = self.statements.remove(&id).map_or(Vec::new(), |s| s.executions);
                over.iter().for_each(|e| self.hosts[e.host].executions -= 1);
                return None;
            }
            let execution = s.executions.len() - 1;
            let recalled = std::mem::replace(&mut s.executions[execution].recalled, true);
            return (!recalled).then_some(Decision::Cancel { statement_id: id, execution });
        }
        let last = self.given_up_at(id);
        let s = self.statements.get_mut(&id)?;
        let k = &self.kinds[s.workload];
        // What cannot come in time any more would only take the place of what can; but an execution that runs
        // goes on past the SLO time, for its client would ask again and have all of the work done anew.
        // One that has just come is tried whatever is usual, or what slow first answers after a start taught
        // would end each statement unsent, and nothing would ever teach better.
        let worth_until = k.worth_until(s);
        let spent = k.late_share == 0.0 && !open && k.effect == Effect::Idempotent;
        let no_more = match () {
            () if open => None,
            () if s.errors >= 2 => Some(FailureCause::ErrorsRepeated),
            () if s.executions.len() >= self.most => Some(FailureCause::ExecutionsSpent),
            () if now >= k.repeat_by(s) - self.margin => Some(FailureCause::RepeatWindowOver),
            () => None,
        };
        let over = (now >= last).then_some(FailureCause::TimeOver);
        let worthless = (spent && now > worth_until).then_some(FailureCause::SloOver);
        if let Some(cause) = over.or(worthless).or(no_more) {
            return Some(self.answer(id, cause));
        }
        let mut look = if spent { worth_until.min(last) } else { last };
        if let Some(e) = s.executions.last().filter(|_| open) {
            let turn = self.groups[s.group].turn();
            let h = &mut self.hosts[e.host];
            let heard = h.open.first().map_or(now, |o| o.0).max(h.answered_at);
            // So long a silence would be a rare chance at the rate at which the host has answered.
            let patience = (STUCK * k.usual).min(6.0 / h.meter.rate).clamp(0.5 * REST, 4.0 * REST);
            if now - heard >= patience && !h.mute {
                // Guards against a host that takes statements and answers none, whatever the list says of it.
                h.mute = true;
                h.rest(now, turn, 1);
                self.touched.insert(h.group);
            } else if !h.mute {
                look = look.min(heard + patience);
            }
        }
        let look = look.max(now + 0.002);
        // A sooner one that is still to come does for this one too: a crowd is considered again and again.
        if s.look <= now || look < s.look {
            s.look = look;
            self.looks.push(Reverse((look.to_bits(), id)));
        }
        if open {
            return None;
        }
        if let Some(host) = self.pick(id).or_else(|| self.trial(id)) {
            return Some(self.send(id, host));
        }
        let wait_reason = self.held_by(id);
        let s = self.statements.get_mut(&id)?;
        s.wait_reason = Some(wait_reason);
        if !std::mem::replace(&mut s.waiting, true) {
            self.groups[s.group].waiting.push(id);
            self.waiting.insert(s.group);
        }
        None
    }

    /// Why nothing was picked for this statement just now.
    fn held_by(&self, id: u64) -> WaitReason {
        let s = &self.statements[&id];
        let k = &self.kinds[s.workload];
        let any_replica = self.terms.hosts_check_reads && !s.strict;
        if any_replica && !matches!(k.consistency, Consistency::Write | Consistency::Fresh) {
            return WaitReason::ReplicasBusy;
        }
        let Some(primary) = self.groups[s.group].primary.filter(|p| self.sendable(&self.hosts[*p])) else {
            return WaitReason::PrimaryUnknown;
        };
        let h = &self.hosts[primary];
        match () {
            () if h.mute => WaitReason::PrimarySilent,
            () if h.rests_until > self.now => WaitReason::PrimaryResting,
            () if !self.lawful(s, primary) => WaitReason::PrimaryBarred,
            () => WaitReason::PrimaryFull,
        }
    }

    /// When a statement that waits is given up. A late one behind more than its host completes in its time is told at half
    /// of it, not held in vain; where nothing is in flight nothing tells how fast the host is, and it is about to be tried.
    fn given_up_at(&self, id: u64) -> f64 {
        let s = &self.statements[&id];
        let group = &self.groups[s.group];
        let slow = |p: usize| group.ahead(id) >= self.hosts[p].meter.rate * (s.end - s.half);
        let jammed = |p: usize| slow(p) && !self.is_idle(p, 0.0);
        let worth_until = self.kinds[s.workload].worth_until(s);
        let late = self.now < s.half && worth_until < s.half - self.margin && s.executions.is_empty();
        let half = late && group.primary.is_some_and(jammed);
        if half {
            s.half - self.margin
        } else {
            s.end - self.margin
        }
    }

    /// The one place that gives a final answer; a rejection promises that trying again is harmless.
    fn answer(&mut self, id: u64, cause: FailureCause) -> Decision {
        let s = self.statements.get_mut(&id).expect("a statement under consideration");
        s.answered = true;
        self.due.push_back(id);
        let k = &mut self.kinds[s.workload];
        k.owed = (k.owed + if s.later { 0.0 } else { 3.0 }).min(64.0);
        let may_have_run = s.executions.iter().any(|e| e.may_have_run);
        let repeats = k.effect == Effect::Deduplicated && k.scope == DedupScope::All;
        if k.effect == Effect::Idempotent || repeats || !may_have_run {
            return Decision::Reject { statement_id: id, retry_after: self.terms.max_retry_after, cause };
        }
        Decision::Abort { statement_id: id, cause }
    }

    /// The one place that sends.
    fn send(&mut self, id: u64, index: usize) -> Decision {
        let now = self.now;
        let s = self.statements.get_mut(&id).expect("a statement under consideration");
        s.waiting = false;
        let repeat_by = self.kinds[s.workload].repeat_by(s) - self.margin;
        let (recalled, pool) = (!self.terms.may_cancel, self.groups[s.group].pool(index));
        (self.pools[pool].held, self.pools[pool].sent) = (self.pools[pool].held + 1, now);
        let execution = Execution { host: index, pool, sent: now, ended: None, may_have_run: true, recalled };
        s.executions.push(execution);
        // A repeat that waits for a connection is given up before it could come too late to be dropped.
        let (timeout, turn) = (s.end.min(repeat_by) - now, self.groups[s.group].turn());
        let usual = self.kinds[s.workload].usual;
        if let Some(session) = s.session.filter(|_| self.kinds[s.workload].writes()) {
            self.sessions.resize(self.sessions.len().max(session + 1), Session::default());
            let own = &mut self.sessions[session];
            own.answer_by = if own.out == 0 { now + usual } else { own.answer_by };
            own.out += 1;
        }
        let h = &mut self.hosts[index];
        h.open.push((now, id));
        h.executions += 1;
        (h.credit, h.sent) = (h.credit - 1.0, now);
        if h.strikes > 0 {
            h.rest(now, turn, 0);
        }
        h.meter.roll(now, false);
        Decision::Send { statement_id: id, host: index, timeout }
    }

    fn sendable(&self, h: &Host) -> bool {
        h.listed == Readiness::Active
            || (self.terms.only_draining_excludes && h.listed == Readiness::Gone && !h.seen_draining)
    }

    /// Guards the rules at the point of choice: list, cold share, and the effect of what may have run.
    fn lawful(&self, s: &Statement, index: usize) -> bool {
        let (h, k) = (&self.hosts[index], &self.kinds[s.workload]);
        let fits = |e: &Execution| match k.effect {
            _ if !e.may_have_run || e.ended.is_none() => !e.may_have_run,
            Effect::Deduplicated if k.scope == DedupScope::Zone => self.hosts[e.host].zone == h.zone,
            _ => true,
        };
        let in_time = self.now < k.repeat_by(s) - self.margin;
        let warm = self.share(h) >= 1.0 || h.credit >= 1.0;
        // Where hosts do not check, only one that list or answer calls primary surely holds the present.
        let current = self.terms.hosts_check_reads || k.consistency != Consistency::Fresh || h.maybe_primary;
        let sure = !s.strict || h.reached >= s.need || h.maybe_primary;
        current
            && sure
            && in_time
            && h.group == s.group
            && self.sendable(h)
            && warm
            && s.executions.iter().all(fits)
    }

    fn pick(&mut self, id: u64) -> Option<usize> {
        let now = self.now;
        let s = &self.statements[&id];
        let k = &self.kinds[s.workload];
        let g = &self.groups[s.group];
        let primary = g.primary.filter(|p| self.sendable(&self.hosts[*p]));
        let tried = |m: usize, since: f64| {
            s.executions.iter().any(|e| e.host == m && e.ended.is_none_or(|t| t > now - since))
        };
        if matches!(k.consistency, Consistency::Write | Consistency::Fresh) {
            if let Some(p) = primary {
                let h = &self.hosts[p];
                // A write is no trial traffic: a mute primary swallows it. Probes look for its return.
                if !h.mute && h.rests_until <= now {
                    return (self.room(p, s.workload, 1.0) && self.lawful(s, p)).then_some(p);
                }
            } else if s.executions.len() < (self.most / 2).max(1) {
                // An error from what is no member would leave a write that may have run.
                let known = |h: &Host| h.heard || !self.lied;
                let fresh = |h: &Host| h.denied_at < now - 0.4 && !h.mute && known(h);
                let open =
                    |m: &usize| fresh(&self.hosts[*m]) && !tried(*m, f64::INFINITY) && self.lawful(s, *m);
                if let Some(&next) = g.members.iter().find(|m| open(m)) {
                    return Some(next);
                }
            }
            self.seeking.insert(s.group);
            return None;
        }
        let own = s.session.and_then(|i| self.sessions.get(i)).copied().unwrap_or_default();
        let least = match k.consistency {
            Consistency::Bounded => now - k.bound,
            // A write that is out for longer than such take may have lost its answer, and nobody can say
            // where it stands in the log: the primary alone.
            Consistency::Session if !self.terms.hosts_check_reads && own.out > 0 && now > own.answer_by => {
                f64::INFINITY
            }
            Consistency::Session if !self.terms.hosts_check_reads => s.need.max(own.written),
            _ => s.need,
        };
        let hosts_check_reads = self.terms.hosts_check_reads && !s.strict;
        let (n, last) = (g.members.len(), s.executions.len() + 1 >= self.most);
        let (mut behind, mut best, mut full, mut unknown, mut up) = (None, 0.0, false, false, false);
        // While hosts refuse connections, one that answered lately most likely has a line open still.
        let line = |h: &Host| {
            now > self.refused_at + self.terms.idle_close || now < h.answered_at + self.terms.idle_close
        };
        let ready = |m: usize| {
            let h = &self.hosts[m];
            self.lawful(s, m) && !tried(m, 0.1) && h.rests_until <= now && line(h)
        };
        if k.consistency == Consistency::Any && !last {
            // What need not be current goes where the others cannot: lagging replicas take it, the same
            // ones first, so that work that holds up a log does so at few. Could crowd these where such work
            // is most of all.
            let takes = |m: &usize| {
                let h = &self.hosts[*m];
                let lags = now < h.missed_at + LAGS.max(8.0 * g.turn());
                Some(*m) != primary && lags && ready(*m) && self.room(*m, s.workload, 1.0)
            };
            if let Some(m) = g.members.iter().copied().find(takes) {
                return Some(m);
            }
        }
        for at in (0..n).map(|step| (g.cursor + step) % n) {
            let m = g.members[at];
            let h = &self.hosts[m];
            let ready = ready(m);
            let known = hosts_check_reads || h.reached >= least;
            let foretold = h.stood.0 + CATCH_UP * (now - h.stood.1);
            (unknown, up) =
                (unknown || (!known && least.is_finite()), up || (foretold >= least && Some(m) != primary));
            if Some(m) == primary || last || !ready || !known {
                continue;
            }
            if !self.room(m, s.workload, 1.0) {
                full = true;
            } else if foretold >= least {
                self.groups[s.group].cursor = at + 1;
                return Some(m);
            } else if foretold > best {
                (behind, best) = (Some(m), foretold);
            }
        }
        // Every replica is known to lag: by the design a bounded read's first send still goes to the nearest.
        let held = behind.is_some() || (full && !up);
        if k.consistency == Consistency::Bounded && s.executions.is_empty() && held {
            return behind;
        }
        if unknown || primary.is_none_or(|p| self.hosts[p].mute) {
            self.seeking.insert(s.group);
        }
        let g = &self.groups[s.group];
        if let Some(p) = primary {
            let h = &self.hosts[p];
            let usable =
                !h.mute && !tried(p, 0.0) && self.lawful(s, p) && (hosts_check_reads || h.maybe_primary);
            // The primary's room belongs to the writes, as far as they are worth more for their work.
            let share = (k.density() / self.densest(true)).min(1.0) * if full { 0.5 } else { 0.8 };
            if usable && self.room(p, s.workload, share) {
                return Some(p);
            }
        }
        if !full && behind.is_none() && s.executions.is_empty() && hosts_check_reads && n > 0 {
            // All replicas rest: one must still be asked, or a group of sick hosts would never be heard of.
            let ask = |m: &usize| self.hosts[*m].open.len() < 2 && self.lawful(s, *m);
            let found = (0..n).map(|i| g.members[(g.cursor + i) % n]).find(ask);
            self.groups[s.group].cursor += 1;
            return found;
        }
        None
    }

    /// Probes a group's members a few times a second, for their role while no primary is usable, or for their
    /// position where hosts do not check reads and none is known to have come far enough.
    fn seek(&mut self, group: usize) {
        let g = &mut self.groups[group];
        if self.now >= g.probe_at {
            g.probe_at = self.now + 0.2 + 0.2 * self.chance.0.rand_float() as f64;
            // A primary that answers no statement here, but probes as what it is, is not lost: the others
            // have nothing to tell (positions come with answers); it is asked again once it has rested.
            let tells = self.terms.hosts_check_reads && self.terms.answers_carry_position;
            let stands = |p: &usize| tells && self.hosts[*p].claimed_at > self.now - STANDS;
            match g.primary.filter(stands) {
                Some(p)
                    if self.hosts[p].rests_until > self.now && self.hosts[p].unreachable_since.is_none() => {}
                Some(p) => self.probes.push_back(p),
                None => self.probes.extend(g.members.iter().copied()),
            }
            if g.primary.is_none() {
                self.log(format!("group {group}: no usable primary, probing its members"));
            }
        }
    }

    /// Newest word on a host's role. An answer outranks a probe, whose report may be older than it.
    fn role(&mut self, index: usize, primary: bool, answer: bool) {
        let now = self.now;
        let h = &mut self.hosts[index];
        (h.heard, self.told) = (true, true);
        h.claimed_at = if primary { now } else { 0.0 };
        let (group, mute, current) = (h.group, h.mute, self.groups[h.group].primary);
        if primary && (answer || h.denied_at < now - 1.0) {
            h.maybe_primary |= answer;
            let trusted = current.is_some_and(|c| !self.hosts[c].mute && self.sendable(&self.hosts[c]));
            if current != Some(index) && (answer || !(trusted || mute)) {
                self.groups[group].primary = Some(index);
                self.touched.insert(group);
                self.log(format!("group {group}: primary is now host {index}"));
            }
        } else if !primary && answer {
            (h.denied_at, h.maybe_primary) = (now, false);
            if current == Some(index) {
                self.groups[group].primary = None;
                self.touched.insert(group);
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
