//! Making room: the one place where tasks are stopped for others.
//!
//! The rules are those of `beamhinge_preemption`; here they meet the books. A place is
//! an entry like any other: planned for one machine, committed before `run`, and
//! counted against its team's limit from the start. Nothing is sent before the
//! room is there, so all guards of placing hold for it.

use super::plan::{allows, PendingJob, SchedulingCycle};
use super::*;
use beamhinge_preemption::{End, Keep, Offer, Party, Resident, Site, Sites};

/// Part of its run time up to which a task counts as hardly begun.
pub(super) const YOUNG: f64 = 0.15;
/// Part of the room that is divided among the parties as theirs.
const KEEPS: f64 = 0.25;
/// Between two looks at all that could be stopped, seconds: until a stopped task's
/// end is reported it takes longer.
const PAUSE_S: f64 = 0.25;
/// What a stop costs a task that saves, beside the time to save: it is fetched and
/// started anew.
const AGAIN_S: f64 = 5.0;

/// Why somebody may have others stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PreemptionReason {
    /// It is within its team's guarantee.
    Guarantee,
    /// Its class has an aim on the wait.
    Wait,
    /// Its time is running out, and idle-time work is in its way.
    Deadline,
}

/// A job that found no room and may have some made.
pub(super) struct PreemptionClaim {
    pub job: JobId,
    pub why: PreemptionReason,
    /// What comes free within so many seconds is in time.
    pub within_s: f64,
}

/// One round of making room: where, and what everybody holds.
pub(super) struct PreemptionPlan {
    pub sites: Sites,
    victims: Vec<VictimProfile>,
    /// What each team uses beyond its guarantee, without what is being stopped.
    over: Vec<f64>,
    keep: Keep,
    /// What was looked for in vain: the same or more by the same right is not.
    vain: Vec<(VictimScope, Resources)>,
}

/// What decides where a claim may have whom stopped.
#[derive(Clone, PartialEq)]
struct VictimScope {
    why: PreemptionReason,
    urgency: Urgency,
    team: Option<usize>,
    machine_types: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

/// What is fixed about a task that may be stopped.
struct VictimProfile {
    urgency: Urgency,
    team: Option<usize>,
    party: Party,
    young: bool,
    /// Best effort, and nobody waits for it by a time.
    idle_time: bool,
    saves: bool,
    left_s: f64,
    guaranteed: bool,
    /// After a takeover nobody knows how long it has run.
    known: bool,
    /// It was stopped too often, or has risen.
    spared: bool,
    rose: bool,
}

impl Scheduler {
    /// What a waiting job may ask for, if anything.
    pub(super) fn claim(&self, wall: WallMs, w: &PendingJob) -> Option<PreemptionClaim> {
        let job = self.jobs.get(&w.id).filter(|j| j.waiting() > 0)?;
        let (spec, age) = (&job.spec, age_s(wall, &job.spec));
        if let Some(within) = w.wait_s.filter(|_| w.rank.2 < 2) {
            return Some(PreemptionClaim {
                job: w.id,
                why: PreemptionReason::Wait,
                within_s: (within - age).max(1.0),
            });
        }
        // Idle-time work keeps nobody out who is pressed: by a deadline, by its
        // class's aim, or, without either, by having waited as long as it runs. What
        // is late already waits for the ends within one task's time.
        if spec.urgency == Urgency::BestEffort || !w.pressing {
            return None;
        }
        let slack = w.by_s.map_or(0.0, |by| by - age - self.run_s(job));
        Some(PreemptionClaim {
            job: w.id,
            why: PreemptionReason::Deadline,
            within_s: slack.max(self.horizon_s()),
        })
    }

    /// Makes room for a job's waiting tasks, as far as it may and places go.
    pub(super) fn make_room(
        &mut self,
        now: Time,
        wall: WallMs,
        round: &mut SchedulingCycle,
        claim: &PreemptionClaim,
        guaranteed: &BTreeSet<JobId>,
    ) {
        #[cfg(feature = "faults")]
        if self.faults.scattered {
            return self.scatter(now, round, claim);
        }
        let Some(job) = self.jobs.get(&claim.job).filter(|j| j.waiting() > 0) else {
            return;
        };
        let (spec, resources, mut wanted) = (job.spec.clone(), job.resources(), job.waiting());
        let limited =
            spec.single_zone || spec.spread || self.fault_attribution.is_job_faulty(claim.job);
        // Out of touch with the state service no place can be committed: whoever is
        // stopped now is stopped for nobody.
        if limited || self.places.room() == 0 || round.budget == 0 || !self.in_touch {
            return;
        }
        let mut making = match round.making.take() {
            Some(making) => making,
            None if now.since(self.room_at) < PAUSE_S => return,
            None => {
                self.room_at = now;
                self.plan_preemption(now, wall, round, guaranteed)
            }
        };
        let right = VictimScope {
            why: claim.why,
            urgency: spec.urgency,
            team: self.team(&spec),
            machine_types: spec.machine_types.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
        };
        let mut places = Vec::new();
        if !making
            .vain
            .iter()
            .any(|(r, less)| *r == right && less.fits(&resources))
        {
            places = self.seek(now, round, claim, &mut making, &right, &mut wanted);
            let stopping = places.iter().filter(|(_, o)| !o.victims.is_empty()).count();
            if wanted > 0 && stopping < self.places.room() && places.len() < round.budget {
                making.vain.push((right, resources));
            }
        }
        round.making = Some(making);
        for (machine, offer) in places {
            let Some(task) = self.put(now, round, machine, claim.job, Some(now)) else {
                break;
            };
            let Some(e) = self.entry(machine, task) else {
                continue;
            };
            e.kept = true;
            let attempt = e.attempt;
            self.places.ask(now, task, attempt, machine, &offer);
            for r in offer.victims {
                let why = match claim.why {
                    PreemptionReason::Guarantee => "gives back borrowed room",
                    PreemptionReason::Wait => "makes room for more urgent work",
                    PreemptionReason::Deadline => "idle-time work makes room for what is pressed",
                };
                tracing::info!("{} on {machine}: {why}, {task}", r.task);
                self.made_room.stopped(r.task);
                self.stop(machine, r.task, why);
            }
        }
    }

    /// Places for as many of a claim's tasks as may have one now.
    fn seek(
        &self,
        now: Time,
        round: &SchedulingCycle,
        claim: &PreemptionClaim,
        making: &mut PreemptionPlan,
        right: &VictimScope,
        wanted: &mut u32,
    ) -> Vec<(MachineId, Offer)> {
        let mut places = Vec::new();
        let Some(spec) = self.jobs.get(&claim.job).map(|j| j.spec.clone()) else {
            return places;
        };
        let resources = resources_of(&spec);
        let (want, machine_types) = (resources.sizes(), round.machine_types);
        let above = claim.why == PreemptionReason::Guarantee || spec.urgency > self.aging.ceiling();
        let barred = self.fault_attribution.avoided_machines(now, claim.job);
        let here = |id: MachineId| {
            let Some(m) = self.machines.get(&id) else {
                return false;
            };
            let machine_type = m.machine_type.and_then(|s| machine_types.get(s));
            machine_type.is_some_and(|s| resources.fits(&s.room()) && allows(&spec, s, m))
                && !self.kept_from(now, id, claim.job)
                && barred.is_none_or(|on| !on.contains(id.number()))
        };
        let PreemptionPlan {
            sites,
            victims,
            over,
            keep,
            ..
        } = making;
        // Ends that come in time are waited for; a guarantee's time is too short.
        if claim.why != PreemptionReason::Guarantee {
            *wanted -= sites.coming(want, *wanted, claim.within_s, here);
        }
        let mut stopping = 0;
        while *wanted > 0 && stopping < self.places.room() && places.len() < round.budget {
            let may = |r: &Resident| {
                let Some(v) = victims.get(r.who as usize) else {
                    return false;
                };
                if v.spared || v.rose && !above {
                    return false;
                }
                let less = v.urgency < right.urgency && keep.may_take(&v.party, r.size[0]);
                match claim.why {
                    PreemptionReason::Guarantee => {
                        let borrowed = v.team.is_some_and(|t| over[t] >= r.size[0]);
                        v.team != right.team && borrowed && v.young && v.known && !v.guaranteed
                    }
                    PreemptionReason::Wait => less && (v.young || v.idle_time && v.saves),
                    PreemptionReason::Deadline => {
                        let long = v.left_s > claim.within_s;
                        less && v.idle_time && (v.saves || v.young || v.known && long)
                    }
                }
            };
            let fetch_s = |id: MachineId| {
                let Some(m) = self.machines.get(&id) else {
                    return 0.0;
                };
                if m.images.contains(&spec.image) {
                    return 0.0;
                }
                let machine_type = m.machine_type.and_then(|s| machine_types.get(s));
                spec.image_gb / machine_type.map_or(1.0, |s| s.fetch_gb_per_s).max(0.01)
                    * resources.cpus
            };
            let Some((machine, offer)) = sites.take(want, may, here, fetch_s) else {
                break;
            };
            for r in &offer.victims {
                let Some(v) = victims.get(r.who as usize) else {
                    continue;
                };
                keep.took(&v.party, r.size[0]);
                if let Some(over) = v.team.and_then(|t| over.get_mut(t)) {
                    *over -= r.size[0];
                }
            }
            stopping += usize::from(!offer.victims.is_empty());
            places.push((machine, offer));
            *wanted -= 1;
        }
        places
    }

    /// Where room can be made, and what everybody holds.
    fn plan_preemption(
        &self,
        now: Time,
        wall: WallMs,
        round: &SchedulingCycle,
        guaranteed: &BTreeSet<JobId>,
    ) -> PreemptionPlan {
        let (mut sites, mut victims) = (Vec::new(), Vec::new());
        let (limit, spared_s) = (self.aging.stops(), self.aging.spared_s());
        let mut over: Vec<f64> = self.teams.iter().map(|t| -t.0).collect();
        let mut keep = Keep::new(KEEPS);
        let mut by_shape = vec![0.0; round.machine_types.len()];
        let horizon = self.horizon_s().max(60.0);
        for (id, m) in &self.machines {
            for e in m.allocations.values().filter(|e| e.kill.is_none()) {
                if let Some(over) = e.team.and_then(|t| over.get_mut(t)) {
                    *over += e.resources.cpus;
                }
            }
            let Some(s) = m.machine_type.filter(|_| self.usable(now, m)) else {
                continue;
            };
            let Some(machine_type) = round.machine_types.get(s) else {
                continue;
            };
            by_shape[s] += machine_type.cpus;
            let mut free = m.unpromised(round.machine_types);
            let (mut yields, mut ends) = (Vec::new(), Vec::new());
            for (task, e) in &m.allocations {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let seen = matches!(e.state, TaskState::Observed(_));
                if e.kill.is_some() {
                    // It is on its way out, and its room is spoken for or free.
                    if e.may_be_there() {
                        free.add(&e.resources);
                    }
                    continue;
                }
                keep.holds(&(e.team, job.spec.class.clone()), e.resources.cpus);
                if !seen {
                    continue;
                }
                let (run_s, ran) = (self.run_s(job), e.ran_s(now));
                let saves = job.spec.checkpoint_interval_s > 0.0;
                let lost_s = match saves {
                    true => job.spec.checkpoint_duration_s + AGAIN_S,
                    false if e.inherited => run_s * 0.5,
                    false => ran + 1.0,
                };
                let who = victims.len() as u32;
                let idle = job.spec.urgency == Urgency::BestEffort && job.spec.due_s.is_none();
                let (size, left_s) = (e.resources.sizes(), (run_s - ran).max(0.0));
                yields.push(Resident {
                    task: *task,
                    size,
                    loss: lost_s * e.resources.cpus,
                    who,
                });
                victims.push(VictimProfile {
                    urgency: job.spec.urgency,
                    team: e.team,
                    party: (e.team, job.spec.class.clone()),
                    // After a takeover nobody knows the age of what runs. What may
                    // not wait may still have it stopped for a while, at the price
                    // of half its time, after all that is known to be young: taken
                    // for the youngest of all, it was stopped first; taken for
                    // old, a burst after a takeover got no room at all. Idle-time
                    // work is too much to be stopped by guess.
                    young: ran < run_s * YOUNG && (!e.inherited || !idle),
                    idle_time: idle,
                    saves,
                    left_s,
                    guaranteed: guaranteed.contains(&task.job),
                    known: !e.inherited,
                    spared: !self.made_room.may_stop(*task, ran, limit, spared_s),
                    rose: self.rose(wall, e, job),
                });
                let foreseen = job.spec.kind == JobKind::Batch && e.started.is_some();
                if foreseen && !e.inherited && left_s < horizon {
                    ends.push(End {
                        task: *task,
                        left_s,
                        size,
                    });
                }
            }
            ends.sort_by(|a: &End, b| a.left_s.total_cmp(&b.left_s));
            sites.push(Site {
                machine: *id,
                free: free.sizes(),
                yields,
                ends,
            });
        }
        for job in self
            .jobs
            .values()
            .filter(|j| j.state == JobState::Open && !j.complete())
        {
            let resources = job.resources();
            let room: f64 = round
                .machine_types
                .iter()
                .zip(&by_shape)
                .filter(|(s, _)| resources.fits(&s.room()))
                .filter(|(s, _)| {
                    job.spec
                        .machine_types
                        .as_ref()
                        .is_none_or(|l| l.contains(&s.label))
                })
                .map(|(_, cpus)| *cpus)
                .sum();
            let party = (self.team(&job.spec), job.spec.class.clone());
            keep.fits_into(&party, room);
        }
        keep.divide();
        PreemptionPlan {
            sites: Sites::new(sites),
            victims,
            over,
            keep,
            vain: Vec::new(),
        }
    }
}
