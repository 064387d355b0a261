//! What sessions have seen, beside the desk: marks are taken from answers and tokens, put down in a journal, and
//! say what an own read must reach. What is to be decided stands in `sandstile-sessions`; here it meets statements,
//! keys and the disk.
use crate::clock::Clock;
use crate::local_config::{Durability, Sessions as Plan};
use crate::mailbox::{mailbox, Mailbox, MailboxSender};
use crate::replicated_state::ReplicatedState;
use crate::session_messages::{SessionMessage, Telling};
use crate::statement::Workload;
use crossbeam_channel::RecvTimeoutError;
use sandstile_dispatcher::{Answer, DispatcherInput, Ending, FinalAnswer, Outcome, Source, StatementRequest};
use sandstile_exchange::Frame;
use sandstile_journal::pace::SyncSchedule;
use sandstile_journal::{Journal, JournalContents, JournalError};
use sandstile_policy::terms::ReadRequirement;
use sandstile_sessions::floor::{ReadContext, RequiredPosition};
use sandstile_sessions::mark::{Mark, SessionMarks, Term};
use sandstile_sessions::store::{SessionKey, Store, StoreLimits};
use sandstile_sessions::token::{KeyRing, Token};
use slog::{info, warn, Logger};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What one statement wants of all this.
struct Wish {
    key: SessionKey,
    /// Names of groups are few and shared by many.
    group: Arc<str>,
    writes: bool,
    /// For an own read: what it must reach.
    required_position: Option<RequiredPosition>,
}

impl Wish {
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
    /// Tokens that were not believed.
    pub refused: u64,
    /// Answers that told of less than was asked for, and were not passed on.
    pub unserved: u64,
}

pub struct Sessions {
    plan: Plan,
    store: Store,
    ring: KeyRing,
    /// Which workloads are own reads.
    own_reads: Vec<bool>,
    /// What the statements that are open want.
    wishes: BTreeMap<u64, Wish>,
    words: Mailbox<SessionMessage>,
    journal: Option<MailboxSender<Entry>>,
    outlets: Vec<MailboxSender<Telling>>,
    /// Instances that ended in order and told all they knew before: when, and the life that is to have it back.
    handed: BTreeMap<String, (f64, Option<String>)>,
    complete_since: f64,
    /// How far each group's log had come when its primary first answered this instance.
    startup_mark: BTreeMap<Arc<str>, Mark>,
    /// What is kept together with other instances, where our own file turns that on.
    kept: Option<Box<ReplicatedState>>,
    /// What others met, for the decisions.
    warned: Vec<DispatcherInput>,
    aged_at: f64,
    counts: Counts,
    told_at: f64,
    log: Logger,
}

/// Between looks for what is too old to be remembered.
const AGE: f64 = 5.0;
/// A restart takes no longer; after that nobody vouches for what an instance may have written in between.
const HANDED: f64 = 15.0;
/// Groups whose beginning is remembered.
const MOST_GROUPS: usize = 4096;
/// Between lines of log that count.
const TELL: f64 = 60.0;

impl Sessions {
    /// Takes up what a journal holds. The message is one line.
    pub fn begin(
        plan: Plan,
        workloads: &[Workload],
        words: Mailbox<SessionMessage>,
        answers: MailboxSender<FinalAnswer>,
        kept: Option<ReplicatedState>,
        clock: &Clock,
        log: &Logger,
    ) -> Result<Sessions, String> {
        let now = clock.now();
        let ring = plan.read_keys()?;
        let limits = StoreLimits { exact: plan.exact, cells: plan.cells, terms: 4 };
        let mut store = Store::new(limits);
        // One that begins knows of nothing that was written before.
        let mut complete_since = now;
        let mut journal = None;
        if let Some(path) = &plan.journal {
            let told = |e| format!("{}: {e}", path.display());
            let (opened, found) = open_journal(path, now - plan.horizon, log).map_err(told)?;
            found.marks.iter().for_each(|(key, seen)| store.merge(*key, seen));
            // Nothing can be missing: each write was on the disk before anybody was told of it, or the last writer
            // ended in order. A first journal knows of nothing before it.
            let promised = plan.durability == Durability::BeforeAnswer || found.closed_cleanly;
            if found.intact && promised && found.bytes > 0 {
                complete_since = f64::NEG_INFINITY;
            }
            info!(log, "sessions are taken up"; "marks" => found.marks.len(), "whole" => found.intact,
                "ended" => found.closed_cleanly, "spoilt" => found.damaged_records);
            let (post, entries) = mailbox();
            let (file, durability, log) = (path.clone(), plan.durability, log.clone());
            let scribe = Scribe { journal: opened, answers, path: file, durability, clock: *clock, log };
            thread::Builder::new()
                .name("journal".to_string())
                .spawn(move || scribe.run(&entries))
                .map_err(|e| format!("thread journal: {e}"))?;
            journal = Some(post);
        }
        if let Some(kept) = &kept {
            kept.marks().for_each(|(key, seen)| store.merge(key, &seen));
            if kept.found_all() {
                complete_since = f64::NEG_INFINITY;
            }
        }
        if !plan.stay {
            complete_since = f64::INFINITY;
        }
        let own_reads = workloads.iter().map(|w| w.sessions && !w.writes).collect();
        let (counts, log) = (Counts::default(), log.clone());
        Ok(Sessions {
            plan,
            store,
            ring,
            own_reads,
            wishes: BTreeMap::new(),
            words,
            journal,
            outlets: Vec::new(),
            handed: BTreeMap::new(),
            complete_since,
            startup_mark: BTreeMap::new(),
            kept: kept.map(Box::new),
            warned: Vec::new(),
            aged_at: now,
            counts,
            told_at: now,
            log,
        })
    }

    /// A statement came in; `term` is what its group's hosts have told, 0 where nothing.
    fn asked(&mut self, now: f64, asked: &StatementRequest, term: u64) -> Option<Wish> {
        let session = asked.session.as_deref()?;
        if now > self.aged_at + AGE {
            self.aged_at = now;
            self.store.remove_expired(now, self.plan.horizon);
        }
        if now > self.told_at + TELL {
            self.told_at = now;
            info!(self.log, "sessions: {:?}", self.counts; "remembered" => self.store.len(),
                "sketch_fill" => self.store.max_sketch_fill(), "pushed_out" => self.store.counts().pushed_out);
        }
        let key = SessionKey::of(&asked.group, session);
        let startup_mark = self.startup_mark.get_key_value(asked.group.as_str());
        let group = startup_mark.map_or_else(|| Arc::from(asked.group.as_str()), |(name, _)| name.clone());
        let startup_mark = startup_mark.map(|(_, mark)| *mark);
        let own = self.own_reads.get(asked.workload).copied().unwrap_or(false);
        let required_position = own.then(|| {
            let carried = asked.mark.as_deref().and_then(|text| {
                let checked = self.ring.check(text, key, now, self.plan.token_lasts, self.plan.skew);
                self.counts.refused += u64::from(checked.is_err());
                checked.ok().map(|token| token.mark)
            });
            let context = ReadContext {
                now,
                term: (term > 0).then_some(Term(term)),
                horizon: self.plan.horizon,
                skew: self.plan.skew,
                complete_since: self.complete_since,
                startup_mark,
            };
            let required_position = self.store.required_position(key, carried, &context);
            match required_position {
                RequiredPosition::Known(_) => self.counts.known += 1,
                RequiredPosition::Unknown(_) => self.counts.unknown += 1,
                RequiredPosition::Nothing => self.counts.nothing += 1,
            }
            required_position
        });
        let before = self.plan.unmarked_as_before && asked.mark.is_none();
        let required_position = required_position.filter(|required_position| {
            !(before && matches!(required_position, RequiredPosition::Unknown(_)))
        });
        Some(Wish { key, group, writes: asked.writes, required_position })
    }

    /// An answer by a host that turns out to hold less than the read must see is none: another host serves it. That
    /// is no fault of the host's, which may have been demoted on the way.
    fn verify(&mut self, wish: &Wish, outcome: &mut Outcome) {
        if outcome.ending != Ending::Completed || outcome.host_report.primary == Some(true) {
            return;
        }
        let holds = match wish.required_position {
            None | Some(RequiredPosition::Nothing) => true,
            Some(RequiredPosition::Unknown(_)) => false,
            // Where hosts tell no term, there is none to differ.
            Some(RequiredPosition::Known(position)) => {
                outcome.host_report.position.is_some_and(|at| at >= position)
            }
        };
        if !holds {
            self.counts.unserved += 1;
            outcome.ending = Ending::Missed;
        }
    }

    /// What an answer tells of its session's place: after a write its commit, after a read by the primary all that it
    /// can have written before.
    fn mark(wish: &Wish, outcome: &Outcome) -> Option<Mark> {
        let at_primary = wish.writes || outcome.host_report.primary == Some(true);
        let (term, position) = (outcome.term?, outcome.host_report.position?);
        at_primary.then_some(Mark { term: Term(term), position })
    }

    /// The first word of a group's primary in this life, or under a term of its own, says how far the log had come.
    fn led(&mut self, now: f64, wish: &Wish, outcome: &Outcome) {
        let Some(mark) = Self::mark(wish, outcome) else { return };
        if self.startup_mark.len() >= MOST_GROUPS && !self.startup_mark.contains_key(&wish.group) {
            // Its unknown sessions go to the primary a little longer.
            return;
        }
        if self.startup_mark.get(&wish.group).is_none_or(|b| b.term != mark.term) {
            self.startup_mark.insert(wish.group.clone(), mark);
        }
        if let Some(kept) = &mut self.kept {
            kept.led(now, &wish.group, mark);
        }
    }

    fn remember(&mut self, now: f64, wish: &Wish, outcome: &Outcome) -> Option<SessionMarks> {
        if !wish.writes {
            return None;
        }
        let seen = match Self::mark(wish, outcome) {
            Some(mark) => SessionMarks::of(mark),
            None => SessionMarks::Lost(now),
        };
        self.store.merge(wish.key, &seen);
        if let Some(kept) = &mut self.kept {
            kept.wrote(now, wish.key, &seen);
        }
        // One that does not take it in as fast as writes come is told all of it anew, later.
        self.outlets.retain(|outlet| outlet.send(Telling::SessionMarks(wish.key, seen.clone())));
        Some(seen)
    }

    /// What comes of a write that has completed goes on the disk. `answer` waits for that, where somebody is to have it.
    fn put_down(
        &mut self,
        key: SessionKey,
        seen: Option<SessionMarks>,
        answer: Option<FinalAnswer>,
    ) -> Option<FinalAnswer> {
        let (Some(journal), Some(seen)) = (&self.journal, seen) else { return answer };
        journal.send(Entry::SessionMarks { key, seen, then: answer });
        None
    }

    fn heard(&mut self, now: f64, word: SessionMessage) {
        match word {
            SessionMessage::Keys(ring) => self.ring = ring,
            SessionMessage::Tell(to, outlet) => {
                let covers_receiver = self.has_of(now, &to);
                if let Some(kept) = self.kept.as_mut().filter(|_| sandstile_exchange::replicates_state(&to)) {
                    kept.linked(now, to, outlet, covers_receiver);
                    return;
                }
                if outlet.send(Telling::Snapshot { exact: self.store.snapshot(), covers_receiver }) {
                    self.outlets.push(outlet);
                }
            }
            SessionMessage::Frame(from, heard) => self.learn(now, &from, heard),
            SessionMessage::Untold(to) => self.kept.iter_mut().for_each(|k| k.parted(now, &to)),
            SessionMessage::Written(to, bytes) => self.kept.iter_mut().for_each(|k| k.written(&to, bytes)),
            SessionMessage::Tick => self.keep(now, true),
            SessionMessage::Show(post) => {
                if let Some(kept) = &self.kept {
                    post.send(kept.show(now));
                }
            }
            SessionMessage::End(done) => {
                self.told_at = now;
                info!(self.log, "sessions: {:?}", self.counts; "remembered" => self.store.len());
                for outlet in self.outlets.drain(..) {
                    outlet.send(Telling::End(done.clone()));
                }
                if let Some(kept) = &mut self.kept {
                    kept.end(now, &done);
                }
                if let Some(journal) = &self.journal {
                    journal.send(Entry::End(done));
                }
            }
        }
    }

    /// Whether all that an instance knew before its present life is known here. Lives are told apart, for one in
    /// between, even one that nobody here has met, may have written more.
    fn has_of(&mut self, now: f64, whose: &str) -> bool {
        let (name, life) = whose.split_once('#').unwrap_or((whose, ""));
        let Some((at, heir)) = self.handed.get_mut(name) else { return false };
        let fits = now < *at + HANDED && heir.get_or_insert_with(|| life.to_string()) == life;
        if !fits {
            self.handed.remove(name);
        }
        fits
    }

    /// What follows from what was heard of the state that is kept together; `looks` where what is due is looked for as well.
    fn keep(&mut self, now: f64, looks: bool) {
        let Some(kept) = &mut self.kept else { return };
        let learnt = kept.turn(now, looks, &self.log);
        learnt.marks.iter().for_each(|(key, seen)| self.store.merge(*key, seen));
        self.warned.extend(
            learnt.warned.into_iter().map(|(host, age)| DispatcherInput::RefusedElsewhere(host, age)),
        );
        if learnt.old_copy && self.complete_since == f64::NEG_INFINITY {
            self.complete_since = now;
        } else if learnt.vouched && self.plan.stay {
            self.complete_since = f64::NEG_INFINITY;
        }
    }

    fn learn(&mut self, now: f64, from: &str, heard: Frame) {
        match heard {
            Frame::State(message) => {
                if let Some(kept) = &mut self.kept {
                    kept.heard(now, from, &message);
                    self.keep(now, false);
                }
            }
            Frame::SnapshotComplete { covers_receiver }
                if self.kept.is_some() && sandstile_exchange::replicates_state(from) =>
            {
                // Believed once all that it holds is held here.
                self.kept.iter_mut().filter(|_| covers_receiver).for_each(|k| k.vouches(from));
            }
            // A further life of it: what an earlier one handed over may not be all any more.
            Frame::Introduction(_) => drop(self.has_of(now, from)),
            Frame::Marks(marks) => marks.iter().for_each(|(key, seen)| self.store.merge(*key, seen)),
            Frame::SnapshotComplete { covers_receiver } => {
                info!(self.log, "sessions were told"; "by" => from, "all_of_ours" => covers_receiver,
                    "remembered" => self.store.len());
                if covers_receiver && self.plan.stay {
                    self.complete_since = f64::NEG_INFINITY;
                }
            }
            Frame::Goodbye => {
                info!(self.log, "an instance has handed its sessions over"; "instance" => from);
                let name = from.split_once('#').map_or(from, |(name, _)| name);
                self.handed.insert(name.to_string(), (now, None));
            }
        }
    }
}

impl Source for Sessions {
    fn pending(&self) -> bool {
        !self.words.is_empty()
    }

    fn take_inputs(&mut self, now: f64) -> Vec<DispatcherInput> {
        while let Some(word) = self.words.try_recv() {
            self.heard(now, word);
        }
        std::mem::take(&mut self.warned)
    }

    fn may_probe(&mut self, now: f64, host: &str) -> bool {
        self.kept.as_mut().is_none_or(|kept| kept.may_probe(now, host))
    }

    fn probe_ended(&mut self, now: f64, host: &str, outcome: &Outcome) {
        self.kept.iter_mut().for_each(|kept| kept.probed(now, host, outcome));
    }

    fn execution_ended_on_host(&mut self, now: f64, host: &str, outcome: &Outcome) {
        self.kept.iter_mut().for_each(|kept| kept.met(now, host, outcome));
    }

    fn read_requirement(&mut self, now: f64, asked: &StatementRequest, term: u64) -> Option<ReadRequirement> {
        let wish = self.asked(now, asked, term)?;
        let read_requirement = wish.read_requirement();
        self.wishes.insert(asked.statement_id, wish);
        read_requirement
    }

    fn execution_ended(&mut self, _: f64, statement_id: u64, outcome: &mut Outcome) {
        if let Some(wish) = self.wishes.remove(&statement_id) {
            self.verify(&wish, outcome);
            self.wishes.insert(statement_id, wish);
        }
    }

    /// The answer takes the session's mark along, once what durability asks for is done.
    fn completed(&mut self, now: f64, outcome: &Outcome, mut given: FinalAnswer) -> Option<FinalAnswer> {
        let Some(wish) = self.wishes.remove(&given.statement_id) else { return Some(given) };
        let seen = self.remember(now, &wish, outcome);
        if let Answer::Completed(_, token) = &mut given.answer {
            *token = Self::mark(&wish, outcome).and_then(|mark| {
                // All that is known of it, not the last alone: it may have come from elsewhere with more.
                let known = self.store.session_marks(wish.key);
                let same = known.marks().filter(|m| m.term == mark.term).map(|m| m.position);
                let position = same.fold(mark.position, f64::max);
                self.ring.issue(&Token { key: wish.key, mark: Mark { position, ..mark }, issued: now })
            });
        }
        self.led(now, &wish, outcome);
        let key = wish.key;
        self.wishes.insert(given.statement_id, wish);
        self.put_down(key, seen, Some(given))
    }

    /// A write completed whose client has left: nobody was told, and yet it may come again and ask.
    fn completed_without_client(&mut self, now: f64, statement_id: u64, outcome: &Outcome) {
        let Some(wish) = self.wishes.remove(&statement_id) else { return };
        let seen = self.remember(now, &wish, outcome);
        self.put_down(wish.key, seen, None);
        self.wishes.insert(statement_id, wish);
    }

    fn statement_closed(&mut self, statement_id: u64) {
        self.wishes.remove(&statement_id);
    }
}

/// Takes up the journal at `path`. A disk that takes no writes at this moment keeps no router from serving: what the
/// journal holds is taken up, and the file is made one that nobody takes for whole later, for it will lack this life's
/// writes.
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
    warn!(log, "sessions are kept without a journal: {error}");
    Ok((None, found))
}

enum Entry {
    SessionMarks { key: SessionKey, seen: SessionMarks, then: Option<FinalAnswer> },
    End(MailboxSender<()>),
}

/// The journal's actor: all that waits in its mailbox shares one sync.
struct Scribe {
    /// `None` once the disk has failed.
    journal: Option<Journal>,
    answers: MailboxSender<FinalAnswer>,
    path: PathBuf,
    durability: Durability,
    clock: Clock,
    log: Logger,
}

/// For so long it is tried to make a journal invalid, with pauses between.
const INVALIDATE_PATIENCE: Duration = Duration::from_millis(200);
const INVALIDATE_PAUSE: Duration = Duration::from_millis(10);
/// A journal that has grown beyond this is written anew, each session once.
const LONGEST: u64 = 64 << 20;

impl Scribe {
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
                    Entry::SessionMarks { key, seen, then } => {
                        self.tried(|journal| journal.append(key, &seen));
                        if let Some(pace) = &mut pace {
                            pace.record_write(self.clock.now());
                        }
                        answers.extend(then);
                    }
                    Entry::End(done) => {
                        self.tried(|journal| journal.end());
                        drop(done);
                        self.give(&mut answers);
                        return;
                    }
                }
                next = entries.try_recv();
            }
            match self.durability {
                Durability::BeforeAnswer => self.tried(Journal::sync),
                Durability::Every(_) if pace.as_mut().is_some_and(|p| p.due(self.clock.now())) => {
                    self.tried(Journal::sync);
                }
                _ => self.tried(Journal::flush),
            }
            self.give(&mut answers);
            if self.journal.as_ref().is_some_and(|j| j.bytes() > LONGEST) {
                self.renew();
            }
        }
    }

    fn give(&self, answers: &mut Vec<FinalAnswer>) {
        for given in answers.drain(..) {
            self.answers.send(given);
        }
    }

    /// A disk that fails takes the journal with it: one that lacks writes must not be found whole later.
    fn tried(&mut self, act: impl FnOnce(&mut Journal) -> std::io::Result<()>) {
        let Some(journal) = &mut self.journal else { return };
        if let Err(e) = act(journal) {
            warn!(self.log, "the journal of sessions is given up: {e}");
            self.journal = None;
            self.invalidate();
        }
    }

    /// Nobody is to find the file whole later. Answers wait for that, for as long as they may.
    fn invalidate(&self) {
        let give_up_at = Instant::now() + INVALIDATE_PATIENCE;
        while let Err(e) = sandstile_journal::invalidate(&self.path) {
            if Instant::now() >= give_up_at {
                warn!(self.log, "the journal of sessions could not be made invalid: {e}; remove it by hand";
                    "file" => %self.path.display());
                return;
            }
            thread::sleep(INVALIDATE_PAUSE);
        }
    }

    fn renew(&mut self) {
        self.tried(Journal::sync);
        let read = std::fs::read(&self.path).ok().and_then(|bytes| sandstile_journal::read(&bytes).ok());
        let Some(found) = read else { return };
        let mut merged = std::collections::BTreeMap::<SessionKey, SessionMarks>::new();
        found.marks.iter().for_each(|(key, seen)| merged.entry(*key).or_default().merge(seen));
        match Journal::replace(&self.path, merged.iter().map(|(key, seen)| (*key, seen))) {
            Ok(journal) => self.journal = Some(journal),
            Err(e) => warn!(self.log, "the journal of sessions goes on as it is: {e}"),
        }
    }
}
