//! Operators of a scale run: they change quotas and measure how soon each change is in force on all
//! controllers.

use super::figures::ConfigurationFigures;
use super::histograms::{latency_histogram, summarize};
use super::layout::{GUARANTEE_FACTOR, LIMIT_FACTOR};
use crate::context;
use crate::TestbedError;
use beamhinge_client::Client;
use beamhinge_configuration::{ConfigurationChange, Quota, TeamChange};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of operators that change quotas at the same time.
const OPERATOR_COUNT: u64 = 4;
/// Mean pause of an operator between two changes, seconds.
const MEAN_PAUSE_S: f64 = 1.0;
/// Interval between requests whether the change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an operator gives up on a change, seconds.
const GIVE_UP_AFTER_S: f64 = 60.0;
/// Timeout of a request, seconds.
const ANSWER_TIMEOUT_S: f64 = 10.0;
/// A new guarantee is drawn between these fractions of the initial one.
const GUARANTEE_FRACTIONS: (f64, f64) = (0.5, 1.0);

#[derive(Default)]
struct Tally {
    made: u64,
    /// Changes that failed: another change was first, or the operator was told to retry later.
    refused: u64,
    /// Changes that were not in force on all controllers when their operator gave up.
    missed: u64,
    in_force_us: Option<Histogram<u64>>,
}

/// Operators that make changes until they are stopped.
pub(super) struct Operators {
    running: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    threads: Vec<JoinHandle<()>>,
    started_at: Instant,
}

impl Operators {
    pub(super) fn start(
        admin_listeners: &[SocketAddrV4],
        seed: u64,
    ) -> Result<Operators, TestbedError> {
        let histogram = latency_histogram().map_err(|e| TestbedError::Other(e.to_string()))?;
        let tally = Tally {
            in_force_us: Some(histogram),
            ..Tally::default()
        };
        let (running, tally) = (Arc::new(AtomicBool::new(true)), Arc::new(Mutex::new(tally)));
        let threads = (0..OPERATOR_COUNT)
            .map(|n| {
                let (running, tally, admin_listeners) =
                    (running.clone(), tally.clone(), admin_listeners.to_vec());
                std::thread::spawn(move || {
                    let client = context::new_client(&admin_listeners, ANSWER_TIMEOUT_S);
                    let rng = StdRng::seed_from_u64(seed.wrapping_add(n));
                    Operator { client, rng, tally }.run(&running);
                })
            })
            .collect();
        Ok(Operators {
            running,
            tally,
            threads,
            started_at: Instant::now(),
        })
    }

    /// Stops the operators and returns the figures of their changes.
    pub(super) fn stop(mut self) -> ConfigurationFigures {
        let seconds = self.started_at.elapsed().as_secs_f64();
        self.running.store(false, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
        let tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        ConfigurationFigures {
            made: tally.made,
            refused: tally.refused,
            missed: tally.missed,
            a_day: tally.made as f64 / seconds * 86_400.0,
            in_force_ms: tally
                .in_force_us
                .as_ref()
                .map(|h| summarize(h, 1e-3))
                .unwrap_or_default(),
        }
    }
}

struct Operator {
    client: Client,
    rng: StdRng,
    tally: Arc<Mutex<Tally>>,
}

impl Operator {
    fn update_tally(&self, f: impl FnOnce(&mut Tally)) {
        f(&mut self.tally.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn run(mut self, running: &AtomicBool) {
        while running.load(Ordering::Relaxed) {
            match self.make_change() {
                Some(made) => self.wait_until_in_force(made, running),
                None => self.update_tally(|t| t.refused += 1),
            }
            let pause = MEAN_PAUSE_S * self.rng.gen_range(0.5..1.5);
            std::thread::sleep(Duration::from_secs_f64(pause));
        }
    }

    /// Changes the guarantee of one team. Returns the new configuration version and the time of the
    /// response, or `None` if the change failed.
    fn make_change(&mut self) -> Option<(u64, Instant)> {
        let view = self.client.configuration().ok()?;
        let team = &view.teams[self.rng.gen_range(0..view.teams.len().max(1))];
        let fraction = self
            .rng
            .gen_range(GUARANTEE_FRACTIONS.0..GUARANTEE_FRACTIONS.1);
        let quota = Quota {
            cpus: (team.quota.cpus_max / LIMIT_FACTOR * GUARANTEE_FACTOR * fraction * 10.0).round()
                / 10.0,
            ..team.quota
        };
        let teams = BTreeMap::from([(team.team.clone(), TeamChange::Set(quota))]);
        let why = "scale run".to_string();
        let change = ConfigurationChange {
            seen: view.version,
            teams,
            restore_version: None,
            why,
        };
        let made = self.client.configure(&change).ok()?;
        self.update_tally(|t| t.made += 1);
        Some((made.version.0, Instant::now()))
    }

    fn wait_until_in_force(&mut self, (version, made): (u64, Instant), running: &AtomicBool) {
        while made.elapsed().as_secs_f64() < GIVE_UP_AFTER_S {
            let view = self.client.configuration().ok();
            let everywhere = view.is_some_and(|v| {
                v.version.0 >= version && v.in_force_everywhere_since_ms.is_some()
            });
            if everywhere {
                let elapsed_us = made.elapsed().as_micros() as u64;
                return self.update_tally(|t| {
                    if let Some(h) = &mut t.in_force_us {
                        h.saturating_record(elapsed_us);
                    }
                });
            }
            // Changes that are not yet in force at the end of the run are not counted.
            if !running.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.update_tally(|t| t.missed += 1);
    }
}
