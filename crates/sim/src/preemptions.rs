//! Tasks that were preempted, and whether anybody started in their place; what each class
//! and team was served. Judged by what really happened on machines.

use beamhinge_emulator::worker::{TaskEvent, TaskTransition};
use beamhinge_emulator::{job_id, JobPlan, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A start later than this is not in the preempted task's place.
const REPLACEMENT_TIME: Micros = 30 * SECOND;
/// The largest jobs of a class are one in so many.
const LARGEST_ONE_IN: usize = 10;

/// A task that was stopped by command though nobody cancelled it.
struct Preemption {
    at: Micros,
    cpus: f64,
    urgency: u8,
    team: String,
}

/// What is known of a machine beside the events on it.
#[derive(Clone, Copy, Debug)]
pub struct MachineState {
    /// Its number.
    pub machine: u64,
    /// It goes anyway: what is stopped there is stopped for nobody.
    pub leaving: bool,
}

/// Preemptions whose outcome is open, by machine, and how many there were.
#[derive(Default)]
pub struct PreemptionTracker {
    open: BTreeMap<u64, VecDeque<Preemption>>,
    /// Tasks preempted.
    pub preempted: u64,
    /// Of these, those in whose place nobody started who may preempt them.
    pub wasted: u64,
}

/// From the least urgent to the most.
fn urgency(plan: &JobPlan) -> u8 {
    ["best_effort", "standard", "high", "critical"]
        .iter()
        .position(|urgency| *urgency == plan.urgency())
        .unwrap_or(1) as u8
}

impl PreemptionTracker {
    /// Takes what happened on a machine, in order; `cancelled`: whether a job's user asked to
    /// cancel it.
    pub fn on_events(
        &mut self,
        now: Micros,
        MachineState { machine, leaving }: MachineState,
        events: &[TaskEvent],
        jobs: &BTreeMap<String, JobPlan>,
        cancelled: impl Fn(&str) -> bool,
    ) {
        for event in events {
            let job = job_id(&event.task_id);
            let Some(plan) = jobs.get(job) else { continue };
            match event.transition {
                TaskTransition::Stopped if !leaving && !cancelled(job) => {
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

    /// A task started on a machine. Several may have made room for one, and one for several:
    /// a start in place of a larger task settles it.
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

    /// Counts preemptions in whose place nobody started in time.
    pub fn expire(&mut self, now: Micros) {
        for open in self.open.values_mut() {
            while open.front().is_some_and(|p| now > p.at + REPLACEMENT_TIME) {
                open.pop_front();
                self.wasted += 1;
            }
        }
        self.open.retain(|_, open| !open.is_empty());
    }

    /// The machine is gone: nobody can start there.
    pub fn remove_machine(&mut self, machine: u64) {
        self.open.remove(&machine);
    }
}

/// Each class's largest jobs by the CPUs they take: a tenth of them, one at least.
pub fn largest_jobs(
    jobs: &BTreeMap<String, JobPlan>,
    counts: impl Fn(&str, &JobPlan) -> bool,
) -> BTreeSet<String> {
    let mut by_class: BTreeMap<&str, Vec<(f64, &String)>> = BTreeMap::new();
    for (id, plan) in jobs.iter().filter(|(id, plan)| counts(id, plan)) {
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

/// Part of the tasks that are done, of each class, its largest jobs, and each team, the least
/// first.
pub fn served_fractions(
    jobs: &BTreeMap<String, JobPlan>,
    counts: impl Fn(&str, &JobPlan) -> bool,
    done: impl Fn(&str) -> u64,
) -> Vec<(String, f64)> {
    /// Tasks of a group, and those of them that are done.
    #[derive(Default)]
    struct Progress {
        tasks: u64,
        done: u64,
    }
    let mut groups: BTreeMap<String, Progress> = BTreeMap::new();
    let largest = largest_jobs(jobs, &counts);
    for (id, plan) in jobs.iter().filter(|(id, plan)| counts(id, plan)) {
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
