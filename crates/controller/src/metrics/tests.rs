use super::*;

#[test]
fn times_and_counts_are_rendered() {
    let mut metrics = Metrics::new(true);
    let at = |s: f64| Time::from_micros(1_000_000).plus(s);
    let id = RequestId {
        slot: 1,
        generation: 2,
    };
    metrics.on_request(at(0.0), id, "jobs");
    let body = Vec::new();
    metrics.on_effects(
        at(0.25),
        &[Effect::Answer {
            to: id,
            status: 503,
            retry_after: None,
            body,
        }],
    );
    let page = metrics.render(&[("holder", 1.0)], std::iter::once(("placed", 3)));
    for line in [
        "beamhinge_answer_seconds_count{route=\"jobs\"} 1",
        "beamhinge_answers_total{route=\"jobs\",status=\"503\"} 1",
        "beamhinge_decisions_total{kind=\"placed\"} 3",
        "beamhinge_holder 1",
    ] {
        assert!(page.contains(line), "{line} is missing in\n{page}");
    }
    assert!(
        page.contains("quantile=\"0.5\"} 0.25"),
        "within a hundredth:\n{page}"
    );
}

/// Returns one call of each kind, and one that is not timed.
fn calls() -> Vec<(Destination, Method, &'static str)> {
    let worker = "127.0.0.1:9000".parse().expect("an address");
    vec![
        (Destination::KeyValueStore, Method::Post, "/commit"),
        (
            Destination::KeyValueStore,
            Method::Get,
            "/watch?under=c/&since=1&waitMs=0",
        ),
        (
            Destination::KeyValueStore,
            Method::Get,
            "/watch?under=c/&since=1&waitMs=5",
        ),
        (Destination::KeyValueStore, Method::Post, "/holds/7/renew"),
        (Destination::KeyValueStore, Method::Get, "/store?under=c/"),
        (Destination::Cloud, Method::Post, "/hosts"),
        (Destination::Cloud, Method::Post, "/hosts/release"),
        (Destination::Cloud, Method::Get, "/hosts?most=500"),
        (Destination::Worker(worker), Method::Post, "/do"),
        (
            Destination::Controller {
                address: worker,
                caller: 1,
            },
            Method::Get,
            "/up",
        ),
    ]
}

/// Pins every name, label and type on the page, with one value of each.
#[test]
fn rendered_page_matches_golden_file() {
    let mut metrics = Metrics::new(true);
    let at = |s: f64| Time::from_micros(1_000_000).plus(s);
    let id = RequestId {
        slot: 1,
        generation: 2,
    };
    metrics.on_request(at(0.0), id, "jobs");
    metrics.on_effects(
        at(0.5),
        &[Effect::Answer {
            to: id,
            status: 200,
            retry_after: None,
            body: Vec::new(),
        }],
    );
    for (i, (destination, method, path)) in calls().into_iter().enumerate() {
        for (id, answered) in [(CallId(i as u64), true), (CallId(100 + i as u64), false)] {
            let (path, body) = (path.to_string(), Vec::new());
            metrics.on_effects(
                at(0.0),
                &[Effect::Call {
                    id,
                    destination,
                    method,
                    path,
                    body,
                    timeout_s: 1.0,
                }],
            );
            metrics.on_call_end(at(0.25), id, answered);
        }
    }
    metrics.on_leadership_acquired(at(0.0));
    metrics.on_state_loaded(at(1.0));
    metrics.record_oldest_wait(2.0);
    metrics.record_placements(&[3.0]);
    let kinds = crate::event_log::KIND_NAMES.into_iter().zip(1..);
    let page = metrics.render(&[("holder", 1.0), ("cpus", 2.5)], kinds);
    let mut golden = crate::golden::Golden::new("tests/golden/metrics.txt");
    for (i, line) in page.lines().enumerate() {
        golden.text(&format!("{:03}", i + 1), line);
    }
    golden.check();
}

/// Guards against a bound that is too small: requests beyond the first 2,048 open ones were not
/// timed.
#[test]
fn all_requests_of_a_large_fleet_are_timed_and_memory_is_bounded() {
    let mut metrics = Metrics::new(true);
    let at = |s: f64| Time::from_micros(1_000_000).plus(s);
    let id = |slot: usize| RequestId {
        slot,
        generation: 1,
    };
    (0..8_192).for_each(|slot| metrics.on_request(at(0.0), id(slot), "reports"));
    for slot in 0..8_192 {
        let answer = Effect::Answer {
            to: id(slot),
            status: 200,
            retry_after: None,
            body: vec![],
        };
        metrics.on_effects(at(0.1), &[answer]);
    }
    let page = metrics.render(&[], std::iter::empty());
    let line = "beamhinge_answer_seconds_count{route=\"reports\"} 8192";
    assert!(page.contains(line), "{line} is missing in\n{page}");
    (0..MAX_TIMED + 100).for_each(|slot| metrics.on_request(at(1.0), id(slot), "reports"));
    assert_eq!(metrics.open_requests.len(), MAX_TIMED);
}
