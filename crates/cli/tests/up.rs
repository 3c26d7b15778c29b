//! Tests `beamhinge up`: it runs a first job, keeps its state across a restart, and leaves no
//! process behind, whether it stops on `SIGINT` or is killed.

use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

struct RunningCluster {
    child: Child,
    dir: PathBuf,
    port: u16,
}

fn run_client(port: u16, words: &[&str]) -> Output {
    let listener = format!("127.0.0.1:{}", port + 10);
    Command::new(env!("CARGO_BIN_EXE_beamhinge"))
        .args(["--quiet", "--timeout-s", "40", "--controllers", &listener])
        .args(words)
        .output()
        .expect("the client starts")
}

fn start(dir: &std::path::Path, port: u16) -> RunningCluster {
    let child = Command::new(env!("CARGO_BIN_EXE_beamhinge"))
        .args([
            "up",
            "--nodes",
            "1",
            "--no-events",
            "--port",
            &port.to_string(),
            "--dir",
        ])
        .arg(dir)
        .stdout(Stdio::null())
        .spawn()
        .expect("start cluster");
    RunningCluster {
        child,
        dir: dir.to_path_buf(),
        port,
    }
}

impl RunningCluster {
    fn stop(mut self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([signal, &pid])
            .status()
            .expect("run kill");
        assert!(sent.success());
        self.child.wait().expect("it ends");
    }
    fn run_expecting_code(&self, words: &[&str], code: i32) -> String {
        let output = run_client(self.port, words);
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(
            output.status.code(),
            Some(code),
            "{words:?}: {stdout} {stderr}"
        );
        stdout
    }
}

/// Command lines of all processes whose command line contains `word`.
fn processes_with(word: &str) -> Vec<String> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir("/proc").expect("read /proc").flatten() {
        let line = std::fs::read(entry.path().join("cmdline")).unwrap_or_default();
        let line = String::from_utf8_lossy(&line).replace('\0', " ");
        if line.contains(word) {
            found.push(line);
        }
    }
    found
}

fn assert_no_process_left(word: &str) {
    let deadline = Instant::now() + Duration::from_secs(15);
    while !processes_with(word).is_empty() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(processes_with(word), Vec::<String>::new());
}

#[test]
fn up_runs_a_job_keeps_state_and_leaves_no_process_behind() {
    let dir = std::env::temp_dir().join(format!("beamhinge-up-{}", std::process::id()));
    // Below the ephemeral port range, and apart from the ports of the testbed.
    let port = 8_100 + (std::process::id() % 30) as u16 * 100;
    let cluster = start(&dir, port);
    let stdout = cluster.run_expecting_code(
        &[
            "submit",
            "--team",
            "home",
            "--id",
            "job-1",
            "--wait",
            "--",
            "echo hello",
        ],
        0,
    );
    assert!(stdout.contains("is done"), "{stdout}");
    let output =
        std::fs::read_to_string(cluster.dir.join("output/job-1/0.out")).expect("read task output");
    assert_eq!(output, "hello\n");
    cluster.run_expecting_code(&["job", "job-2"], 4);
    cluster.run_expecting_code(&["submit", "--tasks", "2"], 2);
    cluster.run_expecting_code(&["submit", "--team", "nobody"], 3);
    // A second cluster in the same directory is refused.
    let mut second = start(&dir, port + 50);
    assert_eq!(second.child.wait().expect("it ends").code(), Some(1));
    cluster.stop("-INT");
    assert_no_process_left(&dir.display().to_string());
    // After a restart the cluster knows its jobs and runs unfinished tasks again. A cluster that is
    // killed with SIGKILL leaves no process behind either, not even the children of a task.
    let cluster = start(&dir, port);
    assert!(cluster
        .run_expecting_code(&["job", "job-1"], 0)
        .contains("is done"));
    let marker = format!("beamhinge-mark-{}", std::process::id());
    let line = format!("sh -c 'sleep 300; : {marker}' & sleep 300; : {marker}");
    cluster.run_expecting_code(
        &["submit", "--team", "home", "--id", "job-3", "--", &line],
        0,
    );
    let deadline = Instant::now() + Duration::from_secs(30);
    while processes_with(&marker).len() < 2 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(
        processes_with(&marker).len() >= 2,
        "the task and its child process run"
    );
    cluster.stop("-KILL");
    assert_no_process_left(&marker);
    assert_no_process_left(&dir.display().to_string());
    std::fs::remove_dir_all(&dir).expect("remove directory");
}
