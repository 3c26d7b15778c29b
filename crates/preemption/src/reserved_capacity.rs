//! What each tenant is sure to keep against preemption by others.

use std::collections::BTreeMap;
use std::rc::Rc;

/// A class of jobs of one team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantKey {
    /// Index of the team; none if the team is unknown.
    pub team: Option<usize>,
    /// Name of the class.
    pub class: Rc<str>,
}

/// CPUs that each tenant uses, and how many of them it keeps.
///
/// What it keeps is a part of the capacity that its tasks fit on at all: idle-time work that needs
/// large machines keeps a part of those, and not of small ones on which it could not run.
#[derive(Debug, Default)]
pub struct ReservedCapacity {
    used_cpus: BTreeMap<TenantKey, f64>,
    reserved_cpus: BTreeMap<TenantKey, f64>,
    fraction: f64,
}

impl ReservedCapacity {
    /// Each tenant keeps this fraction (0 to 1) of its capacity, divided among all tenants.
    #[must_use]
    pub fn new(fraction: f64) -> ReservedCapacity {
        ReservedCapacity {
            fraction: fraction.clamp(0.0, 1.0),
            ..ReservedCapacity::default()
        }
    }

    /// A tenant uses so many CPUs more.
    pub fn add_usage(&mut self, tenant: &TenantKey, cpus: f64) {
        match self.used_cpus.get_mut(tenant) {
            Some(used) => *used += cpus,
            None => {
                self.used_cpus.insert(tenant.clone(), cpus);
            }
        }
    }

    /// CPUs of the machines that one of the tenant's jobs fits on; the least of what its jobs say
    /// counts.
    pub fn add_eligible_capacity(&mut self, tenant: &TenantKey, cpus: f64) {
        let reserved = cpus * self.fraction;
        let known = self
            .reserved_cpus
            .get(tenant)
            .copied()
            .unwrap_or(f64::INFINITY);
        if reserved < known {
            self.reserved_cpus.insert(tenant.clone(), reserved);
        }
    }

    /// Divides what is reserved by the number of tenants, so that all together keep no more than
    /// one fraction. To be called once, after the last [`Self::add_eligible_capacity`].
    pub fn divide_among_tenants(&mut self) {
        let tenants = self.reserved_cpus.len().max(1) as f64;
        for reserved in self.reserved_cpus.values_mut() {
            *reserved /= tenants;
        }
    }

    /// Whether the tenant keeps what is reserved for it after so many CPUs are taken.
    #[must_use]
    pub fn may_preempt(&self, tenant: &TenantKey, cpus: f64) -> bool {
        let used = self.used_cpus.get(tenant).copied().unwrap_or(0.0);
        let reserved = self.reserved_cpus.get(tenant).copied().unwrap_or(0.0);
        used - cpus >= reserved
    }

    /// So many CPUs of the tenant were preempted.
    pub fn record_preempted(&mut self, tenant: &TenantKey, cpus: f64) {
        if let Some(used) = self.used_cpus.get_mut(tenant) {
            *used -= cpus;
        }
    }
}

#[cfg(test)]
mod tests;
