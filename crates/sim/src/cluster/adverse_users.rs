//! Users who send requests at the worst moments: to all controllers at once, or cancellations
//! just as a job ends or while it runs.

use super::Sim;
use crate::event::Event;
use beamhinge_emulator::user::UserRequest;
use beamhinge_emulator::{job_id, Micros, SECOND};
use rand::Rng;
use std::collections::BTreeMap;

/// Most machines that hang while users cancel.
const MAX_HUNG: usize = 8;
/// Fraction of the jobs with additional requests that are then cancelled.
const PROBED_CANCELLED: f64 = 0.1;
/// Additional requests are sent within this time.
const PROBE_SPREAD: Micros = 8_000;
/// Cancellations are sent within this time of a job's end, or of each other.
const CANCEL_SPREAD: Micros = SECOND / 5;

impl Sim {
    fn cancel_at(&mut self, job: &str, at: Micros) {
        let event = Event::UserSends {
            job: job.to_string(),
            request: UserRequest::Cancel,
            since: at,
        };
        self.push(at, event);
    }

    /// Polls all controllers within milliseconds, and sends the submission again.
    pub(super) fn probe_all_controllers(&mut self, job: &str) {
        if self.now >= self.faults.probes_until {
            return;
        }
        for controller in 0..self.settings.len() {
            for request in [UserRequest::Poll, UserRequest::Submit, UserRequest::Poll] {
                let at = self.now + self.rng.gen_range(0..PROBE_SPREAD);
                let event = Event::UserProbe {
                    job: job.to_string(),
                    request,
                    controller,
                };
                self.push(at, event);
            }
        }
        if self.rng.gen_bool(PROBED_CANCELLED) {
            let at = self.now + self.rng.gen_range(0..PROBE_SPREAD);
            self.cancel_at(job, at);
        }
    }

    /// Handles the end of a job's last task on its machine: its user may cancel it just then.
    pub(super) fn on_job_ended(&mut self, job: &str) {
        if self.faults.cancel_at_end.draw(self.now, &mut self.rng) {
            let at = self.now + self.rng.gen_range(0..CANCEL_SPREAD);
            self.cancel_at(job, at);
        }
    }

    /// Users cancel up to `count` running jobs, those with the longest tasks first, within a
    /// fifth of a second. If `hang` is not zero, up to eight of their machines hang for that
    /// long.
    pub fn cancel_running(&mut self, count: usize, hang: Micros) {
        let mut hung = 0;
        for (job, machines) in self.longest_running_jobs().into_iter().take(count) {
            let at = self.now + self.rng.gen_range(0..CANCEL_SPREAD);
            self.cancel_at(&job, at);
            for machine in machines {
                let worker = self.workers.get_mut(&machine).filter(|_| hang > 0);
                let Some(worker) = worker else { continue };
                if hung < MAX_HUNG && worker.faults.hang_until < self.now {
                    hung += 1;
                    let until = self.now + hang;
                    worker.faults.hang_until = until;
                    self.resume_machine_at(machine, until);
                }
            }
        }
    }

    /// Running jobs that no user has asked to cancel, with their machines; those with the
    /// longest tasks first.
    fn longest_running_jobs(&self) -> Vec<(String, Vec<u64>)> {
        let mut running: BTreeMap<String, Vec<u64>> = BTreeMap::new();
        for (id, worker) in &self.workers {
            for task in worker.running() {
                let job = job_id(&task.task_id).to_string();
                let machines = running.entry(job).or_default();
                if machines.last() != Some(id) {
                    machines.push(*id);
                }
            }
        }
        let open = |job: &String| {
            let view = self.users.views.get(job);
            view.is_some_and(|v| v.accepted && !v.cancel_requested && !v.done)
        };
        let mut jobs: Vec<(String, Vec<u64>)> =
            running.into_iter().filter(|(job, _)| open(job)).collect();
        let run_s = |job: &str| self.jobs.get(job).map_or(0.0, |plan| plan.run_s);
        jobs.sort_by(|a, b| run_s(&b.0).total_cmp(&run_s(&a.0)));
        jobs
    }
}
