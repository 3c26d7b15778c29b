//! What workers report, what that proves, and what they are told.

use super::*;
use beamhinge_failure_detection::AttributionChange;
use std::cmp::Reverse;

/// Orders of one answer: it may hold 64 KiB. What is left out is still wanted, and
/// goes with the next.
const MAX_ORDERS: usize = 400;

/// A worker's reports are no closer together, seconds; a little less, for the way.
const NEXT_REPORT_S: f64 = 0.4;

/// For so long strangers are counted before they are told of, seconds.
const STRANGERS_S: f64 = 5.0;

/// Whether the task had its place: refused ones had none.
fn began(p: &ReportedTask) -> bool {
    p.status != "exited" || matches!(p.cause.as_deref(), Some("done" | "error" | "stopped"))
}

fn order(verb: &'static str, task: TaskId, attempt: Attempt, wind: Option<f64>) -> WorkerCommand {
    WorkerCommand {
        verb,
        task: task.to_string(),
        attempt: attempt.0,
        grace_period_s: wind,
    }
}

/// A report that is newer than the last, and what it is worth.
#[derive(Clone, Copy)]
struct Newer {
    report_version: ReportVersion,
    /// It begins a newer session.
    incarnation: bool,
    /// It carries our token.
    ours: bool,
    /// Its worker was without an answer for so long that it tried another controller.
    timed_out: bool,
    /// It is the body of a direct command's answer.
    direct: bool,
}

impl Scheduler {
    // ---- workers ----

    /// Takes a report in; the answer's commands come out.
    pub fn report(
        &mut self,
        now: Time,
        report: &WorkerReport,
        machine_types: &[MachineType],
        job_store: &JobStore,
    ) -> Vec<WorkerCommand> {
        let Some(id) = MachineId::parse(&report.host) else {
            return Vec::new();
        };
        let report_version = ReportVersion {
            incarnation: report.incarnation,
            sequence: report.sequence,
        };
        // Guard 3: what the cloud confirmed to be gone is gone, and no name is given
        // twice: this is a copy that comes late. Taken for a report it would show tasks
        // that are on no machine, keep them from their next place, and ask for more.
        if self.gone.contains(&id) {
            return Vec::new();
        }
        let ours = report.fencing_token == self.token.0;
        let silent_s = self.silent_s();
        let m = self.machines.entry(id).or_insert_with(|| {
            self.replan = true;
            Machine::new(now)
        });
        // Guard 3: a report that is not newer than the last proves nothing. It may be
        // a copy that comes late: no worker waits for its answer, so it is none, and
        // a dead machine's copies do not put off the proof by silence. (The answer to
        // the report itself, if the copy overtook it, renews the lease from when that
        // was sent, which was before the copy came.)
        if m.last_report.is_some_and(|l| l >= report_version) && !broken!(self.faults, old_reports)
        {
            return self.stops_at_once(report, job_store);
        }
        m.stale_token = !ours && m.last_answered.is_some_and(|at| now.since(at) > PATIENCE_S);
        m.last_answered = Some(now);
        let newer_incarnation = m
            .last_report
            .is_some_and(|l| l.incarnation < report_version.incarnation);
        m.last_report = Some(report_version);
        // Reports that waited while we stood still tell nothing of the worker's way.
        let away = self
            .back_at
            .is_some_and(|at| now.since(at) < PATIENCE_S * 2.5);
        let gap_s = m.last_heartbeat.map_or(0.0, |before| now.since(before));
        if m.last_heartbeat.is_some() && !newer_incarnation {
            self.report_interval.record_gap(gap_s);
        }
        // Guard 3: the first word of a machine in our term may be of any age as long as
        // it does not carry our token. It is answered, and is no sign of life: reports
        // that were held up made dead machines of an earlier term live ones. A worker's
        // own next report, half a second later at the earliest, is one.
        let first = *m.first_word.get_or_insert(now);
        let lives = ours || m.last_heartbeat.is_some() || now.since(first) >= NEXT_REPORT_S;
        if lives || broken!(self.faults, first_word) {
            m.last_heartbeat = Some(now);
        }
        m.steady = away || gap_s <= silent_s;
        m.machine_type = machine_types
            .iter()
            .position(|s| s.label == report.machine_type);
        m.zone.clone_from(&report.zone);
        m.spot = report.spot;
        m.endpoint = report.endpoint.parse().ok();
        m.drain = self
            .active_directives
            .drain_of(id, &report.machine_type, &report.zone)
            .cloned();
        if report.reclaim_in_s.is_some() != m.reclaim {
            m.reclaim = report.reclaim_in_s.is_some();
            self.replan = true;
        }
        if ours != m.has_our_token {
            m.has_our_token = ours;
            self.replan = true;
        }
        m.ever_had_our_token |= ours;
        if !self.loaded {
            return self.stops_at_once(report, job_store);
        }
        // A direct command's answer overtook it: its list is the older one, though it is
        // answered, and a sign of life.
        if self
            .machines
            .get(&id)
            .is_some_and(|m| m.last_direct_response.is_some_and(|t| t >= report_version))
        {
            return self.stops_at_once(report, job_store);
        }
        let timed_out = !away && gap_s > PATIENCE_S.max(self.report_s * 1.4);
        let newer = Newer {
            report_version,
            incarnation: newer_incarnation,
            ours,
            timed_out,
            direct: false,
        };
        self.take_in(now, id, newer, report, job_store);
        if !ours {
            // The answer raises the worker's token; other commands wait until a
            // report shows that it has seen it.
            return self.stops_at_once(report, job_store);
        }
        self.commands(now, id, report_version, report, machine_types, job_store)
    }

    /// The body of a direct command's answer, of a machine that is silent: a newer
    /// report, if it carries our token, by (tenure, sequence). It renews no lease and shows no
    /// way from the worker to us, so that silence goes on; but a machine that reaches
    /// nobody tells so what has ended. (Of one that reports, the next report says the same
    /// in half a second, and is answered.)
    pub fn direct_answer(&mut self, now: Time, report: &WorkerReport, job_store: &JobStore) {
        let Some(id) = MachineId::parse(&report.host) else {
            return;
        };
        let report_version = ReportVersion {
            incarnation: report.incarnation,
            sequence: report.sequence,
        };
        let ours = report.fencing_token == self.token.0;
        let silent_s = self.silent_s();
        let silent = |m: &&mut Machine| m.last_heartbeat.is_none_or(|h| now.since(h) > silent_s);
        let Some(m) = self.machines.get_mut(&id).filter(silent) else {
            return;
        };
        if !ours || !self.loaded {
            return;
        }
        let newest = m.last_report.max(m.last_direct_response);
        if newest.is_some_and(|n| n >= report_version) {
            return;
        }
        // Not heard since the takeover: that our token is in it shows that it was written
        // in our term, and that its worker heeds no earlier holder any more.
        m.endpoint = m.endpoint.or(report.endpoint.parse().ok());
        if m.zone.is_empty() {
            m.zone.clone_from(&report.zone);
        }
        let newer_incarnation = newest.is_some_and(|l| l.incarnation < report_version.incarnation);
        // Apart from `last`: a report that was sent before is still one to be answered,
        // from which its worker's lease, and so its silence, counts.
        m.last_direct_response = Some(report_version);
        let newer = Newer {
            report_version,
            incarnation: newer_incarnation,
            ours,
            timed_out: false,
            direct: true,
        };
        self.take_in(now, id, newer, report, job_store);
    }

    /// Guard 4: an answer that renews a lease stops each listed task whose job our
    /// copy knows to be over, whether or not the books are read and the worker has
    /// shown our token: it names one attempt, and frees nothing. Answers without it
    /// renewed the leases of cancelled tasks anew for H and a lease, counted from a
    /// takeover that came after the cancellation.
    fn stops_at_once(&self, report: &WorkerReport, job_store: &JobStore) -> Vec<WorkerCommand> {
        let over = self.over_here(report, job_store);
        over.into_iter()
            .map(|(task, a)| order("kill", task, a, Some(0.0)))
            .collect()
    }

    /// What a worker lists as live though its job is over.
    fn over_here(&self, report: &WorkerReport, job_store: &JobStore) -> Vec<(TaskId, Attempt)> {
        if broken!(self.faults, late_stops) {
            return Vec::new();
        }
        let over = |task: &TaskId| {
            job_store
                .get(task.job)
                .is_some_and(|b| b.state != JobState::Open)
        };
        let live = report
            .reported_tasks
            .iter()
            .filter(|p| p.status != "exited");
        let tasks = live.filter_map(|p| Some((TaskId::parse(&p.task)?, Attempt(p.attempt))));
        tasks
            .filter(|(task, _)| over(task))
            .take(MAX_ORDERS)
            .collect()
    }

    fn take_in(
        &mut self,
        now: Time,
        id: MachineId,
        newer: Newer,
        report: &WorkerReport,
        job_store: &JobStore,
    ) {
        let Newer {
            report_version,
            incarnation: newer_incarnation,
            ours,
            timed_out,
            direct,
        } = newer;
        let reported_tasks: Vec<(TaskId, &ReportedTask)> = report
            .reported_tasks
            .iter()
            .filter_map(|p| Some((TaskId::parse(&p.task)?, p)))
            .collect();
        let tasks: Vec<(TaskId, Attempt, TaskState)> = match self.machines.get(&id) {
            Some(m) => m
                .allocations
                .iter()
                .map(|(t, e)| (*t, e.attempt, e.state))
                .collect(),
            None => return,
        };
        // Did what went with the last answer leave a trace?
        let listed = |task: TaskId, attempt: Attempt| {
            reported_tasks
                .iter()
                .find(|(t, p)| *t == task && p.attempt == attempt.0)
                .map(|(_, p)| *p)
        };
        let (mut arrived, mut lost) = (false, false);
        for (task, attempt, state) in &tasks {
            if let TaskState::RunSent(at) = state {
                let there = listed(*task, *attempt).is_some();
                arrived |= there;
                lost |= !there && !direct && ours && (newer_incarnation || report_version > *at);
            }
        }
        let mut elsewhere = false;
        if let Some(m) = self.machines.get_mut(&id) {
            if arrived {
                m.ack_tracker.record_acknowledged();
            } else if lost {
                elsewhere = m.ack_tracker.record_unacknowledged(now, timed_out);
            }
        }
        if elsewhere {
            tracing::info!("{id} reports and takes no answers: its tasks go elsewhere for now");
        }
        for (task, attempt, state) in tasks {
            let here = listed(task, attempt);
            if here.is_some_and(began) {
                self.nominations.on_started(now, task, attempt);
            }
            match here {
                Some(p) => match p.status.as_str() {
                    "exited" => self.exited(now, id, task, p.cause.as_deref()),
                    status => {
                        let phase = match status {
                            "running" => TaskPhase::Running,
                            "saving" => TaskPhase::Checkpointing,
                            // Guard 5: a state we don't know is still there.
                            _ => TaskPhase::FetchingImage,
                        };
                        if let Some(e) = self.entry(id, task) {
                            if phase == TaskPhase::Running && e.started.is_none() {
                                e.started = Some(now);
                            }
                            e.state = TaskState::Observed(phase);
                        }
                        if phase == TaskPhase::Running {
                            let image = self.jobs.get(&task.job).map(|j| j.spec.image.clone());
                            if let (Some(image), Some(m)) = (image, self.machines.get_mut(&id)) {
                                if m.images.last() != Some(&image) {
                                    m.remember_image(&image);
                                }
                            }
                        }
                    }
                },
                None => match state {
                    TaskState::Planned | TaskState::Committed => {}
                    // Guard 3: a direct command may overtake the answer that carries a
                    // `run`; only the worker's next report shows that it was dropped.
                    TaskState::RunSent(_) if direct && !broken!(self.faults, direct_absence) => {}
                    // A newer tenure forgot all that came before it, and what
                    // an answer to the earlier one said is dropped.
                    TaskState::RunSent(_) | TaskState::Observed(_) if newer_incarnation && ours => {
                        self.end(now, id, task, false, 0.0)
                    }
                    // The report carries our token and is newer than the one
                    // answered with `run`: the answer was dropped. What was to be
                    // stopped meanwhile has nothing to start for: as a placement whose
                    // `run` never goes out it stayed on its machine for ever.
                    TaskState::RunSent(at) if ours && report_version > at => {
                        let stopped = self.entry(id, task).is_some_and(|e| {
                            e.state = TaskState::Committed;
                            e.kill.is_some()
                        });
                        let stopped = stopped && !broken!(self.faults, stuck_stop);
                        if elsewhere || stopped {
                            self.end(now, id, task, false, 0.0);
                        }
                    }
                    TaskState::Observed(_) | TaskState::Inherited
                        if ours || broken!(self.faults, hasty_proof) =>
                    {
                        self.end(now, id, task, false, 0.0)
                    }
                    _ => {}
                },
            }
        }
        // Orphans: on the machine, not in our books.
        let live: BTreeMap<TaskId, Attempt> = reported_tasks
            .iter()
            .filter(|(_, p)| p.status != "exited")
            .map(|(task, p)| (*task, Attempt(p.attempt)))
            .collect();
        let known = |task: &TaskId, attempt: &Attempt| {
            let entry = self.machines.get(&id).and_then(|m| m.allocations.get(task));
            entry.is_some_and(|e| e.attempt == *attempt)
        };
        let orphans: Vec<Orphan> = live
            .into_iter()
            .filter(|(task, attempt)| !known(task, attempt))
            .map(|(task, attempt)| self.orphan(task, attempt, job_store))
            .collect();
        let old = match self.machines.get_mut(&id) {
            Some(m) => std::mem::replace(&mut m.orphans, orphans.clone()),
            None => return,
        };
        for o in &orphans {
            tracing::debug!("{id} runs {}, which is not in our books", o.task);
            if let Some(job) = self.jobs.get_mut(&o.task.job) {
                *job.live.entry(o.task.index).or_insert(0) += 1;
            }
        }
        // After a cut hundreds come at once, in reports that were held: one line
        // for all of them.
        if let Some(o) = orphans.first().filter(|o| !old.contains(o)) {
            let example = format!("{} on {id}", o.task);
            let strangers = self.strangers.get_or_insert((now, 0, example));
            strangers.1 += orphans.len();
        }
        self.release_orphans(now, old);
    }

    /// Guard: its use counts for its team and its machine, also when its job is over:
    /// left out, the room of a cancelled task was given away while it was there.
    fn orphan(&self, task: TaskId, attempt: Attempt, job_store: &JobStore) -> Orphan {
        let spec = job_store.get(task.job).and_then(|e| e.spec.as_deref());
        let resources = spec.map_or(UNKNOWN_NEED, resources_of);
        Orphan {
            task,
            attempt,
            resources,
            team: spec.and_then(|s| self.team(s)),
        }
    }

    /// Says how many tasks were found that the books do not know.
    pub(super) fn tell_strangers(&mut self, now: Time) {
        if self
            .strangers
            .as_ref()
            .is_none_or(|(since, ..)| now.since(*since) < STRANGERS_S)
        {
            return;
        }
        if let Some((_, count, example)) = self.strangers.take() {
            tracing::warn!(
                "{count} tasks found that are not in our books, such as {example}; they are stopped"
            );
        }
    }

    fn release_orphans(&mut self, now: Time, orphans: Vec<Orphan>) {
        for Orphan { task, .. } in orphans {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if job.release(task.index) && !job.progress.is_done(task.index) {
                    job.retry.insert(task.index, now);
                    self.replan = true;
                }
            }
        }
    }

    fn exited(&mut self, now: Time, id: MachineId, task: TaskId, cause: Option<&str>) {
        self.event_log.note(|| What::Ended {
            task: task.to_string(),
            machine: id.to_string(),
            why: cause.unwrap_or("unknown").chars().take(40).collect(),
        });
        let service = self
            .jobs
            .get(&task.job)
            .is_some_and(|j| j.spec.kind == JobKind::Service);
        match cause {
            Some("done") => {
                self.learn_run(now, id, task);
                self.succeeded(id, task.job);
                self.end(now, id, task, !service, 1.0);
            }
            Some("error") => {
                let delay = self.failed(now, id, task.job);
                self.end(now, id, task, false, delay);
            }
            // Something is there that our books don't know: try elsewhere.
            Some("full") => {
                self.refused(now, id);
                self.end(now, id, task, false, 0.5)
            }
            Some("unknown") => {
                tracing::info!("{id} does not know {task}");
                self.end(now, id, task, false, 2.0);
            }
            // Another attempt stands there: the next report shows it as a ghost.
            Some("in_use") => {
                self.refused(now, id);
                self.end(now, id, task, false, 1.0)
            }
            Some("stopped") => self.end(now, id, task, false, 0.0),
            other => {
                // Guard 5: exited is exited, but only `done` counts as done.
                tracing::info!("{task} exited on {id} for an unknown cause {other:?}");
                self.end(now, id, task, false, 1.0);
            }
        }
    }

    fn refused(&mut self, now: Time, id: MachineId) {
        if let Some(m) = self.machines.get_mut(&id) {
            m.refuses_until = now.plus(self.report_s * 2.0 + 1.0);
        }
    }

    /// Run times correct the estimates of a class and a job, and tell slow
    /// machines: those that take long for a job whose tasks elsewhere do not.
    /// By the class alone a job whose owner guessed too low would condemn every
    /// machine it ran on.
    fn learn_run(&mut self, now: Time, id: MachineId, task: TaskId) {
        let Some(e) = self.entry(id, task).filter(|e| !e.inherited) else {
            return;
        };
        let Some(ran) = e.started.map(|s| now.since(s) + self.report_s * 0.25) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let expect_s = job.spec.expected_run_s;
        if expect_s < 1.0 || ran < self.report_s {
            return;
        }
        let ratio = (ran / expect_s).clamp(0.1, 10.0);
        let (sum, n) = job.ratios;
        job.ratios = (sum + ratio.ln(), n + 1);
        let factor = self.runs.entry(job.spec.class.to_string()).or_insert(1.0);
        // Geometric, since estimates are off by factors; slowly, since one job
        // brings many tasks that share its error.
        *factor = (*factor * (ratio / *factor).powf(0.03)).clamp(0.2, 5.0);
        if n < RATIOS {
            return;
        }
        let relative = ratio / (sum / f64::from(n)).exp();
        if let Some(m) = self.machines.get_mut(&id) {
            m.speed_ratio.0 *= (relative / m.speed_ratio.0).powf(0.4);
            m.speed_ratio.1 += 1;
            if m.speed_ratio.1 >= 3 && m.speed_ratio.0 > 2.0 && !m.slow {
                tracing::info!(
                    "{id} takes {:.1} times as long as others and is set aside",
                    m.speed_ratio.0
                );
                m.slow = true;
                let why = format!("takes {:.1} times as long as others", m.speed_ratio.0);
                self.event_log.note(|| What::SetAside {
                    machine: id.to_string(),
                    why,
                });
            }
        }
    }

    fn succeeded(&mut self, id: MachineId, job: JobId) {
        let verdict = self.fault_attribution.record_success(id, job);
        self.apply_attribution(&verdict);
    }

    /// Weighs a failure: is it the machine's fault or the job's? Returns how
    /// long the task waits before its next try.
    fn failed(&mut self, now: Time, id: MachineId, job: JobId) -> f64 {
        let sound = self
            .jobs
            .get(&job)
            .is_some_and(|j| j.progress.done_count() > 0);
        let verdict = self
            .fault_attribution
            .record_failure(now, id, (job, sound), self.report_s);
        self.apply_attribution(&verdict);
        verdict.job_backoff_s.unwrap_or(0.0)
    }

    /// Machines at fault get nothing more; those a job was blamed for in the end do.
    fn apply_attribution(&mut self, verdict: &AttributionChange) {
        for id in &verdict.newly_faulty {
            let Some(m) = self.machines.get_mut(id) else {
                continue;
            };
            tracing::info!("{id} fails tasks that end well elsewhere and is set aside");
            m.quarantined = true;
            let why = "fails tasks that end well elsewhere".to_string();
            self.event_log.note(|| What::SetAside {
                machine: id.to_string(),
                why,
            });
        }
        for id in &verdict.newly_cleared {
            let Some(m) = self.machines.get_mut(id) else {
                continue;
            };
            tracing::info!("{id} is in use again: a job was at fault");
            m.quarantined = false;
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn commands(
        &mut self,
        now: Time,
        id: MachineId,
        report_version: ReportVersion,
        report: &WorkerReport,
        machine_types: &[MachineType],
        job_store: &JobStore,
    ) -> Vec<WorkerCommand> {
        // Before all else: guard 4 rests on it.
        let over = self.over_here(report, job_store);
        let stop = |(task, attempt): &(TaskId, Attempt)| order("kill", *task, *attempt, Some(0.0));
        let mut commands: Vec<WorkerCommand> = over.iter().map(stop).collect();
        let Some(m) = self.machines.get_mut(&id) else {
            return commands;
        };
        if let Some(notice) = report.reclaim_in_s {
            // A task that can save does so before the machine is taken, unless
            // it will be done by then; one that cannot runs on, for luck.
            for (task, e) in m.allocations.iter_mut().filter(|(_, e)| e.kill.is_none()) {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let ran = e.ran_s(now);
                if job.spec.checkpoint_interval_s > 0.0
                    && matches!(e.state, TaskState::Observed(TaskPhase::Running))
                    && job.spec.checkpoint_duration_s < notice
                    && job.spec.expected_run_s - ran > notice * 0.5
                {
                    e.kill = Some(job.spec.checkpoint_duration_s);
                }
            }
        }
        let room = MAX_ORDERS - commands.len();
        let orphans = m.orphans.iter().map(|o| (o.task, o.attempt));
        let orphans: Vec<_> = orphans.filter(|o| !over.contains(o)).take(room).collect();
        commands.extend(orphans.iter().map(stop));
        for p in report
            .reported_tasks
            .iter()
            .filter(|p| p.status == "exited")
        {
            if commands.len() >= MAX_ORDERS {
                break;
            }
            let Some(task) = TaskId::parse(&p.task) else {
                continue;
            };
            if self
                .entry(id, task)
                .is_some_and(|e| e.attempt.0 == p.attempt)
            {
                continue;
            }
            if p.cause.as_deref() != Some("done") || self.keeps_result(task) {
                commands.push(order("clear", task, Attempt(p.attempt), None));
            }
        }
        self.stops.remove(&id);
        let may_run = self.may_run(now);
        let Some(m) = self.machines.get_mut(&id) else {
            return commands;
        };
        for (task, e) in m.allocations.iter().filter(|(_, e)| e.kill.is_some()) {
            let stops =
                matches!(e.state, TaskState::Observed(_)) && !over.contains(&(*task, e.attempt));
            if stops && commands.len() < MAX_ORDERS {
                commands.push(order("kill", *task, e.attempt, e.kill));
            }
        }
        // What was placed into room that was there goes first, then what others
        // were stopped for, then, the more urgent first, what was placed ahead and
        // fits by now.
        let mut free = m.free(machine_types);
        // A kept place that is not committed yet is nobody else's either.
        for e in m
            .allocations
            .values()
            .filter(|e| e.kept && e.state == TaskState::Planned)
        {
            free.sub(&e.resources);
        }
        let drained = m.drain.is_some();
        let urgency = |t: &TaskId| self.jobs.get(&t.job).map(|j| j.spec.urgency);
        let mut runs: Vec<(TaskId, &mut Allocation)> = m
            .allocations
            .iter_mut()
            .filter(|(_, e)| e.state == TaskState::Committed && e.kill.is_none())
            .map(|(t, e)| (*t, e))
            .collect();
        runs.sort_by_key(|(t, e)| (e.ahead.is_some(), !e.kept, Reverse(urgency(t)), e.attempt));
        for (task, e) in runs {
            if commands.len() >= MAX_ORDERS {
                break;
            }
            // Guard 2: `run` only after the commit, only while the job is
            // open, and only in this answer, which cannot act late.
            let open = job_store
                .get(task.job)
                .is_some_and(|b| b.state == JobState::Open);
            // What operators stopped does not start; `obey` takes it back.
            let stopped = drained
                || self.jobs.get(&task.job).is_some_and(|j| {
                    self.active_directives
                        .freeze_of(&j.spec.team, &j.spec.class)
                        .is_some()
                });
            // What was placed by limits of which it is not known that they stand waits.
            let stopped = stopped || !may_run;
            let waits = e.ahead.is_some() && !e.resources.fits(&free);
            if !open || stopped || waits {
                if e.kept {
                    free.sub(&e.resources);
                }
                continue;
            }
            free.sub(&e.resources);
            e.ahead = None;
            e.kept = false;
            e.state = TaskState::RunSent(report_version);
            commands.push(order("run", task, e.attempt, None));
        }
        commands
    }

    /// Workers to call directly since they have something to stop and their next
    /// report may be long in coming.
    ///
    /// `run` never goes this way, since a held packet could act late. A `kill`
    /// may: it names one attempt.
    pub fn take_stops(&mut self) -> Vec<(MachineId, SocketAddrV4, u64, Vec<WorkerCommand>)> {
        let mut calls = Vec::new();
        let due: Vec<MachineId> = self.stops.iter().take(MAX_STOPS).copied().collect();
        for id in due {
            self.stops.remove(&id);
            let Some(m) = self.machines.get(&id).filter(|m| m.has_our_token) else {
                continue;
            };
            let (Some(endpoint), Some(last_report)) = (m.endpoint, m.last_report) else {
                continue;
            };
            let stop =
                |e: &Allocation| matches!(e.state, TaskState::Observed(_)) && e.kill.is_some();
            let kills = m.allocations.iter().filter(|(_, e)| stop(e));
            let commands: Vec<WorkerCommand> = kills
                .map(|(t, e)| order("kill", *t, e.attempt, e.kill))
                .collect();
            if !commands.is_empty() {
                calls.push((id, endpoint, last_report.incarnation, commands));
            }
        }
        calls
    }

    /// Silent for longer than two reports take.
    pub(super) fn silent_s(&self) -> f64 {
        self.report_s * 2.0 + 1.0
    }

    /// Machines with tasks that fell silent: perhaps they reach nobody, and can be
    /// reached. They are asked in turn, and told once more what is to stop there.
    pub fn silent_with_tasks(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (MachineId, SocketAddrV4, u64, Vec<WorkerCommand>)> + '_ {
        let quiet = move |m: &Machine| match m.last_heartbeat {
            Some(at) => m.has_our_token && now.since(at) > self.silent_s(),
            // Since a takeover it has said something only when it was asked.
            None => m.last_direct_response.is_some(),
        };
        let there = |m: &Machine| m.allocations.values().any(Allocation::may_be_there);
        let machines = self
            .machines
            .iter()
            .filter(move |(_, m)| quiet(m) && there(m));
        let call = |(id, m): (&MachineId, &Machine)| {
            let stop = |(_, e): &(&TaskId, &Allocation)| e.may_be_there() && e.kill.is_some();
            let kills = m.allocations.iter().filter(stop).take(MAX_ORDERS);
            let commands = kills
                .map(|(t, e)| order("kill", *t, e.attempt, e.kill))
                .collect();
            Some((
                *id,
                m.endpoint?,
                m.last_report.max(m.last_direct_response)?.incarnation,
                commands,
            ))
        };
        machines.filter_map(call)
    }

    /// A result counts even if we lost track of its task, and may be cleared
    /// only once the state service knows it.
    fn keeps_result(&mut self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        if job.spec.kind != JobKind::Batch || task.index >= job.spec.tasks {
            return true;
        }
        let live = job.live.contains_key(&task.index);
        let durable = job.progress.is_durable(task.index);
        if !live && !job.progress.is_done(task.index) {
            self.mark_done(task);
        }
        live || durable || broken!(self.faults, early_clear)
    }

    /// The cloud has confirmed that the machine and all on it are gone.
    pub fn machine_gone(&mut self, now: Time, id: MachineId) {
        if self.gone.len() >= MAX_GONE_MACHINES {
            // Names are given in order: the lowest has been gone longest, or nearly.
            self.gone.pop_first();
        }
        self.gone.insert(id);
        let tasks: Vec<TaskId> = match self.machines.get(&id) {
            Some(m) => m.allocations.keys().copied().collect(),
            None => return,
        };
        for task in tasks {
            self.end(now, id, task, false, 0.0);
        }
        self.drop_orphans(now, id);
        if let Some(m) = self.machines.get_mut(&id) {
            m.draining = true;
            m.has_our_token = false;
            m.last_heartbeat = None;
            if m.allocations.is_empty() {
                self.fault_attribution.forget_machine(id);
                self.machines.remove(&id);
            }
        }
    }

    fn drop_orphans(&mut self, now: Time, id: MachineId) {
        let orphans = match self.machines.get_mut(&id) {
            Some(m) => std::mem::take(&mut m.orphans),
            None => return,
        };
        self.release_orphans(now, orphans);
    }

    /// Guard 3, silence: a worker whose last answered report is more than
    /// lease_s old has killed all its tasks. Our last answer bounds that; after
    /// a takeover the earlier holder's answers do.
    pub(super) fn check_silence(&mut self, now: Time) {
        let mut over = Vec::new();
        let mut unsent = Vec::new();
        let lease_s = self.lease_s * 1.002 + self.margin_s * 0.25;
        let inherited_until = match broken!(self.faults, own_silence) {
            true => self.took.plus(lease_s),
            false => self.inherited_until,
        };
        for (id, m) in &self.machines {
            if m.is_empty() {
                if m.last_heartbeat
                    .is_none_or(|h| now.since(h) > self.lease_s * 6.0)
                    && now.since(self.took) > self.lease_s * 6.0
                {
                    over.push((*id, true));
                }
                continue;
            }
            // `run` never went out for these: they can go elsewhere at once.
            if m.last_heartbeat
                .is_none_or(|h| now.since(h) > self.report_s * 3.0 + 2.0)
            {
                let waiting = m.allocations.iter().filter(|(_, e)| {
                    !e.in_flight && matches!(e.state, TaskState::Planned | TaskState::Committed)
                });
                unsent.extend(waiting.map(|(t, _)| (*id, *t)));
            }
            let ours = m.last_answered.map(|a| a.plus(lease_s));
            // Until it has shown our token, our answers may have been lost and
            // an earlier holder's may still keep its tasks alive.
            let inherited = !m.ever_had_our_token;
            let until = match ours {
                Some(t) if inherited => t.max(inherited_until),
                Some(t) => t,
                None => inherited_until,
            };
            if now > until {
                over.push((*id, false));
            }
        }
        for (machine, task) in unsent {
            self.end(now, machine, task, false, 0.0);
        }
        for (id, forget) in over {
            if forget {
                self.fault_attribution.forget_machine(id);
                self.machines.remove(&id);
                continue;
            }
            // What went out just before and was never seen: where the report after the
            // next session comes again, nothing arrived.
            if let Some(m) = self.machines.get_mut(&id) {
                if m.allocations
                    .values()
                    .any(|e| matches!(e.state, TaskState::RunSent(_)))
                {
                    m.ack_tracker.record_unacknowledged(now, true);
                }
            }
            let tasks: Vec<TaskId> = match self.machines.get(&id) {
                Some(m) => m
                    .allocations
                    .iter()
                    .filter(|(_, e)| {
                        matches!(
                            e.state,
                            TaskState::RunSent(_) | TaskState::Observed(_) | TaskState::Inherited
                        )
                    })
                    .map(|(t, _)| *t)
                    .collect(),
                None => continue,
            };
            if !tasks.is_empty() {
                tracing::info!(
                    "{id} has been silent beyond its lease: {} tasks return",
                    tasks.len()
                );
            }
            for task in tasks {
                self.end(now, id, task, false, 0.0);
            }
            self.drop_orphans(now, id);
        }
    }
}

#[cfg(test)]
mod tests;
