//! Open and recent requests for machines (rentals), and their record in the key-value store.
//!
//! Invariant: a rental's name is sent to the cloud only after it was recorded, and a name in use
//! stays in the record until every machine list must show the machines rented under it.

use super::cloud_calls::CloudCall;
use super::rental_record::{
    consecutive_ranges, RentalEntry, RentalRecord, RECORD_VERSION, RENTALS_KEY, RENTALS_PREFIX,
};
use crate::calls::{FleetCall, Tag};
use crate::leader_election::BLOCK_KEY;
use crate::split::{MachineClass, Market};
use crate::store::{CommitResponse, Outcome, Priority, ScanResponse, StoreClient};
use beamhinge_core::types::{FencingToken, MachineId, Revision, Time};
use beamhinge_core::wire;
use beamhinge_rate_limit::{AdaptiveBackoff, RetryAction, Transaction, TransactionError};
use std::collections::BTreeMap;

/// Pause before the record is read or written again after a rental could not be recorded, seconds.
const RECORD_PAUSE_S: f64 = 5.0;
/// Pause after a write of the record that was refused, failed or had no reply, seconds.
const WRITE_RETRY_S: f64 = 0.2;
/// Pause after a failed read of the record, seconds.
const READ_RETRY_S: f64 = 0.3;
/// Pause after reading a record that this version cannot decode, seconds.
const UNREADABLE_RECORD_PAUSE_S: f64 = 3_600.0;

/// Progress of a rental.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RentalState {
    /// The name is not in the record, so the call must not be sent.
    Unrecorded,
    /// The name is recorded: the call may be sent.
    Recorded,
    /// The call is queued or in flight.
    InFlight,
}

/// A request for machines that is not settled yet.
#[derive(Debug)]
pub(super) struct Rental {
    pub(super) entry: RentalEntry,
    /// Index into the machine types.
    pub(super) machine_type: usize,
    pub(super) state: RentalState,
    /// A call under this name had no reply and may still take effect.
    pub(super) outcome_unknown: bool,
    pub(super) retry_at: Time,
}

impl Rental {
    pub(super) fn class(&self) -> MachineClass {
        MachineClass {
            machine_type: self.machine_type,
            spot: self.entry.spot,
        }
    }

    pub(super) fn market(&self) -> Market {
        Market {
            machine_type: self.machine_type,
            zone: self.entry.zone.clone(),
            spot: self.entry.spot,
        }
    }

    /// Returns the rental to `Recorded` after its call has ended; it is sent again from `at` on.
    pub(super) fn retry(&mut self, at: Time) {
        self.state = RentalState::Recorded;
        self.retry_at = at;
    }
}

/// State of the reads and writes of the record.
struct RecordSync {
    /// Revision of the stored record; `None` while it is unknown.
    revision: Option<Revision>,
    in_flight: bool,
    /// Rental names in the record as last read or written.
    recorded_names: Vec<String>,
    retry_at: Time,
    backoff: AdaptiveBackoff,
}

/// All open and recent rentals.
pub(super) struct Rentals {
    /// Rentals that are not settled yet.
    pub(super) open: Vec<Rental>,
    last_name_number: u64,
    /// Markets that recently refused a request, and the time until which no new one is sent.
    pub(super) refused_markets: BTreeMap<Market, Time>,
    /// Rentals recently granted to this leader, with the time of the grant: kept in the record
    /// until every machine list shows them.
    pub(super) recent: Vec<(Time, RentalEntry)>,
    /// Rentals recorded by an earlier leader: the machine list may not show them yet.
    pub(super) inherited: Vec<RentalEntry>,
    /// Machines that the operators provide; `None` until known.
    pub(super) owned: Option<Vec<MachineId>>,
    record: RecordSync,
}

impl Rentals {
    pub(super) fn new() -> Rentals {
        Rentals {
            open: Vec::new(),
            last_name_number: 0,
            refused_markets: BTreeMap::new(),
            recent: Vec::new(),
            inherited: Vec::new(),
            owned: None,
            record: RecordSync {
                revision: None,
                in_flight: false,
                recorded_names: Vec::new(),
                retry_at: Time::default(),
                backoff: AdaptiveBackoff::new(0.2, 5.0),
            },
        }
    }

    /// Whether the stored record has been read, which renting and returning machines requires.
    pub(super) fn is_record_known(&self) -> bool {
        self.record.revision.is_some()
    }

    /// Whether no record was ever stored.
    pub(super) fn is_record_absent(&self) -> bool {
        self.record.revision == Some(Revision(0))
    }

    /// Adds a rental, which is sent once it is recorded. The prefix of its name contains the
    /// leader's fencing token, so that no other leader can use the same name.
    pub(super) fn request(
        &mut self,
        now: Time,
        token: FencingToken,
        market: &Market,
        request: MachineRequest,
    ) {
        self.last_name_number += 1;
        self.open.push(Rental {
            entry: RentalEntry {
                name: format!("{}{}", name_prefix(token), self.last_name_number),
                machine_type: request.label,
                zone: market.zone.clone(),
                spot: market.spot,
                count: request.count,
            },
            machine_type: market.machine_type,
            state: RentalState::Unrecorded,
            outcome_unknown: false,
            retry_at: now,
        });
    }

    /// The open rentals that may still bring machines: not those that are only repeated, under
    /// their name, because an earlier call had no reply, while their market refuses them.
    pub(super) fn promising(&self) -> impl Iterator<Item = &Rental> {
        self.open
            .iter()
            .filter(|rental| !self.refused_markets.contains_key(&rental.market()))
    }

    /// Marks the rentals that may be sent now as in flight and returns their calls.
    pub(super) fn begin_ready_calls(&mut self, now: Time) -> Vec<CloudCall> {
        let ready = self
            .open
            .iter_mut()
            .filter(|r| r.state == RentalState::Recorded && now >= r.retry_at);
        ready
            .map(|r| {
                r.state = RentalState::InFlight;
                CloudCall::ScaleOut(r.entry.name.clone())
            })
            .collect()
    }

    /// Reads the record if its revision is unknown, and writes it if a rental is missing from it.
    pub(super) fn persist(&mut self, now: Time, token: FencingToken, store: &mut StoreClient<Tag>) {
        let record = &mut self.record;
        if record.in_flight || now < record.retry_at || !record.backoff.is_due(now) {
            return;
        }
        let Some(revision) = record.revision else {
            record.in_flight = true;
            let tag = Tag::Fleet(FleetCall::ReadRentals);
            return store.scan(now, Priority::Background, tag, RENTALS_PREFIX, None);
        };
        let unrecorded = self.open.iter().any(|r| r.state == RentalState::Unrecorded);
        if !unrecorded || self.owned.is_none() {
            return;
        }
        match self.build_write(token, revision, store) {
            Ok((transaction, recorded_names)) => {
                self.record.recorded_names = recorded_names;
                self.record.in_flight = true;
                let tag = Tag::Fleet(FleetCall::WriteRentals);
                store.commit(now, Priority::Scheduler, tag, transaction);
            }
            Err(error) => {
                tracing::error!(key = RENTALS_KEY, %error, "rental does not fit into its record");
                self.drop_unrecorded(now);
            }
        }
    }

    /// Builds the write of the record and returns it with the rental names that it contains. Every
    /// name in use must stay in the record; as many new names are added as fit, and the others
    /// wait.
    ///
    /// Fails if not even one new name fits.
    fn build_write(
        &self,
        token: FencingToken,
        revision: Revision,
        store: &StoreClient<Tag>,
    ) -> Result<(Transaction, Vec<String>), TransactionError> {
        let (recorded, new): (Vec<&Rental>, Vec<&Rental>) = self
            .open
            .iter()
            .partition(|r| r.state != RentalState::Unrecorded);
        let mut added = (new.len() / self.record.backoff.divisor()).max(1);
        let mut as_ranges = false;
        loop {
            let rentals: Vec<RentalEntry> = recorded
                .iter()
                .chain(new.iter().take(added))
                .map(|r| r.entry.clone())
                .chain(self.recent.iter().map(|(_, entry)| entry.clone()))
                .collect();
            let recorded_names = rentals.iter().map(|r| r.name.clone()).collect();
            let record = self.build_record(rentals, as_ranges);
            let mut transaction = store.transaction();
            let built = transaction
                .require(BLOCK_KEY, Revision(token.0))
                .and_then(|()| {
                    transaction.put(RENTALS_KEY, revision, wire::to_value(&record), None)
                });
            match built {
                Ok(()) => return Ok((transaction, recorded_names)),
                Err(_) if !as_ranges => as_ranges = true,
                Err(_) if added > 1 => added /= 2,
                Err(error) => return Err(error),
            }
        }
    }

    fn build_record(&self, rentals: Vec<RentalEntry>, as_ranges: bool) -> RentalRecord {
        let mut record = RentalRecord {
            version: RECORD_VERSION,
            rentals,
            owned: Vec::new(),
            owned_ranges: Vec::new(),
        };
        let owned = self.owned.iter().flatten().copied();
        if as_ranges {
            record.owned_ranges = consecutive_ranges(owned);
        } else {
            record.owned = owned.map(|m| m.to_string()).collect();
        }
        record
    }

    /// Drops rentals that cannot be recorded: they are never sent, and the next plan requests the
    /// machines that are wanted then.
    fn drop_unrecorded(&mut self, now: Time) {
        let before = self.open.len();
        self.open.retain(|r| r.state != RentalState::Unrecorded);
        let count = before - self.open.len();
        tracing::error!(count, "dropped rentals that could not be recorded");
        self.record.backoff.on_success();
        self.record.retry_at = now.plus(RECORD_PAUSE_S);
    }

    /// Handles the reply to a read of the record.
    pub(super) fn on_read_reply(&mut self, now: Time, token: FencingToken, outcome: Outcome) {
        self.record.in_flight = false;
        let Outcome::Ok(body) = outcome else {
            self.record.retry_at = now.plus(READ_RETRY_S);
            return;
        };
        let Ok(scan) = wire::decode::<ScanResponse>(&body) else {
            return;
        };
        let found = scan.entries.iter().find(|p| p.key == RENTALS_KEY);
        self.record.revision = Some(Revision(found.map_or(0, |p| p.revision)));
        self.record.recorded_names.clear();
        if let Some(found) = found {
            match wire::from_value::<RentalRecord>(&found.value) {
                Ok(record) if record.version == RECORD_VERSION => self.inherit(token, record),
                _ => {
                    tracing::error!(
                        key = RENTALS_KEY,
                        "scaling stopped: record of rentals has an unknown format or version"
                    );
                    self.record.revision = None;
                    self.record.retry_at = now.plus(UNREADABLE_RECORD_PAUSE_S);
                }
            }
        }
        // A write whose reply was lost may have been applied: the names that it contained are then
        // recorded.
        self.mark_recorded();
    }

    fn inherit(&mut self, token: FencingToken, record: RentalRecord) {
        self.record.recorded_names = record.rentals.iter().map(|r| r.name.clone()).collect();
        let current_prefix = name_prefix(token);
        let owned = record.owned_machines();
        self.inherited = record.rentals;
        self.inherited
            .retain(|r| !r.name.starts_with(&current_prefix));
        self.owned.get_or_insert(owned);
    }

    fn mark_recorded(&mut self) {
        for rental in &mut self.open {
            if rental.state == RentalState::Unrecorded
                && self.record.recorded_names.contains(&rental.entry.name)
            {
                rental.state = RentalState::Recorded;
            }
        }
    }

    /// Handles the outcome of a write of the record.
    pub(super) fn on_write_reply(&mut self, now: Time, outcome: Outcome) {
        self.record.in_flight = false;
        match outcome {
            Outcome::Ok(body) => match wire::decode::<CommitResponse>(&body) {
                Ok(committed) => {
                    self.record.backoff.on_success();
                    self.record.revision = Some(Revision(committed.revision));
                    self.mark_recorded();
                }
                Err(_) => self.record.revision = None,
            },
            Outcome::Refused => {
                self.record.backoff.on_refused(now);
                self.record.retry_at = now.plus(WRITE_RETRY_S);
            }
            // The next write contains half as many new names; if one name alone is still rejected,
            // the unrecorded rentals are dropped.
            Outcome::Malformed => {
                if self.record.backoff.on_malformed(now) == RetryAction::SetAside {
                    self.drop_unrecorded(now);
                }
            }
            _ => {
                self.record.revision = None;
                self.record.retry_at = now.plus(WRITE_RETRY_S);
            }
        }
    }
}

/// The machines requested by a rental.
pub(super) struct MachineRequest {
    /// Label of the machine type.
    pub(super) label: String,
    pub(super) count: u32,
}

/// Prefix of the names of all rentals of the leader with this fencing token.
fn name_prefix(token: FencingToken) -> String {
    format!("r-{}-", token.0)
}
