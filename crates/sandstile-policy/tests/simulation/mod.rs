//! One instance with random or scripted inputs, and the rules checked after every decision.
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::*;
use std::collections::BTreeMap;

pub const START: f64 = 1e6;
pub const HOSTS: usize = 5;

pub struct Sent {
    pub host: usize,
    pub at: f64,
    pub ended: Option<OutcomeClass>,
}

pub struct Open {
    pub arrival: Arrival,
    pub at: f64,
    pub need: f64,
    pub sent: Vec<Sent>,
    pub over: bool,
}

pub struct World {
    pub now: f64,
    pub terms: Terms,
    pub policy: Instance,
    pub list: Vec<ListedHost>,
    pub open: BTreeMap<u64, Open>,
    pub reached: Vec<f64>,
    pub ex_primary: Vec<bool>,
    pub change_number: f64,
    /// When the last write ended of which nobody knows whether and where it committed.
    pub lost_at: f64,
    pub warm_completions: Vec<f64>,
    pub cold_sends: Vec<f64>,
    pub decisions: Vec<Decision>,
    pub group: usize,
    next: u64,
}

pub fn workload(consistency: Consistency, effect: Effect) -> Workload {
    let scope = DedupScope::Zone;
    let (slo, timeout, importance, late_share, dedup_window, max_age) = (0.4, 1.0, 2.0, 0.0, 0.5, 0.8);
    Workload { slo, timeout, importance, late_share, effect, scope, dedup_window, consistency, max_age }
}

pub fn terms(flags: u16) -> Terms {
    use Consistency::*;
    let flag = |bit: u16| flags >> bit & 1 == 1;
    Terms {
        workloads: vec![
            workload(Bounded, Effect::Idempotent),
            workload(Session, Effect::Idempotent),
            workload(Write, Effect::NonIdempotent),
            workload(Write, Effect::Deduplicated),
            workload(Any, Effect::Idempotent),
            workload(Fresh, Effect::Idempotent),
        ],
        tick: 0.005,
        routers: 3,
        max_executions: 6,
        may_cancel: flag(1),
        may_probe: flag(2),
        max_retry_after: 0.5,
        list_on_request: flag(3),
        subscribe_within: 10.0,
        idle_close: 15.0,
        only_draining_excludes: flag(4),
        cold_initial_share: 0.2,
        cold_duration: 10.0,
        cold_overload_multiple: 3.0,
        hosts_check_reads: flag(5),
        answers_carry_position: flag(6),
        router_keeps_tokens: flag(7),
        clients_mark_retries: flag(8),
    }
}

impl World {
    pub fn new(terms: Terms, seed: u64) -> Self {
        let member = |host| ListedHost {
            host,
            group: 0,
            zone: host % 2,
            primary: host == 2,
            since: 0.0,
            readiness: Readiness::Active,
        };
        let list: Vec<ListedHost> = (0..HOSTS).map(member).collect();
        let mut policy = Instance::new(&terms, seed, START);
        policy.update_hosts(START, &list);
        let mut ex_primary = vec![false; HOSTS];
        ex_primary[2] = true;
        World {
            now: START,
            terms,
            policy,
            list,
            open: BTreeMap::new(),
            reached: vec![0.0; HOSTS],
            ex_primary,
            change_number: 0.0,
            lost_at: 0.0,
            warm_completions: vec![0.0; HOSTS],
            cold_sends: vec![0.0; HOSTS],
            decisions: Vec::new(),
            group: 0,
            next: 0,
        }
    }

    pub fn arrive(&mut self, workload: usize, time_left: f64) -> u64 {
        let arrival = Arrival {
            workload,
            group: self.group,
            session: Some(0),
            time_left,
            wait: time_left,
            token_age: Some(0.3),
            retry: false,
            read_requirement: None,
        };
        let need = match self.terms.workloads[workload].consistency {
            // All share one session: what may have committed counts as written.
            Consistency::Session if self.terms.router_keeps_tokens => self.change_number.max(self.lost_at),
            Consistency::Session => self.now - 0.3,
            _ => 0.0,
        };
        self.policy.statement_arrived(self.now, self.next, &arrival);
        self.open.insert(self.next, Open { arrival, at: self.now, need, sent: Vec::new(), over: false });
        self.next += 1;
        self.next - 1
    }

    pub fn serve(&mut self, workload: usize, verdict: OutcomeClass, primary: Option<bool>) -> usize {
        let statement_id = self.arrive(workload, 1.0);
        self.step(0.005);
        let host = self.sends().last().filter(|s| s.0 == statement_id).expect("the statement was sent").1;
        self.end(statement_id, 0, verdict, primary, 0.0);
        host
    }

    pub fn relist(&mut self) {
        for m in &self.list {
            if m.since > 0.0 && self.now - m.since < 0.001 {
                (self.cold_sends[m.host], self.warm_completions[m.host]) = (0.0, 0.0);
            }
        }
        self.policy.update_hosts(self.now, &self.list);
    }

    pub fn end(
        &mut self,
        statement_id: u64,
        execution: usize,
        verdict: OutcomeClass,
        primary: Option<bool>,
        lag: f64,
    ) {
        let o = self.open.get_mut(&statement_id).expect("a known statement");
        let write = self.terms.workloads[o.arrival.workload].consistency == Consistency::Write;
        let answered = matches!(
            verdict,
            OutcomeClass::Completed | OutcomeClass::Error | OutcomeClass::WrongHost | OutcomeClass::Full
        );
        let position = (answered && self.terms.answers_carry_position).then_some(self.now - lag);
        let note = HostReport { position, primary: primary.filter(|_| answered) };
        let first = o.sent.get(execution).is_some_and(|s| s.ended.is_none());
        if let Some(sent) = o.sent.get_mut(execution).filter(|_| first) {
            sent.ended = Some(verdict);
            let since = self.list[sent.host].since;
            if verdict == OutcomeClass::Completed
                && (since == 0.0 || self.now >= since + self.terms.cold_duration)
            {
                self.warm_completions.iter_mut().for_each(|n| *n += 1.0);
            } else if verdict == OutcomeClass::Completed {
                // What it completes it can do: as much may follow, where nobody warm tells more.
                self.warm_completions[sent.host] += 1.0;
            }
            if let (Some(p), false) = (position, write) {
                self.reached[sent.host] = self.reached[sent.host].max(p);
            }
            let ran = matches!(verdict, OutcomeClass::Error | OutcomeClass::TimedOut | OutcomeClass::Reset);
            if write && (ran || matches!(verdict, OutcomeClass::Cancelled | OutcomeClass::UnusableAnswer)) {
                self.lost_at = self.now;
            }
            if let (Some(p), true, OutcomeClass::Completed) = (position, write, verdict) {
                self.change_number = self.change_number.max(p);
            }
            if let Some(role) = note.primary {
                self.ex_primary[sent.host] = role;
            }
        }
        o.over |= verdict == OutcomeClass::Completed && first;
        let over = o.over;
        self.policy.ended(self.now, statement_id, execution, verdict, over, note);
    }

    pub fn step(&mut self, seconds: f64) {
        self.now += seconds;
        self.policy.advance_time(self.now);
        for count in 0.. {
            assert!(count < 10_000, "decisions never end");
            let Some(decision) = self.policy.decide() else { break };
            self.check(&decision);
            self.decisions.push(decision);
        }
        for (id, o) in &self.open {
            let late = self.now >= o.at + o.arrival.time_left;
            assert!(o.over || !late, "statement {id} had no final answer in time");
        }
    }

    fn check(&mut self, decision: &Decision) {
        match *decision {
            Decision::Send { statement_id, host, timeout } => {
                let writes =
                    |o: &&Open| self.terms.workloads[o.arrival.workload].consistency == Consistency::Write;
                let out = |s: &Sent| s.ended.is_none() && self.now > s.at + 0.5;
                let long_out = self.open.values().filter(writes).any(|o| o.sent.iter().any(out));
                let o = self.open.get_mut(&statement_id).expect("a known statement");
                let w = &self.terms.workloads[o.arrival.workload];
                let m = &self.list[host];
                assert!(!o.over, "sent after the final answer");
                assert!(timeout > 0.0 && self.now + timeout <= o.at + o.arrival.time_left + 1e-9);
                assert!(o.sent.len() < self.terms.max_executions, "too many executions");
                let gone = self.terms.only_draining_excludes && m.readiness == Readiness::Gone;
                assert!(m.readiness == Readiness::Active || gone, "sent to a draining or gone host");
                for s in &o.sent {
                    let ran = |v| {
                        !matches!(
                            v,
                            OutcomeClass::Full
                                | OutcomeClass::ConnectFailed
                                | OutcomeClass::NotSent
                                | OutcomeClass::WrongHost
                        )
                    };
                    let may_have_run = s.ended.is_none_or(ran);
                    assert!(s.ended.is_some(), "two executions out at once");
                    match w.effect {
                        Effect::Idempotent => {}
                        Effect::NonIdempotent => assert!(!may_have_run, "an effect may happen twice"),
                        Effect::Deduplicated => {
                            let near = self.list[s.host].zone == m.zone && self.now < s.at + w.dedup_window;
                            assert!(!may_have_run || near, "resent outside its scope or window");
                            let by = s.at + w.dedup_window;
                            assert!(!may_have_run || self.now + timeout < by, "may come after the window");
                        }
                    }
                }
                if !self.terms.hosts_check_reads
                    && w.consistency != Consistency::Write
                    && !self.ex_primary[host]
                {
                    let need = match w.consistency {
                        Consistency::Bounded => self.now - w.max_age,
                        Consistency::Fresh => f64::INFINITY,
                        // So long no write is out that is ever answered here: its answer was lost.
                        Consistency::Session if self.terms.router_keeps_tokens && long_out => f64::INFINITY,
                        Consistency::Session if self.terms.router_keeps_tokens => o.need.max(self.lost_at),
                        _ => o.need,
                    };
                    assert!(self.reached[host] >= need, "a read may be answered stale");
                }
                if m.since > 0.0 && self.now < m.since + self.terms.cold_duration {
                    self.cold_sends[host] += 1.0;
                    assert!(
                        // One that each router may have from the start.
                        self.cold_sends[host] <= self.warm_completions[host] + 1.0,
                        "a cold host got more than its peers"
                    );
                }
                o.sent.push(Sent { host, at: self.now, ended: None });
            }
            Decision::Reject { statement_id, .. } | Decision::Abort { statement_id, .. } => {
                let o = self.open.get_mut(&statement_id).expect("a known statement");
                assert!(!o.over, "a second final answer");
                o.over = true;
                let ran = |v| {
                    !matches!(
                        v,
                        OutcomeClass::Full
                            | OutcomeClass::ConnectFailed
                            | OutcomeClass::NotSent
                            | OutcomeClass::WrongHost
                    )
                };
                let may_have_run = o.sent.iter().any(|s| s.ended.is_none_or(ran));
                let effect = self.terms.workloads[o.arrival.workload].effect;
                if matches!(decision, Decision::Reject { .. }) && effect != Effect::Idempotent {
                    assert!(!may_have_run, "a rejection where an execution may have run");
                }
            }
            Decision::Cancel { statement_id, execution } => {
                assert!(self.terms.may_cancel && execution < self.open[&statement_id].sent.len());
            }
            Decision::Probe { host } => {
                let told = self.list[host].readiness;
                assert!(
                    self.terms.may_probe && (told == Readiness::Active || self.terms.only_draining_excludes)
                );
            }
            Decision::Subscribe => assert!(self.terms.list_on_request),
            Decision::Log(_) => {}
        }
    }

    /// Whether this statement was rejected, naming this time to return after.
    pub fn rejected(&self, statement: u64, after: f64) -> bool {
        let it = |d: &Decision| matches!(d, Decision::Reject { statement_id, retry_after, .. } if (*statement_id, *retry_after) == (statement, after));
        self.decisions.iter().any(it)
    }

    pub fn sends(&self) -> Vec<(u64, usize)> {
        let send = |d: &Decision| match d {
            Decision::Send { statement_id, host, .. } => Some((*statement_id, *host)),
            _ => None,
        };
        self.decisions.iter().filter_map(send).collect()
    }
}
