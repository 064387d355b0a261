//! Case 1: a planned restart under clients that send many commands at once.
#[path = "../stand/common.rs"]
mod common;
use common::*;
use std::collections::VecDeque;
use std::net::{Shutdown, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

const SETTINGS: &str = r#"{"peersTotal":3,"me":0,"tier":0,"tiers":["replay-db"],"family":"replicas","discovery":"pushed",
"classes":[
{"name":"browse-read","aimMs":750,"deadlineMs":2000,"credit":1,"effect":"idempotent","dedupScope":"all","lateWorth":0,"windowMs":5000,"stream":false},
{"name":"own-read","aimMs":400,"deadlineMs":1000,"credit":3,"effect":"idempotent","dedupScope":"all","lateWorth":0,"windowMs":5000,"stream":false},
{"name":"reel-read","aimMs":500,"deadlineMs":2000,"credit":3,"effect":"idempotent","dedupScope":"all","lateWorth":0,"windowMs":5000,"stream":false},
{"name":"clip-write","aimMs":600,"deadlineMs":3000,"credit":6,"effect":"at_most_once","dedupScope":"all","lateWorth":0.3,"windowMs":5000,"stream":false}],
"clients":{"marksRetry":true},"report":{"how":"inline","fields":["x0","x1"]},
"rules":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.17,"coldMs":16000,"drainGraceMs":2000,"fallMs":2000,"tipMultiple":3},
"allowed":{"cpuUsPerRequest":0,"cpuUsPerS":100000,"dialTimeoutMs":250,"idleCloseMs":30000,"maxOpen":20000,"maxRetryAfterMs":2000,"mayCancel":true,"mayTell":false,"mostTries":8,"multiplex":1,"probes":true,"retryAfter":true,"secondCopies":true},
"specifics":{"answersStamped":true,"catchUpWaitMs":0,"consistency":["recent","own_writes","loose","update"],"guards":"reject","listRole":"initial","maxAgeMs":[800,0,0,0],"synchronous":false,"tokens":"router"},
"tickMs":5,"zone":"a","zones":["a"],"kinds":["m2"],"worthBy":"request","weightSource":"rough"}"#;

/// The longest deadline of the settings is 3 s: SIGKILL comes no earlier than 3.7 s after SIGTERM.
const KILL_AFTER: f64 = 3.7;
/// A request that arrives later than this after SIGTERM and is unanswered at SIGKILL is lost.
const ARRIVED_AFTER: f64 = 0.7;
/// Commands that a busy client keeps outstanding on its connection: it writes the next half when half is answered.
const DEPTH: usize = 8;
const ROUTERS: usize = 3;

struct Replica {
    primary: bool,
    record: Record,
    name: String,
}

impl HostLogic for Replica {
    fn statement(&self, arrived: Arrived) -> Vec<u8> {
        let id = field(arrived.text, "id").unwrap_or("?").to_string();
        self.record.add_at(arrived.at, format!("{} runs {id}", self.name));
        sleep(0.015);
        let mut out = Vec::new();
        if field(arrived.text, "c") == Some("clip-write") && !self.primary {
            error(&mut out, "25006", "not the primary");
        } else {
            row(&mut out, format!("value of {id}").as_bytes());
        }
        parameter(&mut out, "mode", self.role());
        parameter(&mut out, "wal_time", &format!("{:.0}", now() * 1000.0));
        out
    }
    fn stats(&self) -> String {
        format!("x0={:.3},x1={}", now(), u8::from(self.primary))
    }
    fn role(&self) -> &'static str {
        if self.primary { "read-write" } else { "read-only" }
    }
}

/// One request as its client sees it.
#[derive(Clone)]
struct Sent {
    id: String,
    router: usize,
    /// When it began to be written.
    at: f64,
    /// Since when no answer to a command before it is awaited on its connection: its time counts from then.
    first_since: Option<f64>,
    wait: f64,
    answered: Option<f64>,
    /// The connection ended under it while the router was running: the client asks again on a new connection.
    crossed: bool,
}

struct Shared {
    sent: Mutex<Vec<Sent>>,
    /// When SIGKILL was sent to each router that still ran then.
    killed: Mutex<Vec<Option<f64>>>,
    ending: AtomicBool,
    wrong: AtomicUsize,
    record: Record,
    routers: Vec<SocketAddr>,
}

impl Shared {
    /// Notes a request that was written whole and began to be written at `at`.
    fn note(&self, id: &str, router: usize, at: f64, wait: f64, is_first: bool) -> usize {
        self.record.add_at(at, format!("n{router} sent {id}"));
        let first_since = is_first.then_some(at);
        let mut sent = self.sent.lock().unwrap();
        sent.push(Sent { id: id.into(), router, at, first_since, wait, answered: None, crossed: false });
        sent.len() - 1
    }

    /// No answer is awaited before this request's any more.
    fn is_first(&self, index: usize) {
        self.sent.lock().unwrap()[index].first_since = Some(now());
    }

    fn answered(&self, index: usize, answer: &Answer) {
        let at = now();
        let mut sent = self.sent.lock().unwrap();
        sent[index].answered = Some(at);
        let text = match answer {
            Answer::Served(value) if *value == format!("value of {}", sent[index].id).into_bytes() => "served",
            Answer::Served(_) => {
                self.wrong.fetch_add(1, SeqCst);
                "served with a foreign value"
            }
            _ => "refused or failed",
        };
        self.record.add_at(at, format!("n{} {} {text}", sent[index].router, sent[index].id));
    }

    /// The connection ended under these requests.
    fn ended(&self, router: usize, indices: impl Iterator<Item = usize>) {
        let killed = self.killed.lock().unwrap()[router].is_some();
        let mut sent = self.sent.lock().unwrap();
        for index in indices {
            sent[index].crossed = !killed;
            self.record.add(format!("n{router} {} connection ended (killed: {killed})", sent[index].id));
        }
    }
}

fn statement(id: &str, class: &str, ms: u32) -> String {
    match class {
        "clip-write" => format!(
            "/* id={id},c={class},d={ms},cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('{id}', '\\x9f03') RETURNING payload"
        ),
        _ => format!("/* id={id},c={class},d={ms},cluster=1 */ SELECT payload FROM entries WHERE ref = '{id}'"),
    }
}

/// Keeps `DEPTH` commands outstanding on one connection for as long as that stays open, then opens another one.
fn busy_client(shared: Arc<Shared>, router: usize) {
    while !shared.ending.load(SeqCst) {
        let Ok(client) = Client::connect(shared.routers[router]) else {
            sleep(0.1);
            continue;
        };
        let Ok(reading) = client.wire.stream.try_clone() else { continue };
        let mut reader = Client { wire: Wire::new(reading) };
        let mut writer = client;
        let mut outstanding: VecDeque<usize> = VecDeque::new();
        'connection: loop {
            if outstanding.len() <= DEPTH / 2 && !shared.ending.load(SeqCst) {
                while outstanding.len() < DEPTH {
                    let id = new_id();
                    let at = now();
                    if writer.send(&statement(&id, "reel-read", 2000)).is_err() {
                        break 'connection;
                    }
                    outstanding.push_back(shared.note(&id, router, at, 2.0, outstanding.is_empty()));
                }
            }
            if outstanding.is_empty() {
                let _ = writer.wire.stream.shutdown(Shutdown::Both);
                return;
            }
            match reader.answer() {
                Ok(answer) => {
                    shared.answered(outstanding.pop_front().unwrap(), &answer);
                    if let Some(next) = outstanding.front() {
                        shared.is_first(*next);
                    }
                }
                Err(_) => break,
            }
        }
        shared.ended(router, outstanding.into_iter());
    }
}

/// Asks one thing at a time with a short pause, as most clients do.
fn plain_client(shared: Arc<Shared>, router: usize, class: &'static str, ms: u32) {
    let mut client = None;
    while !shared.ending.load(SeqCst) {
        let Some(open) = client.as_mut() else {
            client = Client::connect(shared.routers[router]).ok();
            sleep(0.05);
            continue;
        };
        let id = new_id();
        let at = now();
        let written = Client::send(open, &statement(&id, class, ms)).is_ok();
        let index = written.then(|| shared.note(&id, router, at, f64::from(ms) / 1000.0, true));
        match index.map(|index| (index, open.answer())) {
            Some((index, Ok(answer))) => shared.answered(index, &answer),
            Some((index, Err(_))) => {
                shared.ended(router, std::iter::once(index));
                client = None;
            }
            None => client = None,
        }
        sleep(0.03);
    }
}

fn main() {
    watchdog(110.0);
    let platform = Platform::new("1");
    let record = Record::new();
    let mut hosts = Vec::new();
    for (name, primary) in [("s-1", true), ("s-2", false), ("s-3", false), ("s-4", false)] {
        let logic = Replica { primary, record: record.clone(), name: name.to_string() };
        let mode = logic.role();
        hosts.push(Listed { name: name.to_string(), address: start_host(Arc::new(logic)), group: 1, mode });
    }
    let list = list_json(1, &hosts);
    let agent = start_agent(list.clone());
    let start = |n: usize| platform.start(&format!("n{n}"), agent, &list, SETTINGS, 192);
    let routers: Vec<Router> = (0..ROUTERS).map(start).collect();
    let shared = Arc::new(Shared {
        sent: Mutex::default(),
        killed: Mutex::new(vec![None; ROUTERS]),
        ending: AtomicBool::new(false),
        wrong: AtomicUsize::new(0),
        record: record.clone(),
        routers: routers.iter().map(|r| r.address).collect(),
    });
    let mut clients = Vec::new();
    for router in 0..ROUTERS {
        for _ in 0..2 {
            let shared = shared.clone();
            clients.push(spawn(move || busy_client(shared, router)));
        }
        for (class, ms) in [("browse-read", 2000), ("own-read", 1000), ("clip-write", 3000)] {
            let shared = shared.clone();
            clients.push(spawn(move || plain_client(shared, router, class, ms)));
        }
    }
    sleep(2.0);
    let mut told_at = vec![f64::INFINITY; ROUTERS];
    for (n, router) in routers.iter().enumerate() {
        if trouble() {
            told_at[n] = now();
            record.add(format!("n{n} SIGTERM"));
            platform.signal(router, SIGTERM);
        }
        let until = now() + KILL_AFTER;
        while now() < until && !platform.ended(router) {
            sleep(0.01);
        }
        if trouble() {
            if platform.ended(router) {
                record.add(format!("n{n} has ended by itself"));
            } else {
                shared.killed.lock().unwrap()[n] = Some(now());
                record.add(format!("n{n} SIGKILL"));
                platform.signal(router, SIGKILL);
            }
        }
        sleep(0.5);
    }
    shared.ending.store(true, SeqCst);
    sleep(3.6);
    let sent = shared.sent.lock().unwrap().clone();
    let killed = shared.killed.lock().unwrap().clone();
    let (mut lost, mut excused) = (0, 0);
    for request in &sent {
        // Up to half a second after its time an answer counts as given, and limits are extended by 50 ms.
        let last_moment = request.first_since.map_or(f64::INFINITY, |at| at + request.wait + 0.5 + 0.05);
        let in_time = request.answered.is_some_and(|at| at <= last_moment);
        if in_time || request.crossed {
            continue;
        }
        // Held when the router was killed: lost if it arrived more than 0.7 s after SIGTERM, and so is what was
        // overdue by then.
        let kill = killed[request.router].unwrap_or(f64::INFINITY);
        let overdue = last_moment < kill;
        let late = request.at > told_at[request.router] + ARRIVED_AFTER && request.at < kill;
        if overdue || late {
            lost += 1;
            record.add_at(
                request.at,
                format!(
                    "LOST n{} {}: arrived {:.3} s after SIGTERM, unanswered at SIGKILL {:.3} s after its arrival",
                    request.router,
                    request.id,
                    request.at - told_at[request.router],
                    kill - request.at
                ),
            );
        } else {
            excused += 1;
        }
    }
    let wrong = shared.wrong.load(SeqCst);
    let crossed = sent.iter().filter(|s| s.crossed).count();
    let kills = killed.iter().flatten().count();
    let summary = format!(
        "{} sent, {} answered, {crossed} to be asked again, {excused} excused, {kills} routers killed, {wrong} foreign values, {lost} lost",
        sent.len(),
        sent.iter().filter(|s| s.answered.is_some()).count()
    );
    record.add(summary.clone());
    println!("{summary}");
    platform.end();
    record.write(&PathBuf::from(std::env::var("RECORD").unwrap_or("record.txt".into())));
    std::process::exit(i32::from(lost + wrong > 0));
}
