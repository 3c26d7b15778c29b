//! Candidate machines for preemption, and which of them serves a task at the least cost.

use crate::victim_selection::{cheapest_victims, PreemptibleTask, VictimSet};
use beamhinge_core::resources::Resources;
use beamhinge_core::types::{MachineId, TaskId};

/// Machines with an offer that one search compares.
const MAX_COMPARED: usize = 48;

/// A task that is about to end by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedExit {
    /// The task.
    pub task: TaskId,
    /// Seconds until it ends, by estimate.
    pub remaining_s: f64,
    /// What its end frees.
    pub resources: Resources,
}

/// A machine as one cycle of preemption sees it.
#[derive(Clone, Debug)]
pub struct CandidateMachine {
    /// The machine.
    pub machine: MachineId,
    /// What nobody is promised, now or once its victims have ended; negative where more is
    /// nominated than there is.
    pub free: Resources,
    /// Tasks that may be preempted at all, by the rules that hold for all claims.
    pub preemptible: Vec<PreemptibleTask>,
    /// Tasks about to end by themselves, the first in front.
    pub exits: Vec<ExpectedExit>,
}

impl CandidateMachine {
    /// Loss of its cheapest task for each CPU; infinite if it has none.
    fn least_lost_s_per_cpu(&self) -> f64 {
        let losses = self.preemptible.iter().map(PreemptibleTask::lost_s_per_cpu);
        losses.fold(f64::INFINITY, f64::min)
    }

    /// Uses exits within `within_s` seconds for one task, without any preemption. False when they
    /// do not leave room, or when there is room without them.
    fn use_exits(&mut self, wanted: Resources, within_s: f64) -> bool {
        let mut free = self.free;
        let mut needed = 0;
        while !wanted.fits(&free) {
            match self
                .exits
                .get(needed)
                .filter(|exit| exit.remaining_s <= within_s)
            {
                Some(exit) => free.add(&exit.resources),
                None => break,
            }
            needed += 1;
        }
        if needed == 0 || !wanted.fits(&free) {
            return false;
        }
        free.sub(&wanted);
        self.free = free;
        // What ends by itself is not preempted as well.
        for exit in self.exits.drain(..needed) {
            self.preemptible.retain(|task| task.task != exit.task);
        }
        true
    }

    /// The cheapest victims for one task among those that `may_preempt` admits.
    fn offer(
        &self,
        wanted: Resources,
        may_preempt: impl Fn(&PreemptibleTask) -> bool,
    ) -> Option<VictimSet> {
        // Where it fits already nobody needs to be preempted.
        if wanted.fits(&self.free) {
            return Some(VictimSet::default());
        }
        let preemptible: Vec<PreemptibleTask> = self
            .preemptible
            .iter()
            .filter(|task| may_preempt(task))
            .copied()
            .collect();
        cheapest_victims(self.free, &preemptible, wanted)
    }

    /// Promises the room that the victims leave to a task of this size.
    fn accept(&mut self, victims: &VictimSet, wanted: Resources) {
        for victim in &victims.tasks {
            self.free.add(&victim.resources);
        }
        self.free.sub(&wanted);
        self.preemptible
            .retain(|task| !victims.tasks.iter().any(|victim| victim.task == task.task));
    }
}

/// A machine for one task, and the victims that leave it room there.
#[derive(Clone, Debug, PartialEq)]
pub struct PreemptionOffer {
    /// The machine.
    pub machine: MachineId,
    /// Who has to end; nobody where earlier victims leave room enough.
    pub victims: VictimSet,
}

/// The best offer of a search so far.
struct BestOffer {
    cost: f64,
    index: usize,
    victims: VictimSet,
}

/// All candidate machines, the one whose tasks lose least in front.
#[derive(Debug, Default)]
pub struct CandidateMachines {
    machines: Vec<CandidateMachine>,
}

impl CandidateMachines {
    /// Orders the machines by what a CPU of their cheapest task costs, then by their ids.
    #[must_use]
    pub fn new(machines: Vec<CandidateMachine>) -> CandidateMachines {
        let mut keyed: Vec<(f64, CandidateMachine)> = machines
            .into_iter()
            .map(|candidate| (candidate.least_lost_s_per_cpu(), candidate))
            .collect();
        keyed.sort_by(|a, b| {
            let by_loss = a.0.total_cmp(&b.0);
            by_loss.then(a.1.machine.cmp(&b.1.machine))
        });
        CandidateMachines {
            machines: keyed.into_iter().map(|(_, candidate)| candidate).collect(),
        }
    }

    /// Something else was allocated on the machine.
    pub fn allocate(&mut self, machine: MachineId, resources: &Resources) {
        if let Some(candidate) = self
            .machines
            .iter_mut()
            .find(|candidate| candidate.machine == machine)
        {
            candidate.free.sub(resources);
        }
    }

    /// How many of `max_tasks` tasks get room within `within_s` seconds by exits alone. That room
    /// is theirs: later claims do not count on it.
    pub fn claim_exits(
        &mut self,
        wanted: Resources,
        max_tasks: u32,
        within_s: f64,
        is_allowed: impl Fn(MachineId) -> bool,
    ) -> u32 {
        let mut found = 0;
        for candidate in &mut self.machines {
            if found >= max_tasks {
                break;
            }
            if candidate.exits.is_empty() || !is_allowed(candidate.machine) {
                continue;
            }
            while found < max_tasks && candidate.use_exits(wanted, within_s) {
                found += 1;
            }
        }
        found
    }

    /// The cheapest offer for one task among the first machines that have one. The room is
    /// promised to the task from then on. `extra_cost` is what the start on a machine costs beside
    /// its victims, CPU seconds.
    pub fn take_best(
        &mut self,
        wanted: Resources,
        may_preempt: impl Fn(&PreemptibleTask) -> bool,
        is_allowed: impl Fn(MachineId) -> bool,
        extra_cost: impl Fn(MachineId) -> f64,
    ) -> Option<PreemptionOffer> {
        let mut best: Option<BestOffer> = None;
        let mut compared = 0;
        for (index, candidate) in self.machines.iter().enumerate() {
            if compared >= MAX_COMPARED {
                break;
            }
            let has_room = wanted.fits(&candidate.free);
            if !has_room && candidate.preemptible.is_empty() || !is_allowed(candidate.machine) {
                continue;
            }
            let Some(victims) = candidate.offer(wanted, &may_preempt) else {
                continue;
            };
            compared += 1;
            let cost = victims.lost_cpu_s + extra_cost(candidate.machine);
            if best.as_ref().is_none_or(|best| cost < best.cost) {
                best = Some(BestOffer {
                    cost,
                    index,
                    victims,
                });
            }
        }
        let BestOffer { index, victims, .. } = best?;
        let candidate = &mut self.machines[index];
        candidate.accept(&victims, wanted);
        Some(PreemptionOffer {
            machine: candidate.machine,
            victims,
        })
    }
}

#[cfg(test)]
mod tests;
