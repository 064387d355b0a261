//! One client connection as a state machine without I/O. It parses the received bytes into commands, asks the
//! caller to submit each statement to the dispatcher, and encodes the answers. One statement is open at a
//! time; pipelined commands wait, most of them still in the socket.
use crate::budget::{Budget, Holder, Reservation};
use crate::close_reason::CloseReason;
use crate::statement::{self, Statement, Workload};
use crate::task::Answer;
use sandstile_pgwire::{self as pg, Startup};
use std::collections::VecDeque;

/// A connection without an open statement may be closed after 2 s. The same limit applies to one that sends
/// no complete request, never finishes a command or does not read its answer.
pub const IDLE_TIMEOUT_S: f64 = 2.0;
/// An answer that is decided in time may be written slightly late. Up to 0.5 s after its deadline an answer
/// has no value but still counts as given; later, or if it is never written, it counts as lost. The remaining
/// 0.1 s covers the way to the client.
pub const ANSWER_GRACE_S: f64 = 0.4;
/// The ParameterStatus in which a session receives its mark. The client sends it back in the field `mark` of
/// the statement's comment.
pub const MARK_PARAMETER: &str = "sandstile_mark";
/// Most commands arrive complete in one read.
const READ_BYTES: usize = 4 * 1024;
/// Limits one read of a long command, so that the expected bytes arrive in few reads.
const MAX_READ_BYTES: usize = 64 * 1024;
/// A long buffer grows, and its memory is reserved, in steps of this many bytes.
const BUFFER_STEP_BYTES: usize = 16 * 1024;
/// SQLSTATE and message where the budget has no memory for a long command.
const NO_MEMORY: (&str, &str) = ("53200", "too many long commands at once");
/// Bytes that tell the length of a message, and of the startup message.
const FRAME_HEADER_BYTES: usize = 5;
const STARTUP_HEADER_BYTES: usize = 4;
/// SQLSTATE cannot_connect_now: a retry is harmless.
const SHUTTING_DOWN: &str = "57P03";
const SHUTTING_DOWN_MESSAGE: &str = "the router is shutting down: trying again is harmless";

/// What a connection still reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadLimit {
    Unlimited,
    /// One more read for further commands, and then as `PartialCommand`.
    OneRead,
    /// Only the rest of a command that was read in part: it has to be answered, so the bytes behind it must
    /// stay unread.
    PartialCommand,
}

/// State that a client connection shares with the other connections of its event loop.
pub struct ClientContext<'a> {
    pub budget: &'a mut Budget,
    pub workloads: &'a [Workload],
    /// Events to be counted, in the order in which they occurred.
    pub client_events: &'a mut Vec<ClientEvent>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// Closed because the client sent no command in time.
    IdleTimeout,
    EmptyQuery,
    BadInput(&'static str),
    /// The answer could not be written completely before the client's deadline and the grace after it.
    AnswerTimeout,
    /// A command was refused because the router is ending.
    RefusedAtShutdown,
    /// A command or an answer found no room in the memory for long ones.
    NoMemory,
}

#[derive(Debug, PartialEq)]
pub enum ClientAction {
    /// Submit this statement to the dispatcher and report its id by `submitted`. The client stops waiting at
    /// `deadline`.
    Submit { statement: Box<Statement>, deadline: f64 },
    /// The client has left while this statement was open: nobody will read its answer.
    Abandon(u64),
}

#[derive(Debug, PartialEq)]
enum State {
    /// Parses commands.
    ReadingCommands,
    /// A statement has been handed to the caller and has no id yet.
    Submitting {
        deadline: f64,
    },
    AwaitingAnswer {
        statement_id: u64,
        deadline: f64,
    },
    /// Writes `output`, no later than until `deadline`.
    Writing {
        deadline: f64,
        close_after: bool,
    },
    /// The answer was not written in time. The client is left to close the connection: because clocks differ
    /// a little, it may still count on an answer for a while.
    AnswerTimeout {
        deadline: f64,
    },
    Ended,
}

#[derive(Debug)]
pub struct ClientConnection {
    state: State,
    read_limit: ReadLimit,
    /// The router is ending: commands that were read are refused from now on.
    refuses: bool,
    /// A command has been received while the one before it was unanswered.
    pipelined: bool,
    buf: Vec<u8>,
    /// Bytes reserved in the budget while `buf` is long.
    reserved_bytes: usize,
    output: Vec<u8>,
    /// Memory for a long `output`, which is held for as long as the client takes to read it.
    output_reservation: Option<Reservation>,
    written: usize,
    startup_complete: bool,
    holder: Holder,
    /// When the last bytes arrived, as far as this can be known.
    received_at: f64,
    /// When the last byte of each complete command in `buf` arrived; `complete_bytes` is how many bytes these
    /// commands take in `buf`.
    arrival_times: VecDeque<f64>,
    complete_bytes: usize,
    /// Since when reading has been paused for lack of room: bytes read next may have arrived as early as
    /// that.
    unread_since: Option<f64>,
    /// When the connection was accepted, its last answer was written, or the command began that is still
    /// incomplete.
    waiting_since: f64,
    /// Counts how often the connection has started to wait for a command.
    idle_period_number: u64,
    /// Number of statements that have been answered.
    answered: u64,
    close_reason: CloseReason,
}

enum Input {
    Begin,
    Encrypt,
    Query(Vec<u8>),
    Unsupported { code: &'static str, message: &'static str },
    Terminate,
}

type ParseResult = Result<Option<(Input, usize)>, pg::BadFrame>;

fn parse_startup(buf: &[u8]) -> ParseResult {
    Ok(pg::startup(buf)?.map(|(kind, length)| match kind {
        Startup::Begin => (Input::Begin, length),
        Startup::Encrypt => (Input::Encrypt, length),
        Startup::Cancel => (Input::Terminate, length),
    }))
}

fn parse_command(buf: &[u8]) -> ParseResult {
    // An unknown tag is refused at once, before its length field is trusted.
    if buf.first().is_some_and(|tag| !b"QXPBEDCHSFfdcp".contains(tag)) {
        return Err(pg::BadFrame("unknown message"));
    }
    let Some((tag, body)) = pg::frame(buf)? else { return Ok(None) };
    let length = body.end;
    let input = match (tag, buf[body].split_last()) {
        (b'Q', Some((0, text))) if !text.contains(&0) => Input::Query(text.to_vec()),
        (b'Q', _) => return Err(pg::BadFrame("query without an end")),
        (b'X', _) => Input::Terminate,
        _ => Input::Unsupported { code: "0A000", message: "simple queries only" },
    };
    Ok(Some((input, length)))
}

impl ClientConnection {
    /// A connection that is accepted at `now`.
    pub fn new(now: f64) -> Self {
        ClientConnection::waiting_since(now, now)
    }

    /// A connection that may have been established at `waiting_since`, before it was accepted at `now`. The
    /// bytes read first may have arrived as early as `waiting_since`.
    pub fn waiting_since(waiting_since: f64, now: f64) -> Self {
        ClientConnection {
            state: State::ReadingCommands,
            read_limit: ReadLimit::Unlimited,
            refuses: false,
            pipelined: false,
            buf: Vec::new(),
            reserved_bytes: 0,
            output: Vec::new(),
            output_reservation: None,
            written: 0,
            startup_complete: false,
            holder: Holder::NewClientConnection,
            received_at: waiting_since,
            arrival_times: VecDeque::new(),
            complete_bytes: 0,
            unread_since: (waiting_since < now).then_some(waiting_since),
            waiting_since,
            idle_period_number: 0,
            answered: 0,
            close_reason: CloseReason::ClientClosed,
        }
    }

    /// How many bytes may be read now: none while an answer is being written, and few while a statement is
    /// open.
    pub fn wanted_bytes(&self) -> usize {
        match self.state {
            State::ReadingCommands if self.read_limit == ReadLimit::PartialCommand => {
                self.missing_bytes().min(MAX_READ_BYTES)
            }
            State::ReadingCommands => {
                let missing = if self.startup_complete { self.missing_bytes() } else { 0 };
                missing.clamp(READ_BYTES, MAX_READ_BYTES)
            }
            State::Submitting { .. } | State::AwaitingAnswer { .. }
                if self.read_limit == ReadLimit::PartialCommand =>
            {
                0
            }
            State::Submitting { .. } | State::AwaitingAnswer { .. } => {
                READ_BYTES.saturating_sub(self.buf.len())
            }
            State::AnswerTimeout { .. } => READ_BYTES,
            State::Writing { .. } | State::Ended => 0,
        }
    }

    /// How many bytes of the command that has begun are known to be missing; 0 if none has begun.
    fn missing_bytes(&self) -> usize {
        let header_bytes = if self.startup_complete { FRAME_HEADER_BYTES } else { STARTUP_HEADER_BYTES };
        let end = if self.startup_complete {
            pg::frame_end(&self.buf, pg::MAX_FRAME_BYTES)
        } else {
            pg::startup_end(&self.buf)
        };
        match end {
            Ok(None) if !self.buf.is_empty() => header_bytes.saturating_sub(self.buf.len()),
            Ok(Some(end)) => end.saturating_sub(self.buf.len()),
            Ok(None) | Err(_) => 0,
        }
    }

    /// Reads once more for commands, and from then on only the rest of a command that was read in part.
    pub fn limit_to_one_read(&mut self) {
        self.read_limit = ReadLimit::OneRead;
    }

    /// Whether the client has sent commands without waiting for the answers before them. Then more of them may
    /// arrive at any time.
    pub fn pipelined(&self) -> bool {
        self.pipelined
    }

    pub fn receive(&mut self, now: f64, bytes: &[u8]) {
        self.receive_since(now, now, bytes);
    }

    /// Takes bytes that are read at `now` and arrived no earlier than at `earliest`.
    pub fn receive_since(&mut self, earliest: f64, now: f64, bytes: &[u8]) {
        match self.state {
            State::AnswerTimeout { .. } | State::Ended => return,
            // A command begins: its timeout runs from here.
            State::ReadingCommands if self.buf.is_empty() && self.holder == Holder::ClientConnection => {
                self.waiting_since = now
            }
            _ => {}
        }
        self.pipelined |= self.awaits_answer();
        let wanted = self.wanted_bytes();
        // It is unknown when bytes that waited in the socket arrived, so the earliest possible time counts:
        // the client may have been waiting since then.
        self.received_at = self.unread_since.unwrap_or(earliest);
        self.grow_buffer(bytes.len());
        self.buf.extend_from_slice(bytes);
        if self.startup_complete {
            self.record_arrivals();
        }
        if bytes.len() < wanted {
            self.unread_since = None;
        } else if self.wanted_bytes() == 0 {
            self.unread_since = Some(self.received_at);
        }
        self.end_last_read(self.received_at);
    }

    /// Makes room for more bytes. A long buffer grows in steps, so that it never takes twice what it holds.
    fn grow_buffer(&mut self, bytes: usize) {
        let needed = self.buf.len() + bytes;
        if needed > READ_BYTES && needed > self.buf.capacity() {
            self.buf.reserve_exact(needed.next_multiple_of(BUFFER_STEP_BYTES) - self.buf.len());
        }
    }

    /// Reserves the memory of a long buffer and of a copy of it. `false` if there is no room.
    fn reserve_buffer(&mut self, budget: &mut Budget) -> bool {
        if self.buf.len() <= READ_BYTES {
            return true;
        }
        let needed = 2 * self.buf.len().next_multiple_of(BUFFER_STEP_BYTES);
        let missing = needed.saturating_sub(self.reserved_bytes);
        let has_room = missing == 0 || budget.reserve_bytes(missing);
        self.reserved_bytes += if has_room { missing } else { 0 };
        has_room
    }

    /// What arrives after `since` stays in the socket for now.
    fn end_last_read(&mut self, since: f64) {
        if self.read_limit == ReadLimit::OneRead {
            self.read_limit = ReadLimit::PartialCommand;
            self.unread_since.get_or_insert(since);
        }
    }

    /// A read at `now` found no more bytes: whatever is read from now on arrives from now on.
    pub fn read_would_block(&mut self, now: f64) {
        self.unread_since = None;
        self.end_last_read(now);
    }

    /// Records the arrival time of each command that has become complete.
    fn record_arrivals(&mut self) {
        while let Ok(Some(end)) = pg::frame_end(&self.buf[self.complete_bytes..], pg::MAX_FRAME_BYTES) {
            if self.buf.len() - self.complete_bytes < end {
                return;
            }
            self.complete_bytes += end;
            self.arrival_times.push_back(self.received_at);
        }
    }

    /// Whether a statement is open.
    pub fn awaits_answer(&self) -> bool {
        matches!(self.state, State::Submitting { .. } | State::AwaitingAnswer { .. })
    }

    /// The client has closed the connection, or the connection broke.
    pub fn closed(&mut self) -> Option<ClientAction> {
        if self.state != State::Ended {
            self.close_reason = match self.state {
                State::Submitting { .. } | State::AwaitingAnswer { .. } => CloseReason::ClientClosedAsking,
                State::AnswerTimeout { .. } => CloseReason::ClientForsaken,
                _ if self.buf.is_empty() => CloseReason::ClientClosed,
                _ => CloseReason::ClientClosedMidCommand,
            };
        }
        match std::mem::replace(&mut self.state, State::Ended) {
            State::AwaitingAnswer { statement_id, .. } => Some(ClientAction::Abandon(statement_id)),
            _ => None,
        }
    }

    /// Bytes that are still to be written.
    pub fn pending_output(&self) -> &[u8] {
        match self.state {
            State::Writing { .. } => &self.output[self.written..],
            _ => &[],
        }
    }

    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
    }

    /// Sets the id of the statement that was last handed to the caller.
    pub fn submitted(&mut self, statement_id: u64) {
        if let State::Submitting { deadline } = self.state {
            self.state = State::AwaitingAnswer { statement_id, deadline };
        }
    }

    /// Takes the one answer to the open statement. An answer to any other statement is ignored.
    pub fn answer(
        &mut self,
        now: f64,
        statement_id: u64,
        answer: Answer,
        client_events: &mut Vec<ClientEvent>,
    ) {
        let deadline = match self.state {
            State::AwaitingAnswer { statement_id: open_statement, deadline }
                if open_statement == statement_id =>
            {
                deadline
            }
            _ => return,
        };
        if answer == Answer::Unusable {
            return self.reject_statement(
                now,
                "42710",
                "the id of a statement that is open or has run",
                client_events,
            );
        }
        self.output = encode_answer(answer);
        self.answered += 1;
        self.holder = Holder::ClientConnection;
        self.start_writing(deadline + ANSWER_GRACE_S, false);
    }

    /// Reserves memory for an answer of which nothing is written yet. Where there is no room for a long one, its
    /// client learns only that its statement may have run.
    pub fn reserve_answer(&mut self, budget: &mut Budget, client_events: &mut Vec<ClientEvent>) {
        if !matches!(self.state, State::Writing { .. }) || self.output.len() <= READ_BYTES {
            return;
        }
        self.output_reservation = budget.reservation(self.output.len());
        if self.output_reservation.is_none() {
            self.output = encode_answer(Answer::Aborted);
            client_events.push(ClientEvent::NoMemory);
        }
    }

    fn drop_output(&mut self) {
        (self.output, self.output_reservation, self.written) = (Vec::new(), None, 0);
    }

    /// Advances as far as possible. Call it after receiving or writing bytes, after an answer, and at `due`.
    /// Hand in the bytes that have arrived first, or a command may be judged late only because this machine
    /// was slow to read it.
    pub fn advance(&mut self, now: f64, client_context: &mut ClientContext) -> Option<ClientAction> {
        loop {
            match self.state {
                State::ReadingCommands => match self.next_action(now, client_context) {
                    Some(action) => return action,
                    None => continue,
                },
                State::Writing { close_after, .. } if self.written == self.output.len() => {
                    self.drop_output();
                    if close_after {
                        self.state = State::Ended;
                        continue;
                    }
                    if self.holder == Holder::ClientConnection {
                        self.waiting_since = now;
                    }
                    self.start_waiting();
                }
                State::Writing { deadline, .. } if now >= deadline => {
                    client_context.client_events.push(ClientEvent::AnswerTimeout);
                    self.drop_output();
                    self.state = State::AnswerTimeout { deadline: now + IDLE_TIMEOUT_S };
                }
                State::AnswerTimeout { deadline } if now >= deadline => {
                    self.close(CloseReason::ClientForsaken)
                }
                State::Writing { .. }
                | State::Submitting { .. }
                | State::AwaitingAnswer { .. }
                | State::AnswerTimeout { .. }
                | State::Ended => return None,
            }
        }
    }

    /// When `advance` has to be called even if no bytes arrive; infinite if it need not be.
    pub fn due(&self) -> f64 {
        match self.state {
            State::ReadingCommands => self.waiting_since + IDLE_TIMEOUT_S,
            State::Writing { deadline, .. } | State::AnswerTimeout { deadline } => deadline,
            State::Submitting { .. } | State::AwaitingAnswer { .. } | State::Ended => f64::INFINITY,
        }
    }

    pub fn ended(&self) -> bool {
        self.state == State::Ended
    }

    fn close(&mut self, close_reason: CloseReason) {
        self.close_reason = close_reason;
        self.state = State::Ended;
    }

    /// Why the connection was closed; meaningful once it has ended.
    pub fn close_reason(&self) -> CloseReason {
        self.close_reason
    }

    /// Bytes of commands that have been received but not yet processed.
    pub fn unanswered_bytes(&self) -> usize {
        self.buf.len()
    }

    pub fn answered(&self) -> u64 {
        self.answered
    }

    /// The kind of holder and the number of the idle period, if the connection is idle and so may be evicted.
    /// A connection that has sent a statement before is not idle once its next command has begun, because the
    /// rest of that command may arrive just as it is closed.
    pub fn idle_period(&self) -> Option<(Holder, u64)> {
        let command_begun = self.holder == Holder::ClientConnection && !self.buf.is_empty();
        (self.state == State::ReadingCommands && !command_begun)
            .then_some((self.holder, self.idle_period_number))
    }

    /// Returns the memory it holds to the budget; call it last.
    pub fn release(&mut self, budget: &mut Budget) {
        budget.release_bytes(std::mem::take(&mut self.reserved_bytes));
    }

    fn start_waiting(&mut self) {
        self.state = State::ReadingCommands;
        self.idle_period_number += 1;
    }

    fn start_writing(&mut self, deadline: f64, close_after: bool) {
        self.written = 0;
        self.state = State::Writing { deadline, close_after };
    }

    /// Writes an error and closes the connection, because the bytes that follow can't be trusted.
    fn fail_connection(
        &mut self,
        now: f64,
        code: &str,
        message: &'static str,
        client_events: &mut Vec<ClientEvent>,
    ) {
        client_events.push(ClientEvent::BadInput(message));
        self.close_reason = CloseReason::ClientBadInput;
        self.output.clear();
        pg::error(&mut self.output, true, code, message, None);
        self.start_writing(now + IDLE_TIMEOUT_S, true);
    }

    /// Refuses the command that has begun and closes the connection, because another connection needs its
    /// descriptor. A command that has been read must not go unanswered.
    pub fn refuse_command(&mut self, now: f64) {
        if self.state != State::ReadingCommands || self.buf.is_empty() {
            return;
        }
        self.close_reason = CloseReason::ClientEvicted;
        self.output.clear();
        pg::error(&mut self.output, true, "53300", "too many connections: trying again is harmless", None);
        self.start_writing(now + IDLE_TIMEOUT_S, true);
    }

    /// The router is ending: refuses what was read and has no answer yet. Returns the open statement, which is
    /// to be abandoned. It may have run, so its client must not take it for refused.
    pub fn refuse_unanswered(
        &mut self,
        now: f64,
        client_events: &mut Vec<ClientEvent>,
    ) -> Option<ClientAction> {
        self.refuses = true;
        self.read_limit = ReadLimit::PartialCommand;
        match self.state {
            State::ReadingCommands if !self.buf.is_empty() => {
                self.close_reason = CloseReason::ClientDismissed;
                self.refuse_for_shutdown(now, true, client_events);
                None
            }
            State::AwaitingAnswer { statement_id, .. } => {
                client_events.push(ClientEvent::RefusedAtShutdown);
                self.output = encode_answer(Answer::Aborted);
                self.answered += 1;
                self.start_writing(now + IDLE_TIMEOUT_S, false);
                Some(ClientAction::Abandon(statement_id))
            }
            _ => None,
        }
    }

    /// Refuses one command; with `fatal` the connection closes behind the error.
    fn refuse_for_shutdown(&mut self, now: f64, fatal: bool, client_events: &mut Vec<ClientEvent>) {
        client_events.push(ClientEvent::RefusedAtShutdown);
        self.output.clear();
        pg::error(&mut self.output, fatal, SHUTTING_DOWN, SHUTTING_DOWN_MESSAGE, None);
        if !fatal {
            pg::ready(&mut self.output);
        }
        self.start_writing(now + IDLE_TIMEOUT_S, fatal);
    }

    /// Writes an error for one statement only. The boundaries of commands are still known, and the commands
    /// behind this one must be answered, so the connection stays open.
    fn reject_statement(
        &mut self,
        now: f64,
        code: &str,
        message: &'static str,
        client_events: &mut Vec<ClientEvent>,
    ) {
        client_events.push(ClientEvent::BadInput(message));
        self.output.clear();
        pg::error(&mut self.output, false, code, message, None);
        pg::ready(&mut self.output);
        self.start_writing(now + IDLE_TIMEOUT_S, false);
    }

    /// Processes the next command. With `Some`, `advance` returns the action or `None`; with `None` it goes on.
    fn next_action(&mut self, now: f64, client_context: &mut ClientContext) -> Option<Option<ClientAction>> {
        if self.buf.len() <= READ_BYTES && self.reserved_bytes > 0 {
            client_context.budget.release_bytes(std::mem::take(&mut self.reserved_bytes));
            self.buf.shrink_to(READ_BYTES);
        }
        let timed_out = now >= self.waiting_since + IDLE_TIMEOUT_S;
        if timed_out && self.holder == Holder::NewClientConnection && !self.buf.is_empty() {
            // Otherwise a client that sends empty queries for ever would be served for ever.
            self.fail_connection(now, "08P01", "no statement in time", client_context.client_events);
            return None;
        }
        let parsed = if self.startup_complete { parse_command(&self.buf) } else { parse_startup(&self.buf) };
        match parsed {
            Ok(Some((input, length))) => {
                self.buf.drain(..length);
                self.complete_bytes = self.complete_bytes.saturating_sub(length);
                let arrived_at = self.arrival_times.pop_front().unwrap_or(self.received_at);
                self.pipelined |= self.startup_complete && !self.buf.is_empty();
                if self.buf.is_empty() {
                    // Frees the buffer: most connections are idle most of the time.
                    self.buf = Vec::new();
                }
                return self.handle_input(now, arrived_at, input, client_context).map(Some);
            }
            Err(pg::BadFrame(message)) => {
                self.fail_connection(now, "08P01", message, client_context.client_events);
                return None;
            }
            Ok(None) => {}
        }
        if !self.reserve_buffer(client_context.budget) {
            let (code, message) = NO_MEMORY;
            self.fail_connection(now, code, message, client_context.client_events);
            client_context.client_events.push(ClientEvent::NoMemory);
            self.buf = Vec::new();
            return None;
        }
        if timed_out && self.buf.is_empty() {
            client_context.client_events.push(ClientEvent::IdleTimeout);
            self.close(CloseReason::ClientRested);
        } else if timed_out {
            self.fail_connection(now, "08P01", "a command without an end", client_context.client_events);
        } else {
            return Some(None);
        }
        None
    }

    fn handle_input(
        &mut self,
        now: f64,
        arrived_at: f64,
        input: Input,
        client_context: &mut ClientContext,
    ) -> Option<ClientAction> {
        match input {
            Input::Begin => {
                self.startup_complete = true;
                self.record_arrivals();
                pg::startup_response(&mut self.output);
                self.start_writing(now + IDLE_TIMEOUT_S, false);
            }
            Input::Encrypt => {
                self.output.push(b'N');
                self.start_writing(now + IDLE_TIMEOUT_S, false);
            }
            Input::Query(text) if text.iter().all(|b| b.is_ascii_whitespace() || *b == b';') => {
                client_context.client_events.push(ClientEvent::EmptyQuery);
                pg::empty_query(&mut self.output);
                self.start_writing(now + IDLE_TIMEOUT_S, false);
            }
            Input::Query(_) if self.refuses => {
                self.refuse_for_shutdown(now, false, client_context.client_events)
            }
            Input::Query(text) => match statement::read(text, client_context.workloads) {
                Ok(mut statement) => {
                    // The statement may outlive this connection, so it reserves its memory itself. Only what is
                    // still in the buffer belongs to the connection.
                    if self.buf.is_empty() {
                        client_context.budget.release_bytes(std::mem::take(&mut self.reserved_bytes));
                    }
                    if !statement.reserve(READ_BYTES, client_context.budget) {
                        let (code, message) = NO_MEMORY;
                        self.reject_statement(now, code, message, client_context.client_events);
                        client_context.client_events.push(ClientEvent::NoMemory);
                        return None;
                    }
                    // The client waits from the statement's own last byte, however long the statements before
                    // it took.
                    let deadline = arrived_at + statement.timeout;
                    // The grace of the answer starts no earlier than now. Otherwise a statement that was
                    // delayed by those before it would lose its answer, and so would all statements behind
                    // it.
                    self.state = State::Submitting { deadline: deadline.max(now) };
                    return Some(ClientAction::Submit { statement: Box::new(statement), deadline });
                }
                Err(error) => self.reject_statement(now, "42601", error.text(), client_context.client_events),
            },
            Input::Unsupported { code, message } => {
                self.fail_connection(now, code, message, client_context.client_events)
            }
            Input::Terminate => self.close(CloseReason::ClientTerminated),
        }
        None
    }
}

/// Encodes an answer with the ReadyForQuery behind it.
fn encode_answer(answer: Answer) -> Vec<u8> {
    let mut output = Vec::new();
    match answer {
        Answer::Completed(rows, mark) => {
            output = rows;
            if let Some(mark) = mark {
                pg::parameter(&mut output, MARK_PARAMETER, &mark);
            }
        }
        Answer::Rejected(retry_after_s) => {
            let ms = format!("{:.0}", (retry_after_s * 1000.0).floor());
            let detail = Some(ms.as_str()).filter(|_| retry_after_s > 0.0);
            pg::error(&mut output, false, "53300", "rejected: trying again is harmless", detail);
        }
        Answer::Aborted | Answer::Unusable => {
            pg::error(&mut output, false, "57014", "aborted: it may have run", None);
        }
    }
    pg::ready(&mut output);
    output
}
