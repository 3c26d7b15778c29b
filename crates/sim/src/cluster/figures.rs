//! What a scenario came to, by what really happened.

use super::{Sim, LAST_POLL_S};
use crate::preemptions::{largest_jobs, served_fractions};
use beamhinge_emulator::user::UserJobView;
use beamhinge_emulator::{JobPlan, Micros, SECOND};
use std::collections::BTreeMap;

impl Sim {
    /// What each class and each team got of the work it may have done, the least first.
    #[must_use]
    pub fn served(&self) -> Vec<(String, f64)> {
        served_fractions(
            &self.jobs,
            |id, plan| self.should_finish(id, plan),
            |id| self.checks.finished_tasks(id),
        )
    }

    /// Whether a job was accepted and should be done.
    pub(super) fn should_finish(&self, id: &str, plan: &JobPlan) -> bool {
        let view = self.users.views.get(id);
        let wanted = view.is_some_and(|v| v.accepted && !v.cancel_requested);
        wanted && !plan.fails && plan.is_batch()
    }

    /// The longest that one of its class's largest jobs waited until it started, or has
    /// waited by now, seconds.
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

    /// Users wait for answers that must come, or will ask again for the first time.
    #[must_use]
    pub fn questions_open(&self) -> bool {
        let Some(healed) = self.healed else {
            return false;
        };
        let asks_again = self.now < healed + (LAST_POLL_S + 1) * SECOND;
        let forgotten = self.checks.violated.contains("forgotten");
        let mut open = self.users.open.keys();
        asks_again || !forgotten && open.any(|job| self.users.is_accepted(job))
    }

    /// Machines that cost money: all but those that were there before.
    #[must_use]
    pub fn rented_machines(&self) -> usize {
        let instances = self.cloud.instances.iter();
        instances
            .filter(|(id, i)| **id >= self.first_rented && i.failed_at.is_none())
            .count()
    }

    /// Some service is to run for ever: its machines cost money for something.
    #[must_use]
    pub fn services_run(&self) -> bool {
        let open = |id: &String| {
            let view = self.users.views.get(id);
            view.is_some_and(|v| v.accepted && v.cancelled.is_none())
        };
        let mut jobs = self.jobs.iter();
        jobs.any(|(id, plan)| (plan.is_service() || plan.fails) && open(id))
    }

    /// Accepted jobs that are neither done nor cancelled, and should be.
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
