//! The links of one database host: which are idle, which are busy, and the jobs that wait for a dial. A dial belongs
//! to nobody: whichever link is free first takes the job that waits longest.
use crate::outcome::Ending;
use crate::task::HostTask;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What becomes of a job.
#[derive(Debug)]
pub enum Placement {
    /// This link takes it, once the socket has been looked at.
    Assign(usize, HostTask),
    /// It waits; one more link is to be dialled at this address and made known by `dialled`.
    Dial(SocketAddr),
    /// It ends here.
    End(HostTask, Ending),
}

/// What becomes of a link that is free.
#[derive(Debug)]
pub enum NextUse {
    Assign(HostTask),
    Idle,
    /// The host has another address by now.
    Moved,
}

/// Where an execution was found that is to be withdrawn.
#[derive(Debug)]
pub enum Lookup {
    Waiting(HostTask),
    Running(usize),
    NotFound,
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
    waiting: VecDeque<(usize, HostTask)>,
    /// The job that the next dial is begun for.
    wanting: Option<HostTask>,
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
    pub fn set_address(&mut self, address: SocketAddr) -> Option<Vec<usize>> {
        if self.address == Some(address) {
            return None;
        }
        (self.address, self.address_no) = (Some(address), self.address_no + 1);
        Some(self.idle.drain(..).map(|(link, _)| link).collect())
    }

    /// A job comes.
    pub fn begin(&mut self, job: HostTask) -> Placement {
        if let Some((link, _)) = self.idle.pop() {
            return self.hand(link, self.address_no, job);
        }
        let Some(address) = self.address else { return Placement::End(job, Ending::NoAddress) };
        self.wanting = Some(job);
        Placement::Dial(address)
    }

    fn hand(&mut self, link: usize, address_no: u64, job: HostTask) -> Placement {
        self.busy.insert(link, (address_no, job.execution_id()));
        Placement::Assign(link, job)
    }

    /// The dial that was asked for last, under its name.
    pub fn dialled(&mut self, link: usize) {
        self.dials.insert(link, self.address_no);
        if let Some(job) = self.wanting.take() {
            self.waiting.push_back((link, job));
        }
    }

    /// A link that was handed a job had ended unseen: the job takes another.
    pub fn remove_stale(&mut self, link: usize) {
        self.busy.remove(&link);
    }

    pub fn find(&mut self, execution_id: (u64, usize)) -> Lookup {
        if let Some(at) = self.waiting.iter().position(|(_, job)| job.is_execution(execution_id)) {
            let (_, job) = self.waiting.remove(at).expect("found just now");
            return Lookup::Waiting(job);
        }
        let under = self.busy.iter().find(|(_, (_, does))| *does == Some(execution_id));
        under.map_or(Lookup::NotFound, |(link, _)| Lookup::Running(*link))
    }

    /// A dial is up.
    pub fn dial_succeeded(&mut self, link: usize, now: f64) -> NextUse {
        match self.dials.remove(&link) {
            Some(address_no) => self.free(link, address_no, now),
            None => NextUse::Moved,
        }
    }

    /// A link's job is done.
    pub fn task_done(&mut self, link: usize, reusable: bool, now: f64) -> NextUse {
        match self.busy.remove(&link).filter(|_| reusable) {
            Some((address_no, _)) => self.free(link, address_no, now),
            None => NextUse::Moved,
        }
    }

    /// A link with nothing to do takes what waits longest, or rests.
    fn free(&mut self, link: usize, address_no: u64, now: f64) -> NextUse {
        if address_no != self.address_no {
            return NextUse::Moved;
        }
        if let Some((_, job)) = self.waiting.pop_front() {
            self.busy.insert(link, (address_no, job.execution_id()));
            return NextUse::Assign(job);
        }
        self.idle.push((link, now));
        NextUse::Idle
    }

    /// A dial less: its own job ends with it, if there are now fewer dials than jobs that wait.
    pub fn dial_failed(&mut self, link: usize) -> Option<HostTask> {
        self.dials.remove(&link);
        if self.waiting.len() <= self.dials.len() {
            return None;
        }
        let at = self.waiting.iter().position(|(dial, _)| *dial == link).unwrap_or(0);
        self.waiting.remove(at).map(|(_, job)| job)
    }

    /// An idle link has ended or is told to go.
    pub fn idle_closed(&mut self, link: usize) {
        self.idle.retain(|(other, _)| *other != link);
    }

    /// The idle link that has rested longest and since when.
    pub fn oldest_idle(&self) -> Option<(usize, f64)> {
        self.idle.first().copied()
    }

    /// Links and dials of this host.
    pub fn connections(&self) -> impl Iterator<Item = usize> + '_ {
        let idle = self.idle.iter().map(|(link, _)| *link);
        idle.chain(self.busy.keys().copied()).chain(self.dials.keys().copied())
    }

    /// Jobs that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
