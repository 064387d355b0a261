//! Builds the actors of one router, and takes them down in order.
use crate::budget::Budget;
use crate::charter::Charter;
use crate::client::{Crew, Front};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::desk::{Desk, Mail};
use crate::discovery::{Agent, Watcher};
use crate::exchange;
use crate::launch::Launch;
use crate::listen::Door;
use crate::mailbox::{mailbox, slot};
use crate::peer::{Common, Peers};
use crate::pg;
use crate::sessions::{Sessions, Word};
use crate::signals::Wish;
use crossbeam_channel::Receiver;
use sandstile_policy::policy::Instance;
use slog::{info, warn, Logger};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Standard streams, the listener, discovery, the signals' pipe, and what the runtime opens for itself.
const OWN_DESCRIPTORS: usize = 16;
/// After SIGTERM new connections come for 0.4 s at most; clients learn of the end only by their connections.
const WINDOW: Duration = Duration::from_millis(500);

/// Serves until told to end, and until all that was taken is answered. `again` reads the configuration anew.
pub fn serve(
    launch: Launch,
    charter: Charter,
    again: impl Fn() -> Result<Launch, String>,
    counters: Arc<Counters>,
    log: Logger,
    wishes: &Receiver<Wish>,
) -> Result<(), String> {
    let clock = Clock::anchor();
    let most = launch.sockets.saturating_sub(OWN_DESCRIPTORS).max(4);
    // Clients hold at most a third of the descriptors for statements, each with a link beside it. Some more may
    // come and go; a connection that rests has a thread, which costs whenever the process is stopped and goes on.
    // Half of the memory is for long frames.
    let most_clients = (launch.sockets / 3 + OWN_DESCRIPTORS).min(most / 2).max(2);
    let budget = Budget::new(most, most_clients, (launch.memory / 2).max(4 * pg::MOST_FRAME));
    let listener =
        TcpListener::bind(launch.listen).map_err(|e| format!("listen on {}: {e}", launch.listen))?;
    let (desk, mailbox) = mailbox();
    let common = Common {
        clock,
        budget: budget.clone(),
        counters: counters.clone(),
        log: log.clone(),
        causes: Arc::default(),
        desk: desk.clone(),
        dial_limit: launch.dial_limit,
        idle_close: launch.terms.idle_close,
    };
    let agent = Agent::at(launch.discovery);
    let watcher = Watcher {
        agent: agent.clone(),
        index: launch.known.index,
        desk: desk.clone(),
        counters: counters.clone(),
        log: log.clone(),
        told: BTreeSet::new(),
    };
    let policy = Instance::new(&launch.terms, launch.seed, clock.now());
    let seen = match &charter.sessions {
        Some(sessions) => Some(Sessions::begin(sessions.clone(), &launch.workloads, &clock, &log)?),
        None => None,
    };
    let actor = Desk::new(policy, clock, counters.clone(), log.clone(), Peers::new(common), seen);
    desk.send(Mail::Listed(launch.known));
    let spawn = |name: &str, body: Box<dyn FnOnce() + Send>| {
        thread::Builder::new().name(name.to_string()).spawn(body).map_err(|e| format!("thread {name}: {e}"))
    };
    spawn("desk", Box::new(move || actor.run(mailbox)))?;
    spawn("discovery", Box::new(move || watcher.run()))?;
    let operators = desk.clone();
    if let Some((plan, exchange)) = charter.sessions.as_ref().and_then(|s| Some((s, s.exchange.as_ref()?))) {
        let secrets = plan.read_keys()?.derived(exchange::CONTEXT);
        exchange::begin(exchange, &launch.name, secrets, desk.clone(), &log)?;
    }
    let front = Arc::new(Front {
        desk,
        workloads: launch.workloads,
        clock,
        budget: budget.clone(),
        counters,
        log: log.clone(),
        next: AtomicU64::new(0),
        crew: Crew::default(),
    });
    let door = Door::open(listener, front).map_err(|e| format!("listen: {e}"))?;
    info!(log, "serving"; "name" => launch.name, "listen" => %launch.listen, "clients" => most_clients,
        "descriptors" => most);
    let follow_discovery = || match again() {
        Ok(new) => {
            info!(log, "configuration read again"; "discovery" => %new.discovery);
            agent.moved(new.discovery);
        }
        Err(what) => warn!(log, "{what}; the former configuration stays"),
    };
    let read_keys = || {
        let Some(sessions) = charter.sessions.as_ref().filter(|s| s.keys.is_some()) else { return };
        match sessions.read_keys() {
            Ok(ring) => {
                info!(log, "keys read again"; "numbers" => ?ring.numbers());
                operators.send(Mail::Sessions(Word::Keys(ring)));
            }
            Err(what) => warn!(log, "{what}; the former keys stay"),
        }
    };
    let reload = || {
        follow_discovery();
        read_keys();
    };
    while wishes.recv() == Ok(Wish::Reload) {
        reload();
    }
    info!(log, "told to end: serving for a little longer, then answering what was taken");
    let end = Instant::now() + WINDOW;
    // A reload that comes beside the end still counts: until the window closes, statements are taken.
    while let Ok(wish) = wishes.recv_deadline(end) {
        if wish == Wish::Reload {
            reload();
        }
    }
    door.close();
    budget.dismiss_clients();
    budget.wait_for_no_clients();
    // All is answered: what is remembered of sessions is whole, and is put down as that.
    let (done, last) = slot::<()>();
    if charter.sessions.is_some() && operators.send(Mail::Sessions(Word::End(done))) {
        let _ = last.recv(Some(WINDOW));
    }
    info!(log, "all answered");
    Ok(())
}
