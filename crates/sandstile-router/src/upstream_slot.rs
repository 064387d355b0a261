//! One connection to a database host: its socket with its state machine of `sandstile-connections`, and what `hosts`
//! needs to schedule it.
use crate::budget::IdleKey;
use crate::socket::Socket;
use crate::upstream_connection::UpstreamConnection;

/// The connection with its socket, which `Hosts` schedules.
pub struct UpstreamSlot {
    pub host: usize,
    /// Sequence number of the dial: a slot's key is used again.
    pub dial_number: u64,
    pub connection: UpstreamConnection,
    pub socket: Option<Socket>,
    pub queued: bool,
    pub timer_due: f64,
    pub idle_key: Option<IdleKey>,
    /// When its dial began, while the dial is under way and dials are paced.
    pub dial_started_at: Option<f64>,
    pub requested_at: f64,
    /// It has been delayed by the dial pacing and counted for that.
    pub delayed: bool,
    /// Its task was checked just now and may begin.
    pub may_start: bool,
    /// Until when its dial is retried, once a dial has failed with a local error of this machine.
    pub local_retry_until: Option<f64>,
}

impl UpstreamSlot {
    /// A connection to this host that is requested at `now` and has to be dialled within `dial_timeout` seconds.
    pub fn new(host: usize, dial_number: u64, now: f64, dial_timeout: f64) -> UpstreamSlot {
        UpstreamSlot {
            host,
            dial_number,
            connection: UpstreamConnection::new(now + dial_timeout, dial_timeout),
            socket: None,
            queued: false,
            timer_due: f64::INFINITY,
            idle_key: None,
            dial_started_at: None,
            requested_at: now,
            delayed: false,
            may_start: false,
            local_retry_until: None,
        }
    }

    /// When the socket is rechecked without an event. Idle connections are not: they are checked before use.
    pub fn recheck_due(&self) -> f64 {
        match &self.socket {
            Some(socket) if !self.connection.idle() => socket.recheck_due(),
            _ => f64::INFINITY,
        }
    }
}
