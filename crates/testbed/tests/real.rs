//! Small runs of the experiments on real processes. Long runs are started by hand.

use std::process::Command;

/// Runs one experiment; returns its exit code and its results, which are the last line of output.
fn run_experiment(arguments: &[&str]) -> (Option<i32>, serde_json::Value) {
    let output = Command::new(env!("CARGO_BIN_EXE_beamhinge-testbed"))
        .args(arguments)
        // The directory of the test binary may contain another build of the daemon.
        .args(["--controller", "self"])
        .output()
        .expect("beamhinge-testbed starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let last_line = text.lines().last().unwrap_or_default();
    let figures = serde_json::from_str(last_line).unwrap_or_default();
    eprintln!("{}{text}", String::from_utf8_lossy(&output.stderr));
    (output.status.code(), figures)
}

#[test]
fn every_job_keeps_one_final_state_while_controllers_are_killed() {
    let (code, figures) = run_experiment(&["restart", "--quick"]);
    assert_eq!(code, Some(0), "{figures}");
    assert_eq!(figures["wrong_answers"], 0);
}

/// The checks must be able to fail: here workers report tasks as done while they are running.
#[test]
fn premature_done_report_is_detected() {
    let (code, figures) = run_experiment(&["restart", "--quick", "--break", "early-done"]);
    assert_eq!(code, Some(1), "{figures}");
    assert!(figures["wrong_answers"].as_u64() > Some(0), "{figures}");
}

#[test]
fn hostile_and_slow_clients_change_no_state() {
    let (code, figures) = run_experiment(&["doors"]);
    assert_eq!(code, Some(0), "{figures}");
}

#[test]
fn long_list_is_paged_without_gaps_or_repeats() {
    let (code, figures) = run_experiment(&["list", "--quick"]);
    assert_eq!(code, Some(0), "{figures}");
}

#[test]
fn random_days_keep_the_invariants_and_finish() {
    let (code, figures) = run_experiment(&["days", "--quick", "--days", "4", "--seed", "7"]);
    assert_eq!(code, Some(0), "{figures}");
    assert_eq!(figures["days"], 4);
}

/// The checks must be able to fail: with this fault, controllers return healthy machines.
#[test]
fn reintroduced_return_of_healthy_machines_is_detected() {
    let (code, figures) = run_experiment(&[
        "days",
        "--quick",
        "--seed",
        "14",
        "--day",
        "20",
        "--break",
        "silence_proves_death",
    ]);
    assert_eq!(code, Some(1), "{figures}");
    assert!(figures["healthy_returned"].as_u64() > Some(10), "{figures}");
}

/// 100 workers run, of which 4 start tasks as processes and the others simulate them with timers.
/// The leader is killed: the run must stay within its budgets and violate no rule.
#[test]
fn small_scale_run_stays_within_budgets_when_the_leader_is_killed() {
    let (code, figures) = run_experiment(&[
        "scale",
        "--quick",
        "--seed",
        "3",
        "--fault",
        "leader-killed@6",
    ]);
    assert_eq!(code, Some(0), "{figures}");
    assert!(
        figures["figures"]["lead_changes"].as_u64() >= Some(1),
        "{figures}"
    );
}

/// The size is validated before any process starts.
#[test]
fn invalid_scale_run_is_rejected_with_the_reason() {
    for (arguments, expected_error) in [
        (vec!["scale", "--quick", "--workers", "0"], "workers is 0"),
        (vec!["scale", "--quick", "--zones", "101"], "zones is 101"),
        (vec!["scale", "--minutes", "0"], "--minutes 0"),
    ] {
        let (code, figures) = run_experiment(&arguments);
        assert_eq!(code, Some(1), "{figures}");
        assert!(
            figures["error"]
                .as_str()
                .is_some_and(|e| e.contains(expected_error)),
            "{figures}"
        );
    }
}
