//! The state that is replicated between instances, used by the dispatcher's sessions. `sandstile-replication`
//! decides what is sent to which peer and when a copy is trusted; this module connects it to the peers'
//! connections, the disk's thread and the control socket. Off without a local configuration file.
use crate::clock::Clock;
use crate::control::is_abandoned;
use crate::local_config::StateConfig;
use crate::mailbox::{mailbox, Mailbox, MailboxSender};
use crate::session_messages::{PeerMessage, SessionMessage, StateReport};
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

/// Interval of the periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Seconds between writes to the disk.
const WRITE_INTERVAL_S: f64 = 0.25;
/// Seconds between two facts about the log position of one group.
const POSITION_INTERVAL_S: f64 = 1.0;
/// Timeout for reading a request from the control socket, and for writing the answer.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit on the hosts, and on the groups, whose last published fact is remembered.
const MAX_REMEMBERED: usize = 4096;
/// Seconds between two facts that the same host refuses.
const REFUSAL_INTERVAL_S: f64 = 0.5;

/// Settings from outside the `state` section of the local configuration file.
pub struct RouterSettings<'a> {
    pub name: &'a str,
    pub generation: u64,
    pub seed: u64,
    /// Seconds.
    pub max_replica_lag: f64,
}

/// What processing the received facts has brought.
#[derive(Default)]
pub struct StateChanges {
    pub marks: Vec<(SessionKey, SessionMarks)>,
    /// The copy from the disk was outdated, so writes may be missing from it.
    pub old_copy: bool,
    /// A peer that had received all of this instance's facts before its restart has sent everything it has.
    pub all_received: bool,
    /// Hosts that refused another instance, and how many seconds ago.
    pub host_warnings: Vec<(String, f64)>,
}

/// Task of the disk's thread.
enum DiskTask {
    Put(f64, Snapshot),
    End(f64, Snapshot, MailboxSender<()>),
}

pub struct ReplicatedState {
    replication: ReplicationPeer,
    peers: BTreeMap<String, MailboxSender<PeerMessage>>,
    /// Peers that hold all that this instance's former generation knew.
    complete_peers: BTreeSet<String>,
    /// Mailbox of the disk's thread; `None` if the state is in memory only, or after the disk has failed.
    disk: Option<MailboxSender<DiskTask>>,
    /// Results of the disk's thread, one for each finished task.
    results: Mailbox<bool>,
    writing: bool,
    last_write_at: f64,
    saved_version: u64,
    /// When each group's log position was last published, and the term then.
    published_positions: BTreeMap<Arc<str>, (f64, u64)>,
    /// Which router probes which host, if the local configuration file turns sharing on.
    probe_sharing: Option<ProbeSharing>,
    /// Hosts that refuse this router, and when that was last published.
    refused: BTreeMap<String, f64>,
    /// Which peers' claims about refusing hosts are trusted.
    warnings: Warnings,
    trust: Trust,
    old_copy: bool,
    duplicate_names: u64,
    contradictions: u64,
}

/// The results of a probe, each with its degree of caution and its text in a fact.
const PROBE_RESULTS: [(ProbeResult, u8, &str); 3] = [
    (ProbeResult::NoAnswer, 1, "silent"),
    (ProbeResult::NotPrimary, 0, "answers"),
    (ProbeResult::Primary, 0, "primary"),
];

/// A peer's name without its generation.
fn name_of(peer: &str) -> &str {
    peer.split_once('#').map_or(peer, |(name, _)| name)
}

fn subject(key: SessionKey) -> String {
    format!("{:016x}", key.0)
}

fn to_mark((key, fact): (&sandstile_replicated_state::Key, &Fact)) -> Option<(SessionKey, SessionMarks)> {
    match (key.kind, &fact.value) {
        (Kind::Mark, Value::SessionMarks(session_marks)) => {
            Some((SessionKey(u64::from_str_radix(&key.subject, 16).ok()?), session_marks.clone()))
        }
        _ => None,
    }
}

impl ReplicatedState {
    /// Loads the state from the disk and starts the threads. The error message is one line.
    pub fn begin(
        config: &StateConfig,
        settings: &RouterSettings,
        messages: MailboxSender<SessionMessage>,
        clock: &Clock,
        log: &Logger,
    ) -> Result<ReplicatedState, String> {
        let now = clock.now();
        let (mut disk, mut trust, mut stored_generation, mut facts) = (None, Trust::None, None, Vec::new());
        let (result_sender, result_mailbox) = mailbox();
        if let Some(dir) = &config.dir {
            let directory = StateDirectory::open(dir, config.witness.as_deref())?;
            let OpenedState { found, stored, witness, state_file } =
                sandstile_durable_state::open(Box::new(directory), settings.generation);
            trust = assess_trust(stored, witness);
            info!(log, "state: copy loaded from the disk"; "facts" => found.facts.len(),
                "spoilt" => found.corrupt, "ended" => found.ended_cleanly, "believed" => ?trust, "witness" => ?witness.file);
            (stored_generation, facts) = (found.generation, found.facts);
            match state_file {
                Ok(state_file) => {
                    let (sender, tasks) = mailbox();
                    let thread_log = log.clone();
                    threads::spawn_joinable("state", threads::THREAD_STACK_BYTES, move || {
                        run_disk(state_file, &tasks, &result_sender, &thread_log)
                    })?;
                    disk = Some(sender);
                }
                Err(e) => warn!(log, "state: kept in memory only: {e}"),
            }
        }
        let ticks = messages.clone();
        threads::spawn_detached("ticks", move || {
            while ticks.send(SessionMessage::Tick) {
                std::thread::sleep(TICK_INTERVAL);
            }
        })?;
        if let Some(path) = &config.control {
            let listener = open_socket(path)?;
            threads::spawn_detached("state asked", move || serve_requests(&listener, &messages))?;
        }
        let replication = ReplicationPeer::new(
            sandstile_replication::ReplicationSettings {
                name: settings.name.to_string(),
                generation: settings.generation,
                max_replica_lag: settings.max_replica_lag,
                seed: settings.seed ^ settings.generation,
                stored: facts,
                trust,
                stored_generation,
            },
            now,
        );
        Ok(ReplicatedState {
            replication,
            peers: BTreeMap::new(),
            complete_peers: BTreeSet::new(),
            disk,
            results: result_mailbox,
            writing: false,
            last_write_at: now,
            saved_version: 0,
            published_positions: BTreeMap::new(),
            probe_sharing: config.learn_together.then(|| {
                ProbeSharing::new(settings.name, sandstile_probe_sharing::ProbeSharingSettings::default())
            }),
            refused: BTreeMap::new(),
            warnings: Warnings::default(),
            trust,
            old_copy: false,
            duplicate_names: 0,
            contradictions: 0,
        })
    }

    /// Marks loaded from the disk.
    pub fn marks(&self) -> impl Iterator<Item = (SessionKey, SessionMarks)> + '_ {
        self.replication.replica().iter().filter_map(to_mark)
    }

    /// Whether the copy on the disk holds all that the former generation knew.
    pub fn found_all(&self) -> bool {
        self.trust == Trust::All
    }

    pub fn record_write(&mut self, now: f64, key: SessionKey, session_marks: &SessionMarks) {
        self.replication.learn(now, Kind::Mark, &subject(key), Value::SessionMarks(session_marks.clone()));
    }

    /// Publishes the log position that a group's primary has reported.
    pub fn record_primary_position(&mut self, now: f64, group: &Arc<str>, mark: Mark) {
        let term = mark.term.0;
        let previous = self.published_positions.get(group).copied();
        if previous.is_some_and(|(published_at, published_term)| {
            published_term == term && now < published_at + POSITION_INTERVAL_S
        }) {
            return;
        }
        if self.published_positions.len() >= MAX_REMEMBERED {
            self.published_positions.clear();
        }
        self.published_positions.insert(group.clone(), (now, term));
        // Names that are too long for a key are not published.
        if previous.is_none_or(|(_, published_term)| published_term != term) {
            self.replication.publish_report(now, Kind::Leader, group, 0, &format!("{term:016x}"));
        }
        self.replication.learn(
            now,
            Kind::LogPosition,
            &format!("{term:016x}/{group}"),
            Value::Max(mark.position),
        );
    }

    /// Starts sending to a peer; `covers_receiver` says that its former generation shut down in order and had sent
    /// all its facts here.
    pub fn peer_connected(
        &mut self,
        now: f64,
        peer: String,
        sender: MailboxSender<PeerMessage>,
        covers_receiver: bool,
    ) {
        if sender.send(PeerMessage::SnapshotComplete { covers_receiver }) {
            self.replication.peer_connected(now, &peer);
            self.peers.insert(peer, sender);
        }
    }

    pub fn peer_disconnected(&mut self, now: f64, peer: &str) {
        if self.peers.remove(peer).is_some() {
            self.replication.peer_disconnected(now, peer);
        }
    }

    pub fn record_bytes_written(&mut self, peer: &str, bytes: usize) {
        self.replication.bytes_written(peer, bytes);
    }

    pub fn receive(&mut self, now: f64, from: &str, message: &[u8]) {
        self.replication.receive(now, from, message);
    }

    pub fn expect_all_from(&mut self, peer: &str) {
        // The former generation was connected to far fewer peers than this limit.
        if self.complete_peers.len() < 64 {
            self.complete_peers.insert(peer.to_string());
        }
    }

    /// Whether this router should probe a host whose group has no known primary.
    pub fn may_probe(&mut self, now: f64, host: &str) -> bool {
        let Some(probe_sharing) = &mut self.probe_sharing else { return true };
        let connected = self.replication.connected_peers().map(|peer| name_of(peer).to_string()).collect();
        probe_sharing.set_reachable_peers(now, &connected);
        probe_sharing.should_probe(now, host)
    }

    pub fn probe_ended(&mut self, now: f64, host: &str, outcome: &Outcome) {
        let Some(probe_sharing) = &mut self.probe_sharing else { return };
        let result = match (outcome.ending == Ending::Completed, outcome.host_report.primary) {
            (false, _) => ProbeResult::NoAnswer,
            (true, Some(true)) => ProbeResult::Primary,
            (true, _) => ProbeResult::NotPrimary,
        };
        probe_sharing.record_own_probe(now, host, result);
        let (severity, body) = PROBE_RESULTS
            .iter()
            .find(|(known, ..)| *known == result)
            .map_or((1, ""), |(_, severity, body)| (*severity, *body));
        self.replication.publish_report(now, Kind::Probe, host, severity, body);
    }

    /// Called when an execution on this host has ended. Publishes refusals, so that other instances need not
    /// lose a statement to notice them.
    pub fn execution_ended_on_host(&mut self, now: f64, host: &str, outcome: &Outcome) {
        if self.probe_sharing.is_none() {
            return;
        }
        if outcome.ending == Ending::Completed {
            self.warnings.answered(now, host);
        }
        match outcome.ending.outcome_class() {
            OutcomeClass::ConnectFailed | OutcomeClass::Reset | OutcomeClass::Full => {
                if self.refused.len() >= MAX_REMEMBERED {
                    self.refused.clear();
                }
                if self.refused.get(host).is_none_or(|published_at| now >= published_at + REFUSAL_INTERVAL_S)
                {
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

    /// Applies a peer's claim about a host.
    fn apply_claim(
        &mut self,
        now: f64,
        key: &sandstile_replicated_state::Key,
        claim: &Report,
        changes: &mut StateChanges,
    ) {
        let Some(probe_sharing) = &mut self.probe_sharing else { return };
        let Some(created_at) = self.replication.replica().get(key).map(|fact| fact.created_at) else {
            return;
        };
        match key.kind {
            Kind::Probe => {
                let Some((probe_result, ..)) =
                    PROBE_RESULTS.iter().find(|(_, _, body)| *body == &*claim.body)
                else {
                    return;
                };
                probe_sharing.record_peer_probe(
                    &key.owner,
                    claim.generation,
                    claim.version,
                    &key.subject,
                    created_at,
                    *probe_result,
                );
            }
            Kind::Refusal => {
                // A claim that asks for more caution is allowed in every membership view, even if this router
                // is alone.
                let allowed =
                    claim.severity > 0 && may_act(View::Alone, Topic::Refusal, Direction::MoreCareful, false);
                if allowed && self.warnings.accept(now, &key.owner, &key.subject) {
                    changes.host_warnings.push((key.subject.to_string(), now - created_at));
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, now: f64) {
        for (peer, message) in self.replication.take_outgoing(now) {
            if self.peers.get(&peer).is_some_and(|sender| !sender.send(PeerMessage::State(message))) {
                self.peers.remove(&peer);
                self.replication.peer_disconnected(now, &peer);
            }
        }
    }

    /// Sends replies to peers at once, and new facts with the next periodic run, so that facts are batched:
    /// each connection carries one message with new facts per run.
    pub fn process(&mut self, now: f64, check_due: bool, log: &Logger) -> StateChanges {
        if check_due {
            self.replication.tick(now);
        }
        self.send(now);
        let mut changes = StateChanges::default();
        for event in self.replication.take_events() {
            match event {
                ReplicationEvent::FactLearned(key, Value::SessionMarks(session_marks))
                    if key.kind == Kind::Mark =>
                {
                    changes.marks.extend(
                        u64::from_str_radix(&key.subject, 16).ok().map(|k| (SessionKey(k), session_marks)),
                    );
                }
                ReplicationEvent::FactLearned(key, Value::Report(claim)) => {
                    self.apply_claim(now, &key, &claim, &mut changes)
                }
                ReplicationEvent::FactLearned(..) => {}
                ReplicationEvent::SyncStateChanged(sync_state) => {
                    info!(log, "state: {}", sync_state_text(sync_state); "facts" => self.replication.replica().len())
                }
                ReplicationEvent::PeerCompared(peer) => {
                    changes.all_received |= self.complete_peers.remove(&peer)
                }
                ReplicationEvent::Contradiction(key) => {
                    self.contradictions += 1;
                    warn!(log, "state: contradiction: one member said two things under one number";
                        "kind" => key.kind.name(), "of" => &*key.subject, "by" => &*key.owner);
                }
                ReplicationEvent::OldCopy { found, met } => {
                    (self.old_copy, changes.old_copy) = (true, true);
                    warn!(log, "state: the copy from the disk was an old one"; "its life" => found,
                        "a later one" => met);
                }
                ReplicationEvent::DuplicateName(generation) => {
                    self.duplicate_names += 1;
                    if self.duplicate_names == 1 {
                        warn!(log, "state: a process with this router's name and a later life is running";
                            "life" => generation);
                    }
                }
            }
        }
        self.save_if_due(now, log);
        changes
    }

    fn save_if_due(&mut self, now: f64, log: &Logger) {
        while let Some(succeeded) = self.results.try_recv() {
            self.writing = false;
            if !succeeded && self.disk.take().is_some() {
                warn!(log, "state: kept in memory only from now on");
            }
        }
        let version = self.replication.replica().version();
        if self.writing
            || now < self.last_write_at + WRITE_INTERVAL_S
            || (version == self.saved_version && self.saved_version > 0)
        {
            return;
        }
        if let Some(disk) = &self.disk {
            // Cheap: the snapshot shares its facts with the replica.
            self.writing = disk.send(DiskTask::Put(now, self.replication.replica().snapshot()));
            (self.last_write_at, self.saved_version) = (now, version);
        }
    }

    /// Sends all facts to all peers, and writes the final state to the disk.
    pub fn shut_down(&mut self, now: f64, done: &MailboxSender<()>) {
        self.replication.tick(now);
        for (peer, sender) in std::mem::take(&mut self.peers) {
            let Some(last_messages) = self.replication.take_final_messages(now, &peer) else { continue };
            if last_messages.into_iter().all(|message| sender.send(PeerMessage::State(message))) {
                sender.send(PeerMessage::End(done.clone()));
            }
        }
        if let Some(disk) = self.disk.take() {
            disk.send(DiskTask::End(now, self.replication.replica().snapshot(), done.clone()));
        }
    }

    /// The report for operators, without the parts that need a pass over all facts.
    pub fn report(&self, now: f64) -> StateReport {
        let replica = self.replication.replica();
        let (counts, replica_counts) = (self.replication.counts(), replica.counts());
        let summary = json!({"standing": sync_state_text(self.replication.sync_state()), "facts": replica.len(),
            "digest": format!("{:016x}", replica.digest()),
            "linked": self.replication.connected_peers().collect::<Vec<_>>(), "number": replica.version(),
            "believed": format!("{:?}", self.trust).to_lowercase(), "old_copy": self.old_copy,
            "disk": self.disk.is_some(), "twins": self.duplicate_names, "contradictions": self.contradictions,
            "bytes_in": counts.bytes_in, "bytes_out": counts.bytes_out, "messages_in": counts.messages_in,
            "messages_out": counts.messages_out, "rounds": counts.rounds, "rounds_lost": counts.rounds_lost,
            "unreadable": counts.unreadable, "refused": counts.refused, "shed": counts.shed,
            "given_up": replica_counts.evicted, "forgotten": replica_counts.expired});
        StateReport { at: now, summary, facts: replica.snapshot() }
    }
}

/// The report as one JSON line, with counts by kind and the digest of the facts older than `at`.
fn summary_line(report: StateReport, at: f64) -> Vec<u8> {
    let StateReport { mut summary, facts, .. } = report;
    let mut kinds: BTreeMap<&str, u64> = BTreeMap::new();
    facts.iter().for_each(|(key, _)| *kinds.entry(key.kind.name()).or_default() += 1);
    summary["kinds"] = json!(kinds);
    summary["as_of"] = json!(at);
    summary["digest_as_of"] = json!(format!("{:016x}", facts.digest_as_of(at)));
    format!("{summary}\n").into_bytes()
}

/// All facts in the format of the state file, so that a router and a file can be compared.
fn all_facts(report: &StateReport) -> Vec<u8> {
    let mut out = stored::header(1);
    report.facts.iter().for_each(|(key, fact)| stored::write_fact(&mut out, 1, report.at, key, fact));
    stored::write_end(&mut out, 1, report.facts.version());
    out
}

fn sync_state_text(sync_state: SyncState) -> &'static str {
    match sync_state {
        SyncState::NotStarted => "new",
        SyncState::CatchingUp => "catching up",
        SyncState::InSync => "in step",
        SyncState::InSyncAsOf(_) => "in step as of before",
        SyncState::Isolated => "careful",
    }
}

/// The disk's thread: runs one task at a time, however slow the disk is.
fn run_disk(
    mut state_file: StateFile,
    tasks: &Mailbox<DiskTask>,
    results: &MailboxSender<bool>,
    log: &Logger,
) {
    loop {
        match tasks.recv(None) {
            Ok(DiskTask::Put(now, snapshot)) => {
                let put = state_file.put(now, &snapshot);
                results.send(put.is_ok());
                if let Err(e) = put {
                    warn!(log, "state: write to the disk failed, no more will follow: {e}");
                    return;
                }
            }
            Ok(DiskTask::End(now, snapshot, done)) => {
                if let Err(e) = state_file.end(now, &snapshot) {
                    warn!(log, "state: final write failed, not all of it is on the disk: {e}");
                }
                drop(done);
                return;
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Opens the control socket. A stale socket file of an earlier process is replaced; one with a listener is an
/// error.
fn open_socket(path: &Path) -> Result<UnixListener, String> {
    let with_path = |e: std::io::Error| format!("state: {}: {e}", path.display());
    if std::fs::symlink_metadata(path).is_ok() {
        if !is_abandoned(path) {
            return Err(format!("state: {}: another process may listen on this socket", path.display()));
        }
        std::fs::remove_file(path).map_err(with_path)?;
    }
    let listener = UnixListener::bind(path).map_err(with_path)?;
    std::fs::set_permissions(path, std::os::unix::fs::PermissionsExt::from_mode(0o600)).map_err(with_path)?;
    Ok(listener)
}

/// Serves requests one after the other. A request is one line: `summary SECONDS` or `facts`.
fn serve_requests(listener: &UnixListener, messages: &MailboxSender<SessionMessage>) {
    for stream in listener.incoming() {
        let Ok(mut stream) = stream else {
            std::thread::sleep(TICK_INTERVAL);
            continue;
        };
        let timeouts_set = stream
            .set_read_timeout(Some(CONTROL_TIMEOUT))
            .and(stream.set_write_timeout(Some(CONTROL_TIMEOUT)));
        let mut line = String::new();
        let read = BufReader::new((&stream).take(64)).read_line(&mut line);
        if timeouts_set.is_err() || read.is_err() {
            continue;
        }
        let at = line.strip_prefix("summary ").and_then(|at| at.trim().parse::<f64>().ok());
        if at.is_none_or(|at| !at.is_finite()) && line.trim() != "facts" {
            continue;
        }
        let (sender, receiver) = crate::mailbox::single_slot_mailbox();
        if !messages.send(SessionMessage::Report(sender)) {
            return;
        }
        // The pass over all facts happens on this thread, so that statements do not wait for it.
        if let Ok(report) = receiver.recv(Some(CONTROL_TIMEOUT)) {
            let bytes = match at {
                Some(at) => summary_line(report, at),
                None => all_facts(&report),
            };
            let _ = stream.write_all(&bytes);
        }
    }
}
