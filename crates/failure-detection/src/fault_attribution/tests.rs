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

/// Guards against attributing the failures of faulty jobs to healthy machines: nine such machines
/// were once returned to the cloud.
#[test]
fn failures_of_a_faulty_job_do_not_make_machines_faulty() {
    let mut attribution = FaultAttribution::default();
    for m in 0..3 {
        // Four concurrent tasks on each machine.
        for _ in 0..4 {
            let change = attribution.record_failure(at(0.0), machine(m), (job(1), false), 1.0);
            assert!(change.newly_faulty.is_empty(), "{change:?}");
            assert_eq!(change.job_backoff_s.is_some(), m >= 2);
        }
    }
    assert!(attribution.is_job_faulty(job(1)));
    let avoids_machine_0 = |s: f64| {
        attribution
            .avoided_machines(at(s), job(1))
            .is_some_and(|on| on.contains(0))
    };
    assert!(avoids_machine_0(1.0) && !avoids_machine_0(30.0));
    // Two more faulty jobs on the same machines.
    for j in 2..4 {
        for m in 0..3 {
            assert!(attribution
                .record_failure(at(1.0), machine(m), (job(j), false), 1.0)
                .newly_faulty
                .is_empty());
        }
    }
    // After the jobs are cancelled, their failures no longer count against the machines.
    (1..4).for_each(|j| attribution.forget_job(job(j)));
    assert!(attribution
        .record_failure(at(2.0), machine(0), (job(9), false), 1.0)
        .newly_faulty
        .is_empty());
}

#[test]
fn backoff_grows_once_for_tasks_that_fail_together() {
    let mut attribution = FaultAttribution::default();
    let mut last_backoff_s = 0.0;
    let mut now = 0.0;
    for n in 0..12 {
        let change = attribution.record_failure(at(now), machine(n), (job(1), false), 1.0);
        let Some(job_backoff_s) = change.job_backoff_s else {
            continue;
        };
        assert!(job_backoff_s >= last_backoff_s && job_backoff_s <= MAX_BACKOFF_S);
        let repeated_backoff_s = attribution
            .record_failure(at(now), machine(n), (job(1), false), 1.0)
            .job_backoff_s;
        assert_eq!(repeated_backoff_s, Some(job_backoff_s));
        (last_backoff_s, now) = (job_backoff_s, now + job_backoff_s);
    }
    assert_eq!(last_backoff_s, MAX_BACKOFF_S);
}

#[test]
fn machine_on_which_proven_jobs_fail_is_faulty() {
    let mut attribution = FaultAttribution::default();
    attribution.record_success(machine(1), job(1));
    assert!(attribution
        .record_failure(at(0.0), machine(2), (job(1), false), 1.0)
        .newly_faulty
        .is_empty());
    attribution.record_success(machine(1), job(1));
    assert!(
        attribution
            .record_failure(at(0.0), machine(2), (job(1), false), 1.0)
            .newly_faulty
            == [machine(2)]
    );
    // Failures are re-evaluated once the job has a success.
    assert!(attribution
        .record_failure(at(1.0), machine(3), (job(2), false), 1.0)
        .newly_faulty
        .is_empty());
    assert!(attribution
        .record_failure(at(1.0), machine(3), (job(2), false), 1.0)
        .newly_faulty
        .is_empty());
    assert_eq!(
        attribution.record_success(machine(1), job(2)).newly_faulty,
        [machine(3)]
    );
    // Three jobs without any success.
    for j in 10..13 {
        let change = attribution.record_failure(at(2.0), machine(4), (job(j), false), 1.0);
        assert_eq!(change.newly_faulty.is_empty(), j < 12);
    }
}

#[test]
fn machine_is_cleared_when_a_job_that_failed_there_is_faulty() {
    let mut attribution = FaultAttribution::default();
    for j in 1..4 {
        attribution.record_failure(at(0.0), machine(1), (job(j), false), 1.0);
    }
    attribution.record_failure(at(0.0), machine(2), (job(1), false), 1.0);
    attribution.record_failure(at(0.0), machine(3), (job(1), false), 1.0);
    let change = attribution.record_failure(at(0.0), machine(4), (job(1), false), 1.0);
    assert_eq!(
        (change.newly_cleared, change.job_backoff_s.is_some()),
        (vec![machine(1)], true)
    );
    // A success on the machine deletes its failure record.
    attribution.record_success(machine(1), job(7));
    assert!(attribution
        .record_failure(at(1.0), machine(1), (job(8), false), 1.0)
        .newly_faulty
        .is_empty());
}

/// Guards against classifying a new job as faulty because it was placed on several faulty machines
/// at once. While all tasks failed on 22 machines, such jobs waited for a minute.
#[test]
fn job_that_fails_on_several_faulty_machines_is_not_faulty() {
    let mut attribution = FaultAttribution::default();
    // A proven job failed on these machines before.
    for m in 0..4 {
        attribution.record_failure(at(0.0), machine(m), (job(1), true), 1.0);
    }
    for m in 0..4 {
        assert_eq!(
            attribution
                .record_failure(at(1.0), machine(m), (job(2), false), 1.0)
                .job_backoff_s,
            None
        );
    }
    assert!(!attribution.is_job_faulty(job(2)));
    // A job is faulty after failures on three machines, and cleared once the machines are faulty.
    let mut attribution = FaultAttribution::default();
    for m in 0..3 {
        attribution.record_failure(at(0.0), machine(m), (job(2), false), 1.0);
    }
    assert!(attribution.is_job_faulty(job(2)));
    for m in 0..3 {
        attribution.record_failure(at(1.0), machine(m), (job(1), true), 1.0);
        attribution.record_failure(at(1.0), machine(m), (job(1), true), 1.0);
    }
    assert!(!attribution.is_job_faulty(job(2)));
}

#[test]
fn number_of_records_is_bounded() {
    let mut attribution = FaultAttribution::default();
    for n in 0..(MAX_RECORDS as u32 + 50) {
        attribution.record_failure(at(0.0), machine(n), (job(n), false), 1.0);
        attribution.record_failure(at(0.0), machine(0), (job(n), false), 1.0);
    }
    assert_eq!(
        (attribution.jobs.len(), attribution.machines.len()),
        (MAX_RECORDS, MAX_RECORDS)
    );
    assert!(attribution.machines[&machine(0)].failures_by_job.len() <= MAX_FAILURES_PER_RECORD);
}
