//! What a restarted router may trust and which peers it compares with. Its copy counts as complete only once two
//! peers, or the only peer there is, held the same state. Until then a session that is missing from the copy may have
//! written, so its reads go to the primary.
use std::collections::BTreeSet;

/// What was read from the disk.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StoredCopy {
    /// Missing, truncated or corrupt.
    Unreadable,
    /// Internally consistent: the generation that wrote it, its last version, and whether that generation recorded a
    /// clean shutdown, after which nothing is missing.
    Intact { generation: u64, version: u64, ended_cleanly: bool },
}

/// Evidence about this instance's previous generation from outside the stored copy: a witness file that is not backed
/// up together with the copy, and the peers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Witness {
    /// The last generation that started and the last version that it recorded.
    pub file: Option<(u64, u64)>,
    /// The highest earlier generation of this instance that any peer has met.
    pub peers: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// The facts are loaded, and whatever is missing was not written.
    All,
    /// The facts are loaded, because a fact only ever makes its reader more careful; whatever is missing may still
    /// have been written.
    Some,
    /// Nothing could be loaded.
    None,
}

/// How far a copy from the disk is trusted. An intact but outdated copy looks like a current one; only evidence that
/// is stored apart from the copy distinguishes them. Without a matching witness the copy says nothing about what it
/// lacks.
pub fn assess_trust(stored: StoredCopy, witness: Witness) -> Trust {
    let StoredCopy::Intact { generation, version, ended_cleanly } = stored else { return Trust::None };
    let newer_generation = witness.peers.is_some_and(|highest_met| highest_met > generation)
        || witness.file.is_some_and(|(witnessed_generation, _)| witnessed_generation > generation);
    let newer_version = witness.file.is_some_and(|(witnessed_generation, witnessed_version)| {
        witnessed_generation == generation && witnessed_version > version
    });
    let confirmed = witness.file.is_some_and(|(witnessed_generation, witnessed_version)| {
        (witnessed_generation, witnessed_version) == (generation, version)
    });
    if newer_generation || newer_version || !confirmed || !ended_cleanly {
        return Trust::Some;
    }
    Trust::All
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SyncState {
    /// No peer has been compared with yet.
    NotStarted,
    CatchingUp,
    /// Holds everything that the queried peers hold.
    InSync,
    /// Was in sync at this time; no peer could be compared with since.
    InSyncAsOf(f64),
    /// No peer is left to compare with: whatever is missing counts as possibly written.
    Isolated,
}

/// Peers to compare with. One alone may have missed what the other received.
const MAX_QUERIED_PEERS: usize = 2;
/// Seconds without progress after which a comparison moves to another peer, and seconds without any peer before the
/// state becomes [`SyncState::Isolated`].
const COMPARISON_TIMEOUT_SECONDS: f64 = 2.0;
const NO_PEERS_TIMEOUT_SECONDS: f64 = 3.0;
/// Seconds for which a comparison without differences stays valid.
const COMPARISON_VALIDITY_SECONDS: f64 = 8.0;

#[derive(Clone, Debug)]
struct QueriedPeer {
    peer: String,
    last_progress_at: f64,
    matched: bool,
}

#[derive(Clone, Debug)]
pub struct CatchUp {
    own_name: String,
    generation: u64,
    started_at: f64,
    sync_state: SyncState,
    queried: Vec<QueriedPeer>,
    tried: BTreeSet<String>,
    matched_at: Option<f64>,
}

/// Spreads restarted routers over their peers: each orders the peers differently, by its own name and generation.
fn weight(own_name: &str, generation: u64, peer: &str) -> u64 {
    let mut hash = blake3::Hasher::new();
    hash.update(own_name.as_bytes());
    hash.update(&generation.to_be_bytes());
    hash.update(peer.as_bytes());
    crate::fact::first_u64(&hash)
}

impl CatchUp {
    pub fn new(own_name: &str, generation: u64, trust: Trust, now: f64) -> CatchUp {
        // What the previous generation knew may lack what was written since.
        let sync_state = if trust == Trust::All { SyncState::InSyncAsOf(now) } else { SyncState::NotStarted };
        let (queried, tried) = (Vec::new(), BTreeSet::new());
        CatchUp {
            own_name: own_name.to_string(),
            generation,
            started_at: now,
            sync_state,
            queried,
            tried,
            matched_at: None,
        }
    }

    pub fn sync_state(&self) -> SyncState {
        self.sync_state
    }

    /// Whether whatever is missing from the copy was not written. A mark that is present is binding in every state.
    pub fn is_complete(&self) -> bool {
        self.sync_state == SyncState::InSync
    }

    /// Peers with which a comparison should run.
    pub fn queried_peers(&self) -> impl Iterator<Item = &str> {
        self.queried.iter().map(|q| q.peer.as_str())
    }

    /// A comparison with this peer found no difference.
    pub fn comparison_matched(&mut self, now: f64, peer: &str) {
        if let Some(queried_peer) = self.queried.iter_mut().find(|q| q.peer == peer) {
            queried_peer.matched = true;
            queried_peer.last_progress_at = now;
        }
    }

    /// A comparison with this peer made progress, so it need not move to another peer.
    pub fn comparison_progressed(&mut self, now: f64, peer: &str) {
        if let Some(queried_peer) = self.queried.iter_mut().find(|q| q.peer == peer && !q.matched) {
            queried_peer.last_progress_at = now;
        }
    }

    /// Withdraws the trust in the stored copy, because it turned out to be outdated.
    pub fn withdraw_trust(&mut self) {
        if let SyncState::InSyncAsOf(_) = self.sync_state {
            self.sync_state = SyncState::CatchingUp;
        }
    }

    /// Periodic update with the peers that this router can reach now.
    pub fn update_peers(&mut self, now: f64, live_peers: &BTreeSet<String>) {
        self.queried.retain(|q| {
            live_peers.contains(&q.peer)
                && (q.matched || now < q.last_progress_at + COMPARISON_TIMEOUT_SECONDS)
        });
        // An old match says nothing about the present: compare again.
        self.queried
            .iter_mut()
            .filter(|q| q.matched && now > q.last_progress_at + COMPARISON_VALIDITY_SECONDS)
            .for_each(|q| q.matched = false);
        let mut candidates: Vec<&String> = live_peers.iter().filter(|p| **p != self.own_name).collect();
        candidates.sort_by_key(|p| (self.tried.contains(*p), weight(&self.own_name, self.generation, p)));
        for peer in candidates {
            if self.queried.len() >= MAX_QUERIED_PEERS {
                break;
            }
            if self.queried.iter().all(|q| q.peer != *peer) {
                self.queried.push(QueriedPeer { peer: peer.clone(), last_progress_at: now, matched: false });
                self.tried.insert(peer.clone());
            }
        }
        if self.tried.len() >= live_peers.len() {
            self.tried.clear();
        }
        let required = live_peers.iter().filter(|p| **p != self.own_name).count().min(MAX_QUERIED_PEERS);
        let all_matched = required > 0 && self.queried.iter().filter(|q| q.matched).count() >= required;
        self.sync_state = match self.sync_state {
            _ if all_matched => {
                self.matched_at = Some(now);
                SyncState::InSync
            }
            SyncState::InSync => SyncState::InSyncAsOf(self.matched_at.unwrap_or(now)),
            SyncState::InSyncAsOf(at) if required == 0 || now < at + COMPARISON_VALIDITY_SECONDS => {
                SyncState::InSyncAsOf(at)
            }
            SyncState::NotStarted | SyncState::Isolated if required == 0 => {
                match now >= self.started_at + NO_PEERS_TIMEOUT_SECONDS {
                    true => SyncState::Isolated,
                    false => self.sync_state,
                }
            }
            _ if required == 0 => SyncState::Isolated,
            _ => SyncState::CatchingUp,
        };
    }
}
