//! Tests that the daemon accepts its flags together with the shipped settings files.

use std::process::Command;

#[test]
fn daemon_accepts_its_flags() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    for log_format in ["text", "json"] {
        let output = Command::new(env!("CARGO_BIN_EXE_beamhinged"))
            .args(["--check", "--log-format", log_format])
            .args(["--config", &format!("{root}/crates/core/sample.toml")])
            .args(["--operator", &format!("{root}/deploy/operators.ini")])
            .output()
            .expect("the daemon runs");
        assert!(
            output.status.success(),
            "{}",
            String::from_utf8_lossy(&output.stderr)
        );
        assert_eq!(
            String::from_utf8_lossy(&output.stdout),
            "settings are sound\n"
        );
    }
}
