//! Who is primary in a group: a lost primary is found out, the furthest replica takes over, and a primary that
//! drains hands over without loss. Pure: it is shown the members and says what is to be done.

/// A member as its group sees it.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub host: usize,
    /// It runs and can be heard.
    pub heard: bool,
    /// It may be primary: listed as active.
    pub eligible: bool,
    /// How many commits it has received.
    pub received: u64,
    pub applied: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// The primary takes no further writes, for it hands over.
    Close { host: usize },
    /// This host is primary of this term from now on; of the log only so many commits stand.
    Promote { host: usize, term: u64, keep: u64 },
    /// Nobody is primary.
    Vacate,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Led,
    /// The primary has not been heard since.
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

    /// The member that has received the most; where two are equal the first, as all members would agree.
    fn furthest(members: &[Seen], but: Option<usize>) -> Option<Seen> {
        let fit = |m: &&Seen| m.heard && m.eligible && Some(m.host) != but;
        members
            .iter()
            .filter(fit)
            .copied()
            .reduce(|best, m| if m.received > best.received { m } else { best })
    }

    fn promote(&mut self, to: Seen) -> Vec<Step> {
        self.primary = Some(to.host);
        self.term += 1;
        self.state = State::Led;
        vec![Step::Promote { host: to.host, term: self.term, keep: to.received }]
    }

    /// A look at the members, some of which may have changed.
    pub fn look(&mut self, now: f64, members: &[Seen]) -> Vec<Step> {
        let seen = self.primary.and_then(|p| members.iter().find(|m| m.host == p)).copied();
        match self.state {
            State::Led | State::HandingOver { .. } if !seen.is_some_and(|p| p.heard) => {
                self.state = State::Missing { since: now };
                Vec::new()
            }
            State::Led => match seen {
                Some(p) if !p.eligible && Self::furthest(members, Some(p.host)).is_some() => {
                    self.state = State::HandingOver { since: now };
                    vec![Step::Close { host: p.host }]
                }
                _ => Vec::new(),
            },
            State::HandingOver { since } => {
                let Some(from) = seen else { return Vec::new() };
                match Self::furthest(members, Some(from.host)) {
                    // It waits for one that has received all: then nothing is lost.
                    Some(to) if now >= since + self.elect_s && to.received >= from.received => {
                        self.promote(to)
                    }
                    _ => Vec::new(),
                }
            }
            State::Missing { .. } if seen.is_some_and(|p| p.heard) => {
                self.state = State::Led;
                // It may have been asked to leave in the meantime.
                self.look(now, members)
            }
            State::Missing { since } if now < since + self.detect_s => Vec::new(),
            State::Missing { .. } => {
                self.state = State::Vacant { since: now };
                self.primary = None;
                vec![Step::Vacate]
            }
            State::Vacant { since } => match Self::furthest(members, None) {
                Some(to) if now >= since + self.elect_s => self.promote(to),
                _ => Vec::new(),
            },
        }
    }

    /// When to look again though nothing has changed.
    pub fn wake_at(&self) -> Option<f64> {
        match self.state {
            State::Led => None,
            State::Missing { since } => Some(since + self.detect_s),
            State::Vacant { since } | State::HandingOver { since } => Some(since + self.elect_s),
        }
    }
}
