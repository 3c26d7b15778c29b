//! First fit: which waiting task goes where, and what makes room for it.

use super::preemption::{PreemptionClaim, PreemptionPlan, PreemptionReason};
use super::*;

/// A machine with room, as one round of planning sees it.
pub(super) struct MachineCapacity {
    pub id: MachineId,
    pub machine_type: usize,
    pub free: Resources,
    used: bool,
    /// Nothing sent there left a trace lately: one task is enough to try it.
    doubtful: bool,
}

/// One round of planning: what is free, and what each team uses.
pub(super) struct SchedulingCycle<'a> {
    pub settings: &'a Settings,
    pub machine_types: &'a [MachineType],
    pub capacities: Vec<MachineCapacity>,
    pub team_used: Vec<(f64, f64)>,
    pub zones: BTreeMap<JobId, BTreeMap<String, u32>>,
    pub(super) budget: usize,
    /// No machine has more CPUs free.
    widest: f64,
    /// What is placed now gets its room as one that has risen.
    pub(super) rising: bool,
    /// Machines where a task is about to end, once asked for.
    soon: Option<Vec<UpcomingExits>>,
    /// Where room can be made, once asked for.
    pub(super) making: Option<PreemptionPlan>,
}

/// A machine where something is about to end.
struct UpcomingExits {
    id: MachineId,
    /// Tasks that may end: seconds left, and their CPUs.
    ends: Vec<(f64, f64)>,
    /// The most urgent that waits there already.
    ahead: Option<Urgency>,
}

/// A waiting job's place in the order.
pub(super) struct PendingJob {
    pub id: JobId,
    /// What its team's guarantee still lets start at once, urgency, what can no
    /// longer be in time, borrowed room: lowest first.
    pub(super) rank: (bool, u8, u8, bool),
    left: f64,
    /// So late that it may not wait for a machine that has its image.
    pub(super) pressing: bool,
    pub(super) wait_s: Option<f64>,
    /// One of its class's largest that has waited long enough to begin, with one task.
    begins: bool,
    /// By when it should be done, seconds after its submission.
    pub(super) by_s: Option<f64>,
    /// Of one task.
    cpus: f64,
}

/// Which machines a job may take in one pass over the order.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementPass {
    Pressing,
    /// Only where the image is: a fetch costs a place a quarter of a task's
    /// time, and another job whose image is there may have it meanwhile.
    WithImage,
    Any,
}

/// Within so many seconds a class's largest jobs have to begin.
const BEGIN_S: f64 = 240.0;
/// Part of that after which a job goes before others of its urgency.
const BEGIN_PART: f64 = 0.6;
/// Jobs of this part of their class's largest count among the largest.
const LARGE: f64 = 0.75;
/// Jobs that make room for themselves in one round.
const MAX_CLAIMS: usize = 24;

/// Part of the time to its aim that a job leaves to others' images.
const PATIENT: f64 = 0.7;

/// Why a job may not use a machine, whatever room it has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnschedulableReason {
    MachineType,
    Zone,
    Spot,
}

pub(super) fn unschedulable_reason(
    spec: &JobSpec,
    machine_type: &MachineType,
    m: &Machine,
) -> Option<UnschedulableReason> {
    if spec
        .machine_types
        .as_ref()
        .is_some_and(|s| !s.contains(&machine_type.label))
    {
        Some(UnschedulableReason::MachineType)
    } else if spec.zone.as_ref().is_some_and(|z| *z != m.zone) {
        Some(UnschedulableReason::Zone)
    } else if m.spot && !spec.spot {
        Some(UnschedulableReason::Spot)
    } else {
        None
    }
}

/// Whether a job may use this machine at all.
pub(super) fn allows(spec: &JobSpec, machine_type: &MachineType, m: &Machine) -> bool {
    unschedulable_reason(spec, machine_type, m).is_none()
}

/// Why a machine gets no tasks at all for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BlockingReason {
    Silent,
    Unsynced,
    Refusing,
    Deaf,
    Taken,
    Leaving,
    Drained,
    Sick,
    Slow,
}

/// Why a job is passed over in the order.
pub(super) enum PauseReason {
    Over,
    Failures,
    Nothing,
    Frozen(Rc<Directive>),
}

/// Which of a team's limits one task more would pass.
pub(super) struct QuotaExceeded {
    pub resource: &'static str,
    pub used: f64,
    pub wanted: f64,
    pub limit: f64,
}

/// Guards against `wrong_place`, given where the job's other tasks are.
pub(super) fn zone_barred(spec: &JobSpec, in_zones: &BTreeMap<String, u32>, zone: &str) -> bool {
    if spec.single_zone && in_zones.keys().any(|z| z != zone) {
        return true;
    }
    // A task on a machine whose zone is not yet known may be in this one.
    let there = in_zones.get(zone).unwrap_or(&0) + in_zones.get("").unwrap_or(&0);
    spec.spread && there >= spec.tasks.div_ceil(2)
}

impl Scheduler {
    pub(super) fn plan(
        &mut self,
        now: Time,
        wall: WallMs,
        settings: &Settings,
        machine_types: &[MachineType],
    ) {
        self.obey(now, wall);
        self.settle_ahead(now, machine_types);
        let mut round = self.round(now, settings, machine_types);
        let guaranteed = self.guaranteed();
        let order = self.order(now, wall, &round, &guaranteed);
        // Where its team's limit is in its way no room helps: kept for it, a machine
        // would stand idle for as long.
        let limited = |id: JobId| {
            let job = self.jobs.get(&id);
            let team = job.and_then(|j| Some((self.team(&j.spec)?, j.resources())));
            team.is_some_and(|(t, resources)| {
                self.over_limit(round.team_used[t], t, &resources).is_some()
            })
        };
        let begins = order.iter().filter(|w| w.begins && !limited(w.id));
        let begins: Vec<JobId> = begins.map(|w| w.id).collect();
        let mut keep = self.risen(now, wall);
        keep.extend(&begins);
        self.keep_reserved(now, machine_types, &keep);
        let mut claims: Vec<PreemptionClaim> = Vec::new();
        let ceiling = u8::MAX - self.aging.ceiling() as u8;
        let mut lane_due = true;
        for group in order.chunk_by(|a, b| a.rank == b.rank) {
            // Those who have risen come behind what is more urgent than the
            // ceiling and behind prompt guaranteed work, and ahead of all others.
            let below = group
                .first()
                .is_some_and(|w| w.rank.0 && w.rank.1 >= ceiling);
            if below && std::mem::take(&mut lane_due) {
                self.fill_lane(now, wall, &mut round);
            }
            for pass in [
                PlacementPass::Pressing,
                PlacementPass::WithImage,
                PlacementPass::Any,
            ] {
                for w in group
                    .iter()
                    .filter(|w| w.pressing == (pass == PlacementPass::Pressing))
                {
                    if round.budget == 0 {
                        return;
                    }
                    // In a full fleet a queue costs one look at each job, not
                    // one at each machine for each job.
                    if w.cpus > round.widest + EPSILON {
                        continue;
                    }
                    let most = if w.begins { 1 } else { u32::MAX };
                    self.fill(now, &mut round, w.id, pass, most);
                }
            }
            let capacities = &round.capacities;
            round.widest = capacities.iter().map(|r| r.free.cpus).fold(0.0, f64::max);
            for w in group {
                if !w.rank.0 {
                    let claim = PreemptionClaim {
                        job: w.id,
                        why: PreemptionReason::Guarantee,
                        within_s: 0.0,
                    };
                    self.make_room(now, wall, &mut round, &claim, &guaranteed);
                }
                // What may not wait makes room for itself instead.
                if w.wait_s.is_none() {
                    self.fill_ahead(now, &mut round, w);
                }
                claims.extend(self.claim(wall, w));
            }
        }
        self.reserve_to_begin(now, &round, &begins);
        for claim in claims.iter().take(MAX_CLAIMS) {
            self.make_room(now, wall, &mut round, claim, &guaranteed);
        }
    }

    pub(super) fn round<'a>(
        &self,
        now: Time,
        settings: &'a Settings,
        machine_types: &'a [MachineType],
    ) -> SchedulingCycle<'a> {
        let mut round = SchedulingCycle {
            settings,
            machine_types,
            capacities: Vec::new(),
            team_used: vec![(0.0, 0.0); self.teams.len()],
            zones: BTreeMap::new(),
            // No more than the next few transactions can carry.
            budget: (blocks::rows_per_page(self.value_limit) * 4).saturating_sub(self.plans.len()),
            widest: 0.0,
            rising: false,
            soon: None,
            making: None,
        };
        for (id, m) in &self.machines {
            let free = m.unpromised(machine_types);
            for (task, e) in &m.allocations {
                // Guard: what is to be stopped counts until the proof that it is gone.
                let forgotten = e.kill.is_some() && broken!(self.faults, forget_stopped);
                if let Some(t) = e.team.filter(|_| !forgotten) {
                    round.team_used[t].0 += e.resources.cpus;
                    round.team_used[t].1 += e.resources.gpus;
                }
                if self
                    .jobs
                    .get(&task.job)
                    .is_some_and(|j| j.spec.single_zone || j.spec.spread)
                {
                    let zones = round.zones.entry(task.job).or_default();
                    *zones.entry(m.zone.clone()).or_default() += 1;
                }
            }
            for o in &m.orphans {
                if let Some(t) = o.team {
                    round.team_used[t].0 += o.resources.cpus;
                    round.team_used[t].1 += o.resources.gpus;
                }
                // Guards against `wrong_place`: it may stand in the way of its own job.
                if self
                    .jobs
                    .get(&o.task.job)
                    .is_some_and(|j| j.spec.single_zone || j.spec.spread)
                {
                    let zones = round.zones.entry(o.task.job).or_default();
                    *zones.entry(m.zone.clone()).or_default() += 1;
                }
            }
            if let Some(machine_type) = m
                .machine_type
                .filter(|_| free.cpus > EPSILON && self.usable(now, m))
            {
                round.widest = round.widest.max(free.cpus);
                let doubtful = m.ack_tracker.unacknowledged_for_s(now).is_some();
                if doubtful && !m.is_empty() {
                    continue;
                }
                round.capacities.push(MachineCapacity {
                    id: *id,
                    machine_type,
                    free,
                    used: !m.is_empty(),
                    doubtful,
                });
            }
        }
        round
    }

    /// Whether a machine may get tasks.
    pub(super) fn usable(&self, now: Time, m: &Machine) -> bool {
        self.blocking_reason(now, m).is_none()
    }

    /// What keeps all tasks from a machine.
    pub(super) fn blocking_reason(&self, now: Time, m: &Machine) -> Option<BlockingReason> {
        let alive = m
            .last_heartbeat
            .is_some_and(|h| now.since(h) < self.silent_s());
        let all = [
            (m.drain.is_some(), BlockingReason::Drained),
            (m.draining, BlockingReason::Leaving),
            (!alive || !m.steady, BlockingReason::Silent),
            (!m.has_our_token, BlockingReason::Unsynced),
            (m.reclaim, BlockingReason::Taken),
            (m.quarantined, BlockingReason::Sick),
            (m.slow, BlockingReason::Slow),
            (now < m.refuses_until, BlockingReason::Refusing),
            (m.ack_tracker.in_backoff(now), BlockingReason::Deaf),
        ];
        all.into_iter()
            .find(|(holds, _)| *holds)
            .map(|(_, why)| why)
    }

    /// Why a job gets no room this time, before any machine is looked at.
    pub(super) fn pause(&self, now: Time, id: JobId, j: &Job) -> Option<PauseReason> {
        if j.state != JobState::Open {
            return Some(PauseReason::Over);
        }
        if let Some(freeze) = self
            .active_directives
            .freeze_of(&j.spec.team, &j.spec.class)
        {
            return Some(PauseReason::Frozen(freeze.clone()));
        }
        // What fails everywhere is tried with one task at a time.
        let blamed = self.fault_attribution.job_retry_at(id);
        if j.hold_until > now || blamed.is_some_and(|until| until > now || j.busy() > 0) {
            return Some(PauseReason::Failures);
        }
        (j.waiting() == 0).then_some(PauseReason::Nothing)
    }

    /// Guard: a team's tasks never use more than its limit, counted from the
    /// plan until proof of the end.
    pub(super) fn over_limit(
        &self,
        used: (f64, f64),
        team: usize,
        resources: &Resources,
    ) -> Option<QuotaExceeded> {
        let (_, cpus_max, _, gpus_max) = self.teams[team];
        let limits = [
            ("CPUs", used.0, resources.cpus, cpus_max),
            ("GPUs", used.1, resources.gpus, gpus_max),
        ];
        let over = |(_, used, wanted, limit): &(&str, f64, f64, f64)| {
            *limit > 0.0 && used + wanted > limit + EPSILON
        };
        let found = limits.into_iter().find(over);
        found.map(|(resource, used, wanted, limit)| QuotaExceeded {
            resource,
            used,
            wanted,
            limit,
        })
    }

    /// How far ahead the end of a task is looked for: a machine that must wait
    /// for its next report to get work stands idle for so long.
    pub(super) fn horizon_s(&self) -> f64 {
        self.report_s * 2.0 + 1.0
    }

    /// What was placed ahead and fits by now counts like the rest; what has
    /// waited in vain returns, for `run` never went out for it.
    fn settle_ahead(&mut self, now: Time, machine_types: &[MachineType]) {
        let patience = self.horizon_s() * 2.0;
        let mut ended = Vec::new();
        for (id, m) in &mut self.machines {
            if m.allocations.values().all(|e| e.ahead.is_none()) {
                continue;
            }
            let mut free = m.unpromised(machine_types);
            let kept = |e: &Allocation| e.kept && !e.may_be_there();
            m.allocations
                .values()
                .filter(|e| kept(e))
                .for_each(|e| free.add(&e.resources));
            let mut ahead: Vec<(&TaskId, &mut Allocation)> = m
                .allocations
                .iter_mut()
                .filter(|(_, e)| e.ahead.is_some())
                .collect();
            // Kept places first, the one that was asked for first in front.
            ahead.sort_by_key(|(_, e)| (!e.kept, e.attempt));
            for (task, e) in ahead {
                let Some(since) = e.ahead else { continue };
                let fits = e.resources.fits(&free);
                if fits || e.kept {
                    free.sub(&e.resources);
                }
                if fits {
                    (e.ahead, e.kept) = (None, false);
                } else if now.since(since) > patience && !self.places.owed(*task, e.attempt) {
                    ended.push((*id, *task));
                }
            }
        }
        for (machine, task) in ended {
            self.end(now, machine, task, false, 0.0);
        }
    }

    /// Machines where tasks are about to end, by estimates that are often wrong:
    /// one that has run over its time may end at any moment.
    fn soon(&self, now: Time) -> Vec<UpcomingExits> {
        let horizon = self.horizon_s();
        let mut soon = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| self.usable(now, m)) {
            let mut ends = Vec::new();
            let mut ahead: Option<Urgency> = None;
            for (task, e) in &m.allocations {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                if e.ahead.is_some() {
                    ahead = ahead.max(Some(job.spec.urgency));
                }
                let (TaskState::Observed(TaskPhase::Running), Some(started)) = (e.state, e.started)
                else {
                    continue;
                };
                let run_s = self.run_s(job);
                let left = (run_s - now.since(started)).max(0.0);
                if job.spec.kind == JobKind::Batch && left < horizon {
                    ends.push((left, e.resources.cpus));
                }
            }
            if !ends.is_empty() {
                soon.push(UpcomingExits {
                    id: *id,
                    ends,
                    ahead,
                });
            }
        }
        soon
    }

    /// Places tasks on machines where others are about to end, so that they run
    /// with the answer to the report that says so.
    fn fill_ahead(&mut self, now: Time, round: &mut SchedulingCycle, w: &PendingJob) {
        let (id, pressing) = (w.id, w.pressing);
        let Some(job) = self.jobs.get(&id).filter(|j| j.waiting() > 0) else {
            return;
        };
        let spec = job.spec.clone();
        let resources = resources_of(&spec);
        if round.budget == 0 || spec.single_zone || spec.spread || spec.kind != JobKind::Batch {
            return;
        }
        let mut soon = match round.soon.take() {
            Some(soon) => soon,
            None => self.soon(now),
        };
        let mut fits: Vec<(bool, f64, usize)> = Vec::new();
        for (i, s) in soon.iter().enumerate() {
            let Some(m) = self.machines.get(&s.id) else {
                continue;
            };
            let Some(machine_type) = m.machine_type.and_then(|s| round.machine_types.get(s)) else {
                continue;
            };
            // A fetch that takes longer than the wait for a report saves nothing.
            let image = m.images.contains(&spec.image);
            let quick = spec.image_gb < self.report_s * machine_type.fetch_gb_per_s;
            let allowed = (image || quick || pressing) && allows(&spec, machine_type, m);
            let kept = self.kept_from(now, s.id, id);
            if !allowed || kept || s.ahead.is_some_and(|u| u >= spec.urgency) {
                continue;
            }
            // What ends must leave room enough, whatever else comes.
            let ends = s
                .ends
                .iter()
                .filter(|(_, cpus)| *cpus + EPSILON >= resources.cpus);
            if let Some(left) = ends.map(|(left, _)| *left).min_by(f64::total_cmp) {
                fits.push((!image, left, i));
            }
        }
        fits.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let most = if w.begins { 1 } else { usize::MAX };
        for (_, _, i) in fits.into_iter().take(most) {
            let machine = soon[i].id;
            if self.put(now, round, machine, id, Some(now)).is_none() {
                break;
            }
            soon[i].ahead = Some(spec.urgency);
        }
        round.soon = Some(soon);
    }

    /// Plans the job's next task for a machine; none when none may start.
    pub(super) fn put(
        &mut self,
        now: Time,
        round: &mut SchedulingCycle,
        machine: MachineId,
        id: JobId,
        ahead: Option<Time>,
    ) -> Option<TaskId> {
        let resources = self.jobs.get(&id).map(Job::resources)?;
        let team = self
            .jobs
            .get(&id)
            .and_then(|j| round.settings.team(&j.spec.team));
        if team.is_some_and(|t| self.over_limit(round.team_used[t], t, &resources).is_some()) {
            return None;
        }
        if round.budget == 0 {
            return None;
        }
        let (job, m) = (self.jobs.get_mut(&id)?, self.machines.get_mut(&machine)?);
        let index = job.next_task(now)?;
        if job.busy() > 0 && self.fault_attribution.is_job_faulty(id) {
            return None;
        }
        let task = TaskId { job: id, index };
        if m.allocations.contains_key(&task) {
            return None;
        }
        self.next_attempt += 1;
        let attempt = Attempt(self.next_attempt);
        let mut entry = Allocation::planned(attempt, resources, team, now, ahead);
        entry.lane = round.rising;
        m.allocations.insert(task, entry);
        self.event_log.placed(job.spec.submitted);
        self.event_log.note(|| What::Placed {
            task: task.to_string(),
            machine: machine.to_string(),
            ahead: ahead.is_some(),
        });
        // It will be fetched for this task: the next need not wait.
        m.remember_image(&job.spec.image);
        self.plans.push_back((machine, task));
        let zones = round.zones.entry(id).or_default();
        *zones.entry(m.zone.clone()).or_default() += 1;
        job.retry.remove(&index);
        *job.live.entry(index).or_insert(0) += 1;
        if let Some(t) = team {
            round.team_used[t].0 += resources.cpus;
            round.team_used[t].1 += resources.gpus;
        }
        if let (Some(making), None) = (&mut round.making, ahead) {
            making.sites.used(machine, &resources.sizes());
        }
        round.budget -= 1;
        Some(task)
    }

    /// Jobs that fit into their team's guarantee together with its earlier
    /// unfinished jobs: they need not wait for other teams.
    pub(super) fn guaranteed(&self) -> BTreeSet<JobId> {
        let mut within = BTreeSet::new();
        if self
            .teams
            .iter()
            .all(|(cpus, _, gpus, _)| *cpus <= 0.0 && *gpus <= 0.0)
        {
            return within;
        }
        let open = |j: &Job| j.state == JobState::Open && !j.complete();
        let mut by_age: Vec<(u64, JobId)> = self
            .jobs
            .iter()
            .filter(|(_, j)| open(j))
            .map(|(id, j)| (j.spec.submitted, *id))
            .collect();
        by_age.sort();
        let mut used = vec![(0.0, 0.0); self.teams.len()];
        for (_, id) in by_age {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let Some(t) = self.team(&job.spec) else {
                continue;
            };
            let left = f64::from(job.spec.tasks.saturating_sub(job.progress.count()));
            used[t].0 += left * job.spec.cpus;
            used[t].1 += left * job.spec.gpus;
            let (cpus, _, gpus, _) = self.teams[t];
            let fits = (cpus > 0.0 || gpus > 0.0)
                && used[t].0 <= cpus + EPSILON
                && (job.spec.gpus == 0.0 || used[t].1 <= gpus + EPSILON);
            if fits {
                within.insert(id);
            }
        }
        within
    }

    /// Stops a task that makes room, with the time it needs to save.
    pub(super) fn stop(&mut self, machine: MachineId, task: TaskId, why: &str) {
        self.event_log.note(|| What::Stopped {
            task: task.to_string(),
            machine: machine.to_string(),
            why: why.to_string(),
        });
        let save_s = self
            .jobs
            .get(&task.job)
            .map_or(0.0, |j| j.spec.checkpoint_duration_s);
        if let Some(e) = self.entry(machine, task) {
            e.kill = Some(save_s);
        }
        self.stops.insert(machine);
    }

    /// The waiting jobs, in the order in which they get room.
    pub(super) fn order(
        &self,
        now: Time,
        wall: WallMs,
        round: &SchedulingCycle,
        guaranteed: &BTreeSet<JobId>,
    ) -> Vec<PendingJob> {
        let mut order = Vec::new();
        let bound = round
            .settings
            .aim("guarantee", "")
            .unwrap_or(self.horizon_s());
        for (id, j) in &self.jobs {
            if self.pause(now, *id, j).is_some() {
                continue;
            }
            let spec = &j.spec;
            let run_s = self.run_s(j);
            let age = age_s(wall, spec);
            let left = spec.due_s.map_or(-age, |d| d - age);
            // A job that can no longer make its deadline lets those pass that
            // can; among the late the longest goes first, so that none drags
            // on alone at the end.
            let late = spec.due_s.is_some() && left < run_s * 0.7;
            let wait_s = round.settings.aim("wait", &spec.class);
            let aim = round.settings.aim("finished", &spec.class);
            let pressing = match (spec.due_s, aim) {
                (Some(due), _) => left - run_s < due * (1.0 - PATIENT),
                (None, Some(aim)) => age > aim * PATIENT,
                (None, None) => age > run_s,
            };
            let by_s = spec.due_s.or(aim);
            // Of those that can make it, the one with the least work left goes
            // first: where not all can be in time, most jobs are. Arrays without
            // a deadline keep their order of arrival.
            let left = match (late, wait_s.is_some() || spec.due_s.is_none()) {
                (true, _) => -run_s,
                (false, true) => left,
                (false, false) => f64::from(j.waiting()) * run_s,
            };
            // Likewise what can still start within its class's aim goes before
            // what has already waited longer.
            let late = if late {
                2
            } else {
                u8::from(wait_s.is_some_and(|w| age > w))
            };
            // Of its class's largest jobs, what might not begin within the time that the
            // protocol bears begins first, with one task: by urgency and least work
            // alone these would be last for ever. (With all of its tasks it was tried:
            // prairie-fleet `loss` 0.69 to 0.61 and 0.63.)
            let largest = || self.largest.get(&*spec.class).copied().unwrap_or(0.0);
            let begins = age > BEGIN_S * BEGIN_PART
                && j.live.is_empty()
                && j.progress.count() == 0
                && size_of(spec) >= largest() * LARGE;
            // Once the aim on guaranteed work is missed, it waits its turn: what
            // is stopped for it later costs others and meets no aim.
            let within = guaranteed.contains(id);
            let prompt = within && age <= bound;
            let mut rank = (!prompt, u8::MAX - spec.urgency as u8, late, !within);
            if begins {
                rank = (rank.0, u8::MAX - Urgency::Critical as u8, 0, !within);
            }
            order.push(PendingJob {
                id: *id,
                rank,
                left,
                pressing,
                wait_s,
                by_s,
                begins,
                cpus: spec.cpus,
            });
        }
        order.sort_by(|a, b| a.rank.cmp(&b.rank).then(a.left.total_cmp(&b.left)));
        order
    }

    /// Puts as many tasks of one job on machines as there is room for.
    /// How many were placed: `most` of them at most.
    pub(super) fn fill(
        &mut self,
        now: Time,
        round: &mut SchedulingCycle,
        id: JobId,
        pass: PlacementPass,
        most: u32,
    ) -> u32 {
        let Some(job) = self.jobs.get(&id) else {
            return 0;
        };
        let spec = job.spec.clone();
        let resources = resources_of(&spec);
        // First fit: the smaller type first, so that large machines stay
        // free for tasks that fit nowhere else; then where the image is;
        // then the fuller machine, so that others can empty.
        let (machines, machine_types) = (&self.machines, round.machine_types);
        let barred = self.fault_attribution.avoided_machines(now, id);
        let mut fits: Vec<(usize, (bool, bool, bool, i64))> = round
            .capacities
            .iter()
            .enumerate()
            .filter(|(_, r)| resources.fits(&r.free) && !self.kept_from(now, r.id, id))
            .filter(|(_, r)| barred.is_none_or(|on| !on.contains(r.id.number())))
            .filter_map(|(i, r)| {
                let m = machines.get(&r.id)?;
                let machine_type = machine_types.get(r.machine_type)?;
                let image = m.images.contains(&spec.image);
                // Spot machines first among equals, so that dear ones empty.
                let key = (!m.spot, !image, !r.used, (r.free.cpus * 1000.0) as i64);
                let here =
                    allows(&spec, machine_type, m) && (image || pass != PlacementPass::WithImage);
                here.then_some((i, key))
            })
            .collect();
        fits.sort_by(|(a, ka), (b, kb)| {
            let size = |i: &usize| {
                machine_types
                    .get(round.capacities[*i].machine_type)
                    .map_or(0.0, |s| s.cpus)
            };
            let doubtful = |i: &usize| round.capacities[*i].doubtful;
            let sure = doubtful(a).cmp(&doubtful(b));
            sure.then(size(a).total_cmp(&size(b))).then(ka.cmp(kb))
        });
        let mut placed = 0;
        for (i, _) in fits {
            while placed < most && resources.fits(&round.capacities[i].free) {
                let machine = round.capacities[i].id;
                let Some(zone) = self.machines.get(&machine).map(|m| m.zone.as_str()) else {
                    break;
                };
                if zone_barred(&spec, round.zones.entry(id).or_default(), zone) {
                    break;
                }
                if self.put(now, round, machine, id, None).is_none() {
                    return placed;
                }
                placed += 1;
                round.capacities[i].used = true;
                if round.capacities[i].doubtful {
                    round.capacities[i].free = Resources::default();
                    break;
                }
                round.capacities[i].free.sub(&resources);
            }
        }
        placed
    }
}
