//! What a router that returns may believe, and whom it asks. It knows all only once two peers, or the one that there is, held the
//! same as it does; until then whoever is not found in its copy may have written, and its reads go to the primary.
use std::collections::BTreeSet;

/// What the disk held, as far as it could be read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoredCopy {
    /// Nothing, cut short, or spoilt.
    Unreadable,
    /// Whole in itself: the life that wrote it, its last number, and whether that life said at its end that this is all.
    Intact { generation: u64, version: u64, ended_cleanly: bool },
}

/// What is known of this instance's former life from elsewhere: a witness file that is not backed up with the copy, and peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Witness {
    /// The last life that began, and the last number that it put down.
    pub file: Option<(u64, u64)>,
    /// The highest life of ours, before this one, that any peer met.
    pub peers: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Its facts are taken up, and what is not found was not written.
    All,
    /// Its facts are taken up, for facts bind whoever reads them to more; what is not found may have been written.
    Some,
    /// As good as nothing.
    None,
}

/// How far a copy from the disk is believed. A copy that is whole and old looks like one that is whole and new: only what was
/// kept apart from it tells them from each other. Alone and without a witness it says nothing of what it lacks.
pub fn assess_trust(stored: StoredCopy, witness: Witness) -> Trust {
    let StoredCopy::Intact { generation, version, ended_cleanly } = stored else { return Trust::None };
    let later_life = witness.peers.is_some_and(|met| met > generation)
        || witness.file.is_some_and(|(began, _)| began > generation);
    let later_number = witness.file.is_some_and(|(began, put)| began == generation && put > version);
    let vouched = witness.file.is_some_and(|(began, put)| (began, put) == (generation, version));
    if later_life || later_number || !vouched || !ended_cleanly {
        return Trust::Some;
    }
    Trust::All
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SyncState {
    /// Nobody was asked yet.
    NotStarted,
    CatchingUp,
    /// Knows all that those asked know.
    InSync,
    /// Knew all at that time; nobody could be asked since.
    InSyncAsOf(f64),
    /// Nobody is left that knows: all that is not found counts as written.
    Isolated,
}

/// Peers that are asked: one may have missed what the other heard.
const ASKED: usize = 2;
/// Seconds for a comparison to get on before another is asked, and without anybody before that is said.
const PATIENCE: f64 = 2.0;
const NOBODY: f64 = 3.0;
/// Seconds since a comparison found no difference for which it counts.
const COUNTS: f64 = 8.0;

#[derive(Clone, Debug)]
struct Ask {
    peer: String,
    since: f64,
    same: bool,
}

#[derive(Clone, Debug)]
pub struct CatchUp {
    own: String,
    generation: u64,
    began: f64,
    sync_state: SyncState,
    asked: Vec<Ask>,
    tried: BTreeSet<String>,
    same_at: Option<f64>,
}

/// Spreads those that return over their peers: each has an order of its own, by its name and life.
fn weight(own: &str, generation: u64, peer: &str) -> u64 {
    let mut hash = blake3::Hasher::new();
    hash.update(own.as_bytes());
    hash.update(&generation.to_be_bytes());
    hash.update(peer.as_bytes());
    crate::fact::eight(&hash)
}

impl CatchUp {
    pub fn new(own: &str, generation: u64, trust: Trust, now: f64) -> CatchUp {
        // All that the former life knew is not all that was written since.
        let sync_state = if trust == Trust::All { SyncState::InSyncAsOf(now) } else { SyncState::NotStarted };
        let (asked, tried) = (Vec::new(), BTreeSet::new());
        CatchUp { own: own.to_string(), generation, began: now, sync_state, asked, tried, same_at: None }
    }

    pub fn sync_state(&self) -> SyncState {
        self.sync_state
    }

    /// Whether what is not found in the copy was not written. A mark that is found binds in every standing.
    pub fn knows_all(&self) -> bool {
        self.sync_state == SyncState::InSync
    }

    /// Peers with whom a comparison is to go on.
    pub fn asks(&self) -> impl Iterator<Item = &str> {
        self.asked.iter().map(|a| a.peer.as_str())
    }

    /// A comparison with this peer found no difference.
    pub fn same(&mut self, now: f64, peer: &str) {
        if let Some(ask) = self.asked.iter_mut().find(|a| a.peer == peer) {
            ask.same = true;
            ask.since = now;
        }
    }

    /// A comparison with this peer gets on: it need not be asked of another.
    pub fn gets_on(&mut self, now: f64, peer: &str) {
        if let Some(ask) = self.asked.iter_mut().find(|a| a.peer == peer && !a.same) {
            ask.since = now;
        }
    }

    /// What was believed of a stored copy is not any more: it was an old one.
    pub fn doubt(&mut self) {
        if let SyncState::InSyncAsOf(_) = self.sync_state {
            self.sync_state = SyncState::CatchingUp;
        }
    }

    /// A look: these peers are there, as far as this router sees.
    pub fn look(&mut self, now: f64, there: &BTreeSet<String>) {
        self.asked.retain(|a| there.contains(&a.peer) && (a.same || now < a.since + PATIENCE));
        // A same of long ago says nothing of now: it is asked again.
        self.asked.iter_mut().filter(|a| a.same && now > a.since + COUNTS).for_each(|a| a.same = false);
        let mut order: Vec<&String> = there.iter().filter(|p| **p != self.own).collect();
        order.sort_by_key(|p| (self.tried.contains(*p), weight(&self.own, self.generation, p)));
        for peer in order {
            if self.asked.len() >= ASKED {
                break;
            }
            if self.asked.iter().all(|a| a.peer != *peer) {
                self.asked.push(Ask { peer: peer.clone(), since: now, same: false });
                self.tried.insert(peer.clone());
            }
        }
        if self.tried.len() >= there.len() {
            self.tried.clear();
        }
        let wanted = there.iter().filter(|p| **p != self.own).count().min(ASKED);
        let whole = wanted > 0 && self.asked.iter().filter(|a| a.same).count() >= wanted;
        self.sync_state = match self.sync_state {
            _ if whole => {
                self.same_at = Some(now);
                SyncState::InSync
            }
            SyncState::InSync => SyncState::InSyncAsOf(self.same_at.unwrap_or(now)),
            SyncState::InSyncAsOf(at) if wanted == 0 || now < at + COUNTS => SyncState::InSyncAsOf(at),
            SyncState::NotStarted | SyncState::Isolated if wanted == 0 => match now >= self.began + NOBODY {
                true => SyncState::Isolated,
                false => self.sync_state,
            },
            _ if wanted == 0 => SyncState::Isolated,
            _ => SyncState::CatchingUp,
        };
    }
}
