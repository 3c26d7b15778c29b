//! Watching over the holder.

use beamhinge_vocab::types::{MachineId, Time};
use std::collections::BTreeSet;

/// Words come each second: this much later two have stayed away, seconds.
const QUIET_S: f64 = 2.2;
/// A holder must have been heard for so long, seconds: one that began just now, or
/// that we hear for the first time, is not judged by us.
const KNOWN_S: f64 = 8.0;
/// Words that are further apart begin a new acquaintance, seconds.
const APART_S: f64 = 4.0;
/// Workers that have to come here instead. One may have a broken link of its own.
const WORKERS: usize = 3;
/// The first of them comes so soon after the last word, seconds: from a process that
/// ended, connections are reset and workers try the next a second later. From one
/// that is merely slow they come after their time-out of four seconds; taking the
/// lead from it would hand its load, and its slowness, on and on.
const SEEN_S: f64 = 3.2;
/// Further apart than this they do not tell of one end, seconds.
const TOGETHER_S: f64 = 3.0;
/// Those whose turn is later wait so much longer each, seconds.
const TURN_S: f64 = 0.8;
/// Between two takes by this finding, seconds: a holder that is only slow, or that
/// peers do not hear, must not lose the lead again and again.
const RARE_S: f64 = 15.0;
/// Longest since the state service answered us, seconds: a watch waits for three.
const LEDGER_S: f64 = 3.5;
/// Machines that are remembered; guards memory.
const MOST: usize = 256;

/// What the watcher knows of itself.
#[derive(Clone, Copy, Debug)]
pub struct Own {
    /// Seconds since the state service last answered us.
    pub ledger_age_s: f64,
    /// Our jobs are read.
    pub warm: bool,
    /// Seconds since we ourselves stood still, if we did.
    pub back_for_s: Option<f64>,
    /// How many others go before us.
    pub turn: u32,
}

/// What is known of the holder without the state service.
///
/// Two witnesses are needed: its words to its peers stay away, and workers come
/// here whom it answered until then. Words alone stop where a filter stands
/// between controllers; workers alone come where their links to it are broken.
#[derive(Debug, Default)]
pub struct Vigil {
    holder: Option<String>,
    since: Time,
    word: Time,
    /// Who came since the last word, and when the first of them did.
    came: BTreeSet<MachineId>,
    first: Time,
    /// When a take was last advised.
    taken: Option<Time>,
}

impl Vigil {
    /// The holder said that it holds the block.
    pub fn word(&mut self, now: Time, holder: &str) {
        let new = self.holder.as_deref() != Some(holder);
        if new || now.since(self.word) > APART_S {
            self.since = now;
        }
        if new {
            self.holder = Some(holder.to_string());
        }
        self.word = now;
        self.came.clear();
    }

    /// A worker reported here, not there.
    pub fn came(&mut self, now: Time, machine: MachineId) {
        if self.came.is_empty() || now.since(self.first) > TOGETHER_S {
            self.came.clear();
            self.first = now;
        }
        if self.came.len() < MOST {
            self.came.insert(machine);
        }
    }

    /// Whether nothing is heard of the holder: it is not named to workers then.
    pub fn quiet(&self, now: Time) -> bool {
        self.holder.is_some() && now.since(self.word) > QUIET_S
    }

    /// The holder that is gone, if it is our turn to take the lead.
    pub fn gone(&mut self, now: Time, own: Own) -> Option<&str> {
        let holder = self.holder.as_deref()?;
        let quiet_s = now.since(self.word);
        let known = self.word.since(self.since) >= KNOWN_S;
        // Words and workers that came while we stood still tell nothing.
        let present = own.back_for_s.is_none_or(|s| s > quiet_s + QUIET_S);
        let together = now.since(self.first) <= TOGETHER_S;
        let seen = self.first.since(self.word) <= SEEN_S;
        let witnesses = self.came.len() >= WORKERS && together && seen;
        let rare = self.taken.is_none_or(|at| now.since(at) > RARE_S);
        let fit = own.warm && own.ledger_age_s < LEDGER_S && present;
        let due = quiet_s > QUIET_S + TURN_S * f64::from(own.turn);
        if !(known && due && witnesses && fit && rare) {
            return None;
        }
        self.taken = Some(now);
        Some(holder)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn machine(n: u32) -> MachineId {
        MachineId::parse(&format!("n-{n:06}")).expect("a name")
    }

    fn at(s: f64) -> Time {
        Time::default().plus(100.0 + s)
    }

    const OWN: Own = Own { ledger_age_s: 0.2, warm: true, back_for_s: None, turn: 0 };

    /// Heard each second until it ends at 10 s; workers come a second later.
    fn ended() -> Vigil {
        let mut v = Vigil::default();
        (0..=10).for_each(|s| v.word(at(f64::from(s)), "a"));
        (0..4).for_each(|n| v.came(at(11.1), machine(n)));
        v
    }

    #[test]
    fn an_end_is_known_by_two_witnesses_before_the_lease() {
        let mut v = ended();
        assert_eq!(v.gone(at(12.0), OWN), None, "two words have to stay away");
        assert_eq!(v.gone(at(12.3), OWN), Some("a"));
        assert_eq!(v.gone(at(12.4), OWN), None, "advised once");
        // The next in turn waits longer.
        let mut v = ended();
        assert_eq!(v.gone(at(12.3), Own { turn: 1, ..OWN }), None);
        assert!(v.quiet(at(12.3)) && !v.quiet(at(11.0)));
        assert_eq!(v.gone(at(13.1), Own { turn: 1, ..OWN }), Some("a"));
    }

    #[test]
    fn one_witness_is_not_enough() {
        // A filter between controllers: no words, and no worker comes.
        let mut v = Vigil::default();
        (0..=10).for_each(|s| v.word(at(f64::from(s)), "a"));
        assert_eq!(v.gone(at(20.0), OWN), None);
        // One worker with a broken link of its own, again and again.
        (11..20).for_each(|s| v.came(at(f64::from(s)), machine(1)));
        assert_eq!(v.gone(at(20.0), OWN), None);
        // Workers come, and the holder is heard.
        let mut v = ended();
        v.word(at(12.2), "a");
        assert_eq!(v.gone(at(12.3), OWN), None);
        // A holder that is slow: its words are late, and workers come after their
        // time-out.
        let mut v = Vigil::default();
        (0..=10).for_each(|s| v.word(at(f64::from(s)), "a"));
        (0..200).for_each(|n| v.came(at(14.5), machine(n)));
        assert_eq!(v.gone(at(15.0), OWN), None);
        // Those who came long ago tell of something else.
        let mut v = ended();
        assert_eq!(v.gone(at(18.0), OWN), None);
    }

    #[test]
    fn who_is_not_fit_does_not_take() {
        for own in [
            Own { ledger_age_s: 4.0, ..OWN },
            Own { warm: false, ..OWN },
            Own { back_for_s: Some(1.0), ..OWN },
        ] {
            assert_eq!(ended().gone(at(12.5), own), None, "{own:?}");
        }
        // A holder that has been heard for a moment only.
        let mut v = Vigil::default();
        (0..3).for_each(|s| v.word(at(f64::from(s)), "b"));
        (0..4).for_each(|n| v.came(at(3.1), machine(n)));
        assert_eq!(v.gone(at(4.5), OWN), None);
    }

    #[test]
    fn takes_are_rare() {
        let mut v = ended();
        assert!(v.gone(at(12.3), OWN).is_some());
        (13..=22).for_each(|s| v.word(at(f64::from(s)), "b"));
        (0..4).for_each(|n| v.came(at(23.5), machine(n)));
        assert_eq!(v.gone(at(24.5), OWN), None, "twelve seconds after the last");
        (25..=28).for_each(|s| v.word(at(f64::from(s)), "b"));
        (0..4).for_each(|n| v.came(at(29.5), machine(n)));
        assert_eq!(v.gone(at(30.5), OWN), Some("b"));
    }
}
