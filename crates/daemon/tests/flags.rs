//! Tests that the daemon accepts its flags together with the shipped settings files.

use std::process::Command;

#[test]
fn daemon_accepts_its_flags() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    for form in ["text", "json"] {
        let done = Command::new(env!("CARGO_BIN_EXE_beamhinged"))
            .args(["--check", "--log-format", form])
            .args(["--config", &format!("{root}/crates/core/sample.toml")])
            .args(["--operator", &format!("{root}/deploy/operators.ini")])
            .output()
            .expect("the daemon runs");
        assert!(
            done.status.success(),
            "{}",
            String::from_utf8_lossy(&done.stderr)
        );
        assert_eq!(
            String::from_utf8_lossy(&done.stdout),
            "settings are sound\n"
        );
    }
}
