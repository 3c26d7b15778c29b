//! Calls to the cloud: call queue, rate limit and dispatch of replies.

use super::cloud_protocol::{Catalog, CloudRequest, HostList, ScaleOutReply, ScaleOutRequest};
use super::term::LeaderTerm;
use super::Fleet;
use crate::scheduler::Scheduler;
use crate::split::MachineType;
use beamhinge_core::messages::{Destination, Effect};
use beamhinge_core::types::{CallId, MachineId, Time};
use beamhinge_core::wire;

/// Timeout of a call to the cloud, seconds.
const CALL_TIMEOUT_S: f64 = 4.0;
/// Fraction of the cloud's rate limit that the controller uses.
const RATE_FRACTION: f64 = 0.9;
/// Pause after a failed read of the catalog, seconds.
const CATALOG_RETRY_S: f64 = 1.0;
/// Age of the catalog at which a leader reads it again, seconds.
const CATALOG_MAX_AGE_S: f64 = 30.0;
/// Age of the catalog at which a controller that is not the leader reads it again, seconds.
const FOLLOWER_CATALOG_MAX_AGE_S: f64 = 120.0;

/// A call to the cloud.
#[derive(Debug)]
pub(super) enum CloudCall {
    /// Reads the catalog of machine types.
    Catalog,
    /// Reads the next page of the machine list.
    ListMachines,
    /// Rents machines for the rental with this name.
    ScaleOut(String),
    /// Releases machines.
    ScaleIn(Vec<MachineId>),
}

/// Token bucket that keeps calls below the cloud's rate limit.
pub(super) struct CallRate {
    refill_per_s: f64,
    tokens: f64,
    refilled_at: Time,
}

impl CallRate {
    /// `allowed_per_s`: the cloud's rate limit, calls per second.
    pub(super) fn new(allowed_per_s: f64) -> CallRate {
        CallRate {
            refill_per_s: allowed_per_s * RATE_FRACTION,
            tokens: 1.0,
            refilled_at: Time::default(),
        }
    }

    fn refill(&mut self, now: Time) {
        self.tokens =
            (self.tokens + now.since(self.refilled_at) * self.refill_per_s).min(self.refill_per_s);
        self.refilled_at = now;
    }

    fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    fn consume_token(&mut self) {
        self.tokens -= 1.0;
    }

    /// Empties the bucket after the cloud rejected a call because of its rate limit.
    fn exhaust(&mut self) {
        self.tokens = self.tokens.min(0.0);
    }
}

/// Schedules the reads of the catalog of machine types.
#[derive(Default)]
pub(super) struct CatalogRefresh {
    in_flight: bool,
    read_at: Option<Time>,
    retry_at: Time,
}

impl CatalogRefresh {
    /// Returns whether the catalog is due to be read, and if so marks the call as in flight.
    pub(super) fn begin(&mut self, now: Time, leading: bool) -> bool {
        let max_age_s = if leading {
            CATALOG_MAX_AGE_S
        } else {
            FOLLOWER_CATALOG_MAX_AGE_S
        };
        let stale = self.read_at.is_none_or(|at| now.since(at) > max_age_s);
        let due = stale && !self.in_flight && now >= self.retry_at;
        self.in_flight |= due;
        due
    }
}

impl LeaderTerm {
    /// The request of a scale-out call; `None` if its rental was dropped in the meantime.
    fn scale_out_request(&self, name: &str) -> Option<CloudRequest> {
        let rental = self.rentals.open.iter().find(|r| r.entry.name == name)?;
        Some(CloudRequest::scale_out(&ScaleOutRequest {
            rental: &rental.entry.name,
            machine_type: &rental.entry.machine_type,
            zone: &rental.entry.zone,
            spot: rental.entry.spot,
            count: rental.entry.count,
        }))
    }
}

impl Fleet {
    /// Whether the call was sent by the fleet controller.
    pub fn owns_call(&self, id: CallId) -> bool {
        self.calls.contains_key(&id)
    }

    /// Sends queued calls as far as the rate limit permits.
    pub fn flush(&mut self, now: Time, next_call: &mut u64, out: &mut Vec<Effect>) {
        self.call_rate.refill(now);
        while self.call_rate.has_token() {
            let Some(call) = self.queue.pop_front() else {
                break;
            };
            let Some(request) = self.request_for(&call) else {
                continue;
            };
            self.call_rate.consume_token();
            *next_call += 1;
            let id = CallId(*next_call);
            self.calls.insert(id, call);
            out.push(Effect::Call {
                id,
                destination: Destination::Cloud,
                method: request.method,
                path: request.path,
                body: request.body,
                timeout_s: CALL_TIMEOUT_S,
            });
        }
    }

    fn request_for(&self, call: &CloudCall) -> Option<CloudRequest> {
        let term = self.term.as_ref();
        match call {
            CloudCall::Catalog => Some(CloudRequest::catalog()),
            CloudCall::ListMachines => Some(CloudRequest::list_machines(
                term.and_then(|t| t.listing.next_page_after()),
            )),
            CloudCall::ScaleOut(name) => term?.scale_out_request(name),
            CloudCall::ScaleIn(machines) => Some(CloudRequest::scale_in(machines)),
        }
    }

    /// Handles the cloud's reply to a call: status and body, or `None` if there was no reply.
    pub fn on_cloud_reply(
        &mut self,
        now: Time,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        scheduler: Option<&mut Scheduler>,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        match call {
            CloudCall::Catalog => self.on_catalog(now, ok_body(&result)),
            CloudCall::ListMachines => self.on_machine_list(now, ok_body(&result)),
            CloudCall::ScaleOut(name) => {
                let reply = ScaleOutReply::from(result);
                if matches!(reply, ScaleOutReply::RateLimited) && self.has_open_rental(&name) {
                    self.call_rate.exhaust();
                }
                if let Some(term) = &mut self.term {
                    term.on_scale_out_reply(now, &name, reply, scheduler);
                }
            }
            CloudCall::ScaleIn(machines) => {
                if let Some(term) = &mut self.term {
                    let status = result.map(|(status, _)| status);
                    term.on_scale_in_reply(now, machines, status, scheduler);
                }
            }
        }
    }

    fn has_open_rental(&self, name: &str) -> bool {
        self.term
            .as_ref()
            .is_some_and(|t| t.rentals.open.iter().any(|r| r.entry.name == name))
    }

    fn on_catalog(&mut self, now: Time, body: Option<&[u8]>) {
        self.catalog_refresh.in_flight = false;
        match body.and_then(|b| wire::decode::<Catalog>(b).ok()) {
            Some(catalog) => {
                self.catalog_refresh.read_at = Some(now);
                self.update_machine_types(catalog);
            }
            None => self.catalog_refresh.retry_at = now.plus(CATALOG_RETRY_S),
        }
    }

    /// Updates the machine types from the catalog. Machines refer to types by index, so the entry
    /// of a known type is replaced in its position, including its prices, and new types are
    /// appended.
    fn update_machine_types(&mut self, catalog: Catalog) {
        let offered = catalog.machine_types.into_iter().map(MachineType::from);
        if self.machine_types.is_empty() {
            self.machine_types = offered.collect();
            return;
        }
        for machine_type in offered {
            let known = self
                .machine_types
                .iter_mut()
                .find(|t| t.label == machine_type.label);
            match known {
                Some(known) => *known = machine_type,
                None => self.machine_types.push(machine_type),
            }
        }
    }

    fn on_machine_list(&mut self, now: Time, body: Option<&[u8]>) {
        let Some(term) = &mut self.term else { return };
        match body.and_then(|b| wire::decode::<HostList>(b).ok()) {
            Some(list) => term.apply_machine_list(now, self.list_lag_s, &list, &self.machine_types),
            None => term.listing.restart(now),
        }
    }
}

/// The body of a reply with status 200; `None` for any other reply.
fn ok_body(result: &Option<(u16, Vec<u8>)>) -> Option<&[u8]> {
    match result {
        Some((200, body)) => Some(body),
        _ => None,
    }
}
