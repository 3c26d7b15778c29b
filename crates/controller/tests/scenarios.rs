//! All scenarios: the files in `tests/scenarios/`, played by the one runner.

use beamhinge_controller::faults::Faults;
use beamhinge_sim::scenario;
use libtest_mimic::{Arguments, Failed, Trial};
use std::path::Path;
use std::sync::Arc;

/// With a guard left out, the scenario must break what its line says: a rule, or
/// (`fails`) any expectation. A test that no fault can fail is none.
fn run_without(text: &str, guard: &str, what: &str) -> Result<(), Failed> {
    let faults = Faults::named(guard).ok_or_else(|| format!("no guard is called '{guard}'"))?;
    let outcome = scenario::play(text, faults).map_err(|e| e.to_string())?;
    let found = match what {
        "fails" => !outcome.failures.is_empty(),
        rule => outcome.violations.iter().any(|v| v == rule),
    };
    match found {
        true => Ok(()),
        false => Err(format!(
            "without {guard} it should show {what}: {:?}",
            outcome.failures
        )
        .into()),
    }
}

/// `without GUARD RULE` lines of a file.
fn withouts(text: &str) -> Vec<(String, String)> {
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
    // LOG_LEVEL=debug shows what the controllers of a scenario log.
    let level = std::env::var("LOG_LEVEL").unwrap_or_else(|_| "off".into());
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::new(level))
        .without_time()
        .init();
    let args = Arguments::from_args();
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/scenarios");
    let mut files: Vec<_> = std::fs::read_dir(&folder)
        .expect("the scenarios' folder")
        .filter_map(|e| Some(e.ok()?.path()))
        .filter(|p| p.extension().is_some_and(|e| e == "txt"))
        .collect();
    files.sort();
    assert!(files.len() >= 20, "the scenarios are there");
    let mut trials = Vec::new();
    for path in files {
        let name = path
            .file_stem()
            .map(|s| s.to_string_lossy().into_owned())
            .unwrap_or_default();
        let text = Arc::new(std::fs::read_to_string(&path).expect("a scenario's text"));
        for (guard, what) in withouts(&text) {
            let text = text.clone();
            let name = format!("{name}_without_{guard}");
            trials.push(Trial::test(name, move || run_without(&text, &guard, &what)));
        }
        trials.push(Trial::test(name, move || run(&text)));
    }
    libtest_mimic::run(&args, trials).exit();
}
