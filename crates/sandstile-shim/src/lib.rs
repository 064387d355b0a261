//! Test-only: system-call faults for one process. Rules are handed over in an environment variable to a library that
//! is loaded into the process by `LD_PRELOAD` (the example `sandstile_shim`); this half builds the rules and finds
//! the library.
#![forbid(unsafe_code)]
use std::fmt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The variable in which the preloaded library finds its rules.
pub const RULES_VARIABLE: &str = "SANDSTILE_SHIM";
const LIBRARY: &str = "libsandstile_shim.so";

/// A system call that rules can name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `recv` on an Internet socket, but for looks that take nothing (`MSG_PEEK`).
    Recv,
    /// `recv` with `MSG_PEEK`.
    Peek,
    /// `send` on an Internet socket.
    Send,
    Accept,
    Socket,
    Connect,
    /// `epoll_ctl` that adds a descriptor.
    EpollAdd,
    EpollWait,
    /// `poll`, by which blocking connects with a time limit wait.
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
    /// Its name in the rules.
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

/// What a call does in place of its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It moves so many bytes at the most, though it could move more.
    Short(usize),
    /// It fails with this error number (`errno`). Where the error means that a connection is dead, it is dead for the
    /// other side too.
    Errno(i32),
    /// It is held up for so many milliseconds first, and then does its work.
    HoldMs(u64),
    /// The clock it reads is off by so many milliseconds.
    StepMs(i64),
}

/// Error numbers of Linux that rules use.
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

/// One rule: a fault of one call, how often, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    call: Call,
    fault: Fault,
    chance: f64,
    skip: u64,
    most: u64,
    from_ms: u64,
    until_ms: u64,
    /// 0 for any.
    port: u16,
}

impl Rule {
    /// Applies every time.
    pub fn new(call: Call, fault: Fault) -> Rule {
        Rule { call, fault, chance: 1.0, skip: 0, most: u64::MAX, from_ms: 0, until_ms: u64::MAX, port: 0 }
    }

    /// The call fails with this error number.
    pub fn fails(call: Call, errno: i32) -> Rule {
        Rule::new(call, Fault::Errno(errno))
    }

    /// Applies with this probability, 0 to 1.
    pub fn probability(self, chance: f64) -> Rule {
        Rule { chance, ..self }
    }

    /// Leaves the first so many calls alone.
    pub fn after(self, skip: u64) -> Rule {
        Rule { skip, ..self }
    }

    /// Applies so many times at the most.
    pub fn times(self, most: u64) -> Rule {
        Rule { most, ..self }
    }

    /// Applies from then until then, in milliseconds since the process began.
    pub fn between(self, from_ms: u64, until_ms: u64) -> Rule {
        Rule { from_ms, until_ms, ..self }
    }
}

impl Rule {
    /// Applies only sockets whose other side has this port: for `Recv`, `Peek`, `Send` and `Connect`.
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

/// The rules of one process, with the seed of their chances.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub seed: u64,
    pub rules: Vec<Rule>,
}

impl Plan {
    /// Has `command` start its program under these rules, with the library at `library`.
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

/// The preloaded library, where it is built: among the examples of the profile whose program lies at `program`
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
            "{}: no {LIBRARY} beside it; build it: cargo build --package sandstile-shim --examples",
            program.display()
        )
    })
}
