//! The leader's state of a machine, derived from its worker's reports and the commands sent to it.

use super::allocation::{Allocation, OrphanTask};
use crate::split::{MachineType, Resources};
use crate::worker_protocol::ReportVersion;
use beamhinge_admin_api::directives::Directive;
use beamhinge_core::types::{TaskId, Time};
use beamhinge_failure_detection::AckTracker;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Maximum number of images tracked as cached on a machine; the least recently used is dropped.
const MAX_CACHED_IMAGES: usize = 24;

/// Properties of a machine according to its last report.
#[derive(Debug, Default)]
pub(super) struct Identity {
    /// Index of its type among the cluster's machine types; `None` while it is unknown.
    pub(super) machine_type: Option<usize>,
    /// Its zone; empty until it is known.
    pub(super) zone: String,
    /// It is a spot machine, which the cloud may reclaim.
    pub(super) spot: bool,
    /// Address at which its worker accepts direct commands; `None` if it accepts none.
    pub(super) endpoint: Option<SocketAddrV4>,
}

/// When a machine reported.
#[derive(Debug)]
pub(super) struct Liveness {
    /// When its first report of this term arrived.
    pub(super) first_report: Option<Time>,
    /// Time of its last heartbeat in this term; `None` before the first one, and after the cloud
    /// has confirmed the termination of the machine.
    pub(super) last_heartbeat: Option<Time>,
    /// When one of its reports was last answered.
    pub(super) last_answered: Option<Time>,
    /// Its last report followed the previous one in time. A worker that receives no answers
    /// rotates through all controllers, so it reports to each one only rarely: it looks reachable
    /// right after a report, but counts as unreachable again before the next one.
    pub(super) reports_regularly: bool,
}

/// What a machine's reports prove about the answers that its worker received.
#[derive(Debug, Default)]
pub(super) struct Acknowledgement {
    /// Version of its newest report.
    pub(super) last_report: Option<ReportVersion>,
    /// Version of its newest response to a direct command.
    pub(super) last_direct_response: Option<ReportVersion>,
    /// Its newest report carried the fencing token of this term.
    pub(super) has_current_token: bool,
    /// One of its reports carried it, so its worker no longer accepts an earlier leader.
    pub(super) has_reported_current_token: bool,
    /// It reported without this term's fencing token after an answer that contained the token.
    pub(super) stale_token: bool,
    /// Tracks whether its reports acknowledge the commands sent to it.
    pub(super) tracker: AckTracker,
}

/// Whether a machine is being removed or drained, and since when it is idle.
#[derive(Debug)]
pub(super) struct Lifecycle {
    /// The cloud has announced that it will reclaim the machine.
    pub(super) reclaim_announced: bool,
    /// It is being returned to the cloud.
    pub(super) returning: bool,
    /// The operator drain that applies to it.
    pub(super) drain: Option<Rc<Directive>>,
    /// When its last allocation ended, or when it became known.
    pub(super) idle_since: Time,
}

/// Health of a machine, inferred from its tasks.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// It refused a task although its allocations left enough free capacity. It gets no tasks until
    /// this time.
    pub(super) refuses_tasks_until: Time,
    /// Tasks fail on it that succeed on other machines.
    pub(super) quarantined: bool,
    /// Its run times compared with those of other machines.
    pub(super) speed: SpeedEstimate,
    /// Its tasks take much longer than on other machines.
    pub(super) slow: bool,
}

/// Ratio of actual to expected run times on a machine.
#[derive(Debug)]
pub(super) struct SpeedEstimate {
    /// Above 1, the machine is slower than others.
    pub(super) ratio: f64,
    /// Number of tasks in the estimate.
    pub(super) samples: u32,
}

impl Default for SpeedEstimate {
    fn default() -> SpeedEstimate {
        SpeedEstimate {
            ratio: 1.0,
            samples: 0,
        }
    }
}

/// Tasks that are, may be or will be on a machine.
#[derive(Debug, Default)]
pub(super) struct ResidentTasks {
    /// Allocations, planned or inherited, whose end is not proven.
    pub(super) allocations: BTreeMap<TaskId, Allocation>,
    /// Tasks that the worker lists without an allocation.
    pub(super) orphans: Vec<OrphanTask>,
    /// Images of its recent tasks, the most recently used last.
    pub(super) cached_images: Vec<Rc<str>>,
}

/// The leader's state of a machine.
#[derive(Debug)]
pub struct Machine {
    pub(super) identity: Identity,
    pub(super) liveness: Liveness,
    pub(super) acknowledgement: Acknowledgement,
    pub(super) lifecycle: Lifecycle,
    pub(super) health: Health,
    pub(super) resident: ResidentTasks,
}

impl Machine {
    /// Creates a machine without any known properties.
    pub(super) fn new(now: Time) -> Machine {
        Machine {
            identity: Identity::default(),
            liveness: Liveness {
                first_report: None,
                last_heartbeat: None,
                last_answered: None,
                reports_regularly: true,
            },
            acknowledgement: Acknowledgement::default(),
            lifecycle: Lifecycle {
                reclaim_announced: false,
                returning: false,
                drain: None,
                idle_since: now,
            },
            health: Health::default(),
            resident: ResidentTasks::default(),
        }
    }

    /// Whether it has neither allocations nor orphan tasks.
    pub fn is_empty(&self) -> bool {
        self.resident.orphans.is_empty() && self.resident.allocations.is_empty()
    }

    /// Whether its reports arrive but the answers do not reach its worker, which therefore rotates
    /// through the controllers.
    pub fn rotates_controllers(&self, now: Time) -> bool {
        self.acknowledgement.stale_token
            || self
                .acknowledgement
                .tracker
                .unacknowledged_for_s(now)
                .is_some()
    }

    /// Index of its type among the cluster's machine types; `None` while it is unknown.
    pub fn machine_type(&self) -> Option<usize> {
        self.identity.machine_type
    }

    /// Its zone; empty until it is known.
    pub fn zone(&self) -> &str {
        &self.identity.zone
    }

    /// Whether it is a spot machine, which the cloud may reclaim.
    pub fn is_spot(&self) -> bool {
        self.identity.spot
    }

    /// Address at which its worker accepts direct commands; `None` if it accepts none.
    pub fn endpoint(&self) -> Option<SocketAddrV4> {
        self.identity.endpoint
    }

    /// Time of its last heartbeat in this term; `None` before the first one, and after the cloud
    /// has confirmed the termination of the machine.
    pub fn last_heartbeat(&self) -> Option<Time> {
        self.liveness.last_heartbeat
    }

    /// Whether the cloud has announced that it will reclaim the machine.
    pub fn reclaim_announced(&self) -> bool {
        self.lifecycle.reclaim_announced
    }

    /// The operator drain that applies to it; `None` if it is not drained.
    pub fn drain(&self) -> Option<&Rc<Directive>> {
        self.lifecycle.drain.as_ref()
    }

    /// Tracks whether its reports acknowledge the commands sent to it.
    pub fn ack_tracker(&self) -> &AckTracker {
        &self.acknowledgement.tracker
    }

    /// When its last allocation ended, or when it became known.
    pub fn idle_since(&self) -> Time {
        self.lifecycle.idle_since
    }

    /// Whether tasks fail on it that succeed on other machines.
    pub fn is_quarantined(&self) -> bool {
        self.health.quarantined
    }

    /// Whether its tasks take much longer than on other machines.
    pub fn is_slow(&self) -> bool {
        self.health.slow
    }

    /// Its machine type; `None` until it has reported one that the cloud offers.
    pub(super) fn lookup_type<'a>(
        &self,
        machine_types: &'a [MachineType],
    ) -> Option<&'a MachineType> {
        machine_types.get(self.identity.machine_type?)
    }

    /// Capacity minus the resources of all tasks that may be on it.
    pub(super) fn free(&self, machine_types: &[MachineType]) -> Resources {
        let mut free = self
            .lookup_type(machine_types)
            .map(MachineType::capacity)
            .unwrap_or_default();
        let allocations = self.resident.allocations.values();
        for allocation in allocations.filter(|a| a.may_be_on_machine()) {
            free.sub(&allocation.resources);
        }
        for orphan in &self.resident.orphans {
            free.sub(&orphan.resources);
        }
        free
    }

    /// Free capacity minus the allocations whose `run` was not sent yet. Of nominated ones, only
    /// those with reserved capacity are subtracted.
    pub(super) fn unallocated(&self, machine_types: &[MachineType]) -> Resources {
        let mut free = self.free(machine_types);
        let is_allocated =
            |a: &&Allocation| (a.nominated_at.is_none() || a.reserved) && !a.may_be_on_machine();
        for allocation in self.resident.allocations.values().filter(is_allocated) {
            free.sub(&allocation.resources);
        }
        free
    }

    /// Records that the image is cached on the machine, as the most recently used one.
    pub(super) fn remember_image(&mut self, image: &Rc<str>) {
        let images = &mut self.resident.cached_images;
        images.retain(|cached| cached != image);
        images.push(image.clone());
        if images.len() > MAX_CACHED_IMAGES {
            images.remove(0);
        }
    }
}
