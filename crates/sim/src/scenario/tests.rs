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
    assert!(outcome
        .waits
        .iter()
        .all(|w| w.wait_s < 10.0 && w.urgency == "high"));
}

/// A job that waits beside room that fits, here since operators froze its team, is found
/// after 90 s without trouble; and one that has no room, or is at its limit, is not.
#[test]
fn a_job_left_waiting_beside_room_is_found() {
    let freeze = "at 2 op a POST /v1/directives {\"target\":{\"team\":\"one\"},\"set\":true}\n";
    let day = "owned 2\nspot 0\nordinary 0\nlarge 0\nsettle 110\nat 1 submit job-9 tasks=1 cpus=2 run=108 team=two\nat 4 submit job-1 tasks=2 cpus=2 run=4\nend 10\n";
    let sound = play(day, Faults::default()).expect("a scenario");
    assert!(
        sound.failures.is_empty() && sound.starved.is_empty(),
        "{sound:?}"
    );
    let frozen = play(&format!("{freeze}{day}"), Faults::default()).expect("a scenario");
    assert_eq!(frozen.starved, ["job-1"], "{frozen:?}");
    let full = "at 3 submit job-2 tasks=8 cpus=2 run=300 team=two\n";
    let full = play(&format!("{full}{day}"), Faults::default()).expect("a scenario");
    assert!(full.starved.is_empty(), "{full:?}");
    let limit = "team-max 2\nat 3 submit job-2 tasks=1 cpus=2 run=300\n";
    let limit = play(&format!("{limit}{day}"), Faults::default()).expect("a scenario");
    assert!(limit.starved.is_empty(), "{limit:?}");
}

/// A job that its user knows to be unsound, here only by name, is told as accepted.
#[test]
fn invalid_jobs_that_are_accepted_are_found() {
    let day = "at 1 submit job-1 odd tasks=2 cpus=2 run=4\nend 20\n";
    let outcome = play(day, Faults::default()).expect("a scenario");
    assert!(
        outcome
            .failures
            .iter()
            .any(|w| w.starts_with("accepted though")),
        "{outcome:?}"
    );
}

/// Tasks that begin after their user was told that they are cancelled are counted.
#[test]
fn starts_after_a_confirmed_cancellation_are_counted() {
    let jobs = [5.5, 5.8, 6.1, 6.4, 6.7]
        .iter()
        .enumerate()
        .map(|(n, cancelled)| {
            format!("at 5 submit job-{n} tasks=3 cpus=2 run=30\nat {cancelled} cancel job-{n}\n")
        });
    let day = &format!("owned 4\n{}end 40\n", jobs.collect::<String>());
    let sound = play(day, Faults::default()).expect("a scenario");
    let deaf = play(&format!("double deaf-to-kill\n{day}"), Faults::default()).expect("a day");
    assert!(deaf.late_starts > sound.late_starts, "{deaf:?}");
}
