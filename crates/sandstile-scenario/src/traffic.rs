//! What clients ask when: open-loop arrivals whose rate moves with the script. Seeded; nothing here waits for
//! answers, so that a fleet that slows down gets no less.
use crate::script::{RateJump, Script, TrafficStream};
use sandstile_fleet::random::Rng;

/// One statement that a client is to ask.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Seconds after the start.
    pub at: f64,
    pub stream: usize,
    pub workload: usize,
    pub group: usize,
    pub session: u64,
    /// Drawn per arrival, for whoever has to choose among routers.
    pub router_draw: f64,
}

/// The rate's multiple at this time: jumps that overlap multiply.
pub fn rate_multiple(jumps: &[RateJump], at: f64) -> f64 {
    jumps.iter().map(|j| one(j, at)).product()
}

fn one(j: &RateJump, at: f64) -> f64 {
    let (since, left) = (at - j.at, j.at + j.duration_s - at);
    if since < 0.0 || left < 0.0 {
        return 1.0;
    }
    let part = match j.ramp > 0.0 {
        true => (since / j.ramp).min(left / j.ramp).clamp(0.0, 1.0),
        false => 1.0,
    };
    1.0 + (j.multiple - 1.0) * part
}

/// The arrivals of one stream, one after the other, by thinning a stream of the highest rate.
struct Source {
    rng: Rng,
    now: f64,
    most: f64,
}

pub struct Traffic {
    streams: Vec<TrafficStream>,
    sources: Vec<Source>,
    next: Vec<Option<Arrival>>,
    seconds: f64,
}

impl Traffic {
    pub fn new(script: &Script, seed: u64) -> Self {
        let sources = script.streams.iter().map(|s| Source {
            rng: Rng::new(seed, &format!("traffic {}", s.name)),
            now: 0.0,
            most: s.rate * s.jumps.iter().map(|j| j.multiple.max(1.0)).product::<f64>(),
        });
        let sources: Vec<Source> = sources.collect();
        let mut traffic =
            Traffic { next: Vec::new(), sources, streams: script.streams.clone(), seconds: script.seconds };
        for stream in 0..traffic.streams.len() {
            let first = traffic.draw(stream);
            traffic.next.push(first);
        }
        traffic
    }

    fn draw(&mut self, stream: usize) -> Option<Arrival> {
        let (s, source) = (&self.streams[stream], &mut self.sources[stream]);
        loop {
            source.now += source.rng.exponential(1.0 / source.most);
            if source.now > self.seconds {
                return None;
            }
            if source.rng.uniform() * source.most <= s.rate * rate_multiple(&s.jumps, source.now) {
                break;
            }
        }
        let group = s.groups[source.rng.below(s.groups.len())];
        let session = source.rng.below(s.sessions) as u64;
        let router_draw = source.rng.uniform();
        Some(Arrival { at: source.now, stream, workload: s.workload, group, session, router_draw })
    }
}

impl Iterator for Traffic {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let times = self.next.iter().enumerate().filter_map(|(n, a)| a.as_ref().map(|a| (a.at, n)));
        let (_, first) = times.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let next = self.draw(first);
        std::mem::replace(&mut self.next[first], next)
    }
}
