//! A statement that waits for a held-back dial stays in the queue of its host while that host drains, and is sent there
//! after the grace.
#[path = "../stand-2/stand.rs"]
mod stand;
use stand::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

/// The grace of the settings, and what the page on sockets adds to every time limit.
const GRACE_MS: f64 = 500.0;
const SLACK_MS: f64 = 50.0;
/// The page names a third of the connections, which come up up to 1.5 s late.
const LATE_SHARE: f64 = 0.33;
const LATE_MS: f64 = 1500.0;
const EPISODES: usize = 14;
const LOCAL: &str = "return {\n  pace = \"answers\"\n  stall_ms = 1000\n}\n";

const SETTINGS: &str = r#"{"peersTotal":1,"tickMs":5,"discovery":"pushed","kinds":["std"],"zones":["a"],"zone":"a","tenants":[],
"classes":[{"name":"browse-read","aimMs":750,"deadlineMs":2000,"effect":"idempotent","credit":1,"lateWorth":0.2,"stream":false},
{"name":"clip-write","aimMs":600,"deadlineMs":3000,"effect":"at_most_once","credit":6,"lateWorth":0.3,"stream":false}],
"allowed":{"mostTries":8,"mayCancel":true,"dialTimeoutMs":250,"idleCloseMs":30000,"probes":true,"retryAfter":true,"maxRetryAfterMs":2000,"secondCopies":true,"multiplex":1},
"report":{"how":"inline","fields":["x0","x1"]},
"rules":{"drainGraceMs":500,"tipMultiple":3,"fallMs":2000,"coldFrom":0.17,"coldMs":16000,"answerSlackMs":20},
"specifics":{"consistency":["recent","update"],"maxAgeMs":[800,0],"guards":"reject","answersStamped":true,"tokens":"router","listRole":"initial","reportX0":"position","reportX1":"primary","synchronous":false}}"#;

fn main() {
    let (folder, temporary) = folders();
    let record = Record::create(&folder.join("record.txt"));
    let (mut late_sends, mut served) = (Vec::new(), 0);
    // Each episode is a deployment of its own: two groups of a primary and four replicas, and a router that has just started.
    for episode in 0..EPISODES {
        record.line(&format!("episode {episode}"));
        let discovery = Discovery::start();
        let arrivals: Arc<Mutex<Vec<(f64, String, String, u64)>>> = Arc::default();
        let mut hosts = Vec::new();
        for group in 1..=2 {
            let log = Arc::new(GroupLog::default());
            for number in 0..5 {
                let is_primary = number == 0;
                let name = format!("s-{episode}-{group}-{number}");
                let (mut host, listener) = Host::new(&name, group, is_primary, &log, &["clip-write"]);
                host.work_ms = Box::new(|| -80.0 * (1.0 - random()).ln());
                host.closes = Box::new(|| random() < 0.3);
                if !is_primary {
                    host.late_ms = Box::new(|| if trouble() && random() < LATE_SHARE { LATE_MS * random() } else { 0.0 });
                }
                let (record, arrivals) = (record.clone(), arrivals.clone());
                host.on_statement = Box::new(move |s| {
                    let id = field(&s.sql, "id").unwrap_or("-").to_string();
                    record.line(&format!("ran {id} on {} connection {}", s.host, s.connection));
                    arrivals.lock().unwrap().push((s.at_ms, s.host.clone(), id, s.connection));
                });
                let host = host.start(listener);
                discovery.list(&host, "active", Some(if is_primary { "read-write" } else { "read-only" }));
                hosts.push(host);
            }
        }
        let mut router = Router::new(&temporary, &format!("n{episode}"), &discovery, SETTINGS, Some(LOCAL));
        router.start();
        let (stop, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let clients: Vec<_> = (0..120)
            .map(|client| {
                let (record, stop, answered, address) = (record.clone(), stop.clone(), answered.clone(), router.address);
                thread::spawn(move || {
                    let mut connection = None;
                    sleep_ms(5.0 * random());
                    while !stop.load(SeqCst) {
                        let (id, group) = (new_id(), 1 + client % 2);
                        let sql = match client < 4 {
                            true => format!("/* id={id},c=clip-write,d=3000,cluster={group} */ INSERT INTO entries (ref, payload) VALUES ('k{client}', '{id}') RETURNING payload"),
                            false => format!("/* id={id},c=browse-read,d=2000,cluster={group} */ SELECT payload FROM entries WHERE ref = 'k'"),
                        };
                        if connection.is_none() {
                            connection = Connection::open(address).ok();
                        }
                        let Some(open) = &mut connection else { continue };
                        let answer = open.ask(&sql, 4000.0);
                        record.line(&format!("answer {id}: {answer:?}"));
                        match answer {
                            Ok(answer) => drop(answered.fetch_add(u64::from(matches!(answer, Answer::Row(_))), SeqCst)),
                            Err(_) => connection = None,
                        }
                        sleep_ms(-300.0 * (1.0 - random()).ln());
                    }
                })
            })
            .collect();
        sleep_ms(2500.0);
        // Two replicas of each group drain.
        let mut drains = HashMap::new();
        for host in hosts.iter().filter(|h| h.name.ends_with("-1") || h.name.ends_with("-2")) {
            host.draining.store(true, SeqCst);
            drains.insert(host.name.clone(), discovery.list(host, "leaving", Some("read-only")));
        }
        sleep_ms(GRACE_MS + 2000.0);
        stop.store(true, SeqCst);
        clients.into_iter().for_each(|client| drop(client.join()));
        router.kill();
        for (at, host, id, connection) in arrivals.lock().unwrap().iter() {
            let Some(told) = drains.get(host).and_then(|index| discovery.told_ms(*index)) else { continue };
            if *at > told + GRACE_MS + SLACK_MS {
                record.line(&format!("TOO LATE: {id} on {host} connection {connection}, {:.0} ms after the drain was told", at - told));
                late_sends.push(format!("{id} on {host}, {:.0} ms after the drain was told", at - told));
            }
        }
        served += answered.load(SeqCst);
        hosts.iter().for_each(|host| host.stop());
        record.flush();
    }
    let text = format!(
        "{} statements were sent to draining hosts more than {GRACE_MS} + {SLACK_MS} ms after the drain was told; {served} served; the first: {:?}",
        late_sends.len(),
        late_sends.first()
    );
    if served < 1000 {
        unable(&format!("hardly anything was served: {text}"));
    }
    verdict(&record, !late_sends.is_empty(), &text)
}
