//! Builds the actors of one router, and takes them down in order.
use crate::budget::{Budget, MAX_REFUSED_CONNECTIONS};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::{self, DiscoveryAgent, Watcher};
use crate::errno;
use crate::event_loop::{Carrier, Charge, Parts, Posts};
use crate::exchange;
use crate::keys;
use crate::known_hosts::KnownList;
use crate::launch::Launch;
use crate::local_config::LocalConfig;
use crate::mailbox::single_slot_mailbox;
use crate::mailbox_source::Inlet;
use crate::members::{self, Members, MembersContext};
use crate::pg;
use crate::recorder;
use crate::replicated_state::{self, ReplicatedState};
use crate::session_messages::SessionMessage;
use crate::sessions::Sessions;
use crate::signals::{Wish, Wishes};
use crate::threads;
use oorandom::Rand32;
use sandstile_dispatcher::{Dispatcher, DispatcherInput, HostListUpdate};
use sandstile_policy::policy::Instance;
use sandstile_restart_pacing::{AdmissionRamp, DialPacer, ListBackoff, StallDetector};
use slog::{info, warn, Drain, Logger};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Standard streams, the listener, discovery, the signals' pipe, and what the runtime opens for itself.
const OWN_DESCRIPTORS: usize = 16;
/// What the carrier's thread may need: lines are heap, and the decisions call few deep.
const CARRIER_STACK: usize = 512 * 1024;

/// The agent is on this machine and answers at once with what it has, or is silent for as long as discovery is down.
const FIRST_WORD: Duration = Duration::from_millis(500);

/// The number that a name ends with: routers of one deployment are named alike.
fn numbered(name: &str) -> Option<u64> {
    let digits = name.len() - name.trim_end_matches(|c: char| c.is_ascii_digit()).len();
    name[name.len() - digits..].parse().ok()
}

/// Serves until told to end, and until all that was taken is answered. `again` reads the configuration anew.
pub fn serve(
    launch: Launch,
    charter: LocalConfig,
    again: impl Fn() -> Result<Launch, String>,
    counters: Arc<Counters>,
    log: Logger,
    wishes: &mut Wishes,
) -> Result<(), String> {
    let clock = Clock::anchor();
    let most = launch.sockets.saturating_sub(OWN_DESCRIPTORS + MAX_REFUSED_CONNECTIONS).max(4);
    // Clients hold at most a third of the descriptors for statements, each with a link beside it. Some more may
    // come and go. Half of the memory is for long frames.
    let most_clients = (launch.sockets / 3 + OWN_DESCRIPTORS).min(most / 2).max(2);
    let budget = Budget::new(most, most_clients, (launch.memory / 2).max(4 * pg::MAX_FRAME_BYTES));
    let posts = errno::retry_transient(Posts::open).map_err(|e| format!("readiness: {e}"))?;
    let charges = posts.charges.clone();
    let (lists, listed) = posts.inlet::<HostListUpdate>();
    let agent = DiscoveryAgent::at(launch.discovery);
    let (first, first_told) = single_slot_mailbox::<()>();
    let index = launch.known.index;
    let mut known = KnownList::default();
    let of_the_start = known.changes(launch.known);
    let watcher = Watcher {
        agent: agent.clone(),
        index,
        known,
        dispatcher: lists.clone(),
        counters: counters.clone(),
        log: log.clone(),
        told: BTreeSet::new(),
        returning: charter.restart_pacing.as_ref().map(|_| ListBackoff::new(launch.seed)),
        // Where lists are asked for, what has not been asked for in 6 s counts as told.
        longest_pause: match launch.terms.list_on_request {
            true => Duration::from_secs_f64(launch.terms.subscribe_within.clamp(0.3, 6.0) / 3.0),
            false => discovery::PAUSE,
        },
        chance: Rand32::new(launch.seed),
        first: Some(first),
    };
    // Each life of an instance has a number of its own, higher than that of the former one as far as its clock goes.
    let generation = (clock.now() * 1e6) as u64;
    let policy = Instance::new(&launch.terms, launch.seed, clock.now());
    let mut dispatcher = Dispatcher::new(policy, counters.dispatcher.clone());
    dispatcher.trace_steps = log.is_debug_enabled();
    dispatcher.add(Box::new(Inlet::new(listed, DispatcherInput::HostList)));
    let mut words = None;
    if let Some(plan) = &charter.sessions {
        let (post, word_box) = posts.inlet::<SessionMessage>();
        let answers = posts.answers.clone();
        let kept = plan.state.as_ref().map(|state| {
            let terms = replicated_state::RouterSettings {
                name: &launch.name,
                generation,
                seed: launch.seed,
                horizon: plan.horizon,
            };
            ReplicatedState::begin(state, &terms, post.clone(), &clock, &log)
        });
        let seen = Sessions::begin(
            plan.clone(),
            &launch.workloads,
            word_box,
            answers,
            kept.transpose()?,
            &clock,
            &log,
        )?;
        dispatcher.add(Box::new(seen));
        words = Some(post);
    }
    let policy_returns = launch.terms.max_retry_after;
    dispatcher.limits = charter
        .limits
        .as_ref()
        .map(|terms| (sandstile_limits::Limits::new(terms, launch.seed, clock.now()), policy_returns));
    let restart_pacing = charter.restart_pacing.as_ref();
    dispatcher.ramp = restart_pacing.filter(|b| b.ramp).map(|_| (AdmissionRamp::default(), policy_returns));
    dispatcher.stall =
        restart_pacing.filter(|b| b.stall_s > 0.0).map(|b| StallDetector::new(b.stall_s, clock.now()));
    dispatcher.max_return_delay = policy_returns;
    let dials = restart_pacing.map(|b| {
        let number = numbered(&launch.name).unwrap_or(launch.seed);
        DialPacer::new(b.pace, launch.terms.routers, number, launch.seed, clock.now())
    });
    let mut recording = None;
    if let Some(plan) = &charter.recording {
        let workloads = launch.workloads.iter().map(|w| w.name.clone()).collect();
        let entries = of_the_start.iter().flat_map(|piece| &piece.entries);
        let groups = entries.map(|entry| entry.group.clone()).collect();
        let (tape, thread) = recorder::begin(plan, workloads, groups, clock.now(), &counters, &log)?;
        dispatcher.add(Box::new(tape));
        recording = Some(thread);
    }
    for piece in of_the_start {
        lists.send(piece);
    }
    let (mut exchange_peers, mut told_at) = (None, None);
    if let (Some(plan), Some(words)) = (&charter.sessions, &words) {
        if let Some(exchange) = &plan.exchange {
            let secrets = plan.read_keys()?.derive_secrets(exchange::CONTEXT);
            let keeps = plan.state.is_some();
            exchange_peers = Some(exchange::begin(
                exchange,
                &launch.name,
                generation,
                keeps,
                secrets,
                words.clone(),
                &log,
            )?);
            told_at = Some(exchange.listen);
        }
    }
    let mut members = None;
    if let Some(plan) = &charter.members {
        let (sharing_routers, shared) = posts.inlet::<f64>();
        dispatcher.add(Box::new(Inlet::new(shared, DispatcherInput::RouterCount)));
        let beside = MembersContext {
            name: launch.name.clone(),
            generation,
            seed: launch.seed,
            routers: launch.terms.routers,
            keys: keys::read_keys(&plan.keys)?.derive_secrets(members::CONTEXT),
            exchange: told_at,
            sharing_routers: Some(sharing_routers),
            exchange_peers,
        };
        members = Some(Members::open(plan, beside, clock.now(), &log)?);
    }
    threads::spawn_joinable("discovery", CARRIER_STACK, move || watcher.run())?;
    // What the agent has counts as told from the first moment, and the list of the start may be old: nobody is let in
    // before the list is, but for an agent that is silent. Nor may they wait in the listening socket: their time runs.
    let _ = first_told.recv(Some(FIRST_WORD));
    let listener = errno::retry_transient(|| TcpListener::bind(launch.listen))
        .map_err(|e| format!("listen on {}: {e}", launch.listen))?;
    let parts = Parts {
        clock,
        budget,
        counters,
        log: log.clone(),
        dispatcher,
        workloads: launch.workloads,
        dial_limit: launch.dial_limit,
        idle_close: launch.terms.idle_close,
        dials,
        members,
        last_word: words.clone(),
    };
    let carrier = Carrier::new(posts, parts, listener).map_err(|e| format!("listen: {e}"))?;
    info!(log, "serving"; "name" => launch.name, "listen" => %launch.listen, "clients" => most_clients,
        "descriptors" => most);
    let enough = wishes.enough();
    let carry = move || {
        let carried = carrier.run();
        drop(enough);
        carried
    };
    let carried = threads::spawn_joinable("carrier", CARRIER_STACK, carry)?;
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
                if let Some(words) = &words {
                    words.send(SessionMessage::Keys(ring));
                }
            }
            Err(what) => warn!(log, "{what}; the former keys stay"),
        }
    };
    let read_member_keys = || {
        let Some(plan) = &charter.members else { return };
        match keys::read_keys(&plan.keys) {
            Ok(ring) => drop(charges.send(Charge::Keys(ring.derive_secrets(members::CONTEXT)))),
            Err(what) => warn!(log, "{what}; the former keys of members stay"),
        }
    };
    let reload = || {
        follow_discovery();
        read_keys();
        read_member_keys();
    };
    // A reload that comes beside the end still counts: for a while, statements are taken.
    while let Some(wish) = wishes.await_one() {
        match wish {
            Wish::Reload => reload(),
            Wish::End => {
                info!(log, "told to end: serving for a little longer, then answering what was taken");
                charges.send(Charge::End);
            }
        }
    }
    let ended = carried.join();
    // The desk has gone, and its tape with it: what was recorded is whole.
    recording.map(JoinHandle::join);
    match ended {
        Ok(carried) => carried.map_err(|e| format!("readiness: {e}")),
        Err(_) => Err("the carrier's thread has ended".to_string()),
    }
}
