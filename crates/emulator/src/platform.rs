//! The platform as one process on loopback: state service, cloud and workers,
//! each behind a door of its own, made of the same models that the scenarios
//! use in simulated time.

use crate::cloud::{Cloud, Kind};
use crate::processes::Processes;
use crate::state::State;
use crate::state_server::StateServer;
use crate::worker_pool::WorkerPool;
pub use crate::worker_pool::{Seen, Watcher};
use crate::{micros, refuse, Doubles, JobPlan, Us, SECOND};
use beamhinge_core::http::Request;
use beamhinge_core::job::{JobKind, JobRecord, PREFIX};
use beamhinge_core::messages::{Effect, Service};
use beamhinge_core::settings;
use beamhinge_core::types::{CallId, RequestId, Time, WallMs};
use beamhinge_core::wire;
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;

/// Doors of the platform, by their place; workers' follow.
pub const STATE_DOOR: usize = 0;
pub const CLOUD_DOOR: usize = 1;
pub const FIRST_WORKER_DOOR: usize = 2;

/// What a platform is made of.
pub struct Plan {
    /// The controllers' public addresses, in the order of their labels, which
    /// are single letters from `a`.
    pub controllers: Vec<SocketAddrV4>,
    /// One address per machine that may be there at once.
    pub worker_doors: Vec<SocketAddrV4>,
    pub workers: settings::Workers,
    pub state: settings::State,
    pub cloud: settings::Cloud,
    pub kinds: Vec<Kind>,
    pub zones: Vec<String>,
    /// Type, zone, spot: how many the cloud has of them.
    pub capacity: Vec<(String, String, bool, u32)>,
    /// Machines that are there from the start: type and zone.
    pub owned: Vec<(String, String)>,
    /// Where changes are kept; nowhere when there is none.
    pub kept: Option<PathBuf>,
    pub processes: Option<Processes>,
    pub doubles: Doubles,
    pub seed: u64,
    pub troubles: Option<Receiver<Trouble>>,
}

/// Troubles that a running platform can be told to have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// The cloud answers 503 for so many seconds.
    CloudDown(f64),
    /// The state service does.
    StateDown(f64),
    /// A machine neither reports nor listens for so many seconds.
    Hang { machine: u64, seconds: f64 },
}

pub struct Platform {
    state: StateServer,
    cloud: Cloud,
    pool: WorkerPool,
    /// Machines by the door of their worker.
    slots: Vec<Option<u64>>,
    worker_doors: Vec<SocketAddrV4>,
    /// Rented, and without a door of their own yet.
    booting: BTreeMap<u64, Us>,
    doubles: Doubles,
    rng: StdRng,
    forgot_at: Us,
    troubles: Option<Receiver<Trouble>>,
}

impl Platform {
    pub fn new(plan: Plan, watcher: Watcher, now: Time) -> io::Result<Platform> {
        let mut cloud = Cloud::new(plan.cloud.rps, plan.cloud.list_lag_s);
        cloud.kinds = plan.kinds;
        cloud.zones = plan.zones;
        for (machine_type, zone, spot, n) in plan.capacity {
            cloud.capacity.insert((machine_type, zone, spot), n);
        }
        // Machines that are there from the start have the same names each
        // time: whatever ran on them ended with the last process.
        let (state, after_owned) = match &plan.kept {
            Some(path) => StateServer::from_log(&plan.state, path)?,
            None => (StateServer::new(&plan.state), 0),
        };
        for (machine_type, zone) in plan.owned {
            cloud.add(micros(now), &machine_type, &zone, false, Some(SECOND / 5));
        }
        cloud.go_on_from(after_owned);
        let pool = WorkerPool::new(
            plan.controllers,
            plan.workers,
            plan.processes,
            plan.doubles,
            watcher,
        );
        let mut platform = Platform {
            state,
            cloud,
            pool,
            slots: vec![None; plan.worker_doors.len()],
            worker_doors: plan.worker_doors,
            booting: BTreeMap::new(),
            doubles: plan.doubles,
            rng: StdRng::seed_from_u64(plan.seed),
            forgot_at: 0,
            troubles: plan.troubles,
        };
        platform.booting.extend(platform.cloud.take_booted());
        platform.state.write_log(platform.cloud.next_machine());
        Ok(platform)
    }

    fn answer_cloud(&mut self, now: Time, id: RequestId, r: &Request, out: &mut Vec<Effect>) {
        let us = micros(now);
        let (status, body) = self
            .cloud
            .handle(us, r.method, &r.path, &r.body, &mut self.rng);
        self.booting.extend(self.cloud.take_booted());
        for gone in self.cloud.take_gone() {
            self.remove(us, gone);
        }
        self.state.write_log(self.cloud.next_machine());
        out.push(Effect::Answer {
            to: id,
            status,
            retry_after: None,
            body,
        });
    }

    fn remove(&mut self, now: Us, machine: u64) {
        self.pool.remove(now, machine);
        self.booting.remove(&machine);
        self.cloud.endpoints.remove(&machine);
        for slot in self.slots.iter_mut().filter(|s| **s == Some(machine)) {
            *slot = None;
        }
    }

    fn boot(&mut self, now: Us) {
        let ready: Vec<u64> = self
            .booting
            .iter()
            .filter(|(_, up)| **up <= now)
            .map(|(id, _)| *id)
            .collect();
        for machine in ready {
            // Without a free door it goes on booting.
            let Some(slot) = self.slots.iter().position(Option::is_none) else {
                return;
            };
            self.booting.remove(&machine);
            let Some(booted) = self.cloud.booted(now, machine) else {
                continue;
            };
            let endpoint = self.worker_doors[slot].to_string();
            self.cloud.endpoints.insert(machine, endpoint.clone());
            self.slots[slot] = Some(machine);
            self.pool.add(now, machine, booted, endpoint);
        }
    }

    fn suffer(&mut self, now: Us, trouble: Trouble) {
        let until = |s: f64| now + (s.max(0.0) * 1e6) as Us;
        match trouble {
            Trouble::CloudDown(s) => self.cloud.down_until = until(s),
            Trouble::StateDown(s) => self.state.state.outage(until(s)),
            Trouble::Hang { machine, seconds } => {
                if let Some(w) = self.pool.worker_mut(machine) {
                    w.hang_until = until(seconds);
                }
            }
        }
    }
}

/// A job's description for the workers, from its record in the state service.
fn describe(state: &State, job: &str) -> Option<JobPlan> {
    let record = state.get(&format!("{PREFIX}{job}")).cloned();
    let spec = record
        .and_then(|v| serde_json::from_value::<JobRecord>(v).ok())
        .and_then(|r| r.spec)?;
    let kind = if spec.kind == JobKind::Service {
        "standing"
    } else {
        "batch"
    };
    let body = json!({"vcpus": spec.cpus, "memoryGb": spec.memory_gb,
        "bundle": spec.image, "jobKind": kind});
    Some(JobPlan {
        sent: 0,
        body,
        run_s: spec.expected_run_s,
        fails: false,
        command: spec.command.map(String::from),
    })
}

impl Service for Platform {
    fn on_request(
        &mut self,
        now: Time,
        _wall: WallMs,
        listener: usize,
        id: RequestId,
        r: Request,
        out: &mut Vec<Effect>,
    ) {
        match listener {
            STATE_DOOR => self.state.answer(now, id, &r, out),
            CLOUD_DOOR => self.answer_cloud(now, id, &r, out),
            _ => {
                let machine = self
                    .slots
                    .get(listener - FIRST_WORKER_DOOR)
                    .copied()
                    .flatten();
                let Some(machine) = machine else {
                    return refuse(out, id, 404);
                };
                if r.path != "/do" || wire::decode::<ciborium::Value>(&r.body).is_err() {
                    return refuse(out, id, 400);
                }
                match self.pool.direct(micros(now), machine, &r.body) {
                    Some((status, body)) => {
                        out.push(Effect::Answer {
                            to: id,
                            status,
                            retry_after: None,
                            body,
                        });
                    }
                    None => refuse(out, id, 404),
                }
            }
        }
    }

    fn on_reply(
        &mut self,
        now: Time,
        _wall: WallMs,
        id: CallId,
        result: Option<(u16, Vec<u8>)>,
        _out: &mut Vec<Effect>,
    ) {
        let state = &self.state.state;
        self.pool
            .on_reply(micros(now), id, result, &mut |job| describe(state, job));
    }

    fn on_tick(&mut self, now: Time, _wall: WallMs, out: &mut Vec<Effect>) {
        let us = micros(now);
        while let Some(trouble) = self.troubles.as_ref().and_then(|t| t.try_recv().ok()) {
            self.suffer(us, trouble);
        }
        self.boot(us);
        self.pool.step(us, out);
        if self.doubles.forgets_jobs && us > self.forgot_at + SECOND {
            self.forgot_at = us;
            self.state.state.forget_jobs(us);
        }
        self.state.answer_watches(now, out);
    }
}

#[cfg(test)]
mod tests;
