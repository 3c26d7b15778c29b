//! Emulator of the cloud: finite capacity, boot times, a rate limit, and a list of instances
//! that is stale and may show an older state than the previous list did.

pub(crate) mod protocol;

use crate::worker::simulated_endpoint;
use crate::{decode, response, Micros, Response, SECOND};
use beamhinge_core::http::Method;
use protocol::{Call, PageQuery, ScaleOut};
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of instances on one page of the list (PROTOCOL).
const MAX_PAGE_SIZE: usize = 500;
/// Until this time the list is exact. Simulated time starts at one hour, and the controllers'
/// first request must find the machines that existed before.
const EXACT_LIST_UNTIL: Micros = 3_600 * SECOND + 5 * SECOND;
/// Boot time of an instance whose type is unknown, seconds.
const DEFAULT_BOOT_S: f64 = 10.0;
/// Range of the uniformly distributed factor applied to the type's boot time.
const BOOT_TIME_FACTORS: std::ops::Range<f64> = 0.6..1.5;

/// One machine rented from the cloud or owned.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Label of its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
    /// When it was created.
    pub created: Micros,
    /// When it has booted; `Micros::MAX` if its boot is stuck.
    pub up: Micros,
    /// From when on the list reports it as failed, since it stopped without being released;
    /// `None` if it has not failed.
    pub failed_at: Option<Micros>,
}

/// A type of machine that the cloud offers.
#[derive(Clone, Debug)]
pub struct InstanceType {
    /// Its label.
    pub label: String,
    /// CPUs.
    pub cpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
    /// Price of an on-demand instance.
    pub price: f64,
    /// Price of a spot instance.
    pub spot_price: f64,
    /// Nominal boot time, seconds.
    pub boot_s: f64,
}

/// Instances that share a capacity limit: of one type and zone, all spot or all on-demand.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CapacityPool {
    /// Label of the type.
    pub machine_type: String,
    /// The zone.
    pub zone: String,
    /// Whether its instances are spot; else they are on-demand.
    pub spot: bool,
}

impl CapacityPool {
    /// Creates a pool of this type and zone, spot or on-demand.
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

/// The emulated cloud.
pub struct Cloud {
    /// The instance types that it offers.
    pub instance_types: Vec<InstanceType>,
    /// Its zones.
    pub zones: Vec<String>,
    /// Maximum number of instances of each pool at the same time.
    pub capacity: BTreeMap<CapacityPool, u32>,
    /// All instances, by number.
    pub instances: BTreeMap<u64, Instance>,
    next_id: u64,
    /// Names returned for each scale-out request, by its idempotency key.
    scale_out_answers: BTreeMap<String, Vec<String>>,
    rps: f64,
    /// Tokens of the rate limit.
    tokens: f64,
    refilled_at: Micros,
    list_lag: Micros,
    /// Past states that a list may still show, oldest first.
    snapshots: VecDeque<(Micros, BTreeMap<u64, Instance>)>,
    /// Endpoints of the workers that do not use the simulated endpoint, by machine number.
    pub endpoints: BTreeMap<u64, String>,
    /// Instances created since the last [`Cloud::take_created`], and when they have booted.
    created: Vec<(u64, Micros)>,
    /// Instances released since the last [`Cloud::take_released`].
    released: Vec<u64>,
    /// Number of upcoming instances that never finish booting.
    pub stuck_boots: u32,
    /// Fraction of the capacity that is available.
    pub capacity_fraction: f64,
    /// The cloud answers 503 until this time.
    pub down_until: Micros,
    /// Scale-out requests are rejected as malformed until this time.
    pub rejects_scale_out_until: Micros,
    /// Highest number of instances that existed at the same time.
    pub peak_instances: u32,
    /// Protocol violations by controllers, as text.
    pub violations: Vec<String>,
}

/// The name of a machine.
pub(crate) fn machine_name(id: u64) -> String {
    format!("n-{id:06}")
}

/// The number of the machine with this name; `None` if the name is invalid.
fn machine_number(name: &str) -> Option<u64> {
    name.strip_prefix("n-")?.parse().ok()
}

impl Cloud {
    /// Creates a cloud without instances. `rps` is its rate limit in requests per second,
    /// `list_lag_s` the mean age of its list in seconds.
    #[must_use]
    pub fn new(rps: f64, list_lag_s: f64) -> Cloud {
        Cloud {
            instance_types: Vec::new(),
            zones: Vec::new(),
            capacity: BTreeMap::new(),
            instances: BTreeMap::new(),
            next_id: 0,
            scale_out_answers: BTreeMap::new(),
            rps,
            tokens: rps,
            refilled_at: 0,
            list_lag: (list_lag_s * 1e6) as Micros,
            snapshots: VecDeque::new(),
            endpoints: BTreeMap::new(),
            created: Vec::new(),
            released: Vec::new(),
            stuck_boots: 0,
            capacity_fraction: 1.0,
            down_until: 0,
            rejects_scale_out_until: 0,
            peak_instances: 0,
            violations: Vec::new(),
        }
    }

    /// Creates an instance that boots for `boot`, or never finishes booting if that is `None`.
    /// Returns its number.
    pub fn add(&mut self, now: Micros, pool: &CapacityPool, boot: Option<Micros>) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
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
        self.released.push(id);
    }

    /// The instance with this number and its type; `None` if it is not running.
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

    /// The number of the next machine. Names of machines are never reused.
    #[must_use]
    pub fn next_machine(&self) -> u64 {
        self.next_id
    }

    /// Excludes numbers below `next` from being assigned to new machines.
    pub fn skip_machines_below(&mut self, next: u64) {
        self.next_id = self.next_id.max(next);
    }

    /// Returns the instances created since the last call, and when they have booted.
    pub fn take_created(&mut self) -> Vec<(u64, Micros)> {
        std::mem::take(&mut self.created)
    }

    /// Returns the instances released since the last call.
    pub fn take_released(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.released)
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
                for id in protocol::instances_to_release(&body).filter_map(machine_number) {
                    self.remove(id);
                }
                (200, json!({}))
            }
            Call::Unknown => {
                self.violations.push(format!("{} {path}", method.name()));
                (404, json!({}))
            }
        };
        self.record_snapshot(now);
        response(status, &body)
    }

    /// Takes a token for a request; `false` if the rate limit rejects it.
    fn take_token(&mut self, now: Micros) -> bool {
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.tokens = (self.tokens + passed * self.rps).min(2.0 * self.rps);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn record_snapshot(&mut self, now: Micros) {
        self.snapshots.push_back((now, self.instances.clone()));
        // Keep the oldest state that a list may still show, and drop all before it.
        let oldest = now.saturating_sub(2 * self.list_lag);
        while self.snapshots.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.snapshots.pop_front();
        }
    }

    fn list(&mut self, now: Micros, page: &PageQuery, rng: &mut StdRng) -> Value {
        // The age of the list is uniformly distributed up to twice the mean lag.
        let age = rng.gen_range(0..=2 * self.list_lag);
        let at = now.saturating_sub(age);
        let empty = BTreeMap::new();
        let snapshot = if now < EXACT_LIST_UNTIL {
            &self.instances
        } else {
            let snapshot = self.snapshots.iter().rev().find(|(taken, _)| *taken <= at);
            snapshot.map_or(&empty, |(_, instances)| instances)
        };
        let after = page.after.and_then(machine_number);
        let size = page.size.unwrap_or(MAX_PAGE_SIZE).clamp(1, MAX_PAGE_SIZE);
        let remaining = snapshot
            .iter()
            .filter(|(id, _)| after.is_none_or(|after| **id > after));
        let more = remaining.clone().count() > size;
        let instances: Vec<Value> = remaining
            .take(size)
            .map(|(id, instance)| {
                let endpoint = self.endpoints.get(id).cloned();
                let endpoint = endpoint.unwrap_or_else(|| simulated_endpoint(*id));
                protocol::encode_instance(&machine_name(*id), &endpoint, instance, at)
            })
            .collect();
        protocol::encode_page(&instances, more)
    }

    fn scale_out(&mut self, now: Micros, body: &Value, rng: &mut StdRng) -> (u16, Value) {
        let Some(request) = ScaleOut::decode(body) else {
            self.violations
                .push(format!("malformed scale-out request {body}"));
            return (400, json!({}));
        };
        if let Some(names) = self.scale_out_answers.get(&request.key) {
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
                let boot = (boot_s * rng.gen_range(BOOT_TIME_FACTORS) * 1e6) as Micros;
                let stuck = self.stuck_boots > 0;
                self.stuck_boots = self.stuck_boots.saturating_sub(1);
                machine_name(self.add(now, pool, (!stuck).then_some(boot)))
            })
            .collect();
        let answer = protocol::encode_names(&names);
        self.scale_out_answers.insert(request.key, names);
        (200, answer)
    }
}
