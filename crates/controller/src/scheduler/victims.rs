//! Victim selection: which running tasks may be preempted, for which jobs, and at what cost.
//!
//! A [`PreemptionPlan`] is built from all machines at most once per scheduling cycle. Claims are
//! then served from it one after the other, and it tracks the resources that they used.

use super::allocation::Allocation;
use super::job::Job;
use super::machine::Machine;
use super::Scheduler;
use crate::job_store::{JobKind, JobSpec, JobState};
use crate::split::{MachineType, Resources};
use beamhinge_core::job::Urgency;
use beamhinge_core::types::{JobId, MachineId, TaskId, Time, WallMs};
use beamhinge_preemption::{
    CandidateMachine, CandidateMachines, ExpectedExit, PreemptibleTask, ReservedCapacity,
    TenantKey, VictimSet,
};
use std::collections::BTreeSet;

/// Fraction of its expected run time up to which a task counts as only just started.
pub(super) const EARLY_RUN_FRACTION: f64 = 0.15;
/// Fraction of the usable capacity that is reserved for tenants and divided among them.
const RESERVED_FRACTION: f64 = 0.25;
/// Run time that a preemption costs a task with checkpoints, in addition to the time to write the
/// checkpoint: its image is fetched and the task is started again.
const RESTART_S: f64 = 5.0;
/// Fraction of its expected run time that a task is assumed to have run when that is unknown.
const UNKNOWN_RUN_FRACTION: f64 = 0.5;
/// Minimum period within which a survey predicts task exits, seconds.
const MIN_EXIT_HORIZON_S: f64 = 60.0;

/// Why a job may have other tasks preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PreemptionReason {
    /// The job is within its team's guarantee.
    Guarantee,
    /// The job's class has a wait objective.
    Wait,
    /// The job is at risk of being late, and idle-time tasks use the capacity it needs.
    Deadline,
}

impl PreemptionReason {
    /// The reason as it is shown to operators and in the event log.
    pub(super) fn describe(self) -> &'static str {
        match self {
            PreemptionReason::Guarantee => "preempted for a task within another team's guarantee",
            PreemptionReason::Wait => "preempted for a more urgent task",
            PreemptionReason::Deadline => "idle-time task preempted for a job that may be late",
        }
    }
}

/// A job that did not find enough free capacity and may have other tasks preempted.
pub(super) struct PreemptionClaim {
    pub(super) job: JobId,
    pub(super) reason: PreemptionReason,
    /// Capacity that is freed within this period, in seconds, is early enough.
    pub(super) within_s: f64,
}

/// The properties of a claim that decide which tasks may be preempted and on which machines.
#[derive(Clone, PartialEq)]
pub(super) struct ClaimScope {
    pub(super) reason: PreemptionReason,
    pub(super) urgency: Urgency,
    pub(super) team: Option<usize>,
    pub(super) machine_types: Option<Vec<String>>,
    pub(super) zone: Option<String>,
    pub(super) spot: bool,
}

/// The properties of a running task that decide whether it may be preempted.
pub(super) struct VictimProfile {
    urgency: Urgency,
    team: Option<usize>,
    tenant: TenantKey,
    /// It has only just started, so little work is lost with it.
    only_just_started: bool,
    /// It is best-effort work without a deadline.
    idle_time: bool,
    checkpoints: bool,
    remaining_s: f64,
    guaranteed: bool,
    /// Its run time so far is known. It is unknown for tasks inherited from an earlier leader.
    run_time_known: bool,
    /// It was preempted too often and must not be preempted again now.
    protected: bool,
    /// It was placed, or would be placed now, with a priority boost.
    boosted: bool,
}

/// Profiles of running tasks, by the index that a [`PreemptibleTask`] carries, and the limits on
/// their preemption.
pub(super) struct Victims {
    profiles: Vec<VictimProfile>,
    /// CPUs that each team uses beyond its guarantee, without tasks that are being stopped.
    cpus_over_guarantee: Vec<f64>,
    reserved: ReservedCapacity,
}

impl Victims {
    /// Whether the task may be preempted for this claim. `above_ceiling`: the claim also has
    /// precedence over boosted jobs.
    pub(super) fn may_preempt(
        &self,
        task: &PreemptibleTask,
        claim: &PreemptionClaim,
        scope: &ClaimScope,
        above_ceiling: bool,
    ) -> bool {
        let Some(victim) = self.profiles.get(task.profile as usize) else {
            return false;
        };
        if victim.protected || victim.boosted && !above_ceiling {
            return false;
        }
        let cpus = task.resources.cpus;
        let less_urgent =
            victim.urgency < scope.urgency && self.reserved.may_preempt(&victim.tenant, cpus);
        match claim.reason {
            PreemptionReason::Guarantee => {
                let borrowed = victim
                    .team
                    .is_some_and(|team| self.cpus_over_guarantee[team] >= cpus);
                victim.team != scope.team
                    && borrowed
                    && victim.only_just_started
                    && victim.run_time_known
                    && !victim.guaranteed
            }
            PreemptionReason::Wait => {
                less_urgent && (victim.only_just_started || victim.idle_time && victim.checkpoints)
            }
            PreemptionReason::Deadline => {
                let ends_too_late = victim.run_time_known && victim.remaining_s > claim.within_s;
                less_urgent
                    && victim.idle_time
                    && (victim.checkpoints || victim.only_just_started || ends_too_late)
            }
        }
    }

    /// Adds the allocations on a machine that are not being stopped to the usage of their teams.
    fn count_usage(&mut self, machine: &Machine) {
        for allocation in machine
            .resident
            .allocations
            .values()
            .filter(|allocation| allocation.kill_grace_s.is_none())
        {
            if let Some(excess_cpus) = allocation
                .team
                .and_then(|team| self.cpus_over_guarantee.get_mut(team))
            {
                *excess_cpus += allocation.resources.cpus;
            }
        }
    }

    /// Deducts tasks that are being preempted from the usage of their tenants and teams.
    pub(super) fn record_preempted(&mut self, preempted: &VictimSet) {
        for task in &preempted.tasks {
            let Some(victim) = self.profiles.get(task.profile as usize) else {
                continue;
            };
            let cpus = task.resources.cpus;
            self.reserved.record_preempted(&victim.tenant, cpus);
            if let Some(excess_cpus) = victim
                .team
                .and_then(|team| self.cpus_over_guarantee.get_mut(team))
            {
                *excess_cpus -= cpus;
            }
        }
    }
}

/// Where preemption can free capacity in this scheduling cycle.
pub(super) struct PreemptionPlan {
    pub(super) candidates: CandidateMachines,
    pub(super) victims: Victims,
    /// Requests for which nothing was found. A request in the same scope for as many or more
    /// resources fails too.
    unsatisfied: Vec<(ClaimScope, Resources)>,
}

impl PreemptionPlan {
    /// Whether a request in the same scope for these resources or fewer has already failed.
    pub(super) fn is_known_unsatisfiable(&self, scope: &ClaimScope, resources: &Resources) -> bool {
        self.unsatisfied
            .iter()
            .any(|(failed_scope, failed_resources)| {
                failed_scope == scope && failed_resources.fits(resources)
            })
    }

    /// Records that nothing was found for this request.
    pub(super) fn record_unsatisfied(&mut self, scope: ClaimScope, resources: Resources) {
        self.unsatisfied.push((scope, resources));
    }
}

/// Inputs that are the same for all machines of one survey.
struct SurveyInputs<'a> {
    now: Time,
    wall: WallMs,
    machine_types: &'a [MachineType],
    guaranteed: &'a BTreeSet<JobId>,
    exit_horizon_s: f64,
}

impl Scheduler {
    /// Surveys all machines for tasks that may be preempted.
    pub(super) fn survey_victims(
        &self,
        now: Time,
        wall: WallMs,
        machine_types: &[MachineType],
        guaranteed: &BTreeSet<JobId>,
    ) -> PreemptionPlan {
        let survey = SurveyInputs {
            now,
            wall,
            machine_types,
            guaranteed,
            exit_horizon_s: self.exit_prediction_horizon_s().max(MIN_EXIT_HORIZON_S),
        };
        let mut victims = Victims {
            profiles: Vec::new(),
            cpus_over_guarantee: self.teams.iter().map(|quota| -quota.cpus).collect(),
            reserved: ReservedCapacity::new(RESERVED_FRACTION),
        };
        let mut candidates = Vec::new();
        let mut usable_cpus = vec![0.0; machine_types.len()];
        for (id, machine) in &self.machines {
            victims.count_usage(machine);
            let Some(index) = machine
                .identity
                .machine_type
                .filter(|_| self.accepts_tasks(now, machine))
            else {
                continue;
            };
            let Some(machine_type) = machine_types.get(index) else {
                continue;
            };
            usable_cpus[index] += machine_type.cpus;
            candidates.push(self.survey_machine(&survey, *id, machine, &mut victims));
        }
        self.reserve_for_tenants(machine_types, &usable_cpus, &mut victims.reserved);
        PreemptionPlan {
            candidates: CandidateMachines::new(candidates),
            victims,
            unsatisfied: Vec::new(),
        }
    }

    /// Determines a machine's free capacity, the tasks that may be preempted and the tasks that
    /// are expected to end soon.
    fn survey_machine(
        &self,
        survey: &SurveyInputs,
        id: MachineId,
        machine: &Machine,
        victims: &mut Victims,
    ) -> CandidateMachine {
        let mut free = machine.unallocated(survey.machine_types);
        let (mut preemptible, mut exits) = (Vec::new(), Vec::new());
        for (task, allocation) in &machine.resident.allocations {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            if allocation.kill_grace_s.is_some() {
                // The task is being stopped. Its resources are either promised to a nominated
                // task or free.
                if allocation.may_be_on_machine() {
                    free.add(&allocation.resources);
                }
                continue;
            }
            let tenant = TenantKey {
                team: allocation.team,
                class: job.spec.class.clone(),
            };
            victims
                .reserved
                .add_usage(&tenant, allocation.resources.cpus);
            if !allocation.is_observed() {
                continue;
            }
            let profile = self.victim_profile(survey, *task, job, allocation);
            preemptible.push(PreemptibleTask {
                task: *task,
                resources: allocation.resources,
                lost_cpu_s: self.lost_run_s(survey.now, job, allocation)
                    * allocation.resources.cpus,
                profile: victims.profiles.len() as u32,
            });
            let ends_by_itself = job.spec.kind == JobKind::Batch && allocation.started_at.is_some();
            if ends_by_itself
                && profile.run_time_known
                && profile.remaining_s < survey.exit_horizon_s
            {
                exits.push(ExpectedExit {
                    task: *task,
                    remaining_s: profile.remaining_s,
                    resources: allocation.resources,
                });
            }
            victims.profiles.push(profile);
        }
        exits.sort_by(|a: &ExpectedExit, b| a.remaining_s.total_cmp(&b.remaining_s));
        CandidateMachine {
            machine: id,
            free,
            preemptible,
            exits,
        }
    }

    /// Builds the profile that decides whether a running task may be preempted, and for which
    /// claims.
    fn victim_profile(
        &self,
        survey: &SurveyInputs,
        task: TaskId,
        job: &Job,
        allocation: &Allocation,
    ) -> VictimProfile {
        let spec = &job.spec;
        let (run_s, ran_s) = (self.expected_run_s(job), allocation.ran_s(survey.now));
        let idle_time = spec.urgency == Urgency::BestEffort && spec.due_s.is_none();
        VictimProfile {
            urgency: spec.urgency,
            team: allocation.team,
            tenant: TenantKey {
                team: allocation.team,
                class: spec.class.clone(),
            },
            // After a failover the age of inherited tasks is unknown, and `ran_s` counts from when
            // this leader first saw them running. Until it exceeds the limit, `Wait` claims may
            // preempt them. Without checkpoints, the assumed loss is half their run time, so that
            // tasks that are known to be young are preempted first. When inherited tasks counted
            // as the youngest, they were preempted first; when they counted as old, a burst of
            // jobs after a failover got no capacity. Inherited idle-time tasks never count as just
            // started: there are too many of them to preempt them on an assumption.
            only_just_started: ran_s < run_s * EARLY_RUN_FRACTION
                && (!allocation.inherited || !idle_time),
            idle_time,
            checkpoints: spec.checkpoint_interval_s > 0.0,
            remaining_s: (run_s - ran_s).max(0.0),
            guaranteed: survey.guaranteed.contains(&task.job),
            run_time_known: !allocation.inherited,
            protected: !self.preemption_history.may_preempt(
                task,
                ran_s,
                self.aging.max_preemptions(),
                self.aging.protected_run_s(),
            ),
            boosted: self.is_boosted(survey.wall, allocation, job),
        }
    }

    /// Seconds of run time that a task loses when it is preempted.
    fn lost_run_s(&self, now: Time, job: &Job, allocation: &Allocation) -> f64 {
        if job.spec.checkpoint_interval_s > 0.0 {
            job.spec.checkpoint_duration_s + RESTART_S
        } else if allocation.inherited {
            self.expected_run_s(job) * UNKNOWN_RUN_FRACTION
        } else {
            allocation.ran_s(now) + 1.0
        }
    }

    /// Computes the reserved capacity of each tenant from the machines that its open jobs fit on.
    fn reserve_for_tenants(
        &self,
        machine_types: &[MachineType],
        usable_cpus: &[f64],
        reserved: &mut ReservedCapacity,
    ) {
        for job in self
            .jobs
            .values()
            .filter(|job| job.state == JobState::Open && !job.is_complete())
        {
            let resources = job.resources();
            let allowed = |machine_type: &MachineType| {
                resources.fits(&machine_type.capacity())
                    && allows_machine_type(&job.spec, machine_type)
            };
            let cpus: f64 = machine_types
                .iter()
                .zip(usable_cpus)
                .filter(|(machine_type, _)| allowed(machine_type))
                .map(|(_, cpus)| *cpus)
                .sum();
            let tenant = TenantKey {
                team: self.team_index(&job.spec),
                class: job.spec.class.clone(),
            };
            reserved.add_eligible_capacity(&tenant, cpus);
        }
        reserved.divide_among_tenants();
    }
}

/// Whether the job's specification permits this machine type. A job that names no machine types
/// may use all.
fn allows_machine_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.machine_types
        .as_ref()
        .is_none_or(|labels| labels.contains(&machine_type.label))
}
