use super::*;
use crate::decode;
use beamhinge_core::http::Method;
use beamhinge_core::wire;
use serde_json::Value;
use std::io::Write;
use std::path::Path;

fn now() -> Time {
    Time::from_micros(SECOND)
}

/// Creates a platform that has only a durable state service.
fn durable_platform(state_log: &Path) -> Platform {
    let state = settings::Settings::parse("t", settings::SAMPLE)
        .expect("valid sample settings")
        .params
        .state;
    let config = PlatformConfig {
        controllers: vec![SocketAddrV4::new([127, 0, 0, 1].into(), 1)],
        worker_addresses: Vec::new(),
        workers: settings::WorkerTimings {
            report_s: 1.0,
            lease_s: 4.0,
            cancel_s: 12.0,
        },
        state,
        cloud: settings::CloudLimits {
            rps: 5.0,
            list_lag_s: 1.0,
        },
        instance_types: Vec::new(),
        zones: Vec::new(),
        capacity: Vec::new(),
        owned: Vec::new(),
        state_log: Some(state_log.to_path_buf()),
        processes: None,
        protocol_faults: ProtocolFaults::default(),
        seed: 1,
        faults: None,
    };
    Platform::new(config, Box::new(|_| {}), now()).expect("platform created")
}

/// Sends a request to the state service; returns the status and the decoded answer.
fn request(platform: &mut Platform, method: Method, path: &str, body: &Value) -> (u16, Value) {
    let mut out = Vec::new();
    let id = RequestId {
        slot: 0,
        generation: 1,
    };
    let request = Request {
        method,
        path: path.to_string(),
        body: wire::encode(body),
        close: false,
        authorization: None,
    };
    platform.on_request(now(), WallMs(0), STATE_LISTENER, id, request, &mut out);
    match out.pop() {
        Some(Effect::Answer { status, body, .. }) => (status, decode(&body)),
        other => panic!("{other:?}"),
    }
}

fn put(platform: &mut Platform, key: &str, lease_id: &Value) -> u16 {
    let transaction = json!({"when": [{"path": key, "stamp": 0}],
        "then": [{"write": key, "value": {"x": 1}, "permit": lease_id}]});
    request(platform, Method::Post, "/commit", &transaction).0
}

#[test]
fn restarted_state_service_keeps_revisions_and_drops_leases() {
    let dir = std::env::temp_dir().join(format!("beamhinge-kept-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("directory created");
    let path = dir.join("state.log");
    let mut platform = durable_platform(&path);
    let lease = request(
        &mut platform,
        Method::Post,
        "/holds",
        &json!({"lifeMs": 5000}),
    );
    assert_eq!(put(&mut platform, "a/b", &Value::Null), 200);
    assert_eq!(put(&mut platform, "lead/now", &lease.1["permit"]), 200);
    drop(platform);
    let log = std::fs::OpenOptions::new().append(true).open(&path);
    log.expect("log exists")
        .write_all(b"{\"rev\": 9, \"ke")
        .expect("truncated line written");
    for _ in 0..2 {
        let mut platform = durable_platform(&path);
        let (status, found) = request(&mut platform, Method::Get, "/store?under=", &json!({}));
        assert_eq!(
            (status, found["pairs"].as_array().map(Vec::len)),
            (200, Some(1))
        );
        assert_eq!(found["pairs"][0]["stamp"], 1);
        assert_eq!(found["ledgerRev"], 2, "a revision is never assigned twice");
    }
    std::fs::remove_dir_all(&dir).expect("directory removed");
}
