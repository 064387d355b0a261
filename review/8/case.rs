//! A bounded read whose connection comes up late is sent to a replica that is too old by then.
#[path = "../stand-2/stand.rs"]
mod stand;
use stand::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;

/// The class's bound, and what the page on sockets adds to every time limit.
const BOUND_MS: f64 = 500.0;
const SLACK_MS: f64 = 50.0;
/// Each third connection to a replica comes up this late; the page names up to 1.5 s.
const LATE_MS: f64 = 220.0;
/// A replica applies the log 19 times more slowly for this time (pages: 4.3 to 19 times, 8.3 to 25 s) and then catches up
/// at twice the speed of the log.
const SLOW_MS: f64 = 8300.0;
const SLOW_SHARE: f64 = 1.0 / 19.0;
const RUN_MS: f64 = 90_000.0;

const SETTINGS: &str = r#"{"peersTotal":1,"tickMs":5,"discovery":"pushed","kinds":["std"],"zones":["a"],"zone":"a","tenants":[],
"classes":[{"name":"tile-read","aimMs":200,"deadlineMs":500,"effect":"idempotent","credit":1,"lateWorth":0.2,"stream":false},
{"name":"order-write","aimMs":1000,"deadlineMs":3000,"effect":"at_most_once","credit":4,"lateWorth":0.3,"stream":false}],
"allowed":{"mostTries":8,"mayCancel":true,"dialTimeoutMs":250,"idleCloseMs":15000,"probes":true,"retryAfter":true,"maxRetryAfterMs":500,"secondCopies":false,"multiplex":1},
"report":{"how":"on_probe","fields":["x0","x1"]},
"rules":{"drainGraceMs":500,"tipMultiple":3,"fallMs":1500,"coldFrom":0.19,"coldMs":8700,"answerSlackMs":20},
"specifics":{"consistency":["recent","update"],"maxAgeMs":[500,0],"guards":"off","answersStamped":true,"tokens":"router","listRole":"initial","reportX0":"position","reportX1":"primary","synchronous":false}}"#;

/// The lag of a replica: it falls behind for a while, catches up, and keeps up for half a second.
fn lag_ms(elapsed_ms: f64) -> f64 {
    let top = SLOW_MS * (1.0 - SLOW_SHARE);
    let at = elapsed_ms.max(0.0) % (SLOW_MS + top + 500.0);
    10.0 + if at < SLOW_MS { at * (1.0 - SLOW_SHARE) } else { (top - (at - SLOW_MS)).max(0.0) }
}

fn main() {
    let (folder, temporary) = folders();
    let record = Record::create(&folder.join("record.txt"));
    let discovery = Discovery::start();
    let log = Arc::new(GroupLog::default());
    let begin = now_ms();
    // Statements that reached a replica too old for them, by their id: the age of its data.
    let too_old: Arc<Mutex<std::collections::HashMap<String, f64>>> = Arc::default();
    let (arrived, late_sends) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut hosts = Vec::new();
    for number in 0..14 {
        let is_primary = number % 7 == 0;
        let (mut host, listener) = Host::new(&format!("s-{number}"), 1 + number / 7, is_primary, &log, &["order-write"]);
        host.work_ms = Box::new(|| 10.0 + 30.0 * random());
        if !is_primary {
            let shift = 3000.0 * f64::from(number);
            host.lag_ms = Box::new(move || lag_ms(now_ms() - begin - shift));
            let dials = AtomicU64::new(0);
            host.late_ms = Box::new(move || match dials.fetch_add(1, SeqCst) % 3 {
                0 if trouble() => LATE_MS,
                _ => 0.0,
            });
            host.closes = Box::new(|| random() < 0.9);
        }
        let (record, too_old, arrived, late_sends) = (record.clone(), too_old.clone(), arrived.clone(), late_sends.clone());
        host.on_statement = Box::new(move |statement| {
            let (Some("tile-read"), Some(id)) = (field(&statement.sql, "c"), field(&statement.sql, "id")) else { return };
            arrived.fetch_add(1, SeqCst);
            late_sends.fetch_add(u64::from(statement.late_ms > 0.0), SeqCst);
            let age = statement.at_ms - statement.position_ms;
            let old = age > BOUND_MS + SLACK_MS;
            record.line(&format!(
                "ran {id} on {} connection {} (late by {:.0} ms): data {age:.0} ms old{}",
                statement.host,
                statement.connection,
                statement.late_ms,
                if old { ", too old" } else { "" }
            ));
            if old {
                too_old.lock().unwrap().insert(id.to_string(), age);
            }
        });
        let host = host.start(listener);
        discovery.list(&host, "active", Some(if is_primary { "read-write" } else { "read-only" }));
        hosts.push(host);
    }
    let mut router = Router::new(&temporary, "n1", &discovery, SETTINGS, None);
    router.start();
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..24)
        .map(|client| {
            let (record, stop, served, broken, too_old) =
                (record.clone(), stop.clone(), served.clone(), broken.clone(), too_old.clone());
            let address = router.address;
            thread::spawn(move || {
                let mut connection = None;
                while !stop.load(SeqCst) {
                    sleep_ms(-400.0 * (1.0 - random()).ln());
                    let id = new_id();
                    let (writes, group) = (client < 2, 1 + client % 2);
                    let sql = match writes {
                        true => format!("/* id={id},c=order-write,d=3000,cluster={group} */ INSERT INTO entries (ref, payload) VALUES ('k', 'v{id}') RETURNING payload"),
                        false => format!("/* id={id},c=tile-read,d=500,cluster={group} */ SELECT payload FROM entries WHERE ref = 'k'"),
                    };
                    if connection.is_none() {
                        connection = Connection::open(address).ok();
                    }
                    let Some(open) = &mut connection else { continue };
                    let answer = open.ask(&sql, 3000.0);
                    record.line(&format!("answer {id}: {answer:?}"));
                    match answer {
                        Ok(Answer::Row(_)) => {
                            served.fetch_add(1, SeqCst);
                            if let Some(age) = too_old.lock().unwrap().get(&id) {
                                broken.lock().unwrap().push(format!("{id} ({age:.0} ms)"));
                            }
                        }
                        Ok(_) => {}
                        Err(_) => connection = None,
                    }
                }
            })
        })
        .collect();
    sleep_ms(RUN_MS);
    stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    router.kill();
    let broken = broken.lock().unwrap();
    let text = format!(
        "{} of {} served reads came from data older than {BOUND_MS} + {SLACK_MS} ms at their send; {} of {} sends on late connections; the first: {:?}",
        broken.len(),
        served.load(SeqCst),
        late_sends.load(SeqCst),
        arrived.load(SeqCst),
        broken.first()
    );
    if served.load(SeqCst) < 200 {
        unable(&format!("hardly anything was served: {text}"));
    }
    verdict(&record, !broken.is_empty(), &text)
}
