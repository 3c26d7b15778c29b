//! The load of a scale run: jobs that follow from their numbers, so that users and
//! workers know the same of each without telling each other.

use super::size::Size;
use beamhinge_emulator::JobPlan;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// Part of all task starts that are urgent.
const URGENT_STARTS: f64 = 0.05;
/// Tasks of an urgent job, fewest and most.
const URGENT_TASKS: (u32, u32) = (1, 11);
/// Tasks of another job, fewest and most, as parts of the starts of a second: so many
/// jobs come each second whatever the starts.
const BULK_TASKS: (f64, f64) = (0.07, 0.35);
/// How long urgent tasks run in the mean, seconds, where others run longer.
const URGENT_RUN_S: f64 = 20.0;
/// Runs are drawn evenly between these parts of the mean.
const RUN_SPREAD: (f64, f64) = (0.5, 1.5);
/// Part of the jobs that are cancelled.
const CANCELLED: f64 = 0.02;
const IMAGES: u64 = 12;
const IMAGE_GB: f64 = 0.5;
/// Memory of a task, GB for each CPU.
const MEMORY_PER_CPU_GB: f64 = 4.0;

/// What all processes of a run know of its load.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Workload {
    pub seed: u64,
    pub starts_per_s: f64,
    pub run_s: f64,
    pub task_cpus: f64,
    pub teams: usize,
}

/// One job as its user means it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct ScaleJob {
    pub id: String,
    pub team: String,
    pub urgent: bool,
    pub tasks: u32,
    pub cpus: f64,
    pub run_s: f64,
    pub image: String,
    /// When it is due to be submitted, seconds from the load's beginning.
    pub due_s: f64,
    /// When its user calls it off, seconds after that.
    pub cancel_s: Option<f64>,
}

/// Tasks that are due in a span, and how many would run in the mean if each began when
/// it is due.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Offered {
    pub tasks: u64,
    pub running: f64,
}

fn mean((least, most): (u32, u32)) -> f64 {
    f64::from(least + most) / 2.0
}

impl Workload {
    fn bulk_tasks(&self) -> (u32, u32) {
        let tasks = |part: f64| (part * self.starts_per_s).round().max(1.0) as u32;
        (tasks(BULK_TASKS.0), tasks(BULK_TASKS.1))
    }

    /// Part of the jobs that are urgent so that their tasks are [`URGENT_STARTS`] of all.
    fn urgent_jobs(&self) -> f64 {
        let (urgent, bulk) = (mean(URGENT_TASKS), mean(self.bulk_tasks()));
        URGENT_STARTS * bulk / (urgent - URGENT_STARTS * urgent + URGENT_STARTS * bulk)
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

    /// Seconds between jobs.
    pub(super) fn gap_s(&self) -> f64 {
        let part = self.urgent_jobs();
        let tasks = part * mean(URGENT_TASKS) + (1.0 - part) * mean(self.bulk_tasks());
        tasks / self.starts_per_s
    }

    pub(super) fn job(&self, number: u64) -> ScaleJob {
        let mut rng = SmallRng::seed_from_u64(self.seed.rotate_left(32) ^ number);
        let urgent = rng.gen_bool(self.urgent_jobs());
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
        let cancelled = rng.gen_bool(CANCELLED);
        ScaleJob {
            id: format!("job-{number:06}"),
            team: team_name(rng.gen_range(0..self.teams)),
            urgent,
            tasks: rng.gen_range(least..=most),
            cpus: self.task_cpus,
            run_s,
            image: format!("img-{}", rng.gen_range(0..IMAGES)),
            due_s: self.gap_s() * (number as f64 + rng.gen_range(0.0..1.0)),
            cancel_s: cancelled.then(|| rng.gen_range(0.1..run_s)),
        }
    }

    /// What the jobs that are due in a span of seconds offer, without cancelled ones.
    pub(super) fn offered(&self, from_s: f64, to_s: f64) -> Offered {
        // No run is longer than this, so that earlier jobs are over.
        let longest_s = self.run_s * 2.0 * RUN_SPREAD.1;
        let first = ((from_s - longest_s) / self.gap_s() - 1.0).max(0.0) as u64;
        let last = (to_s / self.gap_s() + 1.0).max(0.0) as u64;
        let mut offered = Offered::default();
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

    /// The run time of other tasks, so that the mean over all starts is as asked.
    fn bulk_run_s(&self) -> f64 {
        let urgent_s = URGENT_RUN_S.min(self.run_s);
        (self.run_s - URGENT_STARTS * urgent_s) / (1.0 - URGENT_STARTS)
    }

    /// The job of that name, as a worker knows it; none for a name of another form.
    pub(super) fn plan(&self, id: &str, real: bool) -> Option<JobPlan> {
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

    /// The submission (PROTOCOL, `POST /api/jobs`).
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
