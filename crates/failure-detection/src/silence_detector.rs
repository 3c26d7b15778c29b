//! Silence judged for machines together.

use beamhinge_core::types::{MachineId, Time};
use std::collections::BTreeMap;

/// What a group is: machines that one broken link would silence together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FailureDomain {
    /// All machines: our own link to them.
    OwnLink,
    /// Machines of one zone.
    Zone(usize),
    /// Machines of one type.
    MachineType(usize),
}

/// One machine, as this controller sees it.
#[derive(Clone, Copy, Debug)]
pub struct MachineObservation {
    pub id: MachineId,
    /// The zone's number among those of the settings.
    pub zone: usize,
    /// The type's number.
    pub machine_type: usize,
    /// Seconds without a report here, own absence not counted.
    pub silent_s: f64,
    /// Seconds since a peer heard it.
    pub peer_heard_age_s: Option<f64>,
    /// The cloud's list no longer names it, though it must if it were there.
    pub unlisted: bool,
    /// It takes no answers and tries one controller after the other: that peers hear
    /// it says nothing of our own link.
    pub rotates_controllers: bool,
}

/// What is concluded of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// Heard, or not yet overdue.
    Alive,
    /// Overdue, and not yet long enough for anything.
    Overdue,
    /// A peer hears it: it lives, and our link to it is broken.
    HeardByPeer,
    /// Silent like most of its group: taken for a broken link for now.
    Shielded(FailureDomain),
    /// Silent beyond the limit, but others were given up just now: its turn comes.
    RemovalDeferred,
    /// To be given back.
    Dead,
    /// Gone, by the cloud's own word.
    Unlisted,
}

/// Our own link, by what is heard here and elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connectivity {
    pub reporting: u32,
    pub overdue: u32,
    /// Overdue here, and heard by a peer.
    pub heard_by_peers: u32,
}

impl Connectivity {
    /// Another controller could do more: it hears more machines than we do.
    pub fn reaches_fewer_than_peers(&self) -> bool {
        self.heard_by_peers >= 2 && self.heard_by_peers > self.reporting
    }
}

/// Times and shares, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct SilenceThresholds {
    /// Silence after which a single machine is given back, seconds.
    pub dead_after_s: f64,
    /// Longest that a group's silence is taken for a broken link, seconds.
    pub max_shield_s: f64,
    /// How long a peer's word counts, seconds.
    pub max_peer_age_s: f64,
}

/// The outcome of one look at the fleet.
#[derive(Debug, Default)]
pub struct FleetAssessment {
    pub findings: Vec<(MachineId, Liveness)>,
    pub connectivity: Connectivity,
    /// Groups that are silent together, and for how long, seconds.
    pub suspected: Vec<(FailureDomain, f64)>,
}

/// A group is silent together when this part of it is overdue ...
const MIN_OVERDUE_FRACTION: f64 = 0.4;
/// ... in at least so many machines ...
const MIN_OVERDUE_MACHINES: u32 = 4;
/// ... and this many times as large a part as of all others.
const MIN_RATIO_TO_OTHERS: f64 = 2.0;
/// A group stays suspected until this part of it is heard again.
const RECOVERED_FRACTION: f64 = 0.8;
/// Part of the fleet that may be given back as silent at once.
const REMOVAL_BURST_FRACTION: f64 = 0.1;
/// Part of the fleet by which that grows each second.
const REMOVAL_REFILL_PER_S: f64 = 0.02;

#[derive(Clone, Copy, Default)]
struct OverdueCount {
    known: u32,
    overdue: u32,
}

impl OverdueCount {
    fn part(self) -> f64 {
        f64::from(self.overdue) / f64::from(self.known.max(1))
    }
    fn without(self, other: OverdueCount) -> OverdueCount {
        OverdueCount {
            known: self.known - other.known,
            overdue: self.overdue - other.overdue,
        }
    }
}

/// Judges silence; keeps since when each group is suspected, and a budget of
/// returns.
pub struct SilenceDetector {
    silence_thresholds: SilenceThresholds,
    began: BTreeMap<FailureDomain, Time>,
    /// Groups that are heard again, and until when their last ones have time.
    back: BTreeMap<FailureDomain, Time>,
    budget: f64,
    filled: Option<Time>,
}

impl SilenceDetector {
    pub fn new(silence_thresholds: SilenceThresholds) -> SilenceDetector {
        SilenceDetector {
            silence_thresholds,
            began: BTreeMap::new(),
            back: BTreeMap::new(),
            budget: 0.0,
            filled: None,
        }
    }

    /// Since when a machine's group is suspected, seconds; the longest of them.
    pub fn suspected_for_s(&self, now: Time, zone: usize, kind: usize) -> Option<f64> {
        let of = |g| self.began.get(&g).map(|at| now.since(*at));
        [
            FailureDomain::OwnLink,
            FailureDomain::Zone(zone),
            FailureDomain::MachineType(kind),
        ]
        .into_iter()
        .filter_map(of)
        .max_by(f64::total_cmp)
    }

    /// Looks at the whole fleet. `overdue_s`: silence from which a machine is
    /// overdue, see [`crate::ReportInterval::overdue_s`].
    pub fn assess(
        &mut self,
        now: Time,
        overdue_s: f64,
        seen: &[MachineObservation],
    ) -> FleetAssessment {
        let mut all = OverdueCount::default();
        let mut groups: BTreeMap<FailureDomain, OverdueCount> = BTreeMap::new();
        let mut link = Connectivity::default();
        for s in seen {
            let overdue = s.silent_s > overdue_s;
            let elsewhere = self.heard_by_peer(s);
            // What the cloud has taken says nothing about links.
            if s.unlisted && !elsewhere {
                continue;
            }
            match overdue {
                true => link.overdue += 1,
                false => link.reporting += 1,
            }
            link.heard_by_peers += u32::from(overdue && elsewhere && !s.rotates_controllers);
            let of = [
                &mut all,
                groups.entry(FailureDomain::Zone(s.zone)).or_default(),
            ];
            for c in of {
                c.known += 1;
                c.overdue += u32::from(overdue);
            }
            let kind = groups
                .entry(FailureDomain::MachineType(s.machine_type))
                .or_default();
            kind.known += 1;
            kind.overdue += u32::from(overdue);
        }
        self.suspect(now, all, &groups);
        self.back.retain(|_, until| *until > now);
        let most = (f64::from(all.known) * REMOVAL_BURST_FRACTION).max(2.0);
        let passed = self.filled.map_or(f64::MAX, |at| now.since(at));
        self.budget =
            (self.budget + passed.min(1e3) * f64::from(all.known) * REMOVAL_REFILL_PER_S).min(most);
        self.filled = Some(now);
        let mut findings: Vec<(MachineId, Liveness)> = Vec::new();
        for s in seen {
            let finding = self.classify(overdue_s, s);
            findings.push((s.id, finding));
        }
        let groups = self
            .began
            .iter()
            .map(|(g, at)| (*g, now.since(*at)))
            .collect();
        FleetAssessment {
            findings,
            connectivity: link,
            suspected: groups,
        }
    }

    fn heard_by_peer(&self, s: &MachineObservation) -> bool {
        s.peer_heard_age_s
            .is_some_and(|e| e <= self.silence_thresholds.max_peer_age_s && e < s.silent_s)
    }

    /// Which groups are silent together.
    fn suspect(
        &mut self,
        now: Time,
        all: OverdueCount,
        groups: &BTreeMap<FailureDomain, OverdueCount>,
    ) {
        let mut apart = false;
        for (group, count) in groups {
            let rest = all.without(*count);
            // A group that is all there is says nothing beyond `Ours`.
            let more = rest.known > 0 && count.part() >= rest.part() * MIN_RATIO_TO_OTHERS;
            let silent = count.overdue >= MIN_OVERDUE_MACHINES
                && count.part() >= MIN_OVERDUE_FRACTION
                && more;
            apart |= silent;
            self.update_domain(now, *group, *count, silent);
        }
        // Where one group explains it, the others are judged as ever.
        let wide =
            !apart && all.overdue >= MIN_OVERDUE_MACHINES && all.part() >= MIN_OVERDUE_FRACTION;
        if apart && self.began.remove(&FailureDomain::OwnLink).is_some() {
            // What was silent with all the others has the time of stragglers.
            self.back.insert(
                FailureDomain::OwnLink,
                now.plus(self.silence_thresholds.dead_after_s),
            );
        }
        self.update_domain(now, FailureDomain::OwnLink, all, wide);
        self.began
            .retain(|g, _| *g == FailureDomain::OwnLink || groups.contains_key(g));
    }

    /// Once suspected, a group stays so until most of it is heard again: while
    /// it comes back, the last are not yet dead.
    fn update_domain(
        &mut self,
        now: Time,
        group: FailureDomain,
        count: OverdueCount,
        silent: bool,
    ) {
        if silent {
            self.began.entry(group).or_insert(now);
        } else if count.part() <= 1.0 - RECOVERED_FRACTION && self.began.remove(&group).is_some() {
            // Workers find their way back one after the other: each tries every
            // controller, and waits in between.
            self.back
                .insert(group, now.plus(self.silence_thresholds.dead_after_s));
        }
    }

    fn classify(&mut self, overdue_s: f64, s: &MachineObservation) -> Liveness {
        if self.heard_by_peer(s) && s.silent_s > overdue_s {
            return Liveness::HeardByPeer;
        }
        if s.unlisted && s.silent_s > overdue_s {
            return Liveness::Unlisted;
        }
        if s.silent_s <= overdue_s {
            return Liveness::Alive;
        }
        if s.silent_s <= self.silence_thresholds.dead_after_s {
            return Liveness::Overdue;
        }
        let shield = [
            FailureDomain::OwnLink,
            FailureDomain::Zone(s.zone),
            FailureDomain::MachineType(s.machine_type),
        ]
        .into_iter()
        .find(|g| self.began.contains_key(g) || self.back.contains_key(g));
        // Dead or cut: nobody can tell. The wait is bounded, by the silence of
        // each machine, so that one which falls silent late has its time too.
        if let Some(group) = shield.filter(|_| s.silent_s <= self.silence_thresholds.max_shield_s) {
            return Liveness::Shielded(group);
        }
        if self.budget < 1.0 {
            return Liveness::RemovalDeferred;
        }
        self.budget -= 1.0;
        Liveness::Dead
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OVERDUE_S: f64 = 7.0;

    fn silence_thresholds() -> SilenceThresholds {
        SilenceThresholds {
            dead_after_s: 15.0,
            max_shield_s: 106.0,
            max_peer_age_s: 8.0,
        }
    }

    fn at(s: f64) -> Time {
        Time::default().plus(100.0 + s)
    }

    /// `n` machines, alternating over two zones and kinds.
    fn fleet(n: u32, quiet: impl Fn(u32) -> f64) -> Vec<MachineObservation> {
        (0..n)
            .map(|i| MachineObservation {
                id: MachineId::parse(&format!("n-{i:06}")).expect("a name"),
                zone: (i % 2) as usize,
                machine_type: (i / 2 % 2) as usize,
                silent_s: quiet(i),
                peer_heard_age_s: None,
                unlisted: false,
                rotates_controllers: false,
            })
            .collect()
    }

    fn count(look: &FleetAssessment, want: Liveness) -> usize {
        look.findings.iter().filter(|(_, f)| *f == want).count()
    }

    #[test]
    fn one_silent_machine_is_returned_as_soon_as_ever() {
        let mut s = SilenceDetector::new(silence_thresholds());
        let look = s.assess(
            at(0.0),
            OVERDUE_S,
            &fleet(500, |i| if i == 7 { 15.1 } else { 2.0 }),
        );
        assert_eq!(count(&look, Liveness::Dead), 1);
        assert!(look.suspected.is_empty());
    }

    /// Machines cross the limit one after another, as their reports are spread
    /// over a period: half of a fleet was returned before most were silent.
    #[test]
    fn a_silent_zone_is_a_broken_link_and_costs_nothing() {
        let mut s = SilenceDetector::new(silence_thresholds());
        let mut returned = 0;
        // Zone 1 is cut from 0 s to 51 s; last reports are spread over 5 s.
        for step in 0..300 {
            let now = f64::from(step) * 0.2;
            let quiet = |i: u32| match i % 2 {
                1 if now < 51.0 => now + f64::from(i % 50) / 10.0,
                _ => f64::from(i % 50) / 10.0,
            };
            let look = s.assess(at(now), OVERDUE_S, &fleet(600, quiet));
            returned += count(&look, Liveness::Dead);
            if now > 20.0 && now < 50.0 {
                assert_eq!(look.suspected.len(), 1, "{:?}", look.suspected);
                assert_eq!(
                    count(&look, Liveness::Shielded(FailureDomain::Zone(1))),
                    300
                );
            }
        }
        assert_eq!(returned, 0);
        assert!(
            s.suspected_for_s(at(60.0), 1, 0).is_none(),
            "heard again, forgotten"
        );
    }

    #[test]
    fn a_zone_that_stays_silent_is_returned_in_the_end_and_not_at_once() {
        let mut s = SilenceDetector::new(silence_thresholds());
        let mut back = std::collections::BTreeSet::new();
        let mut first = None;
        for step in 0..800 {
            let now = f64::from(step) * 0.2;
            let all = fleet(600, |i| if i % 2 == 1 { now } else { 1.0 });
            let rest: Vec<MachineObservation> =
                all.into_iter().filter(|m| !back.contains(&m.id)).collect();
            let look = s.assess(at(now), OVERDUE_S, &rest);
            let silent = look.findings.iter().filter(|(_, f)| *f == Liveness::Dead);
            let before = back.len();
            back.extend(silent.map(|(id, _)| *id));
            assert!(back.len() - before <= 61, "a tenth of the fleet at once");
            if !back.is_empty() {
                first.get_or_insert(now);
            }
        }
        assert!(first.is_some_and(|t| t > 100.0 && t < 110.0), "{first:?}");
        assert_eq!(back.len(), 300);
    }

    /// Guards against giving back the last of a zone that is coming back.
    #[test]
    fn the_last_to_come_back_have_time() {
        let mut s = SilenceDetector::new(silence_thresholds());
        let zone = |back: u32| move |i: u32| if i % 2 == 1 && i > back { 30.0 } else { 1.0 };
        s.assess(at(0.0), OVERDUE_S, &fleet(200, zone(0)));
        let look = s.assess(at(1.0), OVERDUE_S, &fleet(200, zone(180)));
        assert!(look.suspected.is_empty());
        assert_eq!(count(&look, Liveness::Dead), 0);
        let look = s.assess(at(17.0), OVERDUE_S, &fleet(200, zone(180)));
        assert_eq!(count(&look, Liveness::Dead), 10, "not for ever");
    }

    /// Guards against giving back the rest of a fleet at the moment when one zone
    /// begins to explain most of its silence (day-78-9: nine machines).
    #[test]
    fn when_a_zone_explains_it_the_others_still_have_time() {
        let mut s = SilenceDetector::new(silence_thresholds());
        s.assess(at(0.0), OVERDUE_S, &fleet(100, |_| 20.0));
        let mostly = |i: u32| if i % 2 == 1 || i < 20 { 20.0 } else { 1.0 };
        let look = s.assess(at(1.0), OVERDUE_S, &fleet(100, mostly));
        assert_eq!(
            look.suspected.first().map(|g| g.0),
            Some(FailureDomain::Zone(1))
        );
        assert_eq!(count(&look, Liveness::Dead), 0);
    }

    #[test]
    fn a_tenth_of_the_fleet_that_dies_is_seen_within_seconds() {
        let mut s = SilenceDetector::new(silence_thresholds());
        let mut back = std::collections::BTreeSet::new();
        let mut last = 0.0;
        for step in 0..200 {
            let now = f64::from(step) * 0.2;
            let all = fleet(900, |i| if i % 8 == 0 { now } else { 1.0 });
            let rest: Vec<MachineObservation> =
                all.into_iter().filter(|m| !back.contains(&m.id)).collect();
            for (id, f) in s.assess(at(now), OVERDUE_S, &rest).findings {
                if f == Liveness::Dead && back.insert(id) {
                    last = now;
                }
            }
        }
        assert_eq!(back.len(), 113);
        assert!(last < 18.0, "{last}");
    }

    #[test]
    fn what_peers_hear_is_alive_and_more_of_it_moves_the_lead() {
        let mut s = SilenceDetector::new(silence_thresholds());
        let mut all = fleet(100, |_| 20.0);
        for m in all.iter_mut().take(60) {
            m.peer_heard_age_s = Some(1.0);
        }
        let look = s.assess(at(0.0), OVERDUE_S, &all);
        assert_eq!(count(&look, Liveness::HeardByPeer), 60);
        assert_eq!(count(&look, Liveness::Dead), 0);
        assert!(look.connectivity.reaches_fewer_than_peers());
        // A few that are new and try everybody move nothing.
        let mut all = fleet(100, |i| if i < 3 { 20.0 } else { 1.0 });
        all.iter_mut()
            .take(3)
            .for_each(|m| m.peer_heard_age_s = Some(1.0));
        assert!(!s
            .assess(at(9.0), OVERDUE_S, &all)
            .connectivity
            .reaches_fewer_than_peers());
        // Those that are answered by nobody go round all controllers.
        let mut all = fleet(100, |_| 20.0);
        all.iter_mut()
            .for_each(|m| (m.peer_heard_age_s, m.rotates_controllers) = (Some(1.0), true));
        assert!(!s
            .assess(at(9.5), OVERDUE_S, &all)
            .connectivity
            .reaches_fewer_than_peers());
        // An old word is none.
        let mut all = fleet(4, |_| 20.0);
        all.iter_mut().for_each(|m| m.peer_heard_age_s = Some(9.0));
        assert_eq!(
            s.assess(at(30.0), OVERDUE_S, &all)
                .connectivity
                .heard_by_peers,
            0
        );
    }

    #[test]
    fn half_of_a_zone_dead_and_half_cut_is_told_apart_by_the_list() {
        let mut s = SilenceDetector::new(silence_thresholds());
        let mut all = fleet(400, |i| if i % 2 == 1 { 20.0 } else { 1.0 });
        for m in all.iter_mut().filter(|m| m.id.number() % 4 == 1) {
            m.unlisted = true;
        }
        let look = s.assess(at(0.0), OVERDUE_S, &all);
        assert_eq!(count(&look, Liveness::Unlisted), 100);
        assert_eq!(
            count(&look, Liveness::Shielded(FailureDomain::Zone(1))),
            100
        );
    }

    #[test]
    fn all_silent_and_nobody_hears_them_is_waited_out_and_bounded() {
        let mut s = SilenceDetector::new(silence_thresholds());
        let look = s.assess(at(0.0), OVERDUE_S, &fleet(300, |_| 30.0));
        assert_eq!(
            count(&look, Liveness::Shielded(FailureDomain::OwnLink)),
            300
        );
        let look = s.assess(at(90.0), OVERDUE_S, &fleet(300, |_| 120.0));
        assert_eq!(count(&look, Liveness::Dead), 30);
        assert_eq!(count(&look, Liveness::RemovalDeferred), 270);
    }
}
