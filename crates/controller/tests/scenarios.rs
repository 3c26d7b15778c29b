//! All scenarios: the files in `tests/scenarios/`, played by the one runner.

use beamhinge_sim::scenario;
use libtest_mimic::{Arguments, Failed, Trial};
use std::path::Path;

fn run(path: &Path) -> Result<(), Failed> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string())?;
    let outcome = scenario::play(&text, Default::default()).map_err(|e| e.to_string())?;
    match outcome.wrong.is_empty() {
        true => Ok(()),
        false => Err(outcome.wrong.join("\n").into()),
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
    let trials = files
        .into_iter()
        .map(|path| {
            let name =
                path.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
            Trial::test(name, move || run(&path))
        })
        .collect();
    libtest_mimic::run(&args, trials).exit();
}
