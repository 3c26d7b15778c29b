//! Silence judged for machines together.

use beamhinge_core::types::{MachineId, Time};
use std::collections::BTreeMap;

/// What a group is: machines that one broken link would silence together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Group {
    /// All machines: our own link to them.
    Ours,
    /// Machines of one zone.
    Zone(usize),
    /// Machines of one type.
    Kind(usize),
}

/// One machine, as this controller sees it.
#[derive(Clone, Copy, Debug)]
pub struct MachineObservation {
    pub id: MachineId,
    /// The zone's number among those of the settings.
    pub zone: usize,
    /// The type's number.
    pub kind: usize,
    /// Seconds without a report here, own absence not counted.
    pub quiet_s: f64,
    /// Seconds since a peer heard it.
    pub elsewhere_s: Option<f64>,
    /// The cloud's list no longer names it, though it must if it were there.
    pub unlisted: bool,
    /// It takes no answers and tries one controller after the other: that peers hear
    /// it says nothing of our own link.
    pub rotates_controllers: bool,
}

/// What is concluded of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Heard, or not yet overdue.
    Heard,
    /// Overdue, and not yet long enough for anything.
    Overdue,
    /// A peer hears it: it lives, and our link to it is broken.
    Elsewhere,
    /// Silent like most of its group: taken for a broken link for now.
    Shielded(Group),
    /// Silent beyond the limit, but others were given up just now: its turn comes.
    Waiting,
    /// To be given back.
    Silent,
    /// Gone, by the cloud's own word.
    Gone,
}

/// Our own link, by what is heard here and elsewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Link {
    pub heard: u32,
    pub overdue: u32,
    /// Overdue here, and heard by a peer.
    pub elsewhere: u32,
}

impl Link {
    /// Another controller could do more: it hears more machines than we do.
    pub fn better_elsewhere(&self) -> bool {
        self.elsewhere >= 2 && self.elsewhere > self.heard
    }
}

/// Times and shares, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Silence after which a single machine is given back, seconds.
    pub limit_s: f64,
    /// Longest that a group's silence is taken for a broken link, seconds.
    pub shield_s: f64,
    /// How long a peer's word counts, seconds.
    pub word_s: f64,
}

/// The outcome of one look at the fleet.
#[derive(Debug, Default)]
pub struct SilenceAssessment {
    pub findings: Vec<(MachineId, Finding)>,
    pub link: Link,
    /// Groups that are silent together, and for how long, seconds.
    pub groups: Vec<(Group, f64)>,
}

/// A group is silent together when this part of it is overdue ...
const PART: f64 = 0.4;
/// ... in at least so many machines ...
const FEWEST: u32 = 4;
/// ... and this many times as large a part as of all others.
const TIMES: f64 = 2.0;
/// A group stays suspected until this part of it is heard again.
const BACK: f64 = 0.8;
/// Part of the fleet that may be given back as silent at once.
const AT_ONCE: f64 = 0.1;
/// Part of the fleet by which that grows each second.
const PER_S: f64 = 0.02;

#[derive(Clone, Copy, Default)]
struct Count {
    known: u32,
    overdue: u32,
}

impl Count {
    fn part(self) -> f64 {
        f64::from(self.overdue) / f64::from(self.known.max(1))
    }
    fn without(self, other: Count) -> Count {
        Count {
            known: self.known - other.known,
            overdue: self.overdue - other.overdue,
        }
    }
}

/// Judges silence; keeps since when each group is suspected, and a budget of
/// returns.
pub struct SilenceDetector {
    bounds: Bounds,
    began: BTreeMap<Group, Time>,
    /// Groups that are heard again, and until when their last ones have time.
    back: BTreeMap<Group, Time>,
    budget: f64,
    filled: Option<Time>,
}

impl SilenceDetector {
    pub fn new(bounds: Bounds) -> SilenceDetector {
        SilenceDetector {
            bounds,
            began: BTreeMap::new(),
            back: BTreeMap::new(),
            budget: 0.0,
            filled: None,
        }
    }

    /// Since when a machine's group is suspected, seconds; the longest of them.
    pub fn suspected_s(&self, now: Time, zone: usize, kind: usize) -> Option<f64> {
        let of = |g| self.began.get(&g).map(|at| now.since(*at));
        [Group::Ours, Group::Zone(zone), Group::Kind(kind)]
            .into_iter()
            .filter_map(of)
            .max_by(f64::total_cmp)
    }

    /// Looks at the whole fleet. `overdue_s`: silence from which a machine is
    /// overdue, see [`crate::ReportInterval::overdue_s`].
    pub fn look(
        &mut self,
        now: Time,
        overdue_s: f64,
        seen: &[MachineObservation],
    ) -> SilenceAssessment {
        let mut all = Count::default();
        let mut groups: BTreeMap<Group, Count> = BTreeMap::new();
        let mut link = Link::default();
        for s in seen {
            let overdue = s.quiet_s > overdue_s;
            let elsewhere = self.heard_elsewhere(s);
            // What the cloud has taken says nothing about links.
            if s.unlisted && !elsewhere {
                continue;
            }
            match overdue {
                true => link.overdue += 1,
                false => link.heard += 1,
            }
            link.elsewhere += u32::from(overdue && elsewhere && !s.rotates_controllers);
            let of = [&mut all, groups.entry(Group::Zone(s.zone)).or_default()];
            for c in of {
                c.known += 1;
                c.overdue += u32::from(overdue);
            }
            let kind = groups.entry(Group::Kind(s.kind)).or_default();
            kind.known += 1;
            kind.overdue += u32::from(overdue);
        }
        self.suspect(now, all, &groups);
        self.back.retain(|_, until| *until > now);
        let most = (f64::from(all.known) * AT_ONCE).max(2.0);
        let passed = self.filled.map_or(f64::MAX, |at| now.since(at));
        self.budget = (self.budget + passed.min(1e3) * f64::from(all.known) * PER_S).min(most);
        self.filled = Some(now);
        let mut findings: Vec<(MachineId, Finding)> = Vec::new();
        for s in seen {
            let finding = self.find(overdue_s, s);
            findings.push((s.id, finding));
        }
        let groups = self
            .began
            .iter()
            .map(|(g, at)| (*g, now.since(*at)))
            .collect();
        SilenceAssessment {
            findings,
            link,
            groups,
        }
    }

    fn heard_elsewhere(&self, s: &MachineObservation) -> bool {
        s.elsewhere_s
            .is_some_and(|e| e <= self.bounds.word_s && e < s.quiet_s)
    }

    /// Which groups are silent together.
    fn suspect(&mut self, now: Time, all: Count, groups: &BTreeMap<Group, Count>) {
        let mut apart = false;
        for (group, count) in groups {
            let rest = all.without(*count);
            // A group that is all there is says nothing beyond `Ours`.
            let more = rest.known > 0 && count.part() >= rest.part() * TIMES;
            let silent = count.overdue >= FEWEST && count.part() >= PART && more;
            apart |= silent;
            self.keep(now, *group, *count, silent);
        }
        // Where one group explains it, the others are judged as ever.
        let wide = !apart && all.overdue >= FEWEST && all.part() >= PART;
        if apart && self.began.remove(&Group::Ours).is_some() {
            // What was silent with all the others has the time of stragglers.
            self.back.insert(Group::Ours, now.plus(self.bounds.limit_s));
        }
        self.keep(now, Group::Ours, all, wide);
        self.began
            .retain(|g, _| *g == Group::Ours || groups.contains_key(g));
    }

    /// Once suspected, a group stays so until most of it is heard again: while
    /// it comes back, the last are not yet dead.
    fn keep(&mut self, now: Time, group: Group, count: Count, silent: bool) {
        if silent {
            self.began.entry(group).or_insert(now);
        } else if count.part() <= 1.0 - BACK && self.began.remove(&group).is_some() {
            // Workers find their way back one after the other: each tries every
            // controller, and waits in between.
            self.back.insert(group, now.plus(self.bounds.limit_s));
        }
    }

    fn find(&mut self, overdue_s: f64, s: &MachineObservation) -> Finding {
        if self.heard_elsewhere(s) && s.quiet_s > overdue_s {
            return Finding::Elsewhere;
        }
        if s.unlisted && s.quiet_s > overdue_s {
            return Finding::Gone;
        }
        if s.quiet_s <= overdue_s {
            return Finding::Heard;
        }
        if s.quiet_s <= self.bounds.limit_s {
            return Finding::Overdue;
        }
        let shield = [Group::Ours, Group::Zone(s.zone), Group::Kind(s.kind)]
            .into_iter()
            .find(|g| self.began.contains_key(g) || self.back.contains_key(g));
        // Dead or cut: nobody can tell. The wait is bounded, by the silence of
        // each machine, so that one which falls silent late has its time too.
        if let Some(group) = shield.filter(|_| s.quiet_s <= self.bounds.shield_s) {
            return Finding::Shielded(group);
        }
        if self.budget < 1.0 {
            return Finding::Waiting;
        }
        self.budget -= 1.0;
        Finding::Silent
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const OVERDUE_S: f64 = 7.0;

    fn bounds() -> Bounds {
        Bounds {
            limit_s: 15.0,
            shield_s: 106.0,
            word_s: 8.0,
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
                kind: (i / 2 % 2) as usize,
                quiet_s: quiet(i),
                elsewhere_s: None,
                unlisted: false,
                rotates_controllers: false,
            })
            .collect()
    }

    fn count(look: &SilenceAssessment, want: Finding) -> usize {
        look.findings.iter().filter(|(_, f)| *f == want).count()
    }

    #[test]
    fn one_silent_machine_is_returned_as_soon_as_ever() {
        let mut s = SilenceDetector::new(bounds());
        let look = s.look(
            at(0.0),
            OVERDUE_S,
            &fleet(500, |i| if i == 7 { 15.1 } else { 2.0 }),
        );
        assert_eq!(count(&look, Finding::Silent), 1);
        assert!(look.groups.is_empty());
    }

    /// Machines cross the limit one after another, as their reports are spread
    /// over a period: half of a fleet was returned before most were silent.
    #[test]
    fn a_silent_zone_is_a_broken_link_and_costs_nothing() {
        let mut s = SilenceDetector::new(bounds());
        let mut returned = 0;
        // Zone 1 is cut from 0 s to 51 s; last reports are spread over 5 s.
        for step in 0..300 {
            let now = f64::from(step) * 0.2;
            let quiet = |i: u32| match i % 2 {
                1 if now < 51.0 => now + f64::from(i % 50) / 10.0,
                _ => f64::from(i % 50) / 10.0,
            };
            let look = s.look(at(now), OVERDUE_S, &fleet(600, quiet));
            returned += count(&look, Finding::Silent);
            if now > 20.0 && now < 50.0 {
                assert_eq!(look.groups.len(), 1, "{:?}", look.groups);
                assert_eq!(count(&look, Finding::Shielded(Group::Zone(1))), 300);
            }
        }
        assert_eq!(returned, 0);
        assert!(
            s.suspected_s(at(60.0), 1, 0).is_none(),
            "heard again, forgotten"
        );
    }

    #[test]
    fn a_zone_that_stays_silent_is_returned_in_the_end_and_not_at_once() {
        let mut s = SilenceDetector::new(bounds());
        let mut back = std::collections::BTreeSet::new();
        let mut first = None;
        for step in 0..800 {
            let now = f64::from(step) * 0.2;
            let all = fleet(600, |i| if i % 2 == 1 { now } else { 1.0 });
            let rest: Vec<MachineObservation> =
                all.into_iter().filter(|m| !back.contains(&m.id)).collect();
            let look = s.look(at(now), OVERDUE_S, &rest);
            let silent = look.findings.iter().filter(|(_, f)| *f == Finding::Silent);
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
        let mut s = SilenceDetector::new(bounds());
        let zone = |back: u32| move |i: u32| if i % 2 == 1 && i > back { 30.0 } else { 1.0 };
        s.look(at(0.0), OVERDUE_S, &fleet(200, zone(0)));
        let look = s.look(at(1.0), OVERDUE_S, &fleet(200, zone(180)));
        assert!(look.groups.is_empty());
        assert_eq!(count(&look, Finding::Silent), 0);
        let look = s.look(at(17.0), OVERDUE_S, &fleet(200, zone(180)));
        assert_eq!(count(&look, Finding::Silent), 10, "not for ever");
    }

    /// Guards against giving back the rest of a fleet at the moment when one zone
    /// begins to explain most of its silence (day-78-9: nine machines).
    #[test]
    fn when_a_zone_explains_it_the_others_still_have_time() {
        let mut s = SilenceDetector::new(bounds());
        s.look(at(0.0), OVERDUE_S, &fleet(100, |_| 20.0));
        let mostly = |i: u32| if i % 2 == 1 || i < 20 { 20.0 } else { 1.0 };
        let look = s.look(at(1.0), OVERDUE_S, &fleet(100, mostly));
        assert_eq!(look.groups.first().map(|g| g.0), Some(Group::Zone(1)));
        assert_eq!(count(&look, Finding::Silent), 0);
    }

    #[test]
    fn a_tenth_of_the_fleet_that_dies_is_seen_within_seconds() {
        let mut s = SilenceDetector::new(bounds());
        let mut back = std::collections::BTreeSet::new();
        let mut last = 0.0;
        for step in 0..200 {
            let now = f64::from(step) * 0.2;
            let all = fleet(900, |i| if i % 8 == 0 { now } else { 1.0 });
            let rest: Vec<MachineObservation> =
                all.into_iter().filter(|m| !back.contains(&m.id)).collect();
            for (id, f) in s.look(at(now), OVERDUE_S, &rest).findings {
                if f == Finding::Silent && back.insert(id) {
                    last = now;
                }
            }
        }
        assert_eq!(back.len(), 113);
        assert!(last < 18.0, "{last}");
    }

    #[test]
    fn what_peers_hear_is_alive_and_more_of_it_moves_the_lead() {
        let mut s = SilenceDetector::new(bounds());
        let mut all = fleet(100, |_| 20.0);
        for m in all.iter_mut().take(60) {
            m.elsewhere_s = Some(1.0);
        }
        let look = s.look(at(0.0), OVERDUE_S, &all);
        assert_eq!(count(&look, Finding::Elsewhere), 60);
        assert_eq!(count(&look, Finding::Silent), 0);
        assert!(look.link.better_elsewhere());
        // A few that are new and try everybody move nothing.
        let mut all = fleet(100, |i| if i < 3 { 20.0 } else { 1.0 });
        all.iter_mut()
            .take(3)
            .for_each(|m| m.elsewhere_s = Some(1.0));
        assert!(!s.look(at(9.0), OVERDUE_S, &all).link.better_elsewhere());
        // Those that are answered by nobody go round all controllers.
        let mut all = fleet(100, |_| 20.0);
        all.iter_mut()
            .for_each(|m| (m.elsewhere_s, m.rotates_controllers) = (Some(1.0), true));
        assert!(!s.look(at(9.5), OVERDUE_S, &all).link.better_elsewhere());
        // An old word is none.
        let mut all = fleet(4, |_| 20.0);
        all.iter_mut().for_each(|m| m.elsewhere_s = Some(9.0));
        assert_eq!(s.look(at(30.0), OVERDUE_S, &all).link.elsewhere, 0);
    }

    #[test]
    fn half_of_a_zone_dead_and_half_cut_is_told_apart_by_the_list() {
        let mut s = SilenceDetector::new(bounds());
        let mut all = fleet(400, |i| if i % 2 == 1 { 20.0 } else { 1.0 });
        for m in all.iter_mut().filter(|m| m.id.number() % 4 == 1) {
            m.unlisted = true;
        }
        let look = s.look(at(0.0), OVERDUE_S, &all);
        assert_eq!(count(&look, Finding::Gone), 100);
        assert_eq!(count(&look, Finding::Shielded(Group::Zone(1))), 100);
    }

    #[test]
    fn all_silent_and_nobody_hears_them_is_waited_out_and_bounded() {
        let mut s = SilenceDetector::new(bounds());
        let look = s.look(at(0.0), OVERDUE_S, &fleet(300, |_| 30.0));
        assert_eq!(count(&look, Finding::Shielded(Group::Ours)), 300);
        let look = s.look(at(90.0), OVERDUE_S, &fleet(300, |_| 120.0));
        assert_eq!(count(&look, Finding::Silent), 30);
        assert_eq!(count(&look, Finding::Waiting), 270);
    }
}
