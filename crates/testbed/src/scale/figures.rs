//! What a scale run measured, by role, and the operators' budgets against it.

use super::checker::{Broken, JobCounts};
use super::size::Size;
use serde::Serialize;
use std::collections::BTreeMap;

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Times {
    pub count: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub most: f64,
}

/// Processor time, in parts of a core, and memory of one role's processes together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct RoleUse {
    pub processes: usize,
    pub core: f64,
    /// The most of any second.
    pub core_peak: f64,
    pub resident_mb: f64,
}

/// Messages and bytes a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Rate {
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
}

/// Changes of configuration in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ConfigurationFigures {
    pub made: u64,
    /// Told that another was first, or to come back.
    pub refused: u64,
    /// Not in force everywhere when their author gave up.
    pub missed: u64,
    /// At this rate, so many a day.
    pub a_day: f64,
    /// From the answer until every controller served by it.
    pub in_force_ms: Times,
}

/// All of one run, over its steady part where nothing else is said.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// The steady part, seconds.
    pub seconds: f64,
    pub workers: usize,
    pub starts_per_s: f64,
    /// Tasks a second of the jobs that were due then, without cancelled ones.
    pub offered_per_s: f64,
    /// Tasks started in all of the run, a while after the load's end too, as a part of
    /// those offered in it.
    pub kept_up: f64,
    /// Tasks that would run if each began when it is due.
    pub offered_running: f64,
    pub running: f64,
    pub urgent_start_ms: Times,
    /// Part of the urgent jobs that started within the time that is asked.
    pub urgent_in_time: f64,
    pub submit_ms: Times,
    /// By the name of the role: the controller that leads, one of the others, and so on.
    pub roles: BTreeMap<String, RoleUse>,
    /// The longest time for which the controller that leads used four fifths of a core,
    /// seconds.
    pub leader_busy_s: f64,
    /// By role, kind and direction.
    pub flows: BTreeMap<String, Rate>,
    /// Gauges that the roles told last.
    pub gauges: BTreeMap<String, f64>,
    pub state_changes_per_s: f64,
    pub state_requests_per_s: f64,
    pub lead_changes: u64,
    /// The longest time without any start, seconds, over all of the run after its first
    /// start.
    pub longest_without_start_s: f64,
    pub configuration: ConfigurationFigures,
    pub jobs: JobCounts,
    pub late_starts: u64,
    pub broken: BTreeMap<String, Broken>,
    /// Controllers that ended by themselves.
    pub fallen: u64,
    pub processes: usize,
    pub memory_mb: f64,
    pub machine_memory_mb: f64,
    pub faults: Vec<String>,
}

/// Names of roles in [`Figures::roles`].
pub const LEADER: &str = "controller that leads";
pub const FOLLOWER: &str = "other controller (each)";
pub const WORKER: &str = "worker (each)";
pub const STATE: &str = "state service";
pub const CLOUD: &str = "cloud";
pub const USERS: &str = "users";

/// Part of the offered starts that have to be made by the end.
const START_TOLERANCE: f64 = 0.98;
/// Part of the tasks that have to run at the same time: those that wait do not.
const RUNNING_TOLERANCE: f64 = 0.9;
/// Processes that a run may have.
pub const MAX_PROCESSES: usize = 200;
/// Part of urgent jobs that have to start in time.
const URGENT_SHARE: f64 = 0.99;
/// Most of a core that the leader may use for so long, seconds.
const BUSY_S: f64 = 10.0;

/// One line of the operators' table against what was measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BudgetLine {
    pub name: String,
    pub budget: String,
    pub measured: String,
    pub holds: bool,
}

fn line(name: &str, budget: String, measured: String, holds: bool) -> BudgetLine {
    BudgetLine {
        name: name.into(),
        budget,
        measured,
        holds,
    }
}

/// The operators' table against the figures, line by line.
pub fn budget(size: &Size, f: &Figures) -> Vec<BudgetLine> {
    let role = |name: &str| f.roles.get(name).copied().unwrap_or_default();
    let worker = role(WORKER);
    let worker_kb = [
        "workers report in",
        "workers report out",
        "workers command in",
        "workers command out",
    ]
    .iter()
    .filter_map(|kind| f.flows.get(*kind))
    .map(|rate| rate.bytes_per_s)
    .sum::<f64>()
        / f.workers.max(1) as f64
        / 1e3;
    let b = &size.budget;
    let mut lines = vec![
        line(
            "starts a second",
            format!("{:.0} in the mean, {:.1} were drawn", size.starts_per_s, f.offered_per_s),
            format!("{:.1}; {:.1}% of all were started", f.starts_per_s, f.kept_up * 1e2),
            f.kept_up >= START_TOLERANCE,
        ),
        line(
            "tasks running",
            format!("{} in the mean, {:.0} were drawn", size.running, f.offered_running),
            format!("{:.0}", f.running),
            f.running > 0.0 && f.running >= f.offered_running * RUNNING_TOLERANCE,
        ),
        line(
            "urgent work starts in time",
            format!("{:.1} s, 99 of 100", size.urgent_start_s),
            format!(
                "{:.2} s p50, {:.2} s p99; {:.1}% in time",
                f.urgent_start_ms.p50 / 1e3,
                f.urgent_start_ms.p99 / 1e3,
                f.urgent_in_time * 1e2
            ),
            f.urgent_start_ms.count > 0 && f.urgent_in_time >= URGENT_SHARE,
        ),
        line(
            "a worker's processor",
            format!("{:.3} of a core", b.worker_core),
            format!("{:.4}", worker.core),
            worker.core <= b.worker_core,
        ),
        line(
            "a worker's memory",
            format!("{:.0} MB", b.worker_mb),
            format!("{:.2} MB", worker.resident_mb),
            worker.resident_mb <= b.worker_mb,
        ),
        line(
            "a worker's traffic",
            format!("{:.0} KB a second", b.worker_kb_per_s),
            format!("{worker_kb:.2}"),
            worker_kb <= b.worker_kb_per_s,
        ),
        line(
            "machines set aside",
            b.machines.to_string(),
            format!(
                "{} controllers; the one that leads uses {:.2} of a core, {:.0} s at most above 0.8",
                size.controllers,
                role(LEADER).core,
                f.leader_busy_s
            ),
            size.controllers <= b.machines && f.leader_busy_s < BUSY_S,
        ),
        line(
            "rules",
            "none broken".into(),
            match f.broken.is_empty() {
                true => "none broken".into(),
                false => f.broken.keys().cloned().collect::<Vec<_>>().join(", "),
            },
            f.broken.is_empty() && f.jobs.tasks_started > 0,
        ),
        line(
            "controllers that end by themselves",
            "0".into(),
            f.fallen.to_string(),
            f.fallen == 0,
        ),
        line(
            "processes",
            MAX_PROCESSES.to_string(),
            f.processes.to_string(),
            f.processes <= MAX_PROCESSES,
        ),
        line(
            "memory of this machine",
            format!("{:.0} MB", f.machine_memory_mb / 2.0),
            format!("{:.0} MB", f.memory_mb),
            f.memory_mb <= f.machine_memory_mb / 2.0,
        ),
    ];
    if size.config_changes > 0 {
        let c = &f.configuration;
        lines.push(line(
            "changes of configuration",
            format!(
                "{} a day, each in force within {} s",
                size.config_changes, size.config_in_force_s
            ),
            format!(
                "{} made, {:.0} a day at that rate; in force {:.2} s p50, {:.2} s p99, {:.2} s most; \
                 {} not in force",
                c.made,
                c.a_day,
                c.in_force_ms.p50 / 1e3,
                c.in_force_ms.p99 / 1e3,
                c.in_force_ms.most / 1e3,
                c.missed
            ),
            c.a_day >= f64::from(size.config_changes)
                && c.missed == 0
                && c.in_force_ms.count > 0
                && c.in_force_ms.p99 <= size.config_in_force_s * 1e3,
        ));
    }
    lines
}

#[cfg(test)]
mod tests;
