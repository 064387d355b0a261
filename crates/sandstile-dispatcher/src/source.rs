//! Where facts come from that no answer tells: discovery, what sessions have seen, the other routers. Each source is asked at the
//! same few places, and knows nothing of the desk.
use crate::messages::{FinalAnswer, HostListUpdate, StatementRequest};
use crate::outcome::Outcome;
use sandstile_policy::terms::ReadRequirement;

/// What a source has to tell the decisions.
pub enum DispatcherInput {
    HostList(HostListUpdate),
    /// So many routers share the hosts.
    RouterCount(f64),
    /// Another router met the host of this name refusing, so many seconds ago.
    RefusedElsewhere(String, f64),
}

/// All methods have a default for sources that have nothing to say there.
pub trait Source: Send {
    /// Whether something waits to be told: who drives the desk must not sleep over it.
    fn pending(&self) -> bool {
        false
    }

    /// What has come since this was asked last.
    fn take_inputs(&mut self, _now: f64) -> Vec<DispatcherInput> {
        Vec::new()
    }

    /// The decisions look for the primary of a group, and want this host of it probed: `false` where another router does that.
    fn may_probe(&mut self, _now: f64, _host: &str) -> bool {
        true
    }

    /// A probe of this host has ended.
    fn probe_ended(&mut self, _now: f64, _host: &str, _outcome: &Outcome) {}

    /// An execution at this host has ended.
    fn execution_ended_on_host(&mut self, _now: f64, _host: &str, _outcome: &Outcome) {}

    /// A statement has come, and may still be turned away.
    fn statement_arrived(&mut self, _now: f64, _asked: &StatementRequest) {}

    /// It goes to the decisions: what its read has to reach by what is known here. `term` is what its group's hosts have told, 0
    /// where nothing.
    fn read_requirement(
        &mut self,
        _now: f64,
        _asked: &StatementRequest,
        _term: u64,
    ) -> Option<ReadRequirement> {
        None
    }

    /// An execution of it has ended. An answer that holds less than it must is made none here.
    fn execution_ended(&mut self, _now: f64, _stmt: u64, _outcome: &mut Outcome) {}

    /// It completes. The answer comes back, or is kept until the source gives it by a way of its own.
    fn completed(&mut self, _now: f64, _outcome: &Outcome, answer: FinalAnswer) -> Option<FinalAnswer> {
        Some(answer)
    }

    /// It has completed behind its client's back.
    fn completed_without_client(&mut self, _now: f64, _stmt: u64, _outcome: &Outcome) {}

    /// Nothing more comes of it.
    fn statement_closed(&mut self, _stmt: u64) {}
}
