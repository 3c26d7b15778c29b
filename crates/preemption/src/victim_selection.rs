//! Selects the tasks of one machine to preempt so that another task fits there, at the least loss.

use beamhinge_core::resources::{Resources, EPSILON};
use beamhinge_core::types::TaskId;

/// A running task that may be preempted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreemptibleTask {
    /// The task.
    pub task: TaskId,
    /// Resources that it uses on its machine.
    pub resources: Resources,
    /// Work lost if it is preempted, CPU seconds.
    pub lost_cpu_s: f64,
    /// The caller's index of further data about the task.
    pub profile: u32,
}

impl PreemptibleTask {
    /// Work lost for each CPU that its end frees, seconds.
    pub(crate) fn lost_s_per_cpu(&self) -> f64 {
        self.lost_cpu_s / self.resources.cpus.max(EPSILON)
    }
}

/// Tasks of one machine that have to end so that another task fits there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VictimSet {
    /// Work lost if all of them are preempted, CPU seconds.
    pub lost_cpu_s: f64,
    /// The victims; empty if the task fits without any.
    pub tasks: Vec<PreemptibleTask>,
}

/// The cheapest victim set found that frees enough capacity for `requested`; `None` if preempting
/// all of the `preemptible` tasks is not enough.
///
/// Compares two sets: the cheapest single victim that suffices alone, and the tasks in ascending
/// order of loss per CPU, less those that prove redundant. The result is not always the optimum,
/// since finding that is a knapsack problem. It never contains a redundant victim: without any one
/// of them the task does not fit.
pub(crate) fn cheapest_victims(
    free: Resources,
    preemptible: &[PreemptibleTask],
    requested: Resources,
) -> Option<VictimSet> {
    if requested.fits(&free) {
        return Some(VictimSet::default());
    }
    let (free_after, mut victims) = cheapest_victims_by_loss_per_cpu(free, preemptible, requested)?;
    drop_redundant_victims(free_after, &mut victims, requested);
    let lost_cpu_s = victims.iter().map(|victim| victim.lost_cpu_s).sum();
    match cheapest_single_victim(free, preemptible, requested) {
        Some(single) if single.lost_cpu_s <= lost_cpu_s => Some(VictimSet {
            lost_cpu_s: single.lost_cpu_s,
            tasks: vec![*single],
        }),
        _ => Some(VictimSet {
            lost_cpu_s,
            tasks: victims,
        }),
    }
}

/// The cheapest task whose end alone frees enough capacity.
fn cheapest_single_victim(
    free: Resources,
    preemptible: &[PreemptibleTask],
    requested: Resources,
) -> Option<&PreemptibleTask> {
    let frees_enough = |candidate: &&PreemptibleTask| {
        let mut free_after = free;
        free_after.add(&candidate.resources);
        requested.fits(&free_after)
    };
    preemptible
        .iter()
        .filter(frees_enough)
        .min_by(|a, b| a.lost_cpu_s.total_cmp(&b.lost_cpu_s))
}

/// Tasks in ascending order of loss per CPU, as many as are needed until `requested` fits, with the
/// resources that are free once they have ended; `None` if all of them are not enough.
fn cheapest_victims_by_loss_per_cpu(
    free: Resources,
    preemptible: &[PreemptibleTask],
    requested: Resources,
) -> Option<(Resources, Vec<PreemptibleTask>)> {
    let mut by_loss_per_cpu: Vec<&PreemptibleTask> = preemptible.iter().collect();
    by_loss_per_cpu.sort_by(|a, b| a.lost_s_per_cpu().total_cmp(&b.lost_s_per_cpu()));
    let (mut free_after, mut victims) = (free, Vec::new());
    for candidate in by_loss_per_cpu {
        if requested.fits(&free_after) {
            break;
        }
        free_after.add(&candidate.resources);
        victims.push(*candidate);
    }
    requested.fits(&free_after).then_some((free_after, victims))
}

/// Drops victims without which `requested` still fits, the most expensive first. `free_after` is
/// the free capacity once all victims have ended.
fn drop_redundant_victims(
    free_after: Resources,
    victims: &mut Vec<PreemptibleTask>,
    requested: Resources,
) {
    let mut free_after = free_after;
    victims.sort_by(|a, b| b.lost_cpu_s.total_cmp(&a.lost_cpu_s));
    victims.retain(|victim| {
        let mut free_without = free_after;
        free_without.sub(&victim.resources);
        let redundant = requested.fits(&free_without);
        if redundant {
            free_after = free_without;
        }
        !redundant
    });
}

#[cfg(test)]
mod tests;
