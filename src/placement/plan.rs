//! First fit: which waiting task goes where, and what makes room for it.

use super::*;

/// A machine with room, as one round of planning sees it.
struct Room {
    id: MachineId,
    shape: usize,
    free: Need,
    used: bool,
}

/// One round of planning: what is free, and what each team uses.
struct Round<'a> {
    settings: &'a Settings,
    shapes: &'a [Shape],
    rooms: Vec<Room>,
    team_used: Vec<(f64, f64)>,
    zones: BTreeMap<JobId, BTreeMap<String, u32>>,
    budget: usize,
}

/// A waiting job's place in the order.
struct Waiting {
    id: JobId,
    /// Urgency, what can no longer be in time, borrowed room: lowest first.
    rank: (u8, u8, bool),
    left: f64,
    /// So late that it may not wait for a machine that has its image.
    pressing: bool,
    wait_s: Option<f64>,
}

/// Which machines a job may take in one pass over the order.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pass {
    Pressing,
    /// Only where the image is: a fetch costs a place a quarter of a task's
    /// time, and another job whose image is there may have it meanwhile.
    WithImage,
    Any,
}

/// Part of the time to its aim that a job leaves to others' images.
const PATIENT: f64 = 0.7;

impl Placement {
    pub(super) fn plan(&mut self, now: Time, wall: WallMs, settings: &Settings, shapes: &[Shape]) {
        let mut round = self.round(now, settings, shapes);
        let order = self.order(now, wall, &round);
        let mut pressed: Vec<Pressed> = Vec::new();
        for group in order.chunk_by(|a, b| a.rank == b.rank) {
            for pass in [Pass::Pressing, Pass::WithImage, Pass::Any] {
                for w in group.iter().filter(|w| w.pressing == (pass == Pass::Pressing)) {
                    if round.budget == 0 {
                        return;
                    }
                    self.fill(now, &mut round, w.id, pass);
                }
            }
            for w in group {
                let Some(job) = self.jobs.get(&w.id) else { continue };
                let waiting = job.waiting();
                if let (Some(within), true) = (w.wait_s, waiting > 0 && w.rank.1 < 2) {
                    pressed.push(Pressed {
                        urgency: job.spec.urgency,
                        cpus: f64::from(waiting) * job.spec.cpus,
                        within_s: (within - age_s(wall, &job.spec)).max(1.0),
                        spec: job.spec.clone(),
                    });
                }
            }
        }
        self.preempt(now, &pressed, shapes);
    }

    fn round<'a>(&self, now: Time, settings: &'a Settings, shapes: &'a [Shape]) -> Round<'a> {
        let mut round = Round {
            settings,
            shapes,
            rooms: Vec::new(),
            team_used: vec![(0.0, 0.0); self.teams.len()],
            zones: BTreeMap::new(),
            // No more than the next few transactions can carry.
            budget: (self.rows_per_page * 4).saturating_sub(self.plans.len()),
        };
        for (id, m) in &self.machines {
            let mut free = m.shape.and_then(|s| shapes.get(s)).map(Shape::room).unwrap_or_default();
            for (task, e) in &m.entries {
                free.sub(&e.need);
                if let Some(t) = e.team {
                    round.team_used[t].0 += e.need.cpus;
                    round.team_used[t].1 += e.need.gpus;
                }
                if self.jobs.get(&task.job).is_some_and(|j| j.spec.one_zone || j.spec.spread) {
                    let zones = round.zones.entry(task.job).or_default();
                    *zones.entry(m.zone.clone()).or_default() += 1;
                }
            }
            for (task, _) in &m.ghosts {
                if let Some(j) = self.jobs.get(&task.job) {
                    free.sub(&j.need());
                    if let Some(t) = settings.team(&j.spec.team) {
                        round.team_used[t].0 += j.spec.cpus;
                        round.team_used[t].1 += j.spec.gpus;
                    }
                }
            }
            let alive = m.heard.is_some_and(|h| now.since(h) < self.report_s * 2.0 + 1.0);
            let willing = now >= m.refuses_until && free.cpus > EPSILON;
            if let Some(shape) = m.shape {
                if alive && willing && m.synced && !m.reclaim && !m.draining && !m.sick && !m.slow {
                    round.rooms.push(Room { id: *id, shape, free, used: !m.is_empty() });
                }
            }
        }
        round
    }

    /// The waiting jobs, in the order in which they get room.
    fn order(&self, now: Time, wall: WallMs, round: &Round) -> Vec<Waiting> {
        let mut order = Vec::new();
        for (id, j) in &self.jobs {
            if j.state != JobState::Open || j.hold_until > now || j.waiting() == 0 {
                continue;
            }
            let spec = &j.spec;
            let run_s = spec.expect_s * self.run_factor(&spec.class);
            let age = age_s(wall, spec);
            let left = spec.due_s.map_or(-age, |d| d - age);
            // A job that can no longer make its deadline lets those pass that
            // can; among the late the longest goes first, so that none drags
            // on alone at the end.
            let late = spec.due_s.is_some() && left < run_s * 0.7;
            let wait_s = round.settings.aim("wait", &spec.class);
            let pressing = match (spec.due_s, round.settings.aim("finished", &spec.class)) {
                (Some(due), _) => left - run_s < due * (1.0 - PATIENT),
                (None, Some(aim)) => age > aim * PATIENT,
                (None, None) => age > run_s,
            };
            // Others go by latest start, not by deadline: a long task that waits
            // too long runs alone at the end, on a machine of its own. Arrays
            // without a deadline keep their order of arrival.
            let left = match (late, wait_s.is_some() || spec.due_s.is_none()) {
                (true, _) => -run_s,
                (false, true) => left,
                (false, false) => left - run_s * LONG_FIRST,
            };
            // Likewise what can still start within its class's aim goes before
            // what has already waited longer.
            let late = if late { 2 } else { u8::from(wait_s.is_some_and(|w| age > w)) };
            let over = round.settings.team(&spec.team).is_some_and(|t| {
                self.teams[t].0 > 0.0 && round.team_used[t].0 + spec.cpus > self.teams[t].0
            });
            let rank = (u8::MAX - spec.urgency as u8, late, over);
            order.push(Waiting { id: *id, rank, left, pressing, wait_s });
        }
        order.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.left.total_cmp(&b.left)));
        order
    }

    /// Puts as many tasks of one job on machines as there is room for.
    fn fill(&mut self, now: Time, round: &mut Round, id: JobId, pass: Pass) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let spec = job.spec.clone();
        let need = need_of(&spec);
        let team = round.settings.team(&spec.team);
        let half = spec.tasks.div_ceil(2);
        // First fit: the smaller type first, so that large machines stay
        // free for tasks that fit nowhere else; then where the image is;
        // then the fuller machine, so that others can empty.
        let (machines, shapes) = (&self.machines, round.shapes);
        let mut fits: Vec<(usize, (bool, bool, bool, i64))> = round
            .rooms
            .iter()
            .enumerate()
            .filter(|(_, r)| need.fits(&r.free))
            .filter_map(|(i, r)| {
                let m = machines.get(&r.id)?;
                let shape = shapes.get(r.shape)?;
                let allowed = spec.shapes.as_ref().is_none_or(|s| s.contains(&shape.label))
                    && spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                    && (spec.spot || !m.spot);
                let image = m.images.contains(&spec.image);
                // Spot machines first among equals, so that dear ones empty.
                let key = (!m.spot, !image, !r.used, (r.free.cpus * 1000.0) as i64);
                (allowed && (image || pass != Pass::WithImage)).then_some((i, key))
            })
            .collect();
        fits.sort_by(|(a, ka), (b, kb)| {
            let size = |i: &usize| shapes.get(round.rooms[*i].shape).map_or(0.0, |s| s.cpus);
            size(a).total_cmp(&size(b)).then(ka.cmp(kb))
        });
        for (i, _) in fits {
            loop {
                let r = &mut round.rooms[i];
                if round.budget == 0 {
                    return;
                }
                if !need.fits(&r.free) {
                    break;
                }
                // Guard: a team's tasks never use more than its limit,
                // counted from the plan until proof of the end.
                if let Some(t) = team {
                    let (_, cpus_max, _, gpus_max) = self.teams[t];
                    let used = &round.team_used[t];
                    if (cpus_max > 0.0 && used.0 + need.cpus > cpus_max + EPSILON)
                        || (gpus_max > 0.0 && used.1 + need.gpus > gpus_max + EPSILON)
                    {
                        return;
                    }
                }
                let Some(m) = self.machines.get_mut(&r.id) else { break };
                let in_zones = round.zones.entry(id).or_default();
                // Guards against `wrong_place`, given the job's other tasks.
                if spec.one_zone && in_zones.keys().any(|z| *z != m.zone) {
                    break;
                }
                // A task on a machine whose zone is not yet known may be in this one.
                let there = in_zones.get(&m.zone).unwrap_or(&0) + in_zones.get("").unwrap_or(&0);
                if spec.spread && there >= half {
                    break;
                }
                let Some(index) = job.next_task(now) else { return };
                let task = TaskId { job: id, index };
                if m.entries.contains_key(&task) {
                    break;
                }
                self.next_attempt += 1;
                m.entries.insert(
                    task,
                    Entry {
                        attempt: Attempt(self.next_attempt),
                        need,
                        team,
                        state: State::Planned,
                        kill: None,
                        flying: false,
                        started: None,
                        page: None,
                    },
                );
                // It will be fetched for this task: the next need not wait.
                m.remember_image(&spec.image);
                self.plans.push_back((r.id, task));
                *in_zones.entry(m.zone.clone()).or_default() += 1;
                r.used = true;
                r.free.sub(&need);
                job.retry.remove(&index);
                *job.live.entry(index).or_insert(0) += 1;
                if let Some(t) = team {
                    round.team_used[t].0 += need.cpus;
                    round.team_used[t].1 += need.gpus;
                }
                round.budget -= 1;
            }
        }
    }

    /// Stops tasks of lower urgency for those that would miss their aim.
    ///
    /// Those that have run least lose least; tasks that a stop already frees
    /// room for are not paid for twice.
    fn preempt(&mut self, now: Time, pressed: &[Pressed], shapes: &[Shape]) {
        let Some(top) = pressed.iter().map(|p| p.urgency).max() else { return };
        let mut lacking: f64 = pressed.iter().filter(|p| p.urgency == top).map(|p| p.cpus).sum();
        let soonest = pressed.iter().map(|p| p.within_s).fold(f64::INFINITY, f64::min);
        let mut victims: Vec<(f64, MachineId, TaskId, f64, f64)> = Vec::new();
        for (id, m) in &self.machines {
            let usable = m.synced && !m.reclaim && !m.draining && !m.sick && !m.slow;
            if !usable || m.heard.is_none_or(|h| now.since(h) > self.report_s * 2.0 + 1.0) {
                continue;
            }
            let label = m.shape.and_then(|s| shapes.get(s)).map(|s| s.label.as_str());
            let fits = pressed.iter().any(|p| {
                (p.spec.spot || !m.spot)
                    && p.spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                    && p.spec
                        .shapes
                        .as_ref()
                        .is_none_or(|s| s.iter().any(|l| Some(l.as_str()) == label))
            });
            for (task, e) in &m.entries {
                let Some(job) = self.jobs.get(&task.job) else { continue };
                let ran = e.started.map_or(0.0, |s| now.since(s));
                let run_s = job.spec.expect_s * self.run_factor(&job.spec.class);
                if e.kill.is_some() {
                    lacking -= e.need.cpus;
                } else if matches!(e.state, State::Seen(_)) && job.spec.urgency >= top {
                    // Its room comes free by itself in time.
                    if run_s - ran < soonest {
                        lacking -= e.need.cpus;
                    }
                } else if matches!(e.state, State::Seen(_)) && fits && ran < run_s * 0.15 {
                    let kept = if job.spec.checkpoint_s > 0.0 { 0.1 } else { 1.0 };
                    victims.push((ran * kept, *id, *task, e.need.cpus, job.spec.save_s));
                }
            }
        }
        victims.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, machine, task, cpus, save_s) in victims {
            if lacking <= 0.0 {
                break;
            }
            lacking -= cpus;
            log::info!("{task} on {machine} makes room for more urgent work");
            if let Some(e) = self.entry(machine, task) {
                e.kill = Some(save_s);
            }
            self.stops.insert(machine);
        }
    }
}
