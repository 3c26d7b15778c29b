use super::*;
use crate::scale::size::OPERATORS_TABLE;

#[test]
fn fault_is_parsed_from_name_and_time() {
    let fault: Fault = "leader-killed@12.5".parse().expect("valid");
    assert_eq!(
        fault,
        Fault {
            kind: FaultKind::LeaderKilled,
            at_s: 12.5
        }
    );
    assert_eq!(fault.kind.to_string(), "leader-killed");
    for invalid in [
        "leader-killed",
        "leader-killed@x",
        "leader-killed@-1",
        "leader-killed@inf",
    ] {
        assert_eq!(
            invalid.parse::<Fault>(),
            Err(FaultError::Format(invalid.into()))
        );
    }
    let error = "leader-kiled@1"
        .parse::<Fault>()
        .expect_err("unknown")
        .to_string();
    assert!(
        error.contains("leader-killed"),
        "the error lists the faults: {error}"
    );
}

#[test]
fn drawn_faults_occur_at_the_rates_of_the_table() {
    let size = Size::parse("t", OPERATORS_TABLE).expect("valid");
    let faults = draw(&size, 100.0 * 86_400.0, 1.0, 5);
    let count = |kind| faults.iter().filter(|f| f.kind == kind).count() as f64;
    assert!((count(FaultKind::MachineFailure) / 2_100.0 - 1.0).abs() < 0.1);
    assert!((count(FaultKind::MachineRestart) / 12_000.0 - 1.0).abs() < 0.1);
    assert!(count(FaultKind::RackFailure) < 10.0);
    assert!(faults.windows(2).all(|w| w[0].at_s <= w[1].at_s));
    assert_eq!(faults, draw(&size, 100.0 * 86_400.0, 1.0, 5));
}
