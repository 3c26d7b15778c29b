//! Which tasks of one machine have to end so that another task fits there, at the least loss.

use beamhinge_core::resources::{Resources, EPSILON};
use beamhinge_core::types::TaskId;

/// A running task that may be preempted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PreemptibleTask {
    /// The task.
    pub task: TaskId,
    /// What it takes of its machine.
    pub resources: Resources,
    /// What is lost when it is preempted, CPU seconds.
    pub lost_cpu_s: f64,
    /// The caller's index for what else there is to know about it.
    pub profile: u32,
}

impl PreemptibleTask {
    /// What is lost for each CPU that its end frees, seconds.
    pub(crate) fn lost_s_per_cpu(&self) -> f64 {
        self.lost_cpu_s / self.resources.cpus.max(EPSILON)
    }
}

/// Tasks that have to end so that another fits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VictimSet {
    /// What is lost with them all, CPU seconds.
    pub lost_cpu_s: f64,
    /// The tasks; empty where there is room already.
    pub tasks: Vec<PreemptibleTask>,
}

/// The cheapest set found whose end leaves room for `wanted`; none when not even the end of all
/// `preemptible` tasks does.
///
/// One victim that suffices alone is weighed against the small ones in the order of what a CPU of
/// theirs costs, without those that prove not to be needed. That is not always the very cheapest
/// set, which is a knapsack problem; it never has one victim more than needed, since without any
/// of them the task does not fit.
pub(crate) fn cheapest_victims(
    free: Resources,
    preemptible: &[PreemptibleTask],
    wanted: Resources,
) -> Option<VictimSet> {
    if wanted.fits(&free) {
        return Some(VictimSet::default());
    }
    let (freed, mut victims) = cheapest_per_cpu(free, preemptible, wanted)?;
    drop_superfluous(freed, &mut victims, wanted);
    let lost_cpu_s = victims.iter().map(|victim| victim.lost_cpu_s).sum();
    match cheapest_single(free, preemptible, wanted) {
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

/// The cheapest task whose end alone leaves room.
fn cheapest_single(
    free: Resources,
    preemptible: &[PreemptibleTask],
    wanted: Resources,
) -> Option<&PreemptibleTask> {
    let suffices = |candidate: &&PreemptibleTask| {
        let mut freed = free;
        freed.add(&candidate.resources);
        wanted.fits(&freed)
    };
    preemptible
        .iter()
        .filter(suffices)
        .min_by(|a, b| a.lost_cpu_s.total_cmp(&b.lost_cpu_s))
}

/// Tasks in the order of what a CPU of theirs costs, until there is room; with what is free once
/// they have ended.
fn cheapest_per_cpu(
    free: Resources,
    preemptible: &[PreemptibleTask],
    wanted: Resources,
) -> Option<(Resources, Vec<PreemptibleTask>)> {
    let mut by_price: Vec<&PreemptibleTask> = preemptible.iter().collect();
    by_price.sort_by(|a, b| a.lost_s_per_cpu().total_cmp(&b.lost_s_per_cpu()));
    let (mut freed, mut victims) = (free, Vec::new());
    for candidate in by_price {
        if wanted.fits(&freed) {
            break;
        }
        freed.add(&candidate.resources);
        victims.push(*candidate);
    }
    wanted.fits(&freed).then_some((freed, victims))
}

/// Drops the victims that others make superfluous, the dearest first. `freed`: what is free once
/// all of them have ended.
fn drop_superfluous(freed: Resources, victims: &mut Vec<PreemptibleTask>, wanted: Resources) {
    let mut freed = freed;
    victims.sort_by(|a, b| b.lost_cpu_s.total_cmp(&a.lost_cpu_s));
    victims.retain(|victim| {
        let mut without = freed;
        without.sub(&victim.resources);
        let superfluous = wanted.fits(&without);
        if superfluous {
            freed = without;
        }
        !superfluous
    });
}

#[cfg(test)]
mod tests;
