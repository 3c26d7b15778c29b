//! Why a job's tasks do not run, and what is on machines, told by the functions
//! that decide: the same order, the same limits, the same look at each machine.

use super::plan::{
    unschedulable_reason, zone_barred, BlockingReason, PauseReason, UnschedulableReason,
};
use super::*;
use beamhinge_admin_api::messages::{MachineRow, Placed, TaskRow, TeamRow, MAX_ROWS};
use beamhinge_admin_api::reasons::{Near, Reason, Tally};

/// Machines named as nearly enough.
const MAX_NEAR: usize = 3;
/// Jobs named as being before one.
const MAX_BEFORE: usize = 5;

/// Numbers of the whole, for a summary.
#[derive(Default)]
pub struct Totals {
    pub jobs_open: u32,
    pub jobs_running: u32,
    pub tasks_running: u32,
    pub tasks_waiting: u32,
    pub oldest_wait_s: f64,
    pub cpus: f64,
    pub cpus_used: f64,
    pub up: u32,
    pub silent: u32,
}

impl TaskState {
    fn name(self) -> &'static str {
        match self {
            TaskState::Planned => "planned",
            TaskState::Committed => "committed",
            TaskState::RunSent(_) => "sent",
            TaskState::Observed(TaskPhase::FetchingImage) => "fetching",
            TaskState::Observed(TaskPhase::Running) => "running",
            TaskState::Observed(TaskPhase::Checkpointing) => "saving",
            TaskState::Inherited => "inherited",
        }
    }
}

impl Scheduler {
    /// What is known of one open job: its tasks, and why the others wait.
    pub fn tell_job(
        &self,
        now: Time,
        wall: WallMs,
        id: JobId,
        settings: &Settings,
        machine_types: &[MachineType],
    ) -> Option<Placed> {
        let job = self.jobs.get(&id)?;
        let mut placed = Placed {
            done: job.progress.count(),
            waiting: job.waiting(),
            ..Placed::default()
        };
        let (mut starting, mut ahead, mut inherited) = (0, 0, 0);
        let (mut fetching, mut longest) = (0, 0.0f64);
        for (machine, m) in &self.machines {
            for (task, e) in m.allocations.iter().filter(|(t, _)| t.job == id) {
                match e.state {
                    TaskState::Observed(TaskPhase::FetchingImage) => {
                        fetching += 1;
                        longest = longest.max(now.since(e.placed));
                    }
                    TaskState::Observed(_) => placed.running += 1,
                    TaskState::Inherited => inherited += 1,
                    _ if e.ahead.is_some() => ahead += 1,
                    _ => starting += 1,
                }
                if placed.tasks.len() < MAX_ROWS {
                    placed.tasks.push(TaskRow {
                        task: task.to_string(),
                        machine: machine.to_string(),
                        state: e.state.name().into(),
                        running_s: e.started.map(|s| now.since(s)),
                        stopping: e.kill.is_some(),
                    });
                }
            }
        }
        let reasons = &mut placed.reasons;
        if job.waiting() > 0 {
            self.waiting_for(now, wall, id, settings, machine_types, reasons);
        }
        if fetching > 0 {
            reasons.push(Reason::Fetching {
                tasks: fetching,
                image: job.spec.image.to_string(),
                image_gb: job.spec.image_gb,
                longest_s: longest,
            });
        }
        if starting > 0 {
            reasons.push(Reason::Starting { tasks: starting });
        }
        if ahead > 0 {
            reasons.push(Reason::Ahead { tasks: ahead });
        }
        if inherited > 0 {
            let until_s = self.inherited_until.until(now).max(0.0);
            reasons.push(Reason::Inherited {
                tasks: inherited,
                until_s,
            });
        }
        Some(placed)
    }

    fn waiting_for(
        &self,
        now: Time,
        wall: WallMs,
        id: JobId,
        settings: &Settings,
        machine_types: &[MachineType],
        reasons: &mut Vec<Reason>,
    ) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        match self.pause(now, id, job) {
            Some(PauseReason::Frozen(d)) => {
                let since_s = (wall.0 as f64 - d.since_ms as f64) / 1e3;
                let (target, by) = (d.target.to_string(), d.by.clone());
                return reasons.push(Reason::Frozen {
                    target,
                    since_s,
                    by,
                });
            }
            Some(PauseReason::Failures) => {
                let until = self
                    .fault_attribution
                    .job_retry_at(id)
                    .map_or(job.hold_until, |u| u.max(job.hold_until));
                let (failures, machines) = self.fault_attribution.failures(id);
                let retry_s = until.until(now).max(0.0);
                return reasons.push(Reason::Failures {
                    failures,
                    machines,
                    retry_s,
                });
            }
            Some(PauseReason::Over | PauseReason::Nothing) | None => {}
        }
        let round = self.round(now, settings, machine_types);
        let resources = job.resources();
        let team = self.team(&job.spec);
        let over = team.and_then(|t| self.over_limit(round.team_used[t], t, &resources));
        if let Some(over) = over {
            return reasons.push(Reason::TeamLimit {
                team: job.spec.team.to_string(),
                resource: over.resource.into(),
                used: over.used,
                wanted: over.wanted,
                limit: over.limit,
            });
        }
        let (tally, near, room) = self.look(now, job, &round.zones, id, machine_types);
        if room {
            // There is room: the next round of planning takes it.
            return reasons.push(Reason::Undecided);
        }
        reasons.push(Reason::NoRoom { tally, near });
        reasons.extend(self.tell_ageing(now, wall, id, machine_types));
        let order = self.order(now, wall, &round, &self.guaranteed());
        let before: Vec<JobId> = order
            .iter()
            .map(|w| w.id)
            .take_while(|other| *other != id)
            .collect();
        if !before.is_empty() {
            let waiting = |id: &JobId| self.jobs.get(id).map_or(0, Job::waiting);
            reasons.push(Reason::Behind {
                jobs: before.len() as u32,
                tasks: before.iter().map(waiting).sum(),
                first: before
                    .iter()
                    .take(MAX_BEFORE)
                    .map(JobId::to_string)
                    .collect(),
            });
        }
    }

    /// What stands against each machine; the nearest of those that only lack
    /// room; and whether one has it.
    fn look(
        &self,
        now: Time,
        job: &Job,
        zones: &BTreeMap<JobId, BTreeMap<String, u32>>,
        id: JobId,
        machine_types: &[MachineType],
    ) -> (Tally, Vec<Near>, bool) {
        let (mut tally, mut near, mut room) = (Tally::default(), Vec::new(), false);
        let resources = job.resources();
        let none = BTreeMap::new();
        let in_zones = zones.get(&id).unwrap_or(&none);
        for (machine, m) in &self.machines {
            let Some(machine_type) = m.machine_type.and_then(|s| machine_types.get(s)) else {
                tally.silent += 1;
                continue;
            };
            match unschedulable_reason(&job.spec, machine_type, m) {
                Some(UnschedulableReason::MachineType) => tally.other_shape += 1,
                Some(UnschedulableReason::Zone) => tally.other_zone += 1,
                Some(UnschedulableReason::Spot) => tally.spot += 1,
                None if zone_barred(&job.spec, in_zones, &m.zone) => tally.other_zone += 1,
                None => match self.blocking_reason(now, m) {
                    Some(BlockingReason::Silent) => tally.silent += 1,
                    Some(BlockingReason::Unsynced | BlockingReason::Deaf) => tally.unsynced += 1,
                    Some(BlockingReason::Refusing) => tally.refusing += 1,
                    Some(BlockingReason::Taken) => tally.taken += 1,
                    Some(BlockingReason::Leaving) => tally.leaving += 1,
                    Some(BlockingReason::Drained) => tally.drained += 1,
                    Some(BlockingReason::Sick) => tally.sick += 1,
                    Some(BlockingReason::Slow) => tally.slow += 1,
                    None => {
                        let free = m.unpromised(machine_types);
                        if resources.fits(&free) {
                            room = true;
                            continue;
                        }
                        tally.full += 1;
                        near.push(Near {
                            machine: machine.to_string(),
                            lacks_cpus: (resources.cpus - free.cpus).max(0.0),
                            lacks_gpus: (resources.gpus - free.gpus).max(0.0),
                            lacks_memory_gb: (resources.memory_gb - free.memory_gb).max(0.0),
                        });
                    }
                },
            }
        }
        near.sort_by(|a, b| {
            let by = |n: &Near| (n.lacks_gpus, n.lacks_cpus, n.lacks_memory_gb);
            by(a)
                .partial_cmp(&by(b))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        near.truncate(MAX_NEAR);
        (tally, near, room)
    }

    /// One job's demand, as the fleet sees it.
    pub fn demand_of(&self, wall: WallMs, id: JobId) -> Option<(Demand, Rc<JobSpec>)> {
        let job = self.jobs.get(&id)?;
        Some((self.demand(wall, id, job), job.spec.clone()))
    }

    pub fn active_directives(&self) -> &Rc<ActiveDirectives> {
        &self.active_directives
    }

    /// One machine as our books have it.
    pub fn tell_machine(
        &self,
        now: Time,
        id: MachineId,
        machine_types: &[MachineType],
        row: &mut MachineRow,
    ) {
        let Some(m) = self.machines.get(&id) else {
            return;
        };
        let free = m.free(machine_types);
        row.tasks = m.allocations.len() as u32;
        row.heard_s = m.last_heartbeat.map(|h| now.since(h));
        if m.machine_type.is_some() {
            row.free_cpus = free.cpus.max(0.0);
            row.free_memory_gb = free.memory_gb.max(0.0);
            row.zone.clone_from(&m.zone);
        }
        row.state = match self.blocking_reason(now, m) {
            None | Some(BlockingReason::Refusing) | Some(BlockingReason::Unsynced) => "up",
            Some(BlockingReason::Deaf) => "deaf",
            Some(BlockingReason::Silent) if m.last_heartbeat.is_none() => "starting",
            Some(BlockingReason::Silent) => "silent",
            Some(BlockingReason::Taken) => "taken",
            Some(BlockingReason::Leaving) => "leaving",
            Some(BlockingReason::Drained) if m.is_empty() => "drained",
            Some(BlockingReason::Drained) => "draining",
            Some(BlockingReason::Sick) => "sick",
            Some(BlockingReason::Slow) => "slow",
        }
        .into();
    }

    pub fn tell_teams(
        &self,
        now: Time,
        settings: &Settings,
        machine_types: &[MachineType],
    ) -> Vec<TeamRow> {
        let round = self.round(now, settings, machine_types);
        let mut rows: Vec<TeamRow> = self
            .teams
            .iter()
            .zip(&self.team_names)
            .zip(&round.team_used)
            .map(|(((cpus, cpus_max, gpus, gpus_max), name), used)| TeamRow {
                team: name.clone(),
                cpus_used: used.0,
                cpus_guaranteed: *cpus,
                cpus_limit: *cpus_max,
                gpus_used: used.1,
                gpus_guaranteed: *gpus,
                gpus_limit: *gpus_max,
                jobs_open: 0,
                tasks_waiting: 0,
                frozen: self.active_directives.freeze_of(name, "").is_some(),
            })
            .collect();
        for job in self
            .jobs
            .values()
            .filter(|j| j.state == JobState::Open && !j.complete())
        {
            if let Some(row) = self.team(&job.spec).and_then(|t| rows.get_mut(t)) {
                row.jobs_open += 1;
                row.tasks_waiting += job.waiting();
            }
        }
        rows
    }

    pub fn totals(&self, now: Time, wall: WallMs, machine_types: &[MachineType]) -> Totals {
        let mut t = Totals::default();
        for job in self
            .jobs
            .values()
            .filter(|j| j.state == JobState::Open && !j.complete())
        {
            t.jobs_open += 1;
            t.jobs_running += u32::from(job.busy() > 0);
            t.tasks_waiting += job.waiting();
            if job.waiting() > 0 {
                t.oldest_wait_s = t.oldest_wait_s.max(age_s(wall, &job.spec));
            }
        }
        for m in self.machines.values() {
            let running =
                |e: &&Allocation| matches!(e.state, TaskState::Observed(TaskPhase::Running));
            t.tasks_running += m.allocations.values().filter(running).count() as u32;
            let Some(machine_type) = m.machine_type.and_then(|s| machine_types.get(s)) else {
                continue;
            };
            if self.blocking_reason(now, m) == Some(BlockingReason::Silent) {
                t.silent += 1;
                continue;
            }
            t.up += 1;
            t.cpus += machine_type.cpus;
            t.cpus_used += machine_type.cpus - m.free(machine_types).cpus.max(0.0);
        }
        t
    }
}
