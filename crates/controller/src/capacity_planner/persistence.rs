//! Reads and writes of the planner's record: a single value, written at most once per update, that
//! holds the weights, splits, run time ratios and loads.

use super::record::{PlannerRecord, StoredLoad, KEY, PREFIX, RECORD_VERSION};
use super::CapacityPlanner;
use crate::calls::{FleetCall, Tag};
use crate::leader_election::BLOCK_KEY;
use crate::store::{CommitResponse, Outcome, Priority, Reply, ScanResponse, StoreClient};
use beamhinge_core::types::{FencingToken, JobId, Revision, Time};
use beamhinge_core::wire;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Maximum number of classes in the record.
const MAX_CLASSES: usize = 16;
/// Part of the value reserved for weights and classes, bytes.
const RESERVED_BYTES: usize = 1_024;
/// Estimated size of the entry of one job, bytes.
const BYTES_PER_JOB: usize = 40;
/// Delay before a failed read is retried, seconds.
const READ_RETRY_S: f64 = 0.5;
/// Delay before a refused write is retried, seconds.
const REFUSED_RETRY_S: f64 = 1.0;
/// Delay after reading a record that this version cannot decode, seconds; long enough that the
/// record is effectively never read again.
const UNREADABLE_RECORD_PAUSE_S: f64 = 1e6;

/// State of the record's reads and writes.
#[derive(Default)]
pub(super) struct RecordSync {
    /// Revision of the stored record; `None` while it is unknown.
    revision: Option<Revision>,
    in_flight: bool,
    /// Whether there are changes that are not stored yet.
    pub(super) changed: bool,
    retry_at: Time,
}

fn round_to_millionths(x: f64) -> f64 {
    (x * 1e6).round() / 1e6
}

impl CapacityPlanner {
    /// Reads the record if its revision is unknown, and writes it at most once per update if it has
    /// changed. `run_ratios`: ratios of run time to estimate, by class; `max_value_bytes`: size
    /// limit of one value.
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
        // Jobs beyond the limit are not stored; they draw new parameters after a failover.
        let mut max_jobs = max_value_bytes.saturating_sub(RESERVED_BYTES) / BYTES_PER_JOB;
        let mut max_classes = MAX_CLASSES;
        let loads = self.stored_loads(now);
        // The limit may be low and class names long. A record that is too large is built again with
        // half as many jobs and classes, down to none; the weights are always stored.
        loop {
            let record = self.build_record(run_ratios, &loads, max_jobs, max_classes);
            let mut transaction = store.transaction();
            let built = transaction
                .require(BLOCK_KEY, Revision(token.0))
                .and_then(|()| transaction.put(KEY, revision, wire::to_value(&record), None));
            let Err(error) = built else {
                let tag = Tag::Fleet(FleetCall::WriteSplit);
                return store.commit(now, Priority::Background, tag, transaction);
            };
            if max_jobs == 0 && max_classes == 0 {
                tracing::error!(
                    key = KEY,
                    %error,
                    "planner record does not fit into a transaction"
                );
                self.record.in_flight = false;
                return;
            }
            (max_jobs, max_classes) = (max_jobs / 2, max_classes / 2);
        }
    }

    fn stored_loads(&mut self, now: Time) -> Vec<(String, StoredLoad)> {
        let latest_demands = &self.latest_demands;
        self.arrivals
            .iter_mut()
            .filter_map(|(class, arrivals)| {
                let load = arrivals.stored_load(latest_demands.get(class)?, now)?;
                Some((class.to_string(), load))
            })
            .collect()
    }

    fn build_record(
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

    /// Handles the reply to a read of the record, and restores the planner's state from it.
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
                    "stopped writing planner record: stored record has unknown format or version"
                );
                self.record.retry_at = now.plus(UNREADABLE_RECORD_PAUSE_S);
                self.record.revision = None;
            }
        }
    }

    fn restore(&mut self, now: Time, record: PlannerRecord) {
        if !self.learner.restore(&record.weights) {
            tracing::info!("stored weights discarded: invalid or for another parameter grid");
        }
        for (id, split) in record.splits {
            if let Some(id) = JobId::parse(&id) {
                self.restored_splits.insert(id, split);
            }
        }
        self.restored_run_ratios.get_or_insert(record.run_ratios);
        for (class, load) in record.loads.iter().filter(|(_, l)| l.is_plausible()) {
            self.resume_class(now, class.as_str().into(), load);
        }
    }

    /// Restores the load that an earlier leader stored for a class whose jobs may not wait.
    pub(super) fn resume_class(&mut self, now: Time, class: Rc<str>, load: &StoredLoad) {
        self.arrivals
            .entry(class.clone())
            .or_default()
            .resume(now, load);
        if let Some(demand) = load.typical_demand(class.clone()) {
            self.latest_demands.entry(class).or_insert(demand);
        }
    }

    /// Handles the reply to a write of the record.
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
            // A retry with the same value would be rejected again; the next update has a new value.
            Outcome::Malformed => {
                self.record.changed = true;
                self.record.retry_at = now.plus(self.update_s);
            }
            // The reply was lost, or another write came first: read the revision again.
            _ => {
                self.record.changed = true;
                self.record.revision = None;
            }
        }
    }
}
