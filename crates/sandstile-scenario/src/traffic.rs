//! Open-loop arrivals of client statements, at a rate that changes as the script specifies. Arrivals depend only
//! on the seed and don't wait for answers, so a slow fleet receives the same load as a fast one.
use crate::script::{RateJump, Script, TrafficStream};
use sandstile_fleet::random::Rng;

/// One statement that a client is to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Seconds after the start.
    pub at: f64,
    pub stream: usize,
    pub workload: usize,
    pub group: usize,
    pub session: u64,
    /// A uniform random number per arrival, used to choose among routers.
    pub router_draw: f64,
}

/// The factor on the rate at this time; the factors of overlapping jumps are multiplied.
pub fn rate_multiple(jumps: &[RateJump], at: f64) -> f64 {
    jumps.iter().map(|jump| jump_multiple(jump, at)).product()
}

fn jump_multiple(jump: &RateJump, at: f64) -> f64 {
    let (elapsed, remaining) = (at - jump.at, jump.at + jump.duration_s - at);
    if elapsed < 0.0 || remaining < 0.0 {
        return 1.0;
    }
    let ramp_progress = match jump.ramp > 0.0 {
        true => (elapsed / jump.ramp).min(remaining / jump.ramp).clamp(0.0, 1.0),
        false => 1.0,
    };
    1.0 + (jump.multiple - 1.0) * ramp_progress
}

/// Generates the arrivals of one stream, by thinning a Poisson process of the stream's highest rate.
struct ArrivalSource {
    rng: Rng,
    now: f64,
    max_rate: f64,
}

pub struct Traffic {
    streams: Vec<TrafficStream>,
    sources: Vec<ArrivalSource>,
    next_arrivals: Vec<Option<Arrival>>,
    seconds: f64,
}

impl Traffic {
    pub fn new(script: &Script, seed: u64) -> Self {
        let sources = script.streams.iter().map(|stream| ArrivalSource {
            rng: Rng::new(seed, &format!("traffic {}", stream.name)),
            now: 0.0,
            max_rate: stream.rate * stream.jumps.iter().map(|jump| jump.multiple.max(1.0)).product::<f64>(),
        });
        let sources: Vec<ArrivalSource> = sources.collect();
        let mut traffic = Traffic {
            next_arrivals: Vec::new(),
            sources,
            streams: script.streams.clone(),
            seconds: script.seconds,
        };
        for stream in 0..traffic.streams.len() {
            let first = traffic.draw_arrival(stream);
            traffic.next_arrivals.push(first);
        }
        traffic
    }

    fn draw_arrival(&mut self, stream: usize) -> Option<Arrival> {
        let (settings, source) = (&self.streams[stream], &mut self.sources[stream]);
        loop {
            source.now += source.rng.exponential(1.0 / source.max_rate);
            if source.now > self.seconds {
                return None;
            }
            if source.rng.uniform() * source.max_rate
                <= settings.rate * rate_multiple(&settings.jumps, source.now)
            {
                break;
            }
        }
        let group = settings.groups[source.rng.below(settings.groups.len())];
        let session = source.rng.below(settings.sessions) as u64;
        let router_draw = source.rng.uniform();
        Some(Arrival { at: source.now, stream, workload: settings.workload, group, session, router_draw })
    }
}

impl Iterator for Traffic {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let arrival_times =
            self.next_arrivals.iter().enumerate().filter_map(|(n, a)| a.as_ref().map(|a| (a.at, n)));
        let (_, first) = arrival_times.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let next = self.draw_arrival(first);
        std::mem::replace(&mut self.next_arrivals[first], next)
    }
}
