//! One connection to a database host, from the wish for it to its end: it is dialled, greeted, and then does one job
//! at a time. Nothing is ever written twice, and a job that was not written whole never ran.
use crate::budget::Budget;
use crate::outcome::{Ending, Outcome};
use crate::task::{HostTask, TaskKind};
use sandstile_pgwire::{self as pg, Answer, BadFrame, Stage};
use sandstile_policy::terms::{HostReport, OutcomeClass};

/// The reads of one answer of the usual size fit in one.
const READ: usize = 8 * 1024;

/// What has happened to a link. After `Failed`, `IdleClosed` and a `Done` that does not go on, the link has ended: its
/// socket is to be closed before anybody hears of it, or an execution would still be out beside the next.
#[derive(Debug)]
pub enum Event {
    /// It takes a first job.
    Up,
    /// It never came up.
    Failed(Ending),
    Done {
        job: HostTask,
        outcome: Outcome,
        reusable: bool,
    },
    /// It ended while it had nothing to do.
    IdleClosed(Ending),
}

/// Bytes that came and are not yet taken, frame by frame.
#[derive(Debug, Default)]
struct Inbox {
    buf: Vec<u8>,
    /// Bytes held of the budget's room, for a long value.
    room: usize,
}

impl Inbox {
    /// Where the frame that has begun ends, once that is known: never where no host can have begun one, nor where
    /// it is longer than there is room for.
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

    /// Hands each whole frame to `take`, until that says it has heard enough.
    fn frames(
        &mut self,
        budget: &mut Budget,
        mut take: impl FnMut(u8, &[u8]) -> Result<bool, BadFrame>,
    ) -> Result<bool, BadFrame> {
        let mut at = 0;
        let enough = loop {
            let end = self.end(at, budget)?;
            let Some(end) = end.filter(|end| self.buf.len() - at >= *end) else {
                // What is known to come takes no more than its room.
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
    /// The connection is up; the host has yet to admit it.
    Greeting {
        deadline: f64,
    },
    Idle,
    Busy(Box<Busy>),
    Ended,
}

#[derive(Debug)]
struct Busy {
    job: HostTask,
    answer: Answer,
    /// An answer that has begun goes on by then.
    more_by: f64,
}

/// How an exchange came to its end on the wire.
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
    /// It has answered before.
    used: bool,
    /// Seconds for which an answer that has begun may pause.
    pause: f64,
}

impl UpstreamConnection {
    /// One that is wanted: it is up by `deadline` or not at all. `pause` is how many seconds an answer that has begun
    /// may take to go on.
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

    /// It has its descriptor and is being dialled.
    pub fn dialled(&mut self) {
        if let State::Queued { deadline } = self.state {
            self.state = State::Dialling { deadline };
        }
    }

    /// It begins only now, after it waited for its turn: the host is to have all of its time.
    pub fn dialled_with_deadline(&mut self, by: f64) {
        if let State::Queued { .. } = self.state {
            self.state = State::Dialling { deadline: by };
        }
    }

    /// The connection is up: the greeting goes out.
    pub fn connected(&mut self) {
        if let State::Dialling { deadline } = self.state {
            self.say(pg::startup_message());
            self.state = State::Greeting { deadline };
        }
    }

    /// The dial came to nothing.
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

    /// What it does, where it is a statement's.
    pub fn job(&self) -> Option<&HostTask> {
        match &self.state {
            State::Busy(busy) => Some(&busy.job),
            _ => None,
        }
    }

    /// How many bytes may come now. What a host says before it has heard a statement whole waits in the socket.
    pub fn wanted_bytes(&self) -> usize {
        match self.state {
            State::Queued { .. } | State::Dialling { .. } | State::Ended => 0,
            _ if !self.pending_output().is_empty() => 0,
            State::Idle => 1,
            _ => self.inbox.wanted_bytes(),
        }
    }

    /// What waits to be written.
    pub fn pending_output(&self) -> &[u8] {
        &self.out[self.written..]
    }

    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
        if self.written >= self.out.len() {
            // A long one is not kept for as long as its answer takes.
            (self.out, self.written) = (Vec::new(), 0);
        }
    }

    fn say(&mut self, out: Vec<u8>) {
        (self.out, self.written) = (out, 0);
    }

    /// Takes a job. The socket was looked at just before: what came behind the last answer would be taken for
    /// this one's.
    pub fn begin(&mut self, now: f64, job: HostTask) -> Option<Event> {
        if !self.idle() || now >= job.deadline {
            let outcome = Ending::WithdrawnUnsent.into();
            return Some(Event::Done { job, outcome, reusable: self.idle() });
        }
        let message = match &job.kind {
            TaskKind::Statement { payload, .. } => payload.message(job.deadline - now),
            TaskKind::Probe => {
                let mut out = Vec::new();
                pg::query(&mut out, b"SHOW stats");
                out
            }
        };
        self.say(message);
        let answer = Answer::default();
        self.state = State::Busy(Box::new(Busy { job, answer, more_by: f64::INFINITY }));
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
                        return Some(Event::Up);
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

    /// The host has closed the connection, or it broke.
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

    /// When `handle_deadline` has something to do; infinite where never.
    pub fn due(&self) -> f64 {
        match &self.state {
            State::Queued { deadline } | State::Dialling { deadline } | State::Greeting { deadline } => {
                *deadline
            }
            State::Busy(busy) => busy.job.deadline.min(busy.more_by),
            State::Idle | State::Ended => f64::INFINITY,
        }
    }

    /// What has come is to be handed in first: what came while this machine had to wait for its core counts.
    pub fn handle_deadline(&mut self, now: f64, budget: &mut Budget) -> Option<Event> {
        if now < self.due() {
            return None;
        }
        let ending = match &self.state {
            State::Busy(busy) if now >= busy.job.deadline => return self.done(Heard::TimedOut, budget),
            State::Busy(_) => return self.done(Heard::Nonsense, budget),
            State::Queued { .. } => Ending::NoRoom,
            _ => Ending::DialTimedOut,
        };
        self.state = State::Ended;
        Some(Event::Failed(ending))
    }

    /// Closes the connection under this execution, whatever has come of it.
    pub fn withdraw(&mut self, execution_id: (u64, usize), budget: &mut Budget) -> Option<Event> {
        match &self.state {
            State::Busy(busy) if busy.job.is_execution(execution_id) => self.done(Heard::Withdrawn, budget),
            _ => None,
        }
    }

    /// Closed here while it had nothing to do.
    pub fn leave(&mut self) {
        self.state = State::Ended;
    }

    /// Gives back what it holds; the last thing to be done with it.
    pub fn release(&mut self, budget: &mut Budget) {
        self.inbox.clear(budget);
    }

    /// The one ending of a job. An answer that came whole counts, even where the connection ends right behind it;
    /// not where nonsense stands in its midst, for then nothing of it is sure.
    fn done(&mut self, heard: Heard, budget: &mut Budget) -> Option<Event> {
        let State::Busy(busy) = std::mem::replace(&mut self.state, State::Ended) else { return None };
        let Busy { job, answer, more_by } = *busy;
        let ending = match (&answer.stage, heard) {
            (_, Heard::Withdrawn) if !self.pending_output().is_empty() => Ending::WithdrawnUnsent,
            (_, Heard::Withdrawn) => Ending::Withdrawn,
            _ if !self.pending_output().is_empty() => Ending::BrokenUnwritten,
            (_, Heard::Nonsense) => Ending::Garbled,
            (Stage::Whole, _) => Ending::Completed,
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
        if matches!(job.kind, TaskKind::Probe) && ending == Ending::Completed {
            report(answer.text(), &mut note);
        }
        let reusable = heard == Heard::Ready && self.inbox.is_empty() && ending != Ending::Garbled;
        let term = answer.timeline.filter(|_| !spoilt);
        self.inbox.clear(budget);
        self.used = true;
        if reusable {
            self.state = State::Idle;
        }
        Some(Event::Done { job, outcome: Outcome { ending, note, term, rows: answer.rows }, reusable })
    }
}

/// What a frame before the first statement means: up, failed, or nothing yet.
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

/// A load report's position, in Unix seconds there, and role.
fn report(text: &str, note: &mut HostReport) {
    for (key, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        match (key.trim(), value.trim().parse::<f64>()) {
            ("x0", Ok(position)) if position.is_finite() => note.position = Some(position),
            ("x1", Ok(primary)) => note.primary = Some(primary > 0.5),
            _ => {}
        }
    }
}
