//! One client connection: its socket with its state machine of `sandstile-connections`, and what `clients` needs to
//! schedule it.
use crate::budget::{Holder, IdleKey};
use crate::client_connection::ClientConnection;
use crate::close_reason::CloseReason;
use crate::loop_context::LoopContext;
use crate::socket::{Socket, Transfer};

/// Reads for further commands that a connection may do once it is idle and asked to close. A client that always
/// has another command on the way would otherwise keep it open.
const FINAL_READS: u32 = 1;

/// The connection with the given socket, which `Clients` schedules.
pub struct ClientSlot {
    /// Sequence number of the connection in this process, which identifies it in the log.
    pub number: u64,
    pub accepted_at: f64,
    /// Reads that returned bytes.
    pub reads: u64,
    /// Bytes read in the current turn.
    pub turn_bytes: usize,
    /// Why the router closes the connection, where the state machine did not decide it.
    pub close_reason: Option<CloseReason>,
    /// The error number that a read or a write failed with.
    pub error: Option<i32>,
    pub client_connection: ClientConnection,
    pub socket: Socket,
    pub queued: bool,
    /// When its timer is due.
    pub timer_due: f64,
    /// Its key in the budget's idle list, and the idle period that the key was made for.
    pub idle_key: Option<(IdleKey, u64)>,
    /// The current idle period, and when it began.
    pub idle_state: Option<((Holder, u64), f64)>,
    /// Asked to close: it does so as soon as it is idle, after a final read that found nothing more or the last
    /// one that it may do.
    pub close_requested: bool,
    /// A final read is under way, or has found nothing.
    pub final_read_done: bool,
    pub final_reads_left: u32,
    /// Its sending side is closed, and it waits until this time for the client to close its own.
    pub lingers_until: Option<f64>,
    /// The last read failed for lack of memory: the socket may hold unread bytes.
    pub read_failed: bool,
    /// There is no descriptor to serve it: its statement is refused and it is closed.
    pub refused: bool,
}

/// The connection has ended or broken.
pub struct Lost;

impl ClientSlot {
    /// A connection that was accepted at `accepted_at`, in Unix seconds.
    pub fn new(
        number: u64,
        accepted_at: f64,
        client_connection: ClientConnection,
        socket: Socket,
        refused: bool,
    ) -> ClientSlot {
        ClientSlot {
            number,
            accepted_at,
            reads: 0,
            turn_bytes: 0,
            close_reason: None,
            error: None,
            client_connection,
            socket,
            queued: false,
            timer_due: f64::INFINITY,
            idle_key: None,
            idle_state: None,
            close_requested: false,
            final_read_done: false,
            final_reads_left: 0,
            lingers_until: None,
            read_failed: false,
            refused,
        }
    }

    pub fn is_idle_new_client(&self) -> bool {
        self.idle_state.is_some_and(|((holder, _), _)| holder == Holder::NewClientConnection)
    }

    /// Asks the connection to close. What the client has sent by now is still read and answered.
    pub fn request_close(&mut self, reason: CloseReason) {
        (self.close_requested, self.close_reason) = (true, Some(reason));
        self.final_reads_left = FINAL_READS;
        self.client_connection.limit_to_one_read();
        self.socket.force_read();
    }

    /// Reads once more before the connection closes.
    pub fn read_finally(&mut self) {
        self.final_reads_left -= 1;
        self.client_connection.limit_to_one_read();
        self.socket.force_read();
    }

    /// Writes what the socket takes; `true` if it took anything.
    pub fn write(&mut self, now: f64) -> Result<bool, Lost> {
        match self.socket.write(self.client_connection.pending_output()) {
            Transfer::Bytes(written) => {
                self.client_connection.wrote(written);
                self.socket.record_progress(now);
                return Ok(true);
            }
            Transfer::OutOfMemory => self.socket.record_progress(now),
            Transfer::Broken(error) => return Err(self.broken(error)),
            Transfer::Ended | Transfer::NotReady => {}
        }
        Ok(false)
    }

    /// Reads as much as the connection wants; `true` if anything had arrived.
    pub fn read(&mut self, now: f64, context: &mut LoopContext) -> Result<bool, Lost> {
        let wanted_bytes = self.client_connection.wanted_bytes().min(context.scratch.len());
        if self.socket.readable() && wanted_bytes > 0 {
            self.read_failed = false;
        }
        match self.socket.read(&mut context.scratch[..wanted_bytes]) {
            Transfer::Bytes(received) => {
                self.reads += 1;
                self.turn_bytes += received;
                self.final_read_done = false;
                if self.socket.is_unannounced() {
                    context.counters.found_by_look.add();
                }
                self.socket.record_progress(now);
                let bytes = &context.scratch[..received];
                self.client_connection.receive_since(context.events_since.min(now), now, bytes);
                return Ok(true);
            }
            Transfer::Ended => return Err(Lost),
            Transfer::Broken(error) => return Err(self.broken(error)),
            Transfer::OutOfMemory => {
                self.read_failed = true;
                self.socket.record_progress(now);
            }
            // After a read that failed for lack of memory the socket may hold bytes.
            Transfer::NotReady if wanted_bytes > 0 && !self.read_failed => {
                self.client_connection.read_would_block(now)
            }
            Transfer::NotReady => {}
        }
        Ok(false)
    }

    fn broken(&mut self, error: Option<i32>) -> Lost {
        (self.error, self.close_reason) = (error, Some(CloseReason::ClientBroken));
        Lost
    }
}
