//! First fit: which waiting task goes where, and what makes room for it.

use super::*;

impl Placement {
    pub(super) fn plan(&mut self, now: Time, wall: WallMs, settings: &Settings, shapes: &[Shape]) {
        let mut team_used = vec![(0.0, 0.0); self.teams.len()];
        let mut zones: BTreeMap<JobId, BTreeMap<String, u32>> = BTreeMap::new();
        struct Room {
            id: MachineId,
            shape: usize,
            free: Need,
            used: bool,
        }
        let mut rooms: Vec<Room> = Vec::new();
        for (id, m) in &self.machines {
            let mut free = m.shape.and_then(|s| shapes.get(s)).map(Shape::room).unwrap_or_default();
            for (task, e) in &m.entries {
                free.sub(&e.need);
                if let Some(t) = e.team {
                    team_used[t].0 += e.need.cpus;
                    team_used[t].1 += e.need.gpus;
                }
                if self.jobs.get(&task.job).is_some_and(|j| j.spec.one_zone || j.spec.spread) {
                    *zones.entry(task.job).or_default().entry(m.zone.clone()).or_default() += 1;
                }
            }
            for (task, _) in &m.ghosts {
                if let Some(j) = self.jobs.get(&task.job) {
                    free.sub(&j.need());
                    if let Some(t) = settings.team(&j.spec.team) {
                        team_used[t].0 += j.spec.cpus;
                        team_used[t].1 += j.spec.gpus;
                    }
                }
            }
            let alive = m.heard.is_some_and(|h| now.since(h) < self.report_s * 2.0 + 1.0);
            if let Some(shape) = m.shape {
                let willing = now >= m.refuses_until;
                if alive && willing && m.synced && !m.reclaim && !m.draining && !m.sick && !m.slow {
                    rooms.push(Room { id: *id, shape, free, used: !m.is_empty() });
                }
            }
        }
        let mut order: Vec<(u8, u8, bool, f64, JobId)> = Vec::new();
        let runs = &self.runs;
        for (id, j) in &self.jobs {
            if j.state != JobState::Open || j.hold_until > now || j.waiting() == 0 {
                continue;
            }
            let run_s = j.spec.expect_s * runs.get(&j.spec.class).copied().unwrap_or(1.0);
            let age = age_s(wall, &j.spec);
            let left = j.spec.due_s.map_or(-age, |d| d - age);
            // A job that can no longer make its deadline lets those pass that
            // can; among the late the longest goes first, so that none drags
            // on alone at the end.
            let late = j.spec.due_s.is_some() && left < run_s * 0.7;
            let wait = settings.aim("wait", &j.spec.class);
            // Others go by latest start, not by deadline: a long task that waits
            // too long runs alone at the end, on a machine of its own. Arrays
            // without a deadline keep their order of arrival.
            let left = match (late, wait.is_some() || j.spec.due_s.is_none()) {
                (true, _) => -run_s,
                (false, true) => left,
                (false, false) => left - run_s * LONG_FIRST,
            };
            // Likewise what can still start within its class's aim goes before
            // what has already waited longer.
            let late = if late { 2 } else { u8::from(wait.is_some_and(|w| age > w)) };
            let over = settings.team(&j.spec.team).is_some_and(|t| {
                self.teams[t].0 > 0.0 && team_used[t].0 + j.spec.cpus > self.teams[t].0
            });
            order.push((u8::MAX - j.spec.urgency as u8, late, over, left, *id));
        }
        order.sort_by(|a, b| (a.0, a.1, a.2).cmp(&(b.0, b.1, b.2)).then(a.3.total_cmp(&b.3)));
        // No more than the next few transactions can carry.
        let mut budget = (self.rows_per_page * 4).saturating_sub(self.plans.len());
        let mut pressed: Vec<Pressed> = Vec::new();
        for (_, late, _, _, id) in order {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let spec = job.spec.clone();
            let need = need_of(&spec);
            let team = settings.team(&spec.team);
            let half = spec.tasks.div_ceil(2);
            // First fit: the smaller type first, so that large machines stay
            // free for tasks that fit nowhere else; then where the image is;
            // then the fuller machine, so that others can empty.
            let mut fits: Vec<(usize, (bool, bool, bool, i64))> = rooms
                .iter()
                .enumerate()
                .filter(|(_, r)| need.fits(&r.free))
                .filter_map(|(i, r)| {
                    let m = self.machines.get(&r.id)?;
                    let shape = shapes.get(r.shape)?;
                    let allowed = spec.shapes.as_ref().is_none_or(|s| s.contains(&shape.label))
                        && spec.zone.as_ref().is_none_or(|z| *z == m.zone)
                        && (spec.spot || !m.spot);
                    let image = m.images.contains(&spec.image);
                    // Spot machines first among equals, so that dear ones empty.
                    let key = (!m.spot, !image, !r.used, (r.free.cpus * 1000.0) as i64);
                    allowed.then_some((i, key))
                })
                .collect();
            fits.sort_by(|(a, ka), (b, kb)| {
                let size = |i: &usize| shapes.get(rooms[*i].shape).map_or(0.0, |s| s.cpus);
                size(a).total_cmp(&size(b)).then(ka.cmp(kb))
            });
            let waiting_for = settings.aim("wait", &spec.class);
            'machines: for (i, _) in fits {
                loop {
                    if budget == 0 {
                        return;
                    }
                    let r = &mut rooms[i];
                    if !need.fits(&r.free) {
                        break;
                    }
                    // Guard: a team's tasks never use more than its limit,
                    // counted from the plan until proof of the end.
                    if let Some(t) = team {
                        let (_, cpus_max, _, gpus_max) = self.teams[t];
                        if (cpus_max > 0.0 && team_used[t].0 + need.cpus > cpus_max + EPSILON)
                            || (gpus_max > 0.0 && team_used[t].1 + need.gpus > gpus_max + EPSILON)
                        {
                            break 'machines;
                        }
                    }
                    let Some(m) = self.machines.get_mut(&r.id) else { break };
                    let in_zones = zones.entry(id).or_default();
                    // Guards against `wrong_place`, given the job's other tasks.
                    if spec.one_zone && in_zones.keys().any(|z| *z != m.zone) {
                        break;
                    }
                    // A task on a machine whose zone is not yet known may be in this one.
                    let there =
                        in_zones.get(&m.zone).unwrap_or(&0) + in_zones.get("").unwrap_or(&0);
                    if spec.spread && there >= half {
                        break;
                    }
                    let Some(index) = job.next_task(now) else { break 'machines };
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
                    self.plans.push_back((r.id, task));
                    *in_zones.entry(m.zone.clone()).or_default() += 1;
                    r.used = true;
                    r.free.sub(&need);
                    job.retry.remove(&index);
                    *job.live.entry(index).or_insert(0) += 1;
                    if let Some(t) = team {
                        team_used[t].0 += need.cpus;
                        team_used[t].1 += need.gpus;
                    }
                    budget -= 1;
                }
            }
            let waiting = job.waiting();
            if let (Some(within), true) = (waiting_for, waiting > 0 && late < 2) {
                let age = age_s(wall, &spec);
                pressed.push(Pressed {
                    urgency: spec.urgency,
                    cpus: f64::from(waiting) * need.cpus,
                    within_s: (within - age).max(1.0),
                    spec,
                });
            }
        }
        self.preempt(now, &pressed, shapes);
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
        }
    }
}
