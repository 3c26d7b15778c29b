//! Which slots this controller holds, and by which token.

use crate::slots::{Slot, Slots};
use beamhinge_core::types::{FencingToken, Revision};

/// A controller's process: a label that stays, and a number that does not.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Name {
    pub label: String,
    pub nonce: u64,
}

/// A slot's key as it was read: who holds it, and since which revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Entry {
    pub holder: Option<Name>,
    /// 0: nobody ever held it.
    pub revision: Revision,
}

/// The transaction that makes somebody a slot's holder: on condition that the slot's
/// key has this stamp.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Write {
    pub slot: Slot,
    pub when: Revision,
    pub holder: Name,
}

/// What became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Applied, at this revision.
    Applied(Revision),
    /// Not executed: the rate is spent, or the service is away.
    Refused,
    /// The key has another stamp by now.
    Conflict,
    /// No reply: it may have been applied, or may be later.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Turn {
    /// It is not ours, or we do not know.
    No,
    Held(FencingToken),
    /// We wrote it over to another, and do not know yet whether that was applied.
    Giving(FencingToken),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Share {
    known: Option<Entry>,
    turn: Turn,
    /// The highest token whose term has ended for us: it is never taken up again.
    ended: FencingToken,
    /// A write of ours about it is under way.
    flying: bool,
    /// What we know may be old: the key has to be read.
    stale: bool,
}

/// The slots as one controller sees them.
///
/// The token of a slot is the revision of the transaction that wrote its key
/// (Guard 1, per slot): two transactions never share one, a later one has a higher,
/// and only the process that is named in the key takes it for its own. A machine
/// never changes its slot, so the tokens that its worker sees only rise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Shares {
    me: Name,
    of: Vec<Share>,
}

impl Shares {
    pub fn new(me: Name, slots: Slots) -> Shares {
        let share = Share {
            known: None,
            turn: Turn::No,
            ended: FencingToken(0),
            flying: false,
            stale: true,
        };
        Shares {
            me,
            of: vec![share; slots.count()],
        }
    }

    fn share(&mut self, slot: Slot) -> Option<&mut Share> {
        self.of.get_mut(usize::from(slot.0))
    }

    /// The token with which we may answer the slot's workers and commit for it; none
    /// while we do not hold it, or are giving it away.
    pub fn token(&self, slot: Slot) -> Option<FencingToken> {
        match self.of.get(usize::from(slot.0))?.turn {
            Turn::Held(token) => Some(token),
            Turn::No | Turn::Giving(_) => None,
        }
    }

    /// Slots that we hold.
    pub fn held(&self) -> impl Iterator<Item = (Slot, FencingToken)> + '_ {
        (0..self.of.len() as u16)
            .map(Slot)
            .filter_map(|s| Some((s, self.token(s)?)))
    }

    /// Whom the slot's workers are sent to, as far as known: never ourselves.
    pub fn holder(&self, slot: Slot) -> Option<&str> {
        let known = self.of.get(usize::from(slot.0))?.known.as_ref()?;
        let holder = known.holder.as_ref()?;
        (*holder != self.me).then_some(holder.label.as_str())
    }

    /// Slots whose keys have to be read before anything is done about them.
    pub fn to_read(&self) -> impl Iterator<Item = Slot> + '_ {
        let due = |i: &usize| self.of[*i].stale && !self.of[*i].flying;
        (0..self.of.len()).filter(due).map(|i| Slot(i as u16))
    }

    /// The key was read, or its watch told of it. Returns the token if we became the
    /// holder by that.
    pub fn saw(&mut self, slot: Slot, entry: Entry) -> Option<FencingToken> {
        let me = self.me.clone();
        let share = self.share(slot)?;
        share.stale = false;
        // News from before what we know are old.
        if share
            .known
            .as_ref()
            .is_some_and(|k| k.revision > entry.revision)
        {
            return None;
        }
        let token = FencingToken(entry.revision.0);
        let ours = entry.holder.as_ref() == Some(&me);
        share.known = Some(entry);
        match share.turn {
            // As it was. One that we are giving away stays silent until the key shows
            // another: the transaction may be applied late.
            Turn::Held(t) | Turn::Giving(t) if t == token => None,
            Turn::Held(t) | Turn::Giving(t) => {
                share.ended = share.ended.max(t);
                share.turn = Turn::No;
                Self::begin(share, ours, token)
            }
            Turn::No => Self::begin(share, ours, token),
        }
    }

    fn begin(share: &mut Share, ours: bool, token: FencingToken) -> Option<FencingToken> {
        (ours && token > share.ended).then(|| {
            share.turn = Turn::Held(token);
            token
        })
    }

    /// A worker has seen a higher token, or a condition on the slot's key failed:
    /// somebody else holds it.
    pub fn deposed(&mut self, slot: Slot) {
        let Some(share) = self.share(slot) else {
            return;
        };
        if let Turn::Held(token) | Turn::Giving(token) = share.turn {
            share.ended = share.ended.max(token);
            share.turn = Turn::No;
            share.stale = true;
        }
    }

    /// Takes a slot whose holder is none, or is known to be gone: that it is, others
    /// know (`beamhinge_standby`). The transaction rests on the key as it was read.
    pub fn take(&mut self, slot: Slot) -> Option<Write> {
        let me = self.me.clone();
        let share = self.share(slot)?;
        let known = share
            .known
            .as_ref()
            .filter(|_| !share.stale && !share.flying)?;
        if share.turn != Turn::No {
            return None;
        }
        let write = Write {
            slot,
            when: known.revision,
            holder: me,
        };
        share.flying = true;
        Some(write)
    }

    /// Gives a slot to another process, which follows its pages already. From here on
    /// we answer none of its workers: the transaction may be applied at any time.
    pub fn give(&mut self, slot: Slot, to: Name) -> Option<Write> {
        let share = self.share(slot)?;
        let Turn::Held(token) = share.turn else {
            return None;
        };
        if share.flying {
            return None;
        }
        share.turn = Turn::Giving(token);
        share.flying = true;
        Some(Write {
            slot,
            when: Revision(token.0),
            holder: to,
        })
    }

    /// What became of a take or a gift. Returns the token if we hold the slot by it.
    pub fn wrote(&mut self, write: &Write, outcome: Outcome) -> Option<FencingToken> {
        let share = self.share(write.slot)?;
        share.flying = false;
        match outcome {
            Outcome::Applied(revision) => self.saw(
                write.slot,
                Entry {
                    holder: Some(write.holder.clone()),
                    revision,
                },
            ),
            // Certainly not executed, and never will be: as it was.
            Outcome::Refused => {
                if let Turn::Giving(token) = share.turn {
                    share.turn = Turn::Held(token);
                }
                None
            }
            Outcome::Conflict => {
                self.deposed(write.slot);
                self.share(write.slot)?.stale = true;
                None
            }
            Outcome::Unknown => {
                share.stale = true;
                None
            }
        }
    }

    /// A gift of unknown fate that the key does not show, after so long that a holder
    /// must act: the giver takes the slot anew, with a new token, which also makes
    /// sure that the gift is never applied.
    pub fn take_back(&mut self, slot: Slot) -> Option<Write> {
        let me = self.me.clone();
        let share = self.share(slot)?;
        let Turn::Giving(token) = share.turn else {
            return None;
        };
        if share.flying || share.stale {
            return None;
        }
        share.flying = true;
        Some(Write {
            slot,
            when: Revision(token.0),
            holder: me,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use beamhinge_rate_limit::TransactionLimits;

    const SLOT: Slot = Slot(0);

    fn name(label: &str, nonce: u64) -> Name {
        Name {
            label: label.into(),
            nonce,
        }
    }

    fn shares(label: &str, nonce: u64) -> Shares {
        let limits = TransactionLimits {
            writes: 3,
            conditions: 12,
            bytes: 9_000,
            value_bytes: 900,
        };
        Shares::new(name(label, nonce), Slots::within(&limits))
    }

    fn entry(holder: &Name, revision: u64) -> Entry {
        Entry {
            holder: Some(holder.clone()),
            revision: Revision(revision),
        }
    }

    fn holding(nonce: u64, revision: u64) -> Shares {
        let mut s = shares("a", nonce);
        s.saw(
            SLOT,
            Entry {
                holder: None,
                revision: Revision(0),
            },
        );
        let take = s.take(SLOT).expect("nobody holds it");
        assert!(s.take(SLOT).is_none(), "one at a time");
        assert_eq!(
            s.wrote(&take, Outcome::Applied(Revision(revision))),
            Some(FencingToken(revision))
        );
        s
    }

    #[test]
    fn a_take_whose_reply_is_lost_is_known_by_its_nonce() {
        let mut s = shares("a", 1);
        s.saw(
            SLOT,
            Entry {
                holder: None,
                revision: Revision(0),
            },
        );
        let take = s.take(SLOT).expect("free");
        assert_eq!(s.wrote(&take, Outcome::Unknown), None);
        assert_eq!(s.to_read().collect::<Vec<_>>(), [SLOT]);
        assert!(s.take(SLOT).is_none(), "read first");
        assert_eq!(s.saw(SLOT, entry(&name("a", 1), 7)), Some(FencingToken(7)));
        // Another process of the same label is another.
        assert_eq!(shares("a", 2).saw(SLOT, entry(&name("a", 1), 7)), None);
    }

    #[test]
    fn a_giver_is_silent_until_the_key_shows_who_holds_it() {
        let b = name("b", 5);
        let mut s = holding(1, 7);
        let gift = s.give(SLOT, b.clone()).expect("held");
        assert_eq!(s.token(SLOT), None, "it may be applied at any time");
        s.wrote(&gift, Outcome::Unknown);
        s.saw(SLOT, entry(&name("a", 1), 7));
        assert_eq!(s.token(SLOT), None, "and may be still");
        let back = s.take_back(SLOT).expect("not shown");
        assert_eq!(back.when, Revision(7), "one of the two transactions fails");
        assert_eq!(
            s.wrote(&back, Outcome::Applied(Revision(9))),
            Some(FencingToken(9))
        );
        // The gift was applied first.
        let mut s = holding(1, 7);
        let gift = s.give(SLOT, b.clone()).expect("held");
        s.wrote(&gift, Outcome::Unknown);
        s.saw(SLOT, entry(&b, 8));
        assert_eq!((s.token(SLOT), s.holder(SLOT)), (None, Some("b")));
        // Refused for sure: as before.
        let mut s = holding(1, 7);
        let gift = s.give(SLOT, b).expect("held");
        s.wrote(&gift, Outcome::Refused);
        assert_eq!(s.token(SLOT), Some(FencingToken(7)));
    }

    #[test]
    fn a_term_that_ended_is_never_taken_up_again() {
        let mut s = holding(1, 7);
        s.deposed(SLOT);
        assert_eq!(s.saw(SLOT, entry(&name("a", 1), 7)), None, "old news");
        assert_eq!(s.saw(SLOT, entry(&name("b", 2), 9)), None);
        assert_eq!(s.saw(SLOT, entry(&name("a", 1), 7)), None);
        assert_eq!(s.holder(SLOT), Some("b"));
        assert_eq!(
            s.saw(SLOT, entry(&name("a", 1), 12)),
            Some(FencingToken(12)),
            "given back"
        );
    }
}
