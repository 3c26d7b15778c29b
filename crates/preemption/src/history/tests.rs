use super::*;
use beamhinge_core::types::JobId;

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobId::parse("job-7").expect("an id"),
        index,
    }
}

#[test]
fn frequently_preempted_task_is_protected_and_history_is_bounded() {
    let mut history = PreemptionHistory::new(3);
    for count in 0..3 {
        assert_eq!(history.may_preempt(task(0), 1.0, 2, 60.0), count < 2);
        history.record(task(0));
    }
    assert!(
        history.may_preempt(task(0), 60.0, 2, 60.0),
        "the protected time is over"
    );
    for index in 1..100 {
        history.record(task(index));
    }
    assert!(history.preemptions.len() <= 3 && !history.may_preempt(task(0), 1.0, 2, 60.0));
    history.retain(|_| false);
    assert!(history.may_preempt(task(0), 1.0, 2, 60.0));
}
