//! The clients' connections: their sockets beside their state machines of `sandstile-connections`.
use crate::budget::{Holder, IdleKey};
use crate::client_connection::{ClientAction, ClientConnection, ClientContext, ClientEvent};
use crate::close_reason::CloseReason;
use crate::loop_context::{LoopContext, TURN};
use crate::mailbox::MailboxSender;
use crate::rate::Limiter;
use crate::socket::{Moved, Wire};
use crate::statement::Workload;
use mio::event::Event;
use mio::net::TcpStream;
use mio::Token;
use sandstile_dispatcher::{Answer, DispatcherMessage, FinalAnswer, StatementRequest};
use slab::Slab;
use slog::{debug, info};
use std::io;
use std::sync::Arc;

struct Seat {
    /// Counts the connections of this process: the name of this one in the log.
    number: u64,
    accepted_at: f64,
    /// Reads that brought bytes.
    reads: u64,
    /// Why the router closes it, where it is not the line's own doing.
    close_reason: Option<CloseReason>,
    /// The error number that a read or a write failed with.
    error: Option<i32>,
    client_connection: ClientConnection,
    wire: Wire,
    queued: bool,
    /// The time of the timer that stands for it.
    armed: f64,
    /// Its record in the budget, and the spell of waiting that this stands for.
    idle: Option<(IdleKey, u64)>,
    /// The spell of waiting that it is in, and since when.
    resting: Option<((Holder, u64), f64)>,
    /// Told to go: it does so as soon as it waits, and a last look found nothing more.
    leaves: bool,
    looked: bool,
    /// The last read failed for want of memory: bytes may lie in the socket.
    unread: bool,
    /// It is held beyond all room: its statement is refused, and it goes.
    refused: bool,
}

impl Seat {
    fn rests_as_stranger(&self) -> bool {
        self.resting.is_some_and(|((holder, _), _)| holder == Holder::NewClientConnection)
    }
}

/// Seconds for which a connection waits before it may be closed to make room for another.
const SETTLED: f64 = 0.1;

pub struct Clients {
    seats: Slab<Seat>,
    workloads: Vec<Workload>,
    dispatcher: MailboxSender<DispatcherMessage>,
    client_events: Vec<ClientEvent>,
    /// Connections that rest and have asked nothing yet.
    resting_strangers: usize,
    /// Statements taken so far, which names the next.
    submitted: u64,
    /// From now on each that rests is to go.
    dismissed: bool,
    /// Connections accepted so far, which names the next.
    accepted: u64,
    unusual: Limiter<CloseReason>,
    unread: Limiter<()>,
}

/// Tokens of clients are even, those of links odd; the first few are the loop's own.
pub fn token(key: usize) -> Token {
    Token(2 * key + 2)
}

impl Clients {
    pub fn new(workloads: Vec<Workload>, dispatcher: MailboxSender<DispatcherMessage>) -> Self {
        Clients {
            seats: Slab::new(),
            workloads,
            dispatcher,
            client_events: Vec::new(),
            resting_strangers: 0,
            submitted: 0,
            dismissed: false,
            accepted: 0,
            unusual: Limiter::default(),
            unread: Limiter::default(),
        }
    }

    /// Whether a connection rests that has asked nothing yet: it makes room soon, if it goes on so.
    pub fn has_resting_strangers(&self) -> bool {
        self.resting_strangers > 0
    }

    pub fn is_empty(&self) -> bool {
        self.seats.is_empty()
    }

    /// Takes a connection that is counted in the budget and may have waited since then; one that can't be set up now
    /// is handed back. One that is `refused` gets no more than a refusal.
    pub fn accept(
        &mut self,
        stream: TcpStream,
        waited_since: f64,
        refused: bool,
        context: &mut LoopContext,
    ) -> Result<(), (TcpStream, io::Error)> {
        // Without it answers may come a little later, which is better than none.
        if let Err(e) = stream.set_nodelay(true) {
            debug!(context.log, "client without TCP_NODELAY: {e}");
        }
        let entry = self.seats.vacant_entry();
        let key = entry.key();
        let mut wire = Wire::new(&context.registry, stream, token(key), true)?;
        // Most bring their first statement along.
        wire.look();
        wire.moved(context.clock.now());
        self.accepted += 1;
        let (now, number) = (context.clock.now(), self.accepted);
        debug!(context.log, "client accepted"; "client" => number, "peer" => ?wire.stream().peer_addr().ok());
        if number == 1 {
            info!(context.log, "first client accepted");
        }
        entry.insert(Seat {
            number,
            accepted_at: now,
            reads: 0,
            close_reason: None,
            error: None,
            client_connection: ClientConnection::waiting_since(waited_since, now),
            wire,
            queued: false,
            armed: f64::INFINITY,
            idle: None,
            resting: None,
            leaves: false,
            looked: false,
            unread: false,
            refused,
        });
        self.queue(key, context);
        Ok(())
    }

    pub fn told(&mut self, key: usize, event: &Event, context: &mut LoopContext) {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.wire.told(event);
            self.queue(key, context);
        }
    }

    fn queue(&mut self, key: usize, context: &mut LoopContext) {
        let seat = &mut self.seats[key];
        if !std::mem::replace(&mut seat.queued, true) {
            context.queue.push_back(token(key));
        }
    }

    /// Its turn in the loop's queue.
    pub fn called(&mut self, key: usize, context: &mut LoopContext) {
        if let Some(seat) = self.seats.get_mut(key) {
            seat.queued = false;
            self.run(key, context);
        }
    }

    /// A timer that may be this line's. What has come meanwhile is taken first.
    pub fn timer(&mut self, key: usize, at: f64, context: &mut LoopContext) {
        let Some(seat) = self.seats.get_mut(key).filter(|seat| seat.armed == at) else { return };
        seat.armed = f64::INFINITY;
        seat.wire.look_again(context.clock.now());
        if seat.client_connection.due() <= context.clock.now() {
            seat.wire.look();
        }
        self.run(key, context);
    }

    pub fn answer(&mut self, given: FinalAnswer, context: &mut LoopContext) {
        if let Some(seat) = self.seats.get_mut(given.client_connection) {
            debug!(context.log, "answered"; "client" => seat.number, "statement" => given.statement_id,
                "with" => given.answer.name());
            seat.client_connection.answer(
                context.clock.now(),
                given.statement_id,
                given.answer,
                &mut self.client_events,
            );
            self.run(given.client_connection, context);
        }
    }

    /// Tells one that waits to go. What has come from it by now is still read and answered.
    pub fn leave(&mut self, key: usize, context: &mut LoopContext) {
        let Some(seat) = self.seats.get_mut(key) else { return };
        let why = if self.dismissed { CloseReason::ClientDismissed } else { CloseReason::ClientEvicted };
        (seat.leaves, seat.looked, seat.close_reason) = (true, true, Some(why));
        seat.wire.look();
        self.run(key, context);
        let Some(seat) = self.seats.get_mut(key).filter(|_| !self.dismissed) else { return };
        if seat.client_connection.unanswered_bytes() > 0 {
            seat.client_connection.refuse_command(context.clock.now());
            self.run(key, context);
        }
    }

    /// All that wait go, and from now on each as soon as it waits.
    pub fn dismiss(&mut self, context: &mut LoopContext) {
        self.dismissed = true;
        let all: Vec<usize> = self.seats.iter().map(|(key, _)| key).collect();
        for key in all {
            self.leave(key, context);
        }
    }

    /// As much as one line may do before the others have their turn.
    fn run(&mut self, key: usize, context: &mut LoopContext) {
        let Some(seat) = self.seats.get_mut(key) else { return };
        let mut more = true;
        for _ in 0..TURN {
            let now = context.clock.now();
            let mut moved = false;
            if seat.wire.ending() && seat.client_connection.awaits_answer() {
                // Gone, though commands before its end may still be unread for want of room.
                gone(seat.client_connection.closed(), &self.dispatcher);
                break;
            }
            match seat.wire.write(seat.client_connection.pending_output()) {
                Moved::Bytes(put) => {
                    seat.client_connection.wrote(put);
                    seat.wire.moved(now);
                    moved = true;
                }
                Moved::Later => seat.wire.moved(now),
                Moved::Ended => {}
                Moved::Broken(error) => {
                    (seat.error, seat.close_reason) = (error, Some(CloseReason::ClientBroken));
                    gone(seat.client_connection.closed(), &self.dispatcher);
                    break;
                }
                Moved::Nothing => {}
            }
            let wanted_bytes = seat.client_connection.wanted_bytes().min(context.scratch.len());
            if seat.wire.readable() && wanted_bytes > 0 {
                seat.unread = false;
            }
            match seat.wire.read(&mut context.scratch[..wanted_bytes]) {
                Moved::Bytes(got) => {
                    seat.reads += 1;
                    if seat.wire.unannounced() {
                        context.counters.found_by_look.add();
                    }
                    seat.wire.moved(now);
                    seat.client_connection.receive_since(
                        context.events_since.min(now),
                        now,
                        &context.scratch[..got],
                    );
                    moved = true;
                }
                Moved::Ended => {
                    gone(seat.client_connection.closed(), &self.dispatcher);
                    break;
                }
                Moved::Broken(error) => {
                    (seat.error, seat.close_reason) = (error, Some(CloseReason::ClientBroken));
                    gone(seat.client_connection.closed(), &self.dispatcher);
                    break;
                }
                Moved::Later => {
                    seat.unread = true;
                    seat.wire.moved(now);
                }
                Moved::Nothing if wanted_bytes > 0 => seat.client_connection.read_would_block(),
                Moved::Nothing => {}
            }
            if seat.unread && seat.client_connection.due() <= now {
                // Its time is over only once what came in it has been read.
                more = false;
                break;
            }
            let client_events = &mut self.client_events;
            let mut client_context =
                ClientContext { budget: &mut context.budget, workloads: &self.workloads, client_events };
            match seat.client_connection.advance(now, &mut client_context) {
                Some(ClientAction::Submit { statement, deadline }) if seat.wire.ending() => {
                    // Asked before its client left: nobody reads an answer, so nothing is to begin for it.
                    context.counters.read_too_late.add();
                    if self.unread.admits(now, ()) {
                        info!(context.log, "a statement was read only with its client's end";
                            "client" => seat.number, "id" => &statement.id, "reads" => seat.reads,
                            "time_left_s" => format!("{:.3}", deadline - now),
                            "connected_s" => format!("{:.3}", now - seat.accepted_at));
                    }
                    seat.client_connection.closed();
                    break;
                }
                Some(ClientAction::Submit { statement, .. }) if seat.refused => {
                    self.submitted += 1;
                    seat.client_connection.submitted(self.submitted);
                    context.counters.refused_for_room.add();
                    debug!(context.log, "refused for want of descriptors"; "client" => seat.number, "id" => &statement.id);
                    seat.client_connection.answer(
                        now,
                        self.submitted,
                        Answer::Rejected(0.0),
                        &mut self.client_events,
                    );
                    (seat.leaves, seat.close_reason) = (true, Some(CloseReason::ClientEvicted));
                    moved = true;
                }
                Some(ClientAction::Submit { statement, deadline }) => {
                    self.submitted += 1;
                    seat.client_connection.submitted(self.submitted);
                    if self.submitted == 1 {
                        info!(context.log, "first statement read"; "client" => seat.number, "id" => &statement.id,
                            "reads" => seat.reads, "connected_s" => format!("{:.3}", now - seat.accepted_at));
                    }
                    debug!(context.log, "asked"; "client" => seat.number, "statement" => self.submitted, "id" => &statement.id,
                        "reads" => seat.reads, "time_left_s" => format!("{:.3}", deadline - now));
                    self.dispatcher.send(DispatcherMessage::StatementRequest(StatementRequest {
                        statement_id: self.submitted,
                        client_connection: key,
                        id: statement.id.clone(),
                        workload: statement.workload,
                        group: statement.group.clone(),
                        session: statement.session.clone(),
                        writes: statement.writes,
                        deadline,
                        wait: statement.wait,
                        last_write_at: statement.after,
                        retry: statement.retry,
                        mark: statement.mark.clone(),
                        payload: Arc::new(*statement),
                    }));
                    moved = true;
                }
                action => gone(action, &self.dispatcher),
            }
            more = moved || (seat.wire.writable() && !seat.client_connection.pending_output().is_empty());
            if seat.client_connection.ended() || !more {
                break;
            }
        }
        for client_event in self.client_events.drain(..) {
            match client_event {
                ClientEvent::IdleTimeout => context.counters.rested.add(),
                ClientEvent::EmptyQuery => context.counters.empty_queries.add(),
                ClientEvent::AnswerTimeout => context.counters.forsaken.add(),
                ClientEvent::BadInput(what) => {
                    context.counters.bad_input.add();
                    debug!(context.log, "bad input: {what}");
                }
            }
        }
        self.settle(key, more, context);
    }

    /// Puts on record what the line is now: gone, idle, armed, or with more to do.
    fn settle(&mut self, key: usize, more: bool, context: &mut LoopContext) {
        let seat = &mut self.seats[key];
        let idle_period = seat.client_connection.idle_period();
        // As the router ends, a command that has begun is waited for, its time allowing: it may be whole by the close.
        let begun = self.dismissed && seat.client_connection.unanswered_bytes() > 0;
        let leaves = (seat.leaves || self.dismissed) && idle_period.is_some() && !more && !begun;
        // A last look that failed proves nothing: its socket is looked at again in its own time.
        let looks = leaves && !seat.unread;
        if seat.client_connection.ended() || (looks && seat.looked) {
            return self.close(key, context);
        }
        if looks {
            seat.wire.look();
        }
        seat.looked = leaves;
        if seat.resting.map(|(spell, _)| spell) != idle_period {
            if let Some((rest, _)) = seat.idle.take() {
                context.budget.remove_idle(rest);
            }
            self.resting_strangers -= usize::from(seat.rests_as_stranger());
            seat.resting = idle_period.map(|spell| (spell, context.clock.now()));
            self.resting_strangers += usize::from(seat.rests_as_stranger());
        }
        let own = if seat.unread { f64::INFINITY } else { seat.client_connection.due() };
        let mut due = own.min(seat.wire.look_due());
        if let (Some(((holder, spell), since)), None) = (seat.resting, seat.idle) {
            // One that has only just come to wait may be about to ask: it is not closed for another's sake.
            if context.clock.now() >= since + SETTLED {
                seat.idle = Some((context.budget.mark_idle(holder, key), spell));
            } else {
                due = due.min(since + SETTLED);
            }
        }
        if due < seat.armed {
            seat.armed = due;
            context.timers.push(due, token(key));
        }
        if more || looks {
            self.queue(key, context);
        }
    }

    /// Counts why a connection ends, and logs it: each where all is logged, else the unusual ones, at most one of a
    /// kind in a second.
    fn log_closing(&mut self, seat: &Seat, context: &LoopContext) {
        let broken = seat.close_reason == Some(CloseReason::ClientBroken);
        let own_end = seat.client_connection.ended() && !broken;
        let why = seat.close_reason.filter(|_| !own_end).unwrap_or(seat.client_connection.close_reason());
        context.counters.closed(why);
        let now = context.clock.now();
        debug!(context.log, "client closed: {why:?}"; "client" => seat.number, "answered" => seat.client_connection.answered());
        if !why.ordinary() && self.unusual.admits(now, why) {
            info!(context.log, "client closed: {why:?}"; "client" => seat.number, "reads" => seat.reads,
                "answered" => seat.client_connection.answered(), "unanswered_bytes" => seat.client_connection.unanswered_bytes(),
                "errno" => seat.error, "connected_s" => format!("{:.3}", now - seat.accepted_at));
        }
    }

    fn close(&mut self, key: usize, context: &mut LoopContext) {
        let mut seat = self.seats.remove(key);
        self.resting_strangers -= usize::from(seat.rests_as_stranger());
        self.log_closing(&seat, context);
        if let Some((rest, _)) = seat.idle {
            context.budget.remove_idle(rest);
        }
        seat.client_connection.release(&mut context.budget);
        seat.wire.close(&context.registry);
        match seat.refused {
            true => context.budget.release_refused(),
            false => context.budget.release(Holder::ClientConnection),
        }
    }
}

fn gone(action: Option<ClientAction>, dispatcher: &MailboxSender<DispatcherMessage>) {
    if let Some(ClientAction::Abandon(statement_id)) = action {
        dispatcher.send(DispatcherMessage::ClientGone(statement_id));
    }
}
