//! Case 3: many sessions with long keys write; the platform ends a router that takes more memory than its limit.
#[path = "../stand/common.rs"]
mod common;
use common::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;

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

const MEMORY_MB: u32 = 192;
/// Values are no larger than 64 KiB: that is the longest key that this case writes.
const LONG_KEY: usize = 64 * 1024;
const USUAL_KEY: usize = 16;
const WRITES: usize = 4000;
const WRITERS: usize = 8;

struct Replica {
    name: String,
    primary: bool,
}

impl HostLogic for Replica {
    fn statement(&self, arrived: Arrived) -> Vec<u8> {
        sleep(0.01);
        let mut out = Vec::new();
        if field(arrived.text, "c") == Some("clip-write") && !self.primary {
            error(&mut out, "25006", "not the primary");
        } else {
            row(&mut out, format!("{} from {}", field(arrived.text, "id").unwrap_or("?"), self.name).as_bytes());
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

fn main() {
    watchdog(110.0);
    let platform = Platform::new("3");
    let record = Record::new();
    let mut hosts = Vec::new();
    for (name, primary) in [("s-1", true), ("s-2", false), ("s-3", false), ("s-4", false)] {
        let logic = Replica { name: name.to_string(), primary };
        let mode = logic.role();
        hosts.push(Listed { name: name.to_string(), address: start_host(Arc::new(logic)), group: 1, mode });
    }
    let list = list_json(1, &hosts);
    let agent = start_agent(list.clone());
    let router = platform.start("n0", agent, &list, SETTINGS, MEMORY_MB);
    let length = if trouble() { LONG_KEY } else { USUAL_KEY };
    let (next, served, other, broken) =
        (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let stopped = Arc::new(AtomicBool::new(false));
    let mut writers = Vec::new();
    for _ in 0..WRITERS {
        let (next, served, other, broken) = (next.clone(), served.clone(), other.clone(), broken.clone());
        let (stopped, record, address) = (stopped.clone(), record.clone(), router.address);
        writers.push(spawn(move || {
            let mut client = None;
            while next.fetch_add(1, SeqCst) < WRITES && !stopped.load(SeqCst) {
                let id = new_id();
                let key = id.repeat(length / id.len());
                let text = format!(
                    "/* id={id},c=clip-write,d=3000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('{key}', '\\x9f03') RETURNING payload"
                );
                if client.is_none() {
                    client = Client::connect(address).ok();
                }
                let answer = client.as_mut().map(|c| c.send(&text).and_then(|()| c.answer()));
                let outcome = match answer {
                    Some(Ok(Answer::Served(value))) if value.starts_with(id.as_bytes()) => {
                        served.fetch_add(1, SeqCst);
                        "served".to_string()
                    }
                    Some(Ok(answer)) => {
                        other.fetch_add(1, SeqCst);
                        format!("{answer:?}")
                    }
                    _ => {
                        broken.fetch_add(1, SeqCst);
                        client = None;
                        sleep(0.05);
                        "no answer".to_string()
                    }
                };
                record.add(format!("write {id}, a key of {} bytes: {outcome}", key.len()));
            }
        }));
    }
    // The platform: over its limit of memory a router is killed.
    let (mut peak, mut crash, mut noted) = (0.0f64, None, 0.0);
    while writers.iter().any(|w| !w.is_finished()) && crash.is_none() {
        sleep(0.02);
        if platform.ended(&router) {
            crash = Some("it ended by itself".to_string());
        } else if let Some(memory) = platform.memory_mb(&router) {
            peak = peak.max(memory);
            if memory > noted + 8.0 {
                noted = memory;
                record.add(format!("platform: the router takes {memory:.1} MB"));
            }
            if memory > f64::from(MEMORY_MB) {
                platform.signal(&router, SIGKILL);
                crash = Some(format!("killed by the platform at {memory:.1} MB"));
                record.add(format!("platform: router killed at {memory:.1} MB"));
            }
        }
    }
    stopped.store(true, SeqCst);
    for writer in writers {
        let _ = writer.join();
    }
    let summary = format!(
        "keys of {length} bytes: {} writes served, {} refused or failed, {} without an answer; peak {peak:.1} MB of {MEMORY_MB} MB; crash: {}",
        served.load(SeqCst),
        other.load(SeqCst),
        broken.load(SeqCst),
        crash.clone().unwrap_or("none".into())
    );
    record.add(summary.clone());
    println!("{summary}");
    platform.end();
    record.write(&PathBuf::from(std::env::var("RECORD").unwrap_or("record.txt".into())));
    std::process::exit(if crash.is_some() { 1 } else if served.load(SeqCst) < WRITES / 2 { 2 } else { 0 });
}
