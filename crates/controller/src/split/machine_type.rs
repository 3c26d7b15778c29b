//! Machine types and classes.

use beamhinge_core::resources::{Resources, EPSILON};

/// Maximum number of tasks planned for one machine.
const MAX_TASKS_PER_MACHINE: f64 = 4_096.0;

/// A machine type as the cloud offers it.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Name of the type.
    pub label: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// GPUs of a machine.
    pub gpus: f64,
    /// Memory of a machine, gigabytes.
    pub memory_gb: f64,
    /// Size of the image cache of a machine, gigabytes.
    pub cache_gb: f64,
    /// Image download rate, gigabytes per second.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine.
    pub rate: f64,
    /// Price of a spot machine.
    pub low_price: f64,
    /// Time from rental until the machine's worker reports, seconds.
    pub boot_s: f64,
    /// Zones in which the type is offered.
    pub zones: Vec<String>,
}

impl MachineType {
    /// The resources of an empty machine.
    pub fn capacity(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }

    /// Number of tasks with these resources that one machine runs at once.
    pub fn max_tasks(&self, resources: &Resources) -> u32 {
        tasks_that_fit(&self.capacity(), resources)
    }
}

/// Number of tasks with these resources that fit the available resources of one machine at once.
pub fn tasks_that_fit(available: &Resources, resources: &Resources) -> u32 {
    let quotient = |available: f64, requested: f64| {
        if requested > 0.0 {
            ((available + EPSILON) / requested).floor()
        } else {
            f64::MAX
        }
    };
    let tasks = quotient(available.cpus, resources.cpus)
        .min(quotient(available.gpus, resources.gpus))
        .min(quotient(available.memory_gb, resources.memory_gb));
    tasks.clamp(0.0, MAX_TASKS_PER_MACHINE) as u32
}

/// All spot machines, or all on-demand machines, of one type.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineClass {
    /// Index into the machine types.
    pub machine_type: usize,
    /// Whether these are spot machines; otherwise they are on-demand machines.
    pub spot: bool,
}

/// A market: the spot or on-demand machines of one machine type in one zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Market {
    /// Index into the machine types.
    pub machine_type: usize,
    /// The zone.
    pub zone: String,
    /// Whether these are spot machines; otherwise they are on-demand machines.
    pub spot: bool,
}

impl Market {
    /// The market of a class in a zone.
    pub fn new(class: MachineClass, zone: &str) -> Market {
        Market {
            machine_type: class.machine_type,
            zone: zone.to_string(),
            spot: class.spot,
        }
    }

    /// The class of its machines.
    pub fn class(&self) -> MachineClass {
        MachineClass {
            machine_type: self.machine_type,
            spot: self.spot,
        }
    }
}
