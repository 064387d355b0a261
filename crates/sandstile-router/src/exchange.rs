//! Exchange of session marks between instances. Each instance dials the peers in its local configuration file
//! and sends them its marks, and receives marks from the instances that dial it. Runs on plain threads, with
//! the frames of `sandstile-exchange`; off without a local configuration file.
use crate::errno::retry_interrupted;
use crate::local_config::ExchangeConfig;
use crate::mailbox::{bounded_mailbox, MailboxSender};
use crate::session_messages::{PeerMessage, SessionMessage};
use crate::threads;
use crossbeam_channel::RecvTimeoutError;
use sandstile_exchange::{
    greeting, read_greeting, replicating_name, Frame, FrameDecoder, FrameEncoder, MAX_MARKS_PER_FRAME,
};
use sandstile_replication::select_neighbours;
use slog::{info, warn, Logger};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Context for key derivation, so that no secret is used for two purposes.
pub const CONTEXT: &str = "sandstile exchange between instances, version 1";

/// Pause between attempts to reach an instance.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Timeout for dials, greetings and writes. A greeting crosses a slow network twice; an instance that takes
/// longer counts as unreachable.
const IO_TIMEOUT: Duration = Duration::from_millis(2000);
/// Interval of the check whether an idle connection's peer is still there.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Limit on the marks queued for one instance; beyond it the connection is closed and starts again with a
/// snapshot.
const MAX_QUEUED_MARKS: usize = 8192;
/// Limit on the messages of other instances queued for the dispatcher; a frame has at most a quarter of a
/// megabyte. A connection's thread pauses for the second constant while the queue is above the limit.
const MAX_QUEUED_MESSAGES: usize = 128;
const BACKPRESSURE_PAUSE: Duration = Duration::from_millis(2);
/// Limit on outgoing connections, each with a thread.
const MAX_OUTGOING: usize = 64;
/// Limit on incoming connections, each with a thread.
const MAX_INCOMING: usize = 64;

/// The instances that this one sends to: those of the local configuration file, and the members that are
/// alive.
pub struct ExchangePeers {
    configured: BTreeSet<SocketAddr>,
    /// The stop flag of each outgoing connection, by address.
    stop_flags: BTreeMap<SocketAddr, Arc<AtomicBool>>,
    name: String,
    /// This instance's own address, if state is replicated: it then sends only to its neighbours among the
    /// members.
    own_address: Option<SocketAddr>,
    secret: [u8; 32],
    dispatcher_sender: MailboxSender<SessionMessage>,
    log: Logger,
}

impl ExchangePeers {
    /// Sends to exactly these members from now on, and to the peers of the local configuration file.
    pub fn update(&mut self, members: &BTreeSet<SocketAddr>) {
        let mut wanted: BTreeSet<SocketAddr> = members.union(&self.configured).copied().collect();
        if let Some(own_address) = self.own_address {
            // Identified by address, which is the same at every instance.
            let by_name: BTreeMap<String, SocketAddr> =
                wanted.iter().map(|at| (at.to_string(), *at)).collect();
            let neighbours = select_neighbours(&own_address.to_string(), &by_name.keys().cloned().collect());
            wanted = neighbours.iter().filter_map(|name| by_name.get(name).copied()).collect();
        }
        while wanted.len() > MAX_OUTGOING {
            warn!(self.log, "exchange: too many instances, some are left out"; "most" => MAX_OUTGOING);
            wanted.pop_last();
        }
        self.stop_flags.retain(|at, stop_flag| {
            let stays = wanted.contains(at);
            stop_flag.store(!stays, SeqCst);
            stays
        });
        for peer in wanted {
            if self.stop_flags.contains_key(&peer) {
                continue;
            }
            let stop_flag = Arc::new(AtomicBool::new(false));
            let (name, secret, dispatcher_sender, log) =
                (self.name.clone(), self.secret, self.dispatcher_sender.clone(), self.log.clone());
            let stop = stop_flag.clone();
            let spawned = threads::spawn_detached("tell", move || {
                while !stop.load(SeqCst) {
                    // Every new connection begins with a snapshot, whatever ended the last one.
                    if let Ok(true) = send_to_peer(peer, &name, &secret, &dispatcher_sender, &stop, &log) {
                        return;
                    }
                    thread::sleep(RECONNECT_DELAY);
                }
            });
            match spawned {
                Ok(()) => drop(self.stop_flags.insert(peer, stop_flag)),
                Err(e) => warn!(self.log, "exchange: {e}"),
            }
        }
    }
}

/// Starts the listener and the outgoing connections. `generation` distinguishes the processes that run under
/// one name; `replicates_state` says that state is replicated.
pub fn begin(
    config: &ExchangeConfig,
    name: &str,
    generation: u64,
    replicates_state: bool,
    secrets: Vec<[u8; 32]>,
    dispatcher_sender: MailboxSender<SessionMessage>,
    log: &Logger,
) -> Result<ExchangePeers, String> {
    let name = format!("{}#{generation}", name.chars().take(40).collect::<String>());
    let name = &if replicates_state { replicating_name(&name) } else { name };
    let listener =
        TcpListener::bind(config.listen).map_err(|e| format!("exchange: {}: {e}", config.listen))?;
    let (own_name, keys, to_dispatcher, thread_log) =
        (name.to_string(), secrets.clone(), dispatcher_sender.clone(), log.clone());
    threads::spawn_detached("exchange", move || {
        accept(&listener, &own_name, &keys, &to_dispatcher, &thread_log)
    })?;
    let mut exchange_peers = ExchangePeers {
        configured: config.peers.iter().copied().collect(),
        stop_flags: BTreeMap::new(),
        name: name.to_string(),
        own_address: replicates_state.then_some(config.listen),
        secret: secrets[0],
        dispatcher_sender,
        log: log.clone(),
    };
    exchange_peers.update(&BTreeSet::new());
    Ok(exchange_peers)
}

/// Whether the peer is still connected. It sends nothing after its greeting, so a readable stream means that
/// it has closed the connection.
fn is_open(stream: &TcpStream) -> bool {
    let peeked = stream.set_nonblocking(true).and_then(|()| retry_interrupted(|| stream.peek(&mut [0])));
    let restored = stream.set_nonblocking(false);
    matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock) && restored.is_ok()
}

/// A nonce that differs from all others of this process and of earlier ones.
fn nonce(secret: &[u8; 32], number: usize) -> [u8; 16] {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    let mut hash = blake3::Hasher::new_keyed(secret);
    hash.update(&now.to_le_bytes());
    hash.update(&number.to_le_bytes());
    hash.update(&std::process::id().to_le_bytes());
    let hash = hash.finalize();
    std::array::from_fn(|n| hash.as_bytes()[n])
}

fn accept(
    listener: &TcpListener,
    name: &str,
    secrets: &[[u8; 32]],
    dispatcher_sender: &MailboxSender<SessionMessage>,
    log: &Logger,
) {
    let connections = Arc::new(AtomicUsize::new(0));
    for (number, stream) in listener.incoming().enumerate() {
        let Ok(mut stream) = stream else {
            thread::sleep(RECONNECT_DELAY);
            continue;
        };
        if connections.fetch_add(1, SeqCst) >= MAX_INCOMING {
            connections.fetch_sub(1, SeqCst);
            continue;
        }
        let nonce = nonce(&secrets[0], number);
        let (secrets, dispatcher_sender, log) = (secrets.to_vec(), dispatcher_sender.clone(), log.clone());
        let (greeting, open_connections) = (greeting(nonce, name), connections.clone());
        let receive = move || {
            let result = stream
                .write_all(&greeting)
                .and_then(|()| receive_from_peer(&mut stream, &secrets, &nonce, &dispatcher_sender));
            if let Err(e) = result {
                info!(log, "exchange: a connection ended: {e}");
            }
            open_connections.fetch_sub(1, SeqCst);
        };
        if threads::spawn_detached("hear", receive).is_err() {
            connections.fetch_sub(1, SeqCst);
        }
    }
}

/// Receives the messages of another instance until the connection ends or a message fails verification.
fn receive_from_peer(
    stream: &mut TcpStream,
    secrets: &[[u8; 32]],
    nonce: &[u8; 16],
    dispatcher_sender: &MailboxSender<SessionMessage>,
) -> io::Result<()> {
    let mut decoder = FrameDecoder::new(secrets, nonce);
    let mut from = None;
    let mut bytes = [0; 8192];
    // An unauthenticated peer must prove itself within the timeout; an authenticated one is silent while
    // nobody writes.
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    loop {
        let n = retry_interrupted(|| stream.read(&mut bytes))?;
        if n == 0 {
            return Ok(());
        }
        decoder.push_bytes(&bytes[..n]);
        let to_io_error = |w| io::Error::other(format!("{w:?}"));
        while let Some(frame) = decoder.next_frame().map_err(to_io_error)? {
            if let Frame::Introduction(name) = &frame {
                from = Some(name.clone());
                stream.set_read_timeout(None)?;
            }
            // Backpressure: a peer that sends faster than the dispatcher reads is held back by its TCP
            // connection.
            while dispatcher_sender.queued() > MAX_QUEUED_MESSAGES {
                thread::sleep(BACKPRESSURE_PAUSE);
            }
            if let Some(from) = &from {
                dispatcher_sender.send(SessionMessage::FromPeer(from.clone(), frame));
            }
        }
    }
}

/// Sends one instance a snapshot and then every new mark. Returns `true` once this instance has shut down in
/// order.
fn send_to_peer(
    peer: SocketAddr,
    name: &str,
    secret: &[u8; 32],
    dispatcher_sender: &MailboxSender<SessionMessage>,
    stop: &AtomicBool,
    log: &Logger,
) -> io::Result<bool> {
    let mut connected_to = None;
    let result = run_connection(peer, name, secret, dispatcher_sender, stop, log, &mut connected_to);
    if let Some(peer_name) = connected_to {
        dispatcher_sender.send(SessionMessage::PeerDisconnected(peer_name));
    }
    result
}

/// Does the work of `send_to_peer`; sets `connected_to` to the peer's name once the dispatcher knows of the
/// connection.
fn run_connection(
    peer: SocketAddr,
    name: &str,
    secret: &[u8; 32],
    dispatcher_sender: &MailboxSender<SessionMessage>,
    stop: &AtomicBool,
    log: &Logger,
    connected_to: &mut Option<String>,
) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&peer, IO_TIMEOUT)?;
    stream.set_read_timeout(Some(IO_TIMEOUT))?;
    stream.set_write_timeout(Some(IO_TIMEOUT))?;
    stream.set_nodelay(true)?;
    let (mut buf, mut bytes) = (Vec::new(), [0; 128]);
    let (nonce, peer_name) = loop {
        let to_io_error = |w| io::Error::other(format!("{w:?}"));
        if let Some((nonce, peer_name, _)) = read_greeting(&buf).map_err(to_io_error)? {
            break (nonce, peer_name);
        }
        let n = retry_interrupted(|| stream.read(&mut bytes))?;
        if n == 0 {
            return Ok(false);
        }
        buf.extend_from_slice(&bytes[..n]);
    };
    let mut encoder = FrameEncoder::new(secret, &nonce);
    stream.write_all(&encoder.introduction(name))?;
    let (sender, messages) = bounded_mailbox(MAX_QUEUED_MARKS);
    *connected_to = Some(peer_name.clone());
    dispatcher_sender.send(SessionMessage::PeerConnected(peer_name.clone(), sender));
    loop {
        let message = match messages.recv(Some(PEER_CHECK_INTERVAL)) {
            Ok(message) => message,
            // While there is nothing to write, only this check notices that the peer has ended; its next
            // generation should be reached soon.
            Err(RecvTimeoutError::Timeout) if !stop.load(SeqCst) && is_open(&stream) => continue,
            Err(RecvTimeoutError::Timeout) => return Ok(false),
            // The sessions drop the sender of a peer that has fallen behind; it starts again with a snapshot.
            Err(RecvTimeoutError::Disconnected) => break,
        };
        match message {
            PeerMessage::Snapshot { exact, covers_receiver } => {
                let all: Vec<_> = exact.iter().collect();
                for chunk in all.chunks(MAX_MARKS_PER_FRAME / 4) {
                    stream.write_all(
                        &encoder.marks(chunk.iter().map(|(key, session_marks)| (**key, *session_marks))),
                    )?;
                }
                stream.write_all(&encoder.snapshot_complete(covers_receiver))?;
                info!(log, "exchange: all marks sent"; "instance" => &peer_name, "marks" => all.len());
            }
            PeerMessage::SnapshotComplete { covers_receiver } => {
                stream.write_all(&encoder.snapshot_complete(covers_receiver))?
            }
            PeerMessage::State(state) => {
                stream.write_all(&encoder.state(&state))?;
                dispatcher_sender.send(SessionMessage::StateBytesWritten(peer_name.clone(), state.len()));
            }
            PeerMessage::SessionMarks(key, session_marks) => {
                // Sends all queued marks in one frame.
                let mut marks = vec![(key, session_marks)];
                let mut other_message = None;
                while marks.len() < MAX_MARKS_PER_FRAME / 4 {
                    match messages.try_recv() {
                        Some(PeerMessage::SessionMarks(key, session_marks)) => {
                            marks.push((key, session_marks))
                        }
                        Some(other) => {
                            other_message = Some(other);
                            break;
                        }
                        None => break,
                    }
                }
                stream.write_all(
                    &encoder.marks(marks.iter().map(|(key, session_marks)| (*key, session_marks))),
                )?;
                if let Some(PeerMessage::End(done)) = other_message {
                    stream.write_all(&encoder.goodbye())?;
                    drop(done);
                    return Ok(true);
                }
            }
            PeerMessage::End(done) => {
                stream.write_all(&encoder.goodbye())?;
                drop(done);
                return Ok(true);
            }
        }
    }
    warn!(log, "exchange: an instance fell behind and will receive all marks again"; "instance" => &peer_name);
    Ok(false)
}
