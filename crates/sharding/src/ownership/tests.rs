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
    let take = s.acquire(SLOT).expect("nobody holds it");
    assert!(s.acquire(SLOT).is_none(), "one at a time");
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
    let take = s.acquire(SLOT).expect("free");
    assert_eq!(s.on_write(&take, WriteOutcome::Unknown), None);
    assert_eq!(s.stale_slots().collect::<Vec<_>>(), [SLOT]);
    assert!(s.acquire(SLOT).is_none(), "read first");
    assert_eq!(
        s.on_record(SLOT, entry(&name("a", 1), 7)),
        Some(FencingToken(7))
    );
    // Another process of the same label is another.
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
    assert_eq!(s.token(SLOT), None, "it may be applied at any time");
    s.on_write(&gift, WriteOutcome::Unknown);
    s.on_record(SLOT, entry(&name("a", 1), 7));
    assert_eq!(s.token(SLOT), None, "and may be still");
    let back = s.reclaim(SLOT).expect("not shown");
    assert_eq!(
        back.expected,
        Revision(7),
        "one of the two transactions fails"
    );
    assert_eq!(
        s.on_write(&back, WriteOutcome::Applied(Revision(9))),
        Some(FencingToken(9))
    );
    // The gift was applied first.
    let mut s = owning(1, 7);
    let gift = s.transfer(SLOT, b.clone()).expect("held");
    s.on_write(&gift, WriteOutcome::Unknown);
    s.on_record(SLOT, entry(&b, 8));
    assert_eq!((s.token(SLOT), s.owner(SLOT)), (None, Some("b")));
    // Refused for sure: as before.
    let mut s = owning(1, 7);
    let gift = s.transfer(SLOT, b).expect("held");
    s.on_write(&gift, WriteOutcome::Refused);
    assert_eq!(s.token(SLOT), Some(FencingToken(7)));
}

#[test]
fn token_that_ended_is_never_used_again() {
    let mut s = owning(1, 7);
    s.on_lost(SLOT);
    assert_eq!(s.on_record(SLOT, entry(&name("a", 1), 7)), None, "old news");
    assert_eq!(s.on_record(SLOT, entry(&name("b", 2), 9)), None);
    assert_eq!(s.on_record(SLOT, entry(&name("a", 1), 7)), None);
    assert_eq!(s.owner(SLOT), Some("b"));
    assert_eq!(
        s.on_record(SLOT, entry(&name("a", 1), 12)),
        Some(FencingToken(12)),
        "given back"
    );
}
