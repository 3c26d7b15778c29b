use super::*;
use crate::golden::Golden;
use crate::worker_protocol::CommandVerb;
use beamhinge_core::wire;

/// Answers to reports carry commands, or the controller to report to instead.
#[test]
fn answers_to_workers_match_golden_file() {
    let mut golden = Golden::new("tests/golden/answers-to-workers.hex");
    let command = |verb, attempt, grace_period_s| WorkerCommand {
        verb,
        task: "job-000412/4".into(),
        attempt,
        grace_period_s,
    };
    let commands = vec![
        command(CommandVerb::Run, 70_000, None),
        command(CommandVerb::Kill, 2, Some(10.5)),
    ];
    golden.bytes(
        "orders",
        &wire::encode(&ReportResponse {
            fencing_token: 41,
            commands,
        }),
    );
    golden.bytes(
        "no orders",
        &wire::encode(&ReportResponse {
            fencing_token: 41,
            commands: Vec::new(),
        }),
    );
    golden.bytes(
        "elsewhere",
        &wire::encode(&LeaderRedirect {
            leader: Some("north-1"),
        }),
    );
    golden.bytes(
        "elsewhere, unknown",
        &wire::encode(&LeaderRedirect { leader: None }),
    );
    golden.check();
}

#[test]
fn direct_commands_match_golden_file() {
    let mut golden = crate::golden::Golden::new("tests/golden/direct-commands.hex");
    let command = WorkerCommand {
        verb: CommandVerb::Clear,
        task: "job-9/0".into(),
        attempt: 3,
        grace_period_s: None,
    };
    let direct = DirectCommands {
        fencing_token: 41,
        incarnation: 7,
        commands: vec![command],
    };
    golden.bytes("direct", &beamhinge_core::wire::encode(&direct));
    golden.check();
}
