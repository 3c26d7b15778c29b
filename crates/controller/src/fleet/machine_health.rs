//! Detects machines that failed, never booted, left the cloud's list or became unreachable, and
//! marks them for return.

use super::instance::{Instance, InstanceStatus, ScaleInReason, ScaleInState};
use super::term::LeaderTerm;
use super::{silence_thresholds, LivenessInputs, TickContext};
use crate::scheduler::{Machine, Scheduler};
use crate::split::{MachineClass, MachineType};
use beamhinge_core::settings::Settings;
use beamhinge_core::types::{MachineId, Time};
#[cfg(feature = "faults")]
use beamhinge_failure_detection::FleetAssessment;
use beamhinge_failure_detection::{
    Connectivity, FailureDomain, Liveness, MachineObservation, SilenceDetector, SilenceThresholds,
};
use std::collections::BTreeMap;

/// Number of consecutive complete lists that must omit a machine before it counts as removed.
const UNLISTED_AFTER_PASSES: u32 = 2;
/// Grace period after a failover in which machines find the new leader, seconds.
const FAILOVER_GRACE_S: f64 = 2.0;
/// Time without a report or an acknowledgement after which a machine is presumed dead in any case,
/// in worker leases.
const PRESUMED_DEAD_LEASES: f64 = 4.0;
/// Maximum age of the last report of a machine that is adopted without having been listed, in
/// report intervals.
const MAX_ADOPTION_REPORT_AGE_INTERVALS: f64 = 3.0;

/// Conclusions drawn from machines that do not report.
pub(super) struct MachineHealth {
    detector: SilenceDetector,
    /// Reachability of the machines, as of the last assessment.
    pub(super) connectivity: Connectivity,
    /// Machines that are unreachable or acknowledge nothing but are not treated as lost, with the
    /// time for which their failure domain has been suspected or acknowledgements have been
    /// missing, seconds.
    pub(super) shielded: BTreeMap<MachineId, f64>,
    /// Failure domains suspected to be behind a broken link, and for how long, seconds.
    suspected: Vec<(FailureDomain, f64)>,
}

impl MachineHealth {
    pub(super) fn new(thresholds: SilenceThresholds) -> MachineHealth {
        MachineHealth {
            detector: SilenceDetector::new(thresholds),
            connectivity: Connectivity::default(),
            shielded: BTreeMap::new(),
            suspected: Vec::new(),
        }
    }

    /// Whether this controller's local link to the machines is suspected to be broken.
    pub(super) fn is_local_link_suspected(&self) -> bool {
        self.suspected
            .iter()
            .any(|(domain, _)| *domain == FailureDomain::LocalLink)
    }

    /// Logs a failure domain once when it becomes suspected and once when it recovers.
    fn update_suspected(
        &mut self,
        settings: &Settings,
        machine_types: &[MachineType],
        suspected: Vec<(FailureDomain, f64)>,
    ) {
        let contains_domain = |list: &[(FailureDomain, f64)], domain: &FailureDomain| {
            list.iter().any(|(other, _)| other == domain)
        };
        for (domain, _) in &suspected {
            if !contains_domain(&self.suspected, domain) {
                let domain = domain_name(*domain, settings, machine_types);
                tracing::warn!(%domain, "suspecting broken link: failure domain is unreachable");
            }
        }
        for (domain, elapsed_s) in &self.suspected {
            if !contains_domain(&suspected, domain) {
                let domain = domain_name(*domain, settings, machine_types);
                tracing::info!(%domain, elapsed_s, "link recovered: failure domain reports again");
            }
        }
        self.suspected = suspected;
    }
}

/// Name of a failure domain in log lines.
fn domain_name(
    domain: FailureDomain,
    settings: &Settings,
    machine_types: &[MachineType],
) -> String {
    match domain {
        FailureDomain::LocalLink => "local link".to_string(),
        FailureDomain::Zone(index) => {
            let zones = &settings.params.zones;
            format!("zone {}", zones.get(index).map_or("?", String::as_str))
        }
        FailureDomain::MachineType(index) => {
            let label = machine_types.get(index).map_or("?", |t| t.label.as_str());
            format!("machine type {label}")
        }
    }
}

/// Injected fault, a former defect: every unreachable machine counts as dead while fewer than half
/// of the machines are unreachable.
#[cfg(feature = "faults")]
fn assess_without_shields(
    observations: &[MachineObservation],
    dead_after_s: f64,
) -> FleetAssessment {
    let is_unreachable = |o: &&MachineObservation| o.silent_s > dead_after_s;
    let unreachable_minority =
        observations.iter().filter(is_unreachable).count() * 2 < observations.len();
    let classify = |o: &MachineObservation| {
        if unreachable_minority && is_unreachable(&o) {
            Liveness::Dead
        } else {
            Liveness::Alive
        }
    };
    FleetAssessment {
        findings: observations.iter().map(|o| (o.id, classify(o))).collect(),
        ..FleetAssessment::default()
    }
}

impl LeaderTerm {
    /// Assesses all machines, marks lost machines for return, and adopts machines that report
    /// although no list names them yet.
    pub(super) fn check_machines(
        &mut self,
        context: &TickContext,
        machine_types: &[MachineType],
        scheduler: &mut Scheduler,
    ) {
        let now = context.now;
        let settings = context.settings;
        let observations = self.observe_machines(context, machine_types, scheduler);
        let assessment = self
            .health
            .detector
            .assess(now, scheduler.overdue_s(), &observations);
        #[cfg(feature = "faults")]
        let assessment = if self.faults.silence_proves_death {
            assess_without_shields(&observations, silence_thresholds(settings).dead_after_s)
        } else {
            assessment
        };
        self.health.connectivity = assessment.connectivity;
        self.health
            .update_suspected(settings, machine_types, assessment.suspected);
        let lease_s = settings.params.workers.lease_s;
        let mut lost: BTreeMap<MachineId, ScaleInReason> = BTreeMap::new();
        self.health.shielded.clear();
        for (observation, (_, liveness)) in observations.iter().zip(&assessment.findings) {
            let lost_by_liveness = self.apply_liveness(now, observation, *liveness);
            let lost_by_acknowledgement =
                self.check_acknowledgements(now, observation.id, lease_s, scheduler);
            if let Some(reason) = lost_by_acknowledgement.or(lost_by_liveness) {
                lost.insert(observation.id, reason);
            }
        }
        self.scale_in_unusable(now, lease_s, machine_types, &lost, scheduler);
        self.adopt_unlisted(now, settings.params.workers.report_s, scheduler);
    }

    /// Collects the observations of all machines that have been up and are not being returned.
    fn observe_machines(
        &mut self,
        context: &TickContext,
        machine_types: &[MachineType],
        scheduler: &mut Scheduler,
    ) -> Vec<MachineObservation> {
        let now = context.now;
        let dead_after_s = silence_thresholds(context.settings).dead_after_s;
        let mut observations = Vec::new();
        for (id, instance) in &mut self.instances {
            let last_heartbeat = scheduler.machine(*id).and_then(Machine::last_heartbeat);
            // The machine reports again: cancel its return, which is possible until the call
            // is sent.
            if instance.scale_in == ScaleInState::PendingUnreachable
                && last_heartbeat.is_some_and(|at| now.since(at) < dead_after_s / 2.0)
            {
                tracing::info!(machine = %id, "scale-in cancelled: machine reports again");
                instance.scale_in = ScaleInState::Retained;
                scheduler.cancel_return(*id);
            }
            if !instance.is_retained() {
                continue;
            }
            let machine = scheduler.machine(*id);
            let silent_since = match last_heartbeat {
                Some(at) => at,
                // After a failover, a machine that was up and has not reported to this leader
                // counts as unreachable from the end of a grace period on, which begins with the
                // leadership acquisition and allows the machine to find the leader.
                None if instance.was_up(machine) => scheduler
                    .acquired_at()
                    .plus(FAILOVER_GRACE_S)
                    .max(instance.rented_at.plus(instance.boot_s(machine_types))),
                None => continue,
            };
            observations.push(observe(context, *id, instance, machine, silent_since));
        }
        observations
    }

    /// Records the machine as shielded, or returns the reason why it is lost.
    fn apply_liveness(
        &mut self,
        now: Time,
        observation: &MachineObservation,
        liveness: Liveness,
    ) -> Option<ScaleInReason> {
        match liveness {
            Liveness::Dead => Some(ScaleInReason::Unreachable),
            Liveness::Unlisted => Some(ScaleInReason::Unlisted),
            Liveness::Shielded(_) | Liveness::ReachableFromPeer | Liveness::RemovalDeferred => {
                let suspected_s = self.health.detector.suspected_for_s(
                    now,
                    observation.zone,
                    observation.machine_type,
                );
                self.health
                    .shielded
                    .insert(observation.id, suspected_s.unwrap_or(0.0));
                None
            }
            Liveness::Alive | Liveness::Overdue => None,
        }
    }

    /// Handles a machine that reports but acknowledges nothing like one behind a broken link: it is
    /// shielded, so that replacements are rented gradually, and it is lost once the condition has
    /// lasted [`PRESUMED_DEAD_LEASES`]. An owned machine stays shielded.
    fn check_acknowledgements(
        &mut self,
        now: Time,
        id: MachineId,
        lease_s: f64,
        scheduler: &Scheduler,
    ) -> Option<ScaleInReason> {
        let unacknowledged_for_s = scheduler
            .machine(id)
            .and_then(|m| m.ack_tracker().unacknowledged_for_s(now))?;
        if unacknowledged_for_s > lease_s * PRESUMED_DEAD_LEASES
            && !self.instances.get(&id).is_some_and(|i| i.owned)
        {
            return Some(ScaleInReason::Unacknowledging);
        }
        self.health.shielded.insert(id, unacknowledged_for_s);
        None
    }

    /// Marks machines for return that failed, are quarantined, never booted or are lost.
    fn scale_in_unusable(
        &mut self,
        now: Time,
        lease_s: f64,
        machine_types: &[MachineType],
        lost: &BTreeMap<MachineId, ScaleInReason>,
        scheduler: &mut Scheduler,
    ) {
        let leader_for_s = now.since(self.began_at);
        let mut marked = Vec::new();
        for (id, instance) in &mut self.instances {
            if !instance.is_retained() {
                continue;
            }
            let machine = scheduler.machine(*id);
            let boot_s = instance.boot_s(machine_types);
            let never_reported = machine.and_then(Machine::last_heartbeat).is_none();
            let boot_overdue = now.since(instance.rented_at) > boot_s * 1.9 + 5.0
                && leader_for_s > boot_s * 0.5 + lease_s;
            let reason = if instance.status == InstanceStatus::Failed {
                ScaleInReason::Failed
            } else if machine.is_some_and(Machine::is_quarantined) {
                ScaleInReason::Quarantined
            } else if never_reported && !instance.was_up(machine) && boot_overdue {
                ScaleInReason::NeverBooted
            // Requires lists that were read and omit the machine, not only elapsed time: a leader
            // that could not reach the cloud for a while returned every machine that had not
            // reported to it.
            } else if never_reported && instance.missed_listings >= UNLISTED_AFTER_PASSES {
                ScaleInReason::NeverListed
            } else if let Some(reason) = lost.get(id) {
                *reason
            } else {
                continue;
            };
            tracing::info!(machine = %id, %reason, "scaling in machine");
            instance.scale_in = reason.pending_state();
            marked.push((*id, reason));
        }
        for (id, reason) in marked {
            scheduler.begin_return(id, reason.as_str());
        }
    }

    /// Adopts machines that report although no list and no rental has named them yet.
    fn adopt_unlisted(&mut self, now: Time, report_s: f64, scheduler: &Scheduler) {
        for (id, machine) in scheduler.machines() {
            let known = self.instances.contains_key(id) || self.released.contains_key(id);
            let reports = machine
                .last_heartbeat()
                .is_some_and(|at| now.since(at) < report_s * MAX_ADOPTION_REPORT_AGE_INTERVALS);
            let Some(machine_type) = machine.machine_type().filter(|_| !known && reports) else {
                continue;
            };
            let class = MachineClass {
                machine_type,
                spot: machine.is_spot(),
            };
            let instance = Instance {
                status: InstanceStatus::Running,
                endpoint: machine.endpoint(),
                ..Instance::unlisted(class, machine.zone().to_string(), now)
            };
            self.instances.insert(*id, instance);
        }
    }
}

/// The observation of a machine that has not reported since `silent_since`.
fn observe(
    context: &TickContext,
    id: MachineId,
    instance: &Instance,
    machine: Option<&Machine>,
    silent_since: Time,
) -> MachineObservation {
    let TickContext { now, settings, .. } = *context;
    let LivenessInputs {
        pause_detector,
        peer_observations,
        ..
    } = context.liveness;
    let mut silent_s = now.since(pause_detector.missing_reports_count_from(silent_since));
    // An owned machine is not rented by the service: it is returned only after the longer time
    // after which a machine is presumed dead in any case.
    if instance.owned && silent_s < settings.params.workers.lease_s * PRESUMED_DEAD_LEASES {
        silent_s = silent_s.min(silence_thresholds(settings).dead_after_s);
    }
    let zones = &settings.params.zones;
    MachineObservation {
        id,
        zone: zones
            .iter()
            .position(|z| *z == instance.zone)
            .unwrap_or(zones.len()),
        machine_type: instance.machine_type,
        silent_s,
        peer_report_age_s: peer_observations.age_s(now, id),
        unlisted: instance.missed_listings >= UNLISTED_AFTER_PASSES,
        rotates_controllers: machine.is_some_and(|m| m.rotates_controllers(now)),
    }
}
