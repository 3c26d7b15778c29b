//! Resources that tasks use and machines provide.

/// Tolerance for the accumulated rounding error when sums of decimal amounts are compared with a
/// bound.
pub const EPSILON: f64 = 1e-6;

/// Resources that a task requires, or free capacity of a machine. Free amounts are negative if more
/// is allocated than the machine has.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Resources {
    /// CPUs; may be fractional.
    pub cpus: f64,
    /// GPUs; may be fractional.
    pub gpus: f64,
    /// Memory, GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Whether these resources fit into the free capacity, within [`EPSILON`].
    #[must_use]
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + EPSILON
            && self.gpus <= free.gpus + EPSILON
            && self.memory_gb <= free.memory_gb + EPSILON
    }

    /// Adds the amounts of `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts the amounts of `other`.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
}
