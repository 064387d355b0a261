//! The connection pool of one database host: idle and busy connections, and the tasks that wait for a dial. A
//! dial is not bound to the task that caused it: whichever connection becomes free first takes the task that
//! has waited longest.
use crate::outcome::Ending;
use crate::task::HostTask;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Where a new task goes.
#[derive(Debug)]
pub enum Placement {
    /// This idle connection takes it, after the caller has checked that its socket is still usable.
    Assign(usize, HostTask),
    /// The task waits. The caller has to dial one more connection to this address and report it by `dialled`.
    Dial(SocketAddr),
    /// The task fails at once.
    End(HostTask, Ending),
}

/// What happens to a connection that has become free.
#[derive(Debug)]
pub enum NextUse {
    Assign(HostTask),
    Idle,
    /// The host has another address by now, so the connection is of no further use.
    Moved,
}

/// Where an execution that is to be cancelled was found.
#[derive(Debug)]
pub enum Lookup {
    Waiting(HostTask),
    Running(usize),
    NotFound,
}

#[derive(Debug, Default)]
pub struct Pool {
    address: Option<SocketAddr>,
    /// Number of the current address. Connections to an earlier address are not reused.
    address_no: u64,
    /// Idle connections with the time since which they are idle, the most recently used one last.
    idle: Vec<(usize, f64)>,
    /// Connected and not idle: for each the number of its address, and the statement and execution that it
    /// runs.
    busy: BTreeMap<usize, (u64, Option<(u64, usize)>)>,
    /// Waiting tasks, each with the dial that was started for it.
    waiting: VecDeque<(usize, HostTask)>,
    /// The task for which the next dial is started.
    wanting: Option<HostTask>,
    /// Dials in progress, each with the number of the address that it goes to.
    dials: BTreeMap<usize, u64>,
}

impl Pool {
    /// Whether discovery has reported an address of this host.
    pub fn has_address(&self) -> bool {
        self.address.is_some()
    }

    /// Sets the host's address from the latest host list. Returns the idle connections to the previous
    /// address, which have to be closed, or `None` if the address has not changed.
    pub fn set_address(&mut self, address: SocketAddr) -> Option<Vec<usize>> {
        if self.address == Some(address) {
            return None;
        }
        (self.address, self.address_no) = (Some(address), self.address_no + 1);
        Some(self.idle.drain(..).map(|(link, _)| link).collect())
    }

    /// Places a new task.
    pub fn begin(&mut self, task: HostTask) -> Placement {
        if let Some((link, _)) = self.idle.pop() {
            return self.hand(link, self.address_no, task);
        }
        let Some(address) = self.address else { return Placement::End(task, Ending::NoAddress) };
        self.wanting = Some(task);
        Placement::Dial(address)
    }

    fn hand(&mut self, link: usize, address_no: u64, task: HostTask) -> Placement {
        self.busy.insert(link, (address_no, task.execution_id()));
        Placement::Assign(link, task)
    }

    /// Reports the id of the dial that `begin` asked for last.
    pub fn dialled(&mut self, link: usize) {
        self.dials.insert(link, self.address_no);
        if let Some(task) = self.wanting.take() {
            self.waiting.push_back((link, task));
        }
    }

    /// A connection that was given a task turned out to be closed. The caller places the task again.
    pub fn remove_stale(&mut self, link: usize) {
        self.busy.remove(&link);
    }

    pub fn find(&mut self, execution_id: (u64, usize)) -> Lookup {
        if let Some(at) = self.waiting.iter().position(|(_, task)| task.is_execution(execution_id)) {
            let (_, task) = self.waiting.remove(at).expect("found just now");
            return Lookup::Waiting(task);
        }
        let under = self.busy.iter().find(|(_, (_, does))| *does == Some(execution_id));
        under.map_or(Lookup::NotFound, |(link, _)| Lookup::Running(*link))
    }

    /// A dial succeeded.
    pub fn dial_succeeded(&mut self, link: usize, now: f64) -> NextUse {
        match self.dials.remove(&link) {
            Some(address_no) => self.free(link, address_no, now),
            None => NextUse::Moved,
        }
    }

    /// A connection has finished its task.
    pub fn task_done(&mut self, link: usize, reusable: bool, now: f64) -> NextUse {
        match self.busy.remove(&link).filter(|_| reusable) {
            Some((address_no, _)) => self.free(link, address_no, now),
            None => NextUse::Moved,
        }
    }

    /// Gives a free connection the task that has waited longest, or makes it idle.
    fn free(&mut self, link: usize, address_no: u64, now: f64) -> NextUse {
        if address_no != self.address_no {
            return NextUse::Moved;
        }
        if let Some((_, task)) = self.waiting.pop_front() {
            self.busy.insert(link, (address_no, task.execution_id()));
            return NextUse::Assign(task);
        }
        self.idle.push((link, now));
        NextUse::Idle
    }

    /// A dial failed. Ends its own task if there are now fewer dials than waiting tasks; the other dials
    /// serve the rest.
    pub fn dial_failed(&mut self, link: usize) -> Option<HostTask> {
        self.dials.remove(&link);
        if self.waiting.len() <= self.dials.len() {
            return None;
        }
        let at = self.waiting.iter().position(|(dial, _)| *dial == link).unwrap_or(0);
        self.waiting.remove(at).map(|(_, task)| task)
    }

    /// An idle connection has closed or is being closed.
    pub fn idle_closed(&mut self, link: usize) {
        self.idle.retain(|(other, _)| *other != link);
    }

    /// The connection that has been idle longest, and since when.
    pub fn oldest_idle(&self) -> Option<(usize, f64)> {
        self.idle.first().copied()
    }

    /// All connections and dials of this host.
    pub fn connections(&self) -> impl Iterator<Item = usize> + '_ {
        let idle = self.idle.iter().map(|(link, _)| *link);
        idle.chain(self.busy.keys().copied()).chain(self.dials.keys().copied())
    }

    /// Number of waiting tasks.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
