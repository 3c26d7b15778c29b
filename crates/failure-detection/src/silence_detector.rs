//! Silence of machines, judged for all of them together.
//!
//! Machines that share a link fall silent together. A whole group that is overdue is therefore
//! taken for a broken link, and its machines are shielded for a bounded time; a single one is given
//! up soon.

use beamhinge_core::types::{MachineId, Time};
use std::collections::BTreeMap;

/// A group is silent together when this part of it is overdue ...
const MIN_OVERDUE_FRACTION: f64 = 0.4;
/// ... in at least so many machines ...
const MIN_OVERDUE_MACHINES: u32 = 4;
/// ... and this many times as large a part as of all others.
const MIN_RATIO_TO_OTHERS: f64 = 2.0;
/// A group stays suspected until this part of it is heard again.
const RECOVERED_FRACTION: f64 = 0.8;
/// Part of the fleet that may be given up as silent at once.
const REMOVAL_BURST_FRACTION: f64 = 0.1;
/// Part of the fleet by which that grows each second.
const REMOVAL_REFILL_PER_S: f64 = 0.02;
/// Most that may be given up at once in a small fleet, machines.
const MIN_REMOVAL_BURST: f64 = 2.0;
/// Longest time between two assessments for which the removal budget grows, seconds.
const MAX_REFILL_S: f64 = 1e3;

/// Machines that one broken link would silence together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureDomain {
    /// All machines: this controller's own link to them.
    LocalLink,
    /// Machines of one zone, by its number.
    Zone(usize),
    /// Machines of one type, by its number.
    MachineType(usize),
}

/// One machine, as this controller sees it.
#[derive(Clone, Copy, Debug)]
pub struct MachineObservation {
    /// The machine.
    pub id: MachineId,
    /// The zone's number among those of the settings.
    pub zone: usize,
    /// The type's number.
    pub machine_type: usize,
    /// Seconds without a report here; pauses of this process are not counted.
    pub silent_s: f64,
    /// Seconds since a peer heard it.
    pub peer_report_age_s: Option<f64>,
    /// The cloud's list no longer names it, though it must if it were there.
    pub unlisted: bool,
    /// It acknowledges nothing and tries one controller after the other: that peers hear it says
    /// nothing about this controller's own link.
    pub rotates_controllers: bool,
}

impl MachineObservation {
    /// The failure domains that it belongs to, the widest first.
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

/// What is concluded of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It reports, or is not yet overdue.
    Alive,
    /// Overdue, and not yet long enough for any conclusion.
    Overdue,
    /// A peer hears it: it is alive, and this controller's link to it is broken.
    ReachableFromPeer,
    /// Silent like most of its failure domain: taken for a broken link for now.
    Shielded(FailureDomain),
    /// Silent beyond the threshold, but too many others were given up just now.
    RemovalDeferred,
    /// To be given up.
    Dead,
    /// Gone, by the cloud's own list.
    Unlisted,
}

/// This controller's links to the machines, compared with those of its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connectivity {
    /// Machines that report here.
    pub reporting: u32,
    /// Machines that are overdue here.
    pub overdue: u32,
    /// Machines that are overdue here and heard by a peer.
    pub heard_by_peers: u32,
}

impl Connectivity {
    /// Whether peers hear more machines that this controller misses than it hears itself, so that
    /// another controller could do more as leader.
    pub fn reaches_fewer_than_peers(&self) -> bool {
        self.heard_by_peers >= 2 && self.heard_by_peers > self.reporting
    }
}

/// How long silence is tolerated, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct SilenceThresholds {
    /// Silence after which a single machine is given up, seconds.
    pub dead_after_s: f64,
    /// Longest silence of a group that is taken for a broken link, seconds.
    pub max_shield_s: f64,
    /// How long a peer's observation counts, seconds.
    pub max_peer_age_s: f64,
}

/// The outcome of one assessment of the fleet.
#[derive(Debug, Default)]
pub struct FleetAssessment {
    /// One finding for each observation, in the same order.
    pub findings: Vec<(MachineId, Liveness)>,
    /// Which machines are heard here and by peers.
    pub connectivity: Connectivity,
    /// Failure domains that are silent together, and for how long, seconds.
    pub suspected: Vec<(FailureDomain, f64)>,
}

/// Machines of a group, and how many of them are overdue.
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

/// What one pass over the observations counts.
#[derive(Default)]
struct FleetCounts {
    all: OverdueCount,
    domains: BTreeMap<FailureDomain, OverdueCount>,
    connectivity: Connectivity,
}

/// Judges silence. Keeps since when each failure domain is suspected, and a budget of removals.
pub struct SilenceDetector {
    thresholds: SilenceThresholds,
    suspected_since: BTreeMap<FailureDomain, Time>,
    /// Domains that are heard again, and until when their last machines are shielded.
    recovering_until: BTreeMap<FailureDomain, Time>,
    /// Machines that may be given up now.
    removal_budget: f64,
    refilled_at: Option<Time>,
}

impl SilenceDetector {
    /// A detector that suspects nothing yet.
    pub fn new(thresholds: SilenceThresholds) -> SilenceDetector {
        SilenceDetector {
            thresholds,
            suspected_since: BTreeMap::new(),
            recovering_until: BTreeMap::new(),
            removal_budget: 0.0,
            refilled_at: None,
        }
    }

    /// How long a failure domain of such machines has been suspected, seconds; the longest of
    /// them, and none if none is.
    pub fn suspected_for_s(&self, now: Time, zone: usize, machine_type: usize) -> Option<f64> {
        domains(zone, machine_type)
            .into_iter()
            .filter_map(|domain| self.suspected_since.get(&domain))
            .map(|since| now.since(*since))
            .max_by(f64::total_cmp)
    }

    /// Assesses the whole fleet. `overdue_s`: silence from which a machine is overdue, see
    /// [`crate::ReportInterval::overdue_s`].
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
            let heard_by_peer = self.is_heard_by_peer(observation);
            // What the cloud has taken says nothing about links.
            if observation.unlisted && !heard_by_peer {
                continue;
            }
            let connectivity = &mut counts.connectivity;
            if overdue {
                connectivity.overdue += 1;
                connectivity.heard_by_peers +=
                    u32::from(heard_by_peer && !observation.rotates_controllers);
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

    fn is_heard_by_peer(&self, observation: &MachineObservation) -> bool {
        observation
            .peer_report_age_s
            .is_some_and(|age| age <= self.thresholds.max_peer_age_s && age < observation.silent_s)
    }

    /// Decides which failure domains are silent together.
    fn update_suspicions(
        &mut self,
        now: Time,
        all: OverdueCount,
        counts: &BTreeMap<FailureDomain, OverdueCount>,
    ) {
        let mut any_silent = false;
        for (domain, count) in counts {
            let others = all.without(*count);
            // A group that is all there is says nothing beyond the own link.
            let stands_out =
                others.known > 0 && count.fraction() >= others.fraction() * MIN_RATIO_TO_OTHERS;
            let silent = count.is_mostly_overdue() && stands_out;
            any_silent |= silent;
            self.update_suspicion(now, *domain, *count, silent);
        }
        // Where one group explains the silence, the others are judged as usual.
        let own_link_silent = !any_silent && all.is_mostly_overdue();
        if any_silent
            && self
                .suspected_since
                .remove(&FailureDomain::LocalLink)
                .is_some()
        {
            // What was silent with all the others has time to be heard again.
            self.begin_recovery(now, FailureDomain::LocalLink);
        }
        self.update_suspicion(now, FailureDomain::LocalLink, all, own_link_silent);
        self.suspected_since
            .retain(|domain, _| *domain == FailureDomain::LocalLink || counts.contains_key(domain));
    }

    /// Once suspected, a domain stays so until most of it is heard again: while it recovers, its
    /// last machines are not dead yet.
    fn update_suspicion(
        &mut self,
        now: Time,
        domain: FailureDomain,
        count: OverdueCount,
        silent: bool,
    ) {
        if silent {
            self.suspected_since.entry(domain).or_insert(now);
        } else if count.fraction() <= 1.0 - RECOVERED_FRACTION
            && self.suspected_since.remove(&domain).is_some()
        {
            self.begin_recovery(now, domain);
        }
    }

    /// Workers find their way back one after the other: each tries every controller, and waits in
    /// between.
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
            if self.is_heard_by_peer(observation) {
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
        // Dead or cut off: nobody can tell. The wait is bounded by the silence of each machine, so
        // that one which falls silent late has its time too.
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
