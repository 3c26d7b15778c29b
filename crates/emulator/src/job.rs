//! Jobs as their users submit them.
//!
//! The submission is stored as the JSON that is sent over the wire; only this module uses its
//! field names:
//!
//! | wire | term |
//! | --- | --- |
//! | `pieces` | tasks |
//! | `vcpus`, `memoryGb` | requested resources of a task |
//! | `bundle` | container image |
//! | `owner` | team |
//! | `jobClass` | class |
//! | `jobKind` (`batch`, `standing`) | batch job or service |
//! | `shapes` | allowed machine types |
//! | `yard`, `oneZone`, `apart` | zone constraints: this zone, a single zone, spread over zones |
//! | `loaners` | spot machines allowed |

use crate::Micros;
use serde_json::Value;

/// A job as its user submits it, and the behaviour of its tasks when they run.
#[derive(Clone, Debug)]
pub struct JobPlan {
    /// The submission as JSON.
    pub body: Value,
    /// Run time of a task on a healthy machine, seconds.
    pub run_s: f64,
    /// Whether every task fails shortly after its start.
    pub fails: bool,
    /// Command line of a task where workers run processes; if `None`, the task is a timer.
    pub command: Option<String>,
    /// When its user first submits it.
    pub submitted_at: Micros,
}

impl JobPlan {
    fn number(&self, field: &str) -> f64 {
        self.body[field].as_f64().unwrap_or(0.0)
    }

    fn text(&self, field: &str) -> &str {
        self.body[field].as_str().unwrap_or("")
    }

    fn flag(&self, field: &str) -> bool {
        self.body[field] == true
    }

    /// CPUs of one task.
    #[must_use]
    pub fn cpus(&self) -> f64 {
        self.number("vcpus")
    }

    /// Memory of one task, GB.
    #[must_use]
    pub fn memory_gb(&self) -> f64 {
        self.number("memoryGb")
    }

    /// Number of tasks; `None` if the submission does not state it.
    #[must_use]
    pub fn declared_tasks(&self) -> Option<u64> {
        self.body["pieces"].as_u64()
    }

    /// Number of tasks; 0 if the submission does not state it.
    #[must_use]
    pub fn tasks(&self) -> u64 {
        self.declared_tasks().unwrap_or(0)
    }

    /// The container image of its tasks; `None` if the submission does not state it.
    #[must_use]
    pub fn image(&self) -> Option<&str> {
        self.body["bundle"].as_str()
    }

    /// The team whose quota it uses; `None` if the submission does not state it.
    #[must_use]
    pub fn declared_team(&self) -> Option<&str> {
        self.body["owner"].as_str()
    }

    /// The team whose quota it uses; empty if the submission does not state it.
    #[must_use]
    pub fn team(&self) -> &str {
        self.text("owner")
    }

    /// The job class; empty if the submission does not state it.
    #[must_use]
    pub fn class(&self) -> &str {
        self.text("jobClass")
    }

    /// The urgency in its wire form; empty if the submission does not state it.
    #[must_use]
    pub fn urgency(&self) -> &str {
        self.text("urgency")
    }

    /// Whether it is a batch job, whose tasks finish without being stopped.
    #[must_use]
    pub fn is_batch(&self) -> bool {
        self.body["jobKind"] == "batch"
    }

    /// Whether it is a service, whose tasks run until they are stopped.
    #[must_use]
    pub fn is_service(&self) -> bool {
        self.body["jobKind"] == "standing"
    }

    /// Whether all its tasks must run in one zone.
    #[must_use]
    pub fn single_zone(&self) -> bool {
        self.flag("oneZone")
    }

    /// Whether its tasks must be spread over two zones.
    #[must_use]
    pub fn spread_over_zones(&self) -> bool {
        self.flag("apart")
    }

    /// Whether its tasks may run on a machine with these attributes.
    #[must_use]
    pub fn allows(&self, machine: &MachineAttributes) -> bool {
        let machine_types = self.body["shapes"].as_array();
        machine_types.is_none_or(|s| s.iter().any(|l| l.as_str() == Some(machine.machine_type)))
            && self.body["yard"].as_str().is_none_or(|z| z == machine.zone)
            && (!machine.spot || self.body["loaners"].as_bool().unwrap_or(true))
    }
}

/// The attributes of a machine that a job may constrain.
#[derive(Clone, Copy, Debug)]
pub struct MachineAttributes<'a> {
    /// Label of its instance type.
    pub machine_type: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Whether the cloud may reclaim it.
    pub spot: bool,
}

/// The job id in a task id (`JOB/INDEX`).
#[must_use]
pub fn job_id(task_id: &str) -> &str {
    task_id.split('/').next().unwrap_or("")
}
