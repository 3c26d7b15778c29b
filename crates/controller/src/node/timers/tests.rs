use super::*;
use crate::worker_protocol::CommandVerb;

#[test]
fn direct_commands_keep_their_form() {
    let mut golden = crate::golden::Golden::new("tests/golden/direct-commands.hex");
    let order = WorkerCommand {
        verb: CommandVerb::Clear,
        task: "job-9/0".into(),
        attempt: 3,
        grace_period_s: None,
    };
    let direct = Direct {
        fencing_token: 41,
        incarnation: 7,
        commands: vec![order],
    };
    golden.bytes("direct", &beamhinge_core::wire::encode(&direct));
    golden.check();
}
