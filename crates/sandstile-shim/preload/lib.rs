//! The library that is preloaded into a process under test. It replaces the C library's wrappers of system calls and
//! makes them fail, transfer less or wait, as the rules in `SANDSTILE_SHIM` specify. After the start no function here takes
//! a lock or allocates, because some of these calls come from signal handlers.
// The safety requirements are those that the C library's manual states for the functions of the same names.
#![allow(clippy::missing_safety_doc)]
use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, mode_t, nfds_t, pollfd, size_t, sockaddr, sockaddr_in,
    socklen_t, ssize_t, timespec,
};
use std::ffi::CStr;
use std::mem::{transmute_copy, zeroed};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::OnceLock;

#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Short(usize),
    Errno(c_int),
    Hold(u64),
    Step(i64),
}

struct Rule {
    call: String,
    fault: Fault,
    probability: f64,
    skip: u64,
    max: u64,
    from_ms: u64,
    until_ms: u64,
    /// The peer's port; 0 for any.
    port: u16,
    seen: AtomicU64,
    applied: AtomicU64,
}

struct Plan {
    rules: Vec<Rule>,
    started_ms: u64,
}

static PLAN: OnceLock<Plan> = OnceLock::new();
static RNG_STATE: AtomicU64 = AtomicU64::new(1);

fn parse(text: &str) -> Option<Rule> {
    let fields: Vec<&str> = text.split(' ').collect();
    let [call, fault, value, probability, skip, max, from_ms, until_ms, port] = fields[..] else {
        return None;
    };
    let fault = match fault {
        "short" => Fault::Short(value.parse().ok()?),
        "errno" => Fault::Errno(value.parse().ok()?),
        "hold" => Fault::Hold(value.parse().ok()?),
        "step" => Fault::Step(value.parse().ok()?),
        _ => return None,
    };
    Some(Rule {
        call: call.to_string(),
        fault,
        probability: probability.parse().ok()?,
        skip: skip.parse().ok()?,
        max: max.parse().ok()?,
        from_ms: from_ms.parse().ok()?,
        until_ms: until_ms.parse().ok()?,
        port: port.parse().ok()?,
        seen: AtomicU64::new(0),
        applied: AtomicU64::new(0),
    })
}

extern "C" fn load_plan() {
    let text = std::env::var("SANDSTILE_SHIM").unwrap_or_default();
    let mut parts = text.split(';');
    let seed: u64 = parts.next().and_then(|s| s.parse().ok()).unwrap_or(0);
    RNG_STATE.store(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1, SeqCst);
    let rules: Vec<Rule> =
        parts.map(|p| parse(p).unwrap_or_else(|| panic!("shim: malformed rule: {p}"))).collect();
    let _ = PLAN.set(Plan { rules, started_ms: monotonic_ms() });
}

#[used]
#[link_section = ".init_array"]
static LOAD_PLAN: extern "C" fn() = load_plan;

/// The C library's own function of this name; looked up once and cached.
unsafe fn libc_symbol<F: Copy>(cell: &AtomicUsize, name: &'static CStr) -> F {
    let mut address = cell.load(SeqCst);
    if address == 0 {
        address = libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize;
        cell.store(address, SeqCst);
    }
    transmute_copy(&address)
}

macro_rules! libc_function {
    ($name:literal, $kind:ty) => {{
        static CELL: AtomicUsize = AtomicUsize::new(0);
        const NAME: &CStr = $name;
        libc_symbol::<$kind>(&CELL, NAME)
    }};
}

type ClockGetTime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

fn monotonic_ms() -> u64 {
    unsafe {
        let mut now: timespec = zeroed();
        libc_function!(c"clock_gettime", ClockGetTime)(libc::CLOCK_MONOTONIC, &mut now);
        now.tv_sec as u64 * 1000 + now.tv_nsec as u64 / 1_000_000
    }
}

/// A pseudo-random number in [0, 1), from a generator that all threads share.
fn random_share() -> f64 {
    let drawn = RNG_STATE.fetch_add(0x9e37_79b9_7f4a_7c15, SeqCst);
    let mut mixed = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

impl Rule {
    fn applies(&self, now_ms: u64) -> bool {
        if now_ms < self.from_ms || now_ms >= self.until_ms {
            return false;
        }
        if self.seen.fetch_add(1, SeqCst) < self.skip
            || (self.probability < 1.0 && random_share() >= self.probability)
        {
            return false;
        }
        self.applied.fetch_add(1, SeqCst) < self.max
    }
}

/// Returns the fault that applies to this call, if any. Delays are carried out here, and the call then proceeds.
fn fault(call: &str) -> Option<Fault> {
    socket_fault(call, || 0)
}

/// The same for a call on a socket whose peer has this port.
fn socket_fault(call: &str, port: impl Fn() -> u16) -> Option<Fault> {
    let plan = PLAN.get()?;
    if !plan.rules.iter().any(|r| r.call == call) {
        return None;
    }
    let now_ms = monotonic_ms() - plan.started_ms;
    let mut applied = None;
    for rule in plan.rules.iter().filter(|r| r.call == call && (r.port == 0 || r.port == port())) {
        if applied.is_some() || !rule.applies(now_ms) {
            continue;
        }
        match rule.fault {
            Fault::Hold(ms) => delay(ms),
            other => applied = Some(other),
        }
    }
    applied
}

fn delay(ms: u64) {
    let wait = timespec { tv_sec: (ms / 1000) as i64, tv_nsec: ((ms % 1000) * 1_000_000) as i64 };
    unsafe { libc::nanosleep(&wait, std::ptr::null_mut()) };
}

fn set_errno(number: c_int) {
    unsafe { *libc::__errno_location() = number };
}

fn is_internet(fd: c_int) -> bool {
    unsafe {
        let (mut family, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
        let into = (&raw mut family).cast::<c_void>();
        let result = libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, into, &mut length);
        result == 0 && (family == libc::AF_INET || family == libc::AF_INET6)
    }
}

fn port_of(address: &sockaddr) -> u16 {
    if c_int::from(address.sa_family) != libc::AF_INET {
        return 0;
    }
    let address: *const sockaddr_in = (&raw const *address).cast();
    u16::from_be(unsafe { (*address).sin_port })
}

/// The port of a socket's peer; 0 if it has none.
fn peer_port(fd: c_int) -> u16 {
    unsafe {
        let mut address: sockaddr_in = zeroed();
        let mut length = size_of::<sockaddr_in>() as socklen_t;
        match libc::getpeername(fd, (&raw mut address).cast(), &mut length) {
            0 => port_of(&*(&raw const address).cast()),
            _ => 0,
        }
    }
}

/// Errors that only a dead connection can have.
fn closes_connection(number: c_int) -> bool {
    matches!(
        number,
        libc::ECONNRESET | libc::EPIPE | libc::ETIMEDOUT | libc::EHOSTUNREACH | libc::ENETUNREACH
    )
}

type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;

#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, into: *mut c_void, length: size_t, flags: c_int) -> ssize_t {
    let call = if flags & libc::MSG_PEEK != 0 { "peek" } else { "recv" };
    let mut length = length;
    match socket_fault(call, || peer_port(fd)).filter(|_| is_internet(fd)) {
        Some(Fault::Errno(number)) => {
            if closes_connection(number) {
                libc::shutdown(fd, libc::SHUT_RDWR);
            }
            set_errno(number);
            return -1;
        }
        Some(Fault::Short(max)) => length = length.min(max),
        _ => {}
    }
    libc_function!(c"recv", Recv)(fd, into, length, flags)
}

type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let mut length = length;
    match socket_fault("send", || peer_port(fd)).filter(|_| is_internet(fd)) {
        Some(Fault::Errno(number)) => {
            if closes_connection(number) {
                libc::shutdown(fd, libc::SHUT_RDWR);
            }
            set_errno(number);
            return -1;
        }
        Some(Fault::Short(max)) => length = length.min(max),
        _ => {}
    }
    libc_function!(c"send", Send)(fd, from, length, flags)
}

/// The name by which rules call writes to this descriptor.
fn write_target(fd: c_int) -> Option<&'static str> {
    if fd == libc::STDERR_FILENO {
        return Some("log_write");
    }
    unsafe {
        let mut status: libc::stat = zeroed();
        if libc::fstat(fd, &mut status) != 0 {
            return None;
        }
        match status.st_mode & libc::S_IFMT {
            libc::S_IFREG => Some("file_write"),
            // Descriptors without a file type; of these, the program writes to event descriptors only.
            0 => Some("wake_write"),
            _ => None,
        }
    }
}

type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;

#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, length: size_t) -> ssize_t {
    let mut length = length;
    match write_target(fd).and_then(fault) {
        Some(Fault::Errno(number)) => {
            set_errno(number);
            return -1;
        }
        Some(Fault::Short(max)) => length = length.min(max),
        _ => {}
    }
    libc_function!(c"write", Write)(fd, from, length)
}

type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;

/// A connection whose accept fails stays in the listen queue.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(Fault::Errno(number)) = fault("accept") {
        set_errno(number);
        return -1;
    }
    libc_function!(c"accept4", Accept)(fd, address, length, flags)
}

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(Fault::Errno(number)) = fault("socket").filter(|_| domain == libc::AF_INET) {
        set_errno(number);
        return -1;
    }
    libc_function!(c"socket", Socket)(domain, kind, protocol)
}

type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;

/// An interrupted connect continues in the background, as on Linux.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let applied = socket_fault("connect", || port_of(&*address)).filter(|_| is_internet(fd));
    if let Some(Fault::Errno(number)) = applied.filter(|f| *f != Fault::Errno(libc::EINTR)) {
        set_errno(number);
        return -1;
    }
    let done = libc_function!(c"connect", Connect)(fd, address, length);
    if applied.is_some() && done != 0 && *libc::__errno_location() == libc::EINPROGRESS {
        set_errno(libc::EINTR);
    }
    done
}

type SetSockOpt = unsafe extern "C" fn(c_int, c_int, c_int, *const c_void, socklen_t) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn setsockopt(
    fd: c_int,
    level: c_int,
    name: c_int,
    value: *const c_void,
    length: socklen_t,
) -> c_int {
    if let Some(Fault::Errno(number)) = fault("setsockopt").filter(|_| is_internet(fd)) {
        set_errno(number);
        return -1;
    }
    libc_function!(c"setsockopt", SetSockOpt)(fd, level, name, value, length)
}

type EpollCtl = unsafe extern "C" fn(c_int, c_int, c_int, *mut epoll_event) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    poll: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut epoll_event,
) -> c_int {
    if operation == libc::EPOLL_CTL_ADD {
        if let Some(Fault::Errno(number)) = fault("epoll_add").filter(|_| is_internet(fd)) {
            set_errno(number);
            return -1;
        }
    }
    libc_function!(c"epoll_ctl", EpollCtl)(poll, operation, fd, event)
}

type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn epoll_wait(poll: c_int, events: *mut epoll_event, max: c_int, ms: c_int) -> c_int {
    if let Some(Fault::Errno(number)) = fault("epoll_wait") {
        set_errno(number);
        return -1;
    }
    libc_function!(c"epoll_wait", EpollWait)(poll, events, max, ms)
}

type Poll = unsafe extern "C" fn(*mut pollfd, nfds_t, c_int) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn poll(fds: *mut pollfd, count: nfds_t, ms: c_int) -> c_int {
    if let Some(Fault::Errno(number)) = fault("poll") {
        set_errno(number);
        return -1;
    }
    libc_function!(c"poll", Poll)(fds, count, ms)
}

type Sync = unsafe extern "C" fn(c_int) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if let Some(Fault::Errno(number)) = fault("sync") {
        set_errno(number);
        return -1;
    }
    libc_function!(c"fsync", Sync)(fd)
}

#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if let Some(Fault::Errno(number)) = fault("sync") {
        set_errno(number);
        return -1;
    }
    libc_function!(c"fdatasync", Sync)(fd)
}

type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;

/// In C the mode is passed only if a file may be created; on this platform its register can be read in any case.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if flags & libc::O_CREAT != 0 {
        if let Some(Fault::Errno(number)) = fault("create") {
            set_errno(number);
            return -1;
        }
    }
    libc_function!(c"open64", Open)(path, flags, mode)
}

type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if let Some(Fault::Errno(number)) = fault("rename") {
        set_errno(number);
        return -1;
    }
    libc_function!(c"rename", Rename)(from, to)
}

/// The current step of the wall clock in milliseconds, once a rule has applied.
static STEP_MS: AtomicU64 = AtomicU64::new(0);

#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    let done = libc_function!(c"clock_gettime", ClockGetTime)(clock, time);
    if clock != libc::CLOCK_REALTIME || done != 0 {
        return done;
    }
    if let Some(Fault::Step(ms)) = fault("wall_clock") {
        STEP_MS.store(ms as u64, SeqCst);
    }
    let step = STEP_MS.load(SeqCst) as i64;
    (*time).tv_sec += step.div_euclid(1000);
    (*time).tv_nsec += step.rem_euclid(1000) * 1_000_000;
    if (*time).tv_nsec >= 1_000_000_000 {
        (*time).tv_sec += 1;
        (*time).tv_nsec -= 1_000_000_000;
    }
    done
}
