//! The peers' letters beside the carrier's loop: one UDP socket, no thread. What is said and believed is `sandstile-peers`; off without
//! our own file.
use crate::control::ControlSocket;
use crate::exchange::ExchangePeers;
use crate::local_config::Members as Plan;
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

/// What this use of the keys is called, so that no secret serves two.
pub const CONTEXT: &str = "sandstile members, version 1";
/// As its makers count; members of several run side by side.
pub const VERSION: u16 = 1;
/// Far above those of clients and links.
pub const DATAGRAMS: Token = Token(usize::MAX - 2);
/// Letters read before the others have their turn.
const TURN: usize = 64;
/// A letter is one datagram of some 1,200 bytes; more is none of ours.
const LONGEST: usize = 2048;

pub struct Members {
    socket: UdpSocket,
    peers: Peers,
    /// The platform may hold more letters.
    ready: bool,
    sharing_routers: Option<MailboxSender<f64>>,
    exchange_peers: Option<ExchangePeers>,
    pub control: Option<ControlSocket>,
    counted: sandstile_peers::PeerCounters,
    log: Logger,
}

/// What the router that members run beside has told them.
pub struct MembersContext {
    pub name: String,
    pub generation: u64,
    pub seed: u64,
    pub routers: usize,
    pub keys: Vec<[u8; 32]>,
    pub exchange: Option<std::net::SocketAddr>,
    /// Where the number of those that share the hosts goes.
    pub sharing_routers: Option<MailboxSender<f64>>,
    /// Who is to be told what sessions have seen.
    pub exchange_peers: Option<ExchangePeers>,
}

impl Members {
    /// The message is one line.
    pub fn open(plan: &Plan, beside: MembersContext, now: f64, log: &Logger) -> Result<Members, String> {
        let told = |e: io::Error| format!("members: {}: {e}", plan.listen);
        if beside.name.is_empty() || beside.name.len() > MAX_NAME_BYTES {
            return Err(format!(
                "members: a router's name has 1 to {MAX_NAME_BYTES} bytes: '{}'",
                beside.name
            ));
        }
        let socket = UdpSocket::bind(plan.listen).map_err(told)?;
        let control = plan.control.as_deref().map(ControlSocket::open).transpose()?;
        let terms = Settings {
            name: beside.name,
            generation: beside.generation,
            address: plan.advertise,
            seeds: plan.seeds.clone(),
            meta: Meta { version: VERSION, zone: plan.zone.clone(), exchange: beside.exchange },
            period: plan.period,
            configured_routers: plan.share.then_some(beside.routers),
            keys: beside.keys,
        };
        info!(log, "members"; "listen" => %plan.listen, "found at" => %plan.advertise, "seeds" => plan.seeds.len());
        Ok(Members {
            socket,
            peers: Peers::new(terms, beside.seed, now),
            ready: true,
            sharing_routers: beside.sharing_routers,
            exchange_peers: beside.exchange_peers,
            control,
            counted: sandstile_peers::PeerCounters::default(),
            log: log.clone(),
        })
    }

    pub fn register(&mut self, registry: &Registry) -> io::Result<()> {
        registry.register(&mut self.socket, DATAGRAMS, Interest::READABLE)?;
        self.control.as_mut().map_or(Ok(()), |c| c.register(registry))
    }

    /// Letters may have come.
    pub fn set_readable(&mut self) {
        self.ready = true;
    }

    /// Whether letters may wait to be read.
    pub fn busy(&self) -> bool {
        self.ready
    }

    pub fn due(&self) -> f64 {
        let control = self.control.as_ref().map_or(f64::INFINITY, ControlSocket::due);
        self.peers.due().min(control)
    }

    pub fn rotate(&mut self, keys: Vec<[u8; 32]>) {
        self.peers.rotate(keys);
    }

    /// A bounded piece of work: letters that have come, what is due, what is to go out, who asks.
    pub fn turn(&mut self, context: &LoopContext) {
        // A process that stood still looks at what has come before it holds anybody for dead.
        let mut bytes = [0; LONGEST];
        for _ in 0..TURN {
            if !self.ready {
                break;
            }
            match self.socket.recv_from(&mut bytes) {
                Ok((n, _)) => self.peers.handle_datagram(context.clock.now(), &bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.ready = false,
                // What could not be delivered earlier is told here; it is the other's death, which letters tell better.
                Err(_) => {}
            }
        }
        let now = context.clock.now();
        if self.peers.due() <= now && !self.ready {
            self.peers.on_timer(now);
        }
        self.send(now);
        self.heed(context);
        if let Some(mut control) = self.control.take() {
            control.serve(&context.registry, now, || report(&self.peers.report(now)).to_string());
            self.control = Some(control);
        }
    }

    /// Letters that the platform does not take now are lost, as any may be.
    fn send(&mut self, now: f64) {
        for (to, letter) in self.peers.take_outgoing(now) {
            let _ = self.socket.send_to(&letter, to);
        }
    }

    fn heed(&mut self, context: &LoopContext) {
        for news in self.peers.take_events() {
            match news {
                PeerEvent::Change(Change::NameTaken(address)) => {
                    warn!(self.log, "another process runs under this router's name"; "at" => %address);
                }
                PeerEvent::Change(change) => info!(self.log, "member: {change:?}"),
                PeerEvent::View(view, look) => {
                    context.counters.view_changes.add();
                    info!(self.log, "view: {}", view.label(); "there" => look.live, "suspects" => look.suspects,
                        "dead" => look.dead, "differing" => look.differing);
                }
                PeerEvent::SharingRouters(n) => drop(self.sharing_routers.as_ref().map(|post| post.send(n))),
                PeerEvent::ExchangePeers(whom) => {
                    if let Some(exchange_peers) = &mut self.exchange_peers {
                        exchange_peers.follow(&whom);
                    }
                }
            }
        }
        let counts = self.peers.counts();
        if counts != self.counted {
            self.counted = counts;
            let c = &context.counters;
            c.letters.set(counts.datagrams);
            c.letters_refused.set(counts.unreadable + counts.forged + counts.replayed + counts.flooded);
            c.names_taken.set(counts.names_taken);
            c.member_deaths.set(counts.deaths);
        }
        context.counters.members.set(self.peers.count() as u64);
        context.counters.view.set(self.peers.view() as u64);
    }

    /// This process ends: the others need not wonder.
    pub fn leave(&mut self, now: f64) {
        self.peers.leave();
        self.send(now);
        if let Some(control) = &self.control {
            control.close();
        }
    }
}

fn label(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Left => "left",
        State::Dead => "dead",
    }
}

/// As `sandstile members` reads it.
pub fn report(r: &Report) -> Value {
    let members: Vec<Value> = r
        .members
        .iter()
        .map(|m| {
            json!({"name": m.update.id.name, "life": m.update.id.life, "state": label(m.update.state),
                "address": m.update.address.to_string(), "since": m.since, "round_trip_ms": m.round_trip.map(|s| s * 1e3),
                "version": m.update.meta.version, "zone": m.update.meta.zone, "agrees": m.agrees})
        })
        .collect();
    let c = &r.counts;
    json!({"name": r.name, "life": r.generation, "address": r.address.to_string(), "version": r.meta.version, "zone": r.meta.zone,
        "view": r.view.label(), "holds_for_s": r.view_age, "digest": format!("{:016x}", r.digest),
        "there": r.observation.live, "suspects": r.observation.suspects, "dead": r.observation.dead, "differing": r.observation.differing,
        "health": r.health, "sharers": r.sharing_routers, "members": members,
        "letters": {"taken": c.datagrams, "sent": r.sent.1, "bytes_sent": r.sent.0, "unreadable": c.unreadable,
            "forged": c.forged, "replayed": c.replayed, "flooded": c.flooded, "held_back": c.held_back},
        "suspicions": c.suspicions, "deaths": c.deaths, "names_taken": c.names_taken})
}
