//! The books in the state service: reading them after a takeover, and the
//! transactions that change them.

use super::*;
use std::cmp::Reverse;

/// How often progress is written. What ended since is still listed by its
/// worker, so a takeover in between loses nothing.
const SHELVE_S: f64 = 0.5;
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
    Shelves,
    Removals,
}

const KINDS: [Kind; 4] = [Kind::Finals, Kind::Pages, Kind::Shelves, Kind::Removals];

impl Placement {
    // ---- loading ----

    /// Reads pages and progress again: after a takeover, and whenever a
    /// transaction's fate is unknown.
    pub(super) fn reload(&mut self) {
        if self.load.is_none() {
            self.load = Some(Load {
                pages: Vec::new(),
                progress: Vec::new(),
                stage: PlaceCall::Pages,
                flying: false,
                after: None,
            });
        }
    }

    pub(super) fn drive_load(&mut self, now: Time, ledger: &mut Ledger<Tag>) {
        let Some(load) = &mut self.load else { return };
        if load.flying || !self.loads.due(now) {
            return;
        }
        load.flying = true;
        let prefix = match load.stage {
            PlaceCall::Pages => blocks::PAGE_PREFIX,
            _ => blocks::PROGRESS_PREFIX,
        };
        ledger.scan(now, Priority::Accept, Tag::Place(load.stage), prefix, load.after.as_deref());
    }

    pub(super) fn on_load(
        &mut self,
        now: Time,
        call: PlaceCall,
        reply: Reply<Tag>,
        book: &JobBook,
    ) {
        let Some(load) = &mut self.load else { return };
        load.flying = false;
        let Outcome::Ok(body) = reply.outcome else {
            self.loads.busy(now);
            return;
        };
        let Ok(scan) = wire::decode::<Scan>(&body) else {
            self.loads.busy(now);
            return;
        };
        self.loads.succeeded();
        self.moved = now;
        load.after = if scan.more { scan.pairs.last().map(|p| p.path.clone()) } else { None };
        match call {
            PlaceCall::Pages => load.pages.extend(scan.pairs),
            _ => load.progress.extend(scan.pairs),
        }
        if load.after.is_some() {
            return;
        }
        if call == PlaceCall::Pages {
            load.stage = PlaceCall::Progress;
            return;
        }
        let Some(load) = self.load.take() else { return };
        self.merge(now, load, book);
    }

    /// A value of a form or version that this program does not know: nothing
    /// is guessed, placement stops.
    fn unreadable(&mut self, path: &str) {
        tracing::error!("{path} has a form or version this program does not know; placement stops");
        self.stopped = true;
    }

    pub(super) fn merge(&mut self, now: Time, load: Load, book: &JobBook) {
        let ids: Vec<JobId> =
            book.iter().filter(|(_, e)| e.state == JobState::Open).map(|(id, _)| *id).collect();
        for id in ids {
            self.sync_job(now, id, book);
        }
        self.shelves.begin_reading();
        for item in &load.progress {
            let (path, stamp) = (&item.path, Stamp(item.stamp));
            if self.shelves.read(path, stamp, &item.value, &mut self.jobs).is_err() {
                return self.unreadable(&item.path);
            }
        }
        for (id, job) in &self.jobs {
            for chunk in job.progress.dirty() {
                self.shelves.touch(*id, job.progress.first_of(chunk), job.spec.tasks);
            }
            if job.complete() && job.state == JobState::Open {
                self.complete.insert(*id);
            }
        }
        self.pages.clear();
        let mut rows: Vec<(Row, PageNo)> = Vec::new();
        for item in &load.pages {
            let Ok(page) = blocks::decode_page(&item.value) else {
                return self.unreadable(&item.path);
            };
            let no = self.pages.add(item.path.clone(), Stamp(item.stamp));
            rows.extend(page.into_iter().map(|r| (r, no)));
        }
        if self.loaded {
            self.rejoin(now, rows);
        } else {
            self.inherit(now, rows, book);
        }
        self.loaded = true;
        self.replan = true;
    }

    /// After a transaction of unknown fate: what of it is in the books now.
    ///
    /// Only we can have written pages since we hold the block, and rows that we
    /// do not know have ended, or were plans given up before any `run`.
    fn rejoin(&mut self, now: Time, rows: Vec<(Row, PageNo)>) {
        for m in self.machines.values_mut() {
            for e in m.entries.values_mut() {
                e.page = None;
                e.flying = false;
            }
        }
        for (row, no) in rows {
            if let Some(e) = self.entry(row.machine, row.task).filter(|e| e.attempt == row.attempt)
            {
                e.page = Some(no);
                if e.state == State::Planned {
                    e.state = State::Committed;
                }
                self.pages.hold(no);
            }
        }
        self.plans.clear();
        let mut ended = Vec::new();
        for (id, m) in &self.machines {
            for (task, e) in &m.entries {
                match e.state {
                    State::Planned | State::Committed if e.kill.is_some() => {
                        ended.push((*id, *task))
                    }
                    State::Planned => self.plans.push_back((*id, *task)),
                    _ => {}
                }
            }
        }
        for (machine, task) in ended {
            self.end(now, machine, task, false, 0.0);
        }
    }

    /// After a takeover: what earlier holders placed may or may not be there.
    fn inherit(&mut self, now: Time, rows: Vec<(Row, PageNo)>, book: &JobBook) {
        // Guard 3: a task that is done has exited, and of several rows for one
        // task only the newest can be on a machine.
        let jobs = &self.jobs;
        let done = |t: &TaskId| jobs.get(&t.job).is_some_and(|j| j.progress.has(t.index));
        let rows = blocks::newest_rows(rows.into_iter().filter(|(r, _)| !done(&r.task)));
        for (row, no) in rows {
            let spec = book.get(row.task.job).and_then(|e| e.spec.clone());
            let over = book.get(row.task.job).is_none_or(|e| e.state != JobState::Open);
            let over = over && !broken!(self.faults, inherited_runs);
            // Without a description its size is unknown: the machine is full.
            let need = spec.as_ref().map_or(UNKNOWN_NEED, |s| need_of(s));
            let team = spec.as_ref().and_then(|s| self.team(s));
            let m = self.machines.entry(row.machine).or_insert_with(|| Machine::new(now));
            m.entries.insert(
                row.task,
                Entry {
                    attempt: row.attempt,
                    need,
                    team,
                    state: State::Inherited,
                    kill: over.then_some(0.0),
                    flying: false,
                    started: None,
                    inherited: true,
                    page: Some(no),
                    placed: now,
                    ahead: None,
                    kept: false,
                    lane: false,
                },
            );
            self.pages.hold(no);
            if let Some(job) = self.jobs.get_mut(&row.task.job) {
                *job.live.entry(row.task.index).or_insert(0) += 1;
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
    pub(super) fn commit(&mut self, now: Time, ledger: &mut Ledger<Tag>) {
        if self.flying.is_some() || self.load.is_some() || now < self.retry_at {
            return;
        }
        if !self.course.due(now) {
            return;
        }
        let limits = ledger.limits().part(self.course.part());
        let limits = match broken!(self.faults, unbounded) {
            true => beamhinge_rate_limit::Limits { conditions: limits.conditions * 2, ..limits },
            false => limits,
        };
        let mut txn = Txn::new(limits);
        // Guard 1: whoever lost the block can commit nothing.
        let rests =
            broken!(self.faults, no_block) || txn.when(BLOCK_KEY, Stamp(self.token.0)).is_ok();
        if !rests {
            return;
        }
        // No placement made by an older version of the teams' limits commits.
        if let Some((key, stamp)) = self.configuration {
            if !broken!(self.faults, no_configuration) && txn.when(key, stamp).is_err() {
                return;
            }
        }
        self.aside.retain(|_, until| *until > now);
        let few = limits.writes < KINDS.len();
        let first = if few { self.turn } else { 0 };
        let mut flying = Flying::default();
        for k in 0..KINDS.len() {
            match KINDS[(first + k) % KINDS.len()] {
                Kind::Finals => self.add_finals(&mut txn, few, &mut flying),
                // One write stays for progress, without which nothing is cleared.
                Kind::Pages => {
                    let keep = usize::from(!few);
                    while txn.writes_left() > keep && self.add_page(now, &mut txn, &mut flying) {}
                }
                Kind::Shelves => self.add_shelves(now, &mut txn, &mut flying),
                Kind::Removals => self.clean_up(now, ledger, &mut txn, &mut flying),
            }
        }
        if txn.writes() == 0 {
            return;
        }
        self.turn = (self.turn + 1) % KINDS.len();
        tracing::debug!(
            finals = flying.finals.len(),
            pages = flying.pages.len(),
            rows = flying.pages.iter().map(|(_, rows)| rows.len()).sum::<usize>(),
            shelves = flying.shelved.written_shelves().count(),
            removals = flying.dead.len(),
            left = self.plans.len(),
            dead = self.pages.dead_count(),
            "commit"
        );
        self.flying = Some(flying);
        self.retry_at = now.plus(0.02);
        ledger.commit(now, Priority::Place, Tag::Place(PlaceCall::Commit), txn);
    }

    pub(super) fn resting(&self, part: Part) -> bool {
        self.aside.contains_key(&part)
    }

    /// `done` is written only when every task is, and on condition that nobody
    /// cancelled the job meanwhile.
    fn add_finals(&mut self, txn: &mut Txn, few: bool, flying: &mut Flying) {
        let most = if few { txn.writes_left() } else { txn.writes_left() / 2 };
        let mut due: Vec<JobId> =
            self.complete.iter().filter(|id| !self.resting(Part::Job(**id))).copied().collect();
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
            if flying.finals.len() >= most {
                return;
            }
            if let Some(job) = self.jobs.get(&id).filter(|j| j.state == JobState::Open) {
                let record = jobs::done_record(&job.spec);
                if txn.write(jobs::key(id), job.stamp, record, None).is_err() {
                    return;
                }
                flying.finals.push(id);
            }
            self.complete.remove(&id);
        }
    }

    /// One more page with the next plans; false when none went in.
    fn add_page(&mut self, now: Time, txn: &mut Txn, flying: &mut Flying) -> bool {
        let key = self.pages.fresh_key();
        let most_bytes = txn.value_left(key.len()).min(self.value_limit);
        // A condition stays for each write that may follow: a page that took
        // them all left a transaction that was refused as too large, for ever.
        let keep = txn.writes_left();
        let mut rows: Vec<Row> = Vec::new();
        while rows.len() < blocks::rows_per_page(most_bytes) && txn.conditions_left() > keep {
            let Some((machine, task)) = self.plans.pop_front() else { break };
            let Some(job) = self.jobs.get(&task.job) else { continue };
            let stamp = job.stamp;
            let Some(e) = self.entry(machine, task) else { continue };
            if e.state != State::Planned || e.flying {
                continue;
            }
            // Guard 2: a placement rests on its job being neither cancelled
            // nor done.
            if txn.when(jobs::key(task.job), stamp).is_err() {
                self.plans.push_front((machine, task));
                break;
            }
            if let Some(e) = self.entry(machine, task) {
                e.flying = true;
                rows.push(Row { machine, task, attempt: e.attempt });
            }
        }
        if rows.is_empty() {
            return false;
        }
        let mut value = blocks::encode_page(&rows);
        // Longer names than usual: fewer rows fit.
        while wire::json_len(&value) > most_bytes && rows.len() > 1 {
            let rest = rows.split_off(rows.len() / 2);
            self.not_placed(rest);
            value = blocks::encode_page(&rows);
        }
        match txn.write(key.clone(), Stamp(0), value, None) {
            Ok(()) => flying.pages.push((key, rows)),
            Err(Full::Never { bytes, limit }) => {
                tracing::error!("a page of one row takes {bytes} bytes of {limit}");
                let jobs: BTreeSet<JobId> = rows.iter().map(|r| r.task.job).collect();
                self.not_placed(rows);
                jobs.into_iter().for_each(|job| self.rest_job(now, job));
                return false;
            }
            Err(_) => {
                self.not_placed(rows);
                return false;
            }
        }
        true
    }

    /// Rows that did not go out are planned as before, in the same order.
    fn not_placed(&mut self, rows: Vec<Row>) {
        for row in rows.into_iter().rev() {
            let Some(e) = self.entry(row.machine, row.task) else { continue };
            if e.attempt == row.attempt && e.state == State::Planned {
                e.flying = false;
                self.plans.push_front((row.machine, row.task));
            }
        }
    }

    /// A job whose placement the state service does not take waits, so that
    /// the others go on.
    fn rest_job(&mut self, now: Time, id: JobId) {
        self.unplan_job(now, id);
        if let Some(j) = self.jobs.get_mut(&id) {
            j.hold_until = now.plus(ASIDE_S);
        }
    }

    fn add_shelves(&mut self, now: Time, txn: &mut Txn, flying: &mut Flying) {
        if now.since(self.shelved_at) < SHELVE_S {
            return;
        }
        let due: Vec<usize> =
            self.shelves.due().filter(|s| !self.resting(Part::Shelf(*s))).collect();
        // After the one written last, so that many full ones all get their turn.
        let (before, after): (Vec<usize>, Vec<usize>) =
            due.into_iter().partition(|s| *s <= self.last_shelf);
        for shelf in after.into_iter().chain(before) {
            let key = progress::shelf_key(shelf);
            if txn.writes_left() == 0 || txn.value_left(key.len()) < self.value_limit {
                return;
            }
            let stamp = self.shelves.stamp(shelf);
            let mut one = Shelved::default();
            let Some(value) = self.shelves.send(shelf, &mut one, &mut self.jobs) else { continue };
            match txn.write(key, stamp, value, None) {
                Ok(()) => {
                    flying.shelved.append(one);
                    (self.shelved_at, self.last_shelf) = (now, shelf);
                }
                Err(full) => {
                    self.shelves.unwritten(&one, &mut self.jobs);
                    if full != Full::Now {
                        tracing::error!("shelf {shelf} cannot be written: {full}");
                        self.aside.insert(Part::Shelf(shelf), now.plus(ASIDE_S));
                    }
                }
            }
        }
    }

    /// Removals wait until writes are to spare: they only tidy up. A crowd of
    /// dead pages, as after a takeover, goes at a part of the rate, so that
    /// placing does not wait behind it.
    fn clean_up(
        &mut self,
        now: Time,
        ledger: &mut Ledger<Tag>,
        txn: &mut Txn,
        flying: &mut Flying,
    ) {
        let (level, rate) = ledger.writes_left(now);
        let spare = (level - txn.writes() as f64 - rate * 0.4).max(0.0) as usize;
        let due = (now.since(self.cleaned_at) * rate * CROWD_PART).min(rate) as usize;
        let crowded = self.pages.dead_count().saturating_sub(DEAD_PAGES).min(due);
        let mut room = txn.writes_left().min(spare.max(crowded));
        let dead = self.pages.dead().filter(|(no, _, _)| !self.resting(Part::Page(*no)));
        for (no, key, stamp) in dead.take(room) {
            if txn.delete(key, stamp).is_err() {
                break;
            }
            flying.dead.push(no);
        }
        room = room.saturating_sub(flying.dead.len());
        let empty: Vec<usize> = self.shelves.empty().take(room).collect();
        for shelf in empty {
            if txn.delete(progress::shelf_key(shelf), self.shelves.stamp(shelf)).is_ok() {
                flying.shelved.remove(shelf);
                room -= 1;
            }
        }
        if room > 0 {
            let open = |id: JobId| self.jobs.contains_key(&id);
            let keys: Vec<(String, Stamp)> =
                self.shelves.outdated(&open).take(room).map(|(k, s)| (k.clone(), s)).collect();
            for (key, stamp) in keys {
                if txn.delete(key.clone(), stamp).is_ok() {
                    flying.shelved.clean(key);
                }
            }
        }
        if !flying.dead.is_empty() {
            self.cleaned_at = now;
        }
    }

    /// What the state service keeps refusing, at the smallest size, rests and
    /// is named, so that the rest goes on.
    fn set_aside(&mut self, now: Time, flying: &Flying) {
        let until = now.plus(ASIDE_S);
        for id in &flying.finals {
            tracing::error!("the end of {id} is refused as malformed and waits");
            self.aside.insert(Part::Job(*id), until);
        }
        let placed: BTreeSet<JobId> =
            flying.pages.iter().flat_map(|(_, rows)| rows).map(|r| r.task.job).collect();
        for id in placed {
            tracing::error!("placing {id} is refused as malformed; it waits");
            self.rest_job(now, id);
        }
        for shelf in flying.shelved.written_shelves() {
            tracing::error!("shelf {shelf} is refused as malformed and waits");
            self.aside.insert(Part::Shelf(shelf), until);
        }
        for no in &flying.dead {
            self.aside.insert(Part::Page(*no), until);
        }
    }

    pub fn on_reply(
        &mut self,
        now: Time,
        call: PlaceCall,
        reply: Reply<Tag>,
        book: &mut JobBook,
    ) -> Verdict {
        if call != PlaceCall::Commit {
            self.on_load(now, call, reply, book);
            return Verdict::Fine;
        }
        let Some(flying) = self.flying.take() else { return Verdict::Fine };
        let sent = reply.sent;
        match reply.outcome {
            Outcome::Ok(body) => {
                let Ok(done) = wire::decode::<Committed>(&body) else {
                    self.not_committed(now, flying);
                    self.reload();
                    return Verdict::Fine;
                };
                self.course.succeeded();
                self.moved = now;
                self.committed(now, flying, Stamp(done.rev), book);
                Verdict::Confirmed(sent)
            }
            Outcome::Conflict(failed) => {
                self.not_committed(now, flying);
                if failed.iter().any(|k| k == BLOCK_KEY) {
                    return Verdict::Deposed;
                }
                let configuration = |k: &String| k.starts_with(configuration::PREFIX);
                let of_books = |k: &String| !k.starts_with(jobs::PREFIX) && !configuration(k);
                if failed.iter().any(of_books) {
                    self.reload();
                }
                // Plans for a job that changed are dropped; what it is now,
                // the book will tell.
                for id in failed.iter().filter_map(|k| JobId::parse(k.strip_prefix(jobs::PREFIX)?))
                {
                    self.unplan_job(now, id);
                    if let Some(j) = self.jobs.get_mut(&id) {
                        j.hold_until = now.plus(0.3);
                    }
                }
                if failed.iter().any(configuration) {
                    return Verdict::RefreshConfiguration;
                }
                Verdict::RefreshJobs
            }
            Outcome::Refused => {
                self.not_committed(now, flying);
                self.course.busy(now);
                Verdict::Fine
            }
            // The same again would be refused again: less of it is tried, and
            // in the end what it holds is set aside.
            Outcome::Malformed => {
                if broken!(self.faults, unbounded) {
                    self.not_committed(now, flying);
                    return Verdict::Fine;
                }
                let aside = self.course.malformed(now) == Next::Aside;
                if aside {
                    self.set_aside(now, &flying);
                }
                self.not_committed(now, flying);
                if aside {
                    self.course.succeeded();
                }
                Verdict::Fine
            }
            // Whether it was or will be applied is unknown: read again.
            _ => {
                self.not_committed(now, flying);
                self.reload();
                Verdict::RefreshJobs
            }
        }
    }

    fn unplan_job(&mut self, now: Time, id: JobId) {
        let planned: Vec<(MachineId, TaskId)> =
            self.plans.iter().filter(|(_, t)| t.job == id).copied().collect();
        for (machine, task) in planned {
            if self.entry(machine, task).is_some_and(|e| e.state == State::Planned) {
                self.end(now, machine, task, false, 0.3);
            }
        }
    }

    fn committed(&mut self, now: Time, flying: Flying, stamp: Stamp, book: &mut JobBook) {
        let mut ended = Vec::new();
        for (key, rows) in flying.pages {
            let no = self.pages.add(key, stamp);
            for row in rows {
                // What was given up meanwhile never gets its `run`.
                let Some(e) = self.entry(row.machine, row.task) else { continue };
                if e.attempt != row.attempt {
                    continue;
                }
                e.flying = false;
                e.state = State::Committed;
                e.page = Some(no);
                if e.kill.is_some() {
                    ended.push((row.machine, row.task));
                }
                self.pages.hold(no);
            }
        }
        for (machine, task) in ended {
            self.end(now, machine, task, false, 0.0);
        }
        self.shelves.written(flying.shelved, stamp, &mut self.jobs);
        for id in flying.finals {
            book.wrote(id, stamp, JobState::Done, None);
            if let Some(job) = self.jobs.get_mut(&id) {
                job.state = JobState::Done;
                job.stamp = stamp;
                self.closing.insert(id);
            }
            tracing::debug!("{id} is done");
            self.event_log.note(|| What::Done { job: id.to_string() });
        }
        for no in flying.dead {
            self.pages.removed(no);
        }
    }

    fn not_committed(&mut self, now: Time, flying: Flying) {
        for (_, rows) in flying.pages.into_iter().rev() {
            self.not_placed(rows);
        }
        self.shelves.unwritten(&flying.shelved, &mut self.jobs);
        for id in flying.finals {
            if self.jobs.get(&id).is_some_and(|j| j.state == JobState::Open) {
                self.complete.insert(id);
            }
        }
        self.retry_at = now.plus(0.05);
    }
}

#[cfg(test)]
mod tests;
