//! What was stopped for others, and whether anybody started in its place; what
//! each class and team was served. Judged by what really happened on machines.

use beamhinge_emulator::worker::{TaskEvent, TaskTransition};
use beamhinge_emulator::{JobPlan, Micros, SECOND};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A start later than this is not in the stopped task's place.
const IN_PLACE: Micros = 30 * SECOND;

/// A task that was stopped by command though nobody cancelled it.
struct Stop {
    at: Micros,
    cpus: f64,
    urgency: u8,
    team: String,
}

/// Stops whose outcome is open, by machine.
#[derive(Default)]
pub struct PreemptionTracker {
    open: BTreeMap<u64, VecDeque<Stop>>,
    /// Tasks stopped for others.
    pub stopped: u64,
    /// Of these, those in whose place nobody started who may have room made.
    pub in_vain: u64,
}

pub fn job_of(task_id: &str) -> &str {
    task_id.split('/').next().unwrap_or("")
}

fn text<'a>(plan: &'a JobPlan, field: &str) -> &'a str {
    plan.body[field].as_str().unwrap_or("")
}

fn urgency(plan: &JobPlan) -> u8 {
    ["best_effort", "standard", "high", "critical"]
        .iter()
        .position(|u| *u == text(plan, "urgency"))
        .unwrap_or(1) as u8
}

impl PreemptionTracker {
    /// What happened on a machine, in order. `leaving`: it goes anyway, so what is
    /// stopped there is stopped for nobody; `over`: its user cancelled the job.
    pub fn saw(
        &mut self,
        now: Micros,
        machine: u64,
        leaving: bool,
        events: &[TaskEvent],
        jobs: &BTreeMap<String, JobPlan>,
        over: impl Fn(&str) -> bool,
    ) {
        for e in events {
            let job = job_of(&e.task_id);
            let Some(plan) = jobs.get(job) else { continue };
            let cpus = plan.body["vcpus"].as_f64().unwrap_or(0.0);
            match e.transition {
                TaskTransition::Stopped if !leaving && !over(job) => {
                    self.stopped += 1;
                    let team = text(plan, "owner").to_string();
                    let stop = Stop {
                        at: now,
                        cpus,
                        urgency: urgency(plan),
                        team,
                    };
                    self.open.entry(machine).or_default().push_back(stop);
                }
                TaskTransition::Started => {
                    let Some(open) = self.open.get_mut(&machine) else {
                        continue;
                    };
                    // Several may have made room for one, and one for several: a
                    // start in place of a larger one settles it.
                    let mut room = cpus;
                    let (mine, team) = (urgency(plan), text(plan, "owner"));
                    open.retain(|s| {
                        let may = s.urgency < mine || s.team != team;
                        let settles = may && room > 0.0;
                        if settles {
                            room -= s.cpus;
                        }
                        !settles
                    });
                }
                _ => {}
            }
        }
    }

    /// Stops in whose place nobody started in time.
    pub fn look(&mut self, now: Micros) {
        for open in self.open.values_mut() {
            while open.front().is_some_and(|s| now > s.at + IN_PLACE) {
                open.pop_front();
                self.in_vain += 1;
            }
        }
        self.open.retain(|_, open| !open.is_empty());
    }

    /// The machine is gone: nobody can start there.
    pub fn lose(&mut self, machine: u64) {
        self.open.remove(&machine);
    }
}

/// Each class's largest jobs by the CPUs they take: a tenth of them, one at least.
pub fn largest(
    jobs: &BTreeMap<String, JobPlan>,
    counts: impl Fn(&str, &JobPlan) -> bool,
) -> BTreeSet<String> {
    let mut by_class: BTreeMap<&str, Vec<(f64, &String)>> = BTreeMap::new();
    for (id, plan) in jobs.iter().filter(|(id, p)| counts(id, p)) {
        let number = |field: &str| plan.body[field].as_f64().unwrap_or(0.0);
        let size = number("pieces") * number("vcpus");
        by_class
            .entry(text(plan, "jobClass"))
            .or_default()
            .push((size, id));
    }
    let mut out = BTreeSet::new();
    for mut of in by_class.into_values() {
        of.sort_by(|a, b| b.0.total_cmp(&a.0));
        let most = of.len().div_ceil(10);
        out.extend(of.into_iter().take(most).map(|(_, id)| id.clone()));
    }
    out
}

/// Part of the tasks that are done, of each class, its largest jobs, and each
/// team, the least first.
pub fn served(
    jobs: &BTreeMap<String, JobPlan>,
    counts: impl Fn(&str, &JobPlan) -> bool,
    done: impl Fn(&str) -> u64,
) -> Vec<(String, f64)> {
    let mut parts: BTreeMap<String, (u64, u64)> = BTreeMap::new();
    let largest = largest(jobs, &counts);
    for (id, plan) in jobs.iter().filter(|(id, p)| counts(id, p)) {
        let tasks = plan.body["pieces"].as_u64().unwrap_or(0);
        let class = text(plan, "jobClass");
        let names = [
            Some(format!("class {class}")),
            Some(format!("team {}", text(plan, "owner"))),
            largest.contains(id).then(|| format!("largest of {class}")),
        ];
        for name in names.into_iter().flatten() {
            let part = parts.entry(name).or_default();
            part.0 += tasks;
            part.1 += done(id).min(tasks);
        }
    }
    let all = parts.into_iter().filter(|(_, (tasks, _))| *tasks > 0);
    let mut out: Vec<(String, f64)> = all
        .map(|(name, (tasks, done))| (name, done as f64 / tasks as f64))
        .collect();
    out.sort_by(|a, b| a.1.total_cmp(&b.1));
    out
}

#[cfg(test)]
mod tests;
