//! Results of a scenario, by what actually happened on the machines.

use super::{Sim, LAST_POLL_S};
use crate::preemptions::{largest_jobs, served_fractions};
use beamhinge_emulator::user::UserJobView;
use beamhinge_emulator::{JobPlan, Micros, SECOND};
use std::collections::BTreeMap;

impl Sim {
    /// The fraction of its eligible work that each class and each team got done, lowest first.
    #[must_use]
    pub fn served(&self) -> Vec<(String, f64)> {
        served_fractions(
            &self.jobs,
            |id, plan| self.should_finish(id, plan),
            |id| self.checks.finished_tasks(id),
        )
    }

    /// Whether a job was accepted and should succeed in the end.
    pub(super) fn should_finish(&self, id: &str, plan: &JobPlan) -> bool {
        let view = self.users.views.get(id);
        let wanted = view.is_some_and(|v| v.accepted && !v.cancel_requested);
        wanted && !plan.fails && plan.is_batch()
    }

    /// The longest wait of any class's largest jobs, until the start or until now, in seconds;
    /// `None` if there is no such job.
    #[must_use]
    pub fn largest_wait(&self) -> Option<(String, f64)> {
        let starts = &self.users.first_starts;
        let started: BTreeMap<&str, Micros> =
            starts.iter().map(|(job, at)| (job.as_str(), *at)).collect();
        let largest = largest_jobs(&self.jobs, |id, plan| self.should_finish(id, plan));
        let waits = largest.iter().filter_map(|id| {
            let start = started.get(id.as_str()).copied().unwrap_or(self.now);
            let waited = start.saturating_sub(self.jobs.get(id)?.submitted_at);
            Some((id.clone(), waited as f64 / 1e6))
        });
        waits.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Whether users wait for answers that must come, or have yet to poll once more after the
    /// last fault.
    #[must_use]
    pub fn requests_open(&self) -> bool {
        let Some(healed) = self.healed else {
            return false;
        };
        let asks_again = self.now < healed + (LAST_POLL_S + 1) * SECOND;
        let forgotten = self.checks.violated.contains("forgotten");
        let mut open = self.users.open.keys();
        asks_again || !forgotten && open.any(|job| self.users.is_accepted(job))
    }

    /// Number of machines that cost money: all except those that existed from the start.
    #[must_use]
    pub fn rented_machines(&self) -> usize {
        let instances = self.cloud.instances.iter();
        instances
            .filter(|(id, i)| **id >= self.first_rented && i.failed_at.is_none())
            .count()
    }

    /// Whether some job is meant to run without end, such as a service: its machines are not
    /// idle cost.
    #[must_use]
    pub fn endless_jobs_accepted(&self) -> bool {
        let open = |id: &String| {
            let view = self.users.views.get(id);
            view.is_some_and(|v| v.accepted && v.cancelled.is_none())
        };
        let mut jobs = self.jobs.iter();
        jobs.any(|(id, plan)| (plan.is_service() || plan.fails) && open(id))
    }

    /// Accepted jobs that should end by themselves, and are neither done nor cancelled.
    #[must_use]
    pub fn unfinished(&self) -> Vec<&str> {
        let open = |v: &UserJobView| v.accepted && !v.done && v.cancelled.is_none();
        let ends = |plan: &JobPlan| plan.is_batch() && !plan.fails;
        let open_jobs = self.users.views.iter().filter(|(_, view)| open(view));
        open_jobs
            .filter(|(id, _)| self.jobs.get(*id).is_some_and(ends))
            .map(|(id, _)| id.as_str())
            .collect()
    }
}
