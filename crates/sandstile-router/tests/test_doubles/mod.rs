//! Test doubles on loopback for everything that a router talks to (clients, database hosts, discovery), and
//! the program itself.
use sandstile_dispatcher::{
    Command as CommandToHosts, DispatcherMessage, Ending, HostTask, StatementPayload, TaskKind,
};
use sandstile_router::budget::{Budget, Claim, Holder};
use sandstile_router::clock::Clock;
use sandstile_router::counters::Counters;
use sandstile_router::hosts::Hosts;
use sandstile_router::loop_context::LoopContext;
use sandstile_router::mailbox::{self, Mailbox};
use sandstile_router::pg;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use std::{fs, thread};

pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Polls until the condition holds.
pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a port")
}

/// How a database host answers a statement.
#[derive(Clone)]
pub enum HostReply {
    Row(&'static [u8]),
    /// A row after a delay in milliseconds.
    Slow(u64, &'static [u8]),
    Fail(&'static str),
    /// The first bytes of a row, this many, then the end of the connection.
    Cut(usize),
    /// A row, then the end of the connection.
    RowThenEnd(&'static [u8]),
    /// A row, and the same row again behind it.
    Twice(&'static [u8]),
    Raw(&'static [u8]),
    Silent,
}

#[derive(Default)]
pub struct Script {
    pub replies: VecDeque<HostReply>,
    pub startup_error: Option<&'static str>,
    /// Number of connections whose startup is answered; later ones get no answer to it.
    pub startups_to_answer: Option<usize>,
    /// Startups are answered once this is cleared.
    pub startups_held: bool,
    /// Nothing is read behind a startup until this is cleared.
    pub reads_held: bool,
}

pub struct Host {
    pub address: SocketAddr,
    pub queries: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Connections that were accepted, and that have ended, as the host sees them.
    pub accepted: Arc<AtomicUsize>,
    pub ended: Arc<AtomicUsize>,
    /// Rounds of statements whose answers have been written.
    pub answered: Arc<AtomicUsize>,
    pub script: Arc<Mutex<Script>>,
}

fn row(value: &[u8], primary: bool, out: &mut Vec<u8>) {
    pg::write_frame(out, b'T', &[b"\0\x01payload\0", &[0; 18]]);
    pg::write_frame(out, b'D', &[&[0, 1], &(value.len() as u32).to_be_bytes(), value]);
    pg::write_frame(out, b'C', &[b"SELECT 1\0"]);
    close(primary, out);
}

fn close(primary: bool, out: &mut Vec<u8>) {
    let mode: &[u8] = if primary { b"read-write" } else { b"read-only" };
    pg::write_frame(out, b'S', &[b"mode\0", mode, b"\0"]);
    pg::write_frame(out, b'S', &[b"wal_time\0", b"1700000000123\0"]);
    pg::ready(out);
}

impl Host {
    /// Answers each statement without a scripted reply with a row that names its role.
    pub fn start(primary: bool) -> Host {
        let listener = listener();
        let host = Host {
            address: listener.local_addr().expect("bound"),
            queries: Arc::default(),
            accepted: Arc::default(),
            ended: Arc::default(),
            answered: Arc::default(),
            script: Arc::default(),
        };
        let (queries, script, ended) = (host.queries.clone(), host.script.clone(), host.ended.clone());
        let (accepted, answered) = (host.accepted.clone(), host.answered.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                accepted.fetch_add(1, SeqCst);
                let (queries, script, ended) = (queries.clone(), script.clone(), ended.clone());
                let answered = answered.clone();
                thread::spawn(move || {
                    let _ = serve_connection(&stream, primary, &queries, &script, &answered);
                    let _ = stream.shutdown(Shutdown::Both);
                    ended.fetch_add(1, SeqCst);
                });
            }
        });
        host
    }

    pub fn scripted(primary: bool, replies: &[HostReply]) -> Host {
        let host = Host::start(primary);
        host.script.lock().expect("script").replies.extend(replies.iter().cloned());
        host
    }

    pub fn count(&self) -> usize {
        self.queries.lock().expect("queries").len()
    }
}

/// The upstream side of a router without its event loop, and what it reports to the dispatcher.
pub struct HostsDriver {
    pub hosts: Hosts,
    pub context: LoopContext,
    pub reports: Mailbox<DispatcherMessage>,
    poll: mio::Poll,
}

/// A statement with so many bytes of blanks in it.
struct TestPayload(usize);

impl StatementPayload for TestPayload {
    fn message(&self, _: f64) -> Vec<u8> {
        query(&format!("SELECT {}1", " ".repeat(self.0)))
    }
}

#[allow(dead_code)]
impl HostsDriver {
    /// Dials may take `dial_timeout` seconds; host 0 has this address.
    pub fn new(address: SocketAddr, dial_timeout: f64) -> HostsDriver {
        let poll = mio::Poll::new().expect("readiness");
        let (clock, counters) = (Clock::anchor(), Arc::new(Counters::default()));
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let mut context = LoopContext {
            events_since: 0.0,
            registry: poll.registry().try_clone().expect("readiness"),
            clock,
            budget: Budget::new(16, 8, 1 << 20),
            counters: counters.clone(),
            log: log.clone(),
            timers: sandstile_timers::TimerWheel::starting_at(clock.now()),
            queue: Default::default(),
            scratch: vec![0; 65536],
        };
        let (sender, reports) = mailbox::mailbox::<DispatcherMessage>();
        let mut hosts = Hosts::new(sender, counters, log, dial_timeout, 30.0);
        let host = CommandToHosts::UpdateHost { host: 0, name: "s-0".to_string(), address: Some(address) };
        hosts.handle_command(host, &mut context);
        HostsDriver { hosts, context, reports, poll }
    }

    /// Sends a statement to host 0.
    pub fn start(&mut self, statement_id: u64) {
        self.start_payload(statement_id, self.context.clock.now() + 5.0, TestPayload(0));
    }

    /// Sends a statement of at least so many bytes to host 0.
    pub fn start_long(&mut self, statement_id: u64, bytes: usize) {
        self.start_payload(statement_id, self.context.clock.now() + 5.0, TestPayload(bytes));
    }

    /// Sends a statement to host 0 whose client waits until `deadline`.
    pub fn start_until(&mut self, statement_id: u64, deadline: f64) {
        self.start_payload(statement_id, deadline, TestPayload(0));
    }

    fn start_payload(&mut self, statement_id: u64, deadline: f64, payload: TestPayload) {
        let kind = TaskKind::Statement { statement_id, execution: 0, payload: Arc::new(payload) };
        self.hosts.handle_command(CommandToHosts::Start(0, HostTask { kind, deadline }), &mut self.context);
    }

    /// Begins the dials that may begin.
    pub fn dial(&mut self) {
        while self.hosts.next_dial_ready(self.context.clock.now())
            && self.context.budget.claim(Holder::UpstreamConnection) == Claim::Granted
        {
            self.hosts.dial(&mut self.context);
        }
    }

    /// Handles the events of the sockets and the timers that are due.
    pub fn turn(&mut self) {
        let mut events = mio::Events::with_capacity(16);
        self.poll.poll(&mut events, Some(Duration::from_millis(1))).expect("readiness");
        for event in &events {
            self.hosts.on_event((event.token().0 - 3) / 2, event, &mut self.context);
        }
        while let Some(token) = self.context.queue.pop_front() {
            self.hosts.run_queued((token.0 - 3) / 2, &mut self.context);
        }
        while let Some((at, token)) = self.context.timers.pop(self.context.clock.now()) {
            self.hosts.handle_timer((token.0 - 3) / 2, at, &mut self.context);
        }
    }

    /// How a statement ended, if one has.
    pub fn ending(&self) -> Option<(u64, Ending)> {
        std::iter::from_fn(|| self.reports.try_recv()).find_map(|report| match report {
            DispatcherMessage::Ended { statement_id, outcome, .. } => Some((statement_id, outcome.ending)),
            _ => None,
        })
    }
}

type Queries = Mutex<Vec<Vec<u8>>>;

fn serve_connection(
    mut stream: &TcpStream,
    primary: bool,
    queries: &Queries,
    script: &Mutex<Script>,
    answered: &AtomicUsize,
) -> std::io::Result<()> {
    let (mut buf, mut bytes, mut startup_done) = (Vec::new(), [0; 4096], false);
    loop {
        while startup_done && script.lock().expect("script").reads_held {
            thread::sleep(Duration::from_millis(1));
        }
        let got = stream.read(&mut bytes)?;
        if got == 0 {
            return Ok(());
        }
        buf.extend_from_slice(&bytes[..got]);
        let mut out = Vec::new();
        if !startup_done {
            let Some((_, length)) = pg::startup(&buf).expect("a startup") else { continue };
            buf.drain(..length);
            startup_done = true;
            while script.lock().expect("script").startups_held {
                thread::sleep(Duration::from_millis(1));
            }
            if let Some(left) = script.lock().expect("script").startups_to_answer.as_mut() {
                if *left == 0 {
                    continue;
                }
                *left -= 1;
            }
            if let Some(code) = script.lock().expect("script").startup_error {
                pg::error(&mut out, true, code, "no", None);
                return stream.write_all(&out);
            }
            pg::startup_response(&mut out);
        }
        let before = queries.lock().expect("queries").len();
        while let Some((tag, body)) = pg::frame(&buf).expect("a frame") {
            let query = buf[body.clone()].to_vec();
            buf.drain(..body.end);
            if tag != b'Q' {
                return Ok(());
            }
            queries.lock().expect("queries").push(query);
            let reply = script.lock().expect("script").replies.pop_front();
            match reply.unwrap_or(HostReply::Row(if primary { b"primary" } else { b"replica" })) {
                HostReply::Row(value) => row(value, primary, &mut out),
                HostReply::Twice(value) => {
                    row(value, primary, &mut out);
                    row(value, primary, &mut out);
                }
                HostReply::Slow(ms, value) => {
                    thread::sleep(Duration::from_millis(ms));
                    row(value, primary, &mut out);
                }
                HostReply::RowThenEnd(value) => {
                    row(value, primary, &mut out);
                    return stream.write_all(&out);
                }
                HostReply::Fail(code) => {
                    pg::error(&mut out, false, code, "as told", None);
                    close(primary, &mut out);
                }
                HostReply::Cut(n) => {
                    row(b"cut", primary, &mut out);
                    return stream.write_all(&out[..n]);
                }
                HostReply::Raw(bytes) => out.extend_from_slice(bytes),
                HostReply::Silent => {}
            }
        }
        stream.write_all(&out)?;
        answered.fetch_add(usize::from(queries.lock().expect("queries").len() > before), SeqCst);
    }
}

/// Discovery's agent: each watch is handed to the test, which writes its content.
pub struct DiscoveryAgent {
    pub address: SocketAddr,
    listener: TcpListener,
}

pub struct Watch {
    pub request: String,
    stream: TcpStream,
}

impl DiscoveryAgent {
    pub fn start() -> DiscoveryAgent {
        let listener = listener();
        DiscoveryAgent { address: listener.local_addr().expect("bound"), listener }
    }

    pub fn watch(&self) -> Watch {
        let (mut stream, _) = self.listener.accept().expect("a watch");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a limit");
        let (mut request, mut byte) = (Vec::new(), [0]);
        while !request.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a whole request");
            request.push(byte[0]);
        }
        Watch { request: String::from_utf8(request).expect("text"), stream }
    }
}

impl Watch {
    pub fn begin(&mut self) {
        self.raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    pub fn raw(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("a watch that is read");
    }

    /// Sends a single space; `false` once nobody reads the watch.
    #[allow(dead_code)]
    pub fn send_blank(&mut self) -> bool {
        self.stream.write_all(b"1\r\n \r\n").is_ok()
    }

    pub fn chunk(&mut self, text: &str) {
        self.raw(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    }
}

pub fn entry(name: &str, address: SocketAddr, primary: bool, status: &str) -> String {
    let mode = if primary { "read-write" } else { "read-only" };
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","type":"m","group":3,"status":"{status}","weight":1.0,"since_ms":0,"mode":"{mode}"}}"#
    )
}

pub fn list(index: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"index":{index},"snapshot":{whole},"endpoints":[{}]}}"#, entries.join(","))
}

/// A configuration with this discovery agent and this list of known hosts, which are in group 3.
pub fn config(agent: SocketAddr, known: &str) -> String {
    let class = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aimMs":500.0,"deadlineMs":2000.0,"credit":1.0,"lateWorth":0.3,"effect":"{effect}","dedupScope":"all","windowMs":5000.0}}"#
        )
    };
    format!(
        r#"{{"name":"n3","listen":"127.0.0.1:0","discovery":"{agent}","seed":"8c1f30d27a5be964",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":64}},"known":{known},
        "settings":{{"classes":[{},{},{}],"peersTotal":1,"tickMs":5.0,"discovery":"pushed",
        "allowed":{{"mostTries":4,"mayCancel":true,"probes":true,"retryAfter":true,"maxRetryAfterMs":700.0,
        "dialTimeoutMs":250.0,"idleCloseMs":30000.0}},
        "specifics":{{"consistency":["loose","own_writes","update"],"maxAgeMs":[0.0,0.0,0.0],"guards":"reject",
        "answersStamped":true,"tokens":"router"}}}}}}"#,
        class("look", "idempotent"),
        class("own", "idempotent"),
        class("book", "at_most_once")
    )
}

/// The program, on an address of its own.
pub struct Router {
    pub child: Child,
    pub address: SocketAddr,
    file: PathBuf,
}

static NEXT: AtomicUsize = AtomicUsize::new(0);

impl Router {
    pub fn command(config: &str) -> (Command, SocketAddr, PathBuf) {
        let (pid, n) = (std::process::id(), next_id());
        let path = std::env::temp_dir().join(format!("sandstile-{pid}-{n}.json"));
        fs::write(&path, config).expect("a place for files");
        // Each router gets its own address: a port that was free a moment ago may be in use by a connection by now.
        let number = (pid as usize * 128 + n) as u32;
        let [_, b, c, d] = number.to_be_bytes();
        let address = SocketAddr::from(([127, 1 + b % 200, c, d], 6432));
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandstile"));
        command.env("LB_CONFIG", &path).env("LB_LISTEN", address.to_string());
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        (command, address, path)
    }

    pub fn start(config: &str) -> Router {
        let (mut command, address, file) = Router::command(config);
        command.arg("serve");
        Router::spawn_and_wait(command, address, file)
    }

    // Not all tests that use these test doubles pass arguments.
    #[allow(dead_code)]
    pub fn start_with_arguments(config: &str, arguments: &[&str]) -> Router {
        let (mut command, address, file) = Router::command(config);
        command.arg("serve").args(arguments);
        Router::spawn_and_wait(command, address, file)
    }

    /// Starts a router without waiting until it accepts connections.
    #[allow(dead_code)]
    pub fn spawn(config: &str) -> Router {
        let (mut command, address, file) = Router::command(config);
        Router { child: command.arg("serve").spawn().expect("the program"), address, file }
    }

    pub fn spawn_and_wait(mut command: Command, address: SocketAddr, file: PathBuf) -> Router {
        let router = Router { child: command.spawn().expect("the program"), address, file };
        wait_for("a router", || TcpStream::connect(address).is_ok());
        router
    }

    /// Runs the program by a shell command in which `$0` is its path.
    pub fn start_in_shell(line: &str, config: &str) -> Router {
        let (command, address, file) = Router::command(config);
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", line]).arg(command.get_program());
        shell.envs(command.get_envs().filter_map(|(k, v)| Some((k, v?))));
        shell.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Router::spawn_and_wait(shell, address, file)
    }

    /// A router with one primary and the given replicas, with discovery silent.
    pub fn start_with_hosts(primary: &Host, replicas: &[&Host]) -> Router {
        Router::start(&config(DiscoveryAgent::start().address, &known(primary, replicas)))
    }

    /// Replaces the configuration file and has the router read it.
    pub fn reload(&self, config: &str) {
        fs::write(&self.file, config).expect("a place for files");
        self.signal("HUP");
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("/bin/sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    pub fn client(&self) -> Client {
        let mut client = Client::connect(self.address);
        client.greet();
        client
    }

    /// Reads what the router prints from now on while it runs.
    pub fn follow_log(&mut self) -> Log {
        let output = BufReader::new(self.child.stderr.take().expect("a pipe"));
        let text = Arc::<Mutex<String>>::default();
        let read_text = text.clone();
        let reader = thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                *read_text.lock().expect("a log") += &(line + "\n");
            }
        });
        Log { text, reader }
    }

    /// Ends the router as operators do, and yields whether it succeeded and what it printed.
    pub fn end(mut self) -> (bool, String) {
        let log = self.follow_log();
        self.end_with_log(log)
    }

    /// Like `end`, for a router whose log is followed.
    pub fn end_with_log(mut self, log: Log) -> (bool, String) {
        self.signal("TERM");
        let ok = self.child.wait().expect("an end").success();
        log.reader.join().expect("a reader");
        let text = std::mem::take(&mut *log.text.lock().expect("a log"));
        (ok, text)
    }
}

/// What a router has printed so far.
pub struct Log {
    text: Arc<Mutex<String>>,
    reader: thread::JoinHandle<()>,
}

impl Log {
    /// How many times this text was printed.
    #[allow(dead_code)]
    pub fn count(&self, text: &str) -> usize {
        self.text.lock().expect("a log").matches(text).count()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn known(primary: &Host, replicas: &[&Host]) -> String {
    let mut entries = vec![entry("s-0", primary.address, true, "active")];
    for (host, n) in replicas.iter().zip(1..) {
        entries.push(entry(&format!("s-{n}"), host.address, false, "active"));
    }
    list(41, true, &entries)
}

pub fn run(config: &str, arguments: &[&str]) -> Output {
    Router::command(config).0.args(arguments).output().expect("the program")
}

/// The response to one query, up to ReadyForQuery or the end of the connection.
#[derive(Debug, Default, PartialEq)]
pub struct QueryResponse {
    pub value: Option<Vec<u8>>,
    pub code: Option<String>,
    pub detail: Option<String>,
    pub ready: bool,
    pub empty: bool,
}

/// The value that came back, or a dash.
#[allow(dead_code)]
pub fn value(got: &QueryResponse) -> &[u8] {
    got.value.as_deref().unwrap_or(b"-")
}

/// A counter from the last line of counters in a log.
#[allow(dead_code)]
pub fn count(text: &str, name: &str) -> u64 {
    let line = text.lines().rev().find(|l| l.starts_with("counters")).expect("counters");
    let pair = line.split(' ').find_map(|p| p.strip_prefix(&format!("{name}="))).expect("a counter");
    pair.parse().expect("a number")
}

pub struct Client {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address).expect("a router that accepts");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a limit");
        Client { stream, buf: Vec::new() }
    }

    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("a router that reads");
    }

    pub fn greet(&mut self) {
        self.send(&pg::startup_message());
        assert!(self.answer().ready);
    }

    pub fn answer(&mut self) -> QueryResponse {
        let mut response = QueryResponse::default();
        loop {
            let whole = |buf: &[u8]| {
                pg::frame_end(buf, 1 << 24).expect("frames of the protocol").filter(|end| buf.len() >= *end)
            };
            while let Some(end) = whole(&self.buf) {
                let (tag, body) = (self.buf[0], self.buf[5..end].to_vec());
                self.buf.drain(..end);
                match tag {
                    b'Z' => return QueryResponse { ready: true, ..response },
                    b'D' => response.value = Some(body[6..].to_vec()),
                    b'I' => response.empty = true,
                    b'E' => {
                        for field in body.split(|b| *b == 0).filter(|f| !f.is_empty()) {
                            let text = Some(String::from_utf8_lossy(&field[1..]).into_owned());
                            match field[0] {
                                b'C' => response.code = text,
                                b'D' => response.detail = text,
                                _ => {}
                            }
                        }
                    }
                    _ => {}
                }
            }
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(n) if n > 0 => self.buf.extend_from_slice(&bytes[..n]),
                Ok(_) => return response,
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionReset => return response,
                Err(e) => panic!("no answer: {e}"),
            }
        }
    }

    pub fn ask(&mut self, text: &str) -> QueryResponse {
        self.send(&query(text));
        self.answer()
    }
}

pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    pg::write_frame(&mut out, b'Q', &[text.as_bytes(), b"\0"]);
    out
}

/// Each statement has its own id, as clients assign them.
fn next_id() -> usize {
    NEXT.fetch_add(1, SeqCst)
}

pub fn read(timeout_ms: u32) -> String {
    format!(
        "/* id=9b1f{},c=look,d={timeout_ms},cluster=3 */ SELECT payload FROM entries WHERE ref = 'k1'",
        next_id()
    )
}

pub fn write(timeout_ms: u32) -> String {
    format!("/* id=9b20{},c=book,d={timeout_ms},cluster=3 */ INSERT INTO entries (ref, payload) VALUES ('k1', '\\x9f') RETURNING payload", next_id())
}
