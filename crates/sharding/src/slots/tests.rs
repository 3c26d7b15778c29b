use super::*;
use beamhinge_core::settings::{Settings, SAMPLE};

#[test]
fn slot_count_fits_one_transaction_and_machines_spread_evenly() {
    let mut settings = Settings::parse("t", SAMPLE).expect("the sample settings are valid");
    for (max_writes, count) in [(1, 1), (3, 1), (8, 6), (20, 16), (24, 16)] {
        settings.params.state.txn_ops = max_writes;
        let slots = Slots::for_limits(&TransactionLimits::from(&settings.params.state));
        assert_eq!(slots.count(), count, "{max_writes} writes per transaction");
    }
    let slots = Slots(16);
    let mut machines_by_slot = vec![0u32; slots.count()];
    for n in 0..1_600 {
        let id = MachineId::parse(&format!("n-{n:06}")).expect("valid machine name");
        assert_eq!(slots.slot_of(id), slots.slot_of(id));
        machines_by_slot[usize::from(slots.slot_of(id).0)] += 1;
    }
    // 100 machines are expected in each slot; four standard deviations are 39.
    assert!(
        machines_by_slot.iter().all(|n| (61..=139).contains(n)),
        "{machines_by_slot:?}"
    );
}

/// Stored slot ownership depends on the hash: another hash function would assign machines to other
/// owners.
#[test]
fn slot_of_a_name_never_changes() {
    let id = MachineId::parse("n-000231").expect("valid machine name");
    assert_eq!(Slots(16).slot_of(id).0, (xxh3_64(b"n-000231") % 16) as u16);
    assert_eq!(xxh3_64(b""), 0x2d06_8005_38d3_94c2);
}
