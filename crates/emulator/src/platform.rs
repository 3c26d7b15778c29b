//! The emulated platform as one service on loopback: state service, cloud and workers, each
//! with its own listener, built from the models that the scenarios use in simulated time.

use crate::cloud::{CapacityPool, Cloud, InstanceType};
use crate::job::JobPlan;
use crate::processes::Processes;
use crate::state::StateService;
use crate::state_server::StateServer;
use crate::worker_pool::{MachineObserver, WorkerPool, WorkerPoolConfig};
use crate::{micros, refuse, respond, Micros, ProtocolFaults, Response, SECOND};
use beamhinge_core::http::Request;
use beamhinge_core::job::{JobKind, JobRecord, PREFIX};
use beamhinge_core::messages::{Effect, Service};
use beamhinge_core::settings;
use beamhinge_core::types::{CallId, RequestId, Time, WallMs};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde_json::json;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::mpsc::Receiver;

/// Index of the state service's listener.
pub const STATE_LISTENER: usize = 0;
/// Index of the cloud's listener.
pub const CLOUD_LISTENER: usize = 1;
/// Index of the first worker's listener; the other workers' listeners follow.
pub const FIRST_WORKER_LISTENER: usize = 2;

/// Boot time of the owned machines.
const OWNED_BOOT_TIME: Micros = SECOND / 5;
/// Interval at which job records are dropped, if that fault is enabled.
const FORGET_INTERVAL: Micros = SECOND;

/// Configuration of a platform.
pub struct PlatformConfig {
    /// The controllers' public addresses, in the order of their labels, which are single
    /// letters starting at `a`.
    pub controllers: Vec<SocketAddrV4>,
    /// Addresses of workers, which limit the number of running machines.
    pub worker_addresses: Vec<SocketAddrV4>,
    /// The published timings of workers.
    pub workers: settings::WorkerTimings,
    /// The published limits of the state service.
    pub state: settings::StateLimits,
    /// The published limits of the cloud.
    pub cloud: settings::CloudLimits,
    /// The instance types that the cloud offers.
    pub instance_types: Vec<InstanceType>,
    /// The cloud's zones.
    pub zones: Vec<String>,
    /// Maximum number of instances of each pool at the same time.
    pub capacity: Vec<(CapacityPool, u32)>,
    /// The pool of each owned machine; they boot when the platform starts.
    pub owned: Vec<CapacityPool>,
    /// Path of the state service's log; if `None`, its state is lost when the process exits.
    pub state_log: Option<PathBuf>,
    /// Runs the command lines of tasks; if `None`, tasks are timers.
    pub processes: Option<Processes>,
    /// Protocol violations that the emulators commit deliberately.
    pub protocol_faults: ProtocolFaults,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Faults to inject while the platform runs.
    pub faults: Option<Receiver<PlatformFault>>,
}

/// Faults that can be injected into a running platform.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlatformFault {
    /// The cloud answers 503 for this number of seconds.
    CloudDown(f64),
    /// The state service answers 503 for this number of seconds.
    StateDown(f64),
    /// A machine hangs: its worker sends no reports and ignores the answers to earlier ones, and
    /// its tasks make no progress.
    Hang {
        /// Number of the machine.
        machine: u64,
        /// Duration of the fault.
        seconds: f64,
    },
}

/// The emulated platform.
pub struct Platform {
    state: StateServer,
    cloud: Cloud,
    pool: WorkerPool,
    /// The machine whose worker uses the address with the same index; `None` for a free address.
    slots: Vec<Option<u64>>,
    worker_addresses: Vec<SocketAddrV4>,
    /// Machines that have no address yet, and when they have booted.
    booting: BTreeMap<u64, Micros>,
    protocol_faults: ProtocolFaults,
    rng: StdRng,
    last_forget_at: Micros,
    faults: Option<Receiver<PlatformFault>>,
}

impl Platform {
    /// Creates a platform whose owned machines are booting.
    ///
    /// # Errors
    /// If the state service's log cannot be read or written.
    pub fn new(
        config: PlatformConfig,
        observer: MachineObserver,
        now: Time,
    ) -> io::Result<Platform> {
        let mut cloud = Cloud::new(config.cloud.rps, config.cloud.list_lag_s);
        cloud.instance_types = config.instance_types;
        cloud.zones = config.zones;
        cloud.capacity.extend(config.capacity);
        // Owned machines have the same names after each start: all tasks on them ended with
        // the previous process.
        let (state, next_machine) = match &config.state_log {
            Some(path) => StateServer::from_log(&config.state, path)?,
            None => (StateServer::new(&config.state), 0),
        };
        for pool in &config.owned {
            cloud.add(micros(now), pool, Some(OWNED_BOOT_TIME));
        }
        cloud.skip_machines_below(next_machine);
        let pool = WorkerPool::new(WorkerPoolConfig {
            controllers: config.controllers,
            settings: config.workers,
            processes: config.processes,
            protocol_faults: config.protocol_faults,
            observer,
        });
        let mut platform = Platform {
            state,
            cloud,
            pool,
            slots: vec![None; config.worker_addresses.len()],
            worker_addresses: config.worker_addresses,
            booting: BTreeMap::new(),
            protocol_faults: config.protocol_faults,
            rng: StdRng::seed_from_u64(config.seed),
            last_forget_at: 0,
            faults: config.faults,
        };
        platform.booting.extend(platform.cloud.take_created());
        platform.state.write_log(platform.cloud.next_machine());
        Ok(platform)
    }

    fn on_cloud_request(&mut self, now: Micros, request: &Request) -> Response {
        let answer = self.cloud.handle(
            now,
            request.method,
            &request.path,
            &request.body,
            &mut self.rng,
        );
        self.booting.extend(self.cloud.take_created());
        for released in self.cloud.take_released() {
            self.remove(now, released);
        }
        self.state.write_log(self.cloud.next_machine());
        answer
    }

    fn remove(&mut self, now: Micros, machine: u64) {
        self.pool.remove(now, machine);
        self.booting.remove(&machine);
        self.cloud.endpoints.remove(&machine);
        for slot in self.slots.iter_mut().filter(|s| **s == Some(machine)) {
            *slot = None;
        }
    }

    /// Assigns an address and a worker to each machine that has booted.
    fn start_booted(&mut self, now: Micros) {
        let ready: Vec<u64> = self
            .booting
            .iter()
            .filter(|(_, up)| **up <= now)
            .map(|(id, _)| *id)
            .collect();
        for machine in ready {
            // Without a free address the machine stays in the booting state.
            let Some(slot) = self.slots.iter().position(Option::is_none) else {
                return;
            };
            self.booting.remove(&machine);
            let Some(booted) = self.cloud.booted(now, machine) else {
                continue;
            };
            let endpoint = self.worker_addresses[slot].to_string();
            self.cloud.endpoints.insert(machine, endpoint.clone());
            self.slots[slot] = Some(machine);
            self.pool.add(now, machine, booted, endpoint);
        }
    }

    fn apply_fault(&mut self, now: Micros, fault: PlatformFault) {
        let until = |seconds: f64| now + (seconds.max(0.0) * 1e6) as Micros;
        match fault {
            PlatformFault::CloudDown(seconds) => self.cloud.down_until = until(seconds),
            PlatformFault::StateDown(seconds) => self.state.state.outage(until(seconds)),
            PlatformFault::Hang { machine, seconds } => {
                if let Some(worker) = self.pool.worker_mut(machine) {
                    worker.faults.hang_until = until(seconds);
                }
            }
        }
    }
}

/// Builds the description of a job for the workers from its record in the state service; `None`
/// if the record is missing or has no specification.
fn describe_job(state: &StateService, job: &str) -> Option<JobPlan> {
    let record = state.get(&format!("{PREFIX}{job}")).cloned();
    let spec = record
        .and_then(|value| serde_json::from_value::<JobRecord>(value).ok())
        .and_then(|record| record.spec)?;
    let kind = if spec.kind == JobKind::Service {
        "standing"
    } else {
        "batch"
    };
    let body = json!({"vcpus": spec.cpus, "memoryGb": spec.memory_gb,
        "bundle": spec.image, "jobKind": kind});
    Some(JobPlan {
        submitted_at: 0,
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
        request: Request,
        out: &mut Vec<Effect>,
    ) {
        match listener {
            STATE_LISTENER => self.state.on_request(now, id, &request, out),
            CLOUD_LISTENER => {
                let answer = self.on_cloud_request(micros(now), &request);
                respond(out, id, answer);
            }
            _ => {
                let slot = self.slots.get(listener - FIRST_WORKER_LISTENER);
                match slot.copied().flatten() {
                    Some(machine) => {
                        let answer = self.pool.on_request(micros(now), machine, &request);
                        respond(out, id, answer);
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
        result: Option<Response>,
        _out: &mut Vec<Effect>,
    ) {
        let state = &self.state.state;
        self.pool
            .on_reply(micros(now), id, result.as_ref(), &mut |job| {
                describe_job(state, job)
            });
    }

    fn on_tick(&mut self, now: Time, _wall: WallMs, out: &mut Vec<Effect>) {
        let now_us = micros(now);
        while let Some(fault) = self.faults.as_ref().and_then(|f| f.try_recv().ok()) {
            self.apply_fault(now_us, fault);
        }
        self.start_booted(now_us);
        self.pool.step(now_us, out);
        if self.protocol_faults.forgets_jobs && now_us > self.last_forget_at + FORGET_INTERVAL {
            self.last_forget_at = now_us;
            self.state.state.forget_jobs(now_us);
        }
        self.state.answer_watches(now, out);
    }
}

#[cfg(test)]
mod tests;
