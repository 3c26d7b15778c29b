//! Directives: drains and freezes that operators set and all controllers apply.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Format version of a stored directive.
pub const VERSION: u32 = 1;

/// Target of a directive. Each target has at most one directive: a drain for machines, machine
/// types, zones and controllers, a freeze for teams and classes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// The machine of this name: no new tasks are placed on it.
    Machine(String),
    /// All machines of the machine type with this label.
    #[serde(rename = "shape")]
    MachineType(String),
    /// All machines in this zone.
    Zone(String),
    /// The controller with this label.
    Node(String),
    /// A team: none of the tasks of its jobs are started.
    Team(String),
    /// A class of jobs: none of the tasks of these jobs are started.
    Class(String),
}

impl Target {
    /// Whether a directive for this target is a drain; otherwise it is a freeze.
    pub fn is_drain(&self) -> bool {
        !matches!(self, Target::Team(_) | Target::Class(_))
    }

    /// Name of the kind of target, as used in keys and requests.
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

    /// Name or label of the target.
    pub fn name(&self) -> &str {
        match self {
            Target::Machine(name)
            | Target::MachineType(name)
            | Target::Zone(name)
            | Target::Node(name)
            | Target::Team(name)
            | Target::Class(name) => name,
        }
    }

    /// Returns the target of this kind and name, or `None` if either is invalid.
    pub fn parse(kind: &str, name: &str) -> Option<Target> {
        // The name becomes part of a key: it must not contain spaces or characters with a meaning
        // in a path or query, nor exceed the length limit of a key.
        let is_allowed =
            |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b':');
        if name.is_empty() || name.len() > 120 || !name.bytes().all(is_allowed) {
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

/// What happens to a drained machine once it has no tasks left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum Afterwards {
    /// The machine is returned to the cloud.
    #[default]
    Return,
    /// The machine stays rented, and is paid for, until the drain is lifted.
    Keep,
}

/// A directive in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directive {
    /// Target of the directive.
    pub target: Target,
    /// Wall-clock time at which it was set, milliseconds since the Unix epoch.
    pub since_ms: u64,
    /// For drains: time limit for the remaining tasks, seconds since `since_ms`. Each task is told
    /// to checkpoint and stop earlier than this, by the checkpoint duration of its job plus one
    /// report interval. `None`: the tasks run to completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub within_s: Option<f64>,
    /// For drains: what happens to a machine once it has no tasks left.
    #[serde(default)]
    pub afterwards: Afterwards,
    /// Name of the key that set it.
    #[serde(default)]
    pub by: String,
    /// Free-text note of the operator.
    #[serde(default)]
    pub note: String,
}

/// Body of `POST /v1/directives`: sets or lifts one directive.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
// Decoding errors, which are shown to operators, name the expected type.
#[serde(deny_unknown_fields, expecting = "struct Change")]
pub struct DirectiveChange {
    /// Target of the directive.
    pub target: Target,
    /// `true` sets the directive, `false` lifts it.
    pub set: bool,
    /// See [`Directive::within_s`].
    #[serde(default)]
    pub within_s: Option<f64>,
    /// See [`Directive::afterwards`].
    #[serde(default)]
    pub afterwards: Afterwards,
    /// See [`Directive::note`].
    #[serde(default)]
    pub note: String,
}

/// Response to a change that was applied or was already in effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectiveChangeResult {
    /// Target of the directive.
    pub target: Target,
    /// Whether the directive is in force now.
    pub set: bool,
    /// Whether the request changed anything; `false` if the change was already in effect.
    pub changed: bool,
}
