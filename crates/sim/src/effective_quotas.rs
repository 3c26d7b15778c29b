//! The limits of teams that are actually in force, by what the key-value store stores at every
//! moment.

use beamhinge_core::settings::Team;
use beamhinge_emulator::state::StateService;
use beamhinge_emulator::{Micros, SECOND};
use std::collections::BTreeMap;

/// A lowered limit applies to every start from this long after the change, seconds.
pub const IN_FORCE_S: u64 = 11;
/// Chunks of the stored overlay (`beamhinge_configuration::stored`).
const CHUNKS: usize = beamhinge_configuration::stored::CHUNKS;

/// The limits of all teams in CPUs; zero means no limit.
type Limits = BTreeMap<String, f64>;

/// The limits that apply from a certain time.
struct LimitsSince {
    at: Micros,
    limits: Limits,
}

/// A configuration version that some controller does not apply yet.
struct PendingVersion {
    version: u64,
    made: Micros,
}

/// The history of limits, and how long changes took to be applied.
#[derive(Default)]
pub struct EffectiveQuotas {
    head: Option<serde_json::Value>,
    /// Oldest first; empty if the configuration was never changed.
    history: Vec<LimitsSince>,
    pending: Vec<PendingVersion>,
    /// How long each version took until all controllers applied it or a newer one.
    pub rollout_times: Vec<Micros>,
}

impl EffectiveQuotas {
    /// Whether the configuration was ever changed.
    #[must_use]
    pub fn is_changed(&self) -> bool {
        !self.history.is_empty()
    }

    /// Number of configuration changes that were committed.
    #[must_use]
    pub fn changes(&self) -> usize {
        self.history.len().saturating_sub(1)
    }

    /// Reads the configuration in the key-value store after a transaction. `base` is the teams of
    /// the settings.
    pub fn update(&mut self, now: Micros, state: &StateService, base: &[Team], controllers: usize) {
        let head = state.get("c/head");
        if head == self.head.as_ref() {
            return self.update_rollouts(now, state, controllers);
        }
        if let Some(version) = head.and_then(|h| h["version"].as_u64()) {
            self.pending.push(PendingVersion { version, made: now });
        }
        self.head = head.cloned();
        let mut limits: Limits = base.iter().map(|t| (t.name.clone(), t.cpus_max)).collect();
        if self.history.is_empty() {
            self.history.push(LimitsSince {
                at: 0,
                limits: limits.clone(),
            });
        }
        for chunk in (0..CHUNKS).filter_map(|n| state.get(&format!("c/t/{n}"))) {
            for (team, stored) in chunk["t"].as_object().into_iter().flatten() {
                let limit = stored["q"]["cpus_max"].as_f64().unwrap_or(0.0);
                limits.insert(team.clone(), limit);
            }
        }
        self.history.push(LimitsSince { at: now, limits });
    }

    /// Reads which versions the controllers apply, from the keys that they maintain.
    fn update_rollouts(&mut self, now: Micros, state: &StateService, controllers: usize) {
        if self.pending.is_empty() {
            return;
        }
        let label = |n: usize| char::from(b'a' + n as u8);
        let versions = (0..controllers).map(|n| {
            let member = state.get(&format!("c/m/{}", label(n)));
            member.and_then(|m| m["version"].as_u64())
        });
        // A controller that is down has no key and applies no version.
        let Some(versions) = versions.collect::<Option<Vec<u64>>>() else {
            return;
        };
        let oldest = versions.into_iter().min().unwrap_or(0);
        let done = self.pending.iter().filter(|p| p.version <= oldest);
        self.rollout_times.extend(done.map(|p| now - p.made));
        self.pending.retain(|p| p.version > oldest);
    }

    /// The current limit of a team in CPUs; zero means no limit.
    #[must_use]
    pub fn current(&self, team: &str) -> f64 {
        let current = self.history.last();
        let limit = current.and_then(|since| since.limits.get(team));
        limit.copied().unwrap_or(0.0)
    }

    /// The most CPUs that a team may use after a start: the highest limit of the last
    /// [`IN_FORCE_S`] seconds. `None` means no limit.
    #[must_use]
    pub fn allowed(&self, now: Micros, team: &str) -> Option<f64> {
        let since = now.saturating_sub(IN_FORCE_S * SECOND);
        // The limits set since then, and the one in force at that time.
        let first = self.history.iter().rposition(|l| l.at <= since);
        let first = first.unwrap_or(0).min(self.history.len());
        let limits: Vec<f64> = self.history[first..]
            .iter()
            .map(|l| l.limits.get(team).copied().unwrap_or(0.0))
            .collect();
        if limits.is_empty() || limits.iter().any(|limit| *limit <= 0.0) {
            return None;
        }
        limits.into_iter().reduce(f64::max)
    }
}
