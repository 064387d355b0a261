//! Mailboxes of actors: crossbeam's channels, whose reader sleeps at once. On its own, a blocking receive first
//! spins and yields for a while, which pays where the writer runs on another core; a router has one core, or
//! part of it, and the spinning took a third of that.
//!
//! A reader is a thread of its own, which is parked while there is nothing, or an actor that the carrier's thread
//! carries, which is woken by a bell; within that thread mail is a push and a pop, and no bell is rung.
use crate::errno::retry_interrupted;
use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender, TryRecvError};
use mio::Waker;
use std::sync::atomic::{fence, AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// Wakes the carrier's thread where it sleeps.
pub struct Bell {
    waker: Waker,
    asleep: AtomicBool,
}

impl Bell {
    pub fn new(waker: Waker) -> Arc<Bell> {
        Arc::new(Bell { waker, asleep: AtomicBool::new(false) })
    }

    /// From now on mail rings. What came before is to be looked for once more behind this.
    pub fn sleeps(&self) {
        self.asleep.store(true, SeqCst);
        fence(SeqCst);
    }

    pub fn wakes(&self) {
        self.asleep.store(false, SeqCst);
    }

    fn ring(&self) {
        fence(SeqCst);
        if self.asleep.swap(false, SeqCst) && retry_interrupted(|| self.waker.wake()).is_err() {
            // Not woken: whoever rings next tries again, and the carrier's own times wake it meanwhile.
            self.asleep.store(true, SeqCst);
        }
    }
}

#[derive(Clone)]
enum Reader {
    Thread(Arc<OnceLock<Thread>>),
    Carried(Arc<Bell>),
}

/// The writing end; any number of them.
pub struct MailboxSender<T> {
    sender: Option<Sender<T>>,
    reader: Reader,
}

/// The reading end, for one thread.
pub struct Mailbox<T> {
    receiver: Receiver<T>,
    reader: Reader,
}

pub fn mailbox<T>() -> (MailboxSender<T>, Mailbox<T>) {
    with(unbounded(), Reader::Thread(Arc::default()))
}

/// For an actor that the carrier's thread carries.
pub fn carried<T>(bell: &Arc<Bell>) -> (MailboxSender<T>, Mailbox<T>) {
    with(unbounded(), Reader::Carried(bell.clone()))
}

/// For one piece of mail at a time.
pub fn single_slot_mailbox<T>() -> (MailboxSender<T>, Mailbox<T>) {
    bounded_mailbox(1)
}

/// For so many pieces of mail at the most.
pub fn bounded_mailbox<T>(most: usize) -> (MailboxSender<T>, Mailbox<T>) {
    with(bounded(most), Reader::Thread(Arc::default()))
}

fn with<T>((sender, receiver): (Sender<T>, Receiver<T>), reader: Reader) -> (MailboxSender<T>, Mailbox<T>) {
    (MailboxSender { sender: Some(sender), reader: reader.clone() }, Mailbox { receiver, reader })
}

impl<T> MailboxSender<T> {
    /// Never waits. `false` where nobody will read it: the reader has gone, or a slot is taken.
    pub fn send(&self, mail: T) -> bool {
        let sent = self.sender.as_ref().is_some_and(|sender| sender.try_send(mail).is_ok());
        self.wake();
        sent
    }

    /// Mail that nobody has read yet.
    pub fn queued(&self) -> usize {
        self.sender.as_ref().map_or(0, Sender::len)
    }

    fn wake(&self) {
        match &self.reader {
            Reader::Thread(reader) => {
                if let Some(reader) = reader.get() {
                    reader.unpark();
                }
            }
            Reader::Carried(bell) => bell.ring(),
        }
    }
}

impl<T> Clone for MailboxSender<T> {
    fn clone(&self) -> Self {
        MailboxSender { sender: self.sender.clone(), reader: self.reader.clone() }
    }
}

impl<T> Drop for MailboxSender<T> {
    fn drop(&mut self) {
        // The last one gone ends a reader's wait, so the channel has to know first.
        self.sender = None;
        if matches!(self.reader, Reader::Thread(_)) {
            self.wake();
        }
    }
}

impl<T> Mailbox<T> {
    pub fn try_recv(&self) -> Option<T> {
        self.receiver.try_recv().ok()
    }

    pub fn is_empty(&self) -> bool {
        self.receiver.is_empty()
    }

    /// Waits without end where there is no limit. Not for an actor that is carried.
    pub fn recv(&self, limit: Option<Duration>) -> Result<T, RecvTimeoutError> {
        // Who writes before this is known wakes nobody, and is found by the look below.
        if let Reader::Thread(reader) = &self.reader {
            reader.get_or_init(thread::current);
        }
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
