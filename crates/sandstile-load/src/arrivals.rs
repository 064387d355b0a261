//! When statements are due; deterministic for a seed.
use sandstile_fleet::random::Rng;

#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// A Poisson process at this rate a second.
    Poisson(f64),
    /// Evenly spaced, at this rate a second.
    Constant(f64),
    /// Poisson processes in turns: at rate `on` for `on_s` seconds, then at rate `off` for `off_s` seconds.
    OnOff { on: f64, on_s: f64, off: f64, off_s: f64 },
    /// A curve: rates at equal steps over the whole time, with linear interpolation between them.
    Curve(Vec<f64>),
    /// At these times, taken from a recording.
    Recorded(Vec<f64>),
}

impl Shape {
    /// The rate at time `at` of a load that lasts `seconds`.
    pub fn rate(&self, at: f64, seconds: f64) -> f64 {
        match self {
            Shape::Poisson(rate) | Shape::Constant(rate) => *rate,
            Shape::OnOff { on, on_s, off, off_s } => match at.rem_euclid(on_s + off_s) < *on_s {
                true => *on,
                false => *off,
            },
            Shape::Curve(rates) => {
                let last = rates.len().saturating_sub(1);
                let position = (at / seconds).clamp(0.0, 1.0) * last as f64;
                let (low, fraction) = (position.floor() as usize, position.fract());
                let rate = |n: usize| rates.get(n.min(last)).copied().unwrap_or(0.0);
                rate(low) + fraction * (rate(low + 1) - rate(low))
            }
            Shape::Recorded(_) => 0.0,
        }
    }

    fn max_rate(&self) -> f64 {
        match self {
            Shape::Poisson(rate) | Shape::Constant(rate) => *rate,
            Shape::OnOff { on, off, .. } => on.max(*off),
            Shape::Curve(rates) => rates.iter().copied().fold(0.0, f64::max),
            Shape::Recorded(_) => 0.0,
        }
    }
}

/// Arrival times in seconds since the start, sorted.
pub struct Arrivals {
    shape: Shape,
    /// Replaces the shape: times that are read one by one from a recording, so that it is never held as a whole.
    stream: Option<Box<dyn Iterator<Item = f64>>>,
    seconds: f64,
    rng: Rng,
    now: f64,
    count: usize,
}

impl Arrivals {
    pub fn new(shape: Shape, seconds: f64, seed: u64) -> Self {
        let rng = Rng::new(seed, "arrivals");
        Arrivals { shape, stream: None, seconds, rng, now: 0.0, count: 0 }
    }

    /// Sorted times that are read one by one.
    pub fn streamed(times: impl Iterator<Item = f64> + 'static, seconds: f64) -> Self {
        Arrivals { stream: Some(Box::new(times)), ..Arrivals::new(Shape::Constant(0.0), seconds, 0) }
    }
}

impl Iterator for Arrivals {
    type Item = f64;

    fn next(&mut self) -> Option<f64> {
        self.count += 1;
        if let Some(stream) = &mut self.stream {
            return stream.next().filter(|at| *at <= self.seconds);
        }
        let at = match &self.shape {
            Shape::Recorded(times) => *times.get(self.count - 1)?,
            Shape::Constant(rate) => (self.count - 1) as f64 / rate,
            shape => {
                // Thinning: a Poisson process at the highest rate, of which an arrival is kept with probability current
                // rate / highest rate.
                let max_rate = shape.max_rate();
                if max_rate <= 0.0 {
                    return None;
                }
                loop {
                    self.now += self.rng.exponential(1.0 / max_rate);
                    if self.now > self.seconds {
                        return None;
                    }
                    if self.rng.uniform() * max_rate <= shape.rate(self.now, self.seconds) {
                        break self.now;
                    }
                }
            }
        };
        (at <= self.seconds).then_some(at)
    }
}
