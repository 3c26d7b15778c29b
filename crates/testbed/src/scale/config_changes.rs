//! Operators of a scale run, who change quotas: how soon each change is in force
//! everywhere.

use super::figures::ConfigurationFigures;
use super::histograms::{answer_histogram, times};
use super::layout::{GUARANTEED, LIMIT};
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

/// Operators who change quotas at the same time.
const OPERATORS: u64 = 4;
/// Each pauses so long between two changes, seconds.
const PAUSE_S: f64 = 1.0;
/// How often one asks whether the change is in force.
const ASK: Duration = Duration::from_millis(100);
/// One gives up on a change after this, seconds.
const GIVE_UP_S: f64 = 60.0;
/// How long one answer may take, seconds.
const ANSWER_TIMEOUT_S: f64 = 10.0;
/// Guarantees move between these parts of what they were.
const MOVES: (f64, f64) = (0.5, 1.0);

#[derive(Default)]
struct Tally {
    made: u64,
    /// Told that another was first, or to come back.
    refused: u64,
    /// Not in force everywhere when their author gave up.
    missed: u64,
    micros: Option<Histogram<u64>>,
}

/// Operators at work until they are stopped.
pub(super) struct Operators {
    go: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    threads: Vec<JoinHandle<()>>,
    began: Instant,
}

impl Operators {
    pub(super) fn start(
        admin_listeners: &[SocketAddrV4],
        seed: u64,
    ) -> Result<Operators, TestbedError> {
        let histogram = answer_histogram().map_err(|e| TestbedError::Other(e.to_string()))?;
        let tally = Tally {
            micros: Some(histogram),
            ..Tally::default()
        };
        let (go, tally) = (Arc::new(AtomicBool::new(true)), Arc::new(Mutex::new(tally)));
        let threads = (0..OPERATORS)
            .map(|n| {
                let (go, tally, admin_listeners) =
                    (go.clone(), tally.clone(), admin_listeners.to_vec());
                std::thread::spawn(move || {
                    let client = context::client_of(&admin_listeners, ANSWER_TIMEOUT_S);
                    let rng = StdRng::seed_from_u64(seed.wrapping_add(n));
                    Operator { client, rng, tally }.work(&go);
                })
            })
            .collect();
        Ok(Operators {
            go,
            tally,
            threads,
            began: Instant::now(),
        })
    }

    /// Ends their work; what it came to.
    pub(super) fn stop(mut self) -> ConfigurationFigures {
        let seconds = self.began.elapsed().as_secs_f64();
        self.go.store(false, Ordering::Relaxed);
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
                .micros
                .as_ref()
                .map(|h| times(h, 1e-3))
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
    fn note(&self, f: impl FnOnce(&mut Tally)) {
        f(&mut self.tally.lock().unwrap_or_else(PoisonError::into_inner));
    }

    fn work(mut self, go: &AtomicBool) {
        while go.load(Ordering::Relaxed) {
            match self.change() {
                Some(made) => self.wait_until_in_force(made, go),
                None => self.note(|t| t.refused += 1),
            }
            let pause = PAUSE_S * self.rng.gen_range(0.5..1.5);
            std::thread::sleep(Duration::from_secs_f64(pause));
        }
    }

    /// Moves one team's guarantee; the version that this made, and when.
    fn change(&mut self) -> Option<(u64, Instant)> {
        let view = self.client.configuration().ok()?;
        let team = &view.teams[self.rng.gen_range(0..view.teams.len().max(1))];
        let part = self.rng.gen_range(MOVES.0..MOVES.1);
        let quota = Quota {
            cpus: (team.quota.cpus_max / LIMIT * GUARANTEED * part * 10.0).round() / 10.0,
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
        self.note(|t| t.made += 1);
        Some((made.version.0, Instant::now()))
    }

    fn wait_until_in_force(&mut self, (version, made): (u64, Instant), go: &AtomicBool) {
        while made.elapsed().as_secs_f64() < GIVE_UP_S {
            let view = self.client.configuration().ok();
            let everywhere = view.is_some_and(|v| {
                v.version.0 >= version && v.in_force_everywhere_since_ms.is_some()
            });
            if everywhere {
                let micros = made.elapsed().as_micros() as u64;
                return self.note(|t| {
                    if let Some(h) = &mut t.micros {
                        h.saturating_record(micros);
                    }
                });
            }
            // At the end of the run what is not in force yet is not counted.
            if !go.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(ASK);
        }
        self.note(|t| t.missed += 1);
    }
}
