//! Seeded random numbers. Each consumer has its own stream, so that an additional draw in one place does not change
//! the values of another.
use crate::plan::Work;

pub struct Rng(oorandom::Rand64);

impl Rng {
    /// The stream with this name under this seed.
    pub fn new(seed: u64, name: &str) -> Self {
        // FNV-1a over the name. Streams whose names collide would draw equal values, which biases no single stream.
        let hash = name
            .bytes()
            .fold(0xcbf2_9ce4_8422_2325_u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3));
        Rng(oorandom::Rand64::new((u128::from(seed) << 64) | u128::from(hash)))
    }

    /// Uniform in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.0.rand_float()
    }

    pub fn below(&mut self, bound: usize) -> usize {
        self.0.rand_range(0..bound.max(1) as u64) as usize
    }

    pub fn bernoulli(&mut self, uniform: f64) -> bool {
        uniform > 0.0 && self.uniform() < uniform
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.uniform()).ln()
    }

    pub fn work(&mut self, work: &Work) -> f64 {
        match *work {
            Work::Fixed(s) => s,
            Work::Exponential(mean) => self.exponential(mean),
            Work::LogNormal { mean, sigma } => {
                // Box-Muller transform. The mean of a log-normal exceeds exp(mu) by the factor exp(sigma^2 / 2), which
                // is divided out here.
                let (a, b) = (1.0 - self.uniform(), self.uniform());
                let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
                mean * (sigma * normal - sigma * sigma / 2.0).exp()
            }
        }
    }
}
