//! What operators have ordered and the controllers keep to: drains and freezes.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Version of a stored directive.
pub const VERSION: u32 = 1;

/// What a directive is about. One directive stands for each target.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Drains: nothing new there.
    Machine(String),
    #[serde(rename = "shape")]
    MachineType(String),
    Zone(String),
    /// A controller by its label.
    Node(String),
    /// Freezes: nothing of theirs starts.
    Team(String),
    Class(String),
}

impl Target {
    pub fn is_drain(&self) -> bool {
        !matches!(self, Target::Team(_) | Target::Class(_))
    }

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

    pub fn parse(kind: &str, name: &str) -> Option<Target> {
        // Names become part of a key: no spaces, nothing that a path or a
        // query would read otherwise, and not longer than a key may be.
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
    /// Given back to the cloud.
    #[default]
    Return,
    /// Kept, empty, and paid for, until undrained.
    Keep,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directive {
    pub target: Target,
    /// Time of day at which it was taken, milliseconds.
    pub since_ms: u64,
    /// Drains: tasks that have not ended after so long are told to save and
    /// stop. Absent: they are left to end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub afterwards: Afterwards,
    /// The key that ordered it.
    #[serde(default)]
    pub by: String,
    #[serde(default)]
    pub note: String,
}

/// `POST /v1/directives`: sets or lifts one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
// Operators are shown the text of decoding errors, which names what is expected.
#[serde(deny_unknown_fields, expecting = "struct Change")]
pub struct DirectiveChange {
    pub target: Target,
    /// false: lift it.
    pub set: bool,
    #[serde(default)]
    pub within_s: Option<f64>,
    #[serde(default)]
    pub afterwards: Afterwards,
    #[serde(default)]
    pub note: String,
}

/// The answer to a change; the same whether it was the first to be made or
/// stood already.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectiveChangeResult {
    pub target: Target,
    pub set: bool,
    /// false: it was so already.
    pub changed: bool,
}
