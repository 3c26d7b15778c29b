use super::*;
use beamhinge_rate_limit::TransactionLimits;

const SLOT: Slot = Slot(0);

fn process(label: &str, nonce: u64) -> ProcessId {
    ProcessId {
        label: label.into(),
        nonce,
    }
}

fn ownership_of(label: &str, nonce: u64) -> SlotOwnership {
    let limits = TransactionLimits {
        writes: 3,
        conditions: 12,
        bytes: 9_000,
        value_bytes: 900,
    };
    SlotOwnership::new(process(label, nonce), Slots::for_limits(&limits))
}

fn record(owner: &ProcessId, revision: u64) -> SlotRecord {
    SlotRecord {
        owner: Some(owner.clone()),
        revision: Revision(revision),
    }
}

fn owning_since(nonce: u64, revision: u64) -> SlotOwnership {
    let mut ownership = ownership_of("a", nonce);
    ownership.on_record(
        SLOT,
        SlotRecord {
            owner: None,
            revision: Revision(0),
        },
    );
    let acquisition = ownership.acquire(SLOT).expect("the slot has no owner");
    assert!(
        ownership.acquire(SLOT).is_none(),
        "a second write was issued while one is in flight"
    );
    assert_eq!(
        ownership.on_write(&acquisition, WriteOutcome::Applied(Revision(revision))),
        Some(FencingToken(revision))
    );
    ownership
}

#[test]
fn acquired_slot_whose_reply_is_lost_is_recognized_by_its_nonce() {
    let mut ownership = ownership_of("a", 1);
    ownership.on_record(
        SLOT,
        SlotRecord {
            owner: None,
            revision: Revision(0),
        },
    );
    let acquisition = ownership.acquire(SLOT).expect("the slot has no owner");
    assert_eq!(
        ownership.on_write(&acquisition, WriteOutcome::Unknown),
        None
    );
    assert_eq!(ownership.stale_slots().collect::<Vec<_>>(), [SLOT]);
    assert!(
        ownership.acquire(SLOT).is_none(),
        "the key must be read first"
    );
    assert_eq!(
        ownership.on_record(SLOT, record(&process("a", 1), 7)),
        Some(FencingToken(7))
    );
    // A process with the same label but another nonce is not the owner.
    assert_eq!(
        ownership_of("a", 2).on_record(SLOT, record(&process("a", 1), 7)),
        None
    );
}

#[test]
fn transferred_slot_has_no_token_until_the_key_shows_its_owner() {
    let b = process("b", 5);
    let mut ownership = owning_since(1, 7);
    let transfer = ownership
        .transfer(SLOT, b.clone())
        .expect("the slot is owned");
    assert_eq!(
        ownership.token(SLOT),
        None,
        "the transfer may be applied at any time"
    );
    ownership.on_write(&transfer, WriteOutcome::Unknown);
    ownership.on_record(SLOT, record(&process("a", 1), 7));
    assert_eq!(
        ownership.token(SLOT),
        None,
        "the transfer may still be applied"
    );
    let reclaim = ownership
        .reclaim(SLOT)
        .expect("the key does not show the transfer");
    assert_eq!(
        reclaim.expected,
        Revision(7),
        "one of the two transactions fails"
    );
    assert_eq!(
        ownership.on_write(&reclaim, WriteOutcome::Applied(Revision(9))),
        Some(FencingToken(9))
    );
    // The transfer was applied before the controller reclaimed the slot.
    let mut ownership = owning_since(1, 7);
    let transfer = ownership
        .transfer(SLOT, b.clone())
        .expect("the slot is owned");
    ownership.on_write(&transfer, WriteOutcome::Unknown);
    ownership.on_record(SLOT, record(&b, 8));
    assert_eq!(
        (ownership.token(SLOT), ownership.owner(SLOT)),
        (None, Some("b"))
    );
    // A refused transfer is never executed: the token is valid again.
    let mut ownership = owning_since(1, 7);
    let transfer = ownership.transfer(SLOT, b).expect("the slot is owned");
    ownership.on_write(&transfer, WriteOutcome::Refused);
    assert_eq!(ownership.token(SLOT), Some(FencingToken(7)));
}

#[test]
fn token_that_ended_is_never_used_again() {
    let mut ownership = owning_since(1, 7);
    ownership.on_lost(SLOT);
    assert_eq!(
        ownership.on_record(SLOT, record(&process("a", 1), 7)),
        None,
        "the token has ended"
    );
    assert_eq!(ownership.on_record(SLOT, record(&process("b", 2), 9)), None);
    assert_eq!(ownership.on_record(SLOT, record(&process("a", 1), 7)), None);
    assert_eq!(ownership.owner(SLOT), Some("b"));
    assert_eq!(
        ownership.on_record(SLOT, record(&process("a", 1), 12)),
        Some(FencingToken(12)),
        "the slot was returned with a new token"
    );
}
