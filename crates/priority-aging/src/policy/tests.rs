use super::*;

fn policy() -> AgingPolicy {
    AgingPolicy::new(PriorityAging {
        on: true,
        ..PriorityAging::default()
    })
}

#[test]
fn priority_grows_to_the_ceiling_and_urgent_jobs_are_exempt() {
    let policy = policy();
    let settings = PriorityAging::default();
    let after = |urgency, age_s: f64| {
        let wall = WallMs(10_000 + (age_s * 1e3) as u64);
        policy.boost(urgency, WallMs(10_000), wall)
    };
    let best_effort = |age_s| after(Urgency::BestEffort, age_s).priority;
    assert_eq!(best_effort(0.0), 0.0);
    assert!((best_effort(settings.best_effort_s / 2.0) - 1.0).abs() < 1e-9);
    assert_eq!(best_effort(settings.best_effort_s * 9.0), 2.0);
    assert_eq!(
        after(Urgency::Standard, settings.standard_s).boosted_in_s,
        Some(0.0)
    );
    assert_eq!(
        after(Urgency::High, 1e6),
        PriorityBoost {
            priority: 2.0,
            boosted_in_s: None
        }
    );
    assert_eq!(policy.boosted_at_ms(Urgency::Critical, WallMs(0)), None);
}

#[test]
fn disabled_policy_boosts_nothing() {
    let policy = AgingPolicy::new(PriorityAging::default());
    assert!(
        !policy.is_enabled()
            && policy
                .boosted_at_ms(Urgency::BestEffort, WallMs(0))
                .is_none()
    );
}

/// Two controllers whose clocks differ by the whole allowed skew compute the same order.
#[test]
fn order_of_boosted_jobs_is_independent_of_the_local_clock() {
    let policy = policy();
    let (earlier, later) = (WallMs(1_000_000), WallMs(1_000_400));
    let boosted_at = |submitted| policy.boosted_at_ms(Urgency::Standard, submitted);
    assert!(
        boosted_at(earlier) < boosted_at(later),
        "the order depends on the stored submission times only"
    );
    assert_eq!(
        boosted_at(WallMs(u64::MAX)),
        Some(u64::MAX),
        "a job with the latest possible submission time is never boosted"
    );
    // A submission time in the future does not give a negative age.
    assert_eq!(
        policy.boost(Urgency::Standard, later, earlier).priority,
        1.0
    );
}
