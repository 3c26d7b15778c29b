//! Directives: drains and freezes that operators set, and that all controllers follow.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Version of a stored directive.
pub const VERSION: u32 = 1;

/// What a directive is about; there is at most one directive for each target. Machines, types,
/// zones and controllers are drained, teams and classes frozen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// A machine by its name: nothing new is placed there.
    Machine(String),
    /// All machines of a type.
    #[serde(rename = "shape")]
    MachineType(String),
    /// All machines in a zone.
    Zone(String),
    /// A controller by its label.
    Node(String),
    /// A team: none of its tasks starts.
    Team(String),
    /// A class of jobs: none of its tasks starts.
    Class(String),
}

impl Target {
    /// Whether its directive is a drain; else it is a freeze.
    pub fn is_drain(&self) -> bool {
        !matches!(self, Target::Team(_) | Target::Class(_))
    }

    /// Name of the kind of target, as in keys and requests.
    pub fn kind(&self) -> &'static str {
        match self {
            Target::Machine(_) => "machine",
            Target::MachineType(_) => "shape",
            Target::Zone(_) => "zone",
            Target::Node(_) => "node",
            Target::Team(_) => "team",
            Target::Class(_) => "class",
        }
    }

    /// Name of the target itself.
    pub fn name(&self) -> &str {
        match self {
            Target::Machine(n)
            | Target::MachineType(n)
            | Target::Zone(n)
            | Target::Node(n)
            | Target::Team(n)
            | Target::Class(n) => n,
        }
    }

    /// The target of this kind and name; `None` where either is not valid.
    pub fn parse(kind: &str, name: &str) -> Option<Target> {
        // Names become part of a key: no spaces, nothing with a meaning in a path or a query,
        // and not longer than a key may be.
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
        if name.is_empty() || name.len() > 120 || !name.bytes().all(plain) {
            return None;
        }
        let name = name.to_string();
        Some(match kind {
            "machine" => Target::Machine(name),
            "shape" => Target::MachineType(name),
            "zone" => Target::Zone(name),
            "node" => Target::Node(name),
            "team" => Target::Team(name),
            "class" => Target::Class(name),
            _ => return None,
        })
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind(), self.name())
    }
}

/// What becomes of a drained machine once it is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum Afterwards {
    /// It is returned to the cloud.
    #[default]
    Return,
    /// It is kept, empty and paid for, until the drain is lifted.
    Keep,
}

/// A directive that is in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directive {
    /// What it is about.
    pub target: Target,
    /// Time of day at which it was set, milliseconds.
    pub since_ms: u64,
    /// Drains: tasks that have not ended after so many seconds are told to checkpoint and stop.
    /// Absent: they are left to end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
    /// Drains: what becomes of a machine once it is empty.
    #[serde(default)]
    pub afterwards: Afterwards,
    /// Name of the key that set it.
    #[serde(default)]
    pub by: String,
    /// The operator's note.
    #[serde(default)]
    pub note: String,
}

/// The body of `POST /v1/directives`: sets or lifts one directive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
// Operators are shown the text of decoding errors, which names what is expected.
#[serde(deny_unknown_fields, expecting = "struct Change")]
pub struct DirectiveChange {
    /// What the directive is about.
    pub target: Target,
    /// `false`: lift it.
    pub set: bool,
    /// As in [`Directive::within_s`].
    #[serde(default)]
    pub within_s: Option<f64>,
    /// As in [`Directive::afterwards`].
    #[serde(default)]
    pub afterwards: Afterwards,
    /// As in [`Directive::note`].
    #[serde(default)]
    pub note: String,
}

/// The answer to a change that was made, or was in force already.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectiveChangeResult {
    /// What the directive is about.
    pub target: Target,
    /// Whether it is in force now.
    pub set: bool,
    /// `false`: it was so already.
    pub changed: bool,
}
