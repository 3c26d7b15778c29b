use super::*;

fn get(path: &str) -> Request {
    Request {
        method: Method::Get,
        path: path.into(),
        body: Vec::new(),
        close: false,
        authorization: None,
    }
}

fn desk(waiting: usize) -> Desk {
    let guard = Guard::new(Vec::new(), "i".into(), 30.0, 16);
    Desk::new(guard, Limits { waiting, rps: 100.0 })
}

#[test]
fn paths_and_filters_are_read_and_misspelt_ones_refused() {
    let route = Route::parse(&get("/v1/jobs?state=open,done&team=a%20b&limit=9999"));
    let Ok(Route::Jobs(f)) = route else { panic!("{route:?}") };
    assert_eq!((f.states.len(), f.team.as_deref(), f.limit), (3, Some("a b"), MOST_ROWS));
    for bad in [
        "/v1/jobs?stat=open",
        "/v1/jobs?state=opn",
        "/v1/jobs?older_s=-1",
        "/v1/jobs?older_s=NaN",
        "/v1/jobs?after=x",
        "/v1/jobs/412",
        "/v1/nodes?x=1",
    ] {
        assert_eq!(Route::parse(&get(bad)).map_err(|r| r.status), Err(400), "{bad}");
    }
    assert_eq!(Route::parse(&get("/v2/jobs")).map_err(|r| r.status), Err(404));
    let mut post = get("/v1/nodes");
    post.method = Method::Post;
    assert_eq!(Route::parse(&post).map_err(|r| r.status), Err(405));
    let mut large = get("/v1/jobs");
    large.body = vec![b' '; BODY_LIMIT + 1];
    assert_eq!(Route::parse(&large).map_err(|r| r.status), Err(413));
}

#[test]
fn what_waits_is_bounded_and_given_up_in_time() {
    let mut d = desk(2);
    let now = Time::from_micros(10_000_000);
    let wall = WallMs(1);
    for slot in 0..2 {
        assert!(d.receive(now, wall, &get("/v1/teams")).is_ok());
        let request = RequestId { slot, generation: 1 };
        d.wait(now, request, Want::Job { id: JobId::parse("job-1").expect("id"), explain: false });
    }
    let refused = d.receive(now, wall, &get("/v1/teams")).map_err(|(s, p)| (s, p.code));
    assert_eq!(refused, Err((503, Code::Busy)));
    assert!(d.receive(now, wall, &get("/v1/hello")).is_ok(), "who is there is always told");
    assert!(
        d.ready_local(&Copies {
            jobs: Some(now.minus(0.1)),
            directives: None,
            ..Copies::default()
        })
        .is_empty(),
        "an older copy says nothing"
    );
    let (over, _) = d.overdue(now.plus(PATIENCE_S + 0.1), false);
    assert_eq!(over.len(), 2);
}

/// A holder that was replaced would else tell an older state than the new.
#[test]
fn the_holder_answers_only_after_a_newer_exchange() {
    let mut d = desk(8);
    let now = Time::from_micros(10_000_000);
    let asker = Asker::Peer { label: "b".into(), serial: 1 };
    d.ask_here(now, asker, Query::Teams);
    assert!(d.ready_asked(Some(now.minus(0.01))).is_empty());
    assert_eq!(d.ready_asked(Some(now)).len(), 1);
    d.ask_here(now, Asker::Peer { label: "b".into(), serial: 2 }, Query::Teams);
    let (_, peers) = d.overdue(now, false);
    assert_eq!(peers, vec![("b".to_string(), 2)], "no holder any more: told at once");
}
