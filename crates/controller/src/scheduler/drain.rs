//! Enforcement of operator directives and quotas. Drained machines get no new tasks, and neither
//! do frozen teams and classes. Tasks on a drained machine end, save a checkpoint or move to
//! another machine before the deadline of the drain.

use super::quota::TeamUsage;
use super::Scheduler;
use crate::configuration::EffectiveTeams;
use crate::directives::ActiveDirectives;
use crate::faults::fault_injected;
use crate::split::{MachineType, Resources};
use beamhinge_core::types::{JobId, MachineId, Revision, TaskId, Time, WallMs};
use std::collections::BTreeMap;
use std::rc::Rc;

/// An allocation whose `run` was never sent.
#[derive(Clone, Copy)]
struct UnsentAllocation {
    machine: MachineId,
    task: TaskId,
    resources: Resources,
}

impl Scheduler {
    /// Applies changed directives. Allocations that violate them and whose `run` was never sent are
    /// withdrawn immediately.
    pub fn set_active_directives(
        &mut self,
        now: Time,
        active_directives: Rc<ActiveDirectives>,
        machine_types: &[MachineType],
    ) {
        self.active_directives = active_directives;
        self.replan = true;
        for (id, machine) in &mut self.machines {
            let machine_type = machine
                .lookup_type(machine_types)
                .map_or("", |machine_type| machine_type.label.as_str());
            machine.lifecycle.drain = self
                .active_directives
                .drain_of(*id, machine_type, &machine.identity.zone)
                .cloned();
        }
        self.withdraw_unsent(now);
    }

    /// Applies changed teams. A lowered limit stops no running task, but allocations above it whose
    /// `run` was never sent are withdrawn.
    pub fn set_teams(&mut self, now: Time, effective: &EffectiveTeams) {
        for team in &effective.teams {
            match self.team_names.iter().position(|name| *name == team.name) {
                Some(index) => self.teams[index] = team.quota,
                // Allocations refer to teams by index, so the index of a team never changes.
                None => {
                    self.team_names.push(team.name.clone());
                    self.teams.push(team.quota);
                }
            }
        }
        self.assign_teams();
        self.teams_over_quota = true;
        self.replan = true;
        self.withdraw_above_quota(now);
    }

    /// Sets the configuration that placements depend on from now on, and the time until which `run`
    /// may be sent under it; `None` means no limit.
    pub fn set_configuration_condition(
        &mut self,
        key: Option<(&'static str, Revision)>,
        runs_allowed_until: Option<Time>,
    ) {
        self.configuration_condition = key;
        self.runs_allowed_until = runs_allowed_until;
    }

    /// Whether `run` may be sent: the quotas used for the placement are known to be in force, or
    /// any change to them is too recent to matter.
    pub(super) fn may_run(&self, now: Time) -> bool {
        fault_injected!(self.faults, run_with_stale_configuration)
            || self.runs_allowed_until.is_none_or(|until| now < until)
    }

    /// Assigns allocations that were made before their team was known to that team, so that they
    /// count against its quota.
    fn assign_teams(&mut self) {
        let teams: BTreeMap<JobId, Option<usize>> = self
            .jobs
            .iter()
            .map(|(id, job)| (*id, self.team_index(&job.spec)))
            .collect();
        for machine in self.machines.values_mut() {
            let allocations = machine.resident.allocations.iter_mut();
            for (task, allocation) in allocations.filter(|(_, a)| a.team.is_none()) {
                allocation.team = teams.get(&task.job).copied().flatten();
            }
        }
    }

    /// Withdraws allocations of teams that exceed their limit, if their `run` was never sent.
    fn withdraw_above_quota(&mut self, now: Time) {
        if !self.teams_over_quota {
            return;
        }
        let mut usage = vec![TeamUsage::default(); self.teams.len()];
        let mut unsent: Vec<Vec<UnsentAllocation>> = vec![Vec::new(); self.teams.len()];
        for (id, machine) in &self.machines {
            for (task, allocation) in &machine.resident.allocations {
                let Some(team) = allocation.team else {
                    continue;
                };
                usage[team].add(&allocation.resources);
                if !allocation.may_be_on_machine() {
                    unsent[team].push(UnsentAllocation {
                        machine: *id,
                        task: *task,
                        resources: allocation.resources,
                    });
                }
            }
        }
        let mut commits_in_flight = false;
        for (team, unsent) in unsent.iter().enumerate() {
            commits_in_flight |= self.withdraw_unsent_of_team(now, team, usage[team], unsent);
        }
        self.teams_over_quota = commits_in_flight;
    }

    /// Withdraws one team's unsent allocations, the last first, until its usage is within its
    /// limits. Returns true if some of them are in a transaction and have to be checked again.
    fn withdraw_unsent_of_team(
        &mut self,
        now: Time,
        team: usize,
        mut usage: TeamUsage,
        unsent: &[UnsentAllocation],
    ) -> bool {
        let quota = self.teams[team];
        let mut commits_in_flight = false;
        for allocation in unsent.iter().rev() {
            if !usage.exceeds(&quota) {
                break;
            }
            let UnsentAllocation { machine, task, .. } = *allocation;
            // Wait for the commit in flight: its page contains the task.
            if self
                .allocation_mut(machine, task)
                .is_some_and(|allocation| allocation.in_flight)
            {
                commits_in_flight = true;
                continue;
            }
            self.release_allocation(now, machine, task, false, 0.0);
            usage.sub(&allocation.resources);
        }
        commits_in_flight
    }

    /// Withdraws unsent allocations on drained machines and of frozen jobs. These tasks have not
    /// started, so they are placed on other machines or wait.
    fn withdraw_unsent(&mut self, now: Time) {
        if self.active_directives.is_empty() {
            return;
        }
        let mut withdrawn = Vec::new();
        for (id, machine) in &self.machines {
            let drained = machine.lifecycle.drain.is_some();
            let allocations = machine.resident.allocations.iter();
            for (task, allocation) in allocations.filter(|(_, a)| !a.may_be_on_machine()) {
                // Wait for the commit in flight: its page contains the task.
                if (drained || self.is_frozen(task.job)) && !allocation.in_flight {
                    withdrawn.push((*id, *task));
                }
            }
        }
        for (machine, task) in withdrawn {
            self.release_allocation(now, machine, task, false, 0.0);
        }
    }

    /// Whether operators have frozen the job's team or class.
    pub(super) fn is_frozen(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| {
            self.active_directives
                .freeze_of(&job.spec.team, &job.spec.class)
                .is_some()
        })
    }

    /// Stops the remaining tasks on machines whose drain deadline is near, early enough for a task
    /// that supports checkpoints to save one before the deadline.
    pub(super) fn enforce_drains(&mut self, now: Time, wall: WallMs) {
        self.withdraw_above_quota(now);
        if self.active_directives.is_empty() {
            return;
        }
        self.withdraw_unsent(now);
        let mut tasks_to_stop = Vec::new();
        for (id, machine) in &self.machines {
            let Some(drain) = &machine.lifecycle.drain else {
                continue;
            };
            let Some(within_s) = drain.within_s else {
                continue;
            };
            // `since_ms` is the wall-clock time of the controller that accepted the drain. Clock
            // skew shifts the time of the stop but violates no guarantee.
            let elapsed_s = (wall.0 as f64 - drain.since_ms as f64) / 1e3;
            let allocations = machine.resident.allocations.iter();
            for (task, allocation) in allocations.filter(|(_, a)| a.kill_grace_s.is_none()) {
                let checkpoint_s = self
                    .jobs
                    .get(&task.job)
                    .map_or(0.0, |job| job.spec.checkpoint_duration_s);
                if allocation.may_be_on_machine()
                    && elapsed_s + checkpoint_s + self.report_s >= within_s
                {
                    tasks_to_stop.push((*id, *task));
                }
            }
        }
        for (machine, task) in tasks_to_stop {
            tracing::info!(machine = %machine, task = %task, "stopped task on drained machine");
            self.stop_task(machine, task, "its machine is drained");
        }
    }
}
