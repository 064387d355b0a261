//! The module's actor, the only caller of the decisions. It takes all that waits in its mailbox, lets the
//! decisions say what follows, and says when they want to look again. It never touches a socket and knows
//! no protocol: facts of a statement come in with an opaque parcel and a one-use reply.
use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::Update;
use crate::ending::{Ending, Outcome};
use crate::hosts::Order;
use crate::job::{Answer, Errand, Job, Parcel};
use crate::mailbox::{Mailbox, Post};
use crate::recorder::{Seen, Tape};
use crate::sessions::{Sessions, Wish, Word};
use sandstile_intake::list::List;
use sandstile_intake::names::Names;
use sandstile_limits::{Entry, Limits};
use sandstile_policy::policy::Instance;
use sandstile_policy::terms::{Arrival, Decision};
use sandstile_return::{Door, Ramp, Stall};
use slog::{info, warn, Logger};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Where a final answer goes. A client that has left no longer reads it.
pub struct Reply {
    pub post: Post<Given>,
    /// The client's line.
    pub line: usize,
    pub stmt: u64,
}

/// The one final answer of a statement, on its way to the line that asked.
pub struct Given {
    pub line: usize,
    pub stmt: u64,
    pub answer: Answer,
}

impl Reply {
    pub fn give(self, answer: Answer) {
        self.post.send(Given { line: self.line, stmt: self.stmt, answer });
    }
}

pub struct Asked {
    pub stmt: u64,
    /// As the client names it.
    pub id: String,
    pub workload: usize,
    pub group: String,
    pub session: Option<String>,
    pub writes: bool,
    /// When the client's time is up.
    pub until: f64,
    /// When the session last wrote, where the client says so.
    pub after: Option<f64>,
    pub retry: bool,
    /// The mark that the session carries.
    pub mark: Option<String>,
    pub parcel: Arc<dyn Parcel>,
    pub reply: Reply,
}

pub enum Mail {
    Asked(Asked),
    ClientGone(u64),
    Ended {
        stmt: u64,
        execution: usize,
        outcome: Outcome,
    },
    Probed {
        host: usize,
        outcome: Outcome,
    },
    Listed(Update),
    /// Word on sessions, from other instances or from operators.
    Sessions(Word),
}

/// A statement until the decisions let go of it.
struct Open {
    id: String,
    group: usize,
    parcel: Arc<dyn Parcel>,
    reply: Option<Reply>,
    /// The database host of each execution.
    hosts: Vec<usize>,
    wish: Option<Wish>,
    workload: usize,
    retry: bool,
}

pub struct Desk {
    policy: Instance,
    clock: Clock,
    counters: Arc<Counters>,
    log: Logger,
    hosts: Names,
    groups: Names,
    sessions: Names,
    list: List,
    orders: Post<Order>,
    /// What sessions have seen beyond this instance's own life, where our own file turns that on.
    seen: Option<Sessions>,
    /// Where arrivals are written down, where our own file turns that on.
    pub tape: Option<Tape>,
    /// Storms and what is done in them, where our own file turns that on; with the longest time to return.
    pub limits: Option<(Limits, f64)>,
    /// What comes in right after the start, and whether this process stood still, where our own file turns that on.
    pub ramp: Option<(Ramp, f64)>,
    pub stall: Option<Stall>,
    /// Seconds, as the settings have it.
    pub longest_return: f64,
    open: BTreeMap<u64, Open>,
    /// The ids of the open ones.
    ids: BTreeSet<String>,
    /// Final answers of this round. They go out behind its withdrawals, or a dial that comes up just then
    /// could still write a statement that has been answered.
    answers: Vec<(Reply, Answer)>,
    /// Probes out at each database host that has any.
    probes: BTreeMap<usize, usize>,
    /// Statements that may be over once the decisions of this round are out.
    ending: Vec<u64>,
    /// When it decided last.
    decided: f64,
}

/// Seconds between looks that nothing but the time calls for. Timers of the platform are no finer; a sleep of nothing
/// would spin.
const SHORTEST_SLEEP: f64 = 0.001;
/// Sessions that have written, the latest; about 0.5 MB of names. Their writes are what replicas may lag behind,
/// for seconds. An index that is used again brings an older write's position along, so a read of the new session
/// is at worst kept from a replica that lags behind that.
const MOST_SESSIONS: usize = 1 << 12;

impl Desk {
    pub fn new(
        policy: Instance,
        clock: Clock,
        counters: Arc<Counters>,
        log: Logger,
        orders: Post<Order>,
        seen: Option<Sessions>,
    ) -> Self {
        Desk {
            seen,
            tape: None,
            limits: None,
            ramp: None,
            stall: None,
            longest_return: 0.0,
            policy,
            clock,
            counters,
            log,
            orders,
            decided: f64::NEG_INFINITY,
            hosts: Names::default(),
            groups: Names::default(),
            sessions: Names::bounded(MOST_SESSIONS),
            list: List::default(),
            open: BTreeMap::new(),
            ids: BTreeSet::new(),
            answers: Vec::new(),
            probes: BTreeMap::new(),
            ending: Vec::new(),
        }
    }

    /// Takes all that waits and lets the decisions say what follows, or where nothing waits looks whether they want
    /// to look again. `false` where there was nothing to do.
    pub fn turn(&mut self, mailbox: &Mailbox<Mail>) -> bool {
        let mut took = false;
        while let Some(mail) = mailbox.try_recv() {
            self.take(mail);
            took = true;
        }
        let now = self.clock.now();
        if self.stall.as_ref().is_some_and(|s| s.holds(now)) {
            // What is known is of before a stop: the list is to come in first.
            return took;
        }
        if took || self.due() <= now {
            self.decide();
            return true;
        }
        false
    }

    /// When the decisions want to look again; infinite where never.
    pub fn due(&self) -> f64 {
        let decides = self.policy.wake_at().map_or(f64::INFINITY, |at| at.max(self.decided + SHORTEST_SLEEP));
        match &self.stall {
            Some(stall) if stall.holds(self.clock.now()) => stall.due(),
            Some(stall) => decides.min(stall.due()),
            None => decides,
        }
    }

    /// The loop looks at the time: one that comes much too late tells that this process stood still.
    pub fn look(&mut self) {
        let now = self.clock.now();
        if let Some(stood) = self.stall.as_mut().and_then(|s| s.look(now)) {
            warn!(self.log, "stood still for {stood:.1} s: what is known is of before that");
            self.counters.stalls.add();
        }
    }

    fn take(&mut self, mail: Mail) {
        let now = self.clock.now();
        match mail {
            Mail::Asked(asked) => {
                if !self.ids.insert(asked.id.clone()) {
                    return asked.reply.give(Answer::Unusable);
                }
                self.counters.taken.add();
                if let Some(tape) = &self.tape {
                    tape.note(Seen {
                        at: now,
                        workload: asked.workload,
                        group: asked.group.clone(),
                        session: asked.session.clone(),
                        wait: asked.until - now,
                        again: asked.retry,
                    });
                }
                // Groups that no list has named share one that has no members, or clients could fill the
                // memory with names.
                let group = self.groups.find(&asked.group).unwrap_or_else(|| self.groups.of(""));
                if let Some((limits, most)) = &mut self.limits {
                    if limits.asked(now, asked.workload, group, asked.retry) == Entry::Later {
                        // It never reaches the decisions: nothing was sent, so trying again is harmless.
                        self.ids.remove(&asked.id);
                        self.counters.turned_away.add();
                        self.counters.rejected.add();
                        let after = limits.return_after(now, *most);
                        return asked.reply.give(Answer::Rejected(after));
                    }
                }
                // Came while this process stood still, nobody knows when: its time may be over, and nothing was sent.
                let lost = self.stall.as_ref().map_or(0.0, |s| s.lost(now));
                if lost > 0.0 && asked.until - lost <= now {
                    self.ids.remove(&asked.id);
                    self.counters.rejected.add();
                    return asked.reply.give(Answer::Rejected(self.longest_return));
                }
                if let Some((ramp, most)) = &mut self.ramp {
                    if ramp.asked(asked.stmt) == Door::Later {
                        self.ids.remove(&asked.id);
                        self.counters.ramped.add();
                        self.counters.rejected.add();
                        let after =
                            self.limits.as_mut().map_or(*most, |(l, most)| l.return_after(now, *most));
                        return asked.reply.give(Answer::Rejected(after));
                    }
                }
                let term = self.policy.term(group);
                let wish = self.seen.as_mut().and_then(|seen| seen.asked(now, &asked, term));
                let arrival = Arrival {
                    workload: asked.workload,
                    group,
                    // One that has written nothing needs nothing, and is not worth a name.
                    session: asked.session.and_then(|name| match asked.writes {
                        true => Some(self.sessions.of(&name)),
                        false => self.sessions.find(&name),
                    }),
                    time_left: asked.until - now,
                    token_age: asked.after.map(|at| (now - at).max(0.0)),
                    retry: asked.retry,
                    reach: wish.as_ref().and_then(Wish::reach),
                };
                let open = Open {
                    id: asked.id,
                    group: arrival.group,
                    parcel: asked.parcel,
                    reply: Some(asked.reply),
                    hosts: Vec::new(),
                    wish,
                    workload: asked.workload,
                    retry: asked.retry,
                };
                self.open.insert(asked.stmt, open);
                self.policy.arrived(now, asked.stmt, &arrival);
            }
            Mail::ClientGone(stmt) => {
                if let Some(open) = self.open.get_mut(&stmt).filter(|o| o.reply.is_some()) {
                    self.counters.clients_gone.add();
                    open.reply = None;
                    self.ending.push(stmt);
                    if let Some((ramp, _)) = &mut self.ramp {
                        ramp.ended(stmt, false);
                    }
                    self.policy.client_gone(now, stmt);
                }
            }
            Mail::Ended { stmt, execution, mut outcome } => {
                let Some(open) = self.open.get_mut(&stmt) else { return };
                if let (Some(term), Some(&host)) = (outcome.term, open.hosts.get(execution)) {
                    if !self.policy.follows(host, term) {
                        // Of an older term than its group's: how far it is there says nothing.
                        outcome.note.position = None;
                    }
                }
                if let (Some(seen), Some(wish)) = (&mut self.seen, &open.wish) {
                    seen.verify(wish, &mut outcome);
                }
                if outcome.ending == Ending::Completed {
                    if let Some(reply) = open.reply.take() {
                        self.counters.completed.add();
                        if let Some((ramp, _)) = &mut self.ramp {
                            ramp.ended(stmt, true);
                        }
                        if let Some((limits, _)) = &mut self.limits {
                            limits.answered(now, open.workload, open.group, true, !open.retry);
                        }
                        let rows = std::mem::take(&mut outcome.rows);
                        match (&mut self.seen, &open.wish) {
                            (Some(seen), Some(wish)) => seen.completed(now, wish, &outcome, rows, reply),
                            _ => reply.give(Answer::Completed(rows, None)),
                        }
                    } else if let (Some(seen), Some(wish)) = (&mut self.seen, &open.wish) {
                        seen.unheard(now, wish, &outcome);
                    }
                }
                let over = open.reply.is_none();
                self.ending.push(stmt);
                self.policy.ended(now, stmt, execution, outcome.ending.verdict(), over, outcome.note);
            }
            Mail::Probed { host, mut outcome } => {
                if outcome.term.is_some_and(|term| !self.policy.follows(host, term)) {
                    outcome.note.position = None;
                }
                if let Some(out) = self.probes.get_mut(&host) {
                    *out = out.saturating_sub(1);
                }
                self.policy.probed(now, host, outcome.ending == Ending::Completed, outcome.note);
            }
            Mail::Sessions(word) => {
                if let Some(seen) = &mut self.seen {
                    seen.heard(now, word);
                }
            }
            Mail::Listed(update) => {
                if let Some(stall) = &mut self.stall {
                    stall.heard();
                }
                for (name, address) in update.addresses {
                    let host = self.hosts.of(&name);
                    self.orders.send(Order::Known { host, name, address });
                }
                for entry in &update.entries {
                    if self.groups.find(&entry.group).is_none() {
                        info!(self.log, "group {} is {}", self.groups.of(&entry.group), entry.group);
                    }
                }
                let list = self.list.merge(update.whole, &update.entries, &mut self.hosts, &mut self.groups);
                self.policy.members(now, &list);
                self.forget();
            }
        }
    }

    /// Lets go of hosts that have left for good, and of groups that have no host left. A host with a probe out
    /// stays until the next list, or its answer would count for whoever has the index by then.
    fn forget(&mut self) {
        let (policy, probes) = (&mut self.policy, &mut self.probes);
        probes.retain(|_, out| *out > 0);
        for (name, host) in self.list.drop_gone(|host| !probes.contains_key(&host) && policy.forget(host)) {
            info!(self.log, "host {host} is forgotten"; "host" => &name);
            self.orders.send(Order::End(host));
            self.hosts.release(&name);
        }
        let open: BTreeSet<usize> = self.open.values().map(|open| open.group).collect();
        let left = |group: usize| !self.list.has_group(group) && !open.contains(&group);
        self.groups.release_where(left);
    }

    fn decide(&mut self) {
        let now = self.clock.now();
        self.decided = now;
        self.policy.passed(now);
        while let Some(decision) = self.policy.decide() {
            match decision {
                Decision::Send { stmt, host, time_out } => {
                    let Some(open) = self.open.get_mut(&stmt) else { continue };
                    let errand =
                        Errand::Statement { stmt, execution: open.hosts.len(), parcel: open.parcel.clone() };
                    open.hosts.push(host);
                    self.orders.send(Order::Do(host, Job { errand, until: now + time_out }));
                }
                Decision::Reject { stmt, return_after } => {
                    self.counters.rejected.add();
                    let after = match &mut self.limits {
                        Some((limits, _)) => limits.return_after(now, return_after),
                        None => return_after,
                    };
                    self.answer(stmt, Answer::Rejected(after));
                }
                Decision::Abort { stmt } => {
                    self.counters.aborted.add();
                    self.answer(stmt, Answer::Aborted);
                }
                Decision::Recall { stmt, execution } => {
                    if let Some(&host) = self.open.get(&stmt).and_then(|o| o.hosts.get(execution)) {
                        self.orders.send(Order::Recall { host, stmt, execution });
                    }
                }
                Decision::Probe { host } => {
                    *self.probes.entry(host).or_default() += 1;
                    self.orders.send(Order::Probe(host));
                }
                // The watch stands from the start and reopens by itself.
                Decision::Subscribe => {}
                Decision::Log(line) => info!(self.log, "decisions: {line}"),
            }
        }
        if let Some((limits, _)) = &mut self.limits {
            for change in limits.changes() {
                let state = if change.begins { "begins" } else { "is over" };
                info!(self.log, "a storm {state}: {:?}", change.sign);
                if change.begins {
                    self.counters.storms.add();
                }
            }
        }
        for (reply, answer) in self.answers.drain(..) {
            reply.give(answer);
        }
        for stmt in self.ending.drain(..) {
            if !self.policy.holds(stmt) {
                if let Some(open) = self.open.remove(&stmt) {
                    self.ids.remove(&open.id);
                }
            }
        }
    }

    fn answer(&mut self, stmt: u64, answer: Answer) {
        self.ending.push(stmt);
        let Some(open) = self.open.get_mut(&stmt) else { return };
        if let Some(reply) = open.reply.take() {
            if let Some((ramp, _)) = &mut self.ramp {
                ramp.ended(stmt, false);
            }
            if let Some((limits, _)) = &mut self.limits {
                limits.answered(self.decided, open.workload, open.group, false, !open.retry);
            }
            self.answers.push((reply, answer));
        }
    }
}
