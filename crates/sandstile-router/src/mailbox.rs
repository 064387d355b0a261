//! Message queues of the actors: crossbeam channels whose reader goes to sleep at once. Crossbeam's own blocking
//! receive spins and yields for a while first, which pays where the writer runs on another core; a router has one
//! core or a part of one, and spinning took a third of that.
//!
//! A reader is either a thread of its own, which is parked while its queue is empty, or an actor on the event loop,
//! which is woken by a waker. Within the event loop's thread a message is a push and a pop, and nothing is woken.
use crate::errno::retry_interrupted;
use crossbeam_channel::{bounded, unbounded, Receiver, RecvTimeoutError, Sender, TryRecvError};
use mio::Waker;
use std::sync::atomic::{fence, AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::thread::{self, Thread};
use std::time::{Duration, Instant};

/// Wakes the event loop while it sleeps.
pub struct LoopWaker {
    waker: Waker,
    asleep: AtomicBool,
}

impl LoopWaker {
    pub fn new(waker: Waker) -> Arc<LoopWaker> {
        Arc::new(LoopWaker { waker, asleep: AtomicBool::new(false) })
    }

    /// From now on a new message wakes the loop. The caller has to check the queues once more after this call, for
    /// messages that were sent before it.
    pub fn prepare_sleep(&self) {
        self.asleep.store(true, SeqCst);
        fence(SeqCst);
    }

    pub fn end_sleep(&self) {
        self.asleep.store(false, SeqCst);
    }

    fn wake_loop(&self) {
        fence(SeqCst);
        if self.asleep.swap(false, SeqCst) && retry_interrupted(|| self.waker.wake()).is_err() {
            // The wake-up failed: the next sender tries again, and the loop's own timers wake it meanwhile.
            self.asleep.store(true, SeqCst);
        }
    }
}

#[derive(Clone)]
enum Reader {
    Thread(Arc<OnceLock<Thread>>),
    EventLoop(Arc<LoopWaker>),
}

/// The sending end; it can be cloned.
pub struct MailboxSender<T> {
    sender: Option<Sender<T>>,
    reader: Reader,
}

/// The receiving end, for one thread.
pub struct Mailbox<T> {
    receiver: Receiver<T>,
    reader: Reader,
}

pub fn mailbox<T>() -> (MailboxSender<T>, Mailbox<T>) {
    new_mailbox(unbounded(), Reader::Thread(Arc::default()))
}

/// A mailbox whose reader runs on the event loop.
pub fn event_loop_mailbox<T>(loop_waker: &Arc<LoopWaker>) -> (MailboxSender<T>, Mailbox<T>) {
    new_mailbox(unbounded(), Reader::EventLoop(loop_waker.clone()))
}

/// A mailbox for one message at a time.
pub fn single_slot_mailbox<T>() -> (MailboxSender<T>, Mailbox<T>) {
    bounded_mailbox(1)
}

/// A mailbox for at most `capacity` messages.
pub fn bounded_mailbox<T>(capacity: usize) -> (MailboxSender<T>, Mailbox<T>) {
    new_mailbox(bounded(capacity), Reader::Thread(Arc::default()))
}

fn new_mailbox<T>(
    (sender, receiver): (Sender<T>, Receiver<T>),
    reader: Reader,
) -> (MailboxSender<T>, Mailbox<T>) {
    (MailboxSender { sender: Some(sender), reader: reader.clone() }, Mailbox { receiver, reader })
}

impl<T> MailboxSender<T> {
    /// Never blocks. Returns `false` where nobody will read the message: the reader is gone, or the mailbox is
    /// full.
    pub fn send(&self, message: T) -> bool {
        let sent = self.sender.as_ref().is_some_and(|sender| sender.try_send(message).is_ok());
        self.wake();
        sent
    }

    /// Messages that have not been read yet.
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
            Reader::EventLoop(loop_waker) => loop_waker.wake_loop(),
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
        // Dropping the last sender ends the reader's wait, so the channel has to be closed before the reader is
        // woken.
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

    /// Waits without limit where `timeout` is `None`. Not for a reader on the event loop.
    pub fn recv(&self, timeout: Option<Duration>) -> Result<T, RecvTimeoutError> {
        // A sender that runs before the thread is known wakes nobody; the loop below finds its message.
        if let Reader::Thread(reader) = &self.reader {
            reader.get_or_init(thread::current);
        }
        let deadline = timeout.map(|timeout| Instant::now() + timeout);
        loop {
            match self.receiver.try_recv() {
                Ok(message) => return Ok(message),
                Err(TryRecvError::Disconnected) => return Err(RecvTimeoutError::Disconnected),
                Err(TryRecvError::Empty) => {}
            }
            let Some(deadline) = deadline else {
                thread::park();
                continue;
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(RecvTimeoutError::Timeout);
            }
            thread::park_timeout(remaining);
        }
    }
}
