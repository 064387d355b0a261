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
use sandstile_durable_state::{Folder, Opened, Shelf};
use sandstile_membership_view::{may, About, View, Way};
use sandstile_policy::terms::OutcomeClass;
use sandstile_probe_sharing::{Duties, Told, Warnings};
use sandstile_replicated_state::catchup::{believe, Belief, Standing};
use sandstile_replicated_state::fact::Said;
use sandstile_replicated_state::{stored, Fact, Kind, Snapshot, Value};
use sandstile_replication::{Keeper, News};
use sandstile_sessions::mark::{Mark, Seen};
use sandstile_sessions::store::Key;
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
    pub marks: Vec<(Key, Seen)>,
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
    keeper: Keeper,
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
    duties: Option<Duties>,
    /// Hosts that refused this router: when it said so last.
    refused: BTreeMap<String, f64>,
    /// Whose word on hosts that refuse is heeded.
    warnings: Warnings,
    believed: Belief,
    old_copy: bool,
    twins: u64,
    contradictions: u64,
}

/// What a probe told, how careful that makes, and its word among facts.
const TOLD: [(Told, u8, &str); 3] =
    [(Told::Silent, 1, "silent"), (Told::Answers, 0, "answers"), (Told::Primary, 0, "primary")];

/// A peer's name without its life.
fn bare(peer: &str) -> &str {
    peer.split_once('#').map_or(peer, |(name, _)| name)
}

fn subject(key: Key) -> String {
    format!("{:016x}", key.0)
}

fn mark((key, fact): (&sandstile_replicated_state::Key, &Fact)) -> Option<(Key, Seen)> {
    match (key.kind, &fact.value) {
        (Kind::Mark, Value::Seen(seen)) => {
            Some((Key(u64::from_str_radix(&key.subject, 16).ok()?), seen.clone()))
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
        let (mut disk, mut believed, mut stored_life, mut facts) = (None, Belief::None, None, Vec::new());
        let (idle, done) = mailbox();
        if let Some(dir) = &plan.dir {
            let folder = Folder::open(dir, plan.witness.as_deref())?;
            let Opened { found, stored, witness, shelf } =
                sandstile_durable_state::open(Box::new(folder), terms.generation);
            believed = believe(stored, witness);
            info!(log, "state is taken up"; "facts" => found.facts.len(), "spoilt" => found.spoilt,
                "ended" => found.ended, "believed" => ?believed, "witness" => ?witness.file);
            (stored_life, facts) = (found.life, found.facts);
            match shelf {
                Ok(shelf) => {
                    let (post, chores) = mailbox();
                    let own = log.clone();
                    threads::spawn_joinable("state", threads::STACK, move || {
                        keep(shelf, &chores, &idle, &own)
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
        let keeper = Keeper::new(
            sandstile_replication::Terms {
                name: terms.name.to_string(),
                life: terms.generation,
                horizon: terms.horizon,
                seed: terms.seed ^ terms.generation,
                stored: facts,
                believed,
                stored_life,
            },
            now,
        );
        Ok(ReplicatedState {
            keeper,
            outlets: BTreeMap::new(),
            vouchers: BTreeSet::new(),
            disk,
            idle: done,
            busy: false,
            wrote_at: now,
            put: 0,
            led: BTreeMap::new(),
            duties: plan.together.then(|| Duties::new(terms.name, sandstile_probe_sharing::Terms::default())),
            refused: BTreeMap::new(),
            warnings: Warnings::default(),
            believed,
            old_copy: false,
            twins: 0,
            contradictions: 0,
        })
    }

    /// Marks that were found on the disk.
    pub fn marks(&self) -> impl Iterator<Item = (Key, Seen)> + '_ {
        self.keeper.replica().iter().filter_map(mark)
    }

    /// Whether what was found is all that the former life knew.
    pub fn found_all(&self) -> bool {
        self.believed == Belief::All
    }

    pub fn wrote(&mut self, now: f64, key: Key, seen: &Seen) {
        self.keeper.learn(now, Kind::Mark, &subject(key), Value::Seen(seen.clone()));
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
            self.keeper.say(now, Kind::Leads, group, 0, &format!("{term:016x}"));
        }
        self.keeper.learn(now, Kind::Floor, &format!("{term:016x}/{group}"), Value::Most(mark.position));
    }

    /// This one hears us from now on; `of_yours` says that it ended in order and left us all that it knew.
    pub fn linked(&mut self, now: f64, peer: String, outlet: MailboxSender<Telling>, of_yours: bool) {
        if outlet.send(Telling::Whole { of_yours }) {
            self.keeper.linked_with(now, &peer);
            self.outlets.insert(peer, outlet);
        }
    }

    pub fn parted(&mut self, now: f64, peer: &str) {
        if self.outlets.remove(peer).is_some() {
            self.keeper.parted_from(now, peer);
        }
    }

    pub fn written(&mut self, peer: &str, bytes: usize) {
        self.keeper.written(peer, bytes);
    }

    pub fn heard(&mut self, now: f64, from: &str, message: &[u8]) {
        self.keeper.heard(now, from, message);
    }

    pub fn vouches(&mut self, peer: &str) {
        // Few were told by our former life.
        if self.vouchers.len() < 64 {
            self.vouchers.insert(peer.to_string());
        }
    }

    /// Whether this router is to probe a host whose group lacks a primary.
    pub fn may_probe(&mut self, now: f64, host: &str) -> bool {
        let Some(duties) = &mut self.duties else { return true };
        let there = self.keeper.linked().map(|peer| bare(peer).to_string()).collect();
        duties.there(now, &there);
        duties.probes(now, host)
    }

    pub fn probed(&mut self, now: f64, host: &str, outcome: &Outcome) {
        let Some(duties) = &mut self.duties else { return };
        let told = match (outcome.ending == Ending::Completed, outcome.host_report.primary) {
            (false, _) => Told::Silent,
            (true, Some(true)) => Told::Primary,
            (true, _) => Told::Answers,
        };
        duties.probed(now, host, told);
        let (careful, body) = TOLD.iter().find(|(t, ..)| *t == told).map_or((1, ""), |(_, c, b)| (*c, *b));
        self.keeper.say(now, Kind::Probed, host, careful, body);
    }

    /// An execution at this host has ended: what others would lose a statement to learn is told to them.
    pub fn met(&mut self, now: f64, host: &str, outcome: &Outcome) {
        if self.duties.is_none() {
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
                    self.keeper.say(now, Kind::Refuses, host, 1, "");
                }
            }
            OutcomeClass::Completed if self.refused.remove(host).is_some() => {
                self.keeper.say(now, Kind::Refuses, host, 0, "");
            }
            _ => {}
        }
    }

    /// Another's word on a host.
    fn told(&mut self, now: f64, key: &sandstile_replicated_state::Key, said: &Said, learnt: &mut Learnt) {
        let Some(duties) = &mut self.duties else { return };
        let Some(born) = self.keeper.replica().get(key).map(|fact| fact.born) else { return };
        match key.kind {
            Kind::Probed => {
                let Some((told, ..)) = TOLD.iter().find(|(_, _, body)| *body == &*said.body) else { return };
                duties.heard(&key.owner, said.life, said.number, &key.subject, born, *told);
            }
            Kind::Refuses => {
                // More care is allowed in every view, alone as well.
                let may = said.careful > 0 && may(View::Alone, About::Refusal, Way::MoreCareful, false);
                if may && self.warnings.heed(now, &key.owner, &key.subject) {
                    learnt.warned.push((key.subject.to_string(), now - born));
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, now: f64) {
        for (peer, message) in self.keeper.take_out(now) {
            if self.outlets.get(&peer).is_some_and(|o| !o.send(Telling::State(message))) {
                self.outlets.remove(&peer);
                self.keeper.parted_from(now, &peer);
            }
        }
    }

    /// Answers go out at once, news with the next look: so many facts share a message, and a message a look is all that a link carries
    /// of them.
    pub fn turn(&mut self, now: f64, looks: bool, log: &Logger) -> Learnt {
        if looks {
            self.keeper.look(now);
        }
        self.send(now);
        let mut learnt = Learnt::default();
        for news in self.keeper.take_news() {
            match news {
                News::Learnt(key, Value::Seen(seen)) if key.kind == Kind::Mark => {
                    learnt.marks.extend(u64::from_str_radix(&key.subject, 16).ok().map(|k| (Key(k), seen)));
                }
                News::Learnt(key, Value::Said(said)) => self.told(now, &key, &said, &mut learnt),
                News::Learnt(..) => {}
                News::Standing(standing) => {
                    info!(log, "state: {}", word(standing); "facts" => self.keeper.replica().len())
                }
                News::Has(peer) => learnt.vouched |= self.vouchers.remove(&peer),
                News::Contradicts(key) => {
                    self.contradictions += 1;
                    warn!(log, "state: one under one number said two things"; "kind" => key.kind.word(),
                        "of" => &*key.subject, "by" => &*key.owner);
                }
                News::OldCopy { found, met } => {
                    (self.old_copy, learnt.old_copy) = (true, true);
                    warn!(log, "state: the copy on the disk was an old one"; "its life" => found, "a later one" => met);
                }
                News::Twin(life) => {
                    self.twins += 1;
                    if self.twins == 1 {
                        warn!(log, "state: a later life of this name is about"; "life" => life);
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
        let number = self.keeper.replica().number();
        if self.busy || now < self.wrote_at + WRITES || (number == self.put && self.put > 0) {
            return;
        }
        if let Some(disk) = &self.disk {
            // A copy shares its facts with ours.
            self.busy = disk.send(Chore::Put(now, self.keeper.replica().snapshot()));
            (self.wrote_at, self.put) = (now, number);
        }
    }

    /// All is told to all, and put down as that.
    pub fn end(&mut self, now: f64, done: &MailboxSender<()>) {
        self.keeper.look(now);
        for (peer, outlet) in std::mem::take(&mut self.outlets) {
            let Some(words) = self.keeper.last_words(now, &peer) else { continue };
            if words.into_iter().all(|w| outlet.send(Telling::State(w))) {
                outlet.send(Telling::End(done.clone()));
            }
        }
        if let Some(disk) = self.disk.take() {
            disk.send(Chore::End(now, self.keeper.replica().snapshot(), done.clone()));
        }
    }

    /// What an operator is told, but for what takes a look at every fact.
    pub fn show(&self, now: f64) -> Shown {
        let replica = self.keeper.replica();
        let (c, r) = (self.keeper.counts(), replica.counts());
        let about = json!({"standing": word(self.keeper.standing()), "facts": replica.len(),
            "digest": format!("{:016x}", replica.digest()),
            "linked": self.keeper.linked().collect::<Vec<_>>(), "number": replica.number(),
            "believed": format!("{:?}", self.believed).to_lowercase(), "old_copy": self.old_copy,
            "disk": self.disk.is_some(), "twins": self.twins, "contradictions": self.contradictions,
            "bytes_in": c.bytes_in, "bytes_out": c.bytes_out, "messages_in": c.messages_in,
            "messages_out": c.messages_out, "rounds": c.rounds, "rounds_lost": c.rounds_lost,
            "unreadable": c.unreadable, "refused": c.refused, "shed": c.shed,
            "given_up": r.given_up, "forgotten": r.forgotten});
        Shown { at: now, about, held: replica.snapshot() }
    }
}

/// How it stands, with the sum of what is older than this.
fn summary(shown: Shown, at: f64) -> Vec<u8> {
    let Shown { mut about, held, .. } = shown;
    let mut kinds: BTreeMap<&str, u64> = BTreeMap::new();
    held.iter().for_each(|(key, _)| *kinds.entry(key.kind.word()).or_default() += 1);
    about["kinds"] = json!(kinds);
    about["as_of"] = json!(at);
    about["digest_as_of"] = json!(format!("{:016x}", held.digest_as_of(at)));
    format!("{about}\n").into_bytes()
}

/// All facts in the form of a file, so that a router and a file compare alike.
fn facts(shown: &Shown) -> Vec<u8> {
    let mut out = stored::head(1);
    shown.held.iter().for_each(|(key, fact)| stored::put(&mut out, 1, shown.at, key, fact));
    stored::ended(&mut out, 1, shown.held.number());
    out
}

fn word(standing: Standing) -> &'static str {
    match standing {
        Standing::New => "new",
        Standing::CatchingUp => "catching up",
        Standing::InStep => "in step",
        Standing::InStepAsOf(_) => "in step as of before",
        Standing::Careful => "careful",
    }
}

/// The disk's thread: one chore at a time, however slow it is.
fn keep(mut shelf: Shelf, chores: &Mailbox<Chore>, idle: &MailboxSender<bool>, log: &Logger) {
    loop {
        match chores.recv(None) {
            Ok(Chore::Put(now, held)) => {
                let put = shelf.put(now, &held);
                idle.send(put.is_ok());
                if let Err(e) = put {
                    warn!(log, "state: the disk takes no more: {e}");
                    return;
                }
            }
            Ok(Chore::End(now, held, done)) => {
                if let Err(e) = shelf.end(now, &held) {
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
