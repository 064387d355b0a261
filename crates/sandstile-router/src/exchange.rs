//! Instances tell each other what sessions have seen: each dials those that our own file names and tells them, and
//! listens to whoever dials it. Plain threads round the frames of `sandstile-exchange`; off without our own file.
use crate::errno::retry_interrupted;
use crate::local_config::Exchange;
use crate::mailbox::{bounded_mailbox, MailboxSender};
use crate::session_messages::{SessionMessage, Telling};
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

/// What this use of the keys is called, so that no secret serves two.
pub const CONTEXT: &str = "sandstile exchange between instances, version 1";

/// Between tries to reach an instance that is not there.
const AGAIN: Duration = Duration::from_millis(300);
/// A greeting crosses a slow link twice; one that takes longer is not there.
const PATIENCE: Duration = Duration::from_millis(2000);
/// Between looks at whether a listener is still there.
const LOOK: Duration = Duration::from_millis(100);
/// Marks that wait for one instance; beyond that it is told all anew.
const MOST_WAITING: usize = 8192;
/// Words of others that wait for the desk; a frame has a quarter of a megabyte at the most. And how long a teller waits then.
const MOST_HEARD: usize = 128;
const BREATH: Duration = Duration::from_millis(2);
/// Instances that are told at one time, a thread each.
const MOST_TOLD: usize = 64;
/// Instances that may tell at one time.
const MOST_TELLERS: usize = 64;

/// Whom this instance tells: those that our own file names, and the members that are there.
pub struct ExchangePeers {
    named: BTreeSet<SocketAddr>,
    /// Who is told now; dropping what stands beside an address ends that.
    told: BTreeMap<SocketAddr, Arc<AtomicBool>>,
    name: String,
    /// Where this one is found itself, where state is kept with others: of many members it tells those that are near.
    near: Option<SocketAddr>,
    secret: [u8; 32],
    dispatcher: MailboxSender<SessionMessage>,
    log: Logger,
}

impl ExchangePeers {
    /// Tells just these from now on, and those that our own file names.
    pub fn follow(&mut self, members: &BTreeSet<SocketAddr>) {
        let mut wanted: BTreeSet<SocketAddr> = members.union(&self.named).copied().collect();
        if let Some(own) = self.near {
            // Named by their addresses, which all others have for them too.
            let by_name: BTreeMap<String, SocketAddr> =
                wanted.iter().map(|at| (at.to_string(), *at)).collect();
            let near = select_neighbours(&own.to_string(), &by_name.keys().cloned().collect());
            wanted = near.iter().filter_map(|name| by_name.get(name).copied()).collect();
        }
        while wanted.len() > MOST_TOLD {
            warn!(self.log, "exchange: more instances than are told"; "most" => MOST_TOLD);
            wanted.pop_last();
        }
        self.told.retain(|at, ends| {
            let stays = wanted.contains(at);
            ends.store(!stays, SeqCst);
            stays
        });
        for peer in wanted {
            if self.told.contains_key(&peer) {
                continue;
            }
            let ends = Arc::new(AtomicBool::new(false));
            let (name, secret, dispatcher, log) =
                (self.name.clone(), self.secret, self.dispatcher.clone(), self.log.clone());
            let over = ends.clone();
            let begun = threads::spawn_detached("tell", move || {
                while !over.load(SeqCst) {
                    // Whatever ends it, the next time begins with a snapshot.
                    if let Ok(true) = tell(peer, &name, &secret, &dispatcher, &over, &log) {
                        return;
                    }
                    thread::sleep(AGAIN);
                }
            });
            match begun {
                Ok(()) => drop(self.told.insert(peer, ends)),
                Err(e) => warn!(self.log, "exchange: {e}"),
            }
        }
    }
}

/// `life` tells the lives of one name apart; `keeps` says that state is kept with others.
pub fn begin(
    plan: &Exchange,
    name: &str,
    life: u64,
    keeps: bool,
    secrets: Vec<[u8; 32]>,
    dispatcher: MailboxSender<SessionMessage>,
    log: &Logger,
) -> Result<ExchangePeers, String> {
    let name = format!("{}#{life}", name.chars().take(40).collect::<String>());
    let name = &if keeps { replicating_name(&name) } else { name };
    let listener = TcpListener::bind(plan.listen).map_err(|e| format!("exchange: {}: {e}", plan.listen))?;
    let (own, keys, to_dispatcher, own_log) =
        (name.to_string(), secrets.clone(), dispatcher.clone(), log.clone());
    threads::spawn_detached("exchange", move || accept(&listener, &own, &keys, &to_dispatcher, &own_log))?;
    let mut exchange_peers = ExchangePeers {
        named: plan.peers.iter().copied().collect(),
        told: BTreeMap::new(),
        name: name.to_string(),
        near: keeps.then_some(plan.listen),
        secret: secrets[0],
        dispatcher,
        log: log.clone(),
    };
    exchange_peers.follow(&BTreeSet::new());
    Ok(exchange_peers)
}

/// A listener says nothing after its greeting.
fn there(stream: &TcpStream) -> bool {
    let look = stream.set_nonblocking(true).and_then(|()| retry_interrupted(|| stream.peek(&mut [0])));
    let back = stream.set_nonblocking(false);
    matches!(look, Err(e) if e.kind() == io::ErrorKind::WouldBlock) && back.is_ok()
}

/// Never the same twice, here or in an earlier life.
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
    dispatcher: &MailboxSender<SessionMessage>,
    log: &Logger,
) {
    let tellers = Arc::new(AtomicUsize::new(0));
    for (number, stream) in listener.incoming().enumerate() {
        let Ok(mut stream) = stream else {
            thread::sleep(AGAIN);
            continue;
        };
        if tellers.fetch_add(1, SeqCst) >= MOST_TELLERS {
            tellers.fetch_sub(1, SeqCst);
            continue;
        }
        let nonce = nonce(&secrets[0], number);
        let (secrets, dispatcher, log) = (secrets.to_vec(), dispatcher.clone(), log.clone());
        let (greeting, here) = (greeting(nonce, name), tellers.clone());
        let listen = move || {
            let heard =
                stream.write_all(&greeting).and_then(|()| hear(&mut stream, &secrets, &nonce, &dispatcher));
            if let Err(e) = heard {
                info!(log, "exchange: a connection ended: {e}");
            }
            here.fetch_sub(1, SeqCst);
        };
        if threads::spawn_detached("hear", listen).is_err() {
            tellers.fetch_sub(1, SeqCst);
        }
    }
}

/// Takes in what another instance tells, until it ends or can't be believed.
fn hear(
    stream: &mut TcpStream,
    secrets: &[[u8; 32]],
    nonce: &[u8; 16],
    dispatcher: &MailboxSender<SessionMessage>,
) -> io::Result<()> {
    let mut listener = FrameDecoder::new(secrets, nonce);
    let mut from = None;
    let mut bytes = [0; 8192];
    // A stranger has to prove itself soon; one that has may be silent for as long as nobody writes.
    stream.set_read_timeout(Some(PATIENCE))?;
    loop {
        let n = retry_interrupted(|| stream.read(&mut bytes))?;
        if n == 0 {
            return Ok(());
        }
        listener.push_bytes(&bytes[..n]);
        let wrong = |w| io::Error::other(format!("{w:?}"));
        while let Some(heard) = listener.next_frame().map_err(wrong)? {
            if let Frame::Introduction(name) = &heard {
                from = Some(name.clone());
                stream.set_read_timeout(None)?;
            }
            // One that tells faster than is heard waits in its own stream, and fills no memory here.
            while dispatcher.queued() > MOST_HEARD {
                thread::sleep(BREATH);
            }
            if let Some(from) = &from {
                dispatcher.send(SessionMessage::Frame(from.clone(), heard));
            }
        }
    }
}

/// Tells one instance all that is known and then what comes; `true` once this one has ended in order.
fn tell(
    peer: SocketAddr,
    name: &str,
    secret: &[u8; 32],
    dispatcher: &MailboxSender<SessionMessage>,
    over: &AtomicBool,
    log: &Logger,
) -> io::Result<bool> {
    let mut to = None;
    let told = tell_one(peer, name, secret, dispatcher, over, log, &mut to);
    if let Some(to) = to {
        dispatcher.send(SessionMessage::Untold(to));
    }
    told
}

/// As `tell`; `whom` is who was told, from when on the desk knows of it.
fn tell_one(
    peer: SocketAddr,
    name: &str,
    secret: &[u8; 32],
    dispatcher: &MailboxSender<SessionMessage>,
    over: &AtomicBool,
    log: &Logger,
    whom: &mut Option<String>,
) -> io::Result<bool> {
    let mut stream = TcpStream::connect_timeout(&peer, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.set_nodelay(true)?;
    let (mut buf, mut bytes) = (Vec::new(), [0; 128]);
    let (nonce, to) = loop {
        let wrong = |w| io::Error::other(format!("{w:?}"));
        if let Some((nonce, to, _)) = read_greeting(&buf).map_err(wrong)? {
            break (nonce, to);
        }
        let n = retry_interrupted(|| stream.read(&mut bytes))?;
        if n == 0 {
            return Ok(false);
        }
        buf.extend_from_slice(&bytes[..n]);
    };
    let mut encoder = FrameEncoder::new(secret, &nonce);
    stream.write_all(&encoder.introduction(name))?;
    let (outlet, tellings) = bounded_mailbox(MOST_WAITING);
    *whom = Some(to.clone());
    dispatcher.send(SessionMessage::Tell(to.clone(), outlet));
    loop {
        let telling = match tellings.recv(Some(LOOK)) {
            Ok(telling) => telling,
            // While nobody writes, its end is seen by a look alone; the next life is to be told soon.
            Err(RecvTimeoutError::Timeout) if !over.load(SeqCst) && there(&stream) => continue,
            Err(RecvTimeoutError::Timeout) => return Ok(false),
            // One whose outlet was dropped has fallen behind: it is told all anew.
            Err(RecvTimeoutError::Disconnected) => break,
        };
        match telling {
            Telling::Snapshot { exact, covers_receiver } => {
                let all: Vec<_> = exact.iter().collect();
                for piece in all.chunks(MAX_MARKS_PER_FRAME / 4) {
                    stream.write_all(&encoder.marks(piece.iter().map(|(key, seen)| (**key, *seen))))?;
                }
                stream.write_all(&encoder.snapshot_complete(covers_receiver))?;
                info!(log, "exchange: told"; "instance" => &to, "marks" => all.len());
            }
            Telling::SnapshotComplete { covers_receiver } => {
                stream.write_all(&encoder.snapshot_complete(covers_receiver))?
            }
            Telling::State(message) => {
                stream.write_all(&encoder.state(&message))?;
                dispatcher.send(SessionMessage::Written(to.clone(), message.len()));
            }
            Telling::SessionMarks(key, seen) => {
                // All that waits goes in one frame.
                let mut marks = vec![(key, seen)];
                let mut end = None;
                while marks.len() < MAX_MARKS_PER_FRAME / 4 {
                    match tellings.try_recv() {
                        Some(Telling::SessionMarks(key, seen)) => marks.push((key, seen)),
                        Some(other) => {
                            end = Some(other);
                            break;
                        }
                        None => break,
                    }
                }
                stream.write_all(&encoder.marks(marks.iter().map(|(key, seen)| (*key, seen))))?;
                if let Some(Telling::End(done)) = end {
                    stream.write_all(&encoder.goodbye())?;
                    drop(done);
                    return Ok(true);
                }
            }
            Telling::End(done) => {
                stream.write_all(&encoder.goodbye())?;
                drop(done);
                return Ok(true);
            }
        }
    }
    warn!(log, "exchange: an instance fell behind and is told anew"; "instance" => &to);
    Ok(false)
}
