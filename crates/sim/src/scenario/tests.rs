use super::*;

/// One of three jobs is done, but queries about it get no answer: after 75 s without faults
/// this counts as forgotten, independently of the other jobs.
#[test]
fn done_job_with_unanswered_queries_counts_as_forgotten() {
    let day = "at 1 stream 7 count=3 every=1 tasks=2 cpus=2 run=4\nend 30\n";
    let sound = play(day, Faults::default()).expect("a scenario");
    assert!(sound.violations.is_empty(), "{sound:?}");
    let unanswered =
        play(&format!("ignored-job job-8\n{day}"), Faults::default()).expect("a scenario");
    assert_eq!(unanswered.violations, ["forgotten"], "{unanswered:?}");
}

#[test]
fn wait_of_each_job_is_recorded_once() {
    let text = "at 1 stream 7 count=3 every=1 tasks=2 cpus=2 run=4 urgency=high\nend 30\n";
    let outcome = play(text, Faults::default()).expect("a scenario");
    assert_eq!(outcome.waits.len(), 3, "{outcome:?}");
    assert!(outcome
        .waits
        .iter()
        .all(|w| w.wait_s < 10.0 && w.urgency == "high"));
}

/// A job that waits although enough capacity is free, here since operators froze its team, is
/// reported after 90 s without faults; a job without free capacity, or whose team is at its
/// limit, is not.
#[test]
fn job_waiting_despite_free_capacity_is_reported() {
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

/// A job that its user marked as invalid, here only by the `invalid` flag, is reported if it is
/// accepted.
#[test]
fn accepted_invalid_job_is_reported() {
    let day = "at 1 submit job-1 invalid tasks=2 cpus=2 run=4\nend 20\n";
    let outcome = play(day, Faults::default()).expect("a scenario");
    assert!(
        outcome
            .failures
            .iter()
            .any(|w| w.starts_with("accepted though")),
        "{outcome:?}"
    );
}

/// Tasks that start after their user was told that the job is cancelled are counted.
#[test]
fn task_starts_after_confirmed_cancellation_are_counted() {
    let jobs = [5.5, 5.8, 6.1, 6.4, 6.7]
        .iter()
        .enumerate()
        .map(|(n, cancelled)| {
            format!("at 5 submit job-{n} tasks=3 cpus=2 run=30\nat {cancelled} cancel job-{n}\n")
        });
    let day = &format!("owned 4\n{}end 40\n", jobs.collect::<String>());
    let sound = play(day, Faults::default()).expect("a scenario");
    let kill_ignored =
        play(&format!("double ignore-kill\n{day}"), Faults::default()).expect("a day");
    assert!(
        kill_ignored.late_starts > sound.late_starts,
        "{kill_ignored:?}"
    );
}
