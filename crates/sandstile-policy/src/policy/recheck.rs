//! The check of an execution that was decided earlier and can begin only now, because it had to wait for a
//! connection. What was known when it was decided may be out of date.
use super::Instance;
use crate::state::*;
use crate::terms::*;

impl Instance {
    /// This execution waits for a connection: nothing of it is sent before `execution_started`.
    pub fn execution_waits(&mut self, statement_id: u64, execution_index: usize) {
        if let Some(execution) = self.running_execution(statement_id, execution_index) {
            execution.may_have_run = false;
        }
    }

    /// Whether an execution that waits may still begin. If not, it has to be reported as `NotSent`, and its
    /// statement is decided anew.
    pub fn may_start(&mut self, now: f64, statement_id: u64, execution_index: usize) -> bool {
        self.now = now;
        let answer_margin = self.answer_margin;
        let is_wanted = |s: &Statement| !s.answered && now < s.deadline - answer_margin;
        if !self.statements.get(&statement_id).is_some_and(is_wanted) {
            return false;
        }
        let Some(execution) = self.running_execution(statement_id, execution_index) else { return false };
        let (host_index, sent_at, may_have_run) = (execution.host, execution.sent_at, execution.may_have_run);
        // It has not begun, so it must not count against itself.
        (execution.ended_at, execution.may_have_run) = (Some(now), false);
        let allowed = self.is_still_right(statement_id, host_index, sent_at);
        let statement = self.statements.get_mut(&statement_id).expect("the statement is tracked");
        let execution = &mut statement.executions[execution_index];
        (execution.ended_at, execution.may_have_run) = (None, may_have_run);
        allowed
    }

    /// An execution that had waited begins, as `may_start` has just allowed.
    pub fn execution_started(&mut self, statement_id: u64, execution_index: usize) {
        let Some(execution) = self.running_execution(statement_id, execution_index) else { return };
        execution.may_have_run = true;
        let (host_index, sent_at) = (execution.host, execution.sent_at);
        if self.needs_new_credit(host_index, sent_at) {
            self.hosts[host_index].credit -= 1.0;
        }
    }

    fn running_execution(&mut self, statement_id: u64, execution_index: usize) -> Option<&mut Execution> {
        let statement = self.statements.get_mut(&statement_id)?;
        statement.executions.get_mut(execution_index).filter(|execution| execution.ended_at.is_none())
    }

    /// Whether a probe that was decided earlier may still go to this host.
    pub fn may_start_probe(&self, host_index: usize) -> bool {
        self.hosts.get(host_index).is_some_and(|host| self.is_sendable(host))
    }

    fn is_still_right(&self, statement_id: u64, host_index: usize, sent_at: f64) -> bool {
        let (statement, host) = (&self.statements[&statement_id], &self.hosts[host_index]);
        let has_credit = !self.needs_new_credit(host_index, sent_at) || host.credit >= 1.0;
        has_credit
            && self.keeps_rules(statement, host_index)
            && self.has_right_role(statement, host_index, sent_at)
            && self.has_required_data(statement, host_index)
    }

    /// A host that turned cold after the execution was decided has not been paid for it.
    fn needs_new_credit(&self, host_index: usize, sent_at: f64) -> bool {
        let host = &self.hosts[host_index];
        host.marked_cold_at > sent_at && self.capacity_share(host) < 1.0
    }

    /// Writes and fresh reads belong to the primary: not to a host that has denied that role meanwhile, nor to
    /// one beside which another primary is known.
    fn has_right_role(&self, statement: &Statement, host_index: usize, sent_at: f64) -> bool {
        let consistency = self.workloads[statement.workload].consistency;
        if !matches!(consistency, Consistency::Write | Consistency::Fresh) {
            return true;
        }
        let primary = self.groups[statement.group].primary;
        let other_primary = primary.is_some_and(|p| p != host_index && self.is_sendable(&self.hosts[p]));
        !other_primary && self.hosts[host_index].denied_primary_at <= sent_at
    }

    /// Whether the data of a host that doesn't check reads itself is known to be recent enough.
    fn has_required_data(&self, statement: &Statement, host_index: usize) -> bool {
        let host_checks_position = self.terms.hosts_check_reads && !statement.requires_known_position;
        let consistency = self.workloads[statement.workload].consistency;
        if host_checks_position || matches!(consistency, Consistency::Write | Consistency::Fresh) {
            return true;
        }
        let host = &self.hosts[host_index];
        let is_primary = self.groups[statement.group].primary == Some(host_index) && host.presumed_primary;
        is_primary || host.known_position >= self.least_position(statement)
    }
}
