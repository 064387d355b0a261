//! Classifies the errors of system calls. The Linux error numbers are kept in this module, so that no other module
//! interprets them.
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

/// What a failed `accept` means. None of these proves that the listen queue is empty: only `WouldBlock` does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AcceptFailure {
    /// The call was interrupted, or one queued connection failed: an immediate retry may succeed.
    Transient,
    /// The process has reached its descriptor limit: closing an idle connection can make room.
    DescriptorsSpent,
    /// The machine lacks a resource; closing connections of this process may not help.
    MachineShort,
}

/// Classifies an error of `accept`. Not for `WouldBlock`.
pub fn classify_accept_error(error: &io::Error) -> AcceptFailure {
    match error.raw_os_error() {
        Some(EMFILE) => AcceptFailure::DescriptorsSpent,
        Some(ENFILE | ENOBUFS | ENOMEM | ENOSPC) => AcceptFailure::MachineShort,
        _ => AcceptFailure::Transient,
    }
}

/// Whether an error of `socket`, `connect` or a registration is a problem of this machine: it says nothing about
/// the host that was dialled, and may pass in a moment.
pub fn is_local_error(error: &io::Error) -> bool {
    const LOCAL: [i32; 9] =
        [EAGAIN, ENOMEM, ENFILE, EMFILE, ENOSPC, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, ENOBUFS];
    error.kind() == ErrorKind::Interrupted || error.raw_os_error().is_some_and(|n| LOCAL.contains(&n))
}

/// Whether a call on a connection failed for lack of memory, which says nothing about the connection.
pub fn is_short_of_memory(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENOMEM | ENOBUFS))
}

/// Whether the host is unreachable, as the network reports it after the call.
pub fn is_unreachable(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENETUNREACH | EHOSTUNREACH | ENETDOWN))
}

/// Whether a start that failed with this error may succeed in a moment: a previous process may still hold the
/// address.
pub fn is_transient(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EADDRINUSE | EMFILE | ENFILE | ENOBUFS | ENOMEM | ENOSPC))
        || error.kind() == ErrorKind::Interrupted
}

/// How long a start retries calls that failed with a transient error, and the pause between two tries.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(5);
const START_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Retries a call of the start while its error is transient, up to `START_RETRY_TIMEOUT`.
pub fn retry_transient<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let give_up_at = Instant::now() + START_RETRY_TIMEOUT;
    loop {
        match call() {
            Err(e) if is_transient(&e) && Instant::now() < give_up_at => thread::sleep(START_RETRY_PAUSE),
            result => return result,
        }
    }
}

/// Repeats a call while signals interrupt it.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
