//! One machine: its cores and the hosts that share them.
use crate::cpu::Cpu;
use crate::plan::MachineKind;

pub(crate) struct Machine {
    pub name: String,
    pub zone: String,
    pub kind: usize,
    pub cpu: Cpu,
    pub hosts: Vec<usize>,
    /// Incremented with each change of the jobs on the cores, so that timers set before are ignored.
    pub version: u64,
}

impl Machine {
    pub fn new(name: &str, zone: &str, kind: usize, kind_plan: &MachineKind, now: f64) -> Self {
        let cpu = Cpu::new(kind_plan.discipline, &kind_plan.cores, kind_plan.queue, now);
        Machine { name: name.to_string(), zone: zone.to_string(), kind, cpu, hosts: Vec::new(), version: 0 }
    }
}
