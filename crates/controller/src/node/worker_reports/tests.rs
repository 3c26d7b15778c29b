use super::*;
use crate::worker_protocol::{ExitCause, ReportedStatus};

/// Each field of the wire format maps to the corresponding field of the report.
#[test]
fn worker_report_fields_map_to_report() {
    let body = serde_json::json!({"host": "n-000231", "endpoint": "10.1.0.232:9000", "shape": "g8",
        "yard": "a", "loaners": true, "tenure": 1, "tick": 88, "baton": 41, "reclaimInS": 12.5,
        "unknown": {}, "pieces": [{"piece": "job-000412/3", "try": 2, "status": "running"},
        {"piece": "job-000398/0", "try": 7, "status": "exited", "cause": "done", "saved": true}]});
    let report: WorkerReport = wire::decode(&wire::encode(&body)).expect("valid worker report");
    assert_eq!(
        (report.host.as_str(), report.endpoint.as_str()),
        ("n-000231", "10.1.0.232:9000")
    );
    assert_eq!(
        (
            report.machine_type.as_str(),
            report.zone.as_str(),
            report.spot
        ),
        ("g8", "a", true)
    );
    assert_eq!(
        (
            report.incarnation,
            report.sequence,
            report.fencing_token,
            report.reclaim_in_s
        ),
        (1, 88, 41, Some(12.5))
    );
    let tasks: Vec<_> = report
        .reported_tasks
        .iter()
        .map(|task| {
            (
                task.task.as_str(),
                task.attempt,
                task.status,
                task.cause.as_ref(),
            )
        })
        .collect();
    let running = ("job-000412/3", 2, ReportedStatus::Running, None);
    assert_eq!(
        tasks,
        [
            running,
            (
                "job-000398/0",
                7,
                ReportedStatus::Exited,
                Some(&ExitCause::Done)
            )
        ]
    );
}
