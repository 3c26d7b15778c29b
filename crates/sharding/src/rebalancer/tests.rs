use super::*;
use beamhinge_rate_limit::TransactionLimits;

const BOUNDS: RebalanceLimits = RebalanceLimits {
    settled_s: 15.0,
    min_interval_s: 2.0,
    memory_s: 300.0,
};

fn slots() -> Slots {
    Slots::within(&TransactionLimits {
        writes: 20,
        conditions: 80,
        bytes: 9_000,
        value_bytes: 900,
    })
}

fn at(s: f64) -> Time {
    Time::default().plus(1_000.0 + s)
}

/// Simulates the given number of seconds and carries out planned moves immediately. Returns the
/// owners at the end, the number of moves, and the number of moves of slots without a healthy
/// owner. Moves in the first second are not counted.
fn play(seconds: u32, healthy: impl Fn(&str, u32) -> bool) -> (BTreeMap<Slot, String>, u32, u32) {
    let (mut rebalancer, mut owners) = (Rebalancer::default(), BTreeMap::new());
    let load: BTreeMap<Slot, f64> = slots().all().map(|s| (s, 1.0)).collect();
    let (mut moves, mut orphaned) = (0, 0);
    for s in 0..seconds {
        let member = |l: &str| Member {
            label: l.into(),
            healthy: healthy(l, s),
        };
        let members: Vec<Member> = ["a", "b", "c"].into_iter().map(member).collect();
        rebalancer.update_members(at(f64::from(s)), &members, &BOUNDS);
        for m in rebalancer.plan_moves(at(f64::from(s)), slots(), &owners, &load, &BOUNDS) {
            moves += u32::from(s > 0);
            orphaned += u32::from(s > 0 && m.from.is_none());
            owners.insert(m.slot, m.to);
        }
    }
    (owners, moves, orphaned)
}

fn of(owners: &BTreeMap<Slot, String>, label: &str) -> usize {
    owners.values().filter(|h| *h == label).count()
}

#[test]
fn three_healthy_members_share_evenly_without_moves() {
    let (owners, moves, _) = play(600, |_, _| true);
    assert_eq!(moves, 0);
    assert!(
        ["a", "b", "c"]
            .iter()
            .all(|l| (5..=6).contains(&of(&owners, l))),
        "{owners:?}"
    );
}

#[test]
fn recovered_member_regains_slots_gradually_and_single_member_owns_all() {
    let (owners, moves, orphaned) = play(120, |l, s| l != "c" || !(30..50).contains(&s));
    assert!(
        ["a", "b", "c"]
            .iter()
            .all(|l| (5..=6).contains(&of(&owners, l))),
        "{owners:?}"
    );
    assert!(
        orphaned == 5 && moves <= 10,
        "{moves} moves, {orphaned} of slots without a healthy owner"
    );
    let (owners, ..) = play(60, |l, s| l == "a" || s < 20);
    assert_eq!(of(&owners, "a"), 16);
}

/// The controller fails every 20 s and recovers after 4 s. After its first failure it is never
/// healthy for long enough, so only the slots that it owned initially move.
#[test]
fn flapping_member_causes_few_moves() {
    let (owners, moves, _) = play(600, |l, s| l != "c" || s % 20 < 16);
    assert!(moves <= 12, "{moves} moves in ten minutes");
    assert_eq!(of(&owners, "c"), 0);
}

#[test]
fn slot_without_owner_is_assigned_without_a_settled_member() {
    let (owners, ..) = play(3, |l, s| l == "b" && s >= 1);
    assert_eq!(of(&owners, "b"), 16);
}
