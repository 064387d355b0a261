//! Test-only: system-call faults for one process. A library that is loaded into the process by `LD_PRELOAD` (the
//! example `sandstile_shim`) reads fault rules from an environment variable. This crate builds the rules and finds the
//! library.
#![forbid(unsafe_code)]
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The environment variable from which the preloaded library reads its rules.
pub const RULES_VARIABLE: &str = "SANDSTILE_SHIM";
const LIBRARY: &str = "libsandstile_shim.so";

/// A system call that a rule can apply to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `recv` on an Internet socket without `MSG_PEEK`.
    Recv,
    /// `recv` with `MSG_PEEK`.
    Peek,
    /// `send` on an Internet socket.
    Send,
    Accept,
    Socket,
    Connect,
    /// `epoll_ctl` that registers a descriptor.
    EpollAdd,
    EpollWait,
    /// `poll`, which blocking connects with a timeout use to wait.
    Poll,
    SetSockOpt,
    /// `write` to an event descriptor, by which threads wake each other.
    WakeWrite,
    /// `write` to standard error.
    LogWrite,
    /// `write` to a regular file.
    FileWrite,
    /// `fsync` or `fdatasync`.
    Sync,
    /// `open` that may create a file.
    Create,
    Rename,
    /// `clock_gettime` of the wall clock.
    WallClock,
}

impl Call {
    /// The call's name in the rules.
    pub fn name(self) -> &'static str {
        match self {
            Call::Recv => "recv",
            Call::Peek => "peek",
            Call::Send => "send",
            Call::Accept => "accept",
            Call::Socket => "socket",
            Call::Connect => "connect",
            Call::EpollAdd => "epoll_add",
            Call::EpollWait => "epoll_wait",
            Call::Poll => "poll",
            Call::SetSockOpt => "setsockopt",
            Call::WakeWrite => "wake_write",
            Call::LogWrite => "log_write",
            Call::FileWrite => "file_write",
            Call::Sync => "sync",
            Call::Create => "create",
            Call::Rename => "rename",
            Call::WallClock => "wall_clock",
        }
    }
}

/// How a call misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It transfers at most this many bytes, even if it could transfer more.
    Short(usize),
    /// It fails with this error number (`errno`). If the error means that the connection is dead, the connection is
    /// closed for the peer too.
    Errno(i32),
    /// It is delayed by this many milliseconds and then works normally.
    HoldMs(u64),
    /// The clock is off by this many milliseconds.
    StepMs(i64),
}

/// Linux error numbers that rules use.
pub mod errno {
    pub const EINTR: i32 = 4;
    pub const EIO: i32 = 5;
    pub const EAGAIN: i32 = 11;
    pub const ENOMEM: i32 = 12;
    pub const ENFILE: i32 = 23;
    pub const EMFILE: i32 = 24;
    pub const ENOSPC: i32 = 28;
    pub const EPIPE: i32 = 32;
    pub const EPROTO: i32 = 71;
    pub const EADDRNOTAVAIL: i32 = 99;
    pub const ENETDOWN: i32 = 100;
    pub const ENETUNREACH: i32 = 101;
    pub const ECONNABORTED: i32 = 103;
    pub const ECONNRESET: i32 = 104;
    pub const ENOBUFS: i32 = 105;
    pub const ETIMEDOUT: i32 = 110;
    pub const ECONNREFUSED: i32 = 111;
    pub const EHOSTUNREACH: i32 = 113;
}

/// One rule: the call, its fault, how often and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    call: Call,
    fault: Fault,
    chance: f64,
    skip: u64,
    most: u64,
    from_ms: u64,
    until_ms: u64,
    /// The peer's port; 0 for any.
    port: u16,
}

impl Rule {
    /// A rule that always applies.
    pub fn new(call: Call, fault: Fault) -> Rule {
        Rule { call, fault, chance: 1.0, skip: 0, most: u64::MAX, from_ms: 0, until_ms: u64::MAX, port: 0 }
    }

    /// A rule by which the call fails with this error number.
    pub fn fails(call: Call, errno: i32) -> Rule {
        Rule::new(call, Fault::Errno(errno))
    }

    /// Applies with this probability, from 0 to 1.
    pub fn probability(self, chance: f64) -> Rule {
        Rule { chance, ..self }
    }

    /// Leaves the first `skip` calls alone.
    pub fn after(self, skip: u64) -> Rule {
        Rule { skip, ..self }
    }

    /// Applies this many times at most.
    pub fn times(self, most: u64) -> Rule {
        Rule { most, ..self }
    }

    /// Applies only in this period, in milliseconds since the process began.
    pub fn between(self, from_ms: u64, until_ms: u64) -> Rule {
        Rule { from_ms, until_ms, ..self }
    }
}

impl Rule {
    /// Applies only to sockets whose peer has this port; for `Recv`, `Peek`, `Send` and `Connect`.
    pub fn port(self, port: u16) -> Rule {
        Rule { port, ..self }
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (fault, value) = match self.fault {
            Fault::Short(bytes) => ("short", bytes as i64),
            Fault::Errno(number) => ("errno", i64::from(number)),
            Fault::HoldMs(ms) => ("hold", ms as i64),
            Fault::StepMs(ms) => ("step", ms),
        };
        let Rule { chance, skip, most, from_ms, until_ms, port, .. } = self;
        write!(f, "{} {fault} {value} {chance} {skip} {most} {from_ms} {until_ms} {port}", self.call.name())
    }
}

/// The rules of one process, and the seed for their probabilities.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub seed: u64,
    pub rules: Vec<Rule>,
}

impl Plan {
    /// Makes `command` start its program under these rules, with the library at `library`.
    pub fn apply(&self, command: &mut Command, library: &Path) {
        command.env("LD_PRELOAD", library).env(RULES_VARIABLE, self.to_string());
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.seed)?;
        self.rules.iter().try_for_each(|rule| write!(f, ";{rule}"))
    }
}

/// The path of the preloaded library: among the examples of the build profile that `program` belongs to
/// (`target/debug/sandstile`, or a test in `target/debug/deps`).
pub fn library(program: &Path) -> Result<PathBuf, String> {
    let found = program
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join("examples").join(LIBRARY))
        .find(|p| p.exists());
    found.ok_or_else(|| {
        format!(
            "{}: no {LIBRARY} in the examples folder next to it; build it with cargo build --package sandstile-shim --examples",
            program.display()
        )
    })
}
