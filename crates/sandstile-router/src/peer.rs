//! One actor per database host: its mailbox, its idle links, and the statements that wait for a dial. A dial
//! belongs to nobody: whichever link is free first takes the statement that waits longest.
use crate::budget::{Budget, Holder, Idle};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::desk::{self, Parcel};
use crate::ending::{Ending, Outcome};
use crate::link::{self, Socket};
use crate::mailbox::{mailbox, slot, Mailbox, Post};
use crossbeam_channel::RecvTimeoutError;
use slog::{debug, info, o, Logger};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a thread that parses a frame or two and writes a line of log needs, with room to spare.
pub const STACK: usize = 128 * 1024;

#[derive(Clone)]
pub enum Errand {
    Statement { stmt: u64, execution: usize, parcel: Arc<dyn Parcel> },
    Probe,
}

#[derive(Clone)]
pub struct Job {
    pub errand: Errand,
    pub until: f64,
}

impl Job {
    fn is(&self, which: (u64, usize)) -> bool {
        matches!(self.errand, Errand::Statement { stmt, execution, .. } if (stmt, execution) == which)
    }
}

enum Mail {
    Do(Job),
    Recall(u64, usize),
    Address(SocketAddr),
    Up(u64, Arc<Socket>, Post<Job>),
    DialEnded(u64, Ending),
    /// A link's job is done; whether the link can take another.
    Done(u64, bool),
    Evict(u64),
    /// The database host has left for good, and nothing is under way.
    End,
}

/// What all peers share.
#[derive(Clone)]
pub struct Common {
    pub clock: Clock,
    pub budget: Arc<Budget>,
    pub counters: Arc<Counters>,
    pub log: Logger,
    pub causes: Arc<Causes>,
    pub desk: Post<desk::Mail>,
    /// Seconds for a connection to come up, or for an answer that has begun to go on: what the network of this
    /// deployment needs at most.
    pub dial_limit: f64,
    /// Seconds after which a database host closes an idle connection.
    pub idle_close: f64,
}

/// When each host's endings of each kind were logged last, and how many were not since.
#[derive(Default)]
pub struct Causes(Mutex<BTreeMap<(usize, Ending), (f64, u64)>>);

impl Common {
    /// Counts an ending, and logs it where it is out of the ordinary: each cause once a second and host, for
    /// a host that is down ends statements by the hundred.
    fn ended(&self, host: usize, ending: Ending) {
        self.counters.ended(ending);
        if ending.ordinary() {
            return;
        }
        debug!(self.log, "{ending:?}");
        let now = self.clock.now();
        let mut causes = self.causes.0.lock().expect("no thread panics under the lock");
        let (at, more) = causes.entry((host, ending)).or_insert((0.0, 0));
        if now < *at + 1.0 {
            *more += 1;
        } else {
            info!(self.log, "ended: {ending:?}"; "unlogged_before" => std::mem::take(more));
            *at = now;
        }
    }
}

/// The desk's side: a mailbox for each database host.
pub struct Peers {
    common: Common,
    mailboxes: Vec<Option<(Post<Mail>, Option<SocketAddr>)>>,
}

impl Peers {
    pub fn new(common: Common) -> Self {
        Peers { common, mailboxes: Vec::new() }
    }

    /// The address of a database host as the list now has it.
    pub fn at(&mut self, host: usize, name: &str, address: Option<SocketAddr>) {
        if self.mailboxes.len() <= host {
            self.mailboxes.resize(host + 1, None);
        }
        let common = &self.common;
        let (mailbox, known) = self.mailboxes[host].get_or_insert_with(|| {
            info!(common.log, "host {host} is {name}");
            (Peer::start(host, name, common.clone()), None)
        });
        // An entry that has left may come without an address; the last one stands.
        if let Some(address) = address.filter(|a| *known != Some(*a)) {
            *known = Some(address);
            mailbox.send(Mail::Address(address));
        }
    }

    fn tell(&self, host: usize, mail: Mail) {
        let mailbox = self.mailboxes.get(host).and_then(Option::as_ref);
        // A peer's actor ends with the process only; the decisions name no host that no list has named.
        assert!(mailbox.expect("a peer for each host").0.send(mail), "a living peer");
    }

    /// For a database host that has left for good.
    pub fn end(&mut self, host: usize) {
        self.tell(host, Mail::End);
        self.mailboxes[host] = None;
        let mut causes = self.common.causes.0.lock().expect("no thread panics under the lock");
        causes.retain(|(of, _), _| *of != host);
    }

    pub fn send(&self, host: usize, job: Job) {
        self.tell(host, Mail::Do(job));
    }

    pub fn recall(&self, host: usize, stmt: u64, execution: usize) {
        self.tell(host, Mail::Recall(stmt, execution));
    }

    pub fn probe(&self, host: usize) {
        self.common.counters.probes.add();
        let until = self.common.clock.now() + self.common.dial_limit;
        self.tell(host, Mail::Do(Job { errand: Errand::Probe, until }));
    }
}

struct Link {
    socket: Arc<Socket>,
    jobs: Post<Job>,
    /// Counts the addresses: a link of an earlier one is not used again.
    address_no: u64,
}

struct Resting {
    id: u64,
    link: Link,
    since: f64,
    _idle: Idle,
}

struct Peer {
    host: usize,
    common: Common,
    own: Post<Mail>,
    address: Option<SocketAddr>,
    address_no: u64,
    /// Last used last.
    idle: Vec<Resting>,
    busy: BTreeMap<u64, (Link, Job)>,
    /// Each with the dial that was begun for it.
    waiting: VecDeque<(u64, Job)>,
    /// Dials under way, with the number of the address they went to.
    dials: BTreeMap<u64, u64>,
    next: u64,
}

impl Peer {
    fn start(host: usize, name: &str, common: Common) -> Post<Mail> {
        let (own, mailbox) = mailbox();
        let log = common.log.new(o!("host" => name.to_string()));
        let peer = Peer {
            host,
            common: Common { log, ..common },
            own: own.clone(),
            address: None,
            address_no: 0,
            idle: Vec::new(),
            busy: BTreeMap::new(),
            waiting: VecDeque::new(),
            dials: BTreeMap::new(),
            next: 0,
        };
        let body = move || peer.run(mailbox);
        thread::Builder::new().name(format!("peer {host}")).stack_size(STACK).spawn(body).expect("a thread");
        own
    }

    /// Well before the host would close it: a statement written across its closing may have run.
    fn rest_limit(&self) -> f64 {
        self.common.idle_close * 0.75
    }

    fn run(mut self, mailbox: Mailbox<Mail>) {
        loop {
            let oldest = self.idle.first().map(|r| self.common.clock.until(r.since + self.rest_limit()));
            match mailbox.recv(oldest.map(|wait| wait.max(Duration::from_millis(1)))) {
                Ok(Mail::End) => return,
                Ok(mail) => self.take(mail),
                Err(RecvTimeoutError::Timeout) => self.expire(),
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn take(&mut self, mail: Mail) {
        match mail {
            Mail::Do(job) => self.begin(job),
            Mail::Recall(stmt, execution) => {
                let which = (stmt, execution);
                if let Some(at) = self.waiting.iter().position(|(_, job)| job.is(which)) {
                    let (_, job) = self.waiting.remove(at).expect("found just now");
                    self.report(job, Ending::WithdrawnUnsent.into());
                } else if let Some((link, _)) = self.busy.values().find(|(_, job)| job.is(which)) {
                    link.socket.withdraw();
                }
            }
            Mail::Address(address) => {
                info!(self.common.log, "address is {address}");
                (self.address, self.address_no) = (Some(address), self.address_no + 1);
                for _ in self.idle.drain(..) {
                    self.common.counters.ended(Ending::Moved);
                }
            }
            Mail::Up(id, socket, jobs) => {
                let address_no = self.dials.remove(&id).unwrap_or(0);
                if address_no != self.address_no {
                    return self.undialled(id, Ending::Moved);
                }
                self.free(id, Link { socket, jobs, address_no });
            }
            Mail::DialEnded(id, ending) => {
                self.dials.remove(&id);
                self.undialled(id, ending);
            }
            Mail::Done(id, goes_on) => {
                if let Some((link, _)) = self.busy.remove(&id).filter(|_| goes_on) {
                    self.free(id, link);
                }
            }
            Mail::End => {}
            Mail::Evict(id) => {
                if let Some(at) = self.idle.iter().position(|r| r.id == id) {
                    self.idle.remove(at);
                    self.common.counters.ended(Ending::IdleEvicted);
                }
            }
        }
    }

    fn begin(&mut self, job: Job) {
        while let Some(Resting { id, link, .. }) = self.idle.pop() {
            if link.socket.quiet() {
                return self.hand(id, link, job);
            }
            self.common.counters.ended(Ending::IdleEnded);
        }
        let Some(address) = self.address else {
            return self.report(job, Ending::NoAddress.into());
        };
        self.next += 1;
        let id = self.next;
        self.common.counters.dialled.add();
        let (common, own, host) = (self.common.clone(), self.own.clone(), self.host);
        let body = move || line(id, host, address, common, own);
        match thread::Builder::new().name(format!("link {host}")).stack_size(STACK).spawn(body) {
            Ok(_) => {
                self.dials.insert(id, self.address_no);
                self.waiting.push_back((id, job));
            }
            Err(e) => {
                info!(self.common.log, "no thread for a link: {e}");
                self.report(job, Ending::NoRoom.into());
            }
        }
    }

    /// A link with nothing to do takes what waits longest, or rests.
    fn free(&mut self, id: u64, link: Link) {
        if link.address_no != self.address_no {
            return self.common.counters.ended(Ending::Moved);
        }
        // One that goes to rest is looked at when it is taken again.
        if !self.waiting.is_empty() && !link.socket.quiet() {
            // More than the answer came; what waits has dials of its own.
            return self.common.counters.ended(Ending::IdleEnded);
        }
        if let Some((_, job)) = self.waiting.pop_front() {
            return self.hand(id, link, job);
        }
        let own = self.own.clone();
        let idle = self.common.budget.idle(Holder::Link, move || {
            own.send(Mail::Evict(id));
        });
        self.idle.push(Resting { id, link, since: self.common.clock.now(), _idle: idle });
    }

    fn hand(&mut self, id: u64, link: Link, job: Job) {
        if matches!(job.errand, Errand::Statement { .. }) {
            self.common.counters.sent.add();
        }
        if link.jobs.send(job.clone()) {
            self.busy.insert(id, (link, job));
        } else {
            self.report(job, Ending::IdleEnded.into());
        }
    }

    /// A dial less: its own statement ends with it, if there are now fewer dials than statements that wait.
    fn undialled(&mut self, id: u64, ending: Ending) {
        if self.waiting.len() > self.dials.len() {
            let at = self.waiting.iter().position(|(dial, _)| *dial == id).unwrap_or(0);
            if let Some((_, job)) = self.waiting.remove(at) {
                self.report(job, ending.into());
            }
        } else {
            self.common.ended(self.host, ending);
        }
    }

    fn expire(&mut self) {
        let before = self.common.clock.now() - self.rest_limit();
        while self.idle.first().is_some_and(|r| r.since <= before) {
            self.idle.remove(0);
            self.common.counters.ended(Ending::IdleExpired);
        }
    }

    fn report(&self, job: Job, outcome: Outcome) {
        report(&self.common, self.host, job, outcome);
    }
}

fn report(common: &Common, host: usize, job: Job, outcome: Outcome) {
    common.ended(host, outcome.ending);
    let mail = match job.errand {
        Errand::Statement { stmt, execution, .. } => desk::Mail::Ended { stmt, execution, outcome },
        Errand::Probe => desk::Mail::Probed { host, outcome },
    };
    common.desk.send(mail);
}

/// The body of a link's thread.
fn line(id: u64, host: usize, address: SocketAddr, common: Common, own: Post<Mail>) {
    let socket = match link::dial(address, common.dial_limit, &common.clock, &common.budget) {
        Ok(socket) => Arc::new(socket),
        Err(ending) => {
            own.send(Mail::DialEnded(id, ending));
            return;
        }
    };
    let (hand, jobs) = slot();
    own.send(Mail::Up(id, socket.clone(), hand));
    link::work(&socket, &common, &jobs, |job, outcome, goes_on| {
        // The peer first: a further statement for this host is to find the link free.
        own.send(Mail::Done(id, goes_on));
        report(&common, host, job, outcome);
    });
}
