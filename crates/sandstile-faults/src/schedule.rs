//! Draws fault schedules from a seed, for hunts. A drawn schedule is written out in the format of rehearsal
//! scripts, so that a schedule that fails can be kept and replayed as an ordinary script.
use crate::endpoints::EndpointSelector;
use crate::link_faults::{FaultScope, LinkFault};
use crate::process::{ProcessFault, ProcessSelector, StateAfterRestart};
use oorandom::Rand64;
use std::fmt::Write;

/// One fault of a schedule. Times are seconds since the start of the script.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    pub at: f64,
    pub action: FaultAction,
}

#[derive(Clone, Debug, PartialEq)]
pub enum FaultAction {
    Link {
        from: String,
        to: String,
        link_fault: LinkFault,
        one_way: bool,
        duration_s: f64,
    },
    Partition {
        sides: Vec<String>,
        duration_s: f64,
    },
    Process {
        selector: ProcessSelector,
        process_fault: ProcessFault,
        spread: f64,
    },
    /// A fault of a database host, given as a script states it: kind, target and further keys.
    Host {
        kind: &'static str,
        on: String,
        keys: String,
        duration_s: f64,
    },
}

/// What drawn faults may affect, and when.
#[derive(Clone, Debug)]
pub struct FaultTargets {
    pub routers: usize,
    pub groups: Vec<String>,
    pub zones: Vec<String>,
    /// Faults start between `from` and `to`, in seconds.
    pub from: f64,
    pub to: f64,
    /// Whether routers are members of one cluster and talk to each other; if so, half of the faults are drawn
    /// on the links between routers.
    pub members: bool,
}

fn pick_from<'a, T>(all: &'a [T], rng: &mut Rand64) -> &'a T {
    &all[rng.rand_range(0..all.len() as u64) as usize]
}

/// Rounds to tenths, so that scripts are easy to read and state exactly the values that were played.
fn round_to_tenth(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// Draws `size` faults, sorted by time. The same seed yields the same schedule.
pub fn draw_schedule(targets: &FaultTargets, size: usize, seed: u64) -> Vec<ScheduledFault> {
    let mut rng = Rand64::new(u128::from(seed) ^ 0x5eed_fa17);
    let mut all: Vec<ScheduledFault> = (0..size).map(|_| draw_fault(targets, &mut rng)).collect();
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

/// Draws a fault on the links between routers.
fn draw_router_fault(targets: &FaultTargets, duration_s: f64, rng: &mut Rand64) -> FaultAction {
    let last = targets.routers - 1;
    let router = rng.rand_range(0..targets.routers as u64) as usize;
    let middle = rng.rand_range(0..last.max(1) as u64) as usize;
    let halves = vec![format!("router:0-{middle}"), format!("router:{}-{last}", middle + 1)];
    let delay = round_to_tenth(0.1 + 0.4 * rng.rand_float());
    let link_fault = match rng.rand_range(0..6) {
        0 | 1 => return FaultAction::Partition { sides: halves, duration_s: 2.0 * duration_s },
        2 => LinkFault::Cut,
        3 => LinkFault::Loss(round_to_tenth(0.1 + 0.4 * rng.rand_float())),
        4 => LinkFault::Delay { delay, jitter: delay },
        _ => LinkFault::Corrupt(0.2),
    };
    let from = if rng.rand_range(0..2) == 0 { "router:*".to_string() } else { format!("router:{router}") };
    // A cut is limited to one pair of routers: a router cut off from all others would be a partition.
    let to = if link_fault == LinkFault::Cut {
        format!("router:{}", (router + 1) % targets.routers)
    } else {
        "router:*".to_string()
    };
    let from = if link_fault == LinkFault::Cut { format!("router:{router}") } else { from };
    FaultAction::Link {
        from,
        to,
        link_fault,
        one_way: rng.rand_range(0..3) == 0,
        duration_s: 2.0 * duration_s,
    }
}

fn draw_fault(targets: &FaultTargets, rng: &mut Rand64) -> ScheduledFault {
    let at = round_to_tenth(targets.from + (targets.to - targets.from) * rng.rand_float());
    let duration_s = round_to_tenth(0.3 + 2.7 * rng.rand_float());
    let router = rng.rand_range(0..targets.routers as u64);
    let group = pick_from(&targets.groups, rng).clone();
    if targets.members && rng.rand_range(0..2) == 0 {
        return ScheduledFault { at, action: draw_router_fault(targets, duration_s, rng) };
    }
    let action = match rng.rand_range(0..11) {
        0..=3 => {
            let delay = round_to_tenth(0.1 + 0.4 * rng.rand_float());
            let link_fault = match rng.rand_range(0..7) {
                0 => LinkFault::Cut,
                1 | 2 => LinkFault::Reset,
                3 => LinkFault::Delay { delay, jitter: delay },
                4 => LinkFault::Loss(0.1),
                // Corruption is not drawn here: TCP checksums keep corrupted bytes from the endpoints of a
                // stream, so this fault applies to datagrams only.
                5 => LinkFault::Rate(20_000.0),
                _ => LinkFault::Delay { delay: 0.0, jitter: delay },
            };
            let to = match rng.rand_range(0..4) {
                0 => format!("agent:{router}"),
                1 => "host:*".to_string(),
                _ => format!("group:{group}"),
            };
            let from_all_routers = matches!(rng.rand_range(0..3), 0) && !to.starts_with("agent");
            let from = if from_all_routers { "router:*".to_string() } else { format!("router:{router}") };
            FaultAction::Link { from, to, link_fault, one_way: rng.rand_range(0..4) == 0, duration_s }
        }
        4 => {
            let middle = (targets.routers / 2).max(1) - 1;
            let last = targets.routers - 1;
            let zone = pick_from(&targets.zones, rng);
            let one_side = format!("router:0-{middle} zone:{zone}");
            let other_zones: Vec<String> =
                targets.zones.iter().filter(|z| *z != zone).map(|z| format!("zone:{z}")).collect();
            let other_side = match last > middle {
                true => format!("router:{}-{last} {}", middle + 1, other_zones.join(" ")),
                false => other_zones.join(" "),
            };
            FaultAction::Partition { sides: vec![one_side, other_side.trim().to_string()], duration_s }
        }
        5 | 6 => {
            let share = *pick_from(&[0.3, 0.7, 1.0], rng);
            let back = round_to_tenth(0.2 + 0.8 * rng.rand_float());
            let kill = rng.rand_range(0..3) > 0;
            let process_fault = ProcessFault::Restart { kill, back, state: StateAfterRestart::Kept };
            FaultAction::Process {
                selector: ProcessSelector::Share(share),
                process_fault,
                spread: *pick_from(&[0.0, 0.0, 1.0], rng),
            }
        }
        7 => {
            let process_fault = ProcessFault::Stop { lasts: round_to_tenth(0.5 + 2.5 * rng.rand_float()) };
            FaultAction::Process {
                selector: ProcessSelector::One(router as usize),
                process_fault,
                spread: 0.0,
            }
        }
        8 => {
            let process_fault = ProcessFault::Slow { share: 0.6, lasts: duration_s };
            FaultAction::Process {
                selector: ProcessSelector::One(router as usize),
                process_fault,
                spread: 0.0,
            }
        }
        9 => {
            let kind = *pick_from(&["crash", "drain", "pause"], rng);
            FaultAction::Host { kind, on: format!("primary:{group}"), keys: String::new(), duration_s }
        }
        _ => {
            let (kind, keys) = *pick_from(&[("crash", ""), ("slow", "share = 0.3"), ("hang", "")], rng);
            FaultAction::Host { kind, on: format!("replica:{group}:0"), keys: keys.to_string(), duration_s }
        }
    };
    ScheduledFault { at, action }
}

fn write_link_fault(out: &mut String, link_fault: LinkFault) {
    let _ = match link_fault {
        LinkFault::Cut => writeln!(out, "  kind = \"cut\""),
        LinkFault::Reset => writeln!(out, "  kind = \"reset\""),
        LinkFault::Loss(p) => writeln!(out, "  kind = \"loss\"\n  share = {p}"),
        LinkFault::Reorder(p) => writeln!(out, "  kind = \"reorder\"\n  share = {p}"),
        LinkFault::Duplicate(p) => writeln!(out, "  kind = \"duplicate\"\n  share = {p}"),
        LinkFault::Corrupt(p) => writeln!(out, "  kind = \"spoil\"\n  share = {p}"),
        LinkFault::Rate(rate) => writeln!(out, "  kind = \"rate\"\n  bytes_s = {rate}"),
        LinkFault::Delay { delay, jitter } => {
            writeln!(
                out,
                "  kind = \"delay\"\n  delay_ms = {:.0}\n  jitter_ms = {:.0}",
                delay * 1e3,
                jitter * 1e3
            )
        }
    };
}

/// Writes faults as blocks of a script; parsing the script yields the same faults.
pub fn to_script(faults: &[ScheduledFault]) -> String {
    let mut out = String::new();
    for (n, scheduled) in faults.iter().enumerate() {
        let (at, n) = (scheduled.at, n + 1);
        match &scheduled.action {
            FaultAction::Link { from, to, link_fault: drawn_fault, one_way, duration_s } => {
                let _ = writeln!(out, "link \"drawn-{n}\" {{\n  from = \"{from}\"\n  to = \"{to}\"");
                write_link_fault(&mut out, *drawn_fault);
                let _ = writeln!(out, "  one_way = {one_way}\n  at = {at}\n  for = {duration_s}\n}}");
            }
            FaultAction::Partition { sides, duration_s } => {
                let sides: Vec<String> = sides.iter().map(|s| format!("\"{s}\"")).collect();
                let _ = writeln!(
                    out,
                    "partition \"drawn-{n}\" {{\n  sides = [{}]\n  at = {at}\n  for = {duration_s}\n}}",
                    sides.join(", ")
                );
            }
            FaultAction::Process { selector, process_fault, spread } => {
                let selector = match selector {
                    ProcessSelector::One(n) => format!("router = {n}"),
                    ProcessSelector::Share(share) => format!("share = {share}"),
                };
                let _ = match process_fault {
                    ProcessFault::Restart { kill, back, .. } => {
                        let kind = if *kill { "kill" } else { "term" };
                        writeln!(
                            out,
                            "restart \"drawn-{n}\" {{\n  {selector}\n  kind = \"{kind}\"\n  back = {back}\n  spread = {spread}\n  at = {at}\n}}"
                        )
                    }
                    ProcessFault::Stop { lasts: duration_s } => {
                        writeln!(out, "stop \"drawn-{n}\" {{\n  {selector}\n  at = {at}\n  for = {duration_s}\n}}")
                    }
                    ProcessFault::Slow { share, lasts: duration_s } => writeln!(
                        out,
                        "stop \"drawn-{n}\" {{\n  {selector}\n  of_the_time = {share}\n  at = {at}\n  for = {duration_s}\n}}"
                    ),
                    ProcessFault::Copy => writeln!(out, "state \"drawn-{n}\" {{\n  {selector}\n  at = {at}\n}}"),
                };
            }
            FaultAction::Host { kind, on, keys, duration_s } => {
                let keys = if keys.is_empty() { String::new() } else { format!("  {keys}\n") };
                let _ = writeln!(
                    out,
                    "fault \"drawn-{n}\" {{\n  kind = \"{kind}\"\n  on = \"{on}\"\n{keys}  at = {at}\n  for = {duration_s}\n}}"
                );
            }
        }
    }
    out
}

/// The scope and the fault that relays apply for this action; `None` for faults of processes and hosts.
pub fn as_link_fault(action: &FaultAction) -> Option<(FaultScope, LinkFault)> {
    match action {
        FaultAction::Link { from, to, link_fault, one_way, .. } => {
            let (from, to) = (EndpointSelector::parse(from).ok()?, EndpointSelector::parse(to).ok()?);
            Some((FaultScope::Between { from, to, one_way: *one_way }, *link_fault))
        }
        FaultAction::Partition { sides, .. } => {
            let sides = sides.iter().map(|s| EndpointSelector::parse(s).ok()).collect::<Option<Vec<_>>>()?;
            Some((FaultScope::Sides(sides), LinkFault::Cut))
        }
        _ => None,
    }
}
