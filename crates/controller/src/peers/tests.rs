use super::*;

#[test]
fn a_token_that_was_made_up_is_forgotten_and_a_former_holder_is_not_named() {
    let mut peers = Peers::default();
    let at = |s: f64| Time::from_micros(1_000_000_000).plus(s);
    peers.holds(at(0.0), "a", Token(7));
    peers.holds(at(0.5), "b", Token(5));
    assert_eq!(peers.holder(at(1.0)), Some("a"));
    peers.holds(at(2.0), "b", Token(u64::MAX));
    peers.holds(at(4.0), "a", Token(9));
    assert_eq!(peers.holder(at(6.0)), None);
    peers.holds(at(2.0 + LAPSED_S + 0.1), "a", Token(9));
    assert_eq!(peers.holder(at(3.0 + LAPSED_S)), Some("a"));
}

/// What travels inside of [`beamhinge_vocab::peers::Frame::Ask`].
#[test]
fn queries_to_the_holder_keep_their_form() {
    use beamhinge_operators::messages::Query;
    let mut golden = crate::golden::Golden::new("tests/golden/queries.hex");
    let machines = |all: bool| Query::Machines {
        shape: all.then(|| "g8".into()),
        zone: all.then(|| "a".into()),
        after: all.then(|| "n-000231".into()),
        limit: 150,
    };
    for (name, query) in [
        ("job", Query::Job { job: "job-000412".into() }),
        ("machines", machines(true)),
        ("all machines", machines(false)),
        ("teams", Query::Teams),
        ("splits", Query::Splits),
        ("summary", Query::Summary),
        ("decisions", Query::Decisions { token: 41, after: 70_000, limit: 99 }),
    ] {
        let bytes = postcard::to_stdvec(&query).expect(name);
        assert_eq!(postcard::from_bytes::<Query>(&bytes).expect(name), query);
        golden.bytes(name, &bytes);
    }
    golden.check();
}
