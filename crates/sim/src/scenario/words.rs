//! Words of a scenario's lines: times, options and numbers.

use super::ScenarioError;
use crate::fault_injection::Temporary;
use beamhinge_emulator::Micros;

/// A time in seconds.
pub(super) fn seconds(text: &str) -> Result<Micros, ScenarioError> {
    let seconds: f64 = text
        .parse()
        .map_err(|_| ScenarioError::NotATime(text.to_string()))?;
    Ok((seconds * 1e6) as Micros)
}

/// The words of a line or an action: its name, arguments, `NAME=VALUE` options and flags.
#[derive(Clone, Copy)]
pub(super) struct Words<'a>(pub(super) &'a [&'a str]);

impl<'a> Words<'a> {
    /// The word with this index.
    pub(super) fn get(&self, index: usize) -> Option<&'a str> {
        self.0.get(index).copied()
    }

    /// The word with this index, or an error if there is none.
    pub(super) fn arg(&self, index: usize) -> Result<&'a str, ScenarioError> {
        self.get(index).ok_or_else(|| {
            let words = self.0.iter().map(|w| (*w).to_string());
            ScenarioError::TooFewWords(words.collect())
        })
    }

    /// The time in seconds with this index.
    pub(super) fn seconds(&self, index: usize) -> Result<Micros, ScenarioError> {
        seconds(self.arg(index)?)
    }

    /// Whether the line contains this word.
    pub(super) fn flag(&self, name: &str) -> bool {
        self.0.contains(&name)
    }

    /// The value of an option, or `None` if the option is absent.
    pub(super) fn option(&self, name: &str) -> Option<&'a str> {
        self.0
            .iter()
            .find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
    }

    /// The numeric value of an option.
    pub(super) fn number(&self, name: &str, default: f64) -> Result<f64, ScenarioError> {
        let Some(text) = self.option(name) else {
            return Ok(default);
        };
        text.parse().map_err(|_| ScenarioError::NotANumber {
            option: name.to_string(),
            value: text.to_string(),
        })
    }

    /// The value of an option as a time in seconds.
    pub(super) fn duration(&self, name: &str, default: f64) -> Result<Micros, ScenarioError> {
        Ok((self.number(name, default)? * 1e6) as Micros)
    }

    /// `PART for=SECONDS`: a probability that applies for this time.
    pub(super) fn probability(&self, now: Micros) -> Result<Temporary<f64>, ScenarioError> {
        let part: f64 = self
            .get(1)
            .and_then(|w| w.parse().ok())
            .ok_or(ScenarioError::Missing(
                "the part is missing or not a number",
            ))?;
        Ok(Temporary {
            value: part.clamp(0.0, 1.0),
            until: now + self.duration("for", 30.0)?,
        })
    }
}
