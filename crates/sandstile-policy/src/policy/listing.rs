//! The list of database hosts, as far as it has changed.
use super::Instance;
use crate::state::*;
use crate::terms::*;
use std::collections::BTreeSet;

/// A host's start is told sooner than this: an older one, told of a host that was there before, is of a clock that
/// was stepped, and counts from when it is told.
const NEWS: f64 = 30.0;
/// Seconds for which an answer that denied a host's role goes before the list.
const DENIED: f64 = 5.0;

impl Instance {
    /// Entries of the list that are new or have changed, sorted by id; all others stand. Hosts that left it are handed
    /// as gone.
    pub fn update_hosts(&mut self, now: f64, changed: &[ListedHost]) {
        self.now = now;
        // The answer to a call already made: the subscription stands until the service says otherwise.
        self.ask_at = if self.ask_at > now { f64::INFINITY } else { self.ask_at };
        let mut groups = BTreeSet::new();
        for member in changed {
            self.enlist(member);
            groups.insert(member.group);
        }
        for group in groups {
            self.fill_primary(group);
            self.touched.insert(group);
        }
        self.bound_pools();
    }

    fn enlist(&mut self, member: &ListedHost) {
        let index = member.host;
        if self.hosts.len() <= index {
            self.hosts.resize(index + 1, Host::unknown());
        }
        self.join_group(index, member.group);
        let counted = self.is_counted(index);
        let now = self.now;
        let host = &mut self.hosts[index];
        (host.zone, host.listed, host.listed_primary) = (member.zone, member.readiness, member.primary);
        // A list's times are of the clock of whoever wrote it, which may have been stepped.
        let news = member.since > host.listed_since;
        host.listed_since = host.listed_since.max(member.since);
        let old_news = host.was_listed && member.since < now - NEWS && self.began < now - NEWS;
        let started = if old_news { now } else { member.since.min(now) };
        self.listed += usize::from(!host.was_listed);
        host.was_listed = true;
        let fresh = news && started > host.fresh_since;
        if fresh {
            // A machine that replaces another is behind by seconds and cold, whatever it answers first.
            // Credit begins where it would stand in the long run: of hundreds of routers each earns one
            // in the whole cold time, and none knows who is primary. The rest is for two probes.
            let lucky =
                f64::from(self.chance.0.rand_float()) < self.cold_ease * self.terms.cold_initial_share;
            let credit = if lucky { 1.0 } else { 0.2 };
            (host.fresh_since, host.credit, host.seen_draining, host.mute) = (started, credit, false, false);
        }
        host.seen_draining |= member.readiness == Readiness::Draining;
        host.maybe_primary |= member.primary && host.denied_at == 0.0;
        self.recount(index, counted);
        if fresh {
            self.becomes_cold(index);
        }
    }

    /// Makes it a member of this group, and of no other.
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

    /// The list speaks late: it fills a gap, and never overrules what an answer has said.
    fn fill_primary(&mut self, group: usize) {
        let group = &mut self.groups[group];
        for &member in &group.members {
            let host = &self.hosts[member];
            let denied = host.denied_at > self.now - DENIED;
            let gap = group.primary.is_none_or(|p| self.hosts[p].mute);
            if host.listed_primary && !denied && gap {
                group.primary = Some(member);
            }
        }
    }

    fn bound_pools(&mut self) {
        let replicas = self.listed.saturating_sub(self.groups.len());
        for (pool, hosts) in self.pools.iter_mut().zip([replicas, self.groups.len()]) {
            let most = (self.share_all * hosts as f64).max(2.0);
            (pool.window, pool.most) = (if pool.most == 0.0 { most } else { pool.window.min(most) }, most);
        }
    }

    /// Forgets a host that has left for good, once no statement reckons with it: its index may be given anew.
    pub fn forget_host(&mut self, index: usize) -> bool {
        let host = &self.hosts[index];
        let left = host.listed == Readiness::Gone && (host.mute || !self.sendable(host));
        let forgotten = left && host.executions == 0;
        if forgotten {
            let (group, was_listed) = (host.group, host.was_listed);
            let counted = self.is_counted(index);
            self.leave_group(index, group);
            self.listed -= usize::from(was_listed);
            self.no_longer_cold(index);
            self.hosts[index] = Host::unknown();
            self.recount(index, counted);
        }
        forgotten
    }

    /// Whether this host is one of those that may be sent to.
    pub(super) fn is_counted(&self, index: usize) -> bool {
        let host = &self.hosts[index];
        host.was_listed && self.sendable(host)
    }

    fn recount(&mut self, index: usize, counted_before: bool) {
        let (before, after) = (usize::from(counted_before), usize::from(self.is_counted(index)));
        self.sendable = self.sendable - before + after;
        if self.hosts[index].cold_place.is_some() {
            self.cold.sendable = self.cold.sendable - before + after;
        }
    }
}
