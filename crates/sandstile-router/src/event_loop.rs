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
use crate::hosts::{self, DialResult, Hosts};
use crate::listener::{AcceptResult, Listener};
use crate::log_limiter::LogLimiter;
use crate::loop_context::LoopContext;
use crate::mailbox::{event_loop_mailbox, single_slot_mailbox, LoopWaker, Mailbox, MailboxSender};
use crate::members::{self, Members};
use crate::outcome::Ending;
use crate::session_messages::SessionMessage;
use crate::shutdown::{Shutdown, ShutdownStep};
use crate::statement::Workload;
use mio::net::TcpStream;
use mio::{Events, Poll, Token};
use sandstile_dispatcher::{Dispatcher, DispatcherMessage, FinalAnswer, HostTask, LogEvent, StartStep};
use sandstile_restart_pacing::DialPacer;
use sandstile_timers::TimerWheel;
use slog::{debug, info, warn, Logger};
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

/// Bytes per read at the most.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Events per poll at the most.
const MAX_EVENTS: usize = 256;
/// Connections accepted in a row before the existing ones get their turn.
const MAX_ACCEPTS: usize = 128;
/// Rounds between dispatcher and hosts before the sockets get their turn.
const MAX_ROUNDS: usize = 8;
/// Consecutive failures of `accept` after which an idle connection is closed to free a descriptor.
const FAILURES_TO_EVICT: u32 = 4;
/// Seconds for which the setup of an accepted connection is retried.
const SETUP_TIMEOUT_S: f64 = 2.0;
/// Seconds for which queued connections are served before events, decisions and timers have their turn: news such as
/// the end of a client must not wait for a crowd.
const MAX_QUEUE_S: f64 = 0.02;
/// An iteration that takes at least this many seconds is logged: a tenth of the shortest time that
/// clients wait.
const LONG_ITERATION_S: f64 = 0.05;
/// How many seconds the end waits until the state of the sessions has been stored: at most the first, and at
/// least the second where the shutdown has no more time.
const MAX_SESSIONS_END_S: f64 = 0.5;
const MIN_SESSIONS_END_S: f64 = 0.05;
const WAKE: Token = Token(0);
const LISTENER: Token = Token(1);

/// A connection that was accepted and could not be set up yet.
struct PendingClient {
    stream: TcpStream,
    waited_since: f64,
    give_up_at: f64,
    /// There is no room to serve it: its statement will be refused.
    refused: bool,
}

/// Messages from the main thread to the event loop.
pub enum ControlMessage {
    End,
    /// The members' message keys have changed.
    Keys(Vec<[u8; 32]>),
}

pub struct EventLoop {
    poll: Poll,
    loop_waker: Arc<LoopWaker>,
    context: LoopContext,
    /// Connections beyond the budget wait in its listen queue.
    listener: Listener,
    pending_client: Option<PendingClient>,
    /// When readiness was last polled.
    polled_at: f64,
    /// The schedule of the shutdown, once it was requested. After its serving window the loop ends as soon as all
    /// that had connected by then is answered.
    shutdown: Option<Shutdown>,
    /// The longest deadline of the settings in seconds.
    longest_deadline: f64,
    accept_failure_log: LogLimiter<AcceptFailure>,
    long_iteration_log: LogLimiter<()>,
    clients: Clients,
    hosts: Hosts,
    dispatcher: Dispatcher,
    inbox: Mailbox<DispatcherMessage>,
    /// Answers that waited for a disk write.
    answers: Mailbox<FinalAnswer>,
    control_messages: Mailbox<ControlMessage>,
    /// Present where the local configuration file turns membership on.
    members: Option<Box<Members>>,
    /// To the session store, which has to write its state at the end.
    session_messages: Option<MailboxSender<SessionMessage>>,
}

/// The mailboxes of the event loop, created before the actors that send to them.
pub struct Mailboxes {
    poll: Poll,
    loop_waker: Arc<LoopWaker>,
    /// For answers that waited for a disk write.
    pub answers: MailboxSender<FinalAnswer>,
    answer_mailbox: Mailbox<FinalAnswer>,
    pub control_messages: MailboxSender<ControlMessage>,
    control_mailbox: Mailbox<ControlMessage>,
}

impl Mailboxes {
    pub fn open() -> io::Result<Mailboxes> {
        let poll = Poll::new()?;
        let loop_waker = LoopWaker::new(mio::Waker::new(poll.registry(), WAKE)?);
        let (answers, answer_mailbox) = event_loop_mailbox(&loop_waker);
        let (control_messages, control_mailbox) = event_loop_mailbox(&loop_waker);
        Ok(Mailboxes { poll, loop_waker, answers, answer_mailbox, control_messages, control_mailbox })
    }

    /// A mailbox of a dispatcher source; sending to it wakes the event loop.
    pub fn source_mailbox<T>(&self) -> (MailboxSender<T>, Mailbox<T>) {
        event_loop_mailbox(&self.loop_waker)
    }
}

/// The components that make up one router.
pub struct RouterParts {
    pub clock: Clock,
    pub budget: Budget,
    pub counters: Arc<Counters>,
    pub log: Logger,
    pub dispatcher: Dispatcher,
    pub workloads: Vec<Workload>,
    /// The longest deadline of the settings in seconds.
    pub longest_deadline: f64,
    /// In seconds, as in `Hosts`.
    pub dial_timeout: f64,
    pub idle_close: f64,
    /// Dial pacing, where the local configuration file turns it on.
    pub dial_pacer: Option<DialPacer>,
    pub members: Option<Members>,
    pub session_messages: Option<MailboxSender<SessionMessage>>,
}

impl EventLoop {
    pub fn new(
        mailboxes: Mailboxes,
        router_parts: RouterParts,
        listener: std::net::TcpListener,
    ) -> io::Result<EventLoop> {
        let Mailboxes { poll, loop_waker, answers: _, answer_mailbox, control_mailbox, control_messages: _ } =
            mailboxes;
        let RouterParts {
            clock,
            budget,
            counters,
            log,
            dispatcher,
            workloads,
            longest_deadline,
            dial_timeout,
            idle_close,
            dial_pacer,
            members,
            session_messages,
        } = router_parts;
        let registry = poll.registry().try_clone()?;
        let listener = Listener::new(&registry, LISTENER, listener, clock.now())?;
        let (to_dispatcher, inbox) = event_loop_mailbox(&loop_waker);
        let (timers, queue) = (TimerWheel::starting_at(clock.now()), VecDeque::new());
        let mut hosts =
            Hosts::new(to_dispatcher.clone(), counters.clone(), log.clone(), dial_timeout, idle_close);
        hosts.set_dial_pacer(dial_pacer);
        let mut members = members.map(Box::new);
        if let Some(members) = &mut members {
            members.register(&registry)?;
        }
        let scratch = vec![0; MAX_READ_BYTES];
        Ok(EventLoop {
            poll,
            loop_waker,
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
            pending_client: None,
            polled_at: clock.now(),
            shutdown: None,
            longest_deadline,
            accept_failure_log: LogLimiter::default(),
            long_iteration_log: LogLimiter::default(),
            clients: Clients::new(workloads, to_dispatcher),
            hosts,
            dispatcher,
            inbox,
            answers: answer_mailbox,
            control_messages: control_mailbox,
            members,
            session_messages,
        })
    }

    /// Runs until an end is requested and all accepted statements are answered.
    pub fn run(mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        // The initial state has to be processed before the first client is read.
        while self.dispatcher.pending() {
            self.process();
        }
        while !self.finished() {
            self.wait_for_events(&mut events)?;
            let woke_at = self.context.clock.now();
            self.dispatcher.check_for_stall(self.context.clock.now());
            for event in &events {
                match event.token() {
                    WAKE => {}
                    LISTENER => self.listener.mark_ready(self.context.events_since),
                    members::DATAGRAMS => self.members.iter_mut().for_each(|m| m.set_readable()),
                    token if ControlSocket::owns_token(token) => {
                        self.members
                            .iter_mut()
                            .filter_map(|m| m.control.as_mut())
                            .for_each(ControlSocket::set_readable);
                    }
                    Token(n) if n % 2 == 0 => self.clients.on_event((n - 2) / 2, event, &mut self.context),
                    Token(n) => self.hosts.on_event((n - 3) / 2, event, &mut self.context),
                }
            }
            self.handle_control_messages();
            if let Some(members) = &mut self.members {
                members.run_once(&self.context);
            }
            // A connection with more work to do goes to the back of the queue.
            let queue_ends_at = self.context.clock.now() + MAX_QUEUE_S;
            for _ in 0..self.context.queue.len() {
                if self.context.clock.now() >= queue_ends_at {
                    break;
                }
                match self.context.queue.pop_front() {
                    Some(Token(n)) if n % 2 == 0 => self.clients.run_queued((n - 2) / 2, &mut self.context),
                    Some(Token(n)) => self.hosts.run_queued((n - 3) / 2, &mut self.context),
                    None => break,
                }
            }
            self.process();
            self.handle_timers();
            self.process();
            self.accept();
            self.record_iteration(woke_at, events.iter().count());
        }
        self.end();
        Ok(())
    }

    /// Records the longest iteration, and logs one that was long enough for clients to notice.
    fn record_iteration(&mut self, woke_at: f64, events: usize) {
        let now = self.context.clock.now();
        self.context.counters.longest_turn_ms.record_max_ms(now - woke_at);
        if now - woke_at >= LONG_ITERATION_S && self.long_iteration_log.admits(now, ()) {
            info!(self.context.log, "long event loop turn"; "ms" => format!("{:.0}", (now - woke_at) * 1e3), "events" => events,
                "statements" => self.dispatcher.open_statements(), "lines_behind" => self.context.queue.len());
        }
    }

    fn has_work(&self) -> bool {
        let has_messages = !self.inbox.is_empty() || self.dispatcher.pending() || !self.answers.is_empty();
        let has_datagrams = self.members.as_ref().is_some_and(|m| m.may_have_datagrams());
        has_messages
            || has_datagrams
            || self.can_start_waiting()
            || !self.context.queue.is_empty()
            || !self.control_messages.is_empty()
            || self.can_accept()
    }

    fn wait_for_events(&mut self, events: &mut Events) -> io::Result<()> {
        self.loop_waker.prepare_sleep();
        let timeout = if self.has_work() {
            Some(Duration::ZERO)
        } else {
            let mut due = self.dispatcher.due(self.context.clock.now()).min(self.hosts.due());
            due = due.min(self.shutdown.as_ref().map_or(f64::INFINITY, Shutdown::due));
            due = due.min(self.members.as_ref().map_or(f64::INFINITY, |m| m.due()));
            due = due.min(self.context.timers.earliest().unwrap_or(f64::INFINITY));
            due = due.min(self.accept_due());
            due.is_finite().then(|| self.context.clock.time_until(due))
        };
        let (got_all_events, polled_at) = (events.iter().count() < MAX_EVENTS, self.polled_at);
        let polled = self.poll.poll(events, timeout);
        self.loop_waker.end_sleep();
        self.polled_at = self.context.clock.now();
        if got_all_events {
            // If the loop slept, the first event woke it; otherwise the events may have occurred at any time since
            // the previous poll.
            let slept = timeout != Some(Duration::ZERO);
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
    fn decide(&mut self, poll_sources: bool) -> bool {
        let mut has_input = poll_sources && self.dispatcher.poll_sources(self.context.clock.now());
        while let Some(message) = self.inbox.try_recv() {
            self.dispatcher.handle(self.context.clock.now(), message);
            has_input = true;
        }
        let worked = self.dispatcher.decide_if_due(self.context.clock.now(), has_input);
        for log_event in self.dispatcher.take_log_events() {
            match log_event {
                LogEvent::Stalled(_) => warn!(self.context.log, "{log_event}"),
                step if step.is_statement_step() => debug!(self.context.log, "{step}"),
                _ => info!(self.context.log, "{log_event}"),
            }
        }
        worked
    }

    /// Starts what has waited for a connection, as far as it may still begin; `false` where there was nothing to do.
    fn start_waiting(&mut self) -> bool {
        if !self.can_start_waiting() {
            return false;
        }
        let (dispatcher, clock) = (&mut self.dispatcher, self.context.clock);
        let may_start = &mut |host: usize, task: &HostTask, step: StartStep| {
            dispatcher.may_start(clock.now(), host, task, step)
        };
        self.hosts.start_waiting(may_start, &mut self.context)
    }

    fn can_start_waiting(&self) -> bool {
        self.hosts.has_startable() && !self.dispatcher.blocks_starts(self.context.clock.now())
    }

    /// Runs dispatcher, hosts and clients in turn until nothing is left to do. Commands are handled before answers,
    /// or a dial that succeeds just then could still write a statement that has been answered.
    fn process(&mut self) {
        for round in 0..MAX_ROUNDS {
            let mut worked = self.decide(round == 0);
            worked |= self.start_waiting();
            while let Some(command) = self.dispatcher.next_command() {
                self.hosts.handle_command(command, &mut self.context);
                worked = true;
            }
            while !self.reserves_for_queue()
                && self.hosts.next_dial_ready(self.context.clock.now())
                && self.claim(Holder::UpstreamConnection)
            {
                if self.hosts.dial(&mut self.context) == DialResult::DescriptorsSpent {
                    self.evict_oldest_idle();
                }
                worked = true;
            }
            while let Some(final_answer) = self.dispatcher.next_answer().or_else(|| self.answers.try_recv()) {
                self.clients.answer(final_answer, &mut self.context);
                worked = true;
            }
            if !worked {
                return;
            }
        }
    }

    fn handle_timers(&mut self) {
        let now = self.context.clock.now();
        while let Some((at, Token(n))) = self.context.timers.pop(now) {
            match n {
                n if n >= hosts::HOST_TIMER_TOKENS => {
                    self.hosts.handle_host_timer(n - hosts::HOST_TIMER_TOKENS, at, &mut self.context)
                }
                n if n % 2 == 0 => self.clients.handle_timer((n - 2) / 2, at, &mut self.context),
                n => self.hosts.handle_timer((n - 3) / 2, at, &mut self.context),
            }
        }
        while let Some(step) = self.shutdown.as_mut().and_then(|shutdown| shutdown.take_step(now)) {
            self.shut_down(step);
        }
    }

    fn shut_down(&mut self, step: ShutdownStep) {
        match step {
            ShutdownStep::StopReading => {
                // Everything that has connected by now is accepted, as far as there is room.
                self.listener.force_accept();
                self.accept();
                let statements = self.dispatcher.open_statements();
                let clients = self.clients.shut_down(&mut self.context);
                info!(self.context.log, "shutdown: no further commands are read"; "busy_clients" => clients,
                    "statements" => statements, "listening" => self.listener.is_open());
            }
            ShutdownStep::RefuseUnanswered => {
                self.listener.close();
                if let Some(pending_client) = self.pending_client.take() {
                    self.drop_pending_client(pending_client.refused);
                }
                let clients = self.clients.refuse_unanswered(&mut self.context);
                warn!(self.context.log, "shutdown: what has no answer yet is refused"; "clients" => clients);
            }
            ShutdownStep::CloseAll => {
                let clients = self.clients.close_all(&mut self.context);
                warn!(self.context.log, "shutdown: all connections are closed"; "clients" => clients);
            }
        }
    }

    fn begin_shutdown(&mut self) {
        if self.shutdown.is_none() {
            let shutdown = Shutdown::begin(self.context.clock.now(), self.longest_deadline);
            self.clients.limit_deadlines(shutdown.latest_deadline());
            self.shutdown = Some(shutdown);
        }
    }

    fn handle_control_messages(&mut self) {
        while let Some(message) = self.control_messages.try_recv() {
            match message {
                ControlMessage::End => self.begin_shutdown(),
                ControlMessage::Keys(keys) => self.members.iter_mut().for_each(|m| m.rotate(keys.clone())),
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
                    self.hosts.close_idle(key, Ending::IdleEvicted, &mut self.context);
                }
                Claim::Evict(_, key) => self.clients.request_close(key, &mut self.context),
                Claim::Full => return false,
            }
        }
    }

    /// What happens to a waiting connection for which no idle one can be closed.
    fn admission(&self, now: f64) -> Admission {
        if now < self.listener.overdue_at() {
            return Admission::Wait;
        }
        let serves = !self.clients.has_idle_new_clients();
        self.context.budget.admission(serves, now >= self.listener.refuse_at())
    }

    /// Whether one more client can be accepted now, if only to refuse its statement.
    fn has_room(&self, now: f64) -> bool {
        let has_descriptor =
            self.pending_client.is_some() || self.context.budget.can_claim(Holder::ClientConnection);
        has_descriptor || self.admission(now) != Admission::Wait
    }

    /// When to try `accept` without an event.
    fn accept_due(&self) -> f64 {
        let now = self.context.clock.now();
        if self.has_room(now) {
            return self.listener.due();
        }
        // A connection that ends or becomes idle before that wakes the loop.
        let next = [self.listener.overdue_at(), self.listener.refuse_at()];
        next.into_iter().filter(|at| *at > now).fold(f64::INFINITY, f64::min)
    }

    /// Whether the next free descriptor is reserved for the listen queue rather than for an upstream connection.
    fn reserves_for_queue(&self) -> bool {
        let is_overdue = self.context.clock.now() >= self.listener.overdue_at();
        let serves = !self.clients.has_idle_new_clients() && self.context.budget.clients_below_limit();
        is_overdue && serves && self.listener.is_open()
    }

    /// Whether a connection could be accepted now, if one is waiting.
    fn can_accept(&self) -> bool {
        let now = self.context.clock.now();
        self.listener.is_due(now) && self.has_room(now)
    }

    fn accept(&mut self) {
        for _ in 0..MAX_ACCEPTS {
            if !self.can_accept() {
                break;
            }
            let Some(next) = self.pending_client.take().or_else(|| self.accept_next()) else { continue };
            self.set_up_client(next);
        }
        let now = self.context.clock.now();
        if !self.has_room(now) {
            self.listener.record_no_room(now);
        }
    }

    /// The next connection of the listen queue, counted in the budget.
    fn accept_next(&mut self) -> Option<PendingClient> {
        let now = self.context.clock.now();
        match self.listener.accept(&self.context.registry, now) {
            AcceptResult::Connection(stream, waited_since) => {
                self.context.counters.connections.add();
                self.context.counters.longest_accept_wait_ms.record_max_ms(now - waited_since);
                let refused = !self.claim(Holder::ClientConnection)
                    && self.claim_beyond_share(now) == Admission::Refuse;
                if let Some(key) = self.context.budget.take_surplus_client() {
                    self.clients.request_close(key, &mut self.context);
                }
                Some(PendingClient { stream, waited_since, give_up_at: now + SETUP_TIMEOUT_S, refused })
            }
            AcceptResult::Empty => {
                if self.window_closed() {
                    self.listener.close();
                }
                None
            }
            AcceptResult::Failed(failure, error) => {
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
            Admission::Serve => self.claim_evicting_upstream(),
            // The idle connections chosen for closing had just sent a statement: the limit is exceeded by one for a
            // moment.
            Admission::Wait => self.context.budget.take(Holder::ClientConnection),
        }
        admission
    }

    fn claim_evicting_upstream(&mut self) {
        loop {
            match self.context.budget.claim_beyond_share() {
                Claim::Granted => return,
                Claim::Evict(_, key) => self.hosts.close_idle(key, Ending::IdleEvicted, &mut self.context),
                Claim::Full => return self.context.budget.take(Holder::ClientConnection),
            }
        }
    }

    fn accept_failed(&mut self, now: f64, failure: AcceptFailure, error: &io::Error) {
        self.context.counters.accept_errors.add();
        if self.accept_failure_log.admits(now, failure) {
            warn!(self.context.log, "accept: {error}"; "failure" => ?failure);
        }
        // A single failure may be transient; the budget keeps this process well below its limit.
        if failure == AcceptFailure::DescriptorsSpent && self.listener.failures() >= FAILURES_TO_EVICT {
            self.evict_oldest_idle();
        }
    }

    /// Closes the oldest idle connection: the platform grants fewer descriptors than the configuration promises.
    fn evict_oldest_idle(&mut self) {
        match self.context.budget.take_oldest_idle() {
            Some((Holder::UpstreamConnection, key)) => {
                self.hosts.close_idle(key, Ending::IdleEvicted, &mut self.context)
            }
            Some((_, key)) => self.clients.request_close(key, &mut self.context),
            None => {}
        }
    }

    /// Hands a connection to the clients, or keeps it for another try.
    fn set_up_client(&mut self, next: PendingClient) {
        let now = self.context.clock.now();
        let PendingClient { stream, waited_since, give_up_at, refused } = next;
        let Err((stream, error)) = self.clients.accept(stream, waited_since, refused, &mut self.context)
        else {
            return;
        };
        if now < give_up_at {
            self.accept_failed(now, AcceptFailure::MachineShort, &error);
            self.listener.pause(now);
            self.pending_client = Some(PendingClient { stream, waited_since, give_up_at, refused });
        } else {
            self.drop_pending_client(refused);
            warn!(self.context.log, "client not served: {error}");
        }
    }

    /// Counts a connection that was accepted and is closed without having been set up.
    fn drop_pending_client(&mut self, refused: bool) {
        match refused {
            true => self.context.budget.release_refused(),
            false => self.context.budget.release(Holder::ClientConnection),
        }
        self.context.counters.count_close(CloseReason::ClientSetupFailed);
    }

    fn window_closed(&self) -> bool {
        self.shutdown.as_ref().is_some_and(Shutdown::window_closed)
    }

    fn finished(&self) -> bool {
        self.window_closed()
            && !self.listener.is_open()
            && self.pending_client.is_none()
            && self.clients.is_empty()
    }

    /// Everything is answered, so the state of the sessions is complete and is stored as such.
    fn end(&mut self) {
        let (end_sender, ended) = single_slot_mailbox::<()>();
        if self
            .session_messages
            .as_ref()
            .is_some_and(|messages| messages.send(SessionMessage::End(end_sender)))
        {
            self.decide(true);
            let end_at = self.shutdown.as_ref().map_or(f64::INFINITY, Shutdown::end_at);
            let timeout = (end_at - self.context.clock.now()).clamp(MIN_SESSIONS_END_S, MAX_SESSIONS_END_S);
            let _ = ended.recv(Some(Duration::from_secs_f64(timeout)));
        }
        if let Some(members) = &mut self.members {
            members.leave(self.context.clock.now());
        }
        info!(self.context.log, "all answered");
    }
}
