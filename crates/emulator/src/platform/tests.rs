use super::*;
use crate::decode;
use beamhinge_core::http::Method;
use serde_json::Value;
use std::io::Write;
use std::path::Path;

#[test]
fn what_was_kept_comes_back_with_its_revisions_and_without_leases() {
    let dir = std::env::temp_dir().join(format!("beamhinge-kept-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join("state.log");
    let s = settings::Settings::parse("t", settings::SAMPLE)
        .expect("sound")
        .params
        .state;
    let plan = |kept: &Path| Plan {
        controllers: vec![SocketAddrV4::new([127, 0, 0, 1].into(), 1)],
        worker_doors: Vec::new(),
        workers: settings::Workers {
            report_s: 1.0,
            lease_s: 4.0,
            cancel_s: 12.0,
        },
        state: s.clone(),
        cloud: settings::Cloud {
            rps: 5.0,
            list_lag_s: 1.0,
        },
        kinds: Vec::new(),
        zones: Vec::new(),
        capacity: Vec::new(),
        owned: Vec::new(),
        kept: Some(kept.to_path_buf()),
        processes: None,
        doubles: Doubles::default(),
        seed: 1,
        troubles: None,
    };
    let now = Time::from_micros(SECOND);
    let ask = |p: &mut Platform, method, path: &str, body: Value| {
        let mut out = Vec::new();
        let id = RequestId {
            slot: 0,
            generation: 1,
        };
        let (path, body) = (path.to_string(), wire::encode(&body));
        let r = Request {
            method,
            path,
            body,
            close: false,
            authorization: None,
        };
        p.on_request(now, WallMs(0), STATE_DOOR, id, r, &mut out);
        match out.pop() {
            Some(Effect::Answer { status, body, .. }) => (status, decode(&body)),
            other => panic!("{other:?}"),
        }
    };
    let mut p = Platform::new(plan(&path), Box::new(|_| {}), now).expect("made");
    let lease_id = ask(&mut p, Method::Post, "/holds", json!({"lifeMs": 5000})).1["permit"].clone();
    let put = |key: &str, lease_id: Value| {
        json!({"when": [{"path": key, "stamp": 0}],
            "then": [{"write": key, "value": {"x": 1}, "permit": lease_id}]})
    };
    assert_eq!(
        ask(&mut p, Method::Post, "/commit", put("a/b", Value::Null)).0,
        200
    );
    assert_eq!(
        ask(&mut p, Method::Post, "/commit", put("lead/now", lease_id)).0,
        200
    );
    drop(p);
    let torn = std::fs::OpenOptions::new().append(true).open(&path);
    torn.expect("there")
        .write_all(b"{\"rev\": 9, \"ke")
        .expect("written");
    for _ in 0..2 {
        let mut p = Platform::new(plan(&path), Box::new(|_| {}), now).expect("made");
        let (status, found) = ask(&mut p, Method::Get, "/store?under=", json!({}));
        assert_eq!(
            (status, found["pairs"].as_array().map(Vec::len)),
            (200, Some(1))
        );
        assert_eq!(found["pairs"][0]["stamp"], 1);
        assert_eq!(found["ledgerRev"], 2, "a revision is never given twice");
    }
    std::fs::remove_dir_all(&dir).expect("removed");
}
