use super::announcements::MAX_RECENT;
use super::*;
use crate::calls::ReplicaCall;
use crate::job_store::{JobKind, Urgency};
use crate::split::tests::c8;
use beamhinge_configuration::Snapshot;
use beamhinge_core::settings::{Settings, SAMPLE};
use beamhinge_core::types::{Revision, WallMs};
use serde_json::{json, Value as Json};
use std::rc::Rc;

fn at(s: f64) -> Time {
    Time::default().plus(100.0 + s)
}

fn submission() -> Json {
    json!({"nameId": "job-000412", "jobClass": "train", "owner": "one", "jobKind": "batch",
        "urgency": "high", "pieces": 16, "vcpus": 2.0, "cards": 0.0, "memoryGb": 4.0,
        "bundle": "img-07", "imageGb": 6.2, "shapes": ["c8"], "yard": null, "oneZone": true,
        "apart": false, "loaners": true, "expectS": 240.0, "snapshotEveryS": 30.0,
        "snapshotS": 4.0, "dueS": 900.0})
}

/// Whether a submission with one field replaced (`None`: removed) can be decoded and is valid,
/// apart from quotas and machine types.
fn valid_with(field: &str, value: Option<ciborium::Value>) -> bool {
    let mut map = match ciborium::Value::serialized(&submission()) {
        Ok(ciborium::Value::Map(map)) => map,
        other => panic!("{other:?}"),
    };
    map.retain(|(k, _)| k.as_text() != Some(field));
    if let Some(v) = value {
        map.push((ciborium::Value::Text(field.into()), v));
    }
    read_submission(&wire::encode(&ciborium::Value::Map(map)), WallMs(1)).is_ok()
}

const TEXT_FIELDS: [&str; 6] = [
    "nameId", "jobClass", "owner", "jobKind", "urgency", "bundle",
];
const AMOUNT_FIELDS: [&str; 7] = [
    "vcpus",
    "cards",
    "memoryGb",
    "imageGb",
    "expectS",
    "snapshotEveryS",
    "snapshotS",
];
const FLAG_FIELDS: [&str; 3] = ["oneZone", "apart", "loaners"];

fn text(value: &str) -> ciborium::Value {
    ciborium::Value::Text(value.into())
}

/// Tests each field of a submission absent, null, and of a wrong type. Only fields that may be
/// null may be absent; otherwise the submission is malformed and must not be accepted.
#[test]
fn submission_with_missing_field_or_wrong_type_is_malformed() {
    use ciborium::Value as V;
    assert!(valid_with("unknown", Some(text("field"))));
    for field in ["shapes", "yard", "dueS"] {
        assert!(valid_with(field, None), "{field} may be absent");
        assert!(valid_with(field, Some(V::Null)), "{field} may be null");
        assert!(!valid_with(field, Some(V::Bool(true))), "{field}");
        assert!(!valid_with(field, Some(V::Map(Vec::new()))), "{field}");
    }
    let all = TEXT_FIELDS
        .iter()
        .chain(&AMOUNT_FIELDS)
        .chain(&FLAG_FIELDS)
        .chain(&["pieces"]);
    for field in all {
        assert!(!valid_with(field, None), "{field} is missing");
        assert!(!valid_with(field, Some(V::Null)), "{field} is null");
        let list = V::Array(vec![V::Null]);
        assert!(!valid_with(field, Some(list)), "{field} is a list");
        let map = V::Map(Vec::new());
        assert!(!valid_with(field, Some(map)), "{field} is a map");
    }
    let numbers = V::Array(vec![V::Integer(1.into())]);
    assert!(!valid_with("shapes", Some(numbers)));
    for body in [&b""[..], b"\xff", b"\x01", b"\x80"] {
        assert!(read_submission(body, WallMs(1)).is_err());
    }
}

#[test]
fn submission_with_invalid_text_is_malformed() {
    use ciborium::Value as V;
    for field in TEXT_FIELDS {
        let number = V::Integer(7.into());
        assert!(!valid_with(field, Some(number)), "{field} is a number");
        assert!(!valid_with(field, Some(V::Bool(true))), "{field} is a flag");
    }
    for field in ["jobKind", "urgency", "nameId"] {
        assert!(!valid_with(field, Some(text("anything"))), "{field}");
    }
    for id in [
        "job-",
        "job-1x",
        "job--1",
        "JOB-1",
        "job-99999999999999999999999",
        "job-1/0",
    ] {
        assert!(!valid_with("nameId", Some(text(id))), "{id}");
    }
    for field in ["owner", "jobClass"] {
        assert!(!valid_with(field, Some(text(""))), "{field} is empty");
    }
}

/// Amounts that are negative, not finite or not numbers, and task counts out of range.
#[test]
fn submission_with_invalid_amount_or_count_is_malformed() {
    use ciborium::Value as V;
    for field in AMOUNT_FIELDS.iter().chain(&["dueS"]) {
        for bad in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
            assert!(!valid_with(field, Some(V::Float(bad))), "{field} is {bad}");
        }
        assert!(!valid_with(field, Some(text("2"))), "{field} is text");
        assert!(!valid_with(field, Some(V::Bool(true))), "{field} is a flag");
        let whole = V::Integer(3.into());
        assert!(
            valid_with(field, Some(whole)),
            "{field} may be a whole number"
        );
    }
    for bad in [-1.0, 0.0, 1.5, 100_001.0, f64::NAN, f64::INFINITY, 1e300] {
        let count = V::Float(bad);
        assert!(!valid_with("pieces", Some(count)), "pieces is {bad}");
    }
    for bad in [-1, 0, 100_001, i64::MAX, i64::MIN] {
        let count = V::Integer(bad.into());
        assert!(!valid_with("pieces", Some(count)), "pieces is {bad}");
    }
}

#[test]
fn submission_with_invalid_flag_is_malformed() {
    use ciborium::Value as V;
    for flag in FLAG_FIELDS {
        for bad in [text("true"), V::Integer(1.into()), V::Float(1.0)] {
            assert!(!valid_with(flag, Some(bad)), "{flag}");
        }
    }
}

/// A job that can never run is infeasible; while machine types are unknown, a job that depends
/// on them is neither feasible nor infeasible.
#[test]
fn job_that_can_never_run_is_infeasible_and_unknown_machine_types_leave_it_undecided() {
    let mut settings = Settings::parse("t", SAMPLE).expect("valid sample settings");
    settings.params.teams[0].name = "one".into();
    settings.params.teams[0].cpus_max = 16.0;
    let machine_types = [c8()];
    let assess_with = |field: &str, value: Json, types_known: bool| {
        let mut body = submission();
        body[field] = value;
        let (_, spec) =
            read_submission(&wire::encode(&body), WallMs(1)).expect("a valid submission");
        let teams = Snapshot::default().effective(&settings.params.teams);
        let team = teams.iter().find(|team| *team.name == *spec.team);
        assess(
            &spec,
            team,
            &settings,
            if types_known { &machine_types } else { &[] },
        )
    };
    let is_infeasible = |v: Feasibility| matches!(v, Feasibility::Infeasible(_));
    assert_eq!(
        assess_with("pieces", json!(100_000), true),
        Feasibility::Feasible
    );
    assert_eq!(assess_with("pieces", json!(1), false), Feasibility::Unknown);
    for types_known in [false, true] {
        assert!(is_infeasible(assess_with(
            "owner",
            json!("nobody"),
            types_known
        )));
        assert!(is_infeasible(assess_with(
            "vcpus",
            json!(17.0),
            types_known
        )));
        assert!(
            is_infeasible(assess_with("jobKind", json!("standing"), types_known)),
            "16 tasks of 2 CPUs run at the same time"
        );
        let long_class = json!("x".repeat(60_000));
        assert!(is_infeasible(assess_with(
            "jobClass",
            long_class,
            types_known
        )));
    }
    for (field, value) in [
        ("vcpus", json!(8.5)),
        ("memoryGb", json!(33.0)),
        ("cards", json!(1)),
        ("shapes", json!(["c9"])),
        ("shapes", json!([])),
        ("yard", json!("west")),
    ] {
        assert!(
            is_infeasible(assess_with(field, value.clone(), true)),
            "{field} {value}"
        );
        assert_eq!(assess_with(field, value, false), Feasibility::Unknown);
    }
}

struct NoCounts;

impl TaskCountSource for NoCounts {
    fn counts(&self, _: JobId) -> Option<TaskCounts> {
        None
    }
}

/// A replica of the jobs with a simulated key-value store: tests supply the replies.
struct TestReplica {
    job_store: JobStore,
    store: StoreClient<Tag>,
    calls: u64,
}

impl TestReplica {
    fn new(now: Time) -> TestReplica {
        let settings = Settings::parse("t", SAMPLE).expect("valid sample settings");
        let mut replica = TestReplica {
            job_store: JobStore::default(),
            store: StoreClient::new(&settings),
            calls: 0,
        };
        let call = replica.send_request(now);
        replica.deliver(
            now,
            call,
            ReplicaCall::Scan,
            &json!({"pairs": [], "more": false, "ledgerRev": 3}),
        );
        replica
    }

    fn send_request(&mut self, now: Time) -> beamhinge_core::types::CallId {
        self.job_store.tick(now, true, false, &mut self.store);
        let mut out = Vec::new();
        self.store.flush(now, &mut self.calls, &mut out);
        match out.pop() {
            Some(Effect::Call { id, .. }) => id,
            other => panic!("{other:?}"),
        }
    }

    fn deliver(
        &mut self,
        now: Time,
        id: beamhinge_core::types::CallId,
        call: ReplicaCall,
        body: &Json,
    ) -> Freshness {
        let reply = self
            .store
            .on_reply(id, Some((200, wire::encode(body))))
            .expect("a reply to a call of this client");
        self.job_store.on_reply(now, call, reply)
    }
}

fn answers_in(out: &mut Vec<Effect>) -> Vec<(u16, String)> {
    let answers = out.drain(..).filter_map(|o| match o {
        Effect::Answer { status, body, .. } => {
            let body: ciborium::Value = wire::decode(&body).expect("CBOR");
            let body: Json = body.deserialized().expect("as JSON");
            Some((status, body["status"].as_str().unwrap_or("").to_string()))
        }
        _ => None,
    });
    answers.collect()
}

/// The key-value store handled the replica refresh for a poll before the job was cancelled
/// through another controller, and its reply is slow. The announcement of the job's end arrives
/// before that reply: the user may already know a newer state than the reply contains, so the
/// reply must not answer the poll.
#[test]
fn poll_older_than_announced_end_waits_for_fresher_replica() {
    let id = JobId::parse("job-000412").expect("a job");
    let (_, spec) =
        read_submission(&wire::encode(&submission()), WallMs(1)).expect("a valid submission");
    for announced in [false, true] {
        let (mut replica, mut user_api, mut out) =
            (TestReplica::new(at(0.0)), UserApi::default(), Vec::new());
        replica.job_store.on_committed(
            id,
            Revision(4),
            JobState::Open,
            Some(Rc::new(spec.clone())),
        );
        let request = |generation| RequestId {
            slot: 0,
            generation,
        };
        user_api.poll(at(1.0), request(1), id, &replica.job_store, &mut out);
        let call = replica.send_request(at(1.0));
        if announced {
            let other = JobId::parse("job-9").expect("a job");
            user_api.on_end_announced(at(1.2), [other, id].into_iter());
        }
        let fresh = replica.deliver(
            at(1.4),
            call,
            ReplicaCall::Refresh,
            &json!({"ledgerRev": 4, "news": []}),
        );
        user_api.on_replica_refresh(at(1.4), fresh, &replica.job_store, &NoCounts, &mut out);
        let expected: &[(u16, String)] = &[(200, "pending".into())];
        assert_eq!(answers_in(&mut out), if announced { &[] } else { expected });
        assert!(user_api.take_ended_jobs().is_empty());
        if !announced {
            continue;
        }
        // The next refresh is newer than the announcement and contains the cancellation.
        assert!(user_api.needs_fresh_jobs());
        let call = replica.send_request(at(1.5));
        let cancelled = json!({"ledgerRev": 5, "news": [{"write": job_store::key(id), "stamp": 5,
            "value": job_store::cancelled_record(&spec)}]});
        let fresh = replica.deliver(at(1.6), call, ReplicaCall::Refresh, &cancelled);
        user_api.on_replica_refresh(at(1.6), fresh, &replica.job_store, &NoCounts, &mut out);
        assert_eq!(answers_in(&mut out), [(200, "cancelled".into())]);
        assert_eq!(
            user_api.take_ended_jobs(),
            [id],
            "the end is announced to the peers"
        );
        user_api.poll(at(2.0), request(2), id, &replica.job_store, &mut out);
        assert_eq!(answers_in(&mut out), [(200, "cancelled".into())]);
        assert!(
            user_api.take_ended_jobs().is_empty(),
            "each end is announced once"
        );
    }
}

/// Announcements from peers change no job and are not stored, and the number of remembered
/// announcements to peers is bounded.
#[test]
fn announced_ends_are_bounded_and_change_no_job() {
    let (replica, mut user_api, mut out) =
        (TestReplica::new(at(0.0)), UserApi::default(), Vec::new());
    let id = |n: usize| JobId::parse(&format!("job-{n}")).expect("a job");
    user_api.on_end_announced(at(0.1), (0..10_000).map(id));
    assert!(!user_api.needs_fresh_jobs() && replica.job_store.get(id(1)).is_none());
    for n in 0..MAX_RECENT * 3 {
        user_api.announcements.announce(id(n));
    }
    assert_eq!(user_api.take_ended_jobs().len(), MAX_RECENT * 3);
    assert_eq!(user_api.announcements.recent.len(), MAX_RECENT);
    // An announcement does not extend the timeout of a waiting poll.
    user_api.poll(
        at(1.0),
        RequestId {
            slot: 0,
            generation: 1,
        },
        id(1),
        &replica.job_store,
        &mut out,
    );
    let mut store = StoreClient::new(&Settings::parse("t", SAMPLE).expect("valid sample settings"));
    user_api.on_end_announced(at(1.0 + QUERY_TIMEOUT_S), std::iter::once(id(1)));
    user_api.tick(
        at(1.1 + QUERY_TIMEOUT_S),
        &replica.job_store,
        &mut store,
        &mut out,
    );
    assert_eq!(answers_in(&mut out), [(503, String::new())]);
}

/// Each field of the wire format is stored in its field of the job specification.
#[test]
fn submission_fields_map_to_job_spec() {
    let mut body = submission();
    body["yard"] = json!("a");
    body["cards"] = json!(1.25);
    let (id, spec) = read_submission(&wire::encode(&body), WallMs(77)).expect("a valid submission");
    let expected = JobSpec {
        class: "train".into(),
        team: "one".into(),
        kind: JobKind::Batch,
        urgency: Urgency::High,
        tasks: 16,
        cpus: 2.0,
        gpus: 1.25,
        memory_gb: 4.0,
        image: "img-07".into(),
        image_gb: 6.2,
        machine_types: Some(vec!["c8".into()]),
        zone: Some("a".into()),
        single_zone: true,
        spread: false,
        spot: true,
        expected_run_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_duration_s: 4.0,
        due_s: Some(900.0),
        submitted: 77,
        command: None,
    };
    assert_eq!((id.to_string().as_str(), spec), ("job-000412", expected));
    for (urgency, name) in [
        (Urgency::BestEffort, "best_effort"),
        (Urgency::Standard, "standard"),
        (Urgency::High, "high"),
        (Urgency::Critical, "critical"),
    ] {
        body["urgency"] = json!(name);
        body["jobKind"] = json!("standing");
        let (_, spec) = read_submission(&wire::encode(&body), WallMs(77)).expect(name);
        assert_eq!((spec.urgency, spec.kind), (urgency, JobKind::Service));
    }
    body["oneZone"] = json!(false);
    body["apart"] = json!(true);
    body["loaners"] = json!(false);
    let (_, spec) = read_submission(&wire::encode(&body), WallMs(77)).expect("a valid submission");
    assert_eq!(
        (spec.single_zone, spec.spread, spec.spot),
        (false, true, false)
    );
}

#[test]
fn answers_to_users_match_golden_file() {
    let mut golden = crate::golden::Golden::new("tests/golden/answers-to-users.hex");
    let mut add = |name: &str, status, done, running| {
        let job = "job-000412".to_string();
        golden.bytes(
            name,
            &wire::encode(&StatusBody {
                job,
                status,
                done,
                running,
            }),
        );
    };
    add("pending", "pending", None, None);
    add("running", "running", Some(3), Some(13));
    add("done", DONE, Some(16), Some(0));
    add("cancelled", CANCELLED, None, None);
    golden.check();
}
