//! The connections that wait to be dialled: for a descriptor, for the dial pacing, or for another try after an error of
//! this machine.
use crate::counters::Counters;
use crate::upstream_slot::UpstreamSlot;
use sandstile_restart_pacing::{DialDecision, DialPacer};
use slab::Slab;
use std::collections::VecDeque;
use std::net::SocketAddr;

/// A connection that has not been dialled yet.
#[derive(Clone, Copy)]
pub struct PendingDial {
    pub key: usize,
    pub dial_number: u64,
    pub address: SocketAddr,
}

impl PendingDial {
    /// Whether its connection still waits: it may have timed out, and its key may be another one's by now.
    pub fn is_waiting(&self, slots: &Slab<UpstreamSlot>) -> bool {
        slots.get(self.key).is_some_and(|slot| {
            slot.dial_number == self.dial_number && slot.socket.is_none() && !slot.connection.dialling()
        })
    }
}

/// The queue of these connections, in the order of their requests.
pub struct DialQueue {
    pending: VecDeque<PendingDial>,
    /// Dials requested so far; the next dial's number follows from it.
    requested: u64,
    /// Paces dials, where the local configuration file turns that on.
    pub pacer: Option<DialPacer>,
    /// When the next delayed dial may begin; infinite where there is none.
    next_at: f64,
    /// No dial begins before this time: the last one failed with a local error of this machine.
    paused_until: f64,
}

impl Default for DialQueue {
    fn default() -> Self {
        DialQueue {
            pending: VecDeque::new(),
            requested: 0,
            pacer: None,
            next_at: f64::INFINITY,
            paused_until: f64::NEG_INFINITY,
        }
    }
}

impl DialQueue {
    /// The number of the next dial.
    pub fn next_number(&mut self) -> u64 {
        self.requested += 1;
        self.requested
    }

    pub fn push(&mut self, dial: PendingDial) {
        self.pending.push_back(dial);
    }

    /// Queues a dial again, before all others but not before `paused_until`.
    pub fn push_again(&mut self, dial: PendingDial, paused_until: f64) {
        self.pending.push_front(dial);
        self.paused_until = paused_until;
    }

    /// Takes the dial that `next_ready` has brought to the front.
    pub fn pop(&mut self) -> Option<PendingDial> {
        self.pending.pop_front()
    }

    /// Keys of the connections to this host that wait.
    pub fn waiting_at<'a>(
        &'a self,
        host: usize,
        slots: &'a Slab<UpstreamSlot>,
    ) -> impl Iterator<Item = usize> + 'a {
        let waits_here = move |dial: &&PendingDial| {
            dial.is_waiting(slots) && slots.get(dial.key).is_some_and(|slot| slot.host == host)
        };
        self.pending.iter().filter(waits_here).map(|dial| dial.key)
    }

    /// When a delayed dial may begin.
    pub fn due(&self) -> f64 {
        self.next_at
    }

    /// Brings the next connection that may be dialled to the front of the queue; `false` where there is none.
    pub fn next_ready(&mut self, now: f64, slots: &mut Slab<UpstreamSlot>, counters: &Counters) -> bool {
        self.next_at = f64::INFINITY;
        if now < self.paused_until {
            self.next_at = if self.pending.is_empty() { f64::INFINITY } else { self.paused_until };
            return false;
        }
        let Some(pacer) = &mut self.pacer else {
            while self.pending.front().is_some_and(|dial| !dial.is_waiting(slots)) {
                self.pending.pop_front();
            }
            return !self.pending.is_empty();
        };
        self.pending.retain(|dial| dial.is_waiting(slots));
        for index in 0..self.pending.len() {
            let Some(slot) = slots.get_mut(self.pending[index].key) else { continue };
            let decision = pacer.decide(now, slot.host);
            if decision != DialDecision::Now && !std::mem::replace(&mut slot.delayed, true) {
                counters.dials_held.add();
            }
            match decision {
                DialDecision::Now => {
                    self.pending.swap(0, index);
                    return true;
                }
                DialDecision::At(time) => self.next_at = self.next_at.min(time),
                DialDecision::AfterCurrent => {}
            }
        }
        false
    }
}
