//! Changes to the list of database hosts.
use super::Instance;
use crate::state::*;
use crate::terms::*;
use std::collections::BTreeSet;

/// A host's start is normally listed within this many seconds. An older start of a host that was listed
/// before comes from a clock that was stepped, and counts from when it is received.
const MAX_START_AGE_S: f64 = 30.0;
/// Seconds for which an answer that denied being primary takes precedence over the list.
const DENIAL_PRECEDENCE_S: f64 = 5.0;

impl Instance {
    /// Takes the list entries that are new or have changed, sorted by id; all others remain valid. Hosts that
    /// left the list are passed with readiness `Gone`.
    pub fn update_hosts(&mut self, now: f64, changed: &[ListedHost]) {
        self.now = now;
        // This answers a call already made: the subscription stays active until the service says otherwise.
        self.subscribe_at = if self.subscribe_at > now { f64::INFINITY } else { self.subscribe_at };
        let mut groups = BTreeSet::new();
        for member in changed {
            self.apply_listing(member);
            groups.insert(member.group);
        }
        for group in groups {
            self.adopt_listed_primary(group);
            self.changed_groups.insert(group);
        }
        self.resize_pools();
    }

    fn apply_listing(&mut self, member: &ListedHost) {
        let index = member.host;
        if self.hosts.len() <= index {
            self.hosts.resize(index + 1, Host::unknown());
        }
        self.join_group(index, member.group);
        let was_counted = self.counts_as_sendable(index);
        let now = self.now;
        let host = &mut self.hosts[index];
        (host.zone, host.listed_readiness, host.listed_primary) =
            (member.zone, member.readiness, member.primary);
        // Times in the list come from the clock of its writer, which may have been stepped.
        let start_is_newer = member.started_at > host.listed_start;
        host.listed_start = host.listed_start.max(member.started_at);
        let start_is_stale = host.was_listed
            && member.started_at < now - MAX_START_AGE_S
            && self.created_at < now - MAX_START_AGE_S;
        let started = if start_is_stale { now } else { member.started_at.min(now) };
        self.listed_hosts += usize::from(!host.was_listed);
        host.was_listed = true;
        let newly_started = start_is_newer && started > host.started_at;
        if newly_started {
            // A replacement machine is cold and seconds behind, whatever it answers first. The initial credit
            // is the long-run average: each of hundreds of routers gains one send in the whole cold time, and
            // none knows who is primary. Without a full credit, 0.2 is enough for two probes.
            let starts_with_credit =
                f64::from(self.rng.0.rand_float()) < self.cold_headroom * self.terms.cold_initial_share;
            let credit = if starts_with_credit { 1.0 } else { 0.2 };
            (host.started_at, host.credit, host.seen_draining, host.unresponsive) =
                (started, credit, false, false);
        }
        host.seen_draining |= member.readiness == Readiness::Draining;
        host.presumed_primary |= member.primary && host.denied_primary_at == 0.0;
        self.update_sendable_count(index, was_counted);
        if newly_started {
            self.mark_cold(index);
        }
    }

    /// Adds the host to this group and removes it from its former one.
    fn join_group(&mut self, index: usize, group: usize) {
        let host = &mut self.hosts[index];
        let former = std::mem::replace(&mut host.group, group);
        if host.was_listed && former == group {
            return;
        }
        if host.was_listed {
            self.leave_group(index, former);
        }
        self.group(group).members.push(index);
    }

    fn leave_group(&mut self, index: usize, group: usize) {
        let group = &mut self.groups[group];
        group.members.retain(|m| *m != index);
        group.primary = group.primary.filter(|p| *p != index);
    }

    /// The list arrives late: it fills in a missing primary but never overrules an answer.
    fn adopt_listed_primary(&mut self, group: usize) {
        let group = &mut self.groups[group];
        for &member in &group.members {
            let host = &self.hosts[member];
            let recently_denied = host.denied_primary_at > self.now - DENIAL_PRECEDENCE_S;
            let primary_missing = group.primary.is_none_or(|p| self.hosts[p].unresponsive);
            if host.listed_primary && !recently_denied && primary_missing {
                group.primary = Some(member);
            }
        }
    }

    fn resize_pools(&mut self) {
        let replicas = self.listed_hosts.saturating_sub(self.groups.len());
        for (pool, hosts) in self.pools.iter_mut().zip([replicas, self.groups.len()]) {
            let max_window = (self.unmeasured_limit * hosts as f64).max(2.0);
            (pool.window, pool.max_window) =
                (if pool.max_window == 0.0 { max_window } else { pool.window.min(max_window) }, max_window);
        }
    }

    /// Forgets a host that has left the list, once no statement refers to it; its index may then be reused.
    pub fn forget_host(&mut self, index: usize) -> bool {
        let host = &self.hosts[index];
        let left = host.listed_readiness == Readiness::Gone && (host.unresponsive || !self.is_sendable(host));
        let forgotten = left && host.executions == 0;
        if forgotten {
            let (group, was_listed) = (host.group, host.was_listed);
            let was_counted = self.counts_as_sendable(index);
            self.leave_group(index, group);
            self.listed_hosts -= usize::from(was_listed);
            self.remove_cold(index);
            self.hosts[index] = Host::unknown();
            self.update_sendable_count(index, was_counted);
        }
        forgotten
    }

    /// Whether this host is listed and may be sent to.
    pub(super) fn counts_as_sendable(&self, index: usize) -> bool {
        let host = &self.hosts[index];
        host.was_listed && self.is_sendable(host)
    }

    fn update_sendable_count(&mut self, index: usize, counted_before: bool) {
        let (before, after) = (usize::from(counted_before), usize::from(self.counts_as_sendable(index)));
        self.sendable_count = self.sendable_count - before + after;
        if self.hosts[index].cold_index.is_some() {
            self.cold_hosts.sendable_count = self.cold_hosts.sendable_count - before + after;
        }
    }
}
