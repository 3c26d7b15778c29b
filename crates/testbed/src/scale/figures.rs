//! Figures that a scale run measures, by role, and their comparison with the operators' budgets.

use super::checker::{JobCounts, RuleViolation};
use super::size::Size;
use serde::Serialize;
use std::collections::BTreeMap;

/// Distribution of times, milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct TimeSummary {
    pub count: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub most: f64,
}

/// Total processor time, as a fraction of a core, and memory of one role's processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct RoleUsage {
    pub processes: usize,
    pub core: f64,
    /// The highest value of any second.
    pub core_peak: f64,
    pub resident_mb: f64,
}

/// Messages and bytes per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct Rate {
    pub messages_per_s: f64,
    pub bytes_per_s: f64,
}

/// Configuration changes in a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub(super) struct ConfigurationFigures {
    pub made: u64,
    /// Changes that failed: another change was first, or the operator was told to retry later.
    pub refused: u64,
    /// Changes that were not in force on all controllers when their operator gave up.
    pub missed: u64,
    /// Changes per day at the rate of the run.
    pub a_day: f64,
    /// From the response until the change is in force on every controller.
    pub in_force_ms: TimeSummary,
}

/// All figures of one run, over its steady phase unless stated otherwise.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Figures {
    /// Duration of the steady phase, seconds.
    pub seconds: f64,
    pub workers: usize,
    pub starts_per_s: f64,
    /// Tasks per second of the jobs that were due in the steady phase, without cancelled jobs.
    pub offered_per_s: f64,
    /// Tasks started in the whole run, including a short time after the end of the load, as a
    /// fraction of those offered in it.
    pub kept_up: f64,
    /// Mean number of running tasks if each started when it is due.
    pub offered_running: f64,
    pub running: f64,
    pub urgent_start_ms: TimeSummary,
    /// Fraction of the urgent jobs that started within the required time.
    pub urgent_in_time: f64,
    pub submit_ms: TimeSummary,
    /// Usage by name of the role: the leader, one of the other controllers, and so on.
    pub roles: BTreeMap<String, RoleUsage>,
    /// The longest time for which the leader used at least four fifths of a core without a break,
    /// seconds.
    pub leader_busy_s: f64,
    /// Rates of messages by role, kind and direction.
    pub flows: BTreeMap<String, Rate>,
    /// Last values of the gauges that the roles reported.
    pub gauges: BTreeMap<String, f64>,
    pub state_changes_per_s: f64,
    pub state_requests_per_s: f64,
    pub lead_changes: u64,
    /// The longest time without a task start between the first start and the end of the load,
    /// seconds; the whole load if no task started.
    pub longest_without_start_s: f64,
    pub configuration: ConfigurationFigures,
    pub jobs: JobCounts,
    pub late_starts: u64,
    pub broken: BTreeMap<String, RuleViolation>,
    /// Number of unexpected exits of controllers.
    pub fallen: u64,
    pub processes: usize,
    pub memory_mb: f64,
    pub machine_memory_mb: f64,
    pub faults: Vec<String>,
}

impl Figures {
    /// Usage of a role by name; zero if it was not measured.
    fn role(&self, name: &str) -> RoleUsage {
        self.roles.get(name).copied().unwrap_or_default()
    }
}

/// Names of roles in [`Figures::roles`].
pub(super) const LEADER: &str = "controller that leads";
pub(super) const FOLLOWER: &str = "other controller (each)";
pub(super) const WORKER: &str = "worker (each)";
pub(super) const STATE: &str = "state service";
pub(super) const CLOUD: &str = "cloud";
pub(super) const USERS: &str = "users";

/// Fraction of the offered task starts that must be made by the end of the run.
const MIN_STARTED_FRACTION: f64 = 0.98;
/// Fraction of the offered running tasks that must actually run; waiting tasks don't run.
const MIN_RUNNING_FRACTION: f64 = 0.9;
/// Most processes of a run.
pub(super) const MAX_PROCESSES: usize = 200;
/// Fraction of urgent jobs that must start in time.
const MIN_URGENT_IN_TIME_FRACTION: f64 = 0.99;
/// The leader must not be busy for this long without a break, seconds.
const MAX_BUSY_S: f64 = 10.0;

/// One budget of the operators' table compared with its measured value.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct BudgetLine {
    pub name: String,
    pub budget: String,
    pub measured: String,
    pub holds: bool,
}

fn budget_line(name: &str, budget: String, measured: String, holds: bool) -> BudgetLine {
    BudgetLine {
        name: name.into(),
        budget,
        measured,
        holds,
    }
}

/// Compares each budget of the operators' table with the figures.
pub(super) fn compare_with_budget(size: &Size, figures: &Figures) -> Vec<BudgetLine> {
    let mut lines = Vec::from(load_lines(size, figures));
    lines.extend(worker_lines(size, figures));
    lines.push(controller_line(size, figures));
    lines.extend(health_lines(figures));
    if size.config_changes > 0 {
        lines.push(configuration_line(size, &figures.configuration));
    }
    lines
}

/// Throughput, and how soon urgent jobs start.
fn load_lines(size: &Size, f: &Figures) -> [BudgetLine; 3] {
    [
        budget_line(
            "starts a second",
            format!(
                "mean {:.0}; {:.1} offered",
                size.starts_per_s, f.offered_per_s
            ),
            format!(
                "{:.1}; {:.1}% of all offered tasks started",
                f.starts_per_s,
                f.kept_up * 1e2
            ),
            f.kept_up >= MIN_STARTED_FRACTION,
        ),
        budget_line(
            "tasks running",
            format!("mean {}; {:.0} offered", size.running, f.offered_running),
            format!("{:.0}", f.running),
            f.running > 0.0 && f.running >= f.offered_running * MIN_RUNNING_FRACTION,
        ),
        budget_line(
            "urgent work starts in time",
            format!("{:.1} s, 99 of 100", size.urgent_start_s),
            format!(
                "{:.2} s p50, {:.2} s p99; {:.1}% in time",
                f.urgent_start_ms.p50 / 1e3,
                f.urgent_start_ms.p99 / 1e3,
                f.urgent_in_time * 1e2
            ),
            f.urgent_start_ms.count > 0 && f.urgent_in_time >= MIN_URGENT_IN_TIME_FRACTION,
        ),
    ]
}

/// Resource usage of one worker.
fn worker_lines(size: &Size, f: &Figures) -> [BudgetLine; 3] {
    let worker = f.role(WORKER);
    let flows = [
        "workers report in",
        "workers report out",
        "workers command in",
        "workers command out",
    ];
    let rates = flows.iter().filter_map(|kind| f.flows.get(*kind));
    let bytes_per_s = rates.map(|rate| rate.bytes_per_s).sum::<f64>();
    let worker_kb = bytes_per_s / f.workers.max(1) as f64 / 1e3;
    let budget = &size.budget;
    [
        budget_line(
            "a worker's processor",
            format!("{:.3} of a core", budget.worker_core),
            format!("{:.4}", worker.core),
            worker.core <= budget.worker_core,
        ),
        budget_line(
            "a worker's memory",
            format!("{:.0} MB", budget.worker_mb),
            format!("{:.2} MB", worker.resident_mb),
            worker.resident_mb <= budget.worker_mb,
        ),
        budget_line(
            "a worker's traffic",
            format!("{:.0} KB per second", budget.worker_kb_per_s),
            format!("{worker_kb:.2}"),
            worker_kb <= budget.worker_kb_per_s,
        ),
    ]
}

/// Machines and processor time of the controllers.
fn controller_line(size: &Size, f: &Figures) -> BudgetLine {
    budget_line(
        "machines set aside",
        size.budget.machines.to_string(),
        format!(
            "{} controllers; the leader uses {:.2} of a core, and at least 0.8 for at most {:.0} s",
            size.controllers,
            f.role(LEADER).core,
            f.leader_busy_s
        ),
        size.controllers <= size.budget.machines && f.leader_busy_s < MAX_BUSY_S,
    )
}

/// Rule violations, unexpected exits, and the limits of the computer that carries the run.
fn health_lines(f: &Figures) -> [BudgetLine; 4] {
    let broken: Vec<String> = f.broken.keys().cloned().collect();
    let memory_limit_mb = f.machine_memory_mb / 2.0;
    [
        budget_line(
            "rules",
            "none broken".into(),
            if broken.is_empty() {
                "none broken".into()
            } else {
                broken.join(", ")
            },
            broken.is_empty() && f.jobs.tasks_started > 0,
        ),
        budget_line(
            "controllers that end by themselves",
            "0".into(),
            f.fallen.to_string(),
            f.fallen == 0,
        ),
        budget_line(
            "processes",
            MAX_PROCESSES.to_string(),
            f.processes.to_string(),
            f.processes <= MAX_PROCESSES,
        ),
        budget_line(
            "memory of this machine",
            format!("{memory_limit_mb:.0} MB"),
            format!("{:.0} MB", f.memory_mb),
            f.memory_mb <= memory_limit_mb,
        ),
    ]
}

fn configuration_line(size: &Size, changes: &ConfigurationFigures) -> BudgetLine {
    let in_force = &changes.in_force_ms;
    budget_line(
        "changes of configuration",
        format!(
            "{} per day, each in force within {} s",
            size.config_changes, size.config_in_force_s
        ),
        format!(
            "{} made, {:.0} per day at that rate; \
             in force after {:.2} s p50, {:.2} s p99, {:.2} s max; {} not in force",
            changes.made,
            changes.a_day,
            in_force.p50 / 1e3,
            in_force.p99 / 1e3,
            in_force.most / 1e3,
            changes.missed
        ),
        changes.a_day >= f64::from(size.config_changes)
            && changes.missed == 0
            && in_force.count > 0
            && in_force.p99 <= size.config_in_force_s * 1e3,
    )
}

#[cfg(test)]
mod tests;
