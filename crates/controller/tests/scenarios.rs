//! Plays every scenario file in `tests/scenarios/`, each as a test of its own.

use beamhinge_controller::faults::Faults;
use beamhinge_sim::scenario;
use libtest_mimic::{Arguments, Failed, Trial};
use std::path::Path;
use std::sync::Arc;

/// Plays a scenario without one of the controller's guards: it must violate the given rule or,
/// with `fails`, any expectation. This shows that the scenario detects the missing guard.
fn run_without(text: &str, guard: &str, expected: &str) -> Result<(), Failed> {
    let faults = Faults::named(guard).ok_or_else(|| format!("unknown guard '{guard}'"))?;
    let outcome = scenario::play(text, faults).map_err(|e| e.to_string())?;
    let found = match expected {
        "fails" => !outcome.failures.is_empty(),
        rule => outcome.violations.iter().any(|v| v == rule),
    };
    match found {
        true => Ok(()),
        false => Err(format!(
            "without {guard} the scenario should show {expected}: {:?}",
            outcome.failures
        )
        .into()),
    }
}

/// The guard and the rule of each `without GUARD RULE` line of a file.
fn disabled_guards(text: &str) -> Vec<(String, String)> {
    let words = text
        .lines()
        .map(|l| l.split_whitespace().collect::<Vec<_>>());
    let without = words.filter(|w| w.first() == Some(&"without"));
    let word = |w: &[&str], i: usize| w.get(i).map_or(String::new(), |w| (*w).to_string());
    without.map(|w| (word(&w, 1), word(&w, 2))).collect()
}

fn run(text: &str) -> Result<(), Failed> {
    let outcome = scenario::play(text, Default::default()).map_err(|e| e.to_string())?;
    match outcome.failures.is_empty() {
        true => Ok(()),
        false => Err(outcome.failures.join("\n").into()),
    }
}

fn main() {
    // LOG_LEVEL=debug prints the logs of the scenario's controllers.
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "off".into());
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::new(level))
        .without_time()
        .init();
    let args = Arguments::from_args();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(&folder)
        .expect("the directory of the scenarios is readable")
        .filter_map(|e| Some(e.ok()?.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "txt"))
        .collect();
    files.sort();
    assert!(files.len() >= 20, "too few scenario files found");
    let mut trials = Vec::new();
    for path in files {
        let name = path
            .file_stem()
            .map(|s| s.to_string_lossy().into_owned())
            .unwrap_or_default();
        let text = Arc::new(std::fs::read_to_string(&path).expect("a scenario file is readable"));
        for (guard, expected) in disabled_guards(&text) {
            let text = text.clone();
            let name = format!("{name}_without_{guard}");
            trials.push(Trial::test(name, move || {
                run_without(&text, &guard, &expected)
            }));
        }
        trials.push(Trial::test(name, move || run(&text)));
    }
    libtest_mimic::run(&args, trials).exit();
}
