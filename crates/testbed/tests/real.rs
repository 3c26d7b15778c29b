//! Small runs of the experiments on real processes. Long runs are started by hand.

use std::process::Command;

/// Runs one experiment; returns its exit code and its results, which are the last line of output.
fn lab(words: &[&str]) -> (Option<i32>, serde_json::Value) {
    let output = Command::new(env!("CARGO_BIN_EXE_beamhinge-testbed"))
        .args(words)
        // The directory of the test binary may contain another build of the daemon.
        .args(["--controller", "self"])
        .output()
        .expect("beamhinge-testbed starts");
    let text = String::from_utf8_lossy(&output.stdout);
    let last = text.lines().last().unwrap_or_default();
    let figures = serde_json::from_str(last).unwrap_or_default();
    eprintln!("{}{text}", String::from_utf8_lossy(&output.stderr));
    (output.status.code(), figures)
}

#[test]
fn every_job_keeps_one_final_answer_through_kills() {
    let (code, figures) = lab(&["restart", "--quick"]);
    assert_eq!(code, Some(0), "{figures}");
    assert_eq!(figures["wrong_answers"], 0);
}

/// The checks must be able to fail: here workers report tasks as done while they are running.
#[test]
fn a_broken_guard_is_found() {
    let (code, figures) = lab(&["restart", "--quick", "--break", "early-done"]);
    assert_eq!(code, Some(1), "{figures}");
    assert!(figures["wrong_answers"].as_u64() > Some(0), "{figures}");
}

#[test]
fn hostile_and_slow_clients_change_nothing() {
    let (code, figures) = lab(&["doors"]);
    assert_eq!(code, Some(0), "{figures}");
}

#[test]
fn a_long_list_is_whole() {
    let (code, figures) = lab(&["list", "--quick"]);
    assert_eq!(code, Some(0), "{figures}");
}

#[test]
fn drawn_days_keep_the_rules_and_come_to_an_end() {
    let (code, figures) = lab(&["days", "--quick", "--days", "4", "--seed", "7"]);
    assert_eq!(code, Some(0), "{figures}");
    assert_eq!(figures["days"], 4);
}

/// The checks must be able to fail: with this fault, controllers return healthy machines.
#[test]
fn a_fault_of_old_is_found_by_a_drawn_day() {
    let (code, figures) = lab(&[
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

/// A hundred hollow workers run beside real ones, and the leader is killed: the run must stay
/// within its budgets and violate no rule.
#[test]
fn a_small_scale_run_holds_its_budgets_through_an_end_of_the_leader() {
    let (code, figures) = lab(&[
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
fn a_scale_run_that_cannot_be_played_says_why() {
    for (words, why) in [
        (vec!["scale", "--quick", "--workers", "0"], "workers is 0"),
        (vec!["scale", "--quick", "--zones", "101"], "zones is 101"),
        (vec!["scale", "--minutes", "0"], "--minutes 0"),
    ] {
        let (code, figures) = lab(&words);
        assert_eq!(code, Some(1), "{figures}");
        assert!(
            figures["error"].as_str().is_some_and(|e| e.contains(why)),
            "{figures}"
        );
    }
}
