//! The directives in force, as queried by the scheduler and by machine management.

use beamhinge_admin_api::directives::{Directive, Target};
use beamhinge_core::types::MachineId;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Drains and freezes in force, by target.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ActiveDirectives {
    pub(super) directives: BTreeMap<Target, Rc<Directive>>,
}

impl ActiveDirectives {
    /// Whether no directive is in force.
    pub fn is_empty(&self) -> bool {
        self.directives.is_empty()
    }

    /// Number of directives in force.
    pub fn len(&self) -> usize {
        self.directives.len()
    }

    /// All directives in force, ordered by target.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Directive>> {
        self.directives.values()
    }

    fn get(&self, target: &Target) -> Option<&Rc<Directive>> {
        self.directives.get(target)
    }

    /// The drain that applies to a machine, or `None`. A drain of the machine itself takes
    /// precedence over one of its type, and that over one of its zone, since the most specific
    /// drain best states what to do with the machine.
    pub fn drain_of(
        &self,
        machine: MachineId,
        machine_type: &str,
        zone: &str,
    ) -> Option<&Rc<Directive>> {
        if self.is_empty() {
            return None;
        }
        self.get(&Target::Machine(machine.to_string()))
            .or_else(|| self.market_drain(machine_type, zone))
    }

    /// The drain that forbids adding machines of a type in a zone, or `None`. A drain of the type
    /// takes precedence over one of the zone.
    pub fn market_drain(&self, machine_type: &str, zone: &str) -> Option<&Rc<Directive>> {
        if self.is_empty() {
            return None;
        }
        self.get(&Target::MachineType(machine_type.to_string()))
            .or_else(|| self.get(&Target::Zone(zone.to_string())))
    }

    /// The freeze that applies to a job, or `None`. A freeze of its team takes precedence over one
    /// of its class.
    pub fn freeze_of(&self, team: &str, class: &str) -> Option<&Rc<Directive>> {
        if self.is_empty() {
            return None;
        }
        self.get(&Target::Team(team.to_string()))
            .or_else(|| self.get(&Target::Class(class.to_string())))
    }

    /// Whether any controller is drained.
    pub fn any_controller_drained(&self) -> bool {
        self.directives.keys().any(|t| matches!(t, Target::Node(_)))
    }

    /// Whether the controller with this label is drained.
    pub fn controller_drained(&self, label: &str) -> bool {
        !self.is_empty() && self.get(&Target::Node(label.to_string())).is_some()
    }

    /// Creates a set of directives for tests.
    #[cfg(test)]
    pub fn of(directives: Vec<Directive>) -> ActiveDirectives {
        let directives = directives
            .into_iter()
            .map(|d| (d.target.clone(), Rc::new(d)))
            .collect();
        ActiveDirectives { directives }
    }
}
