//! Schedules drawn by seed: what a hunt plays. A drawn fault is written in the form of our scripts, so that what was
//! found is a script like any other.
use crate::ends::EndpointSelector;
use crate::fault_state::{FaultScope, LinkFault};
use crate::process::{ProcessFault, ProcessSelector, StateAfterRestart};
use oorandom::Rand64;
use std::fmt::Write;

/// One fault of a schedule. Times in seconds from the beginning.
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
    /// A database host's own trouble, in the words of scripts: kind, target, keys beside.
    Host {
        kind: &'static str,
        on: String,
        keys: String,
        duration_s: f64,
    },
}

/// What a schedule may strike.
#[derive(Clone, Debug)]
pub struct FaultTargets {
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
pub fn draw_schedule(field: &FaultTargets, size: usize, seed: u64) -> Vec<ScheduledFault> {
    let mut chance = Rand64::new(u128::from(seed) ^ 0x5eed_fa17);
    let mut all: Vec<ScheduledFault> = (0..size).map(|_| fault(field, &mut chance)).collect();
    all.sort_by(|a, b| a.at.total_cmp(&b.at));
    all
}

/// Trouble between routers.
fn among(field: &FaultTargets, duration_s: f64, chance: &mut Rand64) -> FaultAction {
    let last = field.routers - 1;
    let one = chance.rand_range(0..field.routers as u64) as usize;
    let middle = chance.rand_range(0..last.max(1) as u64) as usize;
    let halves = vec![format!("router:0-{middle}"), format!("router:{}-{last}", middle + 1)];
    let by = tenths(0.1 + 0.4 * chance.rand_float());
    let link_fault = match chance.rand_range(0..6) {
        0 | 1 => return FaultAction::Partition { sides: halves, duration_s: 2.0 * duration_s },
        2 => LinkFault::Cut,
        3 => LinkFault::Loss(tenths(0.1 + 0.4 * chance.rand_float())),
        4 => LinkFault::Delay { by, jitter: by },
        _ => LinkFault::Corrupt(0.2),
    };
    let from = if chance.rand_range(0..2) == 0 { "router:*".to_string() } else { format!("router:{one}") };
    // Cut from all others at once it would be no link between two.
    let to = if link_fault == LinkFault::Cut {
        format!("router:{}", (one + 1) % field.routers)
    } else {
        "router:*".to_string()
    };
    let from = if link_fault == LinkFault::Cut { format!("router:{one}") } else { from };
    FaultAction::Link {
        from,
        to,
        link_fault,
        one_way: chance.rand_range(0..3) == 0,
        duration_s: 2.0 * duration_s,
    }
}

fn fault(field: &FaultTargets, chance: &mut Rand64) -> ScheduledFault {
    let at = tenths(field.from + (field.to - field.from) * chance.rand_float());
    let duration_s = tenths(0.3 + 2.7 * chance.rand_float());
    let router = chance.rand_range(0..field.routers as u64);
    let group = of(&field.groups, chance).clone();
    if field.members && chance.rand_range(0..2) == 0 {
        return ScheduledFault { at, action: among(field, duration_s, chance) };
    }
    let action = match chance.rand_range(0..11) {
        0..=3 => {
            let by = tenths(0.1 + 0.4 * chance.rand_float());
            let link_fault = match chance.rand_range(0..7) {
                0 => LinkFault::Cut,
                1 | 2 => LinkFault::Reset,
                3 => LinkFault::Delay { by, jitter: by },
                4 => LinkFault::Loss(0.1),
                // A stream's own checksums keep spoilt bytes from its ends: such a strike is for datagrams.
                5 => LinkFault::Rate(20_000.0),
                _ => LinkFault::Delay { by: 0.0, jitter: by },
            };
            let to = match chance.rand_range(0..4) {
                0 => format!("agent:{router}"),
                1 => "host:*".to_string(),
                _ => format!("group:{group}"),
            };
            let all = matches!(chance.rand_range(0..3), 0) && !to.starts_with("agent");
            let from = if all { "router:*".to_string() } else { format!("router:{router}") };
            FaultAction::Link { from, to, link_fault, one_way: chance.rand_range(0..4) == 0, duration_s }
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
            FaultAction::Partition { sides: vec![one, other.trim().to_string()], duration_s }
        }
        5 | 6 => {
            let share = *of(&[0.3, 0.7, 1.0], chance);
            let back = tenths(0.2 + 0.8 * chance.rand_float());
            let kill = chance.rand_range(0..3) > 0;
            let process_fault = ProcessFault::Restart { kill, back, state: StateAfterRestart::Kept };
            FaultAction::Process {
                selector: ProcessSelector::Share(share),
                process_fault,
                spread: *of(&[0.0, 0.0, 1.0], chance),
            }
        }
        7 => {
            let process_fault = ProcessFault::Stop { duration_s: tenths(0.5 + 2.5 * chance.rand_float()) };
            FaultAction::Process {
                selector: ProcessSelector::One(router as usize),
                process_fault,
                spread: 0.0,
            }
        }
        8 => {
            let process_fault = ProcessFault::Slow { share: 0.6, duration_s };
            FaultAction::Process {
                selector: ProcessSelector::One(router as usize),
                process_fault,
                spread: 0.0,
            }
        }
        9 => {
            let kind = *of(&["crash", "drain", "pause"], chance);
            FaultAction::Host { kind, on: format!("primary:{group}"), keys: String::new(), duration_s }
        }
        _ => {
            let (kind, keys) = *of(&[("crash", ""), ("slow", "share = 0.3"), ("hang", "")], chance);
            FaultAction::Host { kind, on: format!("replica:{group}:0"), keys: keys.to_string(), duration_s }
        }
    };
    ScheduledFault { at, action }
}

fn link_fault(out: &mut String, link_fault: LinkFault) {
    let _ = match link_fault {
        LinkFault::Cut => writeln!(out, "  kind = \"cut\""),
        LinkFault::Reset => writeln!(out, "  kind = \"reset\""),
        LinkFault::Loss(p) => writeln!(out, "  kind = \"loss\"\n  share = {p}"),
        LinkFault::Reorder(p) => writeln!(out, "  kind = \"reorder\"\n  share = {p}"),
        LinkFault::Duplicate(p) => writeln!(out, "  kind = \"duplicate\"\n  share = {p}"),
        LinkFault::Corrupt(p) => writeln!(out, "  kind = \"spoil\"\n  share = {p}"),
        LinkFault::Rate(rate) => writeln!(out, "  kind = \"rate\"\n  bytes_s = {rate}"),
        LinkFault::Delay { by, jitter } => {
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
pub fn to_script(faults: &[ScheduledFault]) -> String {
    let mut out = String::new();
    for (n, fault) in faults.iter().enumerate() {
        let (at, n) = (fault.at, n + 1);
        match &fault.action {
            FaultAction::Link { from, to, link_fault: s, one_way, duration_s } => {
                let _ = writeln!(out, "link \"drawn-{n}\" {{\n  from = \"{from}\"\n  to = \"{to}\"");
                link_fault(&mut out, *s);
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
                    ProcessFault::Stop { duration_s } => {
                        writeln!(out, "stop \"drawn-{n}\" {{\n  {selector}\n  at = {at}\n  for = {duration_s}\n}}")
                    }
                    ProcessFault::Slow { share, duration_s } => writeln!(
                        out,
                        "stop \"drawn-{n}\" {{\n  {selector}\n  of_the_time = {share}\n  at = {at}\n  for = {duration_s}\n}}"
                    ),
                    ProcessFault::SaveState => writeln!(out, "state \"drawn-{n}\" {{\n  {selector}\n  at = {at}\n}}"),
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

/// Where a drawn fault falls, as relays have it; `None` for one of processes or hosts.
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
