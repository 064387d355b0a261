//! Stand-ins that the cases of the second review share: database hosts, discovery, clients and the start of
//! routers. Standard library only; `review/build-2.sh` compiles it into each case.
#![allow(dead_code)]
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
/// The numbers of these two differ between some platforms; these are those of Linux on x86-64 and arm64.
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Unix time in milliseconds.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1e3
}

pub fn sleep_ms(ms: f64) {
    if ms > 0.0 {
        thread::sleep(Duration::from_secs_f64(ms / 1e3));
    }
}

/// `TROUBLE=0` runs a case without its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |t| t != "0")
}

/// A random number from 0 to 1.
pub fn random() -> f64 {
    static STATE: AtomicU64 = AtomicU64::new(0x9e37_79b9_7f4a_7c15);
    let mut z = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, SeqCst);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// The record of a run: one line an event, with Unix milliseconds.
pub struct Record(Mutex<std::io::BufWriter<File>>);

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|e| unable(&format!("{}: {e}", path.display())));
        Arc::new(Record(Mutex::new(std::io::BufWriter::new(file))))
    }
    pub fn line(&self, text: &str) {
        let _ = writeln!(self.0.lock().unwrap(), "{:.1} {text}", now_ms());
    }
    pub fn flush(&self) {
        let _ = self.0.lock().unwrap().flush();
    }
}

/// The processes that this case has started and not waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

fn end_all() {
    for pid in RUNNING.lock().unwrap().drain(..) {
        unsafe { kill(pid as i32, SIGKILL) };
    }
}

/// The case can't run.
pub fn unable(why: &str) -> ! {
    end_all();
    eprintln!("the case can't run: {why}");
    std::process::exit(2)
}

/// Prints the verdict and ends: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: bool, text: &str) -> ! {
    let word = if broken { "BROKEN" } else { "held" };
    record.line(&format!("verdict: {word}: {text}"));
    record.flush();
    println!("{word}: {text}");
    end_all();
    std::process::exit(i32::from(broken))
}

// ---- PostgreSQL frames ----

pub fn frame(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

pub fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    frame(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

pub fn row(out: &mut Vec<u8>, value: &[u8]) {
    let mut body = b"\0\x01payload\0".to_vec();
    body.extend_from_slice(&[0; 6]);
    body.extend_from_slice(&17u32.to_be_bytes());
    body.extend_from_slice(&(-1i16).to_be_bytes());
    body.extend_from_slice(&(-1i32).to_be_bytes());
    body.extend_from_slice(&[0, 1]);
    frame(out, b'T', &body);
    let mut body = vec![0, 1];
    body.extend_from_slice(&(value.len() as u32).to_be_bytes());
    body.extend_from_slice(value);
    frame(out, b'D', &body);
    frame(out, b'C', b"SELECT 1\0");
}

pub fn error(out: &mut Vec<u8>, code: &str, message: &str) {
    frame(out, b'E', format!("SERROR\0VERROR\0C{code}\0M{message}\0\0").as_bytes());
}

pub fn ready(out: &mut Vec<u8>) {
    frame(out, b'Z', b"I");
}

pub fn read_frame(stream: &mut TcpStream) -> std::io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.saturating_sub(4)];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// A field of a statement's comment.
pub fn field<'a>(sql: &'a str, name: &str) -> Option<&'a str> {
    let comment = sql.split("/*").nth(1)?.split("*/").next()?;
    comment.split(',').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key.trim() == name).then(|| value.trim())
    })
}

/// The first quoted text behind the comment: the key.
pub fn key_of(sql: &str) -> &str {
    sql.split("*/").nth(1).and_then(|rest| rest.split('\'').nth(1)).unwrap_or("")
}

// ---- database hosts ----

/// The log of one group: for each key its values with the time of their commit, which is their position.
#[derive(Default)]
pub struct GroupLog(Mutex<HashMap<String, Vec<(f64, String)>>>);

impl GroupLog {
    /// Commits a value; returns its position in milliseconds.
    pub fn commit(&self, key: &str, value: &str) -> f64 {
        let mut log = self.0.lock().unwrap();
        let position = now_ms().ceil();
        log.entry(key.to_string()).or_default().push((position, value.to_string()));
        position
    }
    /// The value that a host sees which has applied the log up to `position`.
    pub fn value_at(&self, key: &str, position: f64) -> String {
        let log = self.0.lock().unwrap();
        let values = log.get(key).map_or(&[][..], |v| v);
        values.iter().rev().find(|(at, _)| *at <= position).map_or(String::new(), |(_, value)| value.clone())
    }
}

/// A statement that has reached a host.
pub struct Arrived {
    pub host: String,
    pub group: u32,
    pub at_ms: f64,
    pub connection: u64,
    /// How late the connection came up, in milliseconds.
    pub late_ms: f64,
    /// The host's position when the statement arrived.
    pub position_ms: f64,
    pub sql: String,
}

type MsFn = Box<dyn Fn() -> f64 + Send + Sync>;

/// A host that follows the protocol page. Replicas answer from what they have applied.
pub struct Host {
    pub name: String,
    pub group: u32,
    pub address: SocketAddr,
    pub is_primary: AtomicBool,
    /// It turns away whatever is new.
    pub draining: AtomicBool,
    /// It takes statements and answers none.
    pub hangs: AtomicBool,
    pub since_ms: f64,
    pub log: Arc<GroupLog>,
    /// The replica's lag at this moment in milliseconds.
    pub lag_ms: MsFn,
    pub work_ms: MsFn,
    /// How late the next connection comes up, in milliseconds.
    pub late_ms: MsFn,
    /// Whether it closes the connection after an answer ("After any other query, a database host may close").
    pub closes: Box<dyn Fn() -> bool + Send + Sync>,
    pub timeline: Option<u64>,
    pub on_statement: Box<dyn Fn(&Arrived) + Send + Sync>,
    /// Names of the classes that write.
    pub writes: Vec<String>,
    reached: Mutex<f64>,
    stopped: AtomicBool,
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| unable(&format!("listen: {e}")))
}

/// A free port on loopback, below the range from which connections usually get theirs: a router that is down for a while
/// keeps its address.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    for _ in 0..12_000 {
        let port = 20_000 + (u64::from(std::process::id()) * 37 + NEXT.fetch_add(1, SeqCst)) % 12_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().unwrap();
        }
    }
    unable("no free port")
}

impl Host {
    pub fn new(name: &str, group: u32, is_primary: bool, log: &Arc<GroupLog>, writes: &[&str]) -> (Host, TcpListener) {
        let listener = listen();
        let host = Host {
            name: name.to_string(),
            group,
            address: listener.local_addr().unwrap(),
            is_primary: AtomicBool::new(is_primary),
            draining: AtomicBool::new(false),
            hangs: AtomicBool::new(false),
            since_ms: 0.0,
            log: log.clone(),
            lag_ms: Box::new(|| 10.0),
            work_ms: Box::new(|| 5.0),
            late_ms: Box::new(|| 0.0),
            closes: Box::new(|| false),
            timeline: None,
            on_statement: Box::new(|_| {}),
            writes: writes.iter().map(|w| w.to_string()).collect(),
            reached: Mutex::new(0.0),
            stopped: AtomicBool::new(false),
        };
        (host, listener)
    }

    pub fn start(self, listener: TcpListener) -> Arc<Host> {
        let host = Arc::new(self);
        let accepting = host.clone();
        thread::spawn(move || {
            let mut number = 0;
            for stream in listener.incoming() {
                if accepting.stopped.load(SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                number += 1;
                let (serving, connection) = (accepting.clone(), number);
                thread::spawn(move || {
                    let _ = serving.serve(stream, connection);
                });
            }
        });
        host
    }

    /// Ends accepting; open connections end with their next statement.
    pub fn stop(&self) {
        self.stopped.store(true, SeqCst);
        let _ = TcpStream::connect(self.address);
    }

    /// How far the host has applied the log, in Unix milliseconds. It never goes backward.
    pub fn position_ms(&self) -> f64 {
        if self.is_primary.load(SeqCst) {
            return now_ms().floor();
        }
        let mut reached = self.reached.lock().unwrap();
        *reached = reached.max((now_ms() - (self.lag_ms)()).floor());
        *reached
    }

    fn report(&self, out: &mut Vec<u8>, position_ms: f64) {
        parameter(out, "wal_time", &format!("{position_ms:.0}"));
        parameter(out, "mode", if self.is_primary.load(SeqCst) { "read-write" } else { "read-only" });
        if let Some(timeline) = self.timeline {
            parameter(out, "timeline", &timeline.to_string());
        }
    }

    fn serve(&self, mut stream: TcpStream, connection: u64) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let late_ms = (self.late_ms)();
        sleep_ms(late_ms);
        let mut head = [0; 4];
        stream.read_exact(&mut head)?;
        let mut startup = vec![0; u32::from_be_bytes(head) as usize - 4];
        stream.read_exact(&mut startup)?;
        let mut out = Vec::new();
        frame(&mut out, b'R', &[0; 4]);
        ready(&mut out);
        stream.write_all(&out)?;
        loop {
            let (tag, body) = read_frame(&mut stream)?;
            if tag != b'Q' || self.stopped.load(SeqCst) {
                return Ok(());
            }
            let sql = String::from_utf8_lossy(&body[..body.len().saturating_sub(1)]).into_owned();
            let mut out = Vec::new();
            if sql == "SHOW stats" {
                while self.hangs.load(SeqCst) && !self.stopped.load(SeqCst) {
                    sleep_ms(5.0);
                }
                let primary = u8::from(self.is_primary.load(SeqCst));
                row(&mut out, format!("x0={:.3},x1={primary}", self.position_ms() / 1e3).as_bytes());
                self.report(&mut out, self.position_ms());
                ready(&mut out);
                stream.write_all(&out)?;
                continue;
            }
            let position_ms = self.position_ms();
            (self.on_statement)(&Arrived {
                host: self.name.clone(),
                group: self.group,
                at_ms: now_ms(),
                connection,
                late_ms,
                position_ms,
                sql: sql.clone(),
            });
            while self.hangs.load(SeqCst) && !self.stopped.load(SeqCst) {
                sleep_ms(5.0);
            }
            let class = field(&sql, "c").unwrap_or("");
            if self.draining.load(SeqCst) {
                self.report(&mut out, position_ms);
                error(&mut out, "53300", "draining");
            } else if self.writes.iter().any(|w| w == class) {
                if self.is_primary.load(SeqCst) {
                    sleep_ms((self.work_ms)());
                    let value = sql.split('\'').nth(3).unwrap_or("");
                    let commit = self.log.commit(key_of(&sql), value);
                    row(&mut out, value.as_bytes());
                    self.report(&mut out, commit);
                } else {
                    self.report(&mut out, position_ms);
                    error(&mut out, "25006", "no primary");
                }
            } else {
                sleep_ms((self.work_ms)());
                // A primary has applied all that it has confirmed, also in this very millisecond.
                let applied = if self.is_primary.load(SeqCst) { f64::INFINITY } else { position_ms };
                row(&mut out, self.log.value_at(key_of(&sql), applied).as_bytes());
                self.report(&mut out, position_ms);
            }
            ready(&mut out);
            stream.write_all(&out)?;
            if (self.closes)() {
                return Ok(());
            }
        }
    }
}

// ---- discovery ----

struct Listed {
    index: u64,
    /// For each host its latest entry and the index of its last change.
    entries: BTreeMap<String, (u64, String)>,
}

/// Discovery's agent: a watch that tells changes at once.
pub struct Discovery {
    pub address: SocketAddr,
    listed: Mutex<Listed>,
    changed: Condvar,
    /// When each index was last written to a watch.
    told: Mutex<HashMap<u64, f64>>,
}

impl Discovery {
    pub fn start() -> Arc<Discovery> {
        let listener = listen();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            listed: Mutex::new(Listed { index: 1, entries: BTreeMap::new() }),
            changed: Condvar::new(),
            told: Mutex::new(HashMap::new()),
        });
        let serving = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = serving.clone();
                thread::spawn(move || {
                    let _ = discovery.serve(stream);
                });
            }
        });
        discovery
    }

    /// Lists a host with this status; returns the new index.
    pub fn list(&self, host: &Host, status: &str, mode: Option<&str>) -> u64 {
        let mode = mode.map_or(String::new(), |m| format!(",\"mode\":\"{m}\""));
        let entry = format!(
            "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"std\",\"group\":{},\"status\":\"{status}\",\"weight\":1.0,\"since_ms\":{:.0}{mode}}}",
            host.name, host.address, host.group, host.since_ms
        );
        let mut listed = self.listed.lock().unwrap();
        listed.index += 1;
        let index = listed.index;
        listed.entries.insert(host.name.clone(), (index, entry));
        self.changed.notify_all();
        index
    }

    /// When this index was written to the router, in Unix milliseconds.
    pub fn told_ms(&self, index: u64) -> Option<f64> {
        self.told.lock().unwrap().iter().filter(|(i, _)| **i >= index).map(|(_, at)| *at).min_by(f64::total_cmp)
    }

    pub fn whole_list(&self) -> String {
        let listed = self.listed.lock().unwrap();
        let entries: Vec<&str> = listed.entries.values().map(|(_, e)| e.as_str()).collect();
        format!("{{\"index\":{},\"snapshot\":true,\"endpoints\":[{}]}}", listed.index, entries.join(","))
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut request, mut byte) = (Vec::new(), [0; 1]);
        while !request.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte)?;
            request.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&request).into_owned();
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let follows = text.contains("follow=1");
        let mut sent = 0;
        loop {
            let (index, line) = {
                let mut listed = self.listed.lock().unwrap();
                if sent > 0 && listed.index <= sent {
                    listed = self.changed.wait_timeout(listed, Duration::from_secs(2)).unwrap().0;
                }
                let changed: Vec<&str> =
                    listed.entries.values().filter(|(at, _)| *at > sent).map(|(_, e)| e.as_str()).collect();
                let line = if sent > 0 && changed.is_empty() {
                    "\n".to_string()
                } else {
                    let whole = sent == 0;
                    format!("{{\"index\":{},\"snapshot\":{whole},\"endpoints\":[{}]}}\n", listed.index, changed.join(","))
                };
                (listed.index, line)
            };
            stream.write_all(chunk(&line).as_bytes())?;
            if index > sent {
                self.told.lock().unwrap().entry(index).or_insert_with(now_ms);
            }
            sent = index;
            if !follows {
                return stream.write_all(b"0\r\n\r\n");
            }
        }
    }
}

// ---- routers ----

pub struct Router {
    pub name: String,
    pub address: SocketAddr,
    folder: PathBuf,
    local_config: Option<PathBuf>,
    child: Option<Child>,
}

/// The program's `run` command in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| unable(&format!("deploy file: {e}")));
    let line = text.lines().find(|l| l.starts_with("run = ")).unwrap_or_else(|| unable("no run in the deploy file"));
    line.trim_start_matches("run = ").trim_matches('"').to_string()
}

impl Router {
    /// `local_config`: the text of a local configuration file, if any.
    pub fn new(folder: &Path, name: &str, discovery: &Discovery, settings: &str, local_config: Option<&str>) -> Router {
        let address = free_address();
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"{:x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{},\"settings\":{settings}}}",
            discovery.address,
            (random() * 1e15) as u64,
            discovery.whole_list()
        );
        std::fs::write(folder.join(format!("{name}.json")), config).unwrap();
        let local_config = local_config.map(|text| {
            let path = folder.join(format!("{name}.hcl"));
            std::fs::write(&path, text).unwrap();
            path
        });
        Router { name: name.to_string(), address, folder: folder.to_path_buf(), local_config, child: None }
    }

    /// Starts the process and waits until it answers an empty query.
    pub fn start(&mut self) {
        let extra = self.local_config.as_ref().map_or(String::new(), |p| format!(" --config {}", p.display()));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", self.name)))
            .unwrap();
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{}{extra}", run_command()))
            .env("LB_CONFIG", self.folder.join(format!("{}.json", self.name)))
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| unable(&format!("router: {e}")));
        RUNNING.lock().unwrap().push(child.id());
        // For `run.sh`, should this program be ended before its time.
        let pids = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("pids"));
        let _ = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
        self.child = Some(child);
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until && !self.has_ended() {
            if let Ok(mut connection) = Connection::open(self.address) {
                if connection.ask("", 2000.0).is_ok() {
                    return;
                }
            }
            sleep_ms(20.0);
        }
        let log = std::fs::read_to_string(self.folder.join(format!("{}.log", self.name))).unwrap_or_default();
        unable(&format!("the router did not become ready: {}", log.lines().last().unwrap_or("no log")));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|status| status.is_some()))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(SIGKILL);
        self.wait();
    }

    /// Waits for the end after SIGTERM.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take() {
            RUNNING.lock().unwrap().retain(|pid| *pid != child.id());
            let _ = child.wait();
        }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---- clients ----

pub struct Connection {
    stream: TcpStream,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Row(String),
    Empty,
    /// The SQLSTATE.
    Error(String),
}

impl Connection {
    pub fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
        let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
        out.extend_from_slice(body);
        stream.write_all(&out)?;
        while read_frame(&mut stream)?.0 != b'Z' {}
        Ok(Connection { stream })
    }

    /// Sends one query and reads its answer; waits for `wait_ms` at most.
    pub fn ask(&mut self, sql: &str, wait_ms: f64) -> std::io::Result<Answer> {
        self.stream.set_read_timeout(Some(Duration::from_secs_f64(wait_ms / 1e3)))?;
        let mut out = Vec::new();
        frame(&mut out, b'Q', format!("{sql}\0").as_bytes());
        self.stream.write_all(&out)?;
        let mut answer = Answer::Empty;
        loop {
            let (tag, body) = read_frame(&mut self.stream)?;
            match tag {
                b'Z' => return Ok(answer),
                b'D' => answer = Answer::Row(String::from_utf8_lossy(&body[6..]).into_owned()),
                b'E' => {
                    let code = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C'));
                    answer = Answer::Error(String::from_utf8_lossy(&code.unwrap_or(b"C")[1..]).into_owned());
                }
                _ => {}
            }
        }
    }
}

/// A new id for a request.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    format!("{:016x}", NEXT.fetch_add(1, SeqCst) | 0x5a00_0000_0000_0000)
}

/// The folder of the case and its temporary folder, from the command line.
pub fn folders() -> (PathBuf, PathBuf) {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.len() < 3 {
        unable("usage: CASE FOLDER TEMPORARY-FOLDER, from the root of the repository");
    }
    (PathBuf::from(&arguments[1]), PathBuf::from(&arguments[2]))
}
