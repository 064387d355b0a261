//! Schedules drawn by seed: what a hunt plays. A drawn fault is written in the form of our scripts, so that what was
//! found is a script like any other.
use crate::ends::Pick;
use crate::fault_state::{Strike, Where};
use crate::process::{Blow, State, Whom};
use oorandom::Rand64;
use std::fmt::Write;

/// One fault of a schedule. Times in seconds from the beginning.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    pub at: f64,
    pub what: What,
}

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    Link {
        from: String,
        to: String,
        strike: Strike,
        one_way: bool,
        lasts: f64,
    },
    Partition {
        sides: Vec<String>,
        lasts: f64,
    },
    Process {
        whom: Whom,
        blow: Blow,
        spread: f64,
    },
    /// A database host's own trouble, in the words of scripts: kind, target, keys beside.
    Host {
        kind: &'static str,
        on: String,
        keys: String,
        lasts: f64,
    },
}

/// What a schedule may strike.
#[derive(Clone, Debug)]
pub struct Field {
    pub routers: usize,
    pub groups: Vec<String>,
    pub zones: Vec<String>,
    /// Faults fall between these.
    pub from: f64,
    pub to: f64,
    /// Routers talk to each other, and links between them are struck as well.
    pub members: bool,
}

fn of<'a, T>(all: &'a [T], chance: &mut Rand64) -> &'a T {
    &all[chance.rand_range(0..all.len() as u64) as usize]
}

/// In tenths, so that a script reads well and says just what was played.
fn tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// So many faults, in the order of their times. The same seed draws the same.
pub fn draw(field: &Field, size: usize, seed: u64) -> Vec<Fault> {
    let mut chance = Rand64::new(u128::from(seed) ^ 0x5eed_fa17);
    let mut all: Vec<Fault> = (0..size).map(|_| fault(field, &mut chance)).collect();
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

/// Trouble between routers.
fn among(field: &Field, lasts: f64, chance: &mut Rand64) -> What {
    let last = field.routers - 1;
    let one = chance.rand_range(0..field.routers as u64) as usize;
    let middle = chance.rand_range(0..last.max(1) as u64) as usize;
    let halves = vec![format!("router:0-{middle}"), format!("router:{}-{last}", middle + 1)];
    let by = tenths(0.1 + 0.4 * chance.rand_float());
    let strike = match chance.rand_range(0..6) {
        0 | 1 => return What::Partition { sides: halves, lasts: 2.0 * lasts },
        2 => Strike::Cut,
        3 => Strike::Loss(tenths(0.1 + 0.4 * chance.rand_float())),
        4 => Strike::Delay { by, jitter: by },
        _ => Strike::Spoil(0.2),
    };
    let from = if chance.rand_range(0..2) == 0 { "router:*".to_string() } else { format!("router:{one}") };
    // Cut from all others at once it would be no link between two.
    let to = if strike == Strike::Cut {
        format!("router:{}", (one + 1) % field.routers)
    } else {
        "router:*".to_string()
    };
    let from = if strike == Strike::Cut { format!("router:{one}") } else { from };
    What::Link { from, to, strike, one_way: chance.rand_range(0..3) == 0, lasts: 2.0 * lasts }
}

fn fault(field: &Field, chance: &mut Rand64) -> Fault {
    let at = tenths(field.from + (field.to - field.from) * chance.rand_float());
    let lasts = tenths(0.3 + 2.7 * chance.rand_float());
    let router = chance.rand_range(0..field.routers as u64);
    let group = of(&field.groups, chance).clone();
    if field.members && chance.rand_range(0..2) == 0 {
        return Fault { at, what: among(field, lasts, chance) };
    }
    let what = match chance.rand_range(0..11) {
        0..=3 => {
            let by = tenths(0.1 + 0.4 * chance.rand_float());
            let strike = match chance.rand_range(0..7) {
                0 => Strike::Cut,
                1 | 2 => Strike::Reset,
                3 => Strike::Delay { by, jitter: by },
                4 => Strike::Loss(0.1),
                // A stream's own checksums keep spoilt bytes from its ends: such a strike is for datagrams.
                5 => Strike::Rate(20_000.0),
                _ => Strike::Delay { by: 0.0, jitter: by },
            };
            let to = match chance.rand_range(0..4) {
                0 => format!("agent:{router}"),
                1 => "host:*".to_string(),
                _ => format!("group:{group}"),
            };
            let all = matches!(chance.rand_range(0..3), 0) && !to.starts_with("agent");
            let from = if all { "router:*".to_string() } else { format!("router:{router}") };
            What::Link { from, to, strike, one_way: chance.rand_range(0..4) == 0, lasts }
        }
        4 => {
            let middle = (field.routers / 2).max(1) - 1;
            let last = field.routers - 1;
            let zone = of(&field.zones, chance);
            let one = format!("router:0-{middle} zone:{zone}");
            let others: Vec<String> =
                field.zones.iter().filter(|z| *z != zone).map(|z| format!("zone:{z}")).collect();
            let other = match last > middle {
                true => format!("router:{}-{last} {}", middle + 1, others.join(" ")),
                false => others.join(" "),
            };
            What::Partition { sides: vec![one, other.trim().to_string()], lasts }
        }
        5 | 6 => {
            let share = *of(&[0.3, 0.7, 1.0], chance);
            let back = tenths(0.2 + 0.8 * chance.rand_float());
            let kill = chance.rand_range(0..3) > 0;
            let blow = Blow::Restart { kill, back, state: State::Kept };
            What::Process { whom: Whom::Share(share), blow, spread: *of(&[0.0, 0.0, 1.0], chance) }
        }
        7 => {
            let blow = Blow::Stop { lasts: tenths(0.5 + 2.5 * chance.rand_float()) };
            What::Process { whom: Whom::One(router as usize), blow, spread: 0.0 }
        }
        8 => {
            let blow = Blow::Slow { share: 0.6, lasts };
            What::Process { whom: Whom::One(router as usize), blow, spread: 0.0 }
        }
        9 => {
            let kind = *of(&["crash", "drain", "pause"], chance);
            What::Host { kind, on: format!("primary:{group}"), keys: String::new(), lasts }
        }
        _ => {
            let (kind, keys) = *of(&[("crash", ""), ("slow", "share = 0.3"), ("hang", "")], chance);
            What::Host { kind, on: format!("replica:{group}:0"), keys: keys.to_string(), lasts }
        }
    };
    Fault { at, what }
}

fn strike(out: &mut String, strike: Strike) {
    let _ = match strike {
        Strike::Cut => writeln!(out, "  kind = \"cut\""),
        Strike::Reset => writeln!(out, "  kind = \"reset\""),
        Strike::Loss(p) => writeln!(out, "  kind = \"loss\"\n  share = {p}"),
        Strike::Reorder(p) => writeln!(out, "  kind = \"reorder\"\n  share = {p}"),
        Strike::Duplicate(p) => writeln!(out, "  kind = \"duplicate\"\n  share = {p}"),
        Strike::Spoil(p) => writeln!(out, "  kind = \"spoil\"\n  share = {p}"),
        Strike::Rate(rate) => writeln!(out, "  kind = \"rate\"\n  bytes_s = {rate}"),
        Strike::Delay { by, jitter } => {
            writeln!(
                out,
                "  kind = \"delay\"\n  delay_ms = {:.0}\n  jitter_ms = {:.0}",
                by * 1e3,
                jitter * 1e3
            )
        }
    };
}

/// Faults as blocks of a script, which its reader turns into the very same.
pub fn script(faults: &[Fault]) -> String {
    let mut out = String::new();
    for (n, fault) in faults.iter().enumerate() {
        let (at, n) = (fault.at, n + 1);
        match &fault.what {
            What::Link { from, to, strike: s, one_way, lasts } => {
                let _ = writeln!(out, "link \"drawn-{n}\" {{\n  from = \"{from}\"\n  to = \"{to}\"");
                strike(&mut out, *s);
                let _ = writeln!(out, "  one_way = {one_way}\n  at = {at}\n  for = {lasts}\n}}");
            }
            What::Partition { sides, lasts } => {
                let sides: Vec<String> = sides.iter().map(|s| format!("\"{s}\"")).collect();
                let _ = writeln!(
                    out,
                    "partition \"drawn-{n}\" {{\n  sides = [{}]\n  at = {at}\n  for = {lasts}\n}}",
                    sides.join(", ")
                );
            }
            What::Process { whom, blow, spread } => {
                let whom = match whom {
                    Whom::One(n) => format!("router = {n}"),
                    Whom::Share(share) => format!("share = {share}"),
                };
                let _ = match blow {
                    Blow::Restart { kill, back, .. } => {
                        let kind = if *kill { "kill" } else { "term" };
                        writeln!(
                            out,
                            "restart \"drawn-{n}\" {{\n  {whom}\n  kind = \"{kind}\"\n  back = {back}\n  spread = {spread}\n  at = {at}\n}}"
                        )
                    }
                    Blow::Stop { lasts } => {
                        writeln!(out, "stop \"drawn-{n}\" {{\n  {whom}\n  at = {at}\n  for = {lasts}\n}}")
                    }
                    Blow::Slow { share, lasts } => writeln!(
                        out,
                        "stop \"drawn-{n}\" {{\n  {whom}\n  of_the_time = {share}\n  at = {at}\n  for = {lasts}\n}}"
                    ),
                    Blow::Copy => writeln!(out, "state \"drawn-{n}\" {{\n  {whom}\n  at = {at}\n}}"),
                };
            }
            What::Host { kind, on, keys, lasts } => {
                let keys = if keys.is_empty() { String::new() } else { format!("  {keys}\n") };
                let _ = writeln!(
                    out,
                    "fault \"drawn-{n}\" {{\n  kind = \"{kind}\"\n  on = \"{on}\"\n{keys}  at = {at}\n  for = {lasts}\n}}"
                );
            }
        }
    }
    out
}

/// Where a drawn fault falls, as relays have it; `None` for one of processes or hosts.
pub fn place(what: &What) -> Option<(Where, Strike)> {
    match what {
        What::Link { from, to, strike, one_way, .. } => {
            let (from, to) = (Pick::read(from).ok()?, Pick::read(to).ok()?);
            Some((Where::Between { from, to, one_way: *one_way }, *strike))
        }
        What::Partition { sides, .. } => {
            let sides = sides.iter().map(|s| Pick::read(s).ok()).collect::<Option<Vec<_>>>()?;
            Some((Where::Sides(sides), Strike::Cut))
        }
        _ => None,
    }
}
