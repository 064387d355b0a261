//! The router's counters, printed on SIGUSR1 and at exit.
use crate::close_reason::{self, CloseReason};
use crate::outcome::{self, Ending};
use sandstile_dispatcher::{Counter, DispatcherCounters};
use std::fmt;
use std::sync::Arc;

#[derive(Default)]
pub struct Counters {
    pub dispatcher: Arc<DispatcherCounters>,
    pub connections: Counter,
    pub empty_queries: Counter,
    pub bad_input: Counter,
    pub rested: Counter,
    pub sent: Counter,
    pub dialled: Counter,
    pub probes: Counter,
    pub forsaken: Counter,
    pub lists: Counter,
    pub bad_lists: Counter,
    pub watches: Counter,
    /// Dials that the dial pacing delayed.
    pub dials_held: Counter,
    /// Arrivals that could not be written to the recording.
    pub unrecorded: Counter,
    /// Routers that are alive, this one included, and the counters of membership messages, where the local
    /// configuration file turns membership on.
    pub members: Counter,
    /// 0 agreed, 1 settling, 2 cut off from some members, 3 alone.
    pub view: Counter,
    pub view_changes: Counter,
    pub member_deaths: Counter,
    pub names_taken: Counter,
    pub letters: Counter,
    pub letters_refused: Counter,
    /// Database hosts known at present.
    pub hosts: Counter,
    /// Statements that were read only after their client had closed its sending side.
    pub read_too_late: Counter,
    /// Reads that returned bytes although no readiness event had been reported.
    pub found_by_look: Counter,
    /// Dials retried after a local error of this machine.
    pub dials_repeated: Counter,
    /// Failed calls of `accept`, other than on an empty queue.
    pub accept_errors: Counter,
    /// Statements refused on connections for which no descriptor was left.
    pub refused_for_room: Counter,
    /// Commands and answers for which the memory for long ones had no room.
    pub refused_for_memory: Counter,
    /// Connections that were busy when the serving window of the shutdown closed, and commands that were read and
    /// refused because the shutdown had no time left.
    pub drained: Counter,
    pub refused_at_shutdown: Counter,
    /// Connections closed over unread bytes whose client had not closed its side in time.
    pub linger_expired: Counter,
    /// The longest iteration of the event loop, the longest time that a connection waited to be accepted (an upper
    /// bound), and the longest time that an upstream connection waited for a descriptor, in milliseconds.
    pub longest_turn_ms: Counter,
    pub longest_accept_wait_ms: Counter,
    pub longest_dial_wait_ms: Counter,
    endings: [Counter; outcome::ALL.len()],
    closings: [Counter; close_reason::ALL.len()],
}

impl Counters {
    pub fn count_ending(&self, ending: Ending) {
        self.endings[ending as usize].add();
    }

    pub fn count_close(&self, closing: CloseReason) {
        self.closings[closing as usize].add();
    }
}

/// One line of `name=value` pairs, with the same names in the same order each time.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let named_counters = [
            ("connections", &self.connections),
            ("taken", &self.dispatcher.taken),
            ("completed", &self.dispatcher.completed),
            ("rejected", &self.dispatcher.rejected),
            ("aborted", &self.dispatcher.aborted),
            ("forsaken", &self.forsaken),
            ("clients_gone", &self.dispatcher.clients_gone),
            ("empty_queries", &self.empty_queries),
            ("bad_input", &self.bad_input),
            ("rested", &self.rested),
            ("sent", &self.sent),
            ("dialled", &self.dialled),
            ("probes", &self.probes),
            ("lists", &self.lists),
            ("bad_lists", &self.bad_lists),
            ("watches", &self.watches),
            ("hosts", &self.hosts),
            ("unrecorded", &self.unrecorded),
            ("storms", &self.dispatcher.storms),
            ("turned_away", &self.dispatcher.turned_away),
            ("dials_held", &self.dials_held),
            ("ramped", &self.dispatcher.ramped),
            ("probes_left", &self.dispatcher.probes_left),
            ("stalls", &self.dispatcher.stalls),
            ("members", &self.members),
            ("view", &self.view),
            ("view_changes", &self.view_changes),
            ("member_deaths", &self.member_deaths),
            ("names_taken", &self.names_taken),
            ("letters", &self.letters),
            ("letters_refused", &self.letters_refused),
            ("read_too_late", &self.read_too_late),
            ("accept_errors", &self.accept_errors),
            ("found_by_look", &self.found_by_look),
            ("dials_repeated", &self.dials_repeated),
            ("further_executions", &self.dispatcher.further_executions),
            ("session_slots_shared", &self.dispatcher.session_slots_shared),
            ("ids_forgotten_early", &self.dispatcher.ids_forgotten_early),
            ("refused_for_room", &self.refused_for_room),
            ("refused_for_memory", &self.refused_for_memory),
            ("drained", &self.drained),
            ("refused_at_shutdown", &self.refused_at_shutdown),
            ("linger_expired", &self.linger_expired),
            ("longest_turn_ms", &self.longest_turn_ms),
            ("longest_accept_wait_ms", &self.longest_accept_wait_ms),
            ("longest_dial_wait_ms", &self.longest_dial_wait_ms),
        ];
        write!(f, "counters")?;
        for (name, count) in named_counters {
            write!(f, " {name}={}", count.get())?;
        }
        for ending in outcome::ALL {
            write!(f, " {ending:?}={}", self.endings[ending as usize].get())?;
        }
        for closing in close_reason::ALL {
            write!(f, " {closing:?}={}", self.closings[closing as usize].get())?;
        }
        for (cause, count) in self.dispatcher.refusals().chain(self.dispatcher.unsent()) {
            write!(f, " {cause}={}", count.get())?;
        }
        Ok(())
    }
}
