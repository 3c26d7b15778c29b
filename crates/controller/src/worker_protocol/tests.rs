use super::*;
use serde_json::json;

fn reported(fields: &serde_json::Value) -> ReportedTask {
    let mut body = json!({"piece": "job-1/0", "try": 3});
    let (body_fields, fields) = (body.as_object_mut(), fields.as_object().cloned());
    body_fields
        .expect("an object")
        .extend(fields.expect("an object"));
    wire::decode(&wire::encode(&body)).expect("a task")
}

/// Guard 5: a task with a status that this version does not know is still on its machine.
#[test]
fn status_that_is_unknown_is_not_exited() {
    for (name, status) in [
        ("pulling", ReportedStatus::FetchingImage),
        ("running", ReportedStatus::Running),
        ("saving", ReportedStatus::Checkpointing),
        ("exited", ReportedStatus::Exited),
        ("Exited", ReportedStatus::FetchingImage),
        ("", ReportedStatus::FetchingImage),
        ("a status of a later version", ReportedStatus::FetchingImage),
    ] {
        let task = reported(&json!({"status": name}));
        assert_eq!(task.status, status, "{name}");
    }
}

/// Guard 5: only `done` means done, and each cause keeps its name on the wire.
#[test]
fn cause_that_is_unknown_is_not_done() {
    for (name, cause) in [
        ("done", ExitCause::Done),
        ("error", ExitCause::Error),
        ("stopped", ExitCause::Stopped),
        ("full", ExitCause::Full),
        ("in_use", ExitCause::InUse),
        ("unknown", ExitCause::Unknown),
        ("Done", ExitCause::Other("Done".into())),
        ("later", ExitCause::Other("later".into())),
    ] {
        let task = reported(&json!({"status": "exited", "cause": name}));
        assert_eq!(task.cause.as_ref().map(ExitCause::as_str), Some(name));
        assert_eq!(task.cause, Some(cause));
    }
    let null = reported(&json!({"status": "exited", "cause": null}));
    let absent = reported(&json!({"status": "exited"}));
    assert_eq!((null.cause, absent.cause), (None, None));
}

/// A refused task never occupied its machine; an unknown cause does not prove that it did.
#[test]
fn task_occupied_its_machine_unless_it_was_refused() {
    for (cause, occupied) in [
        ("done", true),
        ("error", true),
        ("stopped", true),
        ("full", false),
        ("in_use", false),
        ("unknown", false),
        ("later", false),
    ] {
        let task = reported(&json!({"status": "exited", "cause": cause}));
        assert_eq!(task.occupied_machine(), occupied, "{cause}");
    }
    assert!(reported(&json!({"status": "later"})).occupied_machine());
}
