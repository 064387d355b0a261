//! One connection to a database host as a state machine without I/O, from the request to dial it until it
//! closes. It is dialled, completes the startup, and then runs one task at a time. Nothing is written twice,
//! and a task whose message was not written completely never ran.
use crate::budget::Budget;
use crate::outcome::{Ending, Outcome};
use crate::task::{HostTask, TaskKind};
use sandstile_pgwire::{self as pg, Answer, BadFrame, Stage};
use sandstile_policy::terms::{HostReport, OutcomeClass};

/// One read takes a whole answer of the usual size.
const READ: usize = 8 * 1024;

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
struct Inbox {
    buf: Vec<u8>,
    /// Bytes reserved in the budget for a long value.
    room: usize,
}

impl Inbox {
    /// Where the frame at `start` ends, once its length is known. Fails if no host can have sent such a
    /// frame, or if the budget has no room for it.
    fn end(&mut self, at: usize, budget: &mut Budget) -> Result<Option<usize>, BadFrame> {
        let begun = &self.buf[at..];
        pg::check_plausible(begun, budget.max_value_bytes())?;
        let end = pg::frame_end(begun, usize::MAX)?;
        if let Some(long) = end.filter(|end| *end > 2 * pg::TYPICAL_VALUE_BYTES && self.room == 0) {
            if !budget.reserve_bytes(2 * long) {
                return Err(BadFrame("no room"));
            }
            self.room = 2 * long;
        }
        Ok(end)
    }

    /// Hands each complete frame to `take` until that returns `true`.
    fn frames(
        &mut self,
        budget: &mut Budget,
        mut take: impl FnMut(u8, &[u8]) -> Result<bool, BadFrame>,
    ) -> Result<bool, BadFrame> {
        let mut at = 0;
        let enough = loop {
            let end = self.end(at, budget)?;
            let Some(end) = end.filter(|end| self.buf.len() - at >= *end) else {
                // Reserves exactly the bytes that are still expected.
                let missing = end.map_or(0, |end| (at + end).saturating_sub(self.buf.len()));
                self.buf.drain(..at);
                self.buf.reserve_exact(missing);
                return Ok(false);
            };
            let frame = &self.buf[at..at + end];
            let enough = take(frame[0], &frame[5..])?;
            at += end;
            if enough {
                break enough;
            }
        };
        self.buf.drain(..at);
        Ok(enough)
    }

    fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }

    fn wanted_bytes(&self) -> usize {
        let end = pg::frame_end(&self.buf, usize::MAX).ok().flatten().unwrap_or(0);
        end.saturating_sub(self.buf.len()).clamp(READ, pg::TYPICAL_VALUE_BYTES)
    }

    fn clear(&mut self, budget: &mut Budget) {
        self.buf = Vec::new();
        budget.release_bytes(std::mem::take(&mut self.room));
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
    Greeting {
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
    more_by: f64,
}

/// Why an exchange with the host is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Heard {
    Ready,
    Closed,
    TimedOut,
    Nonsense,
    Withdrawn,
}

#[derive(Debug)]
pub struct UpstreamConnection {
    state: State,
    inbox: Inbox,
    out: Vec<u8>,
    written: usize,
    /// It has completed a task before.
    used: bool,
    /// Seconds for which an answer that has begun may pause.
    pause: f64,
}

impl UpstreamConnection {
    /// A connection that is to be dialled and that fails if it is not ready by `deadline`. `max_pause` is for
    /// how many seconds an answer that has begun may pause.
    pub fn new(deadline: f64, pause: f64) -> Self {
        UpstreamConnection {
            state: State::Queued { deadline },
            inbox: Inbox::default(),
            out: Vec::new(),
            written: 0,
            used: false,
            pause,
        }
    }

    /// It has a descriptor and is being dialled.
    pub fn dialled(&mut self) {
        if let State::Queued { deadline } = self.state {
            self.state = State::Dialling { deadline };
        }
    }

    /// Like `dialled`, for a dial that was delayed to limit concurrent dials: the host gets the whole dial
    /// timeout from now on.
    pub fn dialled_with_deadline(&mut self, by: f64) {
        if let State::Queued { .. } = self.state {
            self.state = State::Dialling { deadline: by };
        }
    }

    /// The TCP connection is established: sends the startup message.
    pub fn connected(&mut self) {
        if let State::Dialling { deadline } = self.state {
            self.say(pg::startup_message());
            self.state = State::Greeting { deadline };
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
            _ => self.inbox.wanted_bytes(),
        }
    }

    /// Bytes that are still to be written.
    pub fn pending_output(&self) -> &[u8] {
        &self.out[self.written..]
    }

    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
        if self.written >= self.out.len() {
            // Frees a long message at once instead of keeping it until its answer is complete.
            (self.out, self.written) = (Vec::new(), 0);
        }
    }

    fn say(&mut self, out: Vec<u8>) {
        (self.out, self.written) = (out, 0);
    }

    /// Starts a task. The caller must have checked just before that the socket holds no bytes: bytes behind
    /// the previous answer would be taken for this task's answer.
    pub fn begin(&mut self, now: f64, task: HostTask) -> Option<Event> {
        if !self.idle() || now >= task.deadline {
            let outcome = Ending::WithdrawnUnsent.into();
            return Some(Event::Done { task, outcome, reusable: self.idle() });
        }
        let message = match &task.kind {
            TaskKind::Statement { payload, .. } => payload.message(task.deadline - now),
            TaskKind::Probe => {
                let mut out = Vec::new();
                pg::query(&mut out, b"SHOW stats");
                out
            }
        };
        self.say(message);
        let answer = Answer::default();
        self.state = State::Busy(Box::new(Busy { task, answer, more_by: f64::INFINITY }));
        None
    }

    pub fn receive(&mut self, now: f64, bytes: &[u8], budget: &mut Budget) -> Option<Event> {
        match &mut self.state {
            State::Greeting { .. } => {
                self.inbox.buf.extend_from_slice(bytes);
                let mut seen = None;
                let heard = self.inbox.frames(budget, |tag, body| {
                    seen = greeted(tag, body)?;
                    Ok(seen.is_some())
                });
                let ending = match (heard, seen) {
                    (Ok(_), Some(Ok(()))) if self.inbox.is_empty() => {
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
                self.inbox.buf.extend_from_slice(bytes);
                busy.more_by = now + self.pause;
                let answer = &mut busy.answer;
                let heard = match self.inbox.frames(budget, |tag, body| answer.take(tag, body)) {
                    Ok(false) => return None,
                    Ok(true) => Heard::Ready,
                    Err(_) => Heard::Nonsense,
                };
                self.done(heard, budget)
            }
            State::Queued { .. } | State::Dialling { .. } | State::Ended => None,
        }
    }

    /// The host has closed the connection, or the connection broke.
    pub fn closed(&mut self, budget: &mut Budget) -> Option<Event> {
        match self.state {
            State::Busy(_) => self.done(Heard::Closed, budget),
            State::Idle => {
                self.state = State::Ended;
                Some(Event::IdleClosed(Ending::IdleEnded))
            }
            State::Queued { .. } | State::Dialling { .. } | State::Greeting { .. } => {
                self.state = State::Ended;
                Some(Event::Failed(Ending::DialBroken))
            }
            State::Ended => None,
        }
    }

    /// When `handle_deadline` has to be called; infinite if it need not be.
    pub fn due(&self) -> f64 {
        match &self.state {
            State::Queued { deadline } | State::Dialling { deadline } | State::Greeting { deadline } => {
                *deadline
            }
            State::Busy(busy) => busy.task.deadline.min(busy.more_by),
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
            State::Busy(busy) if now >= busy.task.deadline => return self.done(Heard::TimedOut, budget),
            State::Busy(_) => return self.done(Heard::Nonsense, budget),
            State::Queued { .. } => Ending::NoRoom,
            _ => Ending::DialTimedOut,
        };
        self.state = State::Ended;
        Some(Event::Failed(ending))
    }

    /// Closes the connection that runs this execution, whatever has arrived of its answer.
    pub fn withdraw(&mut self, execution_id: (u64, usize), budget: &mut Budget) -> Option<Event> {
        match &self.state {
            State::Busy(busy) if busy.task.is_execution(execution_id) => self.done(Heard::Withdrawn, budget),
            _ => None,
        }
    }

    /// Closes it while it is idle.
    pub fn leave(&mut self) {
        self.state = State::Ended;
    }

    /// Returns the memory it holds to the budget; call it last.
    pub fn release(&mut self, budget: &mut Budget) {
        self.inbox.clear(budget);
    }

    /// Ends the running task, once. A complete answer counts even if the connection closes right behind it;
    /// it does not count if it contains a protocol violation, because then no part of it can be trusted.
    fn done(&mut self, heard: Heard, budget: &mut Budget) -> Option<Event> {
        let State::Busy(busy) = std::mem::replace(&mut self.state, State::Ended) else { return None };
        let Busy { task, answer, more_by } = *busy;
        let ending = match (&answer.stage, heard) {
            (_, Heard::Withdrawn) if !self.pending_output().is_empty() => Ending::WithdrawnUnsent,
            (_, Heard::Withdrawn) => Ending::Withdrawn,
            _ if !self.pending_output().is_empty() => Ending::BrokenUnwritten,
            (_, Heard::Nonsense) => Ending::Garbled,
            (Stage::Complete, _) => Ending::Completed,
            (Stage::Failed(code), _) => crate::sqlstate::ending(code),
            (_, Heard::Closed) if more_by.is_finite() => Ending::CutShort,
            (_, Heard::Closed) if self.used => Ending::Crossed,
            (_, Heard::Closed) => Ending::Broken,
            (_, Heard::TimedOut) => Ending::TimedOut,
            (_, Heard::Ready) => Ending::Garbled,
        };
        let spoilt = ending.verdict() == OutcomeClass::UnusableAnswer;
        let mut note = match spoilt {
            true => HostReport::default(),
            false => HostReport { position: answer.position, primary: answer.primary },
        };
        if matches!(task.kind, TaskKind::Probe) && ending == Ending::Completed {
            report(answer.text(), &mut note);
        }
        let reusable = heard == Heard::Ready && self.inbox.is_empty() && ending != Ending::Garbled;
        let term = answer.timeline.filter(|_| !spoilt);
        self.inbox.clear(budget);
        self.used = true;
        if reusable {
            self.state = State::Idle;
        }
        Some(Event::Done { task, outcome: Outcome { ending, note, term, rows: answer.rows }, reusable })
    }
}

/// What a frame during the startup means: ready, failed, or nothing yet.
fn greeted(tag: u8, body: &[u8]) -> Result<Option<Result<(), Ending>>, BadFrame> {
    Ok(match tag {
        b'Z' => Some(Ok(())),
        b'E' => Some(Err(match pg::sqlstate(body) {
            Some("53300" | "57P03") => Ending::DialTurnedAway,
            _ => Ending::DialBroken,
        })),
        b'R' if body != [0; 4] => Some(Err(Ending::DialBroken)),
        b'R' | b'S' | b'K' | b'N' => None,
        _ => return Err(BadFrame("greeting")),
    })
}

/// Reads the position (Unix seconds on the host's clock) and the role out of a load report.
fn report(text: &str, note: &mut HostReport) {
    for (key, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        match (key.trim(), value.trim().parse::<f64>()) {
            ("x0", Ok(position)) if position.is_finite() => note.position = Some(position),
            ("x1", Ok(primary)) => note.primary = Some(primary > 0.5),
            _ => {}
        }
    }
}
