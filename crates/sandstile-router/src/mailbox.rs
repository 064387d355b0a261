//! Mailboxes of actors: crossbeam's channels, whose reader sleeps at once. On its own, a blocking receive first
//! spins and yields for a while, which pays where the writer runs on another core; a router has one core, or
//! part of it, and the spinning took a third of that.
use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender, TryRecvError};
use std::sync::{Arc, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// The writing end; any number of them.
pub struct Post<T> {
    sender: Option<Sender<T>>,
    reader: Arc<OnceLock<Thread>>,
}

/// The reading end, for one thread.
pub struct Mailbox<T> {
    receiver: Receiver<T>,
    reader: Arc<OnceLock<Thread>>,
}

pub fn mailbox<T>() -> (Post<T>, Mailbox<T>) {
    with(unbounded())
}

/// For one piece of mail at a time.
pub fn slot<T>() -> (Post<T>, Mailbox<T>) {
    with(bounded(1))
}

/// For so many pieces of mail at the most.
pub fn narrow<T>(most: usize) -> (Post<T>, Mailbox<T>) {
    with(bounded(most))
}

fn with<T>((sender, receiver): (Sender<T>, Receiver<T>)) -> (Post<T>, Mailbox<T>) {
    let reader = Arc::<OnceLock<Thread>>::default();
    (Post { sender: Some(sender), reader: reader.clone() }, Mailbox { receiver, reader })
}

impl<T> Post<T> {
    /// Never waits. `false` where nobody will read it: the reader has gone, or a slot is taken.
    pub fn send(&self, mail: T) -> bool {
        let sent = self.sender.as_ref().is_some_and(|sender| sender.try_send(mail).is_ok());
        self.wake();
        sent
    }

    fn wake(&self) {
        if let Some(reader) = self.reader.get() {
            reader.unpark();
        }
    }
}

impl<T> Clone for Post<T> {
    fn clone(&self) -> Self {
        Post { sender: self.sender.clone(), reader: self.reader.clone() }
    }
}

impl<T> Drop for Post<T> {
    fn drop(&mut self) {
        // The last one gone ends a reader's wait, so the channel has to know first.
        self.sender = None;
        self.wake();
    }
}

impl<T> Mailbox<T> {
    pub fn try_recv(&self) -> Option<T> {
        self.receiver.try_recv().ok()
    }

    /// Waits without end where there is no limit.
    pub fn recv(&self, limit: Option<Duration>) -> Result<T, RecvTimeoutError> {
        // Who writes before this is known wakes nobody, and is found by the look below.
        self.reader.get_or_init(thread::current);
        let until = limit.map(|limit| Instant::now() + limit);
        loop {
            match self.receiver.try_recv() {
                Ok(mail) => return Ok(mail),
                Err(TryRecvError::Disconnected) => return Err(RecvTimeoutError::Disconnected),
                Err(TryRecvError::Empty) => {}
            }
            let Some(until) = until else {
                thread::park();
                continue;
            };
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(RecvTimeoutError::Timeout);
            }
            thread::park_timeout(left);
        }
    }
}
