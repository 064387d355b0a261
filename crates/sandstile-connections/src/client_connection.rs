//! One client connection as a state machine without I/O. It parses the received bytes into commands, asks the
//! caller to submit each statement to the dispatcher, and encodes the answers. One statement is open at a
//! time; pipelined commands wait, most of them still in the socket.
use crate::budget::{Budget, Holder};
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
const READ: usize = 4 * 1024;
/// Limits one read of a long command, so that the expected bytes arrive in few reads.
const MOST_READ: usize = 64 * 1024;

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
    Open,
    /// A statement has been handed to the caller and has no id yet.
    Wishing {
        deadline: f64,
    },
    Asking {
        statement_id: u64,
        deadline: f64,
    },
    /// Writes `output`, no later than until `deadline`.
    Saying {
        until: f64,
        then_ends: bool,
    },
    /// The answer was not written in time. The client is left to close the connection: because clocks differ
    /// a little, it may still count on an answer for a while.
    AnswerTimeout {
        until: f64,
    },
    Ended,
}

#[derive(Debug)]
pub struct ClientConnection {
    state: State,
    buf: Vec<u8>,
    /// Bytes reserved in the budget while `buf` is long.
    room: usize,
    out: Vec<u8>,
    written: usize,
    greeted: bool,
    holder: Holder,
    /// When the last bytes arrived, as far as this can be known.
    at: f64,
    /// When the last byte of each complete command in `buf` arrived; `complete_bytes` is how many bytes these
    /// commands take in `buf`.
    arrived: VecDeque<f64>,
    whole: usize,
    /// Since when reading has been paused for lack of room: bytes read next may have arrived as early as
    /// that.
    unread_since: Option<f64>,
    /// When the connection was accepted, its last answer was written, or the command began that is still
    /// incomplete.
    since: f64,
    /// Counts how often the connection has started to wait for a command.
    spell: u64,
    /// Number of statements that have been answered.
    answered: u64,
    close_reason: CloseReason,
}

enum Input {
    Begin,
    Encrypt,
    Query(Vec<u8>),
    Bad { code: &'static str, what: &'static str },
    End,
}

type Next = Result<Option<(Input, usize)>, pg::BadFrame>;

fn greeting(buf: &[u8]) -> Next {
    Ok(pg::startup(buf)?.map(|(kind, length)| match kind {
        Startup::Begin => (Input::Begin, length),
        Startup::Encrypt => (Input::Encrypt, length),
        Startup::Cancel => (Input::End, length),
    }))
}

fn command(buf: &[u8]) -> Next {
    // An unknown tag is refused at once, before its length field is trusted.
    if buf.first().is_some_and(|tag| !b"QXPBEDCHSFfdcp".contains(tag)) {
        return Err(pg::BadFrame("unknown message"));
    }
    let Some((tag, body)) = pg::frame(buf)? else { return Ok(None) };
    let length = body.end;
    let input = match (tag, buf[body].split_last()) {
        (b'Q', Some((0, text))) if !text.contains(&0) => Input::Query(text.to_vec()),
        (b'Q', _) => return Err(pg::BadFrame("query without an end")),
        (b'X', _) => Input::End,
        _ => Input::Bad { code: "0A000", what: "simple queries only" },
    };
    Ok(Some((input, length)))
}

impl ClientConnection {
    /// A connection that is accepted at `now`.
    pub fn new(now: f64) -> Self {
        ClientConnection::waiting_since(now, now)
    }

    /// A connection that may have been established at `since`, before it was accepted at `now`. The first
    /// bytes read may have arrived as early as `since`.
    pub fn waiting_since(since: f64, now: f64) -> Self {
        ClientConnection {
            state: State::Open,
            buf: Vec::new(),
            room: 0,
            out: Vec::new(),
            written: 0,
            greeted: false,
            holder: Holder::NewClientConnection,
            at: since,
            arrived: VecDeque::new(),
            whole: 0,
            unread_since: (since < now).then_some(since),
            since,
            spell: 0,
            answered: 0,
            close_reason: CloseReason::ClientClosed,
        }
    }

    /// How many bytes may be read now: none while an answer is being written, and few while a statement is
    /// open.
    pub fn wanted_bytes(&self) -> usize {
        match self.state {
            State::Open => {
                let end = if self.greeted { pg::frame_end(&self.buf, pg::MAX_FRAME_BYTES) } else { Ok(None) };
                let missing = end.ok().flatten().unwrap_or(0).saturating_sub(self.buf.len());
                missing.clamp(READ, MOST_READ)
            }
            State::Wishing { .. } | State::Asking { .. } => READ.saturating_sub(self.buf.len()),
            State::AnswerTimeout { .. } => READ,
            State::Saying { .. } | State::Ended => 0,
        }
    }

    pub fn receive(&mut self, now: f64, bytes: &[u8]) {
        self.receive_since(now, now, bytes);
    }

    /// Takes bytes that are read at `now` and arrived no earlier than at `since`.
    pub fn receive_since(&mut self, since: f64, now: f64, bytes: &[u8]) {
        match self.state {
            State::AnswerTimeout { .. } | State::Ended => return,
            // A command begins: its timeout runs from here.
            State::Open if self.buf.is_empty() && self.holder == Holder::ClientConnection => self.since = now,
            _ => {}
        }
        let wanted = self.wanted_bytes();
        // It is unknown when bytes that waited in the socket arrived, so the earliest possible time counts:
        // the client may have been waiting since then.
        self.at = self.unread_since.unwrap_or(since);
        self.buf.extend_from_slice(bytes);
        if self.greeted {
            self.count();
        }
        if bytes.len() < wanted {
            self.unread_since = None;
        } else if self.wanted_bytes() == 0 {
            self.unread_since = Some(self.at);
        }
    }

    /// A read found no more bytes: whatever is read from now on arrives from now on.
    pub fn read_would_block(&mut self) {
        self.unread_since = None;
    }

    /// Records the arrival time of each command that has become complete.
    fn count(&mut self) {
        while let Ok(Some(end)) = pg::frame_end(&self.buf[self.whole..], pg::MAX_FRAME_BYTES) {
            if self.buf.len() - self.whole < end {
                return;
            }
            self.whole += end;
            self.arrived.push_back(self.at);
        }
    }

    /// Whether a statement is open.
    pub fn awaits_answer(&self) -> bool {
        matches!(self.state, State::Wishing { .. } | State::Asking { .. })
    }

    /// The client has closed the connection, or the connection broke.
    pub fn closed(&mut self) -> Option<ClientAction> {
        if self.state != State::Ended {
            self.close_reason = match self.state {
                State::Wishing { .. } | State::Asking { .. } => CloseReason::ClientClosedAsking,
                State::AnswerTimeout { .. } => CloseReason::ClientForsaken,
                _ if self.buf.is_empty() => CloseReason::ClientClosed,
                _ => CloseReason::ClientClosedMidCommand,
            };
        }
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Asking { statement_id, .. } => Some(ClientAction::Abandon(statement_id)),
            _ => None,
        }
    }

    /// Bytes that are still to be written.
    pub fn pending_output(&self) -> &[u8] {
        match self.state {
            State::Saying { .. } => &self.out[self.written..],
            _ => &[],
        }
    }

    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
    }

    /// Sets the id of the statement that was last handed to the caller.
    pub fn submitted(&mut self, statement_id: u64) {
        if let State::Wishing { deadline } = self.state {
            self.state = State::Asking { statement_id, deadline };
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
            State::Asking { statement_id: out, deadline } if out == statement_id => deadline,
            _ => return,
        };
        if answer == Answer::Unusable {
            return self.unreadable(now, "42710", "the id of an open statement", client_events);
        }
        self.out = words(answer);
        self.answered += 1;
        self.holder = Holder::ClientConnection;
        self.say(deadline + ANSWER_GRACE_S, false);
    }

    /// Goes on as far as possible. Call it after receiving or writing bytes, after an answer, and at `due`.
    /// Hand in the bytes that have arrived first, or a command may be judged late only because this machine
    /// was slow to read it.
    pub fn advance(&mut self, now: f64, client_context: &mut ClientContext) -> Option<ClientAction> {
        loop {
            match self.state {
                State::Open => match self.next(now, client_context) {
                    Some(action) => return action,
                    None => continue,
                },
                State::Saying { then_ends, .. } if self.written == self.out.len() => {
                    (self.out, self.written) = (Vec::new(), 0);
                    if then_ends {
                        self.state = State::Ended;
                        continue;
                    }
                    if self.holder == Holder::ClientConnection {
                        self.since = now;
                    }
                    self.open();
                }
                State::Saying { until, .. } if now >= until => {
                    client_context.client_events.push(ClientEvent::AnswerTimeout);
                    (self.out, self.written) = (Vec::new(), 0);
                    self.state = State::AnswerTimeout { until: now + IDLE_TIMEOUT_S };
                }
                State::AnswerTimeout { until } if now >= until => self.end(CloseReason::ClientForsaken),
                State::Saying { .. }
                | State::Wishing { .. }
                | State::Asking { .. }
                | State::AnswerTimeout { .. }
                | State::Ended => return None,
            }
        }
    }

    /// When `advance` has to be called even if no bytes arrive; infinite if it need not be.
    pub fn due(&self) -> f64 {
        match self.state {
            State::Open => self.since + IDLE_TIMEOUT_S,
            State::Saying { until, .. } | State::AnswerTimeout { until } => until,
            State::Wishing { .. } | State::Asking { .. } | State::Ended => f64::INFINITY,
        }
    }

    pub fn ended(&self) -> bool {
        self.state == State::Ended
    }

    fn end(&mut self, close_reason: CloseReason) {
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

    /// If the connection is idle, and so may be evicted: what it counts as and the number of the idle period.
    /// A connection that has sent a statement before is not idle once its next command has begun, because the
    /// rest of that command may arrive just as it is closed.
    pub fn idle_period(&self) -> Option<(Holder, u64)> {
        let begun = self.holder == Holder::ClientConnection && !self.buf.is_empty();
        (self.state == State::Open && !begun).then_some((self.holder, self.spell))
    }

    /// Returns the memory it holds to the budget; call it last.
    pub fn release(&mut self, budget: &mut Budget) {
        budget.release_bytes(std::mem::take(&mut self.room));
    }

    fn open(&mut self) {
        self.state = State::Open;
        self.spell += 1;
    }

    fn say(&mut self, until: f64, then_ends: bool) {
        self.written = 0;
        self.state = State::Saying { until, then_ends };
    }

    /// Writes an error and closes the connection, because the bytes that follow can't be trusted.
    fn bad(&mut self, now: f64, code: &str, what: &'static str, client_events: &mut Vec<ClientEvent>) {
        client_events.push(ClientEvent::BadInput(what));
        self.close_reason = CloseReason::ClientBadInput;
        self.out.clear();
        pg::error(&mut self.out, true, code, what, None);
        self.say(now + IDLE_TIMEOUT_S, true);
    }

    /// Refuses the command that has begun and closes the connection, because another connection needs its
    /// descriptor. A command that has been read must not go unanswered.
    pub fn refuse_command(&mut self, now: f64) {
        if self.state != State::Open || self.buf.is_empty() {
            return;
        }
        self.close_reason = CloseReason::ClientEvicted;
        self.out.clear();
        pg::error(&mut self.out, true, "53300", "too many connections: trying again is harmless", None);
        self.say(now + IDLE_TIMEOUT_S, true);
    }

    /// Writes an error for one statement only. The boundaries of commands are still known, and the commands
    /// behind this one must be answered, so the connection stays open.
    fn unreadable(&mut self, now: f64, code: &str, what: &'static str, client_events: &mut Vec<ClientEvent>) {
        client_events.push(ClientEvent::BadInput(what));
        self.out.clear();
        pg::error(&mut self.out, false, code, what, None);
        pg::ready(&mut self.out);
        self.say(now + IDLE_TIMEOUT_S, false);
    }

    /// Processes the next command. `Some` means that the caller of `advance` has to return, with that action.
    fn next(&mut self, now: f64, client_context: &mut ClientContext) -> Option<Option<ClientAction>> {
        if self.buf.len() <= READ && self.room > 0 {
            client_context.budget.release_bytes(std::mem::take(&mut self.room));
            self.buf.shrink_to(READ);
        }
        let over = now >= self.since + IDLE_TIMEOUT_S;
        if over && self.holder == Holder::NewClientConnection && !self.buf.is_empty() {
            // Otherwise a client that sends empty queries for ever would be served for ever.
            self.bad(now, "08P01", "no statement in time", client_context.client_events);
            return None;
        }
        let next = if self.greeted { command(&self.buf) } else { greeting(&self.buf) };
        match next {
            Ok(Some((input, length))) => {
                self.buf.drain(..length);
                self.whole = self.whole.saturating_sub(length);
                let arrived = self.arrived.pop_front().unwrap_or(self.at);
                if self.buf.is_empty() {
                    // Frees the buffer: most connections are idle most of the time.
                    self.buf = Vec::new();
                }
                return self.act(now, arrived, input, client_context).map(Some);
            }
            Err(pg::BadFrame(what)) => {
                self.bad(now, "08P01", what, client_context.client_events);
                return None;
            }
            Ok(None) => {}
        }
        if self.buf.len() > READ && self.room == 0 {
            let room = 2 * pg::MAX_FRAME_BYTES;
            if !client_context.budget.reserve_bytes(room) {
                self.bad(now, "53200", "too many long commands at once", client_context.client_events);
                return None;
            }
            self.room = room;
        }
        if over && self.buf.is_empty() {
            client_context.client_events.push(ClientEvent::IdleTimeout);
            self.end(CloseReason::ClientRested);
        } else if over {
            self.bad(now, "08P01", "a command without an end", client_context.client_events);
        } else {
            return Some(None);
        }
        None
    }

    fn act(
        &mut self,
        now: f64,
        arrived: f64,
        input: Input,
        client_context: &mut ClientContext,
    ) -> Option<ClientAction> {
        match input {
            Input::Begin => {
                self.greeted = true;
                self.count();
                pg::startup_response(&mut self.out);
                self.say(now + IDLE_TIMEOUT_S, false);
            }
            Input::Encrypt => {
                self.out.push(b'N');
                self.say(now + IDLE_TIMEOUT_S, false);
            }
            Input::Query(text) if text.iter().all(|b| b.is_ascii_whitespace() || *b == b';') => {
                client_context.client_events.push(ClientEvent::EmptyQuery);
                pg::empty_query(&mut self.out);
                self.say(now + IDLE_TIMEOUT_S, false);
            }
            Input::Query(text) => match statement::read(text, client_context.workloads) {
                Ok(statement) => {
                    // The client waits from the statement's own last byte, however long the statements before
                    // it took.
                    let deadline = arrived + statement.wait;
                    // The grace of the answer starts no earlier than now. Otherwise a statement that was
                    // delayed by those before it would lose its answer, and so would all statements behind
                    // it.
                    self.state = State::Wishing { deadline: deadline.max(now) };
                    return Some(ClientAction::Submit { statement: Box::new(statement), deadline });
                }
                Err(wrong) => self.unreadable(now, "42601", wrong.text(), client_context.client_events),
            },
            Input::Bad { code, what } => self.bad(now, code, what, client_context.client_events),
            Input::End => self.end(CloseReason::ClientTerminated),
        }
        None
    }
}

/// Encodes an answer with the ReadyForQuery behind it.
fn words(answer: Answer) -> Vec<u8> {
    let mut out = Vec::new();
    match answer {
        Answer::Completed(rows, mark) => {
            out = rows;
            if let Some(mark) = mark {
                pg::parameter(&mut out, MARK_PARAMETER, &mark);
            }
        }
        Answer::Rejected(after) => {
            let ms = format!("{:.0}", (after * 1000.0).floor());
            let detail = Some(ms.as_str()).filter(|_| after > 0.0);
            pg::error(&mut out, false, "53300", "rejected: trying again is harmless", detail);
        }
        Answer::Aborted | Answer::Unusable => {
            pg::error(&mut out, false, "57014", "aborted: it may have run", None);
        }
    }
    pg::ready(&mut out);
    out
}
