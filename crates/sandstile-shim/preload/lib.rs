//! The library that is loaded into a process under test. It stands before the C library's wrappers of system calls and
//! makes them fail, fall short, or wait, as the rules in `SANDSTILE_SHIM` say. Everything behind the start is free of
//! locks and allocations, for some of these calls come from signal handlers.
// What callers owe these functions is what the C library's manual says of those of the same names.
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
    chance: f64,
    skip: u64,
    most: u64,
    from_ms: u64,
    until_ms: u64,
    /// 0 for any.
    port: u16,
    seen: AtomicU64,
    applied: AtomicU64,
}

struct Plan {
    rules: Vec<Rule>,
    began_ms: u64,
}

static PLAN: OnceLock<Plan> = OnceLock::new();
static CHANCE: AtomicU64 = AtomicU64::new(1);

fn parse(text: &str) -> Option<Rule> {
    let words: Vec<&str> = text.split(' ').collect();
    let [call, fault, value, chance, skip, most, from_ms, until_ms, port] = words[..] else { return None };
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
        chance: chance.parse().ok()?,
        skip: skip.parse().ok()?,
        most: most.parse().ok()?,
        from_ms: from_ms.parse().ok()?,
        until_ms: until_ms.parse().ok()?,
        port: port.parse().ok()?,
        seen: AtomicU64::new(0),
        applied: AtomicU64::new(0),
    })
}

extern "C" fn begin() {
    let text = std::env::var("SANDSTILE_SHIM").unwrap_or_default();
    let mut parts = text.split(';');
    let seed: u64 = parts.next().and_then(|s| s.parse().ok()).unwrap_or(0);
    CHANCE.store(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1, SeqCst);
    let rules: Vec<Rule> = parts.map(|p| parse(p).unwrap_or_else(|| panic!("shim: no rule: {p}"))).collect();
    let _ = PLAN.set(Plan { rules, began_ms: monotonic_ms() });
}

#[used]
#[link_section = ".init_array"]
static BEGIN: extern "C" fn() = begin;

/// The C library's own function of this name; looked up once.
unsafe fn next<F: Copy>(cell: &AtomicUsize, name: &'static CStr) -> F {
    let mut at = cell.load(SeqCst);
    if at == 0 {
        at = libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) as usize;
        cell.store(at, SeqCst);
    }
    transmute_copy(&at)
}

macro_rules! own {
    ($name:literal, $kind:ty) => {{
        static CELL: AtomicUsize = AtomicUsize::new(0);
        const NAME: &CStr = $name;
        next::<$kind>(&CELL, NAME)
    }};
}

type ClockGetTime = unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;

fn monotonic_ms() -> u64 {
    unsafe {
        let mut at: timespec = zeroed();
        own!(c"clock_gettime", ClockGetTime)(libc::CLOCK_MONOTONIC, &mut at);
        at.tv_sec as u64 * 1000 + at.tv_nsec as u64 / 1_000_000
    }
}

/// A number from 0 up to 1, from a generator that all threads share.
fn chance() -> f64 {
    let drawn = CHANCE.fetch_add(0x9e37_79b9_7f4a_7c15, SeqCst);
    let mut mixed = (drawn ^ (drawn >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

impl Rule {
    fn applies(&self, now_ms: u64) -> bool {
        if now_ms < self.from_ms || now_ms >= self.until_ms {
            return false;
        }
        if self.seen.fetch_add(1, SeqCst) < self.skip || (self.chance < 1.0 && chance() >= self.chance) {
            return false;
        }
        self.applied.fetch_add(1, SeqCst) < self.most
    }
}

/// The fault that this call meets now, if any. A hold-up is served here, and the call goes on.
fn fault(call: &str) -> Option<Fault> {
    fault_at(call, || 0)
}

/// The same for a call on a socket whose other side has this port.
fn fault_at(call: &str, port: impl Fn() -> u16) -> Option<Fault> {
    let plan = PLAN.get()?;
    if !plan.rules.iter().any(|r| r.call == call) {
        return None;
    }
    let now_ms = monotonic_ms() - plan.began_ms;
    let mut met = None;
    for rule in plan.rules.iter().filter(|r| r.call == call && (r.port == 0 || r.port == port())) {
        if met.is_some() || !rule.applies(now_ms) {
            continue;
        }
        match rule.fault {
            Fault::Hold(ms) => hold(ms),
            other => met = Some(other),
        }
    }
    met
}

fn hold(ms: u64) {
    let wait = timespec { tv_sec: (ms / 1000) as i64, tv_nsec: ((ms % 1000) * 1_000_000) as i64 };
    unsafe { libc::nanosleep(&wait, std::ptr::null_mut()) };
}

fn fail(number: c_int) {
    unsafe { *libc::__errno_location() = number };
}

fn is_internet(fd: c_int) -> bool {
    unsafe {
        let (mut family, mut length): (c_int, socklen_t) = (0, size_of::<c_int>() as socklen_t);
        let into = (&raw mut family).cast::<c_void>();
        let got = libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, into, &mut length);
        got == 0 && (family == libc::AF_INET || family == libc::AF_INET6)
    }
}

fn port_of(address: &sockaddr) -> u16 {
    if c_int::from(address.sa_family) != libc::AF_INET {
        return 0;
    }
    let at: *const sockaddr_in = (&raw const *address).cast();
    u16::from_be(unsafe { (*at).sin_port })
}

/// The port of a socket's other side; 0 where there is none.
fn peer_port(fd: c_int) -> u16 {
    unsafe {
        let mut at: sockaddr_in = zeroed();
        let mut length = size_of::<sockaddr_in>() as socklen_t;
        match libc::getpeername(fd, (&raw mut at).cast(), &mut length) {
            0 => port_of(&*(&raw const at).cast()),
            _ => 0,
        }
    }
}

/// Errors that only a connection that is over can have.
fn ends(number: c_int) -> bool {
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
    match fault_at(call, || peer_port(fd)).filter(|_| is_internet(fd)) {
        Some(Fault::Errno(number)) => {
            if ends(number) {
                libc::shutdown(fd, libc::SHUT_RDWR);
            }
            fail(number);
            return -1;
        }
        Some(Fault::Short(most)) => length = length.min(most),
        _ => {}
    }
    own!(c"recv", Recv)(fd, into, length, flags)
}

type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, from: *const c_void, length: size_t, flags: c_int) -> ssize_t {
    let mut length = length;
    match fault_at("send", || peer_port(fd)).filter(|_| is_internet(fd)) {
        Some(Fault::Errno(number)) => {
            if ends(number) {
                libc::shutdown(fd, libc::SHUT_RDWR);
            }
            fail(number);
            return -1;
        }
        Some(Fault::Short(most)) => length = length.min(most),
        _ => {}
    }
    own!(c"send", Send)(fd, from, length, flags)
}

/// What a descriptor that is written to is, as rules name it.
fn written_to(fd: c_int) -> Option<&'static str> {
    if fd == libc::STDERR_FILENO {
        return Some("log_write");
    }
    unsafe {
        let mut about: libc::stat = zeroed();
        if libc::fstat(fd, &mut about) != 0 {
            return None;
        }
        match about.st_mode & libc::S_IFMT {
            libc::S_IFREG => Some("file_write"),
            // Descriptors without a file of their own: here, event descriptors alone are written to.
            0 => Some("wake_write"),
            _ => None,
        }
    }
}

type Write = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;

#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, length: size_t) -> ssize_t {
    let mut length = length;
    match written_to(fd).and_then(fault) {
        Some(Fault::Errno(number)) => {
            fail(number);
            return -1;
        }
        Some(Fault::Short(most)) => length = length.min(most),
        _ => {}
    }
    own!(c"write", Write)(fd, from, length)
}

type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;

/// A connection whose accept fails stays in the queue.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if let Some(Fault::Errno(number)) = fault("accept") {
        fail(number);
        return -1;
    }
    own!(c"accept4", Accept)(fd, address, length, flags)
}

type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if let Some(Fault::Errno(number)) = fault("socket").filter(|_| domain == libc::AF_INET) {
        fail(number);
        return -1;
    }
    own!(c"socket", Socket)(domain, kind, protocol)
}

type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;

/// An interrupted connect goes on by itself, as the platform has it.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    let met = fault_at("connect", || port_of(&*address)).filter(|_| is_internet(fd));
    if let Some(Fault::Errno(number)) = met.filter(|f| *f != Fault::Errno(libc::EINTR)) {
        fail(number);
        return -1;
    }
    let done = own!(c"connect", Connect)(fd, address, length);
    if met.is_some() && done != 0 && *libc::__errno_location() == libc::EINPROGRESS {
        fail(libc::EINTR);
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
        fail(number);
        return -1;
    }
    own!(c"setsockopt", SetSockOpt)(fd, level, name, value, length)
}

type EpollCtl = unsafe extern "C" fn(c_int, c_int, c_int, *mut epoll_event) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(poll: c_int, does: c_int, fd: c_int, event: *mut epoll_event) -> c_int {
    if does == libc::EPOLL_CTL_ADD {
        if let Some(Fault::Errno(number)) = fault("epoll_add").filter(|_| is_internet(fd)) {
            fail(number);
            return -1;
        }
    }
    own!(c"epoll_ctl", EpollCtl)(poll, does, fd, event)
}

type EpollWait = unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn epoll_wait(poll: c_int, events: *mut epoll_event, most: c_int, ms: c_int) -> c_int {
    if let Some(Fault::Errno(number)) = fault("epoll_wait") {
        fail(number);
        return -1;
    }
    own!(c"epoll_wait", EpollWait)(poll, events, most, ms)
}

type Poll = unsafe extern "C" fn(*mut pollfd, nfds_t, c_int) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn poll(fds: *mut pollfd, count: nfds_t, ms: c_int) -> c_int {
    if let Some(Fault::Errno(number)) = fault("poll") {
        fail(number);
        return -1;
    }
    own!(c"poll", Poll)(fds, count, ms)
}

type Sync = unsafe extern "C" fn(c_int) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if let Some(Fault::Errno(number)) = fault("sync") {
        fail(number);
        return -1;
    }
    own!(c"fsync", Sync)(fd)
}

#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    if let Some(Fault::Errno(number)) = fault("sync") {
        fail(number);
        return -1;
    }
    own!(c"fdatasync", Sync)(fd)
}

type Open = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;

/// In C this takes its mode only where a file may be created; on this platform the register is read either way.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: mode_t) -> c_int {
    if flags & libc::O_CREAT != 0 {
        if let Some(Fault::Errno(number)) = fault("create") {
            fail(number);
            return -1;
        }
    }
    own!(c"open64", Open)(path, flags, mode)
}

type Rename = unsafe extern "C" fn(*const c_char, *const c_char) -> c_int;

#[no_mangle]
pub unsafe extern "C" fn rename(from: *const c_char, to: *const c_char) -> c_int {
    if let Some(Fault::Errno(number)) = fault("rename") {
        fail(number);
        return -1;
    }
    own!(c"rename", Rename)(from, to)
}

/// The step that the wall clock has taken, once a rule has applied.
static STEP_MS: AtomicU64 = AtomicU64::new(0);

#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, at: *mut timespec) -> c_int {
    let done = own!(c"clock_gettime", ClockGetTime)(clock, at);
    if clock != libc::CLOCK_REALTIME || done != 0 {
        return done;
    }
    if let Some(Fault::Step(ms)) = fault("wall_clock") {
        STEP_MS.store(ms as u64, SeqCst);
    }
    let step = STEP_MS.load(SeqCst) as i64;
    (*at).tv_sec += step.div_euclid(1000);
    (*at).tv_nsec += step.rem_euclid(1000) * 1_000_000;
    if (*at).tv_nsec >= 1_000_000_000 {
        (*at).tv_sec += 1;
        (*at).tv_nsec -= 1_000_000_000;
    }
    done
}
