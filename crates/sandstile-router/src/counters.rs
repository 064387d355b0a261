//! What the router took in, sent and answered; printed on SIGUSR1 and at the end.
use crate::close_reason::{self, CloseReason};
use crate::outcome::{self, Ending};
use sandstile_dispatcher::{Count, Counts};
use std::fmt;
use std::sync::Arc;

#[derive(Default)]
pub struct Counters {
    pub desk: Arc<Counts>,
    pub connections: Count,
    pub empty_queries: Count,
    pub bad_input: Count,
    pub rested: Count,
    pub sent: Count,
    pub dialled: Count,
    pub probes: Count,
    pub forsaken: Count,
    pub lists: Count,
    pub bad_lists: Count,
    pub watches: Count,
    /// Dials that waited for their turn.
    pub dials_held: Count,
    /// Arrivals that a recording has not kept.
    pub unrecorded: Count,
    /// Routers that are there, this one among them; and of their letters, where our own file turns members on.
    pub members: Count,
    /// 0 agreed, 1 settling, 2 cut off from some, 3 alone.
    pub view: Count,
    pub view_changes: Count,
    pub member_deaths: Count,
    pub names_taken: Count,
    pub letters: Count,
    pub letters_refused: Count,
    /// Database hosts that are known now.
    pub hosts: Count,
    /// Statements that were read only once their client had ended its sending.
    pub read_too_late: Count,
    /// Reads that found bytes of which no readiness had told.
    pub found_by_look: Count,
    /// Dials begun again after this machine's own trouble.
    pub dials_repeated: Count,
    /// Calls of `accept` that failed, but for an empty queue.
    pub accept_errors: Count,
    /// Statements refused on connections that there was no room to serve.
    pub refused_for_room: Count,
    /// The longest turn of the loop, the longest wait of a connection to be accepted as far as can be told, and the
    /// longest wait of a link for a descriptor, in milliseconds.
    pub longest_turn_ms: Count,
    pub longest_accept_wait_ms: Count,
    pub longest_dial_wait_ms: Count,
    endings: [Count; outcome::ALL.len()],
    closings: [Count; close_reason::ALL.len()],
}

impl Counters {
    pub fn ended(&self, ending: Ending) {
        self.endings[ending as usize].add();
    }

    pub fn closed(&self, closing: CloseReason) {
        self.closings[closing as usize].add();
    }
}

/// One line of `name=value`, the same names in the same order each time.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let plain = [
            ("connections", &self.connections),
            ("taken", &self.desk.taken),
            ("completed", &self.desk.completed),
            ("rejected", &self.desk.rejected),
            ("aborted", &self.desk.aborted),
            ("forsaken", &self.forsaken),
            ("clients_gone", &self.desk.clients_gone),
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
            ("storms", &self.desk.storms),
            ("turned_away", &self.desk.turned_away),
            ("dials_held", &self.dials_held),
            ("ramped", &self.desk.ramped),
            ("probes_left", &self.desk.probes_left),
            ("stalls", &self.desk.stalls),
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
            ("further_executions", &self.desk.further_executions),
            ("refused_for_room", &self.refused_for_room),
            ("longest_turn_ms", &self.longest_turn_ms),
            ("longest_accept_wait_ms", &self.longest_accept_wait_ms),
            ("longest_dial_wait_ms", &self.longest_dial_wait_ms),
        ];
        write!(f, "counters")?;
        for (name, count) in plain {
            write!(f, " {name}={}", count.get())?;
        }
        for ending in outcome::ALL {
            write!(f, " {ending:?}={}", self.endings[ending as usize].get())?;
        }
        for closing in close_reason::ALL {
            write!(f, " {closing:?}={}", self.closings[closing as usize].get())?;
        }
        for (cause, count) in self.desk.refusals().chain(self.desk.unsent()) {
            write!(f, " {cause}={}", count.get())?;
        }
        Ok(())
    }
}
