//! The connection pool of one database host: idle and busy connections, and the tasks that wait for a dial. A
//! dial is not bound to the task that caused it: whichever connection becomes free first serves the task that
//! has waited longest. A task that has waited is placed anew, once the caller has checked that it may still
//! begin.
use crate::outcome::Ending;
use crate::task::HostTask;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Where a new task goes.
#[derive(Debug)]
pub enum Placement {
    /// This idle connection takes it, after the caller has checked that its socket is still usable.
    Assign(usize, HostTask),
    /// The task waits. The caller has to dial one more connection to this address and report it by
    /// `dial_started`.
    Dial(SocketAddr),
    /// The task fails at once.
    End(HostTask, Ending),
}

/// What happens to a connection that has become free.
#[derive(Debug)]
pub enum NextUse {
    /// It is idle. Tasks that wait can begin: see `take_startable`.
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
    address_number: u64,
    /// Idle connections with the time since which they are idle, the most recently used one last.
    idle: Vec<(usize, f64)>,
    /// Connected and not idle: for each the number of its address, and the statement and execution that it
    /// runs.
    busy: BTreeMap<usize, (u64, Option<(u64, usize)>)>,
    /// Waiting tasks, each with the dial that was started for it.
    waiting: VecDeque<(usize, HostTask)>,
    /// The task for which the next dial is started.
    awaiting_dial: Option<HostTask>,
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
        (self.address, self.address_number) = (Some(address), self.address_number + 1);
        Some(self.idle.drain(..).map(|(connection, _)| connection).collect())
    }

    /// Places a new task.
    pub fn begin(&mut self, task: HostTask) -> Placement {
        if let Some((connection, _)) = self.idle.pop() {
            return self.assign(connection, self.address_number, task);
        }
        let Some(address) = self.address else { return Placement::End(task, Ending::NoAddress) };
        self.awaiting_dial = Some(task);
        Placement::Dial(address)
    }

    fn assign(&mut self, connection: usize, address_number: u64, task: HostTask) -> Placement {
        self.busy.insert(connection, (address_number, task.execution_id()));
        Placement::Assign(connection, task)
    }

    /// Reports the id of the dial that `begin` asked for last.
    pub fn dial_started(&mut self, connection: usize) {
        self.dials.insert(connection, self.address_number);
        if let Some(task) = self.awaiting_dial.take() {
            self.waiting.push_back((connection, task));
        }
    }

    /// A connection that was given a task turned out to be closed. The caller places the task again.
    pub fn remove_stale(&mut self, connection: usize) {
        self.busy.remove(&connection);
    }

    pub fn find(&mut self, execution_id: (u64, usize)) -> Lookup {
        if let Some(index) = self.waiting.iter().position(|(_, task)| task.is_execution(execution_id)) {
            let (_, task) = self.waiting.remove(index).expect("the index was just found");
            return Lookup::Waiting(task);
        }
        let running =
            self.busy.iter().find(|(_, (_, running_execution))| *running_execution == Some(execution_id));
        running.map_or(Lookup::NotFound, |(connection, _)| Lookup::Running(*connection))
    }

    /// A dial succeeded.
    pub fn dial_succeeded(&mut self, connection: usize, now: f64) -> NextUse {
        match self.dials.remove(&connection) {
            Some(address_number) => self.free(connection, address_number, now),
            None => NextUse::Moved,
        }
    }

    /// A connection has finished its task.
    pub fn task_done(&mut self, connection: usize, reusable: bool, now: f64) -> NextUse {
        match self.busy.remove(&connection).filter(|_| reusable) {
            Some((address_number, _)) => self.free(connection, address_number, now),
            None => NextUse::Moved,
        }
    }

    fn free(&mut self, connection: usize, address_number: u64, now: f64) -> NextUse {
        if address_number != self.address_number {
            return NextUse::Moved;
        }
        self.idle.push((connection, now));
        NextUse::Idle
    }

    /// Whether a waiting task can be placed anew: a connection is idle, or the one meant for it has gone.
    pub fn has_startable(&self) -> bool {
        !self.waiting.is_empty() && (!self.idle.is_empty() || self.dials.len() < self.waiting.len())
    }

    /// The task that has waited longest, if it can be placed anew. The caller checks that it may still begin, and
    /// then passes it to `begin`.
    pub fn take_startable(&mut self) -> Option<HostTask> {
        if !self.has_startable() {
            return None;
        }
        self.waiting.pop_front().map(|(_, task)| task)
    }

    /// Removes and returns the waiting tasks that `may_wait` rejects.
    pub fn remove_waiting(&mut self, mut may_wait: impl FnMut(&HostTask) -> bool) -> Vec<HostTask> {
        let waiting = std::mem::take(&mut self.waiting);
        let (kept, removed): (VecDeque<_>, VecDeque<_>) =
            waiting.into_iter().partition(|(_, task)| may_wait(task));
        self.waiting = kept;
        removed.into_iter().map(|(_, task)| task).collect()
    }

    /// A dial failed. If there are now fewer dials than waiting tasks, returns the task that fails with it: its
    /// own one, or the oldest if another connection has taken that.
    pub fn dial_failed(&mut self, connection: usize) -> Option<HostTask> {
        self.dials.remove(&connection);
        if self.waiting.len() <= self.dials.len() {
            return None;
        }
        let index = self.waiting.iter().position(|(dial, _)| *dial == connection).unwrap_or(0);
        self.waiting.remove(index).map(|(_, task)| task)
    }

    /// An idle connection has closed or is being closed.
    pub fn idle_closed(&mut self, connection: usize) {
        self.idle.retain(|(other, _)| *other != connection);
    }

    /// The connection that has been idle longest, and since when.
    pub fn oldest_idle(&self) -> Option<(usize, f64)> {
        self.idle.first().copied()
    }

    /// All connections and dials of this host.
    pub fn connections(&self) -> impl Iterator<Item = usize> + '_ {
        let idle = self.idle.iter().map(|(connection, _)| *connection);
        idle.chain(self.busy.keys().copied()).chain(self.dials.keys().copied())
    }

    /// Dials that no waiting task needs, out of those given.
    pub fn surplus_dials(&self, dials: impl Iterator<Item = usize>) -> Vec<usize> {
        dials.take(self.dials.len().saturating_sub(self.waiting.len())).collect()
    }

    /// Number of waiting tasks.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}
