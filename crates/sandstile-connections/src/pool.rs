//! The links of one database host: which are idle, which are busy, and the jobs that wait for a dial. A dial belongs
//! to nobody: whichever link is free first takes the job that waits longest.
use crate::outcome::Ending;
use crate::task::Job;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What becomes of a job.
#[derive(Debug)]
pub enum Step {
    /// This link takes it, once the socket has been looked at.
    Hand(usize, Job),
    /// It waits; one more link is to be dialled at this address and made known by `dialled`.
    Dial(SocketAddr),
    /// It ends here.
    End(Job, Ending),
}

/// What becomes of a link that is free.
#[derive(Debug)]
pub enum Free {
    Hand(Job),
    Rest,
    /// The host has another address by now.
    Moved,
}

/// Where an execution was found that is to be withdrawn.
#[derive(Debug)]
pub enum Found {
    Waiting(Job),
    Under(usize),
    Nowhere,
}

#[derive(Debug, Default)]
pub struct Pool {
    address: Option<SocketAddr>,
    /// Counts the addresses: a link of an earlier one is not used again.
    address_no: u64,
    /// Last used last, each with the time since when.
    idle: Vec<(usize, f64)>,
    /// Each link that is up and not idle, with its address and what it does.
    busy: BTreeMap<usize, (u64, Option<(u64, usize)>)>,
    /// Each with the dial that was begun for it.
    waiting: VecDeque<(usize, Job)>,
    /// The job that the next dial is begun for.
    wanting: Option<Job>,
    /// Dials under way, with the number of the address they went to.
    dials: BTreeMap<usize, u64>,
}

impl Pool {
    /// Whether the list has told an address of this host.
    pub fn has_address(&self) -> bool {
        self.address.is_some()
    }

    /// The host's address as the list now has it: the idle links of the former one are to be closed.
    /// `None` where it has not changed.
    pub fn moved(&mut self, address: SocketAddr) -> Option<Vec<usize>> {
        if self.address == Some(address) {
            return None;
        }
        (self.address, self.address_no) = (Some(address), self.address_no + 1);
        Some(self.idle.drain(..).map(|(link, _)| link).collect())
    }

    /// A job comes.
    pub fn begin(&mut self, job: Job) -> Step {
        if let Some((link, _)) = self.idle.pop() {
            return self.hand(link, self.address_no, job);
        }
        let Some(address) = self.address else { return Step::End(job, Ending::NoAddress) };
        self.wanting = Some(job);
        Step::Dial(address)
    }

    fn hand(&mut self, link: usize, address_no: u64, job: Job) -> Step {
        self.busy.insert(link, (address_no, job.which()));
        Step::Hand(link, job)
    }

    /// The dial that was asked for last, under its name.
    pub fn dialled(&mut self, link: usize) {
        self.dials.insert(link, self.address_no);
        if let Some(job) = self.wanting.take() {
            self.waiting.push_back((link, job));
        }
    }

    /// A link that was handed a job had ended unseen: the job takes another.
    pub fn stale(&mut self, link: usize) {
        self.busy.remove(&link);
    }

    pub fn find(&mut self, which: (u64, usize)) -> Found {
        if let Some(at) = self.waiting.iter().position(|(_, job)| job.is(which)) {
            let (_, job) = self.waiting.remove(at).expect("found just now");
            return Found::Waiting(job);
        }
        let under = self.busy.iter().find(|(_, (_, does))| *does == Some(which));
        under.map_or(Found::Nowhere, |(link, _)| Found::Under(*link))
    }

    /// A dial is up.
    pub fn up(&mut self, link: usize, now: f64) -> Free {
        match self.dials.remove(&link) {
            Some(address_no) => self.free(link, address_no, now),
            None => Free::Moved,
        }
    }

    /// A link's job is done.
    pub fn done(&mut self, link: usize, goes_on: bool, now: f64) -> Free {
        match self.busy.remove(&link).filter(|_| goes_on) {
            Some((address_no, _)) => self.free(link, address_no, now),
            None => Free::Moved,
        }
    }

    /// A link with nothing to do takes what waits longest, or rests.
    fn free(&mut self, link: usize, address_no: u64, now: f64) -> Free {
        if address_no != self.address_no {
            return Free::Moved;
        }
        if let Some((_, job)) = self.waiting.pop_front() {
            self.busy.insert(link, (address_no, job.which()));
            return Free::Hand(job);
        }
        self.idle.push((link, now));
        Free::Rest
    }

    /// A dial less: its own job ends with it, if there are now fewer dials than jobs that wait.
    pub fn undialled(&mut self, link: usize) -> Option<Job> {
        self.dials.remove(&link);
        if self.waiting.len() <= self.dials.len() {
            return None;
        }
        let at = self.waiting.iter().position(|(dial, _)| *dial == link).unwrap_or(0);
        self.waiting.remove(at).map(|(_, job)| job)
    }

    /// An idle link has ended or is told to go.
    pub fn left(&mut self, link: usize) {
        self.idle.retain(|(other, _)| *other != link);
    }

    /// The idle link that has rested longest and since when.
    pub fn oldest(&self) -> Option<(usize, f64)> {
        self.idle.first().copied()
    }

    /// Links and dials of this host.
    pub fn links(&self) -> impl Iterator<Item = usize> + '_ {
        let idle = self.idle.iter().map(|(link, _)| *link);
        idle.chain(self.busy.keys().copied()).chain(self.dials.keys().copied())
    }

    /// Jobs that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
