use super::*;

/// The ranks are listed in ascending order, and each goes ahead of all that follow it.
#[test]
fn rank_orders_by_guarantee_then_urgency_then_lateness_then_borrowing() {
    let rank = |not_prompt, urgency, lateness, borrowing| QueueRank {
        not_prompt,
        urgency: Reverse(urgency),
        lateness,
        borrowing,
    };
    let ascending = [
        rank(false, Urgency::BestEffort, Lateness::DeadlineMissed, true),
        rank(true, Urgency::Critical, Lateness::DeadlineMissed, true),
        rank(true, Urgency::High, Lateness::OnTime, true),
        rank(true, Urgency::High, Lateness::WaitMissed, false),
        rank(true, Urgency::High, Lateness::WaitMissed, true),
        rank(true, Urgency::High, Lateness::DeadlineMissed, false),
        rank(true, Urgency::Standard, Lateness::OnTime, false),
        rank(true, Urgency::BestEffort, Lateness::OnTime, false),
    ];
    assert!(ascending.is_sorted_by(|a, b| a < b));
}

#[test]
fn priority_lane_goes_ahead_of_non_prompt_ranks_up_to_the_ceiling() {
    let behind = |not_prompt, urgency| {
        let rank = QueueRank {
            not_prompt,
            urgency: Reverse(urgency),
            lateness: Lateness::OnTime,
            borrowing: true,
        };
        rank.is_behind_priority_lane(Urgency::High)
    };
    assert!(behind(true, Urgency::High) && behind(true, Urgency::BestEffort));
    assert!(!behind(true, Urgency::Critical) && !behind(false, Urgency::BestEffort));
}
