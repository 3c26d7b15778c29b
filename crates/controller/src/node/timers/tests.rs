use super::*;

#[test]
fn direct_commands_keep_their_form() {
    let mut golden = crate::golden::Golden::new("tests/golden/direct-commands.hex");
    let order = Order { verb: "clear", piece: "job-9/0".into(), attempt: 3, wind_down_s: None };
    let direct = Direct { baton: 41, tenure: 7, orders: vec![order] };
    golden.bytes("direct", &beamhinge_core::wire::encode(&direct));
    golden.check();
}
