//! Inputs other than clients' statements and hosts' answers: discovery, session state and other routers. The
//! dispatcher calls every source at the same few points; sources do not depend on the dispatcher.
use crate::messages::{FinalAnswer, HostListUpdate, StatementRequest};
use crate::outcome::Outcome;
use sandstile_policy::terms::ReadRequirement;

/// An input to the routing policy.
pub enum DispatcherInput {
    HostList(HostListUpdate),
    /// The number of routers that share the hosts.
    RouterCount(f64),
    /// Another router was refused by the host of this name, this many seconds ago.
    RefusedElsewhere(String, f64),
}

/// A source of inputs. Every method has a default for sources that do not use it.
pub trait Source: Send {
    /// Whether inputs wait to be taken; the event loop must not sleep in that case.
    fn pending(&self) -> bool {
        false
    }

    /// Takes the inputs that have come since the last call.
    fn take_inputs(&mut self, _now: f64) -> Vec<DispatcherInput> {
        Vec::new()
    }

    /// Whether this router may probe the host to find its group's primary; `false` if another router does so.
    fn may_probe(&mut self, _now: f64, _host: &str) -> bool {
        true
    }

    /// A probe of this host has ended.
    fn probe_ended(&mut self, _now: f64, _host: &str, _outcome: &Outcome) {}

    /// An execution on this host has ended.
    fn execution_ended_on_host(&mut self, _now: f64, _host: &str, _outcome: &Outcome) {}

    /// A statement has arrived. It may still be turned away.
    fn statement_arrived(&mut self, _now: f64, _request: &StatementRequest) {}

    /// The statement was admitted. Returns the position that its read has to see, as far as this source
    /// knows. `term` is the term reported by the hosts of its group, 0 if none was.
    fn read_requirement(
        &mut self,
        _now: f64,
        _request: &StatementRequest,
        _term: u64,
    ) -> Option<ReadRequirement> {
        None
    }

    /// An execution of the statement has ended. A source may change the outcome, for example if the answer
    /// lacks writes that the read has to see.
    fn execution_ended(&mut self, _now: f64, _statement_id: u64, _outcome: &mut Outcome) {}

    /// The statement completes. Returns the answer, or keeps it if the source delivers it later by itself.
    fn completed(&mut self, _now: f64, _outcome: &Outcome, answer: FinalAnswer) -> Option<FinalAnswer> {
        Some(answer)
    }

    /// The statement completed after its client had left.
    fn completed_without_client(&mut self, _now: f64, _statement_id: u64, _outcome: &Outcome) {}

    /// The statement is finished.
    fn statement_closed(&mut self, _statement_id: u64) {}
}
