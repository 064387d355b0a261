//! The state that is kept together with other instances, beside the desk's sessions. What is told to whom and believed when stands in
//! `sandstile-replication`; here it meets outlets to other instances, the disk's thread and whoever asks over a socket. Off without our own file.
use crate::clock::Clock;
use crate::control::is_abandoned;
use crate::local_config::State as Plan;
use crate::mailbox::{mailbox, Mailbox, MailboxSender};
use crate::session_messages::{SessionMessage, Shown, Telling};
use crate::threads;
use crossbeam_channel::RecvTimeoutError;
use sandstile_dispatcher::{Ending, Outcome};
use sandstile_durable_state::{OpenedState, StateDirectory, StateFile};
use sandstile_membership_view::{may_act, Direction, Topic, View};
use sandstile_policy::terms::OutcomeClass;
use sandstile_probe_sharing::{ProbeResult, ProbeSharing, Warnings};
use sandstile_replicated_state::catchup::{assess_trust, SyncState, Trust};
use sandstile_replicated_state::fact::Report;
use sandstile_replicated_state::{stored, Fact, Kind, Snapshot, Value};
use sandstile_replication::{ReplicationEvent, ReplicationPeer};
use sandstile_sessions::mark::{Mark, SessionMarks};
use sandstile_sessions::store::SessionKey;
use serde_json::json;
use slog::{info, warn, Logger};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Between looks at what is due.
const TICK: Duration = Duration::from_millis(50);
/// Seconds between writes to the disk.
const WRITES: f64 = 0.25;
/// Seconds between two words on how far one group's log has come.
const FLOORS: f64 = 1.0;
/// For whoever asks over the socket to say what, and to read it.
const PATIENCE: Duration = Duration::from_secs(2);

/// Hosts and groups that are remembered as spoken of.
const MOST_HOSTS: usize = 4096;
/// Seconds between two words on one host that refuses.
const REFUSALS: f64 = 0.5;

/// What is known of this router besides its plan.
pub struct RouterSettings<'a> {
    pub name: &'a str,
    pub generation: u64,
    pub seed: u64,
    /// Seconds.
    pub horizon: f64,
}

/// What a turn brought.
#[derive(Default)]
pub struct Learnt {
    pub marks: Vec<(SessionKey, SessionMarks)>,
    /// The copy from the disk was an old one: what it lacks may have been written.
    pub old_copy: bool,
    /// One that was handed all of ours told all that it has.
    pub vouched: bool,
    /// Hosts that refused another, and how long ago.
    pub warned: Vec<(String, f64)>,
}

/// For the disk's thread.
enum Chore {
    Put(f64, Snapshot),
    End(f64, Snapshot, MailboxSender<()>),
}

pub struct ReplicatedState {
    replication: ReplicationPeer,
    outlets: BTreeMap<String, MailboxSender<Telling>>,
    /// Those that were handed all that our former life knew.
    vouchers: BTreeSet<String>,
    /// Where the disk takes what has changed; `None` in memory alone, and once it has failed.
    disk: Option<MailboxSender<Chore>>,
    /// The disk's thread has done what it was given.
    idle: Mailbox<bool>,
    busy: bool,
    wrote_at: f64,
    put: u64,
    /// When each group's log was spoken of last, and the term it was under.
    led: BTreeMap<Arc<str>, (f64, u64)>,
    /// Who probes which host, where our own file has it shared.
    probe_sharing: Option<ProbeSharing>,
    /// Hosts that refused this router: when it said so last.
    refused: BTreeMap<String, f64>,
    /// Whose word on hosts that refuse is heeded.
    warnings: Warnings,
    trust: Trust,
    old_copy: bool,
    twins: u64,
    contradictions: u64,
}

/// What a probe told, how careful that makes, and its word among facts.
const TOLD: [(ProbeResult, u8, &str); 3] = [
    (ProbeResult::NoAnswer, 1, "silent"),
    (ProbeResult::NotPrimary, 0, "answers"),
    (ProbeResult::Primary, 0, "primary"),
];

/// A peer's name without its life.
fn bare(peer: &str) -> &str {
    peer.split_once('#').map_or(peer, |(name, _)| name)
}

fn subject(key: SessionKey) -> String {
    format!("{:016x}", key.0)
}

fn mark((key, fact): (&sandstile_replicated_state::Key, &Fact)) -> Option<(SessionKey, SessionMarks)> {
    match (key.kind, &fact.value) {
        (Kind::Mark, Value::SessionMarks(seen)) => {
            Some((SessionKey(u64::from_str_radix(&key.subject, 16).ok()?), seen.clone()))
        }
        _ => None,
    }
}

impl ReplicatedState {
    /// Takes up what the disk holds, and begins what runs beside. The message is one line.
    pub fn begin(
        plan: &Plan,
        terms: &RouterSettings,
        words: MailboxSender<SessionMessage>,
        clock: &Clock,
        log: &Logger,
    ) -> Result<ReplicatedState, String> {
        let now = clock.now();
        let (mut disk, mut trust, mut stored_generation, mut facts) = (None, Trust::None, None, Vec::new());
        let (idle, done) = mailbox();
        if let Some(dir) = &plan.dir {
            let folder = StateDirectory::open(dir, plan.witness.as_deref())?;
            let OpenedState { found, stored, witness, state_file } =
                sandstile_durable_state::open(Box::new(folder), terms.generation);
            trust = assess_trust(stored, witness);
            info!(log, "state is taken up"; "facts" => found.facts.len(), "spoilt" => found.corrupt,
                "ended" => found.ended_cleanly, "believed" => ?trust, "witness" => ?witness.file);
            (stored_generation, facts) = (found.generation, found.facts);
            match state_file {
                Ok(state_file) => {
                    let (post, chores) = mailbox();
                    let own = log.clone();
                    threads::spawn_joinable("state", threads::STACK, move || {
                        keep(state_file, &chores, &idle, &own)
                    })?;
                    disk = Some(post);
                }
                Err(e) => warn!(log, "state is kept in memory alone: {e}"),
            }
        }
        let ticks = words.clone();
        threads::spawn_detached("ticks", move || {
            while ticks.send(SessionMessage::Tick) {
                std::thread::sleep(TICK);
            }
        })?;
        if let Some(path) = &plan.control {
            let listener = door(path)?;
            threads::spawn_detached("state asked", move || answer(&listener, &words))?;
        }
        let replication = ReplicationPeer::new(
            sandstile_replication::ReplicationSettings {
                name: terms.name.to_string(),
                generation: terms.generation,
                horizon: terms.horizon,
                seed: terms.seed ^ terms.generation,
                stored: facts,
                trust,
                stored_generation,
            },
            now,
        );
        Ok(ReplicatedState {
            replication,
            outlets: BTreeMap::new(),
            vouchers: BTreeSet::new(),
            disk,
            idle: done,
            busy: false,
            wrote_at: now,
            put: 0,
            led: BTreeMap::new(),
            probe_sharing: plan.together.then(|| {
                ProbeSharing::new(terms.name, sandstile_probe_sharing::ProbeSharingSettings::default())
            }),
            refused: BTreeMap::new(),
            warnings: Warnings::default(),
            trust,
            old_copy: false,
            twins: 0,
            contradictions: 0,
        })
    }

    /// Marks that were found on the disk.
    pub fn marks(&self) -> impl Iterator<Item = (SessionKey, SessionMarks)> + '_ {
        self.replication.replica().iter().filter_map(mark)
    }

    /// Whether what was found is all that the former life knew.
    pub fn found_all(&self) -> bool {
        self.trust == Trust::All
    }

    pub fn wrote(&mut self, now: f64, key: SessionKey, seen: &SessionMarks) {
        self.replication.learn(now, Kind::Mark, &subject(key), Value::SessionMarks(seen.clone()));
    }

    /// A group's primary has told how far its log is.
    pub fn led(&mut self, now: f64, group: &Arc<str>, mark: Mark) {
        let term = mark.term.0;
        let before = self.led.get(group).copied();
        if before.is_some_and(|(at, of)| of == term && now < at + FLOORS) {
            return;
        }
        if self.led.len() >= MOST_HOSTS {
            self.led.clear();
        }
        self.led.insert(group.clone(), (now, term));
        // Names that are too long for a key are told of nowhere.
        if before.is_none_or(|(_, of)| of != term) {
            self.replication.publish_report(now, Kind::Leader, group, 0, &format!("{term:016x}"));
        }
        self.replication.learn(
            now,
            Kind::LogPosition,
            &format!("{term:016x}/{group}"),
            Value::Max(mark.position),
        );
    }

    /// This one hears us from now on; `covers_receiver` says that it ended in order and left us all that it knew.
    pub fn linked(&mut self, now: f64, peer: String, outlet: MailboxSender<Telling>, covers_receiver: bool) {
        if outlet.send(Telling::SnapshotComplete { covers_receiver }) {
            self.replication.peer_connected(now, &peer);
            self.outlets.insert(peer, outlet);
        }
    }

    pub fn parted(&mut self, now: f64, peer: &str) {
        if self.outlets.remove(peer).is_some() {
            self.replication.peer_disconnected(now, peer);
        }
    }

    pub fn written(&mut self, peer: &str, bytes: usize) {
        self.replication.bytes_written(peer, bytes);
    }

    pub fn heard(&mut self, now: f64, from: &str, message: &[u8]) {
        self.replication.receive(now, from, message);
    }

    pub fn vouches(&mut self, peer: &str) {
        // Few were told by our former life.
        if self.vouchers.len() < 64 {
            self.vouchers.insert(peer.to_string());
        }
    }

    /// Whether this router is to probe a host whose group lacks a primary.
    pub fn may_probe(&mut self, now: f64, host: &str) -> bool {
        let Some(probe_sharing) = &mut self.probe_sharing else { return true };
        let there = self.replication.connected_peers().map(|peer| bare(peer).to_string()).collect();
        probe_sharing.set_reachable_peers(now, &there);
        probe_sharing.should_probe(now, host)
    }

    pub fn probed(&mut self, now: f64, host: &str, outcome: &Outcome) {
        let Some(probe_sharing) = &mut self.probe_sharing else { return };
        let told = match (outcome.ending == Ending::Completed, outcome.host_report.primary) {
            (false, _) => ProbeResult::NoAnswer,
            (true, Some(true)) => ProbeResult::Primary,
            (true, _) => ProbeResult::NotPrimary,
        };
        probe_sharing.record_own_probe(now, host, told);
        let (severity, body) = TOLD.iter().find(|(t, ..)| *t == told).map_or((1, ""), |(_, c, b)| (*c, *b));
        self.replication.publish_report(now, Kind::Probe, host, severity, body);
    }

    /// An execution at this host has ended: what others would lose a statement to learn is told to them.
    pub fn met(&mut self, now: f64, host: &str, outcome: &Outcome) {
        if self.probe_sharing.is_none() {
            return;
        }
        if outcome.ending == Ending::Completed {
            self.warnings.answered(now, host);
        }
        match outcome.ending.outcome_class() {
            OutcomeClass::ConnectFailed | OutcomeClass::Reset | OutcomeClass::Full => {
                if self.refused.len() >= MOST_HOSTS {
                    self.refused.clear();
                }
                if self.refused.get(host).is_none_or(|said| now >= said + REFUSALS) {
                    self.refused.insert(host.to_string(), now);
                    self.replication.publish_report(now, Kind::Refusal, host, 1, "");
                }
            }
            OutcomeClass::Completed if self.refused.remove(host).is_some() => {
                self.replication.publish_report(now, Kind::Refusal, host, 0, "");
            }
            _ => {}
        }
    }

    /// Another's word on a host.
    fn told(&mut self, now: f64, key: &sandstile_replicated_state::Key, said: &Report, learnt: &mut Learnt) {
        let Some(probe_sharing) = &mut self.probe_sharing else { return };
        let Some(created_at) = self.replication.replica().get(key).map(|fact| fact.created_at) else {
            return;
        };
        match key.kind {
            Kind::Probe => {
                let Some((told, ..)) = TOLD.iter().find(|(_, _, body)| *body == &*said.body) else { return };
                probe_sharing.record_peer_probe(
                    &key.owner,
                    said.generation,
                    said.version,
                    &key.subject,
                    created_at,
                    *told,
                );
            }
            Kind::Refusal => {
                // More care is allowed in every view, alone as well.
                let may_act =
                    said.severity > 0 && may_act(View::Alone, Topic::Refusal, Direction::MoreCareful, false);
                if may_act && self.warnings.accept(now, &key.owner, &key.subject) {
                    learnt.warned.push((key.subject.to_string(), now - created_at));
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, now: f64) {
        for (peer, message) in self.replication.take_outgoing(now) {
            if self.outlets.get(&peer).is_some_and(|o| !o.send(Telling::State(message))) {
                self.outlets.remove(&peer);
                self.replication.peer_disconnected(now, &peer);
            }
        }
    }

    /// Answers go out at once, news with the next look: so many facts share a message, and a message a look is all that a link carries
    /// of them.
    pub fn turn(&mut self, now: f64, looks: bool, log: &Logger) -> Learnt {
        if looks {
            self.replication.tick(now);
        }
        self.send(now);
        let mut learnt = Learnt::default();
        for event in self.replication.take_events() {
            match event {
                ReplicationEvent::FactLearned(key, Value::SessionMarks(seen)) if key.kind == Kind::Mark => {
                    learnt
                        .marks
                        .extend(u64::from_str_radix(&key.subject, 16).ok().map(|k| (SessionKey(k), seen)));
                }
                ReplicationEvent::FactLearned(key, Value::Report(said)) => {
                    self.told(now, &key, &said, &mut learnt)
                }
                ReplicationEvent::FactLearned(..) => {}
                ReplicationEvent::SyncStateChanged(sync_state) => {
                    info!(log, "state: {}", word(sync_state); "facts" => self.replication.replica().len())
                }
                ReplicationEvent::PeerCompared(peer) => learnt.vouched |= self.vouchers.remove(&peer),
                ReplicationEvent::Contradiction(key) => {
                    self.contradictions += 1;
                    warn!(log, "state: one under one number said two things"; "kind" => key.kind.name(),
                        "of" => &*key.subject, "by" => &*key.owner);
                }
                ReplicationEvent::OldCopy { found, met } => {
                    (self.old_copy, learnt.old_copy) = (true, true);
                    warn!(log, "state: the copy on the disk was an old one"; "its life" => found, "a later one" => met);
                }
                ReplicationEvent::DuplicateName(generation) => {
                    self.twins += 1;
                    if self.twins == 1 {
                        warn!(log, "state: a later life of this name is about"; "life" => generation);
                    }
                }
            }
        }
        self.put_by(now, log);
        learnt
    }

    fn put_by(&mut self, now: f64, log: &Logger) {
        while let Some(well) = self.idle.try_recv() {
            self.busy = false;
            if !well && self.disk.take().is_some() {
                warn!(log, "state is kept in memory alone from now on");
            }
        }
        let version = self.replication.replica().version();
        if self.busy || now < self.wrote_at + WRITES || (version == self.put && self.put > 0) {
            return;
        }
        if let Some(disk) = &self.disk {
            // A copy shares its facts with ours.
            self.busy = disk.send(Chore::Put(now, self.replication.replica().snapshot()));
            (self.wrote_at, self.put) = (now, version);
        }
    }

    /// All is told to all, and put down as that.
    pub fn end(&mut self, now: f64, done: &MailboxSender<()>) {
        self.replication.tick(now);
        for (peer, outlet) in std::mem::take(&mut self.outlets) {
            let Some(words) = self.replication.take_final_messages(now, &peer) else { continue };
            if words.into_iter().all(|w| outlet.send(Telling::State(w))) {
                outlet.send(Telling::End(done.clone()));
            }
        }
        if let Some(disk) = self.disk.take() {
            disk.send(Chore::End(now, self.replication.replica().snapshot(), done.clone()));
        }
    }

    /// What an operator is told, but for what takes a look at every fact.
    pub fn show(&self, now: f64) -> Shown {
        let replica = self.replication.replica();
        let (c, r) = (self.replication.counts(), replica.counts());
        let about = json!({"standing": word(self.replication.sync_state()), "facts": replica.len(),
            "digest": format!("{:016x}", replica.digest()),
            "linked": self.replication.connected_peers().collect::<Vec<_>>(), "number": replica.version(),
            "believed": format!("{:?}", self.trust).to_lowercase(), "old_copy": self.old_copy,
            "disk": self.disk.is_some(), "twins": self.twins, "contradictions": self.contradictions,
            "bytes_in": c.bytes_in, "bytes_out": c.bytes_out, "messages_in": c.messages_in,
            "messages_out": c.messages_out, "rounds": c.rounds, "rounds_lost": c.rounds_lost,
            "unreadable": c.unreadable, "refused": c.refused, "shed": c.shed,
            "given_up": r.evicted, "forgotten": r.expired});
        Shown { at: now, about, held: replica.snapshot() }
    }
}

/// How it stands, with the sum of what is older than this.
fn summary(shown: Shown, at: f64) -> Vec<u8> {
    let Shown { mut about, held, .. } = shown;
    let mut kinds: BTreeMap<&str, u64> = BTreeMap::new();
    held.iter().for_each(|(key, _)| *kinds.entry(key.kind.name()).or_default() += 1);
    about["kinds"] = json!(kinds);
    about["as_of"] = json!(at);
    about["digest_as_of"] = json!(format!("{:016x}", held.digest_as_of(at)));
    format!("{about}\n").into_bytes()
}

/// All facts in the form of a file, so that a router and a file compare alike.
fn facts(shown: &Shown) -> Vec<u8> {
    let mut out = stored::header(1);
    shown.held.iter().for_each(|(key, fact)| stored::write_fact(&mut out, 1, shown.at, key, fact));
    stored::write_end(&mut out, 1, shown.held.version());
    out
}

fn word(sync_state: SyncState) -> &'static str {
    match sync_state {
        SyncState::NotStarted => "new",
        SyncState::CatchingUp => "catching up",
        SyncState::InSync => "in step",
        SyncState::InSyncAsOf(_) => "in step as of before",
        SyncState::Isolated => "careful",
    }
}

/// The disk's thread: one chore at a time, however slow it is.
fn keep(mut state_file: StateFile, chores: &Mailbox<Chore>, idle: &MailboxSender<bool>, log: &Logger) {
    loop {
        match chores.recv(None) {
            Ok(Chore::Put(now, held)) => {
                let put = state_file.put(now, &held);
                idle.send(put.is_ok());
                if let Err(e) = put {
                    warn!(log, "state: the disk takes no more: {e}");
                    return;
                }
            }
            Ok(Chore::End(now, held, done)) => {
                if let Err(e) = state_file.end(now, &held) {
                    warn!(log, "state: not all of it is on the disk: {e}");
                }
                drop(done);
                return;
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// A socket that a former process left is taken away; one that somebody listens at is not.
fn door(path: &Path) -> Result<UnixListener, String> {
    let told = |e: std::io::Error| format!("state: {}: {e}", path.display());
    if std::fs::symlink_metadata(path).is_ok() {
        if !is_abandoned(path) {
            return Err(format!("state: {}: another process may listen there", path.display()));
        }
        std::fs::remove_file(path).map_err(told)?;
    }
    let listener = UnixListener::bind(path).map_err(told)?;
    std::fs::set_permissions(path, std::os::unix::fs::PermissionsExt::from_mode(0o600)).map_err(told)?;
    Ok(listener)
}

/// Answers one after the other: `summary SECONDS` or `facts`, a line.
fn answer(listener: &UnixListener, words: &MailboxSender<SessionMessage>) {
    for stream in listener.incoming() {
        let Ok(mut stream) = stream else {
            std::thread::sleep(TICK);
            continue;
        };
        let patient = stream.set_read_timeout(Some(PATIENCE)).and(stream.set_write_timeout(Some(PATIENCE)));
        let mut line = String::new();
        let read = BufReader::new((&stream).take(64)).read_line(&mut line);
        if patient.is_err() || read.is_err() {
            continue;
        }
        let at = line.strip_prefix("summary ").and_then(|at| at.trim().parse::<f64>().ok());
        if at.is_none_or(|at| !at.is_finite()) && line.trim() != "facts" {
            continue;
        }
        let (post, told) = crate::mailbox::single_slot_mailbox();
        if !words.send(SessionMessage::Show(post)) {
            return;
        }
        // Looked through here, and not where statements wait.
        if let Ok(shown) = told.recv(Some(PATIENCE)) {
            let bytes = match at {
                Some(at) => summary(shown, at),
                None => facts(&shown),
            };
            let _ = stream.write_all(&bytes);
        }
    }
}
