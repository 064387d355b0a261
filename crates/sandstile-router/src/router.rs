//! Creates the actors of one router and shuts them down in order.
use crate::budget::{Budget, Shares};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::{self, DiscoveryAgent, Watcher};
use crate::errno;
use crate::event_loop::{ControlMessage, EventLoop, Mailboxes, RouterParts};
use crate::exchange;
use crate::keys;
use crate::known_hosts::KnownHosts;
use crate::launch::LaunchConfig;
use crate::local_config::LocalConfig;
use crate::mailbox::single_slot_mailbox;
use crate::mailbox_source::MailboxSource;
use crate::members::{self, Members, MembersContext};
use crate::pg;
use crate::recorder;
use crate::replicated_state::{self, ReplicatedState};
use crate::session_messages::SessionMessage;
use crate::sessions::Sessions;
use crate::signals::{SignalRequest, SignalRequests};
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

/// Standard streams, the listener, discovery, the signal pipe, and what the runtime opens for itself.
const OWN_DESCRIPTORS: usize = 16;
/// Stack bytes of the event loop's thread: connections are on the heap, and the policy's call depth is small.
const EVENT_LOOP_STACK_BYTES: usize = 512 * 1024;

/// How long the start waits for discovery's first list. The agent is on this machine: it answers at once with what
/// it has, or is silent for as long as discovery is down.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(500);

/// The number at the end of a router's name: the routers of a deployment are named alike.
fn trailing_number(name: &str) -> Option<u64> {
    let digits = name.len() - name.trim_end_matches(|c: char| c.is_ascii_digit()).len();
    name[name.len() - digits..].parse().ok()
}

/// Serves until an end is requested and all accepted statements are answered. `reload_config` rereads the launch
/// configuration.
pub fn serve(
    launch: LaunchConfig,
    local_config: LocalConfig,
    reload_config: impl Fn() -> Result<LaunchConfig, String>,
    counters: Arc<Counters>,
    log: Logger,
    signal_requests: &mut SignalRequests,
) -> Result<(), String> {
    let clock = Clock::anchor();
    let shares = Shares::new(launch.sockets, OWN_DESCRIPTORS, launch.memory, pg::MAX_FRAME_BYTES);
    let budget = Budget::new(shares.connections, shares.clients, shares.long_bytes);
    let mailboxes = errno::retry_transient(Mailboxes::open).map_err(|e| format!("readiness: {e}"))?;
    let loop_sender = mailboxes.control_messages.clone();
    let (list_sender, list_mailbox) = mailboxes.source_mailbox::<HostListUpdate>();
    let agent = DiscoveryAgent::at(launch.discovery);
    let (first_list_sender, first_list) = single_slot_mailbox::<()>();
    let index = launch.known.index;
    let mut known_hosts = KnownHosts::default();
    let initial_updates = known_hosts.changes(launch.known);
    let watcher = Watcher {
        agent: agent.clone(),
        index,
        known_hosts,
        dispatcher_sender: list_sender.clone(),
        counters: counters.clone(),
        log: log.clone(),
        reported: BTreeSet::new(),
        backoff: local_config.restart_pacing.as_ref().map(|_| ListBackoff::new(launch.seed)),
        // In deployments where lists are delivered on request, a change counts as received after 6 s even if it has
        // not been requested: the longest pause stays well below that.
        max_pause: match launch.terms.list_on_request {
            true => Duration::from_secs_f64(launch.terms.subscribe_within.clamp(0.3, 6.0) / 3.0),
            false => discovery::RETRY_PAUSE,
        },
        rng: Rand32::new(launch.seed),
        first_list: Some(first_list_sender),
    };
    // Each process start of an instance has its own generation, higher than the previous one as far as its clock is
    // right.
    let generation = (clock.now() * 1e6) as u64;
    let policy = Instance::new(&launch.terms, launch.seed, clock.now());
    let mut dispatcher = Dispatcher::new(policy, launch.seed, counters.dispatcher.clone());
    dispatcher.trace_steps = log.is_debug_enabled();
    dispatcher.add(Box::new(MailboxSource::new(list_mailbox, DispatcherInput::HostList)));
    let mut session_messages = None;
    if let Some(plan) = &local_config.sessions {
        let (session_sender, session_mailbox) = mailboxes.source_mailbox::<SessionMessage>();
        let answers = mailboxes.answers.clone();
        let replicated = plan.state.as_ref().map(|state| {
            let settings = replicated_state::RouterSettings {
                name: &launch.name,
                generation,
                seed: launch.seed,
                max_replica_lag: plan.max_replica_lag,
            };
            ReplicatedState::begin(state, &settings, session_sender.clone(), &clock, &log)
        });
        let session_source = Sessions::begin(
            plan.clone(),
            &launch.workloads,
            session_mailbox,
            answers,
            replicated.transpose()?,
            &clock,
            &log,
        )?;
        dispatcher.add(Box::new(session_source));
        session_messages = Some(session_sender);
    }
    let max_retry_after = launch.terms.max_retry_after;
    dispatcher.limits = local_config
        .limits
        .as_ref()
        .map(|settings| (sandstile_limits::Limits::new(settings, launch.seed, clock.now()), max_retry_after));
    let restart_pacing = local_config.restart_pacing.as_ref();
    dispatcher.ramp =
        restart_pacing.filter(|pacing| pacing.ramp).map(|_| (AdmissionRamp::default(), max_retry_after));
    dispatcher.stall = restart_pacing
        .filter(|pacing| pacing.stall_s > 0.0)
        .map(|pacing| StallDetector::new(pacing.stall_s, clock.now()));
    dispatcher.max_return_delay = max_retry_after;
    let dial_pacer = restart_pacing.map(|pacing| {
        let number = trailing_number(&launch.name).unwrap_or(launch.seed);
        DialPacer::new(pacing.pace, launch.terms.routers, number, launch.seed, clock.now())
    });
    let mut recording = None;
    if let Some(plan) = &local_config.recording {
        let workloads = launch.workloads.iter().map(|w| w.name.clone()).collect();
        let entries = initial_updates.iter().flat_map(|chunk| &chunk.entries);
        let groups = entries.map(|entry| entry.group.clone()).collect();
        let (recording_source, thread) =
            recorder::begin(plan, workloads, groups, clock.now(), &counters, &log)?;
        dispatcher.add(Box::new(recording_source));
        recording = Some(thread);
    }
    for chunk in initial_updates {
        list_sender.send(chunk);
    }
    let (mut exchange_peers, mut exchange_address) = (None, None);
    if let (Some(plan), Some(session_messages)) = (&local_config.sessions, &session_messages) {
        if let Some(exchange) = &plan.exchange {
            let secrets = plan.read_keys()?.derive_secrets(exchange::CONTEXT);
            let has_state = plan.state.is_some();
            exchange_peers = Some(exchange::begin(
                exchange,
                &launch.name,
                generation,
                has_state,
                secrets,
                session_messages.clone(),
                &log,
            )?);
            exchange_address = Some(exchange.listen);
        }
    }
    let mut members = None;
    if let Some(plan) = &local_config.members {
        let (sharing_routers, router_count_mailbox) = mailboxes.source_mailbox::<f64>();
        dispatcher.add(Box::new(MailboxSource::new(router_count_mailbox, DispatcherInput::RouterCount)));
        let members_context = MembersContext {
            name: launch.name.clone(),
            generation,
            seed: launch.seed,
            routers: launch.terms.routers,
            keys: keys::read_keys(&plan.keys)?.derive_secrets(members::CONTEXT),
            exchange: exchange_address,
            sharing_routers: Some(sharing_routers),
            exchange_peers,
        };
        members = Some(Members::open(plan, members_context, clock.now(), &log)?);
    }
    threads::spawn_joinable("discovery", EVENT_LOOP_STACK_BYTES, move || watcher.run())?;
    // Statements are judged by the agent's list from the first moment, and the list of the launch configuration may
    // be old: no client is accepted before the first list, unless the agent is silent. Clients must not wait in the
    // listen queue either, as their statements' time runs there.
    let _ = first_list.recv(Some(FIRST_LIST_TIMEOUT));
    let listener = errno::retry_transient(|| TcpListener::bind(launch.listen))
        .map_err(|e| format!("listen on {}: {e}", launch.listen))?;
    let router_parts = RouterParts {
        clock,
        budget,
        counters,
        log: log.clone(),
        dispatcher,
        workloads: launch.workloads,
        longest_deadline: launch.terms.workloads.iter().map(|w| w.timeout).fold(0.0, f64::max),
        dial_timeout: launch.dial_timeout,
        idle_close: launch.terms.idle_close,
        dial_pacer,
        members,
        session_messages: session_messages.clone(),
    };
    let event_loop = EventLoop::new(mailboxes, router_parts, listener).map_err(|e| format!("listen: {e}"))?;
    info!(log, "serving"; "name" => launch.name, "listen" => %launch.listen, "clients" => shares.clients,
        "descriptors" => shares.connections);
    let stop_handle = signal_requests.stop_handle();
    let run_loop = move || {
        let loop_result = event_loop.run();
        drop(stop_handle);
        loop_result
    };
    let loop_result = threads::spawn_joinable("carrier", EVENT_LOOP_STACK_BYTES, run_loop)?;
    let follow_discovery = || match reload_config() {
        Ok(new) => {
            info!(log, "configuration read again"; "discovery" => %new.discovery);
            agent.set_address(new.discovery);
        }
        Err(message) => warn!(log, "{message}; the former configuration stays"),
    };
    let read_keys = || {
        let Some(sessions) = local_config.sessions.as_ref().filter(|s| s.keys.is_some()) else { return };
        match sessions.read_keys() {
            Ok(ring) => {
                info!(log, "keys read again"; "numbers" => ?ring.numbers());
                if let Some(session_messages) = &session_messages {
                    session_messages.send(SessionMessage::Keys(ring));
                }
            }
            Err(message) => warn!(log, "{message}; the former keys stay"),
        }
    };
    let read_member_keys = || {
        let Some(plan) = &local_config.members else { return };
        match keys::read_keys(&plan.keys) {
            Ok(ring) => drop(loop_sender.send(ControlMessage::Keys(ring.derive_secrets(members::CONTEXT)))),
            Err(message) => warn!(log, "{message}; the former keys of members stay"),
        }
    };
    let reload = || {
        follow_discovery();
        read_keys();
        read_member_keys();
    };
    // A reload that arrives close to the end still takes effect: statements are accepted for a short while longer.
    while let Some(request) = signal_requests.next_request() {
        match request {
            SignalRequest::Reload => reload(),
            SignalRequest::End => {
                info!(
                    log,
                    "told to end: serving for a short while, then answering all statements that were taken"
                );
                loop_sender.send(ControlMessage::End);
            }
        }
    }
    let ended = loop_result.join();
    // The dispatcher is gone, and its recording source with it: the recording is complete.
    recording.map(JoinHandle::join);
    match ended {
        Ok(loop_result) => loop_result.map_err(|e| format!("readiness: {e}")),
        Err(_) => Err("the event loop's thread (carrier) has ended".to_string()),
    }
}
