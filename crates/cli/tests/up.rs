//! Tests `beamhinge up`: it runs a first job, keeps its state across a restart, and leaves no
//! process behind, whether it stops on `SIGINT` or is killed.

use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

struct Up {
    child: Child,
    dir: PathBuf,
    port: u16,
}

fn beamhinge(port: u16, words: &[&str]) -> Output {
    let listener = format!("127.0.0.1:{}", port + 10);
    Command::new(env!("CARGO_BIN_EXE_beamhinge"))
        .args(["--quiet", "--timeout-s", "40", "--controllers", &listener])
        .args(words)
        .output()
        .expect("the client starts")
}

fn start(dir: &std::path::Path, port: u16) -> Up {
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
    Up {
        child,
        dir: dir.to_path_buf(),
        port,
    }
}

impl Up {
    fn end(mut self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([signal, &pid])
            .status()
            .expect("run kill");
        assert!(sent.success());
        self.child.wait().expect("it ends");
    }
    fn says(&self, words: &[&str], code: i32) -> String {
        let o = beamhinge(self.port, words);
        let text = String::from_utf8_lossy(&o.stdout).into_owned();
        let why = String::from_utf8_lossy(&o.stderr).into_owned();
        assert_eq!(o.status.code(), Some(code), "{words:?}: {text} {why}");
        text
    }
}

/// Command lines of all processes whose command line contains `word`.
fn with(word: &str) -> Vec<String> {
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

fn none_left(word: &str) {
    let until = Instant::now() + Duration::from_secs(15);
    while !with(word).is_empty() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert_eq!(with(word), Vec::<String>::new());
}

#[test]
fn up_runs_a_job_keeps_state_and_leaves_no_process_behind() {
    let dir = std::env::temp_dir().join(format!("beamhinge-up-{}", std::process::id()));
    // Below the ephemeral port range, and apart from the ports of the testbed.
    let port = 8_100 + (std::process::id() % 30) as u16 * 100;
    let up = start(&dir, port);
    let told = up.says(
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
    assert!(told.contains("is done"), "{told}");
    let output =
        std::fs::read_to_string(up.dir.join("output/job-1/0.out")).expect("read task output");
    assert_eq!(output, "hello\n");
    up.says(&["job", "job-2"], 4);
    up.says(&["submit", "--tasks", "2"], 2);
    up.says(&["submit", "--team", "nobody"], 3);
    // A second cluster in the same directory is refused.
    let mut second = start(&dir, port + 50);
    assert_eq!(second.child.wait().expect("it ends").code(), Some(1));
    up.end("-INT");
    none_left(&dir.display().to_string());
    // After a restart the cluster knows its jobs and runs unfinished tasks again. A cluster that is
    // killed with SIGKILL leaves no process behind either, not even the children of a task.
    let up = start(&dir, port);
    assert!(up.says(&["job", "job-1"], 0).contains("is done"));
    let mark = format!("beamhinge-mark-{}", std::process::id());
    let line = format!("sh -c 'sleep 300; : {mark}' & sleep 300; : {mark}");
    up.says(
        &["submit", "--team", "home", "--id", "job-3", "--", &line],
        0,
    );
    let until = Instant::now() + Duration::from_secs(30);
    while with(&mark).len() < 2 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(with(&mark).len() >= 2, "the task and its child process run");
    up.end("-KILL");
    none_left(&mark);
    none_left(&dir.display().to_string());
    std::fs::remove_dir_all(&dir).expect("remove directory");
}
