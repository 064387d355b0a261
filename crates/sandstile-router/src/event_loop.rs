//! The event loop: the one thread that runs all actors of a router. It sleeps until a socket is ready, a timer is
//! due or a message arrives, lets each connection concerned do a bounded piece of work, and has the dispatcher
//! decide on the results. `docs/design/readiness.md` explains why there is one thread and not one for each
//! connection.
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

/// Bytes per read at the most.
const MOST_READ: usize = 64 * 1024;
/// Events per poll at the most.
const MOST_EVENTS: usize = 256;
/// Connections accepted in a row before the existing ones get their turn.
const MOST_ACCEPTS: usize = 128;
/// Rounds between dispatcher and hosts before the sockets get their turn.
const ROUNDS: usize = 8;
/// Consecutive failures of `accept` after which an idle connection is closed to free a descriptor.
const FAILURES_TO_EVICT: u32 = 4;
/// Seconds for which the setup of an accepted connection is retried.
const SETUP_PATIENCE: f64 = 2.0;
/// Seconds after SIGTERM for which the router serves on: new connections arrive for 0.4 s at most, and clients
/// learn of the end only through their connections.
const WINDOW: f64 = 0.5;
/// Seconds of an iteration that is worth a line of log: a tenth of the shortest time that clients wait.
const LONG_TURN: f64 = 0.05;
/// How long the end waits until the state of the sessions has been stored.
const LAST_WORD: Duration = Duration::from_millis(500);
const BELL: Token = Token(0);
const DOOR: Token = Token(1);

/// A connection that was accepted and could not be set up yet.
struct Unserved {
    stream: TcpStream,
    waited_since: f64,
    give_up_at: f64,
    /// There is no room to serve it: its statement will be refused.
    refused: bool,
}

/// Messages from the main thread to the event loop.
pub enum Charge {
    End,
    /// The members' message keys have changed.
    Keys(Vec<[u8; 32]>),
}

pub struct Carrier {
    poll: Poll,
    bell: Arc<Bell>,
    context: LoopContext,
    /// Connections beyond the budget wait in its listen queue.
    listener: Listener,
    unserved: Option<Unserved>,
    /// When readiness was last polled.
    polled_at: f64,
    /// The serving window after SIGTERM has closed: the loop ends once all that had connected by then is answered.
    closing: bool,
    accept_failures: Limiter<AcceptFailure>,
    long_turns: Limiter<()>,
    clients: Clients,
    hosts: Hosts,
    dispatcher: Dispatcher,
    mail: Mailbox<DispatcherMessage>,
    /// Answers that waited for a disk write.
    answers: Mailbox<FinalAnswer>,
    charges: Mailbox<Charge>,
    /// Present where the local configuration file turns membership on.
    members: Option<Box<Members>>,
    /// End of the serving window after SIGTERM.
    ends_at: f64,
    /// To the session store, which has to write its state at the end.
    last_word: Option<MailboxSender<SessionMessage>>,
}

/// The mailboxes of the event loop, created before the actors that send to them.
pub struct Posts {
    poll: Poll,
    bell: Arc<Bell>,
    /// For answers that waited for a disk write.
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

    /// A mailbox of a dispatcher source; sending to it wakes the event loop.
    pub fn inlet<T>(&self) -> (MailboxSender<T>, Mailbox<T>) {
        carried(&self.bell)
    }
}

/// The components that make up one router.
pub struct Parts {
    pub clock: Clock,
    pub budget: Budget,
    pub counters: Arc<Counters>,
    pub log: Logger,
    pub dispatcher: Dispatcher,
    pub workloads: Vec<Workload>,
    /// In seconds, as in `Hosts`.
    pub dial_limit: f64,
    pub idle_close: f64,
    /// Dial pacing, where the local configuration file turns it on.
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

    /// Runs until an end is requested and all accepted statements are answered.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(MOST_EVENTS);
        // The initial state has to be processed before the first client is read.
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
            // A connection with more work to do goes to the back of the queue.
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

    /// Records the longest iteration, and logs one that was long enough for clients to notice.
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
            // Once the window has closed there is nothing left to wake up for: a deadline in the past would make
            // the loop spin.
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
            // If the loop slept, the first event woke it; otherwise the events may have occurred at any time since
            // the previous poll.
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

    /// The dispatcher takes all waiting messages, polls its sources where `poll_sources` is set, and lets the
    /// policy decide; `false` where there was nothing to do.
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

    /// Runs dispatcher, hosts and clients in turn until nothing is left to do. Commands are handled before answers,
    /// or a dial that succeeds just then could still write a statement that has been answered.
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
            // Everything that has connected by now is accepted, as far as there is room.
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

    /// Claims a descriptor, closing idle connections if necessary. An idle connection is closed at once, unless
    /// something has just arrived on it.
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

    /// What happens to a waiting connection for which no idle one can be closed.
    fn admission(&self, now: f64) -> Admission {
        if now < self.listener.overdue_at() {
            return Admission::Wait;
        }
        let serves = !self.clients.has_resting_strangers();
        self.context.budget.admission(serves, now >= self.listener.refused_at())
    }

    /// Whether one more client can be accepted now, if only to refuse its statement.
    fn has_room(&self, now: f64) -> bool {
        let fits = self.unserved.is_some() || self.context.budget.can_claim(Holder::ClientConnection);
        fits || self.admission(now) != Admission::Wait
    }

    /// When to try `accept` without an event.
    fn accept_due(&self) -> f64 {
        let now = self.context.clock.now();
        if self.has_room(now) {
            return self.listener.due();
        }
        // A connection that ends or becomes idle before that wakes the loop.
        let next = [self.listener.overdue_at(), self.listener.refused_at()];
        next.into_iter().filter(|at| *at > now).fold(f64::INFINITY, f64::min)
    }

    /// Whether the next free descriptor is reserved for the listen queue rather than for an upstream connection.
    fn yields_to_queue(&self) -> bool {
        let overdue = self.context.clock.now() >= self.listener.overdue_at();
        let serves = !self.clients.has_resting_strangers() && self.context.budget.clients_below_limit();
        overdue && serves && self.listener.is_open()
    }

    /// Whether a connection could be accepted now, if one is waiting.
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

    /// The next connection of the listen queue, counted in the budget.
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

    /// Counts a connection that was accepted without room for it: it is served beyond the clients' share, or
    /// refused.
    fn claim_beyond_share(&mut self, now: f64) -> Admission {
        let admission = self.admission(now);
        match admission {
            Admission::Refuse => self.context.budget.take_refused(),
            Admission::Serve => self.claim_in_place_of_links(),
            // The idle connections chosen for closing had just sent a statement: the limit is exceeded by one for a
            // moment.
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
        // A single failure may be transient; the budget keeps this process well below its limit.
        if failure == AcceptFailure::DescriptorsSpent && self.listener.failures() >= FAILURES_TO_EVICT {
            self.make_room();
        }
    }

    /// Closes the oldest idle connection: the platform grants fewer descriptors than the configuration promises.
    fn make_room(&mut self) {
        match self.context.budget.take_oldest_idle() {
            Some((Holder::UpstreamConnection, key)) => {
                self.hosts.leave(key, Ending::IdleEvicted, &mut self.context)
            }
            Some((_, key)) => self.clients.leave(key, &mut self.context),
            None => {}
        }
    }

    /// Hands a connection to the clients, or keeps it for another try.
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

    /// Everything is answered, so the state of the sessions is complete and is stored as such.
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
