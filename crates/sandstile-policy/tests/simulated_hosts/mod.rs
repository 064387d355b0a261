//! Drives one instance with random or scripted inputs and checks the rules after every decision.
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::*;
use std::collections::BTreeMap;

pub const START_TIME: f64 = 1e6;
pub const HOST_COUNT: usize = 5;

pub struct SentExecution {
    pub host: usize,
    pub sent_at: f64,
    pub ended: Option<OutcomeClass>,
}

pub struct TrackedStatement {
    pub arrival: Arrival,
    pub arrived_at: f64,
    pub required_position: f64,
    pub executions: Vec<SentExecution>,
    pub answered: bool,
}

pub struct World {
    pub now: f64,
    pub terms: Terms,
    pub policy: Instance,
    pub host_list: Vec<ListedHost>,
    pub statements: BTreeMap<u64, TrackedStatement>,
    pub known_positions: Vec<f64>,
    pub reported_primary: Vec<bool>,
    pub last_write_position: f64,
    /// When the last write ended whose outcome and position are unknown.
    pub unknown_write_at: f64,
    pub warm_completions: Vec<f64>,
    pub cold_sends: Vec<f64>,
    pub decisions: Vec<Decision>,
    pub group: usize,
    next_id: u64,
}

pub fn workload(consistency: Consistency, effect: Effect) -> Workload {
    let dedup_scope = DedupScope::Zone;
    let (slo, timeout, importance, late_share, dedup_window, max_age) = (0.4, 1.0, 2.0, 0.0, 0.5, 0.8);
    Workload { slo, timeout, importance, late_share, effect, dedup_scope, dedup_window, consistency, max_age }
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
            started_at: 0.0,
            readiness: Readiness::Active,
        };
        let host_list: Vec<ListedHost> = (0..HOST_COUNT).map(member).collect();
        let mut policy = Instance::new(&terms, seed, START_TIME);
        policy.update_hosts(START_TIME, &host_list);
        let mut reported_primary = vec![false; HOST_COUNT];
        reported_primary[2] = true;
        World {
            now: START_TIME,
            terms,
            policy,
            host_list,
            statements: BTreeMap::new(),
            known_positions: vec![0.0; HOST_COUNT],
            reported_primary,
            last_write_position: 0.0,
            unknown_write_at: 0.0,
            warm_completions: vec![0.0; HOST_COUNT],
            cold_sends: vec![0.0; HOST_COUNT],
            decisions: Vec::new(),
            group: 0,
            next_id: 0,
        }
    }

    pub fn arrive(&mut self, workload: usize, time_left: f64) -> u64 {
        let arrival = Arrival {
            workload,
            group: self.group,
            session: Some(0),
            time_left,
            timeout: time_left,
            token_age: Some(0.3),
            retry: false,
            read_requirement: None,
        };
        let required_position = match self.terms.workloads[workload].consistency {
            // All statements share one session: whatever may have committed counts as written.
            Consistency::Session if self.terms.router_keeps_tokens => {
                self.last_write_position.max(self.unknown_write_at)
            }
            Consistency::Session => self.now - 0.3,
            _ => 0.0,
        };
        self.policy.statement_arrived(self.now, self.next_id, &arrival);
        self.statements.insert(
            self.next_id,
            TrackedStatement {
                arrival,
                arrived_at: self.now,
                required_position,
                executions: Vec::new(),
                answered: false,
            },
        );
        self.next_id += 1;
        self.next_id - 1
    }

    pub fn serve(&mut self, workload: usize, outcome: OutcomeClass, primary: Option<bool>) -> usize {
        let statement_id = self.arrive(workload, 1.0);
        self.advance(0.005);
        let host = self.sends().last().filter(|s| s.0 == statement_id).expect("the statement was sent").1;
        self.end_execution(statement_id, 0, outcome, primary, 0.0);
        host
    }

    pub fn update_host_list(&mut self) {
        for host in &self.host_list {
            if host.started_at > 0.0 && self.now - host.started_at < 0.001 {
                (self.cold_sends[host.host], self.warm_completions[host.host]) = (0.0, 0.0);
            }
        }
        self.policy.update_hosts(self.now, &self.host_list);
    }

    pub fn end_execution(
        &mut self,
        statement_id: u64,
        execution: usize,
        outcome: OutcomeClass,
        primary: Option<bool>,
        lag: f64,
    ) {
        let statement = self.statements.get_mut(&statement_id).expect("a known statement");
        let write = self.terms.workloads[statement.arrival.workload].consistency == Consistency::Write;
        let answered = matches!(
            outcome,
            OutcomeClass::Completed | OutcomeClass::Error | OutcomeClass::WrongHost | OutcomeClass::Full
        );
        let position = (answered && self.terms.answers_carry_position).then_some(self.now - lag);
        let report = HostReport { position, primary: primary.filter(|_| answered) };
        let newly_ended = statement.executions.get(execution).is_some_and(|s| s.ended.is_none());
        if let Some(execution) = statement.executions.get_mut(execution).filter(|_| newly_ended) {
            execution.ended = Some(outcome);
            let started_at = self.host_list[execution.host].started_at;
            if outcome == OutcomeClass::Completed
                && (started_at == 0.0 || self.now >= started_at + self.terms.cold_duration)
            {
                self.warm_completions.iter_mut().for_each(|n| *n += 1.0);
            } else if outcome == OutcomeClass::Completed {
                // While no warm host gives better evidence, a cold host may be sent as much as it has
                // completed.
                self.warm_completions[execution.host] += 1.0;
            }
            if let (Some(position), false) = (position, write) {
                self.known_positions[execution.host] = self.known_positions[execution.host].max(position);
            }
            let may_have_run =
                matches!(outcome, OutcomeClass::Error | OutcomeClass::TimedOut | OutcomeClass::Reset);
            if write
                && (may_have_run || matches!(outcome, OutcomeClass::Cancelled | OutcomeClass::UnusableAnswer))
            {
                self.unknown_write_at = self.now;
            }
            if let (Some(position), true, OutcomeClass::Completed) = (position, write, outcome) {
                self.last_write_position = self.last_write_position.max(position);
            }
            if let Some(role) = report.primary {
                self.reported_primary[execution.host] = role;
            }
        }
        statement.answered |= outcome == OutcomeClass::Completed && newly_ended;
        let answered = statement.answered;
        self.policy.execution_ended(self.now, statement_id, execution, outcome, answered, report);
    }

    pub fn advance(&mut self, seconds: f64) {
        self.now += seconds;
        self.policy.advance_time(self.now);
        for count in 0.. {
            assert!(count < 10_000, "decisions never end");
            let Some(decision) = self.policy.decide() else { break };
            self.check_rules(&decision);
            self.decisions.push(decision);
        }
        for (id, statement) in &self.statements {
            let late = self.now >= statement.arrived_at + statement.arrival.time_left;
            assert!(statement.answered || !late, "statement {id} had no final answer in time");
        }
    }

    fn check_rules(&mut self, decision: &Decision) {
        match *decision {
            Decision::Send { statement_id, host, timeout } => {
                let is_write = |statement: &&TrackedStatement| {
                    self.terms.workloads[statement.arrival.workload].consistency == Consistency::Write
                };
                let is_overdue = |execution: &SentExecution| {
                    execution.ended.is_none() && self.now > execution.sent_at + 0.5
                };
                let write_overdue = self
                    .statements
                    .values()
                    .filter(is_write)
                    .any(|statement| statement.executions.iter().any(is_overdue));
                let statement = self.statements.get_mut(&statement_id).expect("a known statement");
                let workload = &self.terms.workloads[statement.arrival.workload];
                let target = &self.host_list[host];
                assert!(!statement.answered, "sent after the final answer");
                assert!(
                    timeout > 0.0
                        && self.now + timeout <= statement.arrived_at + statement.arrival.time_left + 1e-9
                );
                // Executions that ended before anything was sent are no attempts.
                let attempts = statement.executions.iter().filter(|e| e.ended != Some(OutcomeClass::NotSent));
                assert!(attempts.count() < self.terms.max_executions, "too many executions");
                let gone = self.terms.only_draining_excludes && target.readiness == Readiness::Gone;
                assert!(target.readiness == Readiness::Active || gone, "sent to a draining or gone host");
                for execution in &statement.executions {
                    let may_run = |v| {
                        !matches!(
                            v,
                            OutcomeClass::Full
                                | OutcomeClass::ConnectFailed
                                | OutcomeClass::NotSent
                                | OutcomeClass::WrongHost
                        )
                    };
                    let may_have_run = execution.ended.is_none_or(may_run);
                    assert!(execution.ended.is_some(), "two executions out at once");
                    match workload.effect {
                        Effect::Idempotent => {}
                        Effect::NonIdempotent => assert!(!may_have_run, "an effect may happen twice"),
                        Effect::Deduplicated => {
                            let in_scope = self.host_list[execution.host].zone == target.zone
                                && self.now < execution.sent_at + workload.dedup_window;
                            assert!(!may_have_run || in_scope, "resent outside its scope or window");
                            let window_end = execution.sent_at + workload.dedup_window;
                            assert!(
                                !may_have_run || self.now + timeout < window_end,
                                "may come after the window"
                            );
                        }
                    }
                }
                if !self.terms.hosts_check_reads
                    && workload.consistency != Consistency::Write
                    && !self.reported_primary[host]
                {
                    let required_position = match workload.consistency {
                        Consistency::Bounded => self.now - workload.max_age,
                        Consistency::Fresh => f64::INFINITY,
                        // A write in flight for this long is never answered here: its answer was lost.
                        Consistency::Session if self.terms.router_keeps_tokens && write_overdue => {
                            f64::INFINITY
                        }
                        Consistency::Session if self.terms.router_keeps_tokens => {
                            statement.required_position.max(self.unknown_write_at)
                        }
                        _ => statement.required_position,
                    };
                    assert!(self.known_positions[host] >= required_position, "a read may get a stale answer");
                }
                if target.started_at > 0.0 && self.now < target.started_at + self.terms.cold_duration {
                    self.cold_sends[host] += 1.0;
                    assert!(
                        // One send that each router may have from the start.
                        self.cold_sends[host] <= self.warm_completions[host] + 1.0,
                        "a cold host got more than its peers"
                    );
                }
                statement.executions.push(SentExecution { host, sent_at: self.now, ended: None });
            }
            Decision::Reject { statement_id, .. } | Decision::Abort { statement_id, .. } => {
                let statement = self.statements.get_mut(&statement_id).expect("a known statement");
                assert!(!statement.answered, "a second final answer");
                statement.answered = true;
                let may_run = |v| {
                    !matches!(
                        v,
                        OutcomeClass::Full
                            | OutcomeClass::ConnectFailed
                            | OutcomeClass::NotSent
                            | OutcomeClass::WrongHost
                    )
                };
                let may_have_run =
                    statement.executions.iter().any(|execution| execution.ended.is_none_or(may_run));
                let effect = self.terms.workloads[statement.arrival.workload].effect;
                if matches!(decision, Decision::Reject { .. }) && effect != Effect::Idempotent {
                    assert!(!may_have_run, "a rejection where an execution may have run");
                }
            }
            Decision::Cancel { statement_id, execution } => {
                assert!(self.terms.may_cancel && execution < self.statements[&statement_id].executions.len());
            }
            Decision::Probe { host } => {
                let readiness = self.host_list[host].readiness;
                assert!(
                    self.terms.may_probe
                        && (readiness == Readiness::Active || self.terms.only_draining_excludes)
                );
            }
            Decision::Subscribe => assert!(self.terms.list_on_request),
            Decision::Log(_) => {}
        }
    }

    /// Whether this statement was rejected with this retry time.
    pub fn was_rejected(&self, rejected_id: u64, retry_after_s: f64) -> bool {
        let is_rejection = |d: &Decision| matches!(d, Decision::Reject { statement_id, retry_after, .. } if (*statement_id, *retry_after) == (rejected_id, retry_after_s));
        self.decisions.iter().any(is_rejection)
    }

    pub fn sends(&self) -> Vec<(u64, usize)> {
        let send = |d: &Decision| match d {
            Decision::Send { statement_id, host, .. } => Some((*statement_id, *host)),
            _ => None,
        };
        self.decisions.iter().filter_map(send).collect()
    }
}
