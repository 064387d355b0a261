//! The clients' connections: their sockets, each with its state machine of `sandstile-connections`.
use crate::budget::Holder;
use crate::client_connection::{ClientAction, ClientConnection, ClientContext, ClientEvent};
use crate::client_slot::ClientSlot;
use crate::close_reason::CloseReason;
use crate::log_limiter::LogLimiter;
use crate::loop_context::{LoopContext, MAX_BYTES_PER_TURN, MAX_STEPS_PER_TURN};
use crate::mailbox::MailboxSender;
use crate::socket::Socket;
use crate::statement::{Statement, Workload};
use mio::event::Event;
use mio::net::TcpStream;
use mio::Token;
use sandstile_dispatcher::{Answer, DispatcherMessage, FinalAnswer, StatementRequest};
use slab::Slab;
use slog::{debug, info};
use std::io;
use std::sync::Arc;

/// How one step of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Bytes were transferred or a command was processed.
    Progress,
    /// There is output left that the socket may take.
    OutputLeft,
    /// Nothing can be done until an event, a timer or an answer.
    Waiting,
    Ended,
}

/// Seconds for which a connection has to be idle before it may be closed to make room for another.
const MIN_IDLE_BEFORE_EVICTION_S: f64 = 0.1;
/// Seconds for which a connection that closes over unread bytes waits for its client to close. Closing at once
/// would reset it, and the reset can overtake answers.
const LINGER_S: f64 = 0.25;

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
    /// No statement is waited for beyond this time, whatever its client says.
    latest_deadline: f64,
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
            latest_deadline: f64::INFINITY,
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
        let client_connection = ClientConnection::waiting_since(waited_since, now);
        entry.insert(ClientSlot::new(number, now, client_connection, socket, refused));
        if self.shutting_down {
            self.slots[key].request_close(CloseReason::ClientDismissed);
        }
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
            slot.client_connection.reserve_answer(&mut context.budget, &mut self.client_events);
            self.run(final_answer.client_connection, context);
        }
    }

    /// Asks a connection to close. What the client has sent by now is still read and answered.
    pub fn request_close(&mut self, key: usize, context: &mut LoopContext) {
        let Some(slot) = self.slots.get_mut(key).filter(|slot| slot.lingers_until.is_none()) else { return };
        let reason =
            if self.shutting_down { CloseReason::ClientDismissed } else { CloseReason::ClientEvicted };
        slot.request_close(reason);
        slot.final_read_done = true;
        self.run(key, context);
        let Some(slot) = self.slots.get_mut(key).filter(|_| !self.shutting_down) else { return };
        if slot.client_connection.unanswered_bytes() > 0 {
            slot.client_connection.refuse_command(context.clock.now());
            self.run(key, context);
        }
    }

    /// From now on no statement is waited for beyond `latest_deadline`, in Unix seconds.
    pub fn limit_deadlines(&mut self, latest_deadline: f64) {
        self.latest_deadline = latest_deadline;
    }

    fn keys(&self) -> Vec<usize> {
        self.slots.iter().map(|(key, _)| key).collect()
    }

    /// Closes all idle connections, and from now on each connection as soon as it is idle: no connection reads
    /// further commands but those of its final read. Returns how many are not closed yet.
    pub fn shut_down(&mut self, context: &mut LoopContext) -> usize {
        self.shutting_down = true;
        for key in self.keys() {
            self.request_close(key, context);
        }
        context.counters.drained.set(self.slots.len() as u64);
        self.slots.len()
    }

    /// Refuses all commands that were read and have no answer yet. Returns how many connections are open.
    pub fn refuse_unanswered(&mut self, context: &mut LoopContext) -> usize {
        let now = context.clock.now();
        for key in self.keys() {
            let Some(slot) = self.slots.get_mut(key) else { continue };
            slot.final_reads_left = 0;
            let action = slot.client_connection.refuse_unanswered(now, &mut self.client_events);
            report_abandoned(action, &self.dispatcher_sender);
            self.run(key, context);
        }
        self.slots.len()
    }

    /// Closes all connections. Returns how many there were.
    pub fn close_all(&mut self, context: &mut LoopContext) -> usize {
        let keys = self.keys();
        for key in &keys {
            let slot = &mut self.slots[*key];
            match slot.lingers_until {
                Some(_) => context.counters.linger_expired.add(),
                None => slot.close_reason = Some(CloseReason::ClientCutOff),
            }
            report_abandoned(slot.client_connection.closed(), &self.dispatcher_sender);
            self.close(*key, context);
        }
        keys.len()
    }

    /// Does a bounded amount of work before the other connections get their turn.
    fn run(&mut self, key: usize, context: &mut LoopContext) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        if let Some(lingers_until) = slot.lingers_until {
            return self.run_lingering(key, lingers_until, context);
        }
        slot.turn_bytes = 0;
        let mut more_work = true;
        for _ in 0..MAX_STEPS_PER_TURN {
            let step = self.step(key, context);
            more_work = step != Step::Waiting;
            let slot = &self.slots[key];
            let ended = step == Step::Ended || slot.client_connection.ended();
            if step == Step::Waiting || ended || slot.turn_bytes >= MAX_BYTES_PER_TURN {
                break;
            }
        }
        self.count_events(context);
        self.update_state(key, more_work, context);
    }

    /// Writes, reads and processes one command.
    fn step(&mut self, key: usize, context: &mut LoopContext) -> Step {
        let slot = &mut self.slots[key];
        let now = context.clock.now();
        if slot.socket.read_closed() && slot.client_connection.awaits_answer() {
            // The client is gone, though commands from before its end may still be unread for lack of room.
            report_abandoned(slot.client_connection.closed(), &self.dispatcher_sender);
            return Step::Ended;
        }
        let transferred = slot.write(now).and_then(|wrote| Ok(slot.read(now, context)? | wrote));
        let Ok(mut progressed) = transferred else {
            report_abandoned(slot.client_connection.closed(), &self.dispatcher_sender);
            return Step::Ended;
        };
        if slot.read_failed && slot.client_connection.due() <= now {
            // A deadline only expires once everything that arrived before it has been read.
            return Step::Waiting;
        }
        let client_events = &mut self.client_events;
        let mut client_context =
            ClientContext { budget: &mut context.budget, workloads: &self.workloads, client_events };
        match slot.client_connection.advance(now, &mut client_context) {
            Some(ClientAction::Submit { statement, deadline }) => {
                if self.submit(key, *statement, deadline, now, context) == Step::Ended {
                    return Step::Ended;
                }
                progressed = true;
            }
            action => report_abandoned(action, &self.dispatcher_sender),
        }
        let slot = &self.slots[key];
        match (progressed, slot.socket.writable() && !slot.client_connection.pending_output().is_empty()) {
            (true, _) => Step::Progress,
            (false, true) => Step::OutputLeft,
            (false, false) => Step::Waiting,
        }
    }

    /// Hands a statement to the dispatcher, or answers it where it can't be served.
    fn submit(
        &mut self,
        key: usize,
        statement: Statement,
        deadline: f64,
        now: f64,
        context: &mut LoopContext,
    ) -> Step {
        let slot = &mut self.slots[key];
        if slot.socket.read_closed() {
            // The client closed its sending side before the statement was read: nobody reads an answer, so nothing
            // is started.
            context.counters.read_too_late.add();
            if self.late_statement_log.admits(now, ()) {
                info!(context.log, "a statement was read only after its client had closed the connection";
                    "client" => slot.number, "id" => &statement.id, "reads" => slot.reads,
                    "time_left_s" => format!("{:.3}", deadline - now),
                    "connected_s" => format!("{:.3}", now - slot.accepted_at));
            }
            slot.client_connection.closed();
            return Step::Ended;
        }
        self.statements += 1;
        slot.client_connection.submitted(self.statements);
        if slot.refused {
            context.counters.refused_for_room.add();
            debug!(context.log, "refused for lack of descriptors"; "client" => slot.number, "id" => &statement.id);
            let answer = Answer::Rejected(0.0);
            slot.client_connection.answer(now, self.statements, answer, &mut self.client_events);
            if !slot.close_requested {
                slot.request_close(CloseReason::ClientEvicted);
            }
            return Step::Progress;
        }
        if self.statements == 1 {
            info!(context.log, "first statement read"; "client" => slot.number, "id" => &statement.id,
                "reads" => slot.reads, "connected_s" => format!("{:.3}", now - slot.accepted_at));
        }
        debug!(context.log, "asked"; "client" => slot.number, "statement" => self.statements, "id" => &statement.id,
            "reads" => slot.reads, "time_left_s" => format!("{:.3}", deadline - now));
        // Only the query and the id are kept while the statement is open: clients choose the length of all names.
        self.dispatcher_sender.send(DispatcherMessage::StatementRequest(StatementRequest {
            statement_id: self.statements,
            client_connection: key,
            id: statement.id,
            workload: statement.workload,
            group: statement.group,
            session: statement.session,
            writes: statement.writes,
            deadline: deadline.min(self.latest_deadline),
            timeout: statement.timeout,
            last_write_at: statement.last_write_at,
            retry: statement.retry,
            mark: statement.mark,
            payload: Arc::new(statement.query),
        }));
        Step::Progress
    }

    fn count_events(&mut self, context: &LoopContext) {
        for client_event in self.client_events.drain(..) {
            match client_event {
                ClientEvent::IdleTimeout => context.counters.rested.add(),
                ClientEvent::EmptyQuery => context.counters.empty_queries.add(),
                ClientEvent::AnswerTimeout => context.counters.forsaken.add(),
                ClientEvent::RefusedAtShutdown => context.counters.refused_at_shutdown.add(),
                ClientEvent::NoMemory => context.counters.refused_for_memory.add(),
                ClientEvent::BadInput(message) => {
                    context.counters.bad_input.add();
                    debug!(context.log, "bad input: {message}");
                }
            }
        }
    }

    /// Updates the connection's state after a turn: closed, idle, waiting for a timer, or with more work queued.
    fn update_state(&mut self, key: usize, more_work: bool, context: &mut LoopContext) {
        let slot = &mut self.slots[key];
        if slot.client_connection.ended() {
            // Bytes may be unread behind the command whose error ended it.
            let lingers = self.shutting_down && !slot.socket.read_closed();
            return if lingers { self.linger(key, context) } else { self.close(key, context) };
        }
        let idle_period = slot.client_connection.idle_period();
        // During shutdown, a command that has been read in part is waited for, until its deadline: the rest may
        // still arrive.
        let partial_command = self.shutting_down && slot.client_connection.unanswered_bytes() > 0;
        let should_close = slot.close_requested && idle_period.is_some() && !more_work && !partial_command;
        // A final read that failed proves nothing: the socket is rechecked at its regular interval.
        let may_close = should_close && !slot.read_failed;
        if may_close && slot.final_read_done {
            let may_send = self.shutting_down && slot.client_connection.pipelined();
            return if may_send { self.linger(key, context) } else { self.close(key, context) };
        }
        if may_close && slot.final_reads_left == 0 {
            return self.linger(key, context);
        }
        if may_close {
            slot.read_finally();
        }
        slot.final_read_done = should_close;
        if slot.idle_state.map(|(period, _)| period) != idle_period {
            self.set_idle(key, idle_period, context);
        }
        self.schedule_timer(key, context);
        if more_work || may_close {
            self.queue(key, context);
        }
    }

    /// Records that the connection is idle, in this period, or busy.
    fn set_idle(&mut self, key: usize, idle_period: Option<(Holder, u64)>, context: &mut LoopContext) {
        let slot = &mut self.slots[key];
        if let Some((idle_key, _)) = slot.idle_key.take() {
            context.budget.remove_idle(idle_key);
        }
        self.idle_new_clients -= usize::from(slot.is_idle_new_client());
        slot.idle_state = idle_period.map(|period| (period, context.clock.now()));
        self.idle_new_clients += usize::from(slot.is_idle_new_client());
    }

    /// Offers the connection for eviction once it has been idle for long enough, and sets its timer.
    fn schedule_timer(&mut self, key: usize, context: &mut LoopContext) {
        let slot = &mut self.slots[key];
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
        set_timer(slot, key, due, context);
    }

    /// Closes the sending side behind the last answer and waits for the client to close: nothing more is read.
    fn linger(&mut self, key: usize, context: &mut LoopContext) {
        self.set_idle(key, None, context);
        let slot = &mut self.slots[key];
        if slot.socket.read_closed() || slot.socket.end_writing().is_err() {
            return self.close(key, context);
        }
        // A client that still reads its answers gets the time that the shutdown has.
        let linger_s = if self.shutting_down { f64::INFINITY } else { LINGER_S };
        let lingers_until = context.clock.now() + linger_s;
        slot.lingers_until = Some(lingers_until);
        set_timer(slot, key, lingers_until, context);
    }

    fn run_lingering(&mut self, key: usize, lingers_until: f64, context: &mut LoopContext) {
        let slot = &mut self.slots[key];
        let expired = context.clock.now() >= lingers_until;
        if expired {
            context.counters.linger_expired.add();
        }
        if expired || slot.socket.read_closed() {
            return self.close(key, context);
        }
        set_timer(slot, key, lingers_until, context);
    }

    /// Counts why a connection ends and logs it: at debug level each of them, otherwise the unusual ones, at most
    /// one of a kind per second.
    fn log_close(&mut self, slot: &ClientSlot, context: &LoopContext) {
        let forced = matches!(slot.close_reason, Some(CloseReason::ClientBroken | CloseReason::ClientCutOff));
        let ended_itself = slot.client_connection.ended() && !forced;
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

/// Sets the connection's timer, unless it is due earlier anyway.
fn set_timer(slot: &mut ClientSlot, key: usize, due: f64, context: &mut LoopContext) {
    if due < slot.timer_due {
        slot.timer_due = context.set_timer(due, token(key));
    }
}

fn report_abandoned(action: Option<ClientAction>, dispatcher_sender: &MailboxSender<DispatcherMessage>) {
    if let Some(ClientAction::Abandon(statement_id)) = action {
        dispatcher_sender.send(DispatcherMessage::ClientGone(statement_id));
    }
}
