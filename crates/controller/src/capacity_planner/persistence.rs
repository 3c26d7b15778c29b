//! Reads and writes of the planner's record. One value per update holds weights and splits.

use super::record::{PlannerRecord, StoredLoad, KEY, PREFIX, RECORD_VERSION};
use super::CapacityPlanner;
use crate::calls::{FleetCall, Tag};
use crate::leader_election::BLOCK_KEY;
use crate::store::{CommitResponse, Outcome, Priority, Reply, ScanResponse, StoreClient};
use beamhinge_core::types::{FencingToken, JobId, Revision, Time};
use beamhinge_core::wire;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Classes that are recorded at most.
const MAX_CLASSES: usize = 16;
/// Part of the value that is left to weights and classes, bytes.
const RESERVED_BYTES: usize = 1_024;
/// Bytes reckoned for one job.
const BYTES_PER_JOB: usize = 40;
/// Pause after a read that failed, seconds.
const READ_RETRY_S: f64 = 0.5;
/// Pause after a write that was refused, seconds.
const REFUSED_RETRY_S: f64 = 1.0;
/// Pause after a record that this version cannot read, seconds: for good.
const UNREADABLE_RECORD_PAUSE_S: f64 = 1e6;

/// State of the record's reads and writes.
#[derive(Default)]
pub(super) struct RecordSync {
    /// Revision of the stored record; none while it is unknown.
    revision: Option<Revision>,
    in_flight: bool,
    /// Something is not recorded yet.
    pub(super) changed: bool,
    retry_at: Time,
}

fn round_to_millionths(x: f64) -> f64 {
    (x * 1e6).round() / 1e6
}

impl CapacityPlanner {
    /// Reads the record if it is unknown, and writes it once an update if something has changed.
    /// `run_ratios`: run times over estimates, by class; `max_value_bytes`: limit of one value.
    pub fn persist(
        &mut self,
        now: Time,
        token: FencingToken,
        run_ratios: &BTreeMap<String, f64>,
        max_value_bytes: usize,
        store: &mut StoreClient<Tag>,
    ) {
        if self.record.in_flight || now < self.record.retry_at {
            return;
        }
        let Some(revision) = self.record.revision else {
            self.record.in_flight = true;
            let tag = Tag::Fleet(FleetCall::ReadSplit);
            return store.scan(now, Priority::Background, tag, PREFIX, None);
        };
        if !self.record.changed {
            return;
        }
        self.record.changed = false;
        self.record.in_flight = true;
        self.record.retry_at = now.plus(self.update_s);
        // Beyond the limit the jobs that are left out draw anew after a failover.
        let mut max_jobs = max_value_bytes.saturating_sub(RESERVED_BYTES) / BYTES_PER_JOB;
        let mut max_classes = MAX_CLASSES;
        let loads = self.stored_loads(now);
        // Values may be small and names of classes long: then less is recorded, never nothing.
        loop {
            let record = self.record_of(run_ratios, &loads, max_jobs, max_classes);
            let mut transaction = store.transaction();
            let built = transaction
                .require(BLOCK_KEY, Revision(token.0))
                .and_then(|()| transaction.put(KEY, revision, wire::to_value(&record), None));
            let Err(error) = built else {
                let tag = Tag::Fleet(FleetCall::WriteSplit);
                return store.commit(now, Priority::Background, tag, transaction);
            };
            if max_jobs == 0 && max_classes == 0 {
                tracing::error!(key = KEY, %error, "record of splits does not fit");
                self.record.in_flight = false;
                return;
            }
            (max_jobs, max_classes) = (max_jobs / 2, max_classes / 2);
        }
    }

    fn stored_loads(&mut self, now: Time) -> Vec<(String, StoredLoad)> {
        let latest = &self.latest;
        self.arrivals
            .iter_mut()
            .filter_map(|(class, arrivals)| {
                let load = arrivals.stored_load(latest.get(class)?, now)?;
                Some((class.to_string(), load))
            })
            .collect()
    }

    fn record_of(
        &self,
        run_ratios: &BTreeMap<String, f64>,
        loads: &[(String, StoredLoad)],
        max_jobs: usize,
        max_classes: usize,
    ) -> PlannerRecord {
        let open = self.jobs.iter().filter(|(_, job)| job.open);
        PlannerRecord {
            version: RECORD_VERSION,
            weights: self
                .learner
                .weights()
                .into_iter()
                .map(round_to_millionths)
                .collect(),
            splits: open
                .take(max_jobs)
                .map(|(id, job)| (id.to_string(), (job.parameters, job.owned)))
                .collect(),
            run_ratios: run_ratios
                .iter()
                .take(max_classes)
                .map(|(class, ratio)| (class.clone(), round_to_millionths(*ratio)))
                .collect(),
            loads: loads.iter().take(max_classes).cloned().collect(),
        }
    }

    /// Takes over the stored record.
    pub fn on_read(&mut self, now: Time, reply: Reply<Tag>) {
        self.record.in_flight = false;
        let Outcome::Ok(body) = reply.outcome else {
            self.record.retry_at = now.plus(READ_RETRY_S);
            return;
        };
        let Ok(scan) = wire::decode::<ScanResponse>(&body) else {
            return;
        };
        let found = scan.entries.iter().find(|p| p.key == KEY);
        self.record.revision = Some(Revision(found.map_or(0, |p| p.revision)));
        let Some(found) = found else { return };
        match wire::from_value::<PlannerRecord>(&found.value) {
            Ok(record) if record.version == RECORD_VERSION => self.restore(now, record),
            _ => {
                tracing::error!(
                    key = KEY,
                    "stopped recording splits: the record has an unknown form or version"
                );
                self.record.retry_at = now.plus(UNREADABLE_RECORD_PAUSE_S);
                self.record.revision = None;
            }
        }
    }

    fn restore(&mut self, now: Time, record: PlannerRecord) {
        if !self.learner.restore(&record.weights) {
            tracing::info!("discarded stored weights: they are for another grid");
        }
        for (id, split) in record.splits {
            if let Some(id) = JobId::parse(&id) {
                self.restored.insert(id, split);
            }
        }
        self.restored_run_ratios.get_or_insert(record.run_ratios);
        for (class, load) in record.loads.iter().filter(|(_, l)| l.is_plausible()) {
            self.resume_class(now, class.as_str().into(), load);
        }
    }

    /// Takes over what an earlier leader knew of a class whose jobs may not wait.
    pub(super) fn resume_class(&mut self, now: Time, class: Rc<str>, load: &StoredLoad) {
        self.arrivals
            .entry(class.clone())
            .or_default()
            .resume(now, load);
        if let Some(demand) = load.typical_demand(class.clone()) {
            self.latest.entry(class).or_insert(demand);
        }
    }

    /// Takes in how a write of the record ended.
    pub fn on_written(&mut self, now: Time, reply: Reply<Tag>) {
        self.record.in_flight = false;
        match reply.outcome {
            Outcome::Ok(body) => {
                self.record.revision = wire::decode::<CommitResponse>(&body)
                    .ok()
                    .map(|c| Revision(c.revision));
            }
            Outcome::Refused => {
                self.record.changed = true;
                self.record.retry_at = now.plus(REFUSED_RETRY_S);
            }
            // The same would be refused again: with the next update the value is another.
            Outcome::Malformed => {
                self.record.changed = true;
                self.record.retry_at = now.plus(self.update_s);
            }
            // The reply was lost, or another write came first: the revision is read again.
            _ => {
                self.record.changed = true;
                self.record.revision = None;
            }
        }
    }
}
