//! Rate limits for datagrams. A peer that floods loses its own datagrams first; a limit on all senders bounds the total cost.

/// Datagrams per second and burst of one sender; a member among a thousand sends fewer even in its busiest second.
const PER_SENDER: (f64, f64) = (200.0, 400.0);
/// Datagrams per second and burst of all senders together.
const ALL_SENDERS: (f64, f64) = (4000.0, 8000.0);
/// Authentication tags computed per second and burst, at one microsecond each, which bounds the cost of a sender without a key. A
/// flood beyond it crowds out the other members, and this router then considers itself alone and is careful.
const TAG_CHECKS: (f64, f64) = (20_000.0, 20_000.0);

/// Bytes sent per second and burst; the full state of a thousand members for one recipient is 80 kB.
const OUTGOING_BYTES: (f64, f64) = (200_000.0, 400_000.0);

/// A token bucket that refills at `rate` tokens per second up to `burst`.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    updated_at: f64,
}

impl TokenBucket {
    fn new((rate, burst): (f64, f64), now: f64) -> TokenBucket {
        TokenBucket { rate, burst, tokens: burst, updated_at: now }
    }

    pub fn per_sender(now: f64) -> TokenBucket {
        TokenBucket::new(PER_SENDER, now)
    }

    pub fn all_senders(now: f64) -> TokenBucket {
        TokenBucket::new(ALL_SENDERS, now)
    }

    pub fn tag_checks(now: f64) -> TokenBucket {
        TokenBucket::new(TAG_CHECKS, now)
    }

    pub fn outgoing(now: f64) -> TokenBucket {
        TokenBucket::new(OUTGOING_BYTES, now)
    }

    /// Takes one token if available.
    pub fn try_take(&mut self, now: f64) -> bool {
        self.try_take_many(now, 1.0)
    }

    pub fn try_take_many(&mut self, now: f64, amount: f64) -> bool {
        self.tokens = (self.tokens + self.rate * (now - self.updated_at).max(0.0)).min(self.burst);
        self.updated_at = self.updated_at.max(now);
        let taken = self.tokens >= amount;
        self.tokens -= if taken { amount } else { 0.0 };
        taken
    }
}
