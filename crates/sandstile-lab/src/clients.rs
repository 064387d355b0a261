//! Open-loop clients of a rehearsal: pooled connections, retries, and follow-up requests. Each worker thread serves one
//! request at a time; times count from when a request was due.
use crate::trace_writer::{TraceLine, TraceSender};
use crossbeam_channel::{unbounded, Receiver, Sender};
use hdrhistogram::Histogram;
use sandstile_emulator::{protocol, Clock};
use sandstile_fleet::plan::{Consistency, Effect, Tokens};
use sandstile_pgwire as pg;
use sandstile_scenario::traffic::{Arrival, Traffic};
use sandstile_scenario::Script;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// A router as the clients see it.
pub struct RouterEndpoint {
    pub address: SocketAddr,
    /// Whether the load balancer in front of the routers sends clients here.
    pub accepts_clients: AtomicBool,
    /// Idle connections; the most recently used one is last.
    idle: Mutex<Vec<PooledConnection>>,
    open_connections: AtomicUsize,
}

/// A client connection with the id of the last statement that was answered on it.
struct PooledConnection {
    stream: TcpStream,
    last_statement: Option<String>,
}

struct Shared {
    script: Script,
    clock: Clock,
    trace: TraceSender,
    endpoints: Vec<RouterEndpoint>,
    next_id: AtomicU64,
    seed: u64,
    /// The last write position of each session, for deployments in which clients carry the tokens.
    marks: Mutex<BTreeMap<(usize, u64), f64>>,
    /// The latest token of each session, as routers returned it.
    tokens: Mutex<BTreeMap<(usize, u64), String>>,
    /// Sessions with a request in progress: a session sends its requests one after the other.
    active_sessions: Mutex<BTreeSet<(usize, u64)>>,
    start_delay_us: Mutex<Histogram<u64>>,
    sent_count: AtomicU64,
    answered_count: AtomicU64,
    in_progress: AtomicUsize,
}

pub struct ClientPool {
    shared: Arc<Shared>,
    jobs: Option<Sender<(f64, Arrival)>>,
    workers: Vec<JoinHandle<()>>,
}

/// How many seconds clients listen past a statement's deadline, so that late answers are recorded.
const LATE_ANSWER_WINDOW_S: f64 = 0.2;
const WORKER_STACK_BYTES: usize = 192 * 1024;
/// Upper limit of worker threads. Further requests wait for a worker, and the report shows that delay.
const MAX_WORKERS: usize = 1500;

impl ClientPool {
    pub fn new(
        script: &Script,
        seed: u64,
        addresses: &[SocketAddr],
        clock: Clock,
        trace: TraceSender,
    ) -> io::Result<ClientPool> {
        let endpoint = |address: &SocketAddr| RouterEndpoint {
            address: *address,
            accepts_clients: AtomicBool::new(true),
            idle: Mutex::default(),
            open_connections: AtomicUsize::new(0),
        };
        let shared = Arc::new(Shared {
            script: script.clone(),
            clock,
            trace,
            endpoints: addresses.iter().map(endpoint).collect(),
            next_id: AtomicU64::new(0),
            seed,
            marks: Mutex::default(),
            tokens: Mutex::default(),
            active_sessions: Mutex::default(),
            start_delay_us: Mutex::new(Histogram::new_with_bounds(1, 60_000_000, 3).expect("usable bounds")),
            sent_count: AtomicU64::new(0),
            answered_count: AtomicU64::new(0),
            in_progress: AtomicUsize::new(0),
        });
        // Enough workers for a period in which no statement is answered.
        let peak_rate: f64 = script.streams.iter().map(|s| s.rate * peak_rate_multiple(s)).sum();
        let longest_timeout = script.terms.iter().map(|t| t.timeout).fold(0.1, f64::max);
        let burst = script.clients.returning_clients * script.routers.count;
        let workers = ((peak_rate * longest_timeout * 2.0) as usize + burst).clamp(32, MAX_WORKERS);
        let (jobs, job_receiver) = unbounded();
        let workers =
            (0..workers).map(|_| worker(shared.clone(), job_receiver.clone())).collect::<io::Result<_>>()?;
        Ok(ClientPool { shared, jobs: Some(jobs), workers })
    }

    pub fn endpoint(&self, router: usize) -> &RouterEndpoint {
        &self.shared.endpoints[router]
    }

    /// Hands arrivals to the workers when they are due, counted from `begin`; ends early once `keep_running` returns
    /// false.
    pub fn play(&self, traffic: Traffic, begin: f64, mut keep_running: impl FnMut() -> bool) {
        let Some(jobs) = &self.jobs else { return };
        for arrival in traffic {
            let due = begin + arrival.at;
            loop {
                let remaining = self.shared.clock.until(due);
                if remaining.is_zero() {
                    break;
                }
                thread::sleep(remaining.min(Duration::from_millis(100)));
                if !keep_running() {
                    return;
                }
            }
            if jobs.send((due, arrival)).is_err() {
                return;
            }
        }
    }

    /// Sends `count` clients to `router` at once, each with a request of the first traffic stream.
    pub fn send_burst(&self, router: usize, count: usize) {
        let (Some(jobs), Some(stream)) = (&self.jobs, self.shared.script.streams.first()) else { return };
        let now = self.shared.clock.now();
        let (router_count, workload) = (self.shared.endpoints.len() as u64, stream.workload);
        for n in 0..count as u64 {
            // New sessions whose home is this router.
            let session = router as u64 + router_count * (1_000_000 + n);
            let group = stream.groups[n as usize % stream.groups.len()];
            let arrival = Arrival { at: now, stream: 0, workload, group, session, router_draw: 1.0 };
            if jobs.send((now, arrival)).is_err() {
                return;
            }
        }
    }

    /// Statements sent and answered so far, and requests in progress.
    pub fn counts(&self) -> (u64, u64, usize) {
        (
            self.shared.sent_count.load(Relaxed),
            self.shared.answered_count.load(Relaxed),
            self.shared.in_progress.load(Relaxed),
        )
    }

    /// Waits until all requests have ended; returns how late they were started, in microseconds.
    pub fn finish(mut self) -> Histogram<u64> {
        self.jobs = None;
        for worker in self.workers.drain(..) {
            let _ = worker.join();
        }
        self.shared.start_delay_us.lock().expect("no worker panics under the lock").clone()
    }
}

fn peak_rate_multiple(stream: &sandstile_scenario::script::TrafficStream) -> f64 {
    stream.jumps.iter().map(|j| j.multiple.max(1.0)).product::<f64>()
        * if stream.follow_up.is_some() { 2.0 } else { 1.0 }
}

fn worker(shared: Arc<Shared>, jobs: Receiver<(f64, Arrival)>) -> io::Result<JoinHandle<()>> {
    thread::Builder::new().name("client".to_string()).stack_size(WORKER_STACK_BYTES).spawn(move || {
        for (due, arrival) in jobs {
            shared.in_progress.fetch_add(1, Relaxed);
            shared.serve_arrival(due, &arrival);
            shared.in_progress.fetch_sub(1, Relaxed);
        }
    })
}

/// A request of a session, over all its attempts.
struct Request {
    workload: usize,
    group: usize,
    session: u64,
    home: usize,
    intended: f64,
}

enum Outcome {
    Completed(Option<f64>),
    /// With the retry delay that the router named, in seconds.
    Rejected(Option<f64>),
    Failed,
    /// No answer arrived; `sent` says whether anything was sent.
    Unanswered {
        sent: bool,
    },
}

impl Shared {
    fn serve_arrival(&self, due: f64, arrival: &Arrival) {
        let stream = &self.script.streams[arrival.stream];
        let home = (arrival.session as usize + usize::from(arrival.router_draw < stream.roaming_share))
            % self.endpoints.len();
        let group = arrival.group;
        let mut session = arrival.session;
        while !self.active_sessions.lock().expect("no worker panics under the lock").insert((group, session))
        {
            // The session is busy, so another session sends the request.
            session += 1_000_000_007;
        }
        self.send_with_follow_up(due, arrival, session, home);
        self.active_sessions.lock().expect("no worker panics under the lock").remove(&(group, session));
    }

    fn send_with_follow_up(&self, due: f64, arrival: &Arrival, session: u64, home: usize) {
        let (stream, group) = (&self.script.streams[arrival.stream], arrival.group);
        let completed =
            self.send_request(&Request { workload: arrival.workload, group, session, home, intended: due });
        if let (true, Some((workload, think_time_s))) = (completed, stream.follow_up) {
            thread::sleep(Duration::from_secs_f64(think_time_s));
            // Roaming sessions read at another router than they wrote to.
            let home = home + usize::from(arrival.router_draw < stream.roaming_share);
            let intended = self.clock.now();
            self.send_request(&Request {
                workload,
                group,
                session,
                home: home % self.endpoints.len(),
                intended,
            });
        }
    }

    /// Sends a request, with retries; returns whether it completed.
    fn send_request(&self, request: &Request) -> bool {
        let terms = &self.script.terms[request.workload];
        let effect = self.script.plan.workloads[request.workload].effect;
        let delay_us = ((self.clock.now() - request.intended).max(0.0) * 1e6) as u64;
        self.start_delay_us.lock().expect("no worker panics under the lock").saturating_record(delay_us);
        let deadline = self.clock.now().max(request.intended) + terms.timeout;
        let mut first_id = None;
        for attempt_number in 0..=self.script.clients.retries {
            let remaining_s = deadline - self.clock.now();
            if remaining_s < 0.01 {
                return false;
            }
            let statement_id = self.next_statement_id();
            let first_id = first_id.get_or_insert_with(|| statement_id.clone()).clone();
            let outcome = self.attempt(request, &statement_id, &first_id, remaining_s, attempt_number > 0);
            let pause_s = match outcome {
                Outcome::Completed(position) => {
                    let clients_carry_tokens = self.script.plan.tokens == Tokens::Carried;
                    let is_write =
                        self.script.plan.workloads[request.workload].consistency == Consistency::Write;
                    if let (true, true, Some(position)) = (clients_carry_tokens, is_write, position) {
                        let mut marks = self.marks.lock().expect("no worker panics under the lock");
                        let mark = marks.entry((request.group, request.session)).or_insert(0.0);
                        *mark = mark.max(position);
                    }
                    return true;
                }
                // A rejected or unsent statement did not run, so it is safe to send again.
                Outcome::Rejected(retry_after_s) => match self.script.clients.ignore_retry_after {
                    true => self.script.clients.retry_pause,
                    false => retry_after_s.unwrap_or(self.script.clients.retry_pause),
                },
                Outcome::Unanswered { sent: false } => self.script.clients.retry_pause,
                Outcome::Failed | Outcome::Unanswered { sent: true } if effect == Effect::Idempotent => {
                    self.script.clients.retry_pause
                }
                _ => return false,
            };
            if self.clock.now() + pause_s > deadline {
                return false;
            }
            thread::sleep(Duration::from_secs_f64(pause_s));
        }
        false
    }

    /// A unique statement id of sixteen hexadecimal digits.
    fn next_statement_id(&self) -> String {
        let sequence = self.next_id.fetch_add(1, SeqCst) + (self.seed << 40);
        format!("{:016x}", sequence.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    }

    /// The first router from `home` on that accepts clients; pinned clients stay with their home.
    fn choose_router(&self, home: usize) -> usize {
        let count = self.endpoints.len();
        if self.script.clients.pinned {
            return home;
        }
        (0..count)
            .map(|offset| (home + offset) % count)
            .find(|router| self.endpoints[*router].accepts_clients.load(SeqCst))
            .unwrap_or(home)
    }

    fn query_message(&self, request: &Request, id: &str, timeout_ms: u64, retry: bool) -> Vec<u8> {
        let plan = &self.script.plan;
        let (workload, group) = (&plan.workloads[request.workload], &plan.groups[request.group].name);
        let marks = self.marks.lock().expect("no worker panics under the lock");
        let after = marks.get(&(request.group, request.session)).map(|p| format!(",after={:.0}", p * 1e3));
        drop(marks);
        let tokens = self.tokens.lock().expect("no worker panics under the lock");
        let mark =
            tokens.get(&(request.group, request.session)).map(|t| format!(",mark={t}")).unwrap_or_default();
        drop(tokens);
        let (after, retry) = (after.unwrap_or_default(), if retry { ",r=1" } else { "" });
        let comment =
            format!("/* id={id},c={},d={timeout_ms},cluster={group}{after}{mark}{retry} */", workload.name);
        let session = format!("u{}", request.session);
        let sql = match workload.consistency {
            Consistency::Write => {
                format!(
                    "{comment} INSERT INTO clips (viewer, clip) VALUES ('{session}', '\\x2a') RETURNING clip"
                )
            }
            _ => format!("{comment} SELECT clip FROM clips WHERE viewer = '{session}'"),
        };
        let mut out = Vec::new();
        pg::query(&mut out, sql.as_bytes());
        out
    }

    fn attempt(
        &self,
        request: &Request,
        id: &str,
        first_id: &str,
        remaining_s: f64,
        is_retry: bool,
    ) -> Outcome {
        let plan = &self.script.plan;
        let router = self.choose_router(request.home);
        let endpoint = &self.endpoints[router];
        let timeout_ms = (remaining_s * 1e3).floor().max(1.0) as u64;
        let asked_line = TraceLine::Asked {
            id: id.to_string(),
            first: first_id.to_string(),
            intended: request.intended,
            workload: plan.workloads[request.workload].name.clone(),
            group: plan.groups[request.group].name.clone(),
            session: format!("u{}", request.session),
            router,
            wait: timeout_ms as f64 / 1e3,
        };
        self.sent_count.fetch_add(1, Relaxed);
        let unanswered = |how: &'static str| {
            self.trace.write(self.clock.now(), TraceLine::Unanswered { id: id.to_string(), how });
        };
        let deadline = self.clock.now() + remaining_s;
        let message = self.query_message(request, id, timeout_ms, is_retry);
        let pooled = self.take_idle_connection(endpoint);
        let was_pooled = pooled.is_some();
        let mut connection = match pooled.map_or_else(|| self.dial(endpoint, deadline), Ok) {
            Ok(connection) => connection,
            Err(how) => {
                self.trace.write(self.clock.now(), asked_line);
                unanswered(how);
                return Outcome::Unanswered { sent: false };
            }
        };
        let mut written = write_with_deadline(&mut connection.stream, &message, &self.clock, deadline);
        // The statement is recorded in the trace before its outcome is known.
        self.trace.write(self.clock.now(), asked_line);
        let mut read_outcome = match written {
            Ok(()) => self.read_answer(&mut connection, id, deadline),
            Err(_) => ReadOutcome::NoAnswer { any_received: false, how: "closed" },
        };
        if let (ReadOutcome::NoAnswer { any_received: false, .. }, true) = (&read_outcome, was_pooled) {
            // The router closed the idle connection while the statement was on its way: send it again on a new one.
            endpoint.open_connections.fetch_sub(1, SeqCst);
            self.trace.write(self.clock.now(), TraceLine::Resent { id: id.to_string() });
            connection = match self.dial(endpoint, deadline) {
                Ok(connection) => connection,
                Err(how) => {
                    unanswered(how);
                    return Outcome::Unanswered { sent: false };
                }
            };
            let remaining_ms = ((deadline - self.clock.now()) * 1e3).floor().max(1.0) as u64;
            written = write_with_deadline(
                &mut connection.stream,
                &self.query_message(request, id, remaining_ms, is_retry),
                &self.clock,
                deadline,
            );
            read_outcome = match written {
                Ok(()) => self.read_answer(&mut connection, id, deadline),
                Err(_) => ReadOutcome::NoAnswer { any_received: false, how: "closed" },
            };
        }
        match read_outcome {
            ReadOutcome::Answer { outcome, reusable, mark } => {
                if let Some(mark) = mark.filter(|_| self.script.sessions.tokens) {
                    let mut tokens = self.tokens.lock().expect("no worker panics under the lock");
                    tokens.insert((request.group, request.session), mark);
                }
                self.answered_count.fetch_add(1, Relaxed);
                if reusable {
                    connection.last_statement = Some(id.to_string());
                    endpoint.idle.lock().expect("no worker panics under the lock").push(connection);
                } else {
                    endpoint.open_connections.fetch_sub(1, SeqCst);
                }
                outcome
            }
            ReadOutcome::NoAnswer { how, .. } => {
                endpoint.open_connections.fetch_sub(1, SeqCst);
                unanswered(how);
                Outcome::Unanswered { sent: true }
            }
        }
    }

    /// Takes an idle connection that is still usable. Data that arrived on an idle one is recorded as a second answer.
    fn take_idle_connection(&self, endpoint: &RouterEndpoint) -> Option<PooledConnection> {
        loop {
            let connection = endpoint.idle.lock().expect("no worker panics under the lock").pop()?;
            let mut header = [0; 5];
            let peeked =
                connection.stream.set_nonblocking(true).and_then(|()| connection.stream.peek(&mut header));
            let restored = connection.stream.set_nonblocking(false);
            match peeked {
                Err(e) if e.kind() == ErrorKind::WouldBlock && restored.is_ok() => return Some(connection),
                // An error or notice that announces the close is no answer; rows or a second completion are.
                Ok(n) if n > 0 && header[0] != b'E' && header[0] != b'N' => {
                    let id = connection.last_statement.clone().unwrap_or_default();
                    let answered_line = TraceLine::Answered {
                        id,
                        how: "failed",
                        code: Some("stray".to_string()),
                        made_for: None,
                        by: None,
                        position: None,
                    };
                    self.trace.write(self.clock.now(), answered_line);
                }
                _ => {}
            }
            endpoint.open_connections.fetch_sub(1, SeqCst);
        }
    }

    fn dial(&self, endpoint: &RouterEndpoint, deadline: f64) -> Result<PooledConnection, &'static str> {
        if endpoint.open_connections.fetch_add(1, SeqCst) >= self.script.clients.connections {
            endpoint.open_connections.fetch_sub(1, SeqCst);
            return Err("no_connection");
        }
        let connect = || -> io::Result<TcpStream> {
            let remaining = self.clock.until(deadline).max(Duration::from_millis(1));
            let mut stream = TcpStream::connect_timeout(&endpoint.address, remaining)?;
            stream.set_nodelay(true)?;
            stream.write_all(&pg::startup_message())?;
            Ok(stream)
        };
        match connect() {
            // The startup response is read with the first answer, as pipelining drivers do.
            Ok(stream) => Ok(PooledConnection { stream, last_statement: None }),
            Err(_) => {
                endpoint.open_connections.fetch_sub(1, SeqCst);
                Err("refused")
            }
        }
    }

    fn read_answer(&self, connection: &mut PooledConnection, id: &str, deadline: f64) -> ReadOutcome {
        let mut buf = Vec::new();
        let mut chunk = [0; 8192];
        let mut answer = pg::Answer::default();
        let (mut offset, mut any_received, mut greeted) = (0, false, connection.last_statement.is_some());
        let mut retry_after_ms = None;
        let mut last_byte_at = None;
        let mut mark = None;
        loop {
            while let Ok(Some((tag, body))) = pg::frame(&buf[offset..]) {
                let end = body.end;
                let body = &buf[offset..][body];
                let mut complete = false;
                match tag {
                    b'R' | b'K' => {}
                    b'Z' if !greeted => greeted = true,
                    _ => {
                        any_received = true;
                        if tag == b'S' {
                            mark = parameter_value(body, "sandstile_mark").or(mark);
                        }
                        if tag == b'E' {
                            retry_after_ms = pg::field(body, b'D').and_then(|d| d.parse::<f64>().ok());
                        }
                        match answer.take(tag, body) {
                            Ok(ready) => complete = ready,
                            Err(_) => {
                                self.record_answer(id, self.clock.now(), "failed", Some("garbled"), None);
                                return ReadOutcome::Answer {
                                    outcome: Outcome::Failed,
                                    reusable: false,
                                    mark: None,
                                };
                            }
                        }
                    }
                }
                offset += end;
                // An answer's time is that of its last byte; ReadyForQuery may follow later.
                if matches!(answer.stage, pg::Stage::Complete | pg::Stage::Failed(_))
                    && last_byte_at.is_none()
                {
                    last_byte_at = Some(self.clock.now());
                }
                if complete {
                    let answered_at = last_byte_at.unwrap_or_else(|| self.clock.now());
                    return ReadOutcome::Answer {
                        outcome: self.classify_answer(id, answered_at, &answer, retry_after_ms),
                        reusable: offset == buf.len(),
                        mark,
                    };
                }
            }
            let listen_until = deadline + LATE_ANSWER_WINDOW_S;
            let remaining = self.clock.until(listen_until);
            if remaining.is_zero() {
                if let Some(answered_at) = last_byte_at {
                    return ReadOutcome::Answer {
                        outcome: self.classify_answer(id, answered_at, &answer, retry_after_ms),
                        reusable: false,
                        mark,
                    };
                }
                return ReadOutcome::NoAnswer { any_received, how: "silence" };
            }
            let read = connection
                .stream
                .set_read_timeout(Some(remaining))
                .and_then(|()| connection.stream.read(&mut chunk));
            match read {
                Ok(n) if n > 0 => buf.extend_from_slice(&chunk[..n]),
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                    ) => {}
                other => {
                    if let Some(answered_at) = last_byte_at {
                        return ReadOutcome::Answer {
                            outcome: self.classify_answer(id, answered_at, &answer, retry_after_ms),
                            reusable: false,
                            mark,
                        };
                    }
                    return ReadOutcome::NoAnswer {
                        any_received,
                        how: if other.is_ok() { "closed" } else { "reset" },
                    };
                }
            }
        }
    }

    fn classify_answer(
        &self,
        id: &str,
        answered_at: f64,
        answer: &pg::Answer,
        retry_after_ms: Option<f64>,
    ) -> Outcome {
        match &answer.stage {
            pg::Stage::Complete => {
                let value = &answer.rows[answer.value.clone()];
                let served = protocol::parse_value(value);
                self.record_answer(id, answered_at, "completed", None, served);
                Outcome::Completed(served.map(|(_, _, position)| position))
            }
            pg::Stage::Failed(code) if matches!(code.as_str(), "53300" | "57P03") => {
                self.record_answer(id, answered_at, "rejected", Some(code), None);
                Outcome::Rejected(retry_after_ms.map(|ms| ms / 1e3))
            }
            pg::Stage::Failed(code) => {
                self.record_answer(id, answered_at, "failed", Some(code), None);
                Outcome::Failed
            }
            _ => {
                self.record_answer(id, answered_at, "failed", Some("empty"), None);
                Outcome::Failed
            }
        }
    }

    fn record_answer(
        &self,
        id: &str,
        answered_at: f64,
        how: &'static str,
        code: Option<&str>,
        served: Option<(&str, &str, f64)>,
    ) {
        let answered_line = TraceLine::Answered {
            id: id.to_string(),
            how,
            code: code.map(str::to_string),
            made_for: served.map(|(id, _, _)| id.to_string()),
            by: served.map(|(_, host, _)| host.to_string()),
            position: served.map(|(_, _, position)| position),
        };
        self.trace.write(answered_at, answered_line);
    }
}

enum ReadOutcome {
    /// With the session's mark, if the router sent one.
    Answer { outcome: Outcome, reusable: bool, mark: Option<String> },
    /// The connection ended or the time ran out; `any_received` says whether a byte of an answer arrived.
    NoAnswer { any_received: bool, how: &'static str },
}

/// The value of a ParameterStatus message, if it has this name.
fn parameter_value(body: &[u8], name: &str) -> Option<String> {
    let mut fields = body.split(|b| *b == 0).map(|w| std::str::from_utf8(w).unwrap_or(""));
    (fields.next() == Some(name)).then(|| fields.next().unwrap_or("").to_string())
}

fn write_with_deadline(stream: &mut TcpStream, bytes: &[u8], clock: &Clock, deadline: f64) -> io::Result<()> {
    stream.set_write_timeout(Some(clock.until(deadline).max(Duration::from_millis(1))))?;
    stream.write_all(bytes)
}
