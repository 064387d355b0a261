//! The control socket: a UNIX socket by which operators query a running router. Each client gets the whole report,
//! and the connection is closed. It is served on the event loop; a client that reads slowly delays nobody else, and
//! is dropped after a timeout.
use crate::errno::retry_interrupted;
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

pub const LISTENER: Token = Token(usize::MAX - 3);
/// The most clients served at a time, and the first of their tokens.
const MAX_CLIENTS: usize = 8;
const FIRST_CLIENT: usize = usize::MAX - 3 - MAX_CLIENTS;
/// Seconds for which an answer may wait to be read.
const ANSWER_TIMEOUT_S: f64 = 2.0;

struct ControlClient {
    stream: UnixStream,
    remaining: Vec<u8>,
    deadline: f64,
}

/// Whether no process listens on this socket: only a refused connection proves that.
pub fn is_abandoned(path: &Path) -> bool {
    let result = retry_interrupted(|| std::os::unix::net::UnixStream::connect(path));
    matches!(result, Err(e) if e.kind() == io::ErrorKind::ConnectionRefused)
}

pub struct ControlSocket {
    path: PathBuf,
    listener: UnixListener,
    clients: [Option<ControlClient>; MAX_CLIENTS],
    ready: bool,
}

impl ControlSocket {
    /// Opens the socket. A socket file left by a previous process is removed; one that a process listens on is not.
    pub fn open(path: &Path) -> Result<ControlSocket, String> {
        let to_message = |e: io::Error| format!("members: {}: {e}", path.display());
        if let Ok(found) = std::fs::symlink_metadata(path) {
            if !std::os::unix::fs::FileTypeExt::is_socket(&found.file_type()) {
                return Err(format!("members: {}: the file there is not a socket", path.display()));
            }
            if !is_abandoned(path) {
                return Err(format!("members: {}: another process may listen there", path.display()));
            }
            std::fs::remove_file(path).map_err(to_message)?;
        }
        let listener = UnixListener::bind(path).map_err(to_message)?;
        // Only users that may read the local configuration file may query.
        let mode = std::os::unix::fs::PermissionsExt::from_mode(0o600);
        std::fs::set_permissions(path, mode).map_err(to_message)?;
        Ok(ControlSocket { path: path.to_path_buf(), listener, clients: Default::default(), ready: true })
    }

    pub fn register(&mut self, registry: &Registry) -> io::Result<()> {
        registry.register(&mut self.listener, LISTENER, Interest::READABLE)
    }

    /// Whether this is one of the control socket's tokens.
    pub fn owns_token(token: Token) -> bool {
        (FIRST_CLIENT..=LISTENER.0).contains(&token.0)
    }

    pub fn set_readable(&mut self) {
        self.ready = true;
    }

    pub fn due(&self) -> f64 {
        self.clients.iter().flatten().map(|client| client.deadline).fold(f64::INFINITY, f64::min)
    }

    /// Accepts new clients and continues writing to those that read slowly.
    pub fn serve(&mut self, registry: &Registry, now: f64, report: impl Fn() -> String) {
        for _ in 0..MAX_CLIENTS {
            if !self.ready {
                break;
            }
            let Some(index) = self.clients.iter().position(Option::is_none) else { break };
            let mut stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.ready = false;
                    break;
                }
                // More clients may be waiting.
                Err(_) => continue,
            };
            if registry.register(&mut stream, Token(FIRST_CLIENT + index), Interest::WRITABLE).is_ok() {
                let remaining = (report() + "\n").into_bytes();
                self.clients[index] =
                    Some(ControlClient { stream, remaining, deadline: now + ANSWER_TIMEOUT_S });
            }
        }
        let mut freed = false;
        for slot in &mut self.clients {
            let Some(client) = slot else { continue };
            let mut finished = now >= client.deadline;
            while !client.remaining.is_empty() && !finished {
                match client.stream.write(&client.remaining) {
                    Ok(n) => drop(client.remaining.drain(..n)),
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(_) => finished = true,
                }
            }
            if finished || client.remaining.is_empty() {
                let _ = registry.deregister(&mut client.stream);
                *slot = None;
                freed = true;
            }
        }
        // Clients that found no free slot may have one now.
        self.ready |= freed;
    }

    /// Whether clients may be waiting that can be served now.
    pub fn may_accept(&self) -> bool {
        self.ready && self.clients.iter().any(Option::is_none)
    }

    pub fn close(&self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
