//! How much may be in flight at a host and at all of its kind, how far apart sends to a crowded host keep, and which
//! host gets a statement for trial that these bounds would hold for all of its time.
use super::{Instance, REST, STUCK};
use crate::state::*;
use crate::terms::*;

/// Share of an SLO time that may pass before an answer, as the bound on what is in flight has it.
const QUEUE: f64 = 0.35;
/// Share of a statement's time after which it goes to an idle host for trial.
const TRIAL_SHARE: f64 = 0.25;

impl Pool {
    /// What is worth least for its work leaves a narrow pool first; below one place, sends keep a distance.
    fn spare(&self, now: f64, time: f64, share: f64, whole: f64) -> bool {
        let window = whole * (self.window - self.most * (1.0 - share)) / share;
        let bound = (self.meter.rate * time * share).max(window);
        (self.held as f64) < bound && (bound >= 1.0 || now >= self.sent + time / bound)
    }
}

impl Instance {
    /// Rate x time. The time is what the SLO of the tightest workload worth as much leaves for a queue, but
    /// never under a quarter more than the work takes alone there, or a small bound could not grow again.
    pub(super) fn room(&self, index: usize, workload: usize, share: f64) -> bool {
        let h = &self.hosts[index];
        let k = &self.kinds[workload];
        let rival = |o: &&Kind| o.writes() == k.writes() && o.density() >= k.density();
        let slo = self.kinds.iter().filter(rival).map(|o| o.slo).fold(k.slo, f64::min);
        let time = (QUEUE * slo).max(1.25 * k.base * h.bare.max(1.0));
        let bound = (h.meter.rate * time).max(self.share_all.clamp(1.0, 4.0) / h.crowd.powi(2)) * share;
        // Counted in turns too, or a router that comes round seldom would spare a jammed host nothing.
        let spared = self.groups[h.group].turn() * h.crowd / 2.0;
        // A queue drains as fast as its work goes, however long the SLO time is.
        let drain = time.min(STUCK * k.base);
        let gap = (drain * (h.crowd / 2.0).powi(2)).min(1.0 / h.meter.rate).max(spared);
        let paced = h.meter.rate * time >= 1.0 || h.crowd < 3.0 || self.now >= h.sent + gap;
        let pool = self.groups[h.group].pool(index);
        // A wide pool of replicas is open to all reads, while the primaries' belongs to the writes.
        let part = if pool == 1 { share } else { (k.density() / self.densest(false)).sqrt() };
        let pooled = k.writes() || self.pools[pool].spare(self.now, 16.0 * time, part, share);
        let held = h.open.len() + h.ghosts.iter().filter(|until| **until > self.now).count();
        paced && pooled && (held as f64) < bound.max(share)
    }

    pub(super) fn densest(&self, writes: bool) -> f64 {
        self.kinds.iter().filter(|o| o.writes() == writes).map(Kind::density).fold(0.0, f64::max)
    }

    /// An idle host for a statement that has been sent nowhere for a quarter of the time in which it is worth something. Gaps and rests are counted in
    /// rotations of the group as well, and a group that is met seldom comes round more seldom than statements wait.
    pub(super) fn trial(&self, id: u64) -> Option<usize> {
        let s = &self.statements[&id];
        let k = &self.kinds[s.workload];
        let statement_arrived = 2.0 * s.half - s.end;
        let worthless = k.late_share == 0.0 && k.effect == Effect::Idempotent;
        let until = if worthless { k.worth_until(s).min(s.end) } else { s.end };
        let quarter = (TRIAL_SHARE * (until - statement_arrived)).max(0.0);
        if !s.executions.is_empty() || self.now < statement_arrived + quarter {
            return None;
        }
        let group = &self.groups[s.group];
        let usable = |m: &usize| self.is_idle(*m, REST.min(quarter)) && self.lawful(s, *m);
        let primary = group.primary.filter(usable);
        if matches!(k.consistency, Consistency::Write | Consistency::Fresh) {
            return primary;
        }
        let hosts_check_reads = |m: &usize| self.terms.hosts_check_reads && Some(*m) != group.primary;
        let mut replicas = group.members.iter().copied().filter(hosts_check_reads);
        let certain = |p: &usize| self.terms.hosts_check_reads || self.hosts[*p].maybe_primary;
        replicas.find(usable).or(primary.filter(certain))
    }

    /// Whether nothing of this instance is in flight at a host that may yet answer, nor was sent there for so long.
    pub(super) fn is_idle(&self, index: usize, apart: f64) -> bool {
        let h = &self.hosts[index];
        let answers = !h.mute || (!self.terms.may_probe && self.now >= h.rests_until);
        let in_flight = !h.open.is_empty() || h.ghosts.iter().any(|until| *until > self.now);
        answers && !in_flight && self.now >= h.sent + apart
    }
}
