use super::*;
use beamhinge_rate_limit::TransactionLimits;

const LIMITS: RebalanceLimits = RebalanceLimits {
    min_healthy_s: 15.0,
    min_interval_s: 2.0,
    failure_memory_s: 300.0,
};

fn slots() -> Slots {
    Slots::for_limits(&TransactionLimits {
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
fn simulate(
    seconds: u32,
    healthy: impl Fn(&str, u32) -> bool,
) -> (BTreeMap<Slot, String>, u32, u32) {
    let (mut rebalancer, mut owners) = (Rebalancer::default(), BTreeMap::new());
    let load: BTreeMap<Slot, f64> = slots().all().map(|s| (s, 1.0)).collect();
    let (mut moves, mut unowned_moves) = (0, 0);
    for s in 0..seconds {
        let member = |label: &str| Member {
            label: label.into(),
            healthy: healthy(label, s),
        };
        let members: Vec<Member> = ["a", "b", "c"].into_iter().map(member).collect();
        rebalancer.update_members(at(f64::from(s)), &members, &LIMITS);
        for m in rebalancer.plan_moves(at(f64::from(s)), slots(), &owners, &load, &LIMITS) {
            moves += u32::from(s > 0);
            unowned_moves += u32::from(s > 0 && m.from.is_none());
            owners.insert(m.slot, m.to);
        }
    }
    (owners, moves, unowned_moves)
}

fn owned_count(owners: &BTreeMap<Slot, String>, label: &str) -> usize {
    owners.values().filter(|owner| *owner == label).count()
}

#[test]
fn three_healthy_members_share_evenly_without_moves() {
    let (owners, moves, _) = simulate(600, |_, _| true);
    assert_eq!(moves, 0);
    assert!(
        ["a", "b", "c"]
            .iter()
            .all(|label| (5..=6).contains(&owned_count(&owners, label))),
        "{owners:?}"
    );
}

#[test]
fn recovered_member_regains_slots_gradually_and_single_member_owns_all() {
    let (owners, moves, unowned_moves) =
        simulate(120, |label, s| label != "c" || !(30..50).contains(&s));
    assert!(
        ["a", "b", "c"]
            .iter()
            .all(|label| (5..=6).contains(&owned_count(&owners, label))),
        "{owners:?}"
    );
    assert!(
        unowned_moves == 5 && moves <= 10,
        "{moves} moves, {unowned_moves} of slots without a healthy owner"
    );
    let (owners, ..) = simulate(60, |label, s| label == "a" || s < 20);
    assert_eq!(owned_count(&owners, "a"), 16);
}

/// The controller fails every 20 s and recovers after 4 s. After its first failure it is never
/// healthy for long enough, so only the slots that it owned initially move.
#[test]
fn flapping_member_causes_few_moves() {
    let (owners, moves, _) = simulate(600, |label, s| label != "c" || s % 20 < 16);
    assert!(moves <= 12, "{moves} moves in ten minutes");
    assert_eq!(owned_count(&owners, "c"), 0);
}

#[test]
fn slot_without_owner_is_assigned_without_a_settled_member() {
    let (owners, ..) = simulate(3, |label, s| label == "b" && s >= 1);
    assert_eq!(owned_count(&owners, "b"), 16);
}
