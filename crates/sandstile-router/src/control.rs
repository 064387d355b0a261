//! The control socket: a UNIX socket by which operators query a running router. Each client gets the whole report,
//! and the connection is closed. It is served on the event loop; a client that reads slowly delays nobody else, and
//! is dropped after a timeout.
use crate::errno::retry_interrupted;
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

pub const DOOR: Token = Token(usize::MAX - 3);
/// The most clients served at a time, and the first of their tokens.
const ASKERS: usize = 8;
const FIRST: usize = usize::MAX - 3 - ASKERS;
/// Seconds for which an answer may wait to be read.
const PATIENCE: f64 = 2.0;

struct Asker {
    stream: UnixStream,
    left: Vec<u8>,
    until: f64,
}

/// Whether no process listens on this socket: only a refused connection proves that.
pub fn is_abandoned(path: &Path) -> bool {
    let tried = retry_interrupted(|| std::os::unix::net::UnixStream::connect(path));
    matches!(tried, Err(e) if e.kind() == io::ErrorKind::ConnectionRefused)
}

pub struct ControlSocket {
    path: PathBuf,
    listener: UnixListener,
    askers: [Option<Asker>; ASKERS],
    ready: bool,
}

impl ControlSocket {
    /// Opens the socket. A socket file left by a previous process is removed; one that a process listens on is not.
    pub fn open(path: &Path) -> Result<ControlSocket, String> {
        let told = |e: io::Error| format!("members: {}: {e}", path.display());
        if let Ok(found) = std::fs::symlink_metadata(path) {
            if !std::os::unix::fs::FileTypeExt::is_socket(&found.file_type()) {
                return Err(format!("members: {}: there is something else", path.display()));
            }
            if !is_abandoned(path) {
                return Err(format!("members: {}: another process may listen there", path.display()));
            }
            std::fs::remove_file(path).map_err(told)?;
        }
        let listener = UnixListener::bind(path).map_err(told)?;
        // Only users that may read the local configuration file may query.
        let mode = std::os::unix::fs::PermissionsExt::from_mode(0o600);
        std::fs::set_permissions(path, mode).map_err(told)?;
        Ok(ControlSocket { path: path.to_path_buf(), listener, askers: Default::default(), ready: true })
    }

    pub fn register(&mut self, registry: &Registry) -> io::Result<()> {
        registry.register(&mut self.listener, DOOR, Interest::READABLE)
    }

    /// Whether this is one of the control socket's tokens.
    pub fn is_its(token: Token) -> bool {
        (FIRST..=DOOR.0).contains(&token.0)
    }

    pub fn told(&mut self) {
        self.ready = true;
    }

    pub fn due(&self) -> f64 {
        self.askers.iter().flatten().map(|a| a.until).fold(f64::INFINITY, f64::min)
    }

    /// Accepts new clients and continues writing to those that read slowly.
    pub fn serve(&mut self, registry: &Registry, now: f64, report: impl Fn() -> String) {
        for _ in 0..ASKERS {
            if !self.ready {
                break;
            }
            let Some(place) = self.askers.iter().position(Option::is_none) else { break };
            let mut stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.ready = false;
                    break;
                }
                // More clients may be waiting.
                Err(_) => continue,
            };
            if registry.register(&mut stream, Token(FIRST + place), Interest::WRITABLE).is_ok() {
                let left = (report() + "\n").into_bytes();
                self.askers[place] = Some(Asker { stream, left, until: now + PATIENCE });
            }
        }
        let mut freed = false;
        for asker in &mut self.askers {
            let Some(a) = asker else { continue };
            let mut over = now >= a.until;
            while !a.left.is_empty() && !over {
                match a.stream.write(&a.left) {
                    Ok(n) => drop(a.left.drain(..n)),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(_) => over = true,
                }
            }
            if over || a.left.is_empty() {
                let _ = registry.deregister(&mut a.stream);
                *asker = None;
                freed = true;
            }
        }
        // Clients that found no free slot may have one now.
        self.ready |= freed;
    }

    pub fn busy(&self) -> bool {
        self.ready && self.askers.iter().any(Option::is_none)
    }

    pub fn close(&self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
