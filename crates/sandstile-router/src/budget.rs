//! One budget of descriptors for clients and links, and one of memory for long commands and long values. What is
//! idle is on record here, so that the oldest can be told to go when a descriptor is wanted: links first, for a
//! client's connection costs the client a new one, and clients that have asked nothing before those that have.
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Holder {
    Link,
    /// A client that has yet to ask something.
    Stranger,
    Client,
}

type Leave = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct Held {
    links: usize,
    clients: usize,
    dismissed: bool,
    long: usize,
    idle: BTreeMap<(Holder, u64), Leave>,
    next: u64,
}

pub struct Budget {
    held: Mutex<Held>,
    freed: Condvar,
    most: usize,
    most_clients: usize,
    most_long: usize,
}

/// Bytes for one long command or value; given back when dropped.
pub struct Room {
    budget: Arc<Budget>,
    bytes: usize,
}

/// One descriptor; given back when dropped.
pub struct Slot {
    budget: Arc<Budget>,
    holder: Holder,
}

/// The record that something is idle; struck out when dropped.
pub struct Idle {
    budget: Arc<Budget>,
    key: (Holder, u64),
}

/// One that was told to go may be in use again by then; another is told after so long.
const ASK_AGAIN: Duration = Duration::from_millis(20);

impl Budget {
    pub fn new(most: usize, most_clients: usize, most_long: usize) -> Arc<Self> {
        Arc::new(Budget { held: Mutex::default(), freed: Condvar::new(), most, most_clients, most_long })
    }

    /// Clients and hosts can make each connection hold a long frame; not all of them at once.
    pub fn room(self: &Arc<Self>, bytes: usize) -> Option<Room> {
        let mut held = self.held();
        if held.long + bytes > self.most_long {
            return None;
        }
        held.long += bytes;
        Some(Room { budget: self.clone(), bytes })
    }

    /// One value takes no more than an eighth of the room, as it comes and as it goes on: what says to be longer
    /// could not be passed on, whether it is true or not.
    pub fn longest_value(&self) -> usize {
        self.most_long / 16
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().expect("no holder panics under the lock")
    }

    fn crowd(&self, holder: Holder, held: &Held) -> bool {
        holder != Holder::Link && held.clients >= self.most_clients
    }

    fn full(&self, holder: Holder, held: &Held) -> bool {
        self.crowd(holder, held) || held.links + held.clients >= self.most
    }

    /// Waits so long at most, while idle ones are told to go, the oldest first.
    pub fn take(self: &Arc<Self>, holder: Holder, wait: Duration) -> Option<Slot> {
        let until = Instant::now() + wait;
        let mut held = self.held();
        loop {
            let crowd = self.crowd(holder, &held);
            if !self.full(holder, &held) {
                match holder {
                    Holder::Link => held.links += 1,
                    _ => held.clients += 1,
                }
                // Clients share what they may hold here: where a quarter rests, the oldest goes for what comes,
                // or a crowd that asks nothing would leave the others no connection.
                let mut resting = held.idle.range((Holder::Stranger, 0)..).map(|(key, _)| *key);
                let oldest = resting.next();
                if holder != Holder::Link && resting.count() >= self.most_clients / 4 {
                    let leave = oldest.and_then(|key| held.idle.remove(&key));
                    drop(held);
                    leave.into_iter().for_each(|leave| leave());
                }
                return Some(Slot { budget: self.clone(), holder });
            }
            let helps = |key: &&(Holder, u64)| !crowd || key.0 != Holder::Link;
            let oldest = held.idle.keys().find(helps).copied();
            if let Some(leave) = oldest.and_then(|key| held.idle.remove(&key)) {
                drop(held);
                leave();
                held = self.held();
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return None;
            }
            // One that was quick to go has gone by now, and tells nobody a second time.
            let still = |held: &mut Held| self.full(holder, held);
            let freed = self.freed.wait_timeout_while(held, left.min(ASK_AGAIN), still);
            held = freed.expect("no holder panics").0;
        }
    }

    /// Tells the oldest idle one to go, where the platform gives fewer descriptors than were promised.
    pub fn make_room(&self) {
        let oldest = self.held().idle.pop_first();
        if let Some((_, leave)) = oldest {
            leave();
        }
    }

    /// `leave` is called at most once, while the record stands.
    pub fn idle(self: &Arc<Self>, holder: Holder, leave: impl FnOnce() + Send + 'static) -> Idle {
        let mut held = self.held();
        held.next += 1;
        let key = (holder, held.next);
        if held.dismissed && holder != Holder::Link {
            drop(held);
            leave();
        } else {
            held.idle.insert(key, Box::new(leave));
        }
        Idle { budget: self.clone(), key }
    }

    /// Tells all idle clients to go, and from now on each that becomes idle.
    pub fn dismiss_clients(&self) {
        let mut held = self.held();
        held.dismissed = true;
        let clients = held.idle.split_off(&(Holder::Stranger, 0));
        drop(held);
        clients.into_values().for_each(|leave| leave());
    }

    pub fn wait_for_no_clients(&self) {
        let mut held = self.held();
        while held.clients > 0 {
            held = self.freed.wait(held).expect("no holder panics");
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut held = self.budget.held();
        match self.holder {
            Holder::Link => held.links -= 1,
            _ => held.clients -= 1,
        }
        self.budget.freed.notify_all();
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.budget.held().long -= self.bytes;
    }
}

impl Drop for Idle {
    fn drop(&mut self) {
        let leave = self.budget.held().idle.remove(&self.key);
        // What it holds may be the last of a socket, whose slot wants the lock.
        drop(leave);
    }
}
