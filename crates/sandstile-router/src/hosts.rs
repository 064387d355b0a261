//! The database hosts: a pool of upstream connections for each host, and for each connection its socket and state
//! machine.
use crate::budget::Holder;
use crate::counters::Counters;
use crate::dial_queue::{DialQueue, PendingDial};
use crate::dialling::{dial_ending, is_up};
use crate::errno::{classify_accept_error, is_local_error, AcceptFailure};
use crate::loop_context::{LoopContext, MAX_STEPS_PER_TURN};
use crate::mailbox::MailboxSender;
use crate::outcome::{Ending, Outcome};
use crate::pool::{Lookup, NextUse, Placement, Pool};
use crate::socket::{Socket, Transfer};
use crate::task::{HostTask, TaskKind};
use crate::upstream_connection::Event;
use crate::upstream_slot::UpstreamSlot;
use mio::net::TcpStream;
use mio::Token;
use sandstile_dispatcher::{Command, DispatcherMessage, StartStep};
use sandstile_restart_pacing::{DialOutcome, DialPacer};
use slab::Slab;
use slog::{debug, info, o, Logger};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

struct Host {
    pool: Pool,
    log: Logger,
    /// For each kind of outcome, when it was last logged and how many were not logged since.
    outcome_log: BTreeMap<Ending, (f64, u64)>,
    /// When the timer for its idle connections is due.
    timer_due: f64,
}

/// Whether a task that waits for a connection to this host may still take this step.
pub type StartCheck<'a> = &'a mut dyn FnMut(usize, &HostTask, StartStep) -> bool;

pub struct Hosts {
    hosts: Vec<Option<Host>>,
    slots: Slab<UpstreamSlot>,
    dispatcher_sender: MailboxSender<DispatcherMessage>,
    counters: Arc<Counters>,
    log: Logger,
    dial_queue: DialQueue,
    /// Hosts at which a waiting task may be able to begin.
    startable_hosts: BTreeSet<usize>,
    /// Hosts whose waiting tasks have to be checked, as what is known of the host has changed.
    changed_hosts: BTreeSet<usize>,
    /// Connections that could write the first byte of their task only later than it was decided.
    unstarted: Vec<usize>,
    /// Events of upstream connections that have not been handled yet.
    events: VecDeque<(usize, Event)>,
    /// Seconds for a connection to be established, or between parts of an answer: the maximum that the network of
    /// this deployment needs.
    dial_timeout: f64,
    /// Seconds for which a connection may be idle: well below the host's own idle timeout, for a statement that is
    /// written while the host closes the connection may have run.
    idle_limit: f64,
}

/// Seconds for which a dial that failed with a local error is retried before its statement fails, and seconds
/// between the tries.
const LOCAL_RETRY_TIMEOUT_S: f64 = 0.05;
const LOCAL_RETRY_PAUSE_S: f64 = 0.005;

/// Result of starting one dial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialResult {
    Started,
    Failed,
    /// This process has reached its descriptor limit: an idle connection has to be closed.
    DescriptorsSpent,
}

/// Tokens of upstream connections are odd. Those of hosts, used for timers only, lie above all others.
pub fn token(key: usize) -> Token {
    Token(2 * key + 3)
}

pub const HOST_TIMER_TOKENS: usize = usize::MAX / 2;

impl Hosts {
    pub fn new(
        dispatcher_sender: MailboxSender<DispatcherMessage>,
        counters: Arc<Counters>,
        log: Logger,
        dial_timeout: f64,
        idle_close: f64,
    ) -> Self {
        Hosts {
            hosts: Vec::new(),
            slots: Slab::new(),
            dispatcher_sender,
            counters,
            log,
            dial_queue: DialQueue::default(),
            startable_hosts: BTreeSet::new(),
            changed_hosts: BTreeSet::new(),
            unstarted: Vec::new(),
            events: VecDeque::new(),
            dial_timeout,
            idle_limit: idle_close * 0.75,
        }
    }

    fn host(&mut self, host: usize) -> &mut Host {
        // The policy only names hosts that a list has named and that have not been forgotten.
        self.hosts.get_mut(host).and_then(Option::as_mut).expect("a pool for each host")
    }

    pub fn handle_command(&mut self, command: Command, context: &mut LoopContext) {
        match command {
            Command::UpdateHost { host, name, address } => self.update_host(host, &name, address, context),
            Command::RemoveHost(host) => {
                let connections: Vec<usize> = self.host(host).pool.connections().collect();
                connections.into_iter().for_each(|key| self.close(key, context));
                self.hosts[host] = None;
                self.counters.hosts.decrement();
                if let Some(pacer) = &mut self.dial_queue.pacer {
                    pacer.forget(host);
                }
            }
            Command::Start(host, task) => self.start_task(host, task, context),
            Command::Probe(host) => {
                self.counters.probes.add();
                let deadline = context.clock.now() + self.dial_timeout;
                self.start_task(host, HostTask { kind: TaskKind::Probe, deadline }, context);
            }
            Command::Cancel { host, statement_id, execution } => {
                self.cancel(host, (statement_id, execution), true, context)
            }
            Command::CancelUnsent { host, statement_id, execution } => {
                self.cancel(host, (statement_id, execution), false, context)
            }
            Command::RecheckWaiting(host) => drop(self.changed_hosts.insert(host)),
            Command::RouterCount(n) => {
                if let Some(pacer) = &mut self.dial_queue.pacer {
                    pacer.set_router_count(n);
                }
            }
        }
        self.process_events(context);
    }

    fn update_host(
        &mut self,
        host: usize,
        name: &str,
        address: Option<SocketAddr>,
        context: &mut LoopContext,
    ) {
        if self.hosts.len() <= host {
            self.hosts.resize_with(host + 1, || None);
        }
        if self.hosts[host].is_none() {
            info!(self.log, "host {host} is {name}"; "address" => address.map(|at| at.to_string()));
            self.counters.hosts.add();
            let log = self.log.new(o!("host" => name.to_string()));
            let (pool, outcome_log, timer_due) = (Pool::default(), BTreeMap::new(), f64::INFINITY);
            self.hosts[host] = Some(Host { pool, log, outcome_log, timer_due });
        }
        let Some(address) = address else { return };
        let had_address = self.host(host).pool.has_address();
        let Some(connections) = self.host(host).pool.set_address(address) else { return };
        if had_address {
            info!(self.host(host).log, "address is {address}");
        }
        for key in connections {
            self.counters.count_ending(Ending::Moved);
            self.close(key, context);
        }
        for _ in 0..self.dial_queue.pacer.as_ref().map_or(0, DialPacer::initial_dials) {
            self.request_dial(host, address, context);
        }
    }

    /// Adds one more connection to be dialled.
    fn request_dial(&mut self, host: usize, address: SocketAddr, context: &mut LoopContext) {
        self.counters.dialled.add();
        let dial_number = self.dial_queue.next_number();
        let slot = UpstreamSlot::new(host, dial_number, context.clock.now(), self.dial_timeout);
        let key = self.slots.insert(slot);
        self.host(host).pool.dial_started(key);
        self.dial_queue.push(PendingDial { key, dial_number, address });
        self.schedule_timer(key, context);
    }

    /// A task takes an idle connection if one is still usable, or waits for a dial.
    fn start_task(&mut self, host: usize, mut task: HostTask, context: &mut LoopContext) {
        let execution_id = task.execution_id();
        loop {
            match self.host(host).pool.begin(task) {
                Placement::Assign(key, assigned) => {
                    self.mark_busy(key, context);
                    if self.is_silent(key) {
                        return self.assign(key, assigned, context);
                    }
                    self.host(host).pool.remove_stale(key);
                    self.counters.count_ending(Ending::IdleEnded);
                    self.close(key, context);
                    task = assigned;
                }
                Placement::Dial(address) => {
                    if let Some((statement_id, execution)) = execution_id {
                        self.dispatcher_sender.send(DispatcherMessage::Waits { statement_id, execution });
                    }
                    return self.request_dial(host, address, context);
                }
                Placement::End(task, ending) => return self.report(host, task, ending.into(), context),
            }
        }
    }

    fn is_silent(&self, key: usize) -> bool {
        self.slots[key].socket.as_ref().is_some_and(Socket::is_silent)
    }

    /// Removes an idle connection from the budget's idle list.
    fn mark_busy(&mut self, key: usize, context: &mut LoopContext) {
        if let Some(idle_key) = self.slots[key].idle_key.take() {
            context.budget.remove_idle(idle_key);
        }
    }

    fn assign(&mut self, key: usize, task: HostTask, context: &mut LoopContext) {
        if task.execution_id().is_some() {
            self.counters.sent.add();
        }
        if let Some(event) = self.slots[key].connection.begin(context.clock.now(), task) {
            self.events.push_back((key, event));
        }
        self.run_checked(key, context);
    }

    /// Runs a connection whose task was decided or checked just now.
    fn run_checked(&mut self, key: usize, context: &mut LoopContext) {
        self.slots[key].may_start = true;
        self.run(key, context);
        if let Some(slot) = self.slots.get_mut(key) {
            slot.may_start = false;
        }
    }

    /// Whether `start_waiting` has something to do.
    pub fn has_startable(&self) -> bool {
        !self.startable_hosts.is_empty() || !self.changed_hosts.is_empty() || !self.unstarted.is_empty()
    }

    /// Starts the tasks that have waited for a connection, each only if `may_start` allows it now; the others end
    /// as `Outdated`. `false` where there was nothing to do.
    pub fn start_waiting(&mut self, may_start: StartCheck, context: &mut LoopContext) -> bool {
        let had_work = self.has_startable();
        while let Some(host) = self.changed_hosts.pop_first() {
            self.recheck_waiting(host, may_start, context);
        }
        while let Some(key) = self.unstarted.pop() {
            self.start_late(key, may_start, context);
        }
        self.process_events(context);
        while let Some(host) = self.startable_hosts.pop_first() {
            while let Some(task) = self.take_startable(host) {
                if may_start(host, &task, StartStep::Begin) {
                    self.start_task(host, task, context);
                } else {
                    self.report(host, task, Ending::Outdated.into(), context);
                }
            }
        }
        self.process_events(context);
        had_work
    }

    fn take_startable(&mut self, host: usize) -> Option<HostTask> {
        self.hosts.get_mut(host)?.as_mut()?.pool.take_startable()
    }

    /// Ends the tasks that wait for a connection to this host and may no longer begin, and drops the dials that
    /// have not begun and that nobody needs any more.
    fn recheck_waiting(&mut self, host: usize, may_start: StartCheck, context: &mut LoopContext) {
        let Some(entry) = self.hosts.get_mut(host).and_then(Option::as_mut) else { return };
        let outdated = entry.pool.remove_waiting(|task| may_start(host, task, StartStep::Wait));
        if outdated.is_empty() {
            return;
        }
        for task in outdated {
            self.report(host, task, Ending::Outdated.into(), context);
        }
        let waiting_dials = self.dial_queue.waiting_at(host, &self.slots);
        let pool = &self.hosts[host].as_ref().expect("the host was just found").pool;
        for key in pool.surplus_dials(waiting_dials) {
            self.host(host).pool.dial_failed(key);
            self.close(key, context);
        }
    }

    /// Writes a task of which no byte could be written when it was assigned, or takes it back.
    fn start_late(&mut self, key: usize, may_start: StartCheck, context: &mut LoopContext) {
        let Some(slot) = self.slots.get_mut(key).filter(|slot| slot.connection.is_unstarted()) else {
            return;
        };
        let allowed = slot.connection.task().is_some_and(|task| may_start(slot.host, task, StartStep::Begin));
        if allowed {
            slot.connection.restart(context.clock.now());
            return self.run_checked(key, context);
        }
        let event = slot.connection.withdraw_unstarted(Ending::Outdated);
        self.events.extend(event.map(|event| (key, event)));
    }

    /// Remembers that a task may be able to begin at this host.
    fn mark_startable(&mut self, host: usize) {
        if self.host(host).pool.has_startable() {
            self.startable_hosts.insert(host);
        }
    }

    /// Cancels an execution that is not completely written yet, and, if `include_sent` is set, also one that is in
    /// progress.
    fn cancel(
        &mut self,
        host: usize,
        execution_id: (u64, usize),
        include_sent: bool,
        context: &mut LoopContext,
    ) {
        match self.host(host).pool.find(execution_id) {
            Lookup::Waiting(task) => self.report(host, task, Ending::WithdrawnUnsent.into(), context),
            Lookup::Running(key) => {
                let Some(slot) = self.slots.get_mut(key) else { return };
                let is_written = slot.connection.pending_output().is_empty();
                if is_written && !include_sent {
                    return;
                }
                if is_written {
                    // An answer that has arrived by now counts: otherwise nobody would know whether the statement
                    // ran.
                    if let Some(socket) = &mut slot.socket {
                        socket.force_read();
                    }
                    self.run(key, context);
                }
                let Some(slot) = self.slots.get_mut(key) else { return };
                if let Some(event) = slot.connection.withdraw(execution_id, &mut context.budget) {
                    self.events.push_back((key, event));
                }
            }
            Lookup::NotFound => {}
        }
    }

    /// Brings the next connection that may be dialled to the front of the queue; `false` where there is none.
    pub fn next_dial_ready(&mut self, now: f64) -> bool {
        self.dial_queue.next_ready(now, &mut self.slots, &self.counters)
    }

    /// When a delayed dial may begin.
    pub fn due(&self) -> f64 {
        self.dial_queue.due()
    }

    /// Paces dials from now on.
    pub fn set_dial_pacer(&mut self, dial_pacer: Option<DialPacer>) {
        self.dial_queue.pacer = dial_pacer;
    }

    /// Tells the dial pacing that a dial has succeeded or failed.
    fn dial_ended(&mut self, key: usize, failed: Option<Ending>, now: f64) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        let (Some(pacer), Some(started_at)) = (&mut self.dial_queue.pacer, slot.dial_started_at.take())
        else {
            return;
        };
        let outcome = match failed {
            None => DialOutcome::Connected(now - started_at),
            Some(Ending::DialTimedOut) => DialOutcome::TimedOut,
            Some(_) => DialOutcome::Refused,
        };
        pacer.dial_ended(now, slot.host, outcome);
    }

    /// Starts the next dial; its descriptor is already counted in the budget.
    pub fn dial(&mut self, context: &mut LoopContext) -> DialResult {
        let Some(pending_dial) = self.dial_queue.pop() else { return DialResult::Failed };
        let PendingDial { key, address, .. } = pending_dial;
        let connected = TcpStream::connect(address).and_then(|stream| {
            // Without TCP_NODELAY statements may be sent a little later.
            let _ = stream.set_nodelay(true);
            Socket::new(&context.registry, stream, token(key), false).map_err(|(_, e)| e)
        });
        let now = context.clock.now();
        let slot = &mut self.slots[key];
        self.counters.longest_dial_wait_ms.record_max_ms(now - slot.requested_at);
        if let Some(e) = connected.as_ref().err().filter(|e| is_local_error(e)) {
            if now < *slot.local_retry_until.get_or_insert(now + LOCAL_RETRY_TIMEOUT_S) {
                return self.dial_again(pending_dial, e, context);
            }
        }
        if let Some(pacer) = &mut self.dial_queue.pacer {
            slot.connection.dial_started_with_deadline(now + self.dial_timeout);
            slot.dial_started_at = Some(now);
            pacer.dial_started(now, slot.host);
        } else {
            slot.connection.dial_started();
        }
        match connected {
            Ok(mut socket) => {
                socket.record_progress(now);
                slot.socket = Some(socket);
                self.schedule_timer(key, context);
                DialResult::Started
            }
            Err(e) => {
                context.budget.release(Holder::UpstreamConnection);
                let event = slot.connection.failed(dial_ending(&e));
                self.events.extend(event.map(|event| (key, event)));
                self.process_events(context);
                DialResult::Failed
            }
        }
    }

    /// Queues a dial again. A local error of this machine says nothing about the host, and no statement is given up
    /// on the first one.
    fn dial_again(
        &mut self,
        dial: PendingDial,
        error: &std::io::Error,
        context: &mut LoopContext,
    ) -> DialResult {
        context.budget.release(Holder::UpstreamConnection);
        context.counters.dials_repeated.add();
        let host = self.slots[dial.key].host;
        debug!(self.host(host).log, "dialled again after a local error: {error}");
        self.dial_queue.push_again(dial, context.clock.now() + LOCAL_RETRY_PAUSE_S);
        match classify_accept_error(error) {
            AcceptFailure::DescriptorsSpent => DialResult::DescriptorsSpent,
            _ => DialResult::Failed,
        }
    }

    pub fn on_event(&mut self, key: usize, event: &mio::event::Event, context: &mut LoopContext) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        let Some(socket) = &mut slot.socket else { return };
        socket.on_event(event);
        self.queue(key, context);
    }

    fn queue(&mut self, key: usize, context: &mut LoopContext) {
        let slot = &mut self.slots[key];
        if !std::mem::replace(&mut slot.queued, true) {
            context.queue.push_back(token(key));
        }
    }

    pub fn run_queued(&mut self, key: usize, context: &mut LoopContext) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.queued = false;
            self.run(key, context);
            self.process_events(context);
        }
    }

    /// Handles a timer that may belong to this connection. Input that has arrived meanwhile is read first.
    pub fn handle_timer(&mut self, key: usize, at: f64, context: &mut LoopContext) {
        let Some(slot) = self.slots.get_mut(key).filter(|slot| slot.timer_due == at) else { return };
        slot.timer_due = f64::INFINITY;
        let now = context.clock.now();
        let (deadline_passed, needs_recheck) = (slot.connection.due() <= now, slot.recheck_due() <= now);
        if deadline_passed || needs_recheck {
            if let Some(socket) = &mut slot.socket {
                socket.recheck(now);
                socket.force_read();
            }
            self.run(key, context);
            if let Some(slot) = self.slots.get_mut(key) {
                if let Some(event) = slot.connection.handle_deadline(context.clock.now(), &mut context.budget)
                {
                    self.events.push_back((key, event));
                }
            }
            self.process_events(context);
        }
        if self.slots.contains(key) {
            self.schedule_timer(key, context);
        }
    }

    /// Handles a timer that may belong to this host: closes connections that have been idle for too long.
    pub fn handle_host_timer(&mut self, host: usize, at: f64, context: &mut LoopContext) {
        let idle_before = context.clock.now() - self.idle_limit;
        let Some(entry) =
            self.hosts.get_mut(host).and_then(Option::as_mut).filter(|entry| entry.timer_due == at)
        else {
            return;
        };
        entry.timer_due = f64::INFINITY;
        while let Some((key, _)) =
            self.host(host).pool.oldest_idle().filter(|(_, since)| *since <= idle_before)
        {
            self.close_idle(key, Ending::IdleExpired, context);
        }
        self.schedule_host_timer(host, context);
    }

    fn schedule_host_timer(&mut self, host: usize, context: &mut LoopContext) {
        let limit = self.idle_limit;
        let entry = self.host(host);
        let due = entry.pool.oldest_idle().map_or(f64::INFINITY, |(_, since)| since + limit);
        if due < entry.timer_due {
            entry.timer_due = context.set_timer(due, Token(HOST_TIMER_TOKENS + host));
        }
    }

    fn schedule_timer(&mut self, key: usize, context: &mut LoopContext) {
        let slot = &mut self.slots[key];
        let due = slot.connection.due().min(slot.recheck_due());
        if due < slot.timer_due {
            slot.timer_due = context.set_timer(due, token(key));
        }
    }

    /// Closes an idle connection, for a reason of this machine.
    pub fn close_idle(&mut self, key: usize, ending: Ending, context: &mut LoopContext) {
        let Some(slot) = self.slots.get_mut(key).filter(|slot| slot.connection.idle()) else { return };
        slot.connection.close_idle();
        let host = slot.host;
        self.host(host).pool.idle_closed(key);
        self.mark_startable(host);
        self.counters.count_ending(ending);
        self.close(key, context);
    }

    fn close(&mut self, key: usize, context: &mut LoopContext) {
        let Some(mut slot) = self.slots.try_remove(key) else { return };
        if let Some(idle_key) = slot.idle_key {
            context.budget.remove_idle(idle_key);
        }
        slot.connection.release(&mut context.budget);
        if let Some(socket) = slot.socket {
            socket.close(&context.registry);
            context.budget.release(Holder::UpstreamConnection);
        }
    }

    /// Does a bounded amount of work on one connection before the others get their turn.
    fn run(&mut self, key: usize, context: &mut LoopContext) {
        for step in 0.. {
            let Some(slot) = self.slots.get_mut(key) else { return };
            let Some(socket) = &mut slot.socket else { return };
            let mut event = None;
            if slot.connection.dialling() {
                if !socket.writable() {
                    break;
                }
                event = match is_up(socket.stream()) {
                    Ok(true) => {
                        slot.connection.connected();
                        None
                    }
                    Ok(false) => {
                        socket.clear_writable();
                        break;
                    }
                    Err(ending) => slot.connection.failed(ending),
                };
            }
            if slot.connection.is_unstarted() && !slot.may_start {
                if socket.writable() {
                    self.unstarted.push(key);
                }
                break;
            }
            let mut progressed = false;
            match socket.write(slot.connection.pending_output()) {
                Transfer::Bytes(written) => {
                    slot.connection.wrote(written);
                    socket.record_progress(context.clock.now());
                    progressed = true;
                }
                Transfer::OutOfMemory => socket.record_progress(context.clock.now()),
                Transfer::Ended | Transfer::Broken(_) => {
                    event = event.or(slot.connection.closed(&mut context.budget))
                }
                Transfer::NotReady => {}
            }
            if event.is_none() {
                let wanted_bytes = slot.connection.wanted_bytes().min(context.scratch.len());
                match socket.read(&mut context.scratch[..wanted_bytes]) {
                    Transfer::Bytes(received) => {
                        let now = context.clock.now();
                        if socket.is_unannounced() {
                            context.counters.found_by_look.add();
                        }
                        socket.record_progress(now);
                        event =
                            slot.connection.receive(now, &context.scratch[..received], &mut context.budget);
                        progressed = true;
                    }
                    Transfer::OutOfMemory => socket.record_progress(context.clock.now()),
                    Transfer::Ended | Transfer::Broken(_) => {
                        event = slot.connection.closed(&mut context.budget)
                    }
                    Transfer::NotReady => {}
                }
            }
            if let Some(event) = event {
                self.events.push_back((key, event));
                break;
            }
            if !progressed {
                break;
            }
            if step >= MAX_STEPS_PER_TURN {
                self.queue(key, context);
                break;
            }
        }
        if self.slots.contains(key) {
            self.schedule_timer(key, context);
        }
    }

    /// Handles the events of upstream connections until no more follow.
    fn process_events(&mut self, context: &mut LoopContext) {
        while let Some((key, event)) = self.events.pop_front() {
            let Some(slot) = self.slots.get(key) else { continue };
            let host = slot.host;
            match event {
                Event::Ready => {
                    self.dial_ended(key, None, context.clock.now());
                    if self.is_silent(key) {
                        let next_use = self.host(host).pool.dial_succeeded(key, context.clock.now());
                        self.handle_freed(host, key, next_use, true, context);
                    } else {
                        self.dial_failed(host, key, Ending::DialBroken, context);
                    }
                }
                Event::Failed(ending) => self.dial_failed(host, key, ending, context),
                Event::IdleClosed(ending) => {
                    self.host(host).pool.idle_closed(key);
                    self.mark_startable(host);
                    self.counters.count_ending(ending);
                    self.close(key, context);
                }
                Event::Done { task, outcome, reusable } => {
                    // With more bytes behind the answer than belong to it, the connection can't be reused for a
                    // waiting statement.
                    let has_extra_bytes =
                        reusable && self.host(host).pool.waiting() > 0 && !self.is_silent(key);
                    if has_extra_bytes {
                        self.counters.count_ending(Ending::IdleEnded);
                    }
                    let reusable = reusable && !has_extra_bytes;
                    if !reusable {
                        self.close(key, context);
                    }
                    // The pool is updated first, so that a further execution for this host finds the connection
                    // free.
                    let next_use = self.host(host).pool.task_done(key, reusable, context.clock.now());
                    self.report(host, task, outcome, context);
                    self.handle_freed(host, key, next_use, false, context);
                }
            }
        }
    }

    /// Handles a connection that has become free: it gets a new task, becomes idle, or is no longer usable.
    fn handle_freed(
        &mut self,
        host: usize,
        key: usize,
        next_use: NextUse,
        is_new_dial: bool,
        context: &mut LoopContext,
    ) {
        match next_use {
            NextUse::Idle => {
                self.mark_startable(host);
                self.slots[key].idle_key = Some(context.budget.mark_idle(Holder::UpstreamConnection, key));
                self.schedule_host_timer(host, context);
            }
            NextUse::Moved if is_new_dial => self.dial_failed(host, key, Ending::Moved, context),
            NextUse::Moved => {
                if self.slots.contains(key) {
                    self.counters.count_ending(Ending::Moved);
                    self.close(key, context);
                }
            }
        }
    }

    /// Handles a failed dial.
    fn dial_failed(&mut self, host: usize, key: usize, ending: Ending, context: &mut LoopContext) {
        self.dial_ended(key, Some(ending), context.clock.now());
        self.close(key, context);
        match self.host(host).pool.dial_failed(key) {
            Some(task) => self.report(host, task, ending.into(), context),
            None => self.record_ending(host, ending, context),
        }
    }

    fn report(&mut self, host: usize, task: HostTask, outcome: Outcome, context: &LoopContext) {
        self.record_ending(host, outcome.ending, context);
        self.dispatcher_sender.send(match task.kind {
            TaskKind::Statement { statement_id, execution, .. } => {
                DispatcherMessage::Ended { statement_id, execution, outcome }
            }
            TaskKind::Probe => DispatcherMessage::Probed { host, outcome },
        });
    }

    /// Counts an outcome, and logs it where it is unusual: each kind at most once per second and host, for a host
    /// that is down ends statements by the hundred.
    fn record_ending(&mut self, host: usize, ending: Ending, context: &LoopContext) {
        self.counters.count_ending(ending);
        if ending.is_ordinary() {
            return;
        }
        let now = context.clock.now();
        let entry = self.host(host);
        debug!(entry.log, "{ending:?}");
        let (logged_at, suppressed) = entry.outcome_log.entry(ending).or_insert((0.0, 0));
        if now < *logged_at + 1.0 {
            *suppressed += 1;
        } else {
            info!(entry.log, "ended: {ending:?}"; "unlogged_before" => std::mem::take(suppressed));
            *logged_at = now;
        }
    }
}
