//! The clients' connections: their sockets, each with its state machine of `sandstile-connections`.
use crate::budget::{Holder, IdleKey};
use crate::client_connection::{ClientAction, ClientConnection, ClientContext, ClientEvent};
use crate::close_reason::CloseReason;
use crate::log_limiter::LogLimiter;
use crate::loop_context::{LoopContext, MAX_STEPS_PER_TURN};
use crate::mailbox::MailboxSender;
use crate::socket::{Socket, Transfer};
use crate::statement::Workload;
use mio::event::Event;
use mio::net::TcpStream;
use mio::Token;
use sandstile_dispatcher::{Answer, DispatcherMessage, FinalAnswer, StatementRequest};
use slab::Slab;
use slog::{debug, info};
use std::io;
use std::sync::Arc;

struct ClientSlot {
    /// Sequence number of the connection in this process, which identifies it in the log.
    number: u64,
    accepted_at: f64,
    /// Reads that returned bytes.
    reads: u64,
    /// Why the router closes the connection, where the state machine did not decide it.
    close_reason: Option<CloseReason>,
    /// The error number that a read or a write failed with.
    error: Option<i32>,
    client_connection: ClientConnection,
    socket: Socket,
    queued: bool,
    /// When its timer is due.
    timer_due: f64,
    /// Its key in the budget's idle list, and the idle period that the key was made for.
    idle_key: Option<(IdleKey, u64)>,
    /// The current idle period, and when it began.
    idle_state: Option<((Holder, u64), f64)>,
    /// Asked to close: it does so as soon as it is idle and a final read has found nothing more.
    close_requested: bool,
    final_read_done: bool,
    /// The last read failed for lack of memory: the socket may hold unread bytes.
    read_failed: bool,
    /// There is no descriptor to serve it: its statement is refused and it is closed.
    refused: bool,
}

impl ClientSlot {
    fn is_idle_new_client(&self) -> bool {
        self.idle_state.is_some_and(|((holder, _), _)| holder == Holder::NewClientConnection)
    }
}

/// Seconds for which a connection has to be idle before it may be closed to make room for another.
const MIN_IDLE_BEFORE_EVICTION_S: f64 = 0.1;

pub struct Clients {
    slots: Slab<ClientSlot>,
    workloads: Vec<Workload>,
    dispatcher_sender: MailboxSender<DispatcherMessage>,
    client_events: Vec<ClientEvent>,
    /// Idle connections that have not sent a statement yet.
    idle_new_clients: usize,
    /// Statements read so far; the next statement's id follows from it.
    statements: u64,
    /// Shutting down: every connection is closed as soon as it is idle.
    shutting_down: bool,
    /// Connections accepted so far; the next connection's number follows from it.
    accepted: u64,
    unusual_close_log: LogLimiter<CloseReason>,
    late_statement_log: LogLimiter<()>,
}

/// Tokens of clients are even, those of upstream connections odd; the first few belong to the event loop.
pub fn token(key: usize) -> Token {
    Token(2 * key + 2)
}

impl Clients {
    pub fn new(workloads: Vec<Workload>, dispatcher_sender: MailboxSender<DispatcherMessage>) -> Self {
        Clients {
            slots: Slab::new(),
            workloads,
            dispatcher_sender,
            client_events: Vec::new(),
            idle_new_clients: 0,
            statements: 0,
            shutting_down: false,
            accepted: 0,
            unusual_close_log: LogLimiter::default(),
            late_statement_log: LogLimiter::default(),
        }
    }

    /// Whether an idle connection exists that has not sent a statement: it will make room soon if it stays idle.
    pub fn has_idle_new_clients(&self) -> bool {
        self.idle_new_clients > 0
    }

    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Adds a connection that is already counted in the budget and may have waited since `waited_since`. A
    /// connection that can't be set up now is returned with the error. One that is `refused` only gets a refusal.
    pub fn accept(
        &mut self,
        stream: TcpStream,
        waited_since: f64,
        refused: bool,
        context: &mut LoopContext,
    ) -> Result<(), (TcpStream, io::Error)> {
        // Without TCP_NODELAY answers may be delayed a little, which is better than no answers.
        if let Err(e) = stream.set_nodelay(true) {
            debug!(context.log, "client without TCP_NODELAY: {e}");
        }
        let entry = self.slots.vacant_entry();
        let key = entry.key();
        let mut socket = Socket::new(&context.registry, stream, token(key), true)?;
        // Most clients send their first statement right after connecting.
        socket.force_read();
        socket.record_progress(context.clock.now());
        self.accepted += 1;
        let (now, number) = (context.clock.now(), self.accepted);
        debug!(context.log, "client accepted"; "client" => number, "peer" => ?socket.stream().peer_addr().ok());
        if number == 1 {
            info!(context.log, "first client accepted");
        }
        entry.insert(ClientSlot {
            number,
            accepted_at: now,
            reads: 0,
            close_reason: None,
            error: None,
            client_connection: ClientConnection::waiting_since(waited_since, now),
            socket,
            queued: false,
            timer_due: f64::INFINITY,
            idle_key: None,
            idle_state: None,
            close_requested: false,
            final_read_done: false,
            read_failed: false,
            refused,
        });
        self.queue(key, context);
        Ok(())
    }

    pub fn on_event(&mut self, key: usize, event: &Event, context: &mut LoopContext) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.socket.on_event(event);
            self.queue(key, context);
        }
    }

    fn queue(&mut self, key: usize, context: &mut LoopContext) {
        let slot = &mut self.slots[key];
        if !std::mem::replace(&mut slot.queued, true) {
            context.queue.push_back(token(key));
        }
    }

    /// Runs a connection that was taken from the loop's queue.
    pub fn run_queued(&mut self, key: usize, context: &mut LoopContext) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.queued = false;
            self.run(key, context);
        }
    }

    /// Handles a timer that may belong to this connection. Input that has arrived meanwhile is read first.
    pub fn handle_timer(&mut self, key: usize, at: f64, context: &mut LoopContext) {
        let Some(slot) = self.slots.get_mut(key).filter(|slot| slot.timer_due == at) else { return };
        slot.timer_due = f64::INFINITY;
        slot.socket.recheck(context.clock.now());
        if slot.client_connection.due() <= context.clock.now() {
            slot.socket.force_read();
        }
        self.run(key, context);
    }

    pub fn answer(&mut self, final_answer: FinalAnswer, context: &mut LoopContext) {
        if let Some(slot) = self.slots.get_mut(final_answer.client_connection) {
            debug!(context.log, "answered"; "client" => slot.number, "statement" => final_answer.statement_id,
                "with" => final_answer.answer.name());
            slot.client_connection.answer(
                context.clock.now(),
                final_answer.statement_id,
                final_answer.answer,
                &mut self.client_events,
            );
            self.run(final_answer.client_connection, context);
        }
    }

    /// Asks an idle connection to close. What the client has sent by now is still read and answered.
    pub fn request_close(&mut self, key: usize, context: &mut LoopContext) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        let reason =
            if self.shutting_down { CloseReason::ClientDismissed } else { CloseReason::ClientEvicted };
        (slot.close_requested, slot.final_read_done, slot.close_reason) = (true, true, Some(reason));
        slot.socket.force_read();
        self.run(key, context);
        let Some(slot) = self.slots.get_mut(key).filter(|_| !self.shutting_down) else { return };
        if slot.client_connection.unanswered_bytes() > 0 {
            slot.client_connection.refuse_command(context.clock.now());
            self.run(key, context);
        }
    }

    /// Closes all idle connections, and from now on each connection as soon as it is idle.
    pub fn shut_down(&mut self, context: &mut LoopContext) {
        self.shutting_down = true;
        let keys: Vec<usize> = self.slots.iter().map(|(key, _)| key).collect();
        for key in keys {
            self.request_close(key, context);
        }
    }

    /// Does a bounded amount of work before the other connections get their turn.
    fn run(&mut self, key: usize, context: &mut LoopContext) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        let mut more_work = true;
        for _ in 0..MAX_STEPS_PER_TURN {
            let now = context.clock.now();
            let mut progressed = false;
            if slot.socket.read_closed() && slot.client_connection.awaits_answer() {
                // The client is gone, though commands from before its end may still be unread for lack of room.
                report_abandoned(slot.client_connection.closed(), &self.dispatcher_sender);
                break;
            }
            match slot.socket.write(slot.client_connection.pending_output()) {
                Transfer::Bytes(written) => {
                    slot.client_connection.wrote(written);
                    slot.socket.record_progress(now);
                    progressed = true;
                }
                Transfer::OutOfMemory => slot.socket.record_progress(now),
                Transfer::Ended => {}
                Transfer::Broken(error) => {
                    (slot.error, slot.close_reason) = (error, Some(CloseReason::ClientBroken));
                    report_abandoned(slot.client_connection.closed(), &self.dispatcher_sender);
                    break;
                }
                Transfer::NotReady => {}
            }
            let wanted_bytes = slot.client_connection.wanted_bytes().min(context.scratch.len());
            if slot.socket.readable() && wanted_bytes > 0 {
                slot.read_failed = false;
            }
            match slot.socket.read(&mut context.scratch[..wanted_bytes]) {
                Transfer::Bytes(received) => {
                    slot.reads += 1;
                    if slot.socket.is_unannounced() {
                        context.counters.found_by_look.add();
                    }
                    slot.socket.record_progress(now);
                    slot.client_connection.receive_since(
                        context.events_since.min(now),
                        now,
                        &context.scratch[..received],
                    );
                    progressed = true;
                }
                Transfer::Ended => {
                    report_abandoned(slot.client_connection.closed(), &self.dispatcher_sender);
                    break;
                }
                Transfer::Broken(error) => {
                    (slot.error, slot.close_reason) = (error, Some(CloseReason::ClientBroken));
                    report_abandoned(slot.client_connection.closed(), &self.dispatcher_sender);
                    break;
                }
                Transfer::OutOfMemory => {
                    slot.read_failed = true;
                    slot.socket.record_progress(now);
                }
                Transfer::NotReady if wanted_bytes > 0 => slot.client_connection.read_would_block(),
                Transfer::NotReady => {}
            }
            if slot.read_failed && slot.client_connection.due() <= now {
                // A deadline only expires once everything that arrived before it has been read.
                more_work = false;
                break;
            }
            let client_events = &mut self.client_events;
            let mut client_context =
                ClientContext { budget: &mut context.budget, workloads: &self.workloads, client_events };
            match slot.client_connection.advance(now, &mut client_context) {
                Some(ClientAction::Submit { statement, deadline }) if slot.socket.read_closed() => {
                    // The client closed its sending side before the statement was read: nobody reads an answer, so
                    // nothing is started.
                    context.counters.read_too_late.add();
                    if self.late_statement_log.admits(now, ()) {
                        info!(context.log, "a statement was read only after its client had closed the connection";
                            "client" => slot.number, "id" => &statement.id, "reads" => slot.reads,
                            "time_left_s" => format!("{:.3}", deadline - now),
                            "connected_s" => format!("{:.3}", now - slot.accepted_at));
                    }
                    slot.client_connection.closed();
                    break;
                }
                Some(ClientAction::Submit { statement, .. }) if slot.refused => {
                    self.statements += 1;
                    slot.client_connection.submitted(self.statements);
                    context.counters.refused_for_room.add();
                    debug!(context.log, "refused for lack of descriptors"; "client" => slot.number, "id" => &statement.id);
                    slot.client_connection.answer(
                        now,
                        self.statements,
                        Answer::Rejected(0.0),
                        &mut self.client_events,
                    );
                    (slot.close_requested, slot.close_reason) = (true, Some(CloseReason::ClientEvicted));
                    progressed = true;
                }
                Some(ClientAction::Submit { statement, deadline }) => {
                    self.statements += 1;
                    slot.client_connection.submitted(self.statements);
                    if self.statements == 1 {
                        info!(context.log, "first statement read"; "client" => slot.number, "id" => &statement.id,
                            "reads" => slot.reads, "connected_s" => format!("{:.3}", now - slot.accepted_at));
                    }
                    debug!(context.log, "asked"; "client" => slot.number, "statement" => self.statements, "id" => &statement.id,
                        "reads" => slot.reads, "time_left_s" => format!("{:.3}", deadline - now));
                    self.dispatcher_sender.send(DispatcherMessage::StatementRequest(StatementRequest {
                        statement_id: self.statements,
                        client_connection: key,
                        id: statement.id.clone(),
                        workload: statement.workload,
                        group: statement.group.clone(),
                        session: statement.session.clone(),
                        writes: statement.writes,
                        deadline,
                        timeout: statement.timeout,
                        last_write_at: statement.last_write_at,
                        retry: statement.retry,
                        mark: statement.mark.clone(),
                        payload: Arc::new(*statement),
                    }));
                    progressed = true;
                }
                action => report_abandoned(action, &self.dispatcher_sender),
            }
            more_work =
                progressed || (slot.socket.writable() && !slot.client_connection.pending_output().is_empty());
            if slot.client_connection.ended() || !more_work {
                break;
            }
        }
        for client_event in self.client_events.drain(..) {
            match client_event {
                ClientEvent::IdleTimeout => context.counters.rested.add(),
                ClientEvent::EmptyQuery => context.counters.empty_queries.add(),
                ClientEvent::AnswerTimeout => context.counters.forsaken.add(),
                ClientEvent::BadInput(message) => {
                    context.counters.bad_input.add();
                    debug!(context.log, "bad input: {message}");
                }
            }
        }
        self.update_state(key, more_work, context);
    }

    /// Updates the connection's state after a turn: closed, idle, waiting for a timer, or with more work queued.
    fn update_state(&mut self, key: usize, more_work: bool, context: &mut LoopContext) {
        let slot = &mut self.slots[key];
        let idle_period = slot.client_connection.idle_period();
        // During shutdown, a command that has been read in part is waited for, until its deadline: the rest may
        // still arrive.
        let partial_command = self.shutting_down && slot.client_connection.unanswered_bytes() > 0;
        let should_close = (slot.close_requested || self.shutting_down)
            && idle_period.is_some()
            && !more_work
            && !partial_command;
        // A final read that failed proves nothing: the socket is rechecked at its regular interval.
        let needs_final_read = should_close && !slot.read_failed;
        if slot.client_connection.ended() || (needs_final_read && slot.final_read_done) {
            return self.close(key, context);
        }
        if needs_final_read {
            slot.socket.force_read();
        }
        slot.final_read_done = should_close;
        if slot.idle_state.map(|(period, _)| period) != idle_period {
            if let Some((idle_key, _)) = slot.idle_key.take() {
                context.budget.remove_idle(idle_key);
            }
            self.idle_new_clients -= usize::from(slot.is_idle_new_client());
            slot.idle_state = idle_period.map(|period| (period, context.clock.now()));
            self.idle_new_clients += usize::from(slot.is_idle_new_client());
        }
        let own_deadline = if slot.read_failed { f64::INFINITY } else { slot.client_connection.due() };
        let mut due = own_deadline.min(slot.socket.recheck_due());
        if let (Some(((holder, period), since)), None) = (slot.idle_state, slot.idle_key) {
            // A connection that has just become idle may be about to send a statement: it is not closed in favour
            // of another.
            if context.clock.now() >= since + MIN_IDLE_BEFORE_EVICTION_S {
                slot.idle_key = Some((context.budget.mark_idle(holder, key), period));
            } else {
                due = due.min(since + MIN_IDLE_BEFORE_EVICTION_S);
            }
        }
        if due < slot.timer_due {
            slot.timer_due = due;
            context.timers.push(due, token(key));
        }
        if more_work || needs_final_read {
            self.queue(key, context);
        }
    }

    /// Counts why a connection ends and logs it: at debug level each of them, otherwise the unusual ones, at most
    /// one of a kind per second.
    fn log_close(&mut self, slot: &ClientSlot, context: &LoopContext) {
        let broken = slot.close_reason == Some(CloseReason::ClientBroken);
        let ended_itself = slot.client_connection.ended() && !broken;
        let reason =
            slot.close_reason.filter(|_| !ended_itself).unwrap_or(slot.client_connection.close_reason());
        context.counters.count_close(reason);
        let now = context.clock.now();
        debug!(context.log, "client closed: {reason:?}"; "client" => slot.number, "answered" => slot.client_connection.answered());
        if !reason.is_ordinary() && self.unusual_close_log.admits(now, reason) {
            info!(context.log, "client closed: {reason:?}"; "client" => slot.number, "reads" => slot.reads,
                "answered" => slot.client_connection.answered(), "unanswered_bytes" => slot.client_connection.unanswered_bytes(),
                "errno" => slot.error, "connected_s" => format!("{:.3}", now - slot.accepted_at));
        }
    }

    fn close(&mut self, key: usize, context: &mut LoopContext) {
        let mut slot = self.slots.remove(key);
        self.idle_new_clients -= usize::from(slot.is_idle_new_client());
        self.log_close(&slot, context);
        if let Some((idle_key, _)) = slot.idle_key {
            context.budget.remove_idle(idle_key);
        }
        slot.client_connection.release(&mut context.budget);
        slot.socket.close(&context.registry);
        match slot.refused {
            true => context.budget.release_refused(),
            false => context.budget.release(Holder::ClientConnection),
        }
    }
}

fn report_abandoned(action: Option<ClientAction>, dispatcher_sender: &MailboxSender<DispatcherMessage>) {
    if let Some(ClientAction::Abandon(statement_id)) = action {
        dispatcher_sender.send(DispatcherMessage::ClientGone(statement_id));
    }
}
