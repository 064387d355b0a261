//! Stand-ins shared by the cases: database hosts, discovery's agent, clients and the platform that starts and ends
//! routers. Standard library only; every address is a loopback address.
#![allow(dead_code)]
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_secs_f64()
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// Whether the disruption is played; `TROUBLE=0` turns it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn spawn(f: impl FnOnce() + Send + 'static) -> thread::JoinHandle<()> {
    thread::Builder::new().stack_size(128 * 1024).spawn(f).expect("a thread")
}

/// The record of a run: one line for each event, sorted by time when it is written.
#[derive(Clone)]
pub struct Record {
    begin: f64,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { begin: now(), lines: Arc::default() }
    }

    pub fn add(&self, text: impl Into<String>) {
        self.add_at(now(), text);
    }

    pub fn add_at(&self, at: f64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Seconds since the begin of the run.
    pub fn time(&self, at: f64) -> f64 {
        at - self.begin
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.4} {line}", at - self.begin);
        }
        std::fs::write(path, text).expect("record.txt can be written");
    }
}

/// A case that could not run: exit code 2.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    end_all();
    std::process::exit(2);
}

// ---- messages of PostgreSQL's protocol

pub fn frame(out: &mut Vec<u8>, tag: u8, body: &[u8]) {
    out.push(tag);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

pub fn row(out: &mut Vec<u8>, value: &[u8]) {
    let mut description = vec![0, 1];
    description.extend_from_slice(b"payload\0");
    description.extend_from_slice(&[0; 6]);
    description.extend_from_slice(&17u32.to_be_bytes());
    description.extend_from_slice(&(-1i16).to_be_bytes());
    description.extend_from_slice(&(-1i32).to_be_bytes());
    description.extend_from_slice(&[0, 1]);
    frame(out, b'T', &description);
    let mut data = vec![0, 1];
    data.extend_from_slice(&(value.len() as u32).to_be_bytes());
    data.extend_from_slice(value);
    frame(out, b'D', &data);
    frame(out, b'C', b"SELECT 1\0");
}

pub fn parameter(out: &mut Vec<u8>, name: &str, value: &str) {
    frame(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

pub fn error(out: &mut Vec<u8>, code: &str, message: &str) {
    frame(out, b'E', format!("SERROR\0VERROR\0C{code}\0M{message}\0\0").as_bytes());
}

pub fn ready(out: &mut Vec<u8>) {
    frame(out, b'Z', b"I");
}

/// A connection that is read message by message.
pub struct Wire {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true);
        Wire { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        let n = self.stream.read(&mut bytes)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&bytes[..n]);
        Ok(())
    }

    pub fn startup(&mut self) -> io::Result<()> {
        loop {
            if self.buf.len() >= 4 {
                let length = u32::from_be_bytes(self.buf[..4].try_into().unwrap()) as usize;
                if self.buf.len() >= length {
                    self.buf.drain(..length);
                    return Ok(());
                }
            }
            self.fill()?;
        }
    }

    pub fn message(&mut self) -> io::Result<(u8, Vec<u8>)> {
        loop {
            if self.buf.len() >= 5 {
                let length = u32::from_be_bytes(self.buf[1..5].try_into().unwrap()) as usize;
                if self.buf.len() > length {
                    let body = self.buf[5..=length].to_vec();
                    let tag = self.buf[0];
                    self.buf.drain(..=length);
                    return Ok((tag, body));
                }
            }
            self.fill()?;
        }
    }
}

/// The value of a field in a statement's comment.
pub fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split_once("/*")?.1.split_once("*/")?.0;
    comment.split(',').filter_map(|part| part.trim().split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

// ---- database hosts

/// A statement that has arrived at a database host.
pub struct Arrived<'a> {
    pub at: f64,
    pub text: &'a str,
}

/// What a database host does; called on the thread of the connection.
pub trait HostLogic: Send + Sync + 'static {
    /// Seconds until a new connection is up.
    fn connection_delay(&self) -> f64 {
        0.0
    }
    /// Seconds after which the host closes an idle connection.
    fn idle_limit(&self) -> f64 {
        30.0
    }
    /// The messages that answer a statement, without ReadyForQuery.
    fn statement(&self, arrived: Arrived) -> Vec<u8>;
    /// The load report for `SHOW stats`.
    fn stats(&self) -> String;
    fn role(&self) -> &'static str;
}

/// Starts a host on a free port; returns its address.
pub fn start_host(logic: Arc<dyn HostLogic>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let logic = logic.clone();
            spawn(move || {
                let _ = serve_host(&*logic, Wire::new(stream));
            });
        }
    });
    address
}

fn serve_host(logic: &dyn HostLogic, mut wire: Wire) -> io::Result<()> {
    sleep(logic.connection_delay());
    wire.startup()?;
    let mut out = Vec::new();
    frame(&mut out, b'R', &0u32.to_be_bytes());
    parameter(&mut out, "server_encoding", "UTF8");
    ready(&mut out);
    wire.stream.write_all(&out)?;
    loop {
        // An error, the end of the limit among them, closes the connection.
        wire.stream.set_read_timeout(Some(Duration::from_secs_f64(logic.idle_limit())))?;
        let (tag, body) = wire.message()?;
        let at = now();
        if tag != b'Q' {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&body[..body.len() - 1]).into_owned();
        let mut out = Vec::new();
        if text == "SHOW stats" {
            row(&mut out, logic.stats().as_bytes());
            parameter(&mut out, "mode", logic.role());
        } else if text.is_empty() {
            frame(&mut out, b'I', b"");
        } else {
            out = logic.statement(Arrived { at, text: &text });
        }
        ready(&mut out);
        wire.stream.write_all(&out)?;
    }
}

// ---- discovery

pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub group: u32,
    /// `read-write` or `read-only`; empty where lists show no roles.
    pub mode: &'static str,
}

pub fn list_json(index: u64, hosts: &[Listed]) -> String {
    let entries: Vec<String> = hosts
        .iter()
        .map(|h| {
            let mode = if h.mode.is_empty() { String::new() } else { format!(",\"mode\":\"{}\"", h.mode) };
            format!(
                "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"m2\",\"group\":{},\"status\":\"active\",\"weight\":1.0,\"since_ms\":0{mode}}}",
                h.name, h.address, h.group
            )
        })
        .collect();
    format!("{{\"index\":{index},\"snapshot\":true,\"endpoints\":[{}]}}", entries.join(","))
}

/// An agent that holds one list, which does not change: a watch gets it whole, and an empty line every 2 s.
pub fn start_agent(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            spawn(move || {
                let _ = serve_agent(stream, &list);
            });
        }
    });
    address
}

fn serve_agent(mut stream: TcpStream, list: &str) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.windows(4).any(|w| w == b"\r\n\r\n") {
        let mut bytes = [0; 1024];
        let n = stream.read(&mut bytes)?;
        if n == 0 {
            return Ok(());
        }
        head.extend_from_slice(&bytes[..n]);
    }
    if !String::from_utf8_lossy(&head).contains("follow=1") {
        return write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{list}",
            list.len()
        );
    }
    write!(stream, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        sleep(2.0);
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}

// ---- routers

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    if let Ok(mut children) = CHILDREN.lock() {
        for child in children.iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        children.clear();
    }
}

/// Ends everything with exit code 2 if the case hangs.
pub fn watchdog(seconds: f64) {
    spawn(move || {
        sleep(seconds);
        cannot_run("it took too long");
    });
}

pub struct Router {
    pub name: String,
    pub address: SocketAddr,
    pub pid: u32,
}

pub struct Platform {
    pub root: PathBuf,
    pub folder: PathBuf,
    run: String,
}

impl Platform {
    /// `root` is the project's folder; the run command is read from its deploy file.
    pub fn new(case: &str) -> Platform {
        let root = PathBuf::from(std::env::var("ROOT").unwrap_or_else(|_| ".".to_string()));
        let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml"))
            .unwrap_or_else(|e| cannot_run(&format!("deploy file: {e}")));
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.unwrap_or_else(|| cannot_run("the deploy file has no run line")).to_string();
        let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        Platform { root, folder, run }
    }

    pub fn free_address(&self) -> SocketAddr {
        TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
    }

    /// Starts a router with the run command of the deploy file and waits until it answers an empty query.
    pub fn start(&self, name: &str, discovery: SocketAddr, known: &str, settings: &str, memory_mb: u32) -> Router {
        let address = self.free_address();
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":1024}},\"known\":{known},\"settings\":{settings}}}"
        );
        let path = self.folder.join(format!("{name}.json"));
        std::fs::write(&path, config).expect("the configuration can be written");
        let log = std::fs::File::create(self.folder.join(format!("{name}.log"))).expect("a log file");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&self.run)
            .current_dir(&self.root)
            .env("LB_NAME", name)
            .env("LB_LISTEN", address.to_string())
            .env("LB_DISCOVERY", discovery.to_string())
            .env("LB_CONFIG", &path)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|e| cannot_run(&format!("router: {e}")));
        let pid = child.id();
        CHILDREN.lock().unwrap().push(child);
        let give_up = Instant::now() + Duration::from_secs(30);
        loop {
            if let Ok(mut client) = Client::connect(address) {
                if client.send("").is_ok() && matches!(client.answer(), Ok(Answer::Empty)) {
                    break;
                }
            }
            if Instant::now() > give_up {
                cannot_run("the router was not ready within 30 s");
            }
            sleep(0.05);
        }
        Router { name: name.to_string(), address, pid }
    }

    pub fn signal(&self, router: &Router, signal: i32) {
        // SAFETY: plain system call with a process that this program started and has not reaped.
        unsafe { kill(router.pid as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn ended(&self, router: &Router) -> bool {
        let mut children = CHILDREN.lock().unwrap();
        let child = children.iter_mut().find(|c| c.id() == router.pid);
        child.map_or(true, |c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Resident memory in MB; `None` where the process has ended.
    pub fn memory_mb(&self, router: &Router) -> Option<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", router.pid)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse::<f64>().ok().map(|kb| kb / 1024.0)
    }

    /// Ends all processes and removes the temporary folder; the routers' logs are kept beside the record on request.
    pub fn end(&self) {
        end_all();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs: {}", self.folder.display());
        }
    }
}

// ---- clients

#[derive(Debug, Clone)]
pub enum Answer {
    Served(Vec<u8>),
    /// Refused or failed, with the SQLSTATE.
    Error(String),
    Empty,
}

pub struct Client {
    pub wire: Wire,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        let mut client = Client { wire: Wire::new(stream) };
        let parameters = b"user\0web\0database\0orders\0\0";
        let mut out = (8 + parameters.len() as u32).to_be_bytes().to_vec();
        out.extend_from_slice(&(3u32 << 16).to_be_bytes());
        out.extend_from_slice(parameters);
        client.wire.stream.write_all(&out)?;
        loop {
            match client.wire.message()? {
                (b'Z', _) => return Ok(client),
                (b'E', _) => return Err(io::ErrorKind::ConnectionRefused.into()),
                _ => {}
            }
        }
    }

    pub fn send(&mut self, query: &str) -> io::Result<()> {
        let mut out = Vec::with_capacity(query.len() + 6);
        let mut body = query.as_bytes().to_vec();
        body.push(0);
        frame(&mut out, b'Q', &body);
        self.wire.stream.write_all(&out)
    }

    /// The next answer, up to its ReadyForQuery; an error where the connection ends before it is whole.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let mut answer = None;
        let (mut value, mut complete) = (None, false);
        loop {
            match self.wire.message()? {
                (b'D', body) => value = Some(body[6..].to_vec()),
                (b'C', _) => complete = true,
                (b'I', _) => answer = Some(Answer::Empty),
                (b'E', body) => {
                    let code = body.split(|b| *b == 0).find(|f| f.first() == Some(&b'C'));
                    let code = String::from_utf8_lossy(&code.unwrap_or(b"C?")[1..]).into_owned();
                    let fatal = body.starts_with(b"SFATAL");
                    answer = Some(Answer::Error(code));
                    if fatal {
                        return Ok(answer.unwrap());
                    }
                }
                (b'Z', _) => {
                    if let (Some(value), true) = (value, complete) {
                        return Ok(Answer::Served(value));
                    }
                    return answer.ok_or_else(|| io::ErrorKind::InvalidData.into());
                }
                _ => {}
            }
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A new id of 16 digits.
pub fn new_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NEXT_ID.fetch_add(1, SeqCst))
}

pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

pub type Flag = Arc<AtomicBool>;
pub type Shared<T> = Arc<Mutex<T>>;
pub type Runs = Shared<HashMap<String, Vec<(f64, String)>>>;
