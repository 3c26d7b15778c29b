//! The rules, looked at by what really is on the machines, and who was served how much.

use super::*;

impl Sim {
    /// What each class and each team got of the work it may have done.
    pub fn served(&self) -> Vec<(String, f64)> {
        preemptions::served(
            &self.jobs,
            |id, plan| self.counts(id, plan),
            |id| self.results_of(id),
        )
    }

    /// Jobs that were accepted and should be done.
    pub fn counts(&self, id: &str, plan: &JobPlan) -> bool {
        let told = self.told.get(id);
        let kept = told.is_some_and(|t| t.accepted && !t.asked_cancel);
        kept && !plan.fails && plan.body["jobKind"] == "batch"
    }

    /// The longest that one of its class's largest jobs waited until it began, or
    /// has waited by now, seconds.
    pub fn largest_wait(&self) -> Option<(String, f64)> {
        let started: BTreeMap<&str, Micros> = self
            .first_starts
            .iter()
            .map(|(job, at)| (job.as_str(), *at))
            .collect();
        let largest = preemptions::largest(&self.jobs, |id, plan| self.counts(id, plan));
        let waits = largest.iter().filter_map(|id| {
            let began = started.get(id.as_str()).copied().unwrap_or(self.now);
            let waited = began.saturating_sub(self.jobs.get(id)?.submitted_at);
            Some((id.clone(), waited as f64 / 1e6))
        });
        waits.max_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Users wait for answers that must come, or will ask again for the first time.
    pub fn questions_open(&self) -> bool {
        let Some(healed) = self.healed else {
            return false;
        };
        let open = |job: &String| self.told.get(job).is_some_and(|t| t.accepted);
        let first = self.now < healed + (LATER_S + 1) * SECOND;
        let forgotten = self.broken.contains("forgotten");
        first || !forgotten && self.asked.keys().any(open)
    }

    /// Accepted jobs about which no question was answered in time, once all
    /// troubles are over, however others fare.
    pub(super) fn look_for_forgotten(&mut self) {
        let Some(healed) = self.healed else { return };
        let late = |(job, at): (&String, &Micros)| {
            let kept = self.told.get(job).is_some_and(|t| t.accepted);
            (kept && self.now > (*at).max(healed) + FORGOTTEN_S * SECOND).then(|| job.clone())
        };
        let forgotten: Vec<String> = self.asked.iter().filter_map(late).collect();
        for job in forgotten {
            self.break_rule("forgotten", &format!("{job}, about which nobody is told"));
        }
    }

    /// Rules that were broken.
    pub fn violations(&self) -> Vec<String> {
        self.broken.iter().cloned().collect()
    }

    /// Machines that cost money: all but those that were there before.
    pub fn rented_machines(&self) -> usize {
        let owned = self.owned;
        self.cloud
            .instances
            .iter()
            .filter(|(id, h)| **id >= owned && h.failed_at.is_none())
            .count()
    }

    /// Some service is to run for ever: its machines cost money for something.
    pub fn services_run(&self) -> bool {
        let open = |id: &String| {
            self.told
                .get(id)
                .is_some_and(|t| t.accepted && t.cancelled.is_none())
        };
        self.jobs
            .iter()
            .any(|(id, j)| (j.body["jobKind"] == "standing" || j.fails) && open(id))
    }

    /// Accepted jobs that are neither done nor cancelled, and should be.
    pub fn unfinished(&self) -> Vec<&str> {
        let over = |t: &UserJobView| t.done || t.cancelled.is_some();
        let batch = |j: &JobPlan| j.body["jobKind"] == "batch" && !j.fails;
        let open = self.told.iter().filter(|(_, t)| t.accepted && !over(t));
        open.filter(|(id, _)| self.jobs.get(*id).is_some_and(batch))
            .map(|(id, _)| id.as_str())
            .collect()
    }

    pub fn results_of(&self, job: &str) -> u64 {
        self.results.get(job).map_or(0, |s| s.len() as u64)
    }

    pub fn break_rule(&mut self, rule: &str, what: &str) {
        if self.broken.insert(rule.to_string()) {
            let at = (self.now - 3_600 * SECOND) as f64 / 1e6;
            self.log.push(format!("{at:.3} s: {rule} broken by {what}"));
        }
    }

    /// Takes in what happened on a machine, and looks at the rules.
    pub(super) fn refresh(&mut self, machine: u64) {
        let Some(w) = self.workers.get_mut(&machine) else {
            return;
        };
        if !w.violations.is_empty() {
            self.state.violations.append(&mut w.violations);
        }
        if w.events.is_empty() && w.expired == 0 && w.finished.is_empty() {
            return;
        }
        let task_ids = w.running().map(|t| t.task_id.clone()).collect();
        let teams = &self.settings[0].params.teams;
        let base = |name: &str| {
            teams
                .iter()
                .find(|t| t.name == name)
                .map_or(0.0, |t| t.cpus_max)
        };
        // Limits that change are looked at where tasks begin.
        let limit = |name: &str| {
            if self.limits.is_changed() {
                0.0
            } else {
                base(name)
            }
        };
        let broken = self
            .on_machines
            .set(machine, &w.attributes(), task_ids, &self.jobs, limit);
        let lease = (self.settings[0].params.workers.lease_s * 2e6) as Micros;
        let expired = std::mem::take(&mut w.expired);
        self.losses.expired += expired;
        let ill = self.now < w.faults.faulty_until() + lease;
        if expired > 0 && !ill && self.now > self.explained_until {
            self.losses.unexplained += expired;
        }
        self.started += std::mem::take(&mut w.started);
        let events = std::mem::take(&mut w.events);
        // What a lease ended, nobody stopped.
        if expired == 0 {
            let leaving = w.faults.reclaim_at.is_some();
            let over = |job: &str| self.told.get(job).is_some_and(|t| t.asked_cancel);
            self.stops
                .saw(self.now, machine, leaving, &events, &self.jobs, over);
        }
        if !self.unstarted.is_empty() {
            for t in w.running() {
                let job = t.task_id.split('/').next().unwrap_or("");
                if self.unstarted.remove(job) {
                    self.first_starts.push((job.to_string(), self.now));
                }
            }
        }
        let told = |task_id: &str| {
            let job = task_id.split('/').next().unwrap_or("");
            self.told.get(job).and_then(|t| t.cancelled)
        };
        let late = events
            .iter()
            .filter(|e| e.transition == TaskTransition::Started && told(&e.task_id).is_some());
        self.late_starts += late.count() as u64;
        // Results are kept outside the machines.
        let mut ended = Vec::new();
        for task_id in w.finished.drain(..) {
            if let Some((job, index)) = task_id.split_once('/') {
                let results = self.results.entry(job.to_string()).or_default();
                let first = results.insert(index.to_string());
                let total = self.jobs.get(job).and_then(|j| j.body["pieces"].as_u64());
                if first && total == Some(results.len() as u64) {
                    ended.push(job.to_string());
                }
            }
        }
        ended.into_iter().for_each(|job| self.job_ended(&job));
        let above = events
            .iter()
            .filter(|e| e.transition == TaskTransition::Started);
        let above: Vec<String> = above.filter_map(|e| self.above_limit(&e.task_id)).collect();
        for (rule, what) in broken {
            self.break_rule(rule, &what);
        }
        above
            .iter()
            .for_each(|what| self.break_rule("limit_in_force", what));
    }

    /// A task that began beyond a limit that has been in force for long enough.
    pub(super) fn above_limit(&self, task_id: &str) -> Option<String> {
        if !self.limits.is_changed() {
            return None;
        }
        let plan = self.jobs.get(task_id.split('/').next()?)?;
        let team = plan.body["owner"].as_str()?;
        let (used, allowed) = (
            self.on_machines.used(team),
            self.limits.allowed(self.now, team)?,
        );
        (used > allowed + 1e-6).then(|| format!("{task_id}: {team} uses {used} of {allowed}"))
    }

    /// The machine is gone, whoever took it.
    pub fn lose(&mut self, machine: u64) -> Option<Worker> {
        self.refresh(machine);
        self.on_machines.remove(machine, &self.jobs);
        self.stops.lose(machine);
        self.workers.remove(&machine)
    }

    /// What only time breaks.
    pub(super) fn look_at_the_clock(&mut self) {
        self.stops.look(self.now);
        self.look_for_forgotten();
        self.look_for_waiting();
        let cancel = (self.settings[0].params.workers.cancel_s * 1e6) as Micros;
        let told = |job: &str| self.told.get(job).and_then(|t| t.cancelled);
        let since = self.on_machines.jobs().filter_map(|(job, _)| told(job));
        if let Some(at) = since.min() {
            self.cancelled_left = self
                .cancelled_left
                .max((self.now - at) as f64 / cancel as f64);
        }
        let late = |job: &str| told(job).is_some_and(|at| self.now > at + cancel);
        let jobs = self.on_machines.jobs().filter(|(job, _)| late(job));
        let broken: Vec<String> = jobs.map(|(_, task_id)| task_id.to_string()).collect();
        for task_id in broken {
            self.break_rule("ran_cancelled", &task_id);
        }
    }
}
