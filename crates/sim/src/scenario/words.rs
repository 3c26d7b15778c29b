//! Words of a scenario's lines: times, options and numbers.

use super::ScenarioError;
use beamhinge_emulator::Micros;

pub(super) fn seconds(text: &str) -> Result<Micros, ScenarioError> {
    let s: f64 = text.parse().map_err(|_| format!("'{text}' is no time"))?;
    Ok((s * 1e6) as Micros)
}

pub(super) fn option<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words
        .iter()
        .find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
}

pub(super) fn number(words: &[&str], name: &str, default: f64) -> Result<f64, ScenarioError> {
    match option(words, name) {
        Some(text) => text
            .parse()
            .map_err(|_| format!("{name}: '{text}' is no number").into()),
        None => Ok(default),
    }
}
