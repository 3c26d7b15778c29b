//! Preemption: the only module that stops tasks in favor of other tasks.
//!
//! The rules are in `beamhinge_preemption`; this module applies them to the scheduler's state. The
//! task that victims are preempted for is nominated: it has an ordinary allocation that is planned
//! for one machine, committed before `run` is sent, and counted against its team's limit from the
//! start. `run` is not sent before the capacity is free, so all guards of placement apply to it.

use super::cycle::SchedulingCycle;
use super::feasibility::is_feasible;
use super::job::{resources_of, Job};
use super::queue::{Lateness, PendingJob};
use super::victims::{ClaimScope, PreemptionClaim, PreemptionPlan, PreemptionReason};
use super::{age_s, Scheduler};
use crate::job_store::JobSpec;
use crate::split::Resources;
use beamhinge_admin_api::messages::DecisionKind;
use beamhinge_core::job::Urgency;
use beamhinge_core::types::{JobId, MachineId, TaskId, Time, WallMs};
use beamhinge_preemption::PreemptionOffer;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Minimum time between two surveys of the preemptible tasks. It takes longer than this until the
/// end of a stopped task is reported.
const SURVEY_INTERVAL_S: f64 = 0.25;
/// Lower bound of a machine type's image fetch rate; it applies where a type states none.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

/// A job that other tasks may be preempted for, with the inputs of the search for victims.
struct Preemptor<'a> {
    claim: &'a PreemptionClaim,
    scope: ClaimScope,
    spec: Rc<JobSpec>,
    resources: Resources,
    /// It has precedence over boosted jobs too.
    above_ceiling: bool,
}

/// Machines for the tasks of a preemptor.
struct SearchResult {
    offers: Vec<PreemptionOffer>,
    /// The search ended because no machine was left, not because the budget was used up.
    exhausted: bool,
}

impl Scheduler {
    /// The preemption claim that a pending job may make; `None` if it may not make one.
    pub(super) fn preemption_claim(
        &self,
        wall: WallMs,
        pending: &PendingJob,
    ) -> Option<PreemptionClaim> {
        let job = self
            .jobs
            .get(&pending.id)
            .filter(|job| job.pending_tasks() > 0)?;
        let (spec, age) = (&job.spec, age_s(wall, &job.spec));
        if let Some(objective_s) = pending
            .wait_objective_s
            .filter(|_| pending.rank.lateness < Lateness::DeadlineMissed)
        {
            return Some(PreemptionClaim {
                job: pending.id,
                reason: PreemptionReason::Wait,
                within_s: (objective_s - age).max(1.0),
            });
        }
        // Idle-time work must not block a job that is at risk of being late: by its deadline, by
        // its class's objective or, without either, because it has waited as long as its run
        // time. A job that is late already waits for exits within `exit_prediction_horizon_s`.
        if spec.urgency == Urgency::BestEffort || !pending.pressing {
            return None;
        }
        let slack_s = pending
            .finish_objective_s
            .map_or(0.0, |finish_s| finish_s - age - self.expected_run_s(job));
        Some(PreemptionClaim {
            job: pending.id,
            reason: PreemptionReason::Deadline,
            within_s: slack_s.max(self.exit_prediction_horizon_s()),
        })
    }

    /// Preempts victims for a job's pending tasks, as far as its claim and the budget permit.
    pub(super) fn preempt_for(
        &mut self,
        now: Time,
        wall: WallMs,
        cycle: &mut SchedulingCycle,
        claim: &PreemptionClaim,
        guaranteed: &BTreeSet<JobId>,
    ) {
        #[cfg(feature = "faults")]
        if self.faults.scattered_preemption {
            return self.preempt_scattered(now, cycle, claim);
        }
        let Some(job) = self
            .jobs
            .get(&claim.job)
            .filter(|job| job.pending_tasks() > 0)
        else {
            return;
        };
        // While the key-value store is unreachable no allocation can be committed, so a
        // preemption would stop victims without a task to run in their place.
        if !self.may_preempt_for(claim.job, job)
            || self.nominations.remaining_budget() == 0
            || cycle.remaining_placements == 0
            || !self.store_reachable
        {
            return;
        }
        let (pending_tasks, preemptor) = (job.pending_tasks(), self.preemptor(claim, job));
        let mut plan = match cycle.preemption_plan.take() {
            Some(plan) => plan,
            None if now.since(self.last_preemption_check) < SURVEY_INTERVAL_S => return,
            None => {
                self.last_preemption_check = now;
                self.survey_victims(now, wall, cycle.machine_types, guaranteed)
            }
        };
        let mut offers = Vec::new();
        if !plan.is_known_unsatisfiable(&preemptor.scope, &preemptor.resources) {
            let result = self.search(now, cycle, &preemptor, &mut plan, pending_tasks);
            if result.exhausted {
                plan.record_unsatisfied(preemptor.scope, preemptor.resources);
            }
            offers = result.offers;
        }
        cycle.preemption_plan = Some(plan);
        self.accept_offers(now, cycle, claim, offers);
    }

    /// Whether other tasks may be preempted for the job. They may not for a job with a zone
    /// constraint or a job whose tasks fail on every machine.
    fn may_preempt_for(&self, id: JobId, job: &Job) -> bool {
        !job.spec.single_zone && !job.spec.spread && !self.fault_attribution.is_job_faulty(id)
    }

    /// Collects the inputs of the search for victims from a claim and its job.
    fn preemptor<'a>(&self, claim: &'a PreemptionClaim, job: &Job) -> Preemptor<'a> {
        let spec = job.spec.clone();
        Preemptor {
            claim,
            scope: ClaimScope {
                reason: claim.reason,
                urgency: spec.urgency,
                team: self.team_index(&spec),
                machine_types: spec.machine_types.clone(),
                zone: spec.zone.clone(),
                spot: spec.spot,
            },
            resources: resources_of(&spec),
            above_ceiling: claim.reason == PreemptionReason::Guarantee
                || spec.urgency > self.aging.ceiling(),
            spec,
        }
    }

    /// Finds machines for as many of the `pending_tasks` as the budget permits.
    fn search(
        &self,
        now: Time,
        cycle: &SchedulingCycle,
        preemptor: &Preemptor,
        plan: &mut PreemptionPlan,
        pending_tasks: u32,
    ) -> SearchResult {
        let mut remaining_tasks = pending_tasks;
        let (claim, resources) = (preemptor.claim, preemptor.resources);
        let excluded_machines = self.fault_attribution.avoided_machines(now, claim.job);
        let allowed = |id: MachineId| {
            self.may_nominate(now, cycle, preemptor, id)
                && excluded_machines.is_none_or(|machines| !machines.contains(id.number()))
        };
        // Tasks wait for expected exits that free enough capacity in time, instead of preempting.
        // A guarantee claim has no time for that.
        if claim.reason != PreemptionReason::Guarantee {
            remaining_tasks -= plan.candidates.reserve_expected_exits(
                resources,
                remaining_tasks,
                claim.within_s,
                allowed,
            );
        }
        let mut preempting = 0;
        let mut offers = Vec::new();
        let within_budget = |preempting: usize, offers: usize| {
            preempting < self.nominations.remaining_budget() && offers < cycle.remaining_placements
        };
        while remaining_tasks > 0 && within_budget(preempting, offers.len()) {
            let victims = &plan.victims;
            let Some(offer) = plan.candidates.accept_best_offer(
                resources,
                |task| victims.may_preempt(task, claim, &preemptor.scope, preemptor.above_ceiling),
                allowed,
                |id| self.fetch_cost(cycle, preemptor, id),
            ) else {
                break;
            };
            plan.victims.record_preempted(&offer.victims);
            preempting += usize::from(!offer.victims.tasks.is_empty());
            offers.push(offer);
            remaining_tasks -= 1;
        }
        SearchResult {
            exhausted: remaining_tasks > 0 && within_budget(preempting, offers.len()),
            offers,
        }
    }

    /// Whether the preemptor's tasks may run on the machine once its capacity is free.
    fn may_nominate(
        &self,
        now: Time,
        cycle: &SchedulingCycle,
        preemptor: &Preemptor,
        id: MachineId,
    ) -> bool {
        let Some(machine) = self.machines.get(&id) else {
            return false;
        };
        let machine_type = machine.lookup_type(cycle.machine_types);
        machine_type.is_some_and(|machine_type| {
            preemptor.resources.fits(&machine_type.capacity())
                && is_feasible(&preemptor.spec, machine_type, machine)
        }) && !self.is_reserved_for_other(now, id, preemptor.claim.job)
    }

    /// The cost of fetching the preemptor's image on a machine, in CPU seconds.
    fn fetch_cost(&self, cycle: &SchedulingCycle, preemptor: &Preemptor, id: MachineId) -> f64 {
        let Some(machine) = self.machines.get(&id) else {
            return 0.0;
        };
        if machine
            .resident
            .cached_images
            .contains(&preemptor.spec.image)
        {
            return 0.0;
        }
        let gb_per_s = machine
            .lookup_type(cycle.machine_types)
            .map_or(1.0, |machine_type| machine_type.fetch_gb_per_s);
        preemptor.spec.image_gb / gb_per_s.max(MIN_FETCH_GB_PER_S) * preemptor.resources.cpus
    }

    /// Nominates a task of the job for each offer and preempts its victims.
    fn accept_offers(
        &mut self,
        now: Time,
        cycle: &mut SchedulingCycle,
        claim: &PreemptionClaim,
        offers: Vec<PreemptionOffer>,
    ) {
        let reason = claim.reason.describe();
        for offer in offers {
            let machine = offer.machine;
            let Some(preemptor) = self.allocate(now, cycle, machine, claim.job, Some(now)) else {
                break;
            };
            let Some(allocation) = self.allocation_mut(machine, preemptor) else {
                continue;
            };
            allocation.reserved = true;
            let attempt = allocation.attempt;
            self.nominations
                .open(now, preemptor, attempt, machine, &offer.victims);
            for victim in offer.victims.tasks {
                tracing::info!(
                    task = %victim.task, %machine, %preemptor, reason, "preempted task"
                );
                self.preemption_history.record(victim.task);
                self.stop_task(machine, victim.task, reason);
            }
        }
    }

    /// Marks a task to be stopped, with the grace period that its checkpoint needs.
    pub(super) fn stop_task(&mut self, machine: MachineId, task: TaskId, reason: &str) {
        self.event_log.record(|| DecisionKind::Stopped {
            task: task.to_string(),
            machine: machine.to_string(),
            why: reason.to_string(),
        });
        let save_s = self
            .jobs
            .get(&task.job)
            .map_or(0.0, |job| job.spec.checkpoint_duration_s);
        if let Some(allocation) = self.allocation_mut(machine, task) {
            allocation.kill_grace_s = Some(save_s);
        }
        self.pending_kills.insert(machine);
    }
}
