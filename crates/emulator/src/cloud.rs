//! Stand-in for the cloud: capacity, boots, a list that lags and steps back.

use crate::{decode, Us, SECOND};
use beamhinge_core::http::Method;
use beamhinge_core::wire;
use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};

#[derive(Clone, Debug)]
pub struct Host {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub rented: Us,
    pub up: Us,
    /// From when on the list calls it failed: it stopped by itself.
    pub failed_at: Option<Us>,
}

#[derive(Clone, Debug)]
pub struct Kind {
    pub label: String,
    pub cpus: f64,
    pub memory_gb: f64,
    pub rate: f64,
    pub low: f64,
    pub boot_s: f64,
}

pub struct Cloud {
    pub kinds: Vec<Kind>,
    pub zones: Vec<String>,
    pub capacity: BTreeMap<(String, String, bool), u32>,
    pub hosts: BTreeMap<u64, Host>,
    next: u64,
    answers: BTreeMap<String, Vec<String>>,
    rps: f64,
    level: f64,
    filled: Us,
    lag: Us,
    views: VecDeque<(Us, BTreeMap<u64, Host>)>,
    /// Where a machine's worker listens, when it is not the simulated place.
    pub endpoints: BTreeMap<u64, String>,
    booted: Vec<(u64, Us)>,
    gone: Vec<u64>,
    pub stuck: u32,
    /// The part of its capacity that the cloud has to give.
    pub part: f64,
    pub down_until: Us,
    /// Rentals are called malformed until then.
    pub refuses_until: Us,
    pub most: u32,
    /// Part of the rental answers that never arrive.
    pub rented: u32,
    pub abused: Vec<String>,
}

/// Machines on one page of the list (PROTOCOL).
const MAX_LISTED: usize = 500;

fn name(id: u64) -> String {
    format!("n-{id:06}")
}

pub fn number(name: &str) -> Option<u64> {
    name.strip_prefix("n-")?.parse().ok()
}

impl Cloud {
    pub fn new(rps: f64, lag_s: f64) -> Cloud {
        Cloud {
            kinds: Vec::new(),
            zones: Vec::new(),
            capacity: BTreeMap::new(),
            hosts: BTreeMap::new(),
            next: 0,
            answers: BTreeMap::new(),
            rps,
            level: rps,
            filled: 0,
            lag: (lag_s * 1e6) as u64,
            views: VecDeque::new(),
            endpoints: BTreeMap::new(),
            booted: Vec::new(),
            gone: Vec::new(),
            stuck: 0,
            part: 1.0,
            down_until: 0,
            refuses_until: 0,
            most: 0,
            rented: 0,
            abused: Vec::new(),
        }
    }

    pub fn add(
        &mut self,
        now: Us,
        machine_type: &str,
        zone: &str,
        spot: bool,
        boot: Option<Us>,
    ) -> u64 {
        let id = self.next;
        self.next += 1;
        let up = boot.map_or(u64::MAX, |b| now + b);
        self.hosts.insert(
            id,
            Host {
                machine_type: machine_type.into(),
                zone: zone.into(),
                spot,
                rented: now,
                up,
                failed_at: None,
            },
        );
        if boot.is_some() {
            self.booted.push((id, up));
        }
        self.most = self.most.max(self.hosts.len() as u32);
        id
    }

    pub fn remove(&mut self, id: u64) {
        self.hosts.remove(&id);
        self.gone.push(id);
    }

    pub fn booted(&self, now: Us, id: u64) -> Option<(Host, Kind)> {
        let host = self
            .hosts
            .get(&id)
            .filter(|h| h.up <= now && h.failed_at.is_none())?;
        let kind = self.kinds.iter().find(|k| k.label == host.machine_type)?;
        Some((host.clone(), kind.clone()))
    }

    /// The number of the next machine: no name is ever given twice.
    pub fn next_machine(&self) -> u64 {
        self.next
    }
    pub fn go_on_from(&mut self, next: u64) {
        self.next = self.next.max(next);
    }

    pub fn take_booted(&mut self) -> Vec<(u64, Us)> {
        std::mem::take(&mut self.booted)
    }
    pub fn take_gone(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.gone)
    }

    pub fn handle(
        &mut self,
        now: Us,
        method: Method,
        path: &str,
        body: &[u8],
        rng: &mut StdRng,
    ) -> (u16, Vec<u8>) {
        let passed = now.saturating_sub(self.filled) as f64 / 1e6;
        self.filled = now;
        self.level = (self.level + passed * self.rps).min(2.0 * self.rps);
        if self.level < 1.0 {
            return (429, wire::encode(&json!({})));
        }
        self.level -= 1.0;
        if now < self.down_until {
            return (503, wire::encode(&json!({"error": "trouble"})));
        }
        let reply = match (method, path.split('?').next().unwrap_or("")) {
            (Method::Get, "/flavors") => (200, self.flavors()),
            (Method::Get, "/hosts") => (200, self.list(now, path, rng)),
            (Method::Post, "/hosts") if now < self.refuses_until => (400, json!({})),
            (Method::Post, "/hosts") => self.rent(now, &decode(body), rng),
            (Method::Post, "/hosts/release") => {
                for id in decode(body)["hosts"].as_array().into_iter().flatten() {
                    if let Some(id) = id.as_str().and_then(number) {
                        self.remove(id);
                    }
                }
                (200, json!({}))
            }
            _ => {
                self.abused.push(format!("{} {path}", method.name()));
                (404, json!({}))
            }
        };
        self.views.push_back((now, self.hosts.clone()));
        // The oldest view that a list may still show is kept, and none before it.
        let oldest = now.saturating_sub(2 * self.lag);
        while self.views.get(1).is_some_and(|(at, _)| *at <= oldest) {
            self.views.pop_front();
        }
        (reply.0, wire::encode(&reply.1))
    }

    fn flavors(&self) -> Value {
        let machine_types: Vec<Value> = self
            .kinds
            .iter()
            .map(|k| {
                json!({"label": k.label, "vcpus": k.cpus, "cards": 0, "memoryGb": k.memory_gb, "cacheGb": 40.0,
                    "fetchGbPerS": 1.0, "rate": k.rate, "lowPrice": k.low, "bootS": k.boot_s, "yards": self.zones})
            })
            .collect();
        json!({ "shapes": machine_types })
    }

    fn list(&mut self, now: Us, path: &str, rng: &mut StdRng) -> Value {
        // The list is as old as it likes, up to twice its lag.
        let age = rng.gen_range(0..=2 * self.lag);
        let at = now.saturating_sub(age);
        let empty = BTreeMap::new();
        let view = self
            .views
            .iter()
            .rev()
            .find(|(t, _)| *t <= at)
            .map_or(&empty, |(_, v)| v);
        let view = if now < 3_600 * SECOND + 5 * SECOND {
            &self.hosts
        } else {
            view
        };
        let since = path
            .split("since=")
            .nth(1)
            .and_then(|s| number(s.split('&').next()?));
        let most = path
            .split("most=")
            .nth(1)
            .and_then(|m| m.split('&').next()?.parse().ok());
        let most = most.unwrap_or(MAX_LISTED).clamp(1, MAX_LISTED);
        let after = view.iter().filter(|(id, _)| since.is_none_or(|s| **id > s));
        let more = after.clone().count() > most;
        let hosts: Vec<Value> = after
            .take(most)
            .map(|(id, h)| {
                let status = if h.failed_at.is_some_and(|t| t <= at) {
                    "failed"
                } else if h.up <= at {
                    "running"
                } else {
                    "starting"
                };
                let place = self.endpoints.get(id).cloned();
                let endpoint = place.unwrap_or_else(|| format!("127.0.0.1:{}", 10_000 + id));
                json!({"nameId": name(*id), "endpoint": endpoint, "shape": h.machine_type,
                    "yard": h.zone, "loaners": h.spot, "status": status,
                    "heldS": at.saturating_sub(h.rented) as f64 / 1e6})
            })
            .collect();
        json!({"hosts": hosts, "more": more})
    }

    fn rent(&mut self, now: Us, body: &Value, rng: &mut StdRng) -> (u16, Value) {
        let (Some(rental), Some(machine_type), Some(zone), Some(spot), Some(count)) = (
            body["rental"].as_str(),
            body["shape"].as_str(),
            body["yard"].as_str(),
            body["loaners"].as_bool(),
            body["howMany"].as_u64(),
        ) else {
            self.abused.push(format!("rental {body}"));
            return (400, json!({}));
        };
        if let Some(hosts) = self.answers.get(rental) {
            return (200, json!({ "hosts": hosts }));
        }
        let key = (machine_type.to_string(), zone.to_string(), spot);
        let used = self
            .hosts
            .values()
            .filter(|h| h.machine_type == machine_type && h.zone == zone && h.spot == spot)
            .count();
        let all = f64::from(self.capacity.get(&key).copied().unwrap_or(0)) * self.part;
        let free = (all as u32).saturating_sub(used as u32);
        let n = free.min(count as u32);
        if n == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let boot_s = self
            .kinds
            .iter()
            .find(|k| k.label == machine_type)
            .map_or(10.0, |k| k.boot_s);
        let hosts: Vec<String> = (0..n)
            .map(|_| {
                self.rented += 1;
                let boot = (boot_s * rng.gen_range(0.6..1.5) * 1e6) as u64;
                let stuck = self.stuck > 0;
                self.stuck = self.stuck.saturating_sub(1);
                name(self.add(now, machine_type, zone, spot, (!stuck).then_some(boot)))
            })
            .collect();
        self.answers.insert(rental.to_string(), hosts.clone());
        (200, json!({ "hosts": hosts }))
    }
}
