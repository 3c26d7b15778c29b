use super::*;
use beamhinge_rate_limit::TransactionLimits;

const SLOT: Slot = Slot(0);

fn name(label: &str, nonce: u64) -> ProcessId {
    ProcessId {
        label: label.into(),
        nonce,
    }
}

fn slots_of(label: &str, nonce: u64) -> SlotOwnership {
    let limits = TransactionLimits {
        writes: 3,
        conditions: 12,
        bytes: 9_000,
        value_bytes: 900,
    };
    SlotOwnership::new(name(label, nonce), Slots::within(&limits))
}

fn entry(owner: &ProcessId, revision: u64) -> SlotRecord {
    SlotRecord {
        owner: Some(owner.clone()),
        revision: Revision(revision),
    }
}

fn owning(nonce: u64, revision: u64) -> SlotOwnership {
    let mut s = slots_of("a", nonce);
    s.on_record(
        SLOT,
        SlotRecord {
            owner: None,
            revision: Revision(0),
        },
    );
    let take = s.acquire(SLOT).expect("the slot has no owner");
    assert!(
        s.acquire(SLOT).is_none(),
        "a second write was issued while one is in flight"
    );
    assert_eq!(
        s.on_write(&take, WriteOutcome::Applied(Revision(revision))),
        Some(FencingToken(revision))
    );
    s
}

#[test]
fn acquired_slot_whose_reply_is_lost_is_recognized_by_its_nonce() {
    let mut s = slots_of("a", 1);
    s.on_record(
        SLOT,
        SlotRecord {
            owner: None,
            revision: Revision(0),
        },
    );
    let take = s.acquire(SLOT).expect("the slot has no owner");
    assert_eq!(s.on_write(&take, WriteOutcome::Unknown), None);
    assert_eq!(s.stale_slots().collect::<Vec<_>>(), [SLOT]);
    assert!(s.acquire(SLOT).is_none(), "the key must be read first");
    assert_eq!(
        s.on_record(SLOT, entry(&name("a", 1), 7)),
        Some(FencingToken(7))
    );
    // A process with the same label but another nonce is not the owner.
    assert_eq!(
        slots_of("a", 2).on_record(SLOT, entry(&name("a", 1), 7)),
        None
    );
}

#[test]
fn transferred_slot_has_no_token_until_the_key_shows_its_owner() {
    let b = name("b", 5);
    let mut s = owning(1, 7);
    let gift = s.transfer(SLOT, b.clone()).expect("held");
    assert_eq!(
        s.token(SLOT),
        None,
        "the transfer may be applied at any time"
    );
    s.on_write(&gift, WriteOutcome::Unknown);
    s.on_record(SLOT, entry(&name("a", 1), 7));
    assert_eq!(s.token(SLOT), None, "the transfer may still be applied");
    let back = s.reclaim(SLOT).expect("the key does not show the transfer");
    assert_eq!(
        back.expected,
        Revision(7),
        "one of the two transactions fails"
    );
    assert_eq!(
        s.on_write(&back, WriteOutcome::Applied(Revision(9))),
        Some(FencingToken(9))
    );
    // The transfer was applied before the controller reclaimed the slot.
    let mut s = owning(1, 7);
    let gift = s.transfer(SLOT, b.clone()).expect("held");
    s.on_write(&gift, WriteOutcome::Unknown);
    s.on_record(SLOT, entry(&b, 8));
    assert_eq!((s.token(SLOT), s.owner(SLOT)), (None, Some("b")));
    // A refused transfer is never executed: the token is valid again.
    let mut s = owning(1, 7);
    let gift = s.transfer(SLOT, b).expect("held");
    s.on_write(&gift, WriteOutcome::Refused);
    assert_eq!(s.token(SLOT), Some(FencingToken(7)));
}

#[test]
fn token_that_ended_is_never_used_again() {
    let mut s = owning(1, 7);
    s.on_lost(SLOT);
    assert_eq!(
        s.on_record(SLOT, entry(&name("a", 1), 7)),
        None,
        "the token has ended"
    );
    assert_eq!(s.on_record(SLOT, entry(&name("b", 2), 9)), None);
    assert_eq!(s.on_record(SLOT, entry(&name("a", 1), 7)), None);
    assert_eq!(s.owner(SLOT), Some("b"));
    assert_eq!(
        s.on_record(SLOT, entry(&name("a", 1), 12)),
        Some(FencingToken(12)),
        "the slot was returned with a new token"
    );
}
