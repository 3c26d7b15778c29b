//! A machine as the leader knows it: by its worker's reports and by what was sent there.

use super::allocation::{Allocation, OrphanTask};
use crate::split::{MachineType, Resources};
use crate::worker_protocol::ReportVersion;
use beamhinge_admin_api::directives::Directive;
use beamhinge_core::types::{TaskId, Time};
use beamhinge_failure_detection::AckTracker;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// Images that are remembered as cached on a machine; the one used longest ago is forgotten.
const MAX_CACHED_IMAGES: usize = 24;

/// What a machine is, by its last report.
#[derive(Debug, Default)]
pub(super) struct Identity {
    /// Index of its type among the cluster's machine types.
    pub(super) machine_type: Option<usize>,
    /// Its zone; empty until one is known.
    pub(super) zone: String,
    /// The cloud may reclaim it.
    pub(super) spot: bool,
    /// Where its worker takes direct commands.
    pub(super) endpoint: Option<SocketAddrV4>,
}

/// When a machine was heard.
#[derive(Debug)]
pub(super) struct Liveness {
    /// When its first report in this term came.
    pub(super) first_report: Option<Time>,
    /// When it last gave a sign of life.
    pub(super) last_heartbeat: Option<Time>,
    /// When a report of it was last answered.
    pub(super) last_answered: Option<Time>,
    /// Its last report came in time after the one before. Where answers do not
    /// arrive, a worker rotates through all controllers and reports here seldom: it is
    /// heard just now, and gone again before the next.
    pub(super) regular: bool,
}

/// What its reports prove about the answers that it received.
#[derive(Debug, Default)]
pub(super) struct Acknowledgement {
    /// Its newest report.
    pub(super) last_report: Option<ReportVersion>,
    /// Its newest response to a direct command.
    pub(super) last_direct_response: Option<ReportVersion>,
    /// Its newest report carried the fencing token of this term.
    pub(super) has_current_token: bool,
    /// One of its reports did, so it accepts no earlier leader any more.
    pub(super) ever_had_current_token: bool,
    /// It reported again without this term's token, though an answer with it had gone out.
    pub(super) stale_token: bool,
    /// Whether commands leave a trace in its reports.
    pub(super) tracker: AckTracker,
}

/// Why and since when a machine is leaving, drained or idle.
#[derive(Debug)]
pub(super) struct Lifecycle {
    /// The cloud has announced that it reclaims the machine.
    pub(super) reclaim_announced: bool,
    /// It is being returned to the cloud.
    pub(super) returning: bool,
    /// The operators' drain that it is under.
    pub(super) drain: Option<Rc<Directive>>,
    /// Since when it has no allocation.
    pub(super) idle_since: Time,
}

/// What its tasks show about its condition.
#[derive(Debug, Default)]
pub(super) struct Health {
    /// It refused a task for which the allocations left room: until then it gets none.
    pub(super) refuses_until: Time,
    /// It fails tasks that succeed elsewhere.
    pub(super) quarantined: bool,
    /// How its run times compare with those of other machines.
    pub(super) speed: SpeedEstimate,
    /// It takes much longer than other machines.
    pub(super) slow: bool,
}

/// Run times on a machine over those expected.
#[derive(Debug)]
pub(super) struct SpeedEstimate {
    /// Above 1: slower than others.
    pub(super) ratio: f64,
    /// Tasks that it was measured on.
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

/// What is, may be or will be on a machine.
#[derive(Debug, Default)]
pub(super) struct ResidentTasks {
    /// What was planned for it, or inherited, and has not been proven to have ended.
    pub(super) allocations: BTreeMap<TaskId, Allocation>,
    /// Listed by the worker, though no allocation names them.
    pub(super) orphans: Vec<OrphanTask>,
    /// Images of its last tasks, the latest last.
    pub(super) cached_images: Vec<Rc<str>>,
}

/// A machine, by its worker's reports and by what was sent there.
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
    /// A machine of which nothing is known yet.
    pub(super) fn new(now: Time) -> Machine {
        Machine {
            identity: Identity::default(),
            liveness: Liveness {
                first_report: None,
                last_heartbeat: None,
                last_answered: None,
                regular: true,
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

    /// Nothing is, may be or will be on it.
    pub fn is_empty(&self) -> bool {
        self.resident.orphans.is_empty() && self.resident.allocations.is_empty()
    }

    /// Its reports come and the answers do not arrive: its worker goes from controller to
    /// controller.
    pub fn rotates_controllers(&self, now: Time) -> bool {
        self.acknowledgement.stale_token
            || self
                .acknowledgement
                .tracker
                .unacknowledged_for_s(now)
                .is_some()
    }

    /// Index of its type among the cluster's machine types.
    pub fn machine_type(&self) -> Option<usize> {
        self.identity.machine_type
    }

    /// Its zone; empty until one is known.
    pub fn zone(&self) -> &str {
        &self.identity.zone
    }

    /// Whether the cloud may reclaim it.
    pub fn is_spot(&self) -> bool {
        self.identity.spot
    }

    /// Where its worker takes direct commands.
    pub fn endpoint(&self) -> Option<SocketAddrV4> {
        self.identity.endpoint
    }

    /// When it last gave a sign of life in this term.
    pub fn last_heartbeat(&self) -> Option<Time> {
        self.liveness.last_heartbeat
    }

    /// Whether the cloud has announced that it reclaims the machine.
    pub fn reclaim_announced(&self) -> bool {
        self.lifecycle.reclaim_announced
    }

    /// The operators' drain that it is under.
    pub fn drain(&self) -> Option<&Rc<Directive>> {
        self.lifecycle.drain.as_ref()
    }

    /// Whether commands leave a trace in its reports.
    pub fn ack_tracker(&self) -> &AckTracker {
        &self.acknowledgement.tracker
    }

    /// Since when it has no allocation.
    pub fn idle_since(&self) -> Time {
        self.lifecycle.idle_since
    }

    /// Whether it fails tasks that succeed elsewhere.
    pub fn is_quarantined(&self) -> bool {
        self.health.quarantined
    }

    /// Whether it takes much longer than other machines.
    pub fn is_slow(&self) -> bool {
        self.health.slow
    }

    /// Its machine type, once it has reported one that the cloud publishes.
    pub(super) fn lookup_type<'a>(
        &self,
        machine_types: &'a [MachineType],
    ) -> Option<&'a MachineType> {
        machine_types.get(self.identity.machine_type?)
    }

    /// Capacity beside what may be on it.
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

    /// Capacity that is not promised either: without what was planned into it.
    pub(super) fn unpromised(&self, machine_types: &[MachineType]) -> Resources {
        let mut free = self.free(machine_types);
        let promised =
            |a: &&Allocation| (a.nominated_at.is_none() || a.reserved) && !a.may_be_on_machine();
        for allocation in self.resident.allocations.values().filter(promised) {
            free.sub(&allocation.resources);
        }
        free
    }

    /// Notes that the image is on the machine, as the latest used.
    pub(super) fn remember_image(&mut self, image: &Rc<str>) {
        let images = &mut self.resident.cached_images;
        images.retain(|cached| cached != image);
        images.push(image.clone());
        if images.len() > MAX_CACHED_IMAGES {
            images.remove(0);
        }
    }
}
