use super::*;

fn job(n: u32) -> JobId {
    JobId::parse(&format!("job-{n}")).expect("an id")
}

fn machine(n: u32) -> MachineId {
    MachineId::parse(&format!("n-{n:06}")).expect("a name")
}

fn at(s: f64) -> Time {
    Time::default().plus(100.0 + s)
}

/// Guards against returning healthy machines because of faulty jobs; nine were returned on one
/// day of operations.
#[test]
fn faulty_job_makes_no_machine_faulty() {
    let mut b = FaultAttribution::default();
    for m in 0..3 {
        // Four concurrent tasks on each machine.
        for _ in 0..4 {
            let v = b.record_failure(at(0.0), machine(m), (job(1), false), 1.0);
            assert!(v.newly_faulty.is_empty(), "{v:?}");
            assert_eq!(v.job_backoff_s.is_some(), m >= 2);
        }
    }
    assert!(b.is_job_faulty(job(1)));
    let avoided_machines = |s: f64| {
        b.avoided_machines(at(s), job(1))
            .is_some_and(|on| on.contains(0))
    };
    assert!(avoided_machines(1.0) && !avoided_machines(30.0));
    // Two more faulty jobs on the same machines.
    for j in 2..4 {
        for m in 0..3 {
            assert!(b
                .record_failure(at(1.0), machine(m), (job(j), false), 1.0)
                .newly_faulty
                .is_empty());
        }
    }
    // After the jobs are cancelled, their failures no longer count against the machines.
    (1..4).for_each(|j| b.forget_job(job(j)));
    assert!(b
        .record_failure(at(2.0), machine(0), (job(9), false), 1.0)
        .newly_faulty
        .is_empty());
}

#[test]
fn backoff_grows_once_for_tasks_that_fail_together() {
    let mut b = FaultAttribution::default();
    let mut last = 0.0;
    let mut now = 0.0;
    for n in 0..12 {
        let v = b.record_failure(at(now), machine(n), (job(1), false), 1.0);
        let Some(job_backoff_s) = v.job_backoff_s else {
            continue;
        };
        assert!(job_backoff_s >= last && job_backoff_s <= MAX_BACKOFF_S);
        let again = b
            .record_failure(at(now), machine(n), (job(1), false), 1.0)
            .job_backoff_s;
        assert_eq!(again, Some(job_backoff_s));
        (last, now) = (job_backoff_s, now + job_backoff_s);
    }
    assert_eq!(last, MAX_BACKOFF_S);
}

#[test]
fn machine_that_fails_sound_jobs_is_faulty() {
    let mut b = FaultAttribution::default();
    b.record_success(machine(1), job(1));
    assert!(b
        .record_failure(at(0.0), machine(2), (job(1), false), 1.0)
        .newly_faulty
        .is_empty());
    b.record_success(machine(1), job(1));
    assert!(
        b.record_failure(at(0.0), machine(2), (job(1), false), 1.0)
            .newly_faulty
            == [machine(2)]
    );
    // Failures are re-evaluated once the job has a success.
    assert!(b
        .record_failure(at(1.0), machine(3), (job(2), false), 1.0)
        .newly_faulty
        .is_empty());
    assert!(b
        .record_failure(at(1.0), machine(3), (job(2), false), 1.0)
        .newly_faulty
        .is_empty());
    assert_eq!(
        b.record_success(machine(1), job(2)).newly_faulty,
        [machine(3)]
    );
    // Three jobs without any success.
    for j in 10..13 {
        let v = b.record_failure(at(2.0), machine(4), (job(j), false), 1.0);
        assert_eq!(v.newly_faulty.is_empty(), j < 12);
    }
}

#[test]
fn machine_is_cleared_when_its_failed_job_is_faulty() {
    let mut b = FaultAttribution::default();
    for j in 1..4 {
        b.record_failure(at(0.0), machine(1), (job(j), false), 1.0);
    }
    b.record_failure(at(0.0), machine(2), (job(1), false), 1.0);
    b.record_failure(at(0.0), machine(3), (job(1), false), 1.0);
    let v = b.record_failure(at(0.0), machine(4), (job(1), false), 1.0);
    assert_eq!(
        (v.newly_cleared, v.job_backoff_s.is_some()),
        (vec![machine(1)], true)
    );
    // A success on the machine deletes its failure record.
    b.record_success(machine(1), job(7));
    assert!(b
        .record_failure(at(1.0), machine(1), (job(8), false), 1.0)
        .newly_faulty
        .is_empty());
}

/// Guards against taking a new job for faulty because it was placed on several faulty machines at
/// once. On a day on which all tasks failed on 22 machines, such jobs waited for a minute.
#[test]
fn job_that_meets_several_faulty_machines_is_not_faulty() {
    let mut b = FaultAttribution::default();
    // A proven job failed on these machines before.
    for m in 0..4 {
        b.record_failure(at(0.0), machine(m), (job(1), true), 1.0);
    }
    for m in 0..4 {
        assert_eq!(
            b.record_failure(at(1.0), machine(m), (job(2), false), 1.0)
                .job_backoff_s,
            None
        );
    }
    assert!(!b.is_job_faulty(job(2)));
    // A job is faulty after failures on three machines, and cleared once the machines are faulty.
    let mut b = FaultAttribution::default();
    for m in 0..3 {
        b.record_failure(at(0.0), machine(m), (job(2), false), 1.0);
    }
    assert!(b.is_job_faulty(job(2)));
    for m in 0..3 {
        b.record_failure(at(1.0), machine(m), (job(1), true), 1.0);
        b.record_failure(at(1.0), machine(m), (job(1), true), 1.0);
    }
    assert!(!b.is_job_faulty(job(2)));
}

#[test]
fn memory_is_bounded() {
    let mut b = FaultAttribution::default();
    for n in 0..(MAX_REMEMBERED as u32 + 50) {
        b.record_failure(at(0.0), machine(n), (job(n), false), 1.0);
        b.record_failure(at(0.0), machine(0), (job(n), false), 1.0);
    }
    assert_eq!(
        (b.jobs.len(), b.machines.len()),
        (MAX_REMEMBERED, MAX_REMEMBERED)
    );
    assert!(b.machines[&machine(0)].failures_by_job.len() <= MAX_FAILURES_PER_RECORD);
}
