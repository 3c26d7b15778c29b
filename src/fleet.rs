//! The leader's cloud loop: what machines there are, which are wanted, and the
//! calls that close the gap.
//!
//! The machine list lags and may step back, so a machine that the cloud named
//! in an answer counts from then on, and one that is missing counts as gone
//! only once the list has had time to know. A release answered with 200 is the
//! one quick proof that everything on a machine has ended.

use crate::http::Method;
use crate::ledger::{Committed, Ledger, Outcome, Priority, Reply, Scan, Txn};
use crate::market::{Pool, Splits, Want};
use crate::node::{Dest, Out, Tag};
use crate::placement::Placement;
use crate::settings::{Operator, Settings};
use crate::split::{Class, Market, Shape};
use crate::types::{CallId, MachineId, Stamp, Time, Token, WallMs};
use crate::wire;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

const RENTALS_KEY: &str = "fleet/rentals";
const RENTALS_PREFIX: &str = "fleet/";
const MOST_PER_RENTAL: u32 = 50;
/// The cloud charges a machine for at least this long.
const MIN_CHARGE_S: f64 = 60.0;
/// How long an on-demand machine that no split needs may stand idle.
const ORDINARY_IDLE_S: f64 = 8.0;
const MOST_PER_RELEASE: usize = 100;

#[derive(Deserialize)]
struct Flavors {
    shapes: Vec<Flavor>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Flavor {
    label: String,
    #[serde(deserialize_with = "wire::amount")]
    vcpus: f64,
    #[serde(default, deserialize_with = "wire::amount")]
    cards: f64,
    #[serde(deserialize_with = "wire::amount")]
    memory_gb: f64,
    #[serde(default, deserialize_with = "wire::amount")]
    cache_gb: f64,
    #[serde(default, deserialize_with = "wire::amount")]
    fetch_gb_per_s: f64,
    #[serde(deserialize_with = "wire::amount")]
    rate: f64,
    #[serde(deserialize_with = "wire::amount")]
    low_price: f64,
    #[serde(deserialize_with = "wire::amount")]
    boot_s: f64,
    yards: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct HostRow {
    name_id: String,
    #[serde(default)]
    endpoint: Option<String>,
    shape: String,
    yard: String,
    loaners: bool,
    status: String,
    #[serde(deserialize_with = "wire::amount")]
    held_s: f64,
}

#[derive(Deserialize)]
struct HostList {
    hosts: Vec<HostRow>,
    #[serde(default)]
    more: bool,
}

#[derive(Deserialize)]
struct Rented {
    hosts: Vec<String>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct RentBody<'a> {
    rental: &'a str,
    shape: &'a str,
    yard: &'a str,
    loaners: bool,
    how_many: u32,
}

#[derive(Serialize)]
struct ReleaseBody {
    hosts: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    Starting,
    Running,
    Failed,
}

#[derive(Debug)]
struct Instance {
    shape: usize,
    zone: String,
    spot: bool,
    status: Status,
    rented: Time,
    listed: Option<Time>,
    endpoint: Option<SocketAddrV4>,
    /// Not rented by the service: it was there before us and stays.
    owned: bool,
    release: Release,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    No,
    Wanted,
    Flying,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct RentalRow {
    name: String,
    shape: String,
    zone: String,
    spot: bool,
    count: u32,
}

#[derive(Serialize, Deserialize)]
struct RentalRecord {
    v: u32,
    rentals: Vec<RentalRow>,
    /// Machines that were there before the service rented any.
    #[serde(default)]
    owned: Vec<String>,
}

#[derive(Debug)]
struct Rental {
    row: RentalRow,
    shape: usize,
    recorded: bool,
    flying: bool,
    tried: bool,
    retry_at: Time,
}

#[derive(Debug)]
enum CloudCall {
    Flavors,
    List,
    Rent(String),
    Release(Vec<MachineId>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetCall {
    Read,
    Write,
    ReadSplit,
    WriteSplit,
}

/// What the leader keeps for one term.
struct Term {
    token: Token,
    began: Time,
    instances: BTreeMap<MachineId, Instance>,
    rentals: Vec<Rental>,
    next_rental: u64,
    refused: BTreeMap<(usize, String, bool), Time>,
    record: Option<Stamp>,
    record_flying: bool,
    written: Vec<String>,
    list_flying: bool,
    list_at: Time,
    list_after: Option<String>,
    lists: u32,
    released: BTreeMap<MachineId, Time>,
    retry_at: Time,
    decided: Time,
    /// When machines to return were last looked for.
    returned: Time,
    owned: Option<Vec<MachineId>>,
    /// Rented lately by us: kept in the record until every list shows them.
    lately: Vec<(Time, RentalRow)>,
    /// Rentals that an earlier leader recorded: the list may not show them yet.
    inherited: Vec<RentalRow>,
    splits: Splits,
}

pub struct Fleet {
    rate: f64,
    level: f64,
    filled: Time,
    lag_s: f64,
    shapes: Vec<Shape>,
    flavors_flying: bool,
    flavors_at: Option<Time>,
    flavors_retry: Time,
    calls: BTreeMap<CallId, CloudCall>,
    queue: VecDeque<CloudCall>,
    term: Option<Term>,
}

impl Fleet {
    pub fn new(settings: &Settings) -> Fleet {
        Fleet {
            rate: settings.params.cloud.rps * 0.9,
            level: 1.0,
            filled: Time::default(),
            lag_s: settings.params.cloud.list_lag_s,
            shapes: Vec::new(),
            flavors_flying: false,
            flavors_at: None,
            flavors_retry: Time::default(),
            calls: BTreeMap::new(),
            queue: VecDeque::new(),
            term: None,
        }
    }

    pub fn shapes(&self) -> &[Shape] {
        &self.shapes
    }

    pub fn begin_term(&mut self, now: Time, token: Token, operator: &Operator) {
        self.queue.clear();
        self.term = Some(Term {
            token,
            began: now,
            instances: BTreeMap::new(),
            rentals: Vec::new(),
            next_rental: 0,
            refused: BTreeMap::new(),
            record: None,
            record_flying: false,
            written: Vec::new(),
            list_flying: false,
            list_at: Time::default(),
            list_after: None,
            lists: 0,
            released: BTreeMap::new(),
            retry_at: Time::default(),
            decided: Time::default(),
            returned: Time::default(),
            owned: None,
            lately: Vec::new(),
            inherited: Vec::new(),
            splits: Splits::new(operator, token, now),
        });
    }

    pub fn end_term(&mut self) {
        self.term = None;
        self.queue.clear();
    }

    pub fn is_ours(&self, id: CallId) -> bool {
        self.calls.contains_key(&id)
    }

    pub fn endpoints(&self) -> impl Iterator<Item = (MachineId, SocketAddrV4)> + '_ {
        self.term
            .iter()
            .flat_map(|t| t.instances.iter())
            .filter(|(_, i)| i.release == Release::No && i.status == Status::Running)
            .filter_map(|(id, i)| Some((*id, i.endpoint?)))
    }

    // ---- loops ----

    pub fn tick(
        &mut self,
        now: Time,
        wall: WallMs,
        operator: &Operator,
        settings: &Settings,
        place: Option<&mut Placement>,
        ledger: &mut Ledger<Tag>,
    ) {
        let stale = self
            .flavors_at
            .is_none_or(|t| now.since(t) > if place.is_some() { 30.0 } else { 120.0 });
        if stale && !self.flavors_flying && now >= self.flavors_retry {
            self.flavors_flying = true;
            self.queue.push_front(CloudCall::Flavors);
        }
        let (Some(place), Some(term)) = (place, self.term.as_mut()) else { return };
        if !term.list_flying && now.since(term.list_at) > 1.5 && !self.shapes.is_empty() {
            term.list_flying = true;
            self.queue.push_back(CloudCall::List);
        }
        term.keep_record(now, ledger);
        if term.record.is_none() || !place.loaded() {
            return;
        }
        if now.since(term.decided) > 0.5 {
            term.decided = now;
            if let Some(runs) = term.splits.runs.take() {
                place.restore_runs(runs);
            }
            term.watch_machines(now, self.lag_s, &self.shapes, settings, place);
            term.decide(now, wall, self.lag_s, &self.shapes, operator, settings, place);
        }
        term.splits.keep(now, term.token, place.runs(), settings.value_limit(), ledger);
        let ready =
            term.rentals.iter_mut().filter(|r| r.recorded && !r.flying && now >= r.retry_at);
        for r in ready {
            r.flying = true;
            self.queue.push_back(CloudCall::Rent(r.row.name.clone()));
        }
        let mut batch = Vec::new();
        // Not after every report: that would cost the whole fleet each time.
        if now.since(term.returned) >= 0.1 && now >= term.retry_at {
            term.returned = now;
            let wanted = term.instances.iter_mut().filter(|(_, i)| i.release == Release::Wanted);
            for (id, i) in wanted.take(MOST_PER_RELEASE) {
                i.release = Release::Flying;
                batch.push(*id);
            }
        }
        if !batch.is_empty() {
            self.queue.push_front(CloudCall::Release(batch));
        }
    }

    pub fn pump(&mut self, now: Time, next_call: &mut u64, out: &mut Vec<Out>) {
        self.level = (self.level + now.since(self.filled) * self.rate).min(self.rate);
        self.filled = now;
        while self.level >= 1.0 {
            let Some(call) = self.queue.pop_front() else { break };
            let (method, path, body) = match &call {
                CloudCall::Flavors => (Method::Get, "/flavors".to_string(), Vec::new()),
                CloudCall::List => {
                    let after = self.term.as_ref().and_then(|t| t.list_after.clone());
                    let path = match after {
                        Some(a) => format!("/hosts?since={a}&most=500"),
                        None => "/hosts?most=500".to_string(),
                    };
                    (Method::Get, path, Vec::new())
                }
                CloudCall::Rent(name) => {
                    let Some(r) = self
                        .term
                        .as_ref()
                        .and_then(|t| t.rentals.iter().find(|r| r.row.name == *name))
                    else {
                        continue;
                    };
                    let body = wire::encode(&RentBody {
                        rental: &r.row.name,
                        shape: &r.row.shape,
                        yard: &r.row.zone,
                        loaners: r.row.spot,
                        how_many: r.row.count,
                    });
                    (Method::Post, "/hosts".to_string(), body)
                }
                CloudCall::Release(ids) => {
                    let hosts = ids.iter().map(|i| i.to_string()).collect();
                    (
                        Method::Post,
                        "/hosts/release".to_string(),
                        wire::encode(&ReleaseBody { hosts }),
                    )
                }
            };
            self.level -= 1.0;
            *next_call += 1;
            let id = CallId(*next_call);
            self.calls.insert(id, call);
            out.push(Out::Call { id, dest: Dest::Cloud, method, path, body, timeout_s: 4.0 });
        }
    }

    // ---- replies ----

    pub fn on_cloud(
        &mut self,
        now: Time,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        place: Option<&mut Placement>,
    ) {
        let Some(call) = self.calls.remove(&id) else { return };
        let ok = match &result {
            Some((200, body)) => Some(body.as_slice()),
            _ => None,
        };
        match call {
            CloudCall::Flavors => {
                self.flavors_flying = false;
                match ok.and_then(|b| wire::decode::<Flavors>(b).ok()) {
                    Some(f) => self.take_flavors(now, f),
                    None => self.flavors_retry = now.plus(1.0),
                }
            }
            CloudCall::List => {
                let Some(term) = &mut self.term else { return };
                term.list_flying = false;
                match ok.and_then(|b| wire::decode::<HostList>(b).ok()) {
                    Some(list) => term.take_list(now, list, &self.shapes),
                    None => {
                        term.list_after = None;
                        term.list_at = now;
                    }
                }
            }
            CloudCall::Rent(name) => {
                let Some(term) = &mut self.term else { return };
                let Some(at) = term.rentals.iter().position(|r| r.row.name == name) else { return };
                match result {
                    Some((200, body)) => {
                        let hosts =
                            wire::decode::<Rented>(&body).map(|r| r.hosts).unwrap_or_default();
                        let r = term.rentals.remove(at);
                        log::info!(
                            "rented {} of {} {} in {} spot={}",
                            hosts.len(),
                            r.row.count,
                            r.row.shape,
                            r.row.zone,
                            r.row.spot
                        );
                        if hosts.len() < r.row.count as usize {
                            term.refused
                                .insert((r.shape, r.row.zone.clone(), r.row.spot), now.plus(10.0));
                        }
                        for id in hosts.iter().filter_map(|h| MachineId::parse(h)) {
                            term.instances.entry(id).or_insert(Instance {
                                shape: r.shape,
                                zone: r.row.zone.clone(),
                                spot: r.row.spot,
                                status: Status::Starting,
                                rented: now,
                                listed: None,
                                endpoint: None,
                                owned: false,
                                release: Release::No,
                            });
                        }
                        if !hosts.is_empty() {
                            let row = RentalRow { count: hosts.len() as u32, ..r.row };
                            term.lately.push((now, row));
                        }
                    }
                    Some((503, body)) => {
                        let r = &mut term.rentals[at];
                        r.flying = false;
                        #[derive(Deserialize)]
                        struct Error {
                            #[serde(default)]
                            error: String,
                        }
                        let error =
                            wire::decode::<Error>(&body).map(|e| e.error).unwrap_or_default();
                        if error == "no capacity" {
                            // Certainly nothing rented under this name: drop
                            // it, and ask this market again a little later.
                            log::debug!(
                                "no capacity: {} {} spot={}",
                                r.row.shape,
                                r.row.zone,
                                r.row.spot
                            );
                            let key = (r.shape, r.row.zone.clone(), r.row.spot);
                            let tried = r.tried;
                            if tried {
                                // An earlier send of this name may yet act.
                                r.retry_at = now.plus(2.0);
                            } else {
                                term.rentals.remove(at);
                            }
                            term.refused.insert(key, now.plus(10.0));
                        } else {
                            r.retry_at = now.plus(2.0);
                        }
                    }
                    Some((429, _)) => {
                        let r = &mut term.rentals[at];
                        r.flying = false;
                        r.retry_at = now.plus(0.5);
                        self.level = self.level.min(0.0);
                    }
                    Some((400, _)) => {
                        log::error!("the cloud calls rental {name} malformed");
                        term.rentals.remove(at);
                    }
                    // A lost reply: the same name again rents nothing twice.
                    _ => {
                        let r = &mut term.rentals[at];
                        r.flying = false;
                        r.tried = true;
                        r.retry_at = now.plus(1.0);
                    }
                }
            }
            CloudCall::Release(ids) => {
                let Some(term) = &mut self.term else { return };
                if ok.is_some() {
                    if let Some(place) = place {
                        for id in &ids {
                            place.machine_gone(now, *id);
                        }
                    }
                    for id in ids {
                        term.instances.remove(&id);
                        term.released.insert(id, now);
                    }
                } else {
                    for id in ids {
                        if let Some(i) = term.instances.get_mut(&id) {
                            i.release = Release::Wanted;
                        }
                    }
                    term.retry_at = now.plus(1.0);
                }
            }
        }
    }

    fn take_flavors(&mut self, now: Time, f: Flavors) {
        let shapes: Vec<Shape> = f
            .shapes
            .into_iter()
            .map(|s| Shape {
                label: s.label,
                cpus: s.vcpus,
                gpus: s.cards,
                memory_gb: s.memory_gb,
                cache_gb: s.cache_gb,
                fetch_gb_per_s: s.fetch_gb_per_s,
                rate: s.rate,
                low_price: s.low_price,
                boot_s: s.boot_s,
                zones: s.yards,
            })
            .collect();
        self.flavors_at = Some(now);
        if self.shapes.is_empty() {
            self.shapes = shapes;
            return;
        }
        // Machines refer to types by place: keep the order, take new prices.
        for s in shapes {
            match self.shapes.iter_mut().find(|o| o.label == s.label) {
                Some(old) => *old = s,
                None => self.shapes.push(s),
            }
        }
    }

    pub fn on_ledger(&mut self, now: Time, call: FleetCall, reply: Reply<Tag>) {
        let Some(term) = &mut self.term else { return };
        match call {
            FleetCall::ReadSplit => return term.splits.on_read(now, reply),
            FleetCall::WriteSplit => return term.splits.on_written(now, reply),
            FleetCall::Read | FleetCall::Write => {}
        }
        term.record_flying = false;
        match (call, reply.outcome) {
            (FleetCall::Read, Outcome::Ok(body)) => {
                let Ok(scan) = wire::decode::<Scan>(&body) else { return };
                let found = scan.pairs.iter().find(|p| p.path == RENTALS_KEY);
                term.record = Some(Stamp(found.map_or(0, |p| p.stamp)));
                term.written.clear();
                if let Some(p) = found {
                    match wire::from_value::<RentalRecord>(&p.value) {
                        Ok(r) if r.v == 1 => {
                            term.written = r.rentals.iter().map(|x| x.name.clone()).collect();
                            let ours = format!("r-{}-", term.token.0);
                            term.inherited = r.rentals;
                            term.inherited.retain(|x| !x.name.starts_with(&ours));
                            term.owned.get_or_insert(
                                r.owned.iter().filter_map(|m| MachineId::parse(m)).collect(),
                            );
                        }
                        _ => {
                            log::error!(
                                "{RENTALS_KEY} has an unknown form or version; renting stops"
                            );
                            term.record = None;
                            term.retry_at = now.plus(3_600.0);
                        }
                    }
                }
                // A lost write may have landed: what it named is recorded.
                for r in &mut term.rentals {
                    if term.written.contains(&r.row.name) {
                        r.recorded = true;
                    }
                }
            }
            (FleetCall::Write, Outcome::Ok(body)) => match wire::decode::<Committed>(&body) {
                Ok(c) => {
                    term.record = Some(Stamp(c.rev));
                    for r in &mut term.rentals {
                        if term.written.contains(&r.row.name) {
                            r.recorded = true;
                        }
                    }
                }
                Err(_) => term.record = None,
            },
            (FleetCall::Write, Outcome::Refused) => {
                term.retry_at = now.plus(0.2);
            }
            (FleetCall::Write, _) => {
                term.record = None;
                term.retry_at = now.plus(0.2);
            }
            _ => term.retry_at = now.plus(0.3),
        }
    }
}

impl Term {
    /// Rental names are recorded before they are used. They begin with our
    /// token, so nobody else can ever use the same name.
    fn keep_record(&mut self, now: Time, ledger: &mut Ledger<Tag>) {
        if self.record_flying || now < self.retry_at {
            return;
        }
        let Some(stamp) = self.record else {
            self.record_flying = true;
            ledger.scan(now, Priority::Rest, Tag::Fleet(FleetCall::Read), RENTALS_PREFIX, None);
            return;
        };
        let unrecorded = self.rentals.iter().any(|r| !r.recorded);
        if !unrecorded || self.owned.is_none() {
            return;
        }
        let owned = self.owned.iter().flatten().map(|m| m.to_string()).collect();
        let lately = self.lately.iter().map(|(_, row)| row.clone());
        let rentals: Vec<RentalRow> =
            self.rentals.iter().map(|r| r.row.clone()).chain(lately).collect();
        self.written = rentals.iter().map(|r| r.name.clone()).collect();
        self.record_flying = true;
        let mut txn = Txn::default();
        txn.when(crate::leader::BLOCK, Stamp(self.token.0));
        txn.write(RENTALS_KEY, stamp, wire::to_value(&RentalRecord { v: 1, rentals, owned }), None);
        ledger.commit(now, Priority::Place, Tag::Fleet(FleetCall::Write), txn);
    }

    fn take_list(&mut self, now: Time, list: HostList, shapes: &[Shape]) {
        for row in &list.hosts {
            let Some(id) = MachineId::parse(&row.name_id) else { continue };
            if self.released.contains_key(&id) {
                continue;
            }
            let Some(shape) = shapes.iter().position(|s| s.label == row.shape) else { continue };
            let status = match row.status.as_str() {
                "running" => Status::Running,
                "failed" => Status::Failed,
                _ => Status::Starting,
            };
            let endpoint = row.endpoint.as_ref().and_then(|e| e.parse().ok());
            let entry = self.instances.entry(id).or_insert_with(|| Instance {
                shape,
                zone: row.yard.clone(),
                spot: row.loaners,
                status,
                rented: now.minus(row.held_s),
                listed: None,
                endpoint,
                owned: false,
                release: Release::No,
            });
            // The list may step back: a machine that ran does not start again.
            if !(entry.status == Status::Running && status == Status::Starting) {
                entry.status = status;
            }
            entry.endpoint = endpoint.or(entry.endpoint);
            entry.listed = Some(now);
        }
        self.list_after =
            if list.more { list.hosts.last().map(|h| h.name_id.clone()) } else { None };
        if self.list_after.is_none() {
            self.lists += 1;
            self.list_at = now;
            // Before the first rental ever, all that is listed is the
            // operators' own.
            if self.owned.is_none() && self.record == Some(Stamp(0)) {
                self.owned = Some(self.instances.keys().copied().collect());
            }
            for id in self.owned.iter().flatten() {
                if let Some(i) = self.instances.get_mut(id) {
                    i.owned = true;
                }
            }
            self.released.retain(|_, t| now.since(*t) < 120.0);
        }
    }

    /// Finds machines that failed, never came up, vanished or fell silent.
    fn watch_machines(
        &mut self,
        now: Time,
        lag_s: f64,
        shapes: &[Shape],
        settings: &Settings,
        place: &mut Placement,
    ) {
        let lease_s = settings.params.workers.lease_s;
        let report_s = settings.params.workers.report_s;
        let limit = (lease_s * 0.55).max(report_s * 3.0);
        // After a takeover, a machine that held tasks but never reports to us
        // has been silent since then.
        let silent = |id: &MachineId| {
            let m = place.machine(*id)?;
            let since = m.heard.or((!m.is_empty()).then_some(place.took()))?;
            Some(now.since(since))
        };
        let known = self.instances.iter().filter(|(_, i)| i.release == Release::No);
        let (mut heard, mut quiet) = (0u32, 0u32);
        for (id, _) in known {
            match silent(id) {
                Some(s) if s > limit => quiet += 1,
                Some(_) => heard += 1,
                None => {}
            }
        }
        // When most are silent, it is more likely we who cannot hear.
        let trust = heard > quiet || (heard + quiet) <= 2 && heard >= quiet;
        let mut out = Vec::new();
        for (id, i) in &mut self.instances {
            if i.release != Release::No {
                continue;
            }
            let age = now.since(i.rented);
            let boot = shapes.get(i.shape).map_or(60.0, |s| s.boot_s);
            let m = place.machine(*id);
            let never = m.and_then(|m| m.heard).is_none();
            let gone_from_list = match i.listed {
                Some(t) => now.since(t) > lag_s * 2.0 + 4.0,
                None => now.since(i.rented.max(self.began)) > lag_s * 3.0 + 6.0,
            };
            let why = if i.status == Status::Failed {
                "failed"
            } else if m.is_some_and(|m| m.sick) {
                "fails its tasks"
            } else if never
                && age > boot * 1.9 + 5.0
                && now.since(self.began) > boot * 0.5 + lease_s
            {
                "never came up"
            } else if never && gone_from_list {
                "vanished from the list"
            } else if trust
                && silent(id).is_some_and(|s| s > limit)
                && now.since(place.took()) > limit + 2.0
            {
                "silent"
            } else {
                continue;
            };
            if i.owned && why == "silent" && silent(id).is_some_and(|s| s < lease_s * 4.0) {
                continue;
            }
            log::info!("returning {id}: {why}");
            i.release = Release::Wanted;
            out.push(*id);
        }
        for id in out {
            place.drain(id);
        }
        // Strays: they report, but no list and no rental named them yet.
        let strays: Vec<(MachineId, usize, String, bool, Option<SocketAddrV4>)> = place
            .machines()
            .filter(|(id, m)| {
                !self.instances.contains_key(id)
                    && !self.released.contains_key(id)
                    && m.heard.is_some_and(|h| now.since(h) < report_s * 3.0)
            })
            .filter_map(|(id, m)| Some((*id, m.shape()?, m.zone().to_string(), m.spot, m.endpoint)))
            .collect();
        for (id, shape, zone, spot, endpoint) in strays {
            self.instances.insert(
                id,
                Instance {
                    shape,
                    zone,
                    spot,
                    status: Status::Running,
                    rented: now,
                    listed: None,
                    endpoint,
                    owned: false,
                    release: Release::No,
                },
            );
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn decide(
        &mut self,
        now: Time,
        wall: WallMs,
        lag_s: f64,
        shapes: &[Shape],
        operator: &Operator,
        settings: &Settings,
        place: &mut Placement,
    ) {
        let demands = place.demands(wall);
        // Count what there is and what is on its way.
        let mut have: BTreeMap<Class, u32> = BTreeMap::new();
        let mut up: BTreeMap<Class, u32> = BTreeMap::new();
        let mut pools: BTreeMap<usize, Pool> = BTreeMap::new();
        let (mut owned_cpus, mut idle_owned) = (0.0, 0.0);
        for (id, i) in &self.instances {
            let m = place.machine(*id);
            let leaving = i.release != Release::No
                || i.status == Status::Failed
                || m.is_some_and(|m| m.reclaim || m.sick || m.slow);
            if leaving {
                continue;
            }
            let class = Class { shape: i.shape, spot: i.spot };
            *have.entry(class).or_default() += 1;
            let pool = pools.entry(i.shape).or_default();
            if m.is_some_and(|m| m.heard.is_some()) {
                *up.entry(class).or_default() += 1;
                place.room_over_time(now, *id, shapes, pool);
            } else if let Some(s) = shapes.get(i.shape) {
                pool.push(((s.boot_s * 1.2 - now.since(i.rented)).max(s.boot_s * 0.2), s.cpus));
            }
            if i.owned {
                let cpus = shapes.get(i.shape).map_or(0.0, |s| s.cpus);
                owned_cpus += cpus;
                if m.is_some_and(|m| m.is_empty()) {
                    idle_owned += cpus;
                }
            }
        }
        for r in &self.rentals {
            *have.entry(Class { shape: r.shape, spot: r.row.spot }).or_default() += r.row.count;
            if let Some(s) = shapes.get(r.shape) {
                let pool = pools.entry(r.shape).or_default();
                pool.extend((0..r.row.count).map(|_| (s.boot_s * 1.2, s.cpus)));
            }
        }
        // After a takeover the list may not yet show what was rented before
        // us: what was recorded counts as there until it must show.
        let lag = lag_s * 2.0 + 2.0;
        if now.since(self.began) > lag {
            self.inherited.clear();
        }
        for row in &self.inherited {
            if let Some(shape) = shapes.iter().position(|s| s.label == row.shape) {
                *have.entry(Class { shape, spot: row.spot }).or_default() += row.count;
            }
        }
        self.lately.retain(|(at, _)| now.since(*at) < lag);
        self.refused.retain(|_, until| *until > now);
        let wants = self.splits.wants(now, &demands, shapes, settings, owned_cpus, &pools);
        let mut wanted: BTreeMap<Class, u32> = BTreeMap::new();
        let (mut spot_wanted, mut spot_up) = (0.0, 0.0);
        let (mut price, mut heaviest) = (1.0, 0.0);
        for (shape, s) in shapes.iter().enumerate() {
            let want = wants.get(&shape).copied().unwrap_or_default();
            let count = |c: &BTreeMap<Class, u32>, spot| {
                f64::from(c.get(&Class { shape, spot }).copied().unwrap_or(0))
            };
            let (spot, ordinary) = machines_wanted(
                &want,
                count(&have, true),
                count(&have, false),
                s.zones.iter().all(|z| self.refused.contains_key(&(shape, z.clone(), true))),
            );
            wanted.insert(Class { shape, spot: true }, spot);
            wanted.insert(Class { shape, spot: false }, ordinary);
            let weight = want.pool * s.low_price;
            spot_wanted += want.pool;
            spot_up += count(&up, true).min(want.pool);
            if weight > heaviest && s.rate > 0.0 {
                heaviest = weight;
                price = s.low_price / s.rate;
            }
        }
        if spot_wanted > 0.0 {
            self.splits.observe(now, Market { price, up: spot_up / spot_wanted, idle_owned });
        }
        if self.lists > 0 {
            for (class, want) in &wanted {
                let have = have.get(class).copied().unwrap_or(0);
                if *want > have {
                    self.rent(now, *class, want - have, shapes, settings);
                }
            }
        }
        self.give_back(now, &wanted, &have, operator, place);
    }

    fn rent(&mut self, now: Time, class: Class, count: u32, shapes: &[Shape], settings: &Settings) {
        let Some(shape) = shapes.get(class.shape) else { return };
        if self.rentals.iter().any(|r| r.shape == class.shape && r.row.spot == class.spot) {
            return;
        }
        let open: Vec<&String> = shape
            .zones
            .iter()
            .filter(|z| settings.params.zones.is_empty() || settings.params.zones.contains(z))
            .filter(|z| !self.refused.contains_key(&(class.shape, (*z).clone(), class.spot)))
            .collect();
        if open.is_empty() {
            return;
        }
        // Spread over the zones, the emptier first.
        let mut counts: Vec<(u32, &String, u32)> = open
            .iter()
            .map(|z| {
                let n = self
                    .instances
                    .values()
                    .filter(|i| i.shape == class.shape && i.zone == **z)
                    .count();
                (n as u32, *z, 0)
            })
            .collect();
        for _ in 0..count.min(MOST_PER_RENTAL) {
            counts.sort_by_key(|(n, z, _)| (*n, (*z).clone()));
            if let Some(c) = counts.first_mut() {
                c.0 += 1;
                c.2 += 1;
            }
        }
        for (_, zone, n) in counts {
            if n == 0 {
                continue;
            }
            self.next_rental += 1;
            self.rentals.push(Rental {
                row: RentalRow {
                    name: format!("r-{}-{}", self.token.0, self.next_rental),
                    shape: shape.label.clone(),
                    zone: zone.clone(),
                    spot: class.spot,
                    count: n,
                },
                shape: class.shape,
                recorded: false,
                flying: false,
                tried: false,
                retry_at: now,
            });
        }
    }

    fn give_back(
        &mut self,
        now: Time,
        wanted: &BTreeMap<Class, u32>,
        have: &BTreeMap<Class, u32>,
        operator: &Operator,
        place: &mut Placement,
    ) {
        let mut over: BTreeMap<Class, u32> = BTreeMap::new();
        for (class, n) in have {
            let want = wanted.get(class).copied().unwrap_or(0);
            if *n > want {
                over.insert(*class, n - want);
            }
        }
        let mut out = Vec::new();
        for (id, i) in &mut self.instances {
            let Some(m) = place.machine(*id) else { continue };
            if i.release != Release::No || !m.is_empty() {
                continue;
            }
            let class = Class { shape: i.shape, spot: i.spot };
            let why = if m.slow {
                "slow"
            } else {
                let Some(n) = over.get_mut(&class).filter(|n| **n > 0) else { continue };
                // A rented machine stays at least as long as it is charged for
                // anyway, and spot machines a while longer; dear ones do not.
                let stay = if i.owned { operator.idle_s } else { ORDINARY_IDLE_S };
                let fresh = !i.owned && now.since(i.rented) < MIN_CHARGE_S - 3.0;
                let idle = if i.spot { operator.idle_s.max(stay) } else { stay };
                if fresh || now.since(m.idle_since) < idle || now.since(self.began) < idle {
                    continue;
                }
                *n -= 1;
                "idle"
            };
            log::info!("returning {id}: {why}");
            i.release = Release::Wanted;
            out.push(*id);
        }
        for id in out {
            place.drain(id);
        }
    }
}

/// Spot and ordinary machines to have of one type.
///
/// What must be had, and is not on its way, is bought ordinary only where spot
/// is refused. Ordinary machines that are there take part of the work.
fn machines_wanted(want: &Want, have_spot: f64, have_ordinary: f64, refused: bool) -> (u32, u32) {
    let up = |x: f64| (x - 1e-6).ceil().max(0.0);
    let bound = up(want.ordinary);
    let spare = (have_ordinary - bound).max(0.0);
    if refused && want.short > 0.0 {
        return (up(want.pool + want.ready) as u32, (bound + spare + up(want.short)) as u32);
    }
    if refused && up(want.timely) > have_spot + spare {
        return (up(want.pool + want.ready) as u32, (bound + up(want.timely) - have_spot) as u32);
    }
    // Ordinary machines stay as long as spot ones do not reach.
    let pool = up(want.pool + want.ready);
    let keep = (up(want.pool) - have_spot).clamp(0.0, spare);
    ((pool - keep) as u32, (bound + keep) as u32)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn want(pool: f64, ready: f64, short: f64, ordinary: f64) -> Want {
        Want { pool, timely: 0.0, ready, short, ordinary }
    }

    #[test]
    fn ordinary_machines_are_bought_only_where_spot_is_refused() {
        assert_eq!(machines_wanted(&want(6.5, 0.0, 2.5, 0.0), 0.0, 0.0, false), (7, 0));
        assert_eq!(machines_wanted(&want(6.5, 0.0, 2.5, 0.0), 2.0, 0.0, true), (7, 3));
        assert_eq!(machines_wanted(&want(6.5, 0.0, 0.0, 0.0), 2.0, 0.0, true), (7, 0));
    }

    #[test]
    fn ordinary_machines_that_are_there_take_part_of_the_work() {
        assert_eq!(machines_wanted(&want(4.0, 0.0, 0.0, 1.0), 0.0, 3.0, false), (2, 3));
        assert_eq!(machines_wanted(&want(0.0, 0.0, 0.0, 0.0), 3.0, 3.0, false), (0, 0));
        assert_eq!(machines_wanted(&want(4.0, 1.0, 0.0, 0.0), 4.0, 1.0, false), (5, 0));
    }
}
