use super::*;
use std::time::{Duration, Instant};

#[test]
fn exited_command_is_returned_with_its_success() {
    let mut processes = Processes::new(None, Vec::new());
    assert!(processes.start("job-1/0", 1, "exit 0") && processes.start("job-1/1", 2, "exit 3"));
    let deadline = Instant::now() + Duration::from_secs(20);
    let mut seen = Vec::new();
    while seen.len() < 2 && Instant::now() < deadline {
        seen.extend(processes.take_exited());
        std::thread::sleep(Duration::from_millis(5));
    }
    seen.sort();
    let exit = |task_id: &str, attempt, success| ProcessExit {
        task_id: task_id.to_string(),
        attempt,
        success,
    };
    let want = [exit("job-1/0", 1, true), exit("job-1/1", 2, false)];
    assert_eq!(seen, want);
}

/// Background processes of a task used to outlive the task.
#[test]
fn background_process_ends_with_its_task() {
    let dir = std::env::temp_dir().join(format!("beamhinge-group-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("directory created");
    let file = dir.join("pid");
    let mut processes = Processes::new(None, Vec::new());
    let line = format!(
        "sleep 300 & echo $! > {}.new; mv {0}.new {0}; wait",
        file.display()
    );
    assert!(processes.start("job-1/0", 1, &line));
    let deadline = Instant::now() + Duration::from_secs(20);
    while !file.exists() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    let pid: u32 = std::fs::read_to_string(&file)
        .expect("pid file is readable")
        .trim()
        .parse()
        .expect("pid file holds a number");
    processes.stop("job-1/0", 1);
    let has_exited = || {
        // An orphan process may remain as a zombie until it is reaped.
        std::fs::read_to_string(format!("/proc/{pid}/stat")).map_or(true, |s| s.contains(") Z "))
    };
    while !has_exited() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(has_exited(), "the background process still runs");
    std::fs::remove_dir_all(&dir).expect("directory removed");
}
