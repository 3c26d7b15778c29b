//! Victims: which running tasks may be preempted at all, what that costs, and for whom.
//!
//! A [`PreemptionPlan`] is made at most once in a cycle, from all machines; claims are then served
//! from it one after the other, and it keeps track of what they took.

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

/// Part of its run time up to which a task counts as only just started.
pub(super) const EARLY_RUN_FRACTION: f64 = 0.15;
/// Part of the capacity that is divided among the tenants as theirs.
const RESERVED_FRACTION: f64 = 0.25;
/// What a preemption costs a task that saves its progress, beside the time to save: it is fetched
/// and started anew.
const RESTART_S: f64 = 5.0;
/// Expected part of its run time that a task has run, where that is unknown.
const UNKNOWN_RUN_FRACTION: f64 = 0.5;
/// Exits at least so far ahead are looked for.
const MIN_EXIT_HORIZON_S: f64 = 60.0;

/// By what right a job has others preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PreemptionReason {
    /// It is within its team's guarantee.
    Guarantee,
    /// Its class has an objective on the wait.
    Wait,
    /// Its time is running out, and idle-time work is in its way.
    Deadline,
}

impl PreemptionReason {
    /// The reason as operators and the event log read it.
    pub(super) fn describe(self) -> &'static str {
        match self {
            PreemptionReason::Guarantee => "gives back borrowed room",
            PreemptionReason::Wait => "makes room for more urgent work",
            PreemptionReason::Deadline => "idle-time work makes room for what is pressed",
        }
    }
}

/// A job that found no room and may have others preempted.
pub(super) struct PreemptionClaim {
    pub(super) job: JobId,
    pub(super) reason: PreemptionReason,
    /// What comes free within so many seconds is in time.
    pub(super) within_s: f64,
}

/// All that decides where a claim may have whom preempted.
#[derive(Clone, PartialEq)]
pub(super) struct ClaimScope {
    pub(super) reason: PreemptionReason,
    pub(super) urgency: Urgency,
    pub(super) team: Option<usize>,
    pub(super) machine_types: Option<Vec<String>>,
    pub(super) zone: Option<String>,
    pub(super) spot: bool,
}

/// What is known about a running task when others ask for its room.
pub(super) struct VictimProfile {
    urgency: Urgency,
    team: Option<usize>,
    tenant: TenantKey,
    /// It has only just started, so little is lost with it.
    only_just_started: bool,
    /// Best effort, and nobody waits for it by a time.
    idle_time: bool,
    checkpoints: bool,
    remaining_s: f64,
    guaranteed: bool,
    /// How long it has run is known; after a failover it is not.
    run_time_known: bool,
    /// It was preempted too often.
    protected: bool,
    /// It was placed, or would be placed now, as a boosted job.
    boosted: bool,
}

/// Running tasks by the index that a [`PreemptibleTask`] carries, and what limits their preemption.
pub(super) struct Victims {
    profiles: Vec<VictimProfile>,
    /// CPUs that each team uses beyond its guarantee, without what is being stopped.
    over_guarantee: Vec<f64>,
    reserved: ReservedCapacity,
}

impl Victims {
    /// Whether the task may be preempted for this claim. `above_ceiling`: the claim also goes
    /// ahead of boosted jobs.
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
                    .is_some_and(|team| self.over_guarantee[team] >= cpus);
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

    /// Counts what is on a machine, and is not being stopped, for its teams.
    fn count_usage(&mut self, machine: &Machine) {
        for allocation in machine
            .resident
            .allocations
            .values()
            .filter(|allocation| allocation.kill_grace_s.is_none())
        {
            if let Some(over) = allocation
                .team
                .and_then(|team| self.over_guarantee.get_mut(team))
            {
                *over += allocation.resources.cpus;
            }
        }
    }

    /// These tasks are being stopped: their tenants and teams hold less from now on.
    pub(super) fn record_preempted(&mut self, preempted: &VictimSet) {
        for task in &preempted.tasks {
            let Some(victim) = self.profiles.get(task.profile as usize) else {
                continue;
            };
            let cpus = task.resources.cpus;
            self.reserved.record_preempted(&victim.tenant, cpus);
            if let Some(over) = victim
                .team
                .and_then(|team| self.over_guarantee.get_mut(team))
            {
                *over -= cpus;
            }
        }
    }
}

/// Where preemption can make room in this cycle.
pub(super) struct PreemptionPlan {
    pub(super) candidates: CandidateMachines,
    pub(super) victims: Victims,
    /// What was looked for and not found: the same or more in the same scope is not there either.
    unsatisfied: Vec<(ClaimScope, Resources)>,
}

impl PreemptionPlan {
    /// Whether no more than this was looked for in the same scope already, and not found.
    pub(super) fn is_known_unsatisfiable(&self, scope: &ClaimScope, resources: &Resources) -> bool {
        self.unsatisfied
            .iter()
            .any(|(known, less)| known == scope && less.fits(resources))
    }

    /// Remembers that nothing was found for this.
    pub(super) fn record_unsatisfied(&mut self, scope: ClaimScope, resources: Resources) {
        self.unsatisfied.push((scope, resources));
    }
}

/// What all machines of one survey are looked at with.
struct Survey<'a> {
    now: Time,
    wall: WallMs,
    machine_types: &'a [MachineType],
    guaranteed: &'a BTreeSet<JobId>,
    exit_horizon_s: f64,
}

impl Scheduler {
    /// Looks at all machines for what could be preempted there.
    pub(super) fn survey_victims(
        &self,
        now: Time,
        wall: WallMs,
        machine_types: &[MachineType],
        guaranteed: &BTreeSet<JobId>,
    ) -> PreemptionPlan {
        let survey = Survey {
            now,
            wall,
            machine_types,
            guaranteed,
            exit_horizon_s: self.horizon_s().max(MIN_EXIT_HORIZON_S),
        };
        let mut victims = Victims {
            profiles: Vec::new(),
            over_guarantee: self.teams.iter().map(|quota| -quota.cpus).collect(),
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

    /// One machine: what is free, which tasks could be preempted, and which end soon.
    fn survey_machine(
        &self,
        survey: &Survey,
        id: MachineId,
        machine: &Machine,
        victims: &mut Victims,
    ) -> CandidateMachine {
        let mut free = machine.unpromised(survey.machine_types);
        let (mut preemptible, mut exits) = (Vec::new(), Vec::new());
        for (task, allocation) in &machine.resident.allocations {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            if allocation.kill_grace_s.is_some() {
                // It is on its way out, and its room is spoken for or free.
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
                lost_cpu_s: self.lost_s(survey.now, job, allocation) * allocation.resources.cpus,
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

    /// What decides whether a running task may be preempted, and for whom.
    fn victim_profile(
        &self,
        survey: &Survey,
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
            // After a failover nobody knows the age of what runs. What may not wait may still
            // have it stopped for a while, at the price of half its time, after all that is known
            // to be young: taken for the youngest of all, it was stopped first; taken for old, a
            // burst after a failover got no room at all. Idle-time work is too much to be stopped
            // by guess.
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

    /// Seconds of its run that a task loses when it is preempted.
    fn lost_s(&self, now: Time, job: &Job, allocation: &Allocation) -> f64 {
        if job.spec.checkpoint_interval_s > 0.0 {
            job.spec.checkpoint_duration_s + RESTART_S
        } else if allocation.inherited {
            self.expected_run_s(job) * UNKNOWN_RUN_FRACTION
        } else {
            allocation.ran_s(now) + 1.0
        }
    }

    /// Gives each tenant its part of the machines that its jobs fit on.
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
                resources.fits(&machine_type.capacity()) && allows_type(&job.spec, machine_type)
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

/// Whether the job may use machines of this type by what it names.
fn allows_type(spec: &JobSpec, machine_type: &MachineType) -> bool {
    spec.machine_types
        .as_ref()
        .is_none_or(|labels| labels.contains(&machine_type.label))
}
