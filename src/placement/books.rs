//! The books in the state service: reading them after a takeover, and the
//! transactions that change them.

use super::*;

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
        if load.flying || now < self.retry_at {
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
            self.retry_at = now.plus(0.2);
            return;
        };
        let Ok(scan) = wire::decode::<Scan>(&body) else {
            self.retry_at = now.plus(1.0);
            return;
        };
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

    fn merge(&mut self, now: Time, load: Load, book: &JobBook) {
        let mut durable: BTreeMap<(MachineId, TaskId), (Attempt, usize)> = BTreeMap::new();
        self.stamps.clear();
        for item in &load.pages {
            let page = blocks::page_of_key(&item.path);
            let rows = blocks::decode_page(&item.value);
            let (Some(page), Ok(rows)) = (page, rows) else {
                log::error!(
                    "page {} has a form or version this program does not know; placement stops",
                    item.path
                );
                self.stopped = true;
                return;
            };
            if page >= self.stamps.len() {
                self.stamps.resize(page + 1, Stamp(0));
            }
            self.stamps[page] = Stamp(item.stamp);
            for r in rows {
                durable.insert((r.machine, r.task), (r.attempt, page));
            }
        }
        let ids: Vec<JobId> =
            book.iter().filter(|(_, e)| e.state == JobState::Open).map(|(id, _)| *id).collect();
        for id in ids {
            self.sync_job(now, id, book);
        }
        for item in &load.progress {
            let Some((id, chunk)) = blocks::progress_of_key(&item.path) else { continue };
            match self.jobs.get_mut(&id) {
                Some(job) => {
                    if job.progress.merge(chunk, Stamp(item.stamp), &item.value).is_err() {
                        log::error!(
                            "progress {} has an unknown form or version; placement stops",
                            item.path
                        );
                        self.stopped = true;
                        return;
                    }
                }
                None => {
                    self.leftovers.insert((id, chunk), Stamp(item.stamp));
                }
            }
        }
        for (id, m) in &mut self.machines {
            let mut gone = Vec::new();
            for (task, e) in &mut m.entries {
                let stored =
                    durable.remove(&(*id, *task)).filter(|(a, _)| *a == e.attempt).is_some();
                e.flying = false;
                match (e.state, stored) {
                    (State::Planned, true) => e.state = State::Committed,
                    (State::Planned, false) => {}
                    (State::Ended, false) => gone.push(*task),
                    _ => {
                        self.dirty.insert(m.page);
                    }
                }
            }
            for task in gone {
                m.entries.remove(&task);
            }
        }
        for ((machine, task), (attempt, page)) in durable {
            let m = self.machines.entry(machine).or_insert_with(|| Machine::new(now));
            if m.entries.is_empty() {
                m.page = page;
            }
            let spec = book.get(task.job).and_then(|e| e.spec.clone());
            let over = book.get(task.job).is_none_or(|e| e.state != JobState::Open);
            // Without a description its size is unknown: the machine is full.
            let need =
                spec.as_ref().map_or(Need { cpus: 1e9, gpus: 0.0, memory_gb: 0.0 }, |s| need_of(s));
            m.entries.insert(
                task,
                Entry {
                    attempt,
                    need,
                    team: spec
                        .as_ref()
                        .and_then(|s| self.team_names.iter().position(|n| *n == s.team)),
                    state: State::Inherited,
                    kill: over.then_some(0.0),
                    flying: false,
                    started: None,
                },
            );
            if let Some(job) = self.jobs.get_mut(&task.job) {
                *job.live.entry(task.index).or_insert(0) += 1;
            }
        }
        if !self.loaded {
            log::info!(
                "loaded {} jobs and {} machines from the pages",
                self.jobs.len(),
                self.machines.len()
            );
            // What was reported meanwhile was not taken in: ask again.
            for m in self.machines.values_mut() {
                m.last = None;
            }
        }
        self.loaded = true;
        self.replan = true;
    }

    /// The page for a new machine: the first that is less than half full.
    pub(super) fn home_page(&self) -> usize {
        let mut load: BTreeMap<usize, usize> = BTreeMap::new();
        for m in self.machines.values() {
            // A machine that stands empty will be filled.
            *load.entry(m.page).or_default() += m.entries.len().max(8);
        }
        let mut page = 0;
        while load.get(&page).copied().unwrap_or(0) > self.rows_per_page / 2 {
            page += 1;
        }
        page
    }

    /// One transaction carries all that changed: pages, progress, finished jobs.
    pub(super) fn commit(&mut self, now: Time, ledger: &mut Ledger<Tag>) {
        if self.flying.is_some() || self.load.is_some() || now < self.retry_at {
            return;
        }
        let max_puts = ledger.max_puts();
        let max_when = ledger.max_conditions();
        let mut txn = Txn::default();
        // Guard 1: whoever lost the block can commit nothing.
        txn.when(BLOCK, Stamp(self.token.0));
        let mut flying = Flying { pages: vec![], chunks: vec![], finals: vec![], cleaned: vec![] };
        let dirty: Vec<usize> = self.dirty.iter().copied().collect();
        for page in dirty {
            if txn.puts() + 1 > max_puts.div_ceil(2).max(1) {
                break;
            }
            let jobs: BTreeSet<JobId> = self
                .machines
                .values()
                .filter(|m| m.page == page)
                .flat_map(|m| m.entries.iter())
                .filter(|(_, e)| e.state == State::Planned)
                .map(|(t, _)| t.job)
                .collect();
            if txn.conditions() + jobs.len() + 8 > max_when {
                if !flying.pages.is_empty() {
                    break;
                }
                // Too many jobs for one transaction: some wait for the next.
                self.unplan_beyond(now, page, max_when.saturating_sub(txn.conditions() + 8));
                self.replan = true;
            }
            let rows = self.machines.iter().filter(|(_, m)| m.page == page).flat_map(|(id, m)| {
                m.entries.iter().filter(|(_, e)| e.state != State::Ended).map(|(t, e)| Row {
                    machine: *id,
                    task: *t,
                    attempt: e.attempt,
                })
            });
            let value = blocks::encode_page(rows);
            if !txn.has_room(wire::json_len(&value) + 2_048) {
                break;
            }
            let stamp = self.stamps.get(page).copied().unwrap_or(Stamp(0));
            txn.write(blocks::page_key(page), stamp, value, None);
            // Guard 2: a placement rests on its job being neither cancelled
            // nor done.
            let planned = self
                .machines
                .values()
                .filter(|m| m.page == page)
                .flat_map(|m| m.entries.iter())
                .filter(|(_, e)| e.state == State::Planned)
                .map(|(t, _)| t.job);
            for job in planned {
                if let Some(j) = self.jobs.get(&job) {
                    txn.when(jobs::key(job), j.stamp);
                }
            }
            flying.pages.push(page);
        }
        for (id, job) in &mut self.jobs {
            if txn.puts() >= max_puts || txn.conditions() + 2 > max_when || !txn.has_room(4_096) {
                break;
            }
            if job.state != JobState::Open {
                continue;
            }
            // `done` is written only when every task is, and on condition that
            // nobody cancelled the job meanwhile.
            if job.complete() {
                txn.write(jobs::key(*id), job.stamp, jobs::done_record(job.spec.tasks), None);
                flying.finals.push(*id);
                continue;
            }
            for chunk in job.progress.dirty().collect::<Vec<_>>() {
                if txn.puts() >= max_puts {
                    break;
                }
                if let Some((stamp, value)) = job.progress.value(chunk) {
                    txn.write(blocks::progress_key(*id, chunk), stamp, value, None);
                    job.progress.sent(chunk);
                    flying.chunks.push((*id, chunk));
                }
            }
        }
        for ((id, chunk), stamp) in &self.leftovers {
            if txn.puts() + 2 >= max_puts || flying.cleaned.len() >= 3 {
                break;
            }
            txn.delete(blocks::progress_key(*id, *chunk), *stamp);
            flying.cleaned.push((*id, *chunk));
        }
        if txn.puts() == 0 {
            return;
        }
        for m in self.machines.values_mut() {
            if flying.pages.contains(&m.page) {
                for e in m.entries.values_mut() {
                    if matches!(e.state, State::Planned | State::Ended) {
                        e.flying = true;
                    }
                }
            }
        }
        for page in &flying.pages {
            self.dirty.remove(page);
        }
        self.flying = Some(flying);
        self.retry_at = now.plus(0.02);
        ledger.commit(now, Priority::Place, Tag::Place(PlaceCall::Commit), txn);
    }

    fn unplan_beyond(&mut self, now: Time, page: usize, keep: usize) {
        let mut seen: BTreeSet<JobId> = BTreeSet::new();
        let mut drop = Vec::new();
        for (id, m) in self.machines.iter().filter(|(_, m)| m.page == page) {
            for (task, e) in &m.entries {
                if e.state == State::Planned && !e.flying && !seen.contains(&task.job) {
                    if seen.len() < keep {
                        seen.insert(task.job);
                    } else {
                        drop.push((*id, *task));
                    }
                }
            }
        }
        for (machine, task) in drop {
            self.end(now, machine, task, false, 0.0);
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
                    self.reload();
                    return Verdict::Fine;
                };
                self.committed(flying, Stamp(done.rev), book);
                Verdict::Confirmed(sent)
            }
            Outcome::Conflict(failed) => {
                self.not_committed(now, &flying);
                if failed.iter().any(|k| k == BLOCK) {
                    return Verdict::Deposed;
                }
                if failed.iter().any(|k| !k.starts_with(jobs::PREFIX)) {
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
                Verdict::RefreshJobs
            }
            Outcome::Refused => {
                self.not_committed(now, &flying);
                self.retry_at = now.plus(0.15);
                Verdict::Fine
            }
            // Whether it was or will be applied is unknown: read again.
            _ => {
                self.dirty.extend(&flying.pages);
                self.reload();
                Verdict::RefreshJobs
            }
        }
    }

    fn unplan_job(&mut self, now: Time, id: JobId) {
        let mut drop = Vec::new();
        for (machine, m) in &self.machines {
            for (task, e) in &m.entries {
                if task.job == id && e.state == State::Planned && !e.flying {
                    drop.push((*machine, *task));
                }
            }
        }
        for (machine, task) in drop {
            self.end(now, machine, task, false, 0.3);
        }
    }

    fn committed(&mut self, flying: Flying, stamp: Stamp, book: &mut JobBook) {
        for page in &flying.pages {
            if *page >= self.stamps.len() {
                self.stamps.resize(page + 1, Stamp(0));
            }
            self.stamps[*page] = stamp;
        }
        let mut emptied = Vec::new();
        for (id, m) in &mut self.machines {
            if !flying.pages.contains(&m.page) {
                continue;
            }
            m.entries.retain(|_, e| !(e.flying && e.state == State::Ended));
            for e in m.entries.values_mut().filter(|e| e.flying) {
                e.flying = false;
                if e.state == State::Planned {
                    e.state = State::Committed;
                }
            }
            if m.entries.is_empty() && m.draining && m.heard.is_none() {
                emptied.push(*id);
            }
        }
        for id in emptied {
            self.machines.remove(&id);
        }
        for (id, chunk) in &flying.chunks {
            if let Some(job) = self.jobs.get_mut(id) {
                job.progress.written(*chunk, stamp);
            }
        }
        for id in &flying.finals {
            book.wrote(*id, stamp, JobState::Done, None);
            if let Some(job) = self.jobs.get_mut(id) {
                job.state = JobState::Done;
                job.stamp = stamp;
            }
            log::debug!("{id} is done");
        }
        for key in &flying.cleaned {
            self.leftovers.remove(key);
        }
    }

    fn not_committed(&mut self, now: Time, flying: &Flying) {
        self.dirty.extend(&flying.pages);
        for m in self.machines.values_mut() {
            for e in m.entries.values_mut() {
                e.flying = false;
            }
        }
        for (id, chunk) in &flying.chunks {
            if let Some(j) = self.jobs.get_mut(id) {
                j.progress.unsent(*chunk);
            }
        }
        self.retry_at = now.plus(0.05);
    }
}
