//! Making room: the one place where tasks are stopped for others.
//!
//! The rules are those of `beamhinge_preemption`; here they meet the books. A place is
//! an entry like any other: planned for one machine, committed before `run`, and
//! counted against its team's limit from the start. Nothing is sent before the
//! room is there, so all guards of placing hold for it.

use super::plan::{allows, Round, Waiting};
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
pub(super) enum Why {
    /// It is within its team's guarantee.
    Guarantee,
    /// Its class has an aim on the wait.
    Wait,
    /// Its time is running out, and idle-time work is in its way.
    Deadline,
}

/// A job that found no room and may have some made.
pub(super) struct Claim {
    pub job: JobId,
    pub why: Why,
    /// What comes free within so many seconds is in time.
    pub within_s: f64,
}

/// One round of making room: where, and what everybody holds.
pub(super) struct MakingRoom {
    pub sites: Sites,
    victims: Vec<Victim>,
    /// What each team uses beyond its guarantee, without what is being stopped.
    over: Vec<f64>,
    keep: Keep,
    /// What was looked for in vain: the same or more by the same right is not.
    vain: Vec<(Right, Need)>,
}

/// What decides where a claim may have whom stopped.
#[derive(Clone, PartialEq)]
struct Right {
    why: Why,
    urgency: Urgency,
    team: Option<usize>,
    shapes: Option<Vec<String>>,
    zone: Option<String>,
    spot: bool,
}

/// What is fixed about a task that may be stopped.
struct Victim {
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

impl Placement {
    /// What a waiting job may ask for, if anything.
    pub(super) fn claim(&self, wall: WallMs, w: &Waiting) -> Option<Claim> {
        let job = self.jobs.get(&w.id).filter(|j| j.waiting() > 0)?;
        let (spec, age) = (&job.spec, age_s(wall, &job.spec));
        if let Some(within) = w.wait_s.filter(|_| w.rank.2 < 2) {
            return Some(Claim { job: w.id, why: Why::Wait, within_s: (within - age).max(1.0) });
        }
        // Idle-time work keeps nobody out who is pressed: by a deadline, by its
        // class's aim, or, without either, by having waited as long as it runs. What
        // is late already waits for the ends within one task's time.
        if spec.urgency == Urgency::BestEffort || !w.pressing {
            return None;
        }
        let slack = w.by_s.map_or(0.0, |by| by - age - self.run_s(job));
        Some(Claim { job: w.id, why: Why::Deadline, within_s: slack.max(self.horizon_s()) })
    }

    /// Makes room for a job's waiting tasks, as far as it may and places go.
    pub(super) fn make_room(
        &mut self,
        now: Time,
        wall: WallMs,
        round: &mut Round,
        claim: &Claim,
        guaranteed: &BTreeSet<JobId>,
    ) {
        #[cfg(feature = "faults")]
        if self.faults.scattered {
            return self.scatter(now, round, claim);
        }
        let Some(job) = self.jobs.get(&claim.job).filter(|j| j.waiting() > 0) else { return };
        let (spec, need, mut wanted) = (job.spec.clone(), job.need(), job.waiting());
        let limited = spec.one_zone || spec.spread || self.blame.at_fault_job(claim.job);
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
                self.making_room(now, wall, round, guaranteed)
            }
        };
        let right = Right {
            why: claim.why,
            urgency: spec.urgency,
            team: self.team(&spec),
            shapes: spec.shapes.clone(),
            zone: spec.zone.clone(),
            spot: spec.spot,
        };
        let mut places = Vec::new();
        if !making.vain.iter().any(|(r, less)| *r == right && less.fits(&need)) {
            places = self.seek(now, round, claim, &mut making, &right, &mut wanted);
            let stopping = places.iter().filter(|(_, o)| !o.victims.is_empty()).count();
            if wanted > 0 && stopping < self.places.room() && places.len() < round.budget {
                making.vain.push((right, need));
            }
        }
        round.making = Some(making);
        for (machine, offer) in places {
            let Some(task) = self.put(now, round, machine, claim.job, Some(now)) else { break };
            let Some(e) = self.entry(machine, task) else { continue };
            e.kept = true;
            let attempt = e.attempt;
            self.places.ask(now, task, attempt, machine, &offer);
            for r in offer.victims {
                let why = match claim.why {
                    Why::Guarantee => "gives back borrowed room",
                    Why::Wait => "makes room for more urgent work",
                    Why::Deadline => "idle-time work makes room for what is pressed",
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
        round: &Round,
        claim: &Claim,
        making: &mut MakingRoom,
        right: &Right,
        wanted: &mut u32,
    ) -> Vec<(MachineId, Offer)> {
        let mut places = Vec::new();
        let Some(spec) = self.jobs.get(&claim.job).map(|j| j.spec.clone()) else { return places };
        let need = need_of(&spec);
        let (want, shapes) = (need.sizes(), round.shapes);
        let above = claim.why == Why::Guarantee || spec.urgency > self.ageing.ceiling();
        let barred = self.blame.barred(now, claim.job);
        let here = |id: MachineId| {
            let Some(m) = self.machines.get(&id) else { return false };
            let shape = m.shape.and_then(|s| shapes.get(s));
            shape.is_some_and(|s| need.fits(&s.room()) && allows(&spec, s, m))
                && !self.kept_from(now, id, claim.job)
                && barred.is_none_or(|on| !on.contains(id.number()))
        };
        let MakingRoom { sites, victims, over, keep, .. } = making;
        // Ends that come in time are waited for; a guarantee's time is too short.
        if claim.why != Why::Guarantee {
            *wanted -= sites.coming(want, *wanted, claim.within_s, here);
        }
        let mut stopping = 0;
        while *wanted > 0 && stopping < self.places.room() && places.len() < round.budget {
            let may = |r: &Resident| {
                let Some(v) = victims.get(r.who as usize) else { return false };
                if v.spared || v.rose && !above {
                    return false;
                }
                let less = v.urgency < right.urgency && keep.may_take(&v.party, r.size[0]);
                match claim.why {
                    Why::Guarantee => {
                        let borrowed = v.team.is_some_and(|t| over[t] >= r.size[0]);
                        v.team != right.team && borrowed && v.young && v.known && !v.guaranteed
                    }
                    Why::Wait => less && (v.young || v.idle_time && v.saves),
                    Why::Deadline => {
                        let long = v.left_s > claim.within_s;
                        less && v.idle_time && (v.saves || v.young || v.known && long)
                    }
                }
            };
            let fetch_s = |id: MachineId| {
                let Some(m) = self.machines.get(&id) else { return 0.0 };
                if m.images.contains(&spec.image) {
                    return 0.0;
                }
                let shape = m.shape.and_then(|s| shapes.get(s));
                spec.image_gb / shape.map_or(1.0, |s| s.fetch_gb_per_s).max(0.01) * need.cpus
            };
            let Some((machine, offer)) = sites.take(want, may, here, fetch_s) else { break };
            for r in &offer.victims {
                let Some(v) = victims.get(r.who as usize) else { continue };
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
    fn making_room(
        &self,
        now: Time,
        wall: WallMs,
        round: &Round,
        guaranteed: &BTreeSet<JobId>,
    ) -> MakingRoom {
        let (mut sites, mut victims) = (Vec::new(), Vec::new());
        let (limit, spared_s) = (self.ageing.stops(), self.ageing.spared_s());
        let mut over: Vec<f64> = self.teams.iter().map(|t| -t.0).collect();
        let mut keep = Keep::new(KEEPS);
        let mut by_shape = vec![0.0; round.shapes.len()];
        let horizon = self.horizon_s().max(60.0);
        for (id, m) in &self.machines {
            for e in m.entries.values().filter(|e| e.kill.is_none()) {
                if let Some(over) = e.team.and_then(|t| over.get_mut(t)) {
                    *over += e.need.cpus;
                }
            }
            let Some(s) = m.shape.filter(|_| self.usable(now, m)) else { continue };
            let Some(shape) = round.shapes.get(s) else { continue };
            by_shape[s] += shape.cpus;
            let mut free = m.unpromised(round.shapes);
            let (mut yields, mut ends) = (Vec::new(), Vec::new());
            for (task, e) in &m.entries {
                let Some(job) = self.jobs.get(&task.job) else { continue };
                let seen = matches!(e.state, State::Seen(_));
                if e.kill.is_some() {
                    // It is on its way out, and its room is spoken for or free.
                    if e.may_be_there() {
                        free.add(&e.need);
                    }
                    continue;
                }
                keep.holds(&(e.team, job.spec.class.clone()), e.need.cpus);
                if !seen {
                    continue;
                }
                let (run_s, ran) = (self.run_s(job), e.ran_s(now));
                let saves = job.spec.checkpoint_s > 0.0;
                let lost_s = match saves {
                    true => job.spec.save_s + AGAIN_S,
                    false if e.inherited => run_s * 0.5,
                    false => ran + 1.0,
                };
                let who = victims.len() as u32;
                let idle = job.spec.urgency == Urgency::BestEffort && job.spec.due_s.is_none();
                let (size, left_s) = (e.need.sizes(), (run_s - ran).max(0.0));
                yields.push(Resident { task: *task, size, loss: lost_s * e.need.cpus, who });
                victims.push(Victim {
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
                    ends.push(End { task: *task, left_s, size });
                }
            }
            ends.sort_by(|a: &End, b| a.left_s.total_cmp(&b.left_s));
            sites.push(Site { machine: *id, free: free.sizes(), yields, ends });
        }
        for job in self.jobs.values().filter(|j| j.state == JobState::Open && !j.complete()) {
            let need = job.need();
            let room: f64 = round
                .shapes
                .iter()
                .zip(&by_shape)
                .filter(|(s, _)| need.fits(&s.room()))
                .filter(|(s, _)| job.spec.shapes.as_ref().is_none_or(|l| l.contains(&s.label)))
                .map(|(_, cpus)| *cpus)
                .sum();
            let party = (self.team(&job.spec), job.spec.class.clone());
            keep.fits_into(&party, room);
        }
        keep.divide();
        MakingRoom { sites: Sites::new(sites), victims, over, keep, vain: Vec::new() }
    }
}
