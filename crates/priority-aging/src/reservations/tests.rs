use super::*;

fn id(number: u32) -> JobId {
    JobId::parse(&format!("job-{number}")).expect("an id")
}

fn machine(number: u32) -> MachineId {
    MachineId::parse(&format!("n-{number:06}")).expect("a name")
}

fn cpus(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: 0.0,
        memory_gb: 0.0,
    }
}

#[test]
fn earliest_fit_is_the_end_of_the_last_required_task() {
    let task = |remaining_s, size| RunningTask {
        remaining_s,
        resources: cpus(size),
    };
    let mut running = [task(30.0, 8.0), task(10.0, 8.0), task(20.0, 16.0)];
    let mut fits_in = |free, requested| earliest_fit_s(cpus(free), &mut running, cpus(requested));
    assert_eq!(fits_in(0.0, 8.0), Some(10.0));
    assert_eq!(fits_in(0.0, 20.0), Some(20.0));
    assert_eq!(fits_in(2.0, 34.0), Some(30.0));
    assert_eq!(fits_in(2.0, 64.0), None);
    assert_eq!(earliest_fit_s(cpus(2.0), &mut [], cpus(1.0)), Some(0.0));
}

/// If an estimate is wrong by a factor of four, backfill on the machine still stops at the expected
/// time, and the job does not move to another machine.
#[test]
fn reservation_with_wrong_estimate_keeps_machine_and_time() {
    let now = Time::from_micros(1_000_000);
    let mut reservations = Reservations::default();
    let first = reservations.reserve(
        now,
        id(1),
        [(machine(1), 40.0), (machine(2), 10.0)].into_iter(),
    );
    let reservation = first.expect("one is free");
    assert_eq!(reservation.machine, machine(2));
    assert!(
        reservation.admits_backfill(now, 10.0) && !reservation.admits_backfill(now.plus(5.0), 10.0)
    );
    // The expected ten seconds have passed, but the tasks on the machine still run.
    let later = now.plus(11.0);
    let again = reservations.reserve(
        later,
        id(1),
        [(machine(1), 1.0), (machine(2), 30.0)].into_iter(),
    );
    assert_eq!(again, Some(reservation));
    assert!(!reservation.admits_backfill(later, 0.1));
    // Another job cannot reserve the same machine.
    assert!(reservations
        .reserve(later, id(2), [(machine(2), 0.0)].into_iter())
        .is_none());
    reservations.retain(|job, _| job != id(1));
    assert!(reservations.is_empty() && reservations.owner(machine(2)).is_none());
}
