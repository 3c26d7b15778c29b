//! Capacity of each tenant that other tenants cannot preempt.

use std::collections::BTreeMap;
use std::rc::Rc;

/// A tenant: one class of jobs of one team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantKey {
    /// Index of the team; `None` if the team is unknown.
    pub team: Option<usize>,
    /// Name of the class.
    pub class: Rc<str>,
}

/// CPUs that each tenant uses, and CPUs that are reserved for it against preemption.
///
/// A tenant's reserved capacity is a fraction of the eligible capacity, that is, of the machines
/// that its tasks fit on: idle-time work that needs large machines reserves a part of those, and
/// none of the small machines on which it could not run.
#[derive(Debug, Default)]
pub struct ReservedCapacity {
    used_cpus: BTreeMap<TenantKey, f64>,
    reserved_cpus: BTreeMap<TenantKey, f64>,
    fraction: f64,
}

impl ReservedCapacity {
    /// Reserves this fraction (0 to 1) of its eligible capacity for each tenant, divided by the
    /// number of tenants.
    #[must_use]
    pub fn new(fraction: f64) -> ReservedCapacity {
        ReservedCapacity {
            fraction: fraction.clamp(0.0, 1.0),
            ..ReservedCapacity::default()
        }
    }

    /// Adds CPUs to those that a tenant uses.
    pub fn add_usage(&mut self, tenant: &TenantKey, cpus: f64) {
        match self.used_cpus.get_mut(tenant) {
            Some(used) => *used += cpus,
            None => {
                self.used_cpus.insert(tenant.clone(), cpus);
            }
        }
    }

    /// Sets the CPUs of the machines that one of the tenant's jobs fits on. The smallest value of
    /// all its jobs applies.
    pub fn add_eligible_capacity(&mut self, tenant: &TenantKey, cpus: f64) {
        let reserved = cpus * self.fraction;
        let smallest = self
            .reserved_cpus
            .get(tenant)
            .copied()
            .unwrap_or(f64::INFINITY);
        if reserved < smallest {
            self.reserved_cpus.insert(tenant.clone(), reserved);
        }
    }

    /// Divides the reserved capacity by the number of tenants, so that all tenants together reserve
    /// no more than one fraction. Call it once, after the last [`Self::add_eligible_capacity`].
    pub fn divide_among_tenants(&mut self) {
        let tenants = self.reserved_cpus.len().max(1) as f64;
        for reserved in self.reserved_cpus.values_mut() {
            *reserved /= tenants;
        }
    }

    /// Whether the tenant still uses at least its reserved capacity after this many of its CPUs are
    /// preempted.
    #[must_use]
    pub fn may_preempt(&self, tenant: &TenantKey, cpus: f64) -> bool {
        let used = self.used_cpus.get(tenant).copied().unwrap_or(0.0);
        let reserved = self.reserved_cpus.get(tenant).copied().unwrap_or(0.0);
        used - cpus >= reserved
    }

    /// Subtracts preempted CPUs from those that the tenant uses.
    pub fn record_preempted(&mut self, tenant: &TenantKey, cpus: f64) {
        if let Some(used) = self.used_cpus.get_mut(tenant) {
            *used -= cpus;
        }
    }
}

#[cfg(test)]
mod tests;
