//! Compares the encodings of job records, peer frames, HTTP messages and settings files with the
//! golden files.

#[path = "support/golden.rs"]
mod golden;

use beamhinge_core::http::{
    write_request, write_response, Content, Method, RequestHead, ResponseHead,
};
use beamhinge_core::job::{
    cancelled_record, done_record, key, open_record, JobKind, JobRecord, JobSpec, JobState,
    Urgency, RECORD_VERSION,
};
use beamhinge_core::peers::{encode, take_frame, Frame};
use beamhinge_core::settings::{OperatorSettings, Settings, SAMPLE};
use beamhinge_core::types::JobId;
use beamhinge_core::wire;
use golden::Golden;
use serde_json::json;

fn spec() -> JobSpec {
    JobSpec {
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Batch,
        urgency: Urgency::High,
        tasks: 16,
        cpus: 8.5,
        gpus: 1.25,
        memory_gb: 64.5,
        image: "img-07".into(),
        image_gb: 6.2,
        machine_types: Some(vec!["g8".into(), "c4".into()]),
        zone: Some("a".into()),
        single_zone: true,
        spread: false,
        spot: true,
        expected_run_s: 240.5,
        checkpoint_interval_s: 30.5,
        checkpoint_duration_s: 4.5,
        due_s: Some(900.5),
        submitted: 1_700_000_000_123,
        command: Some("echo hello".into()),
    }
}

/// `spec` with all flags inverted and all optional fields absent.
fn minimal_spec(kind: JobKind, urgency: Urgency) -> JobSpec {
    JobSpec {
        kind,
        urgency,
        machine_types: None,
        zone: None,
        single_zone: false,
        spread: true,
        spot: false,
        due_s: None,
        command: None,
        ..spec()
    }
}

#[test]
fn job_records_match_golden_file() {
    let mut golden = Golden::new("tests/golden/job-records.hex");
    let id = JobId::parse("job-000412").expect("valid job id");
    golden.text("key", &key(id));
    let mut check_record = |name: &str, value| {
        let record: JobRecord = wire::from_value(&value).expect(name);
        assert_eq!(record.version, RECORD_VERSION);
        assert_eq!(wire::to_value(&record), value);
        golden.stored(name, &record);
    };
    check_record("open", open_record(&spec()));
    check_record("done", done_record(&spec()));
    check_record("cancelled", cancelled_record(&spec()));
    let kinds = [("batch", JobKind::Batch), ("standing", JobKind::Service)];
    let urgencies = [
        ("best_effort", Urgency::BestEffort),
        ("standard", Urgency::Standard),
        ("high", Urgency::High),
        ("critical", Urgency::Critical),
    ];
    for (kind_name, kind) in kinds {
        for (urgency_name, urgency) in urgencies {
            let name = format!("open bare {kind_name} {urgency_name}");
            check_record(&name, open_record(&minimal_spec(kind, urgency)));
        }
    }
    golden.check();
}

/// Each field is read from its stored name into the matching field of the record.
#[test]
fn job_record_is_read_field_by_field() {
    let stored = json!({"v": 1, "st": "open", "spec": {"c": "train", "o": "vision", "k": "batch",
        "u": "high", "n": 16, "cpu": 8.5, "gpu": 1.25, "mem": 64.5, "img": "img-07", "igb": 6.2,
        "sh": ["g8", "c4"], "z": "a", "oz": true, "ap": false, "sp": true, "ex": 240.5,
        "ce": 30.5, "cs": 4.5, "due": 900.5, "at": 1_700_000_000_123_u64, "cmd": "echo hello"}});
    let record: JobRecord = wire::decode(&wire::encode(&stored)).expect("valid record");
    assert_eq!(record.spec, Some(spec()));
    assert_eq!(record.state, JobState::Open);
}

/// Records written by earlier versions contain no command line, and no summary of a finished job.
#[test]
fn job_records_of_earlier_forms_are_read() {
    let done: JobRecord =
        wire::decode(&wire::encode(&json!({"v": 1, "st": "done", "n": 16}))).expect("valid record");
    assert_eq!(
        (done.state, done.task_count, done.summary),
        (JobState::Done, Some(16), None)
    );
    let cancelled = json!({"v": 1, "st": "cancelled", "spec": {"c": "c", "o": "o", "k": "standing",
        "u": "best_effort", "n": 2, "cpu": 1.0, "gpu": 0.0, "mem": 2.0, "img": "i", "igb": 0.0,
        "sh": null, "z": null, "oz": false, "ap": true, "sp": false, "ex": 0.0, "ce": 0.0, "cs": 0.0,
        "due": null, "at": 5}});
    let cancelled: JobRecord = wire::decode(&wire::encode(&cancelled)).expect("valid record");
    assert_eq!(cancelled.state, JobState::Cancelled);
    let spec = cancelled.spec.expect("specification");
    assert_eq!(
        (spec.kind, spec.urgency),
        (JobKind::Service, Urgency::BestEffort)
    );
    assert_eq!(
        (spec.machine_types, spec.zone, spec.due_s, spec.command),
        (None, None, None, None)
    );
}

/// Frames that controllers send unprompted, under their names in the golden file.
fn announcement_frames() -> Vec<(&'static str, Frame)> {
    let label = || "north-1".to_string();
    vec![
        (
            "pulse",
            Frame::Heartbeat {
                label: label(),
                store_age_ms: 300,
                leader: true,
            },
        ),
        (
            "progress",
            Frame::Progress(vec![("job-000412".into(), 3, 13), ("job-7".into(), 1, 300)]),
        ),
        (
            "holds",
            Frame::LeaderHeartbeat {
                label: label(),
                fencing_token: 70_000,
            },
        ),
        (
            "ready",
            Frame::Readiness {
                label: label(),
                ready: true,
                drained: false,
            },
        ),
        (
            "ready drained",
            Frame::Readiness {
                label: label(),
                ready: false,
                drained: true,
            },
        ),
        (
            "hears",
            Frame::MisroutedWorkers {
                label: label(),
                machines: vec!["n-000231".into(), "n-9".into()],
            },
        ),
        ("stuck", Frame::LeaderStalled { label: label() }),
        (
            "ended",
            Frame::JobsEnded {
                jobs: vec!["job-000412".into(), "job-7".into()],
            },
        ),
    ]
}

/// A query to the leader and its response.
fn query_frames() -> Vec<(&'static str, Frame)> {
    vec![
        (
            "ask",
            Frame::Query {
                from: "south-2".into(),
                serial: 515,
                query: vec![1, 2, 250],
            },
        ),
        (
            "told",
            Frame::QueryResponse {
                serial: 515,
                status: 404,
                body: b"{\"a\":1}".to_vec(),
            },
        ),
    ]
}

#[test]
fn peer_frames_match_golden_file() {
    let mut golden = Golden::new("tests/golden/peer-frames.hex");
    let mut frames = announcement_frames();
    // The golden file lists the frames in the order of the enum variants.
    let after_readiness = 5;
    frames.splice(after_readiness..after_readiness, query_frames());
    for (name, frame) in frames {
        let bytes = encode(&frame);
        golden.bytes(name, &bytes);
        assert_eq!(
            take_frame(&mut bytes.clone()).expect(name),
            Some(frame),
            "{name}"
        );
    }
    golden.check();
}

#[test]
fn error_body_matches_golden_file() {
    let mut golden = Golden::new("tests/golden/problem.hex");
    golden.bytes("problem", &wire::error_body("no such job"));
    golden.check();
}

#[test]
fn http_heads_match_golden_file() {
    let mut golden = Golden::new("tests/golden/http.txt");
    let mut line = |name: &str, bytes: &[u8]| {
        golden.text(
            name,
            &String::from_utf8_lossy(bytes).replace("\r\n", "\\r\\n"),
        );
    };
    let contents = [Content::Cbor, Content::Json, Content::Text];
    let methods = [Method::Get, Method::Post, Method::Delete];
    for (method, content) in methods.into_iter().zip(contents) {
        let authorization = (method == Method::Post).then_some("BH1 key=alice");
        let head = RequestHead {
            method,
            path: "/up?a=b",
            host: "a:1",
            content,
            authorization,
        };
        let mut out = Vec::new();
        write_request(&mut out, &head, b"body");
        line("request", &out);
    }
    for status in [
        200, 201, 202, 400, 401, 403, 404, 405, 409, 413, 421, 422, 429, 503, 599,
    ] {
        let mut out = Vec::new();
        let head = ResponseHead {
            status,
            retry_after: None,
            close: false,
            content: Content::Cbor,
        };
        write_response(&mut out, &head, b"");
        line("answer", &out);
    }
    let mut out = Vec::new();
    let head = ResponseHead {
        status: 503,
        retry_after: Some(7),
        close: true,
        content: Content::Json,
    };
    write_response(&mut out, &head, b"{}");
    line("last answer", &out);
    golden.check();
}

/// The value of every field of the platform's settings, as one line of JSON.
fn settings_line(s: &Settings) -> String {
    let p = &s.params;
    let members: Vec<_> = s
        .members
        .iter()
        .map(|m| json!([m.label, m.area, m.addr.to_string()]))
        .collect();
    let teams: Vec<_> = p
        .teams
        .iter()
        .map(|t| json!([t.name, t.cpus, t.cpus_max, t.gpus, t.gpus_max]))
        .collect();
    let objectives: Vec<_> = p
        .objectives
        .iter()
        .map(|o| json!([o.kind, o.class, o.within_s, o.share]))
        .collect();
    let (w, l) = (&p.workers, &p.machine_limits);
    json!([
        [
            s.label,
            s.area,
            s.public_addr.to_string(),
            s.peer_bind.to_string(),
            members
        ],
        [s.external.cloud.to_string(), s.external.state.to_string()],
        [p.zones, p.skew_ms, teams, objectives],
        [w.report_s, w.lease_s, w.cancel_s],
        [
            p.state.rps,
            p.state.write_rps,
            p.state.value_kb,
            p.state.txn_ops
        ],
        [p.cloud.rps, p.cloud.list_lag_s],
        [l.cpu_share, l.ram_mb, l.max_connections]
    ])
    .to_string()
}

const FULL_SETTINGS: &str = r#"
label = "north-1"
area = "north"
public_addr = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
members = [{ label = "south-1", area = "south", addr = "127.0.0.1:3" }]
external = { cloud = "127.0.0.1:4", state = "127.0.0.1:5" }
[params]
zones = ["a", "b"]
skew_ms = 1.5
teams = [{ name = "vision", cpus = 2.5, cpus_max = 3.5, gpus = 4.5, gpus_max = 5.5 }]
objectives = [{ kind = "wait", class = "prompt", within_s = 6.5, share = 0.25 }]
workers = { report_s = 1.25, lease_s = 10.5, cancel_s = 30.5 }
state = { rps = 100.5, write_rps = 30.25, value_kb = 8.5, txn_ops = 17 }
cloud = { rps = 5.25, list_lag_s = 2.5 }
machine_limits = { cpu_share = 0.125, ram_mb = 64.5, max_connections = 501 }
"#;

/// The value of every operator setting, as one line of JSON.
fn operator_line(o: &OperatorSettings) -> String {
    let listener = o.listener.as_ref().map(|l| {
        let keys = l.keys.as_ref().map(|k| k.display().to_string());
        json!([
            l.listen.to_string(),
            keys,
            l.max_connections,
            l.max_pending,
            l.rps,
            l.max_clock_skew_s
        ])
    });
    let a = &o.aging;
    json!([
        [
            o.idle_s,
            o.update_s,
            o.seed,
            o.block_lease_s,
            o.configuration,
            listener
        ],
        [
            a.on,
            a.best_effort_s,
            a.standard_s,
            a.ceiling,
            a.share,
            a.stops,
            a.spared_s
        ]
    ])
    .to_string()
}

const FULL_OPERATOR: &str = "[fleet]\nidle_s = 21\n[split]\nupdate_s = 16\nseed = 5\n\
    [blocks]\nlease_s = 61\n[operators]\nlisten = 0.0.0.0:7911\nkeys = /k.ini\nconnections = 17\n\
    waiting = 65\nrps = 51\nclock_s = 31\n[ageing]\non = yes\nbest_effort_s = 2701\n\
    standard_s = 901\nceiling = critical\nshare = 0.06\nstops = 4\nspared_s = 601\n\
    [configuration]\non = yes\n";

#[test]
fn settings_files_match_golden_file() {
    let mut golden = Golden::new("tests/golden/settings.txt");
    for (name, text) in [("sample.toml", SAMPLE), ("all fields", FULL_SETTINGS)] {
        let settings = Settings::parse(name, text).expect(name);
        golden.text(name, &settings_line(&settings));
    }
    for (name, text) in [
        ("no file", ""),
        ("all keys", FULL_OPERATOR),
        ("ageing.ini", include_str!("../../../deploy/ageing.ini")),
        (
            "configuration.ini",
            include_str!("../../../deploy/configuration.ini"),
        ),
        (
            "operators.ini",
            include_str!("../../../deploy/operators.ini"),
        ),
    ] {
        golden.text(
            name,
            &operator_line(&OperatorSettings::parse(name, text).expect(name)),
        );
    }
    let service: toml::Table = include_str!("../../../deploy/service.toml")
        .parse()
        .expect("service.toml");
    golden.text(
        "service.toml",
        &serde_json::to_string(&service).expect("serializable table"),
    );
    golden.check();
}
