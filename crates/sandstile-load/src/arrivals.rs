//! When statements are meant to be asked. Pure and seeded.
use sandstile_fleet::random::Rng;

#[derive(Clone, Debug, PartialEq)]
pub enum Shape {
    /// Memoryless, at this rate a second.
    Poisson(f64),
    /// Evenly spaced.
    Constant(f64),
    /// Memoryless at the first rate for so long, then at the second for so long, in turns.
    OnOff { on: f64, on_s: f64, off: f64, off_s: f64 },
    /// A day's curve: rates at equal steps over the whole time, straight lines between them.
    Curve(Vec<f64>),
    /// At these times, as somebody recorded them.
    Recorded(Vec<f64>),
}

impl Shape {
    /// The rate at this time of so many seconds in all.
    pub fn rate(&self, at: f64, seconds: f64) -> f64 {
        match self {
            Shape::Poisson(rate) | Shape::Constant(rate) => *rate,
            Shape::OnOff { on, on_s, off, off_s } => match at.rem_euclid(on_s + off_s) < *on_s {
                true => *on,
                false => *off,
            },
            Shape::Curve(rates) => {
                let last = rates.len().saturating_sub(1);
                let place = (at / seconds).clamp(0.0, 1.0) * last as f64;
                let (low, part) = (place.floor() as usize, place.fract());
                let of = |n: usize| rates.get(n.min(last)).copied().unwrap_or(0.0);
                of(low) + part * (of(low + 1) - of(low))
            }
            Shape::Recorded(_) => 0.0,
        }
    }

    fn most(&self) -> f64 {
        match self {
            Shape::Poisson(rate) | Shape::Constant(rate) => *rate,
            Shape::OnOff { on, off, .. } => on.max(*off),
            Shape::Curve(rates) => rates.iter().copied().fold(0.0, f64::max),
            Shape::Recorded(_) => 0.0,
        }
    }
}

/// Times in seconds from the start, in order.
pub struct Arrivals {
    shape: Shape,
    /// In place of the shape: times as they are read from somewhere, so that no more than one is held.
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

    /// Times in order, as they come.
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
                // A stream of the highest rate, thinned to what the time asks for.
                let most = shape.most();
                if most <= 0.0 {
                    return None;
                }
                loop {
                    self.now += self.rng.exponential(1.0 / most);
                    if self.now > self.seconds {
                        return None;
                    }
                    if self.rng.uniform() * most <= shape.rate(self.now, self.seconds) {
                        break self.now;
                    }
                }
            }
        };
        (at <= self.seconds).then_some(at)
    }
}
