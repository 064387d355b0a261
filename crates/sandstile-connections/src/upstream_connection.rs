//! One connection to a database host as a state machine without I/O, from the request to dial it until it
//! closes. It is dialled, completes the startup, and then runs one task at a time. Nothing is written twice,
//! and a task whose message was not written completely never ran.
use crate::budget::Budget;
use crate::outcome::{Ending, Outcome};
use crate::task::{HostTask, TaskKind};
use sandstile_pgwire::{self as pg, Answer, BadFrame, Stage};
use sandstile_policy::terms::{HostReport, OutcomeClass};

/// One read takes a whole answer of the usual size.
const READ_BYTES: usize = 8 * 1024;

/// What has happened to an upstream connection. After `Failed`, `IdleClosed` and a `Done` that is not
/// `reusable` the connection has ended. Its socket has to be closed before anybody learns of it; otherwise
/// its execution could still be running while the next one starts.
#[derive(Debug)]
pub enum Event {
    /// Ready for its first task.
    Ready,
    /// It was never established.
    Failed(Ending),
    Done {
        task: HostTask,
        outcome: Outcome,
        reusable: bool,
    },
    /// It ended while it was idle.
    IdleClosed(Ending),
}

/// Received bytes that have not been processed yet, split into frames.
#[derive(Debug, Default)]
struct ReceiveBuffer {
    buf: Vec<u8>,
    /// Bytes reserved in the budget for a long value.
    reserved_bytes: usize,
}

impl ReceiveBuffer {
    /// Where the frame at `start` ends, once its length is known. Fails if no host can have sent such a
    /// frame, or if the budget has no room for it.
    fn frame_end(&mut self, start: usize, budget: &mut Budget) -> Result<Option<usize>, BadFrame> {
        let unread = &self.buf[start..];
        pg::check_plausible(unread, budget.max_value_bytes())?;
        let end = pg::frame_end(unread, usize::MAX)?;
        if let Some(length) = end.filter(|end| *end > READ_BYTES && self.reserved_bytes == 0) {
            if !budget.reserve_bytes(2 * length) {
                return Err(BadFrame("no room in the memory budget"));
            }
            self.reserved_bytes = 2 * length;
        }
        Ok(end)
    }

    /// Hands each complete frame to `take` until that returns `true`.
    fn for_each_frame(
        &mut self,
        budget: &mut Budget,
        mut take: impl FnMut(u8, &[u8]) -> Result<bool, BadFrame>,
    ) -> Result<bool, BadFrame> {
        let mut start = 0;
        let finished = loop {
            let end = self.frame_end(start, budget)?;
            let Some(end) = end.filter(|end| self.buf.len() - start >= *end) else {
                // Reserves exactly the bytes that are still expected.
                let missing = end.map_or(0, |end| (start + end).saturating_sub(self.buf.len()));
                self.buf.drain(..start);
                self.buf.reserve_exact(missing);
                return Ok(false);
            };
            let frame = &self.buf[start..start + end];
            let finished = take(frame[0], &frame[5..])?;
            start += end;
            if finished {
                break finished;
            }
        };
        self.buf.drain(..start);
        Ok(finished)
    }

    fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    fn wanted_bytes(&self) -> usize {
        let end = pg::frame_end(&self.buf, usize::MAX).ok().flatten().unwrap_or(0);
        end.saturating_sub(self.buf.len()).clamp(READ_BYTES, pg::TYPICAL_VALUE_BYTES)
    }

    fn clear(&mut self, budget: &mut Budget) {
        self.buf = Vec::new();
        budget.release_bytes(std::mem::take(&mut self.reserved_bytes));
    }
}

#[derive(Debug)]
enum State {
    /// Waits for a descriptor.
    Queued {
        deadline: f64,
    },
    Dialling {
        deadline: f64,
    },
    /// Connected; the host has not yet accepted the session.
    StartingUp {
        deadline: f64,
    },
    Idle,
    Busy(Box<Busy>),
    Ended,
}

#[derive(Debug)]
struct Busy {
    task: HostTask,
    answer: Answer,
    /// When an answer that has begun has to continue, at the latest.
    continuation_deadline: f64,
}

/// Why an exchange with the host is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExchangeEnd {
    ReadyForQuery,
    Closed,
    TimedOut,
    ProtocolError,
    Withdrawn,
}

#[derive(Debug)]
pub struct UpstreamConnection {
    state: State,
    received: ReceiveBuffer,
    output: Vec<u8>,
    written: usize,
    /// It has completed a task before.
    has_answered: bool,
    /// Seconds for which an answer that has begun may pause.
    max_pause: f64,
}

impl UpstreamConnection {
    /// A connection that is to be dialled and that fails if it is not ready by `deadline`. `max_pause` is the
    /// number of seconds for which an answer that has begun may pause.
    pub fn new(deadline: f64, max_pause: f64) -> Self {
        UpstreamConnection {
            state: State::Queued { deadline },
            received: ReceiveBuffer::default(),
            output: Vec::new(),
            written: 0,
            has_answered: false,
            max_pause,
        }
    }

    /// It has a descriptor and is being dialled.
    pub fn dial_started(&mut self) {
        if let State::Queued { deadline } = self.state {
            self.state = State::Dialling { deadline };
        }
    }

    /// Like `dial_started`, for a dial that was delayed to limit concurrent dials: the host gets the whole dial
    /// timeout from now on.
    pub fn dial_started_with_deadline(&mut self, deadline: f64) {
        if let State::Queued { .. } = self.state {
            self.state = State::Dialling { deadline };
        }
    }

    /// The TCP connection is established: sends the startup message.
    pub fn connected(&mut self) {
        if let State::Dialling { deadline } = self.state {
            self.start_writing(pg::startup_message());
            self.state = State::StartingUp { deadline };
        }
    }

    /// The dial failed.
    pub fn failed(&mut self, ending: Ending) -> Option<Event> {
        match self.state {
            State::Queued { .. } | State::Dialling { .. } => {
                self.state = State::Ended;
                Some(Event::Failed(ending))
            }
            _ => None,
        }
    }

    pub fn dialling(&self) -> bool {
        matches!(self.state, State::Dialling { .. })
    }

    pub fn idle(&self) -> bool {
        matches!(self.state, State::Idle)
    }

    /// The task that it runs.
    pub fn task(&self) -> Option<&HostTask> {
        match &self.state {
            State::Busy(busy) => Some(&busy.task),
            _ => None,
        }
    }

    /// How many bytes may be read now. Whatever a host sends before the statement has been written completely
    /// stays in the socket.
    pub fn wanted_bytes(&self) -> usize {
        match self.state {
            State::Queued { .. } | State::Dialling { .. } | State::Ended => 0,
            _ if !self.pending_output().is_empty() => 0,
            State::Idle => 1,
            _ => self.received.wanted_bytes(),
        }
    }

    /// Bytes that are still to be written.
    pub fn pending_output(&self) -> &[u8] {
        &self.output[self.written..]
    }

    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
        if self.written >= self.output.len() {
            // Frees a long message at once instead of keeping it until its answer is complete.
            (self.output, self.written) = (Vec::new(), 0);
        }
    }

    fn start_writing(&mut self, output: Vec<u8>) {
        (self.output, self.written) = (output, 0);
    }

    /// Starts a task. The caller must have checked just before that the socket holds no bytes: bytes behind
    /// the previous answer would be taken for this task's answer.
    pub fn begin(&mut self, now: f64, task: HostTask) -> Option<Event> {
        if !self.idle() || now >= task.deadline {
            let outcome = Ending::WithdrawnUnsent.into();
            return Some(Event::Done { task, outcome, reusable: self.idle() });
        }
        self.start_writing(message(&task, now));
        let answer = Answer::default();
        self.state = State::Busy(Box::new(Busy { task, answer, continuation_deadline: f64::INFINITY }));
        None
    }

    /// Whether it has a task of which no byte has been written.
    pub fn is_unstarted(&self) -> bool {
        matches!(self.state, State::Busy(_)) && self.written == 0 && !self.output.is_empty()
    }

    /// Encodes the message of an unstarted task anew, for the time that is left at `now`.
    pub fn restart(&mut self, now: f64) {
        if let State::Busy(busy) = &self.state {
            let message = message(&busy.task, now);
            self.start_writing(message);
        }
    }

    /// Takes back a task of which no byte has been written; the connection is idle again.
    pub fn withdraw_unstarted(&mut self, ending: Ending) -> Option<Event> {
        if !self.is_unstarted() {
            return None;
        }
        self.start_writing(Vec::new());
        let State::Busy(busy) = std::mem::replace(&mut self.state, State::Idle) else { return None };
        Some(Event::Done { task: busy.task, outcome: ending.into(), reusable: true })
    }

    pub fn receive(&mut self, now: f64, bytes: &[u8], budget: &mut Budget) -> Option<Event> {
        match &mut self.state {
            State::StartingUp { .. } => {
                self.received.buf.extend_from_slice(bytes);
                let mut startup_result = None;
                let result = self.received.for_each_frame(budget, |tag, body| {
                    startup_result = startup_outcome(tag, body)?;
                    Ok(startup_result.is_some())
                });
                let ending = match (result, startup_result) {
                    (Ok(_), Some(Ok(()))) if self.received.is_empty() => {
                        self.state = State::Idle;
                        return Some(Event::Ready);
                    }
                    (Ok(_), None) => return None,
                    (Ok(_), Some(Err(ending))) => ending,
                    _ => Ending::DialBroken,
                };
                self.state = State::Ended;
                Some(Event::Failed(ending))
            }
            State::Idle => {
                self.state = State::Ended;
                Some(Event::IdleClosed(Ending::IdleEnded))
            }
            State::Busy(busy) => {
                self.received.buf.extend_from_slice(bytes);
                busy.continuation_deadline = now + self.max_pause;
                let answer = &mut busy.answer;
                let exchange_end =
                    match self.received.for_each_frame(budget, |tag, body| answer.take(tag, body)) {
                        Ok(false) => return None,
                        Ok(true) => ExchangeEnd::ReadyForQuery,
                        Err(_) => ExchangeEnd::ProtocolError,
                    };
                self.finish_task(exchange_end, budget)
            }
            State::Queued { .. } | State::Dialling { .. } | State::Ended => None,
        }
    }

    /// The host has closed the connection, or the connection broke.
    pub fn closed(&mut self, budget: &mut Budget) -> Option<Event> {
        match self.state {
            State::Busy(_) => self.finish_task(ExchangeEnd::Closed, budget),
            State::Idle => {
                self.state = State::Ended;
                Some(Event::IdleClosed(Ending::IdleEnded))
            }
            State::Queued { .. } | State::Dialling { .. } | State::StartingUp { .. } => {
                self.state = State::Ended;
                Some(Event::Failed(Ending::DialBroken))
            }
            State::Ended => None,
        }
    }

    /// When `handle_deadline` has to be called; infinite if it need not be.
    pub fn due(&self) -> f64 {
        match &self.state {
            State::Queued { deadline } | State::Dialling { deadline } | State::StartingUp { deadline } => {
                *deadline
            }
            State::Busy(busy) => busy.task.deadline.min(busy.continuation_deadline),
            State::Idle | State::Ended => f64::INFINITY,
        }
    }

    /// Ends whatever is overdue. Hand in the bytes that have arrived first: bytes that arrived while this
    /// process waited for a processor count as in time.
    pub fn handle_deadline(&mut self, now: f64, budget: &mut Budget) -> Option<Event> {
        if now < self.due() {
            return None;
        }
        let ending = match &self.state {
            State::Busy(busy) if now >= busy.task.deadline => {
                return self.finish_task(ExchangeEnd::TimedOut, budget)
            }
            State::Busy(_) => return self.finish_task(ExchangeEnd::ProtocolError, budget),
            State::Queued { .. } => Ending::NoRoom,
            _ => Ending::DialTimedOut,
        };
        self.state = State::Ended;
        Some(Event::Failed(ending))
    }

    /// Closes the connection that runs this execution, whatever has arrived of its answer.
    pub fn withdraw(&mut self, execution_id: (u64, usize), budget: &mut Budget) -> Option<Event> {
        match &self.state {
            State::Busy(busy) if busy.task.is_execution(execution_id) => {
                self.finish_task(ExchangeEnd::Withdrawn, budget)
            }
            _ => None,
        }
    }

    /// Closes it while it is idle.
    pub fn close_idle(&mut self) {
        self.state = State::Ended;
    }

    /// Returns the memory it holds to the budget; call it last.
    pub fn release(&mut self, budget: &mut Budget) {
        self.received.clear(budget);
    }

    /// Ends the running task, once. A complete answer counts even if the connection closes right behind it;
    /// it does not count if it contains a protocol violation, because then no part of it can be trusted.
    fn finish_task(&mut self, exchange_end: ExchangeEnd, budget: &mut Budget) -> Option<Event> {
        let State::Busy(busy) = std::mem::replace(&mut self.state, State::Ended) else { return None };
        let Busy { task, answer, continuation_deadline } = *busy;
        let ending = match (&answer.stage, exchange_end) {
            (_, ExchangeEnd::Withdrawn) if !self.pending_output().is_empty() => Ending::WithdrawnUnsent,
            (_, ExchangeEnd::Withdrawn) => Ending::Withdrawn,
            _ if !self.pending_output().is_empty() => Ending::BrokenUnwritten,
            (_, ExchangeEnd::ProtocolError) => Ending::Garbled,
            (Stage::Complete, _) => Ending::Completed,
            (Stage::Failed(code), _) => crate::sqlstate::ending(code),
            (_, ExchangeEnd::Closed) if continuation_deadline.is_finite() => Ending::CutShort,
            (_, ExchangeEnd::Closed) if self.has_answered => Ending::Crossed,
            (_, ExchangeEnd::Closed) => Ending::Broken,
            (_, ExchangeEnd::TimedOut) => Ending::TimedOut,
            (_, ExchangeEnd::ReadyForQuery) => Ending::Garbled,
        };
        let unusable = ending.outcome_class() == OutcomeClass::UnusableAnswer;
        let mut host_report = match unusable {
            true => HostReport::default(),
            false => HostReport { position: answer.position, primary: answer.primary },
        };
        if matches!(task.kind, TaskKind::Probe) && ending == Ending::Completed {
            parse_load_report(answer.text(), &mut host_report);
        }
        let reusable = exchange_end == ExchangeEnd::ReadyForQuery
            && self.received.is_empty()
            && ending != Ending::Garbled;
        let term = answer.timeline.filter(|_| !unusable);
        self.received.clear(budget);
        self.has_answered = true;
        if reusable {
            self.state = State::Idle;
        }
        Some(Event::Done {
            task,
            outcome: Outcome { ending, host_report, term, rows: answer.rows },
            reusable,
        })
    }
}

/// The message of a task that begins at `now`.
fn message(task: &HostTask, now: f64) -> Vec<u8> {
    match &task.kind {
        TaskKind::Statement { payload, .. } => payload.message(task.deadline - now),
        TaskKind::Probe => {
            let mut output = Vec::new();
            pg::query(&mut output, b"SHOW stats");
            output
        }
    }
}

/// What a frame during the startup means: ready, failed, or nothing yet.
fn startup_outcome(tag: u8, body: &[u8]) -> Result<Option<Result<(), Ending>>, BadFrame> {
    Ok(match tag {
        b'Z' => Some(Ok(())),
        b'E' => Some(Err(match pg::sqlstate(body) {
            Some("53300" | "57P03") => Ending::DialTurnedAway,
            _ => Ending::DialBroken,
        })),
        b'R' if body != [0; 4] => Some(Err(Ending::DialBroken)),
        b'R' | b'S' | b'K' | b'N' => None,
        _ => return Err(BadFrame("unexpected message in the greeting")),
    })
}

/// Reads the position (Unix seconds on the host's clock) and the role out of a load report.
fn parse_load_report(text: &str, host_report: &mut HostReport) {
    for (key, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        match (key.trim(), value.trim().parse::<f64>()) {
            ("x0", Ok(position)) if position.is_finite() => host_report.position = Some(position),
            ("x1", Ok(primary)) => host_report.primary = Some(primary > 0.5),
            _ => {}
        }
    }
}
