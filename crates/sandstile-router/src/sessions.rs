//! Read-your-own-writes sessions of the dispatcher. Marks come from answers and tokens, are appended to a
//! journal, and give the position that a session's own read must reach. The rules are in
//! `sandstile-sessions`; this module connects them to statements, keys and the disk.
use crate::clock::Clock;
use crate::local_config::{Durability, SessionsConfig};
use crate::mailbox::{mailbox, Mailbox, MailboxSender};
use crate::replicated_state::ReplicatedState;
use crate::session_messages::{PeerMessage, SessionMessage};
use crate::statement::Workload;
use crossbeam_channel::RecvTimeoutError;
use sandstile_dispatcher::{Answer, DispatcherInput, Ending, FinalAnswer, Outcome, Source, StatementRequest};
use sandstile_exchange::Frame;
use sandstile_journal::sync_schedule::SyncSchedule;
use sandstile_journal::{Journal, JournalContents, JournalError};
use sandstile_policy::terms::ReadRequirement;
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::required_position::{ReadContext, RequiredPosition};
use sandstile_sessions::store::{SessionKey, Store, StoreLimits};
use sandstile_sessions::token::{KeyRing, Token};
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A statement that belongs to a session, from its arrival until it is over.
struct SessionStatement {
    key: SessionKey,
    /// Shared, because there are few group names and many statements.
    group: Arc<str>,
    writes: bool,
    /// For an own read, what its answer must include.
    required_position: Option<RequiredPosition>,
}

impl SessionStatement {
    fn read_requirement(&self) -> Option<ReadRequirement> {
        self.required_position.map(|required_position| match required_position {
            RequiredPosition::Known(position) => ReadRequirement::Position(position),
            RequiredPosition::Unknown(_) => ReadRequirement::Primary,
            RequiredPosition::Nothing => ReadRequirement::Position(0.0),
        })
    }
}

#[derive(Default, Debug)]
pub struct Counts {
    pub known: u64,
    pub unknown: u64,
    pub nothing: u64,
    /// Tokens that failed verification.
    pub refused: u64,
    /// Answers from hosts that were behind the required position; they were not passed on to the client.
    pub unserved: u64,
}

pub struct Sessions {
    config: SessionsConfig,
    store: Store,
    key_ring: KeyRing,
    /// Whether a workload consists of own reads, by its index.
    own_reads: Vec<bool>,
    /// Open statements by their id.
    statements: BTreeMap<u64, SessionStatement>,
    messages: Mailbox<SessionMessage>,
    journal: Option<MailboxSender<Entry>>,
    peers: Vec<MailboxSender<PeerMessage>>,
    /// Instances that sent all their marks here and then shut down in order: when that was, and the
    /// generation that gets the marks back once it has connected.
    handovers: BTreeMap<String, (f64, Option<String>)>,
    complete_since: f64,
    /// Each group's log position when its primary first answered this instance.
    startup_marks: BTreeMap<Arc<str>, Mark>,
    /// The state replicated between instances, if the local configuration file turns it on.
    replicated: Option<Box<ReplicatedState>>,
    /// Warnings of other instances about hosts, for the dispatcher.
    host_warnings: Vec<DispatcherInput>,
    last_expiry_at: f64,
    counts: Counts,
    last_logged_at: f64,
    log: Logger,
}

/// Seconds between removals of marks that are older than the maximum replica lag.
const EXPIRY_INTERVAL_S: f64 = 5.0;
/// Seconds for which a handover is valid. A restart takes no longer; afterwards the instance may have written
/// marks that nobody here knows of.
const HANDOVER_VALID_S: f64 = 15.0;
/// Limit on the groups whose startup mark is stored.
const MAX_GROUPS: usize = 4096;
/// Seconds between log lines with the counters.
const LOG_INTERVAL_S: f64 = 60.0;

impl Sessions {
    /// Loads the journal and starts its writer thread. The error message is one line.
    pub fn begin(
        config: SessionsConfig,
        workloads: &[Workload],
        messages: Mailbox<SessionMessage>,
        answers: MailboxSender<FinalAnswer>,
        replicated: Option<ReplicatedState>,
        clock: &Clock,
        log: &Logger,
    ) -> Result<Sessions, String> {
        let now = clock.now();
        let key_ring = config.read_keys()?;
        let limits =
            StoreLimits { exact_sessions: config.max_sessions, sketch_cells: config.sketch_cells, terms: 4 };
        let mut store = Store::new(limits);
        // Without a complete journal, writes before this start are unknown.
        let mut complete_since = now;
        let mut journal = None;
        if let Some(path) = &config.journal {
            let with_path = |e| format!("{}: {e}", path.display());
            let (opened, found) = open_journal(path, now - config.max_replica_lag, log).map_err(with_path)?;
            found.marks.iter().for_each(|(key, session_marks)| store.merge(*key, session_marks));
            // The journal is complete if each write was on the disk before its answer was sent, or if the
            // last writer shut down in order. A new, empty journal says nothing about earlier writes.
            let complete = config.durability == Durability::BeforeAnswer || found.closed_cleanly;
            if found.intact && complete && found.bytes > 0 {
                complete_since = f64::NEG_INFINITY;
            }
            info!(log, "sessions: journal loaded"; "marks" => found.marks.len(), "whole" => found.intact,
                "ended" => found.closed_cleanly, "spoilt" => found.damaged_records);
            let (sender, entries) = mailbox();
            let (file, durability, log) = (path.clone(), config.durability, log.clone());
            let writer =
                JournalWriter { journal: opened, answers, path: file, durability, clock: *clock, log };
            thread::Builder::new()
                .name("journal".to_string())
                .spawn(move || writer.run(&entries))
                .map_err(|e| format!("thread journal: {e}"))?;
            journal = Some(sender);
        }
        if let Some(replicated) = &replicated {
            replicated.marks().for_each(|(key, session_marks)| store.merge(key, &session_marks));
            if replicated.found_all() {
                complete_since = f64::NEG_INFINITY;
            }
        }
        if !config.sessions_stay {
            complete_since = f64::INFINITY;
        }
        let own_reads = workloads.iter().map(|w| w.sessions && !w.writes).collect();
        let (counts, log) = (Counts::default(), log.clone());
        Ok(Sessions {
            config,
            store,
            key_ring,
            own_reads,
            statements: BTreeMap::new(),
            messages,
            journal,
            peers: Vec::new(),
            handovers: BTreeMap::new(),
            complete_since,
            startup_marks: BTreeMap::new(),
            replicated: replicated.map(Box::new),
            host_warnings: Vec::new(),
            last_expiry_at: now,
            counts,
            last_logged_at: now,
            log,
        })
    }

    /// Works out what an arriving statement needs; `term` is the term that its group's hosts have reported,
    /// or 0 if none has.
    fn track_statement(
        &mut self,
        now: f64,
        request: &StatementRequest,
        term: u64,
    ) -> Option<SessionStatement> {
        let session = request.session.as_deref()?;
        if now > self.last_expiry_at + EXPIRY_INTERVAL_S {
            self.last_expiry_at = now;
            self.store.remove_expired(now, self.config.max_replica_lag);
        }
        if now > self.last_logged_at + LOG_INTERVAL_S {
            self.last_logged_at = now;
            info!(self.log, "sessions: {:?}", self.counts; "remembered" => self.store.len(),
                "sketch_fill" => self.store.max_sketch_fill(),
                "pushed_out" => self.store.counts().pushed_out);
        }
        let key = SessionKey::of(&request.group, session);
        let startup_mark = self.startup_marks.get_key_value(request.group.as_str());
        let group = startup_mark.map_or_else(|| Arc::from(request.group.as_str()), |(name, _)| name.clone());
        let startup_mark = startup_mark.map(|(_, mark)| *mark);
        let is_own_read = self.own_reads.get(request.workload).copied().unwrap_or(false);
        let required_position = is_own_read.then(|| {
            let token_mark = request.mark.as_deref().and_then(|text| {
                let checked = self.key_ring.check(
                    text,
                    key,
                    now,
                    self.config.token_lifetime,
                    self.config.max_clock_skew,
                );
                self.counts.refused += u64::from(checked.is_err());
                checked.ok().map(|token| token.mark)
            });
            let context = ReadContext {
                now,
                term: (term > 0).then_some(Term(term)),
                max_replica_lag: self.config.max_replica_lag,
                max_clock_skew: self.config.max_clock_skew,
                complete_since: self.complete_since,
                startup_mark,
            };
            let required_position = self.store.required_position(key, token_mark, &context);
            match required_position {
                RequiredPosition::Known(_) => self.counts.known += 1,
                RequiredPosition::Unknown(_) => self.counts.unknown += 1,
                RequiredPosition::Nothing => self.counts.nothing += 1,
            }
            required_position
        });
        let lenient = self.config.allow_unmarked && request.mark.is_none();
        let required_position = required_position.filter(|required_position| {
            !(lenient && matches!(required_position, RequiredPosition::Unknown(_)))
        });
        Some(SessionStatement { key, group, writes: request.writes, required_position })
    }

    /// Rejects an answer from a host that is behind what the read must see, so that another host serves it.
    /// This is not counted as the host's failure, because it may have been demoted while the statement ran.
    fn verify(&mut self, statement: &SessionStatement, outcome: &mut Outcome) {
        if outcome.ending != Ending::Completed || outcome.host_report.primary == Some(true) {
            return;
        }
        let up_to_date = match statement.required_position {
            None | Some(RequiredPosition::Nothing) => true,
            Some(RequiredPosition::Unknown(_)) => false,
            // Only positions are compared: hosts that report no term have none to compare.
            Some(RequiredPosition::Known(position)) => {
                outcome.host_report.position.is_some_and(|at| at >= position)
            }
        };
        if !up_to_date {
            self.counts.unserved += 1;
            outcome.ending = Ending::Missed;
        }
    }

    /// The session's mark after an answer: the commit position after a write; after a read on the primary,
    /// the primary's position, which covers every earlier write of the session.
    fn session_mark(statement: &SessionStatement, outcome: &Outcome) -> Option<Mark> {
        let at_primary = statement.writes || outcome.host_report.primary == Some(true);
        let (term, position) = (outcome.term?, outcome.host_report.position?);
        at_primary.then_some(Mark { term: Term(term), position })
    }

    /// Records the log position in the first answer of a group's primary, or in its first answer under a new
    /// term.
    fn record_primary_position(&mut self, now: f64, statement: &SessionStatement, outcome: &Outcome) {
        let Some(mark) = Self::session_mark(statement, outcome) else { return };
        if self.startup_marks.len() >= MAX_GROUPS && !self.startup_marks.contains_key(&statement.group) {
            // Without a startup mark, unknown sessions of this group only go to the primary for longer.
            return;
        }
        if self.startup_marks.get(&statement.group).is_none_or(|b| b.term != mark.term) {
            self.startup_marks.insert(statement.group.clone(), mark);
        }
        if let Some(replicated) = &mut self.replicated {
            replicated.record_primary_position(now, &statement.group, mark);
        }
    }

    fn record_write(
        &mut self,
        now: f64,
        statement: &SessionStatement,
        outcome: &Outcome,
    ) -> Option<SessionMarks> {
        if !statement.writes {
            return None;
        }
        let session_marks = match Self::session_mark(statement, outcome) {
            Some(mark) => SessionMarks::of(mark),
            None => SessionMarks::Lost(now),
        };
        self.store.merge(statement.key, &session_marks);
        if let Some(replicated) = &mut self.replicated {
            replicated.record_write(now, statement.key, &session_marks);
        }
        // A peer whose queue is full is dropped; it gets a new snapshot when it is connected again.
        self.peers.retain(|peer| peer.send(PeerMessage::SessionMarks(statement.key, session_marks.clone())));
        Some(session_marks)
    }

    /// Queues a completed write for the journal. The journal's thread sends `answer`, if there is one, once
    /// the write is as durable as configured; otherwise the answer is returned.
    fn append_to_journal(
        &mut self,
        key: SessionKey,
        session_marks: Option<SessionMarks>,
        answer: Option<FinalAnswer>,
    ) -> Option<FinalAnswer> {
        let (Some(journal), Some(session_marks)) = (&self.journal, session_marks) else { return answer };
        journal.send(Entry::SessionMarks { key, session_marks, pending_answer: answer });
        None
    }

    fn handle_message(&mut self, now: f64, message: SessionMessage) {
        match message {
            SessionMessage::Keys(key_ring) => self.key_ring = key_ring,
            SessionMessage::PeerConnected(peer_name, peer) => {
                let covers_receiver = self.holds_all_of(now, &peer_name);
                if let Some(replicated) =
                    self.replicated.as_mut().filter(|_| sandstile_exchange::replicates_state(&peer_name))
                {
                    replicated.peer_connected(now, peer_name, peer, covers_receiver);
                    return;
                }
                if peer.send(PeerMessage::Snapshot { exact: self.store.snapshot(), covers_receiver }) {
                    self.peers.push(peer);
                }
            }
            SessionMessage::FromPeer(from, frame) => self.apply_peer_message(now, &from, frame),
            SessionMessage::PeerDisconnected(peer_name) => self
                .replicated
                .iter_mut()
                .for_each(|replicated| replicated.peer_disconnected(now, &peer_name)),
            SessionMessage::StateBytesWritten(peer_name, bytes) => self
                .replicated
                .iter_mut()
                .for_each(|replicated| replicated.record_bytes_written(&peer_name, bytes)),
            SessionMessage::Tick => self.update_replicated_state(now, true),
            SessionMessage::Report(sender) => {
                if let Some(replicated) = &self.replicated {
                    sender.send(replicated.report(now));
                }
            }
            SessionMessage::End(done) => {
                self.last_logged_at = now;
                info!(self.log, "sessions: {:?}", self.counts; "remembered" => self.store.len());
                for peer in self.peers.drain(..) {
                    peer.send(PeerMessage::End(done.clone()));
                }
                if let Some(replicated) = &mut self.replicated {
                    replicated.shut_down(now, &done);
                }
                if let Some(journal) = &self.journal {
                    journal.send(Entry::End(done));
                }
            }
        }
    }

    /// Whether this instance has all marks that the peer had before its present generation. Only one
    /// generation may claim a handover: one in between, even if it never connected here, may have written
    /// more.
    fn holds_all_of(&mut self, now: f64, peer_id: &str) -> bool {
        let (name, generation) = peer_id.split_once('#').unwrap_or((peer_id, ""));
        let Some((at, claimed_by)) = self.handovers.get_mut(name) else { return false };
        let valid = now < *at + HANDOVER_VALID_S
            && claimed_by.get_or_insert_with(|| generation.to_string()) == generation;
        if !valid {
            self.handovers.remove(name);
        }
        valid
    }

    /// Applies what the replicated state has learnt from peers; `check_due` also runs its periodic work.
    fn update_replicated_state(&mut self, now: f64, check_due: bool) {
        let Some(replicated) = &mut self.replicated else { return };
        let changes = replicated.process(now, check_due, &self.log);
        changes.marks.iter().for_each(|(key, session_marks)| self.store.merge(*key, session_marks));
        self.host_warnings.extend(
            changes.host_warnings.into_iter().map(|(host, age)| DispatcherInput::RefusedElsewhere(host, age)),
        );
        if changes.old_copy && self.complete_since == f64::NEG_INFINITY {
            self.complete_since = now;
        } else if changes.all_received && self.config.sessions_stay {
            self.complete_since = f64::NEG_INFINITY;
        }
    }

    fn apply_peer_message(&mut self, now: f64, from: &str, frame: Frame) {
        match frame {
            Frame::State(message) => {
                if let Some(replicated) = &mut self.replicated {
                    replicated.receive(now, from, &message);
                    self.update_replicated_state(now, false);
                }
            }
            Frame::SnapshotComplete { covers_receiver }
                if self.replicated.is_some() && sandstile_exchange::replicates_state(from) =>
            {
                // Trusted only once all of the peer's facts have been received.
                self.replicated
                    .iter_mut()
                    .filter(|_| covers_receiver)
                    .for_each(|replicated| replicated.expect_all_from(from));
            }
            // A new generation of the peer ends the handover of an earlier one, which may be incomplete by
            // now.
            Frame::Introduction(_) => drop(self.holds_all_of(now, from)),
            Frame::Marks(marks) => {
                marks.iter().for_each(|(key, session_marks)| self.store.merge(*key, session_marks))
            }
            Frame::SnapshotComplete { covers_receiver } => {
                info!(self.log, "sessions: all marks received"; "by" => from, "all_of_ours" => covers_receiver,
                    "remembered" => self.store.len());
                if covers_receiver && self.config.sessions_stay {
                    self.complete_since = f64::NEG_INFINITY;
                }
            }
            Frame::Goodbye => {
                info!(self.log, "sessions: an instance has handed over its marks"; "instance" => from);
                let name = from.split_once('#').map_or(from, |(name, _)| name);
                self.handovers.insert(name.to_string(), (now, None));
            }
        }
    }
}

impl Source for Sessions {
    fn pending(&self) -> bool {
        !self.messages.is_empty()
    }

    fn take_inputs(&mut self, now: f64) -> Vec<DispatcherInput> {
        while let Some(message) = self.messages.try_recv() {
            self.handle_message(now, message);
        }
        std::mem::take(&mut self.host_warnings)
    }

    fn may_probe(&mut self, now: f64, host: &str) -> bool {
        self.replicated.as_mut().is_none_or(|replicated| replicated.may_probe(now, host))
    }

    fn probe_ended(&mut self, now: f64, host: &str, outcome: &Outcome) {
        self.replicated.iter_mut().for_each(|replicated| replicated.probe_ended(now, host, outcome));
    }

    fn execution_ended_on_host(&mut self, now: f64, host: &str, outcome: &Outcome) {
        self.replicated
            .iter_mut()
            .for_each(|replicated| replicated.execution_ended_on_host(now, host, outcome));
    }

    fn read_requirement(
        &mut self,
        now: f64,
        request: &StatementRequest,
        term: u64,
    ) -> Option<ReadRequirement> {
        let statement = self.track_statement(now, request, term)?;
        let read_requirement = statement.read_requirement();
        self.statements.insert(request.statement_id, statement);
        read_requirement
    }

    fn execution_ended(&mut self, _: f64, statement_id: u64, outcome: &mut Outcome) {
        if let Some(statement) = self.statements.remove(&statement_id) {
            self.verify(&statement, outcome);
            self.statements.insert(statement_id, statement);
        }
    }

    /// Adds the session's new token to the answer, and holds the answer back until the write is as durable as
    /// configured.
    fn completed(
        &mut self,
        now: f64,
        outcome: &Outcome,
        mut final_answer: FinalAnswer,
    ) -> Option<FinalAnswer> {
        let Some(statement) = self.statements.remove(&final_answer.statement_id) else {
            return Some(final_answer);
        };
        let session_marks = self.record_write(now, &statement, outcome);
        if let Answer::Completed(_, token) = &mut final_answer.answer {
            *token = Self::session_mark(&statement, outcome).and_then(|mark| {
                // Covers all known writes of the session, not only this one: other routers may have served
                // later ones.
                let known = self.store.session_marks(statement.key);
                let positions = known.marks().filter(|m| m.term == mark.term).map(|m| m.position);
                let position = positions.fold(mark.position, f64::max);
                self.key_ring.issue(&Token {
                    key: statement.key,
                    mark: Mark { position, ..mark },
                    issued: now,
                })
            });
        }
        self.record_primary_position(now, &statement, outcome);
        let key = statement.key;
        self.statements.insert(final_answer.statement_id, statement);
        self.append_to_journal(key, session_marks, Some(final_answer))
    }

    /// Records a completed write whose client has disconnected, because the session may return and read.
    fn completed_without_client(&mut self, now: f64, statement_id: u64, outcome: &Outcome) {
        let Some(statement) = self.statements.remove(&statement_id) else { return };
        let session_marks = self.record_write(now, &statement, outcome);
        self.append_to_journal(statement.key, session_marks, None);
        self.statements.insert(statement_id, statement);
    }

    fn statement_closed(&mut self, statement_id: u64) {
        self.statements.remove(&statement_id);
    }
}

/// Opens the journal at `path`. A disk that accepts no writes at the moment must not keep the router from
/// serving: the journal's marks are loaded, and the file is invalidated, so that no later start takes it for
/// complete although it lacks the writes of this generation.
fn open_journal(
    path: &Path,
    since: f64,
    log: &Logger,
) -> Result<(Option<Journal>, JournalContents), JournalError> {
    let error = match Journal::open(path, since) {
        Ok((journal, found)) => return Ok((Some(journal), found)),
        Err(JournalError::Io(error)) => error,
        Err(wrong) => return Err(wrong),
    };
    let found = match std::fs::read(path) {
        Ok(bytes) => sandstile_journal::read(&bytes)?,
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => JournalContents::default(),
        Err(e) => return Err(e.into()),
    };
    sandstile_journal::invalidate(path)?;
    warn!(log, "sessions: running without a journal: {error}");
    Ok((None, found))
}

enum Entry {
    SessionMarks { key: SessionKey, session_marks: SessionMarks, pending_answer: Option<FinalAnswer> },
    End(MailboxSender<()>),
}

/// Writes the journal on its own thread, with group commit: all entries that wait in the mailbox share one
/// sync.
struct JournalWriter {
    /// `None` after a failure of the disk.
    journal: Option<Journal>,
    answers: MailboxSender<FinalAnswer>,
    path: PathBuf,
    durability: Durability,
    clock: Clock,
    log: Logger,
}

/// How long an invalidation of the journal is retried, and the pause between attempts.
const INVALIDATE_TIMEOUT: Duration = Duration::from_millis(200);
const INVALIDATE_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// A journal larger than this, in bytes, is compacted to one record per session.
const MAX_JOURNAL_BYTES: u64 = 64 << 20;

impl JournalWriter {
    fn run(mut self, entries: &Mailbox<Entry>) {
        let mut pace = match self.durability {
            Durability::Every(s) => Some(SyncSchedule::new(s)),
            _ => None,
        };
        loop {
            let wait = pace.as_ref().and_then(|p| p.wait(self.clock.now()));
            let first = match entries.recv(wait.map(Duration::from_secs_f64)) {
                Ok(entry) => Some(entry),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut answers = Vec::new();
            let mut next = first;
            while let Some(entry) = next {
                match entry {
                    Entry::SessionMarks { key, session_marks, pending_answer } => {
                        self.try_journal(|journal| journal.append(key, &session_marks));
                        if let Some(pace) = &mut pace {
                            pace.record_write(self.clock.now());
                        }
                        answers.extend(pending_answer);
                    }
                    Entry::End(done) => {
                        self.try_journal(|journal| journal.end());
                        drop(done);
                        self.send_answers(&mut answers);
                        return;
                    }
                }
                next = entries.try_recv();
            }
            match self.durability {
                Durability::BeforeAnswer => self.try_journal(Journal::sync),
                Durability::Every(_) if pace.as_mut().is_some_and(|p| p.due(self.clock.now())) => {
                    self.try_journal(Journal::sync);
                }
                _ => self.try_journal(Journal::flush),
            }
            self.send_answers(&mut answers);
            if self.journal.as_ref().is_some_and(|j| j.bytes() > MAX_JOURNAL_BYTES) {
                self.compact();
            }
        }
    }

    fn send_answers(&self, answers: &mut Vec<FinalAnswer>) {
        for final_answer in answers.drain(..) {
            self.answers.send(final_answer);
        }
    }

    /// Runs an operation on the journal. After an error the journal is abandoned and invalidated: it lacks
    /// writes, and a later start must not take it for complete.
    fn try_journal(&mut self, operation: impl FnOnce(&mut Journal) -> std::io::Result<()>) {
        let Some(journal) = &mut self.journal else { return };
        if let Err(e) = operation(journal) {
            warn!(self.log, "journal of sessions abandoned after a disk error: {e}");
            self.journal = None;
            self.invalidate();
        }
    }

    /// Marks the file as incomplete. Answers wait for this, up to the timeout.
    fn invalidate(&self) {
        let give_up_at = Instant::now() + INVALIDATE_TIMEOUT;
        while let Err(e) = sandstile_journal::invalidate(&self.path) {
            if Instant::now() >= give_up_at {
                warn!(self.log, "journal of sessions could not be invalidated: {e}; remove the file by hand";
                    "file" => %self.path.display());
                return;
            }
            thread::sleep(INVALIDATE_RETRY_INTERVAL);
        }
    }

    fn compact(&mut self) {
        self.try_journal(Journal::sync);
        let read = std::fs::read(&self.path).ok().and_then(|bytes| sandstile_journal::read(&bytes).ok());
        let Some(found) = read else { return };
        let mut merged = std::collections::BTreeMap::<SessionKey, SessionMarks>::new();
        found
            .marks
            .iter()
            .for_each(|(key, session_marks)| merged.entry(*key).or_default().merge(session_marks));
        match Journal::replace(&self.path, merged.iter().map(|(key, session_marks)| (*key, session_marks))) {
            Ok(journal) => self.journal = Some(journal),
            Err(e) => warn!(self.log, "journal of sessions could not be compacted and is used as it is: {e}"),
        }
    }
}
