//! One machine of the inventory: its state in the cloud's list and the state of its return.

use super::cloud_protocol::HostRow;
use crate::directives::ActiveDirectives;
use crate::scheduler::Machine;
use crate::split::{MachineClass, MachineType};
use beamhinge_admin_api::directives::Directive;
use beamhinge_core::types::{MachineId, Time};
use std::fmt;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Boot time assumed for a machine whose type is unknown, seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// State of a machine according to the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InstanceStatus {
    Booting,
    Running,
    Failed,
}

/// Progress of the return of a machine to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScaleInState {
    /// The machine is kept.
    Retained,
    /// The machine is to be released; the call has not been sent yet.
    Pending,
    /// Like `Pending`, because the machine is unreachable; cancelled if it reports again.
    PendingUnreachable,
    /// The release call is queued or in flight.
    InFlight,
}

/// Reason why a machine is returned. The texts are part of the admin API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ScaleInReason {
    Unreachable,
    /// It reported before, but complete lists no longer name it.
    Unlisted,
    /// It reports but acknowledges nothing that is sent to it.
    Unacknowledging,
    Failed,
    Quarantined,
    NeverBooted,
    /// It never reported, and complete lists do not name it.
    NeverListed,
    Drained,
    Slow,
    Idle,
}

impl ScaleInReason {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            ScaleInReason::Unreachable => "silent",
            ScaleInReason::Unlisted => "gone from the list",
            ScaleInReason::Unacknowledging => "takes no answers",
            ScaleInReason::Failed => "failed",
            ScaleInReason::Quarantined => "fails its tasks",
            ScaleInReason::NeverBooted => "never came up",
            ScaleInReason::NeverListed => "vanished from the list",
            ScaleInReason::Drained => "drained",
            ScaleInReason::Slow => "slow",
            ScaleInReason::Idle => "idle",
        }
    }

    /// The state in which a machine waits for its release.
    pub(super) fn pending_state(self) -> ScaleInState {
        match self {
            ScaleInReason::Unreachable => ScaleInState::PendingUnreachable,
            _ => ScaleInState::Pending,
        }
    }
}

impl fmt::Display for ScaleInReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One machine of the inventory.
#[derive(Debug)]
pub(super) struct Instance {
    /// Index into the machine types.
    pub(super) machine_type: usize,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) status: InstanceStatus,
    /// When it was rented, or first seen.
    pub(super) rented_at: Time,
    /// When a list last named it; `None` if none has.
    pub(super) listed_at: Option<Time>,
    pub(super) endpoint: Option<SocketAddrV4>,
    /// Provided by the operators, not rented by the service. When idle, it is kept for the
    /// configured idle time, without regard to the minimum charge of rentals.
    pub(super) owned: bool,
    /// Number of consecutive complete lists that omit it although they must show it.
    pub(super) missed_listings: u32,
    pub(super) scale_in: ScaleInState,
}

impl Instance {
    /// Creates a machine that no list has named yet.
    pub(super) fn unlisted(class: MachineClass, zone: String, rented_at: Time) -> Instance {
        Instance {
            machine_type: class.machine_type,
            zone,
            spot: class.spot,
            status: InstanceStatus::Booting,
            rented_at,
            listed_at: None,
            endpoint: None,
            owned: false,
            missed_listings: 0,
            scale_in: ScaleInState::Retained,
        }
    }

    /// Creates a machine from its first row in a list.
    pub(super) fn from_listing(row: &HostRow, machine_type: usize, now: Time) -> Instance {
        let class = MachineClass {
            machine_type,
            spot: row.spot,
        };
        Instance {
            status: row.instance_status(),
            endpoint: row.socket_address(),
            ..Instance::unlisted(class, row.zone.clone(), now.minus(row.held_s))
        }
    }

    pub(super) fn class(&self) -> MachineClass {
        MachineClass {
            machine_type: self.machine_type,
            spot: self.spot,
        }
    }

    /// Whether no return of the machine is pending or in flight.
    pub(super) fn is_retained(&self) -> bool {
        self.scale_in == ScaleInState::Retained
    }

    /// Whether the machine has been up: the list shows it as running, or the job store has tasks
    /// on it. Such a machine that never reported to this leader is unreachable and may recover.
    pub(super) fn was_up(&self, machine: Option<&Machine>) -> bool {
        self.status == InstanceStatus::Running || machine.is_some_and(|m| !m.is_empty())
    }

    /// Boot time of its machine type, seconds.
    pub(super) fn boot_s(&self, machine_types: &[MachineType]) -> f64 {
        machine_types
            .get(self.machine_type)
            .map_or(DEFAULT_BOOT_S, |t| t.boot_s)
    }

    /// The drain directive that applies to the machine; `None` if it is not drained.
    pub(super) fn active_drain<'a>(
        &self,
        id: MachineId,
        machine_types: &[MachineType],
        active_directives: &'a ActiveDirectives,
    ) -> Option<&'a Rc<Directive>> {
        let label = machine_types
            .get(self.machine_type)
            .map_or("", |t| t.label.as_str());
        active_directives.drain_of(id, label, &self.zone)
    }
}
