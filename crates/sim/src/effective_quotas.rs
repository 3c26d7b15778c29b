//! Limits of teams as they really are: by what the state service holds, at every moment.

use beamhinge_core::settings::Team;
use beamhinge_emulator::state::StateService;
use beamhinge_emulator::{Micros, SECOND};
use std::collections::BTreeMap;

/// A limit that was lowered counts for every start from then on, seconds.
pub const IN_FORCE_S: u64 = 11;
/// Chunks of the stored overlay (`beamhinge_configuration::stored`).
const CHUNKS: usize = beamhinge_configuration::stored::CHUNKS;

/// The limits of all teams, CPUs; zero: none.
type Limits = BTreeMap<String, f64>;

/// The limits from a time on.
struct LimitsSince {
    at: Micros,
    limits: Limits,
}

/// A version that some controller does not serve by yet.
struct PendingVersion {
    version: u64,
    made: Micros,
}

/// The limits that were in force at any time, and how soon changes were.
#[derive(Default)]
pub struct EffectiveQuotas {
    head: Option<serde_json::Value>,
    /// Oldest first; empty if nothing was ever changed.
    history: Vec<LimitsSince>,
    pending: Vec<PendingVersion>,
    /// How long each version took until all controllers served by it or a newer one.
    pub rollout_times: Vec<Micros>,
}

impl EffectiveQuotas {
    /// Whether anything was ever changed.
    #[must_use]
    pub fn is_changed(&self) -> bool {
        !self.history.is_empty()
    }

    /// How many changes were made.
    #[must_use]
    pub fn changes(&self) -> usize {
        self.history.len().saturating_sub(1)
    }

    /// Looks at the state service after a transaction; `base`: the teams of the settings.
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

    /// Looks by which versions the controllers serve, by the keys that they keep.
    fn update_rollouts(&mut self, now: Micros, state: &StateService, controllers: usize) {
        if self.pending.is_empty() {
            return;
        }
        let label = |n: usize| char::from(b'a' + n as u8);
        let versions = (0..controllers).map(|n| {
            let member = state.get(&format!("c/m/{}", label(n)));
            member.and_then(|m| m["version"].as_u64())
        });
        // One that is away serves by none.
        let Some(versions) = versions.collect::<Option<Vec<u64>>>() else {
            return;
        };
        let oldest = versions.into_iter().min().unwrap_or(0);
        let done = self.pending.iter().filter(|p| p.version <= oldest);
        self.rollout_times.extend(done.map(|p| now - p.made));
        self.pending.retain(|p| p.version > oldest);
    }

    /// The limit of a team now; zero: none.
    #[must_use]
    pub fn current(&self, team: &str) -> f64 {
        let current = self.history.last();
        let limit = current.and_then(|since| since.limits.get(team));
        limit.copied().unwrap_or(0.0)
    }

    /// The most that a start may bring a team to: the highest limit of the last
    /// [`IN_FORCE_S`] seconds. None: no bound.
    #[must_use]
    pub fn allowed(&self, now: Micros, team: &str) -> Option<f64> {
        let since = now.saturating_sub(IN_FORCE_S * SECOND);
        // Those that came since, and the one that stood then.
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
