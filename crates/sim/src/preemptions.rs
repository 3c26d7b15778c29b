//! Preempted tasks and whether another task started in their place, and the fraction of work
//! that each class and team got done. Judged by what actually happened on the machines.

use beamhinge_emulator::worker::{TaskEvent, TaskTransition};
use beamhinge_emulator::{job_id, JobPlan, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A task that starts later than this after a preemption does not count as its replacement.
const REPLACEMENT_TIME: Micros = 30 * SECOND;
/// One in this many jobs of a class counts as one of its largest.
const LARGEST_ONE_IN: usize = 10;

/// A task that was stopped by a command although no user cancelled it.
struct Preemption {
    at: Micros,
    cpus: f64,
    urgency: u8,
    team: String,
}

/// The state of a machine apart from the events on it.
#[derive(Clone, Copy, Debug)]
pub struct MachineState {
    /// Number of the machine.
    pub machine: u64,
    /// Whether the machine is being reclaimed: tasks stopped there are not preempted in favour
    /// of another task.
    pub reclaimed: bool,
}

/// Preemptions whose outcome is not yet known, by machine, and counts of all preemptions.
#[derive(Default)]
pub struct PreemptionTracker {
    open: BTreeMap<u64, VecDeque<Preemption>>,
    /// Number of preempted tasks.
    pub preempted: u64,
    /// Number of preempted tasks in whose place no task started that may preempt them.
    pub wasted: u64,
}

/// Rank of a job's urgency; higher is more urgent.
fn urgency(plan: &JobPlan) -> u8 {
    ["best_effort", "standard", "high", "critical"]
        .iter()
        .position(|urgency| *urgency == plan.urgency())
        .unwrap_or(1) as u8
}

impl PreemptionTracker {
    /// Handles the events on a machine, in order. `cancelled` says whether a job's user asked
    /// to cancel it.
    pub fn on_events(
        &mut self,
        now: Micros,
        MachineState { machine, reclaimed }: MachineState,
        events: &[TaskEvent],
        jobs: &BTreeMap<String, JobPlan>,
        cancelled: impl Fn(&str) -> bool,
    ) {
        for event in events {
            let job = job_id(&event.task_id);
            let Some(plan) = jobs.get(job) else { continue };
            match event.transition {
                TaskTransition::Stopped if !reclaimed && !cancelled(job) => {
                    self.preempted += 1;
                    self.open.entry(machine).or_default().push_back(Preemption {
                        at: now,
                        cpus: plan.cpus(),
                        urgency: urgency(plan),
                        team: plan.team().to_string(),
                    });
                }
                TaskTransition::Started => self.on_start(machine, plan),
                _ => {}
            }
        }
    }

    /// Handles the start of a task on a machine. Several victims may make way for one task, and
    /// one victim for several tasks: any start in place of a larger victim settles that victim.
    fn on_start(&mut self, machine: u64, plan: &JobPlan) {
        let Some(open) = self.open.get_mut(&machine) else {
            return;
        };
        let mut unsettled_cpus = plan.cpus();
        let (urgency, team) = (urgency(plan), plan.team());
        open.retain(|preemption| {
            let may_preempt = preemption.urgency < urgency || preemption.team != team;
            let settles = may_preempt && unsettled_cpus > 0.0;
            if settles {
                unsettled_cpus -= preemption.cpus;
            }
            !settles
        });
    }

    /// Counts preemptions in whose place no task started in time as wasted.
    pub fn expire(&mut self, now: Micros) {
        for open in self.open.values_mut() {
            while open.front().is_some_and(|p| now > p.at + REPLACEMENT_TIME) {
                open.pop_front();
                self.wasted += 1;
            }
        }
        self.open.retain(|_, open| !open.is_empty());
    }

    /// Drops the open preemptions of a lost machine, on which no task can start any more.
    pub fn remove_machine(&mut self, machine: u64) {
        self.open.remove(&machine);
    }
}

/// Each class's largest jobs by their total CPUs: a tenth of its jobs, at least one. `includes`
/// selects the jobs that are considered.
pub fn largest_jobs(
    jobs: &BTreeMap<String, JobPlan>,
    includes: impl Fn(&str, &JobPlan) -> bool,
) -> BTreeSet<String> {
    let mut by_class: BTreeMap<&str, Vec<(f64, &String)>> = BTreeMap::new();
    for (id, plan) in jobs.iter().filter(|(id, plan)| includes(id, plan)) {
        let size = plan.tasks() as f64 * plan.cpus();
        by_class.entry(plan.class()).or_default().push((size, id));
    }
    let mut largest = BTreeSet::new();
    for mut jobs in by_class.into_values() {
        jobs.sort_by(|a, b| b.0.total_cmp(&a.0));
        let count = jobs.len().div_ceil(LARGEST_ONE_IN);
        largest.extend(jobs.into_iter().take(count).map(|(_, id)| id.clone()));
    }
    largest
}

/// Fraction of the tasks that are done, for each class, its largest jobs, and each team,
/// lowest first. `includes` selects the jobs that are considered.
pub fn served_fractions(
    jobs: &BTreeMap<String, JobPlan>,
    includes: impl Fn(&str, &JobPlan) -> bool,
    done: impl Fn(&str) -> u64,
) -> Vec<(String, f64)> {
    /// Number of tasks of a group, and how many of them are done.
    #[derive(Default)]
    struct Progress {
        tasks: u64,
        done: u64,
    }
    let mut groups: BTreeMap<String, Progress> = BTreeMap::new();
    let largest = largest_jobs(jobs, &includes);
    for (id, plan) in jobs.iter().filter(|(id, plan)| includes(id, plan)) {
        let (tasks, class) = (plan.tasks(), plan.class());
        let names = [
            Some(format!("class {class}")),
            Some(format!("team {}", plan.team())),
            largest.contains(id).then(|| format!("largest of {class}")),
        ];
        for name in names.into_iter().flatten() {
            let group = groups.entry(name).or_default();
            group.tasks += tasks;
            group.done += done(id).min(tasks);
        }
    }
    let mut fractions: Vec<(String, f64)> = groups
        .into_iter()
        .filter(|(_, group)| group.tasks > 0)
        .map(|(name, group)| (name, group.done as f64 / group.tasks as f64))
        .collect();
    fractions.sort_by(|a, b| a.1.total_cmp(&b.1));
    fractions
}

#[cfg(test)]
mod tests;
