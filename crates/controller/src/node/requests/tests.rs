use super::*;
use crate::golden::Golden;
use crate::worker_protocol::{CommandVerb, ExitCause, ReportedStatus};

/// What a worker is told: its orders, or where to report instead.
#[test]
fn answers_to_workers_keep_their_form() {
    let mut golden = Golden::new("tests/golden/answers-to-workers.hex");
    let order = |verb, attempt, grace_period_s| WorkerCommand {
        verb,
        task: "job-000412/4".into(),
        attempt,
        grace_period_s,
    };
    let commands = vec![
        order(CommandVerb::Run, 70_000, None),
        order(CommandVerb::Kill, 2, Some(10.5)),
    ];
    golden.bytes(
        "orders",
        &wire::encode(&WorkerAnswer {
            fencing_token: 41,
            commands,
        }),
    );
    golden.bytes(
        "no orders",
        &wire::encode(&WorkerAnswer {
            fencing_token: 41,
            commands: Vec::new(),
        }),
    );
    golden.bytes(
        "elsewhere",
        &wire::encode(&Elsewhere {
            leader: Some("north-1"),
        }),
    );
    golden.bytes(
        "elsewhere, unknown",
        &wire::encode(&Elsewhere { leader: None }),
    );
    golden.check();
}

/// Each field of a report goes to the field that it belongs to.
#[test]
fn a_report_is_read_field_by_field() {
    let body = serde_json::json!({"host": "n-000231", "endpoint": "10.1.0.232:9000", "shape": "g8",
        "yard": "a", "loaners": true, "tenure": 1, "tick": 88, "baton": 41, "reclaimInS": 12.5,
        "unknown": {}, "pieces": [{"piece": "job-000412/3", "try": 2, "status": "running"},
        {"piece": "job-000398/0", "try": 7, "status": "exited", "cause": "done", "saved": true}]});
    let r: WorkerReport = wire::decode(&wire::encode(&body)).expect("a report");
    assert_eq!(
        (r.host.as_str(), r.endpoint.as_str()),
        ("n-000231", "10.1.0.232:9000")
    );
    assert_eq!(
        (r.machine_type.as_str(), r.zone.as_str(), r.spot),
        ("g8", "a", true)
    );
    assert_eq!(
        (r.incarnation, r.sequence, r.fencing_token, r.reclaim_in_s),
        (1, 88, 41, Some(12.5))
    );
    let pieces: Vec<_> = r
        .reported_tasks
        .iter()
        .map(|p| (p.task.as_str(), p.attempt, p.status, p.cause.as_ref()))
        .collect();
    let first = ("job-000412/3", 2, ReportedStatus::Running, None);
    assert_eq!(
        pieces,
        [
            first,
            (
                "job-000398/0",
                7,
                ReportedStatus::Exited,
                Some(&ExitCause::Done)
            )
        ]
    );
}

#[test]
fn routes_keep_their_names() {
    let route = |method, path| users_route(method, path);
    assert_eq!(route(Method::Get, "/up"), "up");
    assert_eq!(route(Method::Post, "/hello"), "report");
    assert_eq!(route(Method::Post, "/api/jobs"), "submit");
    assert_eq!(route(Method::Get, "/api/jobs/job-1"), "poll");
    assert_eq!(route(Method::Post, "/api/jobs/job-1/cancel"), "cancel");
    assert_eq!(route(Method::Post, "/other"), "other");
}
