//! The database hosts: for each the pool of its links, and for each link its socket beside its state machine.
use crate::budget::{Holder, IdleKey};
use crate::counters::Counters;
use crate::dialling::{dial_ending, is_up};
use crate::errno::{accept_failure, is_local, AcceptFailure};
use crate::loop_context::{LoopContext, TURN};
use crate::mailbox::MailboxSender;
use crate::outcome::{Ending, Outcome};
use crate::pool::{Lookup, NextUse, Placement, Pool};
use crate::socket::{Moved, Wire};
use crate::task::{HostTask, TaskKind};
use crate::upstream_connection::{Event, UpstreamConnection};
use mio::net::TcpStream;
use mio::Token;
use sandstile_dispatcher::{Command, DispatcherMessage};
use sandstile_restart_pacing::{DialDecision, DialOutcome, DialPacer};
use slab::Slab;
use slog::{debug, info, o, Logger};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

struct Host {
    pool: Pool,
    log: Logger,
    /// When its endings of each kind were logged last, and how many were not since.
    causes: BTreeMap<Ending, (f64, u64)>,
    /// The time of the timer that stands for its idle links.
    armed: f64,
}

struct Seat {
    host: usize,
    line: UpstreamConnection,
    wire: Option<Wire>,
    queued: bool,
    armed: f64,
    idle: Option<IdleKey>,
    /// When its dial began, while that is under way and somebody counts.
    began: Option<f64>,
    wanted_at: f64,
    /// It has waited for its turn, and was counted for that.
    held: bool,
    /// Until when its dial is begun again, once one has failed for this machine's own trouble.
    local_until: Option<f64>,
}

impl Seat {
    /// When its socket is to be looked at though nothing was told: not one that rests, which is looked at before use.
    fn look_due(&self) -> f64 {
        match &self.wire {
            Some(wire) if !self.line.idle() => wire.look_due(),
            _ => f64::INFINITY,
        }
    }
}

pub struct Hosts {
    hosts: Vec<Option<Host>>,
    seats: Slab<Seat>,
    dispatcher: MailboxSender<DispatcherMessage>,
    counters: Arc<Counters>,
    log: Logger,
    /// Links that wait for a descriptor, with where they go.
    wanted: VecDeque<(usize, SocketAddr)>,
    /// What has happened to links and is still to be acted on.
    events: VecDeque<(usize, Event)>,
    /// When a dial may begin, where our own file turns that on.
    pub dials: Option<DialPacer>,
    /// When the next that waits for its turn may; infinite where none does.
    turn_at: f64,
    /// No dial begins before: the last one failed for this machine's own trouble.
    paused_until: f64,
    /// Seconds for a connection to come up, or for an answer that has begun to go on: what the network of this
    /// deployment needs at most.
    dial_limit: f64,
    /// Seconds for which a link may rest: well before the host would close it, for a statement written across its
    /// closing may have run.
    rest_limit: f64,
}

/// Seconds for which a dial that failed for this machine's own trouble is begun again before its statement is told, and
/// seconds between those tries.
const LOCAL_PATIENCE: f64 = 0.05;
const LOCAL_PAUSE: f64 = 0.005;

/// What one dial came to here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialled {
    Begun,
    Failed,
    /// This process may have no more descriptors: something idle is to go.
    DescriptorsSpent,
}

/// Tokens of links are odd; those of hosts, for timers alone, lie above all others.
pub fn token(key: usize) -> Token {
    Token(2 * key + 3)
}

pub const HOSTS: usize = usize::MAX / 2;

impl Hosts {
    pub fn new(
        dispatcher: MailboxSender<DispatcherMessage>,
        counters: Arc<Counters>,
        log: Logger,
        dial_limit: f64,
        idle_close: f64,
    ) -> Self {
        Hosts {
            hosts: Vec::new(),
            seats: Slab::new(),
            dispatcher,
            counters,
            log,
            wanted: VecDeque::new(),
            events: VecDeque::new(),
            dials: None,
            turn_at: f64::INFINITY,
            paused_until: f64::NEG_INFINITY,
            dial_limit,
            rest_limit: idle_close * 0.75,
        }
    }

    fn host(&mut self, host: usize) -> &mut Host {
        // The decisions name no host that no list has named, and none that was forgotten.
        self.hosts.get_mut(host).and_then(Option::as_mut).expect("a pool for each host")
    }

    pub fn order(&mut self, order: Command, context: &mut LoopContext) {
        match order {
            Command::UpdateHost { host, name, address } => self.known(host, &name, address, context),
            Command::RemoveHost(host) => {
                let connections: Vec<usize> = self.host(host).pool.connections().collect();
                connections.into_iter().for_each(|key| self.close(key, context));
                self.hosts[host] = None;
                self.counters.hosts.decrement();
                if let Some(dials) = &mut self.dials {
                    dials.forget(host);
                }
            }
            Command::Start(host, task) => self.begin(host, task, context),
            Command::Probe(host) => {
                self.counters.probes.add();
                let deadline = context.clock.now() + self.dial_limit;
                self.begin(host, HostTask { kind: TaskKind::Probe, deadline }, context);
            }
            Command::Cancel { host, statement_id, execution } => {
                self.recall(host, (statement_id, execution), true, context)
            }
            Command::CancelUnsent { host, statement_id, execution } => {
                self.recall(host, (statement_id, execution), false, context)
            }
            Command::RouterCount(n) => {
                if let Some(dials) = &mut self.dials {
                    dials.set_router_count(n);
                }
            }
        }
        self.act(context);
    }

    fn known(&mut self, host: usize, name: &str, address: Option<SocketAddr>, context: &mut LoopContext) {
        if self.hosts.len() <= host {
            self.hosts.resize_with(host + 1, || None);
        }
        if self.hosts[host].is_none() {
            info!(self.log, "host {host} is {name}"; "address" => address.map(|at| at.to_string()));
            self.counters.hosts.add();
            let log = self.log.new(o!("host" => name.to_string()));
            let (pool, causes, armed) = (Pool::default(), BTreeMap::new(), f64::INFINITY);
            self.hosts[host] = Some(Host { pool, log, causes, armed });
        }
        let Some(address) = address else { return };
        let known_before = self.host(host).pool.has_address();
        let Some(connections) = self.host(host).pool.set_address(address) else { return };
        if known_before {
            info!(self.host(host).log, "address is {address}");
        }
        for key in connections {
            self.counters.ended(Ending::Moved);
            self.close(key, context);
        }
        for _ in 0..self.dials.as_ref().map_or(0, DialPacer::initial_dials) {
            self.want(host, address, context);
        }
    }

    /// One more link is to be dialled.
    fn want(&mut self, host: usize, address: SocketAddr, context: &LoopContext) {
        self.counters.dialled.add();
        let line = UpstreamConnection::new(context.clock.now() + self.dial_limit, self.dial_limit);
        let (armed, idle, began, held) = (f64::INFINITY, None, None, false);
        let wanted_at = context.clock.now();
        let (wire, queued, local_until) = (None, false, None);
        let seat = Seat { host, line, wire, queued, armed, idle, began, wanted_at, held, local_until };
        let key = self.seats.insert(seat);
        self.host(host).pool.dialled(key);
        self.wanted.push_back((key, address));
    }

    /// A job takes an idle link, if that is still of use, or waits for a dial.
    fn begin(&mut self, host: usize, mut task: HostTask, context: &mut LoopContext) {
        loop {
            match self.host(host).pool.begin(task) {
                Placement::Assign(key, handed) => {
                    self.wake(key, context);
                    if self.quiet(key) {
                        return self.hand(key, handed, context);
                    }
                    self.host(host).pool.remove_stale(key);
                    self.counters.ended(Ending::IdleEnded);
                    self.close(key, context);
                    task = handed;
                }
                Placement::Dial(address) => {
                    self.want(host, address, context);
                    return;
                }
                Placement::End(task, ending) => return self.report(host, task, ending.into(), context),
            }
        }
    }

    fn quiet(&self, key: usize) -> bool {
        self.seats[key].wire.as_ref().is_some_and(Wire::quiet)
    }

    /// Strikes an idle link's record out.
    fn wake(&mut self, key: usize, context: &mut LoopContext) {
        if let Some(rest) = self.seats[key].idle.take() {
            context.budget.remove_idle(rest);
        }
    }

    fn hand(&mut self, key: usize, task: HostTask, context: &mut LoopContext) {
        if task.execution_id().is_some() {
            self.counters.sent.add();
        }
        if let Some(event) = self.seats[key].line.begin(context.clock.now(), task) {
            self.events.push_back((key, event));
        }
        self.run(key, context);
    }

    /// Ends an execution that waits for a link, and, where `sent` says so, one that is under way.
    fn recall(&mut self, host: usize, execution_id: (u64, usize), sent: bool, context: &mut LoopContext) {
        match self.host(host).pool.find(execution_id) {
            Lookup::Waiting(task) => self.report(host, task, Ending::WithdrawnUnsent.into(), context),
            Lookup::Running(key) if sent => {
                // An answer that has come by now counts: nobody has to wonder then whether it ran.
                if let Some(wire) = &mut self.seats[key].wire {
                    wire.look();
                }
                self.run(key, context);
                let Some(seat) = self.seats.get_mut(key) else { return };
                if let Some(event) = seat.line.withdraw(execution_id, &mut context.budget) {
                    self.events.push_back((key, event));
                }
            }
            Lookup::Running(_) | Lookup::NotFound => {}
        }
    }

    /// The next link that waits for a descriptor, brought to the front.
    pub fn wanting(&mut self, now: f64) -> bool {
        // Its time may be over by now, and its name another's.
        let stands = |seat: &Seat| seat.wire.is_none() && !seat.line.dialling();
        self.turn_at = f64::INFINITY;
        if now < self.paused_until {
            self.turn_at = if self.wanted.is_empty() { f64::INFINITY } else { self.paused_until };
            return false;
        }
        let Some(dials) = &mut self.dials else {
            while let Some((key, _)) = self.wanted.front() {
                if self.seats.get(*key).is_some_and(stands) {
                    return true;
                }
                self.wanted.pop_front();
            }
            return false;
        };
        let seats = &mut self.seats;
        self.wanted.retain(|(key, _)| seats.get(*key).is_some_and(stands));
        for at in 0..self.wanted.len() {
            let Some(seat) = seats.get_mut(self.wanted[at].0) else { continue };
            let when = dials.decide(now, seat.host);
            if when != DialDecision::Now && !std::mem::replace(&mut seat.held, true) {
                self.counters.dials_held.add();
            }
            match when {
                DialDecision::Now => {
                    self.wanted.swap(0, at);
                    return true;
                }
                DialDecision::At(turn) => self.turn_at = self.turn_at.min(turn),
                DialDecision::AfterCurrent => {}
            }
        }
        false
    }

    /// When a dial that waits for its turn may begin.
    pub fn due(&self) -> f64 {
        self.turn_at
    }

    /// A dial is no longer under way: up, or come to nothing.
    fn dialled(&mut self, key: usize, failed: Option<Ending>, now: f64) {
        let Some(seat) = self.seats.get_mut(key) else { return };
        if let (Some(dials), Some(began)) = (&mut self.dials, seat.began.take()) {
            let came = match failed {
                None => DialOutcome::Connected(now - began),
                Some(Ending::DialTimedOut) => DialOutcome::TimedOut,
                Some(_) => DialOutcome::Refused,
            };
            dials.dial_ended(now, seat.host, came);
        }
    }

    /// Dials it; a descriptor has been counted for it.
    pub fn dial(&mut self, context: &mut LoopContext) -> Dialled {
        let Some((key, address)) = self.wanted.pop_front() else { return Dialled::Failed };
        let dialled = TcpStream::connect(address).and_then(|stream| {
            // Without it statements may go out a little later.
            let _ = stream.set_nodelay(true);
            Wire::new(&context.registry, stream, token(key), false).map_err(|(_, e)| e)
        });
        let now = context.clock.now();
        let seat = &mut self.seats[key];
        self.counters.longest_dial_wait_ms.record_max_ms(now - seat.wanted_at);
        if let Some(e) = dialled.as_ref().err().filter(|e| is_local(e)) {
            if now < *seat.local_until.get_or_insert(now + LOCAL_PATIENCE) {
                return self.dial_again(key, address, e, context);
            }
        }
        if let Some(dials) = &mut self.dials {
            seat.line.dialled_with_deadline(now + self.dial_limit);
            seat.began = Some(now);
            dials.dial_started(now, seat.host);
        } else {
            seat.line.dialled();
        }
        match dialled {
            Ok(mut wire) => {
                wire.moved(now);
                seat.wire = Some(wire);
                self.arm(key, context);
                Dialled::Begun
            }
            Err(e) => {
                context.budget.release(Holder::UpstreamConnection);
                let event = seat.line.failed(dial_ending(&e));
                self.events.extend(event.map(|event| (key, event)));
                self.act(context);
                Dialled::Failed
            }
        }
    }

    /// This machine's own trouble says nothing of the host, and no statement is given up for its first moment.
    fn dial_again(
        &mut self,
        key: usize,
        address: SocketAddr,
        error: &std::io::Error,
        context: &mut LoopContext,
    ) -> Dialled {
        context.budget.release(Holder::UpstreamConnection);
        context.counters.dials_repeated.add();
        let host = self.seats[key].host;
        debug!(self.host(host).log, "dialled again soon: {error}");
        self.wanted.push_front((key, address));
        self.paused_until = context.clock.now() + LOCAL_PAUSE;
        match accept_failure(error) {
            AcceptFailure::DescriptorsSpent => Dialled::DescriptorsSpent,
            _ => Dialled::Failed,
        }
    }

    pub fn told(&mut self, key: usize, event: &mio::event::Event, context: &mut LoopContext) {
        let Some(seat) = self.seats.get_mut(key) else { return };
        let Some(wire) = &mut seat.wire else { return };
        wire.told(event);
        self.queue(key, context);
    }

    fn queue(&mut self, key: usize, context: &mut LoopContext) {
        let seat = &mut self.seats[key];
        if !std::mem::replace(&mut seat.queued, true) {
            context.queue.push_back(token(key));
        }
    }

    pub fn called(&mut self, key: usize, context: &mut LoopContext) {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.queued = false;
            self.run(key, context);
            self.act(context);
        }
    }

    /// A timer that may be this link's. What has come meanwhile is taken first.
    pub fn timer(&mut self, key: usize, at: f64, context: &mut LoopContext) {
        let Some(seat) = self.seats.get_mut(key).filter(|seat| seat.armed == at) else { return };
        seat.armed = f64::INFINITY;
        let now = context.clock.now();
        let (time_up, look) = (seat.line.due() <= now, seat.look_due() <= now);
        if time_up || look {
            if let Some(wire) = &mut seat.wire {
                wire.look_again(now);
                wire.look();
            }
            self.run(key, context);
            if let Some(seat) = self.seats.get_mut(key) {
                if let Some(event) = seat.line.handle_deadline(context.clock.now(), &mut context.budget) {
                    self.events.push_back((key, event));
                }
            }
            self.act(context);
        }
        if self.seats.contains(key) {
            self.arm(key, context);
        }
    }

    /// A timer that may be this host's: closes what has rested too long.
    pub fn host_timer(&mut self, host: usize, at: f64, context: &mut LoopContext) {
        let before = context.clock.now() - self.rest_limit;
        let Some(h) = self.hosts.get_mut(host).and_then(Option::as_mut).filter(|h| h.armed == at) else {
            return;
        };
        h.armed = f64::INFINITY;
        while let Some((key, _)) = self.host(host).pool.oldest_idle().filter(|(_, since)| *since <= before) {
            self.leave(key, Ending::IdleExpired, context);
        }
        self.arm_host(host, context);
    }

    fn arm_host(&mut self, host: usize, context: &mut LoopContext) {
        let limit = self.rest_limit;
        let h = self.host(host);
        let due = h.pool.oldest_idle().map_or(f64::INFINITY, |(_, since)| since + limit);
        if due < h.armed {
            h.armed = due;
            context.timers.push(due, Token(HOSTS + host));
        }
    }

    fn arm(&mut self, key: usize, context: &mut LoopContext) {
        let seat = &mut self.seats[key];
        let due = seat.line.due().min(seat.look_due());
        if due < seat.armed {
            seat.armed = due;
            context.timers.push(due, token(key));
        }
    }

    /// An idle link goes, for whatever reason of this machine.
    pub fn leave(&mut self, key: usize, ending: Ending, context: &mut LoopContext) {
        let Some(seat) = self.seats.get_mut(key).filter(|seat| seat.line.idle()) else { return };
        seat.line.leave();
        let host = seat.host;
        self.host(host).pool.idle_closed(key);
        self.counters.ended(ending);
        self.close(key, context);
    }

    fn close(&mut self, key: usize, context: &mut LoopContext) {
        let Some(mut seat) = self.seats.try_remove(key) else { return };
        if let Some(rest) = seat.idle {
            context.budget.remove_idle(rest);
        }
        seat.line.release(&mut context.budget);
        if let Some(wire) = seat.wire {
            wire.close(&context.registry);
            context.budget.release(Holder::UpstreamConnection);
        }
    }

    /// As much as one link may do before the others have their turn.
    fn run(&mut self, key: usize, context: &mut LoopContext) {
        for turn in 0.. {
            let Some(seat) = self.seats.get_mut(key) else { return };
            let Some(wire) = &mut seat.wire else { return };
            let mut event = None;
            if seat.line.dialling() {
                if !wire.writable() {
                    break;
                }
                event = match is_up(wire.stream()) {
                    Ok(true) => {
                        seat.line.connected();
                        None
                    }
                    Ok(false) => {
                        wire.unwritable();
                        break;
                    }
                    Err(ending) => seat.line.failed(ending),
                };
            }
            let mut moved = false;
            match wire.write(seat.line.pending_output()) {
                Moved::Bytes(put) => {
                    seat.line.wrote(put);
                    wire.moved(context.clock.now());
                    moved = true;
                }
                Moved::Later => wire.moved(context.clock.now()),
                Moved::Ended | Moved::Broken(_) => event = event.or(seat.line.closed(&mut context.budget)),
                Moved::Nothing => {}
            }
            if event.is_none() {
                let wanted_bytes = seat.line.wanted_bytes().min(context.scratch.len());
                match wire.read(&mut context.scratch[..wanted_bytes]) {
                    Moved::Bytes(got) => {
                        let now = context.clock.now();
                        if wire.unannounced() {
                            context.counters.found_by_look.add();
                        }
                        wire.moved(now);
                        event = seat.line.receive(now, &context.scratch[..got], &mut context.budget);
                        moved = true;
                    }
                    Moved::Later => wire.moved(context.clock.now()),
                    Moved::Ended | Moved::Broken(_) => event = seat.line.closed(&mut context.budget),
                    Moved::Nothing => {}
                }
            }
            if let Some(event) = event {
                self.events.push_back((key, event));
                break;
            }
            if !moved {
                break;
            }
            if turn >= TURN {
                self.queue(key, context);
                break;
            }
        }
        if self.seats.contains(key) {
            self.arm(key, context);
        }
    }

    /// Acts on what has happened to links until nothing more follows from it.
    fn act(&mut self, context: &mut LoopContext) {
        while let Some((key, event)) = self.events.pop_front() {
            let Some(seat) = self.seats.get(key) else { continue };
            let host = seat.host;
            match event {
                Event::Ready => {
                    self.dialled(key, None, context.clock.now());
                    if self.quiet(key) {
                        let free = self.host(host).pool.dial_succeeded(key, context.clock.now());
                        self.freed(host, key, free, true, context);
                    } else {
                        self.dial_failed(host, key, Ending::DialBroken, context);
                    }
                }
                Event::Failed(ending) => self.dial_failed(host, key, ending, context),
                Event::IdleClosed(ending) => {
                    self.host(host).pool.idle_closed(key);
                    self.counters.ended(ending);
                    self.close(key, context);
                }
                Event::Done { task, outcome, reusable } => {
                    // With more behind the answer than belongs to it, it is of no use to what waits.
                    let spoilt = reusable && self.host(host).pool.waiting() > 0 && !self.quiet(key);
                    if spoilt {
                        self.counters.ended(Ending::IdleEnded);
                    }
                    let reusable = reusable && !spoilt;
                    if !reusable {
                        self.close(key, context);
                    }
                    // The pool first: a further execution for this host is to find the link free.
                    let free = self.host(host).pool.task_done(key, reusable, context.clock.now());
                    self.report(host, task, outcome, context);
                    self.freed(host, key, free, false, context);
                }
            }
        }
    }

    /// A link with nothing to do has been given something, rests, or is of no use any more.
    fn freed(&mut self, host: usize, key: usize, free: NextUse, fresh: bool, context: &mut LoopContext) {
        match free {
            NextUse::Assign(task) => self.hand(key, task, context),
            NextUse::Idle => {
                self.seats[key].idle = Some(context.budget.mark_idle(Holder::UpstreamConnection, key));
                self.arm_host(host, context);
            }
            NextUse::Moved if fresh => self.dial_failed(host, key, Ending::Moved, context),
            NextUse::Moved => {
                if self.seats.contains(key) {
                    self.counters.ended(Ending::Moved);
                    self.close(key, context);
                }
            }
        }
    }

    /// A dial less.
    fn dial_failed(&mut self, host: usize, key: usize, ending: Ending, context: &mut LoopContext) {
        self.dialled(key, Some(ending), context.clock.now());
        self.close(key, context);
        match self.host(host).pool.dial_failed(key) {
            Some(task) => self.report(host, task, ending.into(), context),
            None => self.ended(host, ending, context),
        }
    }

    fn report(&mut self, host: usize, task: HostTask, outcome: Outcome, context: &LoopContext) {
        self.ended(host, outcome.ending, context);
        self.dispatcher.send(match task.kind {
            TaskKind::Statement { statement_id, execution, .. } => {
                DispatcherMessage::Ended { statement_id, execution, outcome }
            }
            TaskKind::Probe => DispatcherMessage::Probed { host, outcome },
        });
    }

    /// Counts an ending, and logs it where it is out of the ordinary: each cause once a second and host, for
    /// a host that is down ends statements by the hundred.
    fn ended(&mut self, host: usize, ending: Ending, context: &LoopContext) {
        self.counters.ended(ending);
        if ending.ordinary() {
            return;
        }
        let now = context.clock.now();
        let h = self.host(host);
        debug!(h.log, "{ending:?}");
        let (at, more) = h.causes.entry(ending).or_insert((0.0, 0));
        if now < *at + 1.0 {
            *more += 1;
        } else {
            info!(h.log, "ended: {ending:?}"; "unlogged_before" => std::mem::take(more));
            *at = now;
        }
    }
}
