//! What workers report, what that proves, and what they are told.

use super::*;
use crate::worker_protocol::{
    ExitCause, ReportVersion, ReportedStatus, ReportedTask, WorkerCommand, WorkerReport,
};
use beamhinge_failure_detection::AttributionChange;
use std::cmp::Reverse;

/// Orders of one answer: it may hold 64 KiB. What is left out is still wanted, and
/// goes with the next.
const MAX_ORDERS: usize = 400;

/// A worker's reports are no closer together, seconds; a little less, for the way.
const NEXT_REPORT_S: f64 = 0.4;

/// For so long strangers are counted before they are told of, seconds.
const STRANGERS_S: f64 = 5.0;

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
    pub fn on_report(
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
        if self.removed_machines.contains(&id) {
            return Vec::new();
        }
        let ours = report.fencing_token == self.fencing_token.0;
        let silent_s = self.silence_timeout_s();
        let m = self.machines.entry(id).or_insert_with(|| {
            self.replan = true;
            Machine::new(now)
        });
        // Guard 3: a report that is not newer than the last proves nothing. It may be
        // a copy that comes late: no worker waits for its answer, so it is none, and
        // a dead machine's copies do not put off the proof by silence. (The answer to
        // the report itself, if the copy overtook it, renews the lease from when that
        // was sent, which was before the copy came.)
        if m.acknowledgement
            .last_report
            .is_some_and(|l| l >= report_version)
            && !broken!(self.faults, old_reports)
        {
            return self.kills_of_ended_jobs(report, job_store);
        }
        m.acknowledgement.stale_token = !ours
            && m.liveness
                .last_answered
                .is_some_and(|at| now.since(at) > PATIENCE_S);
        m.liveness.last_answered = Some(now);
        let newer_incarnation = m
            .acknowledgement
            .last_report
            .is_some_and(|l| l.incarnation < report_version.incarnation);
        m.acknowledgement.last_report = Some(report_version);
        // Reports that waited while we stood still tell nothing of the worker's way.
        let away = self
            .resumed_at
            .is_some_and(|at| now.since(at) < PATIENCE_S * 2.5);
        let gap_s = m
            .liveness
            .last_heartbeat
            .map_or(0.0, |before| now.since(before));
        if m.liveness.last_heartbeat.is_some() && !newer_incarnation {
            self.report_interval.record_gap(gap_s);
        }
        // Guard 3: the first word of a machine in our term may be of any age as long as
        // it does not carry our token. It is answered, and is no sign of life: reports
        // that were held up made dead machines of an earlier term live ones. A worker's
        // own next report, half a second later at the earliest, is one.
        let first = *m.liveness.first_report.get_or_insert(now);
        let lives =
            ours || m.liveness.last_heartbeat.is_some() || now.since(first) >= NEXT_REPORT_S;
        if lives || broken!(self.faults, first_word) {
            m.liveness.last_heartbeat = Some(now);
        }
        m.liveness.regular = away || gap_s <= silent_s;
        m.identity.machine_type = machine_types
            .iter()
            .position(|s| s.label == report.machine_type);
        m.identity.zone.clone_from(&report.zone);
        m.identity.spot = report.spot;
        m.identity.endpoint = report.endpoint.parse().ok();
        m.lifecycle.drain = self
            .active_directives
            .drain_of(id, &report.machine_type, &report.zone)
            .cloned();
        if report.reclaim_in_s.is_some() != m.lifecycle.reclaim_announced {
            m.lifecycle.reclaim_announced = report.reclaim_in_s.is_some();
            self.replan = true;
        }
        if ours != m.acknowledgement.has_current_token {
            m.acknowledgement.has_current_token = ours;
            self.replan = true;
        }
        m.acknowledgement.ever_had_current_token |= ours;
        if !self.loaded {
            return self.kills_of_ended_jobs(report, job_store);
        }
        // A direct command's answer overtook it: its list is the older one, though it is
        // answered, and a sign of life.
        if self.machines.get(&id).is_some_and(|m| {
            m.acknowledgement
                .last_direct_response
                .is_some_and(|t| t >= report_version)
        }) {
            return self.kills_of_ended_jobs(report, job_store);
        }
        let timed_out = !away && gap_s > PATIENCE_S.max(self.report_s * 1.4);
        let newer = Newer {
            report_version,
            incarnation: newer_incarnation,
            ours,
            timed_out,
            direct: false,
        };
        self.reconcile(now, id, newer, report, job_store);
        if !ours {
            // The answer raises the worker's token; other commands wait until a
            // report shows that it has seen it.
            return self.kills_of_ended_jobs(report, job_store);
        }
        self.commands(now, id, report_version, report, machine_types, job_store)
    }

    /// The body of a direct command's answer, of a machine that is silent: a newer
    /// report, if it carries our token, by (tenure, sequence). It renews no lease and shows no
    /// way from the worker to us, so that silence goes on; but a machine that reaches
    /// nobody tells so what has ended. (Of one that reports, the next report says the same
    /// in half a second, and is answered.)
    pub fn on_direct_response(&mut self, now: Time, report: &WorkerReport, job_store: &JobStore) {
        let Some(id) = MachineId::parse(&report.host) else {
            return;
        };
        let report_version = ReportVersion {
            incarnation: report.incarnation,
            sequence: report.sequence,
        };
        let ours = report.fencing_token == self.fencing_token.0;
        let silent_s = self.silence_timeout_s();
        let silent = |m: &&mut Machine| {
            m.liveness
                .last_heartbeat
                .is_none_or(|h| now.since(h) > silent_s)
        };
        let Some(m) = self.machines.get_mut(&id).filter(silent) else {
            return;
        };
        if !ours || !self.loaded {
            return;
        }
        let newest = m
            .acknowledgement
            .last_report
            .max(m.acknowledgement.last_direct_response);
        if newest.is_some_and(|n| n >= report_version) {
            return;
        }
        // Not heard since the takeover: that our token is in it shows that it was written
        // in our term, and that its worker heeds no earlier holder any more.
        m.identity.endpoint = m.identity.endpoint.or(report.endpoint.parse().ok());
        if m.identity.zone.is_empty() {
            m.identity.zone.clone_from(&report.zone);
        }
        let newer_incarnation = newest.is_some_and(|l| l.incarnation < report_version.incarnation);
        // Apart from `last`: a report that was sent before is still one to be answered,
        // from which its worker's lease, and so its silence, counts.
        m.acknowledgement.last_direct_response = Some(report_version);
        let newer = Newer {
            report_version,
            incarnation: newer_incarnation,
            ours,
            timed_out: false,
            direct: true,
        };
        self.reconcile(now, id, newer, report, job_store);
    }

    /// Guard 4: an answer that renews a lease stops each listed task whose job our
    /// copy knows to be over, whether or not the books are read and the worker has
    /// shown our token: it names one attempt, and frees nothing. Answers without it
    /// renewed the leases of cancelled tasks anew for H and a lease, counted from a
    /// takeover that came after the cancellation.
    fn kills_of_ended_jobs(
        &self,
        report: &WorkerReport,
        job_store: &JobStore,
    ) -> Vec<WorkerCommand> {
        let over = self.listed_of_ended_jobs(report, job_store);
        over.into_iter()
            .map(|(task, a)| WorkerCommand::kill(task, a, 0.0))
            .collect()
    }

    /// What a worker lists as live though its job is over.
    fn listed_of_ended_jobs(
        &self,
        report: &WorkerReport,
        job_store: &JobStore,
    ) -> Vec<(TaskId, Attempt)> {
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
            .filter(|p| p.status != ReportedStatus::Exited);
        let tasks = live.filter_map(|p| Some((p.task_id()?, Attempt(p.attempt))));
        tasks
            .filter(|(task, _)| over(task))
            .take(MAX_ORDERS)
            .collect()
    }

    fn reconcile(
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
            .filter_map(|p| Some((p.task_id()?, p)))
            .collect();
        let tasks: Vec<(TaskId, Attempt, TaskState)> = match self.machines.get(&id) {
            Some(m) => m
                .resident
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
                m.acknowledgement.tracker.record_acknowledged();
            } else if lost {
                elsewhere = m
                    .acknowledgement
                    .tracker
                    .record_unacknowledged(now, timed_out);
            }
        }
        if elsewhere {
            tracing::info!("{id} reports and takes no answers: its tasks go elsewhere for now");
        }
        for (task, attempt, state) in tasks {
            let here = listed(task, attempt);
            if here.is_some_and(ReportedTask::occupied_machine) {
                self.nominations.on_started(now, task, attempt);
            }
            match here {
                Some(p) => match p.status {
                    ReportedStatus::Exited => self.on_exit(now, id, task, p.cause.as_ref()),
                    status => {
                        let phase = match status {
                            ReportedStatus::Running => TaskPhase::Running,
                            ReportedStatus::Checkpointing => TaskPhase::Checkpointing,
                            // Guard 5: a status that is not known is decoded to this one.
                            _ => TaskPhase::FetchingImage,
                        };
                        if let Some(e) = self.allocation_mut(id, task) {
                            if phase == TaskPhase::Running && e.started_at.is_none() {
                                e.started_at = Some(now);
                            }
                            e.state = TaskState::Observed(phase);
                        }
                        if phase == TaskPhase::Running {
                            let image = self.jobs.get(&task.job).map(|j| j.spec.image.clone());
                            if let (Some(image), Some(m)) = (image, self.machines.get_mut(&id)) {
                                if m.resident.cached_images.last() != Some(&image) {
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
                        self.release_allocation(now, id, task, false, 0.0)
                    }
                    // The report carries our token and is newer than the one
                    // answered with `run`: the answer was dropped. What was to be
                    // stopped meanwhile has nothing to start for: as a placement whose
                    // `run` never goes out it stayed on its machine for ever.
                    TaskState::RunSent(at) if ours && report_version > at => {
                        let stopped = self.allocation_mut(id, task).is_some_and(|e| {
                            e.state = TaskState::Committed;
                            e.kill_grace_s.is_some()
                        });
                        let stopped = stopped && !broken!(self.faults, stuck_stop);
                        if elsewhere || stopped {
                            self.release_allocation(now, id, task, false, 0.0);
                        }
                    }
                    TaskState::Observed(_) | TaskState::Inherited
                        if ours || broken!(self.faults, hasty_proof) =>
                    {
                        self.release_allocation(now, id, task, false, 0.0)
                    }
                    _ => {}
                },
            }
        }
        // Orphans: on the machine, not in our books.
        let live: BTreeMap<TaskId, Attempt> = reported_tasks
            .iter()
            .filter(|(_, p)| p.status != ReportedStatus::Exited)
            .map(|(task, p)| (*task, Attempt(p.attempt)))
            .collect();
        let known = |task: &TaskId, attempt: &Attempt| {
            let entry = self
                .machines
                .get(&id)
                .and_then(|m| m.resident.allocations.get(task));
            entry.is_some_and(|e| e.attempt == *attempt)
        };
        let orphans: Vec<OrphanTask> = live
            .into_iter()
            .filter(|(task, attempt)| !known(task, attempt))
            .map(|(task, attempt)| self.new_orphan(task, attempt, job_store))
            .collect();
        let old = match self.machines.get_mut(&id) {
            Some(m) => std::mem::replace(&mut m.resident.orphans, orphans.clone()),
            None => return,
        };
        for o in &orphans {
            tracing::debug!("{id} runs {}, which is not in our books", o.task);
            if let Some(job) = self.jobs.get_mut(&o.task.job) {
                *job.attempts_by_task.entry(o.task.index).or_insert(0) += 1;
            }
        }
        // After a cut hundreds come at once, in reports that were held: one line
        // for all of them.
        if let Some(o) = orphans.first().filter(|o| !old.contains(o)) {
            let example = format!("{} on {id}", o.task);
            let strangers = self.unreported_orphans.get_or_insert((now, 0, example));
            strangers.1 += orphans.len();
        }
        self.release_orphans(now, old);
    }

    /// Guard: its use counts for its team and its machine, also when its job is over:
    /// left out, the room of a cancelled task was given away while it was there.
    fn new_orphan(&self, task: TaskId, attempt: Attempt, job_store: &JobStore) -> OrphanTask {
        let spec = job_store.get(task.job).and_then(|e| e.spec.as_deref());
        let resources = spec.map_or(UNKNOWN_NEED, resources_of);
        OrphanTask {
            task,
            attempt,
            resources,
            team: spec.and_then(|s| self.team_index(s)),
        }
    }

    /// Says how many tasks were found that the books do not know.
    pub(super) fn log_orphans(&mut self, now: Time) {
        if self
            .unreported_orphans
            .as_ref()
            .is_none_or(|(since, ..)| now.since(*since) < STRANGERS_S)
        {
            return;
        }
        if let Some((_, count, example)) = self.unreported_orphans.take() {
            tracing::warn!(
                "{count} tasks found that are not in our books, such as {example}; they are stopped"
            );
        }
    }

    fn release_orphans(&mut self, now: Time, orphans: Vec<OrphanTask>) {
        for OrphanTask { task, .. } in orphans {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                if job.release_attempt(task.index) && !job.progress.is_done(task.index) {
                    job.retry_at.insert(task.index, now);
                    self.replan = true;
                }
            }
        }
    }

    fn on_exit(&mut self, now: Time, id: MachineId, task: TaskId, cause: Option<&ExitCause>) {
        self.event_log.note(|| What::Ended {
            task: task.to_string(),
            machine: id.to_string(),
            why: cause
                .map_or("unknown", ExitCause::as_str)
                .chars()
                .take(40)
                .collect(),
        });
        let service = self
            .jobs
            .get(&task.job)
            .is_some_and(|j| j.spec.kind == JobKind::Service);
        match cause {
            Some(ExitCause::Done) => {
                self.record_run_time(now, id, task);
                self.on_success(id, task.job);
                self.release_allocation(now, id, task, !service, 1.0);
            }
            Some(ExitCause::Error) => {
                let delay = self.on_failure(now, id, task.job);
                self.release_allocation(now, id, task, false, delay);
            }
            // Something is there that our books don't know: try elsewhere.
            Some(ExitCause::Full) => {
                self.on_refusal(now, id);
                self.release_allocation(now, id, task, false, 0.5)
            }
            Some(ExitCause::Unknown) => {
                tracing::info!("{id} does not know {task}");
                self.release_allocation(now, id, task, false, 2.0);
            }
            // Another attempt stands there: the next report shows it as a ghost.
            Some(ExitCause::InUse) => {
                self.on_refusal(now, id);
                self.release_allocation(now, id, task, false, 1.0)
            }
            Some(ExitCause::Stopped) => self.release_allocation(now, id, task, false, 0.0),
            other => {
                // Guard 5: exited is exited, but only `done` counts as done.
                tracing::info!("{task} exited on {id} for an unknown cause {other:?}");
                self.release_allocation(now, id, task, false, 1.0);
            }
        }
    }

    fn on_refusal(&mut self, now: Time, id: MachineId) {
        if let Some(m) = self.machines.get_mut(&id) {
            m.health.refuses_until = now.plus(self.report_s * 2.0 + 1.0);
        }
    }

    /// Run times correct the estimates of a class and a job, and tell slow
    /// machines: those that take long for a job whose tasks elsewhere do not.
    /// By the class alone a job whose owner guessed too low would condemn every
    /// machine it ran on.
    fn record_run_time(&mut self, now: Time, id: MachineId, task: TaskId) {
        let Some(e) = self.allocation_mut(id, task).filter(|e| !e.inherited) else {
            return;
        };
        let Some(ran) = e.started_at.map(|s| now.since(s) + self.report_s * 0.25) else {
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
        let before = job.run_time_ratios;
        job.run_time_ratios.record(ratio);
        let factor = self
            .run_time_ratios
            .entry(job.spec.class.to_string())
            .or_insert(1.0);
        // Geometric, since estimates are off by factors; slowly, since one job
        // brings many tasks that share its error.
        *factor = (*factor * (ratio / *factor).powf(0.03)).clamp(0.2, 5.0);
        if before.samples < MIN_RUN_TIME_SAMPLES {
            return;
        }
        let relative = ratio / before.mean();
        if let Some(m) = self.machines.get_mut(&id) {
            m.health.speed.ratio *= (relative / m.health.speed.ratio).powf(0.4);
            m.health.speed.samples += 1;
            if m.health.speed.samples >= 3 && m.health.speed.ratio > 2.0 && !m.health.slow {
                tracing::info!(
                    "{id} takes {:.1} times as long as others and is set aside",
                    m.health.speed.ratio
                );
                m.health.slow = true;
                let why = format!("takes {:.1} times as long as others", m.health.speed.ratio);
                self.event_log.note(|| What::SetAside {
                    machine: id.to_string(),
                    why,
                });
            }
        }
    }

    fn on_success(&mut self, id: MachineId, job: JobId) {
        let verdict = self.fault_attribution.record_success(id, job);
        self.apply_attribution(&verdict);
    }

    /// Weighs a failure: is it the machine's fault or the job's? Returns how
    /// long the task waits before its next try.
    fn on_failure(&mut self, now: Time, id: MachineId, job: JobId) -> f64 {
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
            m.health.quarantined = true;
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
            m.health.quarantined = false;
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
        let over = self.listed_of_ended_jobs(report, job_store);
        let stop = |(task, attempt): &(TaskId, Attempt)| WorkerCommand::kill(*task, *attempt, 0.0);
        let mut commands: Vec<WorkerCommand> = over.iter().map(stop).collect();
        let Some(m) = self.machines.get_mut(&id) else {
            return commands;
        };
        if let Some(notice) = report.reclaim_in_s {
            // A task that can save does so before the machine is taken, unless
            // it will be done by then; one that cannot runs on, for luck.
            for (task, e) in m
                .resident
                .allocations
                .iter_mut()
                .filter(|(_, e)| e.kill_grace_s.is_none())
            {
                let Some(job) = self.jobs.get(&task.job) else {
                    continue;
                };
                let ran = e.ran_s(now);
                if job.spec.checkpoint_interval_s > 0.0
                    && matches!(e.state, TaskState::Observed(TaskPhase::Running))
                    && job.spec.checkpoint_duration_s < notice
                    && job.spec.expected_run_s - ran > notice * 0.5
                {
                    e.kill_grace_s = Some(job.spec.checkpoint_duration_s);
                }
            }
        }
        let room = MAX_ORDERS - commands.len();
        let orphans = m.resident.orphans.iter().map(|o| (o.task, o.attempt));
        let orphans: Vec<_> = orphans.filter(|o| !over.contains(o)).take(room).collect();
        commands.extend(orphans.iter().map(stop));
        for p in report
            .reported_tasks
            .iter()
            .filter(|p| p.status == ReportedStatus::Exited)
        {
            if commands.len() >= MAX_ORDERS {
                break;
            }
            let Some(task) = p.task_id() else {
                continue;
            };
            if self
                .allocation_mut(id, task)
                .is_some_and(|e| e.attempt.0 == p.attempt)
            {
                continue;
            }
            if p.cause != Some(ExitCause::Done) || self.result_is_durable(task) {
                commands.push(WorkerCommand::clear(task, Attempt(p.attempt)));
            }
        }
        self.pending_kills.remove(&id);
        let may_run = self.may_run(now);
        let Some(m) = self.machines.get_mut(&id) else {
            return commands;
        };
        for (task, e) in m
            .resident
            .allocations
            .iter()
            .filter(|(_, e)| e.kill_grace_s.is_some())
        {
            let stops =
                matches!(e.state, TaskState::Observed(_)) && !over.contains(&(*task, e.attempt));
            if stops && commands.len() < MAX_ORDERS {
                commands.extend(e.kill_command(*task));
            }
        }
        // What was placed into room that was there goes first, then what others
        // were stopped for, then, the more urgent first, what was placed ahead and
        // fits by now.
        let mut free = m.free(machine_types);
        // A kept place that is not committed yet is nobody else's either.
        for e in m
            .resident
            .allocations
            .values()
            .filter(|e| e.reserved && e.state == TaskState::Planned)
        {
            free.sub(&e.resources);
        }
        let drained = m.lifecycle.drain.is_some();
        let urgency = |t: &TaskId| self.jobs.get(&t.job).map(|j| j.spec.urgency);
        let mut runs: Vec<(TaskId, &mut Allocation)> = m
            .resident
            .allocations
            .iter_mut()
            .filter(|(_, e)| e.state == TaskState::Committed && e.kill_grace_s.is_none())
            .map(|(t, e)| (*t, e))
            .collect();
        runs.sort_by_key(|(t, e)| {
            (
                e.nominated_at.is_some(),
                !e.reserved,
                Reverse(urgency(t)),
                e.attempt,
            )
        });
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
            let waits = e.nominated_at.is_some() && !e.resources.fits(&free);
            if !open || stopped || waits {
                if e.reserved {
                    free.sub(&e.resources);
                }
                continue;
            }
            free.sub(&e.resources);
            e.nominated_at = None;
            e.reserved = false;
            e.state = TaskState::RunSent(report_version);
            commands.push(WorkerCommand::run(task, e.attempt));
        }
        commands
    }

    /// Workers to call directly since they have something to stop and their next
    /// report may be long in coming.
    ///
    /// `run` never goes this way, since a held packet could act late. A `kill`
    /// may: it names one attempt.
    pub fn take_pending_kills(
        &mut self,
    ) -> Vec<(MachineId, SocketAddrV4, u64, Vec<WorkerCommand>)> {
        let mut calls = Vec::new();
        let due: Vec<MachineId> = self.pending_kills.iter().take(MAX_STOPS).copied().collect();
        for id in due {
            self.pending_kills.remove(&id);
            let Some(m) = self
                .machines
                .get(&id)
                .filter(|m| m.acknowledgement.has_current_token)
            else {
                continue;
            };
            let (Some(endpoint), Some(last_report)) =
                (m.identity.endpoint, m.acknowledgement.last_report)
            else {
                continue;
            };
            let stop = |e: &Allocation| {
                matches!(e.state, TaskState::Observed(_)) && e.kill_grace_s.is_some()
            };
            let kills = m.resident.allocations.iter().filter(|(_, e)| stop(e));
            let commands: Vec<WorkerCommand> =
                kills.filter_map(|(t, e)| e.kill_command(*t)).collect();
            if !commands.is_empty() {
                calls.push((id, endpoint, last_report.incarnation, commands));
            }
        }
        calls
    }

    /// Silent for longer than two reports take.
    pub(super) fn silence_timeout_s(&self) -> f64 {
        self.report_s * 2.0 + 1.0
    }

    /// Machines with tasks that fell silent: perhaps they reach nobody, and can be
    /// reached. They are asked in turn, and told once more what is to stop there.
    pub fn silent_machines_with_tasks(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (MachineId, SocketAddrV4, u64, Vec<WorkerCommand>)> + '_ {
        let quiet = move |m: &Machine| match m.liveness.last_heartbeat {
            Some(at) => {
                m.acknowledgement.has_current_token && now.since(at) > self.silence_timeout_s()
            }
            // Since a takeover it has said something only when it was asked.
            None => m.acknowledgement.last_direct_response.is_some(),
        };
        let there = |m: &Machine| {
            m.resident
                .allocations
                .values()
                .any(Allocation::may_be_on_machine)
        };
        let machines = self
            .machines
            .iter()
            .filter(move |(_, m)| quiet(m) && there(m));
        let call = |(id, m): (&MachineId, &Machine)| {
            let stop =
                |(_, e): &(&TaskId, &Allocation)| e.may_be_on_machine() && e.kill_grace_s.is_some();
            let kills = m.resident.allocations.iter().filter(stop).take(MAX_ORDERS);
            let commands = kills.filter_map(|(t, e)| e.kill_command(*t)).collect();
            Some((
                *id,
                m.identity.endpoint?,
                m.acknowledgement
                    .last_report
                    .max(m.acknowledgement.last_direct_response)?
                    .incarnation,
                commands,
            ))
        };
        machines.filter_map(call)
    }

    /// A result counts even if we lost track of its task, and may be cleared
    /// only once the state service knows it.
    fn result_is_durable(&mut self, task: TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job) else {
            return true;
        };
        if job.spec.kind != JobKind::Batch || task.index >= job.spec.tasks {
            return true;
        }
        let live = job.attempts_by_task.contains_key(&task.index);
        let durable = job.progress.is_durable(task.index);
        if !live && !job.progress.is_done(task.index) {
            self.mark_done(task);
        }
        live || durable || broken!(self.faults, early_clear)
    }

    /// The cloud has confirmed that the machine and all on it are gone.
    pub fn machine_gone(&mut self, now: Time, id: MachineId) {
        if self.removed_machines.len() >= MAX_GONE_MACHINES {
            // Names are given in order: the lowest has been gone longest, or nearly.
            self.removed_machines.pop_first();
        }
        self.removed_machines.insert(id);
        let tasks: Vec<TaskId> = match self.machines.get(&id) {
            Some(m) => m.resident.allocations.keys().copied().collect(),
            None => return,
        };
        for task in tasks {
            self.release_allocation(now, id, task, false, 0.0);
        }
        self.drop_orphans(now, id);
        if let Some(m) = self.machines.get_mut(&id) {
            m.lifecycle.returning = true;
            m.acknowledgement.has_current_token = false;
            m.liveness.last_heartbeat = None;
            if m.resident.allocations.is_empty() {
                self.fault_attribution.forget_machine(id);
                self.machines.remove(&id);
            }
        }
    }

    fn drop_orphans(&mut self, now: Time, id: MachineId) {
        let orphans = match self.machines.get_mut(&id) {
            Some(m) => std::mem::take(&mut m.resident.orphans),
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
            true => self.acquired_at.plus(lease_s),
            false => self.previous_leases_until,
        };
        for (id, m) in &self.machines {
            if m.is_empty() {
                if m.liveness
                    .last_heartbeat
                    .is_none_or(|h| now.since(h) > self.lease_s * 6.0)
                    && now.since(self.acquired_at) > self.lease_s * 6.0
                {
                    over.push((*id, true));
                }
                continue;
            }
            // `run` never went out for these: they can go elsewhere at once.
            if m.liveness
                .last_heartbeat
                .is_none_or(|h| now.since(h) > self.report_s * 3.0 + 2.0)
            {
                let waiting = m.resident.allocations.iter().filter(|(_, e)| {
                    !e.in_flight && matches!(e.state, TaskState::Planned | TaskState::Committed)
                });
                unsent.extend(waiting.map(|(t, _)| (*id, *t)));
            }
            let ours = m.liveness.last_answered.map(|a| a.plus(lease_s));
            // Until it has shown our token, our answers may have been lost and
            // an earlier holder's may still keep its tasks alive.
            let inherited = !m.acknowledgement.ever_had_current_token;
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
            self.release_allocation(now, machine, task, false, 0.0);
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
                if m.resident
                    .allocations
                    .values()
                    .any(|e| matches!(e.state, TaskState::RunSent(_)))
                {
                    m.acknowledgement.tracker.record_unacknowledged(now, true);
                }
            }
            let tasks: Vec<TaskId> = match self.machines.get(&id) {
                Some(m) => m
                    .resident
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
                self.release_allocation(now, id, task, false, 0.0);
            }
            self.drop_orphans(now, id);
        }
    }
}

#[cfg(test)]
mod tests;
