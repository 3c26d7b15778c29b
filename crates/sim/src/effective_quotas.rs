//! Limits of teams as they really are: by what the state service holds, at every moment.

use beamhinge_core::settings::Team;
use beamhinge_emulator::state::StateService;
use beamhinge_emulator::{Micros, SECOND};
use std::collections::BTreeMap;

/// A limit that was lowered counts for every start from then on, seconds.
pub const IN_FORCE_S: u64 = 11;
/// Chunks of the stored overlay (`beamhinge_configuration::stored`).
const CHUNKS: usize = beamhinge_configuration::stored::CHUNKS;

/// The limits of all teams from one moment on, CPUs; 0: none.
type Limits = BTreeMap<String, f64>;

#[derive(Default)]
pub struct EffectiveQuotas {
    head: Option<serde_json::Value>,
    log: Vec<(Micros, Limits)>,
    /// Versions that some controller does not serve by yet, and when they were made.
    pending: Vec<(u64, Micros)>,
    /// How long each version took until all controllers served by it or a newer one.
    pub took: Vec<Micros>,
}

impl EffectiveQuotas {
    /// Whether anything was ever changed.
    pub fn is_changed(&self) -> bool {
        !self.log.is_empty()
    }

    /// How many changes were made.
    pub fn changes(&self) -> usize {
        self.log.len().saturating_sub(1)
    }

    /// Looks at the state service after a transaction.
    pub fn look(&mut self, now: Micros, state: &StateService, (base, nodes): (&[Team], usize)) {
        let head = state.get("c/head");
        if head == self.head.as_ref() {
            return self.look_at_members(now, state, nodes);
        }
        if let Some(version) = head.and_then(|h| h["version"].as_u64()) {
            self.pending.push((version, now));
        }
        self.head = head.cloned();
        let mut limits: Limits = base.iter().map(|t| (t.name.clone(), t.cpus_max)).collect();
        if self.log.is_empty() {
            self.log.push((0, limits.clone()));
        }
        for chunk in (0..CHUNKS).filter_map(|n| state.get(&format!("c/t/{n}"))) {
            for (team, stored) in chunk["t"].as_object().into_iter().flatten() {
                limits.insert(
                    team.clone(),
                    stored["q"]["cpus_max"].as_f64().unwrap_or(0.0),
                );
            }
        }
        self.log.push((now, limits));
    }

    /// Which versions all controllers serve by, by the keys that they keep.
    fn look_at_members(&mut self, now: Micros, state: &StateService, nodes: usize) {
        if self.pending.is_empty() {
            return;
        }
        let label = |n: usize| char::from(b'a' + n as u8);
        let versions = (0..nodes).map(|n| {
            let member = state.get(&format!("c/m/{}", label(n)));
            member.and_then(|m| m["version"].as_u64())
        });
        // One that is away serves by none.
        let Some(all) = versions.collect::<Option<Vec<u64>>>() else {
            return;
        };
        let least = all.into_iter().min().unwrap_or(0);
        let took = self.pending.iter().filter(|(version, _)| *version <= least);
        self.took.extend(took.map(|(_, at)| now - at));
        self.pending.retain(|(version, _)| *version > least);
    }

    /// The limit of a team now; 0: none.
    pub fn now(&self, team: &str) -> f64 {
        self.log
            .last()
            .and_then(|(_, limits)| limits.get(team))
            .copied()
            .unwrap_or(0.0)
    }

    /// The most that a start may bring a team to: the highest limit of the last seconds.
    /// None: no bound.
    pub fn allowed(&self, now: Micros, team: &str) -> Option<f64> {
        let since = now.saturating_sub(IN_FORCE_S * SECOND);
        // Those that came since, and the one that stood then.
        let stood = self
            .log
            .iter()
            .rposition(|(at, _)| *at <= since)
            .unwrap_or(0);
        let limits = self.log[stood.min(self.log.len())..].iter();
        let all: Vec<f64> = limits
            .map(|(_, l)| l.get(team).copied().unwrap_or(0.0))
            .collect();
        if all.is_empty() || all.iter().any(|limit| *limit <= 0.0) {
            return None;
        }
        all.into_iter().reduce(f64::max)
    }
}
