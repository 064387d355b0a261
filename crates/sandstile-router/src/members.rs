//! Membership among the routers: one UDP socket on the event loop, without a thread. The protocol is in
//! `sandstile-peers`; off without a local configuration file.
use crate::control::ControlSocket;
use crate::exchange::ExchangePeers;
use crate::local_config::MembersConfig;
use crate::loop_context::LoopContext;
use crate::mailbox::MailboxSender;
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use sandstile_membership::wire::MAX_NAME_BYTES;
use sandstile_membership::{Change, Meta, State};
use sandstile_peers::{PeerEvent, Peers, Report, Settings};
use serde_json::{json, Value};
use slog::{info, warn, Logger};
use std::io;

/// Context for key derivation, so that no secret is used for two purposes.
pub const CONTEXT: &str = "sandstile members, version 1";
/// Version that this router announces, set by the developers; members of different versions run side by side.
pub const VERSION: u16 = 1;
/// Token of the UDP socket, far above those of client and upstream connections.
pub const DATAGRAMS: Token = Token(usize::MAX - 2);
/// Limit on the datagrams read in one turn, so that the event loop's other work is not delayed.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Size of the receive buffer in bytes. A message is one datagram of about 1,200 bytes; longer ones come from
/// elsewhere.
const MAX_DATAGRAM_BYTES: usize = 2048;

pub struct Members {
    socket: UdpSocket,
    peers: Peers,
    /// The socket may have more datagrams to read.
    readable: bool,
    sharing_routers: Option<MailboxSender<f64>>,
    exchange_peers: Option<ExchangePeers>,
    pub control: Option<ControlSocket>,
    published_counts: sandstile_peers::PeerCounters,
    log: Logger,
}

/// What membership needs to know of its router.
pub struct MembersContext {
    pub name: String,
    pub generation: u64,
    pub seed: u64,
    pub routers: usize,
    pub keys: Vec<[u8; 32]>,
    pub exchange: Option<std::net::SocketAddr>,
    /// Receives the number of routers that share the hosts.
    pub sharing_routers: Option<MailboxSender<f64>>,
    /// The instances that this one sends session marks to.
    pub exchange_peers: Option<ExchangePeers>,
}

impl Members {
    /// The error message is one line.
    pub fn open(
        config: &MembersConfig,
        router: MembersContext,
        now: f64,
        log: &Logger,
    ) -> Result<Members, String> {
        let with_address = |e: io::Error| format!("members: {}: {e}", config.listen);
        if router.name.is_empty() || router.name.len() > MAX_NAME_BYTES {
            return Err(format!(
                "members: a router's name has 1 to {MAX_NAME_BYTES} bytes: '{}'",
                router.name
            ));
        }
        let socket = UdpSocket::bind(config.listen).map_err(with_address)?;
        let control = config.control.as_deref().map(ControlSocket::open).transpose()?;
        let settings = Settings {
            name: router.name,
            generation: router.generation,
            address: config.advertise,
            seeds: config.seeds.clone(),
            meta: Meta { version: VERSION, zone: config.zone.clone(), exchange: router.exchange },
            period: config.period,
            configured_routers: config.share.then_some(router.routers),
            keys: router.keys,
        };
        info!(log, "members"; "listen" => %config.listen, "found at" => %config.advertise,
            "seeds" => config.seeds.len());
        Ok(Members {
            socket,
            peers: Peers::new(settings, router.seed, now),
            readable: true,
            sharing_routers: router.sharing_routers,
            exchange_peers: router.exchange_peers,
            control,
            published_counts: sandstile_peers::PeerCounters::default(),
            log: log.clone(),
        })
    }

    pub fn register(&mut self, registry: &Registry) -> io::Result<()> {
        registry.register(&mut self.socket, DATAGRAMS, Interest::READABLE)?;
        self.control.as_mut().map_or(Ok(()), |control| control.register(registry))
    }

    /// Called when the socket is readable.
    pub fn set_readable(&mut self) {
        self.readable = true;
    }

    /// Whether the socket may have datagrams to read.
    pub fn may_have_datagrams(&self) -> bool {
        self.readable
    }

    pub fn due(&self) -> f64 {
        let control = self.control.as_ref().map_or(f64::INFINITY, ControlSocket::due);
        self.peers.due().min(control)
    }

    pub fn rotate(&mut self, keys: Vec<[u8; 32]>) {
        self.peers.rotate(keys);
    }

    /// Does a bounded amount of work: reads datagrams, runs due timers, sends messages, and serves the
    /// control socket.
    pub fn run_once(&mut self, context: &LoopContext) {
        // Datagrams are read before timers run, so that a process that was stopped declares nobody dead whose
        // messages are waiting in the socket.
        let mut bytes = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            if !self.readable {
                break;
            }
            match self.socket.recv_from(&mut bytes) {
                Ok((n, _)) => self.peers.handle_datagram(context.clock.now(), &bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                // An earlier datagram could not be delivered; the missing messages of that member show its
                // death more reliably than this error.
                Err(_) => {}
            }
        }
        let now = context.clock.now();
        if self.peers.due() <= now && !self.readable {
            self.peers.on_timer(now);
        }
        self.send(now);
        self.handle_events(context);
        if let Some(mut control) = self.control.take() {
            control.serve(&context.registry, now, || report(&self.peers.report(now)).to_string());
            self.control = Some(control);
        }
    }

    /// Sends the queued messages. Datagrams that the socket does not accept now are dropped; the protocol
    /// tolerates loss.
    fn send(&mut self, now: f64) {
        for (to, datagram) in self.peers.take_outgoing(now) {
            let _ = self.socket.send_to(&datagram, to);
        }
    }

    fn handle_events(&mut self, context: &LoopContext) {
        for event in self.peers.take_events() {
            match event {
                PeerEvent::Change(Change::NameTaken(address)) => {
                    warn!(self.log, "another process runs under this router's name"; "at" => %address);
                }
                PeerEvent::Change(change) => info!(self.log, "member: {change:?}"),
                PeerEvent::View(view, summary) => {
                    context.counters.view_changes.add();
                    info!(self.log, "view: {}", view.label(); "there" => summary.live, "suspects" => summary.suspects,
                        "dead" => summary.dead, "differing" => summary.differing);
                }
                PeerEvent::SharingRouters(n) => drop(self.sharing_routers.as_ref().map(|s| s.send(n))),
                PeerEvent::ExchangePeers(addresses) => {
                    if let Some(exchange_peers) = &mut self.exchange_peers {
                        exchange_peers.update(&addresses);
                    }
                }
            }
        }
        let counts = self.peers.counts();
        if counts != self.published_counts {
            self.published_counts = counts;
            let counters = &context.counters;
            counters.letters.set(counts.datagrams);
            counters
                .letters_refused
                .set(counts.unreadable + counts.forged + counts.replayed + counts.flooded);
            counters.names_taken.set(counts.names_taken);
            counters.member_deaths.set(counts.deaths);
        }
        context.counters.members.set(self.peers.count() as u64);
        context.counters.view.set(self.peers.view() as u64);
    }

    /// Announces that this process leaves, so that the others need not suspect it.
    pub fn leave(&mut self, now: f64) {
        self.peers.leave();
        self.send(now);
        if let Some(control) = &self.control {
            control.close();
        }
    }
}

fn state_text(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Left => "left",
        State::Dead => "dead",
    }
}

/// The report that `sandstile members` reads.
pub fn report(report: &Report) -> Value {
    let members: Vec<Value> = report
        .members
        .iter()
        .map(|member| {
            json!({"name": member.update.id.name, "life": member.update.id.life,
                "state": state_text(member.update.state), "address": member.update.address.to_string(),
                "since": member.since, "round_trip_ms": member.round_trip.map(|seconds| seconds * 1e3),
                "version": member.update.meta.version, "zone": member.update.meta.zone, "agrees": member.agrees})
        })
        .collect();
    let counts = &report.counts;
    json!({"name": report.name, "life": report.generation, "address": report.address.to_string(),
        "version": report.meta.version, "zone": report.meta.zone,
        "view": report.view.label(), "holds_for_s": report.view_age, "digest": format!("{:016x}", report.digest),
        "there": report.observation.live, "suspects": report.observation.suspects, "dead": report.observation.dead,
        "differing": report.observation.differing,
        "health": report.health, "sharers": report.sharing_routers, "members": members,
        "letters": {"taken": counts.datagrams, "sent": report.sent.1, "bytes_sent": report.sent.0,
            "unreadable": counts.unreadable, "forged": counts.forged, "replayed": counts.replayed, "flooded": counts.flooded,
            "held_back": counts.held_back},
        "suspicions": counts.suspicions, "deaths": counts.deaths, "names_taken": counts.names_taken})
}
