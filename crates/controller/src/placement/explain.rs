//! Why a job's tasks do not run, and what is on machines, told by the functions
//! that decide: the same order, the same limits, the same look at each machine.

use super::plan::{misfit, zone_barred, Hindrance, Misfit, Pause};
use super::*;
use beamhinge_admin_api::messages::{MachineRow, Placed, TaskRow, TeamRow, MOST_ROWS};
use beamhinge_admin_api::reasons::{Near, Reason, Tally};

/// Machines named as nearly enough.
const MOST_NEAR: usize = 3;
/// Jobs named as being before one.
const MOST_BEFORE: usize = 5;

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

impl State {
    fn name(self) -> &'static str {
        match self {
            State::Planned => "planned",
            State::Committed => "committed",
            State::Sent(_) => "sent",
            State::Seen(Phase::Pulling) => "fetching",
            State::Seen(Phase::Running) => "running",
            State::Seen(Phase::Saving) => "saving",
            State::Inherited => "inherited",
        }
    }
}

impl Placement {
    /// What is known of one open job: its tasks, and why the others wait.
    pub fn tell_job(
        &self,
        now: Time,
        wall: WallMs,
        id: JobId,
        settings: &Settings,
        shapes: &[Shape],
    ) -> Option<Placed> {
        let job = self.jobs.get(&id)?;
        let mut placed =
            Placed { done: job.progress.count(), waiting: job.waiting(), ..Placed::default() };
        let (mut starting, mut ahead, mut inherited) = (0, 0, 0);
        let (mut fetching, mut longest) = (0, 0.0f64);
        for (machine, m) in &self.machines {
            for (task, e) in m.entries.iter().filter(|(t, _)| t.job == id) {
                match e.state {
                    State::Seen(Phase::Pulling) => {
                        fetching += 1;
                        longest = longest.max(now.since(e.placed));
                    }
                    State::Seen(_) => placed.running += 1,
                    State::Inherited => inherited += 1,
                    _ if e.ahead.is_some() => ahead += 1,
                    _ => starting += 1,
                }
                if placed.tasks.len() < MOST_ROWS {
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
            self.waiting_for(now, wall, id, settings, shapes, reasons);
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
            reasons.push(Reason::Inherited { tasks: inherited, until_s });
        }
        Some(placed)
    }

    fn waiting_for(
        &self,
        now: Time,
        wall: WallMs,
        id: JobId,
        settings: &Settings,
        shapes: &[Shape],
        reasons: &mut Vec<Reason>,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        match self.pause(now, id, job) {
            Some(Pause::Frozen(d)) => {
                let since_s = (wall.0 as f64 - d.since_ms as f64) / 1e3;
                let (target, by) = (d.target.to_string(), d.by.clone());
                return reasons.push(Reason::Frozen { target, since_s, by });
            }
            Some(Pause::Failures) => {
                let until =
                    self.blame.paused_until(id).map_or(job.hold_until, |u| u.max(job.hold_until));
                let (failures, machines) = self.blame.failures(id);
                let retry_s = until.until(now).max(0.0);
                return reasons.push(Reason::Failures { failures, machines, retry_s });
            }
            Some(Pause::Over | Pause::Nothing) | None => {}
        }
        let round = self.round(now, settings, shapes);
        let need = job.need();
        let team = self.team(&job.spec);
        let over = team.and_then(|t| self.over_limit(round.team_used[t], t, &need));
        if let Some(over) = over {
            return reasons.push(Reason::TeamLimit {
                team: job.spec.team.to_string(),
                resource: over.resource.into(),
                used: over.used,
                wanted: over.wanted,
                limit: over.limit,
            });
        }
        let (tally, near, room) = self.look(now, job, &round.zones, id, shapes);
        if room {
            // There is room: the next round of planning takes it.
            return reasons.push(Reason::Undecided);
        }
        reasons.push(Reason::NoRoom { tally, near });
        reasons.extend(self.tell_ageing(now, wall, id, shapes));
        let order = self.order(now, wall, &round, &self.guaranteed());
        let before: Vec<JobId> =
            order.iter().map(|w| w.id).take_while(|other| *other != id).collect();
        if !before.is_empty() {
            let waiting = |id: &JobId| self.jobs.get(id).map_or(0, Job::waiting);
            reasons.push(Reason::Behind {
                jobs: before.len() as u32,
                tasks: before.iter().map(waiting).sum(),
                first: before.iter().take(MOST_BEFORE).map(JobId::to_string).collect(),
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
        shapes: &[Shape],
    ) -> (Tally, Vec<Near>, bool) {
        let (mut tally, mut near, mut room) = (Tally::default(), Vec::new(), false);
        let need = job.need();
        let none = BTreeMap::new();
        let in_zones = zones.get(&id).unwrap_or(&none);
        for (machine, m) in &self.machines {
            let Some(shape) = m.shape.and_then(|s| shapes.get(s)) else {
                tally.silent += 1;
                continue;
            };
            match misfit(&job.spec, shape, m) {
                Some(Misfit::Shape) => tally.other_shape += 1,
                Some(Misfit::Zone) => tally.other_zone += 1,
                Some(Misfit::Spot) => tally.spot += 1,
                None if zone_barred(&job.spec, in_zones, &m.zone) => tally.other_zone += 1,
                None => match self.hindrance(now, m) {
                    Some(Hindrance::Silent) => tally.silent += 1,
                    Some(Hindrance::Unsynced | Hindrance::Deaf) => tally.unsynced += 1,
                    Some(Hindrance::Refusing) => tally.refusing += 1,
                    Some(Hindrance::Taken) => tally.taken += 1,
                    Some(Hindrance::Leaving) => tally.leaving += 1,
                    Some(Hindrance::Drained) => tally.drained += 1,
                    Some(Hindrance::Sick) => tally.sick += 1,
                    Some(Hindrance::Slow) => tally.slow += 1,
                    None => {
                        let free = m.unpromised(shapes);
                        if need.fits(&free) {
                            room = true;
                            continue;
                        }
                        tally.full += 1;
                        near.push(Near {
                            machine: machine.to_string(),
                            lacks_cpus: (need.cpus - free.cpus).max(0.0),
                            lacks_gpus: (need.gpus - free.gpus).max(0.0),
                            lacks_memory_gb: (need.memory_gb - free.memory_gb).max(0.0),
                        });
                    }
                },
            }
        }
        near.sort_by(|a, b| {
            let by = |n: &Near| (n.lacks_gpus, n.lacks_cpus, n.lacks_memory_gb);
            by(a).partial_cmp(&by(b)).unwrap_or(std::cmp::Ordering::Equal)
        });
        near.truncate(MOST_NEAR);
        (tally, near, room)
    }

    /// One job's demand, as the fleet sees it.
    pub fn demand_of(&self, wall: WallMs, id: JobId) -> Option<(Demand, Rc<JobSpec>)> {
        let job = self.jobs.get(&id)?;
        Some((self.demand(wall, id, job), job.spec.clone()))
    }

    pub fn standing(&self) -> &Rc<Standing> {
        &self.standing
    }

    /// One machine as our books have it.
    pub fn tell_machine(&self, now: Time, id: MachineId, shapes: &[Shape], row: &mut MachineRow) {
        let Some(m) = self.machines.get(&id) else { return };
        let free = m.free(shapes);
        row.tasks = m.entries.len() as u32;
        row.heard_s = m.heard.map(|h| now.since(h));
        if m.shape.is_some() {
            row.free_cpus = free.cpus.max(0.0);
            row.free_memory_gb = free.memory_gb.max(0.0);
            row.zone.clone_from(&m.zone);
        }
        row.state = match self.hindrance(now, m) {
            None | Some(Hindrance::Refusing) | Some(Hindrance::Unsynced) => "up",
            Some(Hindrance::Deaf) => "deaf",
            Some(Hindrance::Silent) if m.heard.is_none() => "starting",
            Some(Hindrance::Silent) => "silent",
            Some(Hindrance::Taken) => "taken",
            Some(Hindrance::Leaving) => "leaving",
            Some(Hindrance::Drained) if m.is_empty() => "drained",
            Some(Hindrance::Drained) => "draining",
            Some(Hindrance::Sick) => "sick",
            Some(Hindrance::Slow) => "slow",
        }
        .into();
    }

    pub fn tell_teams(&self, now: Time, settings: &Settings, shapes: &[Shape]) -> Vec<TeamRow> {
        let round = self.round(now, settings, shapes);
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
                frozen: self.standing.freeze_of(name, "").is_some(),
            })
            .collect();
        for job in self.jobs.values().filter(|j| j.state == JobState::Open && !j.complete()) {
            if let Some(row) = self.team(&job.spec).and_then(|t| rows.get_mut(t)) {
                row.jobs_open += 1;
                row.tasks_waiting += job.waiting();
            }
        }
        rows
    }

    pub fn totals(&self, now: Time, wall: WallMs, shapes: &[Shape]) -> Totals {
        let mut t = Totals::default();
        for job in self.jobs.values().filter(|j| j.state == JobState::Open && !j.complete()) {
            t.jobs_open += 1;
            t.jobs_running += u32::from(job.busy() > 0);
            t.tasks_waiting += job.waiting();
            if job.waiting() > 0 {
                t.oldest_wait_s = t.oldest_wait_s.max(age_s(wall, &job.spec));
            }
        }
        for m in self.machines.values() {
            let running = |e: &&Entry| matches!(e.state, State::Seen(Phase::Running));
            t.tasks_running += m.entries.values().filter(running).count() as u32;
            let Some(shape) = m.shape.and_then(|s| shapes.get(s)) else { continue };
            if self.hindrance(now, m) == Some(Hindrance::Silent) {
                t.silent += 1;
                continue;
            }
            t.up += 1;
            t.cpus += shape.cpus;
            t.cpus_used += shape.cpus - m.free(shapes).cpus.max(0.0);
        }
        t
    }
}
