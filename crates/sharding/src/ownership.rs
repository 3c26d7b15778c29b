//! Which slots this controller owns, and under which fencing tokens.

use crate::slots::{Slot, Slots};
use beamhinge_core::types::{FencingToken, Revision};

/// Identifies a controller process by the controller's label, which survives restarts, and a nonce
/// that is new for each process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ProcessId {
    /// The controller's label.
    pub label: String,
    /// Random number, drawn when the process starts.
    pub nonce: u64,
}

/// Contents of a slot's key as read from the key-value store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotRecord {
    /// Owner of the slot; `None` if the slot has no owner.
    pub owner: Option<ProcessId>,
    /// Revision of the key; zero if the slot never had an owner.
    pub revision: Revision,
}

/// A transaction that makes a process the owner of a slot if the slot's key still has the expected
/// revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotWrite {
    /// Slot to write.
    pub slot: Slot,
    /// Revision that the slot's key must have.
    pub expected: Revision,
    /// New owner of the slot.
    pub owner: ProcessId,
}

/// Outcome of a [`SlotWrite`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The transaction was applied at this revision.
    Applied(Revision),
    /// The transaction was not executed, because the rate limit was reached or the key-value store
    /// is unavailable.
    Refused,
    /// The transaction failed because the key has another revision.
    Conflict,
    /// No reply arrived: the transaction may have been applied or may still be applied later.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Ownership {
    /// The slot has another owner or none, or its owner is not known.
    NotOwned,
    /// This controller owns the slot under this token.
    Owned(FencingToken),
    /// A transfer of the slot to another process was sent, and its outcome is not known yet.
    Transferring(FencingToken),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SlotState {
    /// Latest record of the key that was read; `None` before the first read.
    last_record: Option<SlotRecord>,
    ownership: Ownership,
    /// Highest token under which this controller's ownership has ended; it is never used again.
    highest_ended_token: FencingToken,
    /// A write to the slot's key is in flight.
    in_flight: bool,
    /// The last read record may be outdated: the key must be read.
    stale: bool,
}

/// Ownership of all slots as known to one controller.
///
/// The fencing token of a slot is the revision of the transaction that last wrote its key
/// (Guard 1, per slot). Two transactions never have the same revision, a later transaction has a
/// higher one, and only the process named in the key uses it as its token. A machine never changes
/// its slot, so the fencing tokens that its worker receives increase monotonically.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlotOwnership {
    local_process: ProcessId,
    slots: Vec<SlotState>,
}

impl SlotOwnership {
    /// Creates a state in which no slot is owned and every key must be read.
    #[must_use]
    pub fn new(local_process: ProcessId, slots: Slots) -> SlotOwnership {
        let state = SlotState {
            last_record: None,
            ownership: Ownership::NotOwned,
            highest_ended_token: FencingToken(0),
            in_flight: false,
            stale: true,
        };
        SlotOwnership {
            local_process,
            slots: vec![state; slots.count()],
        }
    }

    fn state_mut(&mut self, slot: Slot) -> Option<&mut SlotState> {
        self.slots.get_mut(usize::from(slot.0))
    }

    /// Returns the fencing token with which this controller may answer the slot's workers and
    /// commit transactions; `None` while it does not own the slot or is transferring it.
    #[must_use]
    pub fn token(&self, slot: Slot) -> Option<FencingToken> {
        match self.slots.get(usize::from(slot.0))?.ownership {
            Ownership::Owned(token) => Some(token),
            Ownership::NotOwned | Ownership::Transferring(_) => None,
        }
    }

    /// Iterates over the slots that this controller owns, with their fencing tokens.
    pub fn owned(&self) -> impl Iterator<Item = (Slot, FencingToken)> + '_ {
        (0..self.slots.len() as u16)
            .map(Slot)
            .filter_map(|s| Some((s, self.token(s)?)))
    }

    /// Returns the label of the controller to which the slot's workers are redirected; `None` if
    /// the owner is not known, if there is none, or if it is this process.
    #[must_use]
    pub fn owner(&self, slot: Slot) -> Option<&str> {
        let last_record = self.slots.get(usize::from(slot.0))?.last_record.as_ref()?;
        let owner = last_record.owner.as_ref()?;
        (*owner != self.local_process).then_some(owner.label.as_str())
    }

    /// Iterates over the slots whose keys must be read before any action on them.
    pub fn stale_slots(&self) -> impl Iterator<Item = Slot> + '_ {
        let must_read = |i: &usize| self.slots[*i].stale && !self.slots[*i].in_flight;
        (0..self.slots.len())
            .filter(must_read)
            .map(|i| Slot(i as u16))
    }

    /// Handles a record of the slot's key from a read or a watch. Returns the fencing token if
    /// this controller became the owner.
    pub fn on_record(&mut self, slot: Slot, record: SlotRecord) -> Option<FencingToken> {
        let local_process = self.local_process.clone();
        let state = self.state_mut(slot)?;
        state.stale = false;
        // The record is older than the last known one.
        if state
            .last_record
            .as_ref()
            .is_some_and(|k| k.revision > record.revision)
        {
            return None;
        }
        let token = FencingToken(record.revision.0);
        let named_in_key = record.owner.as_ref() == Some(&local_process);
        state.last_record = Some(record);
        match state.ownership {
            // Ownership is unchanged. A slot in transfer has no token until the key shows another
            // revision, because the transaction may be applied late.
            Ownership::Owned(t) | Ownership::Transferring(t) if t == token => None,
            Ownership::Owned(t) | Ownership::Transferring(t) => {
                state.highest_ended_token = state.highest_ended_token.max(t);
                state.ownership = Ownership::NotOwned;
                Self::own_if_named_in_key(state, named_in_key, token)
            }
            Ownership::NotOwned => Self::own_if_named_in_key(state, named_in_key, token),
        }
    }

    fn own_if_named_in_key(
        state: &mut SlotState,
        named_in_key: bool,
        token: FencingToken,
    ) -> Option<FencingToken> {
        (named_in_key && token > state.highest_ended_token).then(|| {
            state.ownership = Ownership::Owned(token);
            token
        })
    }

    /// Ends ownership of a slot because a worker has seen a higher fencing token or a condition on
    /// the slot's key failed: another process owns the slot.
    pub fn on_lost(&mut self, slot: Slot) {
        let Some(state) = self.state_mut(slot) else {
            return;
        };
        if let Ownership::Owned(token) | Ownership::Transferring(token) = state.ownership {
            state.highest_ended_token = state.highest_ended_token.max(token);
            state.ownership = Ownership::NotOwned;
            state.stale = true;
        }
    }

    /// Returns the write that acquires a slot which has no owner or whose owner has failed; the
    /// caller determines the failure (`beamhinge_standby`). The transaction is conditional on the
    /// revision of the key that was read last. `None` if this controller owns the slot already, a
    /// write is in flight, or the key must be read first.
    #[must_use]
    pub fn acquire(&mut self, slot: Slot) -> Option<SlotWrite> {
        let local_process = self.local_process.clone();
        let state = self.state_mut(slot)?;
        let last_record = state
            .last_record
            .as_ref()
            .filter(|_| !state.stale && !state.in_flight)?;
        if state.ownership != Ownership::NotOwned {
            return None;
        }
        let write = SlotWrite {
            slot,
            expected: last_record.revision,
            owner: local_process,
        };
        state.in_flight = true;
        Some(write)
    }

    /// Returns the write that transfers a slot to another process, which already watches the
    /// slot's pages. From this call on, this controller does not answer the slot's workers, because
    /// the transaction may be applied at any time. `None` if this controller does not own the slot
    /// or a write is in flight.
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

    /// Handles the outcome of a write. Returns the fencing token if this controller became the
    /// owner of the slot.
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
            // The write was not executed and never will be, so ownership is unchanged.
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

    /// Returns the write with which this controller acquires a slot again after a transfer whose
    /// outcome is unknown and which the key does not show. The caller does this when the slot has
    /// been without an active owner for too long. The write gives the slot a new fencing token and
    /// thereby ensures that the transfer is never applied. `None` if the slot is not in transfer,
    /// a write is in flight, or the key must be read first.
    #[must_use]
    pub fn reclaim(&mut self, slot: Slot) -> Option<SlotWrite> {
        let local_process = self.local_process.clone();
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
            owner: local_process,
        })
    }
}

#[cfg(test)]
mod tests;
