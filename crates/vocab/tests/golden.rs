//! The forms of job records, peer frames and settings files, as they were recorded.

#[path = "support/golden.rs"]
mod golden;

use beamhinge_vocab::job::{
    cancelled_record, done_record, key, open_record, JobKind, JobSpec, JobState, Record, Urgency,
    RECORD_VERSION,
};
use beamhinge_vocab::peers::{encode, take, Frame};
use beamhinge_vocab::types::JobId;
use beamhinge_vocab::wire;
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
        shapes: Some(vec!["g8".into(), "c4".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        expect_s: 240.5,
        checkpoint_s: 30.5,
        save_s: 4.5,
        due_s: Some(900.5),
        submitted: 1_700_000_000_123,
        command: Some("echo hello".into()),
    }
}

/// Flags the other way round, and all that may be left out left out.
fn bare_spec(kind: JobKind, urgency: Urgency) -> JobSpec {
    JobSpec {
        kind,
        urgency,
        shapes: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        due_s: None,
        command: None,
        ..spec()
    }
}

#[test]
fn job_records_keep_their_form() {
    let mut golden = Golden::new("tests/golden/job-records.hex");
    let id = JobId::parse("job-000412").expect("an id");
    golden.text("key", &key(id));
    let mut add = |name: &str, value| {
        let record: Record = wire::from_value(&value).expect(name);
        assert_eq!(record.v, RECORD_VERSION);
        assert_eq!(wire::to_value(&record), value);
        golden.stored(name, &record);
    };
    add("open", open_record(&spec()));
    add("done", done_record(&spec()));
    add("cancelled", cancelled_record(&spec()));
    let kinds = [("batch", JobKind::Batch), ("standing", JobKind::Standing)];
    let urgencies = [
        ("best_effort", Urgency::BestEffort),
        ("standard", Urgency::Standard),
        ("high", Urgency::High),
        ("critical", Urgency::Critical),
    ];
    for (kind_name, kind) in kinds {
        for (urgency_name, urgency) in urgencies {
            let name = format!("open bare {kind_name} {urgency_name}");
            add(&name, open_record(&bare_spec(kind, urgency)));
        }
    }
    golden.check();
}

/// Each field is found under its stored name, and goes to the field that it belongs to.
#[test]
fn a_job_record_is_read_field_by_field() {
    let stored = json!({"v": 1, "st": "open", "spec": {"c": "train", "o": "vision", "k": "batch",
        "u": "high", "n": 16, "cpu": 8.5, "gpu": 1.25, "mem": 64.5, "img": "img-07", "igb": 6.2,
        "sh": ["g8", "c4"], "z": "a", "oz": true, "ap": false, "sp": true, "ex": 240.5,
        "ce": 30.5, "cs": 4.5, "due": 900.5, "at": 1_700_000_000_123_u64, "cmd": "echo hello"}});
    let record: Record = wire::decode(&wire::encode(&stored)).expect("a record");
    assert_eq!(record.spec, Some(spec()));
    assert_eq!(record.st, JobState::Open);
}

/// Records of earlier versions knew neither command lines nor whose a finished job was.
#[test]
fn records_of_earlier_forms_are_read() {
    let done: Record =
        wire::decode(&wire::encode(&json!({"v": 1, "st": "done", "n": 16}))).expect("a record");
    assert_eq!((done.st, done.n, done.brief), (JobState::Done, Some(16), None));
    let cancelled = json!({"v": 1, "st": "cancelled", "spec": {"c": "c", "o": "o", "k": "standing",
        "u": "best_effort", "n": 2, "cpu": 1.0, "gpu": 0.0, "mem": 2.0, "img": "i", "igb": 0.0,
        "sh": null, "z": null, "oz": false, "ap": true, "sp": false, "ex": 0.0, "ce": 0.0, "cs": 0.0,
        "due": null, "at": 5}});
    let cancelled: Record = wire::decode(&wire::encode(&cancelled)).expect("a record");
    assert_eq!(cancelled.st, JobState::Cancelled);
    let spec = cancelled.spec.expect("a description");
    assert_eq!((spec.kind, spec.urgency), (JobKind::Standing, Urgency::BestEffort));
    assert_eq!((spec.shapes, spec.zone, spec.due_s, spec.command), (None, None, None, None));
}

#[test]
fn peer_frames_keep_their_form() {
    let mut golden = Golden::new("tests/golden/peer-frames.hex");
    let label = || "north-1".to_string();
    let frames = [
        ("pulse", Frame::Pulse { label: label(), ledger_age_ms: 300, holder: true }),
        ("progress", Frame::Progress(vec![("job-000412".into(), 3, 13), ("job-7".into(), 1, 300)])),
        ("holds", Frame::Holds { label: label(), token: 70_000 }),
        ("ready", Frame::Ready { label: label(), ready: true, drained: false }),
        ("ready drained", Frame::Ready { label: label(), ready: false, drained: true }),
        ("ask", Frame::Ask { from: "south-2".into(), serial: 515, query: vec![1, 2, 250] }),
        ("told", Frame::Told { serial: 515, status: 404, body: b"{\"a\":1}".to_vec() }),
        ("hears", Frame::Hears { label: label(), machines: vec!["n-000231".into(), "n-9".into()] }),
        ("stuck", Frame::Stuck { label: label() }),
        ("ended", Frame::Ended { jobs: vec!["job-000412".into(), "job-7".into()] }),
    ];
    for (name, frame) in frames {
        let bytes = encode(&frame);
        golden.bytes(name, &bytes);
        assert_eq!(take(&mut bytes.clone()).expect(name), Some(frame), "{name}");
    }
    golden.check();
}

#[test]
fn a_problem_keeps_its_form() {
    let mut golden = Golden::new("tests/golden/problem.hex");
    golden.bytes("problem", &wire::problem("no such job"));
    golden.check();
}
