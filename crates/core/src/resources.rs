//! Amounts of what tasks take of a machine.

/// Sums of decimal amounts may miss a bound by a rounding error of at most this.
pub const EPSILON: f64 = 1e-6;

/// What a task takes, or what a machine has free. Free amounts are negative where more is
/// promised than there is.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct Resources {
    /// Processors, also parts of one.
    pub cpus: f64,
    /// Graphics processors, also parts of one.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

impl Resources {
    /// Whether these resources fit into what is free.
    #[must_use]
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + EPSILON
            && self.gpus <= free.gpus + EPSILON
            && self.memory_gb <= free.memory_gb + EPSILON
    }

    /// Adds each amount of the other.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts each amount of the other.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
}
