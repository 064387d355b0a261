//! How much is taken in: a peer that floods costs its own letters first, and no more of anybody's than the whole may cost.

/// Letters a second and at once, of one sender: one that speaks for a thousand members says less in the worst of its seconds.
const ONE: (f64, f64) = (200.0, 400.0);
/// Of all senders together.
const ALL: (f64, f64) = (4000.0, 8000.0);
/// Marks that are reckoned, a microsecond each: whoever has no key costs no more than that, and beyond it drowns the others, which
/// leaves this router alone and careful.
const MARKS: (f64, f64) = (20_000.0, 20_000.0);

/// Bytes that go out a second and at once: all that is known of a thousand members, told to one, is 80 kB.
const OUT: (f64, f64) = (200_000.0, 400_000.0);

/// Tokens that come back at a rate, up to a most.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: f64,
    most: f64,
    held: f64,
    at: f64,
}

impl Bucket {
    fn new((rate, most): (f64, f64), now: f64) -> Bucket {
        Bucket { rate, most, held: most, at: now }
    }

    pub fn one(now: f64) -> Bucket {
        Bucket::new(ONE, now)
    }

    pub fn all(now: f64) -> Bucket {
        Bucket::new(ALL, now)
    }

    pub fn marks(now: f64) -> Bucket {
        Bucket::new(MARKS, now)
    }

    pub fn out(now: f64) -> Bucket {
        Bucket::new(OUT, now)
    }

    /// Whether one more is taken in.
    pub fn takes(&mut self, now: f64) -> bool {
        self.takes_all(now, 1.0)
    }

    pub fn takes_all(&mut self, now: f64, tokens: f64) -> bool {
        self.held = (self.held + self.rate * (now - self.at).max(0.0)).min(self.most);
        self.at = self.at.max(now);
        let takes = self.held >= tokens;
        self.held -= if takes { tokens } else { 0.0 };
        takes
    }
}
