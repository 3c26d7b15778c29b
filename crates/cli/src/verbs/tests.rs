use super::submission::{job_request, shell_quote};
use crate::arguments::{Arguments, Verb};
use crate::Failure;
use beamhinge_admin_api::messages::JobRequest;
use clap::Parser;

fn parse_submission(words: &[&str]) -> Result<JobRequest, Failure> {
    let arguments = ["beamhinge", "submit"].iter().chain(words).copied();
    match Arguments::parse_from(arguments).verb {
        Verb::Submit(options) => job_request(&options),
        _ => panic!("not a submission"),
    }
}

#[test]
fn flags_make_a_job_and_quote_its_command() {
    let job = parse_submission(&[
        "--team",
        "home",
        "--tasks",
        "3",
        "--no-spot",
        "--",
        "echo",
        "a b",
    ]);
    let job = job.expect("valid job");
    assert_eq!((job.tasks, job.spot), (3, false));
    assert_eq!(job.command.as_deref(), Some("echo 'a b'"));
    assert!(job.job.starts_with("job-") && job.job.len() == 19);
    assert_eq!(shell_quote("it's"), "'it'\\''s'");
}

#[test]
fn invalid_submission_names_the_invalid_field() {
    let error = parse_submission(&["--tasks", "3"])
        .expect_err("missing team")
        .to_string();
    assert!(error.contains("--team"), "{error}");
    let words = ["--team", "home", "--urgency", "soon"];
    let error = parse_submission(&words)
        .expect_err("unknown urgency")
        .to_string();
    assert!(
        error.contains("soon") && error.contains("best_effort"),
        "{error}"
    );
}
