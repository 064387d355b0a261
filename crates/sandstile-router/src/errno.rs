//! What an error of a system call proves, and what it does not. Linux's numbers stand here, so that nobody else has to
//! read a meaning into them.
use std::io::{self, ErrorKind};
use std::thread;
use std::time::{Duration, Instant};

const EAGAIN: i32 = 11;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const ENOSPC: i32 = 28;
const EADDRINUSE: i32 = 98;
const EADDRNOTAVAIL: i32 = 99;
const ENETDOWN: i32 = 100;
const ENETUNREACH: i32 = 101;
const ENOBUFS: i32 = 105;
const EHOSTUNREACH: i32 = 113;

/// What a failed `accept` leaves behind. None of these proves that no connection waits: only `WouldBlock` does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AcceptFailure {
    /// The call was interrupted, or one connection failed in the queue: the next call may do better at once.
    Transient,
    /// This process has as many descriptors as it may: one that is idle can make room.
    DescriptorsSpent,
    /// The machine is short of something, which nothing that is closed here may change.
    MachineShort,
}

/// What this failure of `accept` means; not for `WouldBlock`.
pub fn accept_failure(error: &io::Error) -> AcceptFailure {
    match error.raw_os_error() {
        Some(EMFILE) => AcceptFailure::DescriptorsSpent,
        Some(ENFILE | ENOBUFS | ENOMEM | ENOSPC) => AcceptFailure::MachineShort,
        _ => AcceptFailure::Transient,
    }
}

/// Whether a failed `socket` or `connect`, or the registration of a socket, is this machine's own trouble: it says
/// nothing of the host that was dialled, and may pass in a moment.
pub fn is_local(error: &io::Error) -> bool {
    const LOCAL: [i32; 9] =
        [EAGAIN, ENOMEM, ENFILE, EMFILE, ENOSPC, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, ENOBUFS];
    error.kind() == ErrorKind::Interrupted || error.raw_os_error().is_some_and(|n| LOCAL.contains(&n))
}

/// Whether a call on a connection failed for want of memory, which says nothing of the connection.
pub fn is_short_of_memory(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENOMEM | ENOBUFS))
}

/// Whether the way to the host is gone, as the network tells it later than the call.
pub fn is_unreachable(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENETUNREACH | EHOSTUNREACH | ENETDOWN))
}

/// Whether a start that failed with this may do better in a moment: a former process may still hold the address.
pub fn may_pass(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EADDRINUSE | EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC))
        || error.kind() == ErrorKind::Interrupted
}

/// For so long a start waits for what may pass, and between two tries.
const START_PATIENCE: Duration = Duration::from_secs(5);
const START_PAUSE: Duration = Duration::from_millis(20);

/// Makes a call of a start again for as long as its failure may pass.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + START_PATIENCE;
    loop {
        match call() {
            Err(e) if may_pass(&e) && Instant::now() < give_up_at => thread::sleep(START_PAUSE),
            done => return done,
        }
    }
}

/// Repeats a call for as long as signals interrupt it.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}
