//! In-flight limits per host and per pool of hosts, the minimum gap between sends to an overloaded host, and
//! the choice of a host for a trial when these limits would hold a statement back for all of its time.
use super::{Instance, FIRST_EJECTION_S, STUCK_DURATION_FACTOR};
use crate::state::*;
use crate::terms::*;

/// Share of an SLO time that queueing may take, as used by the in-flight limit.
const QUEUE_SLO_SHARE: f64 = 0.35;
/// Share of a statement's useful time after which it is sent to an idle host as a trial.
const TRIAL_SHARE: f64 = 0.25;

impl Pool {
    /// Work of low value density is the first to be refused by a narrow pool. With a limit below one
    /// execution, sends keep a minimum gap.
    fn has_capacity(&self, now: f64, time: f64, share: f64, overall_share: f64) -> bool {
        let window = overall_share * (self.window - self.max_window * (1.0 - share)) / share;
        let bound = (self.meter.rate * time * share).max(window);
        (self.in_flight as f64) < bound && (bound >= 1.0 || now >= self.sent_at + time / bound)
    }
}

impl Instance {
    /// The limit is throughput x time. The time is the queueing share of the shortest SLO among workloads of
    /// at least the same value density, but never less than 1.25 times what the work takes on this host
    /// alone; otherwise a small limit could not grow again.
    pub(super) fn has_capacity(&self, host_index: usize, workload_index: usize, share: f64) -> bool {
        let host = &self.hosts[host_index];
        let workload = &self.workloads[workload_index];
        let is_comparable = |other: &&WorkloadState| {
            other.is_write() == workload.is_write() && other.value_density() >= workload.value_density()
        };
        let slo = self.workloads.iter().filter(is_comparable).map(|o| o.slo).fold(workload.slo, f64::min);
        let allowed_time =
            (QUEUE_SLO_SHARE * slo).max(1.25 * workload.min_duration * host.min_slowdown.max(1.0));
        let limit = (host.meter.rate * allowed_time)
            .max(self.unmeasured_limit.clamp(1.0, 4.0) / host.slowdown.powi(2))
            * share;
        // The gap also counts in rotation periods, or a router that seldom reaches this host would relieve an
        // overloaded host of nothing.
        let rotation_gap = self.groups[host.group].rotation_period() * host.slowdown / 2.0;
        // A queue drains at the speed of its work, however long the SLO time is.
        let drain_time = allowed_time.min(STUCK_DURATION_FACTOR * workload.min_duration);
        let min_gap =
            (drain_time * (host.slowdown / 2.0).powi(2)).min(1.0 / host.meter.rate).max(rotation_gap);
        let gap_respected = host.meter.rate * allowed_time >= 1.0
            || host.slowdown < 3.0
            || self.now >= host.sent_at + min_gap;
        let pool = self.groups[host.group].pool(host_index);
        // A wide pool of replicas is open to all reads, while the primaries' pool is reserved for writes.
        let pool_share =
            if pool == 1 { share } else { (workload.value_density() / self.max_value_density(false)).sqrt() };
        let pool_has_capacity = workload.is_write()
            || self.pools[pool].has_capacity(self.now, 16.0 * allowed_time, pool_share, share);
        let in_flight =
            host.in_flight.len() + host.possibly_running.iter().filter(|until| **until > self.now).count();
        gap_respected && pool_has_capacity && (in_flight as f64) < limit.max(share)
    }

    pub(super) fn max_value_density(&self, is_write: bool) -> f64 {
        self.workloads
            .iter()
            .filter(|o| o.is_write() == is_write)
            .map(WorkloadState::value_density)
            .fold(0.0, f64::max)
    }

    /// An idle host for a statement that has not been sent anywhere for a quarter of the time in which its
    /// answer is useful. Gaps and ejections also count in rotation periods, which in a group with little
    /// traffic are longer than statements wait.
    pub(super) fn choose_trial_host(&self, statement_id: u64) -> Option<usize> {
        let statement = &self.statements[&statement_id];
        let workload = &self.workloads[statement.workload];
        let arrived_at = 2.0 * statement.halfway - statement.deadline;
        let late_is_worthless = workload.late_share == 0.0 && workload.effect == Effect::Idempotent;
        let useful_until = if late_is_worthless {
            workload.latest_useful_start(statement).min(statement.deadline)
        } else {
            statement.deadline
        };
        let trial_delay = (TRIAL_SHARE * (useful_until - arrived_at)).max(0.0);
        if !statement.executions.is_empty() || self.now < arrived_at + trial_delay {
            return None;
        }
        let group = &self.groups[statement.group];
        let usable =
            |m: &usize| self.is_idle(*m, FIRST_EJECTION_S.min(trial_delay)) && self.is_allowed(statement, *m);
        let primary = group.primary.filter(usable);
        if matches!(workload.consistency, Consistency::Write | Consistency::Fresh) {
            return primary;
        }
        let is_checked_replica = |m: &usize| self.terms.hosts_check_reads && Some(*m) != group.primary;
        let mut replicas = group.members.iter().copied().filter(is_checked_replica);
        let is_certain_primary = |p: &usize| self.terms.hosts_check_reads || self.hosts[*p].presumed_primary;
        replicas.find(usable).or(primary.filter(is_certain_primary))
    }

    /// Whether this instance has nothing in flight at a host that may still answer, and has sent nothing
    /// there for `min_gap` seconds.
    pub(super) fn is_idle(&self, host_index: usize, min_gap: f64) -> bool {
        let host = &self.hosts[host_index];
        let may_answer = !host.unresponsive || (!self.terms.may_probe && self.now >= host.ejected_until);
        let has_work =
            !host.in_flight.is_empty() || host.possibly_running.iter().any(|until| *until > self.now);
        may_answer && !has_work && self.now >= host.sent_at + min_gap
    }
}
