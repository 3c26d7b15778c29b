//! What operators have ordered, carried out: nothing new on drained machines or
//! of frozen teams and classes, and what is there ends, saves or moves in time.

use super::quota::TeamUsage;
use super::*;
use crate::configuration::EffectiveTeams;

impl Scheduler {
    /// Takes a changed will in. What was placed against it, and whose `run`
    /// never went out, returns at once.
    pub fn set_active_directives(
        &mut self,
        now: Time,
        active_directives: Rc<ActiveDirectives>,
        machine_types: &[MachineType],
    ) {
        self.active_directives = active_directives;
        self.replan = true;
        for (id, m) in &mut self.machines {
            let machine_type = m
                .lookup_type(machine_types)
                .map_or("", |s| s.label.as_str());
            m.lifecycle.drain = self
                .active_directives
                .drain_of(*id, machine_type, &m.identity.zone)
                .cloned();
        }
        self.withdraw_unsent(now);
    }

    /// Takes changed teams in. A limit that was lowered stops nothing; what was placed
    /// above it, and whose `run` never went out, returns.
    pub fn set_teams(&mut self, now: Time, effective: &EffectiveTeams) {
        for team in &effective.teams {
            match self.team_names.iter().position(|name| *name == team.name) {
                Some(at) => self.teams[at] = team.quota,
                // Entries name teams by their place: none ever moves.
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

    /// What placements and starts rest on from here on.
    pub fn set_configuration_condition(
        &mut self,
        key: Option<(&'static str, Revision)>,
        runs_until: Option<Time>,
    ) {
        self.configuration_condition = key;
        self.runs_allowed_until = runs_until;
    }

    /// Whether a `run` may go out: the limits that it was placed by are known to be in
    /// force, or were changed too short a while ago to matter.
    pub(super) fn may_run(&self, now: Time) -> bool {
        broken!(self.faults, stale_runs) || self.runs_allowed_until.is_none_or(|until| now < until)
    }

    /// Tasks that were there before their team was known count for it from now on.
    fn assign_teams(&mut self) {
        let names = &self.team_names;
        let scheduler = |spec: &JobSpec| names.iter().position(|n| **n == *spec.team);
        let teams: BTreeMap<JobId, Option<usize>> = self
            .jobs
            .iter()
            .map(|(id, job)| (*id, scheduler(&job.spec)))
            .collect();
        for m in self.machines.values_mut() {
            for (task, e) in m
                .resident
                .allocations
                .iter_mut()
                .filter(|(_, e)| e.team.is_none())
            {
                e.team = teams.get(&task.job).copied().flatten();
            }
        }
    }

    /// While a team uses more than its limit, what was never sent returns.
    fn withdraw_above_quota(&mut self, now: Time) {
        if !self.teams_over_quota {
            return;
        }
        let mut usage = vec![TeamUsage::default(); self.teams.len()];
        let mut unsent: Vec<Vec<(MachineId, TaskId, Resources)>> =
            vec![Vec::new(); self.teams.len()];
        for (id, m) in &self.machines {
            for (task, e) in &m.resident.allocations {
                let Some(team) = e.team else { continue };
                usage[team].add(&e.resources);
                if !e.may_be_on_machine() {
                    unsent[team].push((*id, *task, e.resources));
                }
            }
        }
        let mut waits = false;
        for (team, unsent) in unsent.iter().enumerate() {
            for (machine, task, resources) in unsent.iter().rev() {
                if !usage[team].exceeds(&self.teams[team]) {
                    break;
                }
                // A commit under way is waited for: its page names the task.
                if self
                    .allocation_mut(*machine, *task)
                    .is_some_and(|e| e.in_flight)
                {
                    waits = true;
                    continue;
                }
                self.release_allocation(now, *machine, *task, false, 0.0);
                usage[team].sub(resources);
            }
        }
        self.teams_over_quota = waits;
    }

    /// Committed or planned is not started: these go elsewhere, or wait.
    fn withdraw_unsent(&mut self, now: Time) {
        if self.active_directives.is_empty() {
            return;
        }
        let mut over = Vec::new();
        for (id, m) in &self.machines {
            for (task, e) in m
                .resident
                .allocations
                .iter()
                .filter(|(_, e)| !e.may_be_on_machine())
            {
                let spec = self.jobs.get(&task.job).map(|j| &j.spec);
                let frozen = spec.is_some_and(|s| {
                    self.active_directives
                        .freeze_of(&s.team, &s.class)
                        .is_some()
                });
                // A commit under way is waited for: its page names the task.
                if (frozen || m.lifecycle.drain.is_some()) && !e.in_flight {
                    over.push((*id, *task));
                }
            }
        }
        for (machine, task) in over {
            self.release_allocation(now, machine, task, false, 0.0);
        }
    }

    /// Drains whose time is running out stop what has not ended, so that what
    /// can save has done so by then.
    pub(super) fn enforce_drains(&mut self, now: Time, wall: WallMs) {
        self.withdraw_above_quota(now);
        if self.active_directives.is_empty() {
            return;
        }
        self.withdraw_unsent(now);
        let mut due = Vec::new();
        for (id, m) in &self.machines {
            let Some(drain) = &m.lifecycle.drain else {
                continue;
            };
            let Some(within) = drain.within_s else {
                continue;
            };
            // By the time of day of whoever took the drain: a skew moves the
            // moment, it breaks no rule.
            let gone_s = (wall.0 as f64 - drain.since_ms as f64) / 1e3;
            for (task, e) in m
                .resident
                .allocations
                .iter()
                .filter(|(_, e)| e.kill_grace_s.is_none())
            {
                let save_s = self
                    .jobs
                    .get(&task.job)
                    .map_or(0.0, |j| j.spec.checkpoint_duration_s);
                if e.may_be_on_machine() && gone_s + save_s + self.report_s >= within {
                    due.push((*id, *task));
                }
            }
        }
        for (machine, task) in due {
            tracing::info!("{task} on {machine} stops: the machine is drained");
            self.stop_task(machine, task, "its machine is drained");
        }
    }
}
