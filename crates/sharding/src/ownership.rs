//! Which slots this controller owns, and by which fencing token.

use crate::slots::{Slot, Slots};
use beamhinge_core::types::{FencingToken, Revision};

/// A controller's process: a label that stays, and a number that does not.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProcessId {
    /// The controller's label.
    pub label: String,
    /// Drawn when the process starts.
    pub nonce: u64,
}

/// A slot's key as it was read: who owns it, and since which revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotRecord {
    /// The owner, if there is one.
    pub owner: Option<ProcessId>,
    /// Of the key; zero if nobody ever owned it.
    pub revision: Revision,
}

/// The transaction that makes a process a slot's owner, on condition that the slot's key has
/// this revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotWrite {
    /// The slot.
    pub slot: Slot,
    /// The revision that its key must have.
    pub expected: Revision,
    /// The new owner.
    pub owner: ProcessId,
}

/// What became of a [`SlotWrite`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// Applied, at this revision.
    Applied(Revision),
    /// Not executed: the rate is spent, or the service is away.
    Refused,
    /// The key has another revision by now.
    Conflict,
    /// No reply: it may have been applied, or may be later.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Ownership {
    /// It is another's, or that is not known.
    NotOwned,
    Owned(FencingToken),
    /// It was written over to another, and whether that was applied is not known yet.
    Transferring(FencingToken),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SlotState {
    known: Option<SlotRecord>,
    ownership: Ownership,
    /// The highest token whose term has ended here: it is never taken up again.
    ended: FencingToken,
    /// A write about it is in flight.
    in_flight: bool,
    /// What is known may be old: the key has to be read.
    stale: bool,
}

/// The slots as one controller sees them.
///
/// The token of a slot is the revision of the transaction that wrote its key
/// (Guard 1, per slot): two transactions never share one, a later one has a higher,
/// and only the process that is named in the key takes it for its own. A machine
/// never changes its slot, so the tokens that its worker sees only rise.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotOwnership {
    me: ProcessId,
    slots: Vec<SlotState>,
}

impl SlotOwnership {
    /// Nothing is owned, and every key has to be read.
    #[must_use]
    pub fn new(me: ProcessId, slots: Slots) -> SlotOwnership {
        let state = SlotState {
            known: None,
            ownership: Ownership::NotOwned,
            ended: FencingToken(0),
            in_flight: false,
            stale: true,
        };
        SlotOwnership {
            me,
            slots: vec![state; slots.count()],
        }
    }

    fn state_mut(&mut self, slot: Slot) -> Option<&mut SlotState> {
        self.slots.get_mut(usize::from(slot.0))
    }

    /// The token with which the controller may answer the slot's workers and commit for it;
    /// none while it does not own the slot, or transfers it.
    #[must_use]
    pub fn token(&self, slot: Slot) -> Option<FencingToken> {
        match self.slots.get(usize::from(slot.0))?.ownership {
            Ownership::Owned(token) => Some(token),
            Ownership::NotOwned | Ownership::Transferring(_) => None,
        }
    }

    /// Slots that the controller owns, and their tokens.
    pub fn owned(&self) -> impl Iterator<Item = (Slot, FencingToken)> + '_ {
        (0..self.slots.len() as u16)
            .map(Slot)
            .filter_map(|s| Some((s, self.token(s)?)))
    }

    /// Label of the controller that the slot's workers are sent to, as far as known: never
    /// this one.
    #[must_use]
    pub fn owner(&self, slot: Slot) -> Option<&str> {
        let known = self.slots.get(usize::from(slot.0))?.known.as_ref()?;
        let owner = known.owner.as_ref()?;
        (*owner != self.me).then_some(owner.label.as_str())
    }

    /// Slots whose keys have to be read before anything is done about them.
    pub fn stale_slots(&self) -> impl Iterator<Item = Slot> + '_ {
        let due = |i: &usize| self.slots[*i].stale && !self.slots[*i].in_flight;
        (0..self.slots.len()).filter(due).map(|i| Slot(i as u16))
    }

    /// The key was read, or its watch told of it. Returns the token if the controller became
    /// the owner by that.
    pub fn on_record(&mut self, slot: Slot, entry: SlotRecord) -> Option<FencingToken> {
        let me = self.me.clone();
        let state = self.state_mut(slot)?;
        state.stale = false;
        // Older than what is known.
        if state
            .known
            .as_ref()
            .is_some_and(|k| k.revision > entry.revision)
        {
            return None;
        }
        let token = FencingToken(entry.revision.0);
        let ours = entry.owner.as_ref() == Some(&me);
        state.known = Some(entry);
        match state.ownership {
            // As it was. One that is transferred stays silent until the key shows another:
            // the transaction may be applied late.
            Ownership::Owned(t) | Ownership::Transferring(t) if t == token => None,
            Ownership::Owned(t) | Ownership::Transferring(t) => {
                state.ended = state.ended.max(t);
                state.ownership = Ownership::NotOwned;
                Self::own_if_named(state, ours, token)
            }
            Ownership::NotOwned => Self::own_if_named(state, ours, token),
        }
    }

    fn own_if_named(
        state: &mut SlotState,
        ours: bool,
        token: FencingToken,
    ) -> Option<FencingToken> {
        (ours && token > state.ended).then(|| {
            state.ownership = Ownership::Owned(token);
            token
        })
    }

    /// A worker has seen a higher token, or a condition on the slot's key failed:
    /// somebody else owns it.
    pub fn on_lost(&mut self, slot: Slot) {
        let Some(state) = self.state_mut(slot) else {
            return;
        };
        if let Ownership::Owned(token) | Ownership::Transferring(token) = state.ownership {
            state.ended = state.ended.max(token);
            state.ownership = Ownership::NotOwned;
            state.stale = true;
        }
    }

    /// Acquires a slot without an owner, or whose owner is known to be gone: that it is, others
    /// know (`beamhinge_standby`). The transaction rests on the key as it was read.
    #[must_use]
    pub fn acquire(&mut self, slot: Slot) -> Option<SlotWrite> {
        let me = self.me.clone();
        let state = self.state_mut(slot)?;
        let known = state
            .known
            .as_ref()
            .filter(|_| !state.stale && !state.in_flight)?;
        if state.ownership != Ownership::NotOwned {
            return None;
        }
        let write = SlotWrite {
            slot,
            expected: known.revision,
            owner: me,
        };
        state.in_flight = true;
        Some(write)
    }

    /// Transfers a slot to another process, which follows its pages already. From here on the
    /// controller answers none of its workers: the transaction may be applied at any time.
    #[must_use]
    pub fn transfer(&mut self, slot: Slot, to: ProcessId) -> Option<SlotWrite> {
        let state = self.state_mut(slot)?;
        let Ownership::Owned(token) = state.ownership else {
            return None;
        };
        if state.in_flight {
            return None;
        }
        state.ownership = Ownership::Transferring(token);
        state.in_flight = true;
        Some(SlotWrite {
            slot,
            expected: Revision(token.0),
            owner: to,
        })
    }

    /// What became of a write. Returns the token if the controller owns the slot by it.
    pub fn on_write(&mut self, write: &SlotWrite, outcome: WriteOutcome) -> Option<FencingToken> {
        let state = self.state_mut(write.slot)?;
        state.in_flight = false;
        match outcome {
            WriteOutcome::Applied(revision) => self.on_record(
                write.slot,
                SlotRecord {
                    owner: Some(write.owner.clone()),
                    revision,
                },
            ),
            // Certainly not executed, and never will be: as it was.
            WriteOutcome::Refused => {
                if let Ownership::Transferring(token) = state.ownership {
                    state.ownership = Ownership::Owned(token);
                }
                None
            }
            WriteOutcome::Conflict => {
                self.on_lost(write.slot);
                self.state_mut(write.slot)?.stale = true;
                None
            }
            WriteOutcome::Unknown => {
                state.stale = true;
                None
            }
        }
    }

    /// A transfer of unknown fate that the key does not show, after so long that an owner must
    /// act: the giver acquires the slot anew, with a new token, which also makes sure that
    /// the transfer is never applied.
    #[must_use]
    pub fn reclaim(&mut self, slot: Slot) -> Option<SlotWrite> {
        let me = self.me.clone();
        let state = self.state_mut(slot)?;
        let Ownership::Transferring(token) = state.ownership else {
            return None;
        };
        if state.in_flight || state.stale {
            return None;
        }
        state.in_flight = true;
        Some(SlotWrite {
            slot,
            expected: Revision(token.0),
            owner: me,
        })
    }
}

#[cfg(test)]
mod tests;
