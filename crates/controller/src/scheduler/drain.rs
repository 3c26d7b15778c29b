//! Operators' directives and quotas, enforced: nothing new on drained machines or of frozen
//! teams and classes, and what is there ends, saves its progress or moves in time.

use super::quota::TeamUsage;
use super::Scheduler;
use crate::configuration::EffectiveTeams;
use crate::directives::ActiveDirectives;
use crate::faults::fault_injected;
use crate::split::{MachineType, Resources};
use beamhinge_core::types::{JobId, MachineId, Revision, TaskId, Time, WallMs};
use std::collections::BTreeMap;
use std::rc::Rc;

/// An allocation whose `run` never went out.
#[derive(Clone, Copy)]
struct UnsentAllocation {
    machine: MachineId,
    task: TaskId,
    resources: Resources,
}

impl Scheduler {
    /// Takes over changed directives. What was placed against them, and whose `run`
    /// never went out, is withdrawn at once.
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

    /// Takes over changed teams. A limit that was lowered stops nothing; what was placed
    /// above it, and whose `run` never went out, is withdrawn.
    pub fn set_teams(&mut self, now: Time, effective: &EffectiveTeams) {
        for team in &effective.teams {
            match self.team_names.iter().position(|name| *name == team.name) {
                Some(index) => self.teams[index] = team.quota,
                // Allocations name teams by their index: none ever moves.
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

    /// The configuration that placements rest on from here on, and until when a `run` may go out
    /// by it; `None` is without an end.
    pub fn set_configuration_condition(
        &mut self,
        key: Option<(&'static str, Revision)>,
        runs_allowed_until: Option<Time>,
    ) {
        self.configuration_condition = key;
        self.runs_allowed_until = runs_allowed_until;
    }

    /// Whether a `run` may go out: the quotas that it was placed by are known to be in
    /// force, or were changed too short a while ago to matter.
    pub(super) fn may_run(&self, now: Time) -> bool {
        fault_injected!(self.faults, run_with_stale_configuration)
            || self.runs_allowed_until.is_none_or(|until| now < until)
    }

    /// Tasks that were there before their team was known count for it from now on.
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

    /// While a team uses more than its limit, what was never sent is withdrawn.
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
            commits_in_flight |= self.withdraw_of_team(now, team, usage[team], unsent);
        }
        self.teams_over_quota = commits_in_flight;
    }

    /// Withdraws one team's unsent allocations, the last first, until the rest is within its
    /// limits. True if some of them are in a transaction and have to be looked at again.
    fn withdraw_of_team(
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
            // A commit in flight is waited for: its page names the task.
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

    /// Committed or planned is not started: on drained machines and of frozen jobs these go
    /// elsewhere, or wait.
    fn withdraw_unsent(&mut self, now: Time) {
        if self.active_directives.is_empty() {
            return;
        }
        let mut withdrawn = Vec::new();
        for (id, machine) in &self.machines {
            let drained = machine.lifecycle.drain.is_some();
            let allocations = machine.resident.allocations.iter();
            for (task, allocation) in allocations.filter(|(_, a)| !a.may_be_on_machine()) {
                // A commit in flight is waited for: its page names the task.
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

    /// Drains whose time is running out stop what has not ended, so that what
    /// can save its progress has done so by then.
    pub(super) fn enforce_drains(&mut self, now: Time, wall: WallMs) {
        self.withdraw_above_quota(now);
        if self.active_directives.is_empty() {
            return;
        }
        self.withdraw_unsent(now);
        let mut due = Vec::new();
        for (id, machine) in &self.machines {
            let Some(drain) = &machine.lifecycle.drain else {
                continue;
            };
            let Some(within_s) = drain.within_s else {
                continue;
            };
            // By the time of day of whoever took the drain: a skew moves the
            // moment, it breaks no rule.
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
                    due.push((*id, *task));
                }
            }
        }
        for (machine, task) in due {
            tracing::info!(machine = %machine, task = %task, "stopped task on drained machine");
            self.stop_task(machine, task, "its machine is drained");
        }
    }
}
