//! Compares what `beamhinge` sends and prints byte for byte with golden files: each verb runs
//! against a fake controller that answers from a table and records the requests it receives.

#[path = "../../core/tests/support/golden.rs"]
mod golden;

use golden::Golden;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Command, Output, Stdio};
use std::sync::{Arc, Mutex};

const ROW: &str = r#""job":"job-7","state":"running","tasks":16,"done":3,"running":13,"team":"vision","class":"train","urgency":"best_effort","age_s":61.5"#;

/// Response body for a path. Each field has a distinct value, so that swapped fields are noticed.
fn body_of(method: &str, path: &str) -> Option<String> {
    let team = r#"{"team":"vision","cpus_used":1.5,"cpus_guaranteed":2.5,"cpus_limit":3.5,"gpus_used":4.5,"gpus_guaranteed":5.5,"gpus_limit":6.5,"jobs_open":7,"tasks_waiting":8,"frozen":true}"#;
    let text = match (method, path.split('?').next().unwrap_or("")) {
        ("GET", "/v1/hello") => r#"{"label":"a","instance":"i1","version":"0.2.0","time_ms":0}"#.into(),
        ("POST", "/v1/jobs") => r#"{"job":"job-7","state":"pending"}"#.into(),
        ("POST", "/v1/jobs/job-7/cancel") => r#"{"job":"job-7","state":"cancelled"}"#.into(),
        ("GET", "/v1/jobs") => format!(r#"{{"jobs":[{{{ROW}}}]}}"#),
        ("GET", "/v1/jobs/job-7") => format!(
            r#"{{{ROW},"spec":{{"kind":"standing","cpus":8.5,"gpus":1.25,"memory_gb":64.5,"image":"img","image_gb":6.25,"shapes":["g8"],"zone":"a","one_zone":true,"spread":true,"spot":false,"expect_s":240.5,"checkpoint_s":30.5,"save_s":4.5,"due_s":900.5,"command":"echo"}},"placed":{{"done":1,"running":2,"waiting":3,"tasks":[{{"task":"job-7/3","machine":"n-1","state":"running","running_s":1.5,"stopping":true}}],"reasons":[{{"reason":"starting","tasks":4}}]}}}}"#
        ),
        ("GET", "/v1/jobs/job-7/explain") => r#"{"job":"job-7","state":"pending","waiting":4,"reasons":[{"reason":"ahead","tasks":2}],"text":["words"]}"#.into(),
        ("GET", "/v1/machines") => r#"{"machines":[{"machine":"n-1","shape":"g8","zone":"a","spot":true,"owned":false,"state":"up","tasks":3,"cpus":96.5,"free_cpus":4.5,"free_memory_gb":5.5,"heard_s":1.5,"age_s":2.5}]}"#.into(),
        ("GET", "/v1/teams") => format!("[{team}]"),
        ("GET", "/v1/nodes") => r#"[{"label":"a","answering":true,"holder":true,"token":41,"ledger_age_s":1.5,"heard_s":2.5,"ready":true,"drained":true,"stuck_ago_s":3.5}]"#.into(),
        ("GET", "/v1/splits") => r#"{"update_s":15.5,"pairs":[{"beta0":0.25,"beta":0.5,"weight":0.75,"jobs":9}]}"#.into(),
        ("GET", "/v1/summary") => format!(
            r#"{{"holder":"a","token":41,"jobs_open":1,"jobs_running":2,"tasks_running":3,"tasks_waiting":4,"oldest_wait_s":5.5,"machines_up":6,"machines_starting":7,"machines_silent":8,"cpus":9.5,"cpus_used":8.5,"teams":[{team}],"directives":10}}"#
        ),
        ("GET", "/v1/decisions") if path.contains("after=9") => r#"{"token":41,"decisions":[],"missed":0}"#.into(),
        ("GET", "/v1/decisions") => r#"{"token":41,"decisions":[{"serial":9,"at_ms":99,"what":{"what":"rented","shape":"g8","zone":"a","spot":true,"asked":12,"got":7}}],"missed":0}"#.into(),
        ("GET", "/v1/directives") => r#"{"directives":[{"target":{"zone":"a"},"since_ms":99,"within_s":1.5,"afterwards":"keep","by":"alice","note":"fans"}]}"#.into(),
        ("POST", "/v1/directives") => r#"{"target":{"zone":"a"},"set":true,"changed":true}"#.into(),
        ("GET", "/v1/configuration") => r#"{"on":true,"version":41,"author":{"id":"a1","at_ms":9,"by":"alice","why":"more","restores":39},"in_force_everywhere_since_ms":98,"behind":[{"label":"b","version":40}],"unknown_fields":["later"],"teams":[{"team":"vision","cpus":16.5,"cpus_max":32.5,"gpus":1.5,"gpus_max":2.5,"removed":true}]}"#.into(),
        ("POST", "/v1/configuration") => r#"{"version":42,"warning":"mind"}"#.into(),
        ("GET", "/metrics") => "beamhinge_holder 1\n".into(),
        _ => return None,
    };
    Some(text)
}

/// Answers the requests on one connection and records them.
fn serve(stream: TcpStream, requests: &Mutex<Vec<String>>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    loop {
        let mut first = String::new();
        reader.read_line(&mut first).ok().filter(|n| *n > 0)?;
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
            if line == "\r\n" {
                break;
            }
            if let Some(n) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = n.trim().parse().ok()?;
            }
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        let words: Vec<&str> = first.split_whitespace().collect();
        let (method, path) = (*words.first()?, *words.get(1)?);
        if path != "/v1/hello" {
            let body = String::from_utf8_lossy(&body);
            requests
                .lock()
                .expect("no panic")
                .push(format!("{method} {path} {body}"));
        }
        let not_found_body = r#"{"code":"not_found","error":"no such thing"}"#.to_string();
        let (status, body) = match body_of(method, path) {
            Some(body) => ("200 OK", body),
            None => ("404 Not Found", not_found_body),
        };
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes()).ok()?;
    }
}

struct FakeController {
    address: String,
    requests: Arc<Mutex<Vec<String>>>,
}

impl FakeController {
    fn new() -> FakeController {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let address = listener.local_addr().expect("local address").to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let shared_requests = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let requests = shared_requests.clone();
                std::thread::spawn(move || serve(stream, &requests));
            }
        });
        FakeController { address, requests }
    }

    fn run(&self, words: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_beamhinge"));
        // The configuration and environment of the caller must not influence the test.
        command
            .env_clear()
            .env("HOME", "/nonexistent")
            .env("BEAMHINGE_CONTROLLERS", &self.address);
        command
            .args(words)
            .stdin(Stdio::null())
            .output()
            .expect("the client runs")
    }
}

const SUBMIT: &str = "submit --id job-7 --team vision --class train --urgency best_effort \
    --standing --tasks 16 --cpus 8.5 --gpus 1.25 --memory-gb 64.5 --image img --image-gb 6.25 \
    --shape g8 --shape c4 --zone a --one-zone --spread --no-spot --expect-s 240.5 \
    --checkpoint-s 30.5 --save-s 4.5 --due-s 900.5 -- echo hello";

const VERBS: [&str; 26] = [
    SUBMIT,
    "submit --id job-7 --team vision",
    "jobs --state open,done --team vision --class train --urgency high --older-s 1.5 \
     --younger-s 2.5 --after job-6 --limit 7",
    "job job-7",
    "job job-8",
    "cancel job-7",
    "explain job-7",
    "machines --shape g8 --zone a",
    "teams",
    "nodes",
    "splits",
    "drain machine n-1 --within-s 1.5 --keep --note fans",
    "drain shape g8",
    "drain zone a",
    "drain node b",
    "undrain zone a",
    "freeze team vision --note why",
    "freeze class train",
    "thaw team vision",
    "thaw class train",
    "quotas",
    "set-quotas --restore-version 39 --seen 41 --why back",
    "directives",
    "events",
    "top",
    "metrics",
];

/// Verbs whose tables show ages computed from the wall clock; these tables are not compared.
const CLOCK_DEPENDENT_VERBS: [&str; 2] = ["quotas", "directives"];

#[test]
fn requests_and_output_of_verbs_match_golden_file() {
    let controller = FakeController::new();
    let mut golden = Golden::new("tests/golden/verbs.txt");
    for verb in VERBS {
        let words: Vec<&str> = verb.split_whitespace().collect();
        for format_name in ["json", "table"] {
            if format_name == "table" && CLOCK_DEPENDENT_VERBS.contains(&verb) {
                continue;
            }
            let global = ["--timeout-s", "5", "--output", format_name];
            let output = controller.run(&[&global, words.as_slice()].concat());
            let name = format!("{} {format_name}", words[..words.len().min(3)].join(" "));
            let requests = std::mem::take(&mut *controller.requests.lock().expect("no panic"));
            // The requests do not depend on the output format.
            if format_name == "json" {
                requests
                    .iter()
                    .for_each(|line| golden.text(&format!("{name} asks"), line));
            }
            golden.text(
                &format!("{name} ends"),
                &format!("{:?}", output.status.code()),
            );
            for line in String::from_utf8_lossy(&output.stdout).lines() {
                golden.text(&name, line);
            }
        }
    }
    golden.check();
}

/// Checks the names of verbs, flags and their values, as the shell completions list them.
#[test]
fn names_of_verbs_and_flags_match_golden_file() {
    let mut golden = Golden::new("tests/golden/flags.txt");
    let output = FakeController::new().run(&["completions", "bash"]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let mut verb = "";
    for line in text.lines().map(str::trim) {
        if line.starts_with("beamhinge") {
            verb = line.trim_end_matches(')');
        }
        if line.starts_with("opts=\"-") || line.contains("compgen -W \"text") {
            golden.text(verb, line);
        }
    }
    golden.check();
}

/// Checks the keys of the contexts file, and the variables that override it.
#[test]
fn names_of_contexts_and_variables_match_golden_file() {
    let mut golden = Golden::new("tests/golden/contexts.txt");
    let file = std::env::temp_dir().join(format!("beamhinge-golden-{}.ini", std::process::id()));
    let text = "[client]\ncurrent = plant\n[context lab]\ncontrollers = 127.0.0.1:3\n\
        [context plant]\ncontrollers = 127.0.0.1:1, 127.0.0.1:2\nkey = /k.ini\nkey_name = alice\n";
    std::fs::write(&file, text).expect("write file");
    let variables = [
        ("BEAMHINGE_CONTEXT", "lab"),
        ("BEAMHINGE_CONTROLLERS", "127.0.0.1:9"),
        ("BEAMHINGE_KEY", "/other.ini"),
        ("BEAMHINGE_KEY_NAME", "bob"),
    ];
    for count in 0..=variables.len() {
        for format_name in ["json", "table"] {
            let mut command = Command::new(env!("CARGO_BIN_EXE_beamhinge"));
            command
                .env_clear()
                .env("BEAMHINGE_CONFIG", &file)
                .envs(variables[..count].to_vec());
            let output = command
                .args(["config", "--output", format_name])
                .output()
                .expect("it runs");
            let shown = String::from_utf8_lossy(&output.stdout).into_owned();
            for line in shown.replace(&file.display().to_string(), "FILE").lines() {
                golden.text(&format!("{count} variables"), line);
            }
        }
    }
    std::fs::remove_file(&file).expect("remove file");
    golden.check();
}
