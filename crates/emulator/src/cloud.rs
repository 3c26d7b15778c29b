//! Emulator of the cloud: finite capacity, boot times, a rate limit, and a list of instances
//! that lags behind and may go back in time.

pub(crate) mod protocol;

use crate::worker::simulated_endpoint;
use crate::{decode, response, Micros, Response, SECOND};
use beamhinge_core::http::Method;
use protocol::{Call, PageQuery, ScaleOut};
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};

/// Instances on one page of the list (PROTOCOL).
const MAX_PAGE: usize = 500;
/// The list is exact until then: simulated time begins after one hour, and the cluster's
/// first look finds the machines that were there before it.
const EXACT_UNTIL: Micros = 3_600 * SECOND + 5 * SECOND;
/// Boot time of an instance whose type is not offered, seconds.
const DEFAULT_BOOT_S: f64 = 10.0;
/// Boot times are drawn evenly between these parts of the stated one.
const BOOT_SPREAD: std::ops::Range<f64> = 0.6..1.5;

/// One machine of the cloud.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Label of its type.
    pub machine_type: String,
    /// Zone it stands in.
    pub zone: String,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// When it was created.
    pub created: Micros,
    /// From when on it is up; never for one whose boot is stuck.
    pub up: Micros,
    /// From when on the list calls it failed: it stopped by itself.
    pub failed_at: Option<Micros>,
}

/// A type of machine that the cloud offers.
#[derive(Clone, Debug)]
pub struct InstanceType {
    /// Its name.
    pub label: String,
    /// CPUs.
    pub cpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Price of an on-demand instance.
    pub price: f64,
    /// Price of a spot instance.
    pub spot_price: f64,
    /// Mean boot time, seconds.
    pub boot_s: f64,
}

/// Instances of one type and zone that are sold alike.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityPool {
    /// Label of the type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Spot or on-demand.
    pub spot: bool,
}

impl CapacityPool {
    /// The pool of that type, zone and kind of sale.
    pub fn new(machine_type: impl Into<String>, zone: impl Into<String>, spot: bool) -> Self {
        CapacityPool {
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot,
        }
    }

    fn contains(&self, instance: &Instance) -> bool {
        instance.machine_type == self.machine_type
            && instance.zone == self.zone
            && instance.spot == self.spot
    }
}

/// The cloud.
pub struct Cloud {
    /// What it offers.
    pub instance_types: Vec<InstanceType>,
    /// Its zones.
    pub zones: Vec<String>,
    /// How many instances of each pool there can be at once.
    pub capacity: BTreeMap<CapacityPool, u32>,
    /// All instances, by number.
    pub instances: BTreeMap<u64, Instance>,
    next: u64,
    /// Answers to scale-outs by their idempotency keys.
    answers: BTreeMap<String, Vec<String>>,
    rps: f64,
    /// Requests that may come at once now.
    tokens: f64,
    refilled: Micros,
    list_lag: Micros,
    /// Earlier states that a list may still show, oldest first.
    snapshots: VecDeque<(Micros, BTreeMap<u64, Instance>)>,
    /// Where a machine's worker listens, when it is not the simulated address.
    pub endpoints: BTreeMap<u64, String>,
    /// Created since they were last taken, and when they are up.
    created: Vec<(u64, Micros)>,
    /// Gone since they were last taken.
    gone: Vec<u64>,
    /// So many of the next instances never come up.
    pub stuck_boots: u32,
    /// The part of its capacity that the cloud has to give.
    pub capacity_fraction: f64,
    /// It answers 503 until then.
    pub down_until: Micros,
    /// Scale-outs are called malformed until then.
    pub rejects_scale_out_until: Micros,
    /// The most instances that there ever were at once.
    pub peak_instances: u32,
    /// What a controller did against the protocol.
    pub violations: Vec<String>,
}

/// The name of a machine.
pub(crate) fn name(id: u64) -> String {
    format!("n-{id:06}")
}

/// The number of the machine with this name.
fn number(name: &str) -> Option<u64> {
    name.strip_prefix("n-")?.parse().ok()
}

impl Cloud {
    /// An empty cloud; `rps`: requests a second that it serves, `list_lag_s`: how old its
    /// list is in the mean.
    #[must_use]
    pub fn new(rps: f64, list_lag_s: f64) -> Cloud {
        Cloud {
            instance_types: Vec::new(),
            zones: Vec::new(),
            capacity: BTreeMap::new(),
            instances: BTreeMap::new(),
            next: 0,
            answers: BTreeMap::new(),
            rps,
            tokens: rps,
            refilled: 0,
            list_lag: (list_lag_s * 1e6) as Micros,
            snapshots: VecDeque::new(),
            endpoints: BTreeMap::new(),
            created: Vec::new(),
            gone: Vec::new(),
            stuck_boots: 0,
            capacity_fraction: 1.0,
            down_until: 0,
            rejects_scale_out_until: 0,
            peak_instances: 0,
            violations: Vec::new(),
        }
    }

    /// Creates an instance; its boot takes `boot`, or for ever. Returns its number.
    pub fn add(&mut self, now: Micros, pool: &CapacityPool, boot: Option<Micros>) -> u64 {
        let id = self.next;
        self.next += 1;
        let up = boot.map_or(Micros::MAX, |boot| now + boot);
        self.instances.insert(
            id,
            Instance {
                machine_type: pool.machine_type.clone(),
                zone: pool.zone.clone(),
                spot: pool.spot,
                created: now,
                up,
                failed_at: None,
            },
        );
        if boot.is_some() {
            self.created.push((id, up));
        }
        self.peak_instances = self.peak_instances.max(self.instances.len() as u32);
        id
    }

    fn remove(&mut self, id: u64) {
        self.instances.remove(&id);
        self.gone.push(id);
    }

    /// The instance with this number and its type, if it is up.
    #[must_use]
    pub fn booted(&self, now: Micros, id: u64) -> Option<(Instance, InstanceType)> {
        let instance = self
            .instances
            .get(&id)
            .filter(|i| i.up <= now && i.failed_at.is_none())?;
        let types = &self.instance_types;
        let instance_type = types.iter().find(|t| t.label == instance.machine_type)?;
        Some((instance.clone(), instance_type.clone()))
    }

    /// The number of the next machine: no name is ever given twice.
    #[must_use]
    pub fn next_machine(&self) -> u64 {
        self.next
    }

    /// Numbers below this one are not given any more.
    pub fn skip_machines_below(&mut self, next: u64) {
        self.next = self.next.max(next);
    }

    /// Instances created since the last call, and when they are up.
    pub fn take_created(&mut self) -> Vec<(u64, Micros)> {
        std::mem::take(&mut self.created)
    }

    /// Instances released since the last call.
    pub fn take_released(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.gone)
    }

    /// Serves a request.
    pub fn handle(
        &mut self,
        now: Micros,
        method: Method,
        path: &str,
        body: &[u8],
        rng: &mut StdRng,
    ) -> Response {
        if !self.take_token(now) {
            return response(429, &json!({}));
        }
        if now < self.down_until {
            return response(503, &json!({"error": "trouble"}));
        }
        let (status, body) = match protocol::call(method, path) {
            Call::ListInstanceTypes => (
                200,
                protocol::encode_instance_types(&self.instance_types, &self.zones),
            ),
            Call::ListInstances => (200, self.list(now, &PageQuery::decode(path), rng)),
            Call::ScaleOut if now < self.rejects_scale_out_until => (400, json!({})),
            Call::ScaleOut => self.scale_out(now, &decode(body), rng),
            Call::ScaleIn => {
                let body = decode(body);
                for id in protocol::instances_to_release(&body).filter_map(number) {
                    self.remove(id);
                }
                (200, json!({}))
            }
            Call::Unknown => {
                self.violations.push(format!("{} {path}", method.name()));
                (404, json!({}))
            }
        };
        self.keep_snapshot(now);
        response(status, &body)
    }

    /// Whether the rate limit allows a request now.
    fn take_token(&mut self, now: Micros) -> bool {
        let passed = now.saturating_sub(self.refilled) as f64 / 1e6;
        self.refilled = now;
        self.tokens = (self.tokens + passed * self.rps).min(2.0 * self.rps);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn keep_snapshot(&mut self, now: Micros) {
        self.snapshots.push_back((now, self.instances.clone()));
        // The oldest state that a list may still show is kept, and none before it.
        let oldest = now.saturating_sub(2 * self.list_lag);
        while self.snapshots.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.snapshots.pop_front();
        }
    }

    fn list(&mut self, now: Micros, page: &PageQuery, rng: &mut StdRng) -> Value {
        // The list is as old as it likes, up to twice its lag.
        let age = rng.gen_range(0..=2 * self.list_lag);
        let at = now.saturating_sub(age);
        let empty = BTreeMap::new();
        let snapshot = if now < EXACT_UNTIL {
            &self.instances
        } else {
            let snapshot = self.snapshots.iter().rev().find(|(taken, _)| *taken <= at);
            snapshot.map_or(&empty, |(_, instances)| instances)
        };
        let after = page.after.and_then(number);
        let size = page.size.unwrap_or(MAX_PAGE).clamp(1, MAX_PAGE);
        let rest = snapshot
            .iter()
            .filter(|(id, _)| after.is_none_or(|after| **id > after));
        let more = rest.clone().count() > size;
        let instances: Vec<Value> = rest
            .take(size)
            .map(|(id, instance)| {
                let endpoint = self.endpoints.get(id).cloned();
                let endpoint = endpoint.unwrap_or_else(|| simulated_endpoint(*id));
                protocol::encode_instance(&name(*id), &endpoint, instance, at)
            })
            .collect();
        protocol::encode_page(&instances, more)
    }

    fn scale_out(&mut self, now: Micros, body: &Value, rng: &mut StdRng) -> (u16, Value) {
        let Some(request) = ScaleOut::decode(body) else {
            self.violations.push(format!("rental {body}"));
            return (400, json!({}));
        };
        if let Some(names) = self.answers.get(&request.key) {
            return (200, protocol::encode_names(names));
        }
        let pool = &request.pool;
        let used = self.instances.values().filter(|i| pool.contains(i)).count();
        let capacity = self.capacity.get(pool).copied().unwrap_or(0);
        let available = f64::from(capacity) * self.capacity_fraction;
        let free = (available as u32).saturating_sub(used as u32);
        let count = free.min(request.count as u32);
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let boot_s = self
            .instance_types
            .iter()
            .find(|t| t.label == pool.machine_type)
            .map_or(DEFAULT_BOOT_S, |t| t.boot_s);
        let names: Vec<String> = (0..count)
            .map(|_| {
                let boot = (boot_s * rng.gen_range(BOOT_SPREAD) * 1e6) as Micros;
                let stuck = self.stuck_boots > 0;
                self.stuck_boots = self.stuck_boots.saturating_sub(1);
                name(self.add(now, pool, (!stuck).then_some(boot)))
            })
            .collect();
        let answer = protocol::encode_names(&names);
        self.answers.insert(request.key, names);
        (200, answer)
    }
}
