//! The books in the state service: reading them after a takeover, and the
//! transactions that change them.

use super::*;
use std::cmp::Reverse;

/// How often progress is written. What ended since is still listed by its
/// worker, so a takeover in between loses nothing.
const PROGRESS_WRITE_INTERVAL_S: f64 = 0.5;
/// Pages without use that may stay until writes are to spare.
const DEAD_PAGES: usize = 150;
/// Part of the write rate that removals may take when there are more.
const CROWD_PART: f64 = 0.4;
/// How long what the state service does not take is left alone.
const ASIDE_S: f64 = 30.0;

/// What a transaction is made of, in the order of importance.
#[derive(Clone, Copy)]
enum Kind {
    Finals,
    Pages,
    ProgressPages,
    Removals,
}

const KINDS: [Kind; 4] = [
    Kind::Finals,
    Kind::Pages,
    Kind::ProgressPages,
    Kind::Removals,
];

impl Scheduler {
    // ---- loading ----

    /// Reads pages and progress again: after a takeover, and whenever a
    /// transaction's fate is unknown.
    pub(super) fn reload(&mut self) {
        if self.recovery.is_none() {
            self.recovery = Some(RecoveryLoad {
                pages: Vec::new(),
                progress: Vec::new(),
                stage: SchedulerCall::Pages,
                in_flight: false,
                after: None,
            });
        }
    }

    pub(super) fn drive_load(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        let Some(load) = &mut self.recovery else {
            return;
        };
        if load.in_flight || !self.load_backoff.is_due(now) {
            return;
        }
        load.in_flight = true;
        let prefix = match load.stage {
            SchedulerCall::Pages => placement_pages::PAGE_PREFIX,
            _ => placement_pages::PROGRESS_PREFIX,
        };
        store.scan(
            now,
            Priority::Admission,
            Tag::Scheduler(load.stage),
            prefix,
            load.after.as_deref(),
        );
    }

    pub(super) fn on_load(
        &mut self,
        now: Time,
        call: SchedulerCall,
        reply: Reply<Tag>,
        job_store: &JobStore,
    ) {
        let Some(load) = &mut self.recovery else {
            return;
        };
        load.in_flight = false;
        let Outcome::Ok(body) = reply.outcome else {
            self.load_backoff.on_refused(now);
            return;
        };
        let Ok(scan) = wire::decode::<ScanResponse>(&body) else {
            self.load_backoff.on_refused(now);
            return;
        };
        self.load_backoff.on_success();
        self.last_store_progress = now;
        load.after = if scan.more {
            scan.entries.last().map(|p| p.key.clone())
        } else {
            None
        };
        match call {
            SchedulerCall::Pages => load.pages.extend(scan.entries),
            _ => load.progress.extend(scan.entries),
        }
        if load.after.is_some() {
            return;
        }
        if call == SchedulerCall::Pages {
            load.stage = SchedulerCall::Progress;
            return;
        }
        let Some(load) = self.recovery.take() else {
            return;
        };
        self.restore(now, load, job_store);
    }

    /// A value of a form or version that this program does not know: nothing
    /// is guessed, placement stops.
    fn halt_unreadable(&mut self, path: &str) {
        tracing::error!("{path} has a form or version this program does not know; placement stops");
        self.halted = true;
    }

    pub(super) fn restore(&mut self, now: Time, load: RecoveryLoad, job_store: &JobStore) {
        let ids: Vec<JobId> = job_store
            .iter()
            .filter(|(_, e)| e.state == JobState::Open)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.sync_job(now, id, job_store);
        }
        self.progress_pages.begin_load();
        for item in &load.progress {
            let (path, revision) = (&item.key, Revision(item.revision));
            if self
                .progress_pages
                .load(path, revision, &item.value, &mut self.jobs)
                .is_err()
            {
                return self.halt_unreadable(&item.key);
            }
        }
        for (id, job) in &self.jobs {
            for chunk in job.progress.dirty_chunks() {
                self.progress_pages.mark_dirty(
                    *id,
                    job.progress.first_task_of(chunk),
                    job.spec.tasks,
                );
            }
            if job.is_complete() && job.state == JobState::Open {
                self.completed_jobs.insert(*id);
            }
        }
        self.pages.clear();
        let mut rows: Vec<(PlacementRow, PageId)> = Vec::new();
        for item in &load.pages {
            let Ok(page) = placement_pages::decode_page(&item.value) else {
                return self.halt_unreadable(&item.key);
            };
            let no = self.pages.insert(item.key.clone(), Revision(item.revision));
            rows.extend(page.into_iter().map(|r| (r, no)));
        }
        if self.loaded {
            self.reattach_pages(now, rows);
        } else {
            self.inherit_allocations(now, rows, job_store);
        }
        self.loaded = true;
        self.replan = true;
    }

    /// After a transaction of unknown fate: what of it is in the books now.
    ///
    /// Only we can have written pages since we hold the block, and rows that we
    /// do not know have ended, or were plans given up before any `run`.
    fn reattach_pages(&mut self, now: Time, rows: Vec<(PlacementRow, PageId)>) {
        for m in self.machines.values_mut() {
            for e in m.resident.allocations.values_mut() {
                e.page = None;
                e.in_flight = false;
            }
        }
        for (row, no) in rows {
            if let Some(e) = self
                .allocation_mut(row.machine, row.task)
                .filter(|e| e.attempt == row.attempt)
            {
                e.page = Some(no);
                if e.state == TaskState::Planned {
                    e.state = TaskState::Committed;
                }
                self.pages.retain(no);
            }
        }
        self.commit_queue.clear();
        let mut ended = Vec::new();
        for (id, m) in &self.machines {
            for (task, e) in &m.resident.allocations {
                match e.state {
                    TaskState::Planned | TaskState::Committed if e.kill_grace_s.is_some() => {
                        ended.push((*id, *task))
                    }
                    TaskState::Planned => self.commit_queue.push_back((*id, *task)),
                    _ => {}
                }
            }
        }
        for (machine, task) in ended {
            self.release_allocation(now, machine, task, false, 0.0);
        }
    }

    /// After a takeover: what earlier holders placed may or may not be there.
    fn inherit_allocations(
        &mut self,
        now: Time,
        rows: Vec<(PlacementRow, PageId)>,
        job_store: &JobStore,
    ) {
        // Guard 3: a task that is done has exited, and of several rows for one
        // task only the newest can be on a machine.
        let jobs = &self.jobs;
        let done = |t: &TaskId| {
            jobs.get(&t.job)
                .is_some_and(|j| j.progress.is_done(t.index))
        };
        let rows = placement_pages::newest_rows(rows.into_iter().filter(|(r, _)| !done(&r.task)));
        for (row, no) in rows {
            let spec = job_store.get(row.task.job).and_then(|e| e.spec.clone());
            let over = job_store
                .get(row.task.job)
                .is_none_or(|e| e.state != JobState::Open);
            let over = over && !broken!(self.faults, inherited_runs);
            // Without a description its size is unknown: the machine is full.
            let resources = spec.as_ref().map_or(UNKNOWN_NEED, |s| resources_of(s));
            let team = spec.as_ref().and_then(|s| self.team_index(s));
            let m = self
                .machines
                .entry(row.machine)
                .or_insert_with(|| Machine::new(now));
            let mut allocation = Allocation::inherited(row.attempt, resources, team, now, no);
            allocation.kill_grace_s = over.then_some(0.0);
            m.resident.allocations.insert(row.task, allocation);
            self.pages.retain(no);
            if let Some(job) = self.jobs.get_mut(&row.task.job) {
                *job.attempts_by_task.entry(row.task.index).or_insert(0) += 1;
            }
        }
        tracing::info!(
            "loaded {} jobs and {} machines from the pages",
            self.jobs.len(),
            self.machines.len()
        );
    }

    // ---- changing ----

    /// One transaction carries all that changed: finished jobs, new pages,
    /// progress, and the removal of pages whose tasks have all ended.
    ///
    /// What does not fit stays for the next; where few writes fit, the kinds
    /// take turns, so that no backlog of one keeps another waiting for ever.
    pub(super) fn commit(&mut self, now: Time, store: &mut StoreClient<Tag>) {
        if self.in_flight.is_some() || self.recovery.is_some() || now < self.next_commit_at {
            return;
        }
        if !self.commit_backoff.is_due(now) {
            return;
        }
        let limits = store.limits().divided_by(self.commit_backoff.divisor());
        let limits = match broken!(self.faults, unbounded) {
            true => beamhinge_rate_limit::TransactionLimits {
                conditions: limits.conditions * 2,
                ..limits
            },
            false => limits,
        };
        let mut transaction = Transaction::new(limits);
        // Guard 1: whoever lost the block can commit nothing.
        let rests = broken!(self.faults, no_block)
            || transaction
                .require(BLOCK_KEY, Revision(self.fencing_token.0))
                .is_ok();
        if !rests {
            return;
        }
        // No placement made by an older version of the teams' limits commits.
        if let Some((key, revision)) = self.configuration_condition {
            if !broken!(self.faults, no_configuration)
                && transaction.require(key, revision).is_err()
            {
                return;
            }
        }
        self.deferred.retain(|_, until| *until > now);
        let few = limits.writes < KINDS.len();
        let first = if few { self.next_write_kind } else { 0 };
        let mut in_flight = InFlightCommit::default();
        for k in 0..KINDS.len() {
            match KINDS[(first + k) % KINDS.len()] {
                Kind::Finals => self.add_finals(&mut transaction, few, &mut in_flight),
                // One write stays for progress, without which nothing is cleared.
                Kind::Pages => {
                    let keep = usize::from(!few);
                    while transaction.remaining_writes() > keep
                        && self.add_page(now, &mut transaction, &mut in_flight)
                    {
                    }
                }
                Kind::ProgressPages => {
                    self.add_progress_pages(now, &mut transaction, &mut in_flight)
                }
                Kind::Removals => self.add_removals(now, store, &mut transaction, &mut in_flight),
            }
        }
        if transaction.write_count() == 0 {
            return;
        }
        self.next_write_kind = (self.next_write_kind + 1) % KINDS.len();
        tracing::debug!(
            finals = in_flight.finals.len(),
            pages = in_flight.pages.len(),
            rows = in_flight
                .pages
                .iter()
                .map(|(_, rows)| rows.len())
                .sum::<usize>(),
            progress_pages = in_flight.progress_write.written_pages().count(),
            removals = in_flight.dead.len(),
            left = self.commit_queue.len(),
            dead = self.pages.unreferenced_count(),
            "commit"
        );
        self.in_flight = Some(in_flight);
        self.next_commit_at = now.plus(0.02);
        store.commit(
            now,
            Priority::Scheduler,
            Tag::Scheduler(SchedulerCall::Commit),
            transaction,
        );
    }

    pub(super) fn is_deferred(&self, part: WorkUnit) -> bool {
        self.deferred.contains_key(&part)
    }

    /// `done` is written only when every task is, and on condition that nobody
    /// cancelled the job meanwhile.
    fn add_finals(
        &mut self,
        transaction: &mut Transaction,
        few: bool,
        in_flight: &mut InFlightCommit,
    ) {
        let most = if few {
            transaction.remaining_writes()
        } else {
            transaction.remaining_writes() / 2
        };
        let mut due: Vec<JobId> = self
            .completed_jobs
            .iter()
            .filter(|id| !self.is_deferred(WorkUnit::Job(**id)))
            .copied()
            .collect();
        // Where more end than can be written, those are told first whose users wait
        // for something: by their ids, urgent work with a deadline was told minutes
        // late behind thousands of guests' single tasks.
        if due.len() > most {
            due.sort_by_key(|id| {
                let spec = self.jobs.get(id).map(|j| &j.spec);
                Reverse(spec.map(|s| (s.urgency, s.due_s.is_some(), Reverse(s.submitted))))
            });
        }
        for id in due {
            if in_flight.finals.len() >= most {
                return;
            }
            if let Some(job) = self.jobs.get(&id).filter(|j| j.state == JobState::Open) {
                let record = job_store::done_record(&job.spec);
                if transaction
                    .put(job_store::key(id), job.revision, record, None)
                    .is_err()
                {
                    return;
                }
                in_flight.finals.push(id);
            }
            self.completed_jobs.remove(&id);
        }
    }

    /// One more page with the next plans; false when none went in.
    fn add_page(
        &mut self,
        now: Time,
        transaction: &mut Transaction,
        in_flight: &mut InFlightCommit,
    ) -> bool {
        let key = self.pages.new_key();
        let most_bytes = transaction
            .remaining_value_bytes(key.len())
            .min(self.max_value_bytes);
        // A condition stays for each write that may follow: a page that took
        // them all left a transaction that was refused as too large, for ever.
        let keep = transaction.remaining_writes();
        let mut rows: Vec<PlacementRow> = Vec::new();
        while rows.len() < placement_pages::rows_per_page(most_bytes)
            && transaction.remaining_conditions() > keep
        {
            let Some((machine, task)) = self.commit_queue.pop_front() else {
                break;
            };
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let revision = job.revision;
            let Some(e) = self.allocation_mut(machine, task) else {
                continue;
            };
            if e.state != TaskState::Planned || e.in_flight {
                continue;
            }
            // Guard 2: a placement rests on its job being neither cancelled
            // nor done.
            if transaction
                .require(job_store::key(task.job), revision)
                .is_err()
            {
                self.commit_queue.push_front((machine, task));
                break;
            }
            if let Some(e) = self.allocation_mut(machine, task) {
                e.in_flight = true;
                rows.push(PlacementRow {
                    machine,
                    task,
                    attempt: e.attempt,
                });
            }
        }
        if rows.is_empty() {
            return false;
        }
        let mut value = placement_pages::encode_page(&rows);
        // Longer names than usual: fewer rows fit.
        while wire::json_len(&value) > most_bytes && rows.len() > 1 {
            let rest = rows.split_off(rows.len() / 2);
            self.requeue_rows(rest);
            value = placement_pages::encode_page(&rows);
        }
        match transaction.put(key.clone(), Revision(0), value, None) {
            Ok(()) => in_flight.pages.push((key, rows)),
            Err(TransactionError::TooLarge { bytes, limit }) => {
                tracing::error!("a page of one row takes {bytes} bytes of {limit}");
                let jobs: BTreeSet<JobId> = rows.iter().map(|r| r.task.job).collect();
                self.requeue_rows(rows);
                jobs.into_iter().for_each(|job| self.defer_job(now, job));
                return false;
            }
            Err(_) => {
                self.requeue_rows(rows);
                return false;
            }
        }
        true
    }

    /// Rows that did not go out are planned as before, in the same order.
    fn requeue_rows(&mut self, rows: Vec<PlacementRow>) {
        for row in rows.into_iter().rev() {
            let Some(e) = self.allocation_mut(row.machine, row.task) else {
                continue;
            };
            if e.attempt == row.attempt && e.state == TaskState::Planned {
                e.in_flight = false;
                self.commit_queue.push_front((row.machine, row.task));
            }
        }
    }

    /// A job whose placement the state service does not take waits, so that
    /// the others go on.
    fn defer_job(&mut self, now: Time, id: JobId) {
        self.withdraw_planned(now, id);
        if let Some(j) = self.jobs.get_mut(&id) {
            j.hold_until = now.plus(ASIDE_S);
        }
    }

    fn add_progress_pages(
        &mut self,
        now: Time,
        transaction: &mut Transaction,
        in_flight: &mut InFlightCommit,
    ) {
        if now.since(self.last_progress_write) < PROGRESS_WRITE_INTERVAL_S {
            return;
        }
        let due: Vec<usize> = self
            .progress_pages
            .dirty_pages()
            .filter(|s| !self.is_deferred(WorkUnit::ProgressPage(*s)))
            .collect();
        // After the one written last, so that many full ones all get their turn.
        let (before, after): (Vec<usize>, Vec<usize>) =
            due.into_iter().partition(|s| *s <= self.last_progress_page);
        for progress_page in after.into_iter().chain(before) {
            let key = progress::progress_page_key(progress_page);
            if transaction.remaining_writes() == 0
                || transaction.remaining_value_bytes(key.len()) < self.max_value_bytes
            {
                return;
            }
            let revision = self.progress_pages.revision(progress_page);
            let mut one = ProgressWrite::default();
            let Some(value) =
                self.progress_pages
                    .begin_write(progress_page, &mut one, &mut self.jobs)
            else {
                continue;
            };
            match transaction.put(key, revision, value, None) {
                Ok(()) => {
                    in_flight.progress_write.append(one);
                    (self.last_progress_write, self.last_progress_page) = (now, progress_page);
                }
                Err(full) => {
                    self.progress_pages.on_write_failed(&one, &mut self.jobs);
                    if full != TransactionError::Full {
                        tracing::error!("shelf {progress_page} cannot be written: {full}");
                        self.deferred
                            .insert(WorkUnit::ProgressPage(progress_page), now.plus(ASIDE_S));
                    }
                }
            }
        }
    }

    /// Removals wait until writes are to spare: they only tidy up. A crowd of
    /// dead pages, as after a takeover, goes at a part of the rate, so that
    /// placing does not wait behind it.
    fn add_removals(
        &mut self,
        now: Time,
        store: &mut StoreClient<Tag>,
        transaction: &mut Transaction,
        in_flight: &mut InFlightCommit,
    ) {
        let (level, rate) = store.write_budget(now);
        let spare = (level - transaction.write_count() as f64 - rate * 0.4).max(0.0) as usize;
        let due = (now.since(self.last_cleanup) * rate * CROWD_PART).min(rate) as usize;
        let crowded = self
            .pages
            .unreferenced_count()
            .saturating_sub(DEAD_PAGES)
            .min(due);
        let mut room = transaction.remaining_writes().min(spare.max(crowded));
        let dead = self
            .pages
            .unreferenced()
            .filter(|(no, _, _)| !self.is_deferred(WorkUnit::Page(*no)));
        for (no, key, revision) in dead.take(room) {
            if transaction.delete(key, revision).is_err() {
                break;
            }
            in_flight.dead.push(no);
        }
        room = room.saturating_sub(in_flight.dead.len());
        let empty: Vec<usize> = self.progress_pages.empty_pages().take(room).collect();
        for progress_page in empty {
            if transaction
                .delete(
                    progress::progress_page_key(progress_page),
                    self.progress_pages.revision(progress_page),
                )
                .is_ok()
            {
                in_flight.progress_write.remove_page(progress_page);
                room -= 1;
            }
        }
        if room > 0 {
            let open = |id: JobId| self.jobs.contains_key(&id);
            let keys: Vec<(String, Revision)> = self
                .progress_pages
                .obsolete_keys(&open)
                .take(room)
                .map(|(k, s)| (k.clone(), s))
                .collect();
            for (key, revision) in keys {
                if transaction.delete(key.clone(), revision).is_ok() {
                    in_flight.progress_write.remove_legacy_key(key);
                }
            }
        }
        if !in_flight.dead.is_empty() {
            self.last_cleanup = now;
        }
    }

    /// What the state service keeps refusing, at the smallest size, rests and
    /// is named, so that the rest goes on.
    fn defer_work(&mut self, now: Time, in_flight: &InFlightCommit) {
        let until = now.plus(ASIDE_S);
        for id in &in_flight.finals {
            tracing::error!("the end of {id} is refused as malformed and waits");
            self.deferred.insert(WorkUnit::Job(*id), until);
        }
        let placed: BTreeSet<JobId> = in_flight
            .pages
            .iter()
            .flat_map(|(_, rows)| rows)
            .map(|r| r.task.job)
            .collect();
        for id in placed {
            tracing::error!("placing {id} is refused as malformed; it waits");
            self.defer_job(now, id);
        }
        for progress_page in in_flight.progress_write.written_pages() {
            tracing::error!("shelf {progress_page} is refused as malformed and waits");
            self.deferred
                .insert(WorkUnit::ProgressPage(progress_page), until);
        }
        for no in &in_flight.dead {
            self.deferred.insert(WorkUnit::Page(*no), until);
        }
    }

    pub fn on_reply(
        &mut self,
        now: Time,
        call: SchedulerCall,
        reply: Reply<Tag>,
        job_store: &mut JobStore,
    ) -> CommitOutcome {
        if call != SchedulerCall::Commit {
            self.on_load(now, call, reply, job_store);
            return CommitOutcome::Unchanged;
        }
        let Some(in_flight) = self.in_flight.take() else {
            return CommitOutcome::Unchanged;
        };
        let sent = reply.sent_at;
        match reply.outcome {
            Outcome::Ok(body) => {
                let Ok(done) = wire::decode::<CommitResponse>(&body) else {
                    self.on_not_committed(now, in_flight);
                    self.reload();
                    return CommitOutcome::Unchanged;
                };
                self.commit_backoff.on_success();
                self.last_store_progress = now;
                self.on_committed(now, in_flight, Revision(done.revision), job_store);
                CommitOutcome::Confirmed(sent)
            }
            Outcome::Conflict(failed) => {
                self.on_not_committed(now, in_flight);
                if failed.iter().any(|k| k == BLOCK_KEY) {
                    return CommitOutcome::Deposed;
                }
                let configuration = |k: &String| k.starts_with(configuration::PREFIX);
                let of_books = |k: &String| !k.starts_with(job_store::PREFIX) && !configuration(k);
                if failed.iter().any(of_books) {
                    self.reload();
                }
                // Plans for a job that changed are dropped; what it is now,
                // the book will tell.
                for id in failed
                    .iter()
                    .filter_map(|k| JobId::parse(k.strip_prefix(job_store::PREFIX)?))
                {
                    self.withdraw_planned(now, id);
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.hold_until = now.plus(0.3);
                    }
                }
                if failed.iter().any(configuration) {
                    return CommitOutcome::RefreshConfiguration;
                }
                CommitOutcome::RefreshJobs
            }
            Outcome::Refused => {
                self.on_not_committed(now, in_flight);
                self.commit_backoff.on_refused(now);
                CommitOutcome::Unchanged
            }
            // The same again would be refused again: less of it is tried, and
            // in the end what it holds is set aside.
            Outcome::Malformed => {
                if broken!(self.faults, unbounded) {
                    self.on_not_committed(now, in_flight);
                    return CommitOutcome::Unchanged;
                }
                let deferred = self.commit_backoff.on_malformed(now) == RetryAction::SetAside;
                if deferred {
                    self.defer_work(now, &in_flight);
                }
                self.on_not_committed(now, in_flight);
                if deferred {
                    self.commit_backoff.on_success();
                }
                CommitOutcome::Unchanged
            }
            // Whether it was or will be applied is unknown: read again.
            _ => {
                self.on_not_committed(now, in_flight);
                self.reload();
                CommitOutcome::RefreshJobs
            }
        }
    }

    fn withdraw_planned(&mut self, now: Time, id: JobId) {
        let planned: Vec<(MachineId, TaskId)> = self
            .commit_queue
            .iter()
            .filter(|(_, t)| t.job == id)
            .copied()
            .collect();
        for (machine, task) in planned {
            if self
                .allocation_mut(machine, task)
                .is_some_and(|e| e.state == TaskState::Planned)
            {
                self.release_allocation(now, machine, task, false, 0.3);
            }
        }
    }

    fn on_committed(
        &mut self,
        now: Time,
        in_flight: InFlightCommit,
        revision: Revision,
        job_store: &mut JobStore,
    ) {
        let mut ended = Vec::new();
        for (key, rows) in in_flight.pages {
            let no = self.pages.insert(key, revision);
            for row in rows {
                // What was given up meanwhile never gets its `run`.
                let Some(e) = self.allocation_mut(row.machine, row.task) else {
                    continue;
                };
                if e.attempt != row.attempt {
                    continue;
                }
                e.in_flight = false;
                e.state = TaskState::Committed;
                e.page = Some(no);
                if e.kill_grace_s.is_some() {
                    ended.push((row.machine, row.task));
                }
                self.pages.retain(no);
            }
        }
        for (machine, task) in ended {
            self.release_allocation(now, machine, task, false, 0.0);
        }
        self.progress_pages
            .on_written(in_flight.progress_write, revision, &mut self.jobs);
        for id in in_flight.finals {
            job_store.on_committed(id, revision, JobState::Done, None);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.state = JobState::Done;
                job.revision = revision;
                self.terminating_jobs.insert(id);
            }
            tracing::debug!("{id} is done");
            self.event_log.record(|| What::Done {
                job: id.to_string(),
            });
        }
        for no in in_flight.dead {
            self.pages.on_removed(no);
        }
    }

    fn on_not_committed(&mut self, now: Time, in_flight: InFlightCommit) {
        for (_, rows) in in_flight.pages.into_iter().rev() {
            self.requeue_rows(rows);
        }
        self.progress_pages
            .on_write_failed(&in_flight.progress_write, &mut self.jobs);
        for id in in_flight.finals {
            if self
                .jobs
                .get(&id)
                .is_some_and(|j| j.state == JobState::Open)
            {
                self.completed_jobs.insert(id);
            }
        }
        self.next_commit_at = now.plus(0.05);
    }
}

#[cfg(test)]
mod tests;
