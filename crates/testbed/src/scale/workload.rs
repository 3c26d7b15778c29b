//! The workload of a scale run. Each job is derived from its number and the seed, so that users and
//! workers generate identical jobs without communication.

use super::size::Size;
use beamhinge_emulator::JobPlan;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// Fraction of task starts that belong to urgent jobs.
const URGENT_START_FRACTION: f64 = 0.05;
/// Fewest and most tasks of an urgent job.
const URGENT_TASKS: (u32, u32) = (1, 11);
/// Fewest and most tasks of a bulk job, as fractions of the task starts per second: the number of
/// jobs per second then doesn't depend on the rate of task starts.
const BULK_TASKS: (f64, f64) = (0.07, 0.35);
/// Mean run time of urgent tasks, seconds; at most the mean of all tasks.
const URGENT_RUN_S: f64 = 20.0;
/// Run times are uniformly distributed between these multiples of the mean.
const RUN_SPREAD: (f64, f64) = (0.5, 1.5);
/// Fraction of the jobs that are cancelled.
const CANCELLED_FRACTION: f64 = 0.02;
const IMAGES: u64 = 12;
const IMAGE_GB: f64 = 0.5;
/// Memory of a task, GB for each CPU.
const MEMORY_PER_CPU_GB: f64 = 4.0;

/// Parameters of the workload, known to all processes of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Workload {
    pub seed: u64,
    pub starts_per_s: f64,
    pub run_s: f64,
    pub task_cpus: f64,
    pub teams: usize,
}

/// One job as its user submits it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ScaleJob {
    pub id: String,
    pub team: String,
    pub urgent: bool,
    pub tasks: u32,
    pub cpus: f64,
    pub run_s: f64,
    pub image: String,
    /// When the job is due to be submitted, seconds after the start of the load.
    pub due_s: f64,
    /// When the user cancels the job, seconds after `due_s`; `None` if it is not cancelled.
    pub cancel_s: Option<f64>,
}

/// Number of tasks that are due in a time span, and the mean number of running tasks if each
/// started when it is due.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct OfferedLoad {
    pub tasks: u64,
    pub running: f64,
}

fn mean((min, max): (u32, u32)) -> f64 {
    f64::from(min + max) / 2.0
}

impl Workload {
    fn bulk_tasks(&self) -> (u32, u32) {
        let tasks = |fraction: f64| (fraction * self.starts_per_s).round().max(1.0) as u32;
        (tasks(BULK_TASKS.0), tasks(BULK_TASKS.1))
    }

    /// Fraction of jobs that must be urgent so that their tasks are [`URGENT_START_FRACTION`] of
    /// all tasks.
    fn urgent_job_fraction(&self) -> f64 {
        let (urgent, bulk) = (mean(URGENT_TASKS), mean(self.bulk_tasks()));
        URGENT_START_FRACTION * bulk
            / (urgent - URGENT_START_FRACTION * urgent + URGENT_START_FRACTION * bulk)
    }

    pub(super) fn new(size: &Size, seed: u64) -> Workload {
        Workload {
            seed,
            starts_per_s: size.starts_per_s,
            run_s: size.run_s(),
            task_cpus: size.task_cpus(),
            teams: size.teams,
        }
    }

    /// Mean time between jobs, seconds.
    pub(super) fn job_interval_s(&self) -> f64 {
        let fraction = self.urgent_job_fraction();
        let tasks = fraction * mean(URGENT_TASKS) + (1.0 - fraction) * mean(self.bulk_tasks());
        tasks / self.starts_per_s
    }

    pub(super) fn job(&self, number: u64) -> ScaleJob {
        let mut rng = SmallRng::seed_from_u64(self.seed.rotate_left(32) ^ number);
        let urgent = rng.gen_bool(self.urgent_job_fraction());
        let (least, most) = if urgent {
            URGENT_TASKS
        } else {
            self.bulk_tasks()
        };
        let mean_s = if urgent {
            URGENT_RUN_S.min(self.run_s)
        } else {
            self.bulk_run_s()
        };
        let run_s = mean_s * rng.gen_range(RUN_SPREAD.0..RUN_SPREAD.1);
        let cancelled = rng.gen_bool(CANCELLED_FRACTION);
        ScaleJob {
            id: format!("job-{number:06}"),
            team: team_name(rng.gen_range(0..self.teams)),
            urgent,
            tasks: rng.gen_range(least..=most),
            cpus: self.task_cpus,
            run_s,
            image: format!("img-{}", rng.gen_range(0..IMAGES)),
            due_s: self.job_interval_s() * (number as f64 + rng.gen_range(0.0..1.0)),
            cancel_s: cancelled.then(|| rng.gen_range(0.1..run_s)),
        }
    }

    /// Load offered in a time span, seconds, without cancelled jobs.
    pub(super) fn offered(&self, from_s: f64, to_s: f64) -> OfferedLoad {
        // No task runs longer than this, so earlier jobs have ended.
        let longest_s = self.run_s * 2.0 * RUN_SPREAD.1;
        let first = ((from_s - longest_s) / self.job_interval_s() - 1.0).max(0.0) as u64;
        let last = (to_s / self.job_interval_s() + 1.0).max(0.0) as u64;
        let mut offered = OfferedLoad::default();
        for job in (first..=last)
            .map(|n| self.job(n))
            .filter(|job| job.cancel_s.is_none())
        {
            let tasks = f64::from(job.tasks);
            if job.due_s >= from_s && job.due_s < to_s {
                offered.tasks += u64::from(job.tasks);
            }
            let overlap_s = (job.due_s + job.run_s).min(to_s) - job.due_s.max(from_s);
            offered.running += tasks * overlap_s.max(0.0) / (to_s - from_s);
        }
        offered
    }

    /// Mean run time of bulk tasks such that the mean over all tasks is `run_s`.
    fn bulk_run_s(&self) -> f64 {
        let urgent_s = URGENT_RUN_S.min(self.run_s);
        (self.run_s - URGENT_START_FRACTION * urgent_s) / (1.0 - URGENT_START_FRACTION)
    }

    /// The job with this ID as the workers run it; `None` if the ID does not have the form
    /// `job-NUMBER`.
    pub(super) fn job_plan(&self, id: &str, real: bool) -> Option<JobPlan> {
        let job = self.job(id.strip_prefix("job-")?.parse().ok()?);
        let command = real.then(|| format!("exec sleep {:.2}", job.run_s));
        Some(JobPlan {
            body: job.body(),
            run_s: job.run_s,
            fails: false,
            command,
            submitted_at: 0,
        })
    }
}

pub(super) fn team_name(team: usize) -> String {
    format!("team-{team:03}")
}

impl ScaleJob {
    pub(super) fn memory_gb(&self) -> f64 {
        self.cpus * MEMORY_PER_CPU_GB
    }

    /// Body of the submission (PROTOCOL, `POST /api/jobs`).
    pub(super) fn body(&self) -> Value {
        let (class, urgency) = if self.urgent {
            ("urgent", "critical")
        } else {
            ("bulk", "standard")
        };
        json!({
            "nameId": self.id, "jobClass": class, "owner": self.team, "jobKind": "batch",
            "urgency": urgency, "pieces": self.tasks, "vcpus": self.cpus, "cards": 0,
            "memoryGb": self.memory_gb(), "bundle": self.image, "imageGb": IMAGE_GB,
            "shapes": null, "yard": null, "oneZone": false, "apart": false, "loaners": true,
            "expectS": self.run_s, "snapshotEveryS": 0.0, "snapshotS": 0.0, "dueS": null,
        })
    }
}

#[cfg(test)]
mod tests;
