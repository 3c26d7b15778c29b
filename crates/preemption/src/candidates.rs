//! Candidate machines for preemption, and the choice of the cheapest one for a task.

use crate::victim_selection::{cheapest_victims, PreemptibleTask, VictimSet};
use beamhinge_core::resources::Resources;
use beamhinge_core::types::{MachineId, TaskId};

/// Maximum number of machines with an offer that one search compares.
const MAX_COMPARED_MACHINES: usize = 48;

/// A task that is expected to end soon without preemption.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedExit {
    /// The task.
    pub task: TaskId,
    /// Estimated seconds until it ends.
    pub remaining_s: f64,
    /// Resources that its end frees.
    pub resources: Resources,
}

/// State of a machine during the preemption phase of one scheduling cycle.
#[derive(Clone, Debug)]
pub struct CandidateMachine {
    /// The machine.
    pub machine: MachineId,
    /// Resources that are assigned to no task, now or once the machine's victims have ended;
    /// negative if nominations exceed the capacity.
    pub free: Resources,
    /// Tasks that may be preempted by the rules that apply to every preempting task.
    pub preemptible: Vec<PreemptibleTask>,
    /// Tasks that are expected to end soon, in the order of their expected end.
    pub exits: Vec<ExpectedExit>,
}

impl CandidateMachine {
    /// The smallest loss per CPU among the preemptible tasks; infinite if there are none.
    fn smallest_loss_s_per_cpu(&self) -> f64 {
        let losses = self.preemptible.iter().map(PreemptibleTask::lost_s_per_cpu);
        losses.fold(f64::INFINITY, f64::min)
    }

    /// Assigns the capacity of exits that are expected within `within_s` seconds to one task,
    /// without preemption. Returns `false` and changes nothing if they do not free enough
    /// capacity, or if the task fits without them.
    fn use_exits(&mut self, requested: Resources, within_s: f64) -> bool {
        let mut free = self.free;
        let mut exits_used = 0;
        while !requested.fits(&free) {
            match self
                .exits
                .get(exits_used)
                .filter(|exit| exit.remaining_s <= within_s)
            {
                Some(exit) => free.add(&exit.resources),
                None => break,
            }
            exits_used += 1;
        }
        if exits_used == 0 || !requested.fits(&free) {
            return false;
        }
        free.sub(&requested);
        self.free = free;
        // A task that is expected to end is not preempted as well.
        for exit in self.exits.drain(..exits_used) {
            self.preemptible.retain(|task| task.task != exit.task);
        }
        true
    }

    /// The cheapest victims for one task among the tasks that `may_preempt` allows; `None` if they
    /// are not enough.
    fn offer(
        &self,
        requested: Resources,
        may_preempt: impl Fn(&PreemptibleTask) -> bool,
    ) -> Option<VictimSet> {
        // Nothing is preempted if the task fits already.
        if requested.fits(&self.free) {
            return Some(VictimSet::default());
        }
        let preemptible: Vec<PreemptibleTask> = self
            .preemptible
            .iter()
            .filter(|task| may_preempt(task))
            .copied()
            .collect();
        cheapest_victims(self.free, &preemptible, requested)
    }

    /// Assigns the capacity that the victims free to a task of this size.
    fn accept(&mut self, victims: &VictimSet, requested: Resources) {
        for victim in &victims.tasks {
            self.free.add(&victim.resources);
        }
        self.free.sub(&requested);
        self.preemptible
            .retain(|task| !victims.tasks.iter().any(|victim| victim.task == task.task));
    }
}

/// A machine for one task, and the victims that have to end there so that it fits.
#[derive(Clone, Debug, PartialEq)]
pub struct PreemptionOffer {
    /// The machine.
    pub machine: MachineId,
    /// Tasks that have to end; empty if earlier victims free enough capacity.
    pub victims: VictimSet,
}

/// The cheapest offer that a search has found so far.
struct BestOffer {
    cost: f64,
    index: usize,
    victims: VictimSet,
}

/// All candidate machines, in ascending order of the smallest loss per CPU.
#[derive(Debug, Default)]
pub struct CandidateMachines {
    machines: Vec<CandidateMachine>,
}

impl CandidateMachines {
    /// Sorts the machines by the smallest loss per CPU among their tasks, then by their ids.
    #[must_use]
    pub fn new(machines: Vec<CandidateMachine>) -> CandidateMachines {
        let mut keyed: Vec<(f64, CandidateMachine)> = machines
            .into_iter()
            .map(|candidate| (candidate.smallest_loss_s_per_cpu(), candidate))
            .collect();
        keyed.sort_by(|a, b| {
            let by_loss = a.0.total_cmp(&b.0);
            by_loss.then(a.1.machine.cmp(&b.1.machine))
        });
        CandidateMachines {
            machines: keyed.into_iter().map(|(_, candidate)| candidate).collect(),
        }
    }

    /// Subtracts resources that were allocated on the machine to another task.
    pub fn allocate(&mut self, machine: MachineId, resources: &Resources) {
        if let Some(candidate) = self
            .machines
            .iter_mut()
            .find(|candidate| candidate.machine == machine)
        {
            candidate.free.sub(resources);
        }
    }

    /// Assigns the capacity of exits that are expected within `within_s` seconds to up to
    /// `max_tasks` tasks, and returns how many of them fit. Later calls do not use this capacity
    /// again.
    pub fn reserve_expected_exits(
        &mut self,
        requested: Resources,
        max_tasks: u32,
        within_s: f64,
        is_allowed: impl Fn(MachineId) -> bool,
    ) -> u32 {
        let mut satisfied_tasks = 0;
        for candidate in &mut self.machines {
            if satisfied_tasks >= max_tasks {
                break;
            }
            if candidate.exits.is_empty() || !is_allowed(candidate.machine) {
                continue;
            }
            while satisfied_tasks < max_tasks && candidate.use_exits(requested, within_s) {
                satisfied_tasks += 1;
            }
        }
        satisfied_tasks
    }

    /// Chooses the cheapest offer for one task among the first machines that have one, and assigns
    /// that capacity to the task; `None` if no machine has an offer. `extra_cost` is the cost of a
    /// start on a machine in addition to the loss of its victims, CPU seconds.
    pub fn accept_best_offer(
        &mut self,
        requested: Resources,
        may_preempt: impl Fn(&PreemptibleTask) -> bool,
        is_allowed: impl Fn(MachineId) -> bool,
        extra_cost: impl Fn(MachineId) -> f64,
    ) -> Option<PreemptionOffer> {
        let mut best: Option<BestOffer> = None;
        let mut compared_machines = 0;
        for (index, candidate) in self.machines.iter().enumerate() {
            if compared_machines >= MAX_COMPARED_MACHINES {
                break;
            }
            let fits_now = requested.fits(&candidate.free);
            if !fits_now && candidate.preemptible.is_empty() || !is_allowed(candidate.machine) {
                continue;
            }
            let Some(victims) = candidate.offer(requested, &may_preempt) else {
                continue;
            };
            compared_machines += 1;
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
        candidate.accept(&victims, requested);
        Some(PreemptionOffer {
            machine: candidate.machine,
            victims,
        })
    }
}

#[cfg(test)]
mod tests;
