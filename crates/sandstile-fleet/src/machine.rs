//! One machine: its cores, and which hosts have them.
use crate::cpu::Cpu;
use crate::plan::MachineKind;

pub(crate) struct Machine {
    pub name: String,
    pub zone: String,
    pub kind: usize,
    pub cpu: Cpu,
    pub hosts: Vec<usize>,
    /// Raised with each change of the cores' work, so that a timer of before says nothing.
    pub turn: u64,
}

impl Machine {
    pub fn new(name: &str, zone: &str, kind: usize, of: &MachineKind, now: f64) -> Self {
        let cpu = Cpu::new(of.discipline, &of.cores, of.queue, now);
        Machine { name: name.to_string(), zone: zone.to_string(), kind, cpu, hosts: Vec::new(), turn: 0 }
    }
}
