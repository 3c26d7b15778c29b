use super::*;

/// One of three jobs is finished, and whoever asks about it is told nothing: that
/// is forgotten after 75 s without trouble, however the others fare.
#[test]
fn a_job_about_which_nobody_is_told_is_forgotten() {
    let day = "at 1 stream 7 count=3 every=1 tasks=2 cpus=2 run=4\nend 30\n";
    let sound = play(day, Faults::default()).expect("a scenario");
    assert!(sound.violations.is_empty(), "{sound:?}");
    let untold = play(&format!("untold job-8\n{day}"), Faults::default()).expect("a scenario");
    assert_eq!(untold.violations, ["forgotten"], "{untold:?}");
}

#[test]
fn a_job_s_wait_is_told_once() {
    let text = "at 1 stream 7 count=3 every=1 tasks=2 cpus=2 run=4 urgency=high\nend 30\n";
    let outcome = play(text, Faults::default()).expect("a scenario");
    assert_eq!(outcome.waits.len(), 3, "{outcome:?}");
    assert!(outcome.waits.iter().all(|w| w.wait_s < 10.0 && w.urgency == "high"));
}
