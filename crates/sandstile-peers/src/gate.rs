//! How much is taken in: a peer that floods costs its own letters first, and no more of anybody's than the whole may cost.

/// Letters a second and at once, of one sender: one that speaks for a thousand members says less in the worst of its seconds.
const PER_SENDER: (f64, f64) = (200.0, 400.0);
/// Of all senders together.
const ALL_SENDERS: (f64, f64) = (4000.0, 8000.0);
/// Marks that are reckoned, a microsecond each: whoever has no key costs no more than that, and beyond it drowns the others, which
/// leaves this router alone and careful.
const TAG_CHECKS: (f64, f64) = (20_000.0, 20_000.0);

/// Bytes that go out a second and at once: all that is known of a thousand members, told to one, is 80 kB.
const OUTGOING_BYTES: (f64, f64) = (200_000.0, 400_000.0);

/// Tokens that come back at a rate, up to a most.
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

    /// Whether one more is taken in.
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
