//! One client's connection: it takes commands out of the bytes that come, wishes for each statement to be put before
//! the desk, and says what comes back. One statement is out at a time; what is pipelined waits, the most of it in the
//! socket.
use crate::budget::{Budget, Holder};
use crate::close_reason::CloseReason;
use crate::statement::{self, Statement, Workload};
use crate::task::Answer;
use sandstile_pgwire::{self as pg, Startup};
use std::collections::VecDeque;

/// A connection with no open request may be closed after 2 s; one that brings no whole request, a command
/// without an end, or takes in no answer has no longer either.
pub const IDLE_TIMEOUT_S: f64 = 2.0;
/// An answer decided in time can come to be written just after it. Up to half a second late it earns nothing but
/// counts as given, later or never it is lost; a tenth is left for the way to the client.
pub const ANSWER_GRACE_S: f64 = 0.4;
/// The parameter in which a session is handed its mark; it comes back in the comment's field `mark`.
pub const MARK_PARAMETER: &str = "sandstile_mark";
/// Most commands come whole in one read.
const READ: usize = 4 * 1024;
/// What is known to come is read in few pieces.
const MOST_READ: usize = 64 * 1024;

/// What the line shares with the others.
pub struct ClientContext<'a> {
    pub budget: &'a mut Budget,
    pub workloads: &'a [Workload],
    /// What is to be counted, in the order in which it was seen.
    pub client_events: &'a mut Vec<ClientEvent>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// Closed as it had nothing to ask.
    IdleTimeout,
    EmptyQuery,
    BadInput(&'static str),
    /// An answer could not be given whole in the client's time.
    AnswerTimeout,
}

#[derive(Debug, PartialEq)]
pub enum ClientAction {
    /// Put this before the desk and say by `submitted` what it is called there. The client's time is up at `deadline`.
    Submit { statement: Box<Statement>, deadline: f64 },
    /// The client has left while this was out: nobody reads its answer.
    Abandon(u64),
}

#[derive(Debug, PartialEq)]
enum State {
    /// Takes commands.
    Open,
    /// A statement has been wished for and has no name yet.
    Wishing {
        deadline: f64,
    },
    Asking {
        statement_id: u64,
        deadline: f64,
    },
    /// Says what is in `out`, until then at the latest.
    Saying {
        until: f64,
        then_ends: bool,
    },
    /// The client's time is over: the end of the connection is the client's to make, for it may count on an answer
    /// for a while yet; clocks differ a little.
    AnswerTimeout {
        until: f64,
    },
    Ended,
}

#[derive(Debug)]
pub struct ClientConnection {
    state: State,
    buf: Vec<u8>,
    /// Bytes held of the budget's room, while `buf` is a long one.
    room: usize,
    out: Vec<u8>,
    written: usize,
    greeted: bool,
    holder: Holder,
    /// When the last bytes came, as far as can be told.
    at: f64,
    /// When the last byte of each whole command in `buf` came, and the bytes that these take there.
    arrived: VecDeque<f64>,
    whole: usize,
    /// Since when there was no room to read: what is read next may have come then.
    unread_since: Option<f64>,
    /// When it came up, or its last answer was given, or the command began that is not yet whole.
    since: f64,
    /// Counts how often it has come to wait for a command.
    spell: u64,
    /// Statements that have been answered.
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
    // A tag that nobody sends is told at once, before a length is believed.
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
    /// One that is taken in at `now`.
    pub fn new(now: f64) -> Self {
        ClientConnection::waiting_since(now, now)
    }

    /// One that may have connected at `since`, before it was taken in at `now`: what is read first may have come then.
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

    /// How many bytes may come now; none while an answer is being said, and few while a statement is out.
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

    /// Takes bytes that are read at `now` and came no earlier than at `since`.
    pub fn receive_since(&mut self, since: f64, now: f64, bytes: &[u8]) {
        match self.state {
            State::AnswerTimeout { .. } | State::Ended => return,
            // A command begins: it has its time from here.
            State::Open if self.buf.is_empty() && self.holder == Holder::ClientConnection => self.since = now,
            _ => {}
        }
        let wanted = self.wanted_bytes();
        // Of what waited in the socket nobody knows when it came: its client may have waited for as long as that.
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

    /// A read found nothing more: what comes from here on comes now.
    pub fn read_would_block(&mut self) {
        self.unread_since = None;
    }

    /// Notes the arrival of each command that has become whole.
    fn count(&mut self) {
        while let Ok(Some(end)) = pg::frame_end(&self.buf[self.whole..], pg::MAX_FRAME_BYTES) {
            if self.buf.len() - self.whole < end {
                return;
            }
            self.whole += end;
            self.arrived.push_back(self.at);
        }
    }

    /// Whether a statement is out.
    pub fn awaits_answer(&self) -> bool {
        matches!(self.state, State::Wishing { .. } | State::Asking { .. })
    }

    /// The client has closed the connection, or it broke.
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

    /// What waits to be written.
    pub fn pending_output(&self) -> &[u8] {
        match self.state {
            State::Saying { .. } => &self.out[self.written..],
            _ => &[],
        }
    }

    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
    }

    /// The name of the statement that was wished for.
    pub fn submitted(&mut self, statement_id: u64) {
        if let State::Wishing { deadline } = self.state {
            self.state = State::Asking { statement_id, deadline };
        }
    }

    /// The one answer to the statement that is out; one to any other is nobody's any more.
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

    /// Goes on as far as it can: call it after bytes, after what was written, after an answer, and at `due`. What
    /// has come is to be handed in first, or it would be too late by this machine's own doing.
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

    /// When `advance` has something to do even if nothing comes; infinite where never.
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

    /// Why it ended, once it has.
    pub fn close_reason(&self) -> CloseReason {
        self.close_reason
    }

    /// Bytes of commands that have come and were not yet acted on.
    pub fn unanswered_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Statements that have been answered.
    pub fn answered(&self) -> u64 {
        self.answered
    }

    /// Whether it waits for a command, as what it may be told to go, and since which spell of waiting. A command that
    /// has begun is no rest of a client that has asked before: its end may have come by the time of the close.
    pub fn idle_period(&self) -> Option<(Holder, u64)> {
        let begun = self.holder == Holder::ClientConnection && !self.buf.is_empty();
        (self.state == State::Open && !begun).then_some((self.holder, self.spell))
    }

    /// Gives back what it holds; the last thing to be done with it.
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

    /// Says what is wrong and ends the connection, for what follows can't be trusted.
    fn bad(&mut self, now: f64, code: &str, what: &'static str, client_events: &mut Vec<ClientEvent>) {
        client_events.push(ClientEvent::BadInput(what));
        self.close_reason = CloseReason::ClientBadInput;
        self.out.clear();
        pg::error(&mut self.out, true, code, what, None);
        self.say(now + IDLE_TIMEOUT_S, true);
    }

    /// Refuses the command that has begun and ends the connection, for others need its descriptor: what was read is
    /// not to go without an answer.
    pub fn refuse_command(&mut self, now: f64) {
        if self.state != State::Open || self.buf.is_empty() {
            return;
        }
        self.close_reason = CloseReason::ClientEvicted;
        self.out.clear();
        pg::error(&mut self.out, true, "53300", "too many connections: trying again is harmless", None);
        self.say(now + IDLE_TIMEOUT_S, true);
    }

    /// Says what is wrong with one statement. Where commands end is still sure, and those behind it are to be
    /// answered: an end here would lose them.
    fn unreadable(&mut self, now: f64, code: &str, what: &'static str, client_events: &mut Vec<ClientEvent>) {
        client_events.push(ClientEvent::BadInput(what));
        self.out.clear();
        pg::error(&mut self.out, false, code, what, None);
        pg::ready(&mut self.out);
        self.say(now + IDLE_TIMEOUT_S, false);
    }

    /// The next command: `Some` where the caller is to stop, with what is wished for.
    fn next(&mut self, now: f64, client_context: &mut ClientContext) -> Option<Option<ClientAction>> {
        if self.buf.len() <= READ && self.room > 0 {
            client_context.budget.release_bytes(std::mem::take(&mut self.room));
            self.buf.shrink_to(READ);
        }
        let over = now >= self.since + IDLE_TIMEOUT_S;
        if over && self.holder == Holder::NewClientConnection && !self.buf.is_empty() {
            // Or one that sends empty queries without end would be served for ever.
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
                    // Most connections rest most of their time, and then hold nothing.
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
                    // From its own last byte, however long those before it took: so long does the client wait.
                    let deadline = arrived + statement.wait;
                    // The grace of its answer: from when it was taken up at the earliest, or what stood before it would
                    // cost it its answer and all behind it theirs.
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

/// An answer as its client reads it.
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
