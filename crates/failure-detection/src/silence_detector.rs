//! Detects unreachable machines by assessing the whole fleet together.
//!
//! Machines that share a network link become unreachable together. If a large part of a failure
//! domain is overdue, the cause is therefore presumed to be a broken link, and its machines are
//! shielded from removal for a bounded time. A single unreachable machine is presumed dead soon.

use beamhinge_core::types::{MachineId, Time};
use std::collections::BTreeMap;

/// Minimum fraction of overdue machines in a suspected failure domain.
const MIN_OVERDUE_FRACTION: f64 = 0.4;
/// Minimum number of overdue machines in a suspected failure domain.
const MIN_OVERDUE_MACHINES: u32 = 4;
/// Minimum ratio of the overdue fraction in a suspected failure domain to that of all other
/// machines.
const MIN_RATIO_TO_OTHERS: f64 = 2.0;
/// Fraction of a failure domain that must report again before its suspicion ends.
const RECOVERED_FRACTION: f64 = 0.8;
/// Maximum removal budget, as a fraction of the fleet.
const REMOVAL_BURST_FRACTION: f64 = 0.1;
/// Fraction of the fleet by which the removal budget grows each second.
const REMOVAL_REFILL_PER_S: f64 = 0.02;
/// Lower bound of the maximum removal budget, for small fleets, machines.
const MIN_REMOVAL_BURST: f64 = 2.0;
/// Longest time between two assessments for which the removal budget grows, seconds.
const MAX_REFILL_S: f64 = 1e3;

/// A group of machines that one broken network link would make unreachable together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureDomain {
    /// All machines, which share this controller's link.
    LocalLink,
    /// Machines of the zone with this number.
    Zone(usize),
    /// Machines of the type with this number.
    MachineType(usize),
}

/// What this controller knows about one machine.
#[derive(Clone, Copy, Debug)]
pub struct MachineObservation {
    /// The machine's identifier.
    pub id: MachineId,
    /// Number of the machine's zone in the settings.
    pub zone: usize,
    /// Number of the machine's type.
    pub machine_type: usize,
    /// Seconds without a report to this controller; pauses of this process are not counted.
    pub silent_s: f64,
    /// Seconds since a peer announced that the machine reports to it; `None` if no peer has.
    pub peer_report_age_s: Option<f64>,
    /// The cloud's list no longer contains the machine, but would if the machine existed.
    pub unlisted: bool,
    /// The machine acknowledges nothing and its worker contacts one controller after another.
    /// Its reports to peers are therefore no evidence about this controller's link.
    pub rotates_controllers: bool,
}

impl MachineObservation {
    /// The failure domains that the machine belongs to, the widest first.
    fn domains(&self) -> [FailureDomain; 3] {
        domains(self.zone, self.machine_type)
    }
}

fn domains(zone: usize, machine_type: usize) -> [FailureDomain; 3] {
    [
        FailureDomain::LocalLink,
        FailureDomain::Zone(zone),
        FailureDomain::MachineType(machine_type),
    ]
}

/// The finding for one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The machine reports, or is not yet overdue.
    Alive,
    /// The machine is overdue, but not for long enough to be presumed dead.
    Overdue,
    /// The machine reports to a peer: it is alive, but this controller's link to it is broken.
    ReachableFromPeer,
    /// The machine is unreachable like a large part of its failure domain: the cause is presumed to
    /// be a broken link, and the machine is not removed yet.
    Shielded(FailureDomain),
    /// The machine is unreachable beyond the threshold, but the removal budget is used up.
    RemovalDeferred,
    /// The machine is presumed dead and is to be removed.
    Dead,
    /// The machine no longer exists according to the cloud's list.
    Unlisted,
}

/// Number of machines reachable from this controller, compared with its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connectivity {
    /// Machines that report to this controller.
    pub reporting: u32,
    /// Machines that are overdue at this controller.
    pub overdue: u32,
    /// Machines that are overdue at this controller and report to a peer.
    pub heard_by_peers: u32,
}

impl Connectivity {
    /// Whether more machines are overdue here but report to peers than report to this controller,
    /// so that another controller could reach more machines as leader.
    pub fn reaches_fewer_than_peers(&self) -> bool {
        self.heard_by_peers >= 2 && self.heard_by_peers > self.reporting
    }
}

/// Limits on the time without reports, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct SilenceThresholds {
    /// Time without a report after which a single machine is presumed dead, seconds.
    pub dead_after_s: f64,
    /// Longest time without a report for which a machine of a suspected failure domain is shielded
    /// from removal, seconds.
    pub max_shield_s: f64,
    /// How long a peer's observation is valid, seconds.
    pub max_peer_age_s: f64,
}

/// The outcome of one assessment of the fleet.
#[derive(Debug, Default)]
pub struct FleetAssessment {
    /// One finding for each observation, in the order of the observations.
    pub findings: Vec<(MachineId, Liveness)>,
    /// Numbers of machines that report to this controller and to peers.
    pub connectivity: Connectivity,
    /// Failure domains whose link is presumed broken, and for how long, seconds.
    pub suspected: Vec<(FailureDomain, f64)>,
}

/// Number of machines in a group, and number of overdue ones among them.
#[derive(Clone, Copy, Default)]
struct OverdueCount {
    known: u32,
    overdue: u32,
}

impl OverdueCount {
    fn add(&mut self, overdue: bool) {
        self.known += 1;
        self.overdue += u32::from(overdue);
    }

    fn fraction(self) -> f64 {
        f64::from(self.overdue) / f64::from(self.known.max(1))
    }

    fn without(self, other: OverdueCount) -> OverdueCount {
        OverdueCount {
            known: self.known - other.known,
            overdue: self.overdue - other.overdue,
        }
    }

    fn is_mostly_overdue(self) -> bool {
        self.overdue >= MIN_OVERDUE_MACHINES && self.fraction() >= MIN_OVERDUE_FRACTION
    }
}

/// Totals of one pass over the observations.
#[derive(Default)]
struct FleetCounts {
    all: OverdueCount,
    domains: BTreeMap<FailureDomain, OverdueCount>,
    connectivity: Connectivity,
}

/// Decides which machines are presumed dead.
///
/// Keeps the time since which each failure domain has been suspected, and a budget that limits the
/// rate of removals.
pub struct SilenceDetector {
    thresholds: SilenceThresholds,
    suspected_since: BTreeMap<FailureDomain, Time>,
    /// Domains whose machines report again, and the time until which those that do not report yet
    /// stay shielded.
    recovering_until: BTreeMap<FailureDomain, Time>,
    /// Number of machines that may be removed now.
    removal_budget: f64,
    refilled_at: Option<Time>,
}

impl SilenceDetector {
    /// Creates a detector that suspects no failure domain.
    pub fn new(thresholds: SilenceThresholds) -> SilenceDetector {
        SilenceDetector {
            thresholds,
            suspected_since: BTreeMap::new(),
            recovering_until: BTreeMap::new(),
            removal_budget: 0.0,
            refilled_at: None,
        }
    }

    /// How long a failure domain of machines of this zone and type has been suspected, seconds: the
    /// longest time if there are several such domains, `None` if there is none.
    pub fn suspected_for_s(&self, now: Time, zone: usize, machine_type: usize) -> Option<f64> {
        domains(zone, machine_type)
            .into_iter()
            .filter_map(|domain| self.suspected_since.get(&domain))
            .map(|since| now.since(*since))
            .max_by(f64::total_cmp)
    }

    /// Assesses the whole fleet. `overdue_s`: time without a report after which a machine is
    /// overdue, see [`crate::ReportInterval::overdue_s`].
    pub fn assess(
        &mut self,
        now: Time,
        overdue_s: f64,
        observations: &[MachineObservation],
    ) -> FleetAssessment {
        let counts = self.count(overdue_s, observations);
        self.update_suspicions(now, counts.all, &counts.domains);
        self.recovering_until.retain(|_, until| *until > now);
        self.refill_removal_budget(now, counts.all.known);
        let mut findings: Vec<(MachineId, Liveness)> = Vec::new();
        for observation in observations {
            findings.push((observation.id, self.classify(overdue_s, observation)));
        }
        let suspected = self
            .suspected_since
            .iter()
            .map(|(domain, since)| (*domain, now.since(*since)))
            .collect();
        FleetAssessment {
            findings,
            connectivity: counts.connectivity,
            suspected,
        }
    }

    fn count(&self, overdue_s: f64, observations: &[MachineObservation]) -> FleetCounts {
        let mut counts = FleetCounts::default();
        for observation in observations {
            let overdue = observation.silent_s > overdue_s;
            let reports_to_peer = self.reports_to_peer(observation);
            // A machine that the cloud terminated is no evidence about network links.
            if observation.unlisted && !reports_to_peer {
                continue;
            }
            let connectivity = &mut counts.connectivity;
            if overdue {
                connectivity.overdue += 1;
                connectivity.heard_by_peers +=
                    u32::from(reports_to_peer && !observation.rotates_controllers);
            } else {
                connectivity.reporting += 1;
            }
            counts.all.add(overdue);
            let [_, zone, machine_type] = observation.domains();
            counts.domains.entry(zone).or_default().add(overdue);
            counts.domains.entry(machine_type).or_default().add(overdue);
        }
        counts
    }

    fn refill_removal_budget(&mut self, now: Time, known: u32) {
        let known = f64::from(known);
        let max = (known * REMOVAL_BURST_FRACTION).max(MIN_REMOVAL_BURST);
        let elapsed_s = self.refilled_at.map_or(f64::MAX, |at| now.since(at));
        let refill = elapsed_s.min(MAX_REFILL_S) * known * REMOVAL_REFILL_PER_S;
        self.removal_budget = (self.removal_budget + refill).min(max);
        self.refilled_at = Some(now);
    }

    fn reports_to_peer(&self, observation: &MachineObservation) -> bool {
        observation
            .peer_report_age_s
            .is_some_and(|age| age <= self.thresholds.max_peer_age_s && age < observation.silent_s)
    }

    /// Decides which failure domains are suspected. A zone or machine type must meet all three of
    /// [`MIN_OVERDUE_FRACTION`], [`MIN_OVERDUE_MACHINES`] and [`MIN_RATIO_TO_OTHERS`], the local
    /// link only the first two.
    fn update_suspicions(
        &mut self,
        now: Time,
        all: OverdueCount,
        counts: &BTreeMap<FailureDomain, OverdueCount>,
    ) {
        let mut any_suspect = false;
        for (domain, count) in counts {
            let others = all.without(*count);
            // Missing reports of a domain that contains the whole fleet give no more information
            // than those of the local link.
            let stands_out =
                others.known > 0 && count.fraction() >= others.fraction() * MIN_RATIO_TO_OTHERS;
            let suspect = count.is_mostly_overdue() && stands_out;
            any_suspect |= suspect;
            self.update_suspicion(now, *domain, *count, suspect);
        }
        // If one domain explains the missing reports, the local link is not suspected, and the
        // machines outside that domain are assessed as usual.
        let local_link_suspect = !any_suspect && all.is_mostly_overdue();
        if any_suspect
            && self
                .suspected_since
                .remove(&FailureDomain::LocalLink)
                .is_some()
        {
            // Overdue machines outside the suspected domains get time to report again.
            self.begin_recovery(now, FailureDomain::LocalLink);
        }
        self.update_suspicion(now, FailureDomain::LocalLink, all, local_link_suspect);
        self.suspected_since
            .retain(|domain, _| *domain == FailureDomain::LocalLink || counts.contains_key(domain));
    }

    /// Starts or ends the suspicion of a domain. A suspected domain stays suspected until most of
    /// its machines report again; during the recovery that follows, the remaining machines are not
    /// presumed dead.
    fn update_suspicion(
        &mut self,
        now: Time,
        domain: FailureDomain,
        count: OverdueCount,
        suspect: bool,
    ) {
        if suspect {
            self.suspected_since.entry(domain).or_insert(now);
        } else if count.fraction() <= 1.0 - RECOVERED_FRACTION
            && self.suspected_since.remove(&domain).is_some()
        {
            self.begin_recovery(now, domain);
        }
    }

    /// Starts the recovery of a domain. Its workers reconnect one after another, because each
    /// contacts all controllers in turn and waits between attempts.
    fn begin_recovery(&mut self, now: Time, domain: FailureDomain) {
        self.recovering_until
            .insert(domain, now.plus(self.thresholds.dead_after_s));
    }

    fn is_shielding(&self, domain: &FailureDomain) -> bool {
        self.suspected_since.contains_key(domain) || self.recovering_until.contains_key(domain)
    }

    fn classify(&mut self, overdue_s: f64, observation: &MachineObservation) -> Liveness {
        let silent_s = observation.silent_s;
        if silent_s > overdue_s {
            if self.reports_to_peer(observation) {
                return Liveness::ReachableFromPeer;
            }
            if observation.unlisted {
                return Liveness::Unlisted;
            }
        }
        if silent_s <= overdue_s {
            return Liveness::Alive;
        }
        if silent_s <= self.thresholds.dead_after_s {
            return Liveness::Overdue;
        }
        let shield = observation
            .domains()
            .into_iter()
            .find(|domain| self.is_shielding(domain));
        // A dead machine cannot be distinguished from one behind a network partition. The limit
        // applies to each machine's time without reports, so one that becomes unreachable late is
        // shielded for as long as the others.
        if let Some(domain) = shield.filter(|_| silent_s <= self.thresholds.max_shield_s) {
            return Liveness::Shielded(domain);
        }
        if self.removal_budget < 1.0 {
            return Liveness::RemovalDeferred;
        }
        self.removal_budget -= 1.0;
        Liveness::Dead
    }
}

#[cfg(test)]
mod tests;
