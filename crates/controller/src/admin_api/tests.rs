use super::pending::QUERY_TIMEOUT_S;
use super::*;
use beamhinge_admin_api::messages::{State, MAX_BODY_BYTES, MAX_ROWS};
use beamhinge_core::http::Method;
use beamhinge_core::job::Urgency;
use beamhinge_core::types::{JobId, RequestId};

fn get(path: &str) -> Request {
    Request {
        method: Method::Get,
        path: path.into(),
        body: Vec::new(),
        close: false,
        authorization: None,
    }
}

fn admin_api(waiting_limit: usize) -> AdminApi {
    let authenticator = Authenticator::new(Vec::new(), "i".into(), 30.0, 16);
    AdminApi::new(
        authenticator,
        AdminLimits {
            max_waiting: waiting_limit,
            max_rps: 100.0,
        },
    )
}

#[test]
fn misspelt_path_or_filter_is_refused() {
    let route = Route::parse(&get("/v1/jobs?state=open,done&team=a%20b&limit=9999"));
    let Ok(Route::Jobs(filter)) = route else {
        panic!("{route:?}")
    };
    assert_eq!(
        (filter.states.len(), filter.team.as_deref(), filter.limit),
        (3, Some("a b"), MAX_ROWS)
    );
    for bad in [
        "/v1/jobs?stat=open",
        "/v1/jobs?state=opn",
        "/v1/jobs?older_s=-1",
        "/v1/jobs?older_s=NaN",
        "/v1/jobs?after=x",
        "/v1/jobs/412",
        "/v1/nodes?x=1",
    ] {
        assert_eq!(
            Route::parse(&get(bad)).map_err(|r| r.status),
            Err(400),
            "{bad}"
        );
    }
    assert_eq!(
        Route::parse(&get("/v2/jobs")).map_err(|r| r.status),
        Err(404)
    );
    let mut post = get("/v1/nodes");
    post.method = Method::Post;
    assert_eq!(Route::parse(&post).map_err(|r| r.status), Err(405));
    let mut large = get("/v1/jobs");
    large.body = vec![b' '; MAX_BODY_BYTES + 1];
    assert_eq!(Route::parse(&large).map_err(|r| r.status), Err(413));
}

#[test]
fn pending_queries_are_bounded_and_time_out() {
    let mut admin_api = admin_api(2);
    let now = Time::from_micros(10_000_000);
    let wall = WallMs(1);
    for slot in 0..2 {
        assert!(admin_api.receive(now, wall, &get("/v1/teams")).is_ok());
        let request = RequestId {
            slot,
            generation: 1,
        };
        admin_api.pending.push_local(
            now,
            request,
            LocalTarget::Job {
                id: JobId::parse("job-1").expect("id"),
                explain: false,
            },
        );
    }
    let refused = admin_api
        .receive(now, wall, &get("/v1/teams"))
        .map_err(|r| (r.status, r.problem.code));
    assert_eq!(refused, Err((503, Code::Busy)));
    assert!(
        admin_api.receive(now, wall, &get("/v1/hello")).is_ok(),
        "hello is always answered"
    );
    assert!(
        admin_api
            .pending
            .take_ready_local(&ReplicaFreshness {
                jobs: Some(now.minus(0.1)),
                directives: None,
                ..ReplicaFreshness::default()
            })
            .is_empty(),
        "an older replica answers no query"
    );
    let overdue = admin_api
        .pending
        .take_overdue(now.plus(QUERY_TIMEOUT_S + 0.1), false);
    assert_eq!(overdue.clients.len(), 2);
}

/// Otherwise a leader that was replaced could return an older state than its successor.
#[test]
fn leader_query_waits_for_exchange_newer_than_itself() {
    let mut admin_api = admin_api(8);
    let now = Time::from_micros(10_000_000);
    let requester = Requester::Peer {
        label: "b".into(),
        serial: 1,
    };
    admin_api
        .pending
        .push_leader_query(now, requester, Query::Teams);
    assert!(admin_api
        .pending
        .take_ready_leader(Some(now.minus(0.01)))
        .is_empty());
    assert_eq!(admin_api.pending.take_ready_leader(Some(now)).len(), 1);
    admin_api.pending.push_leader_query(
        now,
        Requester::Peer {
            label: "b".into(),
            serial: 2,
        },
        Query::Teams,
    );
    let peers = admin_api.pending.take_overdue(now, false).peers;
    assert_eq!(
        peers,
        vec![("b".to_string(), 2)],
        "not the leader any more: answered at once"
    );
}

fn post(path: &str, body: &str) -> Request {
    Request {
        method: Method::Post,
        body: body.as_bytes().to_vec(),
        ..get(path)
    }
}

/// Every path of the admin API has a route, whose name on the metrics page is fixed.
#[test]
fn routes_have_stable_paths_and_metric_names() {
    let change = r#"{"seen": 3, "teams": {"one": "remove"}}"#;
    for (request, name) in [
        (get("/v1/hello"), "op_hello"),
        (get("/metrics"), "op_metrics"),
        (get("/v1/jobs"), "op_jobs"),
        (get("/v1/jobs/job-1"), "op_job"),
        (get("/v1/jobs/job-1/explain"), "op_explain"),
        (
            post("/v1/jobs", r#"{"job": "job-1", "team": "one"}"#),
            "op_submit",
        ),
        (post("/v1/jobs/job-1/cancel", ""), "op_cancel"),
        (get("/v1/nodes"), "op_nodes"),
        (get("/v1/directives"), "op_directives"),
        (
            post(
                "/v1/directives",
                r#"{"target": {"zone": "a"}, "set": true}"#,
            ),
            "op_direct",
        ),
        (get("/v1/configuration"), "op_configuration"),
        (post("/v1/configuration", change), "op_configure"),
        (get("/v1/machines"), "op_holder"),
        (get("/v1/teams"), "op_holder"),
        (get("/v1/splits"), "op_holder"),
        (get("/v1/summary"), "op_holder"),
        (get("/v1/decisions"), "op_holder"),
    ] {
        let route = Route::parse(&request).expect(name);
        assert_eq!(
            route.name(),
            name,
            "{} {}",
            request.method.name(),
            request.path
        );
    }
}

#[test]
fn leader_queries_read_their_parameters() {
    let machines = get("/v1/machines?shape=g8&zone=a&after=n-1&limit=7");
    let Ok(Route::LeaderQuery(query)) = Route::parse(&machines) else {
        panic!("machines")
    };
    let (machine_type, zone) = (Some("g8".into()), Some("a".into()));
    assert_eq!(
        query,
        Query::Machines {
            machine_type,
            zone,
            after: Some("n-1".into()),
            limit: 7
        }
    );
    let decisions = get("/v1/decisions?token=41&after=9&limit=5");
    let Ok(Route::LeaderQuery(query)) = Route::parse(&decisions) else {
        panic!("decisions")
    };
    assert_eq!(
        query,
        Query::Decisions {
            token: 41,
            after: 9,
            limit: 5
        }
    );
}

#[test]
fn job_filter_reads_its_parameters() {
    let path = "/v1/jobs?state=pending,running,done,cancelled&team=t&class=c&urgency=high\
        &older_s=1.5&younger_s=2.5&after=job-1&limit=3";
    let Ok(Route::Jobs(filter)) = Route::parse(&get(path)) else {
        panic!("jobs")
    };
    assert_eq!(
        filter.states,
        [
            State::Pending,
            State::Running,
            State::Done,
            State::Cancelled
        ]
    );
    assert_eq!(
        (filter.team.as_deref(), filter.class.as_deref()),
        (Some("t"), Some("c"))
    );
    assert_eq!((filter.urgency, filter.limit), (Some(Urgency::High), 3));
    assert_eq!((filter.older_s, filter.younger_s), (Some(1.5), Some(2.5)));
    assert_eq!(filter.after.as_deref(), Some("job-1"));
}

/// The text of decoding errors is sent to operators: it does not change when types are renamed.
#[test]
fn body_of_wrong_type_is_refused_with_stable_text() {
    for (path, expected) in [
        ("/v1/jobs", "struct JobRequest"),
        ("/v1/directives", "struct Change"),
        ("/v1/configuration", "struct Change"),
    ] {
        let request = Request {
            method: Method::Post,
            body: b"1".to_vec(),
            ..get(path)
        };
        let rejection = Route::parse(&request).expect_err(path);
        let error = format!(
            "the body is not as expected: invalid type: integer `1`, expected {expected} \
             at line 1 column 1"
        );
        assert_eq!((rejection.status, rejection.problem.error), (400, error));
    }
}
