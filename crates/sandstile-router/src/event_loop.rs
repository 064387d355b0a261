//! The one thread that carries all actors of a router: it sleeps until a socket is ready, a time has come or mail
//! rings, lets each line that is concerned do a bounded piece of work, and lets the desk decide on what came of it.
//! `docs/design/readiness.md` says why one, and not one for each connection.
use crate::budget::{Admission, Budget, Claim, Holder};
use crate::clients::Clients;
use crate::clock::Clock;
use crate::close_reason::CloseReason;
use crate::control::ControlSocket;
use crate::counters::Counters;
use crate::errno::AcceptFailure;
use crate::hosts::{self, Dialled, Hosts};
use crate::listener::{Accepted, Listener};
use crate::loop_context::LoopContext;
use crate::mailbox::{carried, single_slot_mailbox, Bell, Mailbox, MailboxSender};
use crate::members::{self, Members};
use crate::outcome::Ending;
use crate::rate::Limiter;
use crate::session_messages::SessionMessage;
use crate::statement::Workload;
use mio::net::TcpStream;
use mio::{Events, Poll, Token};
use sandstile_dispatcher::{Dispatcher, DispatcherMessage, FinalAnswer, LogEvent};
use sandstile_restart_pacing::DialPacer;
use sandstile_timers::TimerWheel;
use slog::{debug, info, warn, Logger};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

/// The most that one read takes.
const MOST_READ: usize = 64 * 1024;
/// Events of one look.
const MOST_EVENTS: usize = 256;
/// Connections taken in one after another before those that are in have their turn.
const MOST_ACCEPTS: usize = 128;
/// Rounds between desk and hosts before the sockets have their turn.
const ROUNDS: usize = 8;
/// Failures of `accept` in a row after which something idle is closed for it.
const FAILURES_TO_EVICT: u32 = 4;
/// Seconds for which a connection that could not be set up is tried again.
const SETUP_PATIENCE: f64 = 2.0;
/// Seconds after SIGTERM in which it serves on: new connections come for 0.4 s at most, and clients learn of the end
/// only by their connections.
const WINDOW: f64 = 0.5;
/// Seconds of a turn that is worth a line of log: a tenth of what clients wait at the least.
const LONG_TURN: f64 = 0.05;
/// Seconds for the last word on sessions to be put down.
const LAST_WORD: Duration = Duration::from_millis(500);
const BELL: Token = Token(0);
const DOOR: Token = Token(1);

/// A connection that was accepted and could not be set up yet.
struct Unserved {
    stream: TcpStream,
    waited_since: f64,
    give_up_at: f64,
    /// There is no room to serve it: its statement is to be refused.
    refused: bool,
}

/// What the main thread has the carrier do.
pub enum Charge {
    End,
    /// What members seal their letters with has changed.
    Keys(Vec<[u8; 32]>),
}

pub struct Carrier {
    poll: Poll,
    bell: Arc<Bell>,
    context: LoopContext,
    /// What is beyond the budget waits in its queue.
    listener: Listener,
    unserved: Option<Unserved>,
    /// When readiness was last asked for.
    polled_at: f64,
    /// Takes in what has connected by now, then ends.
    closing: bool,
    accept_failures: Limiter<AcceptFailure>,
    long_turns: Limiter<()>,
    clients: Clients,
    hosts: Hosts,
    dispatcher: Dispatcher,
    mail: Mailbox<DispatcherMessage>,
    /// Answers that waited for a disk.
    answers: Mailbox<FinalAnswer>,
    charges: Mailbox<Charge>,
    /// Where our own file turns them on.
    members: Option<Box<Members>>,
    /// When the window after SIGTERM closes.
    ends_at: f64,
    /// Where sessions are kept, which have a last word to put down.
    last_word: Option<MailboxSender<SessionMessage>>,
}

/// The mailboxes of what is carried, made before the actors that write to them.
pub struct Posts {
    poll: Poll,
    bell: Arc<Bell>,
    /// For answers that waited for a disk.
    pub answers: MailboxSender<FinalAnswer>,
    answer_box: Mailbox<FinalAnswer>,
    pub charges: MailboxSender<Charge>,
    charge_box: Mailbox<Charge>,
}

impl Posts {
    pub fn open() -> io::Result<Posts> {
        let poll = Poll::new()?;
        let bell = Bell::new(mio::Waker::new(poll.registry(), BELL)?);
        let (answers, answer_box) = carried(&bell);
        let (charges, charge_box) = carried(&bell);
        Ok(Posts { poll, bell, answers, answer_box, charges, charge_box })
    }

    /// A mailbox of one of the desk's sources, which whoever writes to it wakes the carrier for.
    pub fn inlet<T>(&self) -> (MailboxSender<T>, Mailbox<T>) {
        carried(&self.bell)
    }
}

/// What one router is made of.
pub struct Parts {
    pub clock: Clock,
    pub budget: Budget,
    pub counters: Arc<Counters>,
    pub log: Logger,
    pub dispatcher: Dispatcher,
    pub workloads: Vec<Workload>,
    /// Seconds, as `Hosts` has them.
    pub dial_limit: f64,
    pub idle_close: f64,
    /// How dials are paced, where our own file turns that on.
    pub dials: Option<DialPacer>,
    pub members: Option<Members>,
    pub last_word: Option<MailboxSender<SessionMessage>>,
}

impl Carrier {
    pub fn new(posts: Posts, parts: Parts, listener: std::net::TcpListener) -> io::Result<Carrier> {
        let Posts { poll, bell, answers: _, answer_box, charge_box, charges: _ } = posts;
        let Parts {
            clock,
            budget,
            counters,
            log,
            dispatcher,
            workloads,
            dial_limit,
            idle_close,
            dials,
            members,
            last_word,
        } = parts;
        let registry = poll.registry().try_clone()?;
        let listener = Listener::new(&registry, DOOR, listener, clock.now())?;
        let (to_dispatcher, mail) = carried(&bell);
        let (timers, queue) = (TimerWheel::starting_at(clock.now()), VecDeque::new());
        let mut hosts =
            Hosts::new(to_dispatcher.clone(), counters.clone(), log.clone(), dial_limit, idle_close);
        hosts.dials = dials;
        let mut members = members.map(Box::new);
        if let Some(members) = &mut members {
            members.register(&registry)?;
        }
        let scratch = vec![0; MOST_READ];
        Ok(Carrier {
            poll,
            bell,
            context: LoopContext {
                registry,
                clock,
                events_since: clock.now(),
                budget,
                counters,
                log,
                timers,
                queue,
                scratch,
            },
            listener,
            unserved: None,
            polled_at: clock.now(),
            closing: false,
            accept_failures: Limiter::default(),
            long_turns: Limiter::default(),
            clients: Clients::new(workloads, to_dispatcher),
            hosts,
            dispatcher,
            mail,
            answers: answer_box,
            charges: charge_box,
            members,
            ends_at: f64::INFINITY,
            last_word,
        })
    }

    /// Carries until told to end, and until all that was taken is answered.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(MOST_EVENTS);
        // What is known of the start is to be known before the first client is heard.
        while self.dispatcher.pending() {
            self.settle();
        }
        while !self.over() {
            self.sleep(&mut events)?;
            let woke_at = self.context.clock.now();
            self.dispatcher.check_for_stall(self.context.clock.now());
            for event in &events {
                match event.token() {
                    BELL => {}
                    DOOR => self.listener.told(self.context.events_since),
                    members::DATAGRAMS => self.members.iter_mut().for_each(|m| m.set_readable()),
                    token if ControlSocket::is_its(token) => {
                        self.members
                            .iter_mut()
                            .filter_map(|m| m.control.as_mut())
                            .for_each(ControlSocket::told);
                    }
                    Token(n) if n % 2 == 0 => self.clients.told((n - 2) / 2, event, &mut self.context),
                    Token(n) => self.hosts.told((n - 3) / 2, event, &mut self.context),
                }
            }
            self.charged();
            if let Some(members) = &mut self.members {
                members.turn(&self.context);
            }
            // Those that have more to do have their next turn behind the others.
            for _ in 0..self.context.queue.len() {
                match self.context.queue.pop_front() {
                    Some(Token(n)) if n % 2 == 0 => self.clients.called((n - 2) / 2, &mut self.context),
                    Some(Token(n)) => self.hosts.called((n - 3) / 2, &mut self.context),
                    None => break,
                }
            }
            self.settle();
            self.timers();
            self.settle();
            self.accept();
            self.note_turn(woke_at, events.iter().count());
        }
        self.end();
        Ok(())
    }

    /// Keeps the longest turn, and says of one that was long enough to be felt by clients.
    fn note_turn(&mut self, woke_at: f64, events: usize) {
        let now = self.context.clock.now();
        self.context.counters.longest_turn_ms.record_max_ms(now - woke_at);
        if now - woke_at >= LONG_TURN && self.long_turns.admits(now, ()) {
            info!(self.context.log, "a long turn"; "ms" => format!("{:.0}", (now - woke_at) * 1e3), "events" => events,
                "statements" => self.dispatcher.open_statements(), "lines_behind" => self.context.queue.len());
        }
    }

    fn busy(&self) -> bool {
        let mail = !self.mail.is_empty() || self.dispatcher.pending() || !self.answers.is_empty();
        let letters = self.members.as_ref().is_some_and(|m| m.busy());
        mail || letters || !self.context.queue.is_empty() || !self.charges.is_empty() || self.accepts()
    }

    fn sleep(&mut self, events: &mut Events) -> io::Result<()> {
        self.bell.sleeps();
        let limit = if self.busy() {
            Some(Duration::ZERO)
        } else {
            // Once the window has closed there is nothing left to wake for: a time that has passed would spin.
            let window = if self.closing { f64::INFINITY } else { self.ends_at };
            let mut due = self.dispatcher.due(self.context.clock.now()).min(window).min(self.hosts.due());
            due = due.min(self.members.as_ref().map_or(f64::INFINITY, |m| m.due()));
            due = due.min(self.context.timers.earliest().unwrap_or(f64::INFINITY));
            due = due.min(self.accept_due());
            due.is_finite().then(|| self.context.clock.until(due))
        };
        let (told_all, polled_at) = (events.iter().count() < MOST_EVENTS, self.polled_at);
        let polled = self.poll.poll(events, limit);
        self.bell.wakes();
        self.polled_at = self.context.clock.now();
        if told_all {
            // A loop that slept was woken by what came; one that did not finds all that came since it last looked.
            let slept = limit != Some(Duration::ZERO);
            self.context.events_since = if slept { self.polled_at } else { polled_at };
        }
        match polled {
            Err(e) if e.kind() == ErrorKind::Interrupted => {
                events.clear();
                Ok(())
            }
            polled => polled,
        }
    }

    /// The desk takes all that waits, and what its sources have to tell where `asks` says so, and lets the decisions say
    /// what follows; `false` where there was nothing to do.
    fn decide(&mut self, asks: bool) -> bool {
        let mut took = asks && self.dispatcher.poll_sources(self.context.clock.now());
        while let Some(mail) = self.mail.try_recv() {
            self.dispatcher.handle(self.context.clock.now(), mail);
            took = true;
        }
        let worked = self.dispatcher.decide_if_due(self.context.clock.now(), took);
        for said in self.dispatcher.take_log_events() {
            match said {
                LogEvent::Stalled(_) => warn!(self.context.log, "{said}"),
                step if step.is_statement_step() => debug!(self.context.log, "{step}"),
                _ => info!(self.context.log, "{said}"),
            }
        }
        worked
    }

    /// Desk, hosts and clients in turn, until nothing follows any more. Orders go before answers, or a dial that
    /// comes up just then could still write a statement that has been answered.
    fn settle(&mut self) {
        for round in 0..ROUNDS {
            let mut worked = self.decide(round == 0);
            while let Some(order) = self.dispatcher.next_command() {
                self.hosts.order(order, &mut self.context);
                worked = true;
            }
            while !self.yields_to_queue()
                && self.hosts.wanting(self.context.clock.now())
                && self.claim(Holder::UpstreamConnection)
            {
                if self.hosts.dial(&mut self.context) == Dialled::DescriptorsSpent {
                    self.make_room();
                }
                worked = true;
            }
            while let Some(given) = self.dispatcher.next_answer().or_else(|| self.answers.try_recv()) {
                self.clients.answer(given, &mut self.context);
                worked = true;
            }
            if !worked {
                return;
            }
        }
    }

    fn timers(&mut self) {
        let now = self.context.clock.now();
        while let Some((at, Token(n))) = self.context.timers.pop(now) {
            match n {
                n if n >= hosts::HOSTS => self.hosts.host_timer(n - hosts::HOSTS, at, &mut self.context),
                n if n % 2 == 0 => self.clients.timer((n - 2) / 2, at, &mut self.context),
                n => self.hosts.timer((n - 3) / 2, at, &mut self.context),
            }
        }
        if self.ends_at <= now && !self.closing {
            // All that has connected by now is taken in, as far as there is room.
            self.closing = true;
            self.listener.look();
            self.accept();
            self.clients.dismiss(&mut self.context);
        }
    }

    fn charged(&mut self) {
        while let Some(charge) = self.charges.try_recv() {
            match charge {
                Charge::End => self.ends_at = self.ends_at.min(self.context.clock.now() + WINDOW),
                Charge::Keys(keys) => self.members.iter_mut().for_each(|m| m.rotate(keys.clone())),
            }
        }
    }

    /// A descriptor, in place of idle ones if need be. Each goes at once, unless something has just come for it.
    fn claim(&mut self, holder: Holder) -> bool {
        loop {
            match self.context.budget.claim(holder) {
                Claim::Granted => return true,
                Claim::Evict(Holder::UpstreamConnection, key) => {
                    self.hosts.leave(key, Ending::IdleEvicted, &mut self.context);
                }
                Claim::Evict(_, key) => self.clients.leave(key, &mut self.context),
                Claim::Full => return false,
            }
        }
    }

    /// What becomes of a connection that no room is made for.
    fn admission(&self, now: f64) -> Admission {
        if now < self.listener.overdue_at() {
            return Admission::Wait;
        }
        let serves = !self.clients.has_resting_strangers();
        self.context.budget.admission(serves, now >= self.listener.refused_at())
    }

    /// Whether one more client can be taken in now, be it to refuse its statement.
    fn has_room(&self, now: f64) -> bool {
        let fits = self.unserved.is_some() || self.context.budget.can_claim(Holder::ClientConnection);
        fits || self.admission(now) != Admission::Wait
    }

    /// When a connection is to be looked for though nothing is told.
    fn accept_due(&self) -> f64 {
        let now = self.context.clock.now();
        if self.has_room(now) {
            return self.listener.due();
        }
        // Whoever ends or rests sooner wakes the loop.
        let next = [self.listener.overdue_at(), self.listener.refused_at()];
        next.into_iter().filter(|at| *at > now).fold(f64::INFINITY, f64::min)
    }

    /// Whether the next descriptor that comes free is for what waits in the queue, and not for a link.
    fn yields_to_queue(&self) -> bool {
        let overdue = self.context.clock.now() >= self.listener.overdue_at();
        let serves = !self.clients.has_resting_strangers() && self.context.budget.clients_below_limit();
        overdue && serves && self.listener.is_open()
    }

    /// Whether a connection could be taken in now, should one wait.
    fn accepts(&self) -> bool {
        let now = self.context.clock.now();
        self.listener.wants(now) && self.has_room(now)
    }

    fn accept(&mut self) {
        for _ in 0..MOST_ACCEPTS {
            if !self.accepts() {
                break;
            }
            let Some(next) = self.unserved.take().or_else(|| self.accept_next()) else { continue };
            self.serve(next);
        }
        let now = self.context.clock.now();
        if !self.has_room(now) {
            self.listener.hold_up(now);
        }
    }

    /// The next connection of the queue, counted in the budget.
    fn accept_next(&mut self) -> Option<Unserved> {
        let now = self.context.clock.now();
        match self.listener.accept(&self.context.registry, now) {
            Accepted::Connection(stream, waited_since) => {
                self.context.counters.connections.add();
                self.context.counters.longest_accept_wait_ms.record_max_ms(now - waited_since);
                let refused = !self.claim(Holder::ClientConnection)
                    && self.claim_beyond_share(now) == Admission::Refuse;
                if let Some(key) = self.context.budget.take_surplus_client() {
                    self.clients.leave(key, &mut self.context);
                }
                Some(Unserved { stream, waited_since, give_up_at: now + SETUP_PATIENCE, refused })
            }
            Accepted::Empty => {
                if self.closing {
                    self.listener.close();
                }
                None
            }
            Accepted::Failed(failure, error) => {
                self.accept_failed(now, failure, &error);
                None
            }
        }
    }

    /// Counts a connection that has come and that nobody makes room for: it is served beyond the clients' share, or
    /// refused.
    fn claim_beyond_share(&mut self, now: f64) -> Admission {
        let admission = self.admission(now);
        match admission {
            Admission::Refuse => self.context.budget.take_refused(),
            Admission::Serve => self.claim_in_place_of_links(),
            // Those that were to go had just asked something: it is one more for a moment.
            Admission::Wait => self.context.budget.take(Holder::ClientConnection),
        }
        admission
    }

    fn claim_in_place_of_links(&mut self) {
        loop {
            match self.context.budget.claim_beyond_share() {
                Claim::Granted => return,
                Claim::Evict(_, key) => self.hosts.leave(key, Ending::IdleEvicted, &mut self.context),
                Claim::Full => return self.context.budget.take(Holder::ClientConnection),
            }
        }
    }

    fn accept_failed(&mut self, now: f64, failure: AcceptFailure, error: &io::Error) {
        self.context.counters.accept_errors.add();
        if self.accept_failures.admits(now, failure) {
            warn!(self.context.log, "accept: {error}"; "failure" => ?failure);
        }
        // Once may be a moment's trouble; the budget keeps this process well below its limit.
        if failure == AcceptFailure::DescriptorsSpent && self.listener.failures() >= FAILURES_TO_EVICT {
            self.make_room();
        }
    }

    /// The oldest idle connection goes: the platform gives fewer descriptors than were promised.
    fn make_room(&mut self) {
        match self.context.budget.take_oldest_idle() {
            Some((Holder::UpstreamConnection, key)) => {
                self.hosts.leave(key, Ending::IdleEvicted, &mut self.context)
            }
            Some((_, key)) => self.clients.leave(key, &mut self.context),
            None => {}
        }
    }

    /// Hands a connection over to the clients, or keeps it for another try.
    fn serve(&mut self, next: Unserved) {
        let now = self.context.clock.now();
        let Unserved { stream, waited_since, give_up_at, refused } = next;
        let Err((stream, error)) = self.clients.accept(stream, waited_since, refused, &mut self.context)
        else {
            return;
        };
        if now < give_up_at {
            self.accept_failed(now, AcceptFailure::MachineShort, &error);
            self.listener.pause(now);
            self.unserved = Some(Unserved { stream, waited_since, give_up_at, refused });
        } else {
            match refused {
                true => self.context.budget.release_refused(),
                false => self.context.budget.release(Holder::ClientConnection),
            }
            self.context.counters.closed(CloseReason::ClientSetupFailed);
            warn!(self.context.log, "client not served: {error}");
        }
    }

    fn over(&self) -> bool {
        self.closing && !self.listener.is_open() && self.unserved.is_none() && self.clients.is_empty()
    }

    /// All is answered: what is remembered of sessions is whole, and is put down as that.
    fn end(&mut self) {
        let (done, last) = single_slot_mailbox::<()>();
        if self.last_word.as_ref().is_some_and(|words| words.send(SessionMessage::End(done))) {
            self.decide(true);
            let _ = last.recv(Some(LAST_WORD));
        }
        if let Some(members) = &mut self.members {
            members.leave(self.context.clock.now());
        }
        info!(self.context.log, "all answered");
    }
}
