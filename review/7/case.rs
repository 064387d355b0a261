//! A router is killed; a session whose write it had confirmed goes on at another router, which serves the session's own
//! read from before that write.
#[path = "../stand-2/stand.rs"]
mod stand;
use stand::*;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

/// Replicas apply the log this much late (pages: they apply it 4.3 to 19 times more slowly for 8.3 to 25 s).
const LAG_MS: f64 = 5000.0;
/// The front notices a router's death this much later (pages: after some seconds).
const NOTICE_MS: f64 = 2000.0;
const CLIENTS: usize = 60;
const ROUNDS: usize = 6;

const SETTINGS: &str = r#"{"peersTotal":2,"tickMs":5,"discovery":"pushed","kinds":["std"],"zones":["a"],"zone":"a","tenants":[],
"classes":[{"name":"own-read","aimMs":500,"deadlineMs":2000,"effect":"idempotent","credit":3,"lateWorth":0,"stream":false},
{"name":"order-write","aimMs":1000,"deadlineMs":3000,"effect":"at_most_once","credit":4,"lateWorth":0.3,"stream":false}],
"allowed":{"mostTries":8,"mayCancel":true,"dialTimeoutMs":250,"idleCloseMs":15000,"probes":true,"retryAfter":true,"maxRetryAfterMs":500,"secondCopies":false,"multiplex":1},
"report":{"how":"inline","fields":["x0","x1"]},
"rules":{"drainGraceMs":2000,"tipMultiple":3,"fallMs":1500,"coldFrom":0.19,"coldMs":8700,"answerSlackMs":20},
"specifics":{"consistency":["own_writes","update"],"maxAgeMs":[0,0],"guards":"off","answersStamped":true,"tokens":"router","listRole":"initial","reportX0":"position","reportX1":"primary","synchronous":false}}"#;

fn main() {
    let (folder, temporary) = folders();
    let record = Record::create(&folder.join("record.txt"));
    let discovery = Discovery::start();
    let log = Arc::new(GroupLog::default());
    let mut hosts = Vec::new();
    for number in 0..4 {
        let is_primary = number == 0;
        let (mut host, listener) = Host::new(&format!("s-{number}"), 1, is_primary, &log, &["order-write"]);
        host.timeline = Some(1);
        host.work_ms = Box::new(|| 10.0 + 10.0 * random());
        if !is_primary {
            host.lag_ms = Box::new(|| LAG_MS);
        }
        let record = record.clone();
        host.on_statement = Box::new(move |s| {
            record.line(&format!(
                "ran {} {} on {}, data up to {:.0}",
                field(&s.sql, "id").unwrap_or("-"),
                key_of(&s.sql),
                s.host,
                s.position_ms
            ));
        });
        let host = host.start(listener);
        discovery.list(&host, "active", Some(if is_primary { "read-write" } else { "read-only" }));
        hosts.push(host);
    }
    // Two routers that keep state together, as docs/replication.md has it.
    let keys = temporary.join("keys");
    std::fs::write(&keys, format!("1 {}\n", "5a17c3d2".repeat(8))).unwrap();
    std::fs::set_permissions(&keys, std::os::unix::fs::PermissionsExt::from_mode(0o600)).unwrap();
    let exchange = [free_address(), free_address()];
    let mut routers = Vec::new();
    for n in 0..2 {
        let local = format!(
            "sessions {{\n  keys = {keys:?}\n  sessions_stay = true\n  exchange {{\n    listen = \"{}\"\n    peers = [\"{}\"]\n  }}\n  state {{\n    dir = {:?}\n    witness = {:?}\n  }}\n}}\n",
            exchange[n],
            exchange[1 - n],
            temporary.join(format!("state-{n}")),
            temporary.join(format!("witness-{n}"))
        );
        std::fs::create_dir(temporary.join(format!("state-{n}"))).unwrap();
        routers.push(Router::new(&temporary, &format!("n{n}"), &discovery, SETTINGS, Some(&local)));
    }
    routers.iter_mut().for_each(Router::start);
    let addresses = [routers[0].address, routers[1].address];
    // The front keeps a session with one router for as long as that lives: it moves when its router has died.
    let lives: Arc<[AtomicBool; 2]> = Arc::new([AtomicBool::new(true), AtomicBool::new(true)]);
    let (stop, reads) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let missed: Arc<Mutex<Vec<String>>> = Arc::default();
    let moved = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, lives, stop, reads, missed, moved) =
                (record.clone(), lives.clone(), stop.clone(), reads.clone(), missed.clone(), moved.clone());
            thread::spawn(move || {
                let mut connections = [None, None];
                let mut number = 0;
                // One statement of a session at router `at`: the answer, or nothing if the connection broke.
                let mut ask = |sql: &str, at: &mut usize| loop {
                    if stop.load(SeqCst) {
                        return None;
                    }
                    if connections[*at].is_none() {
                        if !lives[*at].load(SeqCst) {
                            *at = 1 - *at;
                            moved.fetch_add(1, SeqCst);
                        }
                        if connections[*at].is_none() {
                            connections[*at] = Connection::open(addresses[*at]).ok();
                        }
                    }
                    let Some(open) = &mut connections[*at] else {
                        sleep_ms(20.0);
                        continue;
                    };
                    match open.ask(sql, 4000.0) {
                        Ok(answer) => return Some((answer, *at)),
                        Err(_) => {
                            connections[*at] = None;
                            return None;
                        }
                    }
                };
                while !stop.load(SeqCst) {
                    sleep_ms(-200.0 * (1.0 - random()).ln());
                    number += 1;
                    // Each round is a session of its own: a viewer saves a bookmark and looks at it.
                    let session = format!("{client}-{number}");
                    let (mut confirmed, mut by) = (0u64, String::new());
                    let mut at = usize::from(random() < 0.5);
                    let id = new_id();
                    let sql = format!("/* id={id},c=order-write,d=3000,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('viewer-{session}', '1') RETURNING payload");
                    let answer = ask(&sql, &mut at);
                    record.line(&format!("write {id} viewer-{session}: {answer:?}"));
                    if let Some((Answer::Row(_), router)) = &answer {
                        (confirmed, by) = (1, format!("{:.0} by n{router}", now_ms()));
                    }
                    sleep_ms(-250.0 * (1.0 - random()).ln());
                    // A read that fails with its connection is asked again, with a new id.
                    for _ in 0..3 {
                        let id = new_id();
                        let sql = format!("/* id={id},c=own-read,d=2000,cluster=1 */ SELECT payload FROM entries WHERE ref = 'viewer-{session}'");
                        let answer = ask(&sql, &mut at);
                        record.line(&format!("read {id} viewer-{session}, confirmed {confirmed}: {answer:?}"));
                        let Some((answer, router)) = answer else { continue };
                        if let Answer::Row(value) = answer {
                            reads.fetch_add(1, SeqCst);
                            let seen: u64 = value.parse().unwrap_or(0);
                            if seen < confirmed {
                                record.line(&format!("MISSED by {id} at n{router}: saw {seen}, confirmed {confirmed} at {by}"));
                                missed.lock().unwrap().push(format!("{id} at n{router}: saw {seen}, confirmed {confirmed} at {by}"));
                            }
                        }
                        break;
                    }
                }
            })
        })
        .collect();
    for round in 0..ROUNDS {
        sleep_ms(8000.0);
        if !trouble() {
            continue;
        }
        let n = round % 2;
        record.line(&format!("router n{n} is killed"));
        routers[n].kill();
        sleep_ms(NOTICE_MS);
        lives[n].store(false, SeqCst);
        sleep_ms(1000.0);
        routers[n].start();
        record.line(&format!("router n{n} is back"));
        lives[n].store(true, SeqCst);
    }
    sleep_ms(2000.0);
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    routers.iter_mut().for_each(Router::kill);
    let missed = missed.lock().unwrap();
    let text = format!(
        "{} of {} own reads missed a confirmed write of their session; {} moves to the other router; the first: {:?}",
        missed.len(),
        reads.load(SeqCst),
        moved.load(SeqCst),
        missed.first()
    );
    if reads.load(SeqCst) < 200 {
        unable(&format!("hardly anything was served: {text}"));
    }
    verdict(&record, !missed.is_empty(), &text)
}
