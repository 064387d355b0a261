//! Primary election in a group. A lost primary is detected, the most advanced replica takes over, and a draining
//! primary hands over without loss of commits. It has no side effects: it receives the state of the members and
//! returns the role changes to make.

/// A group member as the election sees it.
#[derive(Clone, Copy, Debug)]
pub struct MemberState {
    pub host: usize,
    /// Whether the member runs and its messages get out.
    pub is_reachable: bool,
    /// Whether the member may become primary: it is listed as active.
    pub eligible: bool,
    /// Number of commits that the member has received.
    pub received: u64,
    pub applied: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum RoleChange {
    /// The primary rejects further writes because a hand-over begins.
    CloseWrites { host: usize },
    /// This host becomes primary with this term; only the first `keep` commits of the log remain.
    Promote { host: usize, term: u64, keep: u64 },
    /// The group has no primary.
    Vacate,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Led,
    /// The primary has been unreachable since then.
    Missing {
        since: f64,
    },
    Vacant {
        since: f64,
    },
    HandingOver {
        since: f64,
    },
}

pub struct Roles {
    pub primary: Option<usize>,
    pub term: u64,
    state: State,
    detect_s: f64,
    elect_s: f64,
}

impl Roles {
    pub fn new(primary: usize, detect_s: f64, elect_s: f64) -> Self {
        Roles { primary: Some(primary), term: 1, state: State::Led, detect_s, elect_s }
    }

    pub fn handing_over(&self) -> bool {
        matches!(self.state, State::HandingOver { .. })
    }

    /// The eligible member with the most received commits. The first of equal ones wins, so that all members agree.
    fn most_advanced(members: &[MemberState], except: Option<usize>) -> Option<MemberState> {
        let can_lead = |m: &&MemberState| m.is_reachable && m.eligible && Some(m.host) != except;
        members
            .iter()
            .filter(can_lead)
            .copied()
            .reduce(|best, m| if m.received > best.received { m } else { best })
    }

    fn promote(&mut self, to: MemberState) -> Vec<RoleChange> {
        self.primary = Some(to.host);
        self.term += 1;
        self.state = State::Led;
        vec![RoleChange::Promote { host: to.host, term: self.term, keep: to.received }]
    }

    /// Evaluates the state of the members and returns the role changes that follow from it.
    pub fn evaluate(&mut self, now: f64, members: &[MemberState]) -> Vec<RoleChange> {
        let primary_state = self.primary.and_then(|p| members.iter().find(|m| m.host == p)).copied();
        match self.state {
            State::Led | State::HandingOver { .. } if !primary_state.is_some_and(|p| p.is_reachable) => {
                self.state = State::Missing { since: now };
                Vec::new()
            }
            State::Led => match primary_state {
                Some(p) if !p.eligible && Self::most_advanced(members, Some(p.host)).is_some() => {
                    self.state = State::HandingOver { since: now };
                    vec![RoleChange::CloseWrites { host: p.host }]
                }
                _ => Vec::new(),
            },
            State::HandingOver { since } => {
                let Some(from) = primary_state else { return Vec::new() };
                match Self::most_advanced(members, Some(from.host)) {
                    // The hand-over waits until a replica has received all commits, so that none is lost.
                    Some(to) if now >= since + self.elect_s && to.received >= from.received => {
                        self.promote(to)
                    }
                    _ => Vec::new(),
                }
            }
            State::Missing { .. } if primary_state.is_some_and(|p| p.is_reachable) => {
                self.state = State::Led;
                // The primary may have been marked as leaving in the meantime.
                self.evaluate(now, members)
            }
            State::Missing { since } if now < since + self.detect_s => Vec::new(),
            State::Missing { .. } => {
                self.state = State::Vacant { since: now };
                self.primary = None;
                vec![RoleChange::Vacate]
            }
            State::Vacant { since } => match Self::most_advanced(members, None) {
                Some(to) if now >= since + self.elect_s => self.promote(to),
                _ => Vec::new(),
            },
        }
    }

    /// When to evaluate again even if no member changes.
    pub fn wake_at(&self) -> Option<f64> {
        match self.state {
            State::Led => None,
            State::Missing { since } => Some(since + self.detect_s),
            State::Vacant { since } | State::HandingOver { since } => Some(since + self.elect_s),
        }
    }
}
